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
    rig_of(edge, Cache::full(), Cache::full(), |_| {})
}

/// With something changed in its configuration.
fn rig_of(edge: Cache, parent: Cache, origin: Cache, change: impl FnOnce(&mut Value)) -> Rig {
    let log = ChangeLog::start();
    let mut config = configuration(&three(&edge, &parent, &origin), log.address);
    // On a busy machine a connection takes its time.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    Rig { edge, parent, origin, log, router }
}

/// Behaves once in one way, and then holds everything; clones share the one time.
fn once(act: fn() -> Do) -> impl Fn(&Seen) -> Do + Clone + Send + Sync {
    let first = Arc::new(AtomicBool::new(true));
    move |s| match first.swap(false, Ordering::SeqCst) {
        true => act(),
        false => Do::Ok(content(s)),
    }
}

fn tags(answers: &[Got]) -> Vec<u64> {
    let mut tags: Vec<u64> = answers.iter().map(|g| g.tag).collect();
    tags.sort_unstable();
    tags
}

#[test]
fn pipelined_requests_are_answered_once_each_in_any_order() {
    // The first come back last.
    let turn = AtomicU64::new(0);
    let edge = Cache::start(move |s| {
        Do::Later(300u64.saturating_sub(10 * turn.fetch_add(1, Ordering::SeqCst)), content(s))
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    let ids: Vec<String> = (1..=30).map(|t| client.ask(t, "pages", 0xabc0 + t, ",m=12.5", b"")).collect();
    let answers: Vec<Got> = (0..30).map(|_| client.must()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert_ne!(answers.iter().map(|g| g.tag).collect::<Vec<_>>(), tags(&answers), "in order of arrival");
    for got in &answers {
        let whole = format!("{:016x}/0", 0xabc0 + got.tag).into_bytes();
        assert_eq!((got.word.as_str(), &got.body), ("200", &whole));
    }
    assert_eq!(client.settle(), []);
    let seen = rig.edge.all();
    assert_eq!(seen.len(), 30);
    assert_eq!(seen.iter().map(|s| s.id.clone()).collect::<BTreeSet<_>>(), ids.into_iter().collect());
    assert_eq!(rig.edge.conns.load(Ordering::SeqCst), 8, "a few connections carry them all");
    assert_eq!(seen[0].field("from"), Some("s-0000000c"));
    assert_eq!((seen[0].field("c"), seen[0].field("p")), (Some("pages"), Some("0")));
    assert_eq!(rig.router.counter("served"), 30);
}

#[test]
fn bodies_pass_unchanged_and_current_copies_are_reported() {
    let big: Vec<u8> = (0..240_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let bytes = big.clone();
    let edge = Cache::start(move |s| match s.field("seen") {
        Some(_) => Do::Word("current", "ver=4be0c1927d55a6f3,born=1,note=hit"),
        None => Do::Ok(bytes.clone()),
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    assert_eq!(client.must().body, big);
    client.ask(2, "pages", 1, ",got=4be0c1927d55a6f3", b"");
    let same = client.must();
    assert_eq!((same.word.as_str(), same.field("ok304"), same.body), ("200", Some("1".into()), vec![]));
    assert_eq!(rig.edge.all()[1].field("seen"), Some("4be0c1927d55a6f3"));
    let body: Vec<u8> = b"*3\r\n$2\r\n\0\xff".iter().copied().cycle().take(48_000).collect();
    client.ask(3, "loan", 2, "", &body);
    assert_eq!(client.must().word, "200");
    assert_eq!(rig.origin.all()[0].body, body);
    assert_eq!(rig.origin.all()[0].field("from"), None);
    assert_eq!(client.settle(), []);
}

#[test]
fn cancelled_request_gets_no_answer_and_its_attempt_is_aborted() {
    let rig = rig(Cache::start(|s| match s.field("k") {
        Some("0000000000000001") => Do::Later(400, content(s)),
        Some("0000000000000003") => Do::Silent,
        _ => Do::Ok(content(s)),
    }));
    let mut client = rig.router.client();
    let id = client.ask(1, "pages", 1, "", b"");
    // Another that is open keeps the connection.
    client.ask_for(60_000, 3, "pages", 3, "", b"");
    until("the cache has them", || rig.edge.count() == 2);
    client.say("UNDO", 1);
    until("the cache is told", || rig.edge.aborted.lock().expect("lock").contains(&id));
    // The late answer comes all the same, and is dropped.
    until("the late answer was read", || rig.router.counter("late_answers") == 1);
    client.ask(2, "pages", 2, "", b"");
    assert_eq!(client.must().tag, 2);
    client.say("UNDO", 3);
    assert_eq!(client.settle(), []);
    assert_eq!((rig.router.counter("left"), rig.router.counter("served")), (2, 1));
}

#[test]
fn cancelled_request_gets_no_answer_where_attempts_run_on() {
    let edge = Cache::start(|s| Do::Later(400, content(s)));
    let never = |c: &mut Value| c["settings"]["limits"]["cancel"] = json!(false);
    let rig = rig_of(edge, Cache::full(), Cache::full(), never);
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    client.say("UNDO", 1);
    until("its answer came", || rig.router.counter("attempts_served") == 1);
    assert_eq!(client.settle(), []);
    assert_eq!(rig.edge.aborted.lock().expect("lock").len(), 0);
}

#[test]
fn closed_client_cancels_its_requests_only() {
    let rig = rig(Cache::start(|s| {
        if s.field("k") == Some("0000000000000001") {
            Do::Silent
        } else {
            Do::Ok(content(s))
        }
    }));
    let mut client = rig.router.client();
    let id = client.ask_for(60_000, 1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    drop(client);
    until("it has left", || rig.router.counter("left") == 1);
    until("the cache is told", || rig.edge.aborted.lock().expect("lock").contains(&id));
    let mut other = rig.router.client();
    other.ask(1, "pages", 2, "", b"");
    assert_eq!(other.must().word, "200");
    assert_eq!(other.settle(), []);
    assert_eq!(rig.router.counter("clients_now"), 1);
}

#[test]
fn reset_in_the_middle_of_an_answer_retries_reads_and_fails_writes() {
    let act = once(|| Do::Half);
    let (edge, second) = (Cache::start(act.clone()), Cache::start(act));
    let rig = rig_of(edge, Cache::full(), Cache::start(|_| Do::Half), |c| with_second(c, &second));
    let mut client = rig.router.client();
    client.ask(1, "pages", 7, "", b"");
    let got = client.must();
    assert_eq!((got.word.as_str(), got.body.as_slice()), ("200", &b"0000000000000007/0"[..]));
    client.ask(2, "loan", 8, "", b"borrow");
    // It may have run: neither tried again nor refused.
    let got = client.must();
    assert_eq!((got.tag, got.word.as_str()), (2, "500"));
    assert_eq!(client.settle(), []);
    assert_eq!((rig.origin.count(), rig.parent.count()), (1, 0));
    assert_eq!(rig.router.counter("attempts_broken"), 2);
}

#[test]
fn silent_connection_takes_no_new_requests() {
    let edge = Cache::start(|s| if s.conn == 1 { Do::Silent } else { Do::Ok(content(s)) });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.ask_for(60_000, 1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    thread::sleep(Duration::from_millis(1500));
    client.ask_for(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.must().tag, 2, "the second is served on a connection of its own");
    let conns: Vec<usize> = rig.edge.all().iter().map(|s| s.conn).collect();
    assert_eq!(conns, [1, 2]);
    client.say("UNDO", 1);
    assert_eq!(client.settle(), []);
    // With nothing left on it, the silent one is closed.
    until("it is closed", || rig.router.counter("conns_now") == 1);
}

#[test]
fn connection_with_only_cancelled_unanswered_attempts_is_not_reused() {
    let edge = Cache::start(|s| if s.conn == 1 { Do::Silent } else { Do::Ok(content(s)) });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.ask_for(60_000, 1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    client.say("UNDO", 1);
    until("it is closed", || rig.router.counter("conns_now") == 0);
    client.ask_for(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.must().tag, 2);
    assert_eq!(client.settle(), []);
}

#[test]
fn write_to_a_refused_connection_counts_as_not_executed() {
    let (_port, closed) = refused_address();
    let (edge, parent, log) = (Cache::full(), Cache::full(), ChangeLog::start());
    let list = [
        Listed(EDGE, edge.address, "box"),
        Listed(PARENT, parent.address, "parent"),
        Listed(ORIGIN, closed, "origin"),
    ];
    let router = router(&configuration(&list, log.address));
    let mut client = router.client();
    client.ask(1, "loan", 3, "", b"borrow");
    let got = client.must();
    assert_eq!((got.tag, got.word.as_str()), (1, "200"), "by the parent");
    assert_eq!(client.settle(), []);
    assert_eq!((parent.count(), router.counter("attempts_no_connection")), (1, 1));
}
