//! A change log all of whose bytes arrive late, and one whose frames arrive in pieces.

use super::*;
use crate::common::frame_kind::LIST_UPDATE;
use std::thread;

/// Whatever the change log tells counts as told after this, and a drain has to be kept from then on.
const TOLD_AFTER: Duration = Duration::from_secs(7);

/// Asserts that a drain reaches a router in time while the change log's bytes arrive late.
fn assert_drain_is_heard(delay: Duration, router_knows_a_list: bool) {
    let log = ChangeLog::start();
    if !router_knows_a_list {
        log.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }
    let harness = start_router_with(log, |c| {
        if !router_knows_a_list {
            c["known"] = json!({"seq": 0, "results": []});
        }
    });
    wait_until("the router follows the change log", || connection_count(&harness.log) >= 1);
    let lists_before = harness.router.counter("lists");
    harness.log.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    let drain = record(EDGE, harness.edge.address, EndpointState::Draining, EDGE_KIND);
    let (number, kind) = if router_knows_a_list { (2, LIST_UPDATE) } else { (1, COMPLETE_LIST) };
    harness.log.publish(number, kind, &drain);
    let told = Instant::now();
    let heard = wait_up_to(TOLD_AFTER, || harness.router.counter("lists") > lists_before);
    assert!(
        heard,
        "bytes {delay:?} late: not heard after {:?}, connections: {}, lost: {}",
        told.elapsed(),
        connection_count(&harness.log),
        harness.router.counter("log_lost")
    );
}

/// Guards against a router that closes each connection to a slow change log before the first word on it arrives, and so is never told.
#[test]
fn drain_is_heard_while_all_that_the_change_log_sends_is_late() {
    let cases = [(3_000, true), (3_000, false), (5_500, true), (5_500, false), (1_400, true)];
    let threads = cases.map(|(delay_ms, router_knows_a_list)| {
        thread::spawn(move || assert_drain_is_heard(Duration::from_millis(delay_ms), router_knows_a_list))
    });
    threads.into_iter().for_each(|thread| thread.join().expect("the drain is heard in time"));
}

/// Guards against frames that are lost since their bytes take longer than a connection may be without a complete frame.
#[test]
fn frame_that_arrives_in_pieces_over_seconds_is_received() {
    const PIECE_BYTES: usize = 5;
    const PIECE_INTERVAL: Duration = Duration::from_millis(900);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            thread::spawn(move || {
                let event = frame(2, PURGE_OBJECT, &purge(77));
                // The router may have replaced the connection.
                let sent_all = event.chunks(PIECE_BYTES).all(|piece| {
                    thread::sleep(PIECE_INTERVAL);
                    socket.write_all(piece).is_ok()
                });
                if sent_all {
                    let _ = socket.read_to_end(&mut Vec::new());
                }
            });
        }
    });
    let harness = start_router_with(ChangeLog::start(), |c| c["changelog"] = json!(address.to_string()));
    let heard = wait_up_to(TOLD_AFTER, || harness.router.counter("purges") == 1);
    assert!(heard, "not heard within {TOLD_AFTER:?}, lost: {}", harness.router.counter("log_lost"));
}
