//! The router in service: new configurations, clients and peers that misbehave. Each request gets one answer.

mod common;

use common::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const EDGE: u32 = 0x0a;
const PARENT: u32 = 0x0c;
const ORIGIN: u32 = 0x0d;

/// A router before an edge cache, a parent and an origin, which all hold everything unless told otherwise.
struct Rig {
    edge: Cache,
    log: ChangeLog,
    config: Value,
    router: Router,
}

fn rig_of(edge: Cache, change: impl FnOnce(&mut Value)) -> Rig {
    let (parent, origin, log) = (Cache::full(), Cache::full(), ChangeLog::start());
    let list = [
        Listed(EDGE, edge.address, "box"),
        Listed(PARENT, parent.address, "parent"),
        Listed(ORIGIN, origin.address, "origin"),
    ];
    let mut config = configuration(&list, log.address);
    change(&mut config);
    let router = Router::start(&config);
    Rig { edge, log, config, router }
}

fn rig() -> Rig {
    rig_of(Cache::full(), |_| {})
}

fn purge(object: u64) -> Vec<u8> {
    [object.to_be_bytes(), unix_ms().to_be_bytes()].concat()
}

fn serves(client: &mut Client, tag: u64) {
    client.ask(tag, "pages", tag, "", b"");
    let got = client.must();
    assert_eq!((got.tag, got.word.as_str()), (tag, "200"));
}

// ---- New configurations ----

#[test]
fn sighup_has_the_change_log_followed_at_its_new_address_from_the_last_event() {
    let mut rig = rig();
    let mut client = rig.router.client();
    serves(&mut client, 1);
    rig.log.tell(2, 3, &purge(77));
    until("an event is told", || rig.router.counter("purges") == 1);
    let moved = ChangeLog::start();
    moved.tell(2, 3, &purge(77));
    moved.tell(3, 3, &purge(5));
    rig.config["changelog"] = json!(moved.address.to_string());
    rig.router.rewrite(&rig.config.to_string());
    rig.router.signal("HUP");
    until("the next event is told", || rig.router.counter("purges") == 2);
    assert_eq!(moved.asked.lock().expect("lock")[..], [2], "from the last event on");
    // Open connections go on, and what was told holds.
    serves(&mut client, 5);
    assert!(rig.edge.all()[1].field("oldest").is_some());
    // Any number of signals; the last file holds, also when its change log is not there yet.
    rig.config["changelog"] = json!("127.0.0.1:1");
    rig.router.rewrite(&rig.config.to_string());
    (0..5).for_each(|_| rig.router.signal("HUP"));
    until("it was read", || rig.router.counter("log_lost") >= 3);
    rig.config["changelog"] = json!(rig.log.address.to_string());
    rig.router.rewrite(&rig.config.to_string());
    rig.router.signal("HUP");
    rig.log.tell(4, 3, &purge(6));
    rig.log.tell(3, 3, &purge(6));
    until("it is followed where it was", || rig.log.asked.lock().expect("lock").contains(&3));
    until("event 4 is told", || rig.router.counter("purges") == 3);
    serves(&mut client, 6);
    assert_eq!(client.settle(), []);
}

#[test]
fn a_bad_file_at_sighup_is_named_and_changes_nothing() {
    let mut rig = rig();
    let mut client = rig.router.client();
    serves(&mut client, 1);
    for (text, fault) in [
        ("{", "GW_CONFIG"),
        (&rig.config.to_string().replace("\"changelog\"", "\"other\""), "field changelog"),
    ] {
        let refused = rig.router.counter("reloads_refused");
        rig.router.rewrite(text);
        rig.router.signal("HUP");
        until("it is refused", || rig.router.counter("reloads_refused") == refused + 1);
        assert!(rig.router.said(fault), "{fault}");
    }
    rig.log.tell(2, 3, &purge(1));
    until("the change log is still followed", || rig.router.counter("purges") == 1);
    // What only a new start can take is named and left.
    rig.config["limits"]["sockets"] = json!(512);
    rig.router.rewrite(&rig.config.to_string());
    rig.router.signal("HUP");
    until("it is read", || rig.router.counter("reloads") == 1);
    assert!(rig.router.said("limits can't change"));
    serves(&mut client, 2);
    assert_eq!(client.settle(), []);
    assert_eq!(rig.router.counter("log_lost"), 0);
}

// ---- Clients that misbehave ----

/// The time within which what misbehaves is owed a close.
const OWED: Duration = Duration::from_secs(3);

fn few(sockets: u64) -> impl FnOnce(&mut Value) {
    move |c| c["limits"]["sockets"] = json!(sockets)
}

#[test]
fn silent_hundreds_are_closed_and_a_client_beside_them_is_served() {
    let rig = rig_of(Cache::full(), few(64));
    let mut early = rig.router.client();
    serves(&mut early, 1);
    let silent: Vec<Client> = (0..300).map(|_| rig.router.client()).collect();
    // The one after all of them waits for none of their 2 s.
    let asked = Instant::now();
    let mut late = rig.router.client();
    serves(&mut late, 2);
    let waited = asked.elapsed();
    assert!(rig.router.counter("closed_for_room") > 100, "room was made");
    for mut client in silent {
        assert_eq!(client.next(), None);
    }
    assert!(waited < OWED, "{waited:?}");
    assert_eq!(late.settle(), []);
}

#[test]
fn what_asked_once_and_stays_leaves_its_place_to_others() {
    let rig = rig_of(Cache::full(), few(64));
    let mut all = Vec::new();
    // More than there are places for, each with an answer and nothing further to say.
    for tag in 1..=80 {
        let mut client = rig.router.client();
        serves(&mut client, tag);
        all.push(client);
    }
    assert!(rig.router.counter("clients_now") <= 27);
    // Nobody waits for a place any more; the rest is closed when it has been idle for long.
    for client in &mut all {
        assert_eq!(client.next(), None);
    }
    assert_eq!((rig.router.counter("clients_now"), rig.router.counter("requests")), (0, 80));
    assert_eq!(rig.router.counter("closed_for_room") + rig.router.counter("closed_idle"), 80);
}

#[test]
fn one_with_something_open_is_never_closed_for_its_place() {
    let rig = rig_of(Cache::start(|s| Do::Later(1500, content(s))), few(64));
    let mut busy: Vec<Client> = (0..27).map(|_| rig.router.client()).collect();
    for (tag, client) in (1..).zip(&mut busy) {
        client.ask(tag, "pages", tag, "", b"");
    }
    until("they are all open", || rig.router.counter("requests") == 27);
    let mut waits = rig.router.client();
    waits.ask(1, "pages", 99, "", b"");
    for client in &mut busy {
        assert_eq!(client.must().word, "200");
    }
    assert_eq!(waits.must().word, "200");
}

#[test]
fn half_a_message_holds_a_place_for_no_longer_than_nothing_does() {
    let rig = rig();
    let mut good = rig.router.client();
    serves(&mut good, 1);
    for bytes in [&b""[..], b"*5\r\n", b"*5\r\n$2\r\nDO\r\n$1\r\n7\r\n$5\r\npag"] {
        let start = Instant::now();
        let mut bad = rig.router.client();
        bad.write(bytes);
        assert_eq!(bad.next(), None);
        assert!(start.elapsed() < OWED + Duration::from_secs(2), "{:?}", start.elapsed());
    }
    // A whole message before it gives the next one no more time.
    let mut bad = rig.router.client();
    serves(&mut bad, 2);
    bad.write(b"*5\r\n$2\r\nDO\r\n");
    assert_eq!(bad.next(), None);
    assert_eq!((rig.router.counter("closed_silent"), rig.router.counter("closed_unfinished")), (1, 3));
    // One that closes in mid-message is gone at once.
    let mut gone = rig.router.client();
    gone.write(b"*5\r\n$2\r\nDO\r\n");
    drop(gone);
    until("only the good one is left", || rig.router.counter("clients_now") <= 1);
}
