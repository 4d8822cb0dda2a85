//! A router serves and shuts down while system calls fail, are interrupted or transfer single bytes, and while nobody reads its log.

mod common;

use basaltgw_emulator::faults::{Fault, Faults};
use common::*;
use serde_json::{json, Value};
use tempfile::TempDir;

/// Requests sent under a fault.
const REQUESTS: u64 = 60;

/// A router under fault injection in front of three caches.
struct FaultHarness {
    router: Process,
    faults: Faults,
    caches: [Cache; 3],
    _dir: TempDir,
}

fn configuration_for(caches: &[Cache; 3]) -> Value {
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&caches[0], &caches[1], &caches[2]), log.address);
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    config
}

fn start_router() -> FaultHarness {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let dir = TempDir::new().expect("a temporary directory");
    let faults = Faults::new(&dir.path().join("faults")).expect("the fault injection library is available");
    let router = Process::start_with_faults(binary(), &configuration_for(&caches), &faults)
        .expect("the router listens");
    FaultHarness { router, faults, caches, _dir: dir }
}

/// Asserts that all requests of one connection are served while one call in `one_in` has the fault.
fn run_under_fault(fault: Fault, one_in: i64) {
    let harness = start_router();
    let mut client = harness.router.client();
    assert_eq!(client.answers_before_pong(), []);
    harness.faults.set(fault, one_in).expect("the fault is set");
    for tag in 1..=REQUESTS {
        client.send_request(tag, "pages", tag, "", b"");
        let answer = client.expect_answer();
        assert_eq!((answer.tag, answer.status.as_str()), (tag, "200"));
    }
    assert!(harness.faults.hits(fault).expect("the hits are counted") > 0, "no call had the fault");
}

#[test]
fn interrupted_reads_and_writes_keep_connections_open() {
    run_under_fault(Fault::Interrupted, 2);
}

#[test]
fn single_byte_transfers_carry_complete_messages() {
    run_under_fault(Fault::Short, 2);
}

#[test]
fn clients_are_accepted_while_every_other_accept_fails() {
    let harness = start_router();
    harness.faults.set(Fault::Accept, 2).expect("the fault is set");
    for tag in 1..=20 {
        let mut client = harness.router.client();
        client.send_request(tag, "pages", tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    assert!(harness.faults.hits(Fault::Accept).expect("the hits are counted") > 0, "no call had the fault");
}

#[test]
fn connect_without_descriptors_is_retried_without_a_mark_against_the_server() {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let router = router(&configuration_for(&caches));
    let mut client = router.client();
    assert_eq!(client.answers_before_pong(), []);
    router.limit_descriptors(Some(1));
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the attempt waits for a connection", || router.counter("attempts") >= 1);
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert_eq!(caches.iter().map(Cache::fetch_count).sum::<usize>(), 0, "no connection could be made");
    router.limit_descriptors(None);
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!((router.counter("attempts_no_connection"), router.counter("conns_failed")), (0, 0));
}

#[test]
fn full_log_pipe_does_not_block_the_router() {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let router = router_from_shell(&configuration_for(&caches), "GW_LOG=debug exec \"$0\" serve");
    let mut client = router.client();
    assert_eq!(client.answers_before_pong(), []);
    router.set_log_reading(false);
    // Each connection is logged as a line; the pipe buffers 64 KB, and its reader some more.
    for _ in 0..6_000 {
        drop(router.client());
    }
    for tag in 1..=20 {
        client.send_request(tag, "pages", tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    router.set_log_reading(true);
    // The counters are logged as a line too, which is dropped while the pipe is still full; so they are requested until they arrive.
    wait_until("the pipe is empty again", || {
        router.counters(std::time::Duration::from_millis(300)).is_some()
    });
    assert!(router.counter("log_dropped") > 0, "the log's pipe was full");
    assert!(router.has_logged("lines were not logged"));
}

#[test]
fn sigterm_takes_effect_under_single_byte_transfers() {
    let harness = start_router();
    harness.faults.set(Fault::Short, 1).expect("the fault is set");
    harness.router.terminate();
    let mut router = harness.router;
    assert!(router.expect_exit().success());
}

#[test]
fn sigterm_takes_effect_while_every_second_call_is_interrupted() {
    let harness = start_router();
    harness.faults.set(Fault::Interrupted, 2).expect("the fault is set");
    for _ in 0..4 {
        harness.router.signal("HUP");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    harness.router.terminate();
    let mut router = harness.router;
    assert!(router.expect_exit().success());
}

/// The deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// The time for which the router does not read the request.
const UNREAD_TIME: std::time::Duration = std::time::Duration::from_millis(1_200);
/// By how much a forwarded deadline may exceed the time that the client has left, in milliseconds.
const SLACK_MS: u64 = 150;

/// Asserts that each fetch carried at most the time that its client, which sent the request at `sent_at`, had left.
fn assert_remaining_deadline(harness: &FaultHarness, sent_at: u64) {
    let fetches: Vec<ReceivedFetch> = harness.caches.iter().flat_map(Cache::fetches).collect();
    assert!(!fetches.is_empty());
    for fetch in fetches {
        let deadline: u64 = fetch
            .field("w")
            .expect("the fetch carries its deadline")
            .parse()
            .expect("the deadline is in whole milliseconds");
        let left = (sent_at + DEADLINE_MS).saturating_sub(fetch.received_ms);
        assert!(
            deadline <= left + SLACK_MS,
            "the fetch carries a deadline of {deadline} ms, its client has {left} ms left"
        );
    }
}

#[test]
fn deadline_after_a_pause_counts_from_arrival_under_single_byte_reads() {
    let harness = start_router();
    let mut client = harness.router.client();
    assert_eq!(client.answers_before_pong(), []);
    harness.faults.set(Fault::Short, 1).expect("the fault is set");
    harness.router.signal("STOP");
    let sent_at = unix_ms();
    client.send_request_with_deadline(DEADLINE_MS, 1, "pages", 1, "", b"");
    std::thread::sleep(UNREAD_TIME);
    harness.router.signal("CONT");
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&harness, sent_at);
}

#[test]
fn deadline_after_failing_accepts_counts_from_arrival() {
    let harness = start_router();
    harness.faults.set(Fault::Accept, 1).expect("the fault is set");
    let mut client = harness.router.client();
    let sent_at = unix_ms();
    client.send_request_with_deadline(DEADLINE_MS, 1, "pages", 1, "", b"");
    std::thread::sleep(UNREAD_TIME);
    harness.faults.set(Fault::Accept, 0).expect("the fault is cleared");
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&harness, sent_at);
}
