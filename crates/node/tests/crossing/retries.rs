//! Attempts and connections to servers: outcome, deadline, cancel, reset and drain that cross.

use crate::common::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

#[test]
fn a_keyed_request_whose_connection_works_only_after_its_window_is_not_written_any_more() {
    const WINDOW_MS: u64 = 400;
    let (first, conns) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
    let edge = || {
        let (first, conns) = (Arc::clone(&first), Arc::clone(&conns));
        // The first connection of all works at once, the others when they are let go on.
        let proves =
            move |_| if conns.fetch_add(1, Ordering::SeqCst) == 0 { Proof::Yes } else { Proof::Held };
        Cache::start_as(proves, move |s| match first.swap(false, Ordering::SeqCst) {
            true => Do::Word("error", "-"),
            false => Do::Ok(content(s)),
        })
    };
    let edges = [edge(), edge()];
    let log = ChangeLog::start();
    let [parent, origin] = [Cache::full(), Cache::full()];
    let mut config = configuration(&three(&edges[0], &parent, &origin), log.address);
    with_second(&mut config, &edges[1]);
    config["settings"]["services"][0]["idempotency"] = json!("idempotency_key");
    config["settings"]["services"][0]["window"] = json!(WINDOW_MS);
    config["settings"]["limits"]["connect-timeout"] = json!(5000);
    let router = router(&config);
    let mut client = router.client();
    let fetches = || edges.iter().chain([&parent, &origin]).flat_map(Cache::all).collect::<Vec<_>>();
    client.ask(1, "pages", 1, "", b"");
    until("it may have run, and goes on", || {
        fetches().len() == 1 && conns.load(Ordering::SeqCst) == 2 && router.counter("attempts") == 2
    });
    let over = fetches()[0].at + WINDOW_MS;
    until("its window is over", || unix_ms() > over);
    edges.iter().for_each(|edge| edge.go_on.store(true, Ordering::SeqCst));
    assert_eq!(client.must().word, "503");
    // What comes on the same connections stands behind it there.
    for tag in 2..=9 {
        client.ask(tag, "pages", tag, "", b"");
        assert_eq!(client.must().word, "200");
    }
    let ids: Vec<String> = fetches().into_iter().map(|s| s.id).collect();
    assert_eq!(ids.iter().filter(|id| **id == ids[0]).count(), 1, "sent again after its window");
    assert_eq!((router.counter("window_over"), router.counter("attempts_not_sent")), (1, 1));
    assert_eq!(client.settle(), []);
}

/// A router before an edge cache, a parent and an origin that all do this with each fetch.
fn before(behaviour: fn(&Seen) -> Do, change: impl FnOnce(&mut serde_json::Value)) -> (Process, [Cache; 3]) {
    let all = [(); 3].map(|()| Cache::start(behaviour));
    let log = ChangeLog::start();
    let mut config = configuration(&three(&all[0], &all[1], &all[2]), log.address);
    change(&mut config);
    (router(&config), all)
}

fn fetches(all: &[Cache]) -> usize {
    all.iter().map(Cache::count).sum()
}

fn let_go(all: &[Cache]) {
    all.iter().for_each(|cache| cache.go_on.store(true, Ordering::SeqCst));
}

#[test]
fn a_deadline_far_below_the_times_of_the_transport_is_kept_and_the_late_answer_dropped() {
    // The server reads no abort and says nothing: what was given up there is out for 0.4 s, longer than clients wait.
    for (class, word) in [("pages", "503"), ("loan", "500")] {
        let (router, all) = before(|s| Do::Held(content(s)), |_| {});
        let mut client = router.client();
        let asked = unix_ms();
        client.ask_for(150, 1, class, 1, "", b"body of it");
        assert_eq!(client.must().word, word, "{class}");
        let waited = unix_ms() - asked;
        // Not only once the attempt is held to be over.
        assert!(waited < 500, "answered after {waited} ms");
        assert_eq!((fetches(&all), router.counter("attempts")), (1, 1));
        let_go(&all);
        until("the late answer came", || router.counter("late_answers") == 1);
        assert_eq!(client.settle(), []);
        until("its end was told", || {
            router.counter("attempts_late") + router.counter("attempts_cancelled") == 1
        });
    }
}

#[test]
fn an_answer_or_a_reset_after_the_client_took_its_request_back_tells_nobody() {
    let acts: [fn(&Seen) -> Do; 2] = [|s| Do::Held(content(s)), |_| Do::Reset];
    for act in acts {
        for class in ["pages", "loan"] {
            let (router, all) = before(act, |_| {});
            let mut client = router.client();
            client.ask(1, class, 1, "", b"body of it");
            until("it is at a server", || fetches(&all) == 1);
            client.say("UNDO", 1);
            until("it was taken back", || router.counter("left") == 1);
            let_go(&all);
            let ends = ["late", "cancelled", "broken"].map(|end| format!("attempts_{end}"));
            until("its end was told", || ends.iter().map(|end| router.counter(end)).sum::<u64>() == 1);
            assert_eq!(client.settle(), []);
            assert_eq!((router.counter("attempts"), fetches(&all)), (1, 1), "{class} was sent again");
        }
    }
}

#[test]
fn a_reset_long_after_a_request_was_begun_counts_as_one_that_may_have_run() {
    for (class, word, attempts) in [("pages", "503", None), ("loan", "500", Some(1))] {
        let (router, all) = before(|_| Do::Reset, |_| {});
        let mut client = router.client();
        client.ask_for(3000, 1, class, 1, "", b"body of it");
        until("it is at a server", || fetches(&all) == 1);
        let_go(&all);
        assert_eq!(client.must().word, word, "{class}");
        assert!(attempts.is_none_or(|n| fetches(&all) == n), "{class}: {}", fetches(&all));
        assert!(router.counter("attempts_broken") >= 1);
        assert_eq!(client.settle(), []);
    }
}
