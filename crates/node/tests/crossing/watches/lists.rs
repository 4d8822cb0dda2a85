//! Lists that cross breaks, each other and requests.

use super::{full, request_objects, rig, rig_of, Rig};
use crate::common::*;
use serde_json::json;
use std::sync::atomic::Ordering;

fn listed(rig: &Rig, number: u64, kind: u8, records: &[Vec<u8>]) {
    let before = rig.router.counter("lists");
    rig.log.publish(number, kind, &records.concat());
    wait_until("the list is in", || rig.router.counter("lists") == before + 1);
}

#[test]
fn complete_list_after_a_reconnect_removes_missing_servers() {
    let rig = rig();
    let mut client = rig.router.client();
    assert_eq!(request_objects(&mut client, 1), 20);
    let before = rig.edge.fetch_count();
    assert!(before > 0);
    rig.log.down.store(true, Ordering::SeqCst);
    wait_until("the break is seen", || rig.router.counter("log_lost") >= 1);
    rig.log.publish(2, 1, &record(ORIGIN, rig.origin.address, 0, 2));
    rig.log.down.store(false, Ordering::SeqCst);
    wait_until("the list is in", || rig.router.counter("lists") == 2);
    assert_eq!(rig.router.counter("servers_now"), 1);
    request_objects(&mut client, 101);
    assert_eq!(rig.edge.fetch_count(), before, "nothing to a cache that is no longer listed");
    // Without any server each request still has its answer.
    listed(&rig, 3, 1, &[]);
    assert_eq!((rig.router.counter("servers_now"), request_objects(&mut client, 201)), (0, 0));
    // Ids that were never heard of, in any state.
    let (edge, unknown) = (rig.edge.address, full().address);
    let changes = [
        record(0x77, unknown, 2, 0),
        record(0x78, unknown, 1, 0),
        record(EDGE, edge, 0, 0),
        record(ORIGIN, rig.origin.address, 0, 2),
    ];
    listed(&rig, 4, 2, &changes);
    assert_eq!(rig.router.counter("servers_now"), 3);
    assert_eq!(request_objects(&mut client, 301), 20);
    assert!(rig.edge.fetch_count() > before, "it is back");
}

#[test]
fn last_record_of_a_server_in_an_event_wins() {
    let rig = rig();
    let mut client = rig.router.client();
    let (edge, moved) = (rig.edge.address, Cache::with_all_objects());
    listed(&rig, 2, 2, &[record(EDGE, edge, 1, 0), record(EDGE, moved.address, 0, 0)]);
    assert_eq!(request_objects(&mut client, 1), 20);
    assert_eq!(rig.edge.fetch_count(), 0);
    let before = moved.fetch_count();
    assert!(before > 0);
    listed(&rig, 3, 2, &[record(EDGE, moved.address, 0, 0), record(EDGE, moved.address, 1, 0)]);
    request_objects(&mut client, 101);
    assert_eq!(moved.fetch_count(), before, "nothing to a draining cache");
}

#[test]
fn new_server_at_a_reused_address_gets_new_connections() {
    let rig = rig();
    let mut client = rig.router.client();
    assert_eq!(request_objects(&mut client, 1), 20);
    let old = rig.edge.connections.load(Ordering::SeqCst);
    let before = rig.edge.fetch_count();
    listed(&rig, 2, 2, &[record(EDGE, rig.edge.address, 2, 0), record(EDGE_2, rig.edge.address, 0, 0)]);
    assert_eq!(request_objects(&mut client, 101), 20);
    let since = rig.edge.fetches().split_off(before);
    assert!(
        !since.is_empty() && since.iter().all(|s| s.connection > old),
        "the old connections are another's"
    );
}

#[test]
fn drain_read_together_with_requests_takes_effect_first() {
    let second = Cache::with_all_objects();
    let rig = rig_of(ChangeLog::start(), |c| {
        add_second_edge(c, &second);
        // What comes in one moment is one batch.
        c["settings"]["tick"] = json!(50.0);
    });
    let mut client = rig.router.client();
    for at in 0..5 {
        let from = 1 + 1000 * at;
        assert_eq!(request_objects(&mut client, from), 20);
        let before = rig.edge.fetch_count();
        assert!(before > 0 && second.fetch_count() > 0, "both are in use");
        let number = 2 + 2 * at;
        let lists = rig.router.counter("lists");
        rig.router.signal("STOP");
        rig.log.publish(number, 2, &record(EDGE, rig.edge.address, 1, 0));
        wait_until("the drain is written", || rig.log.written_up_to.load(Ordering::SeqCst) == number);
        (from + 100..from + 120).for_each(|t| {
            client.send_request(t, "pages", t * 7919, "", b"");
        });
        rig.router.signal("CONT");
        (0..20).for_each(|_| assert_eq!(client.expect_answer().status, "200"));
        assert_eq!(rig.router.counter("lists"), lists + 1);
        assert_eq!(rig.edge.fetch_count(), before, "nothing to a draining cache");
        listed(&rig, number + 1, 2, &[record(EDGE, rig.edge.address, 0, 0)]);
    }
}
