//! Frames: the length of what follows the checksum, CRC-32 of it, a kind, a body. Numbers are big-endian.

use crate::limits::OWN_FRAME;
use crate::Lane;
use asynchronous_codec::{Decoder, Encoder};
use bytes::{Buf, BufMut, BytesMut};
use std::io;

/// Bytes before the kind: length and checksum.
const HEAD: usize = 8;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing but a sign of life.
    Alive,
    /// Who speaks.
    Hello,
    /// From the router with the smaller name: this connection is the link.
    Go,
    /// The speaker's table.
    Table,
    /// The speaker closes the link in order and writes nothing more.
    Close,
    /// A user's.
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

    /// The longest body of this kind, if users' may have `most` bytes.
    fn most(self, most: usize) -> usize {
        match self {
            Self::Alive | Self::Go | Self::Close => 0,
            Self::Hello | Self::Table => OWN_FRAME,
            Self::Lane(_) => most,
        }
    }
}

/// A frame as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What it is.
    pub kind: Kind,
    /// What it carries.
    pub body: Vec<u8>,
}

/// Bytes that are no frame.
#[derive(Debug, thiserror::Error)]
pub enum BadFrame {
    /// Longer than it may be.
    #[error("a frame of {found} bytes, expected 1 to {most}")]
    Length {
        /// What it says.
        found: usize,
        /// What it may have.
        most: usize,
    },
    /// Changed on its way.
    #[error("a frame with checksum {found:08x}, expected {expected:08x}")]
    Checksum {
        /// What its bytes give.
        found: u32,
        /// What it says.
        expected: u32,
    },
    /// Not a known kind.
    #[error("a frame of the unknown kind {0}")]
    Kind(u8),
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Reads and writes frames; nothing longer than `most` is waited or made room for.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// The longest body of a lane's frame, in bytes. 0 until the peer is known: then only the links' own frames are read.
    pub most: usize,
}

impl Encoder for Codec {
    type Item<'a> = (Kind, &'a [u8]);
    type Error = BadFrame;

    fn encode(&mut self, (kind, body): Self::Item<'_>, to: &mut BytesMut) -> Result<(), BadFrame> {
        let most = kind.most(self.most);
        let length = u32::try_from(body.len() + 1).ok().filter(|_| body.len() <= most);
        let length = length.ok_or(BadFrame::Length { found: body.len() + 1, most: most + 1 })?;
        to.reserve(HEAD + 1 + body.len());
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
        let Some(mut head) = from.get(..HEAD) else { return Ok(None) };
        let (found, expected) = (head.get_u32() as usize, head.get_u32());
        // How long it may be is known by its kind, and asked before room is made.
        let Some(number) = from.get(HEAD).copied() else { return Ok(None) };
        let kind = Kind::from_number(number).ok_or(BadFrame::Kind(number))?;
        let most = kind.most(self.most) + 1;
        if found == 0 || found > most {
            return Err(BadFrame::Length { found, most });
        }
        let Some(body) = from.get(HEAD + 1..HEAD + found) else {
            from.reserve(HEAD + found - from.len());
            return Ok(None);
        };
        let checksum = checksum(number, body);
        if checksum != expected {
            return Err(BadFrame::Checksum { found: checksum, expected });
        }
        let body = body.to_vec();
        from.advance(HEAD + found);
        Ok(Some(Frame { kind, body }))
    }
}

fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}
