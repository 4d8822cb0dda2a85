//! Encoding and decoding of scatter-gather messages.

use super::message::{PartMessage, PartRequest, PartResult};
use super::purges::Purge;
use crate::limits::{COPY_TAG_MAX_BYTES, MAX_DEADLINE_MS};
use proptest::prelude::*;

fn request() -> PartRequest {
    let (class, object) = ("pages".into(), "00000000000000ab".into());
    PartRequest { number: 7, class, object, part: 3, group: 17, size_kb: 0.0, time_left: 100.0 }
}

#[test]
fn messages_survive_encoding_and_values_out_of_bounds_are_not_decoded() {
    let response = |version: &str| PartMessage::Response {
        number: 7,
        elapsed: 1.5,
        purges: vec![Purge { group: 1, object: None, time: 5 }],
        result: PartResult::Served { version: version.into(), created: 9, body: vec![1, 2] },
    };
    for message in [PartMessage::Request(request()), response("v1"), PartMessage::Cancel { number: 7 }] {
        assert_eq!(PartMessage::decode(&message.encode()), Some(message));
    }
    for time_left in [f64::NAN, -1.0, MAX_DEADLINE_MS * 2.0] {
        let message = PartMessage::Request(PartRequest { time_left, ..request() });
        assert_eq!(PartMessage::decode(&message.encode()), None);
    }
    let message = PartMessage::Request(PartRequest { object: "x".into(), ..request() });
    assert_eq!(PartMessage::decode(&message.encode()), None);
    assert_eq!(PartMessage::decode(&response(&"v".repeat(COPY_TAG_MAX_BYTES + 1)).encode()), None);
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_to_a_message_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(message) = PartMessage::decode(&bytes) {
            prop_assert_eq!(PartMessage::decode(&message.encode()), Some(message));
        }
    }
}
