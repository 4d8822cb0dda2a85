//! The messages between routers' memberships, and the checks before one is passed to the SWIM library.

use crate::evidence::EvidenceUpdate;
use crate::identity::RouterIdentity;
use crate::MembershipError;
use foca::{Codec, Header, Member, Message as SwimKind, PostcardCodec};
use serde::{Deserialize, Serialize};

/// A message between two memberships.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// See [`Hello`].
    Hello(Box<Hello>),
    /// A message of the SWIM library, with evidence attached.
    Swim {
        /// The library's bytes.
        bytes: Vec<u8>,
        /// See [`EvidenceUpdate`].
        evidence: Vec<EvidenceUpdate>,
    },
}

/// What the sender of a hello knows of the recipient's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownIdentity {
    pub identity: RouterIdentity,
    /// The sender considers it down.
    pub is_down: bool,
}

/// The first message on a link, and the reply to an identity that is not known as the current one of its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The sender.
    pub me: RouterIdentity,
    /// What the sender knows of the recipient's name.
    pub known: Option<KnownIdentity>,
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain types into a growing buffer does not fail.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message of at most `max_bytes`.
    ///
    /// # Errors
    /// If it is longer or malformed, has bytes left over, or an identity in it is invalid.
    pub fn decode(bytes: &[u8], max_bytes: usize) -> Result<Self, MembershipError> {
        if bytes.len() > max_bytes {
            return Err(MembershipError::TooLong { max_bytes, found_bytes: bytes.len() });
        }
        let (message, rest): (Self, _) = postcard::take_from_bytes(bytes)
            .map_err(|e| malformed(format!("expected a hello or a SWIM message: {e}")))?;
        if !rest.is_empty() {
            return Err(malformed("bytes after the message"));
        }
        match message.has_valid_identities() {
            true => Ok(message),
            false => Err(malformed("an invalid router identity")),
        }
    }

    /// False if an identity in a hello is invalid; those in SWIM messages are checked by [`SwimMessage::decode`].
    fn has_valid_identities(&self) -> bool {
        match self {
            Self::Hello(hello) => {
                hello.me.is_valid() && hello.known.as_ref().is_none_or(|k| k.identity.is_valid())
            }
            Self::Swim { .. } => true,
        }
    }
}

/// A message of the SWIM library, decoded to check it before the library handles it.
pub(crate) struct SwimMessage {
    pub header: Header<RouterIdentity>,
    pub updates: Vec<Member<RouterIdentity>>,
    /// Whether the message has the field with the number of updates, which some kinds lack.
    pub has_update_count: bool,
}

impl SwimMessage {
    /// Decodes the library's bytes.
    ///
    /// # Errors
    /// If they are malformed or of an unused kind, or an identity in them is invalid.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, MembershipError> {
        let header: Header<RouterIdentity> =
            PostcardCodec.decode_header(&mut bytes).map_err(|e| malformed(format!("the header: {e}")))?;
        let third_party = match &header.message {
            SwimKind::PingReq { target: third_party, .. }
            | SwimKind::IndirectPing { origin: third_party, .. }
            | SwimKind::IndirectAck { target: third_party, .. }
            | SwimKind::ForwardedAck { origin: third_party, .. } => Some(third_party),
            SwimKind::Broadcast => return Err(malformed("a broadcast, which is not used")),
            SwimKind::Ping(_)
            | SwimKind::Ack(_)
            | SwimKind::Announce
            | SwimKind::Feed
            | SwimKind::Gossip
            | SwimKind::TurnUndead => None,
        };
        let identities = [Some(&header.src), Some(&header.dst), third_party];
        if !identities.into_iter().flatten().all(RouterIdentity::is_valid) {
            return Err(malformed("an invalid router identity in the header"));
        }
        let has_update_count = !bytes.is_empty();
        let updates = if has_update_count { decode_updates(bytes)? } else { Vec::new() };
        Ok(Self { header, updates, has_update_count })
    }

    /// Encodes the message for the library.
    ///
    /// # Errors
    /// If the library's codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, MembershipError> {
        let mut bytes = Vec::new();
        let failed = |e: postcard::Error| malformed(format!("encoding failed: {e}"));
        PostcardCodec.encode_header(&self.header, &mut bytes).map_err(failed)?;
        if self.has_update_count {
            bytes.extend((self.updates.len() as u16).to_be_bytes());
            for update in &self.updates {
                PostcardCodec.encode_member(update, &mut bytes).map_err(failed)?;
            }
        }
        Ok(bytes)
    }
}

/// Decodes a big-endian number of updates, and the updates.
fn decode_updates(bytes: &[u8]) -> Result<Vec<Member<RouterIdentity>>, MembershipError> {
    let mut updates = Vec::new();
    let (count, mut rest) =
        bytes.split_first_chunk::<2>().ok_or_else(|| malformed("truncated before the updates"))?;
    for _ in 0..u16::from_be_bytes(*count) {
        let update: Member<RouterIdentity> =
            PostcardCodec.decode_member(&mut rest).map_err(|e| malformed(format!("an update: {e}")))?;
        if !update.id().is_valid() {
            return Err(malformed("an invalid router identity in an update"));
        }
        updates.push(update);
    }
    match rest.is_empty() {
        true => Ok(updates),
        false => Err(malformed("bytes after the updates")),
    }
}

fn malformed(details: impl Into<String>) -> MembershipError {
    MembershipError::MalformedMessage(details.into())
}
