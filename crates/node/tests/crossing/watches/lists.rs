//! Endpoint lists at the same time as connection losses, other lists and requests.

use super::{request_objects, start_router, start_router_with, unresponsive_server, RouterHarness};
use crate::common::frame_kind::{COMPLETE_LIST, LIST_UPDATE};
use crate::common::*;
use serde_json::json;
use std::sync::atomic::Ordering;

/// Sends a list event, and waits until the router has applied it.
fn send_list(harness: &RouterHarness, number: u64, kind: u8, records: &[Vec<u8>]) {
    let before = harness.router.counter("lists");
    harness.log.publish(number, kind, &records.concat());
    wait_until("the list is applied", || harness.router.counter("lists") == before + 1);
}

#[test]
fn complete_list_after_a_reconnect_removes_missing_servers() {
    let harness = start_router();
    let mut client = harness.router.client();
    assert_eq!(request_objects(&mut client, 1), 20);
    let before = harness.edge.fetch_count();
    assert!(before > 0);
    harness.log.down.store(true, Ordering::SeqCst);
    wait_until("the change log is lost", || harness.router.counter("log_lost") >= 1);
    harness.log.publish(
        2,
        COMPLETE_LIST,
        &record(ORIGIN, harness.origin.address, EndpointState::Up, ORIGIN_KIND),
    );
    harness.log.down.store(false, Ordering::SeqCst);
    wait_until("the list is applied", || harness.router.counter("lists") == 2);
    assert_eq!(harness.router.counter("servers_now"), 1);
    request_objects(&mut client, 101);
    assert_eq!(harness.edge.fetch_count(), before, "a cache that is no longer listed got a request");
    // Each request is answered even if no server is listed.
    send_list(&harness, 3, COMPLETE_LIST, &[]);
    assert_eq!((harness.router.counter("servers_now"), request_objects(&mut client, 201)), (0, 0));
    // Changes of unknown servers, in any state.
    let (edge, unknown) = (harness.edge.address, unresponsive_server().address);
    let changes = [
        record(0x77, unknown, EndpointState::Removed, EDGE_KIND),
        record(0x78, unknown, EndpointState::Draining, EDGE_KIND),
        record(EDGE, edge, EndpointState::Up, EDGE_KIND),
        record(ORIGIN, harness.origin.address, EndpointState::Up, ORIGIN_KIND),
    ];
    send_list(&harness, 4, LIST_UPDATE, &changes);
    assert_eq!(harness.router.counter("servers_now"), 3);
    assert_eq!(request_objects(&mut client, 301), 20);
    assert!(harness.edge.fetch_count() > before, "the cache is used again");
}

#[test]
fn last_record_of_a_server_in_an_event_wins() {
    let harness = start_router();
    let mut client = harness.router.client();
    let (edge, moved_cache) = (harness.edge.address, Cache::with_all_objects());
    send_list(
        &harness,
        2,
        LIST_UPDATE,
        &[
            record(EDGE, edge, EndpointState::Draining, EDGE_KIND),
            record(EDGE, moved_cache.address, EndpointState::Up, EDGE_KIND),
        ],
    );
    assert_eq!(request_objects(&mut client, 1), 20);
    assert_eq!(harness.edge.fetch_count(), 0);
    let before = moved_cache.fetch_count();
    assert!(before > 0);
    send_list(
        &harness,
        3,
        LIST_UPDATE,
        &[
            record(EDGE, moved_cache.address, EndpointState::Up, EDGE_KIND),
            record(EDGE, moved_cache.address, EndpointState::Draining, EDGE_KIND),
        ],
    );
    request_objects(&mut client, 101);
    assert_eq!(moved_cache.fetch_count(), before, "a draining cache got a request");
}

#[test]
fn new_server_at_a_reused_address_gets_new_connections() {
    let harness = start_router();
    let mut client = harness.router.client();
    assert_eq!(request_objects(&mut client, 1), 20);
    let old = harness.edge.connections.load(Ordering::SeqCst);
    let before = harness.edge.fetch_count();
    send_list(
        &harness,
        2,
        LIST_UPDATE,
        &[
            record(EDGE, harness.edge.address, EndpointState::Removed, EDGE_KIND),
            record(EDGE_2, harness.edge.address, EndpointState::Up, EDGE_KIND),
        ],
    );
    assert_eq!(request_objects(&mut client, 101), 20);
    let later_fetches = harness.edge.fetches().split_off(before);
    assert!(
        !later_fetches.is_empty() && later_fetches.iter().all(|fetch| fetch.connection > old),
        "the connections of the removed server are not reused"
    );
}

#[test]
fn drain_read_together_with_requests_takes_effect_first() {
    let second = Cache::with_all_objects();
    let harness = start_router_with(ChangeLog::start(), |c| {
        add_second_edge(c, &second);
        // With a long tick, all that the resumed router reads is one batch.
        c["settings"]["tick"] = json!(50.0);
    });
    let mut client = harness.router.client();
    for round in 0..5 {
        let from = 1 + 1000 * round;
        assert_eq!(request_objects(&mut client, from), 20);
        let before = harness.edge.fetch_count();
        assert!(before > 0 && second.fetch_count() > 0, "both caches are in use");
        let number = 2 + 2 * round;
        let lists = harness.router.counter("lists");
        harness.router.signal("STOP");
        harness.log.publish(
            number,
            LIST_UPDATE,
            &record(EDGE, harness.edge.address, EndpointState::Draining, EDGE_KIND),
        );
        wait_until("the drain is sent", || harness.log.written_up_to.load(Ordering::SeqCst) == number);
        (from + 100..from + 120).for_each(|t| {
            client.send_request(t, "pages", t * 7919, "", b"");
        });
        harness.router.signal("CONT");
        (0..20).for_each(|_| assert_eq!(client.expect_answer().status, "200"));
        assert_eq!(harness.router.counter("lists"), lists + 1);
        assert_eq!(harness.edge.fetch_count(), before, "a draining cache got a request");
        send_list(
            &harness,
            number + 1,
            LIST_UPDATE,
            &[record(EDGE, harness.edge.address, EndpointState::Up, EDGE_KIND)],
        );
    }
}

#[test]
fn server_whose_address_another_one_has_taken_gets_no_requests() {
    let harness = start_router();
    let mut client = harness.router.client();
    assert_eq!(request_objects(&mut client, 1), 20);
    // The list names the new server at the address before it removes the old one; no request of this router may go to the new one.
    let foreign_zone_id = 0x55;
    let taken = record(foreign_zone_id, harness.edge.address, EndpointState::Up, ORIGIN_KIND);
    let before = harness.edge.fetch_count();
    send_list(&harness, 2, LIST_UPDATE, &[taken]);
    assert_eq!(harness.router.counter("addresses_taken"), 1);
    request_objects(&mut client, 101);
    let for_old_server =
        harness.edge.fetches().split_off(before).into_iter().filter(|fetch| fetch.field("from").is_some());
    assert_eq!(for_old_server.count(), 0, "fetches meant for the old server went to the new one");
    // The removal of the old server comes late and takes nothing from the new one.
    let removed = record(EDGE, harness.edge.address, EndpointState::Removed, EDGE_KIND);
    send_list(&harness, 3, LIST_UPDATE, &[removed]);
    assert_eq!(harness.router.counter("servers_now"), 3);
}
