//! Detection of pauses of the process.

use super::*;

/// A detector whose last turn was this long ago, and the time of that turn.
fn last_turn_before(pause: Duration) -> (Stalls, Instant) {
    let stalls = Stalls::default();
    let start = stalls.on_turn();
    stalls.last_turn.set(start - pause);
    (stalls, start - pause)
}

#[test]
fn bytes_read_after_a_pause_count_as_received_at_its_start() {
    let (stalls, start) = last_turn_before(Duration::from_secs(2));
    let waited = stalls.max_wait_in_socket(start);
    assert!(waited >= Duration::from_millis(1_900), "{waited:?}");
    // The socket was empty during the pause.
    let since = stalls.last_turn.get() - Duration::from_millis(500);
    assert!(stalls.max_wait_in_socket(since) < Duration::from_secs(1));
    // The socket was empty after the pause.
    assert_eq!(stalls.max_wait_in_socket(Instant::now()), Duration::ZERO);
    assert_eq!(stalls.count(), 1);
}

#[test]
fn pauses_in_quick_succession_count_as_one() {
    let (stalls, start) = last_turn_before(Duration::from_secs(3));
    let between = start + Duration::from_secs(1);
    stalls.last_pause.set(Some(Pause { start: start + MAX_TURN_INTERVAL, end: between }));
    stalls.last_turn.set(between + Duration::from_millis(40));
    assert!(stalls.max_wait_in_socket(start) >= Duration::from_millis(2_800));
    // A pause long after another one counts separately.
    let (stalls, start) = last_turn_before(Duration::from_secs(3));
    stalls.last_pause.set(Some(Pause { start, end: start + Duration::from_secs(1) }));
    stalls.last_turn.set(start + Duration::from_secs(2));
    assert!(stalls.max_wait_in_socket(start) < Duration::from_secs(1));
}

#[test]
fn turn_of_usual_length_is_no_pause() {
    let (stalls, start) = last_turn_before(MAX_TURN_INTERVAL);
    assert_eq!(stalls.max_wait_in_socket(start), Duration::ZERO);
    assert_eq!(stalls.count(), 0);
}

#[test]
fn attempts_wait_until_sockets_are_read_after_a_pause() {
    let (stalls, _) = last_turn_before(Duration::from_secs(1));
    let started = Instant::now();
    async_io::block_on(stalls.wait_for_reads());
    assert!(started.elapsed() >= READ_FIRST_WINDOW);
    let started = Instant::now();
    async_io::block_on(stalls.wait_for_reads());
    assert!(started.elapsed() < READ_FIRST_WINDOW, "no wait without another pause");
}
