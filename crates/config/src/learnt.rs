//! The file in which a router leaves what it has learnt to its next life.
//!
//! The first line names the format, its version and a hash of the rest; the rest is JSON. Times are ages, so that they hold by
//! the reader's clock. What is cut off, altered, of another version, too old or makes no sense is not used at all.

use crate::value::{boolean, number, or_null, text, whole, BadInput, Keys};
use basaltgw::api::{GroupId, Ms, ObjectId, ServerId};
use basaltgw::hash::address;
use basaltgw::rules::carry::{Learnt, LearntServer};
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
pub fn write(learnt: &Learnt, now: Ms) -> String {
    let age = |at: Ms| (now - at).max(0.0);
    let servers: Vec<Value> = learnt
        .servers
        .iter()
        .map(|s| {
            json!({"id": *s.id.0, "listed_start_ms": s.listed_start, "cut": s.cut, "lag": s.lag, "out": s.out,
                   "cold_for_ms": s.cold_since.map(age)})
        })
        .collect();
    let sending: Vec<Value> =
        learnt.sending.iter().map(|(c, ms, n)| json!({"class": c, "ms": ms, "answers": n})).collect();
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
pub fn read(file: &str, now: Ms, oldest: Ms) -> Result<Learnt, BadInput> {
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
    let keys = Keys(&v, "learnt.");
    let written = number(&v["written_ms"], "learnt.written_ms")?;
    if !(0.0..=oldest).contains(&(now - written)) {
        return Err(bad(&format!("written {:.0} ms ago, at most {oldest:.0} are used", now - written)));
    }
    let list = |key: &str| {
        let all = keys.list(key)?;
        if all.len() > MOST {
            return Err(BadInput::new(
                &keys.at(key),
                format!("expected at most {MOST}, found {}", all.len()),
            ));
        }
        Ok(all)
    };
    let within = |v: &Value, field: &str, least: f64, most: f64| {
        let n = number(v, field)?;
        let fits = (least..=most).contains(&n);
        fits.then_some(n)
            .ok_or_else(|| BadInput::new(field, format!("expected {least} to {most}, found {n}")))
    };
    // Ages go on while nobody runs.
    let at = |v: &Value, field: &str| Ok(written - within(v, field, 0.0, f64::MAX)?);
    let server = |v: &Value| {
        Ok(LearntServer {
            id: ServerId(Arc::from(text(&v["id"], "id")?)),
            listed_start: or_null(&v["listed_start_ms"], || {
                number(&v["listed_start_ms"], "listed_start_ms")
            })?,
            cut: within(&v["cut"], "cut", -MOST_LAG, 0.0)?,
            lag: or_null(&v["lag"], || within(&v["lag"], "lag", -MOST_LAG, MOST_LAG))?,
            out: boolean(&v["out"], "out")?,
            cold_since: or_null(&v["cold_for_ms"], || at(&v["cold_for_ms"], "cold_for_ms"))?,
        })
    };
    let sending = |v: &Value| {
        let answers = whole(&v["answers"], "answers")?;
        let answers = u32::try_from(answers).map_err(|_| BadInput::new("answers", "too many"))?;
        Ok((text(&v["class"], "class")?.to_string(), within(&v["ms"], "ms", 0.0, MOST_SENDING_MS)?, answers))
    };
    let purge = |v: &Value| {
        let object = or_null(&v["object"], || {
            let word = text(&v["object"], "object")?;
            word.parse()
                .map(ObjectId)
                .map_err(|_| BadInput::new("object", format!("expected a number, found {word:?}")))
        })?;
        let group = or_null(&v["group"], || whole(&v["group"], "group"))?.map(GroupId);
        if object.is_some() == group.is_some() {
            return Err(BadInput::new("object", "expected either an object or a group"));
        }
        Ok((object, group, at(&v["age_ms"], "age_ms")?))
    };
    Ok(Learnt {
        servers: each(list("servers")?, "servers", server)?,
        sending: each(list("sending")?, "sending", sending)?,
        purges: each(list("purges")?, "purges", purge)?,
    })
}

/// Reads each entry of a list; a fault names its place.
fn each<T>(
    list: &[Value],
    key: &str,
    read: impl Fn(&Value) -> Result<T, BadInput>,
) -> Result<Vec<T>, BadInput> {
    let entry = |(i, v)| read(v).map_err(|e| e.within(&format!("learnt.{key}[{i}]")));
    list.iter().enumerate().map(entry).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample() -> Learnt {
        let server = |id: &str, out| LearntServer {
            id: ServerId(Arc::from(id)),
            listed_start: Some(5000.0),
            cut: -0.5,
            lag: Some(0.25),
            out,
            cold_since: Some(9000.0),
        };
        Learnt {
            servers: vec![
                server("s-1", true),
                LearntServer { lag: None, cold_since: None, ..server("s-2", false) },
            ],
            sending: vec![("pages".into(), 310.0, 20)],
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
