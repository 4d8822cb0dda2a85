//! Converts the decision module's snapshot for the next process, and back. Between processes its times are Unix times of the platform,
//! since the clocks of two processes have different origins.

use super::Owner;
use basaltgw::api::Ms;
use basaltgw::routing::snapshot::Snapshot;

/// A snapshot with Unix times, and the Unix time in milliseconds at which it was taken.
pub(super) struct TimedSnapshot {
    pub(super) snapshot: Snapshot,
    pub(super) taken_at: Ms,
}

/// Maps the times of a snapshot. Listed starts identify server processes and are mapped by `map_listed`; the other times are those of past
/// events and are mapped by `map_happened`.
fn map_times(
    mut snapshot: Snapshot,
    mut map_listed: impl FnMut(Ms) -> Ms,
    mut map_happened: impl FnMut(Ms) -> Ms,
) -> Snapshot {
    for server in &mut snapshot.servers {
        server.listed_start = server.listed_start.map(&mut map_listed);
        server.warmup_started = server.warmup_started.map(&mut map_happened);
    }
    for purge in &mut snapshot.purges {
        purge.purged_at = map_happened(purge.purged_at);
    }
    snapshot
}

impl Owner {
    /// Maps an earlier process's snapshot to this process's clock.
    pub(super) fn map_to_local_times(&mut self, snapshot: Snapshot) -> Snapshot {
        // All events in the snapshot are in the past, so the latest time among them is a lower bound of the current Unix time, which is
        // needed if the change log has given none yet.
        let starts = snapshot.servers.iter().filter_map(|server| server.warmup_started);
        let latest = starts.chain(snapshot.purges.iter().map(|purge| purge.purged_at)).reduce(f64::max);
        if let Some(latest) = latest {
            let shift = self.time.observe(latest);
            self.on_clock_corrected(shift);
        }
        let now = self.time.now;
        let (mut listed, happened) = (self.time.platform.clone(), &mut self.time.platform);
        map_times(snapshot, |unix| listed.local(now, unix), |unix| happened.local(now, unix))
    }

    /// This process's snapshot, with Unix times. An uncertain time is mapped to the latest possible one, so that no event seems older to
    /// the next process than it is.
    pub(super) fn take_snapshot(&self) -> TimedSnapshot {
        let platform = &self.time.platform;
        let snapshot = map_times(
            self.router.snapshot(),
            |local| platform.unix(local),
            |local| platform.unix_at_most(local),
        );
        TimedSnapshot { snapshot, taken_at: self.time.unix_at_most() }
    }
}
