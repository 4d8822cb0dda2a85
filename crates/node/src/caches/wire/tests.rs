//! Encoding of attempts.

use super::*;

#[test]
fn reencoded_attempt_differs_in_its_timeout_only() {
    let id = WireId(Arc::from("00000000000000ff"));
    let ask = |wait| AttemptRequest {
        id: &id,
        class: "pages",
        object: "0000000000000007",
        part: 3,
        wait,
        from: None,
        rank: Rank::Top,
        oldest: Some(40.0),
        share: true,
        peek: false,
        renew: true,
        seen: None,
        key: Some("w1"),
        body: b"w=9,\r\n body",
    };
    assert_eq!(with_timeout(&ask(1_500.0).encode(), 70.9), Some(ask(70.0).encode()));
    assert_eq!(with_timeout(&ask(1_500.0).encode(), 0.0), Some(ask(1.0).encode()));
    assert_eq!(with_timeout(b"*1\r\n$5\r\nabort\r\n", 1.0), None);
}
