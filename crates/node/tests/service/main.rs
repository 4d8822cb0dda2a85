//! The router in service: new configurations, clients and peers that misbehave. Each request gets one answer.

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod servers;

use basaltgw_node::resp::encode;
use common::*;
use serde_json::{json, Value};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A router before an edge cache, a parent and an origin, which all hold everything unless told otherwise.
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

fn rig() -> Rig {
    rig_of(Cache::with_all_objects(), |_| {})
}

fn purge(object: u64) -> Vec<u8> {
    [object.to_be_bytes(), unix_ms().to_be_bytes()].concat()
}

fn assert_served(client: &mut Client, tag: u64) {
    client.send_request(tag, "pages", tag, "", b"");
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (tag, "200"));
}

/// The time within which what misbehaves is owed a close.
const OWED: Duration = Duration::from_secs(3);

fn with_sockets(sockets: u64) -> impl FnOnce(&mut Value) {
    move |c| c["limits"]["sockets"] = json!(sockets)
}

// ---- New configurations ----

#[test]
fn sighup_follows_the_change_log_at_its_new_address_from_the_last_event() {
    let mut rig = rig();
    let mut client = rig.router.client();
    assert_served(&mut client, 1);
    rig.log.publish(2, 3, &purge(77));
    wait_until("an event is told", || rig.router.counter("purges") == 1);
    let moved = ChangeLog::start();
    moved.publish(2, 3, &purge(77));
    moved.publish(3, 3, &purge(5));
    rig.config["changelog"] = json!(moved.address.to_string());
    rig.router.write_configuration(&rig.config.to_string());
    rig.router.signal("HUP");
    wait_until("the next event is told", || rig.router.counter("purges") == 2);
    assert_eq!(moved.resume_positions.lock().expect("lock")[..], [2], "from the last event on");
    // Open connections go on, and what was told holds.
    assert_served(&mut client, 5);
    assert!(rig.edge.fetches()[1].field("oldest").is_some());
    // Any number of signals; the last file holds, also when its change log is not there yet.
    rig.config["changelog"] = json!("127.0.0.1:1");
    rig.router.write_configuration(&rig.config.to_string());
    (0..5).for_each(|_| rig.router.signal("HUP"));
    wait_until("it was read", || rig.router.counter("log_lost") >= 3);
    rig.config["changelog"] = json!(rig.log.address.to_string());
    rig.router.write_configuration(&rig.config.to_string());
    rig.router.signal("HUP");
    rig.log.publish(4, 3, &purge(6));
    rig.log.publish(3, 3, &purge(6));
    wait_until("it is followed where it was", || rig.log.resume_positions.lock().expect("lock").contains(&3));
    wait_until("event 4 is told", || rig.router.counter("purges") == 3);
    assert_served(&mut client, 6);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn sighup_with_a_bad_file_names_it_and_changes_nothing() {
    let mut rig = rig();
    let mut client = rig.router.client();
    assert_served(&mut client, 1);
    for (text, fault) in [
        ("{", "GW_CONFIG"),
        (&rig.config.to_string().replace("\"changelog\"", "\"other\""), "field changelog"),
    ] {
        let refused = rig.router.counter("reloads_refused");
        rig.router.write_configuration(text);
        rig.router.signal("HUP");
        wait_until("it is refused", || rig.router.counter("reloads_refused") == refused + 1);
        assert!(rig.router.has_logged(fault), "{fault}");
    }
    rig.log.publish(2, 3, &purge(1));
    wait_until("the change log is still followed", || rig.router.counter("purges") == 1);
    // What only a new start can take is named and left.
    rig.config["limits"]["sockets"] = json!(512);
    rig.router.write_configuration(&rig.config.to_string());
    rig.router.signal("HUP");
    wait_until("it is read", || rig.router.counter("reloads") == 1);
    assert!(rig.router.has_logged("change of limits needs a restart"));
    assert_served(&mut client, 2);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(rig.router.counter("log_lost"), 0);
}

// ---- The end ----

#[test]
fn misbehaving_clients_do_not_delay_shutdown() {
    let slow = Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 1200, body: part_body(s) });
    let mut rig = rig_of(slow, |_| {});
    let mut good = rig.router.client();
    let silent: Vec<Client> = (0..100).map(|_| rig.router.client()).collect();
    let mut half: Vec<Client> = (0..100).map(|_| rig.router.client()).collect();
    half.iter_mut().for_each(|c| c.write(b"*5\r\n$2\r\nDO\r\n"));
    good.send_request(1, "pages", 1, "", b"");
    wait_until("it is open", || rig.router.counter("requests") == 1);
    let asked = Instant::now();
    rig.router.signal("TERM");
    assert_eq!(good.expect_answer().status, "200");
    assert!(rig.router.expect_exit().success());
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
    drop((silent, half));
}
