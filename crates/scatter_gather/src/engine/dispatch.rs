//! Decides to which site a sub-request is sent: the first attempt, a retry, a hedge or a probe.
//!
//! Inputs: each site's probability of answering within the time left, its admission state, the attempts made so far,
//! and the hedging budget (tokens earned by first attempts). Times are in milliseconds.

use super::{timer_key, ActiveProbe, GatherEngine};
use crate::api::{Action, AttemptKind, AttemptNo, GatherNo, Site, TimeBudget};
use crate::pending_request::{Attempt, PendingRequest};
use crate::site_table::Admission;
use crate::wait_decision::HedgeTarget;
use basaltgw_types::Ms;

/// An alternate is preferred only if its probability of answering in time is higher by more than this: the preferred
/// site is the likeliest to have the part in its cache.
const PREFERRED_SITE_BONUS: f64 = 0.15;
/// Hedging tokens that may accumulate.
const MAX_HEDGE_TOKENS: f64 = 16.0;

impl GatherEngine {
    /// Sends a part's first sub-request: to the preferred site, to an alternate that is much likelier to answer in
    /// time, or to none. A preferred site that is not chosen is probed when a probe is due.
    pub(super) fn send_first(&mut self, gather: GatherNo, part: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&gather) else { return };
        let time_left = request.time_left(self.now);
        let sites: Vec<Site> = request.parts[part].sites().cloned().collect();
        let chosen = self.choose_first_site(&sites, time_left);
        match chosen {
            Some(site) => {
                self.counters.first_at_alternate += u64::from(site > 0);
                self.send(gather, part, site, AttemptKind::First, actions);
            }
            None => {
                self.counters.parts_not_attempted += 1;
                if let Some(request) = self.pending.get_mut(&gather) {
                    request.parts[part].abandoned = true;
                }
            }
        }
        if chosen != Some(0) && self.sites.probe_is_due(self.now, &sites[0]) {
            self.send(gather, part, 0, AttemptKind::Probe, actions);
        }
    }

    /// The admitted site with the highest probability of answering within `time_left`; the earlier one of equals.
    fn choose_first_site(&mut self, sites: &[Site], time_left: Ms) -> Option<usize> {
        let now = self.now;
        let admissions: Vec<Admission> =
            sites.iter().map(|site| self.sites.admit(now, site, time_left)).collect();
        let scores: Vec<f64> = sites
            .iter()
            .enumerate()
            .map(|(index, site)| {
                let bonus = if index == 0 { PREFERRED_SITE_BONUS } else { 0.0 };
                self.sites.success_probability(now, site, time_left) + bonus
            })
            .collect();
        let admitted = (0..sites.len()).filter(|index| admissions[*index] == Admission::Admitted);
        admitted.max_by(|a, b| scores[*a].total_cmp(&scores[*b]).then(b.cmp(a)))
    }

    /// Sends a sub-request for a part to one of its sites, both given by index. Returns false if no time is left for the
    /// site.
    pub(super) fn send(
        &mut self,
        gather: GatherNo,
        part_index: usize,
        site_index: usize,
        kind: AttemptKind,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.pending.get_mut(&gather) else { return false };
        let Some(site) = request.parts[part_index].sites().nth(site_index).cloned() else { return false };
        let budget = site_budget(request, self.now, self.sites.network_delay(&site));
        let is_probe = kind == AttemptKind::Probe;
        if budget.deadline <= 0.0 {
            self.counters.attempts_without_time += 1;
            request.parts[part_index].abandoned |= !is_probe;
            return false;
        }
        let newest = request.newest_versions();
        let attempt = request.next_attempt_number();
        let pending = &mut request.parts[part_index];
        let version = pending.spec.version.clone().or_else(|| newest.get(&pending.spec.object).cloned());
        pending.attempts_by_site[site_index] += usize::from(!is_probe);
        pending.retry_at = None;
        let (newer_than_ms, part) = (pending.purge_floor, pending.spec.part);
        let sent = Attempt { part_index, site: site.clone(), sent_at: self.now, kind, received: None };
        request.attempts.insert(attempt, sent);
        let objective_at = request.objective_at;
        self.account_attempt(kind);
        if is_probe {
            self.register_probe(gather, attempt, &site, objective_at);
        }
        actions.push(Action::Fetch { gather, attempt, part, site, kind, budget, version, newer_than_ms });
        true
    }

    /// Counts an attempt; first attempts earn hedging tokens.
    fn account_attempt(&mut self, kind: AttemptKind) {
        match kind {
            AttemptKind::First => {
                self.counters.first_attempts += 1;
                let tokens = self.hedge_tokens + self.settings.hedge_budget_share;
                self.hedge_tokens = tokens.min(MAX_HEDGE_TOKENS);
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
            AttemptKind::Probe => self.counters.probes += 1,
        }
    }

    /// Starts a probe's timeout and the backoff to the site's next probe.
    fn register_probe(&mut self, gather: GatherNo, attempt: AttemptNo, site: &Site, objective_at: Ms) {
        let expires = timer_key(self.now + self.settings.probe_timeout_ms);
        let probe = ActiveProbe { site: site.clone(), sent_at: self.now, objective_at, expires };
        self.probes.insert((gather, attempt), probe);
        self.probe_timers.insert((expires, gather, attempt));
        self.sites.probe_sent(self.now, site);
    }

    /// Sends a hedged sub-request if a token is left and the site is admitted. Returns whether it was sent.
    pub(super) fn send_hedge(
        &mut self,
        gather: GatherNo,
        target: HedgeTarget,
        actions: &mut Vec<Action>,
    ) -> bool {
        let HedgeTarget { part_index, site_index } = target;
        let Some(request) = self.pending.get_mut(&gather) else { return false };
        if self.hedge_tokens < 1.0 {
            self.counters.hedges_over_budget += u64::from(!request.hedge_suppressed);
            request.hedge_suppressed = true;
            return false;
        }
        let time_left = request.time_left(self.now);
        let Some(site) = request.parts[part_index].sites().nth(site_index).cloned() else { return false };
        let admitted = self.sites.admit(self.now, &site, time_left) == Admission::Admitted;
        if !admitted || !self.send(gather, part_index, site_index, AttemptKind::Hedge, actions) {
            return false;
        }
        self.hedge_tokens -= 1.0;
        true
    }

    /// Retries the parts that are missing and have no attempt in flight.
    pub(super) fn retry_missing_parts(&mut self, gather: GatherNo, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&gather) else { return };
        let time_left = request.time_left(self.now);
        for part in parts_to_retry(request, self.now) {
            self.retry_part(gather, part, time_left, actions);
        }
    }

    /// Retries a part at the admitted site with the fewest attempts. If there is none, the part waits for the first
    /// `Retry-After` of its sites, or is abandoned if that is past the deadline or no attempts are left.
    fn retry_part(&mut self, gather: GatherNo, part: usize, time_left: Ms, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(pending) = self.pending.get(&gather).map(|request| &request.parts[part]) else { return };
        let attempts: usize = pending.attempts_by_site.iter().sum();
        let mut order: Vec<usize> = (0..pending.attempts_by_site.len()).collect();
        order.sort_by_key(|site| pending.attempts_by_site[*site]);
        let sites: Vec<Site> = pending.sites().cloned().collect();
        let attempts_left = attempts < self.settings.max_attempts;
        let chosen = order.into_iter().find(|site| {
            attempts_left && self.sites.admit(now, &sites[*site], time_left) == Admission::Admitted
        });
        if chosen.is_some_and(|site| self.send(gather, part, site, AttemptKind::Retry, actions)) {
            return;
        }
        let waits = sites.iter().filter_map(|site| self.sites.retry_after_until(now, site));
        let first_available = waits.fold(Ms::INFINITY, f64::min);
        if let Some(request) = self.pending.get_mut(&gather) {
            let in_time = attempts_left && first_available < request.deadline_at;
            request.parts[part].retry_at = in_time.then_some(first_available);
            request.parts[part].abandoned = !in_time;
        }
    }
}

/// The time budget of a site: the time left of the request, less the network delay.
fn site_budget(request: &PendingRequest, now: Ms, network_delay: Ms) -> TimeBudget {
    let left = |end: Ms| (end - now - network_delay).max(0.0);
    TimeBudget {
        latency_objective: left(request.objective_at),
        deadline: left(request.deadline_at),
        late_weight_share: request.late_weight_share,
    }
}

/// Parts that are missing, not abandoned, due for a retry and without an attempt in flight.
fn parts_to_retry(request: &PendingRequest, now: Ms) -> Vec<usize> {
    let received = request.select_versions(&request.newest_versions());
    let needs_retry = |index: &usize| {
        let part = &request.parts[*index];
        received.attempt_by_part[*index].is_none()
            && !part.abandoned
            && part.retry_at.is_none_or(|at| at <= now)
            && request.in_flight(*index).next().is_none()
    };
    (0..request.parts.len()).filter(needs_retry).collect()
}
