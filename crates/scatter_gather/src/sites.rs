//! What is known of each site: latencies, whether it seems lost, which share of its parts it gets, and when it is probed.
//!
//! A site is in one of two conditions that nobody sees: it answers, or it does not. Each attempt moves the probability by Bayes' rule; it fades to how
//! the site usually is. Other routers' words move it too, but not over the bound at which a site that answers here would be left out.

use crate::api::{Evidence, Site};
use crate::latency::Latency;
use crate::settings::{Settings, MOST_MS};
use crate::site::{gap, State, BACK_OFF, TRAVEL_ROOM};
pub(crate) use crate::site::{Admit, Change, Sign};
use basaltgw_structures::hash::{mix, unit};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// All sites of a router.
#[derive(Clone, Debug)]
pub(crate) struct Sites {
    set: Arc<Settings>,
    sites: BTreeMap<Site, State>,
    seed: u64,
    draws: u64,
    /// Routers in the fleet.
    pub routers: usize,
    /// Sites forgotten.
    pub forgotten: u64,
}

impl Sites {
    pub fn new(set: Arc<Settings>, seed: u64) -> Self {
        Self { set, sites: BTreeMap::new(), seed, draws: 0, routers: 1, forgotten: 0 }
    }

    /// A number of 0 to 1, the next of this router's own row.
    pub fn draw(&mut self) -> f64 {
        self.draws += 1;
        unit(mix(self.seed, self.draws))
    }

    pub fn len(&self) -> usize {
        self.sites.len()
    }

    pub fn get(&self, site: &Site) -> Option<&State> {
        self.sites.get(site)
    }

    /// A site's state; one that is new takes the place of the one unused for longest if there is no room.
    pub fn at(&mut self, now: Ms, site: &Site) -> &mut State {
        if !self.sites.contains_key(site) && self.sites.len() >= self.set.sites {
            let oldest =
                self.sites.iter().min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(s, _)| s.clone());
            oldest.into_iter().for_each(|s| {
                self.sites.remove(&s);
                self.forgotten += 1;
            });
        }
        let set = &self.set;
        let state = self.sites.entry(site.clone()).or_insert_with(|| State::new(now, set));
        state.used = now;
        state
    }

    /// Whether a site is asked for a part whose answer is to come within `left`.
    pub fn admit(&mut self, now: Ms, site: &Site, left: Ms) -> Admit {
        let draws = (self.draw(), self.draw());
        let (set, routers) = (Arc::clone(&self.set), self.routers);
        self.at(now, site).admit(now, left, draws, &set, routers)
    }

    /// True if a site that is passed over may be probed.
    pub fn probe_due(&mut self, now: Ms, site: &Site) -> bool {
        let state = self.at(now, site);
        state.due(now)
    }

    /// A probe goes out: the next is a while off.
    pub fn probed(&mut self, now: Ms, site: &Site) {
        let jitter = self.draw();
        let (gap, most) = (gap(&self.set, self.routers), self.set.probe_most);
        let state = self.at(now, site);
        state.probes_out += 1;
        state.probe_at = now + state.probe_gap.max(gap) * (0.5 + jitter);
        // Until one is answered.
        state.probe_gap = (state.probe_gap * BACK_OFF).min(most);
    }

    /// An attempt has turned out.
    pub fn sign(&mut self, now: Ms, site: &Site, sign: Sign, probe: bool) -> Change {
        let draws = (self.draw(), self.draw());
        let (set, routers) = (Arc::clone(&self.set), self.routers);
        self.at(now, site).sign(now, sign, probe, draws, &set, routers)
    }

    /// Another router's word. False if it is not taken.
    pub fn hear(&mut self, now: Ms, from: RouterId, word: &Evidence) -> bool {
        let set = Arc::clone(&self.set);
        // Others' words make no site known here beyond half of the room, and push none out.
        let new = !self.sites.contains_key(&word.site);
        let known = !new || self.sites.len() < set.sites / 2;
        if !known || (word.missed, word.answered) == (0, 0) || !(0.0..set.hearsay).contains(&word.age) {
            return false;
        }
        let jitter = self.draw();
        let gap = gap(&set, self.routers);
        let state = self.sites.entry(word.site.clone()).or_insert_with(|| State::new(now, &set));
        if new {
            state.used = 0.0;
            if (set.tick..MOST_MS).contains(&word.latency) {
                state.latency = Latency::guess(word.latency);
            }
        }
        if !state.hear(now, from, word, &set) {
            return false;
        }
        // It seems to be back: each router looks for itself, and not all in the same moment.
        if word.answered > word.missed && state.share <= 0.0 {
            state.probe_at = state.probe_at.min(now + gap * 2.0 * jitter);
        }
        true
    }

    /// What others are told of a site, unless they were told just now.
    pub fn tell(&mut self, now: Ms, site: &Site) -> Option<Evidence> {
        let every = self.set.tell_every;
        let state = self.sites.get_mut(site)?;
        if state.told.is_some_and(|t| now - t < every) || state.missed.saturating_add(state.answered) == 0 {
            return None;
        }
        state.told = Some(now);
        // What is told leans to how the site stands now.
        let (missed, answered) = match state.share(now) <= 0.0 {
            true => (state.missed.max(1), 0),
            false => (0, state.answered.max(1)),
        };
        (state.missed, state.answered) = (0, 0);
        let latency = if answered > 0 { state.latency.quantile(0.5) } else { 0.0 };
        Some(Evidence { site: site.clone(), missed, answered, latency, age: 0.0 })
    }

    /// The probability that a site answers within `left` if it is asked now.
    pub fn hope(&self, now: Ms, site: &Site, left: Ms) -> f64 {
        self.sites.get(site).map_or(0.0, |s| (1.0 - s.lost(now, &self.set)) * s.latency.within(left))
    }

    /// Its measured travel, there and back, with room for what it varies, in milliseconds.
    pub fn travel(&self, site: &Site) -> Ms {
        self.sites.get(site).map_or(0.0, |s| s.travel + TRAVEL_ROOM * s.travel_off)
    }

    /// Until when it turns requests away, if it does.
    pub fn away(&self, now: Ms, site: &Site) -> Option<Ms> {
        self.sites.get(site).map(|s| s.away).filter(|a| *a > now)
    }

    /// In what time a part is likely to be had of a site.
    pub fn back_in(&self, now: Ms, site: &Site) -> Ms {
        let Some(s) = self.sites.get(site) else { return self.set.usual };
        let usual = s.latency.quantile(0.9);
        let until = match s.share <= 0.0 {
            true => (s.probe_at - now).max(0.0) + self.set.portion_step,
            false => 0.0,
        };
        until.max(s.away - now).max(0.0) + usual
    }
}
