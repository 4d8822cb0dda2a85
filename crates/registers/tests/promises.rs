//! Promises on a fixed map: what is kept, what stands, and what is refused at once.

mod net;

use basaltgw_registers::{Change, Event, Kind, Outcome, Record, RecordKey, Response, UnavailableReason};
use net::{effect, Net};
use std::sync::Arc;

fn unkept(verdict: Response) -> (bool, UnavailableReason) {
    match verdict {
        Response::Unavailable { not_executed: never, reason: why, .. } => (never, why),
        Response::Committed(_) | Response::Conflict(_) => panic!("kept: {verdict:?}"),
    }
}

#[test]
fn an_effect_goes_from_taken_to_done_for_its_owner_alone() {
    let mut net = Net::new(3, 4, 3, 1);
    let (a, b) = (net.nodes[0].me.clone(), net.nodes[1].me.clone());
    let out = Record::Leased { owner: a.clone(), term: 0 };
    assert_eq!(net.ask_now(0, effect(1), Change::Acquire(a.clone())), Response::Committed(out.clone()));
    assert_eq!(net.ask_now(1, effect(1), Change::Acquire(b.clone())), Response::Conflict(Some(out.clone())));
    assert_eq!(net.ask_now(2, effect(1), Change::Read), Response::Conflict(Some(out.clone())));
    let word = Outcome::Served(vec![7]);
    assert_eq!(
        net.ask_now(1, effect(1), Change::Complete(b, 0, word.clone())),
        Response::Conflict(Some(out))
    );
    let done = Record::Completed(word.clone());
    assert_eq!(net.ask_now(0, effect(1), Change::Complete(a, 0, word)), Response::Committed(done.clone()));
    assert_eq!(net.ask_now(2, effect(1), Change::Read), Response::Conflict(Some(done)));
    assert_eq!(net.ask_now(2, effect(2), Change::Read), Response::Conflict(None));
}

#[test]
fn what_never_ran_may_be_taken_again_and_what_is_in_doubt_never() {
    let mut net = Net::new(3, 4, 3, 2);
    let (a, b) = (net.nodes[0].me.clone(), net.nodes[1].me.clone());
    net.ask_now(0, effect(1), Change::Acquire(a.clone()));
    assert_eq!(
        net.ask_now(0, effect(1), Change::Release(a.clone(), 0)),
        Response::Committed(Record::Released { term: 1 })
    );
    let out = Record::Leased { owner: b.clone(), term: 1 };
    assert_eq!(net.ask_now(1, effect(1), Change::Acquire(b.clone())), Response::Committed(out));
    // The earlier owner's word counts no more.
    let late = net.ask_now(0, effect(1), Change::Complete(a.clone(), 0, Outcome::Failed));
    assert!(matches!(late, Response::Conflict(Some(Record::Leased { .. }))));
    assert_eq!(
        net.ask_now(2, effect(1), Change::MarkOutcomeUnknown(1)),
        Response::Committed(Record::OutcomeUnknown)
    );
    // The owner that was asleep learns that it may not answer.
    let woken = net.ask_now(1, effect(1), Change::Complete(b, 1, Outcome::ServedBodyOmitted));
    assert_eq!(woken, Response::Conflict(Some(Record::OutcomeUnknown)));
    assert_eq!(
        net.ask_now(0, effect(1), Change::Acquire(a)),
        Response::Conflict(Some(Record::OutcomeUnknown))
    );
}

#[test]
fn purges_tickets_debts_and_the_table_are_kept_alike() {
    let mut net = Net::new(3, 4, 3, 3);
    let key = |kind| RecordKey { kind, name: 9 };
    let purge = Change::Purge { group: 1, object: None, time: 5 };
    assert!(matches!(
        net.ask_now(0, key(Kind::Purge), purge),
        Response::Committed(Record::Purged { time: 5, .. })
    ));
    net.run(10.0);
    assert_eq!(net.nodes.iter().filter(|n| n.holds.iter().any(|h| h.purges().count() == 1)).count(), 3);
    let by = net.nodes[0].me.router.clone();
    net.ask_now(0, key(Kind::Ticket), Change::IssueTicket { server: Arc::from("c1"), by });
    assert!(matches!(
        net.ask_now(2, key(Kind::Ticket), Change::UseTicket),
        Response::Committed(Record::Ticket { used: true, .. })
    ));
    assert!(matches!(net.ask_now(1, key(Kind::Ticket), Change::UseTicket), Response::Conflict(_)));
    let owe = |missing: &[u64]| Change::SetContinuation {
        object: 3,
        version: Arc::from("v"),
        missing: missing.to_vec(),
    };
    net.ask_now(0, key(Kind::Continuation), owe(&[1, 2]));
    assert!(matches!(
        net.ask_now(1, key(Kind::Continuation), owe(&[2])),
        Response::Committed(Record::Continuation { .. })
    ));
    assert!(matches!(net.ask_now(0, key(Kind::Continuation), owe(&[1])), Response::Conflict(_)));
    let set = |from, body| Change::SetTable { from, body: vec![body] };
    assert_eq!(
        net.ask_now(0, key(Kind::Table), set(0, 1)),
        Response::Committed(Record::Table { serial: 1, body: vec![1] })
    );
    assert_eq!(
        net.ask_now(1, key(Kind::Table), set(0, 2)),
        Response::Conflict(Some(Record::Table { serial: 1, body: vec![1] }))
    );
    assert_eq!(
        unkept(net.ask_now(0, key(Kind::Continuation), Change::UseTicket)),
        (true, UnavailableReason::InvalidTransition)
    );
}

#[test]
fn of_two_takers_at_once_one_has_it() {
    for seed in 0..200 {
        let mut net = Net::new(3, 1, 3, seed);
        let members: Vec<_> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let nos: Vec<u64> =
            (0..3).map(|r| net.ask(r, effect(1), Change::Acquire(members[r].clone()), 2_000.0)).collect();
        assert!(net.run_until(5_000.0, |net| nos.iter().all(|no| net.answer(*no).is_some())));
        let kept = nos.iter().filter(|no| matches!(net.answer(**no), Some(Response::Committed(_)))).count();
        assert_eq!(kept, 1, "seed {seed}");
    }
}

#[test]
fn a_minority_is_refused_at_once_and_provably_never_ran() {
    let mut net = Net::new(3, 1, 3, 4);
    net.run(10.0);
    let (a, others) = (net.nodes[0].me.clone(), [net.nodes[1].me.clone(), net.nodes[2].me.clone()]);
    for other in &others {
        net.give(0, Event::PeerReachable(other.clone(), false));
    }
    let (at, sent) = (net.now, net.messages);
    let no = net.ask(0, effect(1), Change::Acquire(a.clone()), 2_000.0);
    assert_eq!(unkept(net.answer(no).cloned().expect("at once")), (true, UnavailableReason::NoQuorum));
    assert_eq!((net.now, net.messages), (at, sent));
    net.give(0, Event::PeerReachable(others[0].clone(), true));
    assert!(matches!(net.ask_now(0, effect(1), Change::Acquire(a)), Response::Committed(_)));
}

#[test]
fn a_lost_link_in_the_middle_is_told_at_once_and_never_is_told_only_if_so() {
    for cut_after in 0..40 {
        let mut net = Net::new(3, 1, 3, 5);
        net.run(10.0);
        let members: Vec<_> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let no = net.ask(0, effect(1), Change::Acquire(members[0].clone()), 2_000.0);
        for _ in 0..cut_after {
            net.step(f64::MAX);
        }
        let early = net.answer(no).is_some();
        for r in [1, 2] {
            net.cut.extend([(0, r), (r, 0)]);
            net.give(0, Event::PeerReachable(members[r].clone(), false));
        }
        let verdict = net.answer(no).cloned().expect("at once");
        net.cut.clear();
        net.run(100.0);
        let later = net.ask_now(1, effect(1), Change::Read);
        match verdict {
            Response::Unavailable { not_executed: true, .. } => {
                assert_eq!(later, Response::Conflict(None), "{cut_after}")
            }
            Response::Unavailable { not_executed: false, .. } => assert!(!early),
            kept => assert_eq!(
                (kept, early),
                (Response::Committed(Record::Leased { owner: members[0].clone(), term: 0 }), true)
            ),
        }
    }
}

#[test]
fn a_disk_that_takes_nothing_refuses_and_one_of_three_does_not_matter() {
    let mut net = Net::new(3, 1, 3, 6);
    net.run(10.0);
    let a = net.nodes[0].me.clone();
    net.nodes[0].disk_full = true;
    assert!(matches!(net.ask_now(0, effect(1), Change::Acquire(a.clone())), Response::Committed(_)));
    net.nodes[1].disk_full = true;
    assert_eq!(
        unkept(net.ask_now(0, effect(2), Change::Acquire(a.clone()))),
        (true, UnavailableReason::StorageFailed)
    );
    net.nodes[0].disk_full = false;
    assert!(matches!(net.ask_now(0, effect(2), Change::Acquire(a)), Response::Committed(_)));
}

#[test]
fn the_owners_next_change_takes_one_round() {
    let mut net = Net::new(3, 1, 3, 7);
    let a = net.nodes[0].me.clone();
    net.run(50.0);
    let before = net.messages;
    net.ask_now(0, effect(1), Change::Acquire(a.clone()));
    net.run(10.0);
    assert_eq!(net.messages - before, 8);
    let before = net.messages;
    net.ask_now(0, effect(1), Change::Complete(a, 0, Outcome::Failed));
    net.run(10.0);
    // Two others, a word and an answer each.
    assert_eq!(net.messages - before, 4);
    assert_eq!(net.nodes[0].holds.as_ref().map(|h| h.counters().short), Some(1));
}
