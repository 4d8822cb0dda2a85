//! Decodes clients' messages: `DO` (request), `UNDO` (cancellation), `PING` (health probe).
//!
//! A request is valid only if every field is as the protocol defines it; nothing is guessed.

use crate::limits::{COPY_TAG_MAX_BYTES, MAX_BODY_BYTES, MAX_DEADLINE_MS, MAX_GROUP, MAX_PART, MAX_SIZE_KB};
use crate::resp::{parse_decimal, parse_integer, Fields};
use basaltgw::api::{GroupId, Ms, ObjectId, Part};
use std::sync::Arc;

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);
/// A request's number on its client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(pub u64);
/// A request's id as the client gives it, passed on to servers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireId(pub Arc<str>);

/// A decoded request; text fields that are passed on are as the client wrote them.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMessage {
    /// The request's id.
    pub id: WireId,
    /// Its class.
    pub class: String,
    /// The object.
    pub object: ObjectId,
    /// The object as the client wrote it.
    pub object_text: String,
    /// The part.
    pub part: Part,
    /// The object's group.
    pub group: GroupId,
    /// The part's size in KB; 0 if unknown.
    pub size_kb: f64,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Ms,
    /// The tag of the copy that the client has.
    pub copy_tag: Option<String>,
    /// The idempotency key; servers recognize a repeat by it, whatever its id.
    pub idempotency_key: Option<String>,
    /// The client has presented this id before, or does so elsewhere at the same time. Used only with leases on requests.
    pub repeated: bool,
    /// Several parts instead of the one, not parsed.
    pub parts: Option<String>,
    /// The continuation of an earlier partial answer, not parsed.
    pub continuation: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    /// A request.
    Request(Tag, Box<RequestMessage>),
    /// A cancellation.
    Cancel(Tag),
    /// A health probe.
    Probe(Tag),
    /// A malformed request whose tag is readable, so that it can be answered.
    Malformed(Tag),
}

impl ClientMessage {
    /// Decodes a message; `None` without a readable tag, since nothing can be answered then.
    pub fn decode(words: Vec<Vec<u8>>) -> Option<Self> {
        let mut words = words.into_iter();
        let verb = words.next()?;
        let tag = Tag(tag(&words.next()?)?);
        Some(match verb.as_slice() {
            b"DO" => match request(words) {
                Some(request) => Self::Request(tag, Box::new(request)),
                None => Self::Malformed(tag),
            },
            b"UNDO" => Self::Cancel(tag),
            b"PING" => Self::Probe(tag),
            _ => Self::Malformed(tag),
        })
    }

    /// The same message where its end is uncertain, for example because its word count is too low: a request may have lost words and
    /// counts as malformed.
    pub fn with_uncertain_end(self) -> Self {
        match self {
            Self::Request(tag, _) => Self::Malformed(tag),
            Self::Cancel(_) | Self::Probe(_) | Self::Malformed(_) => self,
        }
    }
}

/// A number of 1 or more without leading zeros, since the answer repeats it.
fn tag(word: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(word).ok().filter(|t| !t.starts_with('0'))?;
    parse_integer(text)
}

/// 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// Whether a copy tag or idempotency key can be passed on unchanged: nothing in it may end a field.
fn opaque(text: &str) -> bool {
    (1..=COPY_TAG_MAX_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphanumeric())
}

/// Decodes the words behind verb and tag.
fn request(mut words: impl Iterator<Item = Vec<u8>>) -> Option<RequestMessage> {
    let class = String::from_utf8(words.next()?).ok()?;
    let fields = words.next()?;
    let fields = Fields::parse(&fields)?;
    let body = words.next().unwrap_or_default();
    if words.next().is_some() || body.len() > MAX_BODY_BYTES {
        return None;
    }
    let (id, object_text) = (fields.get("i")?, fields.get("o")?);
    hex(id)?;
    let size_kb = match fields.get("m") {
        Some(size) => parse_decimal(size).filter(|m| *m > 0.0 && *m <= MAX_SIZE_KB)?,
        None => 0.0,
    };
    let (got, key) = (fields.get("got"), fields.get("k"));
    if !got.is_none_or(opaque) || !key.is_none_or(opaque) {
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
        copy_tag: got.map(str::to_string),
        idempotency_key: key.map(str::to_string),
        repeated: fields.get("again") == Some("1"),
        parts: fields.get("parts").map(str::to_string),
        continuation: fields.get("debt").map(str::to_string),
        body,
    })
}
