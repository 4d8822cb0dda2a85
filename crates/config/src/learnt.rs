//! The file in which a router leaves what it has learnt to its next life.
//!
//! The first line names the format, its version and a hash of the rest; the rest is JSON. Times are ages, so that they hold by
//! the reader's clock. What is cut off, altered, of another version, too old or makes no sense is not used at all.

use crate::typed::{plain, typed, Whole};
use crate::value::BadInput;
use basaltgw::api::{GroupId, Ms, ObjectId, ServerId};
use basaltgw::hash::address;
use basaltgw::routing::snapshot::{ServerSnapshot, Snapshot};
use garde::Validate;
use serde::Deserialize;
use serde_json::{json, Value};
use std::sync::Arc;

const FORMAT: &str = "basaltgw-learnt";
const VERSION: &str = "1";
/// More servers, classes or purges than this are nonsense.
const MOST: usize = 100_000;
/// A slowness beyond this, as a logarithm either way, is nonsense.
const MOST_LAG: f64 = 20.0;
/// A sending time beyond this is nonsense: no client waits so long.
const MOST_SENDING_MS: Ms = 600_000.0;
/// The longest that such a file may be, in bytes.
pub const LEARNT_MOST_BYTES: u64 = 64 * 1024 * 1024;

/// The file's text.
pub fn write(learnt: &Snapshot, now: Ms) -> String {
    let age = |at: Ms| (now - at).max(0.0);
    let servers: Vec<Value> = learnt
        .servers
        .iter()
        .map(|s| {
            json!({"id": *s.id.0, "listed_start_ms": s.listed_start, "cut": s.weight_penalty_log, "lag": s.latency_ratio_log, "out": s.ejected,
                   "cold_for_ms": s.warmup_started.map(age)})
        })
        .collect();
    let sending: Vec<Value> =
        learnt.sending_times.iter().map(|(c, ms, n)| json!({"class": c, "ms": ms, "answers": n})).collect();
    let purge = |of: &(Option<ObjectId>, Option<GroupId>, Ms)| {
        let (object, group) = (of.0.map(|o| o.0.to_string()), of.1.map(|g| g.0));
        json!({"object": object, "group": group, "age_ms": age(of.2)})
    };
    let purges: Vec<Value> = learnt.purges.iter().map(purge).collect();
    let rest =
        json!({"written_ms": now, "servers": servers, "sending": sending, "purges": purges}).to_string();
    format!("{FORMAT} {VERSION} {:016x}\n{rest}\n", address(&rest))
}

/// Reads it back; one written longer ago than `oldest`, or later than now, is not used.
pub fn read(file: &str, now: Ms, oldest: Ms) -> Result<Snapshot, BadInput> {
    let bad = |what: &str| BadInput::new("learnt", what);
    let (head, rest) = file.split_once('\n').ok_or_else(|| bad("cut off in its first line"))?;
    let rest = rest.strip_suffix('\n').ok_or_else(|| bad("cut off"))?;
    match head.split(' ').collect::<Vec<_>>()[..] {
        [FORMAT, VERSION, sum] if sum == format!("{:016x}", address(rest)) => {}
        [FORMAT, VERSION, _] => return Err(bad("altered or cut off")),
        [FORMAT, other, _] => return Err(bad(&format!("of version {other}, not {VERSION}"))),
        _ => return Err(bad("not such a file")),
    }
    let v: Value = serde_json::from_str(rest).map_err(|e| bad(&format!("not JSON: {e}")))?;
    let file: File<'_> = typed(&v, "learnt", plain)?;
    let written = file.written_ms;
    if !(0.0..=oldest).contains(&(now - written)) {
        return Err(bad(&format!("written {:.0} ms ago, at most {oldest:.0} are used", now - written)));
    }
    let server = |s: ServerFile<'_>| ServerSnapshot {
        id: ServerId(Arc::from(s.id)),
        listed_start: s.listed_start_ms,
        weight_penalty_log: s.cut,
        latency_ratio_log: s.lag,
        ejected: s.out,
        // Ages go on while nobody runs.
        warmup_started: s.cold_for_ms.map(|age| written - age),
    };
    let purge = |(i, p): (usize, PurgeFile<'_>)| {
        let bad = |what: String| BadInput::new(&format!("learnt.purges[{i}].object"), what);
        let number = |word: &str| word.parse().map_err(|_| bad(format!("expected a number, found {word:?}")));
        let (object, group) =
            (p.object.map(number).transpose()?.map(ObjectId), p.group.map(|g| GroupId(g.0)));
        if object.is_some() == group.is_some() {
            return Err(bad("expected either an object or a group".into()));
        }
        Ok((object, group, written - p.age_ms))
    };
    Ok(Snapshot {
        servers: file.servers.unwrap_or_default().into_iter().map(server).collect(),
        sending_times: file
            .sending
            .unwrap_or_default()
            .into_iter()
            .map(|s| (s.class, s.ms, s.answers))
            .collect(),
        purges: file
            .purges
            .unwrap_or_default()
            .into_iter()
            .enumerate()
            .map(purge)
            .collect::<Result<_, _>>()?,
    })
}

#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct File<'a> {
    written_ms: Ms,
    #[serde(borrow)]
    #[garde(custom(few), dive)]
    servers: Option<Vec<ServerFile<'a>>>,
    #[garde(custom(few), dive)]
    sending: Option<Vec<SendingFile>>,
    #[garde(custom(few), dive)]
    purges: Option<Vec<PurgeFile<'a>>>,
}

#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct ServerFile<'a> {
    id: &'a str,
    listed_start_ms: Option<Ms>,
    #[garde(custom(within(-MOST_LAG, 0.0)))]
    cut: f64,
    #[garde(inner(custom(within(-MOST_LAG, MOST_LAG))))]
    lag: Option<f64>,
    out: bool,
    #[garde(inner(custom(within(0.0, f64::MAX))))]
    cold_for_ms: Option<Ms>,
}

#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct SendingFile {
    class: String,
    #[garde(custom(within(0.0, MOST_SENDING_MS)))]
    ms: Ms,
    answers: u32,
}

#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct PurgeFile<'a> {
    object: Option<&'a str>,
    group: Option<Whole>,
    #[garde(custom(within(0.0, f64::MAX)))]
    age_ms: Ms,
}

fn within(least: f64, most: f64) -> impl Fn(&f64, &()) -> garde::Result {
    move |n, ()| {
        let fits = (least..=most).contains(n);
        fits.then_some(()).ok_or_else(|| garde::Error::new(format!("expected {least} to {most}, found {n}")))
    }
}

fn few<T>(list: &Option<Vec<T>>, (): &()) -> garde::Result {
    let many = list.as_ref().map_or(0, Vec::len);
    let what = || garde::Error::new(format!("expected at most {MOST}, found {many}"));
    (many <= MOST).then_some(()).ok_or_else(what)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample() -> Snapshot {
        let server = |id: &str, out| ServerSnapshot {
            id: ServerId(Arc::from(id)),
            listed_start: Some(5000.0),
            weight_penalty_log: -0.5,
            latency_ratio_log: Some(0.25),
            ejected: out,
            warmup_started: Some(9000.0),
        };
        Snapshot {
            servers: vec![
                server("s-1", true),
                ServerSnapshot { latency_ratio_log: None, warmup_started: None, ..server("s-2", false) },
            ],
            sending_times: vec![("pages".into(), 310.0, 20)],
            purges: vec![(Some(ObjectId(u64::MAX)), None, 8000.0), (None, Some(GroupId(7)), 7000.0)],
        }
    }

    #[test]
    fn it_comes_back_as_it_was() {
        assert_eq!(read(&write(&sample(), 10_000.0), 12_000.0, 5000.0), Ok(sample()));
    }

    #[test]
    fn whatever_is_cut_off_or_altered_is_refused_and_nothing_panics() {
        let whole = write(&sample(), 10_000.0);
        for end in 0..whole.len() {
            assert!(read(&whole[..end], 10_000.0, 5000.0).is_err(), "cut at {end}");
        }
        for at in 0..whole.len() {
            let mut bytes = whole.clone().into_bytes();
            bytes[at] ^= 1;
            if let Ok(text) = String::from_utf8(bytes) {
                assert!(read(&text, 10_000.0, 5000.0).is_err(), "altered at {at}");
            }
        }
    }

    #[test]
    fn what_is_old_from_the_future_or_of_another_version_is_refused_by_name() {
        let whole = write(&sample(), 10_000.0);
        let fault = |text: &str, now| read(text, now, 5000.0).expect_err("a fault").to_string();
        assert!(fault(&whole, 15_001.0).contains("written 5001 ms ago, at most 5000"));
        assert!(fault(&whole, 9_999.0).contains("written -1 ms ago"));
        assert!(fault(&whole.replacen(" 1 ", " 2 ", 1), 10_000.0).contains("of version 2, not 1"));
        let signed = |rest: &str| format!("{FORMAT} {VERSION} {:016x}\n{rest}\n", address(rest));
        for (rest, field) in [
            (
                r#"{"written_ms": 9000, "servers": [{"id": "a", "cut": 0.5, "out": false}]}"#,
                "learnt.servers[0].cut",
            ),
            (
                r#"{"written_ms": 9000, "sending": [{"class": "a", "ms": -1, "answers": 1}]}"#,
                "learnt.sending[0].ms",
            ),
            (r#"{"written_ms": 9000, "purges": [{"age_ms": 1}]}"#, "learnt.purges[0].object"),
            (r#"{"servers": []}"#, "learnt.written_ms"),
        ] {
            assert!(fault(&signed(rest), 10_000.0).contains(field), "{}", fault(&signed(rest), 10_000.0));
        }
    }
}
