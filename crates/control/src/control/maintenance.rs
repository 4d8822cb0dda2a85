//! Periodic work, every [`super::MAINTENANCE_INTERVAL_MS`].

use super::Control;
use crate::message::Message;
use crate::purges::Purge;
use basaltgw_types::Ms;

impl Control {
    /// Removes converged purges, takes over replicated ones, advances the table and the startup sync, and refreshes the counters.
    pub(super) fn maintain(&mut self, now: Ms) {
        self.remove_converged_purges(now);
        self.observe_replicated_purges(now);
        if self.parts.table.register().is_none() {
            // An earlier request may have been lost, or answered before the peer had a table.
            self.send_to_connected(&Message::TableRequest);
        }
        let actions = self.parts.table.tick(now);
        self.execute_table_actions(now, actions);
        self.check_startup_sync(now);
        self.refresh_counts();
    }

    fn remove_converged_purges(&mut self, now: Ms) {
        let converged = self.parts.purges.take_converged(now, self.parts.purge_convergence_time);
        self.commits.remove_purges(now, &converged);
    }

    /// Learns purges from this router's register replicas. Converged purges are skipped, because their records outlive convergence.
    fn observe_replicated_purges(&mut self, now: Ms) {
        let convergence_time = self.parts.purge_convergence_time;
        let records = self.parts.registers.purges().filter_map(|(_, record, _)| Purge::from_record(record));
        let pending: Vec<Purge> =
            records.filter(|purge| !purge.has_converged(now, convergence_time)).collect();
        pending.into_iter().for_each(|purge| self.on_remote_purge(now, purge));
    }
}
