//! The codec with untrusted bytes: it never panics, buffers a bounded number of bytes, and decodes only frames that were encoded.

use asynchronous_codec::{Decoder, Encoder};
use basaltgw_transport::frames::{Codec, Frame, Kind};
use basaltgw_transport::Lane;
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;

const MAX_BODY_BYTES: usize = 5000;

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
        .prop_map(|lane| (Kind::Lane(lane), MAX_BODY_BYTES)),
    ]
}

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let frame = kinds().prop_flat_map(|(kind, max_bytes)| {
        vec(any::<u8>(), 0..=max_bytes).prop_map(move |body| Frame { kind, body })
    });
    vec(frame, 0..6)
}

/// Decodes bytes that arrive in pieces. The flag is false if decoding ended with an error.
fn decode_all(bytes: &[u8], piece: usize) -> (Vec<Frame>, bool) {
    let (mut codec, mut buffer, mut frames) =
        (Codec { max_body_bytes: MAX_BODY_BYTES }, BytesMut::new(), vec![]);
    for piece in bytes.chunks(piece) {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return (frames, false),
            }
        }
        // At most twice a frame and a piece, because a buffer doubles when it grows.
        assert!(buffer.capacity() <= 2 * (MAX_BODY_BYTES + piece.len() + 64), "{}", buffer.capacity());
    }
    (frames, true)
}

fn encode_all(frames: &[Frame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        Codec { max_body_bytes: MAX_BODY_BYTES }.encode((frame.kind, &frame.body), &mut bytes).unwrap();
    }
    bytes
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..3000), piece in 1usize..500) {
        decode_all(&bytes, piece);
    }

    #[test]
    fn an_arbitrary_length_is_bounded(length in prop_oneof![0u32..40, any::<u32>()], rest in vec(any::<u8>(), 0..50)) {
        let bytes = [&length.to_be_bytes()[..], &rest].concat();
        let (frames, _) = decode_all(&bytes, 7);
        prop_assert!(frames.len() <= 1);
    }

    #[test]
    fn encoded_frames_are_decoded(frames in frames(), piece in 1usize..9000) {
        prop_assert_eq!(decode_all(&encode_all(&frames), piece), (frames, true));
    }

    #[test]
    fn a_flipped_bit_is_never_decoded(frames in frames(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = encode_all(&frames);
        prop_assume!(!bytes.is_empty());
        let at = at.index(bytes.len());
        bytes[at] ^= 1u8 << bit;
        let (found, _) = decode_all(&bytes, 1000);
        prop_assert!(found.len() < frames.len() && frames.starts_with(&found));
    }
}

#[test]
fn a_frame_over_its_limit_is_neither_encoded_nor_decoded() {
    for (kind, length) in
        [(Kind::Alive, 1), (Kind::Hello, 1025), (Kind::Lane(Lane::Registers), MAX_BODY_BYTES + 1)]
    {
        let body = vec![0; length];
        assert!(Codec { max_body_bytes: MAX_BODY_BYTES }
            .encode((kind, &body), &mut BytesMut::new())
            .is_err());
        // If a peer sends it, it is neither decoded nor buffered.
        let mut bytes = BytesMut::new();
        Codec { max_body_bytes: 100 * MAX_BODY_BYTES }
            .encode((Kind::Lane(Lane::Registers), &body), &mut bytes)
            .unwrap();
        bytes[8] = [0, 1, 17][[1, 1025, MAX_BODY_BYTES + 1].iter().position(|l| *l == length).unwrap()];
        bytes.truncate(9);
        assert!(Codec { max_body_bytes: MAX_BODY_BYTES }.decode(&mut bytes).is_err(), "{kind:?}");
    }
}
