//! The process stands still for a while, or a fetch waits for its connection: what is passed on and begun after that.

use crate::common::*;
use serde_json::json;
use std::time::Duration;

/// What the deadline that is passed on may exceed the client's time by.
const SLACK_MS: u64 = 150;
/// How long a process is stopped, or a connection does not prove itself.
const STOPPED: Duration = Duration::from_millis(1_200);
/// How long the client waits.
const WAIT_MS: u64 = 4_000;

/// A router before caches that do this when they are asked whether a connection works.
fn router_before_caches(proof: ProbeBehaviour) -> (Process, [Cache; 3]) {
    let all =
        [(); 3].map(|()| Cache::start_with_probes(move |_| proof, |s| FetchBehaviour::Ok(part_body(s))));
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&all[0], &all[1], &all[2]), log.address);
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    (router(&config), all)
}

fn all_fetches(all: &[Cache]) -> Vec<ReceivedFetch> {
    all.iter().flat_map(Cache::fetches).collect()
}

/// What each fetch was told is what its client had left, who asked at that time.
fn assert_remaining_deadline(all: &[Cache], asked: u64) {
    let fetches = all_fetches(all);
    assert!(!fetches.is_empty());
    for fetch in fetches {
        let told: u64 = fetch.field("w").expect("a wait").parse().expect("whole milliseconds");
        let left = (asked + WAIT_MS).saturating_sub(fetch.received_ms);
        assert!(told <= left + SLACK_MS, "told {told} ms, its client has {left} ms left");
    }
}

#[test]
fn deadline_of_a_request_received_during_a_pause_counts_from_its_arrival() {
    let (router, all) = router_before_caches(ProbeBehaviour::Yes);
    let mut client = router.client();
    assert_eq!(client.answers_before_pong(), []);
    router.signal("STOP");
    let asked = unix_ms();
    client.send_request_with_deadline(WAIT_MS, 1, "pages", 1, "", b"");
    std::thread::sleep(STOPPED);
    router.signal("CONT");
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&all, asked);
}

#[test]
fn deadline_of_an_attempt_that_waited_for_its_connection_is_reduced_by_the_wait() {
    let (router, all) = router_before_caches(ProbeBehaviour::BlockThenYes);
    let mut client = router.client();
    let asked = unix_ms();
    client.send_request_with_deadline(WAIT_MS, 1, "pages", 1, "", b"");
    wait_until("it waits for its connection", || router.counter("attempts") == 1);
    std::thread::sleep(STOPPED);
    all.iter().for_each(|cache| cache.resume.store(true, std::sync::atomic::Ordering::SeqCst));
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&all, asked);
}

#[test]
fn request_whose_client_left_during_a_pause_is_not_sent() {
    for _ in 0..3 {
        let (router, all) = router_before_caches(ProbeBehaviour::BlockThenYes);
        let mut client = router.client();
        client.send_request_with_deadline(WAIT_MS, 1, "pages", 1, "", b"");
        wait_until("it waits for its connection", || router.counter("attempts") == 1);
        router.signal("STOP");
        all.iter().for_each(|cache| cache.resume.store(true, std::sync::atomic::Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(300));
        drop(client);
        std::thread::sleep(Duration::from_millis(300));
        router.signal("CONT");
        wait_until("the router hears that its client left", || router.counter("left") == 1);
        assert_eq!(all_fetches(&all).len(), 0, "an attempt began though its client had left");
    }
}
