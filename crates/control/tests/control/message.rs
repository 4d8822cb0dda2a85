//! Encoding of messages and updates.

use basaltgw_control::message::{Message, MAX_OVERLAY_FRAME_BYTES, MAX_PURGES_PER_MESSAGE};
use basaltgw_control::Purge;
use proptest::prelude::*;

proptest! {
    #[test]
    fn decoded_arbitrary_bytes_encode_to_an_equal_message(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Some(message));
        }
    }
}

#[test]
fn a_message_within_limits_decodes_to_itself_and_a_larger_one_is_rejected() {
    let purge = Purge { group: 1, object: None, time: 5 };
    for message in [
        Message::PurgeSyncRequest,
        Message::PurgeSync { purges: vec![purge], last: true },
        Message::TableState { serial: 3, body: vec![1, 2] },
        Message::ReplicaSynced { term: 9 },
        Message::OverlayLink { open: true },
        Message::OverlayFrame(vec![7; MAX_OVERLAY_FRAME_BYTES]),
    ] {
        assert_eq!(Message::decode(&message.encode()), Some(message));
    }
    let oversized = Message::PurgeSync { purges: vec![purge; MAX_PURGES_PER_MESSAGE + 1], last: true };
    assert_eq!(Message::decode(&oversized.encode()), None);
    assert_eq!(Message::decode(&Message::OverlayFrame(vec![7; MAX_OVERLAY_FRAME_BYTES + 1]).encode()), None);
}

#[test]
fn each_message_variant_has_its_fixed_number() {
    let number = |message: Message| message.encode()[0];
    let messages = [
        Message::PurgeSyncRequest,
        Message::PurgeSync { purges: Vec::new(), last: true },
        Message::TableRequest,
        Message::TableState { serial: 1, body: Vec::new() },
        Message::TableDurable { term: 1 },
        Message::LeaseQuery { key: Purge { group: 1, object: None, time: 5 }.record_change().0, term: 1 },
        Message::ReplicaSynced { term: 1 },
        Message::OverlayLink { open: false },
        Message::OverlayFrame(Vec::new()),
    ];
    assert_eq!(messages.map(number), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_purge_update_decodes_to_the_purge_and_malformed_ones_are_rejected() {
    for object in [None, Some(0), Some(u64::MAX)] {
        let purge = Purge { group: 7, object, time: 1_764_000_000_123 };
        assert_eq!(Purge::from_update(&purge.to_update()), Some(purge));
        assert_eq!(Purge::from_update(&[purge.to_update(), vec![0]].concat()), None);
        assert_eq!(Purge::from_update(&purge.to_update()[..8]), None);
    }
}
