//! Whom a part is asked of: first, again, and a second time.

use super::{timer_key, ActiveProbe, Gathers};
use crate::api::{Action, Copy, GatherNo, Site, Times};
use crate::pending_request::Attempt;
use crate::site_table::Admission;
use basaltgw_types::Ms;

/// An alternate is asked first if its chance within the aim is better by more than this: the preferred site is most likely to hold the part.
const PREFERRED_SITE_BONUS: f64 = 0.15;
/// Second copies that may be saved up.
const MAX_HEDGE_TOKENS: f64 = 16.0;

impl Gathers {
    /// Asks for a part: of the preferred site, of another that is much more likely to answer in time, or of none.
    pub(super) fn send_first(&mut self, no: GatherNo, part: usize, acts: &mut Vec<Action>) {
        let now = self.now;
        let Some(open) = self.pending.get(&no) else { return };
        let left = open.time_left(now);
        let sites: Vec<Site> = open.parts[part].sites().cloned().collect();
        let admits: Vec<Admission> = sites.iter().map(|s| self.sites.admit(now, s, left)).collect();
        let hopes: Vec<f64> = sites.iter().map(|s| self.sites.success_probability(now, s, left)).collect();
        let yes = (0..sites.len()).filter(|i| admits[*i] == Admission::Admitted);
        let score = |i: usize| hopes[i] + if i == 0 { PREFERRED_SITE_BONUS } else { 0.0 };
        let chosen = yes.max_by(|a, b| score(*a).total_cmp(&score(*b)).then(b.cmp(a)));
        match chosen {
            Some(i) => {
                self.counters.elsewhere += u64::from(i > 0);
                self.send(no, part, i, Copy::First, acts);
            }
            None => {
                self.counters.left_out += 1;
                self.pending.get_mut(&no).into_iter().for_each(|o| o.parts[part].abandoned = true);
            }
        }
        if chosen != Some(0) && self.sites.probe_is_due(now, &sites[0]) {
            self.send(no, part, 0, Copy::Probe, acts);
        }
    }

    /// Asks a site for a part, with the times that are left for it. False if none is.
    pub(super) fn send(
        &mut self,
        no: GatherNo,
        part: usize,
        site: usize,
        copy: Copy,
        acts: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        let Some(open) = self.pending.get_mut(&no) else { return false };
        let Some(to) = open.parts[part].sites().nth(site).cloned() else { return false };
        let travel = self.sites.network_delay(&to);
        let left = |end: Ms| (end - now - travel).max(0.0);
        let times = Times {
            aim: left(open.objective_at),
            deadline: left(open.deadline_at),
            late_worth: open.late_value,
        };
        let probe = copy == Copy::Probe;
        if times.deadline <= 0.0 {
            self.counters.no_time += 1;
            open.parts[part].abandoned |= !probe;
            return false;
        }
        let newest = open.newest_versions();
        let attempt = open.next_attempt_number();
        let p = &mut open.parts[part];
        let version = p.spec.version.clone().or_else(|| newest.get(&p.spec.object).cloned());
        p.attempts_by_site[site] += usize::from(!probe);
        p.retry_at = None;
        let (after, part_no) = (p.purge_floor, p.spec.part);
        open.attempts.insert(
            attempt,
            Attempt { part_index: part, site: to.clone(), sent_at: now, kind: copy, received: None },
        );
        match copy {
            Copy::First => {
                self.counters.first += 1;
                self.hedge_tokens = (self.hedge_tokens + self.settings.second_share).min(MAX_HEDGE_TOKENS);
            }
            Copy::Again => self.counters.again += 1,
            Copy::Second => self.counters.second += 1,
            Copy::Probe => {
                self.counters.probes += 1;
                let ends = timer_key(now + self.settings.probe_wait);
                let probe = ActiveProbe {
                    site: to.clone(),
                    sent_at: now,
                    objective_at: open.objective_at,
                    expires: ends,
                };
                self.probes.insert((no, attempt), probe);
                self.probe_timers.insert((ends, no, attempt));
                self.sites.probe_sent(now, &to);
            }
        }
        acts.push(Action::Fetch { no, attempt, part: part_no, site: to, copy, times, version, after });
        true
    }

    pub(super) fn send_hedge(
        &mut self,
        no: GatherNo,
        part: usize,
        site: usize,
        acts: &mut Vec<Action>,
    ) -> bool {
        let Some(open) = self.pending.get_mut(&no) else { return false };
        if self.hedge_tokens < 1.0 {
            self.counters.second_spared += u64::from(!open.hedge_suppressed);
            open.hedge_suppressed = true;
            return false;
        }
        let left = open.time_left(self.now);
        let Some(to) = open.parts[part].sites().nth(site).cloned() else { return false };
        if self.sites.admit(self.now, &to, left) != Admission::Admitted
            || !self.send(no, part, site, Copy::Second, acts)
        {
            return false;
        }
        self.hedge_tokens -= 1.0;
        true
    }

    /// Asks again for parts that nothing is out for, where that may bring them.
    pub(super) fn retry_missing_parts(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        let now = self.now;
        let Some(open) = self.pending.get(&no) else { return };
        let left = open.time_left(now);
        let had = open.select_versions(&open.newest_versions());
        let lacks = |i: &usize| {
            let p = &open.parts[*i];
            had.attempt_by_part[*i].is_none()
                && !p.abandoned
                && p.retry_at.is_none_or(|t| t <= now)
                && open.in_flight(*i).next().is_none()
        };
        let lacking: Vec<usize> = (0..open.parts.len()).filter(lacks).collect();
        for i in lacking {
            let Some(p) = self.pending.get(&no).map(|o| &o.parts[i]) else { return };
            let tries: usize = p.attempts_by_site.iter().sum();
            let mut order: Vec<usize> = (0..p.attempts_by_site.len()).collect();
            order.sort_by_key(|s| p.attempts_by_site[*s]);
            let sites: Vec<Site> = p.sites().cloned().collect();
            let free = tries < self.settings.tries;
            let yes = |s: &usize| free && self.sites.admit(now, &sites[*s], left) == Admission::Admitted;
            let chosen = order.into_iter().find(yes);
            if chosen.is_some_and(|site| self.send(no, i, site, Copy::Again, acts)) {
                continue;
            }
            let back = sites
                .iter()
                .filter_map(|s| self.sites.retry_after_until(now, s))
                .fold(Ms::INFINITY, f64::min);
            if let Some(open) = self.pending.get_mut(&no) {
                let in_time = free && back < open.deadline_at;
                open.parts[i].retry_at = in_time.then_some(back);
                open.parts[i].abandoned = !in_time;
            }
        }
    }
}
