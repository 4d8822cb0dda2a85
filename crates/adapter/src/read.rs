//! The wire to settings and events.

use basaltgw::api::*;
use serde_json::Value;
use std::{fmt, sync::Arc};

const WRITE_FLAG: u64 = 4;

/// What is wrong with an input line, and in which field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadInput {
    field: String,
    what: String,
}

impl BadInput {
    /// A fault in that field.
    pub fn new(field: &str, what: impl Into<String>) -> Self {
        Self { field: field.into(), what: what.into() }
    }

    /// The same fault, seen from the value around it.
    pub fn within(self, outer: &str) -> Self {
        Self { field: format!("{outer}.{}", self.field), what: self.what }
    }
}

impl fmt::Display for BadInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.what)
    }
}

impl std::error::Error for BadInput {}

/// The names by which the wire speaks of an instance's classes, zones and kinds.
#[derive(Clone, Debug, Default)]
pub struct Names {
    classes: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    parent: Option<usize>,
    origin: Option<usize>,
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

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

    fn end(&self, at: usize) -> Result<End, BadInput> {
        Ok(match self.text(at, "code")? {
            "GOOD" => End::Served,
            "BAD" => End::Error,
            "FULL" => End::Full,
            "LATE" => End::Late,
            "NOCONN" => End::NoConnection,
            "RST" => End::Broken,
            "CXL" => End::Cancelled,
            "NOP" => End::NotSent,
            "MISS" => End::Miss,
            other => return Err(BadInput::new("code", format!("unknown outcome {other:?}"))),
        })
    }
}

fn or_null<T>(v: &Value, read: impl FnOnce() -> Result<T, BadInput>) -> Result<Option<T>, BadInput> {
    if v.is_null() {
        Ok(None)
    } else {
        read().map(Some)
    }
}

fn whole(v: &Value, field: &str) -> Result<u64, BadInput> {
    let float = || v.as_f64().filter(|f| f.fract() == 0.0 && *f >= 0.0 && *f < 9.0e15).map(|f| f as u64);
    v.as_u64()
        .or_else(float)
        .ok_or_else(|| BadInput::new(field, format!("expected a whole number, found {v}")))
}

/// A number that must be there.
pub fn number(v: &Value, field: &str) -> Result<f64, BadInput> {
    v.as_f64().ok_or_else(|| BadInput::new(field, format!("expected a number, found {v}")))
}

fn text<'a>(v: &'a Value, field: &str) -> Result<&'a str, BadInput> {
    v.as_str().ok_or_else(|| BadInput::new(field, format!("expected a string, found {v}")))
}

fn boolean(v: &Value, field: &str) -> Result<bool, BadInput> {
    v.as_bool().ok_or_else(|| BadInput::new(field, format!("expected true or false, found {v}")))
}

fn load(v: &Value) -> Result<Load, BadInput> {
    if v.is_null() {
        return Ok(Load::default());
    }
    let pairs =
        v.as_object().ok_or_else(|| BadInput::new("usage", format!("expected an object, found {v}")))?;
    let get = |name: &str| pairs.get(name).map(|v| number(v, &format!("usage.{name}"))).transpose();
    Ok(Load { inflight: get("rif")?, util: get("busy")?, hits: get("x0")?, link: get("x1")? })
}

fn note(code: u64) -> Result<Note, BadInput> {
    Ok(match code {
        0 => Note::Untold,
        1 => Note::Hit,
        2 => Note::FilledBySource,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::Old,
        6 => Note::SourceRefused,
        7 => Note::SourceFailed,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        _ => return Err(BadInput::new("detail", format!("unknown detail {code}"))),
    })
}

fn entry(v: &Value, names: &Names) -> Result<ServerEntry, BadInput> {
    let m = Message::new(v)?;
    let (area, kind) = (m.text(1, "area")?, m.text(2, "kind")?);
    let zone = place(&names.zones, area).ok_or_else(|| BadInput::new("area", format!("unknown {area:?}")))?;
    let kind = place(&names.kinds, kind).ok_or_else(|| BadInput::new("kind", format!("unknown {kind:?}")))?;
    Ok(ServerEntry {
        id: ServerId(Arc::from(m.name)),
        zone: ZoneId(zone),
        role: match Some(kind) {
            k if k == names.parent => Role::Parent,
            k if k == names.origin => Role::Origin,
            _ => Role::Edge,
        },
        cell: m.integer_or_0(3, "stripe")?,
        listed: match m.text(4, "availability")? {
            "up" => Listed::Up,
            "draining" => Listed::Draining,
            "removed" => Listed::Gone,
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
                "patch" => ListMode::Changes,
                "whole" | "stale_copy" => ListMode::Whole,
                "broken" => ListMode::Failed,
                other => return Err(BadInput::new("mode", format!("unknown {other:?}"))),
            };
            let items = or_null(m.value(4), || {
                let items = m.value(4).as_array();
                items.ok_or_else(|| BadInput::new("items", "expected an array"))
            })?;
            let read =
                |(i, v): (usize, &Value)| entry(v, names).map_err(|e| e.within(&format!("items[{i}]")));
            let entries = items.map_or(&[][..], |a| a).iter().enumerate().map(read);
            Event::Servers(mode, entries.collect::<Result<_, _>>()?)
        }
        "QUERY" => {
            let class = m.text(10, "priority")?;
            Event::Request(Request {
                id: m.request()?,
                class: place(&names.classes, class).map(ClassId),
                object: ObjectId(m.integer_or_0(8, "asset")?),
                part: Part(m.integer_or_0(9, "part")?),
                group: GroupId(m.integer_or_0(7, "tag")?),
                size_kb: m.number_or_0(4, "size-kb")?,
                write: m.integer_or_0(5, "flags")? & WRITE_FLAG != 0,
                budget: m.number(6, "budget")?,
            })
        }
        "FLOWING" => Event::Flowing(m.request()?, AttemptNo(m.integer(3, "try")? as usize)),
        "FINISHED" => Event::Outcome(Outcome {
            request: m.request()?,
            attempt: AttemptNo(m.integer(3, "try")? as usize),
            server: m.server(4)?,
            end: m.end(5)?,
            delay: m.number_or_0(6, "delay-seen")?,
            last: boolean(m.value(7), "terminal")?,
            note: note(m.integer_or_0(8, "detail")?)?,
            source_wait: m.number_or_0(9, "source-wait")?,
            load: load(m.value(10))?,
        }),
        "EXPIRED" => Event::ClientLeft(m.request()?),
        "TICK_DUE" => Event::Timer(m.integer(2, "cookie")?),
        "PONG" => Event::Probed(m.server(2)?, m.end(3)? == End::Served, load(m.value(5))?),
        "VOIDED" => {
            let object = m.integer_or_0(4, "asset")?;
            let object = (object != 0).then_some(ObjectId(object));
            Event::Purged(GroupId(m.integer(2, "bucket")?), object, m.number_or_0(3, "age-span")?)
        }
        "MEMO" => return Ok(None),
        other => return Err(BadInput::new("[0]", format!("unknown event {other:?}"))),
    }))
}

/// Reads keys of a settings object; an absent key, or null, has the given meaning.
struct Keys<'a>(&'a Value, &'a str);

impl<'a> Keys<'a> {
    fn at(&self, key: &str) -> String {
        format!("{}{key}", self.1)
    }
    fn number(&self, key: &str, absent: f64) -> Result<f64, BadInput> {
        Ok(or_null(&self.0[key], || number(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    fn whole(&self, key: &str, absent: u64) -> Result<u64, BadInput> {
        Ok(or_null(&self.0[key], || whole(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    fn boolean(&self, key: &str, absent: bool) -> Result<bool, BadInput> {
        Ok(or_null(&self.0[key], || boolean(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    fn text(&self, key: &str, absent: &'a str) -> Result<&'a str, BadInput> {
        Ok(or_null(&self.0[key], || text(&self.0[key], &self.at(key)))?.unwrap_or(absent))
    }
    fn list(&self, key: &str) -> Result<&'a [Value], BadInput> {
        let read = || {
            let array = self.0[key].as_array();
            array.map(Vec::as_slice).ok_or_else(|| BadInput::new(&self.at(key), "expected an array"))
        };
        Ok(or_null(&self.0[key], read)?.unwrap_or_default())
    }
    fn names(&self, key: &str) -> Result<Vec<String>, BadInput> {
        self.list(key)?.iter().map(|v| text(v, &self.at(key)).map(str::to_string)).collect()
    }
}

fn class(v: &Value, k: usize, family: &Keys<'_>) -> Result<Class, BadInput> {
    let s = Keys(v, "settings.services[].");
    let of_class = |key: &str| -> Result<Value, BadInput> {
        Ok(family.list(key)?.get(k).cloned().unwrap_or(Value::Null))
    };
    let time_of_class = |key: &str| -> Result<f64, BadInput> {
        let v = of_class(key)?;
        Ok(or_null(&v, || number(&v, &family.at(key)))?.unwrap_or(0.0))
    };
    let through = of_class("goes-through")?;
    Ok(Class {
        name: s.text("name", "")?.to_string(),
        aim: s.number("slo", 0.0)?,
        aim_stretch: s.number("aim-stretch", 0.0)?,
        deadline: s.number("deadline", 0.0)?,
        effect: match s.text("idempotency", "non_idempotent")? {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed,
            "non_idempotent" => Effect::Unsafe,
            other => {
                return Err(BadInput::new("settings.services[].idempotency", format!("unknown {other:?}")))
            }
        },
        key_scope: match s.text("key-scope", "all")? {
            "all" => KeyScope::All,
            "zone" => KeyScope::Zone,
            "cell" => KeyScope::Cell,
            other => {
                return Err(BadInput::new("settings.services[].key-scope", format!("unknown {other:?}")))
            }
        },
        key_window: s.number("window", 0.0)?,
        worth: s.number("worth", 1.0)?,
        late_worth: s.number("late-worth", 0.0)?,
        fresh: time_of_class("lifetime-by-class")?,
        grace: time_of_class("class-grace")?,
        uncacheable: or_null(&through, || boolean(&through, &family.at("goes-through")))?.unwrap_or(false),
    })
}

/// The typed settings of an instance and the names its messages use.
pub fn settings(v: &Value) -> Result<(Names, Settings), BadInput> {
    if !v.is_object() {
        return Err(BadInput::new("settings", "expected an object"));
    }
    let s = Keys(v, "settings.");
    let family = Keys(&v["family-info"], "settings.family-info.");
    let limits = Keys(&v["limits"], "settings.limits.");
    let contract = Keys(&v["contract"], "settings.contract.");
    let services = s.list("services")?;
    let classes: Vec<Class> =
        services.iter().enumerate().map(|(k, v)| class(v, k, &family)).collect::<Result<_, _>>()?;
    let zones = s.names("areas")?;
    let kind = |key: &str| -> Result<Option<usize>, BadInput> {
        let n = family.number(key, -1.0)?;
        Ok((n >= 0.0).then_some(n as usize))
    };
    let names = Names {
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        kinds: s.names("kinds")?,
        parent: kind("shield-kind")?,
        origin: kind("store-kind")?,
        zones,
    };
    let zone = place(&names.zones, s.text("my-zone", "")?).unwrap_or(0);
    let routers = s.whole("peers-total", 1)? as usize;
    let by_zone = family.list("count-by-zone")?.get(zone);
    let zone_routers = by_zone.map(|v| whole(v, "settings.family-info.count-by-zone")).transpose()?;
    let hubs = family.list("zone-hub")?.iter();
    let hubs = hubs.map(|v| whole(v, "settings.family-info.zone-hub").map(|h| ZoneId(h as usize)));
    let window = contract.number("fall", 0.0)?;
    let parsed = Settings {
        zone: ZoneId(zone),
        zone_routers: zone_routers.map_or(routers, |n| n as usize).max(1),
        routers: routers.max(1),
        zone_hub: hubs.collect::<Result<_, _>>()?,
        classes,
        cold_edge: ColdRule {
            share: contract.number("cold-share", 1.0)?,
            span: contract.number("cold", 0.0)?,
            multiple: contract.number("fall-multiple", 0.0)?,
            window,
        },
        cold_parent: ColdRule {
            share: family.number("parent-cold-from", 1.0)?,
            span: family.number("upper-cold", 0.0)?,
            multiple: family.number("parent-fall-multiple", 0.0)?,
            window,
        },
        drain_grace: contract.number("drain-grace", 0.0)?,
        purge_grace: family.number("heed-within", 0.0)?,
        purge_settles: family.number("purge-settles", 0.0)?,
        second_copies: limits.boolean("parallel-tries", false)?,
        cancel: limits.boolean("cancel", false)?,
        probes: limits.boolean("probes", false)?,
        retry_after: limits.boolean("retry-after", false)?,
        max_retry_after: limits.number("max-retry-after", 0.0)?,
        max_attempts: limits.whole("try-limit", 1)? as usize,
        direct: family.boolean("pass-through-ok", false)?,
        joins: family.boolean("collapses", false)?,
        lateral: match family.text("lateral", "silent")? {
            "silent" => Lateral::None,
            "location" => Lateral::Zone,
            "any" => Lateral::Any,
            other => return Err(BadInput::new("settings.family-info.lateral", format!("unknown {other:?}"))),
        },
        pace_kb_per_s: family.number("pace-kb-per-s", 0.0)?,
        must_subscribe: s.text("discovery", "automatic")? == "subscribe",
        weights_move: s.text("weight-kind", "silent")? == "live",
        tick: s.number("granularity", 0.0)?,
    };
    Ok((names, parsed))
}
