//! The identity of a router in SWIM, and which of two identities of one name is the current one.
//!
//! An identity lists the incarnations that it has replaced; none of them is ever current again. Where two identities each list the other, or
//! neither does, the higher generation decides, then the incarnation, then the rest: exactly one of two different identities is current.

use crate::Presence;
use basaltgw_types::{parse_name, Incarnation, Member, RouterId};
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Replaced incarnations that an identity lists at most; a router gets a new incarnation when it loses its disk.
const MAX_REPLACED: usize = 8;
/// The highest generation; an identity above it is invalid.
const MAX_GENERATION: u64 = 1 << 48;

/// A router under one incarnation, with a generation that rises each time it returns after others considered it down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouterIdentity {
    pub presence: Presence,
    /// Higher than that of every other identity of this name that the router knew when it chose this one.
    pub generation: u64,
    /// The incarnations that this one has replaced, the latest first.
    pub replaced: Arc<[Incarnation]>,
}

impl RouterIdentity {
    /// The first identity of an incarnation.
    pub fn new(presence: Presence) -> Self {
        Self { presence, generation: 0, replaced: Arc::from([]) }
    }

    pub fn member(&self) -> &Member {
        &self.presence.member
    }

    pub fn router(&self) -> &RouterId {
        &self.presence.member.router
    }

    /// True if this identity lists the other's incarnation.
    fn lists(&self, other: &Self) -> bool {
        self.replaced.contains(&other.member().incarnation)
    }

    /// True if this identity is the current one of the two. A total order: of two different identities exactly one is.
    pub fn is_current_over(&self, other: &Self) -> bool {
        let order = |i: &Self| (i.generation, i.member().incarnation);
        let rest = |i: &Self| (i.presence.address, i.presence.domain.clone(), i.replaced.clone());
        match (self.lists(other), other.lists(self)) {
            (true, false) => true,
            (false, true) => false,
            (true, true) | (false, false) => (order(self), rest(self)) > (order(other), rest(other)),
        }
    }

    /// True if this identity has replaced the other's incarnation for good.
    pub fn replaces(&self, other: &Self) -> bool {
        self.lists(other) && self.is_current_over(other)
    }

    /// This identity with a higher generation than `known` and with its incarnations listed as replaced; `None` above [`MAX_GENERATION`].
    pub fn raised_above(&self, known: &Self) -> Option<Self> {
        let generation = self.generation.max(known.generation) + 1;
        let mut replaced = Vec::new();
        let known_incarnations =
            std::iter::once(known.member().incarnation).chain(known.replaced.iter().copied());
        for incarnation in known_incarnations.chain(self.replaced.iter().copied()) {
            let is_new = incarnation != self.member().incarnation && !replaced.contains(&incarnation);
            if is_new && replaced.len() < MAX_REPLACED {
                replaced.push(incarnation);
            }
        }
        let raised = Self { presence: self.presence.clone(), generation, replaced: replaced.into() };
        (generation <= MAX_GENERATION).then_some(raised)
    }

    /// True if the names are valid, the bounds are kept, and the own incarnation is not listed as replaced.
    pub fn is_valid(&self) -> bool {
        let Presence { member, domain, .. } = &self.presence;
        [&member.router.0, &domain.branch, &domain.machine].iter().all(|n| parse_name(n).is_ok())
            && self.replaced.len() <= MAX_REPLACED
            && self.generation <= MAX_GENERATION
            && !self.replaced.contains(&member.incarnation)
    }
}

impl Identity for RouterIdentity {
    type Addr = RouterId;

    fn renew(&self) -> Option<Self> {
        self.raised_above(self)
    }

    fn addr(&self) -> RouterId {
        self.router().clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.is_current_over(adversary)
    }
}

#[cfg(test)]
mod tests;
