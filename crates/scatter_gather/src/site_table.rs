//! The sites that a router measures: a bounded table of [`SiteState`] with the router's own random sequence.
//!
//! Decides which sites are stored, which observations of other routers are accepted, and what is published to them.

use crate::api::{Evidence, Site};
use crate::latency_histogram::LatencyHistogram;
use crate::settings::{Settings, MAX_TIME_MS};
use crate::site_state::{fleet_probe_interval, DecisionContext, Draws, SiteState};
pub(crate) use crate::site_state::{Admission, AttemptSignal, SignalSource, SiteChange};
use basaltgw_structures::hash::{mix, unit_interval};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The sites that a router measures.
#[derive(Clone, Debug)]
pub(crate) struct SiteTable {
    settings: Arc<Settings>,
    sites: BTreeMap<Site, SiteState>,
    seed: u64,
    random_draws: u64,
    /// Routers in the fleet.
    pub routers: usize,
    /// Sites evicted so far.
    pub evicted: u64,
}

impl SiteTable {
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Self { settings, sites: BTreeMap::new(), seed, random_draws: 0, routers: 1, evicted: 0 }
    }

    /// The next number of this router's random sequence, from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.random_draws += 1;
        unit_interval(mix(self.seed, self.random_draws))
    }

    /// Two draws, in the order of the fields.
    fn draws(&mut self) -> Draws {
        let share = self.random();
        Draws { share, probe: self.random() }
    }

    /// The number of stored sites.
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// A site's state, if it is stored.
    pub fn get(&self, site: &Site) -> Option<&SiteState> {
        self.sites.get(site)
    }

    /// A site's state; a new site evicts the least recently used one if the table is full.
    pub fn entry(&mut self, now: Ms, site: &Site) -> &mut SiteState {
        if !self.sites.contains_key(site) && self.sites.len() >= self.settings.max_sites {
            self.evict_least_recently_used();
        }
        let settings = &self.settings;
        let state = self.sites.entry(site.clone()).or_insert_with(|| SiteState::new(now, settings));
        state.last_used = now;
        state
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self.sites.iter().min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used));
        if let Some(site) = oldest.map(|(site, _)| site.clone()) {
            self.sites.remove(&site);
            self.evicted += 1;
        }
    }

    /// Decides whether a sub-request with `time_left` for its answer may be sent to a site.
    pub fn admit(&mut self, now: Ms, site: &Site, time_left: Ms) -> Admission {
        let draws = self.draws();
        let (settings, routers) = (Arc::clone(&self.settings), self.routers);
        let context = DecisionContext { now, draws, settings: &settings, routers };
        self.entry(now, site).admit(time_left, &context)
    }

    /// Whether a site to which no sub-request is sent may be probed.
    pub fn probe_is_due(&mut self, now: Ms, site: &Site) -> bool {
        self.entry(now, site).probe_is_due(now)
    }

    /// Records a probe that is sent.
    pub fn probe_sent(&mut self, now: Ms, site: &Site) {
        let jitter = self.random();
        let (settings, routers) = (Arc::clone(&self.settings), self.routers);
        self.entry(now, site).probes.sent(now, &settings, routers, jitter);
    }

    /// Records the outcome of an attempt at a site.
    pub fn record(
        &mut self,
        now: Ms,
        site: &Site,
        signal: AttemptSignal,
        source: SignalSource,
    ) -> SiteChange {
        let draws = self.draws();
        let (settings, routers) = (Arc::clone(&self.settings), self.routers);
        let context = DecisionContext { now, draws, settings: &settings, routers };
        self.entry(now, site).record(signal, source, &context)
    }

    /// Records another router's observation. Returns false if the observation is not accepted: empty, too old, outdated, or
    /// of an unknown site while half of the table is used.
    pub fn observe_peer(&mut self, now: Ms, from: RouterId, evidence: &Evidence) -> bool {
        let settings = Arc::clone(&self.settings);
        let is_new = !self.sites.contains_key(&evidence.site);
        let fits = !is_new || self.sites.len() < settings.max_sites / 2;
        let is_empty = evidence.missed == 0 && evidence.answered == 0;
        if !fits || is_empty || !(0.0..settings.max_evidence_age_ms).contains(&evidence.age_ms) {
            return false;
        }
        let jitter = self.random();
        let interval = fleet_probe_interval(&settings, self.routers);
        let state = self.sites.entry(evidence.site.clone()).or_insert_with(|| SiteState::new(now, &settings));
        if is_new {
            state.last_used = 0.0;
            if (settings.min_evaluation_interval_ms..MAX_TIME_MS).contains(&evidence.latency_ms) {
                state.latency = LatencyHistogram::prior(evidence.latency_ms);
            }
        }
        if !state.failure.observe_peer(now, from, evidence, &settings) {
            return false;
        }
        // The site may have recovered: each router probes it itself, spread over two intervals.
        if evidence.answered > evidence.missed && state.ramp.is_excluded() {
            state.probes.advance_to(now + interval * 2.0 * jitter);
        }
        true
    }

    /// The observation of a site to publish, unless one was published too recently. Resets the site's counts.
    pub fn take_observation(&mut self, now: Ms, site: &Site) -> Option<Evidence> {
        let interval = self.settings.min_publish_interval_ms;
        let state = self.sites.get_mut(site)?;
        let too_early = state.last_published.is_some_and(|at| now - at < interval);
        if too_early || state.missed.saturating_add(state.answered) == 0 {
            return None;
        }
        state.last_published = Some(now);
        // Only the counts that agree with the site's present state are published.
        let (missed, answered) =
            if state.ramp.share(now) <= 0.0 { (state.missed.max(1), 0) } else { (0, state.answered.max(1)) };
        (state.missed, state.answered) = (0, 0);
        let latency_ms = if answered > 0 { state.latency.quantile(0.5) } else { 0.0 };
        Some(Evidence { site: site.clone(), missed, answered, latency_ms, age_ms: 0.0 })
    }

    /// The probability that a site answers within `time_left` if a sub-request is sent now.
    pub fn success_probability(&self, now: Ms, site: &Site, time_left: Ms) -> f64 {
        self.sites.get(site).map_or(0.0, |state| {
            (1.0 - state.failure_probability(now, &self.settings))
                * state.latency.probability_within(time_left)
        })
    }

    /// A site's network round trip with an allowance for its variation, in milliseconds.
    pub fn network_delay(&self, site: &Site) -> Ms {
        self.sites.get(site).map_or(0.0, |state| state.network_delay.estimate())
    }

    /// The end of a site's `Retry-After`, if it is in the future.
    pub fn retry_after_until(&self, now: Ms, site: &Site) -> Option<Ms> {
        self.sites.get(site).map(|state| state.retry_after_until).filter(|at| *at > now)
    }

    /// The time in milliseconds after which a site is expected to deliver a part.
    pub fn expected_recovery(&self, now: Ms, site: &Site) -> Ms {
        let Some(state) = self.sites.get(site) else { return self.settings.default_latency_ms };
        let answer_time = state.latency.quantile(0.9);
        let until_included = if state.ramp.is_excluded() {
            state.probes.time_left(now) + self.settings.ramp_step_ms
        } else {
            0.0
        };
        until_included.max(state.retry_after_until - now).max(0.0) + answer_time
    }
}
