//! The change log, the list, and the end.

use crate::common::*;
use crate::*;

#[test]
fn gap_in_the_change_log_is_requested_again_without_repeats() {
    let rig = rig(Cache::with_all_objects());
    *rig.log.skip_once.lock().expect("lock") = Some(2);
    let mut purge = 1u64.to_be_bytes().to_vec();
    purge.extend_from_slice(&unix_ms().to_be_bytes());
    rig.log.publish(2, 3, &purge);
    purge[7] = 2;
    rig.log.publish(3, 3, &purge);
    wait_until("it resumed", || rig.log.resume_positions.lock().expect("lock").len() >= 2);
    assert_eq!(rig.log.resume_positions.lock().expect("lock")[..2], [1, 1]);
    wait_until("both were told", || rig.router.counter("purges") == 2);
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    client.send_request(2, "pages", 2, "", b"");
    client.send_request(3, "pages", 3, "", b"");
    assert_eq!(tags(&[client.expect_answer(), client.expect_answer(), client.expect_answer()]), [1, 2, 3]);
    assert_eq!(client.answers_before_pong(), []);
    for seen in rig.edge.fetches() {
        let purged = seen.field("k") != Some("0000000000000003");
        assert_eq!(seen.field("oldest").is_some(), purged, "{seen:?}");
    }
    assert_eq!(rig.router.counter("purges"), 2);
}

#[test]
fn silent_or_malformed_change_log_is_reconnected() {
    let rig = rig(Cache::with_all_objects());
    wait_until("it is followed", || !rig.log.resume_positions.lock().expect("lock").is_empty());
    rig.log.heartbeats.store(false, Ordering::SeqCst);
    wait_until("silence ends a connection", || rig.log.resume_positions.lock().expect("lock").len() >= 2);
    rig.log.heartbeats.store(true, Ordering::SeqCst);
    let connected = rig.log.resume_positions.lock().expect("lock").len();
    rig.log.publish(2, 9, b"nonsense");
    rig.log.publish(3, 4, &[&17u16.to_be_bytes()[..], &unix_ms().to_be_bytes()[..]].concat());
    // The bad frame ends a connection; met a second time, it no longer keeps the next event back.
    wait_until("the good one is told", || rig.router.counter("purges") == 1);
    assert!(rig.log.resume_positions.lock().expect("lock").len() > connected);
    assert!(rig.router.has_logged("event 2 skipped"));
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
    assert!(rig.edge.fetches()[0].field("oldest").is_some(), "the group was purged");
}

#[test]
fn purge_limits_the_age_of_copies_from_its_own_time() {
    let rig = rig(Cache::with_all_objects());
    // One that is told at once says what time it is: the router's own wall clock may be wrong.
    let prompt = unix_ms();
    rig.log.publish(2, 3, &[8u64.to_be_bytes(), prompt.to_be_bytes()].concat());
    wait_until("it is told", || rig.router.counter("purges") == 1);
    std::thread::sleep(std::time::Duration::from_millis(1700));
    let purged = prompt + 100;
    rig.log.publish(3, 3, &[1u64.to_be_bytes(), purged.to_be_bytes()].concat());
    wait_until("it is told", || rig.router.counter("purges") == 2);
    let mut client = rig.router.client();
    client.send_request(1, "pages", 1, "", b"");
    client.send_request(2, "pages", 2, "", b"");
    assert_eq!(tags(&[client.expect_answer(), client.expect_answer()]), [1, 2]);
    assert_eq!(client.answers_before_pong(), []);
    for seen in rig.edge.fetches() {
        let Some(oldest) = seen.field("oldest").map(|a| a.parse::<u64>().expect("whole")) else {
            assert_eq!(seen.field("k"), Some("0000000000000002"));
            continue;
        };
        assert_eq!(seen.field("k"), Some("0000000000000001"));
        assert!(oldest > 1000 && seen.received_ms - oldest >= purged, "a copy of before the purge would do");
    }
}

#[test]
fn draining_cache_is_sent_nothing_and_a_new_address_gets_a_new_connection() {
    let second = Cache::with_all_objects();
    let rig = rig_of(Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects(), |c| {
        add_second_edge(c, &second)
    });
    let Rig { edge, log, router, .. } = &rig;
    let mut client = router.client();
    let round = |client: &mut Client, from: u64| {
        (from..from + 20).for_each(|t| {
            client.send_request(t, "pages", t * 7919, "", b"");
        });
        let answers: Vec<ClientAnswer> = (0..20).map(|_| client.expect_answer()).collect();
        assert_eq!(tags(&answers), (from..from + 20).collect::<Vec<_>>());
        assert!(answers.iter().all(|g| g.status == "200"));
        assert_eq!(client.answers_before_pong(), []);
    };
    round(&mut client, 1);
    let before = edge.fetch_count();
    assert!(before > 0 && second.fetch_count() > 0, "both are in use");
    log.publish(2, 2, &record(EDGE, edge.address, 1, 0));
    wait_until("it is told", || router.counter("lists") == 2);
    round(&mut client, 101);
    assert_eq!(edge.fetch_count(), before, "nothing to a draining cache");
    // It is back under its id at another address; the old one is somebody else's.
    let moved = Cache::with_all_objects();
    log.publish(3, 2, &record(EDGE, moved.address, 0, 0));
    wait_until("it is told", || router.counter("lists") == 3);
    round(&mut client, 201);
    assert_eq!(edge.fetch_count(), before);
    assert!(moved.fetch_count() > 0, "the id is the same server, wherever it is");
}

#[test]
fn ping_reports_serving_once_the_list_is_received() {
    let empty = |c: &mut Value| c["known"] = json!({"seq": 0, "results": []});
    let rig = rig_of(Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects(), empty);
    let Rig { edge, origin, log, router, .. } = &rig;
    let mut client = router.client();
    client.send_message("PING", 8);
    assert_eq!(client.expect_answer().status, "not_serving");
    let list = [record(EDGE, edge.address, 0, 0), record(ORIGIN, origin.address, 0, 2)].concat();
    log.publish(1, 1, &list);
    wait_until("the list is in", || router.counter("lists") == 1);
    client.send_message("PING", 9);
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (9, "serving"));
    client.send_request(10, "pages", 1, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn signal_during_startup_takes_effect() {
    for _ in 0..5 {
        let mut rig = rig(Cache::with_all_objects());
        assert_eq!(rig.router.counter("requests"), 0);
        rig.router.signal("TERM");
        assert!(rig.router.expect_exit().success());
    }
}

#[test]
fn sigterm_under_load_loses_no_request_before_exit() {
    const SLOW: u64 = 0xffff;
    let slow = format!("{SLOW:016x}");
    let edge = Cache::start(move |s| FetchBehaviour::OkAfter {
        delay_ms: if s.field("k") == Some(&slow) { 2000 } else { 150 },
        body: part_body(s),
    });
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
                    client.send_request(tag, "pages", tag, "", b"");
                    client.send_request(tag + 100_000, "pages", tag + 9000, "", b"");
                    assert_eq!(tags(&[client.expect_answer(), client.expect_answer()]), [tag, tag + 100_000]);
                    done.lock().expect("lock").push(tag);
                }
                // What the router closes had nothing open.
                assert_eq!(client.next(), None);
            })
        })
        .collect();
    wait_until("they are served", || done.lock().expect("lock").len() > 8);
    let served = done.lock().expect("lock").len();
    let mut patient = rig.router.client();
    patient.send_request_with_deadline(60_000, 1, "pages", SLOW, "", b"");
    wait_until("it was passed on", || {
        rig.edge.fetches().iter().any(|s| s.field("k") == Some("000000000000ffff"))
    });
    rig.router.signal("TERM");
    wait_until("it was heard", || rig.router.has_logged("shutdown requested"));
    let asked = Instant::now();
    // New connections are taken for a while; on a machine too busy to try in time this says nothing.
    match std::net::TcpStream::connect(address) {
        Ok(socket) => {
            let mut late = Client::new(socket);
            late.send_request(1, "pages", 77, "", b"");
            assert_eq!(late.expect_answer().status, "200");
        }
        Err(e) => assert!(asked.elapsed() > Duration::from_millis(600), "no longer accepting: {e}"),
    }
    wait_until("more are served", || {
        done.lock().expect("lock").len() > served || asked.elapsed() > Duration::from_millis(400)
    });
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client that lost nothing");
    }
    assert_eq!(
        patient.expect_answer().status,
        "200",
        "what takes longer than the end of accepting is answered"
    );
    assert_eq!(patient.next(), None);
    assert!(rig.router.expect_exit().success());
    wait_until("counters are printed", || rig.router.has_logged("ended: clients="));
}
