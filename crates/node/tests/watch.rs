//! The change log's frames and their order: any bytes, any pieces, any faults.

mod common;

use basaltgw::api::ObjectId;
use basaltgw_config::{parse_settings, Seq, WatchEvent, WireNames};
use basaltgw_node::changelog::{Decoder, Follower, Frame};
use basaltgw_node::limits::{CHANGELOG_FRAME_MAX_BYTES, READ_BYTES};
use common::frame;
use proptest::prelude::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

fn names() -> WireNames {
    let v = json!({"areas": ["hub", "edge"], "kinds": ["box", "parent", "origin"],
                   "family-info": {"shield-kind": 1, "store-kind": 2}});
    parse_settings(&v).expect("settings").0
}

fn read(bytes: &[u8]) -> Frame {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    decoder.next_frame(&names()).expect("a frame").expect("a whole one")
}

/// An event that can be read; its object is its number.
fn event(n: u64) -> Frame {
    read(&frame(n, 3, &[n.to_be_bytes(), [0; 8]].concat()))
}

fn unreadable(n: u64) -> Frame {
    read(&frame(n, 9, &[]))
}

fn empty(n: u64) -> Frame {
    read(&frame(n, 0, &[]))
}

/// What happens once to an event on its way.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LeftOut,
    Spoilt,
    Twice,
    Broken,
    /// It and all later ones are held back on this connection, which goes on with empty frames.
    HeldBack,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::LeftOut),
        Just(Fault::Spoilt),
        Just(Fault::Twice),
        Just(Fault::Broken),
        Just(Fault::HeldBack)
    ]
}

#[test]
fn empty_frame_reveals_missing_events() {
    let mut follower = Follower::new(Seq(4));
    assert!(!follower.is_behind());
    for (number, behind) in [(4, false), (0, false), (6, true), (5, true), (3, false), (6, true)] {
        assert!(matches!(follower.on_frame(empty(number)), Ok(None)));
        assert_eq!((follower.is_behind(), follower.last()), (behind, Seq(4)), "{number}");
    }
    assert!(matches!(follower.on_frame(event(5)), Ok(Some(_))));
    assert!(follower.is_behind(), "6 has not come yet");
    assert!(matches!(follower.on_frame(event(6)), Ok(Some(_))));
    assert!(!follower.is_behind());
}

#[test]
fn incomplete_frame_is_buffered_up_to_the_longest_frame() {
    let most = 4 + CHANGELOG_FRAME_MAX_BYTES + READ_BYTES;
    let mut decoder = Decoder::default();
    decoder.feed(&(CHANGELOG_FRAME_MAX_BYTES as u32).to_be_bytes());
    let mut fed = 4;
    while decoder.next_frame(&names()).expect("a length within bounds").is_none() {
        assert!(fed < most && decoder.buffered_bytes() <= most);
        decoder.feed(&[7; READ_BYTES]);
        fed += READ_BYTES;
    }
    decoder.feed(&[]);
    assert!(decoder.buffered_bytes() < READ_BYTES, "what was read is given back");
}

proptest! {
    #[test]
    fn each_event_is_notified_once_in_order_under_any_faults(
        many in 1..30u64,
        mut faults in prop::collection::btree_map(1..30u64, fault(), 0..12),
        // Events that the log no longer has, and those that nobody can read.
        gone in prop::collection::btree_set(1..29u64, 0..4),
        never in prop::collection::btree_set(1..29u64, 0..4),
    ) {
        let gone: BTreeSet<u64> = gone.into_iter().filter(|n| *n < many).collect();
        faults.retain(|n, _| *n <= many);
        let most = 2 + 2 * (faults.len() + gone.len() + never.len());
        let (mut follower, mut told) = (Follower::new(Seq(0)), Vec::new());
        for connections in 0.. {
            prop_assert!(connections <= most, "no end: {} connections, at {:?}", connections, follower);
            if !connection(&mut follower, &mut told, many, &mut faults, (&gone, &never)) && !follower.is_behind() {
                break;
            }
        }
        let all: Vec<u64> = (1..=many).filter(|n| !gone.contains(n) && !never.contains(n)).collect();
        prop_assert_eq!(told, all);
        prop_assert_eq!(follower.last(), Seq(many));
    }

    #[test]
    fn arbitrary_bytes_in_any_chunks_decode_or_fail(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        short in any::<bool>(),
        cuts in prop::collection::vec(0..40usize, 1..20),
    ) {
        let mut bytes = bytes;
        if short {
            // Lengths that fit, so that what is behind them is looked at too.
            bytes.chunks_mut(40).for_each(|c| if c.len() == 40 { c[..4].copy_from_slice(&[0, 0, 0, 36]) });
        }
        let whole = all(&[&bytes]);
        let (mut pieces, mut rest) = (Vec::new(), &bytes[..]);
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        prop_assert_eq!(all(&pieces), whole);
    }
}

fn all(pieces: &[&[u8]]) -> (Vec<Frame>, bool) {
    let (mut decoder, names, mut frames) = (Decoder::default(), names(), Vec::new());
    for piece in pieces {
        decoder.feed(piece);
        assert!(decoder.buffered_bytes() <= 4 + CHANGELOG_FRAME_MAX_BYTES + piece.len());
        loop {
            match decoder.next_frame(&names) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return (frames, false),
            }
        }
    }
    (frames, true)
}

/// One connection, up to where there is nothing more; true if it was over before.
fn connection(
    follower: &mut Follower,
    told: &mut Vec<u64>,
    many: u64,
    faults: &mut BTreeMap<u64, Fault>,
    (gone, never): (&BTreeSet<u64>, &BTreeSet<u64>),
) -> bool {
    for n in follower.last().0 + 1..=many {
        if gone.contains(&n) {
            continue;
        }
        let good = || if never.contains(&n) { unreadable(n) } else { event(n) };
        let frames = match faults.remove(&n) {
            None => vec![empty(n - 1), good()],
            Some(Fault::LeftOut) => vec![],
            Some(Fault::Spoilt) => vec![unreadable(n)],
            Some(Fault::Twice) => vec![good(), good()],
            Some(Fault::Broken) => return true,
            Some(Fault::HeldBack) => break,
        };
        for frame in frames {
            match follower.on_frame(frame) {
                Ok(Some(WatchEvent::Purge { object: Some(ObjectId(n)), .. })) => told.push(n),
                Ok(Some(other)) => panic!("{other:?}"),
                Ok(None) => {}
                Err(_) => return true,
            }
        }
    }
    assert!(matches!(follower.on_frame(empty(many)), Ok(None)));
    false
}
