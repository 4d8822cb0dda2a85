//! The encoded bytes of the scatter-gather messages, which must not change since other versions of the router decode them.

use super::message::{PartMessage, PartRequest, PartResult};
use super::purges::Purge;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn every_message_has_the_bytes_written_down() {
    let (class, object) = ("pages".into(), "00000000000000ab".into());
    let request =
        PartRequest { number: 300, class, object, part: 3, group: 17, size_kb: 0.5, time_left: 100.0 };
    let response = |result| PartMessage::Response {
        number: 300,
        elapsed: 1.5,
        purges: vec![
            Purge { group: 1, object: None, time: 5 },
            Purge { group: 1, object: Some(300), time: 6 },
        ],
        result,
    };
    let cases = [
        (
            PartMessage::Request(request),
            "00ac0205706167657310303030303030303030303030303061620311000000000000e03f0000000000005940",
        ),
        (
            response(PartResult::Served { version: "v1".into(), created: 9, body: vec![1, 2] }),
            "01ac02000000000000f83f020100050101ac02060002763109020102",
        ),
        (response(PartResult::Rejected(20.0)), "01ac02000000000000f83f020100050101ac0206010000000000003440"),
        (response(PartResult::Failed), "01ac02000000000000f83f020100050101ac020602"),
        (PartMessage::Cancel { number: 300 }, "02ac02"),
    ];
    for (message, expected) in cases {
        assert_eq!(hex(&message.encode()), expected, "{message:?}");
        assert_eq!(PartMessage::decode(&message.encode()), Some(message));
    }
}
