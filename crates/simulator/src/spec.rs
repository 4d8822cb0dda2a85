//! The description of a fleet, its load and its script of faults, as experiment files have it. Times are in milliseconds, sizes in KB.

use crate::Ms;
use serde::Deserialize;

/// The machines of one tier.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Responses that a machine sends at full speed at the same time.
    pub slots: usize,
    /// How long a response may wait for a slot before the request is rejected.
    pub queue_ms: Ms,
    /// The capacity of the store.
    pub store_kb: f64,
    /// The maximum number of concurrent fills.
    pub fills: usize,
}

/// The network between machines.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One-way latency between machines of a zone.
    pub near_ms: Ms,
    /// One-way latency between zones.
    pub far_ms: Ms,
    /// The maximum random addition to a latency, as a share of it.
    pub jitter: f64,
    /// The bandwidth of a zone's link, in KB per millisecond.
    pub link_kb_per_ms: f64,
    /// The maximum rate of one response, in KB per millisecond.
    pub pace_kb_per_ms: f64,
    /// The timeout of a fill.
    pub fill_ms: Ms,
}

/// A range from minimum to maximum; values are drawn uniformly unless stated otherwise.
pub type Range = [f64; 2];

/// Delays of notifications; each receiver has its own.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NotificationDelays {
    /// Changes of the endpoint list, at a router.
    pub list_ms: Range,
    /// Purges, at a router.
    pub purge_ms: Range,
    /// Purges, at a cache.
    pub cache_purge_ms: Range,
    /// Plans, at a router or cache.
    pub plan_ms: Range,
}

/// The capacity of a node that has just started, and the load that takes it down.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ColdSpec {
    /// The share of its warm capacity with which a node starts.
    pub share: f64,
    /// Time from the start until the node is warm.
    pub span_ms: Ms,
    /// A node goes down when its load exceeds this multiple of its present capacity.
    pub multiple: f64,
    /// The window over which the load is measured.
    pub window_ms: Ms,
}

/// The tolerances of the routing rules.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RuleLimits {
    /// How long after its deadline an answer may be sent.
    pub slack_ms: Ms,
    /// How long after the notification a router may still start attempts at a draining or removed node.
    pub drain_grace_ms: Ms,
    /// How long after the notification a router may still serve a purged copy.
    pub purge_grace_ms: Ms,
    /// How long after a purge nodes may still have older copies.
    pub purge_settles_ms: Ms,
    /// Limits of edge caches that have just started.
    pub cold_edge: ColdSpec,
    /// Limits of parent caches that have just started.
    pub cold_parent: ColdSpec,
}

/// A fleet: zones with edge caches and routers, two tiers of parent caches (districts and hubs), and the origin.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// The number of zones.
    pub zones: usize,
    /// Routers in each zone.
    pub routers_per_zone: usize,
    /// Edge caches in each zone.
    pub edges_per_zone: usize,
    /// District caches: parents of tier 2.
    pub districts: usize,
    /// Hubs: parents of tier 1.
    pub hubs: usize,
    /// How many districts (the last ones) are not listed at the start.
    #[serde(default)]
    pub spare_districts: usize,
    /// How many hubs (the last ones) are not listed at the start.
    #[serde(default)]
    pub spare_hubs: usize,
    /// The machines of edge caches.
    pub edge: Machine,
    /// The machines of districts.
    pub district: Machine,
    /// The machines of hubs.
    pub hub: Machine,
    /// The machine of the origin, which has every object.
    pub archive: Machine,
    /// The network.
    pub net: Network,
    /// Delays of notifications.
    pub news: NotificationDelays,
    /// The tolerances of the routing rules.
    pub rules: RuleLimits,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EffectSpec {
    /// Idempotent: may be repeated.
    Safe,
    /// Non-idempotent: must never run twice; runs at the origin.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The name of the class.
    pub name: String,
    /// The share of the requests, relative to the other classes'.
    pub share: f64,
    /// The number of objects.
    pub objects: u64,
    /// The exponent of the Zipf distribution of popularity (0: all objects alike).
    pub zipf: f64,
    /// The number of parts of an object.
    pub parts: u64,
    /// The size of a part: drawn log-uniformly for each object.
    pub kb: Range,
    /// The latency objective, which is extended by twice the response's own sending time
    /// ([`LATENCY_OBJECTIVE_STRETCH`](crate::sim::LATENCY_OBJECTIVE_STRETCH)).
    pub aim_ms: Ms,
    /// The deadline, from the client's first request on.
    pub deadline_ms: Ms,
    /// The priority weight of an answer within the latency objective.
    pub worth: f64,
    /// The share of `worth` that a late answer has.
    pub late_worth: f64,
    /// Whether a request may be repeated.
    pub effect: EffectSpec,
    /// How long a copy is fresh; 0 for no limit.
    #[serde(default)]
    pub fresh_ms: Ms,
    /// How long past `fresh_ms` a copy may be served while it is revalidated in the background.
    #[serde(default)]
    pub grace_ms: Ms,
}

/// The load from clients.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// Requests per second at each router.
    pub per_router: f64,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The maximum number of a client's retries of a request that was rejected, or that failed and is idempotent.
    pub retries: u32,
    /// The minimum delay before a retry; a longer retry-after of the router takes precedence.
    pub backoff_ms: Ms,
    /// The number of groups of objects.
    pub groups: u64,
    /// Objects purged per second.
    #[serde(default)]
    pub purges_per_s: f64,
}

/// The action of a script event.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ScriptAction {
    /// The node's process dies; it starts again with an empty store after `for_ms` (0: never).
    Crash,
    /// The node accepts requests and sends no response for `for_ms`.
    Hang,
    /// The node's machine is unreachable and its connections stay open; it starts again with an empty store after `for_ms`.
    Vanish,
    /// The node takes `factor` times as long to send for `for_ms`.
    Slow,
    /// The node rejects requests that need a new fill for `for_ms`.
    RefuseFills,
    /// The node loses the share `factor` of its responses for `for_ms`.
    LoseAnswers,
    /// The node fills misses from `to` in place of its planned sources for `for_ms`.
    WrongSource,
    /// The share `factor` of all groups is purged.
    MassPurge,
    /// Routers receive no changes of the endpoint list for `for_ms`.
    StaleList,
    /// The node starts with an empty store and is listed as up.
    Start,
    /// The node is listed as draining.
    Drain,
    /// The node is listed as removed and stops.
    Stop,
    /// The plan `plan` is published; each router and cache receives it after a delay of its own.
    Plan,
    /// Routers roll the latest plan change back, and caches receive the previous plan under a higher version.
    TakeBack,
}

/// An event of the script.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ScriptEvent {
    /// The time of the event.
    pub at_ms: Ms,
    /// The action.
    pub what: ScriptAction,
    /// The affected node, by name.
    #[serde(default)]
    pub node: Option<String>,
    /// The duration of a fault.
    #[serde(default)]
    pub for_ms: Ms,
    /// The factor or share that the action applies.
    #[serde(default)]
    pub factor: f64,
    /// The wrong fill source, by name.
    #[serde(default)]
    pub to: Option<String>,
    /// The published plan, by name.
    #[serde(default)]
    pub plan: Option<String>,
}

/// The shape of a plan: each node has a number of consecutive sources in the next tier towards the origin.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlanShape {
    /// The name of the plan in the script.
    pub name: String,
    /// The hubs in the plan, by number.
    pub hubs: Vec<usize>,
    /// The districts in the plan, by number.
    pub districts: Vec<usize>,
    /// The number of districts that are sources of an edge cache.
    pub edge_fan: usize,
    /// The number of hubs that are sources of a district.
    pub district_fan: usize,
    /// Districts that have another district as an additional source: `[from, to]` by number.
    #[serde(default)]
    pub laterals: Vec<[usize; 2]>,
}
