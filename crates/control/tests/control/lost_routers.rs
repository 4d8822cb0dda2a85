//! Messages that were not sent, and leases whose owner or response was lost.

use crate::network::{member, Disk, Network};
use basaltgw_control::Event;
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use basaltgw_types::link::LinkError;

fn key(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

/// The record that router `n` reads from a quorum.
fn read(net: &mut Network, n: usize, name: u128) -> Option<Record> {
    let number = net.request(n, key(name), Change::Read, 1_000.0);
    net.run_until(2_000.0, |net| net.response(n, number).is_some());
    match net.response(n, number) {
        Some(Response::Conflict(record)) => record.clone(),
        Some(Response::Committed(record)) => Some(record.clone()),
        Some(Response::Unavailable { .. }) | None => panic!("{:?}", net.response(n, number)),
    }
}

/// All sends of some routers fail from some millisecond of the acquisition on. The requester gets no response, so it releases the lease that
/// it may have acquired.
#[test]
fn a_lease_whose_acquisition_was_not_confirmed_is_released() {
    let mut ambiguous = 0;
    for (silenced, delay) in
        [vec![0], vec![1, 2]].into_iter().flat_map(|m| (0..8).map(move |n| (m.clone(), n)))
    {
        let mut net = Network::bootstrapped(Disk::Commits(1.0));
        let number = net.request(0, key(5), Change::Acquire(member(0)), 300.0);
        net.run_for(f64::from(delay));
        if net.response(0, number).is_some() {
            continue;
        }
        silenced.iter().for_each(|n| net.nodes[*n].drops_sends = true);
        net.run_until(1_000.0, |net| net.response(0, number).is_some());
        ambiguous += match net.response(0, number) {
            Some(Response::Unavailable { not_executed: false, .. }) => 1,
            Some(Response::Unavailable { not_executed: true, .. }) => 0,
            // The last response was sent before sends failed.
            Some(Response::Committed(_)) => continue,
            Some(Response::Conflict(_)) | None => panic!("{:?}", net.response(0, number)),
        };
        let failed_sends = |n: &usize| net.nodes[*n].control.counts().failed_sends;
        assert!(silenced.iter().all(|n| failed_sends(n) > 0));
        silenced.iter().for_each(|n| net.nodes[*n].drops_sends = false);
        net.run_until(10_000.0, |net| net.nodes[0].control.pending_changes() == 0);
        let record = read(&mut net, 1, 5);
        assert!(
            matches!(record, None | Some(Record::Released { .. })),
            "{record:?} after {silenced:?} from {delay}"
        );
        // Another router can acquire it.
        let number = net.request(2, key(5), Change::Acquire(member(2)), 1_000.0);
        net.run_until(1_000.0, |net| net.response(2, number).is_some());
        let owner = member(2);
        assert!(
            matches!(net.response(2, number), Some(Response::Committed(Record::Leased { owner: o, .. })) if *o == owner)
        );
    }
    assert!(ambiguous >= 2, "only {ambiguous} acquisitions were ambiguous");
}

#[test]
fn the_outcome_of_a_lost_routers_lease_becomes_unknown() {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    let number = net.request(0, key(6), Change::Acquire(member(0)), 1_000.0);
    net.run_until(1_000.0, |net| net.response(0, number).is_some());
    assert!(matches!(net.response(0, number), Some(Response::Committed(Record::Leased { .. }))));
    net.disconnect(0);
    let early = net.request(1, key(6), Change::Acquire(member(1)), 300.0);
    net.run_for(400.0);
    assert!(matches!(net.response(1, early), Some(Response::Conflict(Some(Record::Leased { .. })))));
    net.run_for(200.0);
    let late = net.request(1, key(6), Change::Acquire(member(1)), 300.0);
    net.run_until(400.0, |net| net.response(1, late).is_some());
    net.run_for(400.0);
    assert_eq!(read(&mut net, 2, 6), Some(Record::OutcomeUnknown));
}

#[test]
fn an_unnumbered_message_that_was_not_sent_is_counted() {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    let before = net.nodes[0].control.counts().failed_sends;
    net.deliver(0, Event::SendFailed(0));
    net.deliver(0, Event::LinkDown(member(9), LinkError::NotConnected));
    assert_eq!(net.nodes[0].control.counts().failed_sends, before + 1);
}
