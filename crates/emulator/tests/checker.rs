//! The checker accepts correct histories and names each violated rule, on histories written by hand.

use basaltgw_emulator::rig::history::TimedEvent;
use basaltgw_emulator::rig::{
    check_history, Event, HistoryCounts, Limits, Outcome, RequestKind, RequestNumber, Rule, Violation,
};

/// The object of all reads and purges.
const OBJECT: u64 = 5;
const TIMEOUT_MS: u64 = 1_000;

/// Builds a history; events are added in order of time.
#[derive(Default)]
struct HistoryBuilder(Vec<TimedEvent>);

impl HistoryBuilder {
    fn event(mut self, at_ms: u64, event: Event) -> Self {
        self.0.push(TimedEvent { at_ms, event });
        self
    }

    /// A request presents the only checkout to a router.
    fn checkout(self, at_ms: u64, request: u64, router: usize) -> Self {
        let (request, id, kind) = (RequestNumber(request), "c".into(), RequestKind::Checkout);
        self.event(at_ms, Event::RequestSent { request, router, id, kind, timeout_ms: TIMEOUT_MS })
    }

    fn read(self, at_ms: u64, request: u64, router: usize) -> Self {
        let (id, kind) = (format!("r{request}"), RequestKind::Read { object: OBJECT });
        let request = RequestNumber(request);
        self.event(at_ms, Event::RequestSent { request, router, id, kind, timeout_ms: TIMEOUT_MS })
    }

    fn response(self, at_ms: u64, request: u64, outcome: Outcome) -> Self {
        self.event(at_ms, Event::ResponseReceived { request: RequestNumber(request), outcome })
    }

    fn served(self, at_ms: u64, request: u64, body: &str) -> Self {
        self.response(at_ms, request, Outcome::Served(body.into()))
    }

    fn rejected(self, at_ms: u64, request: u64) -> Self {
        self.response(at_ms, request, Outcome::Rejected { retry_after_ms: Some(100) })
    }

    fn failed(self, at_ms: u64, request: u64) -> Self {
        self.response(at_ms, request, Outcome::Failed("500".into()))
    }

    fn connection_lost(self, at_ms: u64, request: u64) -> Self {
        self.event(at_ms, Event::ConnectionLost(RequestNumber(request)))
    }

    /// The archive executes the checkout.
    fn executed(self, at_ms: u64) -> Self {
        self.event(at_ms, Event::Executed { id: "c".into() })
    }

    fn down(self, at_ms: u64, router: usize, down: bool) -> Self {
        self.event(at_ms, Event::RouterDown { router, down })
    }

    fn isolated(self, at_ms: u64, router: usize, isolated: bool) -> Self {
        self.event(at_ms, Event::RouterIsolated { router, isolated })
    }

    fn purged(self, at_ms: u64, router: usize, purged_at_unix_ms: u64) -> Self {
        self.event(at_ms, Event::PurgeAnnounced { router, object: OBJECT, purged_at_unix_ms })
    }

    fn check(self) -> (Vec<Violation>, HistoryCounts) {
        // An event long after the others, so that all requests are past their deadlines.
        let last_ms = self.0.last().map_or(0, |e| e.at_ms);
        let complete = self.event(last_ms + 60_000, Event::Fault("the end".into()));
        check_history(&complete.0, 0, &Limits::default())
    }

    fn assert_violates(self, rules: &[Rule]) {
        let (violations, _) = self.check();
        let mut violated: Vec<Rule> = violations.iter().map(|violation| violation.rule).collect();
        violated.sort_unstable();
        violated.dedup();
        assert_eq!(violated, rules, "{violations:?}");
    }
}

fn history() -> HistoryBuilder {
    HistoryBuilder::default()
}

#[test]
fn one_execution_with_one_outcome_at_every_router_is_correct_also_if_one_outcome_is_unknown() {
    let served =
        history().checkout(0, 1, 0).executed(5).checkout(6, 2, 1).served(10, 1, "a").served(20, 2, "a");
    let (violations, counts) = served.checkout(30, 3, 2).served(40, 3, "a").check();
    assert_eq!(violations, []);
    let found = (counts.served, counts.checkouts, counts.served_by_several_routers, counts.executed);
    assert_eq!(found, (3, 1, 1, 1));
    // The router died after the execution: later attempts end with an unknown outcome, and invite no retry.
    let died = history().checkout(0, 1, 0).executed(5).down(6, 0, true).connection_lost(7, 1);
    let (violations, counts) = died.checkout(10, 2, 1).failed(20, 2).checkout(30, 3, 2).failed(35, 3).check();
    assert_eq!((violations, counts.lost, counts.failed), (vec![], 1, 2));
    // Rejected first and then executed: the rejection was correct at its time.
    let retried = history().checkout(0, 1, 0).rejected(5, 1).checkout(10, 2, 1).executed(12);
    retried.served(20, 2, "a").assert_violates(&[]);
}

#[test]
fn second_execution_and_second_outcome_are_violations() {
    let twice = history().checkout(0, 1, 0).executed(5).served(10, 1, "a").checkout(20, 2, 1).executed(25);
    let rules = [Rule::ExecutedOnce, Rule::SameOutcome, Rule::Linearizable];
    twice.served(30, 2, "b").assert_violates(&rules);
    history().checkout(0, 1, 0).served(10, 1, "a").assert_violates(&[Rule::SameOutcome]);
}

#[test]
fn rejection_after_an_execution_is_a_violation() {
    let served = history().checkout(0, 1, 0).executed(5).served(10, 1, "a");
    let rules = [Rule::ServedNeverRejected, Rule::RejectedNeverExecuted, Rule::Linearizable];
    served.checkout(20, 2, 1).rejected(30, 2).assert_violates(&rules);
    let rejected = [Rule::RejectedNeverExecuted];
    history().checkout(0, 1, 0).executed(5).rejected(10, 1).assert_violates(&rejected);
    history().checkout(0, 1, 0).rejected(10, 1).executed(30).assert_violates(&rejected);
    // The router was lost after the execution: a rejection is wrong even though no request was served.
    let lost = history().checkout(0, 1, 0).executed(5).down(6, 0, true).connection_lost(7, 1);
    let rules = [Rule::RejectedNeverExecuted, Rule::Linearizable];
    lost.checkout(10, 2, 1).rejected(20, 2).assert_violates(&rules);
}

#[test]
fn rejection_concerns_only_its_own_attempt_while_the_router_is_isolated() {
    let served = || history().isolated(0, 1, true).checkout(1, 1, 0).executed(5).served(10, 1, "a");
    let (violations, counts) = served().checkout(20, 2, 1).rejected(25, 2).check();
    assert_eq!((counts.rejected_while_isolated, violations), (1, vec![]));
    let healed = served().isolated(15, 1, false).checkout(20, 2, 1).rejected(25, 2);
    let rules = [Rule::ServedNeverRejected, Rule::RejectedNeverExecuted, Rule::Linearizable];
    healed.assert_violates(&rules);
}

#[test]
fn missing_second_and_late_responses_are_violations_unless_the_router_was_down() {
    let rule = [Rule::OneResponse];
    history().checkout(0, 1, 0).assert_violates(&rule);
    history().checkout(0, 1, 0).connection_lost(5, 1).assert_violates(&rule);
    history().checkout(0, 1, 0).rejected(5, 1).rejected(6, 1).assert_violates(&rule);
    history().read(0, 1, 0).served(5_000, 1, "5/0@7").assert_violates(&rule);
    history().checkout(0, 1, 0).down(5, 0, true).down(900, 0, false).assert_violates(&[]);
    history().down(0, 0, true).down(900, 0, false).checkout(2_000, 1, 0).assert_violates(&rule);
    let (violations, _) = check_history(&[], 3, &Limits::default());
    assert_eq!(violations.first().map(|violation| violation.rule), Some(Rule::HistoryComplete));
}

#[test]
fn copy_from_before_a_purge_is_a_violation_once_the_purge_has_to_be_in_effect() {
    let purged = || history().purged(0, 0, 7_000);
    purged().read(100, 1, 1).served(110, 1, "5/0@6999").assert_violates(&[]);
    purged().read(400, 1, 1).served(410, 1, "5/0@6999").assert_violates(&[Rule::PurgeTakesEffect]);
    let (violations, counts) = purged().read(400, 1, 1).served(410, 1, "5/0@7000").check();
    assert_eq!((violations, counts.reads_after_purge), (vec![], 1));
    history().read(0, 1, 0).served(10, 1, "other bytes").assert_violates(&[Rule::SameOutcome]);
}
