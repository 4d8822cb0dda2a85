//! Deduplication of updates by their content: which updates were delivered, and which are pending because another router is to publish them.

use crate::Kind;
use basaltgw_structures::hash::mix;
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Hash of an update that is the same at all routers: it determines which of them publishes the update.
pub(crate) fn content_hash(kind: Kind, update: &[u8]) -> u64 {
    keyed_hash(0, kind, update)
}

/// Hash of an update under a key.
pub(crate) fn keyed_hash(key: u64, kind: Kind, update: &[u8]) -> u64 {
    let start = mix(key, (kind as u64) << 32 | update.len() as u64);
    update.chunks(8).fold(start, |hash, chunk| {
        let mut bytes = [0; 8];
        bytes[..chunk.len()].copy_from_slice(chunk);
        mix(hash.rotate_left(5), u64::from_le_bytes(bytes))
    })
}

/// Upper half of a hash.
pub(crate) fn short_hash(hash: u64) -> [u8; 4] {
    ((hash >> 32) as u32).to_le_bytes()
}

/// Update that is known here and that another router is to publish.
#[derive(Clone, Debug)]
pub(crate) struct PendingUpdate {
    pub since: Ms,
    /// When it is next acted on.
    pub due: Ms,
    /// The parent does not know it: it is sent to the parent instead of queried.
    pub is_escalated: bool,
    /// It was queried at, or sent to, the present parent.
    pub is_sent: bool,
    /// It was queried or sent before, perhaps at another parent: further queries use the full hash, in case the short one collides.
    pub was_sent_before: bool,
    pub kind: Kind,
    pub update: Vec<u8>,
}

impl PendingUpdate {
    pub fn new(now: Ms, due: Ms, kind: Kind, update: Vec<u8>) -> Self {
        Self { since: now, due, is_escalated: false, is_sent: false, was_sent_before: false, kind, update }
    }

    /// Whether the update itself is sent next, instead of a query.
    pub fn escalates(&self) -> bool {
        self.is_escalated && !self.is_sent
    }
}

/// Hashes of delivered updates, in two generations. The older one is dropped as a whole, so that no time is stored for each update.
#[derive(Clone, Debug)]
pub(crate) struct Deduplication {
    /// Random for each router, so that nobody can construct an update that is mistaken for another. Neighbors need it for their queries.
    pub hash_key: u64,
    recent: BTreeSet<u64>,
    older: BTreeSet<u64>,
    rotated_at: Ms,
    /// Updates that another router is to publish, by hash.
    pub pending: BTreeMap<u64, PendingUpdate>,
}

impl Deduplication {
    pub fn new(hash_key: u64) -> Self {
        let (recent, older) = (BTreeSet::new(), BTreeSet::new());
        Self { hash_key, recent, older, rotated_at: 0.0, pending: BTreeMap::new() }
    }

    /// Hash of an update under the own key.
    pub fn hash(&self, kind: Kind, update: &[u8]) -> u64 {
        keyed_hash(self.hash_key, kind, update)
    }

    /// Adds an update; false if it was known.
    pub fn insert(&mut self, hash: u64) -> bool {
        !self.older.contains(&hash) && self.recent.insert(hash)
    }

    pub fn contains(&self, hash: u64) -> bool {
        self.recent.contains(&hash) || self.older.contains(&hash)
    }

    /// Whether an update with this upper half of its hash is known.
    pub fn contains_short(&self, short_hash: [u8; 4]) -> bool {
        let first = u64::from(u32::from_le_bytes(short_hash)) << 32;
        let range = first..=first | u64::from(u32::MAX);
        self.recent.range(range.clone()).next().is_some() || self.older.range(range).next().is_some()
    }

    /// Begins a new generation if the present one is older than `retention` milliseconds.
    pub fn rotate(&mut self, now: Ms, retention: Ms) {
        if now - self.rotated_at >= retention {
            self.rotated_at = now;
            self.older = std::mem::take(&mut self.recent);
        }
    }

    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }
}
