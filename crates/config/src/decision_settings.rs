//! The key `settings` of the configuration file, mapped to the settings of the decision module and to the names that messages contain.

use crate::typed::{deserialize, in_range, kebab_case, NonNegative, UnsignedInteger};
use crate::value::FieldError;
use crate::WireNames;
use basaltgw::api;
use basaltgw::api::*;
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;

/// The settings as the file has them; [`module_settings`] applies the defaults of keys that are absent or null.
#[derive(Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct File {
    areas: Option<Vec<String>>,
    my_zone: Option<String>,
    kinds: Option<Vec<String>>,
    peers_total: Option<UnsignedInteger>,
    discovery: Option<Discovery>,
    weight_kind: Option<WeightKind>,
    #[garde(inner(custom(tick_in_range)))]
    granularity: Option<NonNegative>,
    #[garde(dive)]
    services: Option<Vec<Service>>,
    #[garde(dive)]
    family_info: Option<Family>,
    #[garde(dive)]
    limits: Option<Limits>,
    #[garde(dive)]
    contract: Option<Contract>,
}

/// An entry of `services`: a request class.
#[derive(Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct Service {
    name: Option<String>,
    #[garde(dive)]
    slo: Option<NonNegative>,
    #[garde(dive)]
    aim_stretch: Option<NonNegative>,
    #[garde(dive)]
    deadline: Option<NonNegative>,
    idempotency: Option<Idempotency>,
    key_scope: Option<Scope>,
    #[garde(dive)]
    window: Option<NonNegative>,
    #[garde(dive)]
    worth: Option<NonNegative>,
    #[garde(dive)]
    late_worth: Option<NonNegative>,
}

/// The key `family-info`: server kinds, routers by zone, parent caches, the freshness of copies, and purges.
#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct Family {
    shield_kind: Option<f64>,
    store_kind: Option<f64>,
    count_by_zone: Option<Vec<UnsignedInteger>>,
    zone_hub: Option<Vec<UnsignedInteger>>,
    #[garde(dive)]
    lifetime_by_class: Option<Vec<Option<NonNegative>>>,
    #[garde(dive)]
    class_grace: Option<Vec<Option<NonNegative>>>,
    goes_through: Option<Vec<Option<bool>>>,
    #[garde(dive)]
    parent_cold_from: Option<NonNegative>,
    #[garde(dive)]
    upper_cold: Option<NonNegative>,
    #[garde(dive)]
    parent_fall_multiple: Option<NonNegative>,
    #[garde(dive)]
    heed_within: Option<NonNegative>,
    #[garde(dive)]
    purge_settles: Option<NonNegative>,
    pass_through_ok: Option<bool>,
    collapses: Option<bool>,
    lateral: Option<Reach>,
    #[garde(inner(custom(response_rate_in_range)))]
    pace_kb_per_s: Option<NonNegative>,
}

/// The key `limits`: which attempts are allowed. The router process has the other keys in it.
#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct Limits {
    parallel_tries: Option<bool>,
    cancel: Option<bool>,
    retry_after: Option<bool>,
    #[garde(dive)]
    max_retry_after: Option<NonNegative>,
    try_limit: Option<UnsignedInteger>,
}

/// The key `contract`: slow start and draining of edge caches.
#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
struct Contract {
    #[garde(dive)]
    fall: Option<NonNegative>,
    #[garde(dive)]
    cold_share: Option<NonNegative>,
    #[garde(dive)]
    cold: Option<NonNegative>,
    #[garde(dive)]
    fall_multiple: Option<NonNegative>,
    #[garde(dive)]
    drain_grace: Option<NonNegative>,
}

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    ReadLike,
    #[serde(rename = "idempotency_key")]
    Keyed,
    NonIdempotent,
}

/// The servers that recognise an idempotency key.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Scope {
    All,
    Zone,
    Cell,
}

/// Which other edge caches may be the source of a fill.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reach {
    Silent,
    Location,
    Any,
}

/// Whether the router is sent the endpoint list, or has to request it.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Automatic,
    Subscribe,
}

/// How exact the weights of listed servers are.
#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WeightKind {
    /// Exact weights.
    Nominal,
    /// Approximate weights.
    Rough,
    /// No weights.
    Silent,
    /// Approximate weights that follow the servers' load.
    Live,
}

/// The path of an invalid key as errors name it: with dashes for underscores, `services[]` for each entry of that list, and no index for
/// other lists.
fn key_path(path: &str) -> String {
    let mut names = kebab_case(path);
    // Parentheses stand for the brackets that remain, so that the search for the next index does not find them again.
    while let Some((open, close)) = names.find('[').zip(names.find(']')) {
        names.replace_range(open..=close, if names.starts_with("services[") { "()" } else { "" });
    }
    names.replace("()", "[]")
}

/// An error of a key of `family-info`.
fn family_error(key: &str, message: String) -> FieldError {
    FieldError::new(&format!("settings.family-info.{key}"), message)
}

/// Checks that a list of `family-info` is absent, is empty, or has `len` entries.
fn list_of_len<'a, T>(list: &'a Option<Vec<T>>, len: usize, key: &str) -> Result<&'a [T], FieldError> {
    let list = list.as_deref().unwrap_or_default();
    let error = || family_error(key, format!("expected {len} entries, found {}", list.len()));
    (list.is_empty() || list.len() == len).then_some(list).ok_or_else(error)
}

/// The longest tick, in milliseconds; nothing is answered between two ticks.
const MAX_TICK_MS: f64 = 1000.0;
/// The bounds of the response rate. Below them no part arrives before its deadline.
const MIN_RATE_KB_PER_S: f64 = 1.0;
const MAX_RATE_KB_PER_S: f64 = 1e12;
/// The deadline of classes without one: the longest time that a client waits.
const DEFAULT_DEADLINE_MS: f64 = 600_000.0;

fn tick_in_range(n: &NonNegative, (): &()) -> garde::Result {
    in_range(n.0, 0.0, MAX_TICK_MS)
}

/// Checks a response rate; 0 means that it is unknown.
fn response_rate_in_range(n: &NonNegative, (): &()) -> garde::Result {
    if n.0 == 0.0 {
        return Ok(());
    }
    in_range(n.0, MIN_RATE_KB_PER_S, MAX_RATE_KB_PER_S)
}

/// Parses an index of the list `kinds`; -1 means that no server is of that kind.
fn kind_index(n: Option<f64>, kinds: &[String], key: &str) -> Result<Option<usize>, FieldError> {
    let Some(n) = n.filter(|n| *n != -1.0) else { return Ok(None) };
    let is_index = n.fract() == 0.0 && (0.0..kinds.len() as f64).contains(&n);
    let error = || {
        let message = format!("expected -1 or an index of the {} settings.kinds, found {n}", kinds.len());
        family_error(key, message)
    };
    is_index.then_some(Some(n as usize)).ok_or_else(error)
}

fn number_or(number: Option<NonNegative>, default: f64) -> f64 {
    number.map_or(default, |n| n.0)
}

/// The classes: each is an entry of `services` and the entries of the same index in the lists of `family-info`.
fn classes(services: &[Service], family: &Family) -> Result<Vec<Class>, FieldError> {
    let count = services.len();
    let lifetimes = list_of_len(&family.lifetime_by_class, count, "lifetime-by-class")?;
    let stale_times = list_of_len(&family.class_grace, count, "class-grace")?;
    let uncacheable = list_of_len(&family.goes_through, count, "goes-through")?;
    let class = |(i, s): (usize, &Service)| Class {
        name: s.name.clone().unwrap_or_default(),
        latency_objective: number_or(s.slo, 0.0),
        latency_objective_stretch: number_or(s.aim_stretch, 0.0),
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
        key_window: number_or(s.window, 0.0),
        priority_weight: number_or(s.worth, 1.0),
        late_weight_share: number_or(s.late_worth, 0.0),
        fresh_for: number_or(lifetimes.get(i).copied().flatten(), 0.0),
        stale_for: number_or(stale_times.get(i).copied().flatten(), 0.0),
        uncacheable: uncacheable.get(i).copied().flatten().unwrap_or(false),
    };
    Ok(services.iter().enumerate().map(class).collect())
}

/// Parses the settings of a router, and the names that its messages use.
///
/// # Errors
/// The first invalid key.
pub fn parse_settings(v: &Value) -> Result<(WireNames, Settings), FieldError> {
    if !v.is_object() {
        return Err(FieldError::new("settings", "expected an object"));
    }
    let mut file: File = deserialize(v, "settings", key_path)?;
    let family = file.family_info.take().unwrap_or_default();
    let classes = classes(&file.services.take().unwrap_or_default(), &family)?;
    let kinds = file.kinds.take().unwrap_or_default();
    let names = WireNames {
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        parent_kind: kind_index(family.shield_kind, &kinds, "shield-kind")?,
        origin_kind: kind_index(family.store_kind, &kinds, "store-kind")?,
        kinds,
        zones: file.areas.take().unwrap_or_default(),
    };
    let topology = topology(&file, &family, &names)?;
    Ok((names, module_settings(file, &family, classes, topology)))
}

/// The router's zone, the numbers of routers, and the parent caches of each zone.
struct Topology {
    zone: ZoneId,
    /// The number of all routers.
    routers: usize,
    /// The number of routers in the router's zone.
    zone_routers: usize,
    /// For each zone, the zone whose parent caches its caches use.
    zone_parent_group: Vec<ZoneId>,
}

fn topology(file: &File, family: &Family, names: &WireNames) -> Result<Topology, FieldError> {
    // A misspelt name has to be rejected: with a default zone the router would send to the caches of another zone.
    let zone = match &file.my_zone {
        Some(name) => names.zone(name).ok_or_else(|| {
            FieldError::new("settings.my-zone", format!("expected one of settings.areas, found {name:?}"))
        })?,
        None => ZoneId(0),
    };
    let routers = file.peers_total.as_ref().map_or(1, |n| n.0 as usize);
    let zone_routers = list_of_len(&family.count_by_zone, names.zones.len(), "count-by-zone")?.get(zone.0);
    let hubs = list_of_len(&family.zone_hub, names.zones.len(), "zone-hub")?;
    if let Some(hub) = hubs.iter().find(|h| h.0 >= names.zones.len() as u64) {
        return Err(family_error("zone-hub", format!("expected indexes of settings.areas, found {}", hub.0)));
    }
    Ok(Topology {
        zone,
        routers: routers.max(1),
        zone_routers: zone_routers.map_or(routers, |n| n.0 as usize).max(1),
        zone_parent_group: hubs.iter().map(|h| ZoneId(h.0 as usize)).collect(),
    })
}

/// The settings of the decision module, with the defaults of absent keys.
fn module_settings(file: File, family: &Family, classes: Vec<Class>, topology: Topology) -> Settings {
    let limits = file.limits.unwrap_or_default();
    let contract = file.contract.unwrap_or_default();
    let overload_window = number_or(contract.fall, 0.0);
    let weight_kind = file.weight_kind.unwrap_or(WeightKind::Silent);
    Settings {
        zone: topology.zone,
        zone_routers: topology.zone_routers,
        routers: topology.routers,
        zone_parent_group: topology.zone_parent_group,
        classes,
        edge_slow_start: SlowStartPolicy {
            initial_share: number_or(contract.cold_share, 1.0),
            ramp_duration: number_or(contract.cold, 0.0),
            overload_factor: number_or(contract.fall_multiple, 0.0),
            overload_window,
        },
        parent_slow_start: SlowStartPolicy {
            initial_share: number_or(family.parent_cold_from, 1.0),
            ramp_duration: number_or(family.upper_cold, 0.0),
            overload_factor: number_or(family.parent_fall_multiple, 0.0),
            overload_window,
        },
        drain_grace: number_or(contract.drain_grace, 0.0),
        purge_grace: number_or(family.heed_within, 0.0),
        purge_convergence_time: number_or(family.purge_settles, 0.0),
        hedging: limits.parallel_tries.unwrap_or(false),
        cancel: limits.cancel.unwrap_or(false),
        retry_after: limits.retry_after.unwrap_or(false),
        max_retry_after: number_or(limits.max_retry_after, 0.0),
        max_attempts: limits.try_limit.map_or(1, |n| n.0 as usize),
        direct_to_parents: family.pass_through_ok.unwrap_or(false),
        fill_joining: family.collapses.unwrap_or(false),
        peer_fill: match family.lateral.unwrap_or(Reach::Silent) {
            Reach::Silent => PeerFill::None,
            Reach::Location => PeerFill::Zone,
            Reach::Any => PeerFill::Any,
        },
        response_rate_kb_per_s: number_or(family.pace_kb_per_s, 0.0),
        must_watch_endpoints: match file.discovery.unwrap_or(Discovery::Automatic) {
            Discovery::Automatic => false,
            Discovery::Subscribe => true,
        },
        approximate_weights: match weight_kind {
            WeightKind::Nominal => false,
            WeightKind::Rough | WeightKind::Silent | WeightKind::Live => true,
        },
        dynamic_weights: weight_kind == WeightKind::Live,
        tick: number_or(file.granularity, 0.0),
    }
}
