//! The file `life`: whose folder it is, and how far it was acknowledged.
//!
//! Three blocks of 4 KiB: a header that never changes, and two marks, written in turn. A mark is written and synced after the database has
//! a commit and before anyone is told, so the database is never behind an intact mark. What is behind one has lost what was promised.

use crate::Fault;
use basaltgw_types::Incarnation;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The version of the format; a later one is refused with its number named.
pub const FORMAT: u16 = 1;
/// A block: no disk writes less than a sector, none shares a page of memory with another.
const BLOCK: usize = 4096;
const MAGIC: [u8; 8] = *b"BGWLIFE\n";
/// Bytes of a checksum: 128 bits of BLAKE3.
pub const SUM: usize = 16;

/// The start of the BLAKE3 hash of some bytes.
pub fn sum(parts: &[&[u8]]) -> [u8; SUM] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut sum = [0; SUM];
    hasher.finalize_xof().fill(&mut sum);
    sum
}

/// How far a life was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Commits so far.
    pub commits: u64,
    /// The length of the database's file then. It may have changed since: a hint, to tell a cut from a flip.
    pub length: u64,
}

/// The open file.
#[derive(Debug)]
pub struct Life {
    file: File,
    path: PathBuf,
    pub incarnation: Incarnation,
    marks: [Option<Mark>; 2],
}

impl Life {
    /// Writes a new one with its first mark.
    pub fn create(path: &Path, incarnation: Incarnation, first: Mark) -> Result<Self, Fault> {
        let fault = |e| Fault::io(path, &e);
        let file = OpenOptions::new().create_new(true).read(true).write(true).open(path).map_err(fault)?;
        let body = [&MAGIC[..], &FORMAT.to_le_bytes(), &incarnation.0.to_le_bytes()].concat();
        file.write_all_at(&block(&body), 0).map_err(fault)?;
        let mut life = Self { file, path: path.into(), incarnation, marks: [None; 2] };
        let none = Mark { commits: first.commits - 1, length: 0 };
        life.mark(none)?;
        life.mark(first)?;
        life.file.sync_all().map_err(fault)?;
        Ok(life)
    }

    /// Reads one.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        let fault = |e| Fault::io(path, &e);
        let open = OpenOptions::new().read(true).write(true).open(path);
        let file = open.map_err(|e| match e.kind() {
            std::io::ErrorKind::NotFound => Fault::torn(path, "missing, expected a header and two marks"),
            _ => fault(e),
        })?;
        let length = file.metadata().map_err(fault)?.len();
        let whole = 3 * BLOCK as u64;
        let mut bytes = vec![0; length.min(whole) as usize];
        file.read_exact_at(&mut bytes, 0).map_err(fault)?;
        let magic = bytes.get(..MAGIC.len()).unwrap_or(&bytes);
        let near = bits_apart(magic, &MAGIC) <= 2 && !magic.is_empty();
        if length > whole || !(near || bytes.iter().all(|b| *b == 0)) {
            return Err(Fault::foreign(path, format!("expected {whole} bytes that start with {MAGIC:?}")));
        }
        if length < whole {
            return Err(Fault::torn(path, format!("expected {whole} bytes, found {length}")));
        }
        if bytes.iter().take(BLOCK).all(|b| *b == 0) {
            return Err(Fault::torn(path, "the header is all zero"));
        }
        let header = bytes.get(..BLOCK).and_then(unblock);
        let header = header.ok_or_else(|| Fault::flipped(path, "the header's checksum does not fit"))?;
        let format = header.get(8..10).and_then(|b| b.try_into().ok()).map(u16::from_le_bytes);
        match format {
            Some(FORMAT) => (),
            Some(found) if found > FORMAT => {
                return Err(Fault::Future { path: path.into(), found, known: FORMAT });
            }
            _ => return Err(Fault::flipped(path, "the header has no known format")),
        }
        let incarnation = header.get(10..26).and_then(|b| b.try_into().ok()).map(u128::from_le_bytes);
        let incarnation = incarnation.ok_or_else(|| Fault::flipped(path, "the header has no incarnation"))?;
        let mark = |at: usize| {
            let body = unblock(bytes.get(at..at + BLOCK)?)?;
            let number = |at: usize| body.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
            let own = body.get(16..32)? == incarnation.to_le_bytes();
            let mark = Mark { commits: number(0)?, length: number(8)? };
            (own && mark.commits % 2 == (at / BLOCK - 1) as u64).then_some(mark)
        };
        let marks = [mark(BLOCK), mark(2 * BLOCK)];
        Ok(Self { file, path: path.into(), incarnation: Incarnation(incarnation), marks })
    }

    /// The latest intact mark.
    pub fn latest(&self) -> Option<Mark> {
        self.marks.iter().flatten().max_by_key(|m| m.commits).copied()
    }

    /// Whether a database with so many commits has all that was acknowledged.
    ///
    /// One commit more than the mark: the process ended between the two. With only one mark intact, the other was being written, or was
    /// damaged since; either way the database had one commit more when its writing began.
    pub fn check(&self, commits: u64, data: &Path) -> Result<(), Fault> {
        let behind = |least: u64| {
            Fault::torn(
                data,
                format!("commit {commits} is its last, {least} were acknowledged: it went back"),
            )
        };
        let ahead = |most: u64| {
            let why = format!("commit {commits} is its last, expected at most {most}: marks of another time");
            Fault::foreign(&self.path, why)
        };
        let (least, most) = match self.marks {
            [None, None] => return Err(Fault::flipped(&self.path, "neither mark's checksum fits")),
            [Some(one), None] | [None, Some(one)] => (one.commits + 1, one.commits + 1),
            [Some(a), Some(b)] if a.commits.abs_diff(b.commits) == 1 => {
                let latest = a.commits.max(b.commits);
                (latest, latest + 1)
            }
            [Some(_), Some(_)] => {
                return Err(Fault::flipped(&self.path, "the marks do not follow one another"))
            }
        };
        match commits {
            c if c < least => Err(behind(least)),
            c if c > most => Err(ahead(most)),
            _ => Ok(()),
        }
    }

    /// Acknowledges: on the disk when it returns.
    pub fn mark(&mut self, mark: Mark) -> Result<(), Fault> {
        let fault = |e| Fault::io(&self.path, &e);
        let body = [mark.commits.to_le_bytes(), mark.length.to_le_bytes()]
            .concat()
            .into_iter()
            .chain(self.incarnation.0.to_le_bytes());
        let body: Vec<u8> = body.collect();
        let slot = (mark.commits % 2) as usize;
        self.file.write_all_at(&block(&body), ((slot + 1) * BLOCK) as u64).map_err(fault)?;
        self.file.sync_data().map_err(fault)?;
        if let Some(place) = self.marks.get_mut(slot) {
            *place = Some(mark);
        }
        Ok(())
    }
}

/// A block: the body, zeros, and a checksum of both at its end.
fn block(body: &[u8]) -> Vec<u8> {
    let mut block = body.to_vec();
    block.resize(BLOCK - SUM, 0);
    let sum = sum(&[&block]);
    block.extend(sum);
    block
}

/// The body of a block, with its zeros, if its checksum fits.
fn unblock(block: &[u8]) -> Option<&[u8]> {
    let (body, found) = block.split_at_checked(BLOCK - SUM)?;
    (sum(&[body]) == found).then_some(body)
}

/// In how many bits two texts differ, over the shorter: few mean damage, many mean another kind of file.
pub fn bits_apart(found: &[u8], expected: &[u8]) -> u32 {
    found.iter().zip(expected).map(|(a, b)| (a ^ b).count_ones()).sum()
}
