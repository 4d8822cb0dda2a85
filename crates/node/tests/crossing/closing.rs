//! Closes of client connections, and the shutdown of the process, at the same time as requests.

mod end;

use crate::common::*;
use rustix::net::{connect, socket, sockopt, AddressFamily, SocketType};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A router in front of an edge cache, a parent and an origin.
struct RouterHarness {
    edge: Cache,
    log: ChangeLog,
    config: Value,
    router: Process,
}

fn start_router_with(edge: Cache, change: impl FnOnce(&mut Value)) -> RouterHarness {
    let log = ChangeLog::start();
    let mut config = configuration(
        &edge_parent_origin(&edge, &Cache::with_all_objects(), &Cache::with_all_objects()),
        log.address,
    );
    // A connection may take long on a busy machine.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    RouterHarness { edge, log, config, router }
}

fn start_router(edge: Cache) -> RouterHarness {
    start_router_with(edge, |_| {})
}

/// An edge cache that answers nothing until it is released.
fn held_cache() -> (Cache, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let released_flag = Arc::clone(&released);
    let edge = Cache::start(move |fetch| {
        while !released_flag.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
        FetchBehaviour::Ok(part_body(fetch))
    });
    (edge, released)
}

fn assert_served(client: &mut Client, tag: u64) {
    client.send_request(tag, "pages", tag, "", b"");
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (tag, "200"));
}

/// How a connection ends after all of its answers were read: `Ok(0)` for a graceful close, or the error of a reset.
fn read_to_close(client: &mut Client) -> Result<usize, ErrorKind> {
    client.socket.read(&mut [0; 1]).map_err(|e| e.kind())
}

/// A client with a small receive buffer, so that answers are buffered in the router.
fn slow_reader(router: &Process) -> Client {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket is created");
    sockopt::set_socket_recv_buffer_size(&socket, 4096).expect("a small receive buffer");
    connect(&socket, &router.address).expect("the router accepts a connection");
    Client::new(TcpStream::from(socket))
}

fn pings(count: u64) -> Vec<u8> {
    let ping = |tag: u64| basaltgw_node::resp::encode(&[b"PING", tag.to_string().as_bytes(), b""]);
    (1..=count).flat_map(|n| ping(1_000_000 + n)).collect()
}

/// Whether neither bytes nor a close have arrived.
fn is_open(client: &Client) -> bool {
    client.socket.set_nonblocking(true).expect("the socket takes the option");
    let received = client.socket.peek(&mut [0; 1]).map_err(|e| e.kind());
    client.socket.set_nonblocking(false).expect("the socket takes the option");
    received == Err(ErrorKind::WouldBlock)
}

// ---- Closes because of protocol violations ----

#[test]
fn answer_written_before_a_close_over_unread_bytes_arrives_complete() {
    let harness = start_router(Cache::start(|_| FetchBehaviour::Ok(vec![b'x'; 100_000])));
    let mut client = slow_reader(&harness.router);
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the answer is written", || {
        harness.router.counter("served") == 1 && harness.router.counter("held") == 0
    });
    // The tag is repeated, with more bytes behind it than the owner reads before it closes the connection.
    let id = "00000000000000aa";
    let fields = format!("i={id},d=5000,o={id},nth=0,batch=17");
    let repeated = basaltgw_node::resp::encode(&[b"DO", b"1", b"pages", fields.as_bytes(), b""]);
    let mut socket = client.socket.try_clone().expect("the socket is duplicated");
    let writer = thread::spawn(move || socket.write_all(&[repeated, pings(5000)].concat()));
    wait_until("the router closes the connection", || harness.router.counter("closed_broken_rule") == 1);
    let _ = writer.join().expect("the writer thread ends");
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str(), answer.body.len()), (1, "200", 100_000));
    assert_eq!(read_to_close(&mut client), Ok(0), "closed gracefully");
    assert_eq!(harness.edge.fetch_count(), 1);
}

#[test]
fn malformed_bytes_fail_open_requests_and_lose_no_written_answer() {
    let released = Arc::new(AtomicBool::new(false));
    let released_flag = Arc::clone(&released);
    let harness = start_router(Cache::start(move |fetch| match fetch.field("k") {
        Some("0000000000000001") => FetchBehaviour::Ok(vec![b'x'; 100_000]),
        _ => FetchBehaviour::OkOnRelease { released: Arc::clone(&released_flag), body: part_body(fetch) },
    }));
    let mut client = slow_reader(&harness.router);
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the answer is written", || {
        harness.router.counter("served") == 1 && harness.router.counter("held") == 0
    });
    client.send_request(2, "pages", 2, "", b"");
    client.send_request(3, "pages", 3, "", b"");
    wait_until("both requests are open", || harness.router.counter("requests") == 3);
    client.write(&[&b"GET / HTTP/1.1\r\n\r\n"[..], &pings(100)].concat());
    wait_until("the malformed bytes are read", || harness.router.counter("closed_unreadable") == 1);
    released.store(true, Ordering::SeqCst);
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str(), answer.body.len()), (1, "200", 100_000));
    assert_eq!(read_to_close(&mut client), Ok(0), "nothing is served after malformed bytes");
    assert_eq!((harness.router.counter("requests"), harness.router.counter("left")), (3, 2));
}

#[test]
fn request_with_too_low_a_word_count_fails_and_reaches_no_cache() {
    let harness = start_router(Cache::with_all_objects());
    let mut client = harness.router.client();
    assert_served(&mut client, 1);
    let request = |tag: &str, object: &str, body: &[u8]| {
        let fields = format!("i=00000000000000{object},d=5000,o=00000000000000{object},nth=0,batch=17");
        basaltgw_node::resp::encode(&[b"DO", tag.as_bytes(), b"pages", fields.as_bytes(), body])
    };
    // With one element fewer the message ends before the body, and the body is malformed as the next message.
    let mut truncated = request("2", "bb", b"hello");
    truncated[1] = b'4';
    client.write(&truncated);
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (2, "500"));
    assert_eq!(read_to_close(&mut client), Ok(0));
    assert_eq!((harness.edge.fetch_count(), harness.router.counter("closed_unreadable")), (1, 1));
}

#[test]
fn client_that_sends_malformed_bytes_is_closed_at_once() {
    let harness = start_router(Cache::start(|_| FetchBehaviour::NoAnswer));
    let mut client = harness.router.client();
    let id = client.send_request(1, "pages", 1, "", b"");
    wait_until("the request is open", || harness.edge.fetch_count() == 1);
    client.write(b"GET / HTTP/1.1\r\n\r\n");
    wait_until("the request is cancelled", || harness.router.counter("left") == 1);
    wait_until("the cache reads the cancellation", || {
        harness.edge.aborted_ids.lock().expect("lock").contains(&id)
    });
    assert_eq!(harness.router.counter("closed_unreadable"), 1);
    drop(client);
    wait_until("the connection is closed", || harness.router.counter("clients_now") == 0);
}

// ---- Closes of idle connections ----

/// Runs a test several times at once: the order in which a resumed router sees concurrent events is up to the system.
fn run_in_parallel(run: fn()) {
    let threads: Vec<_> = (0..6).map(|_| thread::spawn(run)).collect();
    threads.into_iter().for_each(|thread| thread.join().expect("each run passes"));
}

#[test]
fn request_that_crosses_an_idle_close_is_answered() {
    run_in_parallel(run_request_crossing_idle_close);
}

fn run_request_crossing_idle_close() {
    let harness = start_router(Cache::with_all_objects());
    for round in 1..=5 {
        let mut client = harness.router.client();
        assert_served(&mut client, 1);
        // The router is stopped across the idle timeout, and finds the timeout and the request together when it is resumed.
        thread::sleep(Duration::from_millis(4500));
        harness.router.signal("STOP");
        thread::sleep(Duration::from_millis(2000));
        let in_time = is_open(&client);
        if in_time {
            client.send_request(2, "pages", 2, "", b"");
        }
        harness.router.signal("CONT");
        if in_time {
            assert_eq!(client.expect_answer().tag, 2);
            assert_eq!(client.answers_before_pong(), []);
            assert_eq!(harness.router.counter("requests"), round + 1);
            return;
        }
    }
    panic!("the router was never stopped before the idle close");
}

#[test]
fn request_that_crosses_a_slot_reclaim_is_answered_or_reaches_no_cache() {
    let harness = start_router_with(Cache::with_all_objects(), |c| c["limits"]["sockets"] = json!(64));
    let mut idle: Vec<Client> = Vec::new();
    let (mut sent, mut answered, mut closed) = (0, 0, 0);
    // All slots are taken by idle clients. Each new client makes the router close an idle one, while the idle ones send requests again.
    for round in 0..40 {
        let mut new = harness.router.client();
        new.send_request(1, "pages", 1, "", b"");
        sent += 1;
        idle.iter_mut().for_each(|c| c.try_send_request(100 + round, "pages", 1, ""));
        let mut remaining = Vec::new();
        for mut client in std::mem::take(&mut idle) {
            sent += 1;
            match client.next() {
                Some(answer) => {
                    // Under this load the router rejects some requests, which is an answer too.
                    assert!(
                        answer.tag == 100 + round && ["200", "503"].contains(&answer.status.as_str()),
                        "{answer:?}"
                    );
                    answered += 1;
                    remaining.push(client);
                }
                None => closed += 1,
            }
        }
        assert_eq!(new.expect_answer().tag, 1);
        answered += 1;
        remaining.push(new);
        idle = remaining;
    }
    assert!(answered + closed == sent && harness.router.counter("closed_for_room") > 0);
    assert_eq!(
        harness.router.counter("requests"),
        answered,
        "a request without an answer was never accepted"
    );
    assert_eq!(harness.router.counter("served") + harness.router.counter("refused"), answered);
}

#[test]
fn slot_reclaim_closes_the_connection_gracefully() {
    let harness = start_router_with(Cache::with_all_objects(), |c| c["limits"]["sockets"] = json!(64));
    let mut idle: Vec<Client> = (0..60).map(|_| harness.router.client()).collect();
    // The clients whose slots are reclaimed have been answered, and send nothing.
    for (tag, client) in (1..).zip(&mut idle) {
        client.try_send_request(tag, "pages", tag, "");
    }
    for (tag, mut client) in (1..).zip(idle) {
        if let Some(answer) = client.next() {
            assert_eq!((answer.tag, answer.status.as_str()), (tag, "200"));
            assert_eq!(read_to_close(&mut client), Ok(0));
        }
    }
}
