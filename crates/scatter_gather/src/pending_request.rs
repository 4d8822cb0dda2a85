//! One open gather: what was asked, what has come, and which of it could be answered.

use crate::api::{Ask, AttemptNo, Copy, Missing, PartNo, PartSpec, Policy, Purge, Site, Unfit, Used};
use crate::settings::{Settings, MOST_MS};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Shares are compared with this much room for sums in floating point.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Bytes that came.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReceivedPart {
    pub version: Arc<str>,
    pub origin_time: u64,
}

/// An attempt that is out, or whose bytes are kept.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The part's place.
    pub part_index: usize,
    pub site: Site,
    pub sent_at: Ms,
    pub kind: Copy,
    /// `None` while it is out.
    pub received: Option<ReceivedPart>,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingPart {
    pub spec: PartSpec,
    /// What was born up to then is from before a purge.
    pub purge_floor: u64,
    /// How often each of its sites was asked, the preferred one first.
    pub attempts_by_site: Vec<usize>,
    /// Its sites are all away; then one is back.
    pub retry_at: Option<Ms>,
    pub required: bool,
    /// Left out, or not to be asked for any more.
    pub abandoned: bool,
}

/// What could be answered: an attempt for each part, or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Selection {
    pub attempt_by_part: Vec<Option<AttemptNo>>,
    pub count: usize,
    pub weight: f64,
}

/// What has come of one version of an object.
#[derive(Default)]
struct VersionCandidate {
    parts: BTreeSet<usize>,
    weight: f64,
    origin_time: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub policy: Arc<Policy>,
    pub parts: Vec<PendingPart>,
    pub attempts: BTreeMap<AttemptNo, Attempt>,
    next_attempt: u32,
    pub started_at: Ms,
    /// An answer that is decided by then earns the full worth, or anything.
    pub objective_at: Ms,
    pub deadline_at: Ms,
    pub late_value: f64,
    pub total_weight: f64,
    /// Since when it could be answered in part.
    pub answerable_since: Option<Ms>,
    pub next_evaluation: Ms,
    /// An attempt failed, in contrast to all being left out or turned away.
    pub attempt_failed: bool,
    /// A second copy was worth it and not made.
    pub hedge_suppressed: bool,
}

/// What is wrong with a request, if anything.
pub(crate) fn find_request_error(ask: &Ask, set: &Settings) -> Option<Unfit> {
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

impl PendingRequest {
    pub fn new(now: Ms, ask: Ask, kept_back: Ms, set: &Settings) -> Self {
        let policy = ask.policy;
        let part = |mut spec: PartSpec| {
            // More than can be tried is of no use, and a site twice neither.
            let mut seen = BTreeSet::from([spec.site.clone()]);
            spec.alternates.retain(|s| seen.insert(s.clone()));
            spec.alternates.truncate(set.tries.saturating_sub(1));
            let needed = policy.missing == Missing::Refused || policy.needed.contains(&spec.part);
            let tried = vec![0; spec.alternates.len() + 1];
            PendingPart {
                spec,
                purge_floor: 0,
                attempts_by_site: tried,
                retry_at: None,
                required: needed,
                abandoned: false,
            }
        };
        let parts: Vec<PendingPart> = ask.parts.into_iter().map(part).collect();
        let worth = parts.iter().map(|p| p.spec.worth).sum();
        let end_at = now + (ask.times.deadline - kept_back).max(0.0);
        let aim_at = (now + (ask.times.aim - kept_back).max(0.0)).min(end_at);
        let (late_worth, attempts) = (ask.times.late_worth, BTreeMap::new());
        let (could, wake, failed, next, asked) = (None, now, false, 0, now);
        let mut new = Self {
            policy,
            parts,
            attempts,
            next_attempt: next,
            started_at: asked,
            objective_at: aim_at,
            deadline_at: end_at,
            late_value: late_worth,
            total_weight: worth,
            answerable_since: could,
            next_evaluation: wake,
            attempt_failed: failed,
            hedge_suppressed: false,
        };
        ask.purges.iter().for_each(|p| new.raise_purge_floors(p));
        new
    }

    /// Until when waiting may go on.
    pub fn wait_limit(&self) -> Ms {
        self.answerable_since.map_or(self.deadline_at, |c| self.deadline_at.min(c + self.policy.wait))
    }

    /// Time left to the aim; once that is over, to the end.
    pub fn time_left(&self, now: Ms) -> Ms {
        if now < self.objective_at {
            self.objective_at - now
        } else {
            self.deadline_at - now
        }
    }

    pub fn next_attempt_number(&mut self) -> AttemptNo {
        self.next_attempt += 1;
        AttemptNo(self.next_attempt - 1)
    }

    /// Takes a purge in; the attempts whose bytes are from before it.
    pub fn apply_purge(&mut self, purge: &Purge) -> Vec<AttemptNo> {
        self.raise_purge_floors(purge);
        let old = |a: &Attempt| {
            a.received.as_ref().is_some_and(|b| b.origin_time <= self.parts[a.part_index].purge_floor)
        };
        let void: Vec<AttemptNo> = self.attempts.iter().filter(|(_, a)| old(a)).map(|(n, _)| *n).collect();
        void.iter().for_each(|n| drop(self.attempts.remove(n)));
        void
    }

    fn raise_purge_floors(&mut self, purge: &Purge) {
        let concerns = |p: &&mut PendingPart| {
            p.spec.group == purge.group && purge.object.is_none_or(|o| o == p.spec.object)
        };
        self.parts.iter_mut().filter(concerns).for_each(|p| p.purge_floor = p.purge_floor.max(purge.time));
    }

    /// Of each object the version that was given out last, which is what further parts will be of.
    pub fn newest_versions(&self) -> BTreeMap<u64, Arc<str>> {
        let mut newest: BTreeMap<u64, (u64, &Arc<str>)> = BTreeMap::new();
        for (object, b) in self
            .attempts
            .values()
            .filter_map(|a| Some((self.parts[a.part_index].spec.object, a.received.as_ref()?)))
        {
            let entry = newest.entry(object).or_insert((b.origin_time, &b.version));
            *entry = (*entry).max((b.origin_time, &b.version));
        }
        newest.into_iter().map(|(o, (_, v))| (o, v.clone())).collect()
    }

    /// Parts that have come in these versions of their objects.
    pub fn select_versions(&self, versions: &BTreeMap<u64, Arc<str>>) -> Selection {
        let mut choice = Selection { attempt_by_part: vec![None; self.parts.len()], ..Selection::default() };
        for (no, a) in &self.attempts {
            let spec = &self.parts[a.part_index].spec;
            let fits = a.received.as_ref().is_some_and(|b| versions.get(&spec.object) == Some(&b.version));
            if fits && choice.attempt_by_part[a.part_index].is_none() {
                choice.attempt_by_part[a.part_index] = Some(*no);
                choice.count += 1;
                choice.weight += spec.worth;
            }
        }
        choice
    }

    /// What is worth most of what has come: of each object one version; of two that are worth the same, the one given out last.
    pub fn best_selection(&self) -> Selection {
        let mut all: BTreeMap<(u64, &Arc<str>), VersionCandidate> = BTreeMap::new();
        for a in self.attempts.values() {
            let Some(b) = &a.received else { continue };
            let part = &self.parts[a.part_index];
            let of = all.entry((part.spec.object, &b.version)).or_default();
            of.origin_time = of.origin_time.max(b.origin_time);
            if of.parts.insert(a.part_index) {
                // A needed part outweighs all others.
                of.weight += if part.required { self.total_weight * 2.0 } else { part.spec.worth };
            }
        }
        let mut best: BTreeMap<u64, (&Arc<str>, &VersionCandidate)> = BTreeMap::new();
        for ((object, version), of) in &all {
            let entry = best.entry(*object).or_insert((version, of));
            if (of.weight, of.origin_time) > (entry.1.weight, entry.1.origin_time) {
                *entry = (version, of);
            }
        }
        let versions = best.into_iter().map(|(o, (v, _))| (o, v.clone())).collect();
        self.select_versions(&versions)
    }

    pub fn is_complete(&self, choice: &Selection) -> bool {
        choice.count == self.parts.len()
    }

    /// True if the policy allows an answer with these parts.
    pub fn policy_allows(&self, choice: &Selection) -> bool {
        let needed =
            self.parts.iter().zip(&choice.attempt_by_part).all(|(p, of)| !p.required || of.is_some());
        choice.count > 0 && needed && self.shortfall(choice) == (0, 0.0)
    }

    /// How many parts, and how much worth, are lacking for the least shares.
    pub fn shortfall(&self, choice: &Selection) -> (usize, f64) {
        let count =
            (self.policy.least_count * self.parts.len() as f64 - SHARE_TOLERANCE).ceil().max(1.0) as usize;
        let worth = self.policy.least_worth * self.total_weight * (1.0 - SHARE_TOLERANCE) - choice.weight;
        (count.saturating_sub(choice.count), worth.max(0.0))
    }

    pub fn used_parts(&self, choice: &Selection) -> Vec<Used> {
        let used = |(part, no): (&PendingPart, &Option<AttemptNo>)| {
            let attempt = (*no)?;
            let version = self.attempts.get(&attempt)?.received.as_ref()?.version.clone();
            Some(Used { part: part.spec.part, attempt, version })
        };
        self.parts.iter().zip(&choice.attempt_by_part).filter_map(used).collect()
    }

    pub fn missing_parts(&self, choice: &Selection) -> Vec<PartNo> {
        let lacks = |(p, of): (&PendingPart, &Option<AttemptNo>)| of.is_none().then_some(p.spec.part);
        self.parts.iter().zip(&choice.attempt_by_part).filter_map(lacks).collect()
    }

    /// A part's attempts that are out, probes too: little is hoped of those.
    pub fn in_flight_with_probes(&self, part: usize) -> impl Iterator<Item = (&AttemptNo, &Attempt)> {
        self.attempts.iter().filter(move |(_, a)| a.part_index == part && a.received.is_none())
    }

    /// A part's attempts that are out, probes not counted.
    pub fn in_flight(&self, part: usize) -> impl Iterator<Item = (&AttemptNo, &Attempt)> {
        self.attempts
            .iter()
            .filter(move |(_, a)| a.part_index == part && a.received.is_none() && a.kind != Copy::Probe)
    }

    /// Whether an attempt at this site is in flight, probes included.
    pub fn waits_for(&self, site: &Site) -> bool {
        self.attempts.values().any(|attempt| attempt.received.is_none() && attempt.site == *site)
    }

    /// What an answer at that time is worth, of 1.
    pub fn value_at(&self, at: Ms, haste: f64) -> f64 {
        let share = |from: Ms, to: Ms| ((at - from) / (to - from).max(1.0)).clamp(0.0, 1.0);
        match at {
            t if t <= self.objective_at => 1.0 - haste * share(self.started_at, self.objective_at),
            t if t <= self.deadline_at => {
                self.late_value * (1.0 - haste) * (1.0 - haste * share(self.objective_at, self.deadline_at))
            }
            _ => 0.0,
        }
    }
}

impl PendingPart {
    /// Its sites, the preferred one first.
    pub fn sites(&self) -> impl Iterator<Item = &Site> {
        std::iter::once(&self.spec.site).chain(&self.spec.alternates)
    }
}
