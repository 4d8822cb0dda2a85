//! Descriptors, memory, time, and bytes that make no sense.

use crate::common::*;
use crate::*;
use std::net::TcpListener;

#[test]
fn clients_wait_in_the_backlog_without_descriptors() {
    let (edge, parent, origin, log) =
        (Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects(), ChangeLog::start());
    let config = configuration(&edge_parent_origin(&edge, &parent, &origin), log.address);
    let router = router_by(&config, "ulimit -n 40; exec \"$0\" serve");
    let mut first = router.client();
    first.send_request(1, "pages", 1, "", b"");
    assert_eq!(first.expect_answer().status, "200");
    // More than there are descriptors for; each is served once those before it have gone.
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
    let few = |c: &mut Value| c["limits"]["sockets"] = json!(60);
    let rig = rig_of(Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects(), few);
    let router = &rig.router;
    let waiting: Vec<Client> = (0..40).map(|_| router.client()).collect();
    wait_until("the places are taken", || router.counter("clients_now") == 24);
    for mut client in waiting {
        // One that was closed for others had said nothing.
        client.try_send_request(1, "pages", 5, "");
        if let Some(got) = client.next() {
            assert_eq!(got.status, "200");
        }
        assert!(router.counter("clients_now") <= 24);
    }
}

#[test]
fn malformed_bytes_close_their_connection_only() {
    let rig = rig(Cache::with_all_objects());
    let mut good = rig.router.client();
    for bytes in [
        &b"*1\r\n+PING\r\n"[..],
        b"*99999999999\r\n",
        b"*2\r\n$4\r\nPING\r\n$1\r\nx\r\n",
        b"\0\0\0\0\0",
        b"*0\r\n",
    ] {
        let mut bad = rig.router.client();
        bad.write(bytes);
        assert_eq!(bad.next(), None, "{bytes:?}");
    }
    // A request that has a tag and no sense fails, and its connection goes on.
    good.write(b"*4\r\n$2\r\nDO\r\n$1\r\n4\r\n$5\r\npages\r\n$6\r\nnofish\r\n");
    let got = good.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (4, "500"));
    good.send_request(5, "unheard-of", 1, "", b"");
    assert_eq!(good.expect_answer().status, "500");
    good.send_request(6, "pages", 1, "", b"");
    assert_eq!(good.expect_answer().status, "200");
    assert_eq!(good.answers_before_pong(), []);
}

/// A read whose first attempt ends in that way is served by the next.
fn run_retry_after(act: fn() -> FetchBehaviour) -> Rig {
    let act = once(act);
    let (edge, second) = (Cache::start(act.clone()), Cache::start(act));
    let rig =
        rig_of(edge, Cache::with_all_objects(), Cache::with_all_objects(), |c| add_second_edge(c, &second));
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
    rig
}

#[test]
fn malformed_answer_closes_the_connection_and_loses_no_request() {
    let rig = run_retry_after(|| FetchBehaviour::Bytes(b"HTTP/1.1 200 OK\r\n\r\n"));
    assert_eq!((rig.router.counter("attempts_broken"), rig.router.counter("conns_now")), (1, 1));
}

#[test]
fn answer_with_an_unknown_word_fails_its_attempt_only() {
    let rig = run_retry_after(|| FetchBehaviour::Answer { status: "what", fields: "note=hit" });
    assert_eq!((rig.router.counter("attempts_error"), rig.router.counter("conns_now")), (1, 2));
}

#[test]
fn slow_reader_does_not_delay_other_clients() {
    let rig = rig(Cache::start(|_| FetchBehaviour::Ok(vec![b'x'; 240_000])));
    let mut slow = rig.router.client();
    (1..=30).for_each(|t| {
        slow.send_request(t, "pages", t, "", b"");
    });
    wait_until("all is there for the slow one", || rig.router.counter("served") == 30);
    let mut quick = rig.router.client();
    quick.send_request(1, "pages", 99, "", b"");
    assert_eq!(quick.expect_answer().body.len(), 240_000);
    assert!(rig.router.counter("held") > 1_000_000, "the slow one's answers are still held");
    let answers: Vec<ClientAnswer> = (0..30).map(|_| slow.expect_answer()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert!(answers.iter().all(|g| g.body.len() == 240_000));
    assert_eq!(slow.answers_before_pong(), []);
    wait_until("all is given back", || rig.router.counter("held") == 0);
}

#[test]
fn answers_buffered_for_a_slow_reader_stay_within_the_memory_limit() {
    let edge = Cache::start(|_| FetchBehaviour::Ok(vec![b'x'; 240_000]));
    let little = |c: &mut Value| c["limits"]["memory_mb"] = json!(4);
    let rig = rig_of(edge, Cache::with_all_objects(), Cache::with_all_objects(), little);
    let router = &rig.router;
    let mut slow: Vec<Client> = (0..3).map(|_| router.client()).collect();
    for client in &mut slow {
        (1..=30).for_each(|t| {
            client.send_request(t, "pages", t, "", b"");
        });
    }
    wait_until("all came from the cache", || router.counter("attempts_served") == 90);
    wait_until("little is held", || router.counter("held") < 1_600_000);
    let mut quick = router.client();
    quick.send_request(1, "pages", 99, "", b"");
    assert_eq!(quick.expect_answer().status, "200");
    assert_eq!(quick.answers_before_pong(), []);
    for client in &mut slow {
        let answers: Vec<ClientAnswer> = (0..30).map(|_| client.expect_answer()).collect();
        assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
        let whole = |g: &ClientAnswer| {
            (g.status == "200" && g.body.len() == 240_000) || (g.status == "500" && g.body.is_empty())
        };
        assert!(answers.iter().all(whole));
        assert_eq!(client.answers_before_pong(), []);
    }
    assert!(router.counter("withheld") > 0);
}

#[test]
fn router_waits_for_the_address_of_its_predecessor() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = json!(held.local_addr().expect("an address").to_string());
    let waiting = thread::spawn(|| {
        rig_of(
            Cache::with_all_objects(),
            Cache::with_all_objects(),
            Cache::with_all_objects(),
            |c: &mut Value| c["listen"] = at,
        )
    });
    thread::sleep(Duration::from_millis(300));
    drop(held);
    let rig = waiting.join().expect("a router that listens");
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn attempt_to_an_unreachable_machine_ends_before_the_deadline() {
    let silent = || Cache::start(|_| FetchBehaviour::NoAnswer);
    let rig = rig_of(silent(), silent(), silent(), |_| {});
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    client.send_request(2, "loan", 2, "", b"borrow");
    let answers = [client.expect_answer(), client.expect_answer()];
    assert_eq!(tags(&answers), [1, 2]);
    // The write may have run, so it is failed and not refused.
    let word = |tag| answers.iter().find(|g| g.tag == tag).map(|g| g.status.as_str());
    assert_eq!((word(1), word(2)), (Some("503"), Some("500")));
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(rig.origin.fetch_count(), 1);
    assert_eq!((rig.router.counter("attempts_late"), rig.router.counter("attempts_cancelled")), (2, 0));
}
