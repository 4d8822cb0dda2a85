//! The decisions: events in, actions out.

mod completion;
mod dispatch;

use crate::api::{Action, Ask, AttemptNo, Came, Decide, Ended, Event, GatherNo, How, Purge, Site, Verdict};
use crate::broken::{Broken, InjectedDefect};
use crate::counters::Counters;
use crate::pending_request::{find_request_error, PendingRequest, ReceivedPart};
use crate::settings::{BadSetting, Settings, MOST_MS};
use crate::site_table::{AttemptSignal, SiteChange, SiteTable};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Weight of a new measurement of putting an answer together.
const MERGE_TIME_GAIN: f64 = 0.125;

/// A probe that is out.
#[derive(Clone, Debug)]
struct ActiveProbe {
    site: Site,
    sent_at: Ms,
    /// Until then its answer is in time.
    objective_at: Ms,
    expires: u64,
}

/// The gathers of one router.
#[derive(Clone, Debug)]
pub struct Gathers {
    settings: Arc<Settings>,
    sites: SiteTable,
    pending: BTreeMap<GatherNo, PendingRequest>,
    evaluation_timers: BTreeSet<(u64, GatherNo)>,
    probes: BTreeMap<(GatherNo, AttemptNo), ActiveProbe>,
    probe_timers: BTreeSet<(u64, GatherNo, AttemptNo)>,
    /// Second copies that may be made.
    hedge_tokens: f64,
    /// Measured time to put an answer together.
    merge_time: Ms,
    now: Ms,
    timer: Option<Ms>,
    counters: Counters,
    injected_defect: InjectedDefect,
}

/// Times in the order of their bits, which is their own from 0 up.
fn timer_key(at: Ms) -> u64 {
    at.max(0.0).to_bits()
}

impl Gathers {
    /// Starts with nothing known. Routers of a fleet have different seeds, so that they do not swing in step.
    ///
    /// # Errors
    /// If a setting is out of its range.
    pub fn new(set: Settings, seed: u64) -> Result<Self, BadSetting> {
        set.check()?;
        let set = Arc::new(set);
        Ok(Self {
            sites: SiteTable::new(Arc::clone(&set), seed),
            settings: set,
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

    /// Breaks it, for checks that must notice.
    #[cfg(feature = "broken")]
    #[must_use]
    pub fn broken(mut self, broken: Broken) -> Self {
        self.injected_defect.broken = Some(broken);
        self
    }

    /// Gathers that are open.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// Sites that are measured, and probes of them that are out.
    pub fn measured(&self) -> (usize, usize) {
        (self.sites.len(), self.probes.len())
    }

    fn on_request(&mut self, ask: Ask, acts: &mut Vec<Action>) {
        self.counters.asked += 1;
        let (no, now) = (ask.no, self.now);
        if self.pending.contains_key(&no) {
            self.counters.same_number += 1;
            return;
        }
        if let Some(fault) = find_request_error(&ask, &self.settings) {
            self.counters.unfit += 1;
            return acts.push(Action::Answer(no, Verdict::Unfit(fault)));
        }
        if self.pending.len() >= self.settings.open {
            self.counters.refused_full += 1;
            let come_back = self.jittered_retry_after(self.settings.usual);
            return acts.push(Action::Answer(no, Verdict::Refused { come_back }));
        }
        let open = PendingRequest::new(now, ask, self.merge_time + self.settings.slack, &self.settings);
        let parts = open.parts.len();
        self.evaluation_timers.insert((timer_key(now), no));
        self.pending.insert(no, open);
        (0..parts).for_each(|part| self.send_first(no, part, acts));
        self.evaluate(no, acts);
    }

    fn on_response(&mut self, c: Came, acts: &mut Vec<Action>) {
        let now = self.now;
        let probe = self.remove_probe(c.no, c.attempt);
        let attempt =
            self.pending.get(&c.no).and_then(|o| Some((o.objective_at, o.attempts.get(&c.attempt)?)));
        let out = attempt.filter(|(_, a)| a.received.is_none());
        let known = out.map(|(aim, a)| (a.site.clone(), a.sent_at, aim));
        let Some((site, asked, aim)) =
            known.or(probe.as_ref().map(|p| (p.site.clone(), p.sent_at, p.objective_at)))
        else {
            self.counters.stray += 1;
            return;
        };
        let took = if c.took.is_finite() { c.took } else { 0.0 };
        let sign = AttemptSignal::Answered { latency: now - asked, took, in_time: now <= aim };
        self.record_signal(&site, sign, probe.is_some(), acts);
        let (heeds, versions) =
            (!self.injected_defect.is(Broken::AcrossPurge), !self.injected_defect.is(Broken::TwoVersions));
        let whole = c.whole || self.injected_defect.is(Broken::PartAsWhole);
        let Some(open) = self.pending.get_mut(&c.no) else {
            return acts.push(Action::Drop(c.no, c.attempt));
        };
        let mut void: Vec<AttemptNo> = Vec::new();
        if heeds {
            c.purges.iter().for_each(|p| void.extend(open.apply_purge(p)));
        }
        self.counters.voided += void.len() as u64;
        acts.extend(void.into_iter().map(|a| Action::Drop(c.no, a)));
        let Some(a) = open.attempts.get_mut(&c.attempt) else { return };
        let part = &open.parts[a.part_index];
        let cause = match () {
            () if !whole => Some(&mut self.counters.in_part),
            () if heeds && part.purge_floor > 0 && c.born <= part.purge_floor => {
                Some(&mut self.counters.voided)
            }
            () if part.spec.version.as_ref().is_some_and(|v| *v != c.version) => {
                Some(&mut self.counters.other_version)
            }
            () => None,
        };
        match cause {
            Some(counter) => {
                *counter += 1;
                open.attempts.remove(&c.attempt);
                acts.push(Action::Drop(c.no, c.attempt));
            }
            None => {
                let version = if versions { c.version } else { Arc::from("") };
                a.received = Some(ReceivedPart { version, origin_time: c.born });
                let part = a.part_index;
                self.cancel_redundant_attempts(c.no, part, acts);
            }
        }
        self.evaluate(c.no, acts);
    }

    /// A part that is had in the version of the others is waited for no more.
    fn cancel_redundant_attempts(&mut self, no: GatherNo, part: usize, acts: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&no) else { return };
        if open.select_versions(&open.newest_versions()).attempt_by_part[part].is_some() {
            let out: Vec<AttemptNo> = open.in_flight(part).map(|(no, _)| *no).collect();
            out.into_iter().for_each(|a| self.cancel_attempt(no, a, acts));
        }
    }

    fn cancel_attempt(&mut self, no: GatherNo, attempt: AttemptNo, acts: &mut Vec<Action>) {
        let now = self.now;
        if let Some(a) = self.pending.get_mut(&no).and_then(|o| o.attempts.remove(&attempt)) {
            self.counters.given_up += 1;
            acts.push(Action::Drop(no, attempt));
            self.record_signal(&a.site, AttemptSignal::Silent(now - a.sent_at), false, acts);
        }
    }

    fn on_attempt_ended(&mut self, e: Ended, acts: &mut Vec<Action>) {
        let probe = self.remove_probe(e.no, e.attempt);
        let open = self.pending.get_mut(&e.no);
        let out = open.filter(|o| o.attempts.get(&e.attempt).is_some_and(|a| a.received.is_none()));
        let site = match (out, &probe) {
            (Some(open), _) => {
                open.attempt_failed |= probe.is_none() && !matches!(e.how, How::Refused(_));
                open.attempts.remove(&e.attempt).map(|a| a.site)
            }
            (None, Some(probe)) => Some(probe.site.clone()),
            (None, None) => None,
        };
        let Some(site) = site else {
            self.counters.stray += 1;
            return;
        };
        let sign = match e.how {
            How::Refused(back) => {
                AttemptSignal::Rejected(if back.is_finite() { back } else { self.settings.usual })
            }
            How::Failed => AttemptSignal::Failed,
            How::Unreached => AttemptSignal::Unreachable,
        };
        self.record_signal(&site, sign, probe.is_some(), acts);
        self.evaluate(e.no, acts);
    }

    fn remove_probe(&mut self, no: GatherNo, attempt: AttemptNo) -> Option<ActiveProbe> {
        let probe = self.probes.remove(&(no, attempt))?;
        self.probe_timers.remove(&(probe.expires, no, attempt));
        Some(probe)
    }

    /// An attempt turned out; others are told if that is news, and gathers that wait for the site look again.
    fn record_signal(&mut self, site: &Site, sign: AttemptSignal, probe: bool, acts: &mut Vec<Action>) {
        let change = self.sites.record(self.now, site, sign, probe);
        if change != SiteChange::None {
            if let Some(evidence) = self.sites.take_observation(self.now, site) {
                self.counters.told += 1;
                acts.push(Action::Tell(evidence));
            }
        }
        if change == SiteChange::InclusionChanged {
            let waits =
                |o: &PendingRequest| o.attempts.values().any(|a| a.received.is_none() && a.site == *site);
            let all: Vec<GatherNo> =
                self.pending.iter().filter(|(_, o)| waits(o)).map(|(no, _)| *no).collect();
            all.into_iter().for_each(|no| self.schedule_evaluation(no, self.now));
        }
    }

    fn on_purge(&mut self, purge: Purge, acts: &mut Vec<Action>) {
        if self.injected_defect.is(Broken::AcrossPurge) {
            return;
        }
        let mut again = Vec::new();
        for (no, open) in &mut self.pending {
            let void = open.apply_purge(&purge);
            self.counters.voided += void.len() as u64;
            again.extend((!void.is_empty()).then_some(*no));
            acts.extend(void.into_iter().map(|a| Action::Drop(*no, a)));
        }
        again.into_iter().for_each(|no| self.evaluate(no, acts));
    }

    fn schedule_evaluation(&mut self, no: GatherNo, at: Ms) {
        if let Some(open) = self.pending.get_mut(&no) {
            self.evaluation_timers.remove(&(timer_key(open.next_evaluation), no));
            open.next_evaluation = at;
            self.evaluation_timers.insert((timer_key(at), no));
        }
    }

    /// What came due.
    fn run_timers(&mut self, acts: &mut Vec<Action>) {
        let now = timer_key(self.now);
        while let Some((at, no, attempt)) = self.probe_timers.first().copied().filter(|e| e.0 <= now) {
            self.probe_timers.remove(&(at, no, attempt));
            if let Some(probe) = self.probes.remove(&(no, attempt)) {
                self.counters.given_up += 1;
                self.pending.get_mut(&no).into_iter().for_each(|o| drop(o.attempts.remove(&attempt)));
                acts.push(Action::Drop(no, attempt));
                self.record_signal(&probe.site, AttemptSignal::Silent(self.now - probe.sent_at), true, acts);
            }
        }
        // Each is looked at once: a look sets the next later, or ends the gather.
        let due: Vec<GatherNo> =
            self.evaluation_timers.iter().take_while(|w| w.0 <= now).map(|w| w.1).collect();
        due.into_iter().for_each(|no| self.evaluate(no, acts));
    }
}

impl Decide for Gathers {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        if now > self.now {
            self.now = now;
        }
        match event {
            Event::Ask(ask) => self.on_request(ask, acts),
            Event::Came(came) => self.on_response(came, acts),
            Event::Ended(ended) => self.on_attempt_ended(ended, acts),
            Event::Purged(purge) => self.on_purge(purge, acts),
            Event::Heard(from, evidence) => match self.sites.observe_peer(self.now, from, &evidence) {
                true => self.counters.heard += 1,
                false => self.counters.unheard += 1,
            },
            Event::Fleet(routers) => self.sites.routers = routers.max(1),
            Event::Merged(took) if (0.0..MOST_MS).contains(&took) => {
                self.merge_time += MERGE_TIME_GAIN * (took - self.merge_time)
            }
            Event::Merged(_) => self.counters.stray += 1,
            Event::Left(no) => match self.pending.contains_key(&no) {
                true => {
                    self.counters.left += 1;
                    self.remove_request(no, &BTreeSet::new(), acts);
                }
                false => self.counters.stray += 1,
            },
            Event::Timer => self.timer = None,
        }
        self.run_timers(acts);
        self.counters.sites_forgotten = self.sites.forgotten;
        let ends = self.probe_timers.first().map(|e| e.0);
        let next =
            ends.into_iter().chain(self.evaluation_timers.first().map(|w| w.0)).min().map(f64::from_bits);
        if next.is_some() && next != self.timer {
            self.timer = next;
            acts.extend(next.map(Action::Timer));
        }
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
