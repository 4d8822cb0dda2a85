//! What could not be sent, and what was taken and not told.

use crate::net::{member, Disk, Net};
use basaltgw_control::Event;
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use basaltgw_types::link::LinkError;

fn key(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

/// What stands, as another router finds it.
fn look(net: &mut Net, n: usize, name: u128) -> Option<Record> {
    let no = net.ask(n, key(name), Change::Read, 1_000.0);
    net.until(2_000.0, |net| net.verdict(n, no).is_some());
    match net.verdict(n, no) {
        Some(Response::Conflict(stands)) => stands.clone(),
        Some(Response::Committed(hold)) => Some(hold.clone()),
        Some(Response::Unavailable { .. }) | None => panic!("{:?}", net.verdict(n, no)),
    }
}

/// Some routers' messages are refused from some step of the taking on: the asker does not learn of it, and gives back what may be found taken.
#[test]
fn a_taking_that_could_not_be_told_is_given_back() {
    let mut open = 0;
    for (mute, from) in [vec![0], vec![1, 2]].into_iter().flat_map(|m| (0..8).map(move |n| (m.clone(), n))) {
        let mut net = Net::founded(Disk::Takes(1.0));
        let no = net.ask(0, key(5), Change::Acquire(member(0)), 300.0);
        net.pass(f64::from(from));
        if net.verdict(0, no).is_some() {
            continue;
        }
        mute.iter().for_each(|n| net.nodes[*n].mute = true);
        net.until(1_000.0, |net| net.verdict(0, no).is_some());
        open += match net.verdict(0, no) {
            Some(Response::Unavailable { not_executed: false, .. }) => 1,
            Some(Response::Unavailable { not_executed: true, .. }) => 0,
            // The last answer was on its way already.
            Some(Response::Committed(_)) => continue,
            Some(Response::Conflict(_)) | None => panic!("{:?}", net.verdict(0, no)),
        };
        let unsent = |n: &usize| net.nodes[*n].control.counts().unsent;
        assert!(mute.iter().all(|n| unsent(n) > 0));
        mute.iter().for_each(|n| net.nodes[*n].mute = false);
        net.until(10_000.0, |net| net.nodes[0].control.pending_changes() == 0);
        let stands = look(&mut net, 1, 5);
        assert!(
            matches!(stands, None | Some(Record::Released { .. })),
            "{stands:?} after {mute:?} from {from}"
        );
        // And whoever comes may take it.
        let no = net.ask(2, key(5), Change::Acquire(member(2)), 1_000.0);
        net.until(1_000.0, |net| net.verdict(2, no).is_some());
        let owner = member(2);
        assert!(
            matches!(net.verdict(2, no), Some(Response::Committed(Record::Leased { owner: o, .. })) if *o == owner)
        );
    }
    assert!(open >= 2, "only {open} takings might have been found taken");
}

#[test]
fn what_a_router_had_out_when_it_was_lost_is_in_doubt() {
    let mut net = Net::founded(Disk::Takes(1.0));
    let no = net.ask(0, key(6), Change::Acquire(member(0)), 1_000.0);
    net.until(1_000.0, |net| net.verdict(0, no).is_some());
    assert!(matches!(net.verdict(0, no), Some(Response::Committed(Record::Leased { .. }))));
    net.cut(0);
    let early = net.ask(1, key(6), Change::Acquire(member(1)), 300.0);
    net.pass(400.0);
    assert!(matches!(net.verdict(1, early), Some(Response::Conflict(Some(Record::Leased { .. })))));
    net.pass(200.0);
    let late = net.ask(1, key(6), Change::Acquire(member(1)), 300.0);
    net.until(400.0, |net| net.verdict(1, late).is_some());
    net.pass(400.0);
    assert_eq!(look(&mut net, 2, 6), Some(Record::OutcomeUnknown));
}

#[test]
fn what_has_no_number_is_counted_when_it_is_not_sent() {
    let mut net = Net::founded(Disk::Takes(1.0));
    let before = net.nodes[0].control.counts().unsent;
    net.event(0, Event::SendFailed(0));
    net.event(0, Event::LinkDown(member(9), LinkError::NotConnected));
    assert_eq!(net.nodes[0].control.counts().unsent, before + 1);
}
