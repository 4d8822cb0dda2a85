//! Files and folders that are on the disk when the call returns.

use crate::Fault;
use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

/// What is new, renamed or removed in a folder is on the disk only once the folder is.
pub fn sync_folder(folder: &Path) -> Result<(), Fault> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(|e| Fault::io(folder, &e))
}

/// A folder that is this process's until this is dropped or the process ends.
#[derive(Debug)]
pub struct Lock(File);

impl Drop for Lock {
    fn drop(&mut self) {
        // Closing alone would leave it to a child that is being started right now and has a copy of the descriptor.
        let _ = self.0.unlock();
    }
}

/// Takes a folder for this process.
pub fn lock(folder: &Path) -> Result<Lock, Fault> {
    let path = folder.join("lock");
    let open = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = open.map_err(|e| Fault::io(&path, &e))?;
    match file.try_lock() {
        Ok(()) => Ok(Lock(file)),
        Err(TryLockError::WouldBlock) => Err(Fault::Locked { path }),
        Err(TryLockError::Error(e)) => Err(Fault::io(&path, &e)),
    }
}

/// The names in a folder, sorted.
pub fn names(folder: &Path) -> Result<Vec<String>, Fault> {
    let fault = |e| Fault::io(folder, &e);
    let entries = std::fs::read_dir(folder).map_err(fault)?;
    let mut names = Vec::new();
    for entry in entries {
        names.push(entry.map_err(fault)?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// The number of a name like `damaged-7`.
pub fn numbered(name: &str, kind: &str) -> Option<u64> {
    name.strip_prefix(kind)?.strip_prefix('-')?.parse().ok()
}

/// Where a life is, within the folder.
pub fn current(folder: &Path) -> PathBuf {
    folder.join("current")
}
