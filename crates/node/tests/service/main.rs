//! The router during reloads, with misbehaving clients and servers, and at shutdown: each request gets one answer.

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod servers;

use basaltgw_node::resp::encode;
use common::frame_kind::PURGE_OBJECT;
use common::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A router in front of an edge cache, a parent and an origin, which serve every object unless a test says otherwise.
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

fn start_router() -> RouterHarness {
    start_router_with(Cache::with_all_objects(), |_| {})
}

/// The payload of an object purge that happened now.
fn purge(object: u64) -> Vec<u8> {
    [object.to_be_bytes(), unix_ms().to_be_bytes()].concat()
}

fn assert_served(client: &mut Client, tag: u64) {
    client.send_request(tag, "pages", tag, "", b"");
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (tag, "200"));
}

/// The time within which the connection of a misbehaving client has to be closed.
const CLOSE_TIME: Duration = Duration::from_secs(3);

fn with_sockets(sockets: u64) -> impl FnOnce(&mut Value) {
    move |c| c["limits"]["sockets"] = json!(sockets)
}

// ---- Reloads ----

#[test]
fn sighup_follows_the_change_log_at_its_new_address_from_the_last_event() {
    let mut harness = start_router();
    let mut client = harness.router.client();
    assert_served(&mut client, 1);
    harness.log.publish(2, PURGE_OBJECT, &purge(77));
    wait_until("an event is received", || harness.router.counter("purges") == 1);
    let new_log = ChangeLog::start();
    new_log.publish(2, PURGE_OBJECT, &purge(77));
    new_log.publish(3, PURGE_OBJECT, &purge(5));
    harness.config["changelog"] = json!(new_log.address.to_string());
    harness.router.write_configuration(&harness.config.to_string());
    harness.router.signal("HUP");
    wait_until("the next event is received", || harness.router.counter("purges") == 2);
    assert_eq!(
        new_log.resume_positions.lock().expect("lock")[..],
        [2],
        "the router resumes after the last event"
    );
    // Connections stay open, and received purges stay in effect.
    assert_served(&mut client, 5);
    assert!(harness.edge.fetches()[1].field("oldest").is_some());
    // After several signals the last file is in effect, even if its change log does not answer yet.
    harness.config["changelog"] = json!("127.0.0.1:1");
    harness.router.write_configuration(&harness.config.to_string());
    (0..5).for_each(|_| harness.router.signal("HUP"));
    wait_until("the router tries the last address", || harness.router.counter("log_lost") >= 3);
    harness.config["changelog"] = json!(harness.log.address.to_string());
    harness.router.write_configuration(&harness.config.to_string());
    harness.router.signal("HUP");
    harness.log.publish(4, PURGE_OBJECT, &purge(6));
    harness.log.publish(3, PURGE_OBJECT, &purge(6));
    wait_until("the original change log is followed again", || {
        harness.log.resume_positions.lock().expect("lock").contains(&3)
    });
    wait_until("event 4 is received", || harness.router.counter("purges") == 3);
    assert_served(&mut client, 6);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn sighup_with_a_bad_file_names_it_and_changes_nothing() {
    let mut harness = start_router();
    let mut client = harness.router.client();
    assert_served(&mut client, 1);
    for (text, fault) in [
        ("{", "GW_CONFIG"),
        (&harness.config.to_string().replace("\"changelog\"", "\"other\""), "field changelog"),
    ] {
        let rejected = harness.router.counter("reloads_refused");
        harness.router.write_configuration(text);
        harness.router.signal("HUP");
        wait_until("the reload is rejected", || harness.router.counter("reloads_refused") == rejected + 1);
        assert!(harness.router.has_logged(fault), "{fault}");
    }
    harness.log.publish(2, PURGE_OBJECT, &purge(1));
    wait_until("the change log is still followed", || harness.router.counter("purges") == 1);
    // A change that needs a restart is logged and has no effect.
    harness.config["limits"]["sockets"] = json!(512);
    harness.router.write_configuration(&harness.config.to_string());
    harness.router.signal("HUP");
    wait_until("the configuration is reloaded", || harness.router.counter("reloads") == 1);
    assert!(harness.router.has_logged("change of limits needs a restart"));
    assert_served(&mut client, 2);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(harness.router.counter("log_lost"), 0);
}

// ---- Shutdown ----

#[test]
fn misbehaving_clients_do_not_delay_shutdown() {
    let slow = Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 1200, body: part_body(fetch) });
    let mut harness = start_router_with(slow, |_| {});
    let mut well_behaved = harness.router.client();
    let silent: Vec<Client> = (0..100).map(|_| harness.router.client()).collect();
    let mut partial: Vec<Client> = (0..100).map(|_| harness.router.client()).collect();
    partial.iter_mut().for_each(|c| c.write(b"*5\r\n$2\r\nDO\r\n"));
    well_behaved.send_request(1, "pages", 1, "", b"");
    wait_until("the request is open", || harness.router.counter("requests") == 1);
    let start = Instant::now();
    harness.router.signal("TERM");
    assert_eq!(well_behaved.expect_answer().status, "200");
    assert!(harness.router.expect_exit().success());
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    drop((silent, partial));
}

/// The most requests that a client has open at a time.
const OPEN_REQUESTS: usize = 3;
/// A request that is sent this long before the end of its connection may have crossed it, and is sent again by its client.
const CLOSE_CROSSING: Duration = Duration::from_millis(100);
/// The time from SIGTERM to SIGKILL at least: the longest deadline of the configuration's classes, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(5_700);

/// Sends requests on one connection, a few at a time, until the router ends the connection; returns those that were neither answered nor
/// sent right before the end.
fn use_until_closed(mut client: Client, kill_due: Instant) -> Vec<u64> {
    let mut open: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut tag = 0;
    loop {
        while open.len() < OPEN_REQUESTS {
            tag += 1;
            open.insert(tag, Instant::now());
            client.try_send_request(tag, "pages", tag, "");
        }
        match client.next_before(kill_due) {
            Some(answer) => drop(open.remove(&answer.tag)),
            None => break,
        }
    }
    let ended_at = Instant::now();
    let lost = open.into_iter().filter(|(_, sent_at)| *sent_at + CLOSE_CROSSING < ended_at);
    lost.map(|(tag, _)| tag).collect()
}

#[test]
fn clients_that_use_their_connections_until_the_kill_do_not_keep_the_process() {
    let slow = Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 30, body: part_body(fetch) });
    let mut harness = start_router_with(slow, |_| {});
    let clients: Vec<Client> = (0..8).map(|_| harness.router.client()).collect();
    let terminated_at = Instant::now() + Duration::from_millis(300);
    let kill_due = terminated_at + KILLED_AFTER;
    let users: Vec<_> = clients
        .into_iter()
        .map(|client| std::thread::spawn(move || use_until_closed(client, kill_due)))
        .collect();
    std::thread::sleep(terminated_at.saturating_duration_since(Instant::now()));
    // Signals come in series.
    ["HUP", "USR1", "TERM", "HUP", "TERM", "USR1"]
        .into_iter()
        .for_each(|signal| harness.router.signal(signal));
    for user in users {
        assert_eq!(user.join().expect("the client ends"), [0; 0], "requests are lost");
    }
    assert!(harness.router.expect_exit().success());
    assert!(Instant::now() < kill_due, "the process has not ended before it is killed");
}
