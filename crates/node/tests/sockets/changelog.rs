//! The change log, endpoint lists, and the shutdown.

use crate::common::frame_kind::{COMPLETE_LIST, LIST_UPDATE, PURGE_GROUP, PURGE_OBJECT};
use crate::common::*;
use crate::*;

/// A frame kind that the router does not know.
const UNKNOWN_KIND: u8 = 9;

#[test]
fn gap_in_the_change_log_is_requested_again_without_repeats() {
    let harness = start_router(Cache::with_all_objects());
    *harness.log.skip_once.lock().expect("lock") = Some(2);
    let mut purge = 1u64.to_be_bytes().to_vec();
    purge.extend_from_slice(&unix_ms().to_be_bytes());
    harness.log.publish(2, PURGE_OBJECT, &purge);
    purge[7] = 2;
    harness.log.publish(3, PURGE_OBJECT, &purge);
    wait_until("the router has reconnected", || {
        harness.log.resume_positions.lock().expect("lock").len() >= 2
    });
    assert_eq!(harness.log.resume_positions.lock().expect("lock")[..2], [1, 1]);
    wait_until("both purges are received", || harness.router.counter("purges") == 2);
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    client.send_request(2, "pages", 2, "", b"");
    client.send_request(3, "pages", 3, "", b"");
    assert_eq!(tags(&[client.expect_answer(), client.expect_answer(), client.expect_answer()]), [1, 2, 3]);
    assert_eq!(client.answers_before_pong(), []);
    for fetch in harness.edge.fetches() {
        let purged = fetch.field("k") != Some("0000000000000003");
        assert_eq!(fetch.field("oldest").is_some(), purged, "{fetch:?}");
    }
    assert_eq!(harness.router.counter("purges"), 2);
}

#[test]
fn silent_or_malformed_change_log_is_reconnected() {
    let harness = start_router(Cache::with_all_objects());
    wait_until("the router follows the change log", || {
        !harness.log.resume_positions.lock().expect("lock").is_empty()
    });
    harness.log.heartbeats.store(false, Ordering::SeqCst);
    wait_until("silence closes a connection", || {
        harness.log.resume_positions.lock().expect("lock").len() >= 2
    });
    harness.log.heartbeats.store(true, Ordering::SeqCst);
    let connected = harness.log.resume_positions.lock().expect("lock").len();
    harness.log.publish(2, UNKNOWN_KIND, b"nonsense");
    harness.log.publish(3, PURGE_GROUP, &[&17u16.to_be_bytes()[..], &unix_ms().to_be_bytes()[..]].concat());
    // The unreadable frame ends a connection; received a second time, it is skipped, and the next event is applied.
    wait_until("the readable event is received", || harness.router.counter("purges") == 1);
    assert!(harness.log.resume_positions.lock().expect("lock").len() > connected);
    assert!(harness.router.has_logged("event 2 skipped"));
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
    assert!(
        harness.edge.fetches()[0].field("oldest").is_some(),
        "the purge of the group limits the age of copies"
    );
}

#[test]
fn purge_limits_the_age_of_copies_from_its_own_time() {
    let harness = start_router(Cache::with_all_objects());
    // A purge that arrives without delay also shows the current time: the router's own wall clock may be wrong.
    let first_purge = unix_ms();
    harness.log.publish(2, PURGE_OBJECT, &[8u64.to_be_bytes(), first_purge.to_be_bytes()].concat());
    wait_until("the event is received", || harness.router.counter("purges") == 1);
    std::thread::sleep(std::time::Duration::from_millis(1700));
    let purged = first_purge + 100;
    harness.log.publish(3, PURGE_OBJECT, &[1u64.to_be_bytes(), purged.to_be_bytes()].concat());
    wait_until("the event is received", || harness.router.counter("purges") == 2);
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    client.send_request(2, "pages", 2, "", b"");
    assert_eq!(tags(&[client.expect_answer(), client.expect_answer()]), [1, 2]);
    assert_eq!(client.answers_before_pong(), []);
    for fetch in harness.edge.fetches() {
        let Some(oldest) =
            fetch.field("oldest").map(|a| a.parse::<u64>().expect("the age is in whole milliseconds"))
        else {
            assert_eq!(fetch.field("k"), Some("0000000000000002"));
            continue;
        };
        assert_eq!(fetch.field("k"), Some("0000000000000001"));
        assert!(
            oldest > 1000 && fetch.received_ms - oldest >= purged,
            "a copy from before the purge is accepted"
        );
    }
}

#[test]
fn draining_cache_is_sent_nothing_and_a_new_address_gets_a_new_connection() {
    let second = Cache::with_all_objects();
    let harness = start_router_with(
        Cache::with_all_objects(),
        Cache::with_all_objects(),
        Cache::with_all_objects(),
        |c| add_second_edge(c, &second),
    );
    let RouterHarness { edge, log, router, .. } = &harness;
    let mut client = router.client();
    let round = |client: &mut Client, from: u64| {
        (from..from + 20).for_each(|t| {
            client.send_request(t, "pages", t * 7919, "", b"");
        });
        let answers: Vec<ClientAnswer> = (0..20).map(|_| client.expect_answer()).collect();
        assert_eq!(tags(&answers), (from..from + 20).collect::<Vec<_>>());
        assert!(answers.iter().all(|answer| answer.status == "200"));
        assert_eq!(client.answers_before_pong(), []);
    };
    round(&mut client, 1);
    let before = edge.fetch_count();
    assert!(before > 0 && second.fetch_count() > 0, "both caches are in use");
    log.publish(2, LIST_UPDATE, &record(EDGE, edge.address, EndpointState::Draining, EDGE_KIND));
    wait_until("the event is received", || router.counter("lists") == 2);
    round(&mut client, 101);
    assert_eq!(edge.fetch_count(), before, "a draining cache got a request");
    // The server returns under its id at another address; the old address is no longer its own.
    let moved_cache = Cache::with_all_objects();
    log.publish(3, LIST_UPDATE, &record(EDGE, moved_cache.address, EndpointState::Up, EDGE_KIND));
    wait_until("the event is received", || router.counter("lists") == 3);
    round(&mut client, 201);
    assert_eq!(edge.fetch_count(), before);
    assert!(moved_cache.fetch_count() > 0, "a server keeps its id at another address");
}

#[test]
fn ping_reports_serving_once_the_list_is_received() {
    let no_servers = |c: &mut Value| c["known"] = json!({"seq": 0, "results": []});
    let harness = start_router_with(
        Cache::with_all_objects(),
        Cache::with_all_objects(),
        Cache::with_all_objects(),
        no_servers,
    );
    let RouterHarness { edge, origin, log, router, .. } = &harness;
    let mut client = router.client();
    client.send_message("PING", 8);
    assert_eq!(client.expect_answer().status, "not_serving");
    let list = [
        record(EDGE, edge.address, EndpointState::Up, EDGE_KIND),
        record(ORIGIN, origin.address, EndpointState::Up, ORIGIN_KIND),
    ]
    .concat();
    log.publish(1, COMPLETE_LIST, &list);
    wait_until("the list is applied", || router.counter("lists") == 1);
    client.send_message("PING", 9);
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (9, "serving"));
    client.send_request(10, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn signal_during_startup_takes_effect() {
    for _ in 0..5 {
        let mut harness = start_router(Cache::with_all_objects());
        assert_eq!(harness.router.counter("requests"), 0);
        harness.router.signal("TERM");
        assert!(harness.router.expect_exit().success());
    }
}

#[test]
fn sigterm_under_load_loses_no_request_before_exit() {
    const SLOW: u64 = 0xffff;
    let slow_object = format!("{SLOW:016x}");
    let edge = Cache::start(move |fetch| FetchBehaviour::OkAfter {
        delay_ms: if fetch.field("k") == Some(&slow_object) { 2000 } else { 150 },
        body: part_body(fetch),
    });
    let mut harness = start_router(edge);
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let address = harness.router.address;
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            let mut client = harness.router.client();
            thread::spawn(move || {
                let mut tag = 0;
                while !stop.load(Ordering::SeqCst) {
                    tag += 1;
                    client.send_request(tag, "pages", tag, "", b"");
                    client.send_request(tag + 100_000, "pages", tag + 9000, "", b"");
                    assert_eq!(tags(&[client.expect_answer(), client.expect_answer()]), [tag, tag + 100_000]);
                    answered.lock().expect("lock").push(tag);
                }
                // The router closes the connection only when no request is open on it.
                assert_eq!(client.next(), None);
            })
        })
        .collect();
    wait_until("the clients are served", || answered.lock().expect("lock").len() > 8);
    let served = answered.lock().expect("lock").len();
    let mut slow_client = harness.router.client();
    slow_client.send_request_with_deadline(60_000, 1, "pages", SLOW, "", b"");
    wait_until("the slow request reaches the cache", || {
        harness.edge.fetches().iter().any(|fetch| fetch.field("k") == Some("000000000000ffff"))
    });
    harness.router.signal("TERM");
    wait_until("the shutdown has started", || harness.router.has_logged("shutdown requested"));
    let shutdown_start = Instant::now();
    // New clients are accepted for a while; on a busy machine the connect may come too late to show that.
    match std::net::TcpStream::connect(address) {
        Ok(socket) => {
            let mut late_client = Client::new(socket);
            late_client.send_request(1, "pages", 77, "", b"");
            assert_eq!(late_client.expect_answer().status, "200");
        }
        Err(e) => assert!(
            shutdown_start.elapsed() > Duration::from_millis(600),
            "the router stopped accepting too early: {e}"
        ),
    }
    wait_until("more requests are served", || {
        answered.lock().expect("lock").len() > served || shutdown_start.elapsed() > Duration::from_millis(400)
    });
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("each client got all answers");
    }
    assert_eq!(
        slow_client.expect_answer().status,
        "200",
        "a request that outlasts the end of accepting is answered"
    );
    assert_eq!(slow_client.next(), None);
    assert!(harness.router.expect_exit().success());
    wait_until("the final counters are logged", || harness.router.has_logged("ended: clients="));
}
