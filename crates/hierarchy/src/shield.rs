//! Fills under way at a node: one for each object's part, whoever asks; those that wait for it; and failed ones.

use crate::{Ms, NodeId, Settings, Trail};
use indexmap::IndexMap;

/// What is filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FillKey {
    /// The object.
    pub object: u64,
    /// Its part.
    pub part: u64,
}

/// Somebody who waits, by a number of the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// What is to be done for somebody who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Begin the fill.
    Begin,
    /// Wait: it is under way.
    Joined,
    /// Nothing is held and nothing comes here: the one who asks is itself whom the fill waits for.
    Lacks,
    /// There is no place for another fill or waiter; it never ran.
    Full,
    /// The same fill failed a moment ago.
    Failed,
}

/// What is to be done once a fill has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Then {
    /// Try once more, elsewhere.
    Again,
    /// Tell all of them.
    Tell(Vec<Waiter>),
}

#[derive(Clone, Debug)]
struct Waits {
    who: Waiter,
    /// The node that asks, if it is one.
    asker: Option<NodeId>,
    deadline: Ms,
    /// The copy must be no older.
    since: Ms,
}

#[derive(Clone, Debug)]
struct Fill {
    /// Whom it was asked of, and whether that one waits for nobody: the archive, or one asked only for what it holds.
    of: Option<(NodeId, bool)>,
    again: bool,
    waiters: Vec<Waits>,
}

/// The fills of one node. Bounded by the settings' `fills` and `waiters`.
#[derive(Clone, Debug, Default)]
pub struct Shield {
    fills: IndexMap<FillKey, Fill>,
    failed: IndexMap<FillKey, Ms>,
}

/// Somebody who asks for a part that is not held.
#[derive(Clone, Copy, Debug)]
pub struct Asks<'a> {
    /// The node that is asked: this one.
    pub me: &'a NodeId,
    /// Who waits.
    pub waiter: Waiter,
    /// Until when.
    pub deadline: Ms,
    /// When the copy must have been given out at the earliest: after a purge only copies made since will do.
    pub since: Ms,
    /// The nodes that it has passed.
    pub trail: &'a Trail,
    /// It wants what is held or under way and no fill of its own.
    pub held_only: bool,
}

impl Shield {
    /// Somebody asks for what is not held here.
    pub fn ask(&mut self, now: Ms, key: FillKey, asks: Asks<'_>, set: &Settings) -> Came {
        let asker = asks.trail.last().cloned();
        let waits = Waits { who: asks.waiter, asker, deadline: asks.deadline, since: asks.since };
        if let Some(fill) = self.fills.get_mut(&key) {
            let rings = match &fill.of {
                // Who waits for what waits for it would wait for ever. What settles by itself may be waited for by anyone: an old
                // home that asks the new one while that asks it what it holds must not both go to the archive.
                Some((_, true)) => false,
                Some(_) if asks.held_only => true,
                // Two that ask each other at the same time: one of them refuses, the same one whoever comes first, or both would
                // go to the archive.
                Some((of, false)) if asks.trail.last() == Some(of) => asks.me < of,
                Some((of, false)) => asks.trail.holds(of),
                None => asks.held_only,
            };
            return match (rings, fill.waiters.len() < set.waiters) {
                (true, _) => Came::Lacks,
                (false, false) => Came::Full,
                (false, true) => {
                    fill.waiters.push(waits);
                    Came::Joined
                }
            };
        }
        if asks.held_only {
            return Came::Lacks;
        }
        if self.failed.get(&key).is_some_and(|until| now < *until) {
            return Came::Failed;
        }
        if self.fills.len() >= set.fills {
            return Came::Full;
        }
        self.fills.insert(key, Fill { of: None, again: false, waiters: vec![waits] });
        Came::Begin
    }

    /// The fill of a key was asked of a node. `settles`: that waits for nobody, as the archive, or as one asked only for what it holds.
    pub fn asked(&mut self, key: FillKey, of: &NodeId, settles: bool) {
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.of = Some((of.clone(), settles));
        }
    }

    /// A fill is whole, with a copy that was given out at that time: those whom it serves, and those for whom it is too
    /// old, who ask again.
    pub fn done(&mut self, key: FillKey, born: Ms) -> (Vec<Waiter>, Vec<Waiter>) {
        self.failed.swap_remove(&key);
        let waiters = self.fills.swap_remove(&key).map(|f| f.waiters).unwrap_or_default();
        let (served, old): (Vec<Waits>, Vec<Waits>) = waiters.into_iter().partition(|w| w.since <= born);
        let who = |all: Vec<Waits>| all.into_iter().map(|w| w.who).collect();
        (who(served), who(old))
    }

    /// A fill has failed: once more by the node itself if `may` (somewhere else is left, and time), then all are told.
    pub fn failed(&mut self, now: Ms, key: FillKey, may: bool, set: &Settings) -> Then {
        let Some(fill) = self.fills.get_mut(&key) else { return Then::Tell(Vec::new()) };
        if may && !fill.again && fill.waiters.iter().any(|w| w.deadline > now) {
            (fill.again, fill.of) = (true, None);
            return Then::Again;
        }
        let told = fill.waiters.iter().map(|w| w.who).collect();
        self.failed.insert(key, now + set.failed);
        if self.failed.len() > set.fills {
            self.failed.shift_remove_index(0);
        }
        self.fills.swap_remove(&key);
        Then::Tell(told)
    }

    /// A fill ends without a copy and without counting as failed: those who waited.
    pub fn ended(&mut self, key: FillKey) -> Vec<Waiter> {
        self.fills
            .swap_remove(&key)
            .map(|f| f.waiters.into_iter().map(|w| w.who).collect())
            .unwrap_or_default()
    }

    /// True if a fill of that part is under way.
    pub fn under_way(&self, key: FillKey) -> bool {
        self.fills.contains_key(&key)
    }

    /// A fill goes on elsewhere without counting as failed: it was refused as a loop, or the other has nothing.
    pub fn turned(&mut self, key: FillKey) {
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.of = None;
        }
    }

    /// Those whose time is up: they are told and no longer wait; the fill runs on.
    pub fn overdue(&mut self, now: Ms) -> Vec<Waiter> {
        let mut late = Vec::new();
        for fill in self.fills.values_mut() {
            fill.waiters.retain(|w| {
                let keeps = w.deadline > now;
                if !keeps {
                    late.push(w.who);
                }
                keeps
            });
        }
        self.failed.retain(|_, until| *until > now);
        late
    }

    /// Nodes that wait for the fill of a part: it must not be asked of them.
    pub fn waiting(&self, key: FillKey) -> impl Iterator<Item = &NodeId> + '_ {
        self.fills.get(&key).into_iter().flat_map(|f| f.waiters.iter().filter_map(|w| w.asker.as_ref()))
    }

    /// Somebody no longer waits.
    pub fn left(&mut self, key: FillKey, waiter: Waiter) {
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.waiters.retain(|w| w.who != waiter);
        }
    }

    /// An object was purged: that its fill failed before tells nothing any more.
    pub fn purged(&mut self, object: u64) {
        self.failed.retain(|key, _| key.object != object);
    }

    /// The node has crashed: nothing of it is under way, and those who waited learn it by their connections.
    pub fn clear(&mut self) {
        self.fills.clear();
        self.failed.clear();
    }

    /// Fills under way.
    pub fn len(&self) -> usize {
        self.fills.len()
    }

    /// True if nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.fills.is_empty()
    }
}

#[cfg(test)]
mod tests;
