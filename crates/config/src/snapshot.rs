//! The snapshot file: what the decision module of one process hands over to the next.
//!
//! The first line names the format, its version and a hash of the rest; the rest is JSON. Times are written as ages, so that they are
//! valid by the reader's clock. A file that is truncated, altered, of another version or too old, or that contains a value out of range,
//! is rejected as a whole. Errors name the file by the format's name, `learnt`.

use crate::typed::{deserialize, unchanged, UnsignedInteger};
use crate::value::FieldError;
use basaltgw::api::{GroupId, Ms, ObjectId, ServerId};
use basaltgw::hash::fnv1a;
use basaltgw::routing::snapshot::{PurgeSnapshot, SendingTimeSnapshot, ServerSnapshot, Snapshot};
use basaltgw::routing::PurgeTarget;
use garde::Validate;
use serde::Deserialize;
use serde_json::{json, Value};
use std::sync::Arc;

/// The first two words of the first line; the third is the hash.
const FORMAT: &str = "basaltgw-learnt";
const VERSION: &str = "1";
/// The most entries of each list: servers, sending times of classes, purges.
const MAX_ENTRIES: usize = 100_000;
/// The largest absolute value of the logarithm of a latency ratio or weight penalty.
const MAX_RATIO_LOG: f64 = 20.0;
/// The longest sending time in milliseconds; no client waits longer for a response.
const MAX_SENDING_MS: Ms = 600_000.0;
/// The largest file, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Formats a snapshot, whose times and `now` are Unix times in milliseconds.
pub fn write(snapshot: &Snapshot, now: Ms) -> String {
    let age = |at: Ms| (now - at).max(0.0);
    let server = |s: &ServerSnapshot| {
        json!({"id": *s.id.0, "listed_start_ms": s.listed_start, "cut": s.weight_penalty_log, "lag": s.latency_ratio_log,
               "out": s.ejected, "cold_for_ms": s.warmup_started.map(age)})
    };
    let sending_time =
        |s: &SendingTimeSnapshot| json!({"class": s.class, "ms": s.mean, "answers": s.samples});
    let purge = |purge: &PurgeSnapshot| {
        let (object, group) = match purge.target {
            PurgeTarget::Object(object) => (Some(object.0.to_string()), None),
            PurgeTarget::Group(group) => (None, Some(group.0)),
        };
        json!({"object": object, "group": group, "age_ms": age(purge.purged_at)})
    };
    let servers: Vec<Value> = snapshot.servers.iter().map(server).collect();
    let sending: Vec<Value> = snapshot.sending_times.iter().map(sending_time).collect();
    let purges: Vec<Value> = snapshot.purges.iter().map(purge).collect();
    let body =
        json!({"written_ms": now, "servers": servers, "sending": sending, "purges": purges}).to_string();
    format!("{FORMAT} {VERSION} {}\n{body}\n", checksum(&body))
}

/// The hash of the text after the first line, in hex.
fn checksum(body: &str) -> String {
    format!("{:016x}", fnv1a(body))
}

/// Parses a snapshot; `now` and the result's times are Unix times in milliseconds.
///
/// # Errors
/// If the text is damaged or out of range, or was written more than `max_age` milliseconds ago or after `now`.
pub fn read(text: &str, now: Ms, max_age: Ms) -> Result<Snapshot, FieldError> {
    let body = checked_body(text)?;
    let value: Value = serde_json::from_str(body).map_err(|e| error(format!("not JSON: {e}")))?;
    let file: File<'_> = deserialize(&value, "learnt", unchanged)?;
    let written = file.written_ms;
    let age = now - written;
    if !(0.0..=max_age).contains(&age) {
        return Err(error(format!("written {age:.0} ms ago, at most {max_age:.0} are accepted")));
    }
    let sending_time =
        |s: SendingFile| SendingTimeSnapshot { class: s.class, mean: s.ms, samples: s.answers };
    let purges = file.purges.unwrap_or_default().into_iter().enumerate();
    Ok(Snapshot {
        servers: file.servers.unwrap_or_default().into_iter().map(|s| server(s, written)).collect(),
        sending_times: file.sending.unwrap_or_default().into_iter().map(sending_time).collect(),
        purges: purges.map(|(i, p)| purge(i, &p, written)).collect::<Result<_, _>>()?,
    })
}

/// An error of the whole file.
fn error(message: impl Into<String>) -> FieldError {
    FieldError::new("learnt", message)
}

/// The text after the first line, if the first line has the right format, version and hash.
fn checked_body(text: &str) -> Result<&str, FieldError> {
    let (header, body) = text.split_once('\n').ok_or_else(|| error("cut off in its first line"))?;
    let body = body.strip_suffix('\n').ok_or_else(|| error("cut off"))?;
    match header.split(' ').collect::<Vec<_>>()[..] {
        [FORMAT, VERSION, sum] if sum == checksum(body) => Ok(body),
        [FORMAT, VERSION, _] => Err(error("altered or cut off")),
        [FORMAT, other, _] => Err(error(format!("of version {other}, not {VERSION}"))),
        _ => Err(error("not a snapshot file")),
    }
}

/// The state of a server; times are converted from ages at the time `written`.
fn server(file: ServerFile<'_>, written: Ms) -> ServerSnapshot {
    ServerSnapshot {
        id: ServerId(Arc::from(file.id)),
        listed_start: file.listed_start_ms,
        weight_penalty_log: file.cut,
        latency_ratio_log: file.lag,
        ejected: file.out,
        // A server also warms up while no router runs.
        warmup_started: file.cold_for_ms.map(|age| written - age),
    }
}

fn purge(index: usize, file: &PurgeFile<'_>, written: Ms) -> Result<PurgeSnapshot, FieldError> {
    let error = |message: String| FieldError::new(&format!("learnt.purges[{index}].object"), message);
    let number = |text: &str| text.parse().map_err(|_| error(format!("expected a number, found {text:?}")));
    let target = match (file.object.map(number).transpose()?, &file.group) {
        (Some(object), None) => PurgeTarget::Object(ObjectId(object)),
        (None, Some(group)) => PurgeTarget::Group(GroupId(group.0)),
        (Some(_), Some(_)) | (None, None) => {
            return Err(error("expected either an object or a group".into()))
        }
    };
    Ok(PurgeSnapshot { target, purged_at: written - file.age_ms })
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
    group: Option<UnsignedInteger>,
    #[garde(custom(within(0.0, f64::MAX)))]
    age_ms: Ms,
}

fn within(min: f64, max: f64) -> impl Fn(&f64, &()) -> garde::Result {
    move |n, ()| {
        let error = || garde::Error::new(format!("expected {min} to {max}, found {n}"));
        (min..=max).contains(n).then_some(()).ok_or_else(error)
    }
}

fn max_entries<T>(list: &Option<Vec<T>>, (): &()) -> garde::Result {
    let count = list.as_ref().map_or(0, Vec::len);
    let error = || garde::Error::new(format!("expected at most {MAX_ENTRIES}, found {count}"));
    (count <= MAX_ENTRIES).then_some(()).ok_or_else(error)
}

#[cfg(test)]
mod tests;
