//! A client that sends at full speed on one connection, beside clients that send a request now and then.

use super::*;

/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The deadline of requests beside the flood.
const DEADLINE: Duration = Duration::from_millis(1000);
/// Messages that a flooding client encodes at a time.
const MESSAGES_AT_A_TIME: u64 = 400;

/// Floods the router with one client, replaced when the router disconnects it, beside clients that need their answers in time.
fn run_flood(mut small: SmallRouter, reads: bool, messages: Messages<'_>) {
    let address = small.router.address;
    let beside = [small.router.client(), small.router.client()];
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for client in beside {
            scope.spawn(|| {
                let longest = assert_none_lost(client, DEADLINE, &ended);
                assert!(longest <= DEADLINE, "a request beside took {longest:?}");
            });
        }
        let mut connected = 0;
        let mut client: Option<SendingClient> = None;
        let start = Instant::now();
        while start.elapsed() < FLOOD_TIME {
            if !client.as_mut().is_some_and(|client| client.advance(64 * 1024, messages)) {
                connected += 1;
                client = SendingClient::connect(address, connected, reads);
            }
        }
        small.report_peak();
        ended.store(true, Ordering::SeqCst);
    });
    small.assert_within_memory();
}

/// Messages by their number on the connection, [`MESSAGES_AT_A_TIME`] of them at a time.
fn many(turn: u64, message: impl Fn(u64) -> Vec<u8>) -> Option<Vec<u8>> {
    Some((1..=MESSAGES_AT_A_TIME).flat_map(|number| message(MESSAGES_AT_A_TIME * turn + number)).collect())
}

#[test]
fn flood_of_probes_delays_no_other_client() {
    let probes = message("PING", 7).repeat(MESSAGES_AT_A_TIME as usize);
    run_flood(SmallRouter::start_with_all_objects(), true, &|_, _| Some(probes.clone()));
}

#[test]
fn flood_of_probes_whose_answers_are_not_read_delays_no_other_client() {
    let probes = message("PING", 7).repeat(MESSAGES_AT_A_TIME as usize);
    run_flood(SmallRouter::start_with_all_objects(), false, &|_, _| Some(probes.clone()));
}

#[test]
fn flood_of_cancellations_of_unknown_requests_delays_no_other_client() {
    run_flood(SmallRouter::start_with_all_objects(), true, &|_, turn| {
        many(turn, |number| message("UNDO", number))
    });
}

#[test]
fn flood_of_requests_under_ever_new_ids_and_objects_with_long_deadlines_delays_no_other_client() {
    run_flood(SmallRouter::start_with_all_objects(), true, &|client, turn| {
        let number = turn + 1;
        Some(request(number, unique_id(client, number), READ, 600_000, "", b""))
    });
}

#[test]
fn flood_of_requests_of_ever_new_unknown_classes_delays_no_other_client() {
    run_flood(SmallRouter::start_with_all_objects(), true, &|client, turn| {
        many(turn, |number| {
            request(number, unique_id(client, number), &format!("class-{client}-{number}"), 5000, "", b"")
        })
    });
}

#[test]
fn flood_of_requests_cancelled_at_once_delays_no_other_client() {
    run_flood(SmallRouter::start_with_all_objects(), true, &|client, turn| {
        let number = turn + 1;
        let request = request(number, unique_id(client, number), READ, 5000, "", b"");
        Some([request, message("UNDO", number)].concat())
    });
}

#[test]
fn flood_of_bytes_that_are_no_message_delays_no_other_client() {
    let noise = vec![b'#'; 64 * 1024];
    run_flood(SmallRouter::start_with_all_objects(), true, &|_, _| Some(noise.clone()));
}
