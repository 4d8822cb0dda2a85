//! The router in service: new configurations, clients and peers that misbehave. Each request gets one answer.

mod common;

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
    let mut config = configuration(&three(&edge, &Cache::full(), &Cache::full()), log.address);
    change(&mut config);
    let router = router(&config);
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
    until("all are told of", || rig.router.counter("closed_unfinished") == 3);
    assert_eq!(rig.router.counter("closed_silent"), 1);
    // One that closes in mid-message is gone at once.
    let mut gone = rig.router.client();
    gone.write(b"*5\r\n$2\r\nDO\r\n");
    drop(gone);
    until("only the good one is left", || rig.router.counter("clients_now") <= 1);
}

fn bytes_of(tag: &str, id: &str, object: &str, wait: &str) -> Vec<u8> {
    let fields = format!("i={id},d={wait},o={object},nth=0,batch=17");
    encode(&[b"DO", tag.as_bytes(), b"pages", fields.as_bytes(), b""])
}

#[test]
fn what_cannot_be_a_message_closes_its_connection_at_once() {
    let rig = rig();
    let mut good = rig.router.client();
    let huge =
        [&b"*5\r\n$2\r\nDO\r\n$1\r\n7\r\n$5\r\npages\r\n$1\r\n-\r\n$60000000\r\n"[..], &[b'x'; 300_000]]
            .concat();
    for bytes in [
        &huge[..],
        b"*5\r\n$-7\r\n",
        b"*-5\r\n",
        b"*99999999999999999999\r\n",
        b"*5\r\n$2\r\nDONT\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 5000],
    ] {
        let start = Instant::now();
        let mut bad = rig.router.client();
        let _ = bad.socket.write_all(bytes);
        assert_eq!(bad.next(), None);
        assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    }
    until("all are told of", || rig.router.counter("closed_unreadable") == 7);
    serves(&mut good, 1);
    assert!(rig.router.counter("held_most") < 1_000_000, "nothing of the 60 MB was kept");
}

#[test]
fn what_cannot_be_a_request_fails_and_reaches_no_cache() {
    let rig = rig();
    let mut good = rig.router.client();
    let mut bad = rig.router.client();
    let (id, object) = ("9b1f03aa5c7e2d41", "7f3a9c21e0b4d655");
    for bytes in [
        bytes_of("1", "9b1f", object, "1500"),
        bytes_of("2", id, "xyz", "1500"),
        bytes_of("3", id, object, "-1"),
        bytes_of("4", id, object, "NaN"),
        bytes_of("5", id, object, "1e300"),
        encode(&[b"DO", b"6", b"pages", b"-", b""]),
        encode(&[b"DO", b"7", b"nonsense", b"i=9b1f03aa5c7e2d41,d=9,o=7f3a9c21e0b4d655,nth=0,batch=1", b""]),
        encode(&[b"DONT", b"8", b"pages"]),
    ] {
        bad.write(&bytes);
        assert_eq!(bad.must().word, "500", "{}", String::from_utf8_lossy(&bytes));
    }
    assert_eq!((rig.edge.count(), rig.router.counter("unreadable")), (0, 8));
    // One that goes on and on is closed.
    for tag in 10..100 {
        let _ = bad.socket.write_all(&bytes_of(&tag.to_string(), "9b1f", object, "1500"));
    }
    let mut failed = 0;
    for got in bad {
        failed += usize::from(got.word == "500");
    }
    assert!(failed <= 8);
    serves(&mut good, 1);
    assert_eq!((rig.edge.count(), rig.router.counter("closed_broken_rule")), (1, 1));
}

#[test]
fn an_id_that_is_open_is_no_other_requests() {
    let rig = rig_of(Cache::start(|s| Do::Later(500, content(s))), |_| {});
    let (mut first, mut second) = (rig.router.client(), rig.router.client());
    let id = first.ask(1, "pages", 1, "", b"");
    until("it is open", || rig.router.counter("requests") == 1);
    second.write(&bytes_of("1", &id, "00000000000000aa", "1500"));
    assert_eq!(second.must().word, "500");
    assert_eq!(first.must().body, b"0000000000000001/0");
    assert_eq!((first.settle(), second.settle()), (vec![], vec![]));
    assert_eq!(rig.edge.count(), 1);
}

#[test]
fn a_tag_used_twice_ends_its_connection_and_nothing_is_answered_under_it() {
    let rig = rig_of(Cache::start(|s| Do::Later(300, content(s))), |_| {});
    let mut bad = rig.router.client();
    bad.ask(1, "pages", 1, "", b"");
    bad.ask(1, "pages", 2, "", b"");
    assert_eq!(bad.next(), None);
    // Nor under one that has been answered.
    let mut bad = rig.router.client();
    serves(&mut bad, 3);
    bad.ask(3, "pages", 4, "", b"");
    assert_eq!(bad.next(), None);
    assert_eq!(rig.router.counter("closed_broken_rule"), 2);
    until("what was open is given up", || rig.router.counter("left") == 1);
}

#[test]
fn hundreds_at_once_are_closed_and_taken_back_and_others_are_served() {
    let rig = rig_of(
        Cache::start(
            |s| if s.field("k") == Some("0000000000000001") { Do::Ok(content(s)) } else { Do::Silent },
        ),
        |_| {},
    );
    let mut good = rig.router.client();
    serves(&mut good, 1);
    for undo in [false, true] {
        let mut bad = rig.router.client();
        let mut bytes = Vec::new();
        for tag in 1..=300u64 {
            bytes.extend(bytes_of(
                &tag.to_string(),
                &format!("{:016x}", tag + 1000),
                &format!("{:016x}", tag + 9),
                "5000",
            ));
        }
        for tag in 1..=300u64 {
            bytes.extend(encode(&[b"UNDO", tag.to_string().as_bytes()]).into_iter().filter(|_| undo));
        }
        let _ = bad.socket.write_all(&bytes);
        assert_eq!(bad.next(), None);
    }
    until("all of it is given up", || rig.router.counter("left") == 64);
    good.ask(2, "pages", 1, "", b"");
    assert_eq!(good.must().word, "200");
    assert_eq!((rig.router.counter("closed_broken_rule"), rig.router.counter("requests")), (2, 66));
}

#[test]
fn one_that_takes_back_whatever_it_asks_is_closed() {
    let rig = rig_of(Cache::start(|_| Do::Silent), |_| {});
    let mut bad = rig.router.client();
    let mut bytes = Vec::new();
    for tag in 1..=300u64 {
        let (id, object) = (format!("{:016x}", tag + 5000), format!("{tag:016x}"));
        bytes.extend(bytes_of(&tag.to_string(), &id, &object, "5000"));
        bytes.extend(encode(&[b"UNDO", tag.to_string().as_bytes()]));
    }
    let _ = bad.socket.write_all(&bytes);
    assert_eq!(bad.next(), None);
    until("all is given up", || rig.router.counter("left") == 96);
    assert_eq!(rig.router.counter("closed_broken_rule"), 1);
}

// ---- Peers that misbehave ----

#[test]
fn what_follows_a_good_answer_is_dropped_and_so_is_what_comes_before_under_another_id() {
    let edge = Cache::start(|s| match s.field("k") {
        Some("0000000000000001") => Do::Twice(content(s)),
        Some("0000000000000002") => Do::Ahead(content(s)),
        _ => Do::Ok(content(s)),
    });
    let rig = rig_of(edge, |_| {});
    let mut client = rig.router.client();
    for tag in 1..=3 {
        client.ask(tag, "pages", tag, "", b"");
        let got = client.must();
        assert_eq!((got.tag, got.body), (tag, format!("{tag:016x}/0").into_bytes()));
    }
    assert_eq!(client.settle(), []);
    assert_eq!((rig.router.counter("late_answers"), rig.router.counter("conns")), (2, 1));
}

#[test]
fn an_answer_is_never_taken_for_that_of_a_later_attempt() {
    // Its second copy must not speak for the attempt that follows the first.
    let first = AtomicBool::new(true);
    let edge = Cache::start(move |s| match first.swap(false, Ordering::SeqCst) {
        true => Do::TwiceWord("nothing"),
        false => Do::Later(300, content(s)),
    });
    let rig = rig_of(edge, |_| {});
    let mut client = rig.router.client();
    serves(&mut client, 1);
    assert_eq!(client.settle(), []);
    assert_eq!((rig.edge.count(), rig.router.counter("attempts_miss")), (2, 1));
    assert_eq!(rig.router.counter("late_answers"), 1);
}

#[test]
fn a_spoilt_or_unfinished_answer_ends_its_connection_and_the_others_on_it_go_elsewhere() {
    let spoilt: [fn() -> Do; 6] = [
        || Do::Word("ok", "-"),
        || Do::Raw(b"*4\r\n$16\r\n"),
        || Do::Raw(b"*4\r\n$1\r\nx\r\n$2\r\nok\r\n$-5\r\n"),
        || Do::Raw(b"*4\r\n$1\r\nx\r\n$2\r\nok\r\n$1\r\n-\r\n$3000000000\r\nabc"),
        || Do::Word("ok", "bé,=,noise"),
        || Do::Raw(b"\0\x01\x02 noise"),
    ];
    for act in spoilt {
        // The first connection goes bad with its second request and says nothing more.
        let edge = Cache::start(move |s| match (s.conn, s.field("k")) {
            (1, Some("0000000000000002")) => act(),
            (1, _) => Do::Silent,
            _ => Do::Ok(content(s)),
        });
        let second = Cache::full();
        let rig = rig_of(edge, |c| with_second(c, &second));
        let mut client = rig.router.client();
        let start = Instant::now();
        client.ask(1, "pages", 1, "", b"");
        client.ask(2, "pages", 2, "", b"");
        let answers = [client.must(), client.must()];
        assert!(answers.iter().all(|g| g.word == "200"), "{answers:?}");
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        assert_eq!(client.settle(), []);
    }
}

#[test]
fn a_connection_that_does_not_prove_itself_gets_no_request() {
    // The first of all is mute from its start; the machine behind it may be gone.
    let mute = |first: Arc<AtomicBool>| {
        move |_| if first.swap(false, Ordering::SeqCst) { Proof::Mute } else { Proof::Yes }
    };
    let first = Arc::new(AtomicBool::new(true));
    let other = Arc::clone(&first);
    let edge = Cache::start_as(mute(first), |s| Do::Ok(content(s)));
    let second = Cache::start_as(mute(other), |s| Do::Ok(content(s)));
    let rig = rig_of(edge, |c| with_second(c, &second));
    let mut client = rig.router.client();
    serves(&mut client, 1);
    assert_eq!(rig.edge.count() + second.count(), 1);
    assert_eq!(rig.router.counter("attempts_no_connection"), 1);
    assert_eq!(client.settle(), []);
}

#[test]
fn a_write_never_shares_a_connection_with_what_may_break_it() {
    let origin = Cache::start(|s| Do::Later(200, content(s)));
    let log = ChangeLog::start();
    let edge = Cache::full();
    let router = router(&configuration(&three(&edge, &Cache::full(), &origin), log.address));
    let mut client = router.client();
    for tag in 1..=8 {
        client.ask(tag, "loan", tag, "", b"borrow");
    }
    let answers: Vec<Got> = (0..8).map(|_| client.must()).collect();
    assert!(answers.iter().all(|g| g.word == "200"));
    let mut conns: Vec<usize> = origin.all().iter().map(|s| s.conn).collect();
    conns.sort_unstable();
    conns.dedup();
    assert_eq!((origin.count(), conns.len()), (8, 8), "each on one of its own");
    assert_eq!(client.settle(), []);
}

#[test]
fn a_write_that_meets_the_end_of_a_connection_that_was_new_or_idle_never_ran() {
    let origin =
        Cache::start_as(|conn| if conn == 1 { Proof::Cut } else { Proof::Yes }, |s| Do::Ok(content(s)));
    let parent = Cache::full();
    let log = ChangeLog::start();
    let router = router(&configuration(&three(&Cache::full(), &parent, &origin), log.address));
    let mut client = router.client();
    client.ask(1, "loan", 1, "", b"borrow");
    assert_eq!(client.must().word, "200", "sent again, since it provably never ran");
    assert_eq!((parent.count(), origin.count()), (1, 0));
    assert_eq!((router.counter("attempts_broken"), router.counter("attempts_not_sent")), (0, 1));
    assert_eq!(client.settle(), []);
}

#[test]
fn a_change_log_that_breaks_in_mid_event_or_repeats_itself_tells_each_event_once() {
    let rig = rig();
    until("it is followed", || !rig.log.asked.lock().expect("lock").is_empty());
    *rig.log.cut.lock().expect("lock") = Some(3);
    for (number, object) in [(2, 1), (2, 1), (3, 2), (4, 3), (4, 3)] {
        rig.log.tell(number, 3, &purge(object));
    }
    until("all are told", || rig.router.counter("purges") >= 3);
    until("it was asked again after the break", || rig.log.asked.lock().expect("lock").contains(&2));
    rig.log.tell(5, 3, &purge(4));
    until("the next is told", || rig.router.counter("purges") >= 4);
    assert_eq!((rig.router.counter("purges"), rig.router.counter("log_lost")), (4, 1));
    let mut client = rig.router.client();
    (1..=5).for_each(|tag| serves(&mut client, tag));
    assert_eq!(client.settle(), []);
    let bound = rig.edge.all().iter().filter(|s| s.field("oldest").is_some()).count();
    assert_eq!(bound, 4);
}

#[test]
fn servers_that_come_and_go_leave_nothing() {
    let rig = rig();
    let mut client = rig.router.client();
    serves(&mut client, 1);
    let address = rig.edge.address;
    for round in 0..40u32 {
        let ids = (0..50).map(|n| 0x1000 + 50 * round + n);
        let all = |state: u8| ids.clone().flat_map(|id| record(id, address, state, 0)).collect::<Vec<u8>>();
        rig.log.tell(u64::from(2 + 2 * round), 2, &all(0));
        rig.log.tell(u64::from(3 + 2 * round), 2, &all(2));
    }
    until("2,000 came and went", || rig.router.counter("lists") == 81);
    assert_eq!(rig.router.counter("servers_now"), 3);
    serves(&mut client, 2);
    assert_eq!(client.settle(), []);
}

// ---- The end ----

#[test]
fn clients_that_misbehave_do_not_hold_up_the_end() {
    let slow = Cache::start(|s| Do::Later(1200, content(s)));
    let mut rig = rig_of(slow, |_| {});
    let mut good = rig.router.client();
    let silent: Vec<Client> = (0..100).map(|_| rig.router.client()).collect();
    let mut half: Vec<Client> = (0..100).map(|_| rig.router.client()).collect();
    half.iter_mut().for_each(|c| c.write(b"*5\r\n$2\r\nDO\r\n"));
    good.ask(1, "pages", 1, "", b"");
    until("it is open", || rig.router.counter("requests") == 1);
    let asked = Instant::now();
    rig.router.signal("TERM");
    assert_eq!(good.must().word, "200");
    assert!(rig.router.ended().success());
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
    drop((silent, half));
}
