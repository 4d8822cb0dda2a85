//! Detection of pauses of the process.

use super::*;

fn paused_for(pause: Duration) -> (Stalls, Instant) {
    let stalls = Stalls::default();
    let start = stalls.turn();
    stalls.last_turn.set(start - pause);
    (stalls, start - pause)
}

#[test]
fn bytes_read_after_a_pause_count_as_received_at_its_start() {
    let (stalls, start) = paused_for(Duration::from_secs(2));
    let waited = stalls.waited(start);
    assert!(waited >= Duration::from_millis(1_900), "{waited:?}");
    // The socket was known to be empty later than that.
    let since = stalls.last_turn.get() - Duration::from_millis(500);
    assert!(stalls.waited(since) < Duration::from_secs(1));
    // And after the stop.
    assert_eq!(stalls.waited(Instant::now()), Duration::ZERO);
    assert_eq!(stalls.count(), 1);
}

#[test]
fn pauses_in_quick_succession_count_as_one() {
    let (stalls, start) = paused_for(Duration::from_secs(3));
    let between = start + Duration::from_secs(1);
    stalls.last_pause.set(Some(Pause { start: start + MAX_TURN, end: between }));
    stalls.last_turn.set(between + Duration::from_millis(40));
    assert!(stalls.waited(start) >= Duration::from_millis(2_800));
    // One that came long after is another.
    let (stalls, start) = paused_for(Duration::from_secs(3));
    stalls.last_pause.set(Some(Pause { start, end: start + Duration::from_secs(1) }));
    stalls.last_turn.set(start + Duration::from_secs(2));
    assert!(stalls.waited(start) < Duration::from_secs(1));
}

#[test]
fn turn_of_usual_length_is_no_pause() {
    let (stalls, start) = paused_for(MAX_TURN);
    assert_eq!(stalls.waited(start), Duration::ZERO);
    assert_eq!(stalls.count(), 0);
}

#[test]
fn attempts_wait_until_sockets_are_read_after_a_pause() {
    let (stalls, _) = paused_for(Duration::from_secs(1));
    let started = Instant::now();
    async_io::block_on(stalls.read_first());
    assert!(started.elapsed() >= READ_FIRST_WINDOW);
    let started = Instant::now();
    async_io::block_on(stalls.read_first());
    assert!(started.elapsed() < READ_FIRST_WINDOW, "once is enough");
}
