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
