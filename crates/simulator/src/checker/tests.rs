//! Tests of the checker: which rules a sequence of observations violates.

use super::*;
use crate::spec::ColdSpec;

pub fn limits() -> RuleLimits {
    let cold = ColdSpec { share: 0.25, span_ms: 10_000.0, multiple: 2.0, window_ms: 1_500.0 };
    RuleLimits {
        slack_ms: 50.0,
        drain_grace_ms: 250.0,
        purge_grace_ms: 300.0,
        purge_settles_ms: 3_000.0,
        cold_edge: cold,
        cold_parent: cold,
    }
}

const REQUEST: RequestKey = (0, 1);

/// The rules that these observations violate. Each observation has its time.
fn violated_rules(observations: Vec<(Ms, Observation)>) -> Vec<Rule> {
    let mut checker = Checker::new(&limits());
    let mut last = 0.0;
    for (at, observation) in observations {
        checker.observe(at, observation);
        last = at;
    }
    checker.expire(last);
    checker.violations().keys().copied().collect()
}

fn accepted(non_idempotent: bool) -> (Ms, Observation) {
    (
        0.0,
        Observation::RequestAccepted {
            request: REQUEST,
            non_idempotent,
            object: 7,
            group: 3,
            deadline: 1_000.0,
        },
    )
}

fn started(at: Ms, attempt: usize) -> (Ms, Observation) {
    (
        at,
        Observation::AttemptStarted {
            request: REQUEST,
            attempt,
            node: NodeIndex(4),
            fill_source: Some(NodeIndex(2)),
        },
    )
}

fn ended(execution: Execution) -> Observation {
    Observation::AttemptEnded { request: REQUEST, attempt: 0, execution }
}

fn answered(at: Ms, result: ClientResult) -> (Ms, Observation) {
    (at, Observation::ClientAnswered { request: REQUEST, result })
}

#[test]
fn a_request_gets_one_answer_in_time_and_no_attempt_after_it() {
    let served = (20.0, ended(Execution::Served { origin_time: Some(1.0) }));
    assert_eq!(
        violated_rules(vec![accepted(false), started(1.0, 0), served, answered(20.0, ClientResult::Served)]),
        []
    );
    assert_eq!(
        violated_rules(vec![
            accepted(false),
            answered(5.0, ClientResult::Rejected),
            answered(6.0, ClientResult::Failed)
        ]),
        [Rule::Lost]
    );
    assert_eq!(violated_rules(vec![accepted(false), answered(1_060.0, ClientResult::Failed)]), [Rule::Lost]);
    assert_eq!(
        violated_rules(vec![accepted(false), answered(9.0, ClientResult::Failed), started(10.0, 0)]),
        [Rule::Lost]
    );
    assert_eq!(
        violated_rules(vec![accepted(false), (2_000.0, Observation::WriteExecuted { write: 9 })]),
        [Rule::Lost]
    );
    assert_eq!(
        violated_rules(vec![
            accepted(false),
            (900.0, Observation::ClientLeft { request: REQUEST }),
            (2_000.0, Observation::WriteExecuted { write: 9 })
        ]),
        []
    );
}

#[test]
fn a_write_that_may_have_run_is_neither_resent_nor_rejected() {
    let attempt_ended = |execution| (5.0, ended(execution));
    assert_eq!(
        violated_rules(vec![
            accepted(true),
            started(1.0, 0),
            attempt_ended(Execution::NotExecuted),
            started(6.0, 1)
        ]),
        []
    );
    assert_eq!(
        violated_rules(vec![
            accepted(true),
            started(1.0, 0),
            attempt_ended(Execution::Unknown),
            started(6.0, 1)
        ]),
        [Rule::Twice]
    );
    assert_eq!(violated_rules(vec![accepted(true), started(1.0, 0), started(6.0, 1)]), [Rule::Twice]);
    assert_eq!(
        violated_rules(vec![
            accepted(true),
            started(1.0, 0),
            attempt_ended(Execution::Unknown),
            answered(9.0, ClientResult::Rejected)
        ]),
        [Rule::Twice]
    );
    assert_eq!(
        violated_rules(vec![
            accepted(true),
            started(1.0, 0),
            attempt_ended(Execution::Unknown),
            answered(9.0, ClientResult::Failed)
        ]),
        []
    );
    assert_eq!(
        violated_rules(vec![
            accepted(false),
            started(1.0, 0),
            attempt_ended(Execution::Unknown),
            started(6.0, 1),
            answered(7.0, ClientResult::Rejected)
        ]),
        []
    );
    assert_eq!(
        violated_rules(vec![
            (1.0, Observation::WriteExecuted { write: 3 }),
            (2.0, Observation::WriteExecuted { write: 3 })
        ]),
        [Rule::Twice]
    );
}

#[test]
fn draining_nodes_are_neither_targets_nor_sources_after_the_grace_period() {
    let drained = |node| (0.0, Observation::NodeListed { router: 0, node: NodeIndex(node), up: false });
    let end = answered(900.0, ClientResult::Failed);
    assert_eq!(violated_rules(vec![drained(4), accepted(false), started(240.0, 0), end.clone()]), []);
    assert_eq!(
        violated_rules(vec![drained(4), accepted(false), started(260.0, 0), end.clone()]),
        [Rule::Drain]
    );
    assert_eq!(
        violated_rules(vec![drained(2), accepted(false), started(260.0, 0), end.clone()]),
        [Rule::Drain]
    );
    let up_again = (100.0, Observation::NodeListed { router: 0, node: NodeIndex(2), up: true });
    assert_eq!(violated_rules(vec![drained(2), up_again, accepted(false), started(260.0, 0), end]), []);
}

#[test]
fn copies_are_newer_than_the_purges_received_before_the_attempt() {
    let purged =
        |at| (50.0, Observation::PurgeReceived { router: 0, object: Some(7), group: 0, purged_at: at });
    let group = |at| (50.0, Observation::PurgeReceived { router: 0, object: None, group: 3, purged_at: at });
    let served = |time| (500.0, ended(Execution::Served { origin_time: Some(time) }));
    let end = answered(500.0, ClientResult::Served);
    let check = |purge, at, origin_time| {
        violated_rules(vec![purge, accepted(false), started(at, 0), served(origin_time), end.clone()])
    };
    assert_eq!(check(purged(40.0), 360.0, 39.0), [Rule::Purge]);
    assert_eq!(check(group(40.0), 360.0, 39.0), [Rule::Purge]);
    assert_eq!(check(purged(40.0), 360.0, 41.0), []);
    assert_eq!(check(purged(40.0), 340.0, 39.0), [], "within the grace period");
    assert_eq!(
        check(
            (50.0, Observation::PurgeReceived { router: 0, object: Some(8), group: 0, purged_at: 40.0 }),
            360.0,
            39.0
        ),
        [],
        "another object"
    );
    assert_eq!(
        check(
            (50.0, Observation::PurgeReceived { router: 1, object: Some(7), group: 0, purged_at: 40.0 }),
            360.0,
            39.0
        ),
        [],
        "another router"
    );
}

#[test]
fn an_overloaded_cold_node_is_a_violation() {
    assert_eq!(
        violated_rules(vec![(1.0, Observation::ColdNodeOverloaded { node: NodeIndex(3) })]),
        [Rule::Cold]
    );
}
