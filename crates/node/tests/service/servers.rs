//! Misbehaving servers and change logs.

use crate::common::frame_kind::{LIST_UPDATE, PURGE_OBJECT};
use crate::common::*;
use crate::*;

#[test]
fn answers_without_an_open_attempt_are_dropped() {
    let edge = Cache::start(|fetch| match fetch.field("k") {
        Some("0000000000000001") => FetchBehaviour::OkTwice(part_body(fetch)),
        Some("0000000000000002") => FetchBehaviour::OkAfterUnknownId(part_body(fetch)),
        _ => FetchBehaviour::Ok(part_body(fetch)),
    });
    let harness = start_router_with(edge, |_| {});
    let mut client = harness.router.client();
    for tag in 1..=3 {
        client.send_request(tag, "pages", tag, "", b"");
        let answer = client.expect_answer();
        assert_eq!((answer.tag, answer.body), (tag, format!("{tag:016x}/0").into_bytes()));
    }
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((harness.router.counter("late_answers"), harness.router.counter("conns")), (2, 1));
}

#[test]
fn answer_never_counts_for_a_later_attempt() {
    // The cache answers the first attempt twice; the second answer must not count for the attempt after it.
    let first = AtomicBool::new(true);
    let edge = Cache::start(move |fetch| match first.swap(false, Ordering::SeqCst) {
        true => FetchBehaviour::AnswerTwice { status: "nothing" },
        false => FetchBehaviour::OkAfter { delay_ms: 300, body: part_body(fetch) },
    });
    let harness = start_router_with(edge, |_| {});
    let mut client = harness.router.client();
    assert_served(&mut client, 1);
    assert_eq!(client.answers_before_pong(), []);
    assert_eq!((harness.edge.fetch_count(), harness.router.counter("attempts_miss")), (2, 1));
    assert_eq!(harness.router.counter("late_answers"), 1);
}

#[test]
fn malformed_or_incomplete_answer_closes_its_connection_and_moves_the_other_attempts() {
    let malformed_answers: [fn() -> FetchBehaviour; 6] = [
        || FetchBehaviour::Answer { status: "ok", fields: "-" },
        || FetchBehaviour::Bytes(b"*4\r\n$16\r\n"),
        || FetchBehaviour::Bytes(b"*4\r\n$1\r\nx\r\n$2\r\nok\r\n$-5\r\n"),
        || FetchBehaviour::Bytes(b"*4\r\n$1\r\nx\r\n$2\r\nok\r\n$1\r\n-\r\n$3000000000\r\nabc"),
        || FetchBehaviour::Answer { status: "ok", fields: "bé,=,noise" },
        || FetchBehaviour::Bytes(b"\0\x01\x02 noise"),
    ];
    for malformed_answer in malformed_answers {
        // The first connection gets a malformed answer to its second request, and then no more bytes.
        let edge = Cache::start(move |fetch| match (fetch.connection, fetch.field("k")) {
            (1, Some("0000000000000002")) => malformed_answer(),
            (1, _) => FetchBehaviour::NoAnswer,
            _ => FetchBehaviour::Ok(part_body(fetch)),
        });
        let second = Cache::with_all_objects();
        let harness = start_router_with(edge, |c| add_second_edge(c, &second));
        let mut client = harness.router.client();
        let start = Instant::now();
        client.send_request(1, "pages", 1, "", b"");
        client.send_request(2, "pages", 2, "", b"");
        let answers = [client.expect_answer(), client.expect_answer()];
        assert!(answers.iter().all(|answer| answer.status == "200"), "{answers:?}");
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
        assert_eq!(client.answers_before_pong(), []);
    }
}

#[test]
fn connection_with_an_unanswered_probe_gets_no_request() {
    // The first connection of all never answers its probe, as if its machine were lost.
    let silent_first = |first: Arc<AtomicBool>| {
        move |_| {
            if first.swap(false, Ordering::SeqCst) {
                ProbeBehaviour::NoAnswer
            } else {
                ProbeBehaviour::Yes
            }
        }
    };
    let first = Arc::new(AtomicBool::new(true));
    let other = Arc::clone(&first);
    let edge = Cache::start_with_probes(silent_first(first), |fetch| FetchBehaviour::Ok(part_body(fetch)));
    let second = Cache::start_with_probes(silent_first(other), |fetch| FetchBehaviour::Ok(part_body(fetch)));
    let harness = start_router_with(edge, |c| {
        add_second_edge(c, &second);
        c["settings"]["limits"]["connect-timeout"] = json!(400.0);
    });
    let mut client = harness.router.client();
    assert_served(&mut client, 1);
    assert_eq!(harness.edge.fetch_count() + second.fetch_count(), 1);
    assert_eq!(harness.router.counter("attempts_no_connection"), 1);
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn write_does_not_share_a_connection() {
    let origin = Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 200, body: part_body(fetch) });
    let log = ChangeLog::start();
    let edge = Cache::with_all_objects();
    let router =
        router(&configuration(&edge_parent_origin(&edge, &Cache::with_all_objects(), &origin), log.address));
    let mut client = router.client();
    for tag in 1..=8 {
        client.send_request(tag, "loan", tag, "", b"borrow");
    }
    let answers: Vec<ClientAnswer> = (0..8).map(|_| client.expect_answer()).collect();
    assert!(answers.iter().all(|answer| answer.status == "200"));
    let mut conns: Vec<usize> = origin.fetches().iter().map(|fetch| fetch.connection).collect();
    conns.sort_unstable();
    conns.dedup();
    assert_eq!((origin.fetch_count(), conns.len()), (8, 8), "each write has a connection of its own");
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn write_on_a_closing_new_or_idle_connection_is_not_executed() {
    let origin = Cache::start_with_probes(
        |conn| if conn == 1 { ProbeBehaviour::Disconnect } else { ProbeBehaviour::Yes },
        |fetch| FetchBehaviour::Ok(part_body(fetch)),
    );
    let parent = Cache::with_all_objects();
    let log = ChangeLog::start();
    let router = router(&configuration(
        &edge_parent_origin(&Cache::with_all_objects(), &parent, &origin),
        log.address,
    ));
    let mut client = router.client();
    client.send_request(1, "loan", 1, "", b"borrow");
    assert_eq!(client.expect_answer().status, "200", "retried, since it was provably not executed");
    assert_eq!((parent.fetch_count(), origin.fetch_count()), (1, 0));
    assert_eq!((router.counter("attempts_broken"), router.counter("attempts_not_sent")), (0, 1));
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn change_log_cut_in_mid_event_or_repeating_notifies_each_event_once() {
    let harness = start_router();
    wait_until("the router follows the change log", || {
        !harness.log.resume_positions.lock().expect("lock").is_empty()
    });
    *harness.log.cut_in_half.lock().expect("lock") = Some(3);
    for (number, object) in [(2, 1), (2, 1), (3, 2), (4, 3), (4, 3)] {
        harness.log.publish(number, PURGE_OBJECT, &purge(object));
    }
    wait_until("all events are received", || harness.router.counter("purges") >= 3);
    wait_until("the router reconnects after the cut", || {
        harness.log.resume_positions.lock().expect("lock").contains(&2)
    });
    harness.log.publish(5, PURGE_OBJECT, &purge(4));
    wait_until("the next event is received", || harness.router.counter("purges") >= 4);
    assert_eq!((harness.router.counter("purges"), harness.router.counter("log_lost")), (4, 1));
    let mut client = harness.router.client();
    (1..=5).for_each(|tag| assert_served(&mut client, tag));
    assert_eq!(client.answers_before_pong(), []);
    let age_limited = harness.edge.fetches().iter().filter(|fetch| fetch.field("oldest").is_some()).count();
    assert_eq!(age_limited, 4);
}

#[test]
fn servers_that_come_and_go_leave_no_connections() {
    let harness = start_router();
    let mut client = harness.router.client();
    assert_served(&mut client, 1);
    // Not the address of the edge cache: a server that is new there would take its place.
    let others = Cache::with_all_objects();
    let address = others.address;
    for round in 0..40u32 {
        let ids = (0..50).map(|n| 0x1000 + 50 * round + n);
        let all = |state: EndpointState| {
            ids.clone().flat_map(|id| record(id, address, state, EDGE_KIND)).collect::<Vec<u8>>()
        };
        harness.log.publish(u64::from(2 + 2 * round), LIST_UPDATE, &all(EndpointState::Up));
        harness.log.publish(u64::from(3 + 2 * round), LIST_UPDATE, &all(EndpointState::Removed));
    }
    wait_until("2,000 servers were added and removed", || harness.router.counter("lists") == 81);
    assert_eq!(harness.router.counter("servers_now"), 3);
    assert_served(&mut client, 2);
    assert_eq!(client.answers_before_pong(), []);
}
