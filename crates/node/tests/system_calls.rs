//! System calls that fail, are interrupted or move little, and a log that nobody reads: what a router still owes.

mod common;

use basaltgw_emulator::faults::{Fault, Faults};
use common::*;
use serde_json::{json, Value};
use tempfile::TempDir;

/// Requests asked for under a fault.
const REQUESTS: u64 = 60;

struct Rig {
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

fn rig() -> Rig {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let dir = TempDir::new().expect("a folder");
    let faults = Faults::new(&dir.path().join("faults")).expect("the fault injection library");
    let router =
        Process::start_with_faults(binary(), &configuration_for(&caches), &faults).expect("a router");
    Rig { router, faults, caches, _dir: dir }
}

/// All requests of one connection are served while one call in so many is so.
fn run_under_fault(fault: Fault, one_in: i64) {
    let rig = rig();
    let mut client = rig.router.client();
    assert_eq!(client.answers_before_pong(), []);
    rig.faults.set(fault, one_in).expect("a fault");
    for tag in 1..=REQUESTS {
        client.send_request(tag, "pages", tag, "", b"");
        let got = client.expect_answer();
        assert_eq!((got.tag, got.status.as_str()), (tag, "200"));
    }
    assert!(rig.faults.hits(fault).expect("hits") > 0, "the fault came about");
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
    let rig = rig();
    rig.faults.set(Fault::Accept, 2).expect("a fault");
    for tag in 1..=20 {
        let mut client = rig.router.client();
        client.send_request(tag, "pages", tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    assert!(rig.faults.hits(Fault::Accept).expect("hits") > 0, "the fault came about");
}

#[test]
fn connect_without_descriptors_is_retried_without_a_mark_against_the_server() {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let router = router(&configuration_for(&caches));
    let mut client = router.client();
    assert_eq!(client.answers_before_pong(), []);
    router.limit_descriptors(Some(1));
    client.send_request(1, "pages", 1, "", b"");
    wait_until("it waits for a connection", || router.counter("attempts") >= 1);
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert_eq!(caches.iter().map(Cache::fetch_count).sum::<usize>(), 0, "no connection could be made");
    router.limit_descriptors(None);
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!((router.counter("attempts_no_connection"), router.counter("conns_failed")), (0, 0));
}

#[test]
fn full_log_pipe_does_not_block_the_router() {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let router = router_by(&configuration_for(&caches), "GW_LOG=debug exec \"$0\" serve");
    let mut client = router.client();
    assert_eq!(client.answers_before_pong(), []);
    router.set_log_reading(false);
    // Each connection is a line; a pipe holds 64 KB, and its reader some more.
    for _ in 0..6_000 {
        drop(router.client());
    }
    for tag in 1..=20 {
        client.send_request(tag, "pages", tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    router.set_log_reading(true);
    // A line that is logged while the pipe is full still is dropped too.
    wait_until("the pipe is empty again", || {
        router.counters(std::time::Duration::from_millis(300)).is_some()
    });
    assert!(router.counter("log_dropped") > 0, "the log's pipe was full");
    assert!(router.has_logged("lines were not logged"));
}

#[test]
fn sigterm_takes_effect_under_single_byte_transfers() {
    let rig = rig();
    rig.faults.set(Fault::Short, 1).expect("a fault");
    rig.router.terminate();
    let mut router = rig.router;
    assert!(router.expect_exit().success());
}

#[test]
fn sigterm_takes_effect_while_every_second_call_is_interrupted() {
    let rig = rig();
    rig.faults.set(Fault::Interrupted, 2).expect("a fault");
    for _ in 0..4 {
        rig.router.signal("HUP");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    rig.router.terminate();
    let mut router = rig.router;
    assert!(router.expect_exit().success());
}

/// How long a client waits, and how long its request lies unread.
const WAIT_MS: u64 = 4_000;
const LIES: std::time::Duration = std::time::Duration::from_millis(1_200);
/// What the deadline that is passed on may exceed the client's time by.
const SLACK_MS: u64 = 150;

/// What each fetch was told is what its client had left, who asked at that time.
fn assert_remaining_deadline(rig: &Rig, asked: u64) {
    let fetches: Vec<ReceivedFetch> = rig.caches.iter().flat_map(Cache::fetches).collect();
    assert!(!fetches.is_empty());
    for fetch in fetches {
        let told: u64 = fetch.field("w").expect("a wait").parse().expect("whole milliseconds");
        let left = (asked + WAIT_MS).saturating_sub(fetch.received_ms);
        assert!(told <= left + SLACK_MS, "told {told} ms, its client has {left} ms left");
    }
}

#[test]
fn deadline_after_a_pause_counts_from_arrival_under_single_byte_reads() {
    let rig = rig();
    let mut client = rig.router.client();
    assert_eq!(client.answers_before_pong(), []);
    rig.faults.set(Fault::Short, 1).expect("a fault");
    rig.router.signal("STOP");
    let asked = unix_ms();
    client.send_request_with_deadline(WAIT_MS, 1, "pages", 1, "", b"");
    std::thread::sleep(LIES);
    rig.router.signal("CONT");
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&rig, asked);
}

#[test]
fn deadline_after_failing_accepts_counts_from_arrival() {
    let rig = rig();
    rig.faults.set(Fault::Accept, 1).expect("a fault");
    let mut client = rig.router.client();
    let asked = unix_ms();
    client.send_request_with_deadline(WAIT_MS, 1, "pages", 1, "", b"");
    std::thread::sleep(LIES);
    rig.faults.set(Fault::Accept, 0).expect("no fault");
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&rig, asked);
}
