//! Ids that come again after their client has left.

use super::*;

/// A write with a chosen id.
fn write_with_id(tag: u64, id: &str, body: &[u8]) -> Vec<u8> {
    let fields = format!("i={id},d={DEADLINE_MS},o={tag:016x},nth=0,batch=17");
    encode(&[b"DO", tag.to_string().as_bytes(), b"loan", fields.as_bytes(), body])
}

#[test]
fn write_whose_id_comes_again_after_its_client_left_runs_once() {
    for abandonment in ABANDONMENTS {
        let silent = || Cache::start(|_| FetchBehaviour::NoAnswer);
        let all = Cache::with_all_objects;
        let harness = RouterHarness::start_with_caches([all(), all(), all(), silent()], false, |_| {});
        let id = "00000000abcd0001";
        let mut first = harness.client();
        first.write(&write_with_id(1, id, b"borrow"));
        let executions = || harness.fetched().iter().filter(|fetched| *fetched == id).count();
        wait_until("the origin has the write", || executions() == 1);
        let connected = abandonment.apply(first, 1);
        wait_until("the abandonment is noticed", || harness.router.counter("left") == 1);
        wait_until("the attempt has ended", || all_attempts_ended(&harness.router));
        let mut second = harness.client();
        second.write(&write_with_id(2, id, b"borrow"));
        let answer = second.expect_answer();
        assert_eq!(
            (answer.tag, answer.status.as_str()),
            (2, "500"),
            "{abandonment:?}: the write may have run"
        );
        assert_eq!((executions(), harness.router.counter("ids_again")), (1, 1), "{abandonment:?}");
        drop(connected);
    }
}
