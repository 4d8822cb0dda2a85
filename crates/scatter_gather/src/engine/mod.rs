//! The decision engine for scatter-gather requests: events in, actions out.
//!
//! - [`events`]: requests, responses, ended attempts and purges;
//! - [`dispatch`]: the site of each sub-request;
//! - [`completion`]: when a request is answered, and with which parts;
//! - [`timers`]: evaluations and probe timeouts.

mod completion;
mod dispatch;
mod events;
mod timers;

use crate::api::{Action, AttemptNo, Decide, Event, GatherNo, Site};
#[cfg(feature = "broken")]
use crate::broken::Broken;
use crate::broken::InjectedDefect;
use crate::counters::Counters;
use crate::pending_request::PendingRequest;
use crate::settings::{BadSetting, Settings};
use crate::site_table::SiteTable;
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A probe in flight.
#[derive(Clone, Debug)]
struct ActiveProbe {
    site: Site,
    sent_at: Ms,
    /// An answer up to this time is within the latency objective.
    objective_at: Ms,
    /// [`timer_key`] of the probe's timeout.
    expires: u64,
}

/// The pending scatter-gather requests of one router, and what is measured of the sites.
#[derive(Clone, Debug)]
pub struct Gathers {
    settings: Arc<Settings>,
    sites: SiteTable,
    pending: BTreeMap<GatherNo, PendingRequest>,
    evaluation_timers: BTreeSet<(u64, GatherNo)>,
    probes: BTreeMap<(GatherNo, AttemptNo), ActiveProbe>,
    probe_timers: BTreeSet<(u64, GatherNo, AttemptNo)>,
    /// Hedged sub-requests that may be sent.
    hedge_tokens: f64,
    /// Smoothed time to assemble and send an answer, in milliseconds.
    merge_time: Ms,
    now: Ms,
    /// The time named by the last [`Action::Timer`].
    timer: Option<Ms>,
    counters: Counters,
    injected_defect: InjectedDefect,
}

/// A sort key for a time: the bits of non-negative floating-point numbers sort like the numbers.
fn timer_key(at: Ms) -> u64 {
    at.max(0.0).to_bits()
}

impl Gathers {
    /// Starts without requests and measurements. `seed` seeds the random draws; it differs between the routers of a
    /// fleet, so that they don't act in lockstep.
    ///
    /// # Errors
    /// [`BadSetting`] for the first setting that is out of its range.
    pub fn new(set: Settings, seed: u64) -> Result<Self, BadSetting> {
        set.check()?;
        let settings = Arc::new(set);
        Ok(Self {
            sites: SiteTable::new(Arc::clone(&settings), seed),
            settings,
            pending: BTreeMap::new(),
            evaluation_timers: BTreeSet::new(),
            probes: BTreeMap::new(),
            probe_timers: BTreeSet::new(),
            hedge_tokens: 0.0,
            merge_time: 0.0,
            now: 0.0,
            timer: None,
            counters: Counters::default(),
            injected_defect: InjectedDefect::default(),
        })
    }

    /// Injects a defect, for tests that must detect it.
    #[cfg(feature = "broken")]
    #[must_use]
    pub fn broken(mut self, broken: Broken) -> Self {
        self.injected_defect.broken = Some(broken);
        self
    }

    /// The number of pending requests.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// The number of measured sites, and of probes in flight.
    pub fn measured(&self) -> (usize, usize) {
        (self.sites.len(), self.probes.len())
    }
}

impl Decide for Gathers {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        if now > self.now {
            self.now = now;
        }
        match event {
            Event::Ask(request) => self.on_request(request, acts),
            Event::Came(response) => self.on_response(response, acts),
            Event::Ended(ended) => self.on_attempt_ended(ended, acts),
            Event::Purged(purge) => self.on_purge(purge, acts),
            Event::Heard(from, evidence) => self.on_peer_evidence(from, &evidence),
            Event::Fleet(routers) => self.sites.routers = routers.max(1),
            Event::Merged(took) => self.on_merged(took),
            Event::Left(no) => self.on_client_left(no, acts),
            Event::Timer => self.timer = None,
        }
        self.run_timers(acts);
        self.counters.sites_forgotten = self.sites.forgotten;
        self.set_timer(acts);
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
