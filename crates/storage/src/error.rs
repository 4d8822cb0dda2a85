//! The errors of a store.

use std::io;
use std::path::{Path, PathBuf};

/// Why a store could not be opened, read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// Less is stored than was acknowledged. The store can't be used any more; see [`crate::Store::quarantine`].
    #[error("{}: truncated: {details}", path.display())]
    Truncated {
        /// The file.
        path: PathBuf,
        /// What was expected, and what was found.
        details: String,
    },
    /// The content is not what was written. The store can't be used any more; see [`crate::Store::quarantine`].
    #[error("{}: corrupted: {details}", path.display())]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// What was expected, and what was found.
        details: String,
    },
    /// The file was not written by this store.
    #[error("{}: not a file of this store: {details}", path.display())]
    Foreign {
        /// The file.
        path: PathBuf,
        /// What was expected, and what was found.
        details: String,
    },
    /// The file was written by a later version of the program.
    #[error("{}: format {found}, expected at most {supported}: written by a later version", path.display())]
    UnsupportedVersion {
        /// The file.
        path: PathBuf,
        /// The format of the file.
        found: u16,
        /// The latest format that this version supports.
        supported: u16,
    },
    /// Another process has the store open.
    #[error("{}: the store is open in another process", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The disk is full, read-only or failing. What was stored can still be read; the next commit tries again.
    ///
    /// The batch of a commit that failed with this error is stored completely or not at all; which of the two can be found by reading only.
    #[error("{}: disk I/O failed: {details}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The kind of the system's error.
        kind: io::ErrorKind,
        /// The system's error message.
        details: String,
    },
    /// A limit would be exceeded; nothing was written.
    #[error("{limit}: {wanted} exceed the limit of {max}")]
    LimitExceeded {
        /// The limit.
        limit: &'static str,
        /// The value after the operation.
        wanted: u64,
        /// The greatest value allowed.
        max: u64,
    },
}

impl StorageError {
    /// An I/O error of the system, of any kind: nothing was acknowledged.
    pub(crate) fn io(path: &Path, error: &io::Error) -> Self {
        Self::Io { path: path.into(), kind: error.kind(), details: error.to_string() }
    }

    pub(crate) fn truncated(path: &Path, details: impl Into<String>) -> Self {
        Self::Truncated { path: path.into(), details: details.into() }
    }

    pub(crate) fn corrupted(path: &Path, details: impl Into<String>) -> Self {
        Self::Corrupted { path: path.into(), details: details.into() }
    }

    pub(crate) fn foreign(path: &Path, details: impl Into<String>) -> Self {
        Self::Foreign { path: path.into(), details: details.into() }
    }

    /// True if the store is lost: only a new one, under another incarnation, can take its place.
    pub fn requires_new_incarnation(&self) -> bool {
        match self {
            Self::Truncated { .. } | Self::Corrupted { .. } => true,
            Self::Foreign { .. } | Self::UnsupportedVersion { .. } | Self::Locked { .. } => false,
            Self::Io { .. } | Self::LimitExceeded { .. } => false,
        }
    }
}
