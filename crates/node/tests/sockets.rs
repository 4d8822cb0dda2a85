//! The router as a process, between stand-ins on loopback. Whatever happens, each request gets one answer.

mod common;

use common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A router before an edge cache, a parent and an origin.
struct Rig {
    edge: Cache,
    parent: Cache,
    origin: Cache,
    log: ChangeLog,
    router: Process,
}

/// With a parent and an origin that hold everything.
fn rig(edge: Cache) -> Rig {
    rig_of(edge, Cache::full(), Cache::full(), |_| {})
}

/// With something changed in its configuration.
fn rig_of(edge: Cache, parent: Cache, origin: Cache, change: impl FnOnce(&mut Value)) -> Rig {
    let log = ChangeLog::start();
    let mut config = configuration(&three(&edge, &parent, &origin), log.address);
    change(&mut config);
    let router = router(&config);
    Rig { edge, parent, origin, log, router }
}

/// Behaves once in one way, and then holds everything; clones share the one time.
fn once(act: fn() -> Do) -> impl Fn(&Seen) -> Do + Clone + Send + Sync {
    let first = Arc::new(AtomicBool::new(true));
    move |s| match first.swap(false, Ordering::SeqCst) {
        true => act(),
        false => Do::Ok(content(s)),
    }
}

fn tags(answers: &[Got]) -> Vec<u64> {
    let mut tags: Vec<u64> = answers.iter().map(|g| g.tag).collect();
    tags.sort_unstable();
    tags
}

#[test]
fn pipelined_requests_are_answered_once_each_in_any_order() {
    // The first come back last.
    let turn = AtomicU64::new(0);
    let edge = Cache::start(move |s| {
        Do::Later(300u64.saturating_sub(10 * turn.fetch_add(1, Ordering::SeqCst)), content(s))
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    let ids: Vec<String> = (1..=30).map(|t| client.ask(t, "pages", 0xabc0 + t, ",m=12.5", b"")).collect();
    let answers: Vec<Got> = (0..30).map(|_| client.must()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert_ne!(answers.iter().map(|g| g.tag).collect::<Vec<_>>(), tags(&answers), "in order of arrival");
    for got in &answers {
        let whole = format!("{:016x}/0", 0xabc0 + got.tag).into_bytes();
        assert_eq!((got.word.as_str(), &got.body), ("200", &whole));
    }
    assert_eq!(client.settle(), []);
    let seen = rig.edge.all();
    assert_eq!(seen.len(), 30);
    assert_eq!(seen.iter().map(|s| s.id.clone()).collect::<BTreeSet<_>>(), ids.into_iter().collect());
    assert_eq!(rig.edge.conns.load(Ordering::SeqCst), 8, "a few connections carry them all");
    assert_eq!(seen[0].field("from"), Some("s-0000000c"));
    assert_eq!((seen[0].field("c"), seen[0].field("p")), (Some("pages"), Some("0")));
    assert_eq!(rig.router.counter("served"), 30);
}

#[test]
fn bodies_pass_byte_for_byte_and_a_copy_that_holds_is_told() {
    let big: Vec<u8> = (0..240_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let bytes = big.clone();
    let edge = Cache::start(move |s| match s.field("seen") {
        Some(_) => Do::Word("current", "ver=4be0c1927d55a6f3,born=1,note=hit"),
        None => Do::Ok(bytes.clone()),
    });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    assert_eq!(client.must().body, big);
    client.ask(2, "pages", 1, ",got=4be0c1927d55a6f3", b"");
    let same = client.must();
    assert_eq!((same.word.as_str(), same.field("ok304"), same.body), ("200", Some("1".into()), vec![]));
    assert_eq!(rig.edge.all()[1].field("seen"), Some("4be0c1927d55a6f3"));
    let body: Vec<u8> = b"*3\r\n$2\r\n\0\xff".iter().copied().cycle().take(48_000).collect();
    client.ask(3, "loan", 2, "", &body);
    assert_eq!(client.must().word, "200");
    assert_eq!(rig.origin.all()[0].body, body);
    assert_eq!(rig.origin.all()[0].field("from"), None);
    assert_eq!(client.settle(), []);
}

#[test]
fn after_undo_nothing_is_written_and_the_cache_is_told_to_abort() {
    let rig = rig(Cache::start(|s| match s.field("k") {
        Some("0000000000000001") => Do::Later(400, content(s)),
        Some("0000000000000003") => Do::Silent,
        _ => Do::Ok(content(s)),
    }));
    let mut client = rig.router.client();
    let id = client.ask(1, "pages", 1, "", b"");
    // Another that is open keeps the connection.
    client.ask_for(60_000, 3, "pages", 3, "", b"");
    until("the cache has them", || rig.edge.count() == 2);
    client.say("UNDO", 1);
    until("the cache is told", || rig.edge.aborted.lock().expect("lock").contains(&id));
    // The late answer comes all the same, and is dropped.
    until("the late answer was read", || rig.router.counter("late_answers") == 1);
    client.ask(2, "pages", 2, "", b"");
    assert_eq!(client.must().tag, 2);
    client.say("UNDO", 3);
    assert_eq!(client.settle(), []);
    assert_eq!((rig.router.counter("left"), rig.router.counter("served")), (2, 1));
}

#[test]
fn after_undo_nothing_is_written_where_attempts_may_not_be_called_off() {
    let edge = Cache::start(|s| Do::Later(400, content(s)));
    let never = |c: &mut Value| c["settings"]["limits"]["cancel"] = json!(false);
    let rig = rig_of(edge, Cache::full(), Cache::full(), never);
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    client.say("UNDO", 1);
    until("its answer came", || rig.router.counter("attempts_served") == 1);
    assert_eq!(client.settle(), []);
    assert_eq!(rig.edge.aborted.lock().expect("lock").len(), 0);
}

#[test]
fn a_closed_client_leaves_its_requests_and_other_clients_go_on() {
    let rig = rig(Cache::start(|s| {
        if s.field("k") == Some("0000000000000001") {
            Do::Silent
        } else {
            Do::Ok(content(s))
        }
    }));
    let mut client = rig.router.client();
    let id = client.ask_for(60_000, 1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    drop(client);
    until("it has left", || rig.router.counter("left") == 1);
    until("the cache is told", || rig.edge.aborted.lock().expect("lock").contains(&id));
    let mut other = rig.router.client();
    other.ask(1, "pages", 2, "", b"");
    assert_eq!(other.must().word, "200");
    assert_eq!(other.settle(), []);
    assert_eq!(rig.router.counter("clients_now"), 1);
}

#[test]
fn a_reset_in_mid_answer_is_tried_again_for_reads_and_fails_writes() {
    let act = once(|| Do::Half);
    let (edge, second) = (Cache::start(act.clone()), Cache::start(act));
    let rig = rig_of(edge, Cache::full(), Cache::start(|_| Do::Half), |c| with_second(c, &second));
    let mut client = rig.router.client();
    client.ask(1, "pages", 7, "", b"");
    let got = client.must();
    assert_eq!((got.word.as_str(), got.body.as_slice()), ("200", &b"0000000000000007/0"[..]));
    client.ask(2, "loan", 8, "", b"borrow");
    // It may have run: neither tried again nor refused.
    let got = client.must();
    assert_eq!((got.tag, got.word.as_str()), (2, "500"));
    assert_eq!(client.settle(), []);
    assert_eq!((rig.origin.count(), rig.parent.count()), (1, 0));
    assert_eq!(rig.router.counter("attempts_broken"), 2);
}

#[test]
fn a_connection_that_stays_silent_takes_no_new_requests() {
    let edge = Cache::start(|s| if s.conn == 1 { Do::Silent } else { Do::Ok(content(s)) });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.ask_for(60_000, 1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    thread::sleep(Duration::from_millis(1500));
    client.ask_for(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.must().tag, 2, "the second is served on a connection of its own");
    let conns: Vec<usize> = rig.edge.all().iter().map(|s| s.conn).collect();
    assert_eq!(conns, [1, 2]);
    client.say("UNDO", 1);
    assert_eq!(client.settle(), []);
    // With nothing left on it, the silent one is closed.
    until("it is closed", || rig.router.counter("conns_now") == 1);
}

#[test]
fn a_connection_on_which_all_was_given_up_unheard_is_not_used_again() {
    let edge = Cache::start(|s| if s.conn == 1 { Do::Silent } else { Do::Ok(content(s)) });
    let rig = rig(edge);
    let mut client = rig.router.client();
    client.ask_for(60_000, 1, "pages", 1, "", b"");
    until("the cache has it", || rig.edge.count() == 1);
    client.say("UNDO", 1);
    until("it is closed", || rig.router.counter("conns_now") == 0);
    client.ask_for(60_000, 2, "pages", 2, "", b"");
    assert_eq!(client.must().tag, 2);
    assert_eq!(client.settle(), []);
}

#[test]
fn a_refused_connection_proves_that_a_write_never_ran() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let (edge, parent, log) = (Cache::full(), Cache::full(), ChangeLog::start());
    let list = [
        Listed(EDGE, edge.address, "box"),
        Listed(PARENT, parent.address, "parent"),
        Listed(ORIGIN, closed, "origin"),
    ];
    let router = router(&configuration(&list, log.address));
    let mut client = router.client();
    client.ask(1, "loan", 3, "", b"borrow");
    let got = client.must();
    assert_eq!((got.tag, got.word.as_str()), (1, "200"), "by the parent");
    assert_eq!(client.settle(), []);
    assert_eq!((parent.count(), router.counter("attempts_no_connection")), (1, 1));
}

#[test]
fn a_gap_in_the_change_log_is_asked_for_again_and_nothing_is_taken_twice() {
    let rig = rig(Cache::full());
    *rig.log.skip.lock().expect("lock") = Some(2);
    let mut purge = 1u64.to_be_bytes().to_vec();
    purge.extend_from_slice(&unix_ms().to_be_bytes());
    rig.log.tell(2, 3, &purge);
    purge[7] = 2;
    rig.log.tell(3, 3, &purge);
    until("it resumed", || rig.log.asked.lock().expect("lock").len() >= 2);
    assert_eq!(rig.log.asked.lock().expect("lock")[..2], [1, 1]);
    until("both were told", || rig.router.counter("purges") == 2);
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    client.ask(2, "pages", 2, "", b"");
    client.ask(3, "pages", 3, "", b"");
    assert_eq!(tags(&[client.must(), client.must(), client.must()]), [1, 2, 3]);
    assert_eq!(client.settle(), []);
    for seen in rig.edge.all() {
        let purged = seen.field("k") != Some("0000000000000003");
        assert_eq!(seen.field("oldest").is_some(), purged, "{seen:?}");
    }
    assert_eq!(rig.router.counter("purges"), 2);
}

#[test]
fn a_change_log_that_falls_silent_or_talks_nonsense_is_connected_to_anew() {
    let rig = rig(Cache::full());
    until("it is followed", || !rig.log.asked.lock().expect("lock").is_empty());
    rig.log.beats.store(false, Ordering::SeqCst);
    until("silence ends a connection", || rig.log.asked.lock().expect("lock").len() >= 2);
    rig.log.beats.store(true, Ordering::SeqCst);
    let connected = rig.log.asked.lock().expect("lock").len();
    rig.log.tell(2, 9, b"nonsense");
    rig.log.tell(3, 4, &[&17u16.to_be_bytes()[..], &unix_ms().to_be_bytes()[..]].concat());
    // The bad frame ends a connection; met a second time, it no longer keeps the next event back.
    until("the good one is told", || rig.router.counter("purges") == 1);
    assert!(rig.log.asked.lock().expect("lock").len() > connected);
    assert!(rig.router.said("event 2 is passed over"));
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    assert_eq!(client.must().word, "200");
    assert_eq!(client.settle(), []);
    assert!(rig.edge.all()[0].field("oldest").is_some(), "the group was purged");
}

#[test]
fn a_purge_bounds_the_age_of_copies_from_the_time_at_which_it_happened() {
    let rig = rig(Cache::full());
    let purged = unix_ms() - 3000;
    rig.log.tell(2, 3, &[1u64.to_be_bytes(), purged.to_be_bytes()].concat());
    until("it is told", || rig.router.counter("purges") == 1);
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    client.ask(2, "pages", 2, "", b"");
    assert_eq!(tags(&[client.must(), client.must()]), [1, 2]);
    assert_eq!(client.settle(), []);
    for seen in rig.edge.all() {
        let Some(oldest) = seen.field("oldest").map(|a| a.parse::<u64>().expect("whole")) else {
            assert_eq!(seen.field("k"), Some("0000000000000002"));
            continue;
        };
        assert_eq!(seen.field("k"), Some("0000000000000001"));
        assert!(oldest > 1000 && seen.at - oldest >= purged, "a copy of before the purge would do");
    }
}

#[test]
fn a_draining_cache_gets_nothing_more_and_a_new_address_is_a_new_connection() {
    let second = Cache::full();
    let rig = rig_of(Cache::full(), Cache::full(), Cache::full(), |c| with_second(c, &second));
    let Rig { edge, log, router, .. } = &rig;
    let mut client = router.client();
    let round = |client: &mut Client, from: u64| {
        (from..from + 20).for_each(|t| {
            client.ask(t, "pages", t * 7919, "", b"");
        });
        let answers: Vec<Got> = (0..20).map(|_| client.must()).collect();
        assert_eq!(tags(&answers), (from..from + 20).collect::<Vec<_>>());
        assert!(answers.iter().all(|g| g.word == "200"));
        assert_eq!(client.settle(), []);
    };
    round(&mut client, 1);
    let before = edge.count();
    assert!(before > 0 && second.count() > 0, "both are in use");
    log.tell(2, 2, &record(EDGE, edge.address, 1, 0));
    until("it is told", || router.counter("lists") == 2);
    round(&mut client, 101);
    assert_eq!(edge.count(), before, "nothing to a draining cache");
    // It is back under its id at another address; the old one is somebody else's.
    let moved = Cache::full();
    log.tell(3, 2, &record(EDGE, moved.address, 0, 0));
    until("it is told", || router.counter("lists") == 3);
    round(&mut client, 201);
    assert_eq!(edge.count(), before);
    assert!(moved.count() > 0, "the id is the same server, wherever it is");
}

#[test]
fn ping_says_serving_once_the_list_is_in() {
    let empty = |c: &mut Value| c["known"] = json!({"seq": 0, "results": []});
    let rig = rig_of(Cache::full(), Cache::full(), Cache::full(), empty);
    let Rig { edge, origin, log, router, .. } = &rig;
    let mut client = router.client();
    client.say("PING", 8);
    assert_eq!(client.must().word, "not_serving");
    let list = [record(EDGE, edge.address, 0, 0), record(ORIGIN, origin.address, 0, 2)].concat();
    log.tell(1, 1, &list);
    until("the list is in", || router.counter("lists") == 1);
    client.say("PING", 9);
    let got = client.must();
    assert_eq!((got.tag, got.word.as_str()), (9, "serving"));
    client.ask(10, "pages", 1, "", b"");
    assert_eq!(client.must().word, "200");
    assert_eq!(client.settle(), []);
}

#[test]
fn a_signal_at_the_very_start_is_heard() {
    for _ in 0..5 {
        let mut rig = rig(Cache::full());
        assert_eq!(rig.router.counter("requests"), 0);
        rig.router.signal("TERM");
        assert!(rig.router.ended().success());
    }
}

#[test]
fn sigterm_under_load_loses_nothing_and_then_the_process_ends() {
    const SLOW: u64 = 0xffff;
    let slow = format!("{SLOW:016x}");
    let edge =
        Cache::start(move |s| Do::Later(if s.field("k") == Some(&slow) { 2000 } else { 150 }, content(s)));
    let mut rig = rig(edge);
    let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let address = rig.router.address;
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, done) = (Arc::clone(&stop), Arc::clone(&done));
            let mut client = rig.router.client();
            thread::spawn(move || {
                let mut tag = 0;
                while !stop.load(Ordering::SeqCst) {
                    tag += 1;
                    client.ask(tag, "pages", tag, "", b"");
                    client.ask(tag + 100_000, "pages", tag + 9000, "", b"");
                    assert_eq!(tags(&[client.must(), client.must()]), [tag, tag + 100_000]);
                    done.lock().expect("lock").push(tag);
                }
                // What the router closes had nothing open.
                assert_eq!(client.next(), None);
            })
        })
        .collect();
    until("they are served", || done.lock().expect("lock").len() > 8);
    let served = done.lock().expect("lock").len();
    let mut patient = rig.router.client();
    patient.ask_for(60_000, 1, "pages", SLOW, "", b"");
    until("it was passed on", || rig.edge.all().iter().any(|s| s.field("k") == Some("000000000000ffff")));
    rig.router.signal("TERM");
    until("it was heard", || rig.router.said("asked to end"));
    let asked = Instant::now();
    // New connections are taken for a while; on a machine too busy to try in time this says nothing.
    match std::net::TcpStream::connect(address) {
        Ok(socket) => {
            let mut late = Client::new(socket);
            late.ask(1, "pages", 77, "", b"");
            assert_eq!(late.must().word, "200");
        }
        Err(e) => assert!(asked.elapsed() > Duration::from_millis(600), "no longer accepting: {e}"),
    }
    until("more are served", || {
        done.lock().expect("lock").len() > served || asked.elapsed() > Duration::from_millis(400)
    });
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client that lost nothing");
    }
    assert_eq!(patient.must().word, "200", "what takes longer than the end of accepting is answered");
    assert_eq!(patient.next(), None);
    assert!(rig.router.ended().success());
    until("counters are printed", || rig.router.said("ended: clients="));
}

#[test]
fn without_descriptors_clients_wait_and_are_served_later() {
    let (edge, parent, origin, log) = (Cache::full(), Cache::full(), Cache::full(), ChangeLog::start());
    let config = configuration(&three(&edge, &parent, &origin), log.address);
    let router = router_by(&config, "ulimit -n 40; exec \"$0\" serve");
    let mut first = router.client();
    first.ask(1, "pages", 1, "", b"");
    assert_eq!(first.must().word, "200");
    // More than there are descriptors for; each is served once those before it have gone.
    let waiting: Vec<Client> = (0..60).map(|_| router.client()).collect();
    for (n, mut client) in waiting.into_iter().enumerate() {
        client.ask(1, "pages", n as u64, "", b"");
        assert_eq!(client.must().word, "200", "client {n}");
    }
    first.ask(2, "pages", 2, "", b"");
    assert_eq!(first.must().tag, 2);
    assert_eq!(first.settle(), []);
    assert_eq!(router.counter("served"), 62);
}

#[test]
fn no_more_clients_are_taken_than_servers_leave_room_for() {
    let few = |c: &mut Value| c["limits"]["sockets"] = json!(60);
    let rig = rig_of(Cache::full(), Cache::full(), Cache::full(), few);
    let router = &rig.router;
    let waiting: Vec<Client> = (0..40).map(|_| router.client()).collect();
    until("the places are taken", || router.counter("clients_now") == 24);
    for mut client in waiting {
        // One that was closed for others had said nothing.
        client.try_ask(1, "pages", 5);
        if let Some(got) = client.next() {
            assert_eq!(got.word, "200");
        }
        assert!(router.counter("clients_now") <= 24);
    }
}

#[test]
fn unparseable_bytes_close_that_connection_alone() {
    let rig = rig(Cache::full());
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
    let got = good.must();
    assert_eq!((got.tag, got.word.as_str()), (4, "500"));
    good.ask(5, "unheard-of", 1, "", b"");
    assert_eq!(good.must().word, "500");
    good.ask(6, "pages", 1, "", b"");
    assert_eq!(good.must().word, "200");
    assert_eq!(good.settle(), []);
}

/// A read whose first attempt ends in that way is served by the next.
fn served_by_the_next(act: fn() -> Do) -> Rig {
    let act = once(act);
    let (edge, second) = (Cache::start(act.clone()), Cache::start(act));
    let rig = rig_of(edge, Cache::full(), Cache::full(), |c| with_second(c, &second));
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    assert_eq!(client.must().word, "200");
    assert_eq!(client.settle(), []);
    rig
}

#[test]
fn a_cache_that_talks_nonsense_loses_its_connection_and_no_request() {
    let rig = served_by_the_next(|| Do::Raw(b"HTTP/1.1 200 OK\r\n\r\n"));
    assert_eq!((rig.router.counter("attempts_broken"), rig.router.counter("conns_now")), (1, 1));
}

#[test]
fn an_answer_with_an_unknown_word_is_an_error_of_that_attempt_alone() {
    let rig = served_by_the_next(|| Do::Word("what", "note=hit"));
    assert_eq!((rig.router.counter("attempts_error"), rig.router.counter("conns_now")), (1, 2));
}

#[test]
fn a_slow_reader_holds_up_no_one_else() {
    let rig = rig(Cache::start(|_| Do::Ok(vec![b'x'; 240_000])));
    let mut slow = rig.router.client();
    (1..=30).for_each(|t| {
        slow.ask(t, "pages", t, "", b"");
    });
    until("all is there for the slow one", || rig.router.counter("served") == 30);
    let mut quick = rig.router.client();
    quick.ask(1, "pages", 99, "", b"");
    assert_eq!(quick.must().body.len(), 240_000);
    assert!(rig.router.counter("held") > 1_000_000, "the slow one's answers are still held");
    let answers: Vec<Got> = (0..30).map(|_| slow.must()).collect();
    assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
    assert!(answers.iter().all(|g| g.body.len() == 240_000));
    assert_eq!(slow.settle(), []);
    until("all is given back", || rig.router.counter("held") == 0);
}

#[test]
fn answers_that_wait_for_a_slow_reader_never_fill_the_memory() {
    let edge = Cache::start(|_| Do::Ok(vec![b'x'; 240_000]));
    let little = |c: &mut Value| c["limits"]["memory_mb"] = json!(4);
    let rig = rig_of(edge, Cache::full(), Cache::full(), little);
    let router = &rig.router;
    let mut slow: Vec<Client> = (0..3).map(|_| router.client()).collect();
    for client in &mut slow {
        (1..=30).for_each(|t| {
            client.ask(t, "pages", t, "", b"");
        });
    }
    until("all came from the cache", || router.counter("attempts_served") == 90);
    until("little is held", || router.counter("held") < 1_600_000);
    let mut quick = router.client();
    quick.ask(1, "pages", 99, "", b"");
    assert_eq!(quick.must().word, "200");
    assert_eq!(quick.settle(), []);
    for client in &mut slow {
        let answers: Vec<Got> = (0..30).map(|_| client.must()).collect();
        assert_eq!(tags(&answers), (1..=30).collect::<Vec<_>>());
        let whole =
            |g: &Got| (g.word == "200" && g.body.len() == 240_000) || (g.word == "500" && g.body.is_empty());
        assert!(answers.iter().all(whole));
        assert_eq!(client.settle(), []);
    }
    assert!(router.counter("withheld") > 0);
}

#[test]
fn a_router_started_while_its_predecessor_still_listens_waits_for_the_address() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = json!(held.local_addr().expect("an address").to_string());
    let waiting = thread::spawn(|| {
        rig_of(Cache::full(), Cache::full(), Cache::full(), |c: &mut Value| c["listen"] = at)
    });
    thread::sleep(Duration::from_millis(300));
    drop(held);
    let rig = waiting.join().expect("a router that listens");
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    assert_eq!(client.must().word, "200");
    assert_eq!(client.settle(), []);
}

#[test]
fn an_attempt_to_a_machine_that_never_answers_ends_before_the_clients_time() {
    let silent = || Cache::start(|_| Do::Silent);
    let rig = rig_of(silent(), silent(), silent(), |_| {});
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    client.ask(2, "loan", 2, "", b"borrow");
    let answers = [client.must(), client.must()];
    assert_eq!(tags(&answers), [1, 2]);
    // The write may have run, so it is failed and not refused.
    let word = |tag| answers.iter().find(|g| g.tag == tag).map(|g| g.word.as_str());
    assert_eq!((word(1), word(2)), (Some("503"), Some("500")));
    assert_eq!(client.settle(), []);
    assert_eq!(rig.origin.count(), 1);
    assert_eq!((rig.router.counter("attempts_late"), rig.router.counter("attempts_cancelled")), (2, 0));
}
