//! Durable storage: key spaces that are changed by atomic batches.
//!
//! One thread owns a [`Store`] and waits for the disk. A folder has one [`basaltgw_types::Incarnation`], assigned when it was empty. Files that
//! are truncated, corrupted, foreign or of a later version are never read as if they were intact: [`StorageError`] has a variant for each.
//!
//! | in the folder | content |
//! | --- | --- |
//! | `lock` | the lock of the process that has the store open |
//! | `current/life` | the superblock: the incarnation, and two commit marks |
//! | `current/data` | the database |
//! | `current/generation-N` | snapshots for operators |
//! | `damaged-N` | quarantined stores |
//!
//! A store that may have lost an acknowledged commit never opens again: see `docs/fleet-link.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checksum;
mod commit_summary;
mod database;
mod error;
mod folder;
mod snapshot;
mod store;
mod superblock;

pub use error::StorageError;
pub use snapshot::{read_snapshot, Snapshot, SnapshotEntry};
pub use store::Store;

use basaltgw_types::Incarnation;

/// A key space; its number is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Space(pub u8);

/// The limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Entries in all spaces.
    pub max_entries: u64,
    /// Bytes of keys and values in all spaces.
    pub max_bytes: u64,
    /// Bytes of the longest key and value together.
    pub max_entry_bytes: usize,
}

/// A change of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets the value of a key.
    Put(Space, Vec<u8>, Vec<u8>),
    /// Removes a key, if it exists.
    Remove(Space, Vec<u8>),
}

impl Write {
    fn space(&self) -> Space {
        match self {
            Self::Put(space, ..) | Self::Remove(space, _) => *space,
        }
    }

    fn key(&self) -> &[u8] {
        match self {
            Self::Put(_, key, _) | Self::Remove(_, key) => key,
        }
    }

    fn value_bytes(&self) -> usize {
        match self {
            Self::Put(_, _, value) => value.len(),
            Self::Remove(..) => 0,
        }
    }
}

/// What a folder contained when it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FolderState {
    /// Nothing: a new store was created under this incarnation.
    New(Incarnation),
    /// A store of this incarnation.
    Existing(Incarnation),
}

/// Keys and their values.
pub type Pairs = Vec<(Vec<u8>, Vec<u8>)>;
