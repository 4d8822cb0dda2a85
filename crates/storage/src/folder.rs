//! The folder of a store: its lock, its names, and the durability of renames.

use crate::StorageError;
use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

/// Makes the files that were created, renamed or removed in a folder durable.
pub fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(|e| StorageError::io(folder, &e))
}

/// The lock of a folder, released when this is dropped or the process ends.
#[derive(Debug)]
pub struct FolderLock(File);

impl Drop for FolderLock {
    fn drop(&mut self) {
        // A child process that is being started may have a copy of the descriptor, so that closing it alone would not release the lock.
        let _ = self.0.unlock();
    }
}

/// Locks a folder for this process.
pub fn lock(folder: &Path) -> Result<FolderLock, StorageError> {
    let path = folder.join("lock");
    let open = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = open.map_err(|e| StorageError::io(&path, &e))?;
    match file.try_lock() {
        Ok(()) => Ok(FolderLock(file)),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked { path }),
        Err(TryLockError::Error(e)) => Err(StorageError::io(&path, &e)),
    }
}

/// The names in a folder, sorted.
pub fn names(folder: &Path) -> Result<Vec<String>, StorageError> {
    let io_error = |e| StorageError::io(folder, &e);
    let entries = std::fs::read_dir(folder).map_err(io_error)?;
    let mut names = Vec::new();
    for entry in entries {
        names.push(entry.map_err(io_error)?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// The number in a name like `damaged-7`.
pub fn number_in(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.strip_prefix('-')?.parse().ok()
}

/// The folder of the present store, within that of the process.
pub fn current(folder: &Path) -> PathBuf {
    folder.join("current")
}

/// The database file of a store.
pub fn database_path(current: &Path) -> PathBuf {
    current.join("data")
}

/// The superblock file of a store.
pub fn superblock_path(current: &Path) -> PathBuf {
    current.join("life")
}
