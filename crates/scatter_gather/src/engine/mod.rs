//! The decisions: events in, actions out.

mod answering;
mod asking;

use crate::api::{Action, Ask, AttemptNo, Came, Decide, Ended, Event, GatherNo, How, Purge, Site, Verdict};
use crate::broken::{Broken, Faults};
use crate::counters::Counters;
use crate::open::{fault, Bytes, Open};
use crate::settings::{BadSetting, Settings, MOST_MS};
use crate::sites::{Change, Sign, Sites};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Weight of a new measurement of putting an answer together.
const MERGE: f64 = 0.125;

/// A probe that is out.
#[derive(Clone, Debug)]
struct Probe {
    site: Site,
    asked: Ms,
    /// Until then its answer is in time.
    aim_at: Ms,
    ends: u64,
}

/// The gathers of one router.
#[derive(Clone, Debug)]
pub struct Gathers {
    set: Arc<Settings>,
    sites: Sites,
    open: BTreeMap<GatherNo, Open>,
    wakes: BTreeSet<(u64, GatherNo)>,
    probes: BTreeMap<(GatherNo, AttemptNo), Probe>,
    ends: BTreeSet<(u64, GatherNo, AttemptNo)>,
    /// Second copies that may be made.
    seconds: f64,
    /// Measured time to put an answer together.
    merge: Ms,
    now: Ms,
    timer: Option<Ms>,
    counters: Counters,
    faults: Faults,
}

/// Times in the order of their bits, which is their own from 0 up.
fn bits(at: Ms) -> u64 {
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
            sites: Sites::new(Arc::clone(&set), seed),
            set,
            open: BTreeMap::new(),
            wakes: BTreeSet::new(),
            probes: BTreeMap::new(),
            ends: BTreeSet::new(),
            seconds: 0.0,
            merge: 0.0,
            now: 0.0,
            timer: None,
            counters: Counters::default(),
            faults: Faults::default(),
        })
    }

    /// Breaks it, for checks that must notice.
    #[cfg(feature = "broken")]
    #[must_use]
    pub fn broken(mut self, broken: Broken) -> Self {
        self.faults.broken = Some(broken);
        self
    }

    /// Gathers that are open.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Sites that are measured, and probes of them that are out.
    pub fn measured(&self) -> (usize, usize) {
        (self.sites.len(), self.probes.len())
    }

    fn ask(&mut self, ask: Ask, acts: &mut Vec<Action>) {
        self.counters.asked += 1;
        let (no, now) = (ask.no, self.now);
        if self.open.contains_key(&no) {
            self.counters.same_number += 1;
            return;
        }
        if let Some(fault) = fault(&ask, &self.set) {
            self.counters.unfit += 1;
            return acts.push(Action::Answer(no, Verdict::Unfit(fault)));
        }
        if self.open.len() >= self.set.open {
            self.counters.refused_full += 1;
            let come_back = self.spread(self.set.usual);
            return acts.push(Action::Answer(no, Verdict::Refused { come_back }));
        }
        let open = Open::new(now, ask, self.merge + self.set.slack, &self.set);
        let parts = open.parts.len();
        self.wakes.insert((bits(now), no));
        self.open.insert(no, open);
        (0..parts).for_each(|part| self.first(no, part, acts));
        self.look(no, acts);
    }

    fn came(&mut self, c: Came, acts: &mut Vec<Action>) {
        let now = self.now;
        let probe = self.unprobe(c.no, c.attempt);
        let attempt = self.open.get(&c.no).and_then(|o| Some((o.aim_at, o.attempts.get(&c.attempt)?)));
        let out = attempt.filter(|(_, a)| a.bytes.is_none());
        let known = out.map(|(aim, a)| (a.site.clone(), a.asked, aim));
        let Some((site, asked, aim)) = known.or(probe.as_ref().map(|p| (p.site.clone(), p.asked, p.aim_at)))
        else {
            self.counters.stray += 1;
            return;
        };
        let took = if c.took.is_finite() { c.took } else { 0.0 };
        let sign = Sign::Answered { latency: now - asked, took, in_time: now <= aim };
        self.sign(&site, sign, probe.is_some(), acts);
        let (heeds, versions) =
            (!self.faults.has(Broken::AcrossPurge), !self.faults.has(Broken::TwoVersions));
        let whole = c.whole || self.faults.has(Broken::PartAsWhole);
        let Some(open) = self.open.get_mut(&c.no) else {
            return acts.push(Action::Drop(c.no, c.attempt));
        };
        let mut void: Vec<AttemptNo> = Vec::new();
        if heeds {
            c.purges.iter().for_each(|p| void.extend(open.purge(p)));
        }
        self.counters.voided += void.len() as u64;
        acts.extend(void.into_iter().map(|a| Action::Drop(c.no, a)));
        let Some(a) = open.attempts.get_mut(&c.attempt) else { return };
        let part = &open.parts[a.part];
        let cause = match () {
            () if !whole => Some(&mut self.counters.in_part),
            () if heeds && part.floor > 0 && c.born <= part.floor => Some(&mut self.counters.voided),
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
                a.bytes = Some(Bytes { version, born: c.born });
                let part = a.part;
                self.enough(c.no, part, acts);
            }
        }
        self.look(c.no, acts);
    }

    /// A part that is had in the version of the others is waited for no more.
    fn enough(&mut self, no: GatherNo, part: usize, acts: &mut Vec<Action>) {
        let Some(open) = self.open.get(&no) else { return };
        if open.in_versions(&open.newest()).of[part].is_some() {
            let out: Vec<AttemptNo> = open.out(part).map(|(no, _)| *no).collect();
            out.into_iter().for_each(|a| self.give_up(no, a, acts));
        }
    }

    fn give_up(&mut self, no: GatherNo, attempt: AttemptNo, acts: &mut Vec<Action>) {
        let now = self.now;
        if let Some(a) = self.open.get_mut(&no).and_then(|o| o.attempts.remove(&attempt)) {
            self.counters.given_up += 1;
            acts.push(Action::Drop(no, attempt));
            self.sign(&a.site, Sign::Silent(now - a.asked), false, acts);
        }
    }

    fn ended(&mut self, e: Ended, acts: &mut Vec<Action>) {
        let probe = self.unprobe(e.no, e.attempt);
        let open = self.open.get_mut(&e.no);
        let out = open.filter(|o| o.attempts.get(&e.attempt).is_some_and(|a| a.bytes.is_none()));
        let site = match (out, &probe) {
            (Some(open), _) => {
                open.failed |= probe.is_none() && !matches!(e.how, How::Refused(_));
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
            How::Refused(back) => Sign::Away(if back.is_finite() { back } else { self.set.usual }),
            How::Failed => Sign::Failed,
            How::Unreached => Sign::Unreached,
        };
        self.sign(&site, sign, probe.is_some(), acts);
        self.look(e.no, acts);
    }

    fn unprobe(&mut self, no: GatherNo, attempt: AttemptNo) -> Option<Probe> {
        let probe = self.probes.remove(&(no, attempt))?;
        self.ends.remove(&(probe.ends, no, attempt));
        Some(probe)
    }

    /// An attempt turned out; others are told if that is news, and gathers that wait for the site look again.
    fn sign(&mut self, site: &Site, sign: Sign, probe: bool, acts: &mut Vec<Action>) {
        let change = self.sites.sign(self.now, site, sign, probe);
        if change != Change::None {
            if let Some(evidence) = self.sites.tell(self.now, site) {
                self.counters.told += 1;
                acts.push(Action::Tell(evidence));
            }
        }
        if change == Change::Turned {
            let waits = |o: &Open| o.attempts.values().any(|a| a.bytes.is_none() && a.site == *site);
            let all: Vec<GatherNo> = self.open.iter().filter(|(_, o)| waits(o)).map(|(no, _)| *no).collect();
            all.into_iter().for_each(|no| self.wake(no, self.now));
        }
    }

    fn purged(&mut self, purge: Purge, acts: &mut Vec<Action>) {
        if self.faults.has(Broken::AcrossPurge) {
            return;
        }
        let mut again = Vec::new();
        for (no, open) in &mut self.open {
            let void = open.purge(&purge);
            self.counters.voided += void.len() as u64;
            again.extend((!void.is_empty()).then_some(*no));
            acts.extend(void.into_iter().map(|a| Action::Drop(*no, a)));
        }
        again.into_iter().for_each(|no| self.look(no, acts));
    }

    fn wake(&mut self, no: GatherNo, at: Ms) {
        if let Some(open) = self.open.get_mut(&no) {
            self.wakes.remove(&(bits(open.wake), no));
            open.wake = at;
            self.wakes.insert((bits(at), no));
        }
    }

    /// What came due.
    fn due(&mut self, acts: &mut Vec<Action>) {
        let now = bits(self.now);
        while let Some((at, no, attempt)) = self.ends.first().copied().filter(|e| e.0 <= now) {
            self.ends.remove(&(at, no, attempt));
            if let Some(probe) = self.probes.remove(&(no, attempt)) {
                self.counters.given_up += 1;
                self.open.get_mut(&no).into_iter().for_each(|o| drop(o.attempts.remove(&attempt)));
                acts.push(Action::Drop(no, attempt));
                self.sign(&probe.site, Sign::Silent(self.now - probe.asked), true, acts);
            }
        }
        // Each is looked at once: a look sets the next later, or ends the gather.
        let due: Vec<GatherNo> = self.wakes.iter().take_while(|w| w.0 <= now).map(|w| w.1).collect();
        due.into_iter().for_each(|no| self.look(no, acts));
    }
}

impl Decide for Gathers {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        if now > self.now {
            self.now = now;
        }
        match event {
            Event::Ask(ask) => self.ask(ask, acts),
            Event::Came(came) => self.came(came, acts),
            Event::Ended(ended) => self.ended(ended, acts),
            Event::Purged(purge) => self.purged(purge, acts),
            Event::Heard(from, evidence) => match self.sites.hear(self.now, from, &evidence) {
                true => self.counters.heard += 1,
                false => self.counters.unheard += 1,
            },
            Event::Fleet(routers) => self.sites.routers = routers.max(1),
            Event::Merged(took) if (0.0..MOST_MS).contains(&took) => {
                self.merge += MERGE * (took - self.merge)
            }
            Event::Merged(_) => self.counters.stray += 1,
            Event::Left(no) => match self.open.contains_key(&no) {
                true => {
                    self.counters.left += 1;
                    self.close(no, &BTreeSet::new(), acts);
                }
                false => self.counters.stray += 1,
            },
            Event::Timer => self.timer = None,
        }
        self.due(acts);
        self.counters.sites_forgotten = self.sites.forgotten;
        let ends = self.ends.first().map(|e| e.0);
        let next = ends.into_iter().chain(self.wakes.first().map(|w| w.0)).min().map(f64::from_bits);
        if next.is_some() && next != self.timer {
            self.timer = next;
            acts.extend(next.map(Action::Timer));
        }
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
