//! Encoding of attempts.

use super::*;

#[test]
fn reencoded_attempt_differs_in_its_timeout_only() {
    let id = WireId(Arc::from("00000000000000ff"));
    let attempt = |timeout_ms| AttemptRequest {
        id: &id,
        class: "pages",
        object: "0000000000000007",
        part: 3,
        timeout_ms,
        fill_source: None,
        rank: Rank::Top,
        max_age_ms: Some(40.0),
        join_fill: true,
        cached_only: false,
        revalidate: true,
        copy_tag: None,
        idempotency_key: Some("w1"),
        body: b"w=9,\r\n body",
    };
    assert_eq!(with_timeout(&attempt(1_500.0).encode(), 70.9), Some(attempt(70.0).encode()));
    assert_eq!(with_timeout(&attempt(1_500.0).encode(), 0.0), Some(attempt(1.0).encode()));
    assert_eq!(with_timeout(b"*1\r\n$5\r\nabort\r\n", 1.0), None);
}
