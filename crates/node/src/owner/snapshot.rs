//! The decision module's snapshot between two processes. Its times are carried as Unix times of the platform, since each process's clock
//! has an origin of its own.

use super::Owner;
use basaltgw::api::Ms;
use basaltgw::routing::snapshot::Snapshot;

/// A snapshot with Unix times, and the Unix time in milliseconds at which it was taken.
pub(super) struct TimedSnapshot {
    pub(super) snapshot: Snapshot,
    pub(super) taken_at: Ms,
}

/// Maps the times of a snapshot: listed starts identify processes, the others are when something happened.
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
    /// An earlier process's snapshot in terms of this one's clock.
    pub(super) fn map_to_local_times(&mut self, snapshot: Snapshot) -> Snapshot {
        // All of it has happened: without a time from the change log, the latest of it is a lower bound of the current time.
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

    /// This process's snapshot. Times in doubt are late ones, so that nothing seems older to the next process than it is.
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
