//! One open gather: what was asked, what has come, and which of it could be answered.

use crate::api::{Ask, AttemptNo, Copy, Missing, PartNo, PartSpec, Policy, Purge, Site, Unfit, Used};
use crate::settings::{Settings, MOST_MS};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Shares are compared with this much room for sums in floating point.
const EPS: f64 = 1e-9;

/// Bytes that came.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Bytes {
    pub version: Arc<str>,
    pub born: u64,
}

/// An attempt that is out, or whose bytes are kept.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The part's place.
    pub part: usize,
    pub site: Site,
    pub asked: Ms,
    pub copy: Copy,
    /// `None` while it is out.
    pub bytes: Option<Bytes>,
}

#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub spec: PartSpec,
    /// What was born up to then is from before a purge.
    pub floor: u64,
    /// How often each of its sites was asked, the preferred one first.
    pub tried: Vec<usize>,
    /// Its sites are all away; then one is back.
    pub again: Option<Ms>,
    pub needed: bool,
    /// Left out, or not to be asked for any more.
    pub closed: bool,
}

/// What could be answered: an attempt for each part, or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Choice {
    pub of: Vec<Option<AttemptNo>>,
    pub count: usize,
    pub worth: f64,
}

/// What has come of one version of an object.
#[derive(Default)]
struct OneVersion {
    parts: BTreeSet<usize>,
    worth: f64,
    born: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub policy: Arc<Policy>,
    pub parts: Vec<Part>,
    pub attempts: BTreeMap<AttemptNo, Attempt>,
    next: u32,
    pub asked: Ms,
    /// An answer that is decided by then earns the full worth, or anything.
    pub aim_at: Ms,
    pub end_at: Ms,
    pub late_worth: f64,
    pub worth: f64,
    /// Since when it could be answered in part.
    pub could: Option<Ms>,
    pub wake: Ms,
    /// An attempt failed, in contrast to all being left out or turned away.
    pub failed: bool,
    /// A second copy was worth it and not made.
    pub spared: bool,
}

/// What is wrong with a request, if anything.
pub(crate) fn fault(ask: &Ask, set: &Settings) -> Option<Unfit> {
    if ask.effect != crate::api::Effect::Safe {
        return Some(Unfit::Effect(ask.effect));
    }
    if ask.parts.is_empty() || ask.parts.len() > set.parts {
        return Some(Unfit::Parts { found: ask.parts.len(), most: set.parts });
    }
    let mut seen = BTreeSet::new();
    if let Some(twice) = ask.parts.iter().find(|p| !seen.insert(p.part)) {
        return Some(Unfit::Twice(twice.part));
    }
    if let Some(other) = ask.policy.needed.iter().find(|p| !seen.contains(p)) {
        return Some(Unfit::Unknown(*other));
    }
    let share = |s: f64| (0.0..=1.0).contains(&s);
    let span = |t: Ms| (0.0..=MOST_MS).contains(&t);
    let (t, p) = (&ask.times, &ask.policy);
    let mut checks = vec![
        ("aim", t.aim, span(t.aim) && t.aim <= t.deadline, "0 to the deadline, in ms"),
        ("deadline", t.deadline, span(t.deadline), "0 to 3,600,000 ms"),
        ("late_worth", t.late_worth, share(t.late_worth), "0 to 1"),
        ("least_count", p.least_count, share(p.least_count), "0 to 1"),
        ("least_worth", p.least_worth, share(p.least_worth), "0 to 1"),
        ("wait", p.wait, span(p.wait), "0 to 3,600,000 ms"),
    ];
    let worth = |w: f64| w.is_finite() && w > 0.0 && w <= 1e9;
    checks.extend(ask.parts.iter().map(|p| ("worth", p.worth, worth(p.worth), "above 0, at most 1e9")));
    let bad = checks.into_iter().find(|c| !c.2);
    bad.map(|(field, found, _, expected)| Unfit::Field { field, expected, found })
}

impl Open {
    pub fn new(now: Ms, ask: Ask, kept_back: Ms, set: &Settings) -> Self {
        let policy = ask.policy;
        let part = |mut spec: PartSpec| {
            // More than can be tried is of no use, and a site twice neither.
            let mut seen = BTreeSet::from([spec.site.clone()]);
            spec.alternates.retain(|s| seen.insert(s.clone()));
            spec.alternates.truncate(set.tries.saturating_sub(1));
            let needed = policy.missing == Missing::Refused || policy.needed.contains(&spec.part);
            let tried = vec![0; spec.alternates.len() + 1];
            Part { spec, floor: 0, tried, again: None, needed, closed: false }
        };
        let parts: Vec<Part> = ask.parts.into_iter().map(part).collect();
        let worth = parts.iter().map(|p| p.spec.worth).sum();
        let end_at = now + (ask.times.deadline - kept_back).max(0.0);
        let aim_at = (now + (ask.times.aim - kept_back).max(0.0)).min(end_at);
        let (late_worth, attempts) = (ask.times.late_worth, BTreeMap::new());
        let (could, wake, failed, next, asked) = (None, now, false, 0, now);
        let mut new = Self {
            policy,
            parts,
            attempts,
            next,
            asked,
            aim_at,
            end_at,
            late_worth,
            worth,
            could,
            wake,
            failed,
            spared: false,
        };
        ask.purges.iter().for_each(|p| new.floors(p));
        new
    }

    /// Until when waiting may go on.
    pub fn limit(&self) -> Ms {
        self.could.map_or(self.end_at, |c| self.end_at.min(c + self.policy.wait))
    }

    /// Time left to the aim; once that is over, to the end.
    pub fn left(&self, now: Ms) -> Ms {
        if now < self.aim_at {
            self.aim_at - now
        } else {
            self.end_at - now
        }
    }

    pub fn number(&mut self) -> AttemptNo {
        self.next += 1;
        AttemptNo(self.next - 1)
    }

    /// Takes a purge in; the attempts whose bytes are from before it.
    pub fn purge(&mut self, purge: &Purge) -> Vec<AttemptNo> {
        self.floors(purge);
        let old = |a: &Attempt| a.bytes.as_ref().is_some_and(|b| b.born <= self.parts[a.part].floor);
        let void: Vec<AttemptNo> = self.attempts.iter().filter(|(_, a)| old(a)).map(|(n, _)| *n).collect();
        void.iter().for_each(|n| drop(self.attempts.remove(n)));
        void
    }

    fn floors(&mut self, purge: &Purge) {
        let concerns =
            |p: &&mut Part| p.spec.group == purge.group && purge.object.is_none_or(|o| o == p.spec.object);
        self.parts.iter_mut().filter(concerns).for_each(|p| p.floor = p.floor.max(purge.time));
    }

    /// Of each object the version that was given out last, which is what further parts will be of.
    pub fn newest(&self) -> BTreeMap<u64, Arc<str>> {
        let mut newest: BTreeMap<u64, (u64, &Arc<str>)> = BTreeMap::new();
        for (object, b) in
            self.attempts.values().filter_map(|a| Some((self.parts[a.part].spec.object, a.bytes.as_ref()?)))
        {
            let entry = newest.entry(object).or_insert((b.born, &b.version));
            *entry = (*entry).max((b.born, &b.version));
        }
        newest.into_iter().map(|(o, (_, v))| (o, v.clone())).collect()
    }

    /// Parts that have come in these versions of their objects.
    pub fn in_versions(&self, versions: &BTreeMap<u64, Arc<str>>) -> Choice {
        let mut choice = Choice { of: vec![None; self.parts.len()], ..Choice::default() };
        for (no, a) in &self.attempts {
            let spec = &self.parts[a.part].spec;
            let fits = a.bytes.as_ref().is_some_and(|b| versions.get(&spec.object) == Some(&b.version));
            if fits && choice.of[a.part].is_none() {
                choice.of[a.part] = Some(*no);
                choice.count += 1;
                choice.worth += spec.worth;
            }
        }
        choice
    }

    /// What is worth most of what has come: of each object one version; of two that are worth the same, the one given out last.
    pub fn best(&self) -> Choice {
        let mut all: BTreeMap<(u64, &Arc<str>), OneVersion> = BTreeMap::new();
        for a in self.attempts.values() {
            let Some(b) = &a.bytes else { continue };
            let part = &self.parts[a.part];
            let of = all.entry((part.spec.object, &b.version)).or_default();
            of.born = of.born.max(b.born);
            if of.parts.insert(a.part) {
                // A needed part outweighs all others.
                of.worth += if part.needed { self.worth * 2.0 } else { part.spec.worth };
            }
        }
        let mut best: BTreeMap<u64, (&Arc<str>, &OneVersion)> = BTreeMap::new();
        for ((object, version), of) in &all {
            let entry = best.entry(*object).or_insert((version, of));
            if (of.worth, of.born) > (entry.1.worth, entry.1.born) {
                *entry = (version, of);
            }
        }
        let versions = best.into_iter().map(|(o, (v, _))| (o, v.clone())).collect();
        self.in_versions(&versions)
    }

    pub fn whole(&self, choice: &Choice) -> bool {
        choice.count == self.parts.len()
    }

    /// True if the policy allows an answer with these parts.
    pub fn allows(&self, choice: &Choice) -> bool {
        let needed = self.parts.iter().zip(&choice.of).all(|(p, of)| !p.needed || of.is_some());
        choice.count > 0 && needed && self.short(choice) == (0, 0.0)
    }

    /// How many parts, and how much worth, are lacking for the least shares.
    pub fn short(&self, choice: &Choice) -> (usize, f64) {
        let count = (self.policy.least_count * self.parts.len() as f64 - EPS).ceil().max(1.0) as usize;
        let worth = self.policy.least_worth * self.worth * (1.0 - EPS) - choice.worth;
        (count.saturating_sub(choice.count), worth.max(0.0))
    }

    pub fn used(&self, choice: &Choice) -> Vec<Used> {
        let used = |(part, no): (&Part, &Option<AttemptNo>)| {
            let attempt = (*no)?;
            let version = self.attempts.get(&attempt)?.bytes.as_ref()?.version.clone();
            Some(Used { part: part.spec.part, attempt, version })
        };
        self.parts.iter().zip(&choice.of).filter_map(used).collect()
    }

    pub fn missing(&self, choice: &Choice) -> Vec<PartNo> {
        let lacks = |(p, of): (&Part, &Option<AttemptNo>)| of.is_none().then_some(p.spec.part);
        self.parts.iter().zip(&choice.of).filter_map(lacks).collect()
    }

    /// A part's attempts that are out, probes too: little is hoped of those.
    pub fn hoped(&self, part: usize) -> impl Iterator<Item = (&AttemptNo, &Attempt)> {
        self.attempts.iter().filter(move |(_, a)| a.part == part && a.bytes.is_none())
    }

    /// A part's attempts that are out, probes not counted.
    pub fn out(&self, part: usize) -> impl Iterator<Item = (&AttemptNo, &Attempt)> {
        self.attempts
            .iter()
            .filter(move |(_, a)| a.part == part && a.bytes.is_none() && a.copy != Copy::Probe)
    }

    /// What an answer at that time is worth, of 1.
    pub fn value(&self, at: Ms, haste: f64) -> f64 {
        let share = |from: Ms, to: Ms| ((at - from) / (to - from).max(1.0)).clamp(0.0, 1.0);
        match at {
            t if t <= self.aim_at => 1.0 - haste * share(self.asked, self.aim_at),
            t if t <= self.end_at => {
                self.late_worth * (1.0 - haste) * (1.0 - haste * share(self.aim_at, self.end_at))
            }
            _ => 0.0,
        }
    }
}

impl Part {
    /// Its sites, the preferred one first.
    pub fn sites(&self) -> impl Iterator<Item = &Site> {
        std::iter::once(&self.spec.site).chain(&self.spec.alternates)
    }
}
