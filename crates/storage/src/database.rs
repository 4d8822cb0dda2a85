//! The database of a store (redb): entries, each with its checksum, and the summary of the last commit.

use crate::checksum::{bit_distance, checksum, Checksum, CHECKSUM_BYTES, MAX_FLIPPED_BITS};
use crate::commit_summary::{CommitSummary, EntryDigest};
use crate::{Limits, Pairs, Space, StorageError, Write};
use basaltgw_types::Incarnation;
use redb::backends::InMemoryBackend;
use redb::{Builder, ReadableDatabase, StorageBackend, TableDefinition};
use std::io::{self, Read as _};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// The longest key. It is bounded because redb compares keys in each step of a search.
pub const MAX_KEY_BYTES: usize = 4096;

/// The table of entries. Key: the space's number and the key. Value: the checksum and the value.
const ENTRIES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
/// A table of one row: the summary of the last commit.
const SUMMARY: TableDefinition<u8, &[u8]> = TableDefinition::new("tally");
const SUMMARY_KEY: u8 = 0;
/// The start of a redb file.
const MAGIC: [u8; 9] = [b'r', b'e', b'd', b'b', 0x1A, 0x0A, 0xA9, 0x0D, 0x0A];
/// Bytes of pages cached in memory. The cache is small, since callers cache what they need themselves.
const CACHE_BYTES: usize = 8 << 20;

/// An entry as it is stored; its checksum matches.
#[derive(Clone, Copy, Debug)]
pub struct StoredEntry<'a> {
    /// The space's number and the key.
    pub space_and_key: &'a [u8],
    pub checksum: Checksum,
    pub value: &'a [u8],
}

impl StoredEntry<'_> {
    /// The key without its space.
    pub fn key(&self) -> &[u8] {
        self.space_and_key.get(1..).unwrap_or_default()
    }

    fn digest(&self) -> EntryDigest {
        let (key_bytes, value_bytes) = (self.key().len(), self.value.len());
        EntryDigest { key_bytes, value_bytes, checksum: self.checksum }
    }
}

/// An open database.
#[derive(Debug)]
pub struct Database {
    redb: redb::Database,
    path: PathBuf,
}

impl Database {
    /// Creates a database without entries.
    pub fn create(path: &Path, incarnation: Incarnation) -> Result<Self, StorageError> {
        let summary = CommitSummary::new(incarnation).encode();
        call_redb(path, || {
            let redb = Builder::new().set_cache_size(CACHE_BYTES).create(path)?;
            let transaction = redb.begin_write()?;
            transaction.open_table(ENTRIES)?;
            transaction.open_table(SUMMARY)?.insert(SUMMARY_KEY, summary.as_slice())?;
            transaction.commit()?;
            Ok(Self { redb, path: path.into() })
        })
    }

    /// Opens a database, and checks every page.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        check_magic(path)?;
        call_redb(path, || Ok(Self { redb: checking_builder().open(path)?, path: path.into() }))
    }

    /// Opens a copy of a database in memory. After a failed commit redb writes when it opens a file, which a failing disk does not permit.
    pub fn open_copy(path: &Path) -> Result<Self, StorageError> {
        let bytes = std::fs::read(path).map_err(|e| StorageError::io(path, &e))?;
        call_redb(path, || {
            let memory = InMemoryBackend::new();
            memory.set_len(bytes.len() as u64)?;
            memory.write(0, &bytes)?;
            Ok(Self { redb: checking_builder().create_with_backend(memory)?, path: path.into() })
        })
    }

    /// Reads all entries, and compares them with the summary.
    ///
    /// # Errors
    /// [`StorageError::Corrupted`] if they do not match.
    pub fn verify(&self) -> Result<CommitSummary, StorageError> {
        let stored = call_redb(&self.path, || {
            let table = self.redb.begin_read()?.open_table(SUMMARY)?;
            let summary = table.get(SUMMARY_KEY)?.and_then(|row| CommitSummary::decode(row.value()));
            Ok(summary)
        })?;
        let no_summary = || StorageError::corrupted(&self.path, "expected a summary with a valid checksum");
        let stored = stored.ok_or_else(no_summary)?;
        let mut found = CommitSummary { commits: stored.commits, ..CommitSummary::new(stored.incarnation) };
        self.for_each_entry(None, |entry| {
            found.add(entry.digest());
            Ok(())
        })?;
        match found == stored {
            true => Ok(stored),
            false => {
                Err(StorageError::corrupted(&self.path, format!("expected {stored:?}, found {found:?}")))
            }
        }
    }

    /// All entries of a space, in the order of their keys.
    pub fn read(&self, space: Space) -> Result<Pairs, StorageError> {
        let mut pairs = Vec::new();
        self.for_each_entry(Some(space), |entry| {
            pairs.push((entry.key().to_vec(), entry.value.to_vec()));
            Ok(())
        })?;
        Ok(pairs)
    }

    /// The value of a key.
    pub fn get(&self, space: Space, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        let key = space_and_key(space, key);
        let row = call_redb(&self.path, || {
            let table = self.redb.begin_read()?.open_table(ENTRIES)?;
            let row = table.get(key.as_slice())?.map(|row| row.value().to_vec());
            Ok(row)
        })?;
        let Some(row) = row else { return Ok(None) };
        Ok(Some(decode_entry(&self.path, &key, &row)?.value.to_vec()))
    }

    /// Calls `visit` for each entry of one space, or of all, until it fails.
    pub fn for_each_entry(
        &self,
        space: Option<Space>,
        mut visit: impl FnMut(StoredEntry<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        let mut visited = Ok(());
        call_redb(&self.path, || {
            let table = self.redb.begin_read()?.open_table(ENTRIES)?;
            let start = space.map_or(vec![], |s| vec![s.0]);
            for row in table.range(start.as_slice()..)? {
                let (key, row) = row?;
                if space.is_some_and(|s| key.value().first() != Some(&s.0)) {
                    break;
                }
                visited = decode_entry(&self.path, key.value(), row.value()).and_then(&mut visit);
                if visited.is_err() {
                    break;
                }
            }
            Ok(())
        })?;
        visited
    }

    /// Makes a batch durable, completely or not at all; returns the summary after it.
    pub fn commit(
        &self,
        before: CommitSummary,
        writes: &[Write],
        limits: &Limits,
    ) -> Result<CommitSummary, StorageError> {
        let mut after = CommitSummary { commits: before.commits + 1, ..before };
        let mut checked = Ok(());
        call_redb(&self.path, || {
            let transaction = self.redb.begin_write()?;
            let mut table = transaction.open_table(ENTRIES)?;
            for write in writes {
                let applied = apply(&mut table, write, &mut after, &self.path)?;
                checked = applied.and(checked.clone());
            }
            drop(table);
            checked = checked.clone().and_then(|()| after.check_limits(limits));
            if checked.is_err() {
                return Ok(transaction.abort()?);
            }
            transaction.open_table(SUMMARY)?.insert(SUMMARY_KEY, after.encode().as_slice())?;
            // redb's default durability: synced when it returns.
            Ok(transaction.commit()?)
        })?;
        checked.map(|()| after)
    }

    /// The length of the file in bytes.
    pub fn file_bytes(&self) -> Result<u64, StorageError> {
        std::fs::metadata(&self.path).map(|m| m.len()).map_err(|e| StorageError::io(&self.path, &e))
    }
}

/// Applies a write to the table and to the summary. The inner error means that the replaced entry is corrupted.
fn apply(
    table: &mut redb::Table<'_, &'static [u8], &'static [u8]>,
    write: &Write,
    summary: &mut CommitSummary,
    path: &Path,
) -> Result<Result<(), StorageError>, redb::Error> {
    let key = space_and_key(write.space(), write.key());
    let replaced = match write {
        Write::Put(_, _, value) => {
            let entry = StoredEntry { space_and_key: &key, checksum: checksum(&[&key, value]), value };
            summary.add(entry.digest());
            table.insert(key.as_slice(), [&entry.checksum[..], value].concat().as_slice())?
        }
        Write::Remove(..) => table.remove(key.as_slice())?,
    };
    let Some(replaced) = replaced else { return Ok(Ok(())) };
    Ok(decode_entry(path, &key, replaced.value()).map(|entry| summary.subtract(entry.digest())))
}

fn space_and_key(space: Space, key: &[u8]) -> Vec<u8> {
    [&[space.0][..], key].concat()
}

/// Decodes a row.
///
/// # Errors
/// [`StorageError::Corrupted`] if its checksum does not match.
fn decode_entry<'a>(
    path: &Path,
    space_and_key: &'a [u8],
    row: &'a [u8],
) -> Result<StoredEntry<'a>, StorageError> {
    let mismatch =
        || StorageError::corrupted(path, format!("the checksum of the entry {space_and_key:02x?}"));
    let (found, value) = row.split_first_chunk::<CHECKSUM_BYTES>().ok_or_else(mismatch)?;
    match *found == checksum(&[space_and_key, value]) {
        true => Ok(StoredEntry { space_and_key, checksum: *found, value }),
        false => Err(mismatch()),
    }
}

/// A builder that checks every page when it opens a file.
fn checking_builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
    builder
}

/// Checks the first bytes of a file: it is a database, a truncated or corrupted one, or something else.
fn check_magic(path: &Path) -> Result<(), StorageError> {
    let start = read_start(path)?;
    if start.len() < MAGIC.len() || start.iter().all(|b| *b == 0) {
        let details = format!("expected a database, found {} bytes of its start", start.len());
        return Err(StorageError::truncated(path, details));
    }
    match bit_distance(&start, &MAGIC) {
        0 => Ok(()),
        1..=MAX_FLIPPED_BITS => Err(StorageError::corrupted(path, "the first bytes")),
        _ => Err(StorageError::foreign(path, "expected a database")),
    }
}

/// The first bytes of a file.
fn read_start(path: &Path) -> Result<Vec<u8>, StorageError> {
    let mut start = Vec::new();
    let file = std::fs::File::open(path).map_err(|e| match e.kind() {
        io::ErrorKind::NotFound => StorageError::truncated(path, "missing, expected a database"),
        _ => StorageError::io(path, &e),
    })?;
    file.take(MAGIC.len() as u64).read_to_end(&mut start).map_err(|e| StorageError::io(path, &e))?;
    Ok(start)
}

/// Calls redb, and converts its errors. A page that no commit wrote is reported as corruption, also where redb panics on it.
fn call_redb<T>(path: &Path, call: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, StorageError> {
    let panicked = |_| Err(redb::Error::Corrupted("a page that no commit wrote".into()));
    let result = catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(panicked);
    result.map_err(|error| match error {
        redb::Error::Io(e) => match e.kind() {
            io::ErrorKind::InvalidData => StorageError::corrupted(path, e.to_string()),
            io::ErrorKind::UnexpectedEof => StorageError::truncated(path, e.to_string()),
            _ => StorageError::io(path, &e),
        },
        redb::Error::PreviousIo => StorageError::io(path, &io::Error::other("an earlier write failed")),
        redb::Error::DatabaseAlreadyOpen => StorageError::Locked { path: path.into() },
        other => StorageError::corrupted(path, other.to_string()),
    })
}
