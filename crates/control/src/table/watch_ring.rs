//! Ring of watched routers, for persistent links.
//!
//! Each router watches the next [`WATCHED_AVAILABLE`] available routers in the order of names, wrapping around. A change of the table because
//! of lost routers is proposed by the nearest available router before them in the ring.

use super::{TableAction, TableManager};
use crate::message::Message;
use basaltgw_placement::Register;
use basaltgw_types::RouterId;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Number of watched routers not known to be lost: if one is lost, another is still watched.
const WATCHED_AVAILABLE: usize = 2;
/// Largest number of watched routers, including lost ones.
const MAX_WATCHED: usize = 64;

impl TableManager {
    /// Routers that this one watches, in the order of the ring, including lost routers between the available ones.
    pub fn watched(&self) -> Vec<RouterId> {
        let me = &self.config.me.router;
        let listed = &self.config.bootstrap_members;
        let after = listed.range((Bound::Excluded(me), Bound::Unbounded));
        let ring = after.chain(listed.range(..me.clone()));
        let (mut watched, mut available) = (Vec::new(), 0);
        for (router, _) in ring.take(MAX_WATCHED) {
            watched.push(router.clone());
            available += usize::from(!self.peers.lost_since.contains_key(router));
            if available == WATCHED_AVAILABLE {
                break;
            }
        }
        watched
    }

    /// Whether this router proposes changes for one of `routers`: all routers between it and this one in the ring are lost.
    pub(super) fn is_nearest_watcher<'a>(&self, mut routers: impl Iterator<Item = &'a RouterId>) -> bool {
        let mut all_lost_so_far = true;
        let mut nearest: BTreeSet<RouterId> = BTreeSet::new();
        for router in self.watched() {
            if !all_lost_so_far {
                break;
            }
            all_lost_so_far = self.peers.lost_since.contains_key(&router);
            nearest.insert(router);
        }
        routers.any(|router| nearest.contains(router))
    }

    /// Sends this router's progress report: with persistent links to the connected routers and to the proposer.
    pub(super) fn send_progress_report(&self, message: Message) -> TableAction {
        if !self.peers.has_persistent_links() {
            return TableAction::Broadcast(message);
        }
        let proposal = self.adoption.register().and_then(Register::proposed);
        TableAction::SendToConnected { message, also_to: proposal.map(|next| next.proposer.clone()) }
    }
}
