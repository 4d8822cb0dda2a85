//! Decodes clients' messages: `DO` (request), `UNDO` (cancellation), `PING` (health probe).
//!
//! A request is valid only if every field is as the protocol defines it; there are no defaults for malformed fields.

use crate::limits::{
    COPY_TAG_MAX_BYTES, MAX_BODY_BYTES, MAX_DEADLINE_MS, MAX_GROUP, MAX_PART, MAX_SIZE_KB, QUEUED_INPUT_BYTES,
};
use crate::outbox::MessageSize;
use crate::resp::{parse_decimal, parse_integer, Fields};
use basaltgw::api::{GroupId, Ms, ObjectId, Part};
use std::sync::Arc;

/// The number of a client's connection, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);
/// The number that a client gives a request on its connection; the answer repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(pub u64);
/// The id that a client gives a request (16 hex digits); it is passed on to servers. Also the tag of a probe to a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireId(pub Arc<str>);

/// A decoded request. Text fields that are passed on to servers are as the client wrote them.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMessage {
    /// The request's id.
    pub id: WireId,
    /// The name of its class.
    pub class: String,
    /// The requested object.
    pub object: ObjectId,
    /// The object as the client wrote it.
    pub object_text: String,
    /// The requested part of the object.
    pub part: Part,
    /// The object's group.
    pub group: GroupId,
    /// The part's size in KB; 0 if unknown.
    pub size_kb: f64,
    /// How long the client waits from sending the request, in milliseconds.
    pub deadline_ms: Ms,
    /// The tag of the copy that the client has.
    pub copy_tag: Option<String>,
    /// The idempotency key; servers recognize a repeat by it, whatever its id.
    pub idempotency_key: Option<String>,
    /// The client has sent this id before, or sends it to another router at the same time. Used only if requests are leased.
    pub repeated: bool,
    /// The parts of a scatter-gather request, which replace `part`; not parsed.
    pub parts: Option<String>,
    /// The continuation of an earlier partial answer, not parsed.
    pub continuation: Option<String>,
    /// The body of a write; empty for a read.
    pub body: Vec<u8>,
    /// The body was discarded for want of memory, and the request can't be executed.
    pub body_discarded: bool,
}

impl RequestMessage {
    /// The bytes of its texts, all that it has beside the body.
    pub fn text_bytes(&self) -> usize {
        let texts = [&self.copy_tag, &self.idempotency_key, &self.parts, &self.continuation];
        let optional: usize = texts.into_iter().flatten().map(String::len).sum();
        self.id.0.len() + self.class.len() + self.object_text.len() + optional
    }
}

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    /// A request.
    Request(Tag, Box<RequestMessage>),
    /// The cancellation of the request with this tag.
    Cancel(Tag),
    /// A health probe.
    Probe(Tag),
    /// A malformed message with a valid tag, so that it can be answered.
    Malformed(Tag),
}

impl ClientMessage {
    /// Decodes a message; `None` without a valid tag, since it could not be answered.
    pub fn decode(elements: Vec<Vec<u8>>) -> Option<Self> {
        let mut elements = elements.into_iter();
        let verb = elements.next()?;
        let tag = Tag(tag(&elements.next()?)?);
        Some(match verb.as_slice() {
            b"DO" => match request(elements) {
                Some(request) => Self::Request(tag, Box::new(request)),
                None => Self::Malformed(tag),
            },
            b"UNDO" => Self::Cancel(tag),
            b"PING" => Self::Probe(tag),
            _ => Self::Malformed(tag),
        })
    }

    /// The tag of a cancellation, from the two bulk strings of its message; `None` if it is no cancellation.
    pub fn cancelled_tag(name: &[u8], tag_text: &[u8]) -> Option<Tag> {
        (name == b"UNDO").then(|| tag(tag_text).map(Tag)).flatten()
    }

    /// The memory that it uses while it waits for the owner.
    pub fn size(&self) -> MessageSize {
        match self {
            Self::Request(_, request) => MessageSize {
                bytes: request.body.len(),
                overhead_bytes: QUEUED_INPUT_BYTES + size_of::<RequestMessage>() + request.text_bytes(),
            },
            Self::Cancel(_) | Self::Probe(_) | Self::Malformed(_) => {
                MessageSize { bytes: 0, overhead_bytes: QUEUED_INPUT_BYTES }
            }
        }
    }

    /// The message to use if one of its bulk strings was discarded: a request counts as one without its body.
    pub fn with_discarded_body(self) -> Self {
        match self {
            Self::Request(tag, mut request) => {
                request.body_discarded = true;
                Self::Request(tag, request)
            }
            Self::Cancel(_) | Self::Probe(_) | Self::Malformed(_) => self,
        }
    }

    /// The message to use if the bytes after it can't be decoded, for example because its array's count is too low: a request may lack
    /// elements and counts as malformed.
    pub fn with_uncertain_end(self) -> Self {
        match self {
            Self::Request(tag, _) => Self::Malformed(tag),
            Self::Cancel(_) | Self::Probe(_) | Self::Malformed(_) => self,
        }
    }
}

/// Parses a number of 1 or more without leading zeros; the answer repeats it, so it must have one spelling only.
fn tag(bulk_string: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bulk_string).ok().filter(|t| !t.starts_with('0'))?;
    parse_integer(text)
}

/// Parses 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// Whether a copy tag or idempotency key can be passed on unchanged: it has no character that ends a field.
fn is_opaque(text: &str) -> bool {
    (1..=COPY_TAG_MAX_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphanumeric())
}

/// Decodes the elements after verb and tag: class, fields and an optional body.
fn request(mut elements: impl Iterator<Item = Vec<u8>>) -> Option<RequestMessage> {
    let class = String::from_utf8(elements.next()?).ok()?;
    let fields = elements.next()?;
    let fields = Fields::parse(&fields)?;
    let body = elements.next().unwrap_or_default();
    if elements.next().is_some() || body.len() > MAX_BODY_BYTES {
        return None;
    }
    let (id, object_text) = (fields.get("i")?, fields.get("o")?);
    hex(id)?;
    let size_kb = match fields.get("m") {
        Some(size) => parse_decimal(size).filter(|m| *m > 0.0 && *m <= MAX_SIZE_KB)?,
        None => 0.0,
    };
    let (copy_tag, key) = (fields.get("got"), fields.get("k"));
    if !copy_tag.is_none_or(is_opaque) || !key.is_none_or(is_opaque) {
        return None;
    }
    Some(RequestMessage {
        id: WireId(Arc::from(id)),
        class,
        object: ObjectId(hex(object_text)?),
        object_text: object_text.to_string(),
        part: Part(fields.integer("nth", MAX_PART)?),
        group: GroupId(fields.integer("batch", MAX_GROUP)?),
        size_kb,
        deadline_ms: fields.decimal("d").filter(|d| *d <= MAX_DEADLINE_MS)?,
        copy_tag: copy_tag.map(str::to_string),
        idempotency_key: key.map(str::to_string),
        body_discarded: false,
        repeated: fields.get("again") == Some("1"),
        parts: fields.get("parts").map(str::to_string),
        continuation: fields.get("debt").map(str::to_string),
        body,
    })
}
