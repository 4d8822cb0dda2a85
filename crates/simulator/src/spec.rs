//! How large a fleet is, what is asked of it, and what happens to it. All times are milliseconds, all sizes KB.

use crate::Ms;
use serde::Deserialize;

/// A machine of one tier.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Answers that it sends at full pace at the same time.
    pub slots: usize,
    /// How long work may wait for a slot before it is turned away.
    pub queue_ms: Ms,
    /// What it holds.
    pub store_kb: f64,
    /// Fills that it runs at the same time.
    pub fills: usize,
}

/// The net between machines.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Net {
    /// One way between machines of a location.
    pub near_ms: Ms,
    /// One way between locations.
    pub far_ms: Ms,
    /// Share by which a way is longer at most.
    pub jitter: f64,
    /// What one location's link carries, KB a millisecond.
    pub link_kb_per_ms: f64,
    /// What one answer takes at most, KB a millisecond.
    pub pace_kb_per_ms: f64,
    /// A fill is given up when nothing has come for so long.
    pub fill_ms: Ms,
}

/// From least to most.
pub type Span = [f64; 2];

/// How late news is.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct News {
    /// The list, at a router.
    pub list_ms: Span,
    /// A purge, at a router.
    pub purge_ms: Span,
    /// A purge, at a cache.
    pub cache_purge_ms: Span,
    /// A plan, at a router or cache.
    pub plan_ms: Span,
}

/// A cold rule's figures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ColdSpec {
    /// Share of its capacity with which a node starts.
    pub share: f64,
    /// Time until it is warm.
    pub span_ms: Ms,
    /// Multiple of its present capacity that brings it down.
    pub multiple: f64,
    /// Time over which that is counted.
    pub window_ms: Ms,
}

/// The rules' figures.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Answers may be so late.
    pub slack_ms: Ms,
    /// Sends to a draining node have to end within this.
    pub drain_grace_ms: Ms,
    /// Purges have to be heeded within this.
    pub purge_grace_ms: Ms,
    /// Old copies are gone after this.
    pub purge_settles_ms: Ms,
    /// Edge caches that have just started.
    pub cold_edge: ColdSpec,
    /// Parents that have just started.
    pub cold_parent: ColdSpec,
}

/// A fleet: zones with edge caches and routers, districts and hubs above them, and the archive.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Zones.
    pub zones: usize,
    /// Routers in each.
    pub routers_per_zone: usize,
    /// Edge caches in each.
    pub edges_per_zone: usize,
    /// District caches, parents of tier 2.
    pub districts: usize,
    /// Hubs, parents of tier 1.
    pub hubs: usize,
    /// Of the districts and hubs, so many (the last ones) are not listed at the start.
    #[serde(default)]
    pub spare_districts: usize,
    /// See `spare_districts`.
    #[serde(default)]
    pub spare_hubs: usize,
    /// Machines by tier.
    pub edge: Machine,
    /// See `edge`.
    pub district: Machine,
    /// See `edge`.
    pub hub: Machine,
    /// See `edge`; it holds everything.
    pub archive: Machine,
    /// The net.
    pub net: Net,
    /// How late news is.
    pub news: News,
    /// The rules' figures.
    pub rules: Rules,
}

/// What a repeat may do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EffectSpec {
    /// May be repeated.
    Safe,
    /// Must never run twice; runs at the archive.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests, beside the other classes'.
    pub share: f64,
    /// Objects that are asked for.
    pub objects: u64,
    /// The exponent by which some are asked for more often (0: all alike).
    pub zipf: f64,
    /// Parts of an object.
    pub parts: u64,
    /// Size of a part, by object.
    pub kb: Span,
    /// Wanted within this, plus twice its own sending time.
    pub aim_ms: Ms,
    /// Given up after this.
    pub deadline_ms: Ms,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// The share of it that a late one has.
    pub late_worth: f64,
    /// What a repeat may do.
    pub effect: EffectSpec,
    /// How long a copy is fresh; 0 for no limit.
    #[serde(default)]
    pub fresh_ms: Ms,
    /// How long past that it may be served while it is renewed.
    #[serde(default)]
    pub grace_ms: Ms,
}

/// What is asked.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// Requests a second for each router.
    pub per_router: f64,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Repeats by a client of what was refused or failed and may be repeated.
    pub retries: u32,
    /// How long it waits before one, at least what it was told.
    pub backoff_ms: Ms,
    /// Groups that objects belong to.
    pub groups: u64,
    /// Objects purged a second.
    #[serde(default)]
    pub purges_per_s: f64,
}

/// What happens at a time.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The node's process dies; it starts again cold and empty after `for_ms` (0: never).
    Crash,
    /// It takes everything and answers nothing for `for_ms`.
    Hang,
    /// Its machine vanishes without a word and comes back cold and empty after `for_ms`.
    Vanish,
    /// It takes `factor` times as long for `for_ms`.
    Slow,
    /// It refuses fills for `for_ms`.
    RefuseFills,
    /// It loses `factor` (a share) of its answers for `for_ms`.
    LoseAnswers,
    /// It asks `to` for what it lacks, whatever its plan says, for `for_ms`.
    WrongSource,
    /// A share `factor` of all groups is purged.
    MassPurge,
    /// Routers hear no news of the list for `for_ms`.
    StaleList,
    /// It starts, cold and empty, and is listed.
    Start,
    /// It is listed as draining.
    Drain,
    /// It is listed as gone and stops.
    Stop,
    /// A plan comes out: routers and caches take it over, each at its own moment.
    Plan,
    /// The plan's change is taken back at the routers, and caches get the version before again under a higher number.
    TakeBack,
}

/// A moment of the script.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Moment {
    /// When.
    pub at_ms: Ms,
    /// What.
    pub what: What,
    /// Which node, by name.
    #[serde(default)]
    pub node: Option<String>,
    /// For how long.
    #[serde(default)]
    pub for_ms: Ms,
    /// How much.
    #[serde(default)]
    pub factor: f64,
    /// Which other node, by name.
    #[serde(default)]
    pub to: Option<String>,
    /// Which of the experiment's plans.
    #[serde(default)]
    pub plan: Option<String>,
}

/// How the tree is planned: by tier, each node asks `fan` of the tier below, next to each other by place.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlanShape {
    /// Its name in the script.
    pub name: String,
    /// Hubs by number.
    pub hubs: Vec<usize>,
    /// Districts by number.
    pub districts: Vec<usize>,
    /// Districts that an edge cache may ask.
    pub edge_fan: usize,
    /// Hubs that a district may ask.
    pub district_fan: usize,
    /// Districts that ask other districts first: `[from, to]` by number.
    #[serde(default)]
    pub laterals: Vec<[usize; 2]>,
}
