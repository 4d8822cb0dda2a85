//! Requests under a fixed map: which are committed, which conflict, and which fail immediately.

mod net;

use basaltgw_registers::{Change, Event, Kind, Outcome, Record, RecordKey, Response, UnavailableReason};
use net::{execution, Net};
use std::sync::Arc;

/// Whether a failed request was provably not executed, and its reason.
fn unavailable(response: Response) -> (bool, UnavailableReason) {
    match response {
        Response::Unavailable { not_executed, reason, .. } => (not_executed, reason),
        Response::Committed(_) | Response::Conflict(_) => {
            panic!("expected an unavailable response, found {response:?}")
        }
    }
}

#[test]
fn only_the_owner_completes_a_leased_execution() {
    let mut net = Net::new(3, 4, 3, 1);
    let (a, b) = (net.nodes[0].me.clone(), net.nodes[1].me.clone());
    let leased = Record::Leased { owner: a.clone(), term: 0 };
    assert_eq!(net.call(0, execution(1), Change::Acquire(a.clone())), Response::Committed(leased.clone()));
    assert_eq!(
        net.call(1, execution(1), Change::Acquire(b.clone())),
        Response::Conflict(Some(leased.clone()))
    );
    assert_eq!(net.call(2, execution(1), Change::Read), Response::Conflict(Some(leased.clone())));
    let outcome = Outcome::Served(vec![7]);
    assert_eq!(
        net.call(1, execution(1), Change::Complete(b, 0, outcome.clone())),
        Response::Conflict(Some(leased))
    );
    let completed = Record::Completed(outcome.clone());
    assert_eq!(
        net.call(0, execution(1), Change::Complete(a, 0, outcome)),
        Response::Committed(completed.clone())
    );
    assert_eq!(net.call(2, execution(1), Change::Read), Response::Conflict(Some(completed)));
    assert_eq!(net.call(2, execution(2), Change::Read), Response::Conflict(None));
}

#[test]
fn a_released_execution_can_be_acquired_again_and_one_of_unknown_outcome_never() {
    let mut net = Net::new(3, 4, 3, 2);
    let (a, b) = (net.nodes[0].me.clone(), net.nodes[1].me.clone());
    net.call(0, execution(1), Change::Acquire(a.clone()));
    assert_eq!(
        net.call(0, execution(1), Change::Release(a.clone(), 0)),
        Response::Committed(Record::Released { term: 1 })
    );
    let leased = Record::Leased { owner: b.clone(), term: 1 };
    assert_eq!(net.call(1, execution(1), Change::Acquire(b.clone())), Response::Committed(leased));
    // A message of the earlier term is rejected.
    let late = net.call(0, execution(1), Change::Complete(a.clone(), 0, Outcome::Failed));
    assert!(matches!(late, Response::Conflict(Some(Record::Leased { .. }))));
    assert_eq!(
        net.call(2, execution(1), Change::MarkOutcomeUnknown(1)),
        Response::Committed(Record::OutcomeUnknown)
    );
    // The former owner gets a conflict, and so may not reply to its client.
    let resumed = net.call(1, execution(1), Change::Complete(b, 1, Outcome::ServedBodyOmitted));
    assert_eq!(resumed, Response::Conflict(Some(Record::OutcomeUnknown)));
    assert_eq!(
        net.call(0, execution(1), Change::Acquire(a)),
        Response::Conflict(Some(Record::OutcomeUnknown))
    );
}

#[test]
fn purges_tickets_continuations_and_the_table_are_replicated_alike() {
    let mut net = Net::new(3, 4, 3, 3);
    let key = |kind| RecordKey { kind, name: 9 };
    let purge = Change::Purge { group: 1, object: None, time: 5 };
    assert!(matches!(
        net.call(0, key(Kind::Purge), purge),
        Response::Committed(Record::Purged { time: 5, .. })
    ));
    net.run(10.0);
    assert_eq!(net.nodes.iter().filter(|n| n.registers.iter().any(|r| r.purges().count() == 1)).count(), 3);
    let by = net.nodes[0].me.router.clone();
    net.call(0, key(Kind::Ticket), Change::IssueTicket { server: Arc::from("c1"), by });
    assert!(matches!(
        net.call(2, key(Kind::Ticket), Change::UseTicket),
        Response::Committed(Record::Ticket { used: true, .. })
    ));
    assert!(matches!(net.call(1, key(Kind::Ticket), Change::UseTicket), Response::Conflict(_)));
    let set_continuation = |missing: &[u64]| Change::SetContinuation {
        object: 3,
        version: Arc::from("v"),
        missing: missing.to_vec(),
    };
    net.call(0, key(Kind::Continuation), set_continuation(&[1, 2]));
    assert!(matches!(
        net.call(1, key(Kind::Continuation), set_continuation(&[2])),
        Response::Committed(Record::Continuation { .. })
    ));
    assert!(matches!(net.call(0, key(Kind::Continuation), set_continuation(&[1])), Response::Conflict(_)));
    let set_table = |from, body| Change::SetTable { from, body: vec![body] };
    assert_eq!(
        net.call(0, key(Kind::Table), set_table(0, 1)),
        Response::Committed(Record::Table { serial: 1, body: vec![1] })
    );
    assert_eq!(
        net.call(1, key(Kind::Table), set_table(0, 2)),
        Response::Conflict(Some(Record::Table { serial: 1, body: vec![1] }))
    );
    assert_eq!(
        unavailable(net.call(0, key(Kind::Continuation), Change::UseTicket)),
        (true, UnavailableReason::InvalidTransition)
    );
}

#[test]
fn one_of_three_concurrent_acquires_is_committed() {
    for seed in 0..200 {
        let mut net = Net::new(3, 1, 3, seed);
        let members: Vec<_> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let numbers: Vec<u64> = (0..3)
            .map(|r| net.request(r, execution(1), Change::Acquire(members[r].clone()), 2_000.0))
            .collect();
        assert!(net.run_until(5_000.0, |net| numbers.iter().all(|number| net.response(*number).is_some())));
        let committed = numbers
            .iter()
            .filter(|number| matches!(net.response(**number), Some(Response::Committed(_))))
            .count();
        assert_eq!(committed, 1, "seed {seed}");
    }
}

#[test]
fn a_request_without_reachable_quorum_fails_immediately_and_is_not_executed() {
    let mut net = Net::new(3, 1, 3, 4);
    net.run(10.0);
    let (a, others) = (net.nodes[0].me.clone(), [net.nodes[1].me.clone(), net.nodes[2].me.clone()]);
    for other in &others {
        net.handle(0, Event::PeerReachable(other.clone(), false));
    }
    let (time, sent) = (net.now, net.messages);
    let number = net.request(0, execution(1), Change::Acquire(a.clone()), 2_000.0);
    assert_eq!(
        unavailable(net.response(number).cloned().expect("an immediate response")),
        (true, UnavailableReason::NoQuorum)
    );
    assert_eq!((net.now, net.messages), (time, sent));
    net.handle(0, Event::PeerReachable(others[0].clone(), true));
    assert!(matches!(net.call(0, execution(1), Change::Acquire(a)), Response::Committed(_)));
}

#[test]
fn a_request_fails_immediately_when_links_are_lost_and_not_executed_is_true_only_if_proven() {
    for cut_after_steps in 0..40 {
        let mut net = Net::new(3, 1, 3, 5);
        net.run(10.0);
        let members: Vec<_> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let number = net.request(0, execution(1), Change::Acquire(members[0].clone()), 2_000.0);
        for _ in 0..cut_after_steps {
            net.step(f64::MAX);
        }
        let early = net.response(number).is_some();
        for r in [1, 2] {
            net.partitioned.extend([(0, r), (r, 0)]);
            net.handle(0, Event::PeerReachable(members[r].clone(), false));
        }
        let response = net.response(number).cloned().expect("an immediate response");
        net.partitioned.clear();
        net.run(100.0);
        let later = net.call(1, execution(1), Change::Read);
        match response {
            Response::Unavailable { not_executed: true, .. } => {
                assert_eq!(later, Response::Conflict(None), "{cut_after_steps}")
            }
            Response::Unavailable { not_executed: false, .. } => assert!(!early),
            committed => assert_eq!(
                (committed, early),
                (Response::Committed(Record::Leased { owner: members[0].clone(), term: 0 }), true)
            ),
        }
    }
}

#[test]
fn requests_survive_one_failing_disk_of_three_and_fail_with_two() {
    let mut net = Net::new(3, 1, 3, 6);
    net.run(10.0);
    let a = net.nodes[0].me.clone();
    net.nodes[0].disk_full = true;
    assert!(matches!(net.call(0, execution(1), Change::Acquire(a.clone())), Response::Committed(_)));
    net.nodes[1].disk_full = true;
    assert_eq!(
        unavailable(net.call(0, execution(2), Change::Acquire(a.clone()))),
        (true, UnavailableReason::StorageFailed)
    );
    net.nodes[0].disk_full = false;
    assert!(matches!(net.call(0, execution(2), Change::Acquire(a)), Response::Committed(_)));
}

#[test]
fn the_owners_next_change_skips_the_prepare_phase() {
    let mut net = Net::new(3, 1, 3, 7);
    let a = net.nodes[0].me.clone();
    net.run(50.0);
    let before = net.messages;
    net.call(0, execution(1), Change::Acquire(a.clone()));
    net.run(10.0);
    assert_eq!(net.messages - before, 8);
    let before = net.messages;
    net.call(0, execution(1), Change::Complete(a, 0, Outcome::Failed));
    net.run(10.0);
    // One message to each of the two other replicas, and their replies.
    assert_eq!(net.messages - before, 4);
    assert_eq!(net.nodes[0].registers.as_ref().map(|r| r.counters().one_phase_rounds), Some(1));
}
