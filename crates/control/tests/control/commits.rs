//! Actions that depend on a commit are taken only once it is durable.

use crate::network::{apply_writes, hello, member, parts, Disk, Network};
use basaltgw_control::message::Message;
use basaltgw_control::{
    Action, Control, ControlNotification, ControlRequest, Event, Purge, TableRegister, PURGES_SPACE,
    TABLE_SPACE,
};
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use basaltgw_storage::Write;
use basaltgw_types::link::Lane;
use std::collections::BTreeMap;

fn execution(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

#[test]
fn a_lease_is_committed_when_it_is_durable_at_a_quorum() {
    let mut net = Network::bootstrapped(Disk::Commits(2.0));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Hangs);
    let number = net.request(0, execution(1), Change::Acquire(member(0)), 60_000.0);
    net.run_for(300.0);
    assert!(net.nodes.iter().all(|n| !n.commits.is_empty()) && net.response(0, number).is_none());
    net.nodes[0].disk = Disk::Commits(2.0);
    net.run_for(300.0);
    assert!(net.response(0, number).is_none(), "one disk of three is no quorum");
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Commits(2.0));
    net.run_until(5_000.0, |net| net.response(0, number).is_some());
    assert!(matches!(net.response(0, number), Some(Response::Committed(Record::Leased { .. }))));
}

#[test]
fn a_failed_commit_makes_the_lease_unavailable() {
    let mut net = Network::bootstrapped(Disk::Commits(2.0));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Fails);
    let number = net.request(0, execution(1), Change::Acquire(member(0)), 400.0);
    net.run_until(1_000.0, |net| net.response(0, number).is_some());
    assert!(
        matches!(net.response(0, number), Some(Response::Unavailable { .. })),
        "{:?}",
        net.response(0, number)
    );
    assert!(net.nodes.iter().all(|n| n.control.counts().commits_failed > 0));
    // Once the disks work again, the background change releases the lease.
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Commits(2.0));
    net.run_until(10_000.0, |net| net.nodes[0].control.pending_changes() == 0);
    let read = net.request(1, execution(1), Change::Read, 1_000.0);
    net.run_until(2_000.0, |net| net.response(1, read).is_some());
    let is_released =
        matches!(net.response(1, read), Some(Response::Conflict(None | Some(Record::Released { .. }))));
    assert!(is_released, "{:?}", net.response(1, read));
}

/// Commits and notified table versions that follow from an event and a flush.
fn handle(control: &mut Control, now: f64, event: Event) -> (Vec<(u64, Vec<Write>)>, Vec<u64>) {
    let mut actions = Vec::new();
    control.handle(now, event, &mut actions);
    control.handle(now, Event::Flush, &mut actions);
    let (mut commits, mut tables) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Commit(number, writes) => commits.push((number, writes)),
            Action::Notify(ControlNotification::Table(version, _)) => tables.push(version.0),
            Action::AdvertiseTable(..) | Action::Send { .. } | Action::SetLinkWanted { .. } => {}
            Action::Notify(
                ControlNotification::Response(..)
                | ControlNotification::Purge(_)
                | ControlNotification::PurgesKnown { .. }
                | ControlNotification::PurgesMissed,
            ) => {}
            Action::Notify(ControlNotification::Policies(_) | ControlNotification::Evidence(..)) => {}
        }
    }
    (commits, tables)
}

fn table_write(writes: &[Write]) -> Option<&Vec<u8>> {
    writes.iter().find_map(|w| match w {
        Write::Put(space, _, value) if *space == TABLE_SPACE => Some(value),
        Write::Put(..) | Write::Remove(..) => None,
    })
}

/// Table register of a fleet after its bootstrap, and after a change of its rules.
fn table_registers() -> [TableRegister; 2] {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    let register = |net: &Network| net.nodes[0].control.table().register().expect("a table register");
    let first = register(&net);
    net.change_rules(0);
    [first, register(&net)]
}

fn table_state(TableRegister { serial, body }: &TableRegister) -> Event {
    let body = Message::TableState { serial: *serial, body: body.clone() }.encode();
    Event::MessageReceived { from: member(1), lane: Lane::Table, body }
}

/// A control plane without stored data, with one connected peer.
fn new_control(now: f64) -> Control {
    let mut control = Control::new(now, parts(0, 3, &BTreeMap::new()), &mut Vec::new());
    handle(&mut control, now, Event::LinkUp(hello(1)));
    control
}

#[test]
fn a_learned_table_takes_effect_once_it_is_durable() {
    let [first, _] = table_registers();
    let mut control = new_control(10.0);
    let (commits, tables) = handle(&mut control, 11.0, table_state(&first));
    assert!(tables.is_empty() && table_write(&commits[0].1).is_some());
    // The commit fails: the table does not take effect, and the next flush commits it again.
    let (retries, tables) =
        handle(&mut control, 12.0, Event::CommitFinished { number: commits[0].0, durable: false });
    assert!(tables.is_empty() && table_write(&retries[0].1) == table_write(&commits[0].1));
    assert!(control.counts().commits_failed == 1 && control.counts().tables_adopted == 0);
    let (_, tables) =
        handle(&mut control, 13.0, Event::CommitFinished { number: retries[0].0, durable: true });
    assert_eq!((tables.len(), control.counts().tables_adopted), (1, 1));
    // A second outcome of the same commit is ignored.
    assert_eq!(
        handle(&mut control, 14.0, Event::CommitFinished { number: retries[0].0, durable: true }),
        (Vec::new(), Vec::new())
    );
}

/// Two table registers are in flight. Whichever commits fail, in either order, the later one is stored in the end and each table takes effect
/// after a durable commit.
#[test]
fn of_two_table_registers_in_flight_the_later_one_is_stored() {
    let [first, second] = table_registers();
    for (outcomes, is_reversed) in [([true, true], false), ([false, true], false), ([true, false], false)]
        .into_iter()
        .chain([([false, false], false), ([false, true], true), ([true, false], true)])
    {
        let (mut control, mut stored) = (new_control(10.0), BTreeMap::new());
        let mut commits = handle(&mut control, 11.0, table_state(&first)).0;
        commits.extend(handle(&mut control, 12.0, table_state(&second)).0);
        assert_eq!(commits.len(), 2, "two commits in flight");
        let mut order = vec![(commits.remove(0), outcomes[0]), (commits.remove(0), outcomes[1])];
        if is_reversed {
            order.reverse();
        }
        let mut notified = Vec::new();
        let mut retries = Vec::new();
        for ((number, writes), durable) in order {
            if durable {
                apply_writes(&mut stored, writes);
            }
            let (commits, tables) = handle(&mut control, 13.0, Event::CommitFinished { number, durable });
            assert!(durable || tables.is_empty(), "{tables:?} after a failure, {outcomes:?} {is_reversed}");
            notified.extend(tables);
            retries.extend(commits);
        }
        while let Some((number, writes)) = retries.pop() {
            apply_writes(&mut stored, writes);
            let (commits, tables) =
                handle(&mut control, 14.0, Event::CommitFinished { number, durable: true });
            notified.extend(tables);
            retries.extend(commits);
        }
        let register = basaltgw_control::decode_table_register(&stored[&(TABLE_SPACE.0, Vec::new())])
            .expect("a table register");
        assert_eq!(register, second, "{outcomes:?} {is_reversed}");
        assert!(notified.is_sorted() && notified.len() == 2, "{notified:?} {outcomes:?} {is_reversed}");
    }
}

#[test]
fn several_commits_are_in_flight_at_once() {
    let mut net = Network::bootstrapped(Disk::Commits(2.0));
    net.nodes[0].disk = Disk::Hangs;
    for time in 0..3 {
        let purge = Purge { group: 7, object: Some(time), time: net.now as u64 };
        net.deliver(0, Event::Request(ControlRequest::Purge(purge)));
        net.step();
    }
    assert!(net.nodes[0].commits.len() >= 3);
    let is_purge = |write: &Write| matches!(write, Write::Put(space, ..) if *space == PURGES_SPACE);
    assert!(net.nodes[0].commits.iter().any(|commit| commit.writes.iter().any(is_purge)));
    net.nodes[0].disk = Disk::Commits(2.0);
    net.run_until(1_000.0, |net| net.nodes[0].commits.is_empty());
    assert_eq!(net.nodes[0].control.counts().commits_failed, 0);
}
