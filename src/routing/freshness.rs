//! How old a copy may be that answers a request.
//!
//! Inputs: the class's freshness lifetime and stale period, and the purges of the object and of its group,
//! all in milliseconds. Until every copy from before a purge is gone, copies older than the purge are not
//! accepted.

use super::request::{PendingRequest, Route};
use super::Router;
use crate::api::*;
use indexmap::IndexMap;

/// A purge limits ages for this much longer than purges take to converge: a slow fill that began before the
/// purge may leave an old copy behind. Copies made since the purge are accepted, so this costs only memory.
const PURGE_RETENTION_MS: Ms = 60_000.0;
/// Subtracted from an age limit against rounding.
const AGE_MARGIN_MS: Ms = 2.0;
/// Least age limit, since 0 stands for the class's freshness lifetime.
const MIN_AGE_MS: Ms = 1.0;

/// What a purge invalidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PurgeTarget {
    /// One object.
    Object(ObjectId),
    /// All objects of a group.
    Group(GroupId),
}

/// The latest purge of each target.
#[derive(Default)]
pub(super) struct Purges {
    purged_at: IndexMap<PurgeTarget, Ms>,
}

impl Purges {
    /// Records a purge; an earlier one than the latest changes nothing.
    pub fn record(&mut self, target: PurgeTarget, purged_at: Ms) {
        let latest = self.purged_at.entry(target).or_insert(purged_at);
        *latest = latest.max(purged_at);
    }

    /// When an object or its group was last purged; negative infinity if never.
    fn last_purged(&self, object: ObjectId, group: GroupId) -> Ms {
        let targets = [PurgeTarget::Object(object), PurgeTarget::Group(group)];
        let purged = targets.iter().filter_map(|target| self.purged_at.get(target));
        purged.copied().fold(f64::NEG_INFINITY, f64::max)
    }

    /// Removes purges before a time.
    pub fn expire(&mut self, before: Ms) {
        self.purged_at.retain(|_, at| *at >= before);
    }

    /// Moves all purges into the past, in milliseconds.
    pub fn shift(&mut self, by: Ms) {
        self.purged_at.values_mut().for_each(|at| *at -= by);
    }

    /// All targets with the times of their latest purges.
    pub fn iter(&self) -> impl Iterator<Item = (PurgeTarget, Ms)> + '_ {
        self.purged_at.iter().map(|(target, at)| (*target, *at))
    }
}

impl Router {
    /// Records a purge of an object, or of a whole group, of an age in milliseconds.
    pub(super) fn on_purged(&mut self, group: GroupId, object: Option<ObjectId>, age: Ms) {
        let purged_at = self.now - age.max(0.0);
        let target = object.map_or(PurgeTarget::Group(group), PurgeTarget::Object);
        self.purges.record(target, purged_at);
    }

    /// How long a purge limits the age of copies, in milliseconds.
    pub(super) fn purge_lifetime(&self) -> Ms {
        self.settings.purge_convergence_time.max(self.settings.purge_grace) + PURGE_RETENTION_MS
    }

    /// The greatest age in milliseconds of a copy that answers a request by a route; `None` for the class's
    /// freshness lifetime. A route without a source accepts stale copies: a stale copy is worth less than a
    /// fresh one and more than a rejection. Without a freshness lifetime, the class's time for stale copies
    /// alone limits the age of a copy.
    pub(super) fn max_age(&self, pending: &PendingRequest, route: &Route) -> Option<Ms> {
        let purged_at = self.purges.last_purged(pending.request.object, pending.request.group);
        let class = &self.settings.classes[pending.class.0];
        let accepts_stale = route.source.is_none();
        let lifetime = if accepts_stale { class.fresh_for + class.stale_for } else { class.fresh_for };
        if self.now > purged_at + self.purge_lifetime() {
            return Some(lifetime).filter(|lifetime| *lifetime > class.fresh_for);
        }
        let since_purge = (self.now - purged_at - AGE_MARGIN_MS).max(MIN_AGE_MS);
        Some(if lifetime > 0.0 { since_purge.min(lifetime) } else { since_purge })
    }
}
