//! Purge sync at the start: when the purges from before this start are known completely.
//!
//! Inputs: peers that have sent all their purges, the shard map or the overlay, time since the start in milliseconds. Without an overlay the
//! purges are complete once fewer than a quorum of each group's members is missing: then no quorum can have accepted an unseen purge. With an
//! overlay they are complete once it has caught up. After [`STARTUP_TIMEOUT_MS`] the sync ends without success.

use super::Control;
use crate::api::ControlNotification;
use basaltgw_types::{Member, Ms, QuorumGroup, ShardMap};
use std::collections::BTreeSet;

/// Longest duration of the sync.
const STARTUP_TIMEOUT_MS: Ms = 1_500.0;

/// Progress of the sync.
#[derive(Debug)]
pub(super) struct StartupSync {
    started_at: Ms,
    has_previous_data: bool,
    /// Peers that have sent all their purges.
    synced_from: BTreeSet<Member>,
    finished: bool,
}

impl StartupSync {
    pub fn new(now: Ms, has_previous_data: bool) -> Self {
        Self { started_at: now, has_previous_data, synced_from: BTreeSet::new(), finished: false }
    }

    /// Whether the sync has ended, with or without success.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether this router knows the purges from before its start: not with an empty data folder during the sync.
    pub fn has_complete_purges(&self) -> bool {
        self.has_previous_data || self.finished
    }

    pub fn observe_synced(&mut self, peer: &Member) {
        self.synced_from.insert(peer.clone());
    }

    /// Whether each group of the map has fewer unsynced members than a quorum.
    fn covers_all_quorums(&self, me: &Member, map: &ShardMap) -> bool {
        let is_synced = |m: &Member| self.synced_from.contains(m) || (m == me && self.has_previous_data);
        let misses_quorum =
            |group: &QuorumGroup| group.members.iter().filter(|m| !is_synced(m)).count() >= group.quorum;
        !map.shards.iter().flat_map(|shard| &shard.groups).any(misses_quorum)
    }
}

impl Control {
    /// Ends the sync once the purges are complete or the timeout has passed.
    pub(super) fn check_startup_sync(&mut self, now: Ms) {
        if self.startup.finished {
            return;
        }
        let is_complete = self.has_complete_startup_purges(now);
        if is_complete || now >= self.startup.started_at + STARTUP_TIMEOUT_MS {
            self.startup.finished = true;
            self.notify(ControlNotification::PurgesKnown { complete: is_complete });
            self.fail_pending_dials(now);
        }
    }

    fn has_complete_startup_purges(&self, now: Ms) -> bool {
        if self.parts.table.bootstrapped_here() {
            return true;
        }
        match &self.dissemination {
            Some(dissemination) => dissemination.has_caught_up(now, &self.startup.synced_from),
            None => {
                let map = self.parts.table.map();
                map.is_some_and(|map| self.startup.covers_all_quorums(&self.parts.me, &map))
            }
        }
    }
}
