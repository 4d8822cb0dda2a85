//! The router as a process, between stand-ins on loopback. Whatever happens, each request gets one answer.

#[path = "../common/mod.rs"]
mod common;

mod limits;
mod news;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A router before an edge cache, a parent and an origin.
struct Rig {
    edge: Cache,
    parent: Cache,
    origin: Cache,
    log: ChangeLog,
    router: Process,
}

/// With a parent and an origin that hold everything.
fn rig(edge: Cache) -> Rig {
    rig_of(edge, Cache::with_all_objects(), Cache::with_all_objects(), |_| {})
}

/// With something changed in its configuration.
fn rig_of(edge: Cache, parent: Cache, origin: Cache, change: impl FnOnce(&mut Value)) -> Rig {
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&edge, &parent, &origin), log.address);
    // On a busy machine a connection takes its time.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    Rig { edge, parent, origin, log, router }
}

/// Behaves once in one way, and then holds everything; clones share the one time.
fn once(act: fn() -> FetchBehaviour) -> impl Fn(&ReceivedFetch) -> FetchBehaviour + Clone + Send + Sync {
    let first = Arc::new(AtomicBool::new(true));
    move |s| match first.swap(false, Ordering::SeqCst) {
        true => act(),
        false => FetchBehaviour::Ok(part_body(s)),
    }
}

fn tags(answers: &[ClientAnswer]) -> Vec<u64> {
    let mut tags: Vec<u64> = answers.iter().map(|g| g.tag).collect();
    tags.sort_unstable();
    tags
}

#[test]
fn pipelined_requests_are_answered_once_each_in_any_order() {
    // The first come back last.
    let turn = AtomicU64::new(0);
    let edge = Cache::start(move |s| FetchBehaviour::OkAfter {
        delay_ms: 300u64.saturating_sub(10 * turn.fetch_add(1, Ordering::SeqCst)),
        body: part_body(s),
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    let ids: Vec<String> =
        (1..=30).map(|t| client.send_request(t, "pages", 0xabc0 + t, ",m=12.5", b"")).collect();
    let answers: Vec<ClientAnswer> = (0..30).map(|_| client.expect_answer()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert_ne!(answers.iter().map(|g| g.tag).collect::<Vec<_>>(), tags(&answers), "in order of arrival");
    for got in &answers {
        let whole = format!("{:016x}/0", 0xabc0 + got.tag).into_bytes();
        assert_eq!((got.status.as_str(), &got.body), ("200", &whole));
    }
    assert_eq!(client.answers_before_pong(), []);
    let seen = rig.edge.fetches();
    assert_eq!(seen.len(), 30);
    assert_eq!(seen.iter().map(|s| s.id.clone()).collect::<BTreeSet<_>>(), ids.into_iter().collect());
    assert_eq!(rig.edge.connections.load(Ordering::SeqCst), 8, "a few connections carry them all");
    assert_eq!(seen[0].field("from"), Some("s-0000000c"));
    assert_eq!((seen[0].field("c"), seen[0].field("p")), (Some("pages"), Some("0")));
    assert_eq!(rig.router.counter("served"), 30);
}

#[test]
fn bodies_pass_unchanged_and_current_copies_are_reported() {
    let big: Vec<u8> = (0..240_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let bytes = big.clone();
    let edge = Cache::start(move |s| match s.field("seen") {
        Some(_) => {
            FetchBehaviour::Answer { status: "current", fields: "ver=4be0c1927d55a6f3,born=1,note=hit" }
        }
        None => FetchBehaviour::Ok(bytes.clone()),
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().body, big);
    client.send_request(2, "pages", 1, ",got=4be0c1927d55a6f3", b"");
    let same = client.expect_answer();
    assert_eq!((same.status.as_str(), same.field("ok304"), same.body), ("200", Some("1".into()), vec![]));
    assert_eq!(rig.edge.fetches()[1].field("seen"), Some("4be0c1927d55a6f3"));
    let body: Vec<u8> = b"*3\r\n$2\r\n\0\xff".iter().copied().cycle().take(48_000).collect();
    client.send_request(3, "loan", 2, "", &body);
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(rig.origin.fetches()[0].body, body);
    assert_eq!(rig.origin.fetches()[0].field("from"), None);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn cancelled_request_gets_no_answer_and_its_attempt_is_aborted() {
    let rig = rig(Cache::start(|s| match s.field("k") {
        Some("0000000000000001") => FetchBehaviour::OkAfter { delay_ms: 400, body: part_body(s) },
        Some("0000000000000003") => FetchBehaviour::NoAnswer,
        _ => FetchBehaviour::Ok(part_body(s)),
    }));
    let mut client = rig.router.client();
    let id = client.send_request(1, "pages", 1, "", b"");
    // Another that is open keeps the connection.
    client.send_request_with_deadline(60_000, 3, "pages", 3, "", b"");
    wait_until("the cache has them", || rig.edge.fetch_count() == 2);
    client.send_message("UNDO", 1);
    wait_until("the cache is told", || rig.edge.aborted_ids.lock().expect("lock").contains(&id));
    // The late answer comes all the same, and is dropped.
    wait_until("the late answer was read", || rig.router.counter("late_answers") == 1);
    client.send_request(2, "pages", 2, "", b"");
    assert_eq!(client.expect_answer().tag, 2);
    client.send_message("UNDO", 3);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((rig.router.counter("left"), rig.router.counter("served")), (2, 1));
}

#[test]
fn cancelled_request_gets_no_answer_where_attempts_run_on() {
    let edge = Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 400, body: part_body(s) });
    let never = |c: &mut Value| c["settings"]["limits"]["cancel"] = json!(false);
    let rig = rig_of(edge, Cache::with_all_objects(), Cache::with_all_objects(), never);
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the cache has it", || rig.edge.fetch_count() == 1);
    client.send_message("UNDO", 1);
    wait_until("its answer came", || rig.router.counter("attempts_served") == 1);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(rig.edge.aborted_ids.lock().expect("lock").len(), 0);
}

#[test]
fn closed_client_cancels_its_requests_only() {
    let rig = rig(Cache::start(|s| {
        if s.field("k") == Some("0000000000000001") {
            FetchBehaviour::NoAnswer
        } else {
            FetchBehaviour::Ok(part_body(s))
        }
    }));
    let mut client = rig.router.client();
    let id = client.send_request_with_deadline(60_000, 1, "pages", 1, "", b"");
    wait_until("the cache has it", || rig.edge.fetch_count() == 1);
    drop(client);
    wait_until("it has left", || rig.router.counter("left") == 1);
    wait_until("the cache is told", || rig.edge.aborted_ids.lock().expect("lock").contains(&id));
    let mut other = rig.router.client();
    other.send_request(1, "pages", 2, "", b"");
    assert_eq!(other.expect_answer().status, "200");
    assert_eq!(other.answers_before_pong(), []);
    assert_eq!(rig.router.counter("clients_now"), 1);
}

#[test]
fn reset_in_the_middle_of_an_answer_retries_reads_and_fails_writes() {
    let act = once(|| FetchBehaviour::TruncatedAnswer);
    let (edge, second) = (Cache::start(act.clone()), Cache::start(act));
    let rig =
        rig_of(edge, Cache::with_all_objects(), Cache::start(|_| FetchBehaviour::TruncatedAnswer), |c| {
            add_second_edge(c, &second)
        });
    let mut client = rig.router.client();
    client.send_request(1, "pages", 7, "", b"");
    let got = client.expect_answer();
    assert_eq!((got.status.as_str(), got.body.as_slice()), ("200", &b"0000000000000007/0"[..]));
    client.send_request(2, "loan", 8, "", b"borrow");
    // It may have run: neither tried again nor refused.
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (2, "500"));
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((rig.origin.fetch_count(), rig.parent.fetch_count()), (1, 0));
    assert_eq!(rig.router.counter("attempts_broken"), 2);
}

#[test]
fn silent_connection_takes_no_new_requests() {
    let edge = Cache::start(|s| {
        if s.connection == 1 {
            FetchBehaviour::NoAnswer
        } else {
            FetchBehaviour::Ok(part_body(s))
        }
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.send_request_with_deadline(60_000, 1, "pages", 1, "", b"");
    wait_until("the cache has it", || rig.edge.fetch_count() == 1);
    thread::sleep(Duration::from_millis(1500));
    client.send_request_with_deadline(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.expect_answer().tag, 2, "the second is served on a connection of its own");
    let conns: Vec<usize> = rig.edge.fetches().iter().map(|s| s.connection).collect();
    assert_eq!(conns, [1, 2]);
    client.send_message("UNDO", 1);
    assert_eq!(client.answers_before_pong(), []);
    // With nothing left on it, the silent one is closed.
    wait_until("it is closed", || rig.router.counter("conns_now") == 1);
}

#[test]
fn connection_with_only_cancelled_unanswered_attempts_is_not_reused() {
    let edge = Cache::start(|s| {
        if s.connection == 1 {
            FetchBehaviour::NoAnswer
        } else {
            FetchBehaviour::Ok(part_body(s))
        }
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.send_request_with_deadline(60_000, 1, "pages", 1, "", b"");
    wait_until("the cache has it", || rig.edge.fetch_count() == 1);
    client.send_message("UNDO", 1);
    wait_until("it is closed", || rig.router.counter("conns_now") == 0);
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
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (1, "200"), "by the parent");
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((parent.fetch_count(), router.counter("attempts_no_connection")), (1, 1));
}
