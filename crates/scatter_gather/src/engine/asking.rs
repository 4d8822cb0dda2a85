//! Whom a part is asked of: first, again, and a second time.

use super::{bits, Gathers, Probe};
use crate::api::{Action, Copy, GatherNo, Site, Times};
use crate::open::Attempt;
use crate::sites::Admit;
use basaltgw_types::Ms;

/// An alternate is asked first if its chance within the aim is better by more than this: the preferred site is most likely to hold the part.
const PREFERENCE: f64 = 0.15;
/// Second copies that may be saved up.
const SECONDS_SAVED: f64 = 16.0;

impl Gathers {
    /// Asks for a part: of the preferred site, of another that is much more likely to answer in time, or of none.
    pub(super) fn first(&mut self, no: GatherNo, part: usize, acts: &mut Vec<Action>) {
        let now = self.now;
        let Some(open) = self.open.get(&no) else { return };
        let left = open.left(now);
        let sites: Vec<Site> = open.parts[part].sites().cloned().collect();
        let admits: Vec<Admit> = sites.iter().map(|s| self.sites.admit(now, s, left)).collect();
        let hopes: Vec<f64> = sites.iter().map(|s| self.sites.hope(now, s, left)).collect();
        let yes = (0..sites.len()).filter(|i| admits[*i] == Admit::Yes);
        let score = |i: usize| hopes[i] + if i == 0 { PREFERENCE } else { 0.0 };
        let chosen = yes.max_by(|a, b| score(*a).total_cmp(&score(*b)).then(b.cmp(a)));
        match chosen {
            Some(i) => {
                self.counters.elsewhere += u64::from(i > 0);
                self.fetch(no, part, i, Copy::First, acts);
            }
            None => {
                self.counters.left_out += 1;
                self.open.get_mut(&no).into_iter().for_each(|o| o.parts[part].closed = true);
            }
        }
        if chosen != Some(0) && self.sites.probe_due(now, &sites[0]) {
            self.fetch(no, part, 0, Copy::Probe, acts);
        }
    }

    /// Asks a site for a part, with the times that are left for it. False if none is.
    pub(super) fn fetch(
        &mut self,
        no: GatherNo,
        part: usize,
        site: usize,
        copy: Copy,
        acts: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        let Some(open) = self.open.get_mut(&no) else { return false };
        let Some(to) = open.parts[part].sites().nth(site).cloned() else { return false };
        let travel = self.sites.travel(&to);
        let left = |end: Ms| (end - now - travel).max(0.0);
        let times =
            Times { aim: left(open.aim_at), deadline: left(open.end_at), late_worth: open.late_worth };
        let probe = copy == Copy::Probe;
        if times.deadline <= 0.0 {
            self.counters.no_time += 1;
            open.parts[part].closed |= !probe;
            return false;
        }
        let newest = open.newest();
        let attempt = open.number();
        let p = &mut open.parts[part];
        let version = p.spec.version.clone().or_else(|| newest.get(&p.spec.object).cloned());
        p.tried[site] += usize::from(!probe);
        p.again = None;
        let (after, part_no) = (p.floor, p.spec.part);
        open.attempts.insert(attempt, Attempt { part, site: to.clone(), asked: now, copy, bytes: None });
        match copy {
            Copy::First => {
                self.counters.first += 1;
                self.seconds = (self.seconds + self.set.second_share).min(SECONDS_SAVED);
            }
            Copy::Again => self.counters.again += 1,
            Copy::Second => self.counters.second += 1,
            Copy::Probe => {
                self.counters.probes += 1;
                let ends = bits(now + self.set.probe_wait);
                let probe = Probe { site: to.clone(), asked: now, aim_at: open.aim_at, ends };
                self.probes.insert((no, attempt), probe);
                self.ends.insert((ends, no, attempt));
                self.sites.probed(now, &to);
            }
        }
        acts.push(Action::Fetch { no, attempt, part: part_no, site: to, copy, times, version, after });
        true
    }

    pub(super) fn second(&mut self, no: GatherNo, part: usize, site: usize, acts: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get_mut(&no) else { return false };
        if self.seconds < 1.0 {
            self.counters.second_spared += u64::from(!open.spared);
            open.spared = true;
            return false;
        }
        let left = open.left(self.now);
        let Some(to) = open.parts[part].sites().nth(site).cloned() else { return false };
        if self.sites.admit(self.now, &to, left) != Admit::Yes
            || !self.fetch(no, part, site, Copy::Second, acts)
        {
            return false;
        }
        self.seconds -= 1.0;
        true
    }

    /// Asks again for parts that nothing is out for, where that may bring them.
    pub(super) fn refill(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        let now = self.now;
        let Some(open) = self.open.get(&no) else { return };
        let left = open.left(now);
        let had = open.in_versions(&open.newest());
        let lacks = |i: &usize| {
            let p = &open.parts[*i];
            had.of[*i].is_none()
                && !p.closed
                && p.again.is_none_or(|t| t <= now)
                && open.out(*i).next().is_none()
        };
        let lacking: Vec<usize> = (0..open.parts.len()).filter(lacks).collect();
        for i in lacking {
            let Some(p) = self.open.get(&no).map(|o| &o.parts[i]) else { return };
            let tries: usize = p.tried.iter().sum();
            let mut order: Vec<usize> = (0..p.tried.len()).collect();
            order.sort_by_key(|s| p.tried[*s]);
            let sites: Vec<Site> = p.sites().cloned().collect();
            let free = tries < self.set.tries;
            let yes = |s: &usize| free && self.sites.admit(now, &sites[*s], left) == Admit::Yes;
            let chosen = order.into_iter().find(yes);
            if chosen.is_some_and(|site| self.fetch(no, i, site, Copy::Again, acts)) {
                continue;
            }
            let back = sites.iter().filter_map(|s| self.sites.away(now, s)).fold(Ms::INFINITY, f64::min);
            if let Some(open) = self.open.get_mut(&no) {
                let in_time = free && back < open.end_at;
                open.parts[i].again = in_time.then_some(back);
                open.parts[i].closed = !in_time;
            }
        }
    }
}
