//! What can be wrong with a folder, told apart.

use std::io;
use std::path::{Path, PathBuf};

/// Why a store could not be opened, read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Cut short: less is there than was acknowledged. The life is over; see [`crate::Store::set_aside`].
    #[error("{}: cut short: {why}", path.display())]
    Torn {
        /// Which file.
        path: PathBuf,
        /// What was expected and what was found.
        why: String,
    },
    /// All there, and not what was written. The life is over; see [`crate::Store::set_aside`].
    #[error("{}: not what was written: {why}", path.display())]
    Flipped {
        /// Which file.
        path: PathBuf,
        /// What was expected and what was found.
        why: String,
    },
    /// Never written by this life of this program.
    #[error("{}: not this store's: {why}", path.display())]
    Foreign {
        /// Which file.
        path: PathBuf,
        /// What was expected and what was found.
        why: String,
    },
    /// Written by a later version of the program.
    #[error("{}: format {found}, expected at most {known}: written by a later version", path.display())]
    Future {
        /// Which file.
        path: PathBuf,
        /// Its format.
        found: u16,
        /// The latest format known here.
        known: u16,
    },
    /// Another process has it.
    #[error("{}: another process has this folder", path.display())]
    Locked {
        /// The lock.
        path: PathBuf,
    },
    /// The disk is full or read-only, or failed. What was stored can still be read; the next commit tries again.
    ///
    /// The batch of a commit that failed so is there whole or not at all, and which is known only by reading.
    #[error("{}: the disk takes no writes: {why}", path.display())]
    NoDisk {
        /// Which file.
        path: PathBuf,
        /// What kind of error.
        kind: io::ErrorKind,
        /// In the system's words.
        why: String,
    },
    /// A bound of [`crate::Limits`] would be passed; nothing was written.
    #[error("{what}: {wanted} are over the bound of {bound}")]
    Full {
        /// Which bound.
        what: &'static str,
        /// How much there would be.
        wanted: u64,
        /// How much there may be.
        bound: u64,
    },
}

impl Fault {
    /// An error of the system. What the file system refuses (space, rights) and what it can't do are alike here: nothing is promised.
    pub(crate) fn io(path: &Path, error: &io::Error) -> Self {
        Self::NoDisk { path: path.into(), kind: error.kind(), why: error.to_string() }
    }

    pub(crate) fn torn(path: &Path, why: impl Into<String>) -> Self {
        Self::Torn { path: path.into(), why: why.into() }
    }

    pub(crate) fn flipped(path: &Path, why: impl Into<String>) -> Self {
        Self::Flipped { path: path.into(), why: why.into() }
    }

    pub(crate) fn foreign(path: &Path, why: impl Into<String>) -> Self {
        Self::Foreign { path: path.into(), why: why.into() }
    }

    /// Whether the life is over: only a new one, under another incarnation, can begin in its place.
    pub fn ends_life(&self) -> bool {
        match self {
            Self::Torn { .. } | Self::Flipped { .. } => true,
            Self::Foreign { .. } | Self::Future { .. } | Self::Locked { .. } => false,
            Self::NoDisk { .. } | Self::Full { .. } => false,
        }
    }
}
