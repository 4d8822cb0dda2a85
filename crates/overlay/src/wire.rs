//! What overlays say to each other: frames of parts, and the bounds on what is read.

use crate::streams::StreamId;
use crate::{Kind, OverlayError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Streams with the number up to which all is had.
pub(crate) type Vector = Vec<(StreamId, u64)>;

/// Into how many buckets streams fall when vectors are compared: of 4,300 streams one bucket has some 70, less than a page.
pub(crate) const BUCKETS: usize = 64;
/// No stream gets so far: more is not believed.
const MOST_NUMBER: u64 = 1 << 48;
/// Parts of a frame; a sender has a few for each stream with news.
pub(crate) const MOST_PARTS: usize = 512;
/// Words that one part asks about.
pub(crate) const MOST_HASHES: usize = 512;

/// A word, less the bytes at its start that are those of the word before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packed {
    pub same: u16,
    pub rest: Vec<u8>,
}

/// What a frame is made of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Part {
    /// Words of a stream, in order, from a number on.
    Words { stream: StreamId, first: u64, words: Vec<Packed> },
    /// What is new, for those who get no words at once.
    News(Vector),
    /// See [`Digest`].
    Digest(Digest),
    /// The hashes of all buckets, less the streams that are named: whoever differs answers with its vector of those that do.
    Buckets { named: Vector, hashes: Vec<u32> },
    /// Streams with how long ago they changed, in seconds.
    Vector(Vec<(StreamId, u64, u32)>),
    /// Asks for words; a long way back, or the last few.
    Fetch { stream: StreamId, from: u64, to: u64, filling: bool },
    /// Words of a stream are given from this number on: older ones are not kept, or have settled. The last of those came here so many
    /// milliseconds ago, or longer.
    Gone { stream: StreamId, first: u64, age: u32 },
    /// Asks for words at once, or no more so; with what is had.
    Want { eager: bool, has: Vector },
    /// Words will not come at once: too many have asked for that.
    NotEager,
    /// No room for a link.
    Full,
    /// The key by which the sender knows words; see [`crate::told::keyed`].
    Key(u64),
    /// Asks whether words are known, by the first half of their hash; only of those that are not is anything said.
    Ask(Vec<[u8; 4]>),
    /// The same by all of it; both is answered.
    AskWhole(Vec<[u8; 8]>),
    /// Words that are not known: they are to be told.
    Unknown(Vec<[u8; 4]>),
    /// Words that have come, or were said.
    Known(Vec<[u8; 8]>),
    /// Words that the other end does not know, for the one who has nobody above.
    Hear { kind: Kind, words: Vec<Packed> },
}

/// A short form of all that is had.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Streams that changed of late.
    pub hot: Vector,
    /// Of all others.
    pub hash: u64,
    /// How many those are.
    pub count: u32,
    /// How long ago the sender was up to date, ms; nothing if it can't say.
    pub age: Option<u32>,
}

/// A frame: parts in which streams are called by short numbers, and which streams got such a number with it.
#[derive(Serialize, Deserialize)]
struct Frame {
    /// The numbers start anew.
    anew: bool,
    names: Vec<[u8; 8]>,
    parts: Vec<Part>,
}

/// The short numbers of one direction of a link: two bytes in place of ten, for a handful of streams that are named several times a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Names {
    to: BTreeMap<StreamId, u64>,
    from: Vec<StreamId>,
}

/// Streams that have a short number on a link; what a frame may name besides has room.
const MOST_NAMES: usize = 4096;

impl Names {
    /// Writes a frame.
    pub fn write(&mut self, mut parts: Vec<Part>) -> Vec<u8> {
        let mut frame = Frame { anew: self.to.len() > MOST_NAMES, names: Vec::new(), parts: Vec::new() };
        if frame.anew {
            self.to.clear();
        }
        let (to, names) = (&mut self.to, &mut frame.names);
        let mut short = |stream: StreamId| {
            let next = to.len() as u64;
            let number = to.entry(stream).or_insert_with(|| {
                names.push(stream.0.to_le_bytes());
                next
            });
            Some(StreamId(*number))
        };
        parts.iter_mut().for_each(|p| {
            p.rename(&mut short);
        });
        frame.parts = parts;
        // Growing memory is never full, and all of it is of plain types.
        postcard::to_allocvec(&frame).unwrap_or_default()
    }

    /// Reads a frame.
    pub fn read(&mut self, bytes: &[u8], most: usize) -> Result<Vec<Part>, OverlayError> {
        if bytes.len() > most {
            return Err(OverlayError::TooLong { most, found: bytes.len() });
        }
        let (frame, rest): (Frame, _) =
            postcard::take_from_bytes(bytes).map_err(|e| OverlayError::Garbled(format!("no frame: {e}")))?;
        let Frame { anew, names, mut parts } = frame;
        if anew {
            self.from.clear();
        }
        self.from.extend(names.into_iter().map(|n| StreamId(u64::from_le_bytes(n))));
        let known = &self.from;
        let mut long = |s: StreamId| usize::try_from(s.0).ok().and_then(|at| known.get(at)).copied();
        let fault = match rest {
            [] if parts.len() > MOST_PARTS => Some("too many parts"),
            [] if known.len() > MOST_NAMES + most / 8 => Some("too many names"),
            [] if !parts.iter_mut().all(|p| p.rename(&mut long)) => Some("a stream without a name"),
            [] => parts.iter().find_map(Part::fault),
            _ => Some("bytes after a frame"),
        };
        fault.map_or(Ok(parts), |what| Err(OverlayError::Garbled(what.into())))
    }
}

fn rename(stream: &mut StreamId, by: &mut impl FnMut(StreamId) -> Option<StreamId>) -> bool {
    by(*stream).map(|new| *stream = new).is_some()
}

fn numbers(vector: &Vector) -> bool {
    vector.iter().all(|(_, n)| *n < MOST_NUMBER)
}

impl Part {
    /// Calls all streams by other numbers; false if one has none.
    fn rename(&mut self, by: &mut impl FnMut(StreamId) -> Option<StreamId>) -> bool {
        match self {
            Part::Words { stream, .. } | Part::Fetch { stream, .. } | Part::Gone { stream, .. } => {
                rename(stream, by)
            }
            Part::News(named)
            | Part::Want { has: named, .. }
            | Part::Digest(Digest { hot: named, .. })
            | Part::Buckets { named, .. } => named.iter_mut().all(|(s, _)| rename(s, by)),
            Part::Vector(entries) => entries.iter_mut().all(|(s, _, _)| rename(s, by)),
            Part::NotEager
            | Part::Full
            | Part::Key(_)
            | Part::Ask(_)
            | Part::AskWhole(_)
            | Part::Unknown(_)
            | Part::Known(_)
            | Part::Hear { .. } => true,
        }
    }

    fn fault(&self) -> Option<&'static str> {
        let (fits, what) = match self {
            Part::Words { first, words, .. } => {
                ((1..MOST_NUMBER).contains(first) && !words.is_empty(), "words that can't be")
            }
            Part::News(named) | Part::Want { has: named, .. } | Part::Digest(Digest { hot: named, .. }) => {
                (numbers(named), "a number that can't be")
            }
            Part::Buckets { named, hashes } => {
                (numbers(named) && hashes.len() == BUCKETS, "buckets that can't be")
            }
            Part::Vector(entries) => (entries.iter().all(|e| e.1 < MOST_NUMBER), "a number that can't be"),
            Part::Fetch { from, to, .. } => {
                (1 <= *from && from <= to && *to < MOST_NUMBER, "a span that can't be")
            }
            Part::Gone { first, .. } => ((1..MOST_NUMBER).contains(first), "a number that can't be"),
            Part::Ask(hashes) | Part::Unknown(hashes) => (hashes.len() <= MOST_HASHES, "too many hashes"),
            Part::AskWhole(hashes) | Part::Known(hashes) => (hashes.len() <= MOST_HASHES, "too many hashes"),
            Part::Hear { words, .. } => (!words.is_empty(), "words that can't be"),
            Part::NotEager | Part::Full | Part::Key(_) => (true, ""),
        };
        (!fits).then_some(what)
    }

    /// What it asks for and tells besides words comes before words.
    pub fn kind(&self) -> Kind {
        match self {
            Part::Words { stream, .. } => stream.kind(),
            Part::News(_)
            | Part::Digest(_)
            | Part::Buckets { .. }
            | Part::Vector(_)
            | Part::Fetch { .. }
            | Part::Gone { .. }
            | Part::Want { .. }
            | Part::NotEager
            | Part::Full
            | Part::Key(_)
            | Part::Ask(_)
            | Part::AskWhole(_)
            | Part::Unknown(_)
            | Part::Known(_) => Kind::Purge,
            Part::Hear { kind, .. } => *kind,
        }
    }
}

/// Packs words one after the other.
pub(crate) fn pack(before: &[u8], word: &[u8]) -> Packed {
    let same = before.iter().zip(word).take(usize::from(u16::MAX)).take_while(|(a, b)| a == b).count();
    Packed { same: same as u16, rest: word[same..].to_vec() }
}

/// Unpacks a word after the one before it.
pub(crate) fn unpack(before: &[u8], packed: &Packed, most: usize) -> Result<Vec<u8>, OverlayError> {
    let same = usize::from(packed.same);
    if same > before.len() || same + packed.rest.len() > most {
        return Err(OverlayError::Garbled("a word that can't be".into()));
    }
    Ok([&before[..same], &packed.rest].concat())
}
