//! Who watches whom where not all routers are linked: each the next two of the list, in the order of names, round to the first again. Of
//! routers that are not reached, the nearest before them that is speaks for all.

use super::{Step, TableManager};
use crate::words::Message;
use basaltgw_placement::Register;
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::BTreeSet;
use std::ops::Bound;

/// So many that are reached, or not known not to be, are watched: with one lost, another still is.
const WATCHED: usize = 2;
/// And no more than so many in all.
const MOST_WATCHED: usize = 64;

impl TableManager {
    /// From now on routers are linked only as they are needed.
    pub fn keep_standing_links(&mut self) {
        self.standing = true;
    }

    /// Routers that are listed besides this one.
    pub fn listed(&self) -> impl Iterator<Item = &RouterId> {
        self.given.founders.keys().filter(|r| **r != self.given.me.router)
    }

    /// No table stands as far as is known here: all that are listed have to meet.
    pub fn is_to_found(&self) -> bool {
        self.stands.is_none() && !self.founded_elsewhere
    }

    /// The routers of the table and of the one on its way in.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        let register = self.adoption.register();
        let next = register.and_then(Register::next).map(|n| &*n.table);
        let tables = register.map(Register::table).into_iter().chain(next);
        tables.flat_map(|t| t.routers()).map(|(m, _)| m.clone())
    }

    /// Routers that this one watches, in the order of the ring: with those between them that are not reached.
    pub fn watched(&self) -> Vec<RouterId> {
        let me = &self.given.me.router;
        let founders = &self.given.founders;
        let after = founders.range((Bound::Excluded(me), Bound::Unbounded));
        let ring = after.chain(founders.range(..me.clone()));
        let (mut watched, mut there) = (Vec::new(), 0);
        for (router, _) in ring.take(MOST_WATCHED) {
            watched.push(router.clone());
            there += usize::from(!self.lost.contains_key(router));
            if there == WATCHED {
                break;
            }
        }
        watched
    }

    /// A link is down; it is not known yet whether its router is lost.
    pub fn parted(&mut self, member: &Member) {
        if self.met.get(&member.router) == Some(member) {
            self.met.remove(&member.router);
        }
    }

    /// A router was dialled and not reached.
    pub fn unreached(&mut self, now: Ms, router: &RouterId) {
        if !self.met.contains_key(router) {
            self.lost.entry(router.clone()).or_insert(now);
        }
    }

    /// Routers are held to be lost only while they are dialled.
    pub fn keep_lost(&mut self, dialled: &BTreeSet<RouterId>) {
        self.lost.retain(|router, _| dialled.contains(router));
    }

    /// Whether this router speaks for one of those: all between the two are not reached.
    pub(super) fn speaks_for<'a>(&self, mut changed: impl Iterator<Item = &'a RouterId>) -> bool {
        let mut lost_between = true;
        let mut of: BTreeSet<RouterId> = BTreeSet::new();
        for router in self.watched() {
            if !lost_between {
                break;
            }
            lost_between = self.lost.contains_key(&router);
            of.insert(router);
        }
        changed.any(|router| of.contains(router))
    }

    /// How what this router has on its disk is said: to whoever brings the table in, and to all once that has taken too long.
    pub(super) fn evidence(&self, word: Message) -> Step {
        let next = self.adoption.register().and_then(Register::next);
        match next.filter(|_| self.standing) {
            Some(next) => Step::SayNear(word, Some(next.by.clone())),
            None if self.standing => Step::SayNear(word, None),
            None => Step::SayAll(word),
        }
    }
}
