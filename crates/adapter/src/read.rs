//! The wire to events.

use basaltgw::api::*;
use basaltgw_config::value::{boolean, number, or_null, text, whole};
use basaltgw_config::{BadInput, Names};
use serde_json::Value;
use std::sync::Arc;

const WRITE_FLAG: u64 = 4;

/// A message of the wire: its name and its values.
pub struct Message<'a> {
    /// The message's name.
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// Takes a value apart that should be a message.
    pub fn new(value: &'a Value) -> Result<Self, BadInput> {
        let values = value.as_array().ok_or_else(|| BadInput::new("message", "expected an array"))?;
        let name = values.first().and_then(Value::as_str);
        let name = name.ok_or_else(|| BadInput::new("[0]", "expected the message's name"))?;
        Ok(Self { name, values })
    }

    /// The value at that place, or null.
    pub fn value(&self, at: usize) -> &'a Value {
        self.values.get(at).unwrap_or(&Value::Null)
    }

    /// A whole number that must be there.
    pub fn integer(&self, at: usize, field: &str) -> Result<u64, BadInput> {
        whole(self.value(at), field)
    }

    fn integer_or_0(&self, at: usize, field: &str) -> Result<u64, BadInput> {
        or_null(self.value(at), || whole(self.value(at), field)).map(Option::unwrap_or_default)
    }

    fn number(&self, at: usize, field: &str) -> Result<f64, BadInput> {
        number(self.value(at), field)
    }

    fn number_or_0(&self, at: usize, field: &str) -> Result<f64, BadInput> {
        or_null(self.value(at), || self.number(at, field)).map(Option::unwrap_or_default)
    }

    fn text(&self, at: usize, field: &str) -> Result<&'a str, BadInput> {
        text(self.value(at), field)
    }

    fn request(&self) -> Result<RequestId, BadInput> {
        Ok(RequestId(Arc::from(self.text(2, "req")?)))
    }

    fn server(&self, at: usize) -> Result<ServerId, BadInput> {
        Ok(ServerId(Arc::from(self.text(at, "cache")?)))
    }

    fn end(&self, at: usize) -> Result<AttemptResult, BadInput> {
        Ok(match self.text(at, "code")? {
            "GOOD" => AttemptResult::Served,
            "BAD" => AttemptResult::Error,
            "FULL" => AttemptResult::Rejected,
            "LATE" => AttemptResult::TimedOut,
            "NOCONN" => AttemptResult::NoConnection,
            "RST" => AttemptResult::ConnectionLost,
            "CXL" => AttemptResult::Cancelled,
            "NOP" => AttemptResult::NotSent,
            "MISS" => AttemptResult::CacheMiss,
            other => return Err(BadInput::new("code", format!("unknown outcome {other:?}"))),
        })
    }
}

fn load(v: &Value) -> Result<LoadReport, BadInput> {
    if v.is_null() {
        return Ok(LoadReport::default());
    }
    let pairs =
        v.as_object().ok_or_else(|| BadInput::new("usage", format!("expected an object, found {v}")))?;
    let get = |name: &str| pairs.get(name).map(|v| number(v, &format!("usage.{name}"))).transpose();
    Ok(LoadReport { inflight: get("rif")?, util: get("busy")?, hits: get("x0")?, link: get("x1")? })
}

fn note(code: u64) -> Result<FillReport, BadInput> {
    Ok(match code {
        0 => FillReport::NotReported,
        1 => FillReport::Hit,
        2 => FillReport::FilledBySource,
        3 => FillReport::FilledByOrigin,
        4 => FillReport::Joined,
        5 => FillReport::Stale,
        6 => FillReport::SourceRejected,
        7 => FillReport::SourceFailed,
        8 => FillReport::SourceMiss,
        9 => FillReport::FillLimitReached,
        10 => FillReport::OriginFailed,
        _ => return Err(BadInput::new("detail", format!("unknown detail {code}"))),
    })
}

fn entry(v: &Value, names: &Names) -> Result<Endpoint, BadInput> {
    let m = Message::new(v)?;
    let (area, kind) = (m.text(1, "area")?, m.text(2, "kind")?);
    let zone = names.zone(area).ok_or_else(|| BadInput::new("area", format!("unknown {area:?}")))?;
    let role = names.role(kind).ok_or_else(|| BadInput::new("kind", format!("unknown {kind:?}")))?;
    Ok(Endpoint {
        id: ServerId(Arc::from(m.name)),
        zone,
        role,
        cell: m.integer_or_0(3, "stripe")?,
        state: match m.text(4, "availability")? {
            "up" => EndpointState::Up,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            other => return Err(BadInput::new("availability", format!("unknown {other:?}"))),
        },
        weight: or_null(m.value(5), || m.number(5, "capacity-hint"))?.unwrap_or(1.0),
        started: Some(m.number_or_0(6, "last-start")?).filter(|t| *t > 0.0),
    })
}

/// The event that a message carries; `None` where the module has no use for it.
pub fn event(m: &Message<'_>, names: &Names) -> Result<Option<Event>, BadInput> {
    Ok(Some(match m.name {
        "TARGETS" => {
            m.integer(2, "seq-no")?;
            let mode = match m.text(3, "mode")? {
                "patch" => EndpointUpdate::Delta,
                "whole" | "stale_copy" => EndpointUpdate::Complete,
                "broken" => EndpointUpdate::Failed,
                other => return Err(BadInput::new("mode", format!("unknown {other:?}"))),
            };
            let items = or_null(m.value(4), || {
                let items = m.value(4).as_array();
                items.ok_or_else(|| BadInput::new("items", "expected an array"))
            })?;
            let read =
                |(i, v): (usize, &Value)| entry(v, names).map_err(|e| e.within(&format!("items[{i}]")));
            let entries = items.map_or(&[][..], |a| a).iter().enumerate().map(read);
            Event::Endpoints(mode, entries.collect::<Result<_, _>>()?)
        }
        "QUERY" => {
            let class = m.text(10, "priority")?;
            Event::Request(Request {
                id: m.request()?,
                class: names.class(class),
                object: ObjectId(m.integer_or_0(8, "asset")?),
                part: Part(m.integer_or_0(9, "part")?),
                group: GroupId(m.integer_or_0(7, "tag")?),
                size_kb: m.number_or_0(4, "size-kb")?,
                write: m.integer_or_0(5, "flags")? & WRITE_FLAG != 0,
                budget: m.number(6, "budget")?,
            })
        }
        "FLOWING" => Event::ResponseStarted(m.request()?, AttemptNo(m.integer(3, "try")? as usize)),
        "FINISHED" => Event::Outcome(Outcome {
            request: m.request()?,
            attempt: AttemptNo(m.integer(3, "try")? as usize),
            server: m.server(4)?,
            result: m.end(5)?,
            latency: m.number_or_0(6, "delay-seen")?,
            completes_request: boolean(m.value(7), "terminal")?,
            fill_report: note(m.integer_or_0(8, "detail")?)?,
            source_wait: m.number_or_0(9, "source-wait")?,
            load: load(m.value(10))?,
            body_complete: true,
        }),
        "EXPIRED" => Event::ClientDisconnected(m.request()?),
        "TICK_DUE" => Event::Timer(m.integer(2, "cookie")?),
        "VOIDED" => {
            let object = m.integer_or_0(4, "asset")?;
            let object = (object != 0).then_some(ObjectId(object));
            Event::Purged(GroupId(m.integer(2, "bucket")?), object, m.number_or_0(3, "age-span")?)
        }
        // No deployment has peers or lets caches be probed; nothing is sent that these would answer.
        "MEMO" | "PONG" => return Ok(None),
        other => return Err(BadInput::new("[0]", format!("unknown event {other:?}"))),
    }))
}
