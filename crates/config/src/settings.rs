//! The settings that a router is started with, typed.

use crate::value::{boolean, number, or_null, whole, BadInput, Keys};
use basaltgw::api::*;
use serde_json::Value;

/// The names by which the wire speaks of an instance's classes, zones and kinds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub(crate) classes: Vec<String>,
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) parent: Option<usize>,
    pub(crate) origin: Option<usize>,
}

impl Names {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        place(&self.classes, name).map(ClassId)
    }

    /// The zone of that name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        place(&self.zones, name).map(ZoneId)
    }

    /// The zone at that place of the settings' list.
    pub fn zone_at(&self, at: usize) -> Option<ZoneId> {
        (at < self.zones.len()).then_some(ZoneId(at))
    }

    /// The role of servers of the kind of that name.
    pub fn role(&self, kind: &str) -> Option<Role> {
        self.role_at(place(&self.kinds, kind)?)
    }

    /// The role of servers of the kind at that place of the settings' list.
    pub fn role_at(&self, at: usize) -> Option<Role> {
        (at < self.kinds.len()).then_some(match Some(at) {
            k if k == self.parent => Role::Parent,
            k if k == self.origin => Role::Origin,
            _ => Role::Edge,
        })
    }
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The class at place `k` of `many`.
fn class(v: &Value, (k, many): (usize, usize), family: &Keys<'_>) -> Result<Class, BadInput> {
    let s = Keys(v, "settings.services[].");
    let of_class = |key: &str| -> Result<Value, BadInput> {
        Ok(family.list_of(key, many)?.get(k).cloned().unwrap_or(Value::Null))
    };
    let time_of_class = |key: &str| -> Result<f64, BadInput> {
        let v = of_class(key)?;
        let time = or_null(&v, || number(&v, &family.at(key)))?.unwrap_or(0.0);
        let fits = time.is_finite() && time >= 0.0;
        let what = || BadInput::new(&family.at(key), format!("expected 0 or more, found {time}"));
        fits.then_some(time).ok_or_else(what)
    };
    let through = of_class("goes-through")?;
    Ok(Class {
        name: s.text("name", "")?.to_string(),
        aim: s.amount("slo", 0.0)?,
        aim_stretch: s.amount("aim-stretch", 0.0)?,
        deadline: s.amount("deadline", 0.0)?,
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
        key_window: s.amount("window", 0.0)?,
        worth: s.amount("worth", 1.0)?,
        late_worth: s.amount("late-worth", 0.0)?,
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
    let classes: Vec<Class> = services
        .iter()
        .enumerate()
        .map(|(k, v)| class(v, (k, services.len()), &family))
        .collect::<Result<_, _>>()?;
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
    let zone = names.zone(s.text("my-zone", "")?).unwrap_or(ZoneId(0));
    let routers = s.whole("peers-total", 1)? as usize;
    let by_zone = family.list_of("count-by-zone", names.zones.len())?.get(zone.0);
    let zone_routers = by_zone.map(|v| whole(v, "settings.family-info.count-by-zone")).transpose()?;
    let hubs = family.list_of("zone-hub", names.zones.len())?.iter();
    let hubs = hubs.map(|v| whole(v, "settings.family-info.zone-hub").map(|h| ZoneId(h as usize)));
    let window = contract.amount("fall", 0.0)?;
    let parsed = Settings {
        zone,
        zone_routers: zone_routers.map_or(routers, |n| n as usize).max(1),
        routers: routers.max(1),
        zone_hub: hubs.collect::<Result<_, _>>()?,
        classes,
        cold_edge: ColdRule {
            share: contract.amount("cold-share", 1.0)?,
            span: contract.amount("cold", 0.0)?,
            multiple: contract.amount("fall-multiple", 0.0)?,
            window,
        },
        cold_parent: ColdRule {
            share: family.amount("parent-cold-from", 1.0)?,
            span: family.amount("upper-cold", 0.0)?,
            multiple: family.amount("parent-fall-multiple", 0.0)?,
            window,
        },
        drain_grace: contract.amount("drain-grace", 0.0)?,
        purge_grace: family.amount("heed-within", 0.0)?,
        purge_settles: family.amount("purge-settles", 0.0)?,
        second_copies: limits.boolean("parallel-tries", false)?,
        cancel: limits.boolean("cancel", false)?,
        retry_after: limits.boolean("retry-after", false)?,
        max_retry_after: limits.amount("max-retry-after", 0.0)?,
        max_attempts: limits.whole("try-limit", 1)? as usize,
        direct: family.boolean("pass-through-ok", false)?,
        joins: family.boolean("collapses", false)?,
        lateral: match family.text("lateral", "silent")? {
            "silent" => Lateral::None,
            "location" => Lateral::Zone,
            "any" => Lateral::Any,
            other => return Err(BadInput::new("settings.family-info.lateral", format!("unknown {other:?}"))),
        },
        pace_kb_per_s: family.amount("pace-kb-per-s", 0.0)?,
        must_subscribe: match s.text("discovery", "automatic")? {
            "automatic" => false,
            "subscribe" => true,
            other => return Err(BadInput::new("settings.discovery", format!("unknown {other:?}"))),
        },
        rough_sizes: match s.text("weight-kind", "silent")? {
            "nominal" => false,
            "rough" | "silent" | "live" => true,
            other => return Err(BadInput::new("settings.weight-kind", format!("unknown {other:?}"))),
        },
        weights_move: s.text("weight-kind", "silent")? == "live",
        tick: s.amount("granularity", 0.0)?,
    };
    Ok((names, parsed))
}
