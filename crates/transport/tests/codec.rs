//! The frames as bytes from outside: never a panic, never more room than a frame may take, and nothing read that was not written.

use asynchronous_codec::{Decoder, Encoder};
use basaltgw_transport::frames::{Codec, Frame, Kind};
use basaltgw_transport::Lane;
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;

const MOST: usize = 5000;

fn kinds() -> impl Strategy<Value = (Kind, usize)> {
    prop_oneof![
        Just((Kind::Alive, 0)),
        Just((Kind::Go, 0)),
        Just((Kind::Close, 0)),
        Just((Kind::Hello, 1000)),
        Just((Kind::Table, 1000)),
        prop_oneof![
            Just(Lane::Membership),
            Just(Lane::Registers),
            Just(Lane::Table),
            Just(Lane::ScatterGather)
        ]
        .prop_map(|lane| (Kind::Lane(lane), MOST)),
    ]
}

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let frame = kinds()
        .prop_flat_map(|(kind, most)| vec(any::<u8>(), 0..=most).prop_map(move |body| Frame { kind, body }));
    vec(frame, 0..6)
}

/// What is read of bytes that come in pieces, until there is no more, or none that can be read.
fn read(bytes: &[u8], piece: usize) -> (Vec<Frame>, bool) {
    let (mut codec, mut buffer, mut frames) = (Codec { most: MOST }, BytesMut::new(), vec![]);
    for piece in bytes.chunks(piece) {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return (frames, false),
            }
        }
        // Twice a frame and a piece: a buffer doubles when it grows.
        assert!(buffer.capacity() <= 2 * (MOST + piece.len() + 64), "{}", buffer.capacity());
    }
    (frames, true)
}

fn written(frames: &[Frame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        Codec { most: MOST }.encode((frame.kind, &frame.body), &mut bytes).unwrap();
    }
    bytes
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..3000), piece in 1usize..500) {
        read(&bytes, piece);
    }

    #[test]
    fn any_length_is_bounded(length in prop_oneof![0u32..40, any::<u32>()], rest in vec(any::<u8>(), 0..50)) {
        let bytes = [&length.to_be_bytes()[..], &rest].concat();
        let (frames, _) = read(&bytes, 7);
        prop_assert!(frames.len() <= 1);
    }

    #[test]
    fn what_is_written_is_read(frames in frames(), piece in 1usize..9000) {
        prop_assert_eq!(read(&written(&frames), piece), (frames, true));
    }

    #[test]
    fn a_flipped_bit_is_never_read(frames in frames(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = written(&frames);
        prop_assume!(!bytes.is_empty());
        let at = at.index(bytes.len());
        bytes[at] ^= 1u8 << bit;
        let (found, _) = read(&bytes, 1000);
        prop_assert!(found.len() < frames.len() && frames.starts_with(&found));
    }
}

#[test]
fn what_is_too_long_is_not_written() {
    for (kind, length) in [(Kind::Alive, 1), (Kind::Hello, 1025), (Kind::Lane(Lane::Registers), MOST + 1)] {
        let body = vec![0; length];
        assert!(Codec { most: MOST }.encode((kind, &body), &mut BytesMut::new()).is_err());
        // Nor is it read, or room made for it, where another one wrote it.
        let mut bytes = BytesMut::new();
        Codec { most: 100 * MOST }.encode((Kind::Lane(Lane::Registers), &body), &mut bytes).unwrap();
        bytes[8] = [0, 1, 17][[1, 1025, MOST + 1].iter().position(|l| *l == length).unwrap()];
        bytes.truncate(9);
        assert!(Codec { most: MOST }.decode(&mut bytes).is_err(), "{kind:?}");
    }
}
