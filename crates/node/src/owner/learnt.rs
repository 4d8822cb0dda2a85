//! What was learnt, between processes: times go along as Unix times of the platform, since each process counts its own from another origin.

use super::Owner;
use basaltgw::api::Ms;
use basaltgw::routing::snapshot::Snapshot;

/// Maps all times that go along: starts as they are listed, by which servers are known again, and what happened at some time.
fn mapped(
    mut learnt: Snapshot,
    mut listed: impl FnMut(Ms) -> Ms,
    mut happened: impl FnMut(Ms) -> Ms,
) -> Snapshot {
    for server in &mut learnt.servers {
        server.listed_start = server.listed_start.map(&mut listed);
        server.warmup_started = server.warmup_started.map(&mut happened);
    }
    for (_, _, at) in &mut learnt.purges {
        *at = happened(*at);
    }
    learnt
}

impl Owner {
    /// What an earlier process learnt, in terms of this one's clock.
    pub(super) fn learnt_here(&mut self, learnt: Snapshot) -> Snapshot {
        // All of it happened before now; where the change log has told of no time yet, this says what the time is at least.
        let starts = learnt.servers.iter().filter_map(|s| s.warmup_started);
        let latest = starts.chain(learnt.purges.iter().map(|p| p.2)).reduce(f64::max);
        if let Some(latest) = latest {
            let grown = self.platform.observe(self.now, latest);
            self.grown_older(grown);
        }
        let (now, mut listed, platform) = (self.now, self.platform.clone(), &mut self.platform);
        mapped(learnt, |unix| listed.local(now, unix), |unix| platform.local(now, unix))
    }

    /// What this process has learnt, with Unix times, and the Unix time of that. In doubt times are late ones: then nothing seems older to the
    /// next process than it is.
    pub(super) fn learnt_elsewhere(&self) -> (Snapshot, Ms) {
        let platform = &self.platform;
        let learnt = mapped(
            self.router.snapshot(),
            |local| platform.unix(local),
            |local| platform.unix_at_most(local),
        );
        (learnt, platform.unix_at_most(self.now))
    }
}
