//! What rests on a commit is said when that is on the disk, not before and not otherwise.

use crate::net::{hello, member, parts, write, Disk, Net};
use basaltgw_control::words::Message;
use basaltgw_control::{
    Action, Control, ControlNotification, ControlRequest, Event, Purge, PURGES_SPACE, TABLE_SPACE,
};
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use basaltgw_storage::Write;
use basaltgw_types::link::Lane;
use std::collections::BTreeMap;

fn effect(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

#[test]
fn a_taking_is_kept_when_enough_disks_have_it() {
    let mut net = Net::founded(Disk::Takes(2.0));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Hangs);
    let no = net.ask(0, effect(1), Change::Acquire(member(0)), 60_000.0);
    net.pass(300.0);
    assert!(net.nodes.iter().all(|n| !n.open.is_empty()) && net.verdict(0, no).is_none());
    net.nodes[0].disk = Disk::Takes(2.0);
    net.pass(300.0);
    assert!(net.verdict(0, no).is_none(), "one disk of three is not enough");
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Takes(2.0));
    net.until(5_000.0, |net| net.verdict(0, no).is_some());
    assert!(matches!(net.verdict(0, no), Some(Response::Committed(Record::Leased { .. }))));
}

#[test]
fn a_failed_commit_says_nothing() {
    let mut net = Net::founded(Disk::Takes(2.0));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Fails);
    let no = net.ask(0, effect(1), Change::Acquire(member(0)), 400.0);
    net.until(1_000.0, |net| net.verdict(0, no).is_some());
    assert!(matches!(net.verdict(0, no), Some(Response::Unavailable { .. })), "{:?}", net.verdict(0, no));
    assert!(net.nodes.iter().all(|n| n.control.counts().commits_failed > 0));
    // It is tried on and put down as not taken once the disks take something again.
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Takes(2.0));
    net.until(10_000.0, |net| net.nodes[0].control.pending_changes() == 0);
    let look = net.ask(1, effect(1), Change::Read, 1_000.0);
    net.until(2_000.0, |net| net.verdict(1, look).is_some());
    let free = matches!(net.verdict(1, look), Some(Response::Conflict(None | Some(Record::Released { .. }))));
    assert!(free, "{:?}", net.verdict(1, look));
}

/// Of a turn's actions: the commits, and whether the table was said to be gone by.
fn turn(control: &mut Control, now: f64, event: Event) -> (Vec<(u64, Vec<Write>)>, Vec<u64>) {
    let mut out = Vec::new();
    control.handle(now, event, &mut out);
    control.handle(now, Event::Flush, &mut out);
    let (mut stores, mut tables) = (Vec::new(), Vec::new());
    for action in out {
        match action {
            Action::Commit(no, writes) => stores.push((no, writes)),
            Action::Notify(ControlNotification::Table(version, _)) => tables.push(version.0),
            Action::AdvertiseTable(..) | Action::Send { .. } | Action::SetLinkWanted(..) => {}
            Action::Notify(
                ControlNotification::Response(..)
                | ControlNotification::Purge(_)
                | ControlNotification::PurgesKnown(_)
                | ControlNotification::PurgesMissed,
            ) => {}
            Action::Notify(ControlNotification::Policies(_) | ControlNotification::Evidence(..)) => {}
        }
    }
    (stores, tables)
}

fn register(writes: &[Write]) -> Option<&Vec<u8>> {
    writes.iter().find_map(|w| match w {
        Write::Put(space, _, value) if *space == TABLE_SPACE => Some(value),
        Write::Put(..) | Write::Remove(..) => None,
    })
}

/// The register of a fleet when it was founded, and after a change of its rules.
fn registers() -> [(u64, Vec<u8>); 2] {
    let mut net = Net::founded(Disk::Takes(1.0));
    let stands = |net: &Net| net.nodes[0].control.table().register().expect("a register");
    let first = stands(&net);
    net.other_rules(0);
    [first, stands(&net)]
}

fn learns((serial, body): &(u64, Vec<u8>)) -> Event {
    let body = Message::TableState { serial: *serial, body: body.clone() }.encode();
    Event::MessageReceived { from: member(1), lane: Lane::Table, body }
}

/// One that has just started, and is reached.
fn fresh(now: f64) -> Control {
    let mut control = Control::new(now, parts(0, 3, &BTreeMap::new()), &mut Vec::new());
    turn(&mut control, now, Event::LinkUp(hello(1)));
    control
}

#[test]
fn a_table_that_is_learnt_is_gone_by_once_it_is_on_the_disk() {
    let [first, _] = registers();
    let mut control = fresh(10.0);
    let (stores, tables) = turn(&mut control, 11.0, learns(&first));
    assert!(tables.is_empty() && register(&stores[0].1).is_some());
    // Refused: nothing is said, and it is tried again with the turn's end.
    let (again, tables) = turn(&mut control, 12.0, Event::CommitFinished(stores[0].0, false));
    assert!(tables.is_empty() && register(&again[0].1) == register(&stores[0].1));
    assert!(control.counts().commits_failed == 1 && control.counts().tables_adopted == 0);
    let (_, tables) = turn(&mut control, 13.0, Event::CommitFinished(again[0].0, true));
    assert_eq!((tables.len(), control.counts().tables_adopted), (1, 1));
    // An answer that was given before, or was never asked for, is none.
    assert_eq!(turn(&mut control, 14.0, Event::CommitFinished(again[0].0, true)), (Vec::new(), Vec::new()));
}

/// Two registers are out at once: whatever the disk answers, in whatever order, the later one lasts and each is gone by only then.
#[test]
fn of_two_registers_that_are_out_the_later_lasts() {
    let [first, second] = registers();
    for (oks, reverse) in [([true, true], false), ([false, true], false), ([true, false], false)]
        .into_iter()
        .chain([([false, false], false), ([false, true], true), ([true, false], true)])
    {
        let (mut control, mut kept) = (fresh(10.0), BTreeMap::new());
        let mut out = turn(&mut control, 11.0, learns(&first)).0;
        out.extend(turn(&mut control, 12.0, learns(&second)).0);
        assert_eq!(out.len(), 2, "a commit is out, and another besides");
        let mut order = vec![(out.remove(0), oks[0]), (out.remove(0), oks[1])];
        if reverse {
            order.reverse();
        }
        let mut said = Vec::new();
        let mut more = Vec::new();
        for ((no, writes), ok) in order {
            if ok {
                write(&mut kept, writes);
            }
            let (stores, tables) = turn(&mut control, 13.0, Event::CommitFinished(no, ok));
            assert!(ok || tables.is_empty(), "said {tables:?} after a failure, {oks:?} {reverse}");
            said.extend(tables);
            more.extend(stores);
        }
        while let Some((no, writes)) = more.pop() {
            write(&mut kept, writes);
            let (stores, tables) = turn(&mut control, 14.0, Event::CommitFinished(no, true));
            said.extend(tables);
            more.extend(stores);
        }
        let lasts =
            basaltgw_control::decode_table_register(&kept[&(TABLE_SPACE.0, Vec::new())]).expect("a register");
        assert_eq!(lasts, second, "{oks:?} {reverse}");
        assert!(said.is_sorted() && said.len() == 2, "{said:?} {oks:?} {reverse}");
    }
}

#[test]
fn several_commits_are_out_at_once() {
    let mut net = Net::founded(Disk::Takes(2.0));
    net.nodes[0].disk = Disk::Hangs;
    for time in 0..3 {
        let purge = Purge { group: 7, object: Some(time), time: net.now as u64 };
        net.event(0, Event::Request(ControlRequest::Purge(purge)));
        net.step();
    }
    assert!(net.nodes[0].open.len() >= 3);
    assert!(net.nodes[0]
        .open
        .iter()
        .any(|(_, _, w)| { w.iter().any(|w| matches!(w, Write::Put(space, ..) if *space == PURGES_SPACE)) }));
    net.nodes[0].disk = Disk::Takes(2.0);
    net.until(1_000.0, |net| net.nodes[0].open.is_empty());
    assert_eq!(net.nodes[0].control.counts().commits_failed, 0);
}
