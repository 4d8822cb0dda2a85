//! Words between control parts, as bytes.

use basaltgw_control::words::{Message, MOST_SPREAD, PURGES_AT_ONCE};
use basaltgw_control::Purge;
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_bytes_are_a_word_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Some(word) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&word.encode()), Some(word));
        }
    }
}

#[test]
fn words_come_back_as_they_went() {
    let purge = Purge { group: 1, object: None, time: 5 };
    for word in [
        Message::PurgeSyncRequest,
        Message::PurgeSync { purges: vec![purge], last: true },
        Message::TableState { serial: 3, body: vec![1, 2] },
        Message::ReplicaSynced { term: 9 },
        Message::OverlayLink { open: true },
        Message::OverlayFrame(vec![7; MOST_SPREAD]),
    ] {
        assert_eq!(Message::decode(&word.encode()), Some(word));
    }
    let many = Message::PurgeSync { purges: vec![purge; PURGES_AT_ONCE + 1], last: true };
    assert_eq!(Message::decode(&many.encode()), None);
    assert_eq!(Message::decode(&Message::OverlayFrame(vec![7; MOST_SPREAD + 1]).encode()), None);
}

#[test]
fn words_keep_their_numbers() {
    let number = |word: Message| word.encode()[0];
    let words = [
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
    assert_eq!(words.map(number), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn a_purge_is_the_same_word_everywhere_and_comes_back() {
    for object in [None, Some(0), Some(u64::MAX)] {
        let purge = Purge { group: 7, object, time: 1_764_000_000_123 };
        assert_eq!(Purge::from_update(&purge.to_update()), Some(purge));
        assert_eq!(Purge::from_update(&[purge.to_update(), vec![0]].concat()), None);
        assert_eq!(Purge::from_update(&purge.to_update()[..8]), None);
    }
}
