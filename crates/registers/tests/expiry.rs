//! Expiry: replicas expire records, keep tombstones against delayed messages, and then remove the registers from disk.

mod net;

use basaltgw_registers::{Change, Kind, Record, RecordKey, Response, Settings};
use net::{execution, Net};

/// Restarts all routers with short retentions.
fn shorten_retentions(net: &mut Net) {
    let retentions = Settings {
        execution_retention_ms: 200.0,
        purge_retention_ms: 100.0,
        tombstone_retention_ms: 300.0,
        ..net.settings.clone()
    };
    net.settings = Settings { expiry_stagger_ms: 50.0, expiry_interval_ms: 10.0, ..retentions };
    (0..net.nodes.len()).for_each(|r| {
        net.kill(r);
        net.start(r);
    });
}

fn all_replicas_have(net: &Net, key: &RecordKey, record: Option<&Record>) -> bool {
    net.nodes.iter().filter_map(|n| n.registers.as_ref()).all(|r| r.local_record(key) == record)
}

#[test]
fn a_leased_record_becomes_outcome_unknown_then_a_tombstone_then_is_removed_from_disk() {
    let mut net = Net::new(3, 2, 3, 1);
    shorten_retentions(&mut net);
    let owner = net.nodes[0].me.clone();
    assert!(matches!(net.call(0, execution(1), Change::Acquire(owner.clone())), Response::Committed(_)));
    assert!(net.run_until(1_000.0, |net| all_replicas_have(
        net,
        &execution(1),
        Some(&Record::OutcomeUnknown)
    )));
    assert!(net.run_until(1_000.0, |net| all_replicas_have(net, &execution(1), Some(&Record::Tombstone))));
    assert_eq!(
        net.call(1, execution(1), Change::Acquire(owner)),
        Response::Conflict(Some(Record::Tombstone))
    );
    let empty = |net: &Net| net.nodes.iter().filter_map(|n| n.registers.as_ref()).all(|r| r.size() == (0, 0));
    assert!(net.run_until(2_000.0, empty));
    net.run(50.0);
    assert!(net.nodes.iter().all(|n| n.disk.len() == 1), "only the metadata is left on disk");
}

#[test]
fn the_next_replica_expires_a_record_if_the_first_is_lost() {
    let mut net = Net::new(3, 1, 3, 2);
    shorten_retentions(&mut net);
    let key = RecordKey { kind: Kind::Purge, name: 4 };
    net.call(1, key, Change::Purge { group: 1, object: Some(2), time: 3 });
    net.run(20.0);
    net.kill(0);
    assert!(net.run_until(1_000.0, |net| all_replicas_have(net, &key, Some(&Record::Tombstone))));
}
