//! The platform's settings: their keys in the file, mapped to the settings of the decision module.

use crate::typed::{bounded, dashed, typed, Amount, Whole};
use crate::value::BadInput;
use basaltgw::api;
use basaltgw::api::*;
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;

/// The names of classes, zones and kinds of servers on the wire.
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

    /// The zone at an index of the settings' list.
    pub fn zone_at(&self, at: usize) -> Option<ZoneId> {
        (at < self.zones.len()).then_some(ZoneId(at))
    }

    /// The role of servers of a kind, by the kind's name.
    pub fn role(&self, kind: &str) -> Option<Role> {
        self.role_at(place(&self.kinds, kind)?)
    }

    /// The role of servers of a kind, by its index in the settings' list.
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

/// The settings in the file; [`module_settings`] has the defaults of keys that are absent or null.
#[derive(Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct File {
    areas: Option<Vec<String>>,
    my_zone: Option<String>,
    kinds: Option<Vec<String>>,
    peers_total: Option<Whole>,
    discovery: Option<Discovery>,
    weight_kind: Option<WeightKind>,
    #[garde(inner(custom(tick)))]
    granularity: Option<Amount>,
    #[garde(dive)]
    services: Option<Vec<Service>>,
    #[garde(dive)]
    family_info: Option<Family>,
    #[garde(dive)]
    limits: Option<Limits>,
    #[garde(dive)]
    contract: Option<Contract>,
}

#[derive(Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct Service {
    name: Option<String>,
    #[garde(dive)]
    slo: Option<Amount>,
    #[garde(dive)]
    aim_stretch: Option<Amount>,
    #[garde(dive)]
    deadline: Option<Amount>,
    idempotency: Option<Idempotency>,
    key_scope: Option<Scope>,
    #[garde(dive)]
    window: Option<Amount>,
    #[garde(dive)]
    worth: Option<Amount>,
    #[garde(dive)]
    late_worth: Option<Amount>,
}

#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct Family {
    shield_kind: Option<f64>,
    store_kind: Option<f64>,
    count_by_zone: Option<Vec<Whole>>,
    zone_hub: Option<Vec<Whole>>,
    #[garde(dive)]
    lifetime_by_class: Option<Vec<Option<Amount>>>,
    #[garde(dive)]
    class_grace: Option<Vec<Option<Amount>>>,
    goes_through: Option<Vec<Option<bool>>>,
    #[garde(dive)]
    parent_cold_from: Option<Amount>,
    #[garde(dive)]
    upper_cold: Option<Amount>,
    #[garde(dive)]
    parent_fall_multiple: Option<Amount>,
    #[garde(dive)]
    heed_within: Option<Amount>,
    #[garde(dive)]
    purge_settles: Option<Amount>,
    pass_through_ok: Option<bool>,
    collapses: Option<bool>,
    lateral: Option<Reach>,
    #[garde(inner(custom(response_rate)))]
    pace_kb_per_s: Option<Amount>,
}

#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct Limits {
    parallel_tries: Option<bool>,
    cancel: Option<bool>,
    retry_after: Option<bool>,
    #[garde(dive)]
    max_retry_after: Option<Amount>,
    try_limit: Option<Whole>,
}

#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
struct Contract {
    #[garde(dive)]
    fall: Option<Amount>,
    #[garde(dive)]
    cold_share: Option<Amount>,
    #[garde(dive)]
    cold: Option<Amount>,
    #[garde(dive)]
    fall_multiple: Option<Amount>,
    #[garde(dive)]
    drain_grace: Option<Amount>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    ReadLike,
    #[serde(rename = "idempotency_key")]
    Keyed,
    NonIdempotent,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reach {
    Silent,
    Location,
    Any,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WeightKind {
    Nominal,
    Rough,
    Silent,
    Live,
}

/// The key of a fault as it is in the file; of the family's lists, without an index.
fn key(path: &str) -> String {
    let mut names = dashed(path);
    while let Some((open, close)) = names.find('[').zip(names.find(']')) {
        names.replace_range(open..=close, if names.starts_with("services[") { "()" } else { "" });
    }
    names.replace("()", "[]")
}

/// A list with `many` entries, or empty.
fn one_each<'a, T>(list: &'a Option<Vec<T>>, many: usize, key: &str) -> Result<&'a [T], BadInput> {
    let list = list.as_deref().unwrap_or_default();
    let what = || {
        let field = format!("settings.family-info.{key}");
        BadInput::new(&field, format!("expected {many} entries, found {}", list.len()))
    };
    (list.is_empty() || list.len() == many).then_some(list).ok_or_else(what)
}

/// The longest tick; nothing is answered between two batches.
const MAX_TICK_MS: f64 = 1000.0;
/// The bounds of the response rate; below them no part arrives in time.
const MIN_RATE_KB_PER_S: f64 = 1.0;
const MAX_RATE_KB_PER_S: f64 = 1e12;
/// The deadline of classes without one; the longest that a client waits.
const DEFAULT_DEADLINE_MS: f64 = 600_000.0;

fn tick(n: &Amount, (): &()) -> garde::Result {
    bounded(n.0, 0.0, MAX_TICK_MS)
}

/// Checks a response rate; 0 means that it is unknown.
fn response_rate(n: &Amount, (): &()) -> garde::Result {
    if n.0 == 0.0 {
        return Ok(());
    }
    bounded(n.0, MIN_RATE_KB_PER_S, MAX_RATE_KB_PER_S)
}

/// An index in a list of the settings; -1 for none.
fn index_of(n: Option<f64>, list: &[String], key: &str) -> Result<Option<usize>, BadInput> {
    let Some(n) = n.filter(|n| *n != -1.0) else { return Ok(None) };
    let fits = n.fract() == 0.0 && (0.0..list.len() as f64).contains(&n);
    let what = || format!("expected -1 or a place among {}, found {n}", list.len());
    let wrong = || BadInput::new(&format!("settings.family-info.{key}"), what());
    fits.then_some(Some(n as usize)).ok_or_else(wrong)
}

fn or(amount: Option<Amount>, absent: f64) -> f64 {
    amount.map_or(absent, |a| a.0)
}

/// The classes, with the family's entries of the same index.
fn classes(services: &[Service], family: &Family) -> Result<Vec<Class>, BadInput> {
    let many = services.len();
    let fresh = one_each(&family.lifetime_by_class, many, "lifetime-by-class")?;
    let grace = one_each(&family.class_grace, many, "class-grace")?;
    let through = one_each(&family.goes_through, many, "goes-through")?;
    let class = |(k, s): (usize, &Service)| Class {
        name: s.name.clone().unwrap_or_default(),
        latency_objective: or(s.slo, 0.0),
        latency_objective_stretch: or(s.aim_stretch, 0.0),
        deadline: s.deadline.map(|d| d.0).filter(|d| *d > 0.0).unwrap_or(DEFAULT_DEADLINE_MS),
        idempotency: match s.idempotency.unwrap_or(Idempotency::NonIdempotent) {
            Idempotency::ReadLike => api::Idempotency::Idempotent,
            Idempotency::Keyed => api::Idempotency::IdempotencyKey,
            Idempotency::NonIdempotent => api::Idempotency::NonIdempotent,
        },
        key_scope: match s.key_scope.unwrap_or(Scope::All) {
            Scope::All => KeyScope::All,
            Scope::Zone => KeyScope::Zone,
            Scope::Cell => KeyScope::Cell,
        },
        key_window: or(s.window, 0.0),
        priority_weight: or(s.worth, 1.0),
        late_weight_share: or(s.late_worth, 0.0),
        fresh_for: or(fresh.get(k).copied().flatten(), 0.0),
        stale_for: or(grace.get(k).copied().flatten(), 0.0),
        uncacheable: through.get(k).copied().flatten().unwrap_or(false),
    };
    Ok(services.iter().enumerate().map(class).collect())
}

/// Parses the settings of an instance, and the names that its messages use.
///
/// # Errors
/// The key at fault.
pub fn settings(v: &Value) -> Result<(Names, Settings), BadInput> {
    if !v.is_object() {
        return Err(BadInput::new("settings", "expected an object"));
    }
    let mut file: File = typed(v, "settings", key)?;
    let family = file.family_info.take().unwrap_or_default();
    let classes = classes(&file.services.take().unwrap_or_default(), &family)?;
    let kinds = file.kinds.take().unwrap_or_default();
    let names = Names {
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        parent: index_of(family.shield_kind, &kinds, "shield-kind")?,
        origin: index_of(family.store_kind, &kinds, "store-kind")?,
        kinds,
        zones: file.areas.take().unwrap_or_default(),
    };
    let topology = topology(&file, &family, &names)?;
    Ok((names, module_settings(file, &family, classes, topology)))
}

/// The zones and routers of an instance.
struct Topology {
    zone: ZoneId,
    routers: usize,
    zone_routers: usize,
    zone_parent_group: Vec<ZoneId>,
}

fn topology(file: &File, family: &Family, names: &Names) -> Result<Topology, BadInput> {
    // A misspelt name would have the router send to another zone's caches.
    let zone = match &file.my_zone {
        Some(name) => names.zone(name).ok_or_else(|| {
            BadInput::new("settings.my-zone", format!("expected one of settings.areas, found {name:?}"))
        })?,
        None => ZoneId(0),
    };
    let routers = file.peers_total.as_ref().map_or(1, |n| n.0 as usize);
    let by_zone = one_each(&family.count_by_zone, names.zones.len(), "count-by-zone")?.get(zone.0);
    let hubs = one_each(&family.zone_hub, names.zones.len(), "zone-hub")?;
    if let Some(hub) = hubs.iter().find(|h| h.0 >= names.zones.len() as u64) {
        let what = format!("expected places in settings.areas, found {}", hub.0);
        return Err(BadInput::new("settings.family-info.zone-hub", what));
    }
    Ok(Topology {
        zone,
        routers: routers.max(1),
        zone_routers: by_zone.map_or(routers, |n| n.0 as usize).max(1),
        zone_parent_group: hubs.iter().map(|h| ZoneId(h.0 as usize)).collect(),
    })
}

/// The settings of the decision module; absent keys get their defaults here.
fn module_settings(file: File, family: &Family, classes: Vec<Class>, topology: Topology) -> Settings {
    let limits = file.limits.unwrap_or_default();
    let contract = file.contract.unwrap_or_default();
    let window = or(contract.fall, 0.0);
    let weights = file.weight_kind.unwrap_or(WeightKind::Silent);
    Settings {
        zone: topology.zone,
        zone_routers: topology.zone_routers,
        routers: topology.routers,
        zone_parent_group: topology.zone_parent_group,
        classes,
        edge_slow_start: SlowStartPolicy {
            initial_share: or(contract.cold_share, 1.0),
            ramp_duration: or(contract.cold, 0.0),
            overload_factor: or(contract.fall_multiple, 0.0),
            overload_window: window,
        },
        parent_slow_start: SlowStartPolicy {
            initial_share: or(family.parent_cold_from, 1.0),
            ramp_duration: or(family.upper_cold, 0.0),
            overload_factor: or(family.parent_fall_multiple, 0.0),
            overload_window: window,
        },
        drain_grace: or(contract.drain_grace, 0.0),
        purge_grace: or(family.heed_within, 0.0),
        purge_convergence_time: or(family.purge_settles, 0.0),
        hedging: limits.parallel_tries.unwrap_or(false),
        cancel: limits.cancel.unwrap_or(false),
        retry_after: limits.retry_after.unwrap_or(false),
        max_retry_after: or(limits.max_retry_after, 0.0),
        max_attempts: limits.try_limit.map_or(1, |n| n.0 as usize),
        direct_to_parents: family.pass_through_ok.unwrap_or(false),
        fill_joining: family.collapses.unwrap_or(false),
        peer_fill: match family.lateral.unwrap_or(Reach::Silent) {
            Reach::Silent => PeerFill::None,
            Reach::Location => PeerFill::Zone,
            Reach::Any => PeerFill::Any,
        },
        response_rate_kb_per_s: or(family.pace_kb_per_s, 0.0),
        must_watch_endpoints: match file.discovery.unwrap_or(Discovery::Automatic) {
            Discovery::Automatic => false,
            Discovery::Subscribe => true,
        },
        approximate_weights: match weights {
            WeightKind::Nominal => false,
            WeightKind::Rough | WeightKind::Silent | WeightKind::Live => true,
        },
        dynamic_weights: weights == WeightKind::Live,
        tick: or(file.granularity, 0.0),
    }
}
