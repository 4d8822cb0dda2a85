//! The superblock (the file `life`): the incarnation of the store, and how many commits were acknowledged.
//!
//! It has three blocks: a header that never changes, and two marks that are written in turn. A mark is written and synced after the database
//! has a commit and before the commit is acknowledged, so an intact database is never behind an intact mark. A database that is behind has
//! lost acknowledged commits.

use crate::checksum::{bit_distance, checksum, CHECKSUM_BYTES, MAX_FLIPPED_BITS};
use crate::StorageError;
use basaltgw_types::Incarnation;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The version of the format; later ones are rejected.
pub const FORMAT: u16 = 1;

/// The size of a block: no disk writes less than a sector, and no two blocks share a memory page.
const BLOCK_BYTES: usize = 4096;
/// The size of the file: a header and two marks.
const FILE_BYTES: usize = 3 * BLOCK_BYTES;
/// The start of the header.
const MAGIC: [u8; 8] = *b"BGWLIFE\n";

/// An acknowledged commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitMark {
    /// Commits so far.
    pub commits: u64,
    /// The length of the database file after the commit. The file may have grown or shrunk since, so the length only serves to distinguish
    /// truncation from corruption.
    pub database_bytes: u64,
}

/// The open superblock file.
#[derive(Debug)]
pub struct Superblock {
    file: File,
    path: PathBuf,
    incarnation: Incarnation,
    /// The intact marks, by slot; the commits of the first are even, those of the second odd.
    marks: [Option<CommitMark>; 2],
}

impl Superblock {
    /// Creates the file with its first mark.
    pub fn create(path: &Path, incarnation: Incarnation, first: CommitMark) -> Result<Self, StorageError> {
        let io_error = |e| StorageError::io(path, &e);
        let open = OpenOptions::new().create_new(true).read(true).write(true).open(path);
        let file = open.map_err(io_error)?;
        let header = [&MAGIC[..], &FORMAT.to_le_bytes(), &incarnation.0.to_le_bytes()].concat();
        file.write_all_at(&encode_block(&header), 0).map_err(io_error)?;
        let mut superblock = Self { file, path: path.into(), incarnation, marks: [None; 2] };
        superblock.acknowledge(CommitMark { commits: first.commits - 1, database_bytes: 0 })?;
        superblock.acknowledge(first)?;
        superblock.file.sync_all().map_err(io_error)?;
        Ok(superblock)
    }

    /// Opens the file, and checks its header.
    pub fn open(path: &Path) -> Result<Self, StorageError> {
        let open = OpenOptions::new().read(true).write(true).open(path);
        let file = open.map_err(|e| match e.kind() {
            std::io::ErrorKind::NotFound => {
                StorageError::truncated(path, "missing, expected a header and two marks")
            }
            _ => StorageError::io(path, &e),
        })?;
        let bytes = read_blocks(&file, path)?;
        let incarnation = decode_header(&bytes, path)?;
        let marks = [decode_mark(&bytes, 0, incarnation), decode_mark(&bytes, 1, incarnation)];
        Ok(Self { file, path: path.into(), incarnation, marks })
    }

    /// The incarnation of the store.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The latest intact mark.
    pub fn latest(&self) -> Option<CommitMark> {
        self.marks.iter().flatten().max_by_key(|m| m.commits).copied()
    }

    /// Checks that a database with this number of commits has all that were acknowledged.
    ///
    /// The database may have one commit more than the mark, if the process ended between the two writes. If only one mark is intact, the other was being
    /// written or was corrupted since; in both cases the database had one commit more when that write began.
    ///
    /// # Errors
    /// [`StorageError::Truncated`] if commits are missing, [`StorageError::Foreign`] if there are too many, and
    /// [`StorageError::Corrupted`] if the marks contradict each other.
    pub fn check_commits(&self, commits: u64, database: &Path) -> Result<(), StorageError> {
        let (least, most) = match self.marks {
            [None, None] => return Err(self.corrupted("expected a mark with a valid checksum")),
            [Some(one), None] | [None, Some(one)] => (one.commits + 1, one.commits + 1),
            [Some(a), Some(b)] if a.commits.abs_diff(b.commits) == 1 => {
                let latest = a.commits.max(b.commits);
                (latest, latest + 1)
            }
            [Some(_), Some(_)] => return Err(self.corrupted("expected marks of successive commits")),
        };
        if commits < least {
            let details = format!("its last commit is {commits}, {least} were acknowledged");
            return Err(StorageError::truncated(database, details));
        }
        if commits > most {
            let details =
                format!("the database's last commit is {commits}, expected at most {most}: outdated marks");
            return Err(StorageError::foreign(&self.path, details));
        }
        Ok(())
    }

    /// Acknowledges a commit: the mark is durable when this returns.
    pub fn acknowledge(&mut self, mark: CommitMark) -> Result<(), StorageError> {
        let io_error = |e| StorageError::io(&self.path, &e);
        let incarnation = self.incarnation.0.to_le_bytes();
        let body =
            [&mark.commits.to_le_bytes()[..], &mark.database_bytes.to_le_bytes(), &incarnation].concat();
        let slot = slot_of(mark.commits);
        self.file.write_all_at(&encode_block(&body), slot_offset(slot) as u64).map_err(io_error)?;
        self.file.sync_data().map_err(io_error)?;
        if let Some(stored) = self.marks.get_mut(slot) {
            *stored = Some(mark);
        }
        Ok(())
    }

    fn corrupted(&self, details: &str) -> StorageError {
        StorageError::corrupted(&self.path, details)
    }
}

/// The slot of a mark.
fn slot_of(commits: u64) -> usize {
    (commits % 2) as usize
}

/// The offset of a slot in the file.
fn slot_offset(slot: usize) -> usize {
    (slot + 1) * BLOCK_BYTES
}

/// Reads the file; a truncated or foreign one is an error.
fn read_blocks(file: &File, path: &Path) -> Result<Vec<u8>, StorageError> {
    let io_error = |e| StorageError::io(path, &e);
    let length = file.metadata().map_err(io_error)?.len();
    let mut bytes = vec![0; length.min(FILE_BYTES as u64) as usize];
    file.read_exact_at(&mut bytes, 0).map_err(io_error)?;
    let magic = bytes.get(..MAGIC.len()).unwrap_or(&bytes);
    let has_magic = bit_distance(magic, &MAGIC) <= MAX_FLIPPED_BITS && !magic.is_empty();
    if length > FILE_BYTES as u64 || !(has_magic || bytes.iter().all(|b| *b == 0)) {
        let details = format!("expected {FILE_BYTES} bytes that start with {MAGIC:?}");
        return Err(StorageError::foreign(path, details));
    }
    if length < FILE_BYTES as u64 {
        return Err(StorageError::truncated(path, format!("expected {FILE_BYTES} bytes, found {length}")));
    }
    if bytes.iter().take(BLOCK_BYTES).all(|b| *b == 0) {
        return Err(StorageError::truncated(path, "expected a header, found zeros"));
    }
    Ok(bytes)
}

/// Decodes the header, which consists of [`MAGIC`], the format and the incarnation; returns the incarnation.
fn decode_header(bytes: &[u8], path: &Path) -> Result<Incarnation, StorageError> {
    let header = bytes.get(..BLOCK_BYTES).and_then(decode_block);
    let header = header.ok_or_else(|| StorageError::corrupted(path, "the header's checksum"))?;
    let format = header.get(8..10).and_then(|b| b.try_into().ok()).map(u16::from_le_bytes);
    match format {
        Some(FORMAT) => {}
        Some(found) if found > FORMAT => {
            return Err(StorageError::UnsupportedVersion { path: path.into(), found, supported: FORMAT });
        }
        _ => {
            let details = format!("expected a header of format {FORMAT}, found {format:?}");
            return Err(StorageError::corrupted(path, details));
        }
    }
    let incarnation = header.get(10..26).and_then(|b| b.try_into().ok()).map(u128::from_le_bytes);
    let missing = || StorageError::corrupted(path, "expected an incarnation in the header");
    incarnation.map(Incarnation).ok_or_else(missing)
}

/// The mark in a slot, if it is intact and of this incarnation.
fn decode_mark(bytes: &[u8], slot: usize, incarnation: Incarnation) -> Option<CommitMark> {
    let offset = slot_offset(slot);
    let body = decode_block(bytes.get(offset..offset + BLOCK_BYTES)?)?;
    let u64_at = |at: usize| body.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
    let mark = CommitMark { commits: u64_at(0)?, database_bytes: u64_at(8)? };
    let is_own = body.get(16..32)? == incarnation.0.to_le_bytes();
    (is_own && slot_of(mark.commits) == slot).then_some(mark)
}

/// A block: the body, zeros, and the checksum of both.
fn encode_block(body: &[u8]) -> Vec<u8> {
    let mut block = body.to_vec();
    block.resize(BLOCK_BYTES - CHECKSUM_BYTES, 0);
    let checksum = checksum(&[&block]);
    block.extend(checksum);
    block
}

/// The body of a block, with its zeros, if the checksum matches.
fn decode_block(block: &[u8]) -> Option<&[u8]> {
    let (body, found) = block.split_at_checked(BLOCK_BYTES - CHECKSUM_BYTES)?;
    (checksum(&[body]) == found).then_some(body)
}
