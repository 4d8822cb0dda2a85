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

use crate::api::{Action, AttemptNo, Event, GatherNo, GatherStrategy, Site};
use crate::counters::Counters;
#[cfg(feature = "broken")]
use crate::injected_defect::Defect;
use crate::injected_defect::InjectedDefect;
use crate::pending_request::PendingRequest;
use crate::settings::{InvalidSetting, Settings};
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
pub struct GatherEngine {
    settings: Arc<Settings>,
    sites: SiteTable,
    pending: BTreeMap<GatherNo, PendingRequest>,
    evaluation_timers: BTreeSet<(u64, GatherNo)>,
    probes: BTreeMap<(GatherNo, AttemptNo), ActiveProbe>,
    probe_timers: BTreeSet<(u64, GatherNo, AttemptNo)>,
    /// Hedged sub-requests that may be sent.
    hedge_tokens: f64,
    /// Smoothed time to assemble and send an answer, in milliseconds.
    assembly_time: Ms,
    now: Ms,
    /// The time named by the last [`Action::SetTimer`].
    timer: Option<Ms>,
    counters: Counters,
    injected_defect: InjectedDefect,
}

/// A sort key for a time: the bits of non-negative floating-point numbers sort like the numbers.
fn timer_key(at: Ms) -> u64 {
    at.max(0.0).to_bits()
}

impl GatherEngine {
    /// Starts without requests and measurements. `seed` seeds the random draws. The routers of a fleet have
    /// different seeds, so that they don't act in lockstep.
    ///
    /// # Errors
    /// [`InvalidSetting`] for the first setting that is out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, InvalidSetting> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Self {
            sites: SiteTable::new(Arc::clone(&settings), seed),
            settings,
            pending: BTreeMap::new(),
            evaluation_timers: BTreeSet::new(),
            probes: BTreeMap::new(),
            probe_timers: BTreeSet::new(),
            hedge_tokens: 0.0,
            assembly_time: 0.0,
            now: 0.0,
            timer: None,
            counters: Counters::default(),
            injected_defect: InjectedDefect::default(),
        })
    }

    /// Injects a defect, for tests that must detect it.
    #[cfg(feature = "broken")]
    #[must_use]
    pub fn with_defect(mut self, defect: Defect) -> Self {
        self.injected_defect.defect = Some(defect);
        self
    }

    /// The number of pending requests.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The number of measured sites.
    pub fn site_count(&self) -> usize {
        self.sites.len()
    }

    /// The number of probes in flight.
    pub fn probe_count(&self) -> usize {
        self.probes.len()
    }
}

impl GatherStrategy for GatherEngine {
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        if now > self.now {
            self.now = now;
        }
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::Response(response) => self.on_response(response, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended, actions),
            Event::Purge(purge) => self.on_purge(purge, actions),
            Event::PeerEvidence { from, evidence } => self.on_peer_evidence(from, &evidence),
            Event::FleetSize { routers } => self.sites.routers = routers.max(1),
            Event::AnswerSent { assembly_time } => self.on_answer_sent(assembly_time),
            Event::Cancelled(gather) => self.on_cancelled(gather, actions),
            Event::Timer => self.timer = None,
        }
        self.run_timers(actions);
        self.counters.sites_evicted = self.sites.evicted;
        self.set_timer(actions);
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
