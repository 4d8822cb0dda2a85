//! The change log, the list, and the end.

use crate::common::*;
use crate::*;

#[test]
fn gap_in_the_change_log_is_requested_again_without_repeats() {
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
fn silent_or_malformed_change_log_is_reconnected() {
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
    assert!(rig.router.said("event 2 skipped"));
    let mut client = rig.router.client();
    client.ask(1, "pages", 1, "", b"");
    assert_eq!(client.must().word, "200");
    assert_eq!(client.settle(), []);
    assert!(rig.edge.all()[0].field("oldest").is_some(), "the group was purged");
}

#[test]
fn purge_limits_the_age_of_copies_from_its_own_time() {
    let rig = rig(Cache::full());
    // One that is told at once says what time it is: the router's own wall clock may be wrong.
    let prompt = unix_ms();
    rig.log.tell(2, 3, &[8u64.to_be_bytes(), prompt.to_be_bytes()].concat());
    until("it is told", || rig.router.counter("purges") == 1);
    std::thread::sleep(std::time::Duration::from_millis(1700));
    let purged = prompt + 100;
    rig.log.tell(3, 3, &[1u64.to_be_bytes(), purged.to_be_bytes()].concat());
    until("it is told", || rig.router.counter("purges") == 2);
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
fn draining_cache_is_sent_nothing_and_a_new_address_gets_a_new_connection() {
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
fn ping_reports_serving_once_the_list_is_received() {
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
fn signal_during_startup_takes_effect() {
    for _ in 0..5 {
        let mut rig = rig(Cache::full());
        assert_eq!(rig.router.counter("requests"), 0);
        rig.router.signal("TERM");
        assert!(rig.router.ended().success());
    }
}

#[test]
fn sigterm_under_load_loses_no_request_before_exit() {
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
    until("it was heard", || rig.router.said("shutdown requested"));
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
