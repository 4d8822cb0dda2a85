//! Decodes messages of the simulator's protocol to events.

use basaltgw::api::*;
use basaltgw_config::value::{boolean, number, optional, string, unsigned_integer};
use basaltgw_config::{FieldError, WireNames};
use serde_json::Value;
use std::sync::Arc;

/// Flag of a request that changes something at the origin.
const WRITE_FLAG: u64 = 4;

/// A message of the protocol: an array of a name and values.
pub struct Message<'a> {
    /// What the message announces, such as `QUERY`.
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Message<'a> {
    /// The message of a JSON value.
    ///
    /// # Errors
    /// [`FieldError`] if the value is no array that begins with a name.
    pub fn new(value: &'a Value) -> Result<Self, FieldError> {
        let expected = || FieldError::new("message", format!("expected an array, found {value}"));
        let values = value.as_array().ok_or_else(expected)?;
        let name = values.first().and_then(Value::as_str);
        let name = name.ok_or_else(|| FieldError::new("[0]", "expected the message's name"))?;
        Ok(Self { name, values })
    }

    /// The value at a position, where the name has position 0; null if there is none.
    pub fn value(&self, position: usize) -> &'a Value {
        self.values.get(position).unwrap_or(&Value::Null)
    }

    /// The whole number at a position.
    ///
    /// # Errors
    /// [`FieldError`] with the name of the field if the value is missing or no whole number.
    pub fn integer(&self, position: usize, field: &str) -> Result<u64, FieldError> {
        unsigned_integer(self.value(position), field)
    }

    fn integer_or_0(&self, position: usize, field: &str) -> Result<u64, FieldError> {
        optional(self.value(position), || unsigned_integer(self.value(position), field))
            .map(Option::unwrap_or_default)
    }

    fn number(&self, position: usize, field: &str) -> Result<f64, FieldError> {
        number(self.value(position), field)
    }

    fn number_or_0(&self, position: usize, field: &str) -> Result<f64, FieldError> {
        optional(self.value(position), || self.number(position, field)).map(Option::unwrap_or_default)
    }

    fn text(&self, position: usize, field: &str) -> Result<&'a str, FieldError> {
        string(self.value(position), field)
    }

    fn request_id(&self) -> Result<RequestId, FieldError> {
        Ok(RequestId(Arc::from(self.text(2, "req")?)))
    }

    fn attempt_no(&self) -> Result<AttemptNo, FieldError> {
        Ok(AttemptNo(self.integer(3, "try")? as usize))
    }

    fn endpoints(&self, names: &WireNames) -> Result<Event, FieldError> {
        self.integer(2, "seq-no")?;
        let update = match self.text(3, "mode")? {
            "patch" => EndpointUpdate::Delta,
            "whole" | "stale_copy" => EndpointUpdate::Complete,
            "broken" => EndpointUpdate::Failed,
            other => return Err(FieldError::new("mode", format!("unknown {other:?}"))),
        };
        let items = optional(self.value(4), || {
            let items = self.value(4).as_array();
            items.ok_or_else(|| {
                FieldError::new("items", format!("expected an array, found {}", self.value(4)))
            })
        })?;
        let items = items.map_or(&[][..], |items| items);
        let decode = |(index, value): (usize, &Value)| {
            endpoint(value, names).map_err(|e| e.within(&format!("items[{index}]")))
        };
        let entries = items.iter().enumerate().map(decode).collect::<Result<_, _>>()?;
        Ok(Event::Endpoints { update, entries })
    }

    fn request(&self, names: &WireNames) -> Result<Request, FieldError> {
        let class = self.text(10, "priority")?;
        Ok(Request {
            id: self.request_id()?,
            class: names.class(class),
            object: ObjectId(self.integer_or_0(8, "asset")?),
            part: Part(self.integer_or_0(9, "part")?),
            group: GroupId(self.integer_or_0(7, "tag")?),
            size_kb: self.number_or_0(4, "size-kb")?,
            write: self.integer_or_0(5, "flags")? & WRITE_FLAG != 0,
            budget: self.number(6, "budget")?,
        })
    }

    fn outcome(&self) -> Result<Outcome, FieldError> {
        Ok(Outcome {
            request: self.request_id()?,
            attempt: self.attempt_no()?,
            server: ServerId(Arc::from(self.text(4, "cache")?)),
            result: attempt_result(self.text(5, "code")?)?,
            latency: self.number_or_0(6, "delay-seen")?,
            completes_request: boolean(self.value(7), "terminal")?,
            fill_report: fill_report(self.integer_or_0(8, "detail")?)?,
            source_wait: self.number_or_0(9, "source-wait")?,
            load: load_report(self.value(10))?,
            body_complete: true,
        })
    }

    fn purge(&self) -> Result<Event, FieldError> {
        let object = self.integer_or_0(4, "asset")?;
        let object = (object != 0).then_some(ObjectId(object));
        let group = GroupId(self.integer(2, "bucket")?);
        Ok(Event::Purged { group, object, age: self.number_or_0(3, "age-span")? })
    }
}

fn attempt_result(code: &str) -> Result<AttemptResult, FieldError> {
    Ok(match code {
        "GOOD" => AttemptResult::Served,
        "BAD" => AttemptResult::Error,
        "FULL" => AttemptResult::Rejected,
        "LATE" => AttemptResult::TimedOut,
        "NOCONN" => AttemptResult::NoConnection,
        "RST" => AttemptResult::ConnectionLost,
        "CXL" => AttemptResult::Cancelled,
        "NOP" => AttemptResult::NotSent,
        "MISS" => AttemptResult::CacheMiss,
        other => return Err(FieldError::new("code", format!("unknown outcome {other:?}"))),
    })
}

fn fill_report(code: u64) -> Result<FillReport, FieldError> {
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
        _ => return Err(FieldError::new("detail", format!("unknown detail {code}"))),
    })
}

fn load_report(value: &Value) -> Result<LoadReport, FieldError> {
    if value.is_null() {
        return Ok(LoadReport::default());
    }
    let fields = value
        .as_object()
        .ok_or_else(|| FieldError::new("usage", format!("expected an object, found {value}")))?;
    let value_of = |name: &str| fields.get(name).map(|v| number(v, &format!("usage.{name}"))).transpose();
    Ok(LoadReport {
        in_flight: value_of("rif")?,
        cpu_utilization: value_of("busy")?,
        hit_ratio: value_of("x0")?,
        fill_load: value_of("x1")?,
    })
}

fn endpoint(value: &Value, names: &WireNames) -> Result<Endpoint, FieldError> {
    let entry = Message::new(value)?;
    let (area, kind) = (entry.text(1, "area")?, entry.text(2, "kind")?);
    let zone = names.zone(area).ok_or_else(|| FieldError::new("area", format!("unknown {area:?}")))?;
    let role = names.role(kind).ok_or_else(|| FieldError::new("kind", format!("unknown {kind:?}")))?;
    Ok(Endpoint {
        id: ServerId(Arc::from(entry.name)),
        zone,
        role,
        cell: entry.integer_or_0(3, "stripe")?,
        state: match entry.text(4, "availability")? {
            "up" => EndpointState::Up,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            other => return Err(FieldError::new("availability", format!("unknown {other:?}"))),
        },
        weight: optional(entry.value(5), || entry.number(5, "capacity-hint"))?.unwrap_or(1.0),
        started: Some(entry.number_or_0(6, "last-start")?).filter(|started| *started > 0.0),
    })
}

/// The event of a message; `None` if the decision module has no use for it.
///
/// # Errors
/// [`FieldError`] with the field at fault.
pub fn decode_event(message: &Message<'_>, names: &WireNames) -> Result<Option<Event>, FieldError> {
    Ok(Some(match message.name {
        "TARGETS" => message.endpoints(names)?,
        "QUERY" => Event::Request(message.request(names)?),
        "FLOWING" => {
            Event::ResponseStarted { request: message.request_id()?, attempt: message.attempt_no()? }
        }
        "FINISHED" => Event::Outcome(message.outcome()?),
        "EXPIRED" => Event::ClientDisconnected(message.request_id()?),
        "TICK_DUE" => Event::Timer(message.integer(2, "cookie")?),
        "VOIDED" => message.purge()?,
        // The deployments have no gossip between routers and no probes of caches.
        "MEMO" | "PONG" => return Ok(None),
        other => return Err(FieldError::new("[0]", format!("unknown event {other:?}"))),
    }))
}
