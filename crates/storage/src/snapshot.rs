//! Snapshots (the files `generation-N`): complete copies of a store for operators.

use crate::commit_summary::CommitSummary;
use crate::database::Database;
use crate::folder::{names, number_in, sync_folder};
use crate::{Space, StorageError};
use basaltgw_types::Incarnation;
use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::{Path, PathBuf};

/// The start of a snapshot file.
const MAGIC: [u8; 8] = *b"BGWCOPY1";
/// Bytes of the BLAKE3 hash at the end.
const HASH_BYTES: usize = 32;

/// An entry of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotEntry {
    /// The space.
    pub space: Space,
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
}

/// A snapshot that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The incarnation of the store.
    pub incarnation: Incarnation,
    /// Commits of the store when the snapshot was taken.
    pub commits: u64,
    /// All entries.
    pub entries: Vec<SnapshotEntry>,
}

/// Writes a snapshot, and removes the oldest ones except for the latest `keep`.
pub fn write(
    folder: &Path,
    database: &Database,
    summary: CommitSummary,
    keep: usize,
) -> Result<PathBuf, StorageError> {
    let partial = folder.join("partial");
    let path = folder.join(format!("generation-{}", summary.commits));
    write_file(&partial, database, summary)?;
    std::fs::rename(&partial, &path).map_err(|e| StorageError::io(&partial, &e))?;
    sync_folder(folder)?;
    remove_oldest(folder, keep)?;
    Ok(path)
}

/// Writes the file: the header, the entries with the lengths of their parts, and the hash of everything before it.
fn write_file(path: &Path, database: &Database, summary: CommitSummary) -> Result<(), StorageError> {
    let io_error = |e| StorageError::io(path, &e);
    let mut out = BufWriter::new(File::create(path).map_err(io_error)?);
    let mut hasher = blake3::Hasher::new();
    let mut put = |bytes: &[u8]| {
        hasher.update(bytes);
        out.write_all(bytes).map_err(io_error)
    };
    put(&MAGIC)?;
    put(&summary.incarnation.0.to_le_bytes())?;
    put(&summary.commits.to_le_bytes())?;
    put(&summary.entries.to_le_bytes())?;
    database.for_each_entry(None, |entry| {
        for part in [entry.space_and_key, entry.value] {
            put(&(part.len() as u64).to_le_bytes())?;
            put(part)?;
        }
        Ok(())
    })?;
    out.write_all(hasher.finalize().as_bytes()).map_err(io_error)?;
    let file = out.into_inner().map_err(|e| io_error(e.into_error()))?;
    file.sync_all().map_err(io_error)
}

fn remove_oldest(folder: &Path, keep: usize) -> Result<(), StorageError> {
    let mut numbers: Vec<u64> = names(folder)?.iter().filter_map(|n| number_in(n, "generation")).collect();
    numbers.sort_unstable();
    let excess = numbers.len().saturating_sub(keep.max(1));
    for number in numbers.iter().take(excess) {
        let oldest = folder.join(format!("generation-{number}"));
        std::fs::remove_file(&oldest).map_err(|e| StorageError::io(&oldest, &e))?;
    }
    Ok(())
}

/// Reads a snapshot.
///
/// # Errors
/// [`StorageError::Foreign`] if the file is not a snapshot, [`StorageError::Truncated`] if it ends too early, [`StorageError::Corrupted`] if its hash
/// does not match, [`StorageError::Io`] if it can't be read.
pub fn read_snapshot(path: &Path) -> Result<Snapshot, StorageError> {
    let bytes = std::fs::read(path).map_err(|e| StorageError::io(path, &e))?;
    if bytes.get(..MAGIC.len()) != Some(&MAGIC) {
        return Err(StorageError::foreign(path, format!("expected a start of {MAGIC:?}")));
    }
    let truncated =
        || StorageError::truncated(path, format!("{} bytes are fewer than its header says", bytes.len()));
    let (body, hash) = bytes.split_last_chunk::<HASH_BYTES>().ok_or_else(truncated)?;
    let hash_matches = blake3::hash(body).as_bytes() == hash;
    match (hash_matches, parse(body)) {
        (true, Some(snapshot)) => Ok(snapshot),
        (true, None) => {
            Err(StorageError::foreign(path, "the hash matches, but the entries can't be decoded"))
        }
        (false, Some(_)) => Err(StorageError::corrupted(path, "the hash does not match")),
        (false, None) => Err(truncated()),
    }
}

fn parse(body: &[u8]) -> Option<Snapshot> {
    let mut rest = body.get(MAGIC.len()..)?;
    let incarnation = Incarnation(u128::from_le_bytes(*take_array(&mut rest)?));
    let commits = u64::from_le_bytes(*take_array(&mut rest)?);
    let count = u64::from_le_bytes(*take_array(&mut rest)?);
    let mut entries = Vec::new();
    for _ in 0..count {
        let (space_and_key, value) = (take_part(&mut rest)?, take_part(&mut rest)?);
        let (space, key) = space_and_key.split_first()?;
        entries.push(SnapshotEntry { space: Space(*space), key: key.to_vec(), value: value.to_vec() });
    }
    rest.is_empty().then_some(Snapshot { incarnation, commits, entries })
}

/// Takes a part that is preceded by its length.
fn take_part<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let length = usize::try_from(u64::from_le_bytes(*take_array(rest)?)).ok()?;
    let (part, after) = rest.split_at_checked(length)?;
    *rest = after;
    Some(part)
}

fn take_array<'a, const N: usize>(rest: &mut &'a [u8]) -> Option<&'a [u8; N]> {
    let (first, after) = rest.split_first_chunk::<N>()?;
    *rest = after;
    Some(first)
}
