//! The database: entries, each with its checksum, and a tally of them all that every commit carries along.

use crate::life::{bits_apart, sum, SUM};
use crate::{Fault, Limits, Pairs, Space, Write};
use basaltgw_types::Incarnation;
use redb::backends::InMemoryBackend;
use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Key: the space's number and the key. Value: its checksum and the value.
const ENTRIES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
/// One row: the tally.
const TALLY: TableDefinition<u8, &[u8]> = TableDefinition::new("tally");
/// How a file of redb starts.
const MAGIC: [u8; 9] = [b'r', b'e', b'd', b'b', 0x1A, 0x0A, 0xA9, 0x0D, 0x0A];
/// Bytes of pages kept in memory: callers keep what they need themselves.
const CACHE: usize = 8 << 20;
/// The longest key: its length is counted, its bytes are compared in each step of a search.
pub const LONGEST_KEY: usize = 4096;

/// What a database holds, as its last commit says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    pub incarnation: Incarnation,
    pub commits: u64,
    pub entries: u64,
    pub bytes: u64,
    /// The sum of all entries' checksums: an entry that is missing, older or twice there shows.
    pub sum: u128,
}

impl Tally {
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, commits: 1, entries: 0, bytes: 0, sum: 0 }
    }

    fn add(&mut self, key: usize, value: usize, sum: [u8; SUM]) {
        self.entries += 1;
        self.bytes += (key + value) as u64;
        self.sum = self.sum.wrapping_add(u128::from_le_bytes(sum));
    }

    fn take(&mut self, key: usize, value: usize, sum: [u8; SUM]) {
        self.entries = self.entries.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub((key + value) as u64);
        self.sum = self.sum.wrapping_sub(u128::from_le_bytes(sum));
    }

    fn to_bytes(self) -> Vec<u8> {
        let mut bytes = self.incarnation.0.to_le_bytes().to_vec();
        for number in [self.commits, self.entries, self.bytes] {
            bytes.extend(number.to_le_bytes());
        }
        bytes.extend(self.sum.to_le_bytes());
        bytes.extend(sum(&[&bytes]));
        bytes
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (body, found) = bytes.split_at_checked(56)?;
        let long = |at: usize| body.get(at..at + 16)?.try_into().ok().map(u128::from_le_bytes);
        let short = |at: usize| body.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        let (commits, entries, bytes) = (short(16)?, short(24)?, short(32)?);
        let tally = Self { incarnation: Incarnation(long(0)?), commits, entries, bytes, sum: long(40)? };
        (sum(&[body]) == found).then_some(tally)
    }

    /// Whether it is within the bounds.
    pub fn within(&self, limits: &Limits) -> Result<(), Fault> {
        let full = |what, wanted, bound| Err(Fault::Full { what, wanted, bound });
        match () {
            () if self.entries > limits.entries => full("entries of a store", self.entries, limits.entries),
            () if self.bytes > limits.bytes => full("bytes of a store", self.bytes, limits.bytes),
            () => Ok(()),
        }
    }
}

/// An open database.
#[derive(Debug)]
pub struct Data {
    db: Database,
    path: PathBuf,
}

impl Data {
    /// A new one, with nothing but its tally.
    pub fn create(path: &Path, incarnation: Incarnation) -> Result<Self, Fault> {
        let data = guarded(path, || {
            let db = Builder::new().set_cache_size(CACHE).create(path)?;
            let txn = db.begin_write()?;
            txn.open_table(ENTRIES)?;
            txn.open_table(TALLY)?.insert(0, Tally::new(incarnation).to_bytes().as_slice())?;
            txn.commit()?;
            Ok(Self { db, path: path.into() })
        })?;
        Ok(data)
    }

    /// Opens one; every page is checked.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        let start = start(path)?;
        let apart = bits_apart(&start, &MAGIC);
        if start.len() < MAGIC.len() || start.iter().all(|b| *b == 0) {
            return Err(Fault::torn(
                path,
                format!("expected a database, found {} bytes of a start", start.len()),
            ));
        }
        if apart > 2 {
            return Err(Fault::foreign(path, "not a database"));
        }
        if apart > 0 {
            return Err(Fault::flipped(path, "the first bytes"));
        }
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        guarded(path, || Ok(Self { db: builder.open(path)?, path: path.into() }))
    }

    /// Opens a copy of one in memory: for reading while the disk takes no writes, which an open after a failed commit needs.
    pub fn open_copy(path: &Path) -> Result<Self, Fault> {
        let bytes = std::fs::read(path).map_err(|e| Fault::io(path, &e))?;
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        guarded(path, || {
            let memory = InMemoryBackend::new();
            memory.set_len(bytes.len() as u64)?;
            memory.write(0, &bytes)?;
            Ok(Self { db: builder.create_with_backend(memory)?, path: path.into() })
        })
    }

    /// Reads all, and compares it with the tally.
    pub fn check(&self) -> Result<Tally, Fault> {
        let said = guarded(&self.path, || {
            let txn = self.db.begin_read()?;
            let row = txn.open_table(TALLY)?.get(0)?.and_then(|row| Tally::from_bytes(row.value()));
            Ok(row)
        })?;
        let said = said.ok_or_else(|| Fault::flipped(&self.path, "no tally whose checksum fits"))?;
        let mut found = Tally { commits: said.commits, ..Tally::new(said.incarnation) };
        self.scan(None, |key, sum, value| {
            found.add(key.len() - 1, value.len(), sum);
            Ok(())
        })?;
        match found == said {
            true => Ok(said),
            false => Err(Fault::flipped(&self.path, format!("expected {said:?}, found {found:?}"))),
        }
    }

    /// All of a space, in the order of keys.
    pub fn read(&self, space: Space) -> Result<Pairs, Fault> {
        let mut pairs = Vec::new();
        self.scan(Some(space), |key, _, value| {
            pairs.push((key.get(1..).unwrap_or_default().to_vec(), value.to_vec()));
            Ok(())
        })?;
        Ok(pairs)
    }

    /// One value.
    pub fn get(&self, space: Space, key: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        let key = whole_key(space, key);
        let found = guarded(&self.path, || {
            let txn = self.db.begin_read()?;
            let found = txn.open_table(ENTRIES)?.get(key.as_slice())?.map(|row| row.value().to_vec());
            Ok(found)
        })?;
        let Some(found) = found else { return Ok(None) };
        let (_, value) = checked(&self.path, &key, &found)?;
        Ok(Some(value.to_vec()))
    }

    /// Hands over each entry (its space and key, its checksum, its value), of one space or of all; their checksums fit.
    pub fn scan(
        &self,
        space: Option<Space>,
        mut each: impl FnMut(&[u8], [u8; SUM], &[u8]) -> Result<(), Fault>,
    ) -> Result<(), Fault> {
        let mut own = Ok(());
        guarded(&self.path, || {
            let txn = self.db.begin_read()?;
            let table = txn.open_table(ENTRIES)?;
            let from = space.map_or(vec![], |s| vec![s.0]);
            for row in table.range(from.as_slice()..)? {
                let (key, row) = row?;
                if space.is_some_and(|s| key.value().first() != Some(&s.0)) {
                    break;
                }
                let entry = checked(&self.path, key.value(), row.value());
                own = entry.and_then(|(sum, value)| each(key.value(), sum, value));
                if own.is_err() {
                    break;
                }
            }
            Ok(())
        })?;
        own
    }

    /// Makes a batch durable, whole or not at all; the tally after it.
    pub fn commit(&self, tally: Tally, writes: &[Write], limits: &Limits) -> Result<Tally, Fault> {
        let mut after = Tally { commits: tally.commits + 1, ..tally };
        let mut own = Ok(());
        guarded(&self.path, || {
            let txn = self.db.begin_write()?;
            let mut table = txn.open_table(ENTRIES)?;
            for write in writes {
                let (space, key) = match write {
                    Write::Put(space, key, _) | Write::Remove(space, key) => (*space, key),
                };
                let whole = whole_key(space, key);
                let old = match write {
                    Write::Put(_, key, value) => {
                        let own = sum(&[&whole, value]);
                        after.add(key.len(), value.len(), own);
                        table.insert(whole.as_slice(), [&own[..], value].concat().as_slice())?
                    }
                    Write::Remove(..) => table.remove(whole.as_slice())?,
                };
                if let Some(old) = old {
                    match checked(&self.path, &whole, old.value()) {
                        Ok((sum, value)) => after.take(key.len(), value.len(), sum),
                        Err(fault) => own = Err(fault),
                    }
                }
            }
            drop(table);
            own = own.clone().and_then(|()| after.within(limits));
            if own.is_err() {
                return Ok(txn.abort()?);
            }
            txn.open_table(TALLY)?.insert(0, after.to_bytes().as_slice())?;
            // Durability::Immediate is the default: synced when it returns.
            Ok(txn.commit()?)
        })?;
        own.map(|()| after)
    }

    /// The length of its file.
    pub fn length(&self) -> Result<u64, Fault> {
        std::fs::metadata(&self.path).map(|m| m.len()).map_err(|e| Fault::io(&self.path, &e))
    }
}

fn whole_key(space: Space, key: &[u8]) -> Vec<u8> {
    [&[space.0][..], key].concat()
}

/// An entry's checksum and value, if they fit the key.
fn checked<'a>(path: &Path, key: &[u8], row: &'a [u8]) -> Result<([u8; SUM], &'a [u8]), Fault> {
    let wrong = || Fault::flipped(path, format!("the checksum of the entry {key:02x?}"));
    let (found, value) = row.split_first_chunk::<SUM>().ok_or_else(wrong)?;
    match *found == sum(&[key, value]) {
        true => Ok((*found, value)),
        false => Err(wrong()),
    }
}

/// The first bytes of a file.
fn start(path: &Path) -> Result<Vec<u8>, Fault> {
    use std::io::Read;
    let mut start = Vec::new();
    let file = std::fs::File::open(path).map_err(|e| match e.kind() {
        io::ErrorKind::NotFound => Fault::torn(path, "missing, expected a database"),
        _ => Fault::io(path, &e),
    })?;
    file.take(MAGIC.len() as u64).read_to_end(&mut start).map_err(|e| Fault::io(path, &e))?;
    Ok(start)
}

/// Asks redb for something. A page that can't be is reported as damage, also where redb panics over it.
fn guarded<T>(path: &Path, ask: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, Fault> {
    let done = catch_unwind(AssertUnwindSafe(ask));
    done.unwrap_or_else(|_| Err(redb::Error::Corrupted("a page that no commit wrote".into()))).map_err(|e| {
        match e {
            redb::Error::Io(e) if matches!(e.kind(), io::ErrorKind::InvalidData) => {
                Fault::flipped(path, e.to_string())
            }
            redb::Error::Io(e) if matches!(e.kind(), io::ErrorKind::UnexpectedEof) => {
                Fault::torn(path, e.to_string())
            }
            redb::Error::Io(e) => Fault::io(path, &e),
            redb::Error::PreviousIo => Fault::io(path, &io::Error::other("an earlier write failed")),
            redb::Error::DatabaseAlreadyOpen => Fault::Locked { path: path.into() },
            other => Fault::flipped(path, other.to_string()),
        }
    })
}
