//! Clients that misbehave.

use crate::common::*;
use crate::*;

#[test]
fn hundreds_of_silent_clients_are_closed_while_another_is_served() {
    let rig = rig_of(Cache::with_all_objects(), with_sockets(64));
    let mut early = rig.router.client();
    assert_served(&mut early, 1);
    let silent: Vec<Client> = (0..300).map(|_| rig.router.client()).collect();
    // The one after all of them waits for none of their 2 s.
    let asked = Instant::now();
    let mut late = rig.router.client();
    assert_served(&mut late, 2);
    let waited = asked.elapsed();
    assert!(rig.router.counter("closed_for_room") > 100, "room was made");
    for mut client in silent {
        assert_eq!(client.next(), None);
    }
    assert!(waited < OWED, "{waited:?}");
    assert_eq!(late.answers_before_pong(), []);
}

#[test]
fn idle_client_gives_up_its_slot_to_others() {
    let rig = rig_of(Cache::with_all_objects(), with_sockets(64));
    let mut all = Vec::new();
    // More than there are places for, each with an answer and nothing further to say.
    for tag in 1..=80 {
        let mut client = rig.router.client();
        assert_served(&mut client, tag);
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
fn client_with_an_open_request_keeps_its_slot() {
    let rig = rig_of(
        Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 1500, body: part_body(s) }),
        with_sockets(64),
    );
    let mut busy: Vec<Client> = (0..27).map(|_| rig.router.client()).collect();
    for (tag, client) in (1..).zip(&mut busy) {
        client.send_request(tag, "pages", tag, "", b"");
    }
    wait_until("they are all open", || rig.router.counter("requests") == 27);
    let mut waits = rig.router.client();
    waits.send_request(1, "pages", 99, "", b"");
    for client in &mut busy {
        assert_eq!(client.expect_answer().status, "200");
    }
    assert_eq!(waits.expect_answer().status, "200");
}

#[test]
fn partial_message_keeps_a_slot_no_longer_than_silence() {
    let rig = rig();
    let mut good = rig.router.client();
    assert_served(&mut good, 1);
    for bytes in [&b""[..], b"*5\r\n", b"*5\r\n$2\r\nDO\r\n$1\r\n7\r\n$5\r\npag"] {
        let start = Instant::now();
        let mut bad = rig.router.client();
        bad.write(bytes);
        assert_eq!(bad.next(), None);
        assert!(start.elapsed() < OWED + Duration::from_secs(2), "{:?}", start.elapsed());
    }
    // A whole message before it gives the next one no more time.
    let mut bad = rig.router.client();
    assert_served(&mut bad, 2);
    bad.write(b"*5\r\n$2\r\nDO\r\n");
    assert_eq!(bad.next(), None);
    wait_until("all are told of", || rig.router.counter("closed_unfinished") == 3);
    assert_eq!(rig.router.counter("closed_silent"), 1);
    // One that closes in mid-message is gone at once.
    let mut gone = rig.router.client();
    gone.write(b"*5\r\n$2\r\nDO\r\n");
    drop(gone);
    wait_until("only the good one is left", || rig.router.counter("clients_now") <= 1);
}

fn bytes_of(tag: &str, id: &str, object: &str, wait: &str) -> Vec<u8> {
    let fields = format!("i={id},d={wait},o={object},nth=0,batch=17");
    encode(&[b"DO", tag.as_bytes(), b"pages", fields.as_bytes(), b""])
}

#[test]
fn undecodable_message_closes_its_connection_at_once() {
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
    wait_until("all are told of", || rig.router.counter("closed_unreadable") == 7);
    assert_served(&mut good, 1);
    assert!(rig.router.counter("held_most") < 1_000_000, "nothing of the 60 MB was kept");
}

#[test]
fn malformed_request_fails_and_reaches_no_cache() {
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
        assert_eq!(bad.expect_answer().status, "500", "{}", String::from_utf8_lossy(&bytes));
    }
    assert_eq!((rig.edge.fetch_count(), rig.router.counter("unreadable")), (0, 8));
    // One that goes on and on is closed.
    for tag in 10..100 {
        let _ = bad.socket.write_all(&bytes_of(&tag.to_string(), "9b1f", object, "1500"));
    }
    let mut failed = 0;
    for got in bad {
        failed += usize::from(got.status == "500");
    }
    assert!(failed <= 8);
    assert_served(&mut good, 1);
    assert_eq!((rig.edge.fetch_count(), rig.router.counter("closed_broken_rule")), (1, 1));
}

#[test]
fn open_request_id_is_not_shared_with_another_request() {
    let rig = rig_of(Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 500, body: part_body(s) }), |_| {});
    let (mut first, mut second) = (rig.router.client(), rig.router.client());
    let id = first.send_request(1, "pages", 1, "", b"");
    wait_until("it is open", || rig.router.counter("requests") == 1);
    second.write(&bytes_of("1", &id, "00000000000000aa", "1500"));
    assert_eq!(second.expect_answer().status, "500");
    assert_eq!(first.expect_answer().body, b"0000000000000001/0");
    assert_eq!((first.answers_before_pong(), second.answers_before_pong()), (vec![], vec![]));
    assert_eq!(rig.edge.fetch_count(), 1);
}

#[test]
fn repeated_tag_closes_its_connection_without_an_answer() {
    let rig = rig_of(Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 300, body: part_body(s) }), |_| {});
    let mut bad = rig.router.client();
    bad.send_request(1, "pages", 1, "", b"");
    bad.send_request(1, "pages", 2, "", b"");
    assert_eq!(bad.next(), None);
    // Nor under one that has been answered.
    let mut bad = rig.router.client();
    assert_served(&mut bad, 3);
    bad.send_request(3, "pages", 4, "", b"");
    assert_eq!(bad.next(), None);
    assert_eq!(rig.router.counter("closed_broken_rule"), 2);
    wait_until("what was open is given up", || rig.router.counter("left") == 1);
}

#[test]
fn hundreds_of_closes_and_cancellations_do_not_affect_others() {
    let rig = rig_of(
        Cache::start(|s| {
            if s.field("k") == Some("0000000000000001") {
                FetchBehaviour::Ok(part_body(s))
            } else {
                FetchBehaviour::NoAnswer
            }
        }),
        |_| {},
    );
    let mut good = rig.router.client();
    assert_served(&mut good, 1);
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
    wait_until("all of it is given up", || rig.router.counter("left") == 64);
    good.send_request(2, "pages", 1, "", b"");
    assert_eq!(good.expect_answer().status, "200");
    assert_eq!((rig.router.counter("closed_broken_rule"), rig.router.counter("requests")), (2, 66));
}

#[test]
fn client_that_cancels_every_request_is_closed() {
    let rig = rig_of(Cache::start(|_| FetchBehaviour::NoAnswer), |_| {});
    let mut bad = rig.router.client();
    let mut bytes = Vec::new();
    for tag in 1..=300u64 {
        let (id, object) = (format!("{:016x}", tag + 5000), format!("{tag:016x}"));
        bytes.extend(bytes_of(&tag.to_string(), &id, &object, "5000"));
        bytes.extend(encode(&[b"UNDO", tag.to_string().as_bytes()]));
    }
    let _ = bad.socket.write_all(&bytes);
    assert_eq!(bad.next(), None);
    wait_until("all is given up", || rig.router.counter("left") == 96);
    assert_eq!(rig.router.counter("closed_broken_rule"), 1);
}

#[test]
fn requests_before_malformed_bytes_fail_and_are_not_dropped() {
    let rig = rig_of(Cache::start(|_| FetchBehaviour::NoAnswer), |_| {});
    let mut bad = rig.router.client();
    bad.send_request(1, "pages", 1, "", b"");
    bad.send_request(2, "pages", 2, "", b"");
    wait_until("both are open", || rig.router.counter("requests") == 2);
    bad.write(b"GET / HTTP/1.1\r\n\r\n");
    let mut answers: Vec<(u64, String)> = bad.by_ref().map(|got| (got.tag, got.status)).collect();
    answers.sort();
    assert_eq!(answers, [(1, "500".to_string()), (2, "500".to_string())]);
}

#[test]
fn client_that_cancels_slowly_keeps_its_connection() {
    let rig = rig_of(Cache::start(|_| FetchBehaviour::NoAnswer), |_| {});
    let mut client = rig.router.client();
    // More than the bound in all, less than it in any second, and no answer between them.
    for tag in 1..=110u64 {
        client.send_request(tag, "pages", tag, "", b"");
        client.send_message("UNDO", tag);
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!(rig.router.counter("closed_broken_rule"), 0);
}
