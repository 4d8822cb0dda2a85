//! Whether what was seen is what was promised. It knows the history alone, and nothing of how routers keep their word.

use super::archive::copy_creation_ms;
use super::history::{Event, Outcome, RequestKind, RequestNumber, TimedEvent};
use super::linearizability::is_linearizable;
use std::collections::BTreeMap;

/// Times that the checker grants, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Past the time that a client waits: the users' 50 ms, and what a busy machine adds.
    pub response_slack_ms: u64,
    /// From a purge's event to the first answer that it holds for.
    pub purge_effect_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { response_slack_ms: 50 + 450, purge_effect_ms: 300 + 50 }
    }
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request gets one answer in time and nothing after, unless its router was down.
    OneResponse,
    /// No effect runs twice.
    ExecutedOnce,
    /// What was served runs, and has the same bytes at every router.
    SameOutcome,
    /// What was answered `200` is later answered so or with a failure, never refused. A refusal of a router that was [`Event::RouterIsolated`]
    /// tells of that presentation alone, since it can know of no other; it counts as [`HistoryCounts::rejected_while_isolated`].
    ServedNeverRejected,
    /// What was refused never ran, neither before the refusal nor by it.
    RejectedNeverExecuted,
    /// The answers of all routers on one checkout are those of one register.
    Linearizable,
    /// After a purge only copies made since are served.
    PurgeTakesEffect,
    /// The history is whole.
    HistoryComplete,
}

/// A rule broken: which, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// How, with the ids and times.
    pub description: String,
}

/// What a history counted, for what an experiment means to provoke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistoryCounts {
    /// Requests.
    pub requests: u64,
    /// Answered `200`.
    pub served: u64,
    /// Answered `503`.
    pub rejected: u64,
    /// Refused by a router that was [`Event::RouterIsolated`].
    pub rejected_while_isolated: u64,
    /// Answered with another word.
    pub failed: u64,
    /// Lost with their connection, or never answered, while their router was down; and those whose client went.
    pub lost: u64,
    /// Checkouts, by their ids.
    pub checkouts: u64,
    /// Of those, presented more than once.
    pub checkouts_presented_again: u64,
    /// Of those, answered `200` by more than one router.
    pub served_by_several_routers: u64,
    /// Effects that ran, and those that ran more than once.
    pub executed: u64,
    /// See `ran`.
    pub executed_more_than_once: u64,
    /// Of the latter, those that were never presented twice at once: each time the one before had ended, or its time was up.
    pub executed_again_after_resend: u64,
    /// Reads served from a copy made after a purge of the object.
    pub reads_after_purge: u64,
}

/// A request, with all that came back.
pub(super) struct One<'a> {
    pub(super) router: usize,
    id: &'a str,
    about: &'a RequestKind,
    within: u64,
    pub(super) asked: u64,
    ends: Vec<(u64, &'a Outcome)>,
    lost: Option<u64>,
    left: bool,
}

impl One<'_> {
    pub(super) fn end(&self) -> Option<(u64, &Outcome)> {
        self.ends.first().copied()
    }

    fn refused_at(&self) -> Option<u64> {
        self.end().filter(|(_, end)| matches!(end, Outcome::Rejected { .. })).map(|(at, _)| at)
    }
}

/// Spans in which something was so, by router; the last may be open.
#[derive(Default)]
pub(super) struct Spans(BTreeMap<usize, Vec<(u64, u64)>>);

impl Spans {
    fn mark(&mut self, router: usize, at: u64, so: bool) {
        let spans = self.0.entry(router).or_default();
        match (spans.last_mut().filter(|s| s.1 == u64::MAX), so) {
            (None, true) => spans.push((at, u64::MAX)),
            (Some(open), false) => open.1 = at,
            (None, false) | (Some(_), true) => {}
        }
    }

    pub(super) fn meet(&self, router: usize, from: u64, to: u64) -> bool {
        self.0.get(&router).is_some_and(|all| all.iter().any(|s| s.0 <= to && s.1 >= from))
    }
}

/// Holds a history against the rules; gives what is broken, and what was counted.
pub fn check_history(
    events: &[TimedEvent],
    left_out: u64,
    limits: &Limits,
) -> (Vec<Violation>, HistoryCounts) {
    let mut broken = Vec::new();
    let mut break_rule = |rule, words: String| broken.push(Violation { rule, description: words });
    let mut counted = HistoryCounts::default();
    if left_out > 0 {
        break_rule(Rule::HistoryComplete, format!("{left_out} events were left out"));
    }
    let mut asks: BTreeMap<RequestNumber, One<'_>> = BTreeMap::new();
    let mut runs: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut purges: BTreeMap<u64, Vec<(u64, u64)>> = BTreeMap::new();
    let (mut down, mut apart) = (Spans::default(), Spans::default());
    let last = events.last().map_or(0, |e| e.at_ms);
    for TimedEvent { at_ms: at, event: seen } in events {
        match seen {
            Event::RequestSent { request: ask, router, id, kind: about, timeout_ms: within } => {
                let one = One {
                    router: *router,
                    id,
                    about,
                    within: *within,
                    asked: *at,
                    ends: vec![],
                    lost: None,
                    left: false,
                };
                asks.insert(*ask, one);
            }
            Event::ResponseReceived { request: ask, outcome: end } => match asks.get_mut(ask) {
                Some(one) => one.ends.push((*at, end)),
                None => break_rule(Rule::OneResponse, format!("an answer to nothing at {at} ms: {end:?}")),
            },
            Event::ConnectionLost(ask) => {
                if let Some(one) = asks.get_mut(ask) {
                    one.lost = Some(*at);
                }
            }
            Event::ClientDisconnected(ask) => {
                if let Some(one) = asks.get_mut(ask) {
                    one.left = true;
                }
            }
            Event::Executed { id } => runs.entry(id).or_default().push(*at),
            Event::PurgeAnnounced { object, purged_at_unix_ms: unix, .. } => {
                purges.entry(*object).or_default().push((*at, *unix))
            }
            Event::RouterDown { router, down: so } => down.mark(*router, *at, *so),
            Event::RouterIsolated { router, isolated: so } => apart.mark(*router, *at, *so),
            Event::Fault(_) => {}
        }
    }
    for one in asks.values() {
        counted.requests += 1;
        let due = one.asked + one.within + limits.response_slack_ms;
        let excused = down.meet(one.router, one.asked, due);
        let what = format!("{} at router {} at {} ms", one.id, one.router, one.asked);
        match one.end() {
            Some((at, Outcome::Served(_))) => {
                counted.served += 1;
                if at > due && !excused {
                    break_rule(Rule::OneResponse, format!("{what}: served late, at {at} ms"));
                }
            }
            Some((at, Outcome::Rejected { .. })) => {
                counted.rejected += 1;
                counted.rejected_while_isolated += u64::from(apart.meet(one.router, one.asked, at));
            }
            Some((_, Outcome::Failed(_))) => counted.failed += 1,
            None if excused || one.left => counted.lost += 1,
            None if one.lost.is_none() && last < due => {}
            None => break_rule(Rule::OneResponse, format!("{what}: no answer, lost at {:?}", one.lost)),
        }
        if one.ends.len() > 1 {
            break_rule(Rule::OneResponse, format!("{what}: {} answers", one.ends.len()));
        }
        if let (RequestKind::Read { object }, Some((_, Outcome::Served(bytes)))) = (one.about, one.end()) {
            let told = purges.get(object).into_iter().flatten();
            let held =
                told.filter(|(at, _)| at + limits.purge_effect_ms <= one.asked).map(|(_, unix)| *unix).max();
            match (held, copy_creation_ms(bytes)) {
                (_, None) => break_rule(Rule::SameOutcome, format!("{what}: bytes of no copy")),
                (Some(unix), Some(born)) if born < unix => {
                    break_rule(
                        Rule::PurgeTakesEffect,
                        format!("{what}: a copy made {} ms before its purge", unix - born),
                    );
                }
                (Some(_), Some(_)) => counted.reads_after_purge += 1,
                (None, Some(_)) => {}
            }
        }
    }
    let mut checkouts: BTreeMap<&str, Vec<&One<'_>>> = BTreeMap::new();
    for one in asks.values().filter(|one| *one.about == RequestKind::Checkout) {
        checkouts.entry(one.id).or_default().push(one);
    }
    for (id, ran) in &runs {
        counted.executed += 1;
        if ran.len() > 1 {
            counted.executed_more_than_once += 1;
            break_rule(Rule::ExecutedOnce, format!("{id} ran {} times, at {ran:?} ms", ran.len()));
        }
    }
    for (id, presented) in &checkouts {
        counted.checkouts += 1;
        counted.checkouts_presented_again += u64::from(presented.len() > 1);
        let ran = runs.get(id).and_then(|r| r.first()).copied();
        let served = |one: &&&One<'_>| matches!(one.end(), Some((_, Outcome::Served(_))));
        let mut routers: Vec<usize> = presented.iter().filter(served).map(|one| one.router).collect();
        routers.sort_unstable();
        routers.dedup();
        counted.served_by_several_routers += u64::from(routers.len() > 1);
        if runs.get(id).is_some_and(|r| r.len() > 1) {
            let over =
                |one: &One<'_>| one.end().map(|(at, _)| at).or(one.lost).unwrap_or(one.asked + one.within);
            let apart = presented.windows(2).all(|two| over(two[0]) <= two[1].asked);
            counted.executed_again_after_resend += u64::from(apart);
        }
        outcomes(id, presented, ran, &apart, &mut break_rule);
        refusals(id, presented, ran, &apart, &mut break_rule);
        if !is_linearizable(presented, ran, &apart) {
            break_rule(Rule::Linearizable, format!("{id}: no order of its answers is that of one register"));
        }
    }
    (broken, counted)
}

fn outcomes(
    id: &str,
    presented: &[&One<'_>],
    ran: Option<u64>,
    apart: &Spans,
    break_rule: &mut impl FnMut(Rule, String),
) {
    let mut first: Option<(u64, &[u8])> = None;
    let mut ends: Vec<_> = presented.iter().filter_map(|one| Some((one, one.end()?))).collect();
    ends.sort_by_key(|(_, (at, _))| *at);
    for (one, (at, end)) in ends {
        match (end, first) {
            (Outcome::Served(bytes), None) => {
                first = Some((at, bytes));
                if ran.is_none_or(|r| r > at) {
                    break_rule(Rule::SameOutcome, format!("{id}: served at {at} ms, ran at {ran:?}"));
                }
            }
            (Outcome::Served(bytes), Some((_, others))) => {
                if bytes != others {
                    let words = format!("{id}: router {} served other bytes at {at} ms", one.router);
                    break_rule(Rule::SameOutcome, words);
                }
            }
            (Outcome::Rejected { .. }, Some((served, _)))
                if one.asked > served && !apart.meet(one.router, one.asked, at) =>
            {
                let words =
                    format!("{id}: served at {served} ms, refused by router {} at {at} ms", one.router);
                break_rule(Rule::ServedNeverRejected, words);
            }
            (Outcome::Rejected { .. } | Outcome::Failed(_), _) => {}
        }
    }
}

/// See the note on [`Rule::ServedNeverRejected`] for refusals of routers that were cut off.
fn refusals(
    id: &str,
    presented: &[&One<'_>],
    ran: Option<u64>,
    apart: &Spans,
    break_rule: &mut impl FnMut(Rule, String),
) {
    let Some(ran) = ran else { return };
    for one in presented {
        let Some(at) = one.refused_at() else { continue };
        if ran <= at && !apart.meet(one.router, one.asked, at) {
            let words = format!("{id}: ran at {ran} ms, refused by router {} at {at} ms", one.router);
            break_rule(Rule::RejectedNeverExecuted, words);
        }
    }
    let by = |one: &&&One<'_>| one.asked <= ran && one.refused_at().is_none_or(|at| at >= ran);
    if !presented.iter().any(|one| by(&one)) {
        break_rule(
            Rule::RejectedNeverExecuted,
            format!("{id}: ran at {ran} ms, when all who had asked were refused"),
        );
    }
}
