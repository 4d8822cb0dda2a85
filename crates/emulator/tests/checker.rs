//! The checker passes what is right and names each rule that is broken, on histories made by hand.

use basaltgw_emulator::rig::history::TimedEvent;
use basaltgw_emulator::rig::{
    check_history, Event, HistoryCounts, Limits, Outcome, RequestKind, RequestNumber, Rule, Violation,
};

/// A history, written down in order.
#[derive(Default)]
struct Story(Vec<TimedEvent>);

impl Story {
    fn see(mut self, at: u64, seen: Event) -> Self {
        self.0.push(TimedEvent { at_ms: at, event: seen });
        self
    }

    /// The checkout `c` is presented to a router.
    fn asks(self, at: u64, ask: u64, router: usize) -> Self {
        let seen = Event::RequestSent {
            request: RequestNumber(ask),
            router,
            id: "c".into(),
            kind: RequestKind::Checkout,
            timeout_ms: 1_000,
        };
        self.see(at, seen)
    }

    fn reads(self, at: u64, ask: u64, router: usize) -> Self {
        let about = RequestKind::Read { object: 5 };
        self.see(
            at,
            Event::RequestSent {
                request: RequestNumber(ask),
                router,
                id: format!("r{ask}"),
                kind: about,
                timeout_ms: 1_000,
            },
        )
    }

    fn served(self, at: u64, ask: u64, bytes: &str) -> Self {
        self.see(
            at,
            Event::ResponseReceived { request: RequestNumber(ask), outcome: Outcome::Served(bytes.into()) },
        )
    }

    fn refused(self, at: u64, ask: u64) -> Self {
        self.see(
            at,
            Event::ResponseReceived {
                request: RequestNumber(ask),
                outcome: Outcome::Rejected { retry_after_ms: Some(100) },
            },
        )
    }

    fn failed(self, at: u64, ask: u64) -> Self {
        self.see(
            at,
            Event::ResponseReceived { request: RequestNumber(ask), outcome: Outcome::Failed("500".into()) },
        )
    }

    fn ran(self, at: u64) -> Self {
        self.see(at, Event::Executed { id: "c".into() })
    }

    fn down(self, at: u64, router: usize, so: bool) -> Self {
        self.see(at, Event::RouterDown { router, down: so })
    }

    fn apart(self, at: u64, router: usize, so: bool) -> Self {
        self.see(at, Event::RouterIsolated { router, isolated: so })
    }

    fn purged(self, at: u64, router: usize, unix: u64) -> Self {
        self.see(at, Event::PurgeAnnounced { router, object: 5, purged_at_unix_ms: unix })
    }

    fn checked(self) -> (Vec<Violation>, HistoryCounts) {
        // An event long after the rest, so that nothing is still under way.
        let last = self.0.last().map_or(0, |e| e.at_ms);
        check_history(&self.see(last + 60_000, Event::Fault("the end".into())).0, 0, &Limits::default())
    }

    fn breaks(self, rules: &[Rule]) {
        let (broken, _) = self.checked();
        let mut found: Vec<Rule> = broken.iter().map(|b| b.rule).collect();
        found.sort_unstable();
        found.dedup();
        assert_eq!(found, rules, "{broken:?}");
    }
}

fn story() -> Story {
    Story::default()
}

#[test]
fn one_run_with_one_outcome_at_every_router_is_right_also_where_one_could_only_say_in_doubt() {
    let right = story().asks(0, 1, 0).ran(5).asks(6, 2, 1).served(10, 1, "a").served(20, 2, "a");
    let (broken, counted) = right.asks(30, 3, 2).served(40, 3, "a").checked();
    assert_eq!(broken, []);
    assert_eq!(
        (counted.served, counted.checkouts, counted.served_by_several_routers, counted.executed),
        (3, 1, 1, 1)
    );
    // The first died with it out: what comes after says so or has the outcome, and never invites a repeat.
    let died = story().asks(0, 1, 0).ran(5).down(6, 0, true).see(7, Event::ConnectionLost(RequestNumber(1)));
    let (broken, counted) = died.asks(10, 2, 1).failed(20, 2).asks(30, 3, 2).failed(35, 3).checked();
    assert_eq!((broken, counted.lost, counted.failed), (vec![], 1, 2));
    // Turned away, then taken: the refusal was true when it was said.
    story().asks(0, 1, 0).refused(5, 1).asks(10, 2, 1).ran(12).served(20, 2, "a").breaks(&[]);
}

#[test]
fn an_effect_that_runs_twice_or_comes_out_twice_is_caught() {
    let twice = story().asks(0, 1, 0).ran(5).served(10, 1, "a").asks(20, 2, 1).ran(25);
    twice.served(30, 2, "b").breaks(&[Rule::ExecutedOnce, Rule::SameOutcome, Rule::Linearizable]);
    story().asks(0, 1, 0).served(10, 1, "a").breaks(&[Rule::SameOutcome]);
}

#[test]
fn a_promise_taken_back_and_a_refusal_of_what_ran_are_caught() {
    let back = story().asks(0, 1, 0).ran(5).served(10, 1, "a").asks(20, 2, 1).refused(30, 2);
    back.breaks(&[Rule::ServedNeverRejected, Rule::RejectedNeverExecuted, Rule::Linearizable]);
    story().asks(0, 1, 0).ran(5).refused(10, 1).breaks(&[Rule::RejectedNeverExecuted]);
    story().asks(0, 1, 0).refused(10, 1).ran(30).breaks(&[Rule::RejectedNeverExecuted]);
    // The owner was lost with it out; inviting a repeat then is wrong even though nobody was served.
    let lost = story().asks(0, 1, 0).ran(5).down(6, 0, true).see(7, Event::ConnectionLost(RequestNumber(1)));
    lost.asks(10, 2, 1).refused(20, 2).breaks(&[Rule::RejectedNeverExecuted, Rule::Linearizable]);
}

#[test]
fn a_refusal_tells_of_its_own_presentation_alone_only_while_its_router_is_cut_off() {
    let ran = || story().apart(0, 1, true).asks(1, 1, 0).ran(5).served(10, 1, "a");
    let (broken, counted) = ran().asks(20, 2, 1).refused(25, 2).checked();
    assert_eq!((counted.rejected_while_isolated, broken), (1, vec![]));
    let healed = ran().apart(15, 1, false).asks(20, 2, 1).refused(25, 2);
    healed.breaks(&[Rule::ServedNeverRejected, Rule::RejectedNeverExecuted, Rule::Linearizable]);
}

#[test]
fn no_answer_two_answers_and_a_late_one_are_caught_unless_the_router_was_down() {
    story().asks(0, 1, 0).breaks(&[Rule::OneResponse]);
    story().asks(0, 1, 0).see(5, Event::ConnectionLost(RequestNumber(1))).breaks(&[Rule::OneResponse]);
    story().asks(0, 1, 0).refused(5, 1).refused(6, 1).breaks(&[Rule::OneResponse]);
    story().reads(0, 1, 0).served(5_000, 1, "5/0@7").breaks(&[Rule::OneResponse]);
    story().asks(0, 1, 0).down(5, 0, true).down(900, 0, false).breaks(&[]);
    story().down(0, 0, true).down(900, 0, false).asks(2_000, 1, 0).breaks(&[Rule::OneResponse]);
    let (broken, _) = check_history(&[], 3, &Limits::default());
    assert_eq!(broken.first().map(|b| b.rule), Some(Rule::HistoryComplete));
}

#[test]
fn a_copy_from_before_a_purge_is_caught_once_that_is_to_be_heeded() {
    let purged = || story().purged(0, 0, 7_000);
    purged().reads(100, 1, 1).served(110, 1, "5/0@6999").breaks(&[]);
    purged().reads(400, 1, 1).served(410, 1, "5/0@6999").breaks(&[Rule::PurgeTakesEffect]);
    let (broken, counted) = purged().reads(400, 1, 1).served(410, 1, "5/0@7000").checked();
    assert_eq!((broken, counted.reads_after_purge), (vec![], 1));
    story().reads(0, 1, 0).served(10, 1, "other bytes").breaks(&[Rule::SameOutcome]);
}
