//! The change log: silence, reloads and endpoint lists at the same time as each other and as requests.

mod lists;
mod slow;

use crate::common::frame_kind::{COMPLETE_LIST, PURGE_OBJECT};
use crate::common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A router in front of an edge cache, a parent and an origin.
struct RouterHarness {
    edge: Cache,
    origin: Cache,
    log: ChangeLog,
    config: Value,
    router: Process,
}

fn start_router_with(log: ChangeLog, change: impl FnOnce(&mut Value)) -> RouterHarness {
    let (edge, origin) = (Cache::with_all_objects(), Cache::with_all_objects());
    let mut config =
        configuration(&edge_parent_origin(&edge, &Cache::with_all_objects(), &origin), log.address);
    // A connection may take long on a busy machine.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    RouterHarness { edge, origin, log, config, router }
}

fn start_router() -> RouterHarness {
    start_router_with(ChangeLog::start(), |_| {})
}

/// The payload of an object purge that happened now.
fn purge(object: u64) -> Vec<u8> {
    [object.to_be_bytes(), unix_ms().to_be_bytes()].concat()
}

/// How many connections to the change log have been made.
fn connection_count(log: &ChangeLog) -> usize {
    log.resume_positions.lock().expect("lock").len()
}

#[test]
fn missing_event_named_by_empty_frames_is_requested_again() {
    let harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    harness.log.heartbeats_carry_newest.store(true, Ordering::SeqCst);
    harness.log.events_withheld_up_to.store(1, Ordering::SeqCst);
    harness.log.publish(2, PURGE_OBJECT, &purge(77));
    wait_until("the event is received", || harness.router.counter("purges") == 1);
    assert_eq!((connection_count(&harness.log), harness.router.counter("log_behind")), (2, 1));
    assert_eq!(
        harness.log.resume_positions.lock().expect("lock")[..],
        [1, 1],
        "the router requests the events after the last known one"
    );
    // The new connection stays, and sends the later events.
    harness.log.publish(3, PURGE_OBJECT, &purge(78));
    wait_until("the next event is received", || harness.router.counter("purges") == 2);
}

#[test]
fn rechecks_for_an_event_that_never_comes_back_off() {
    let start = Instant::now();
    let harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    harness.log.heartbeats_carry_newest.store(true, Ordering::SeqCst);
    harness.log.events_withheld_up_to.store(usize::MAX, Ordering::SeqCst);
    harness.log.publish(2, PURGE_OBJECT, &purge(77));
    // Reconnects follow after 0.1, 0.2, 0.4, 0.8 and 1.6 s, 3.1 s in all.
    wait_until("the router has reconnected several times", || connection_count(&harness.log) >= 6);
    assert!(start.elapsed() >= Duration::from_millis(3100), "{:?}", start.elapsed());
    assert_eq!(harness.router.counter("purges"), 0);
    let connections = connection_count(&harness.log);
    harness.log.events_withheld_up_to.store(0, Ordering::SeqCst);
    wait_until("the event is received", || harness.router.counter("purges") == 1);
    assert!(
        connection_count(&harness.log) <= connections + 1,
        "the event is received on the connection that was open"
    );
}

#[test]
fn silent_reconnect_is_replaced_by_another_connection() {
    let harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    let stopped = Instant::now();
    harness.log.silent_up_to.store(2, Ordering::SeqCst);
    harness.log.publish(2, PURGE_OBJECT, &purge(77));
    wait_until("the event is received", || harness.router.counter("purges") == 1);
    // From 4 s after its watch stopped, a router counts as notified of every event: the purge has to be received before that.
    assert!(stopped.elapsed() < Duration::from_secs(4), "{:?}", stopped.elapsed());
    assert_eq!((connection_count(&harness.log), harness.router.counter("log_quiet")), (3, 2));
}

// ---- Reloads ----

/// Reloads the router with the change log at this address, and waits for the reload.
fn reload(harness: &mut RouterHarness, changelog: SocketAddr) {
    let before = harness.router.counter("reloads");
    harness.config["changelog"] = json!(changelog.to_string());
    harness.router.write_configuration(&harness.config.to_string());
    harness.router.signal("HUP");
    wait_until("the configuration is reloaded", || harness.router.counter("reloads") == before + 1);
}

#[test]
fn reload_in_the_middle_of_a_frame_loses_and_repeats_no_event() {
    let mut harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    // The next change log sends a part of event 3, and then nothing more.
    let partial_log = TcpListener::bind("127.0.0.1:0").expect("a free port");
    reload(&mut harness, partial_log.local_addr().expect("a local address"));
    partial_log.set_nonblocking(true).expect("the listener does not block");
    let mut taken = None;
    poll_until("the router connects", || {
        taken = partial_log.accept().ok();
        taken.is_some()
    });
    let (mut socket, _) = taken.expect("the router connected");
    socket.set_nonblocking(false).expect("the socket blocks");
    let mut from = [0; 8];
    socket.read_exact(&mut from).expect("the router sends its last event");
    assert_eq!(u64::from_be_bytes(from), 1);
    let third = frame(3, PURGE_OBJECT, &purge(3));
    socket
        .write_all(&[&frame(2, PURGE_OBJECT, &purge(2)), &third[..third.len() - 1]].concat())
        .expect("the socket takes the bytes");
    wait_until("event 2 is received", || harness.router.counter("purges") == 1);
    (2..=4).for_each(|n| harness.log.publish(n, PURGE_OBJECT, &purge(n)));
    let original = harness.log.address;
    reload(&mut harness, original);
    wait_until("the remaining events are received", || harness.router.counter("purges") == 3);
    assert_eq!(
        harness.log.resume_positions.lock().expect("lock")[..],
        [1, 2],
        "the router resumes after the last complete event"
    );
    // The router closes the replaced connection, and does not wait for more on it.
    socket.set_read_timeout(Some(WAIT_LIMIT)).expect("the timeout is set");
    assert!(matches!(socket.read(&mut from), Ok(0) | Err(_)));
    assert_eq!(harness.router.counter("purges"), 3);
}

#[test]
fn event_on_a_connection_being_replaced_is_notified_once() {
    let mut harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    let other = ChangeLog::start();
    (2..=5).for_each(|n| other.publish(n, PURGE_OBJECT, &purge(n)));
    // The resumed router sees two events on the old connection and the reload that replaces it at once.
    harness.router.signal("STOP");
    (2..=3).for_each(|n| harness.log.publish(n, PURGE_OBJECT, &purge(n)));
    wait_until("both events are written", || harness.log.written_up_to.load(Ordering::SeqCst) == 3);
    harness.config["changelog"] = json!(other.address.to_string());
    harness.router.write_configuration(&harness.config.to_string());
    harness.router.signal("HUP");
    harness.router.signal("CONT");
    wait_until("all events are received", || harness.router.counter("purges") >= 4);
    wait_until("the configuration is reloaded", || harness.router.counter("reloads") == 1);
    assert_eq!((harness.router.counter("purges"), connection_count(&other)), (4, 1));
}

/// An address at which connects are not answered, since the backlog is full.
struct UnresponsiveServer {
    address: SocketAddr,
    _waiting: Vec<TcpStream>,
    _listener: TcpListener,
}

fn unresponsive_server() -> UnresponsiveServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    rustix::net::listen(&listener, 0).expect("a short backlog");
    let address = listener.local_addr().expect("a local address");
    let waiting: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok())
            .collect();
    UnresponsiveServer { address, _waiting: waiting, _listener: listener }
}

#[test]
fn reload_takes_effect_during_connect_and_during_backoff() {
    let mut harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    let (original, silent) = (harness.log.address, unresponsive_server());
    let (_port, refusing) = refused_address();
    for (round, address) in [silent.address, refusing].into_iter().enumerate() {
        let round = round as u64;
        reload(&mut harness, address);
        // The router has left the original log, and retries the other address without end.
        let failures = harness.router.counter("log_lost");
        wait_until("two connects have failed", || harness.router.counter("log_lost") >= failures + 2);
        harness.log.publish(2 + round, PURGE_OBJECT, &purge(round));
        let connections = connection_count(&harness.log);
        reload(&mut harness, original);
        wait_until("the event is received", || harness.router.counter("purges") == 1 + round);
        assert_eq!(harness.log.resume_positions.lock().expect("lock")[connections..], [1 + round]);
    }
}

#[test]
fn concurrent_reloads_end_at_the_last_address() {
    let mut harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    let (original, silent) = (harness.log.address, unresponsive_server());
    let mut quickest = Duration::MAX;
    for round in 0..5 {
        let start = Instant::now();
        reload(&mut harness, silent.address);
        harness.log.publish(2 + round, PURGE_OBJECT, &purge(round));
        reload(&mut harness, original);
        wait_until("the event is received", || harness.router.counter("purges") == 1 + round);
        quickest = quickest.min(start.elapsed());
    }
    assert_eq!(harness.log.resume_positions.lock().expect("lock")[..], [1, 1, 2, 3, 4, 5]);
    assert!(
        quickest < Duration::from_secs(1),
        "the reload waited for the connect to the other address: {quickest:?}"
    );
}

#[test]
fn frame_cut_at_any_byte_is_notified_once_by_the_next_connection() {
    let harness = start_router();
    wait_until("the router follows the change log", || connection_count(&harness.log) == 1);
    let frame_length = frame(2, PURGE_OBJECT, &purge(2)).len();
    for cut in 0..frame_length {
        let number = 2 + cut as u64;
        *harness.log.cut_after.lock().expect("lock") = Some((number, cut));
        harness.log.publish(number, PURGE_OBJECT, &purge(number));
        wait_until("the event is received", || harness.router.counter("purges") == 1 + cut as u64);
    }
    assert_eq!(harness.router.counter("log_lost"), frame_length as u64);
    let after: Vec<u64> = (0..=frame_length as u64).map(|n| n.max(1)).collect();
    assert_eq!(harness.log.resume_positions.lock().expect("lock")[1..], after[1..]);
}

/// Requests 20 objects, each of which gets one answer; returns how many were served.
fn request_objects(client: &mut Client, from: u64) -> usize {
    (from..from + 20).for_each(|t| {
        client.send_request(t, "pages", t * 7919, "", b"");
    });
    let answers: Vec<ClientAnswer> = (0..20).map(|_| client.expect_answer()).collect();
    let mut tags: Vec<u64> = answers.iter().map(|answer| answer.tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, (from..from + 20).collect::<Vec<_>>());
    assert_eq!(client.answers_before_pong(), []);
    answers.iter().filter(|answer| answer.status == "200").count()
}

// ---- No change log ----

#[test]
fn router_with_a_known_list_is_ready_without_the_change_log() {
    let log = ChangeLog::start();
    log.down.store(true, Ordering::SeqCst);
    let harness = start_router_with(log, |_| {});
    let mut client = harness.router.client();
    client.send_message("PING", 1);
    assert_eq!(client.expect_answer().status, "serving", "the list of the configuration is enough");
    assert_eq!(request_objects(&mut client, 2), 20);
}

#[test]
fn router_without_a_list_is_ready_soon_after_the_change_log_returns() {
    let log = ChangeLog::start();
    log.down.store(true, Ordering::SeqCst);
    let harness = start_router_with(log, |c| c["known"] = json!({"seq": 0, "results": []}));
    // By then the backoff between connects is the longest.
    wait_until("the router has failed to connect several times", || harness.router.counter("log_lost") >= 7);
    let mut client = harness.router.client();
    client.send_message("PING", 1);
    assert_eq!(client.expect_answer().status, "not_serving");
    assert_ne!(request_objects(&mut client, 2), 20, "no server is known");
    harness.log.publish(
        1,
        COMPLETE_LIST,
        &[
            record(EDGE, harness.edge.address, EndpointState::Up, EDGE_KIND),
            record(ORIGIN, harness.origin.address, EndpointState::Up, ORIGIN_KIND),
        ]
        .concat(),
    );
    let log_up = Instant::now();
    harness.log.down.store(false, Ordering::SeqCst);
    let mut tag = 1000;
    poll_until("the router is ready", || {
        tag += 1;
        client.send_message("PING", tag);
        client.expect_answer().status == "serving"
    });
    // A router should be ready 10 s after its start in nine of ten cases.
    assert!(log_up.elapsed() < Duration::from_secs(5), "{:?}", log_up.elapsed());
    assert_eq!(request_objects(&mut client, 100), 20);
}

#[test]
fn change_log_connects_while_clients_use_every_descriptor() {
    let log = ChangeLog::start();
    let (edge, origin) = (Cache::with_all_objects(), Cache::with_all_objects());
    let mut config =
        configuration(&edge_parent_origin(&edge, &Cache::with_all_objects(), &origin), log.address);
    config["limits"]["sockets"] = json!(64);
    let router = router_from_shell(&config, "ulimit -n 64; exec \"$0\" serve");
    wait_until("the router follows the change log", || connection_count(&log) == 1);
    log.down.store(true, Ordering::SeqCst);
    wait_until("discovery is down", || router.counter("log_lost") >= 3);
    // More clients than slots; each sends one request and keeps its connection.
    let idle: Vec<Client> = (0..80)
        .map(|n| {
            let mut client = router.client();
            client.try_send_request(1, "pages", n, "");
            client
        })
        .collect();
    // Of 64 descriptors a third is reserved for servers, and 16 for the process itself.
    wait_until("all client slots are taken", || router.counter("clients_now") == 27);
    log.publish(2, PURGE_OBJECT, &purge(77));
    log.down.store(false, Ordering::SeqCst);
    wait_until("the change log is reached again", || router.counter("purges") == 1);
    assert_eq!(router.counter("closed_idle"), 0, "no slot was freed by an idle timeout");
    // A new client is still served, over connections to servers.
    let mut client = router.client();
    client.send_request(1, "pages", 77, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert!(edge.fetch_count() > 0);
    assert!(router.counter("closed_for_room") > 0, "the reclaimed slots are counted");
    drop(idle);
}
