//! One life of a router as the membership tells it, and which of two lives of one name is the current one.

use crate::Presence;
use basaltgw_types::{name, Incarnation, Member, RouterId};
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Former lives that a life names: one for each disk lost since the router was first set up is more than a few.
const MOST_FORMER: usize = 8;
/// No router comes back so often.
const MOST_GENERATION: u64 = 1 << 48;

/// A router with its folder, counted up each time that it comes back among those who held it to be down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Life {
    pub presence: Presence,
    /// Above that of any life or return of this name that it was told of when it came.
    pub generation: u64,
    /// The folders that this one came in place of, the latest first: none of them is current ever again.
    pub former: Arc<[Incarnation]>,
}

impl Life {
    pub fn new(presence: Presence) -> Self {
        Self { presence, generation: 0, former: Arc::from([]) }
    }

    pub fn member(&self) -> &Member {
        &self.presence.member
    }

    pub fn router(&self) -> &RouterId {
        &self.presence.member.router
    }

    fn follows(&self, other: &Self) -> bool {
        self.former.contains(&other.member().incarnation)
    }

    /// Whether this life is the current one of the two. Total: of any two that differ, exactly one is.
    pub fn beats(&self, other: &Self) -> bool {
        let order = |l: &Self| (l.generation, l.member().incarnation);
        let place = |l: &Self| (l.presence.address, l.presence.domain.clone(), l.former.clone());
        match (self.follows(other), other.follows(self)) {
            (true, false) => true,
            (false, true) => false,
            (true, true) | (false, false) => (order(self), place(self)) > (order(other), place(other)),
        }
    }

    /// Whether it has come in place of the other folder for good.
    pub fn replaces(&self, other: &Self) -> bool {
        self.follows(other) && self.beats(other)
    }

    /// Itself, above what others know of its name; `None` if no number is left.
    pub fn above(&self, known: &Self) -> Option<Self> {
        let generation = self.generation.max(known.generation) + 1;
        let mut former = Vec::new();
        let theirs = std::iter::once(known.member().incarnation).chain(known.former.iter().copied());
        for one in theirs.chain(self.former.iter().copied()) {
            if one != self.member().incarnation && !former.contains(&one) && former.len() < MOST_FORMER {
                former.push(one);
            }
        }
        let next = Self { presence: self.presence.clone(), generation, former: former.into() };
        (generation <= MOST_GENERATION).then_some(next)
    }

    /// Whether it may have been written by a router of ours.
    pub fn plausible(&self) -> bool {
        let Presence { member, domain, .. } = &self.presence;
        [&member.router.0, &domain.branch, &domain.machine].iter().all(|n| name(n).is_ok())
            && self.former.len() <= MOST_FORMER
            && self.generation <= MOST_GENERATION
            && !self.former.contains(&member.incarnation)
    }
}

impl Identity for Life {
    type Addr = RouterId;

    fn renew(&self) -> Option<Self> {
        self.above(self)
    }

    fn addr(&self) -> RouterId {
        self.router().clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.beats(adversary)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use basaltgw_types::Domain;

    fn life(incarnation: u128, generation: u64, former: &[u128]) -> Life {
        let member = Member { router: RouterId("r1".into()), incarnation: Incarnation(incarnation) };
        let domain = Domain { branch: "b".into(), machine: "m".into() };
        let presence = Presence { member, address: ([127, 0, 0, 1], 7101).into(), domain };
        Life { presence, generation, former: former.iter().map(|i| Incarnation(*i)).collect() }
    }

    #[test]
    fn of_two_lives_exactly_one_is_current_and_a_former_one_never_is() {
        let lives = [
            life(1, 0, &[]),
            life(9, 0, &[]),
            life(9, 3, &[]),
            life(2, 1, &[9, 1]),
            life(9, 4, &[2]),
            life(9, 4, &[]),
        ];
        for a in &lives {
            for b in lives.iter().filter(|b| *b != a) {
                assert!(a.beats(b) != b.beats(a), "{a:?} {b:?}");
            }
        }
        // Whatever numbers the wiped machine's former life still reaches.
        assert!(life(2, 1, &[9]).replaces(&life(9, 400, &[])));
        assert!(!life(9, 400, &[]).beats(&life(2, 1, &[9])));
        // Two that each say to have come after the other: the numbers decide.
        assert!(
            life(9, 400, &[2]).replaces(&life(2, 1, &[9])) && !life(2, 1, &[9]).replaces(&life(9, 400, &[2]))
        );
    }

    #[test]
    fn who_comes_after_a_life_names_it_and_is_above_it() {
        let next = life(5, 0, &[]).above(&life(9, 7, &[1, 5])).expect("above");
        assert_eq!(next, life(5, 8, &[9, 1]));
        let back = life(5, 8, &[9]).renew().expect("back");
        assert_eq!(back, life(5, 9, &[9]));
        let most: Vec<u128> = (10..10 + MOST_FORMER as u128).collect();
        let full = life(5, 0, &[]).above(&life(9, 7, &most)).expect("above");
        assert!(full.plausible() && full.former.len() == MOST_FORMER && full.replaces(&life(9, 7, &most)));
        assert_eq!(life(5, 0, &[]).above(&life(9, MOST_GENERATION, &[])), None);
    }
}
