//! The change log: silence, reloads and lists that cross requests.

mod lists;

use crate::common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A router before an edge cache, a parent and an origin.
struct Rig {
    edge: Cache,
    origin: Cache,
    log: ChangeLog,
    config: Value,
    router: Process,
}

fn rig_of(log: ChangeLog, change: impl FnOnce(&mut Value)) -> Rig {
    let (edge, origin) = (Cache::with_all_objects(), Cache::with_all_objects());
    let mut config =
        configuration(&edge_parent_origin(&edge, &Cache::with_all_objects(), &origin), log.address);
    // On a busy machine a connection takes its time.
    config["settings"]["limits"]["connect-timeout"] = json!(20_000.0);
    change(&mut config);
    let router = router(&config);
    Rig { edge, origin, log, config, router }
}

fn rig() -> Rig {
    rig_of(ChangeLog::start(), |_| {})
}

fn purge(object: u64) -> Vec<u8> {
    [object.to_be_bytes(), unix_ms().to_be_bytes()].concat()
}

/// How often it was asked.
fn connection_count(log: &ChangeLog) -> usize {
    log.resume_positions.lock().expect("lock").len()
}

#[test]
fn missing_event_named_by_empty_frames_is_requested_again() {
    let rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    rig.log.heartbeats_carry_newest.store(true, Ordering::SeqCst);
    rig.log.events_withheld_up_to.store(1, Ordering::SeqCst);
    rig.log.publish(2, 3, &purge(77));
    wait_until("the event is told", || rig.router.counter("purges") == 1);
    assert_eq!((connection_count(&rig.log), rig.router.counter("log_behind")), (2, 1));
    assert_eq!(
        rig.log.resume_positions.lock().expect("lock")[..],
        [1, 1],
        "asked for what comes after the last that is known"
    );
    // The one that was asked runs from now on, and tells what comes.
    rig.log.publish(3, 3, &purge(78));
    wait_until("the next is told", || rig.router.counter("purges") == 2);
}

#[test]
fn rechecks_for_an_event_that_never_comes_back_off() {
    let start = Instant::now();
    let rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    rig.log.heartbeats_carry_newest.store(true, Ordering::SeqCst);
    rig.log.events_withheld_up_to.store(usize::MAX, Ordering::SeqCst);
    rig.log.publish(2, 3, &purge(77));
    // After 0.1, 0.2, 0.4, 0.8 and 1.6 s more.
    wait_until("it is asked some times", || connection_count(&rig.log) >= 6);
    assert!(start.elapsed() >= Duration::from_millis(3100), "{:?}", start.elapsed());
    assert_eq!(rig.router.counter("purges"), 0);
    let asked = connection_count(&rig.log);
    rig.log.events_withheld_up_to.store(0, Ordering::SeqCst);
    wait_until("what it then tells is heard", || rig.router.counter("purges") == 1);
    assert!(connection_count(&rig.log) <= asked + 1, "on a connection that was open");
}

#[test]
fn silent_reconnect_is_replaced_by_another_connection() {
    let rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    let stopped = Instant::now();
    rig.log.silent_up_to.store(2, Ordering::SeqCst);
    rig.log.publish(2, 3, &purge(77));
    wait_until("the event is told", || rig.router.counter("purges") == 1);
    // A watch that stopped counts as told after 4 s.
    assert!(stopped.elapsed() < Duration::from_secs(4), "{:?}", stopped.elapsed());
    assert_eq!((connection_count(&rig.log), rig.router.counter("log_quiet")), (3, 2));
}

// ---- New configurations ----

/// Has the router follow the change log at this address; waits until it has read so.
fn reload(rig: &mut Rig, at: SocketAddr) {
    let before = rig.router.counter("reloads");
    rig.config["changelog"] = json!(at.to_string());
    rig.router.write_configuration(&rig.config.to_string());
    rig.router.signal("HUP");
    wait_until("it is read", || rig.router.counter("reloads") == before + 1);
}

#[test]
fn reload_in_the_middle_of_a_frame_loses_and_repeats_no_event() {
    let mut rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    // The next one begins event 3, and then nothing more comes of it.
    let half = TcpListener::bind("127.0.0.1:0").expect("a port");
    reload(&mut rig, half.local_addr().expect("an address"));
    half.set_nonblocking(true).expect("a listener that does not wait");
    let mut taken = None;
    until_polling("the router connects", || {
        taken = half.accept().ok();
        taken.is_some()
    });
    let (mut socket, _) = taken.expect("the router");
    socket.set_nonblocking(false).expect("a socket that waits");
    let mut from = [0; 8];
    socket.read_exact(&mut from).expect("the last event");
    assert_eq!(u64::from_be_bytes(from), 1);
    let third = frame(3, 3, &purge(3));
    socket.write_all(&[&frame(2, 3, &purge(2)), &third[..third.len() - 1]].concat()).expect("written");
    wait_until("event 2 is told", || rig.router.counter("purges") == 1);
    (2..=4).for_each(|n| rig.log.publish(n, 3, &purge(n)));
    let back = rig.log.address;
    reload(&mut rig, back);
    wait_until("the rest is told", || rig.router.counter("purges") == 3);
    assert_eq!(rig.log.resume_positions.lock().expect("lock")[..], [1, 2], "from the last whole event on");
    // The connection is left, not kept for what may still come on it.
    socket.set_read_timeout(Some(WAIT_LIMIT)).expect("a time-out");
    assert!(matches!(socket.read(&mut from), Ok(0) | Err(_)));
    assert_eq!(rig.router.counter("purges"), 3);
}

#[test]
fn event_on_a_connection_being_replaced_is_notified_once() {
    let mut rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    let other = ChangeLog::start();
    (2..=5).for_each(|n| other.publish(n, 3, &purge(n)));
    // All in one moment: two events on the old connection, and that it is to be left.
    rig.router.signal("STOP");
    (2..=3).for_each(|n| rig.log.publish(n, 3, &purge(n)));
    wait_until("they are written", || rig.log.written_up_to.load(Ordering::SeqCst) == 3);
    rig.config["changelog"] = json!(other.address.to_string());
    rig.router.write_configuration(&rig.config.to_string());
    rig.router.signal("HUP");
    rig.router.signal("CONT");
    wait_until("all is told", || rig.router.counter("purges") >= 4);
    wait_until("it is read", || rig.router.counter("reloads") == 1);
    assert_eq!((rig.router.counter("purges"), connection_count(&other)), (4, 1));
}

/// A machine that answers no connection: what would be accepted waits already.
struct Full {
    address: SocketAddr,
    _waiting: Vec<TcpStream>,
    _listener: TcpListener,
}

fn full() -> Full {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a short queue");
    let address = listener.local_addr().expect("an address");
    let waiting: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok())
            .collect();
    Full { address, _waiting: waiting, _listener: listener }
}

#[test]
fn reload_takes_effect_during_connect_and_during_backoff() {
    let mut rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    let (back, silent) = (rig.log.address, full());
    let (_port, gone) = refused_address();
    for (round, elsewhere) in [silent.address, gone].into_iter().enumerate() {
        let round = round as u64;
        reload(&mut rig, elsewhere);
        // It has left, and goes from try to try without an end.
        let lost = rig.router.counter("log_lost");
        wait_until("tries fail", || rig.router.counter("log_lost") >= lost + 2);
        rig.log.publish(2 + round, 3, &purge(round));
        let asked = connection_count(&rig.log);
        reload(&mut rig, back);
        wait_until("the event is told", || rig.router.counter("purges") == 1 + round);
        assert_eq!(rig.log.resume_positions.lock().expect("lock")[asked..], [1 + round]);
    }
}

#[test]
fn concurrent_reloads_end_at_the_last_address() {
    let mut rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    let (back, silent) = (rig.log.address, full());
    let mut quickest = Duration::MAX;
    for round in 0..5 {
        let start = Instant::now();
        reload(&mut rig, silent.address);
        rig.log.publish(2 + round, 3, &purge(round));
        reload(&mut rig, back);
        wait_until("the event is told", || rig.router.counter("purges") == 1 + round);
        quickest = quickest.min(start.elapsed());
    }
    assert_eq!(rig.log.resume_positions.lock().expect("lock")[..], [1, 1, 2, 3, 4, 5]);
    assert!(quickest < Duration::from_secs(1), "no try at the other address is waited for: {quickest:?}");
}

#[test]
fn frame_cut_at_any_byte_is_notified_once_by_the_next_connection() {
    let rig = rig();
    wait_until("it is followed", || connection_count(&rig.log) == 1);
    let whole = frame(2, 3, &purge(2)).len();
    for at in 0..whole {
        let number = 2 + at as u64;
        *rig.log.cut_after.lock().expect("lock") = Some((number, at));
        rig.log.publish(number, 3, &purge(number));
        wait_until("it is told", || rig.router.counter("purges") == 1 + at as u64);
    }
    assert_eq!(rig.router.counter("log_lost"), whole as u64);
    let after: Vec<u64> = (0..=whole as u64).map(|n| n.max(1)).collect();
    assert_eq!(rig.log.resume_positions.lock().expect("lock")[1..], after[1..]);
}

/// Asks for some objects; each gets one answer. Gives how many were served.
fn request_objects(client: &mut Client, from: u64) -> usize {
    (from..from + 20).for_each(|t| {
        client.send_request(t, "pages", t * 7919, "", b"");
    });
    let answers: Vec<ClientAnswer> = (0..20).map(|_| client.expect_answer()).collect();
    let mut tags: Vec<u64> = answers.iter().map(|g| g.tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, (from..from + 20).collect::<Vec<_>>());
    assert_eq!(client.answers_before_pong(), []);
    answers.iter().filter(|g| g.status == "200").count()
}

// ---- Without the change log ----

#[test]
fn router_with_a_known_list_is_ready_without_the_change_log() {
    let log = ChangeLog::start();
    log.down.store(true, Ordering::SeqCst);
    let rig = rig_of(log, |_| {});
    let mut client = rig.router.client();
    client.send_message("PING", 1);
    assert_eq!(client.expect_answer().status, "serving", "what it was started with is a list");
    assert_eq!(request_objects(&mut client, 2), 20);
}

#[test]
fn router_without_a_list_is_ready_soon_after_the_change_log_returns() {
    let log = ChangeLog::start();
    log.down.store(true, Ordering::SeqCst);
    let rig = rig_of(log, |c| c["known"] = json!({"seq": 0, "results": []}));
    // Long enough for the rest between tries to be the longest.
    wait_until("it has tried some times", || rig.router.counter("log_lost") >= 7);
    let mut client = rig.router.client();
    client.send_message("PING", 1);
    assert_eq!(client.expect_answer().status, "not_serving");
    assert_ne!(request_objects(&mut client, 2), 20, "no server is known");
    rig.log.publish(
        1,
        1,
        &[record(EDGE, rig.edge.address, 0, 0), record(ORIGIN, rig.origin.address, 0, 2)].concat(),
    );
    let back = Instant::now();
    rig.log.down.store(false, Ordering::SeqCst);
    let mut tag = 1000;
    until_polling("it is ready", || {
        tag += 1;
        client.send_message("PING", tag);
        client.expect_answer().status == "serving"
    });
    // Nine in ten have 10 s from their start on.
    assert!(back.elapsed() < Duration::from_secs(5), "{:?}", back.elapsed());
    assert_eq!(request_objects(&mut client, 100), 20);
}

#[test]
fn change_log_connects_while_clients_use_every_descriptor() {
    let log = ChangeLog::start();
    let (edge, origin) = (Cache::with_all_objects(), Cache::with_all_objects());
    let mut config =
        configuration(&edge_parent_origin(&edge, &Cache::with_all_objects(), &origin), log.address);
    config["limits"]["sockets"] = json!(64);
    let router = router_by(&config, "ulimit -n 64; exec \"$0\" serve");
    wait_until("it is followed", || connection_count(&log) == 1);
    log.down.store(true, Ordering::SeqCst);
    wait_until("discovery is down", || router.counter("log_lost") >= 3);
    // More than there is room for; all ask once and keep their connections for good.
    let idle: Vec<Client> = (0..80)
        .map(|n| {
            let mut client = router.client();
            client.try_send_request(1, "pages", n, "");
            client
        })
        .collect();
    // Of 64, a third are servers' and 16 the process's own.
    wait_until("the places are taken", || router.counter("clients_now") == 27);
    log.publish(2, 3, &purge(77));
    log.down.store(false, Ordering::SeqCst);
    wait_until("the change log is reached again", || router.counter("purges") == 1);
    assert_eq!(router.counter("closed_idle"), 0, "not for a place that an idle one left");
    // New clients are served meanwhile, and by connections to servers.
    let mut client = router.client();
    client.send_request(1, "pages", 77, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert!(edge.fetch_count() > 0);
    assert!(router.counter("closed_for_room") > 0, "those that made room are counted");
    drop(idle);
}
