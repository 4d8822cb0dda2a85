//! What rosters say to each other, and what is let through to the SWIM library.

use crate::evidence::Item;
use crate::life::Life;
use crate::MembershipError;
use foca::{Codec, Header, Member, Message, PostcardCodec};
use serde::{Deserialize, Serialize};

/// A message between two rosters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Wire {
    /// See [`Hello`].
    Hello(Box<Hello>),
    /// A message of the SWIM library, with evidence in what room is left.
    Swim {
        /// The library's bytes.
        bytes: Vec<u8>,
        /// See [`Item`].
        evidence: Vec<Item>,
    },
}

/// The first word on a link, and the answer to whoever is not known as the current life of its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Who speaks.
    pub me: Life,
    /// What it knows of the other's name, and whether it holds that to be down.
    pub known: Option<(Life, bool)>,
}

impl Wire {
    pub fn write(&self) -> Vec<u8> {
        // Growing memory is never full, and all of it is of plain types.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8], most: usize) -> Result<Self, MembershipError> {
        if bytes.len() > most {
            return Err(MembershipError::TooLong { most, found: bytes.len() });
        }
        let garbled = |what: &str| MembershipError::MalformedMessage(what.into());
        let (wire, rest): (Self, _) = postcard::take_from_bytes(bytes)
            .map_err(|e| MembershipError::MalformedMessage(format!("no message: {e}")))?;
        let lives = match &wire {
            Wire::Hello(h) => h.me.plausible() && h.known.as_ref().is_none_or(|(l, _)| l.plausible()),
            Wire::Swim { .. } => true,
        };
        match (rest, lives) {
            ([], true) => Ok(wire),
            ([], false) => Err(garbled("a router that can't be")),
            _ => Err(garbled("bytes after a message")),
        }
    }
}

/// A message of the SWIM library, read before it is let through.
pub(crate) struct Swim {
    pub header: Header<Life>,
    pub updates: Vec<Member<Life>>,
    /// Whether there is a count of updates at all: some kinds of messages have none.
    pub counted: bool,
}

impl Swim {
    pub fn read(mut bytes: &[u8]) -> Result<Self, MembershipError> {
        let garbled = |what: String| MembershipError::MalformedMessage(what);
        let header: Header<Life> =
            PostcardCodec.decode_header(&mut bytes).map_err(|e| garbled(format!("no header: {e}")))?;
        let named = match &header.message {
            Message::PingReq { target: named, .. }
            | Message::IndirectPing { origin: named, .. }
            | Message::IndirectAck { target: named, .. }
            | Message::ForwardedAck { origin: named, .. } => Some(named),
            Message::Broadcast => return Err(garbled("a kind of message that isn't used".into())),
            Message::Ping(_)
            | Message::Ack(_)
            | Message::Announce
            | Message::Feed
            | Message::Gossip
            | Message::TurnUndead => None,
        };
        let plausible = |l: &Life| l.plausible();
        if ![Some(&header.src), Some(&header.dst), named].into_iter().flatten().all(plausible) {
            return Err(garbled("a header with a router that can't be".into()));
        }
        let (mut updates, counted) = (Vec::new(), !bytes.is_empty());
        if counted {
            let (count, mut rest) =
                bytes.split_first_chunk::<2>().ok_or_else(|| garbled("cut off".into()))?;
            for _ in 0..u16::from_be_bytes(*count) {
                let one: Member<Life> =
                    PostcardCodec.decode_member(&mut rest).map_err(|e| garbled(format!("no update: {e}")))?;
                if !one.id().plausible() {
                    return Err(garbled("an update on a router that can't be".into()));
                }
                updates.push(one);
            }
            if !rest.is_empty() {
                return Err(garbled("bytes after the updates".into()));
            }
        }
        Ok(Self { header, updates, counted })
    }

    /// The library's bytes again, of what is still in it.
    pub fn write(&self) -> Result<Vec<u8>, MembershipError> {
        let mut bytes = Vec::new();
        let unwritten =
            |e: postcard::Error| MembershipError::MalformedMessage(format!("can't be written again: {e}"));
        PostcardCodec.encode_header(&self.header, &mut bytes).map_err(unwritten)?;
        if self.counted {
            bytes.extend((self.updates.len() as u16).to_be_bytes());
            for one in &self.updates {
                PostcardCodec.encode_member(one, &mut bytes).map_err(unwritten)?;
            }
        }
        Ok(bytes)
    }
}
