//! Frames: the length of kind and body, their CRC-32, the kind, the body. Numbers are big-endian.

use crate::limits::MAX_CONTROL_FRAME_BYTES;
use crate::Lane;
use asynchronous_codec::{Decoder, Encoder};
use bytes::{Buf, BufMut, BytesMut};
use std::io;

/// Length and checksum.
const HEADER_BYTES: usize = 8;

/// The kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A keepalive.
    Alive,
    /// The sender's hello.
    Hello,
    /// From the router with the smaller name: this connection becomes the link.
    Go,
    /// The sender's table.
    Table,
    /// The sender closes the link and writes nothing more.
    Close,
    /// A user's frame.
    Lane(Lane),
}

impl Kind {
    fn number(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Hello => 1,
            Self::Go => 2,
            Self::Table => 3,
            Self::Close => 4,
            Self::Lane(Lane::Membership) => 16,
            Self::Lane(Lane::Registers) => 17,
            Self::Lane(Lane::Table) => 18,
            Self::Lane(Lane::ScatterGather) => 19,
        }
    }

    fn from_number(number: u8) -> Option<Self> {
        let all = [Self::Alive, Self::Hello, Self::Go, Self::Table, Self::Close];
        let lanes = [Lane::Membership, Lane::Registers, Lane::Table, Lane::ScatterGather].map(Self::Lane);
        all.into_iter().chain(lanes).find(|k| k.number() == number)
    }

    /// The longest body of this kind, if those of users' frames may have so many bytes.
    fn max_body_bytes(self, max_user_bytes: usize) -> usize {
        match self {
            Self::Alive | Self::Go | Self::Close => 0,
            Self::Hello | Self::Table => MAX_CONTROL_FRAME_BYTES,
            Self::Lane(_) => max_user_bytes,
        }
    }
}

/// A frame that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its kind.
    pub kind: Kind,
    /// Its body.
    pub body: Vec<u8>,
}

/// Bytes that are no frame.
#[derive(Debug, thiserror::Error)]
pub enum BadFrame {
    /// The length is out of range.
    #[error("a frame of {found} bytes, expected 1 to {max}")]
    Length {
        /// The length in the header.
        found: usize,
        /// The longest length that the kind may have.
        max: usize,
    },
    /// The checksum does not match.
    #[error("a frame with checksum {found:08x}, expected {expected:08x}")]
    Checksum {
        /// The checksum of the bytes.
        found: u32,
        /// The checksum in the header.
        expected: u32,
    },
    /// The kind is unknown.
    #[error("a frame of the unknown kind {0}")]
    Kind(u8),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Reads and writes frames; never buffers more than the longest one.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// The longest body of a user's frame, in bytes. 0 during the handshake, so that only control frames are read.
    pub max_body_bytes: usize,
}

impl Encoder for Codec {
    type Item<'a> = (Kind, &'a [u8]);
    type Error = BadFrame;

    fn encode(&mut self, (kind, body): Self::Item<'_>, to: &mut BytesMut) -> Result<(), BadFrame> {
        let max = kind.max_body_bytes(self.max_body_bytes);
        let length = u32::try_from(body.len() + 1).ok().filter(|_| body.len() <= max);
        let length = length.ok_or(BadFrame::Length { found: body.len() + 1, max: max + 1 })?;
        to.reserve(HEADER_BYTES + 1 + body.len());
        to.put_u32(length);
        to.put_u32(checksum(kind.number(), body));
        to.put_u8(kind.number());
        to.put_slice(body);
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = BadFrame;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Frame>, BadFrame> {
        let Some(mut header) = from.get(..HEADER_BYTES) else { return Ok(None) };
        let (found, expected) = (header.get_u32() as usize, header.get_u32());
        // The longest length follows from the kind, and is checked before memory is reserved.
        let Some(number) = from.get(HEADER_BYTES).copied() else { return Ok(None) };
        let kind = Kind::from_number(number).ok_or(BadFrame::Kind(number))?;
        let max = kind.max_body_bytes(self.max_body_bytes) + 1;
        if found == 0 || found > max {
            return Err(BadFrame::Length { found, max });
        }
        let Some(body) = from.get(HEADER_BYTES + 1..HEADER_BYTES + found) else {
            from.reserve(HEADER_BYTES + found - from.len());
            return Ok(None);
        };
        let checksum = checksum(number, body);
        if checksum != expected {
            return Err(BadFrame::Checksum { found: checksum, expected });
        }
        let body = body.to_vec();
        from.advance(HEADER_BYTES + found);
        Ok(Some(Frame { kind, body }))
    }
}

fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}
