//! Encodes attempts and decodes their answers. The protocol's names of fields and words are mapped to ours here only.

use crate::clients::message::WireId;
use crate::outbox::{BufferMeter, BufferedBytes};
use crate::resp::{encode, parse_decimal, Decoder, FieldEncoder, Fields, MessageLimits};
use basaltgw::api::{AttemptResult, FillReport, LoadReport, Ms, Rank, ServerId};
use std::rc::Rc;
use std::sync::Arc;

/// The version of a cached copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyTag {
    /// The version's name.
    pub version: Arc<str>,
    /// When the origin served it, in Unix milliseconds.
    pub origin_time_ms: u64,
}

/// A server's answer.
#[derive(Debug)]
pub struct ServerAnswer {
    /// The request's id.
    pub id: WireId,
    /// The attempt's result; `None` for the answer to a health probe.
    pub result: Option<AttemptResult>,
    /// The client's copy is current; the answer has no body.
    pub not_modified: bool,
    /// The copy, which a server has to name where it may be cached.
    pub copy: Option<CopyTag>,
    /// How the server got the object.
    pub fill_report: FillReport,
    /// Time that the server spent waiting for its source, in milliseconds.
    pub source_wait_ms: Ms,
    /// The server's load report.
    pub load: LoadReport,
    /// The object's bytes.
    pub body: BufferedBytes,
}

impl ServerAnswer {
    /// Decodes an answer; `None` if it is malformed.
    pub fn read(words: Vec<Vec<u8>>, meters: &[&Rc<BufferMeter>]) -> Option<Self> {
        let mut words = words.into_iter();
        let id = words.next()?;
        let id = WireId(Arc::from(std::str::from_utf8(&id).ok()?));
        let word = words.next()?;
        let fields = words.next().unwrap_or_default();
        let fields = Fields::parse(&fields)?;
        let body = words.next();
        let copy = match (fields.get("ver"), fields.get("born")) {
            (None, None) => None,
            (Some(tag), Some(born)) if !tag.is_empty() => {
                Some(CopyTag { version: Arc::from(tag), origin_time_ms: parse_decimal(born)? as u64 })
            }
            (_, _) => return None,
        };
        let end = match word.as_slice() {
            b"ok" if body.is_some() => Some(AttemptResult::Served),
            b"current" if copy.is_some() => Some(AttemptResult::Served),
            b"ok" | b"current" => return None,
            b"nothing" => Some(AttemptResult::CacheMiss),
            b"refused" => Some(AttemptResult::Rejected),
            b"error" => Some(AttemptResult::Error),
            b"stale" => Some(AttemptResult::NotSent),
            b"yes" => None,
            // The attempt may have been executed, whatever an unknown word means.
            _ => Some(AttemptResult::Error),
        };
        let waited = match fields.get("waited") {
            Some(waited) => parse_decimal(waited)?,
            None => 0.0,
        };
        Some(Self {
            id,
            result: end,
            not_modified: word == b"current",
            copy,
            fill_report: fill_report(fields.get("note")),
            source_wait_ms: waited,
            load: fields.get("load").map(load_report).unwrap_or_default(),
            body: BufferedBytes::new(body.unwrap_or_default(), meters),
        })
    }
}

fn fill_report(word: Option<&str>) -> FillReport {
    match word {
        Some("hit") => FillReport::Hit,
        Some("filled") => FillReport::FilledBySource,
        Some("via_origin") => FillReport::FilledByOrigin,
        Some("joined") => FillReport::Joined,
        Some("stale") => FillReport::Stale,
        Some("src_refused") => FillReport::SourceRejected,
        Some("src_broke") => FillReport::SourceFailed,
        Some("src_lacks") => FillReport::SourceMiss,
        Some("no_slot") => FillReport::FillLimitReached,
        Some("origin_failed") => FillReport::OriginFailed,
        // Of caches that take part in a plan; see docs/hierarchy.md.
        Some("src_looped") => FillReport::LoopDetected,
        // An unknown note carries no information.
        Some(_) | None => FillReport::NotReported,
    }
}

fn load_report(report: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in report.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        match name {
            "inflight" | "rif" => load.in_flight = value,
            "util" | "busy" => load.cpu_utilization = value,
            "x0" => load.hit_ratio = value,
            "x1" => load.fill_load = value,
            _ => {}
        }
    }
    load
}

/// An attempt to be encoded.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRequest<'a> {
    /// The request's id.
    pub id: &'a WireId,
    /// Its class.
    pub class: &'a str,
    /// The object as the client wrote it.
    pub object: &'a str,
    /// The part.
    pub part: u64,
    /// The attempt's time-out in milliseconds.
    pub wait: Ms,
    /// The source of a miss.
    pub from: Option<&'a ServerId>,
    /// The rank at which the copy is cached.
    pub rank: Rank,
    /// The highest age of a copy that may be served, in milliseconds.
    pub oldest: Option<Ms>,
    /// Join a fill that is in progress.
    pub share: bool,
    /// The source serves a cached copy only.
    pub peek: bool,
    /// Serve stale, and revalidate in the background.
    pub renew: bool,
    /// The tag of the client's copy.
    pub seen: Option<&'a str>,
    /// The idempotency key.
    pub key: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

impl AttemptRequest<'_> {
    /// Encodes it.
    pub fn encode(&self) -> Vec<u8> {
        let mut fields = FieldEncoder::default();
        fields.add("c", self.class);
        fields.add("k", self.object);
        fields.add("p", self.part);
        fields.add("w", encoded_wait(self.wait));
        if let Some(from) = self.from {
            fields.add("from", &*from.0);
        }
        match self.rank {
            Rank::None => {}
            Rank::Low => fields.add("rank", 1),
            Rank::Middle => fields.add("rank", 2),
            Rank::Top => fields.add("rank", 3),
        }
        if let Some(oldest) = self.oldest {
            // 0 would mean the class's freshness time.
            fields.add("oldest", oldest.floor().max(1.0));
        }
        let modes = [(self.share, "share"), (self.peek, "peek"), (self.renew, "swr")];
        let modes: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !modes.is_empty() {
            fields.add("mode", modes.join("+"));
        }
        if let Some(seen) = self.seen {
            fields.add("seen", seen);
        }
        if let Some(key) = self.key {
            fields.add("i", key);
        }
        encode(&[b"fetch", self.id.0.as_bytes(), fields.as_str().as_bytes(), self.body])
    }
}

/// A time-out as it is encoded: whole milliseconds, at least 1, since 0 would be no time at all.
fn encoded_wait(wait: Ms) -> Ms {
    wait.floor().max(1.0)
}

/// Encodes an attempt anew with another time-out; `None` if the bytes are no attempt.
pub fn with_timeout(fetch: &[u8], wait: Ms) -> Option<Vec<u8>> {
    let mut decoder = Decoder::new(MessageLimits { max_elements: 4, max_bytes: fetch.len() });
    decoder.feed(fetch);
    let words = decoder.next_message().ok()??;
    let fields = std::str::from_utf8(words.get(2)?).ok()?;
    let wait = encoded_wait(wait);
    let replaced = fields.split(',').map(|field| match field.split_once('=') {
        Some(("w", _)) => format!("w={wait}"),
        _ => field.to_string(),
    });
    let fields = replaced.collect::<Vec<_>>().join(",");
    let mut words: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
    words[2] = fields.as_bytes();
    Some(encode(&words))
}

#[cfg(test)]
mod tests;
