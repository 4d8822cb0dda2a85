//! A pending scatter-gather request: its parts, its attempts, and which of the received parts an answer may combine.
//!
//! An answer has one version of each object and nothing from before a purge. Times are in milliseconds of the caller's
//! clock; `origin_time` and purge times are in Unix milliseconds of the origin.

use crate::api::{
    AttemptKind, AttemptNo, GatherRequest, MissingParts, PartNo, PartSpec, Policy, Purge, Site, UsedPart,
};
use crate::settings::Settings;
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Tolerance for rounding where shares are compared.
const SHARE_TOLERANCE: f64 = 1e-9;

/// A part that was received.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReceivedPart {
    pub version: Arc<str>,
    pub origin_time: u64,
}

/// An attempt in flight, or one whose part is received and buffered by the caller.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Index of the part in the request.
    pub part_index: usize,
    pub site: Site,
    pub sent_at: Ms,
    pub kind: AttemptKind,
    /// `None` while the attempt is in flight.
    pub received: Option<ReceivedPart>,
}

/// One part of a pending request.
#[derive(Clone, Debug)]
pub(crate) struct PendingPart {
    pub spec: PartSpec,
    /// Copies with an origin time up to this one are purged.
    pub purge_floor: u64,
    /// Attempts at each site, probes excluded; the preferred site is first.
    pub attempts_by_site: Vec<usize>,
    /// The first end of a `Retry-After` among the part's sites, while none of them admits a retry.
    pub retry_at: Option<Ms>,
    pub required: bool,
    /// No further attempt is made for the part.
    pub abandoned: bool,
}

/// Received parts that may be combined in one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Selection {
    /// The attempt that each part is taken from, if any.
    pub attempt_by_part: Vec<Option<AttemptNo>>,
    /// Number of selected parts.
    pub count: usize,
    /// Sum of the selected parts' priority weights.
    pub weight: f64,
}

/// What a selection lacks for the minimum shares of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shortfall {
    /// Number of parts.
    pub count: usize,
    /// Priority weight.
    pub weight: f64,
}

impl Shortfall {
    fn is_none(self) -> bool {
        self.count == 0 && self.weight == 0.0
    }
}

/// The received parts of one version of an object.
#[derive(Default)]
struct VersionCandidate {
    /// Indexes of the parts in the request.
    parts: BTreeSet<usize>,
    /// Sum of the parts' priority weights, in which a required part counts more than all others together.
    weight: f64,
    /// The latest origin time of the parts.
    origin_time: u64,
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub policy: Arc<Policy>,
    pub parts: Vec<PendingPart>,
    pub attempts: BTreeMap<AttemptNo, Attempt>,
    next_attempt: u32,
    pub started_at: Ms,
    /// An answer that is decided by then meets the latency objective.
    pub objective_at: Ms,
    /// An answer that is decided later is worth nothing.
    pub deadline_at: Ms,
    /// Value of an answer just after the objective, as a share of that of one at the objective, 0 to 1.
    pub late_weight_share: f64,
    /// Sum of all parts' priority weights.
    pub total_weight: f64,
    /// Since when the policy allows a partial answer.
    pub answerable_since: Option<Ms>,
    /// When the request is evaluated next, at the latest.
    pub next_evaluation: Ms,
    /// An attempt failed, as opposed to being rejected or not sent.
    pub attempt_failed: bool,
    /// A hedged sub-request was worthwhile but over the hedging budget.
    pub hedge_suppressed: bool,
}

impl PendingRequest {
    /// Starts a request. `reserved` is subtracted from its times for assembling and sending the answer.
    pub fn new(now: Ms, request: GatherRequest, reserved: Ms, settings: &Settings) -> Self {
        let GatherRequest { policy, parts, budget, purges, .. } = request;
        let parts: Vec<PendingPart> =
            parts.into_iter().map(|spec| PendingPart::new(spec, &policy, settings)).collect();
        let total_weight = parts.iter().map(|part| part.spec.priority_weight).sum();
        let deadline_at = now + (budget.deadline - reserved).max(0.0);
        let objective_at = (now + (budget.latency_objective - reserved).max(0.0)).min(deadline_at);
        let mut pending = Self {
            policy,
            parts,
            attempts: BTreeMap::new(),
            next_attempt: 0,
            started_at: now,
            objective_at,
            deadline_at,
            late_weight_share: budget.late_weight_share,
            total_weight,
            answerable_since: None,
            next_evaluation: now,
            attempt_failed: false,
            hedge_suppressed: false,
        };
        for purge in &purges {
            pending.raise_purge_floors(purge);
        }
        pending
    }

    /// The time at which waiting ends: the deadline, or the end of the policy's wait for further parts.
    pub fn wait_limit(&self) -> Ms {
        let latest = |since: Ms| self.deadline_at.min(since + self.policy.max_wait);
        self.answerable_since.map_or(self.deadline_at, latest)
    }

    /// The time left to the latency objective; after it, to the deadline.
    pub fn time_left(&self, now: Ms) -> Ms {
        if now < self.objective_at {
            self.objective_at - now
        } else {
            self.deadline_at - now
        }
    }

    /// Assigns the next attempt number.
    pub fn next_attempt_number(&mut self) -> AttemptNo {
        self.next_attempt += 1;
        AttemptNo(self.next_attempt - 1)
    }

    /// Applies a purge. Returns the attempts whose parts are older; they are removed.
    pub fn apply_purge(&mut self, purge: &Purge) -> Vec<AttemptNo> {
        self.raise_purge_floors(purge);
        let is_purged = |attempt: &Attempt| {
            let floor = self.parts[attempt.part_index].purge_floor;
            attempt.received.as_ref().is_some_and(|received| received.origin_time <= floor)
        };
        let purged: Vec<AttemptNo> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_purged(attempt))
            .map(|(number, _)| *number)
            .collect();
        purged.iter().for_each(|number| drop(self.attempts.remove(number)));
        purged
    }

    fn raise_purge_floors(&mut self, purge: &Purge) {
        let is_affected = |part: &&mut PendingPart| {
            part.spec.group == purge.group && purge.object.is_none_or(|object| object == part.spec.object)
        };
        self.parts
            .iter_mut()
            .filter(is_affected)
            .for_each(|part| part.purge_floor = part.purge_floor.max(purge.time));
    }

    /// The newest received version of each object, which further parts are expected to have.
    pub fn newest_versions(&self) -> BTreeMap<u64, Arc<str>> {
        let mut newest: BTreeMap<u64, (u64, &Arc<str>)> = BTreeMap::new();
        let received = self.attempts.values().filter_map(|attempt| {
            Some((self.parts[attempt.part_index].spec.object, attempt.received.as_ref()?))
        });
        for (object, ReceivedPart { version, origin_time }) in received {
            let entry = newest.entry(object).or_insert((*origin_time, version));
            *entry = (*entry).max((*origin_time, version));
        }
        newest.into_iter().map(|(object, (_, version))| (object, version.clone())).collect()
    }

    /// The received parts that have these versions of their objects.
    pub fn select_versions(&self, versions: &BTreeMap<u64, Arc<str>>) -> Selection {
        let mut selection =
            Selection { attempt_by_part: vec![None; self.parts.len()], ..Selection::default() };
        for (number, attempt) in &self.attempts {
            let spec = &self.parts[attempt.part_index].spec;
            let has_version = attempt
                .received
                .as_ref()
                .is_some_and(|received| versions.get(&spec.object) == Some(&received.version));
            if has_version && selection.attempt_by_part[attempt.part_index].is_none() {
                selection.attempt_by_part[attempt.part_index] = Some(*number);
                selection.count += 1;
                selection.weight += spec.priority_weight;
            }
        }
        selection
    }

    /// The selection of the highest weight: one version of each object, and the newer of two of equal weight.
    pub fn best_selection(&self) -> Selection {
        let mut candidates: BTreeMap<(u64, &Arc<str>), VersionCandidate> = BTreeMap::new();
        for attempt in self.attempts.values() {
            let Some(received) = &attempt.received else { continue };
            let part = &self.parts[attempt.part_index];
            let candidate = candidates.entry((part.spec.object, &received.version)).or_default();
            candidate.origin_time = candidate.origin_time.max(received.origin_time);
            if candidate.parts.insert(attempt.part_index) {
                // A required part outweighs all others together.
                candidate.weight +=
                    if part.required { self.total_weight * 2.0 } else { part.spec.priority_weight };
            }
        }
        let mut best: BTreeMap<u64, (&Arc<str>, &VersionCandidate)> = BTreeMap::new();
        for ((object, version), candidate) in &candidates {
            let entry = best.entry(*object).or_insert((version, candidate));
            if (candidate.weight, candidate.origin_time) > (entry.1.weight, entry.1.origin_time) {
                *entry = (version, candidate);
            }
        }
        let versions = best.into_iter().map(|(object, (version, _))| (object, version.clone())).collect();
        self.select_versions(&versions)
    }

    /// Whether the selection has all parts.
    pub fn is_complete(&self, selection: &Selection) -> bool {
        selection.count == self.parts.len()
    }

    /// Whether the policy allows an answer with these parts.
    pub fn policy_allows(&self, selection: &Selection) -> bool {
        let mut selected = self.parts.iter().zip(&selection.attempt_by_part);
        let has_required = selected.all(|(part, attempt)| !part.required || attempt.is_some());
        selection.count > 0 && has_required && self.shortfall(selection).is_none()
    }

    /// What the selection lacks for the minimum shares of the policy.
    pub fn shortfall(&self, selection: &Selection) -> Shortfall {
        let count =
            (self.policy.min_part_share * self.parts.len() as f64 - SHARE_TOLERANCE).ceil().max(1.0) as usize;
        let weight =
            self.policy.min_weight_share * self.total_weight * (1.0 - SHARE_TOLERANCE) - selection.weight;
        Shortfall { count: count.saturating_sub(selection.count), weight: weight.max(0.0) }
    }

    /// The selected parts, in the order of the request.
    pub fn used_parts(&self, selection: &Selection) -> Vec<UsedPart> {
        let used = |(part, attempt): (&PendingPart, &Option<AttemptNo>)| {
            let attempt = (*attempt)?;
            let version = self.attempts.get(&attempt)?.received.as_ref()?.version.clone();
            Some(UsedPart { part: part.spec.part, attempt, version })
        };
        self.parts.iter().zip(&selection.attempt_by_part).filter_map(used).collect()
    }

    /// The parts that are not selected, in the order of the request.
    pub fn missing_parts(&self, selection: &Selection) -> Vec<PartNo> {
        let missing =
            |(part, attempt): (&PendingPart, &Option<AttemptNo>)| attempt.is_none().then_some(part.spec.part);
        self.parts.iter().zip(&selection.attempt_by_part).filter_map(missing).collect()
    }

    /// A part's attempts in flight, probes included.
    pub fn in_flight_with_probes(&self, part: usize) -> impl Iterator<Item = (&AttemptNo, &Attempt)> {
        let is_in_flight = move |attempt: &Attempt| attempt.part_index == part && attempt.received.is_none();
        self.attempts.iter().filter(move |(_, attempt)| is_in_flight(attempt))
    }

    /// A part's attempts in flight, probes excluded.
    pub fn in_flight(&self, part: usize) -> impl Iterator<Item = (&AttemptNo, &Attempt)> {
        self.in_flight_with_probes(part).filter(|(_, attempt)| attempt.kind != AttemptKind::Probe)
    }

    /// Whether an attempt at this site is in flight, probes included.
    pub fn waits_for(&self, site: &Site) -> bool {
        self.attempts.values().any(|attempt| attempt.received.is_none() && attempt.site == *site)
    }

    /// The value of an answer at a time, 0 to 1. `wait_discount` is the share that is lost by a wait up to the objective.
    pub fn value_at(&self, at: Ms, wait_discount: f64) -> f64 {
        let elapsed_share = |from: Ms, to: Ms| ((at - from) / (to - from).max(1.0)).clamp(0.0, 1.0);
        match at {
            t if t <= self.objective_at => {
                1.0 - wait_discount * elapsed_share(self.started_at, self.objective_at)
            }
            t if t <= self.deadline_at => {
                let discount = 1.0 - wait_discount * elapsed_share(self.objective_at, self.deadline_at);
                self.late_weight_share * (1.0 - wait_discount) * discount
            }
            _ => 0.0,
        }
    }
}

impl PendingPart {
    fn new(mut spec: PartSpec, policy: &Policy, settings: &Settings) -> Self {
        // Each site once, and no more sites than attempts.
        let mut seen = BTreeSet::from([spec.preferred_site.clone()]);
        spec.alternate_sites.retain(|site| seen.insert(site.clone()));
        spec.alternate_sites.truncate(settings.max_attempts.saturating_sub(1));
        let required =
            policy.missing_parts == MissingParts::NotAllowed || policy.required_parts.contains(&spec.part);
        let attempts_by_site = vec![0; spec.alternate_sites.len() + 1];
        Self { spec, purge_floor: 0, attempts_by_site, retry_at: None, required, abandoned: false }
    }

    /// The sites that have the part; the preferred one is first.
    pub fn sites(&self) -> impl Iterator<Item = &Site> {
        std::iter::once(&self.spec.preferred_site).chain(&self.spec.alternate_sites)
    }
}
