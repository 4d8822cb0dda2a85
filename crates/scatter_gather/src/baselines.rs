//! Three plainer ways to decide on gathers, for experiments beside [`Gathers`](crate::Gathers): they ask each part's preferred site once, and differ
//! in when they answer. What must never be mixed they do not mix either.

use crate::api::{
    Action, Ask, AttemptNo, Came, Copy, Decide, Ended, Event, GatherNo, Missing, Purge, Times, Verdict,
};
use crate::counters::Counters;
use crate::pending_request::{Attempt, PendingRequest, ReceivedPart};
use crate::request_validation::find_request_error;
use crate::settings::{BadSetting, Settings};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// When a baseline answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// With all parts, or not at all at the deadline.
    AllOrNothing,
    /// With all parts, or in part at a fixed share of the aim, 0 to 1.
    FixedTimeout(f64),
    /// Once each site has given its first answer, with those alone; in part at the deadline.
    FirstOfEachSite,
}

/// A plainer way to decide on gathers.
#[derive(Clone, Debug)]
pub struct Baseline {
    when: When,
    settings: Settings,
    pending: BTreeMap<GatherNo, PendingRequest>,
    timer: Option<Ms>,
    counters: Counters,
}

impl Baseline {
    /// Starts with nothing open.
    ///
    /// # Errors
    /// If a setting is out of its range.
    pub fn new(set: Settings, when: When) -> Result<Self, BadSetting> {
        set.check()?;
        Ok(Self { when, settings: set, pending: BTreeMap::new(), timer: None, counters: Counters::default() })
    }

    fn ask(&mut self, now: Ms, ask: Ask, acts: &mut Vec<Action>) {
        self.counters.asked += 1;
        let no = ask.no;
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
            return acts.push(Action::Answer(no, Verdict::Refused { come_back: self.settings.usual }));
        }
        let mut open = PendingRequest::new(now, ask, self.settings.slack, &self.settings);
        open.next_evaluation = match self.when {
            When::FixedTimeout(share) => open.started_at + share * (open.objective_at - open.started_at),
            When::AllOrNothing | When::FirstOfEachSite => open.deadline_at,
        };
        for part in 0..open.parts.len() {
            let (attempt, p) = (open.next_attempt_number(), &open.parts[part]);
            let site = p.spec.site.clone();
            let times = Times {
                aim: open.objective_at - now,
                deadline: open.deadline_at - now,
                late_worth: open.late_value,
            };
            let (version, after, part_no, copy) =
                (p.spec.version.clone(), p.purge_floor, p.spec.part, Copy::First);
            open.attempts.insert(
                attempt,
                Attempt { part_index: part, site: site.clone(), sent_at: now, kind: copy, received: None },
            );
            acts.push(Action::Fetch { no, attempt, part: part_no, site, copy, times, version, after });
            self.counters.first += 1;
        }
        self.pending.insert(no, open);
        self.look(now, no, acts);
    }

    fn came(&mut self, now: Ms, c: Came, acts: &mut Vec<Action>) {
        let Some(open) = self.pending.get_mut(&c.no) else {
            self.counters.stray += 1;
            return;
        };
        let mut drops: Vec<AttemptNo> = c.purges.iter().flat_map(|p| open.apply_purge(p)).collect();
        self.counters.voided += drops.len() as u64;
        let Some(a) = open.attempts.get_mut(&c.attempt).filter(|a| a.received.is_none()) else {
            self.counters.stray += 1;
            return acts.extend(drops.into_iter().map(|a| Action::Drop(c.no, a)));
        };
        let part = &open.parts[a.part_index];
        let old = part.purge_floor > 0 && c.born <= part.purge_floor;
        let other = part.spec.version.as_ref().is_some_and(|v| *v != c.version);
        a.received = Some(ReceivedPart { version: c.version, origin_time: c.born });
        let site = a.site.clone();
        if old || other || !c.whole {
            self.counters.voided += u64::from(old);
            self.counters.in_part += u64::from(!c.whole);
            self.counters.other_version += u64::from(other);
            open.attempts.remove(&c.attempt);
            drops.push(c.attempt);
        }
        if self.when == When::FirstOfEachSite {
            let rest = open.attempts.iter().filter(|(_, a)| a.site == site && a.received.is_none());
            drops.extend(rest.map(|(n, _)| *n).collect::<Vec<_>>());
            open.attempts.retain(|_, a| a.site != site || a.received.is_some());
        }
        acts.extend(drops.into_iter().map(|a| Action::Drop(c.no, a)));
        self.look(now, c.no, acts);
    }

    fn ended(&mut self, now: Ms, e: Ended, acts: &mut Vec<Action>) {
        let open = self.pending.get_mut(&e.no);
        let out = open.filter(|o| o.attempts.get(&e.attempt).is_some_and(|a| a.received.is_none()));
        match out {
            Some(open) => drop(open.attempts.remove(&e.attempt)),
            None => self.counters.stray += 1,
        }
        self.look(now, e.no, acts);
    }

    fn purged(&mut self, purge: Purge, acts: &mut Vec<Action>) {
        for (no, open) in &mut self.pending {
            let void = open.apply_purge(&purge);
            self.counters.voided += void.len() as u64;
            acts.extend(void.into_iter().map(|a| Action::Drop(*no, a)));
        }
    }

    fn look(&mut self, now: Ms, no: GatherNo, acts: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&no) else { return };
        let has = open.best_selection();
        let whole = open.is_complete(&has);
        let nothing_out = open.attempts.values().all(|a| a.received.is_some());
        let in_part = self.when != When::AllOrNothing && open.policy_allows(&has);
        if !whole && !nothing_out && now < open.next_evaluation {
            return;
        }
        let verdict = match () {
            () if whole => Verdict::Whole { used: open.used_parts(&has) },
            () if in_part => {
                let owed = open.policy.missing == Missing::Owed;
                let (used, missing) = (open.used_parts(&has), open.missing_parts(&has));
                self.counters.missing += missing.len() as u64;
                Verdict::Part { used, missing, owed, come_back: self.settings.usual }
            }
            () => Verdict::Failed,
        };
        let kept: BTreeSet<AttemptNo> = match &verdict {
            Verdict::Whole { used } | Verdict::Part { used, .. } => used.iter().map(|u| u.attempt).collect(),
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => BTreeSet::new(),
        };
        match &verdict {
            Verdict::Whole { .. } => self.counters.whole += 1,
            Verdict::Part { .. } => self.counters.part += 1,
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => self.counters.failed_late += 1,
        }
        acts.push(Action::Answer(no, verdict));
        self.close(no, &kept, acts);
    }

    fn close(&mut self, no: GatherNo, kept: &BTreeSet<AttemptNo>, acts: &mut Vec<Action>) {
        let Some(open) = self.pending.remove(&no) else { return };
        let drops = open.attempts.into_iter().filter(|(a, _)| !kept.contains(a));
        acts.extend(drops.map(|(a, _)| Action::Drop(no, a)));
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::Ask(ask) => self.ask(now, ask, acts),
            Event::Came(came) => self.came(now, came, acts),
            Event::Ended(ended) => self.ended(now, ended, acts),
            Event::Purged(purge) => self.purged(purge, acts),
            Event::Left(no) => {
                self.counters.left += u64::from(self.pending.contains_key(&no));
                self.close(no, &BTreeSet::new(), acts);
            }
            Event::Heard(..) | Event::Fleet(_) | Event::Merged(_) => {}
            Event::Timer => self.timer = None,
        }
        let due: Vec<GatherNo> =
            self.pending.iter().filter(|(_, o)| o.next_evaluation <= now).map(|(no, _)| *no).collect();
        due.into_iter().for_each(|no| self.look(now, no, acts));
        let next = self.pending.values().map(|o| o.next_evaluation).fold(Ms::INFINITY, f64::min);
        if next.is_finite() && self.timer != Some(next) {
            self.timer = Some(next);
            acts.push(Action::Timer(next));
        }
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
