//! Pauses of the router process, and waits of attempts for their connections: the deadline that a cache is sent is reduced by the pause, and
//! a request whose client disconnected during it is not sent.

use crate::common::*;
use serde_json::json;
use std::time::Duration;

/// By how much a forwarded deadline may exceed the time that the client has left, in milliseconds.
const SLACK_MS: u64 = 150;
/// How long the process is stopped, or the probe of a new connection stays unanswered.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// A router in front of three caches that answer the probe of a new connection like this.
fn router_before_caches(probe: ProbeBehaviour) -> (Process, [Cache; 3]) {
    let caches = [(); 3]
        .map(|()| Cache::start_with_probes(move |_| probe, |fetch| FetchBehaviour::Ok(part_body(fetch))));
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&caches[0], &caches[1], &caches[2]), log.address);
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    (router(&config), caches)
}

fn all_fetches(caches: &[Cache]) -> Vec<ReceivedFetch> {
    caches.iter().flat_map(Cache::fetches).collect()
}

/// Asserts that each fetch carried at most the time that its client, which sent the request at `sent_at`, had left.
fn assert_remaining_deadline(caches: &[Cache], sent_at: u64) {
    let fetches = all_fetches(caches);
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
fn deadline_of_a_request_received_during_a_pause_counts_from_its_arrival() {
    let (router, caches) = router_before_caches(ProbeBehaviour::Yes);
    let mut client = router.client();
    assert_eq!(client.answers_before_pong(), []);
    router.signal("STOP");
    let sent_at = unix_ms();
    client.send_request_with_deadline(DEADLINE_MS, 1, "pages", 1, "", b"");
    std::thread::sleep(PAUSE);
    router.signal("CONT");
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&caches, sent_at);
}

#[test]
fn deadline_of_an_attempt_that_waited_for_its_connection_is_reduced_by_the_wait() {
    let (router, caches) = router_before_caches(ProbeBehaviour::BlockThenYes);
    let mut client = router.client();
    let sent_at = unix_ms();
    client.send_request_with_deadline(DEADLINE_MS, 1, "pages", 1, "", b"");
    wait_until("the attempt waits for its connection", || router.counter("attempts") == 1);
    std::thread::sleep(PAUSE);
    caches.iter().for_each(|cache| cache.resume.store(true, std::sync::atomic::Ordering::SeqCst));
    assert_eq!(client.expect_answer().tag, 1);
    assert_remaining_deadline(&caches, sent_at);
}

#[test]
fn request_whose_client_left_during_a_pause_is_not_sent() {
    for _ in 0..3 {
        let (router, caches) = router_before_caches(ProbeBehaviour::BlockThenYes);
        let mut client = router.client();
        client.send_request_with_deadline(DEADLINE_MS, 1, "pages", 1, "", b"");
        wait_until("the attempt waits for its connection", || router.counter("attempts") == 1);
        router.signal("STOP");
        caches.iter().for_each(|cache| cache.resume.store(true, std::sync::atomic::Ordering::SeqCst));
        std::thread::sleep(Duration::from_millis(300));
        drop(client);
        std::thread::sleep(Duration::from_millis(300));
        router.signal("CONT");
        wait_until("the router notices that its client disconnected", || router.counter("left") == 1);
        assert_eq!(all_fetches(&caches).len(), 0, "an attempt was sent although its client had disconnected");
    }
}
