//! The change-log decoder and follower: arbitrary bytes in chunks of any size, and events that are lost, repeated or unreadable.

mod common;

use basaltgw::api::ObjectId;
use basaltgw_config::{parse_settings, Seq, WatchEvent, WireNames};
use basaltgw_node::changelog::{Decoder, Follower, Frame};
use basaltgw_node::limits::{CHANGELOG_FRAME_MAX_BYTES, READ_BYTES};
use common::frame;
use common::frame_kind::{HEARTBEAT, PURGE_OBJECT};
use proptest::prelude::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

fn names() -> WireNames {
    let v = json!({"areas": ["hub", "edge"], "kinds": ["box", "parent", "origin"],
                   "family-info": {"shield-kind": 1, "store-kind": 2}});
    parse_settings(&v).expect("the settings are valid").0
}

fn decode_frame(bytes: &[u8]) -> Frame {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    decoder.next_frame(&names()).expect("the frame is well-formed").expect("the frame is complete")
}

/// A purge event whose object id is its sequence number.
fn purge_event(n: u64) -> Frame {
    decode_frame(&frame(n, PURGE_OBJECT, &[n.to_be_bytes(), [0; 8]].concat()))
}

/// A frame kind that the router does not know.
const UNKNOWN_KIND: u8 = 9;

/// An event of an unknown kind, which the decoder can't read.
fn unreadable_event(n: u64) -> Frame {
    decode_frame(&frame(n, UNKNOWN_KIND, &[]))
}

fn empty_frame(n: u64) -> Frame {
    decode_frame(&frame(n, HEARTBEAT, &[]))
}

/// A fault that an event has once, on the first connection that reaches it.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Lost,
    Unreadable,
    Duplicated,
    /// The connection ends before the event.
    Disconnected,
    /// The connection sends neither this event nor a later one, only empty frames.
    Withheld,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Lost),
        Just(Fault::Unreadable),
        Just(Fault::Duplicated),
        Just(Fault::Disconnected),
        Just(Fault::Withheld)
    ]
}

#[test]
fn empty_frame_reveals_missing_events() {
    let mut follower = Follower::new(Seq(4));
    assert!(!follower.is_behind());
    for (number, behind) in [(4, false), (0, false), (6, true), (5, true), (3, false), (6, true)] {
        assert!(matches!(follower.on_frame(empty_frame(number)), Ok(None)));
        assert_eq!((follower.is_behind(), follower.last()), (behind, Seq(4)), "{number}");
    }
    assert!(matches!(follower.on_frame(purge_event(5)), Ok(Some(_))));
    assert!(follower.is_behind(), "event 6 is still missing");
    assert!(matches!(follower.on_frame(purge_event(6)), Ok(Some(_))));
    assert!(!follower.is_behind());
}

#[test]
fn incomplete_frame_is_buffered_up_to_the_longest_frame() {
    let max_bytes = 4 + CHANGELOG_FRAME_MAX_BYTES + READ_BYTES;
    let mut decoder = Decoder::default();
    decoder.feed(&(CHANGELOG_FRAME_MAX_BYTES as u32).to_be_bytes());
    let mut fed = 4;
    while decoder.next_frame(&names()).expect("the frame length is allowed").is_none() {
        assert!(fed < max_bytes && decoder.buffered_bytes() <= max_bytes);
        decoder.feed(&[7; READ_BYTES]);
        fed += READ_BYTES;
    }
    decoder.feed(&[]);
    assert!(decoder.buffered_bytes() < READ_BYTES, "the decoded frame is no longer buffered");
}

proptest! {
    #[test]
    fn each_event_is_notified_once_in_order_under_any_faults(
        event_count in 1..30u64,
        mut faults in prop::collection::btree_map(1..30u64, fault(), 0..12),
        // Events that the log no longer stores, and those that are unreadable on every connection.
        removed in prop::collection::btree_set(1..29u64, 0..4),
        unreadable in prop::collection::btree_set(1..29u64, 0..4),
    ) {
        let removed: BTreeSet<u64> = removed.into_iter().filter(|n| *n < event_count).collect();
        faults.retain(|n, _| *n <= event_count);
        let max_connections = 2 + 2 * (faults.len() + removed.len() + unreadable.len());
        let (mut follower, mut notified) = (Follower::new(Seq(0)), Vec::new());
        for connections in 0.. {
            prop_assert!(connections <= max_connections, "the follower needs more than {} connections: {:?}", connections, follower);
            let log = LogEvents { count: event_count, removed: &removed, unreadable: &unreadable };
            let closed = run_connection(&mut follower, &mut notified, &log, &mut faults);
            if !closed && !follower.is_behind() {
                break;
            }
        }
        let readable: Vec<u64> =
            (1..=event_count).filter(|n| !removed.contains(n) && !unreadable.contains(n)).collect();
        prop_assert_eq!(notified, readable);
        prop_assert_eq!(follower.last(), Seq(event_count));
    }

    #[test]
    fn arbitrary_bytes_in_any_chunks_decode_or_fail(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        valid_lengths in any::<bool>(),
        chunk_lengths in prop::collection::vec(0..40usize, 1..20),
    ) {
        let mut bytes = bytes;
        if valid_lengths {
            // With valid frame lengths the decoder reads the contents of the frames too.
            bytes.chunks_mut(40).for_each(|c| if c.len() == 40 { c[..4].copy_from_slice(&[0, 0, 0, 36]) });
        }
        let expected = decode_all(&[&bytes]);
        let (mut chunks, mut rest) = (Vec::new(), &bytes[..]);
        for length in chunk_lengths {
            let (chunk, after) = rest.split_at(length.min(rest.len()));
            chunks.push(chunk);
            rest = after;
        }
        chunks.push(rest);
        prop_assert_eq!(decode_all(&chunks), expected);
    }
}

/// The frames before the first malformed one, and whether all bytes were well-formed.
fn decode_all(chunks: &[&[u8]]) -> (Vec<Frame>, bool) {
    let (mut decoder, names, mut frames) = (Decoder::default(), names(), Vec::new());
    for chunk in chunks {
        decoder.feed(chunk);
        assert!(decoder.buffered_bytes() <= 4 + CHANGELOG_FRAME_MAX_BYTES + chunk.len());
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

/// The events of a change log.
struct LogEvents<'a> {
    count: u64,
    removed: &'a BTreeSet<u64>,
    unreadable: &'a BTreeSet<u64>,
}

/// Follows the log over one connection, up to its last event; returns whether the connection was closed before that.
fn run_connection(
    follower: &mut Follower,
    notified: &mut Vec<u64>,
    log: &LogEvents,
    faults: &mut BTreeMap<u64, Fault>,
) -> bool {
    for n in follower.last().0 + 1..=log.count {
        if log.removed.contains(&n) {
            continue;
        }
        let event = || if log.unreadable.contains(&n) { unreadable_event(n) } else { purge_event(n) };
        let frames = match faults.remove(&n) {
            None => vec![empty_frame(n - 1), event()],
            Some(Fault::Lost) => vec![],
            Some(Fault::Unreadable) => vec![unreadable_event(n)],
            Some(Fault::Duplicated) => vec![event(), event()],
            Some(Fault::Disconnected) => return true,
            Some(Fault::Withheld) => break,
        };
        for frame in frames {
            match follower.on_frame(frame) {
                Ok(Some(WatchEvent::Purge { object: Some(ObjectId(n)), .. })) => notified.push(n),
                Ok(Some(other)) => panic!("not the purge of an object: {other:?}"),
                Ok(None) => {}
                Err(_) => return true,
            }
        }
    }
    assert!(matches!(follower.on_frame(empty_frame(log.count)), Ok(None)));
    false
}
