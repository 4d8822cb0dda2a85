use super::*;

const TOLERANCE_MS: Ms = 10.0;
const FIRST: SendKey = SendKey(1);
const SECOND: SendKey = SendKey(2);
const THIRD: SendKey = SendKey(3);

#[test]
fn unwritten_send_counts_until_a_window_after_its_arrival() {
    let mut ledger = SendLedger::default();
    ledger.book(1.0, FIRST);
    assert_eq!(ledger.cost_since(5_000.0), 1.0, "not written yet");
    ledger.record_written(6_000.0, FIRST);
    assert_eq!(ledger.cost_since(8_000.0), 1.0, "no response yet");
    ledger.record_response(9_000.0, FIRST, TOLERANCE_MS);
    assert_eq!((ledger.cost_since(9_000.0), ledger.cost_since(9_001.0)), (1.0, 0.0));
}

#[test]
fn response_proves_the_arrival_of_sends_written_well_before() {
    let mut ledger = SendLedger::default();
    for (key, at) in [(FIRST, 0.0), (SECOND, 35.0), (THIRD, 50.0)] {
        ledger.book(1.0, key);
        ledger.record_written(at, key);
    }
    ledger.record_response(56.0, FIRST, 30.0);
    assert_eq!(
        ledger.cost_since(51.0),
        2.0,
        "the first took long and counts as new, the third may yet arrive"
    );
    assert_eq!(ledger.cost_since(35.0), 3.0, "the second arrived when it was written");
    ledger.record_end(90.0, THIRD, 30.0);
    assert_eq!((ledger.cost_since(57.0), ledger.cost_since(91.0)), (1.0, 0.0));
}

#[test]
fn cancelled_and_expired_sends_leave_the_ledger_empty() {
    let mut ledger = SendLedger::default();
    ledger.book(2.0, FIRST);
    ledger.book(3.0, SECOND);
    ledger.record_end(10.0, FIRST, TOLERANCE_MS);
    ledger.cancel(FIRST);
    ledger.cancel(SECOND);
    assert!(ledger.is_empty());
    ledger.book(1.0, THIRD);
    ledger.record_end(20.0, THIRD, TOLERANCE_MS);
    ledger.expire(20.5);
    assert!(ledger.is_empty());
}
