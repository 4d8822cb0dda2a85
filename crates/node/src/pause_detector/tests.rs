//! Detection of pauses of the process.

use super::*;

/// A detector whose last turn was this long ago, and the time of that turn.
fn last_turn_before(pause: Duration) -> (PauseDetector, Instant) {
    let pause_detector = PauseDetector::default();
    let start = pause_detector.on_turn();
    pause_detector.last_turn.set(start - pause);
    (pause_detector, start - pause)
}

#[test]
fn bytes_read_after_a_pause_count_as_received_at_its_start() {
    let (pause_detector, start) = last_turn_before(Duration::from_secs(2));
    let waited = pause_detector.max_wait_in_socket(start);
    assert!(waited >= Duration::from_millis(1_900), "{waited:?}");
    // The socket was empty during the pause.
    let since = pause_detector.last_turn.get() - Duration::from_millis(500);
    assert!(pause_detector.max_wait_in_socket(since) < Duration::from_secs(1));
    // The socket was empty after the pause.
    assert_eq!(pause_detector.max_wait_in_socket(Instant::now()), Duration::ZERO);
    assert_eq!(pause_detector.count(), 1);
}

#[test]
fn pauses_in_quick_succession_count_as_one() {
    let (pause_detector, start) = last_turn_before(Duration::from_secs(3));
    let between = start + Duration::from_secs(1);
    pause_detector.last_pause.set(Some(Pause { start: start + MAX_TURN_INTERVAL, end: between }));
    pause_detector.last_turn.set(between + Duration::from_millis(40));
    assert!(pause_detector.max_wait_in_socket(start) >= Duration::from_millis(2_800));
    // A pause long after another one counts separately.
    let (pause_detector, start) = last_turn_before(Duration::from_secs(3));
    pause_detector.last_pause.set(Some(Pause { start, end: start + Duration::from_secs(1) }));
    pause_detector.last_turn.set(start + Duration::from_secs(2));
    assert!(pause_detector.max_wait_in_socket(start) < Duration::from_secs(1));
}

#[test]
fn turn_of_usual_length_is_no_pause() {
    let (pause_detector, start) = last_turn_before(MAX_TURN_INTERVAL);
    assert_eq!(pause_detector.max_wait_in_socket(start), Duration::ZERO);
    assert_eq!(pause_detector.count(), 0);
}

#[test]
fn attempts_wait_until_sockets_are_read_after_a_pause() {
    let (pause_detector, _) = last_turn_before(Duration::from_secs(1));
    let started = Instant::now();
    async_io::block_on(pause_detector.wait_for_reads());
    assert!(started.elapsed() >= READ_FIRST_WINDOW);
    let started = Instant::now();
    async_io::block_on(pause_detector.wait_for_reads());
    assert!(started.elapsed() < READ_FIRST_WINDOW, "no wait without another pause");
}
