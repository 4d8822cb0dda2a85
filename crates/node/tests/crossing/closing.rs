//! Connections to clients that are closed, and the end of the process.

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

/// A router before an edge cache, a parent and an origin.
struct Rig {
    edge: Cache,
    log: ChangeLog,
    config: Value,
    router: Process,
}

fn rig_of(edge: Cache, change: impl FnOnce(&mut Value)) -> Rig {
    let log = ChangeLog::start();
    let mut config = configuration(
        &edge_parent_origin(&edge, &Cache::with_all_objects(), &Cache::with_all_objects()),
        log.address,
    );
    // On a busy machine a connection takes its time.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    Rig { edge, log, config, router }
}

fn rig(edge: Cache) -> Rig {
    rig_of(edge, |_| {})
}

/// An edge cache that answers nothing until it is released.
fn held_cache() -> (Cache, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let gate = Arc::clone(&released);
    let edge = Cache::start(move |s| {
        while !gate.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
        FetchBehaviour::Ok(part_body(s))
    });
    (edge, released)
}

fn assert_served(client: &mut Client, tag: u64) {
    client.send_request(tag, "pages", tag, "", b"");
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (tag, "200"));
}

/// How a connection ends from which all answers are read: by a close in order, or by a reset.
fn read_to_close(client: &mut Client) -> Result<usize, ErrorKind> {
    client.socket.read(&mut [0; 1]).map_err(|e| e.kind())
}

/// A client that takes few bytes at a time, so that answers wait on the router's side.
fn slow_reader(router: &Process) -> Client {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&socket, 4096).expect("a small buffer");
    connect(&socket, &router.address).expect("a connection");
    Client::new(TcpStream::from(socket))
}

fn pings(many: u64) -> Vec<u8> {
    let ping = |tag: u64| basaltgw_node::resp::encode(&[b"PING", tag.to_string().as_bytes(), b""]);
    (1..=many).flat_map(|n| ping(1_000_000 + n)).collect()
}

/// Nothing has been heard of its end yet.
fn is_open(client: &Client) -> bool {
    client.socket.set_nonblocking(true).expect("a socket");
    let heard = client.socket.peek(&mut [0; 1]).map_err(|e| e.kind());
    client.socket.set_nonblocking(false).expect("a socket");
    heard == Err(ErrorKind::WouldBlock)
}

// ---- Closes for what a client did ----

#[test]
fn answer_written_before_a_close_over_unread_bytes_arrives_complete() {
    let rig = rig(Cache::start(|_| FetchBehaviour::Ok(vec![b'x'; 100_000])));
    let mut client = slow_reader(&rig.router);
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the answer is written", || {
        rig.router.counter("served") == 1 && rig.router.counter("held") == 0
    });
    // The tag a second time, and more behind it than the owner takes before it closes.
    let id = "00000000000000aa";
    let fields = format!("i={id},d=5000,o={id},nth=0,batch=17");
    let again = basaltgw_node::resp::encode(&[b"DO", b"1", b"pages", fields.as_bytes(), b""]);
    let mut all = client.socket.try_clone().expect("a socket");
    let burst = thread::spawn(move || all.write_all(&[again, pings(5000)].concat()));
    wait_until("the router closes", || rig.router.counter("closed_broken_rule") == 1);
    let _ = burst.join().expect("a thread that ends");
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str(), got.body.len()), (1, "200", 100_000));
    assert_eq!(read_to_close(&mut client), Ok(0), "closed in order");
    assert_eq!(rig.edge.fetch_count(), 1);
}

#[test]
fn malformed_bytes_fail_open_requests_and_lose_no_written_answer() {
    let released = Arc::new(AtomicBool::new(false));
    let gate = Arc::clone(&released);
    let rig = rig(Cache::start(move |s| match s.field("k") {
        Some("0000000000000001") => FetchBehaviour::Ok(vec![b'x'; 100_000]),
        _ => FetchBehaviour::OkOnRelease { released: Arc::clone(&gate), body: part_body(s) },
    }));
    let mut client = slow_reader(&rig.router);
    client.send_request(1, "pages", 1, "", b"");
    wait_until("the answer is written", || {
        rig.router.counter("served") == 1 && rig.router.counter("held") == 0
    });
    client.send_request(2, "pages", 2, "", b"");
    client.send_request(3, "pages", 3, "", b"");
    wait_until("both are open", || rig.router.counter("requests") == 3);
    client.write(&[&b"GET / HTTP/1.1\r\n\r\n"[..], &pings(100)].concat());
    wait_until("the garbage is read", || rig.router.counter("closed_unreadable") == 1);
    released.store(true, Ordering::SeqCst);
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str(), got.body.len()), (1, "200", 100_000));
    assert_eq!(read_to_close(&mut client), Ok(0), "who sends garbage is served nothing more");
    assert_eq!((rig.router.counter("requests"), rig.router.counter("left")), (3, 2));
}

#[test]
fn request_with_too_low_a_word_count_fails_and_reaches_no_cache() {
    let rig = rig(Cache::with_all_objects());
    let mut client = rig.router.client();
    assert_served(&mut client, 1);
    let request = |tag: &str, object: &str, body: &[u8]| {
        let fields = format!("i=00000000000000{object},d=5000,o=00000000000000{object},nth=0,batch=17");
        basaltgw_node::resp::encode(&[b"DO", tag.as_bytes(), b"pages", fields.as_bytes(), body])
    };
    // It is whole without its body, which then can't be read.
    let mut few = request("2", "bb", b"hello");
    few[1] = b'4';
    client.write(&few);
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (2, "500"));
    assert_eq!(read_to_close(&mut client), Ok(0));
    assert_eq!((rig.edge.fetch_count(), rig.router.counter("closed_unreadable")), (1, 1));
}

#[test]
fn client_that_sends_malformed_bytes_is_closed_at_once() {
    let rig = rig(Cache::start(|_| FetchBehaviour::NoAnswer));
    let mut client = rig.router.client();
    let id = client.send_request(1, "pages", 1, "", b"");
    wait_until("it is open", || rig.edge.fetch_count() == 1);
    client.write(b"GET / HTTP/1.1\r\n\r\n");
    wait_until("its request is given up", || rig.router.counter("left") == 1);
    wait_until("its cache is told", || rig.edge.aborted_ids.lock().expect("lock").contains(&id));
    assert_eq!(rig.router.counter("closed_unreadable"), 1);
    drop(client);
    wait_until("it is gone", || rig.router.counter("clients_now") == 0);
}

// ---- Closes of connections at rest ----

/// What a router meets first when it wakes is up to the system: several at once meet it in either order.
fn run_in_parallel(run: fn()) {
    let all: Vec<_> = (0..6).map(|_| thread::spawn(run)).collect();
    all.into_iter().for_each(|one| one.join().expect("each holds"));
}

#[test]
fn request_that_crosses_an_idle_close_is_answered() {
    run_in_parallel(run_request_crossing_idle_close);
}

fn run_request_crossing_idle_close() {
    let rig = rig(Cache::with_all_objects());
    for round in 1..=5 {
        let mut client = rig.router.client();
        assert_served(&mut client, 1);
        // The router sleeps over the time of its close, and finds the request beside that when it wakes.
        thread::sleep(Duration::from_millis(4500));
        rig.router.signal("STOP");
        thread::sleep(Duration::from_millis(2000));
        let in_time = is_open(&client);
        if in_time {
            client.send_request(2, "pages", 2, "", b"");
        }
        rig.router.signal("CONT");
        if in_time {
            assert_eq!(client.expect_answer().tag, 2);
            assert_eq!(client.answers_before_pong(), []);
            assert_eq!(rig.router.counter("requests"), round + 1);
            return;
        }
    }
    panic!("the router was never stopped in time");
}

#[test]
fn request_that_crosses_a_slot_reclaim_is_answered_or_reaches_no_cache() {
    let rig = rig_of(Cache::with_all_objects(), |c| c["limits"]["sockets"] = json!(64));
    let mut crowd: Vec<Client> = Vec::new();
    let (mut asked, mut answered, mut closed) = (0, 0, 0);
    // As many rest as there are places; each that comes has room made among them while they ask again.
    for round in 0..40 {
        let mut new = rig.router.client();
        new.send_request(1, "pages", 1, "", b"");
        asked += 1;
        crowd.iter_mut().for_each(|c| c.try_send_request(100 + round, "pages", 1, ""));
        let mut stay = Vec::new();
        for mut client in std::mem::take(&mut crowd) {
            asked += 1;
            match client.next() {
                Some(got) => {
                    // Under such a load the module refuses some; that is an answer too.
                    assert!(
                        got.tag == 100 + round && ["200", "503"].contains(&got.status.as_str()),
                        "{got:?}"
                    );
                    answered += 1;
                    stay.push(client);
                }
                None => closed += 1,
            }
        }
        assert_eq!(new.expect_answer().tag, 1);
        answered += 1;
        stay.push(new);
        crowd = stay;
    }
    assert!(answered + closed == asked && rig.router.counter("closed_for_room") > 0);
    assert_eq!(rig.router.counter("requests"), answered, "what is not answered was never taken in");
    assert_eq!(rig.router.counter("served") + rig.router.counter("refused"), answered);
}

#[test]
fn slot_reclaim_closes_the_connection_gracefully() {
    let rig = rig_of(Cache::with_all_objects(), |c| c["limits"]["sockets"] = json!(64));
    let mut crowd: Vec<Client> = (0..60).map(|_| rig.router.client()).collect();
    // Those that go for others have had their answers, and send nothing.
    for (tag, client) in (1..).zip(&mut crowd) {
        client.try_send_request(tag, "pages", tag, "");
    }
    for (tag, mut client) in (1..).zip(crowd) {
        if let Some(got) = client.next() {
            assert_eq!((got.tag, got.status.as_str()), (tag, "200"));
            assert_eq!(read_to_close(&mut client), Ok(0));
        }
    }
}
