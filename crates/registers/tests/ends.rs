//! Ends of holds: by the keepers themselves, with tombstones for late words, and nothing left in the end.

mod net;

use basaltgw_registers::{Change, Kind, Record, RecordKey, Response, Settings};
use net::{effect, Net};

fn quick(net: &mut Net) {
    let spans = Settings {
        execution_retention_ms: 200.0,
        purge_retention_ms: 100.0,
        tombstone_retention_ms: 300.0,
        ..net.set.clone()
    };
    net.set = Settings { expiry_stagger_ms: 50.0, expiry_interval_ms: 10.0, ..spans };
    (0..net.nodes.len()).for_each(|r| {
        net.kill(r);
        net.start(r);
    });
}

fn everywhere(net: &Net, key: &RecordKey, hold: Option<&Record>) -> bool {
    net.nodes.iter().filter_map(|n| n.holds.as_ref()).all(|h| h.stands(key) == hold)
}

#[test]
fn what_was_out_is_in_doubt_first_then_ended_then_forgotten_also_on_disk() {
    let mut net = Net::new(3, 2, 3, 1);
    quick(&mut net);
    let a = net.nodes[0].me.clone();
    assert!(matches!(net.ask_now(0, effect(1), Change::Acquire(a.clone())), Response::Committed(_)));
    assert!(net.run_until(1_000.0, |net| everywhere(net, &effect(1), Some(&Record::OutcomeUnknown))));
    assert!(net.run_until(1_000.0, |net| everywhere(net, &effect(1), Some(&Record::Tombstone))));
    assert_eq!(net.ask_now(1, effect(1), Change::Acquire(a)), Response::Conflict(Some(Record::Tombstone)));
    let empty = |net: &Net| net.nodes.iter().filter_map(|n| n.holds.as_ref()).all(|h| h.size() == (0, 0));
    assert!(net.run_until(2_000.0, empty));
    net.run(50.0);
    assert!(net.nodes.iter().all(|n| n.disk.len() == 1), "only the own facts are left on disk");
}

#[test]
fn an_end_is_made_by_the_next_keeper_if_the_first_is_lost() {
    let mut net = Net::new(3, 1, 3, 2);
    quick(&mut net);
    let key = RecordKey { kind: Kind::Purge, name: 4 };
    net.ask_now(1, key, Change::Purge { group: 1, object: Some(2), time: 3 });
    net.run(20.0);
    net.kill(0);
    assert!(net.run_until(1_000.0, |net| everywhere(net, &key, Some(&Record::Tombstone))));
}
