//! Frames between overlays: their encoding, and the limits that decoding enforces.
//!
//! Encoding is postcard: the order of variants and fields is the wire format.

use crate::update_log::StreamId;
use crate::{Kind, OverlayError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Streams with the last number up to which all updates are known.
pub(crate) type Vector = Vec<(StreamId, u64)>;

/// Number of buckets for the comparison of vectors: of 4,300 streams one bucket has about 70, less than a page.
pub(crate) const BUCKETS: usize = 64;
/// Exclusive upper bound of numbers in a stream.
const MAX_NUMBER: u64 = 1 << 48;
/// Largest number of parts in a frame; a sender has a few for each stream with new updates.
pub(crate) const MAX_PARTS: usize = 512;
/// Largest number of hashes in a part.
pub(crate) const MAX_HASHES: usize = 512;

/// Update without the prefix that it shares with the previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PackedUpdate {
    pub shared_prefix_len: u16,
    pub suffix: Vec<u8>,
}

/// Part of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Part {
    /// Consecutive updates of a stream, beginning with number `first`.
    Updates { stream: StreamId, first: u64, updates: Vec<PackedUpdate> },
    /// Streams with new updates, on links without push.
    Announcement(Vector),
    /// See [`Digest`].
    Digest(Digest),
    /// Hashes of all buckets without the named streams. The receiver answers with a vector of the streams in differing buckets.
    Buckets { named: Vector, hashes: Vec<u32> },
    /// Streams with their last number and the seconds since their last change.
    Vector(Vec<(StreamId, u64, u32)>),
    /// Requests updates; a backfill reaches further back than the last few, and has a lower priority.
    Fetch { stream: StreamId, from: u64, to: u64, is_backfill: bool },
    /// The sender has no updates of a stream before number `first`: they expired or have converged. The last of them arrived there at least
    /// `age` milliseconds ago.
    Unavailable { stream: StreamId, first: u64, age: u32 },
    /// Starts or stops the push of updates on the link, with the last numbers that the sender knows.
    PushRequest { enabled: bool, known: Vector },
    /// The push is rejected: too many children have requested one.
    PushRejected,
    /// The link is rejected: too many children are linked.
    LinkRejected,
    /// The sender's hash key; see [`crate::deduplication::keyed_hash`].
    HashKey(u64),
    /// Queries updates by their short hashes; the answer lists the unknown ones only.
    Query(Vec<[u8; 4]>),
    /// Queries updates by their full hashes; the answer lists both the unknown and the known ones.
    FullQuery(Vec<[u8; 8]>),
    /// Queried updates that the sender does not know, and requests.
    Unknown(Vec<[u8; 4]>),
    /// Queried updates that the sender has received or published.
    Known(Vec<[u8; 8]>),
    /// Updates that the receiver does not know; to be published by a router without a parent.
    Escalation { kind: Kind, updates: Vec<PackedUpdate> },
}

/// Summary of all known updates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Streams that changed recently.
    pub recent: Vector,
    /// Hash of all other streams.
    pub hash: u64,
    /// Number of all other streams.
    pub count: u32,
    /// Milliseconds since the sender had caught up; `None` if that is unknown.
    pub age: Option<u32>,
}

/// Frame. Its parts refer to streams by short numbers; `names` lists the streams that get the next numbers.
#[derive(Serialize, Deserialize)]
struct Frame {
    /// The numbers begin at 0 again.
    reset: bool,
    names: Vec<[u8; 8]>,
    parts: Vec<Part>,
}

/// Short numbers of streams on one link: two bytes in place of ten for streams that are named several times a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamNames {
    sent: BTreeMap<StreamId, u64>,
    received: Vec<StreamId>,
}

/// Largest number of named streams on a link, before those of the last frame.
const MAX_NAMES: usize = 4096;

impl StreamNames {
    /// Encodes a frame.
    pub fn encode(&mut self, mut parts: Vec<Part>) -> Vec<u8> {
        let mut frame = Frame { reset: self.sent.len() > MAX_NAMES, names: Vec::new(), parts: Vec::new() };
        if frame.reset {
            self.sent.clear();
        }
        let (sent, names) = (&mut self.sent, &mut frame.names);
        let mut to_short = |stream: StreamId| {
            let next = sent.len() as u64;
            let number = sent.entry(stream).or_insert_with(|| {
                names.push(stream.0.to_le_bytes());
                next
            });
            Some(StreamId(*number))
        };
        parts.iter_mut().for_each(|p| {
            p.rename_streams(&mut to_short);
        });
        frame.parts = parts;
        // Encoding plain types into a growing buffer does not fail.
        postcard::to_allocvec(&frame).unwrap_or_default()
    }

    /// Decodes a frame of at most `max_bytes`.
    pub fn decode(&mut self, bytes: &[u8], max_bytes: usize) -> Result<Vec<Part>, OverlayError> {
        if bytes.len() > max_bytes {
            return Err(OverlayError::TooLong { max_bytes, found_bytes: bytes.len() });
        }
        let malformed = |error| OverlayError::MalformedFrame(format!("can't be decoded: {error}"));
        let (frame, remainder): (Frame, _) = postcard::take_from_bytes(bytes).map_err(malformed)?;
        let Frame { reset, names, mut parts } = frame;
        if reset {
            self.received.clear();
        }
        self.received.extend(names.into_iter().map(|n| StreamId(u64::from_le_bytes(n))));
        let known = &self.received;
        let mut to_stream = |s: StreamId| usize::try_from(s.0).ok().and_then(|at| known.get(at)).copied();
        let problem = match remainder {
            [] if parts.len() > MAX_PARTS => Some("too many parts"),
            [] if known.len() > MAX_NAMES + max_bytes / 8 => Some("too many names"),
            [] if !parts.iter_mut().all(|p| p.rename_streams(&mut to_stream)) => {
                Some("a stream without a name")
            }
            [] => parts.iter().find_map(Part::violation),
            _ => Some("bytes after the last part"),
        };
        problem.map_or(Ok(parts), |problem| Err(OverlayError::MalformedFrame(problem.into())))
    }
}

fn rename(stream: &mut StreamId, by: &mut impl FnMut(StreamId) -> Option<StreamId>) -> bool {
    by(*stream).map(|new| *stream = new).is_some()
}

fn has_valid_numbers(vector: &Vector) -> bool {
    vector.iter().all(|(_, n)| *n < MAX_NUMBER)
}

impl Part {
    /// Replaces the ids of all streams; false if one has no replacement.
    fn rename_streams(&mut self, by: &mut impl FnMut(StreamId) -> Option<StreamId>) -> bool {
        match self {
            Part::Updates { stream, .. } | Part::Fetch { stream, .. } | Part::Unavailable { stream, .. } => {
                rename(stream, by)
            }
            Part::Announcement(named)
            | Part::PushRequest { known: named, .. }
            | Part::Digest(Digest { recent: named, .. })
            | Part::Buckets { named, .. } => named.iter_mut().all(|(s, _)| rename(s, by)),
            Part::Vector(entries) => entries.iter_mut().all(|(s, _, _)| rename(s, by)),
            Part::PushRejected
            | Part::LinkRejected
            | Part::HashKey(_)
            | Part::Query(_)
            | Part::FullQuery(_)
            | Part::Unknown(_)
            | Part::Known(_)
            | Part::Escalation { .. } => true,
        }
    }

    /// The limit that the part violates.
    fn violation(&self) -> Option<&'static str> {
        let (is_valid, problem) = match self {
            Part::Updates { first, updates, .. } => {
                ((1..MAX_NUMBER).contains(first) && !updates.is_empty(), "invalid updates")
            }
            Part::Announcement(named)
            | Part::PushRequest { known: named, .. }
            | Part::Digest(Digest { recent: named, .. }) => {
                (has_valid_numbers(named), "a number out of range")
            }
            Part::Buckets { named, hashes } => {
                (has_valid_numbers(named) && hashes.len() == BUCKETS, "invalid buckets")
            }
            Part::Vector(entries) => (entries.iter().all(|e| e.1 < MAX_NUMBER), "a number out of range"),
            Part::Fetch { from, to, .. } => (1 <= *from && from <= to && *to < MAX_NUMBER, "an invalid span"),
            Part::Unavailable { first, .. } => ((1..MAX_NUMBER).contains(first), "a number out of range"),
            Part::Query(hashes) | Part::Unknown(hashes) => (hashes.len() <= MAX_HASHES, "too many hashes"),
            Part::FullQuery(hashes) | Part::Known(hashes) => (hashes.len() <= MAX_HASHES, "too many hashes"),
            Part::Escalation { updates, .. } => (!updates.is_empty(), "no escalated updates"),
            Part::PushRejected | Part::LinkRejected | Part::HashKey(_) => (true, ""),
        };
        (!is_valid).then_some(problem)
    }

    /// Priority of the part: everything but updates has the highest one.
    pub fn kind(&self) -> Kind {
        match self {
            Part::Updates { stream, .. } => stream.kind(),
            Part::Announcement(_)
            | Part::Digest(_)
            | Part::Buckets { .. }
            | Part::Vector(_)
            | Part::Fetch { .. }
            | Part::Unavailable { .. }
            | Part::PushRequest { .. }
            | Part::PushRejected
            | Part::LinkRejected
            | Part::HashKey(_)
            | Part::Query(_)
            | Part::FullQuery(_)
            | Part::Unknown(_)
            | Part::Known(_) => Kind::Purge,
            Part::Escalation { kind, .. } => *kind,
        }
    }
}

/// Packs an update relative to the previous one.
pub(crate) fn pack(previous: &[u8], update: &[u8]) -> PackedUpdate {
    let pairs = previous.iter().zip(update).take(usize::from(u16::MAX));
    let shared = pairs.take_while(|(a, b)| a == b).count();
    PackedUpdate { shared_prefix_len: shared as u16, suffix: update[shared..].to_vec() }
}

/// Unpacks an update of at most `max_bytes` relative to the previous one.
fn unpack(previous: &[u8], packed: &PackedUpdate, max_bytes: usize) -> Result<Vec<u8>, OverlayError> {
    let shared = usize::from(packed.shared_prefix_len);
    if shared > previous.len() || shared + packed.suffix.len() > max_bytes {
        return Err(OverlayError::MalformedFrame("an invalid update".into()));
    }
    Ok([&previous[..shared], &packed.suffix].concat())
}

/// Unpacks the updates of one part, each of at most `max_bytes`.
pub(crate) fn unpack_all(packed: &[PackedUpdate], max_bytes: usize) -> Result<Vec<Vec<u8>>, OverlayError> {
    let mut updates: Vec<Vec<u8>> = Vec::with_capacity(packed.len());
    let mut total_bytes = 0;
    for one in packed {
        let previous = updates.last().map_or(&[][..], Vec::as_slice);
        let update = unpack(previous, one, max_bytes)?;
        total_bytes += update.len();
        // Shared prefixes could expand a short frame to any size.
        if total_bytes > MAX_UNPACKED_BYTES {
            return Err(OverlayError::MalformedFrame("updates that unpack to too many bytes".into()));
        }
        updates.push(update);
    }
    Ok(updates)
}

/// Largest total size of the unpacked updates of one part; no sender exceeds it.
pub(crate) const MAX_UNPACKED_BYTES: usize = 256 << 10;
