//! The store: one incarnation in one folder, open in one process.

use crate::commit_summary::CommitSummary;
use crate::database::{Database, MAX_KEY_BYTES};
use crate::folder::{
    current, database_path, lock, names, number_in, superblock_path, sync_folder, FolderLock,
};
use crate::superblock::{CommitMark, Superblock};
use crate::{snapshot, FolderState, Limits, Pairs, Space, StorageError, Write};
use basaltgw_types::Incarnation;
use std::cell::RefCell;
use std::path::{Path, PathBuf};

/// The most quarantined stores in a folder; an operator removes them after an analysis.
pub const MAX_QUARANTINED: usize = 16;

/// Whether the database accepts commits.
#[derive(Debug)]
enum DatabaseState {
    Writable(Database),
    /// A commit failed: the database is closed until the next commit. Reads use a copy in memory, which the first read makes.
    ReadOnly(Option<Database>),
}

/// The parts of a store as they are opened.
struct OpenedStore {
    superblock: Superblock,
    database: Database,
    summary: CommitSummary,
}

/// An open store. Its folder is locked until it is dropped.
#[derive(Debug)]
pub struct Store {
    // Declared first, and so dropped first: the database is closed before the folder is unlocked.
    state: RefCell<DatabaseState>,
    superblock: Superblock,
    summary: CommitSummary,
    limits: Limits,
    folder: PathBuf,
    _lock: FolderLock,
}

impl Store {
    /// Opens the store of a folder. The folder is created if it is missing; an empty one gets a new store, whose incarnation is
    /// `random_bits`, which must never have been used before. All entries are read once and verified.
    ///
    /// # Errors
    /// A [`StorageError`] with what was found. Nothing is repaired, and no older version is used instead: see [`Store::quarantine`].
    pub fn open(
        folder: &Path,
        limits: Limits,
        random_bits: u128,
    ) -> Result<(Self, FolderState), StorageError> {
        std::fs::create_dir_all(folder).map_err(|e| StorageError::io(folder, &e))?;
        let lock = lock(folder)?;
        let names = names(folder)?;
        if let Some(foreign) = names.iter().find(|name| !is_own_name(name)) {
            let details = "expected a folder for this store alone";
            return Err(StorageError::foreign(&folder.join(foreign), details));
        }
        let is_new = !names.iter().any(|name| name == "current");
        if is_new {
            create(folder, Incarnation(random_bits))?;
        }
        let OpenedStore { superblock, database, summary } = open_current(folder)?;
        summary.check_limits(&limits)?;
        let incarnation = superblock.incarnation();
        let state = RefCell::new(DatabaseState::Writable(database));
        let store = Self { state, superblock, summary, limits, folder: folder.into(), _lock: lock };
        Ok((store, if is_new { FolderState::New(incarnation) } else { FolderState::Existing(incarnation) }))
    }

    /// The incarnation of the store.
    pub fn incarnation(&self) -> Incarnation {
        self.superblock.incarnation()
    }

    /// The number of entries and their bytes, as limited by [`Limits`].
    pub fn size(&self) -> (u64, u64) {
        (self.summary.entries, self.summary.bytes)
    }

    /// All entries of a space, in the order of their keys; at most what [`Limits`] allow.
    ///
    /// # Errors
    /// [`StorageError::Corrupted`] if a checksum does not match, [`StorageError::Io`] if the disk can't be read.
    pub fn read(&self, space: Space) -> Result<Pairs, StorageError> {
        self.with_readable(|database| database.read(space))
    }

    /// The value of a key.
    ///
    /// # Errors
    /// As [`Store::read`].
    pub fn get(&self, space: Space, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        self.with_readable(|database| database.get(space, key))
    }

    /// Makes a batch durable: all of it is on the disk when this returns without an error.
    ///
    /// # Errors
    /// [`StorageError::LimitExceeded`]: nothing was written. [`StorageError::Io`]: the batch is stored completely or not at all; entries can
    /// still be read, and the next commit tries the disk again. After other errors the store can't be used any more.
    pub fn commit(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        writes.iter().try_for_each(|write| check_entry_size(write, &self.limits))?;
        self.reopen()?;
        let committed = match self.state.get_mut() {
            DatabaseState::Writable(database) => {
                database.commit(self.summary, writes, &self.limits).and_then(|summary| {
                    self.superblock.acknowledge(mark(&summary, database)?)?;
                    Ok(summary)
                })
            }
            DatabaseState::ReadOnly(_) => return Err(StorageError::foreign(&self.folder, "closed")),
        };
        match committed {
            Ok(summary) => self.summary = summary,
            Err(StorageError::LimitExceeded { .. }) => {}
            // After a failed write redb accepts nothing more: the next commit opens the file again.
            Err(_) => *self.state.get_mut() = DatabaseState::ReadOnly(None),
        }
        committed.map(|_| ())
    }

    /// Writes a snapshot to the file `generation-N`, where N is the number of commits, and removes the oldest ones except for the latest `keep`.
    ///
    /// Snapshots are for operators, to inspect them or to copy entries by hand. A store is never restored from one.
    ///
    /// # Errors
    /// As [`Store::read`]. If the disk rejects the write, no snapshot is removed.
    pub fn snapshot(&self, keep: usize) -> Result<PathBuf, StorageError> {
        let folder = current(&self.folder);
        self.with_readable(|database| snapshot::write(&folder, database, self.summary, keep))
    }

    /// Moves a damaged store to `damaged-N`, so that a new one can be created under another incarnation. To be requested by an operator.
    ///
    /// # Errors
    /// [`StorageError::Locked`] if the store is open, [`StorageError::LimitExceeded`] if there are 16 quarantined stores,
    /// [`StorageError::Io`].
    pub fn quarantine(folder: &Path) -> Result<Option<PathBuf>, StorageError> {
        let _lock = lock(folder)?;
        let names = names(folder)?;
        let quarantined: Vec<u64> = names.iter().filter_map(|n| number_in(n, "damaged")).collect();
        if !names.iter().any(|n| n == "current") {
            return Ok(None);
        }
        if quarantined.len() >= MAX_QUARANTINED {
            let (wanted, max) = (quarantined.len() as u64 + 1, MAX_QUARANTINED as u64);
            return Err(StorageError::LimitExceeded { limit: "damaged stores in a folder", wanted, max });
        }
        let next = quarantined.iter().max().map_or(1, |n| n.saturating_add(1));
        let to = folder.join(format!("damaged-{next}"));
        std::fs::rename(current(folder), &to).map_err(|e| StorageError::io(&to, &e))?;
        sync_folder(folder)?;
        Ok(Some(to))
    }

    /// Reads from the database, or from its copy after a failed commit.
    fn with_readable<T>(
        &self,
        read: impl FnOnce(&Database) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        let state = &mut *self.state.borrow_mut();
        let copy = match state {
            DatabaseState::Writable(database) | DatabaseState::ReadOnly(Some(database)) => {
                return read(database);
            }
            DatabaseState::ReadOnly(copy) => copy,
        };
        let path = database_path(&current(&self.folder));
        let database = Database::open_copy(&path)?;
        let summary = database.verify()?;
        self.superblock.check_commits(summary.commits, &path)?;
        read(copy.insert(database))
    }

    /// After a failed commit, opens the database again. The failed batch may turn out to be stored.
    fn reopen(&mut self) -> Result<(), StorageError> {
        if matches!(self.state.get_mut(), DatabaseState::ReadOnly(_)) {
            *self.state.get_mut() = DatabaseState::ReadOnly(None);
            let OpenedStore { superblock, database, summary } = open_current(&self.folder)?;
            (self.superblock, self.summary) = (superblock, summary);
            *self.state.get_mut() = DatabaseState::Writable(database);
        }
        Ok(())
    }
}

/// True for the names that a store uses in its folder, and those of file systems.
fn is_own_name(name: &str) -> bool {
    ["lock", "current", "new", "lost+found"].contains(&name) || number_in(name, "damaged").is_some()
}

/// Checks the limits of a single entry.
fn check_entry_size(write: &Write, limits: &Limits) -> Result<(), StorageError> {
    let exceeded = |limit, wanted: usize, max: usize| {
        Err(StorageError::LimitExceeded { limit, wanted: wanted as u64, max: max as u64 })
    };
    let key_bytes = write.key().len();
    let entry_bytes = key_bytes + write.value_bytes();
    if key_bytes > MAX_KEY_BYTES {
        return exceeded("bytes of a key", key_bytes, MAX_KEY_BYTES);
    }
    if entry_bytes > limits.max_entry_bytes {
        return exceeded("bytes of an entry", entry_bytes, limits.max_entry_bytes);
    }
    Ok(())
}

/// The mark of a database's last commit.
fn mark(summary: &CommitSummary, database: &Database) -> Result<CommitMark, StorageError> {
    Ok(CommitMark { commits: summary.commits, database_bytes: database.file_bytes()? })
}

/// Creates a store under a temporary name, and renames it once it is durable.
fn create(folder: &Path, incarnation: Incarnation) -> Result<(), StorageError> {
    let new = folder.join("new");
    let io_error = |e| StorageError::io(&new, &e);
    // The folder is of a process that ended before it acknowledged anything.
    if new.exists() {
        std::fs::remove_dir_all(&new).map_err(io_error)?;
    }
    std::fs::create_dir(&new).map_err(io_error)?;
    let database = Database::create(&database_path(&new), incarnation)?;
    let first = mark(&CommitSummary::new(incarnation), &database)?;
    Superblock::create(&superblock_path(&new), incarnation, first)?;
    drop(database);
    sync_folder(&new)?;
    std::fs::rename(&new, current(folder)).map_err(io_error)?;
    sync_folder(folder)
}

/// Opens and verifies the store of a folder: everything that was acknowledged, or an error.
fn open_current(folder: &Path) -> Result<OpenedStore, StorageError> {
    let current = current(folder);
    let path = database_path(&current);
    let mut superblock = Superblock::open(&superblock_path(&current))?;
    let found_bytes = std::fs::metadata(&path).map_or(0, |m| m.len());
    let database =
        Database::open(&path).map_err(|error| truncated_if_shorter(error, found_bytes, &superblock))?;
    let summary = database.verify()?;
    if summary.incarnation != superblock.incarnation() {
        let details =
            format!("of the incarnation {}, expected {}", summary.incarnation, superblock.incarnation());
        return Err(StorageError::foreign(&path, details));
    }
    superblock.check_commits(summary.commits, &path)?;
    superblock.acknowledge(mark(&summary, &database)?)?;
    Ok(OpenedStore { superblock, database, summary })
}

/// Reports a corrupted database file as truncated if it is shorter than at the last acknowledged commit: the database can't distinguish the two.
fn truncated_if_shorter(error: StorageError, found_bytes: u64, superblock: &Superblock) -> StorageError {
    match (error, superblock.latest()) {
        (StorageError::Corrupted { path, details }, Some(mark)) if found_bytes < mark.database_bytes => {
            let details = format!("{found_bytes} bytes, expected {}: {details}", mark.database_bytes);
            StorageError::Truncated { path, details }
        }
        (error, _) => error,
    }
}
