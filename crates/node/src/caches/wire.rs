//! What is said to servers and what they say: attempts and their answers, as the protocol has them.

use crate::clients::WireId;
use crate::outbox::{Counted, Meter};
use crate::resp::{decimal, encode, Bounds, Decoder, FieldList, Fields};
use basaltgw::api::{AttemptResult, FillReport, LoadReport, Ms, Rank, ServerId};
use std::rc::Rc;
use std::sync::Arc;

/// Which copy of an object's bytes they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyTag {
    /// Its version.
    pub version: Arc<str>,
    /// When the origin gave it out, in Unix milliseconds.
    pub born: u64,
}

/// What a server says of an attempt.
#[derive(Debug)]
pub struct Answer {
    /// The request's id.
    pub id: WireId,
    /// How the attempt ended; `None` for what answers no attempt.
    pub end: Option<AttemptResult>,
    /// The client's copy is the one.
    pub same: bool,
    /// Which copy this is, as it must tell of what can be kept.
    pub copy: Option<CopyTag>,
    /// How it came about.
    pub note: FillReport,
    /// Time spent waiting for the source.
    pub waited: Ms,
    /// The load report.
    pub load: LoadReport,
    /// The object's bytes.
    pub body: Counted,
}

impl Answer {
    /// Reads an answer; `None` if it can't be read as the protocol has it. What serves has to be wholly readable.
    pub fn read(words: Vec<Vec<u8>>, meters: &[&Rc<Meter>]) -> Option<Self> {
        let mut words = words.into_iter();
        let id = words.next()?;
        let id = WireId(Arc::from(std::str::from_utf8(&id).ok()?));
        let word = words.next()?;
        let fields = words.next().unwrap_or_default();
        let fields = Fields::read(&fields)?;
        let body = words.next();
        let copy = match (fields.get("ver"), fields.get("born")) {
            (None, None) => None,
            (Some(tag), Some(born)) if !tag.is_empty() => {
                Some(CopyTag { version: Arc::from(tag), born: decimal(born)? as u64 })
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
            // Whatever it means, the attempt may have run.
            _ => Some(AttemptResult::Error),
        };
        let waited = match fields.get("waited") {
            Some(waited) => decimal(waited)?,
            None => 0.0,
        };
        Some(Self {
            id,
            end,
            same: word == b"current",
            copy,
            note: note(fields.get("note")),
            waited,
            load: fields.get("load").map(load).unwrap_or_default(),
            body: Counted::new(body.unwrap_or_default(), meters),
        })
    }
}

fn note(word: Option<&str>) -> FillReport {
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
        // Of caches that heed a plan; see docs/hierarchy.md.
        Some("src_looped") => FillReport::LoopDetected,
        // A note that is not known tells nothing.
        Some(_) | None => FillReport::NotReported,
    }
}

fn load(report: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in report.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        match name {
            "inflight" | "rif" => load.inflight = value,
            "util" | "busy" => load.util = value,
            "x0" => load.hits = value,
            "x1" => load.link = value,
            _ => {}
        }
    }
    load
}

/// An attempt as it is written to a server.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The request's id.
    pub id: &'a WireId,
    /// Its class.
    pub class: &'a str,
    /// The object, as the client wrote it.
    pub object: &'a str,
    /// The part.
    pub part: u64,
    /// How long the router waits.
    pub wait: Ms,
    /// Who supplies a miss.
    pub from: Option<&'a ServerId>,
    /// How the copy is kept.
    pub rank: Rank,
    /// The oldest copy that will do.
    pub oldest: Option<Ms>,
    /// Join a fill under way.
    pub share: bool,
    /// The source gives only what it holds.
    pub peek: bool,
    /// Renew behind.
    pub renew: bool,
    /// The tag of the client's copy.
    pub seen: Option<&'a str>,
    /// The client's key for repeats.
    pub key: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

impl Ask<'_> {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut fields = FieldList::default();
        fields.add("c", self.class);
        fields.add("k", self.object);
        fields.add("p", self.part);
        fields.add("w", wait_told(self.wait));
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
            // 0 would stand for the class's fresh time.
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
        encode(&[b"fetch", self.id.0.as_bytes(), fields.text().as_bytes(), self.body])
    }
}

/// How long the router waits, as it is told: 0 would be no time at all.
fn wait_told(wait: Ms) -> Ms {
    wait.floor().max(1.0)
}

/// A fetch anew, with another time for which the router waits; `None` of what is no fetch.
pub fn with_wait(fetch: &[u8], wait: Ms) -> Option<Vec<u8>> {
    let mut decoder = Decoder::new(Bounds { words: 4, bytes: fetch.len() });
    decoder.feed(fetch);
    let words = decoder.message().ok()??;
    let fields = std::str::from_utf8(words.get(2)?).ok()?;
    let told = wait_told(wait).to_string();
    let each = fields.split(',').map(|field| match field.split_once('=') {
        Some(("w", _)) => format!("w={told}"),
        _ => field.to_string(),
    });
    let fields = each.collect::<Vec<_>>().join(",");
    let mut words: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
    words[2] = fields.as_bytes();
    Some(encode(&words))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fetch_is_written_anew_with_another_wait_and_nothing_else_changed() {
        let id = WireId(Arc::from("00000000000000ff"));
        let ask = |wait| Ask {
            id: &id,
            class: "pages",
            object: "0000000000000007",
            part: 3,
            wait,
            from: None,
            rank: Rank::Top,
            oldest: Some(40.0),
            share: true,
            peek: false,
            renew: true,
            seen: None,
            key: Some("w1"),
            body: b"w=9,\r\n body",
        };
        assert_eq!(with_wait(&ask(1_500.0).encode(), 70.9), Some(ask(70.0).encode()));
        assert_eq!(with_wait(&ask(1_500.0).encode(), 0.0), Some(ask(1.0).encode()));
        assert_eq!(with_wait(b"*1\r\n$5\r\nabort\r\n", 1.0), None);
    }
}
