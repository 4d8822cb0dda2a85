//! The codecs of the client, server and change-log protocols: input split at any byte, input over the limits, and arbitrary bytes.

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

const MESSAGE_LIMITS: MessageLimits = MessageLimits { max_elements: 4, max_bytes: 300 };

fn names() -> WireNames {
    let v = json!({"areas": ["hub", "edge"], "kinds": ["box", "parent", "origin"],
                   "family-info": {"shield-kind": 1, "store-kind": 2}});
    parse_settings(&v).expect("settings").0
}

fn decode(chunks: &[&[u8]]) -> Result<Vec<Vec<Vec<u8>>>, String> {
    let (mut decoder, mut messages) = (Decoder::new(MESSAGE_LIMITS), Vec::new());
    for chunk in chunks {
        decoder.feed(chunk);
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
    let expected = decode(&[&bytes]).expect("the messages are well-formed");
    assert_eq!(expected.len(), 2);
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let chunks = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(decode(&chunks).as_ref(), Ok(&expected), "split at {first} and {second}");
        }
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode(&single), Ok(expected));
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
    let elements = |texts: &[&str]| texts.iter().map(|t| t.as_bytes().to_vec()).collect::<Vec<_>>();
    let fields = "i=9b1f03aa5c7e2d41,d=1500,o=7f3a9c21e0b4d655,nth=3,batch=17,m=412.5,got=4be0c1927d55a6f3";
    let Some(ClientMessage::Request(Tag(7), request)) =
        ClientMessage::decode(elements(&["DO", "7", "segment", fields, "x"]))
    else {
        panic!("the message was not decoded as a request");
    };
    assert_eq!(
        (&*request.id.0, request.class.as_str(), request.object.0),
        ("9b1f03aa5c7e2d41", "segment", 0x7f3a9c21e0b4d655)
    );
    assert_eq!(
        (request.part.0, request.group.0, request.size_kb, request.deadline_ms),
        (3, 17, 412.5, 1500.0)
    );
    assert_eq!((request.copy_tag.as_deref(), request.body.as_slice()), (Some("4be0c1927d55a6f3"), &b"x"[..]));
    assert_eq!(ClientMessage::decode(elements(&["UNDO", "7"])), Some(ClientMessage::Cancel(Tag(7))));
    assert_eq!(ClientMessage::decode(elements(&["PING", "8", ""])), Some(ClientMessage::Probe(Tag(8))));
    let valid =
        ["i=9b1f03aa5c7e2d41", "d=1500", "o=7f3a9c21e0b4d655", "nth=3", "batch=17", "m=412.5", "got=4b"];
    let decode_request =
        |fields: &[&str]| ClientMessage::decode(elements(&["DO", "7", "c", &fields.join(","), ""]));
    assert!(matches!(decode_request(&valid), Some(ClientMessage::Request(..))));
    assert!(
        matches!(decode_request(&valid[..5]), Some(ClientMessage::Request(..))),
        "the size and the copy tag are optional"
    );
    for absent in 0..5 {
        let fields: Vec<&str> =
            valid.iter().enumerate().filter(|(i, _)| *i != absent).map(|(_, f)| *f).collect();
        assert_eq!(
            decode_request(&fields),
            Some(ClientMessage::Malformed(Tag(7))),
            "without {}",
            valid[absent]
        );
    }
    for (index, values) in [
        (0, &["", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4g", "+b1f03aa5c7e2d41"][..]),
        (1, &["", "x", "NaN", "inf", "-1", "+5", "1e3", "600001", "5.", ".5", "99999999999999999999999999"]),
        (2, &["", "7", "zz", "0x3a9c21e0b4d655", "+f3a9c21e0b4d655", "7f3a9c21e0b4d6555"]),
        (3, &["", "-1", "+1", "1.5", "10000000", "18446744073709551616", "x"]),
        (4, &["", "-1", "256", "1e1", "x", "0x11"]),
        (5, &["", "0", "-1", "NaN", "inf", "1e9", "100000000", "+1"]),
        (6, &["", "a=b", "a b", "é"]),
    ] {
        for value in values {
            let mut fields = valid.map(str::to_string);
            let name = valid[index].split('=').next().expect("a field has a name");
            fields[index] = format!("{name}={value}");
            let message = decode_request(&fields.each_ref().map(String::as_str));
            assert_eq!(message, Some(ClientMessage::Malformed(Tag(7))), "{}", fields[index]);
        }
    }
    for malformed in ["", "-", "i", "=1", &format!("{},d=1500", valid.join(",")), &"a=1,".repeat(20)] {
        assert_eq!(decode_request(&[malformed]), Some(ClientMessage::Malformed(Tag(7))), "{malformed}");
    }
    let fields = valid.join(",");
    let too_long = "x".repeat(48_001);
    for malformed in
        [&["DO", "7", "c"][..], &["DO", "7", "c", &fields, &too_long], &["DO", "7", "c", &fields, "", ""]]
    {
        assert_eq!(ClientMessage::decode(elements(malformed)), Some(ClientMessage::Malformed(Tag(7))));
    }
    let longest = &too_long[1..];
    assert!(matches!(
        ClientMessage::decode(elements(&["DO", "7", "c", &fields, longest])),
        Some(ClientMessage::Request(..))
    ));
    for untagged in
        [&["DO"][..], &["DO", "0"], &["DO", "-1", "c"], &["PING", "x"], &["PING", "+8"], &["PING", "08"]]
    {
        assert_eq!(ClientMessage::decode(elements(untagged)), None);
    }
    let none = Fields::parse(b"-").expect("a dash stands for no fields");
    assert_eq!(none.get("w"), None);
}

#[test]
fn server_answers_are_decoded_and_incomplete_ones_rejected() {
    let decode_answer =
        |texts: &[&str]| ServerAnswer::decode(texts.iter().map(|t| t.as_bytes().to_vec()).collect(), &[]);
    let fields = "ver=4be0c1927d55a6f3,born=1764576000123,note=filled,waited=12.5,load=inflight:7;x0:0.61";
    let answer = decode_answer(&["a", "ok", fields, "bytes"]).expect("the answer is well-formed");
    assert_eq!(
        (answer.result, answer.not_modified, answer.body.bytes()),
        (Some(AttemptResult::Served), false, &b"bytes"[..])
    );
    assert_eq!(
        (answer.fill_report, answer.source_wait_ms, answer.load.in_flight),
        (FillReport::FilledBySource, 12.5, Some(7.0))
    );
    assert_eq!(
        decode_answer(&["a", "current", fields]).map(|a| (a.result, a.not_modified)),
        Some((Some(AttemptResult::Served), true))
    );
    for (status, result) in [
        ("nothing", AttemptResult::CacheMiss),
        ("refused", AttemptResult::Rejected),
        ("error", AttemptResult::Error),
        ("stale", AttemptResult::NotSent),
    ] {
        assert_eq!(decode_answer(&["a", status, "-"]).map(|a| a.result), Some(Some(result)));
    }
    assert_eq!(
        decode_answer(&["a", "who knows", "-", ""]).map(|a| a.result),
        Some(Some(AttemptResult::Error)),
        "the server may have executed the request"
    );
    let without_copy = decode_answer(&["a", "ok", "-", "bytes"]).map(|a| (a.result, a.copy.is_some()));
    assert_eq!(
        without_copy,
        Some((Some(AttemptResult::Served), false)),
        "the answer to a write carries no copy tag"
    );
    for malformed in [
        &["a"][..],
        &["a", "ok"],
        &["a", "ok", fields],
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
        assert!(decode_answer(malformed).is_none(), "{malformed:?}");
    }
}

fn decode_frames(chunks: &[&[u8]]) -> Result<Vec<Frame>, String> {
    let (mut decoder, names, mut frames) = (changelog::Decoder::default(), names(), Vec::new());
    for chunk in chunks {
        decoder.feed(chunk);
        while let Some(frame) = decoder.next_frame(&names).map_err(|e| e.to_string())? {
            frame.event.as_ref().map_err(|e| e.to_string())?;
            frames.push(frame);
        }
    }
    Ok(frames)
}

/// The record of one draining parent cache in a list event.
fn server_record() -> Vec<u8> {
    let mut bytes = vec![0, 0xc4, 0x1f, 0x7a, 127, 0, 0, 9, 0x27, 0x60, 1, 1, 1, 0, 2, 0, 0, 0x0f, 0xa0];
    bytes.extend_from_slice(&1_764_576_000_123u64.to_be_bytes());
    bytes
}

#[test]
fn frames_decode_the_same_in_any_chunks() {
    let purge = [&17u16.to_be_bytes()[..], &1_764_576_000_480u64.to_be_bytes()[..]].concat();
    let object = [0x7f3a9c21e0b4d655u64.to_be_bytes(), 5u64.to_be_bytes()].concat();
    let bytes =
        [frame(41, 1, &server_record()), frame(41, 0, &[]), frame(42, 3, &object), frame(43, 4, &purge)]
            .concat();
    let expected = decode_frames(&[&bytes]).expect("the frames are well-formed");
    let Ok(Some(WatchEvent::EndpointList { complete: true, servers })) = &expected[0].event else {
        panic!("the first frame is not a complete list")
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
    assert_eq!(expected[1], Frame { seq: Seq(41), event: Ok(None) });
    let purge = |object, group, purged_at| WatchEvent::Purge { object, group: GroupId(group), purged_at };
    assert_eq!(expected[2].event, Ok(Some(purge(Some(ObjectId(0x7f3a9c21e0b4d655)), 0, 5.0))));
    assert_eq!(expected[3].event, Ok(Some(purge(None, 17, 1_764_576_000_480.0))));
    for split in 0..=bytes.len() {
        let chunks = [&bytes[..split], &bytes[split..]];
        assert_eq!(decode_frames(&chunks).as_ref(), Ok(&expected), "split at {split}");
    }
}

#[test]
fn malformed_frames_are_errors() {
    let with_byte = |index: usize, byte: u8| {
        let mut record = server_record();
        record[index] = byte;
        frame(1, 2, &record)
    };
    let short = frame(1, 2, &server_record()[..26]);
    let cases = [
        with_byte(10, 3),
        with_byte(11, 2),
        with_byte(12, 3),
        short,
        frame(1, 5, &[]),
        frame(1, 3, &[0; 15]),
    ];
    for bytes in
        cases.iter().chain(&[frame(1, 4, &[0; 11]), vec![0, 0, 0, 8], vec![0xff; 4], frame(1, 0, &[0])])
    {
        assert!(decode_frames(&[bytes]).is_err(), "{bytes:?}");
    }
}

#[test]
fn change_log_is_followed_without_gaps_or_repeats() {
    let decode_frame = |n, kind, payload: &[u8]| {
        let mut decoder = changelog::Decoder::default();
        decoder.feed(&frame(n, kind, payload));
        decoder.next_frame(&names()).expect("the frame is well-formed").expect("the frame is complete")
    };
    let (purge, unreadable) = (|n| decode_frame(n, 4, &[0; 10]), |n| decode_frame(n, 9, &[]));
    let mut follower = Follower::new(Seq(4));
    assert!(matches!(follower.on_frame(purge(4)), Ok(None)), "event 4 is known");
    assert!(matches!(follower.on_frame(purge(5)), Ok(Some(_))));
    assert!(matches!(follower.on_frame(decode_frame(9, 0, &[])), Ok(None)));
    assert!(follower.on_frame(purge(7)).is_err(), "event 6 is missing");
    assert_eq!(follower.last(), Seq(5));
    assert!(matches!(follower.on_frame(purge(6)), Ok(Some(_))));
    assert!(matches!(follower.on_frame(purge(7)), Ok(Some(_))));
    assert!(matches!(follower.on_frame(purge(7)), Ok(None)));
    // A log that no longer stores the missing events shows the same gap on the next connection; the events after the gap are then taken.
    assert!(follower.on_frame(purge(20)).is_err());
    assert!(matches!(follower.on_frame(purge(20)), Ok(Some(_))));
    assert_eq!(follower.last(), Seq(20));
    // An event that can't be decoded is requested again once, and then skipped.
    assert!(follower.on_frame(unreadable(21)).is_err());
    assert_eq!(follower.last(), Seq(20));
    assert!(matches!(follower.on_frame(unreadable(21)), Ok(None)));
    assert!(matches!(follower.on_frame(purge(22)), Ok(Some(_))));
    assert!(follower.on_frame(unreadable(23)).is_err());
    assert!(matches!(follower.on_frame(purge(23)), Ok(Some(_))), "the second copy of event 23 is readable");
    assert!(
        follower.on_frame(unreadable(22)).is_err(),
        "an unreadable frame ends the connection even if its event is known"
    );
}

/// A field value, valid about as often as invalid.
fn value() -> impl Strategy<Value = String> {
    let valid = prop_oneof!["[0-9a-f]{16}", "[0-9]{1,3}", "[0-9]{1,4}\\.[0-9]{1,2}"];
    prop_oneof![valid, "[-+ ]?[0-9a-fxEn.]{0,20}", "\\PC{0,6}"]
}

/// Whether the protocol allows this value of a request field; written independently of the decoder.
fn is_valid_field(name: &str, value: &str) -> bool {
    let digits = |t: &str| (1..=20).contains(&t.len()) && t.chars().all(|c| c.is_ascii_digit());
    let number = |t: &str| t.split_once('.').map_or(digits(t), |(a, b)| digits(a) && digits(b));
    let number_up_to = |max: f64| number(value) && value.parse::<f64>().is_ok_and(|n| n <= max);
    match name {
        "i" | "o" => value.len() == 16 && value.chars().all(|c| c.is_ascii_hexdigit()),
        "d" => number_up_to(600_000.0),
        "nth" => digits(value) && number_up_to(9_999_999.0),
        "batch" => digits(value) && number_up_to(255.0),
        "m" => number_up_to(1e7) && value.parse::<f64>().is_ok_and(|n| n > 0.0),
        _ => (1..=64).contains(&value.len()) && value.chars().all(|c| c.is_ascii_alphanumeric()),
    }
}

proptest! {
    #[test]
    fn invalid_fields_make_a_request_malformed(
        values in prop::collection::vec(value(), 7),
        // The positions of the fields with an arbitrary value; most fields are valid.
        arbitrary in prop::collection::vec(0..7usize, 0..3),
        order in Just([0, 1, 2, 3, 4, 5, 6]).prop_shuffle(),
    ) {
        const NAMES: [&str; 7] = ["i", "d", "o", "nth", "batch", "m", "got"];
        const VALID: [&str; 7] = ["9b1f03aa5c7e2d41", "1500", "7f3a9c21e0b4d655", "3", "17", "412.5", "4be0"];
        let value = |i: usize| if arbitrary.contains(&i) { values[i].as_str() } else { VALID[i] };
        let fields: Vec<String> = order.iter().map(|i| format!("{}={}", NAMES[*i], value(*i))).collect();
        let elements = [&b"DO"[..], b"7", b"c", fields.join(",").as_bytes(), b""].map(<[u8]>::to_vec);
        let message = ClientMessage::decode(elements.to_vec());
        let valid = (0..7).all(|i| is_valid_field(NAMES[i], value(i)));
        prop_assert_eq!(matches!(message, Some(ClientMessage::Request(..))), valid, "{:?}", fields);
    }

    #[test]
    fn encoded_words_decode_to_themselves(elements in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..100), 1..4),
                           split in any::<prop::sample::Index>()) {
        let bytes = encode(&elements.iter().map(Vec::as_slice).collect::<Vec<_>>());
        let split = split.index(bytes.len());
        prop_assert_eq!(decode(&[&bytes[..split], &bytes[split..]]), Ok(vec![elements]));
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let all = decode(&[&bytes]);
        let split: Vec<&[u8]> = bytes.chunks(3).collect();
        prop_assert_eq!(all.is_err(), decode(&split).is_err());
        for elements in all.into_iter().flatten() {
            let _ = ClientMessage::decode(elements.clone());
            let _ = ServerAnswer::decode(elements, &[]);
        }
        let _ = decode_frames(&[&bytes]);
        let _ = Fields::parse(&bytes);
    }

    #[test]
    fn flipped_byte_never_panics(position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = encode(&[b"DO", b"7", b"c", b"i=1,d=5,o=2,nth=1,batch=3,m=4"]);
        let index = position.index(bytes.len());
        bytes[index] = byte;
        for elements in decode(&[&bytes]).into_iter().flatten() {
            let _ = ClientMessage::decode(elements);
        }
        let mut bytes = frame(1, 1, &server_record());
        let index = position.index(bytes.len());
        bytes[index] = byte;
        let _ = decode_frames(&[&bytes]);
    }
}
