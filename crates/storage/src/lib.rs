//! Bytes that survive a crash: spaces of keys and values, changed by batches that are there whole or not at all.
//!
//! It knows nothing of what the bytes mean. One thread owns a [`Store`]; it alone waits for the disk. A folder has one life
//! ([`basaltgw_types::Incarnation`]), drawn when it was empty. What is torn, cut, flipped, foreign or from a later version is told apart
//! and never taken for what was written.
//!
//! A folder holds `lock`, `current` (`life`: header and marks; `data`: the database; `generation-N`: whole copies for operators) and
//! `damaged-N` (lives that were set aside). A life that may have lost one acknowledged write never opens again: see
//! `docs/fleet-link.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod data;
mod fault;
mod files;
mod generation;
mod life;
mod store;

pub use fault::Fault;
pub use generation::{read_generation, Generation};
pub use store::Store;

use basaltgw_types::Incarnation;

/// A space of keys of its own; its number is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Space(pub u8);

/// The bounds of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Entries over all spaces.
    pub entries: u64,
    /// Bytes of keys and values over all spaces.
    pub bytes: u64,
    /// The longest key and value together, in bytes.
    pub entry: usize,
}

/// One change of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put(Space, Vec<u8>, Vec<u8>),
    /// Removes a key; nothing if there is none.
    Remove(Space, Vec<u8>),
}

/// What a folder was found to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Empty: a new life begins, under this incarnation.
    Empty(Incarnation),
    /// A life goes on.
    Life(Incarnation),
}

/// Keys and their values.
pub type Pairs = Vec<(Vec<u8>, Vec<u8>)>;
