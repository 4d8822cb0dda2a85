//! Handles the notifications of the fleet's threads.

use super::watch_events::Purged;
use super::Owner;
use crate::fleet::{ControlNotification, Fleet};
use basaltgw::api::{Event, GroupId, Ms, ObjectId};
use basaltgw_scatter_gather as scatter_gather;
use std::sync::Arc;

impl Owner {
    /// Handles what the replication thread and other routers have sent, and an unexpected end of the threads.
    pub(super) fn on_fleet_wakeup(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.flush();
        }
        while let Some(notification) = self.fleet.as_mut().and_then(Fleet::next_notification) {
            self.on_notification(notification);
        }
        self.on_peer_messages();
        if let Some(cause) = self.fleet.as_mut().and_then(Fleet::unexpected_end) {
            self.on_fleet_lost(&cause);
        }
    }

    fn on_notification(&mut self, notification: ControlNotification) {
        match notification {
            ControlNotification::Response(number, response) => self.on_record_response(number, response),
            ControlNotification::Purge(purge) => {
                let (group, object) = (GroupId(purge.group), purge.object.map(ObjectId));
                self.on_replicated_purge(Purged { object, group, time: purge.time as Ms });
            }
            ControlNotification::PurgesKnown { complete } => self.on_purges_known(complete),
            ControlNotification::PurgesMissed => {
                log::warn!(
                    "purges were missed: cached copies from before now are not served until purges converge"
                );
                self.purge_all_groups();
                self.recall(|_, _| true);
            }
            ControlNotification::Policies(policies) => {
                if let Some(scatter_gather) = &mut self.scatter_gather {
                    scatter_gather.policies = Arc::clone(&policies);
                }
            }
            ControlNotification::Evidence(from, evidence) => {
                self.dispatch_scatter_gather(scatter_gather::Event::PeerEvidence { from, evidence });
            }
            ControlNotification::Table(version, hash) => {
                log::info!("placement table adopted: version {} ({hash})", version.0);
            }
        }
    }

    /// Shuts the process down after a thread of the fleet has ended, since leases and purges are no longer replicated.
    fn on_fleet_lost(&mut self, cause: &str) {
        if let Some(fleet) = self.fleet.as_mut().filter(|f| f.fault.is_none() && !f.shutting_down) {
            fleet.fault = Some(cause.to_string());
            log::error!("a thread of the fleet has ended, the router shuts down: {cause}");
            self.shutdown.begin(self.time.now);
        }
    }

    /// Handles the end of the sync of purges from before this start of the process; if they are not `available`, everything counts as
    /// purged now.
    fn on_purges_known(&mut self, available: bool) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| !fleet.purges_known) else { return };
        fleet.purges_known = true;
        if !available {
            log::warn!(
                "purges from before this start are not available: cached copies from before it are not served until purges converge"
            );
            self.purge_all_groups();
        }
    }

    /// Purges every group as of now.
    fn purge_all_groups(&mut self) {
        // A later correction of the platform's clock must not make these purges older.
        self.time.platform.settle();
        let now = self.time.unix_at_most();
        for group in (0..=crate::limits::MAX_GROUP).map(GroupId) {
            self.dispatch(Event::Purged { group, object: None, age: 0.0 });
            self.purge_parts(None, group, now);
        }
    }
}
