//! What is known of each site: latencies, whether it seems lost, which share of its parts it gets, and when it is probed.
//!
//! A site is in one of two conditions that nobody sees: it answers, or it does not. Each attempt moves the probability by Bayes' rule; it fades to how
//! the site usually is. Other routers' words move it too, but not over the bound at which a site that answers here would be left out.

use crate::api::{Evidence, Site};
use crate::latency_histogram::LatencyHistogram;
use crate::settings::{Settings, MOST_MS};
use crate::site_state::{fleet_probe_interval, SiteState, NETWORK_DELAY_DEVIATIONS, PROBE_BACKOFF_FACTOR};
pub(crate) use crate::site_state::{Admission, AttemptSignal, SignalSource, SiteChange};
use basaltgw_structures::hash::{mix, unit};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// All sites of a router.
#[derive(Clone, Debug)]
pub(crate) struct SiteTable {
    settings: Arc<Settings>,
    sites: BTreeMap<Site, SiteState>,
    seed: u64,
    random_draws: u64,
    /// Routers in the fleet.
    pub routers: usize,
    /// Sites forgotten.
    pub forgotten: u64,
}

impl SiteTable {
    pub fn new(set: Arc<Settings>, seed: u64) -> Self {
        Self { settings: set, sites: BTreeMap::new(), seed, random_draws: 0, routers: 1, forgotten: 0 }
    }

    /// A number of 0 to 1, the next of this router's own row.
    pub fn random(&mut self) -> f64 {
        self.random_draws += 1;
        unit(mix(self.seed, self.random_draws))
    }

    pub fn len(&self) -> usize {
        self.sites.len()
    }

    pub fn get(&self, site: &Site) -> Option<&SiteState> {
        self.sites.get(site)
    }

    /// A site's state; one that is new takes the place of the one unused for longest if there is no room.
    pub fn entry(&mut self, now: Ms, site: &Site) -> &mut SiteState {
        if !self.sites.contains_key(site) && self.sites.len() >= self.settings.sites {
            let oldest = self
                .sites
                .iter()
                .min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used))
                .map(|(s, _)| s.clone());
            oldest.into_iter().for_each(|s| {
                self.sites.remove(&s);
                self.forgotten += 1;
            });
        }
        let set = &self.settings;
        let state = self.sites.entry(site.clone()).or_insert_with(|| SiteState::new(now, set));
        state.last_used = now;
        state
    }

    /// Whether a site is asked for a part whose answer is to come within `left`.
    pub fn admit(&mut self, now: Ms, site: &Site, left: Ms) -> Admission {
        let draws = (self.random(), self.random());
        let (set, routers) = (Arc::clone(&self.settings), self.routers);
        self.entry(now, site).admit(now, left, draws, &set, routers)
    }

    /// True if a site that is passed over may be probed.
    pub fn probe_is_due(&mut self, now: Ms, site: &Site) -> bool {
        let state = self.entry(now, site);
        state.probe_is_due(now)
    }

    /// A probe goes out: the next is a while off.
    pub fn probe_sent(&mut self, now: Ms, site: &Site) {
        let jitter = self.random();
        let (gap, most) = (fleet_probe_interval(&self.settings, self.routers), self.settings.probe_most);
        let state = self.entry(now, site);
        state.probes_in_flight += 1;
        state.next_probe = now + state.probe_backoff.max(gap) * (0.5 + jitter);
        // Until one is answered.
        state.probe_backoff = (state.probe_backoff * PROBE_BACKOFF_FACTOR).min(most);
    }

    /// An attempt has turned out.
    pub fn record(&mut self, now: Ms, site: &Site, sign: AttemptSignal, source: SignalSource) -> SiteChange {
        let draws = (self.random(), self.random());
        let (set, routers) = (Arc::clone(&self.settings), self.routers);
        self.entry(now, site).record(now, sign, source, draws, &set, routers)
    }

    /// Another router's word. False if it is not taken.
    pub fn observe_peer(&mut self, now: Ms, from: RouterId, word: &Evidence) -> bool {
        let set = Arc::clone(&self.settings);
        // Others' words make no site known here beyond half of the room, and push none out.
        let new = !self.sites.contains_key(&word.site);
        let known = !new || self.sites.len() < set.sites / 2;
        if !known || (word.missed, word.answered) == (0, 0) || !(0.0..set.hearsay).contains(&word.age) {
            return false;
        }
        let jitter = self.random();
        let gap = fleet_probe_interval(&set, self.routers);
        let state = self.sites.entry(word.site.clone()).or_insert_with(|| SiteState::new(now, &set));
        if new {
            state.last_used = 0.0;
            if (set.tick..MOST_MS).contains(&word.latency) {
                state.latency = LatencyHistogram::prior(word.latency);
            }
        }
        if !state.observe_peer(now, from, word, &set) {
            return false;
        }
        // It seems to be back: each router looks for itself, and not all in the same moment.
        if word.answered > word.missed && state.share_at_ramp_start <= 0.0 {
            state.next_probe = state.next_probe.min(now + gap * 2.0 * jitter);
        }
        true
    }

    /// What others are told of a site, unless they were told just now.
    pub fn take_observation(&mut self, now: Ms, site: &Site) -> Option<Evidence> {
        let every = self.settings.tell_every;
        let state = self.sites.get_mut(site)?;
        if state.last_published.is_some_and(|t| now - t < every)
            || state.missed.saturating_add(state.answered) == 0
        {
            return None;
        }
        state.last_published = Some(now);
        // What is told leans to how the site stands now.
        let (missed, answered) = match state.traffic_share(now) <= 0.0 {
            true => (state.missed.max(1), 0),
            false => (0, state.answered.max(1)),
        };
        (state.missed, state.answered) = (0, 0);
        let latency = if answered > 0 { state.latency.quantile(0.5) } else { 0.0 };
        Some(Evidence { site: site.clone(), missed, answered, latency, age: 0.0 })
    }

    /// The probability that a site answers within `left` if it is asked now.
    pub fn success_probability(&self, now: Ms, site: &Site, left: Ms) -> f64 {
        self.sites.get(site).map_or(0.0, |s| {
            (1.0 - s.failure_probability(now, &self.settings)) * s.latency.probability_within(left)
        })
    }

    /// Its measured travel, there and back, with room for what it varies, in milliseconds.
    pub fn network_delay(&self, site: &Site) -> Ms {
        self.sites
            .get(site)
            .map_or(0.0, |s| s.network_delay + NETWORK_DELAY_DEVIATIONS * s.network_delay_deviation)
    }

    /// Until when it turns requests away, if it does.
    pub fn retry_after_until(&self, now: Ms, site: &Site) -> Option<Ms> {
        self.sites.get(site).map(|s| s.retry_after_until).filter(|a| *a > now)
    }

    /// In what time a part is likely to be had of a site.
    pub fn expected_recovery(&self, now: Ms, site: &Site) -> Ms {
        let Some(s) = self.sites.get(site) else { return self.settings.usual };
        let usual = s.latency.quantile(0.9);
        let until = match s.share_at_ramp_start <= 0.0 {
            true => (s.next_probe - now).max(0.0) + self.settings.portion_step,
            false => 0.0,
        };
        until.max(s.retry_after_until - now).max(0.0) + usual
    }
}
