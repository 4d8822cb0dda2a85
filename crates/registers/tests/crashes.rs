//! Machines crash at every step of a request, with and without losing their disks; two at once with five replicas.

mod net;

use basaltgw_registers::{Change, Outcome, Record, Response};
use basaltgw_types::Member;
use net::{execution, map, Net};

/// Number of steps at which a crash is tested: more than a request needs until its response.
const STEPS: usize = 40;

/// Effect of a crash on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disk {
    Survives,
    Erased,
}

/// Crashes machines at a step of a request, and checks the record afterwards. Returns whether the request was committed.
fn commits_despite_crash(replicas: usize, victims: &[usize], step: usize, disk: Disk, seed: u64) -> bool {
    let mut net = Net::new(replicas, 1, replicas, seed);
    net.run(10.0);
    let owner = net.nodes[0].me.clone();
    let number = net.request(0, execution(1), Change::Acquire(owner.clone()), 500.0);
    for _ in 0..step {
        net.step(f64::MAX);
    }
    for victim in victims {
        match disk {
            Disk::Erased => net.erase_disk(*victim),
            Disk::Survives => net.kill(*victim),
        }
        net.start(*victim);
    }
    if disk == Disk::Erased {
        let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let next = map(3, 1, replicas, &members);
        assert!(net.reconfigure(&next, 5_000.0), "not synchronised within 5 s");
    }
    net.run(1_000.0);
    let response = net.response(number).cloned();
    // Two routers read the same record, one after the other.
    let last = replicas - 1;
    let found = net.call(last, execution(1), Change::Read);
    assert_eq!(net.call(1, execution(1), Change::Read), found);
    let leased = Record::Leased { owner: owner.clone(), term: 0 };
    match response {
        Some(Response::Committed(record)) => {
            assert_eq!(
                (record, found),
                (leased.clone(), Response::Conflict(Some(leased))),
                "{victims:?} {step} {disk:?}"
            );
            // All replicas have the record again, so the loss of another one does not lose it.
            net.erase_disk(1);
            assert!(matches!(net.call(last, execution(1), Change::Read), Response::Conflict(Some(_))));
            true
        }
        Some(Response::Unavailable { not_executed: true, .. }) => {
            assert_eq!(found, Response::Conflict(None), "{victims:?} {step} {disk:?}");
            false
        }
        Some(Response::Unavailable { not_executed: false, .. }) | None => {
            assert!([Response::Conflict(None), Response::Conflict(Some(leased))].contains(&found));
            false
        }
        Some(Response::Conflict(found)) => panic!("conflict without another request: {found:?}"),
    }
}

#[test]
fn a_committed_record_survives_the_loss_of_one_machine_of_three_at_every_step() {
    for disk in [Disk::Survives, Disk::Erased] {
        for victim in 0..3 {
            let committed = |step: &usize| commits_despite_crash(3, &[victim], *step, disk, *step as u64);
            let committed = (0..STEPS).filter(committed).count();
            assert!(committed > 5, "{victim} {disk:?}: {committed}");
        }
    }
}

#[test]
fn a_committed_record_survives_the_loss_of_two_machines_of_five_at_every_step() {
    for disk in [Disk::Survives, Disk::Erased] {
        for (a, b) in [(0, 1), (0, 4), (1, 2), (2, 3), (3, 4)] {
            let committed = |step: &usize| commits_despite_crash(5, &[a, b], *step, disk, *step as u64);
            let committed = (0..STEPS).filter(committed).count();
            assert!(committed > 5, "{a} {b} {disk:?}: {committed}");
        }
    }
}

#[test]
fn a_lost_owner_leaves_an_unknown_outcome_that_is_never_acquired_again() {
    let mut net = Net::new(3, 1, 3, 1);
    let (first, second) = (net.nodes[0].me.clone(), net.nodes[1].me.clone());
    net.call(0, execution(1), Change::Acquire(first.clone()));
    net.suspend(0);
    let delayed = net.request(0, execution(1), Change::Complete(first, 0, Outcome::Served(vec![1])), 1_000.0);
    assert!(matches!(
        net.call(1, execution(1), Change::Acquire(second.clone())),
        Response::Conflict(Some(Record::Leased { .. }))
    ));
    assert_eq!(
        net.call(1, execution(1), Change::MarkOutcomeUnknown(0)),
        Response::Committed(Record::OutcomeUnknown)
    );
    net.resume(0);
    assert!(net.run_until(5_000.0, |net| net.response(delayed).is_some()));
    assert_eq!(
        net.response(delayed),
        Some(&Response::Conflict(Some(Record::OutcomeUnknown))),
        "the former owner may not reply"
    );
    assert_eq!(
        net.call(1, execution(1), Change::Acquire(second)),
        Response::Conflict(Some(Record::OutcomeUnknown))
    );
}

#[test]
fn a_healed_partition_leaves_the_majoritys_record() {
    for seed in 0..100 {
        let mut net = Net::new(5, 1, 5, seed);
        net.run(10.0);
        let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let is_across = |a: usize, b: usize| (a < 2) != (b < 2);
        let links = (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| is_across(*a, *b));
        // For every other seed the partition is in one direction only.
        net.partitioned.extend(links.filter(|(a, _)| seed % 2 == 0 || *a < 2));
        let minority = net.request(0, execution(1), Change::Acquire(members[0].clone()), 100.0);
        let majority = net.request(3, execution(1), Change::Acquire(members[3].clone()), 100.0);
        net.run(200.0);
        assert!(
            matches!(net.response(minority), Some(Response::Unavailable { .. })),
            "{:?}",
            net.response(minority)
        );
        assert!(matches!(net.response(majority), Some(Response::Committed(_))));
        net.partitioned.clear();
        let leased = Record::Leased { owner: members[3].clone(), term: 0 };
        assert_eq!(net.call(0, execution(1), Change::Read), Response::Conflict(Some(leased)));
    }
}
