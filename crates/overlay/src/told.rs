//! Which words were told as new, by their content, and which are held back since another is to say them.

use crate::Kind;
use basaltgw_structures::hash::mix;
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// The same at all routers: by it they agree who says a word first.
pub(crate) fn content(kind: Kind, word: &[u8]) -> u64 {
    keyed(0, kind, word)
}

/// By eights, each mixed into what came before.
pub(crate) fn keyed(key: u64, kind: Kind, word: &[u8]) -> u64 {
    let start = mix(key, (kind as u64) << 32 | word.len() as u64);
    word.chunks(8).fold(start, |hash, eight| {
        let mut bytes = [0; 8];
        bytes[..eight.len()].copy_from_slice(eight);
        mix(hash.rotate_left(5), u64::from_le_bytes(bytes))
    })
}

/// A word that is known here and is to be said by another.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub since: Ms,
    /// When the next thing is done for it.
    pub due: Ms,
    /// The router above does not know it: it is given, and not asked about.
    pub climbs: bool,
    /// It was asked about, or given, since the router above is that one.
    pub asked: bool,
    /// It was asked about before: chance that lets its half hash be known needn't go with the router that was asked.
    pub again: bool,
    pub kind: Kind,
    pub word: Vec<u8>,
}

/// The first half of a hash.
pub(crate) fn half(hash: u64) -> [u8; 4] {
    ((hash >> 32) as u32).to_le_bytes()
}

/// What was told. Two halves: the older goes once the younger is full of age, so that no time is kept by word.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// Own to this router and drawn, so that nobody can choose a word that is taken for another; neighbours are told, for what they ask.
    pub key: u64,
    young: BTreeSet<u64>,
    old: BTreeSet<u64>,
    turned: Ms,
    pub held: BTreeMap<u64, Held>,
}

impl Told {
    pub fn new(key: u64) -> Self {
        let (young, old) = (BTreeSet::new(), BTreeSet::new());
        Self { key, young, old, turned: 0.0, held: BTreeMap::new() }
    }

    pub fn key(&self, kind: Kind, word: &[u8]) -> u64 {
        keyed(self.key, kind, word)
    }

    /// True if it is told for the first time.
    pub fn first(&mut self, key: u64) -> bool {
        !self.old.contains(&key) && self.young.insert(key)
    }

    pub fn has(&self, key: u64) -> bool {
        self.young.contains(&key) || self.old.contains(&key)
    }

    /// Whether a word with that first half was told.
    pub fn has_half(&self, half: [u8; 4]) -> bool {
        let from = u64::from(u32::from_le_bytes(half)) << 32;
        let all = from..=from | u64::from(u32::MAX);
        self.young.range(all.clone()).next().is_some() || self.old.range(all).next().is_some()
    }

    pub fn turn(&mut self, now: Ms, keep: Ms) {
        if now - self.turned >= keep {
            self.turned = now;
            self.old = std::mem::take(&mut self.young);
        }
    }

    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
