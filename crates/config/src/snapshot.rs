//! The snapshot file: what the decision module of one process hands over to the next.
//!
//! The first line names the format, its version and a hash of the rest; the rest is JSON. Times are written as ages, so that they are valid
//! by the reader's clock. A file that is truncated, altered, of another version, too old or out of range is rejected as a whole.

use crate::typed::{plain, typed, Whole};
use crate::value::BadInput;
use basaltgw::api::{GroupId, Ms, ObjectId, ServerId};
use basaltgw::hash::fnv1a;
use basaltgw::routing::snapshot::{PurgeSnapshot, SendingTimeSnapshot, ServerSnapshot, Snapshot};
use basaltgw::routing::PurgeTarget;
use garde::Validate;
use serde::Deserialize;
use serde_json::{json, Value};
use std::sync::Arc;

const FORMAT: &str = "basaltgw-learnt";
const VERSION: &str = "1";
/// The most servers, classes or purges.
const MAX_ENTRIES: usize = 100_000;
/// The largest logarithm of a latency ratio or weight penalty, in both directions.
const MAX_RATIO_LOG: f64 = 20.0;
/// The longest sending time in milliseconds; no client waits longer.
const MAX_SENDING_MS: Ms = 600_000.0;
/// The largest file, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Formats a snapshot as of a Unix time in milliseconds.
pub fn write(snapshot: &Snapshot, now: Ms) -> String {
    let age = |at: Ms| (now - at).max(0.0);
    let servers: Vec<Value> = snapshot
        .servers
        .iter()
        .map(|s| {
            json!({"id": *s.id.0, "listed_start_ms": s.listed_start, "cut": s.weight_penalty_log, "lag": s.latency_ratio_log, "out": s.ejected,
                   "cold_for_ms": s.warmup_started.map(age)})
        })
        .collect();
    let sending: Vec<Value> = snapshot
        .sending_times
        .iter()
        .map(|s| json!({"class": s.class, "ms": s.mean, "answers": s.samples}))
        .collect();
    let purge = |purge: &PurgeSnapshot| {
        let (object, group) = match purge.target {
            PurgeTarget::Object(object) => (Some(object.0.to_string()), None),
            PurgeTarget::Group(group) => (None, Some(group.0)),
        };
        json!({"object": object, "group": group, "age_ms": age(purge.purged_at)})
    };
    let purges: Vec<Value> = snapshot.purges.iter().map(purge).collect();
    let rest =
        json!({"written_ms": now, "servers": servers, "sending": sending, "purges": purges}).to_string();
    format!("{FORMAT} {VERSION} {:016x}\n{rest}\n", fnv1a(&rest))
}

/// Parses a snapshot; `now` and the result's times are Unix times in milliseconds.
///
/// # Errors
/// If the text is damaged or out of range, or was written more than `oldest` milliseconds ago or after `now`.
pub fn read(file: &str, now: Ms, oldest: Ms) -> Result<Snapshot, BadInput> {
    let bad = |what: &str| BadInput::new("learnt", what);
    let (head, rest) = file.split_once('\n').ok_or_else(|| bad("cut off in its first line"))?;
    let rest = rest.strip_suffix('\n').ok_or_else(|| bad("cut off"))?;
    match head.split(' ').collect::<Vec<_>>()[..] {
        [FORMAT, VERSION, sum] if sum == format!("{:016x}", fnv1a(rest)) => {}
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
        // Servers age while no router runs.
        warmup_started: s.cold_for_ms.map(|age| written - age),
    };
    let purge = |(i, p): (usize, PurgeFile<'_>)| {
        let bad = |what: String| BadInput::new(&format!("learnt.purges[{i}].object"), what);
        let number = |word: &str| word.parse().map_err(|_| bad(format!("expected a number, found {word:?}")));
        let target = match (p.object.map(number).transpose()?, p.group) {
            (Some(object), None) => PurgeTarget::Object(ObjectId(object)),
            (None, Some(group)) => PurgeTarget::Group(GroupId(group.0)),
            _ => return Err(bad("expected either an object or a group".into())),
        };
        Ok(PurgeSnapshot { target, purged_at: written - p.age_ms })
    };
    Ok(Snapshot {
        servers: file.servers.unwrap_or_default().into_iter().map(server).collect(),
        sending_times: file
            .sending
            .unwrap_or_default()
            .into_iter()
            .map(|s| SendingTimeSnapshot { class: s.class, mean: s.ms, samples: s.answers })
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
    #[garde(custom(max_entries), dive)]
    servers: Option<Vec<ServerFile<'a>>>,
    #[garde(custom(max_entries), dive)]
    sending: Option<Vec<SendingFile>>,
    #[garde(custom(max_entries), dive)]
    purges: Option<Vec<PurgeFile<'a>>>,
}

#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct ServerFile<'a> {
    id: &'a str,
    listed_start_ms: Option<Ms>,
    #[garde(custom(within(-MAX_RATIO_LOG, 0.0)))]
    cut: f64,
    #[garde(inner(custom(within(-MAX_RATIO_LOG, MAX_RATIO_LOG))))]
    lag: Option<f64>,
    out: bool,
    #[garde(inner(custom(within(0.0, f64::MAX))))]
    cold_for_ms: Option<Ms>,
}

#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct SendingFile {
    class: String,
    #[garde(custom(within(0.0, MAX_SENDING_MS)))]
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

fn max_entries<T>(list: &Option<Vec<T>>, (): &()) -> garde::Result {
    let count = list.as_ref().map_or(0, Vec::len);
    let error = || garde::Error::new(format!("expected at most {MAX_ENTRIES}, found {count}"));
    (count <= MAX_ENTRIES).then_some(()).ok_or_else(error)
}

#[cfg(test)]
mod tests;
