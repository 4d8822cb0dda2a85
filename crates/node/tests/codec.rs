//! The codecs: any split of the bytes, what is over the limits, and bytes that are anything.

mod common;

use basaltgw::api::{AttemptResult, EndpointState, FillReport, GroupId, ObjectId, Role};
use basaltgw_config::{parse_settings, Seq, WatchEvent, WireNames};
use basaltgw_node::caches::ServerAnswer;
use basaltgw_node::changelog::{self, Follower, Frame};
use basaltgw_node::clients::{ClientMessage, Tag};
use basaltgw_node::resp::{encode, Decoder, Fields, MessageLimits};
use common::frame;
use proptest::prelude::*;
use serde_json::json;

const BOUNDS: MessageLimits = MessageLimits { max_elements: 4, max_bytes: 300 };

fn names() -> WireNames {
    let v = json!({"areas": ["hub", "edge"], "kinds": ["box", "parent", "origin"],
                   "family-info": {"shield-kind": 1, "store-kind": 2}});
    parse_settings(&v).expect("settings").0
}

fn decode(pieces: &[&[u8]]) -> Result<Vec<Vec<Vec<u8>>>, String> {
    let (mut decoder, mut messages) = (Decoder::new(BOUNDS), Vec::new());
    for piece in pieces {
        decoder.feed(piece);
        while let Some(message) = decoder.next_message().map_err(|e| e.to_string())? {
            messages.push(message);
        }
    }
    Ok(messages)
}

#[test]
fn encoded_messages_match_the_protocol() {
    assert_eq!(encode(&[b"UNDO", b"7"]), b"*2\r\n$4\r\nUNDO\r\n$1\r\n7\r\n");
    assert_eq!(encode(&[b""]), b"*1\r\n$0\r\n\r\n");
}

#[test]
fn messages_decode_the_same_in_any_chunks() {
    let bytes = [encode(&[b"DO", b"7", b"a\r\n$1\r\n", b""]), encode(&[b"PING", b"8"])].concat();
    let whole = decode(&[&bytes]).expect("well-formed");
    assert_eq!(whole.len(), 2);
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let pieces = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(decode(&pieces).as_ref(), Ok(&whole), "split at {first} and {second}");
        }
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode(&single), Ok(whole));
}

#[test]
fn malformed_or_oversized_message_is_an_error_at_once() {
    for bytes in [
        &b"+OK\r\n"[..],
        b"*5\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*x\r\n",
        b"*\r\n",
        b"*1\n",
        b"*000000001\r\n",
        b"*123456789",
        b"*1\r\n:1\r\n",
        b"*1\r\n$301\r\n",
        b"*2\r\n$3\r\nabc\r\n$298\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$2\r\nabc\r\n",
    ] {
        assert!(decode(&[bytes]).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(decode(&[b"*2\r\n$3\r\nabc\r\n$297\r\n"]), Ok(vec![]));
}

#[test]
fn client_messages_are_decoded() {
    let words = |w: &[&str]| w.iter().map(|w| w.as_bytes().to_vec()).collect::<Vec<_>>();
    let fields = "i=9b1f03aa5c7e2d41,d=1500,o=7f3a9c21e0b4d655,nth=3,batch=17,m=412.5,got=4be0c1927d55a6f3";
    let Some(ClientMessage::Request(Tag(7), r)) =
        ClientMessage::decode(words(&["DO", "7", "segment", fields, "x"]))
    else {
        panic!("a request");
    };
    assert_eq!((&*r.id.0, r.class.as_str(), r.object.0), ("9b1f03aa5c7e2d41", "segment", 0x7f3a9c21e0b4d655));
    assert_eq!((r.part.0, r.group.0, r.size_kb, r.deadline_ms), (3, 17, 412.5, 1500.0));
    assert_eq!((r.copy_tag.as_deref(), r.body.as_slice()), (Some("4be0c1927d55a6f3"), &b"x"[..]));
    assert_eq!(ClientMessage::decode(words(&["UNDO", "7"])), Some(ClientMessage::Cancel(Tag(7))));
    assert_eq!(ClientMessage::decode(words(&["PING", "8", ""])), Some(ClientMessage::Probe(Tag(8))));
    let good =
        ["i=9b1f03aa5c7e2d41", "d=1500", "o=7f3a9c21e0b4d655", "nth=3", "batch=17", "m=412.5", "got=4b"];
    let read = |fields: &[&str]| ClientMessage::decode(words(&["DO", "7", "c", &fields.join(","), ""]));
    assert!(matches!(read(&good), Some(ClientMessage::Request(..))));
    assert!(
        matches!(read(&good[..5]), Some(ClientMessage::Request(..))),
        "a size and a copy's tag may be absent"
    );
    for absent in 0..5 {
        let fields: Vec<&str> =
            good.iter().enumerate().filter(|(i, _)| *i != absent).map(|(_, f)| *f).collect();
        assert_eq!(read(&fields), Some(ClientMessage::Malformed(Tag(7))), "without {}", good[absent]);
    }
    for (at, values) in [
        (0, &["", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4g", "+b1f03aa5c7e2d41"][..]),
        (1, &["", "x", "NaN", "inf", "-1", "+5", "1e3", "600001", "5.", ".5", "99999999999999999999999999"]),
        (2, &["", "7", "zz", "0x3a9c21e0b4d655", "+f3a9c21e0b4d655", "7f3a9c21e0b4d6555"]),
        (3, &["", "-1", "+1", "1.5", "10000000", "18446744073709551616", "x"]),
        (4, &["", "-1", "256", "1e1", "x", "0x11"]),
        (5, &["", "0", "-1", "NaN", "inf", "1e9", "100000000", "+1"]),
        (6, &["", "a=b", "a b", "é"]),
    ] {
        for value in values {
            let mut fields = good.map(str::to_string);
            let name = good[at].split('=').next().expect("a name");
            fields[at] = format!("{name}={value}");
            let read = read(&fields.each_ref().map(String::as_str));
            assert_eq!(read, Some(ClientMessage::Malformed(Tag(7))), "{}", fields[at]);
        }
    }
    for broken in ["", "-", "i", "=1", &format!("{},d=1500", good.join(",")), &"a=1,".repeat(20)] {
        assert_eq!(read(&[broken]), Some(ClientMessage::Malformed(Tag(7))), "{broken}");
    }
    let fields = good.join(",");
    let long = "x".repeat(48_001);
    for wrong in
        [&["DO", "7", "c"][..], &["DO", "7", "c", &fields, &long], &["DO", "7", "c", &fields, "", ""]]
    {
        assert_eq!(ClientMessage::decode(words(wrong)), Some(ClientMessage::Malformed(Tag(7))));
    }
    let whole = &long[1..];
    assert!(matches!(
        ClientMessage::decode(words(&["DO", "7", "c", &fields, whole])),
        Some(ClientMessage::Request(..))
    ));
    for untagged in
        [&["DO"][..], &["DO", "0"], &["DO", "-1", "c"], &["PING", "x"], &["PING", "+8"], &["PING", "08"]]
    {
        assert_eq!(ClientMessage::decode(words(untagged)), None);
    }
    let none = Fields::parse(b"-").expect("no fields");
    assert_eq!(none.get("w"), None);
}

#[test]
fn server_answers_are_decoded_and_incomplete_ones_rejected() {
    let read = |w: &[&str]| ServerAnswer::decode(w.iter().map(|w| w.as_bytes().to_vec()).collect(), &[]);
    let whole = "ver=4be0c1927d55a6f3,born=1764576000123,note=filled,waited=12.5,load=inflight:7;x0:0.61";
    let got = read(&["a", "ok", whole, "bytes"]).expect("an answer");
    assert_eq!(
        (got.result, got.not_modified, got.body.bytes()),
        (Some(AttemptResult::Served), false, &b"bytes"[..])
    );
    assert_eq!(
        (got.fill_report, got.source_wait_ms, got.load.in_flight),
        (FillReport::FilledBySource, 12.5, Some(7.0))
    );
    assert_eq!(
        read(&["a", "current", whole]).map(|a| (a.result, a.not_modified)),
        Some((Some(AttemptResult::Served), true))
    );
    for (word, end) in [
        ("nothing", AttemptResult::CacheMiss),
        ("refused", AttemptResult::Rejected),
        ("error", AttemptResult::Error),
        ("stale", AttemptResult::NotSent),
    ] {
        assert_eq!(read(&["a", word, "-"]).map(|a| a.result), Some(Some(end)));
    }
    assert_eq!(
        read(&["a", "who knows", "-", ""]).map(|a| a.result),
        Some(Some(AttemptResult::Error)),
        "it may have run"
    );
    let untold = read(&["a", "ok", "-", "bytes"]).map(|a| (a.result, a.copy.is_some()));
    assert_eq!(untold, Some((Some(AttemptResult::Served), false)), "as writes are answered");
    for spoilt in [
        &["a"][..],
        &["a", "ok"],
        &["a", "ok", whole],
        &["a", "ok", "ver=4b,born=", "bytes"],
        &["a", "ok", "ver=4b,born=-1", "bytes"],
        &["a", "ok", "ver=,born=1", "bytes"],
        &["a", "ok", "born=1", "bytes"],
        &["a", "ok", "ver=4b,born=1,waited=x", "bytes"],
        &["a", "ok", "ver=4b,born=1,ver=4c", "bytes"],
        &["a", "ok", "ver=4b,born=1,noise", "bytes"],
        &["a", "current", "-"],
        &["a", "nothing", "noise"],
    ] {
        assert!(read(spoilt).is_none(), "{spoilt:?}");
    }
}

fn frames(pieces: &[&[u8]]) -> Result<Vec<Frame>, String> {
    let (mut decoder, names, mut frames) = (changelog::Decoder::default(), names(), Vec::new());
    for piece in pieces {
        decoder.feed(piece);
        while let Some(frame) = decoder.next_frame(&names).map_err(|e| e.to_string())? {
            frame.event.as_ref().map_err(|e| e.to_string())?;
            frames.push(frame);
        }
    }
    Ok(frames)
}

fn record() -> Vec<u8> {
    let mut bytes = vec![0, 0xc4, 0x1f, 0x7a, 127, 0, 0, 9, 0x27, 0x60, 1, 1, 1, 0, 2, 0, 0, 0x0f, 0xa0];
    bytes.extend_from_slice(&1_764_576_000_123u64.to_be_bytes());
    bytes
}

#[test]
fn frames_decode_the_same_in_any_chunks() {
    let purge = [&17u16.to_be_bytes()[..], &1_764_576_000_480u64.to_be_bytes()[..]].concat();
    let object = [0x7f3a9c21e0b4d655u64.to_be_bytes(), 5u64.to_be_bytes()].concat();
    let bytes =
        [frame(41, 1, &record()), frame(41, 0, &[]), frame(42, 3, &object), frame(43, 4, &purge)].concat();
    let whole = frames(&[&bytes]).expect("good frames");
    let Ok(Some(WatchEvent::EndpointList { complete: true, servers })) = &whole[0].event else {
        panic!("a list")
    };
    let server = &servers[0];
    assert_eq!(
        (&*server.endpoint.id.0, server.address.to_string().as_str()),
        ("s-00c41f7a", "127.0.0.9:10080")
    );
    assert_eq!(
        (server.endpoint.state, server.endpoint.role, server.endpoint.zone.0),
        (EndpointState::Draining, Role::Parent, 1)
    );
    assert_eq!(
        (server.endpoint.cell, server.endpoint.weight, server.endpoint.started),
        (2, 4.0, Some(1_764_576_000_123.0))
    );
    assert_eq!(whole[1], Frame { seq: Seq(41), event: Ok(None) });
    let purge = |object, group, purged_at| WatchEvent::Purge { object, group: GroupId(group), purged_at };
    assert_eq!(whole[2].event, Ok(Some(purge(Some(ObjectId(0x7f3a9c21e0b4d655)), 0, 5.0))));
    assert_eq!(whole[3].event, Ok(Some(purge(None, 17, 1_764_576_000_480.0))));
    for at in 0..=bytes.len() {
        assert_eq!(frames(&[&bytes[..at], &bytes[at..]]).as_ref(), Ok(&whole), "split at {at}");
    }
}

#[test]
fn malformed_frames_are_errors() {
    let changed = |at: usize, to: u8| {
        let mut record = record();
        record[at] = to;
        frame(1, 2, &record)
    };
    let short = frame(1, 2, &record()[..26]);
    let cases =
        [changed(10, 3), changed(11, 2), changed(12, 3), short, frame(1, 5, &[]), frame(1, 3, &[0; 15])];
    for bytes in
        cases.iter().chain(&[frame(1, 4, &[0; 11]), vec![0, 0, 0, 8], vec![0xff; 4], frame(1, 0, &[0])])
    {
        assert!(frames(&[bytes]).is_err(), "{bytes:?}");
    }
}

#[test]
fn change_log_is_followed_without_gaps_or_repeats() {
    let told = |n, kind, payload: &[u8]| {
        let mut decoder = changelog::Decoder::default();
        decoder.feed(&frame(n, kind, payload));
        decoder.next_frame(&names()).expect("a frame").expect("a whole one")
    };
    let (purge, bad) = (|n| told(n, 4, &[0; 10]), |n| told(n, 9, &[]));
    let mut follower = Follower::new(Seq(4));
    assert!(matches!(follower.on_frame(purge(4)), Ok(None)), "known already");
    assert!(matches!(follower.on_frame(purge(5)), Ok(Some(_))));
    assert!(matches!(follower.on_frame(told(9, 0, &[])), Ok(None)));
    assert!(follower.on_frame(purge(7)).is_err(), "6 is missing");
    assert_eq!(follower.last(), Seq(5));
    assert!(matches!(follower.on_frame(purge(6)), Ok(Some(_))));
    assert!(matches!(follower.on_frame(purge(7)), Ok(Some(_))));
    assert!(matches!(follower.on_frame(purge(7)), Ok(None)));
    // A log that no longer holds what is missing shows the same gap again; then what it has is taken.
    assert!(follower.on_frame(purge(20)).is_err());
    assert!(matches!(follower.on_frame(purge(20)), Ok(Some(_))));
    assert_eq!(follower.last(), Seq(20));
    // So with an event that can't be read: asked for again once, then passed over.
    assert!(follower.on_frame(bad(21)).is_err());
    assert_eq!(follower.last(), Seq(20));
    assert!(matches!(follower.on_frame(bad(21)), Ok(None)));
    assert!(matches!(follower.on_frame(purge(22)), Ok(Some(_))));
    assert!(follower.on_frame(bad(23)).is_err());
    assert!(matches!(follower.on_frame(purge(23)), Ok(Some(_))), "better the second time");
    assert!(follower.on_frame(bad(22)).is_err(), "a bad frame ends the connection, whatever its number");
}

/// A field's value, as often good as bad.
fn value() -> impl Strategy<Value = String> {
    let good = prop_oneof!["[0-9a-f]{16}", "[0-9]{1,3}", "[0-9]{1,4}\\.[0-9]{1,2}"];
    prop_oneof![good, "[-+ ]?[0-9a-fxEn.]{0,20}", "\\PC{0,6}"]
}

/// The protocol's own words for the fields of a request, told apart from the reader's.
fn allowed(name: &str, v: &str) -> bool {
    let digits = |t: &str| (1..=20).contains(&t.len()) && t.chars().all(|c| c.is_ascii_digit());
    let number = |t: &str| t.split_once('.').map_or(digits(t), |(a, b)| digits(a) && digits(b));
    let upto = |most: f64| number(v) && v.parse::<f64>().is_ok_and(|n| n <= most);
    match name {
        "i" | "o" => v.len() == 16 && v.chars().all(|c| c.is_ascii_hexdigit()),
        "d" => upto(600_000.0),
        "nth" => digits(v) && upto(9_999_999.0),
        "batch" => digits(v) && upto(255.0),
        "m" => upto(1e7) && v.parse::<f64>().is_ok_and(|n| n > 0.0),
        _ => (1..=64).contains(&v.len()) && v.chars().all(|c| c.is_ascii_alphanumeric()),
    }
}

proptest! {
    #[test]
    fn invalid_fields_make_a_request_malformed(
        values in prop::collection::vec(value(), 7),
        // Mostly all there, and mostly good.
        bad in prop::collection::vec(0..7usize, 0..3),
        order in Just([0, 1, 2, 3, 4, 5, 6]).prop_shuffle(),
    ) {
        const NAMES: [&str; 7] = ["i", "d", "o", "nth", "batch", "m", "got"];
        const GOOD: [&str; 7] = ["9b1f03aa5c7e2d41", "1500", "7f3a9c21e0b4d655", "3", "17", "412.5", "4be0"];
        let value = |i: usize| if bad.contains(&i) { values[i].as_str() } else { GOOD[i] };
        let fields: Vec<String> = order.iter().map(|i| format!("{}={}", NAMES[*i], value(*i))).collect();
        let words = [&b"DO"[..], b"7", b"c", fields.join(",").as_bytes(), b""].map(<[u8]>::to_vec);
        let read = ClientMessage::decode(words.to_vec());
        let whole = (0..7).all(|i| allowed(NAMES[i], value(i)));
        prop_assert_eq!(matches!(read, Some(ClientMessage::Request(..))), whole, "{:?}", fields);
    }

    #[test]
    fn encoded_words_decode_to_themselves(words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..100), 1..4),
                           cut in any::<prop::sample::Index>()) {
        let bytes = encode(&words.iter().map(Vec::as_slice).collect::<Vec<_>>());
        let at = cut.index(bytes.len());
        prop_assert_eq!(decode(&[&bytes[..at], &bytes[at..]]), Ok(vec![words]));
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let all = decode(&[&bytes]);
        let split: Vec<&[u8]> = bytes.chunks(3).collect();
        prop_assert_eq!(all.is_err(), decode(&split).is_err());
        for words in all.into_iter().flatten() {
            let _ = ClientMessage::decode(words.clone());
            let _ = ServerAnswer::decode(words, &[]);
        }
        let _ = frames(&[&bytes]);
        let _ = Fields::parse(&bytes);
    }

    #[test]
    fn flipped_byte_never_panics(at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut bytes = encode(&[b"DO", b"7", b"c", b"i=1,d=5,o=2,nth=1,batch=3,m=4"]);
        let i = at.index(bytes.len());
        bytes[i] = to;
        for words in decode(&[&bytes]).into_iter().flatten() {
            let _ = ClientMessage::decode(words);
        }
        let mut bytes = frame(1, 1, &record());
        let i = at.index(bytes.len());
        bytes[i] = to;
        let _ = frames(&[&bytes]);
    }
}
