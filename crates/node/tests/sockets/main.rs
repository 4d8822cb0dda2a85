//! The router as a process between stand-ins on loopback: whatever fails, each request gets one answer.

#[path = "../common/mod.rs"]
mod common;

mod changelog;
mod limits;
mod pipelined_writes;

use common::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A router in front of an edge cache, a parent and an origin.
struct RouterHarness {
    edge: Cache,
    parent: Cache,
    origin: Cache,
    log: ChangeLog,
    router: Process,
}

/// Starts a router in front of this edge cache; the parent and the origin serve every object.
fn start_router(edge: Cache) -> RouterHarness {
    start_router_with(edge, Cache::with_all_objects(), Cache::with_all_objects(), |_| {})
}

/// Starts a router in front of these caches, with a change to its configuration.
fn start_router_with(
    edge: Cache,
    parent: Cache,
    origin: Cache,
    change: impl FnOnce(&mut Value),
) -> RouterHarness {
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&edge, &parent, &origin), log.address);
    // A connection may take long on a busy machine.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    RouterHarness { edge, parent, origin, log, router }
}

/// Handles the first fetch by `behaviour`, and serves all later ones; clones share the count of fetches.
fn on_first_fetch(
    behaviour: fn() -> FetchBehaviour,
) -> impl Fn(&ReceivedFetch) -> FetchBehaviour + Clone + Send + Sync {
    let first = Arc::new(AtomicBool::new(true));
    move |fetch| match first.swap(false, Ordering::SeqCst) {
        true => behaviour(),
        false => FetchBehaviour::Ok(part_body(fetch)),
    }
}

fn tags(answers: &[ClientAnswer]) -> Vec<u64> {
    let mut tags: Vec<u64> = answers.iter().map(|answer| answer.tag).collect();
    tags.sort_unstable();
    tags
}

#[test]
fn pipelined_requests_are_answered_once_each_in_any_order() {
    // The first requests are answered last.
    let fetches = AtomicU64::new(0);
    let edge = Cache::start(move |fetch| FetchBehaviour::OkAfter {
        delay_ms: 300u64.saturating_sub(10 * fetches.fetch_add(1, Ordering::SeqCst)),
        body: part_body(fetch),
    });
    let harness = start_router(edge);
    let mut client = harness.router.client();
    let ids: Vec<String> =
        (1..=30).map(|t| client.send_request(t, "pages", 0xabc0 + t, ",m=12.5", b"")).collect();
    let answers: Vec<ClientAnswer> = (0..30).map(|_| client.expect_answer()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert_ne!(
        answers.iter().map(|answer| answer.tag).collect::<Vec<_>>(),
        tags(&answers),
        "the answers came in the order of the requests"
    );
    for answer in &answers {
        let expected = format!("{:016x}/0", 0xabc0 + answer.tag).into_bytes();
        assert_eq!((answer.status.as_str(), &answer.body), ("200", &expected));
    }
    assert_eq!(client.answers_before_pong(), []);
    let all_fetches = harness.edge.fetches();
    assert_eq!(all_fetches.len(), 30);
    assert_eq!(
        all_fetches.iter().map(|fetch| fetch.id.clone()).collect::<BTreeSet<_>>(),
        ids.into_iter().collect()
    );
    assert_eq!(harness.edge.connections.load(Ordering::SeqCst), 8, "a few connections carry all requests");
    assert_eq!(all_fetches[0].field("from"), Some("s-0000000c"));
    assert_eq!((all_fetches[0].field("c"), all_fetches[0].field("p")), (Some("pages"), Some("0")));
    assert_eq!(harness.router.counter("served"), 30);
}

#[test]
fn bodies_pass_unchanged_and_current_copies_are_reported() {
    let big: Vec<u8> = (0..240_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let bytes = big.clone();
    let edge = Cache::start(move |fetch| match fetch.field("seen") {
        Some(_) => {
            FetchBehaviour::Answer { status: "current", fields: "ver=4be0c1927d55a6f3,born=1,note=hit" }
        }
        None => FetchBehaviour::Ok(bytes.clone()),
    });
    let harness = start_router(edge);
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().body, big);
    client.send_request(2, "pages", 1, ",got=4be0c1927d55a6f3", b"");
    let same = client.expect_answer();
    assert_eq!((same.status.as_str(), same.field("ok304"), same.body), ("200", Some("1".into()), vec![]));
    assert_eq!(harness.edge.fetches()[1].field("seen"), Some("4be0c1927d55a6f3"));
    let body: Vec<u8> = b"*3\r\n$2\r\n\0\xff".iter().copied().cycle().take(48_000).collect();
    client.send_request(3, "loan", 2, "", &body);
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(harness.origin.fetches()[0].body, body);
    assert_eq!(harness.origin.fetches()[0].field("from"), None);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn cancelled_request_gets_no_answer_and_its_attempt_is_aborted() {
    let harness = start_router(Cache::start(|fetch| match fetch.field("k") {
        Some("0000000000000001") => FetchBehaviour::OkAfter { delay_ms: 400, body: part_body(fetch) },
        Some("0000000000000003") => FetchBehaviour::NoAnswer,
        _ => FetchBehaviour::Ok(part_body(fetch)),
    }));
    let mut client = harness.router.client();
    let id = client.send_request(1, "pages", 1, "", b"");
    // Another open request keeps the connection.
    client.send_request_with_deadline(60_000, 3, "pages", 3, "", b"");
    wait_until("the cache has both requests", || harness.edge.fetch_count() == 2);
    client.send_message("UNDO", 1);
    wait_until("the cache reads the cancellation", || {
        harness.edge.aborted_ids.lock().expect("lock").contains(&id)
    });
    // The late answer is read and dropped.
    wait_until("the late answer was read", || harness.router.counter("late_answers") == 1);
    client.send_request(2, "pages", 2, "", b"");
    assert_eq!(client.expect_answer().tag, 2);
    client.send_message("UNDO", 3);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((harness.router.counter("left"), harness.router.counter("served")), (2, 1));
}

#[test]
fn cancelled_request_gets_no_answer_where_attempts_run_on() {
    let edge = Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 400, body: part_body(fetch) });
    let no_cancellation = |c: &mut Value| c["settings"]["limits"]["cancel"] = json!(false);
    let harness =
        start_router_with(edge, Cache::with_all_objects(), Cache::with_all_objects(), no_cancellation);
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the cache has the request", || harness.edge.fetch_count() == 1);
    client.send_message("UNDO", 1);
    wait_until("the answer is read", || harness.router.counter("attempts_served") == 1);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(harness.edge.aborted_ids.lock().expect("lock").len(), 0);
}

#[test]
fn closed_client_cancels_its_requests_only() {
    let harness = start_router(Cache::start(|fetch| {
        if fetch.field("k") == Some("0000000000000001") {
            FetchBehaviour::NoAnswer
        } else {
            FetchBehaviour::Ok(part_body(fetch))
        }
    }));
    let mut client = harness.router.client();
    let id = client.send_request_with_deadline(60_000, 1, "pages", 1, "", b"");
    wait_until("the cache has the request", || harness.edge.fetch_count() == 1);
    drop(client);
    wait_until("the disconnect is noticed", || harness.router.counter("left") == 1);
    wait_until("the cache reads the cancellation", || {
        harness.edge.aborted_ids.lock().expect("lock").contains(&id)
    });
    let mut other = harness.router.client();
    other.send_request(1, "pages", 2, "", b"");
    assert_eq!(other.expect_answer().status, "200");
    assert_eq!(other.answers_before_pong(), []);
    assert_eq!(harness.router.counter("clients_now"), 1);
}

#[test]
fn reset_in_the_middle_of_an_answer_retries_reads_and_fails_writes() {
    let behaviour = on_first_fetch(|| FetchBehaviour::TruncatedAnswer);
    let (edge, second) = (Cache::start(behaviour.clone()), Cache::start(behaviour));
    let harness = start_router_with(
        edge,
        Cache::with_all_objects(),
        Cache::start(|_| FetchBehaviour::TruncatedAnswer),
        |c| add_second_edge(c, &second),
    );
    let mut client = harness.router.client();
    client.send_request(1, "pages", 7, "", b"");
    let answer = client.expect_answer();
    assert_eq!((answer.status.as_str(), answer.body.as_slice()), ("200", &b"0000000000000007/0"[..]));
    client.send_request(2, "loan", 8, "", b"borrow");
    // The write may have been executed, so it is neither retried nor rejected.
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (2, "500"));
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((harness.origin.fetch_count(), harness.parent.fetch_count()), (1, 0));
    assert_eq!(harness.router.counter("attempts_broken"), 2);
}

#[test]
fn silent_connection_takes_no_new_requests() {
    let edge = Cache::start(|fetch| {
        if fetch.connection == 1 {
            FetchBehaviour::NoAnswer
        } else {
            FetchBehaviour::Ok(part_body(fetch))
        }
    });
    let harness = start_router(edge);
    let mut client = harness.router.client();
    client.send_request_with_deadline(60_000, 1, "pages", 1, "", b"");
    wait_until("the cache has the request", || harness.edge.fetch_count() == 1);
    thread::sleep(Duration::from_millis(1500));
    client.send_request_with_deadline(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.expect_answer().tag, 2, "the second is served on a connection of its own");
    let conns: Vec<usize> = harness.edge.fetches().iter().map(|fetch| fetch.connection).collect();
    assert_eq!(conns, [1, 2]);
    client.send_message("UNDO", 1);
    assert_eq!(client.answers_before_pong(), []);
    // The silent connection is closed once no request is open on it.
    wait_until("the silent connection is closed", || harness.router.counter("conns_now") == 1);
}

#[test]
fn connection_with_only_cancelled_unanswered_attempts_is_not_reused() {
    let edge = Cache::start(|fetch| {
        if fetch.connection == 1 {
            FetchBehaviour::NoAnswer
        } else {
            FetchBehaviour::Ok(part_body(fetch))
        }
    });
    let harness = start_router(edge);
    let mut client = harness.router.client();
    client.send_request_with_deadline(60_000, 1, "pages", 1, "", b"");
    wait_until("the cache has the request", || harness.edge.fetch_count() == 1);
    client.send_message("UNDO", 1);
    wait_until("the silent connection is closed", || harness.router.counter("conns_now") == 0);
    client.send_request_with_deadline(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.expect_answer().tag, 2);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn write_to_a_refused_connection_counts_as_not_executed() {
    let (_port, closed) = refused_address();
    let (edge, parent, log) = (Cache::with_all_objects(), Cache::with_all_objects(), ChangeLog::start());
    let list = [
        ListedServer { id: EDGE, address: edge.address, kind: "box" },
        ListedServer { id: PARENT, address: parent.address, kind: "parent" },
        ListedServer { id: ORIGIN, address: closed, kind: "origin" },
    ];
    let router = router(&configuration(&list, log.address));
    let mut client = router.client();
    client.send_request(1, "loan", 3, "", b"borrow");
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (1, "200"), "the parent serves the request");
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((parent.fetch_count(), router.counter("attempts_no_connection")), (1, 1));
}
