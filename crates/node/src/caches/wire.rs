//! Encodes attempts and decodes their answers. Only this module knows the names of fields, results and modes in the servers' protocol.

use crate::clients::message::WireId;
use crate::limits::QUEUED_INPUT_BYTES;
use crate::outbox::{BufferMeter, BufferedBytes};
use crate::resp::{encode, parse_decimal, Decoder, FieldEncoder, Fields, MessageLimits};
use basaltgw::api::{AttemptResult, FillReport, LoadReport, Ms, Rank, ServerId};
use std::rc::Rc;
use std::sync::Arc;

/// The version of a cached copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyTag {
    /// The version's tag, without a structure that routers know.
    pub version: Arc<str>,
    /// When the origin served that version, in Unix milliseconds of the origin.
    pub origin_time_ms: u64,
}

/// A server's answer.
#[derive(Debug)]
pub struct ServerAnswer {
    /// The request's id, or the tag of a health probe.
    pub id: WireId,
    /// The attempt's result; `None` for the answer to a health probe.
    pub result: Option<AttemptResult>,
    /// The client's copy is current; the answer has no body.
    pub not_modified: bool,
    /// The version of the served copy; required in a response that may be cached.
    pub copy: Option<CopyTag>,
    /// How the server got the object.
    pub fill_report: FillReport,
    /// How long the server waited for its fill source, in milliseconds.
    pub source_wait_ms: Ms,
    /// The server's load report.
    pub load: LoadReport,
    /// The object's bytes.
    pub body: BufferedBytes,
}

impl ServerAnswer {
    /// Decodes an answer; `None` if it is malformed.
    pub fn decode(elements: Vec<Vec<u8>>, meters: &[&Rc<BufferMeter>]) -> Option<Self> {
        let mut elements = elements.into_iter();
        let id = elements.next()?;
        let id = WireId(Arc::from(std::str::from_utf8(&id).ok()?));
        let status = elements.next()?;
        let fields = elements.next().unwrap_or_default();
        let fields = Fields::parse(&fields)?;
        let body = elements.next();
        let copy = match (fields.get("ver"), fields.get("born")) {
            (None, None) => None,
            (Some(version), Some(origin_time)) if !version.is_empty() => {
                let origin_time_ms = parse_decimal(origin_time)? as u64;
                Some(CopyTag { version: Arc::from(version), origin_time_ms })
            }
            (_, _) => return None,
        };
        let result = match status.as_slice() {
            b"ok" if body.is_some() => Some(AttemptResult::Served),
            b"current" if copy.is_some() => Some(AttemptResult::Served),
            b"ok" | b"current" => return None,
            b"nothing" => Some(AttemptResult::CacheMiss),
            b"refused" => Some(AttemptResult::Rejected),
            b"error" => Some(AttemptResult::Error),
            b"stale" => Some(AttemptResult::NotSent),
            b"yes" => None,
            // After an unknown status the attempt may have been executed.
            _ => Some(AttemptResult::Error),
        };
        let source_wait_ms = match fields.get("waited") {
            Some(wait) => parse_decimal(wait)?,
            None => 0.0,
        };
        Some(Self {
            id,
            result,
            not_modified: status == b"current",
            copy,
            fill_report: fill_report(fields.get("note")),
            source_wait_ms,
            load: fields.get("load").map(load_report).unwrap_or_default(),
            body: BufferedBytes::with_overhead(body.unwrap_or_default(), QUEUED_INPUT_BYTES, meters),
        })
    }
}

fn fill_report(note: Option<&str>) -> FillReport {
    match note {
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
        // Only caches that take part in a cache tree's plan send this; see docs/hierarchy.md.
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
    /// The name of the request class.
    pub class: &'a str,
    /// The object as the client wrote it.
    pub object: &'a str,
    /// The requested part of the object.
    pub part: u64,
    /// The attempt's timeout in milliseconds.
    pub timeout_ms: Ms,
    /// The server from which a miss is filled; `None` if the attempt's server itself fills it.
    pub fill_source: Option<&'a ServerId>,
    /// The rank at which the copy is cached.
    pub rank: Rank,
    /// The highest age of a copy that may be served, in milliseconds.
    pub max_age_ms: Option<Ms>,
    /// Whether to join a fill that is in progress.
    pub join_fill: bool,
    /// Whether the fill source serves cached copies only.
    pub cached_only: bool,
    /// Whether a stale copy is served and revalidated in the background.
    pub revalidate: bool,
    /// The tag of the client's copy.
    pub copy_tag: Option<&'a str>,
    /// The client's idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The body of a write; empty for a read.
    pub body: &'a [u8],
}

impl AttemptRequest<'_> {
    /// Encodes the attempt as a `fetch` message.
    pub fn encode(&self) -> Vec<u8> {
        let mut fields = FieldEncoder::default();
        fields.add("c", self.class);
        fields.add("k", self.object);
        fields.add("p", self.part);
        fields.add("w", encoded_timeout(self.timeout_ms));
        if let Some(source) = self.fill_source {
            fields.add("from", &*source.0);
        }
        match self.rank {
            Rank::None => {}
            Rank::Low => fields.add("rank", 1),
            Rank::Middle => fields.add("rank", 2),
            Rank::Top => fields.add("rank", 3),
        }
        if let Some(max_age) = self.max_age_ms {
            // 0 would mean the class's freshness time.
            fields.add("oldest", max_age.floor().max(1.0));
        }
        let modes = [(self.join_fill, "share"), (self.cached_only, "peek"), (self.revalidate, "swr")];
        let modes: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, name)| *name).collect();
        if !modes.is_empty() {
            fields.add("mode", modes.join("+"));
        }
        if let Some(copy_tag) = self.copy_tag {
            fields.add("seen", copy_tag);
        }
        if let Some(key) = self.idempotency_key {
            fields.add("i", key);
        }
        encode(&[b"fetch", self.id.0.as_bytes(), fields.as_str().as_bytes(), self.body])
    }
}

/// The timeout in the message: whole milliseconds, at least 1, since 0 would leave no time at all.
fn encoded_timeout(timeout_ms: Ms) -> Ms {
    timeout_ms.floor().max(1.0)
}

/// Encodes a `fetch` message again with another timeout in milliseconds; `None` if the bytes are not a `fetch` message.
pub fn with_timeout(fetch: &[u8], timeout_ms: Ms) -> Option<Vec<u8>> {
    let mut decoder = Decoder::new(MessageLimits { max_elements: 4, max_bytes: fetch.len() });
    decoder.feed(fetch);
    let elements = decoder.next_message().ok()??;
    let fields = std::str::from_utf8(elements.get(2)?).ok()?;
    let timeout = encoded_timeout(timeout_ms);
    let replaced = fields.split(',').map(|field| match field.split_once('=') {
        Some(("w", _)) => format!("w={timeout}"),
        _ => field.to_string(),
    });
    let fields = replaced.collect::<Vec<_>>().join(",");
    let mut elements: Vec<&[u8]> = elements.iter().map(Vec::as_slice).collect();
    elements[2] = fields.as_bytes();
    Some(encode(&elements))
}

#[cfg(test)]
mod tests;
