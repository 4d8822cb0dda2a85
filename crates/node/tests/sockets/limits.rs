//! Limits on descriptors, memory and time, and malformed bytes.

use crate::common::*;
use crate::*;
use std::net::TcpListener;

#[test]
fn clients_wait_in_the_backlog_without_descriptors() {
    let (edge, parent, origin, log) =
        (Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects(), ChangeLog::start());
    let config = configuration(&edge_parent_origin(&edge, &parent, &origin), log.address);
    let router = router_from_shell(&config, "ulimit -n 40; exec \"$0\" serve");
    let mut first = router.client();
    first.send_request(1, "pages", 1, "", b"");
    assert_eq!(first.expect_answer().status, "200");
    // More clients than descriptors; each is served once those before it have disconnected.
    let waiting: Vec<Client> = (0..60).map(|_| router.client()).collect();
    for (n, mut client) in waiting.into_iter().enumerate() {
        client.send_request(1, "pages", n as u64, "", b"");
        assert_eq!(client.expect_answer().status, "200", "client {n}");
    }
    first.send_request(2, "pages", 2, "", b"");
    assert_eq!(first.expect_answer().tag, 2);
    assert_eq!(first.answers_before_pong(), []);
    assert_eq!(router.counter("served"), 62);
}

#[test]
fn accepted_clients_leave_descriptors_for_servers() {
    let few_sockets = |c: &mut Value| c["limits"]["sockets"] = json!(60);
    let harness = start_router_with(
        Cache::with_all_objects(),
        Cache::with_all_objects(),
        Cache::with_all_objects(),
        few_sockets,
    );
    let router = &harness.router;
    let waiting: Vec<Client> = (0..40).map(|_| router.client()).collect();
    wait_until("all client slots are taken", || router.counter("clients_now") == 24);
    for mut client in waiting {
        // A client whose slot was reclaimed had sent nothing.
        client.try_send_request(1, "pages", 5, "");
        if let Some(answer) = client.next() {
            assert_eq!(answer.status, "200");
        }
        assert!(router.counter("clients_now") <= 24);
    }
}

#[test]
fn malformed_bytes_close_their_connection_only() {
    let harness = start_router(Cache::with_all_objects());
    let mut well_behaved = harness.router.client();
    for bytes in [
        &b"*1\r\n+PING\r\n"[..],
        b"*99999999999\r\n",
        b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n",
        b"\0\0\0\0\0",
        b"*0\r\n",
    ] {
        let mut misbehaving = harness.router.client();
        misbehaving.write(bytes);
        assert_eq!(misbehaving.next(), None, "{bytes:?}");
    }
    // A malformed request with a tag fails, and its connection stays open.
    well_behaved.write(b"*4\r\n$2\r\nDO\r\n$1\r\n4\r\n$5\r\npages\r\n$6\r\nnofish\r\n");
    let answer = well_behaved.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (4, "500"));
    well_behaved.send_request(5, "unheard-of", 1, "", b"");
    assert_eq!(well_behaved.expect_answer().status, "500");
    well_behaved.send_request(6, "pages", 1, "", b"");
    assert_eq!(well_behaved.expect_answer().status, "200");
    assert_eq!(well_behaved.answers_before_pong(), []);
}

/// Asserts that a read whose first attempt is handled by `behaviour` is served by the next attempt.
fn run_retry_after(behaviour: fn() -> FetchBehaviour) -> RouterHarness {
    let behaviour = on_first_fetch(behaviour);
    let (edge, second) = (Cache::start(behaviour.clone()), Cache::start(behaviour));
    let harness = start_router_with(edge, Cache::with_all_objects(), Cache::with_all_objects(), |c| {
        add_second_edge(c, &second)
    });
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
    harness
}

#[test]
fn malformed_answer_closes_the_connection_and_loses_no_request() {
    let harness = run_retry_after(|| FetchBehaviour::Bytes(b"HTTP/1.1 200 OK\r\n\r\n"));
    assert_eq!((harness.router.counter("attempts_broken"), harness.router.counter("conns_now")), (1, 1));
}

#[test]
fn answer_with_an_unknown_word_fails_its_attempt_only() {
    let harness = run_retry_after(|| FetchBehaviour::Answer { status: "what", fields: "note=hit" });
    assert_eq!((harness.router.counter("attempts_error"), harness.router.counter("conns_now")), (1, 2));
}

#[test]
fn slow_reader_does_not_delay_other_clients() {
    let harness = start_router(Cache::start(|_| FetchBehaviour::Ok(vec![b'x'; 240_000])));
    let mut slow = harness.router.client();
    (1..=30).for_each(|t| {
        slow.send_request(t, "pages", t, "", b"");
    });
    wait_until("the cache has answered all requests of the slow reader", || {
        harness.router.counter("served") == 30
    });
    let mut fast = harness.router.client();
    fast.send_request(1, "pages", 99, "", b"");
    assert_eq!(fast.expect_answer().body.len(), 240_000);
    assert!(harness.router.counter("held") > 1_000_000, "the answers for the slow reader are still buffered");
    let answers: Vec<ClientAnswer> = (0..30).map(|_| slow.expect_answer()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert!(answers.iter().all(|answer| answer.body.len() == 240_000));
    assert_eq!(slow.answers_before_pong(), []);
    wait_until("no bytes are buffered", || harness.router.counter("held") == 0);
}

#[test]
fn answers_buffered_for_a_slow_reader_stay_within_the_memory_limit() {
    let edge = Cache::start(|_| FetchBehaviour::Ok(vec![b'x'; 240_000]));
    let small_memory = |c: &mut Value| c["limits"]["memory_mb"] = json!(4);
    let harness = start_router_with(edge, Cache::with_all_objects(), Cache::with_all_objects(), small_memory);
    let router = &harness.router;
    let mut slow: Vec<Client> = (0..3).map(|_| router.client()).collect();
    for client in &mut slow {
        (1..=30).for_each(|t| {
            client.send_request(t, "pages", t, "", b"");
        });
    }
    wait_until("the cache has answered all requests", || router.counter("attempts_served") == 90);
    wait_until("the buffered bytes are within the limit", || router.counter("held") < 1_600_000);
    let mut fast = router.client();
    fast.send_request(1, "pages", 99, "", b"");
    assert_eq!(fast.expect_answer().status, "200");
    assert_eq!(fast.answers_before_pong(), []);
    for client in &mut slow {
        let answers: Vec<ClientAnswer> = (0..30).map(|_| client.expect_answer()).collect();
        assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
        let complete_or_failed = |answer: &ClientAnswer| {
            (answer.status == "200" && answer.body.len() == 240_000)
                || (answer.status == "500" && answer.body.is_empty())
        };
        assert!(answers.iter().all(complete_or_failed));
        assert_eq!(client.answers_before_pong(), []);
    }
    assert!(router.counter("withheld") > 0);
}

#[test]
fn router_waits_for_the_address_of_its_predecessor() {
    let predecessor = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = json!(predecessor.local_addr().expect("a local address").to_string());
    let waiting = thread::spawn(|| {
        start_router_with(
            Cache::with_all_objects(),
            Cache::with_all_objects(),
            Cache::with_all_objects(),
            |c: &mut Value| c["listen"] = address,
        )
    });
    thread::sleep(Duration::from_millis(300));
    drop(predecessor);
    let harness = waiting.join().expect("the router listens");
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn attempt_to_an_unreachable_machine_ends_before_the_deadline() {
    let silent = || Cache::start(|_| FetchBehaviour::NoAnswer);
    let harness = start_router_with(silent(), silent(), silent(), |_| {});
    let mut client = harness.router.client();
    client.send_request(1, "pages", 1, "", b"");
    client.send_request(2, "loan", 2, "", b"borrow");
    let answers = [client.expect_answer(), client.expect_answer()];
    assert_eq!(tags(&answers), [1, 2]);
    // The write may have been executed, so it fails instead of being rejected.
    let status = |tag| answers.iter().find(|answer| answer.tag == tag).map(|answer| answer.status.as_str());
    assert_eq!((status(1), status(2)), (Some("503"), Some("500")));
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(harness.origin.fetch_count(), 1);
    assert_eq!(
        (harness.router.counter("attempts_late"), harness.router.counter("attempts_cancelled")),
        (2, 0)
    );
}
