//! Decides to which site a sub-request is sent: the first attempt, a retry, a hedge or a probe.
//!
//! Inputs: each site's probability of answering within the time left, its admission state, the attempts made so far,
//! and the hedging budget (tokens earned by first attempts). Times are in milliseconds.

use super::{timer_key, ActiveProbe, Gathers};
use crate::api::{Action, AttemptNo, Copy, GatherNo, Site, Times};
use crate::pending_request::{Attempt, PendingRequest};
use crate::site_table::Admission;
use crate::wait_decision::HedgeTarget;
use basaltgw_types::Ms;

/// An alternate is preferred only if its probability of answering in time is higher by more than this: the preferred
/// site is the likeliest to have the part in its cache.
const PREFERRED_SITE_BONUS: f64 = 0.15;
/// Hedging tokens that may accumulate.
const MAX_HEDGE_TOKENS: f64 = 16.0;

impl Gathers {
    /// Sends a part's first sub-request: to the preferred site, to an alternate that is much likelier to answer in
    /// time, or to none. A preferred site that is passed over is probed when a probe is due.
    pub(super) fn send_first(&mut self, no: GatherNo, part: usize, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&no) else { return };
        let time_left = request.time_left(self.now);
        let sites: Vec<Site> = request.parts[part].sites().cloned().collect();
        let chosen = self.choose_first_site(&sites, time_left);
        match chosen {
            Some(site) => {
                self.counters.elsewhere += u64::from(site > 0);
                self.send(no, part, site, Copy::First, acts);
            }
            None => {
                self.counters.left_out += 1;
                if let Some(request) = self.pending.get_mut(&no) {
                    request.parts[part].abandoned = true;
                }
            }
        }
        if chosen != Some(0) && self.sites.probe_is_due(self.now, &sites[0]) {
            self.send(no, part, 0, Copy::Probe, acts);
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

    /// Sends a sub-request for a part to one of its sites. Returns false if no time is left for the site.
    pub(super) fn send(
        &mut self,
        no: GatherNo,
        part: usize,
        site: usize,
        copy: Copy,
        acts: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.pending.get_mut(&no) else { return false };
        let Some(to) = request.parts[part].sites().nth(site).cloned() else { return false };
        let times = site_times(request, self.now, self.sites.network_delay(&to));
        let is_probe = copy == Copy::Probe;
        if times.deadline <= 0.0 {
            self.counters.no_time += 1;
            request.parts[part].abandoned |= !is_probe;
            return false;
        }
        let newest = request.newest_versions();
        let attempt = request.next_attempt_number();
        let pending = &mut request.parts[part];
        let version = pending.spec.version.clone().or_else(|| newest.get(&pending.spec.object).cloned());
        pending.attempts_by_site[site] += usize::from(!is_probe);
        pending.retry_at = None;
        let (after, part_no) = (pending.purge_floor, pending.spec.part);
        let sent =
            Attempt { part_index: part, site: to.clone(), sent_at: self.now, kind: copy, received: None };
        request.attempts.insert(attempt, sent);
        let objective_at = request.objective_at;
        self.account_attempt(copy);
        if is_probe {
            self.register_probe(no, attempt, &to, objective_at);
        }
        acts.push(Action::Fetch { no, attempt, part: part_no, site: to, copy, times, version, after });
        true
    }

    /// Counts an attempt; first attempts earn hedging tokens.
    fn account_attempt(&mut self, copy: Copy) {
        match copy {
            Copy::First => {
                self.counters.first += 1;
                self.hedge_tokens = (self.hedge_tokens + self.settings.second_share).min(MAX_HEDGE_TOKENS);
            }
            Copy::Again => self.counters.again += 1,
            Copy::Second => self.counters.second += 1,
            Copy::Probe => self.counters.probes += 1,
        }
    }

    /// Starts a probe's timeout and the backoff to the site's next probe.
    fn register_probe(&mut self, no: GatherNo, attempt: AttemptNo, site: &Site, objective_at: Ms) {
        let expires = timer_key(self.now + self.settings.probe_wait);
        let probe = ActiveProbe { site: site.clone(), sent_at: self.now, objective_at, expires };
        self.probes.insert((no, attempt), probe);
        self.probe_timers.insert((expires, no, attempt));
        self.sites.probe_sent(self.now, site);
    }

    /// Sends a hedged sub-request if a token is left and the site is admitted. Returns whether it was sent.
    pub(super) fn send_hedge(&mut self, no: GatherNo, target: HedgeTarget, acts: &mut Vec<Action>) -> bool {
        let HedgeTarget { part, site } = target;
        let Some(request) = self.pending.get_mut(&no) else { return false };
        if self.hedge_tokens < 1.0 {
            self.counters.second_spared += u64::from(!request.hedge_suppressed);
            request.hedge_suppressed = true;
            return false;
        }
        let time_left = request.time_left(self.now);
        let Some(to) = request.parts[part].sites().nth(site).cloned() else { return false };
        let admitted = self.sites.admit(self.now, &to, time_left) == Admission::Admitted;
        if !admitted || !self.send(no, part, site, Copy::Second, acts) {
            return false;
        }
        self.hedge_tokens -= 1.0;
        true
    }

    /// Retries the parts that are missing and have no attempt in flight.
    pub(super) fn retry_missing_parts(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&no) else { return };
        let time_left = request.time_left(self.now);
        for part in parts_to_retry(request, self.now) {
            self.retry_part(no, part, time_left, acts);
        }
    }

    /// Retries a part at the admitted site with the fewest attempts. If there is none, the part waits for the first
    /// `Retry-After` of its sites, or is abandoned if that is past the deadline or no attempts are left.
    fn retry_part(&mut self, no: GatherNo, part: usize, time_left: Ms, acts: &mut Vec<Action>) {
        let now = self.now;
        let Some(pending) = self.pending.get(&no).map(|request| &request.parts[part]) else { return };
        let attempts: usize = pending.attempts_by_site.iter().sum();
        let mut order: Vec<usize> = (0..pending.attempts_by_site.len()).collect();
        order.sort_by_key(|site| pending.attempts_by_site[*site]);
        let sites: Vec<Site> = pending.sites().cloned().collect();
        let attempts_left = attempts < self.settings.tries;
        let chosen = order.into_iter().find(|site| {
            attempts_left && self.sites.admit(now, &sites[*site], time_left) == Admission::Admitted
        });
        if chosen.is_some_and(|site| self.send(no, part, site, Copy::Again, acts)) {
            return;
        }
        let waits = sites.iter().filter_map(|site| self.sites.retry_after_until(now, site));
        let first_available = waits.fold(Ms::INFINITY, f64::min);
        if let Some(request) = self.pending.get_mut(&no) {
            let in_time = attempts_left && first_available < request.deadline_at;
            request.parts[part].retry_at = in_time.then_some(first_available);
            request.parts[part].abandoned = !in_time;
        }
    }
}

/// The times left for a site: the request's own, less the network delay.
fn site_times(request: &PendingRequest, now: Ms, network_delay: Ms) -> Times {
    let left = |end: Ms| (end - now - network_delay).max(0.0);
    Times {
        aim: left(request.objective_at),
        deadline: left(request.deadline_at),
        late_worth: request.late_value,
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
