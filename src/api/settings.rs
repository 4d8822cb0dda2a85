//! The settings of a router: its deployment, request classes and policies.

use super::{Ms, Role, ZoneId};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// Servers of a group recognise repeated executions by a key for some time.
    IdempotencyKey,
    /// The request must not be executed twice.
    NonIdempotent,
}

/// The servers that recognise an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name in the settings; identifies the class in snapshots.
    pub name: String,
    /// A response within this time, plus the stretch times its sending time, has the full priority weight.
    pub latency_objective: Ms,
    /// Multiple of the response's sending time that is added to the latency objective.
    pub latency_objective_stretch: f64,
    /// How long a client waits for a response, over all of its retries.
    pub deadline: Ms,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// The servers that recognise an idempotency key.
    pub key_scope: KeyScope,
    /// How long servers recognise an idempotency key, from the first attempt that may have been executed.
    pub key_window: Ms,
    /// The priority weight of a response.
    pub priority_weight: f64,
    /// Share of the priority weight that a late response has, 0 to 1.
    pub late_weight_share: f64,
    /// Freshness lifetime of a copy; 0 for no limit.
    pub fresh_for: Ms,
    /// How long after its freshness lifetime a stale copy may be served. Without a freshness lifetime, the
    /// age limit of lookups.
    pub stale_for: Ms,
    /// Whether requests of the class are executed at the origin and their responses never cached.
    pub uncacheable: bool,
}

/// The slow-start policy for servers of a role. Durations are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Share of its capacity that a server has when it starts, 0 to 1.
    pub initial_share: f64,
    /// Time from a server's start until it is warm.
    pub ramp_duration: Ms,
    /// Multiple of a server's present capacity that overloads it.
    pub overload_factor: f64,
    /// Time over which the cost that arrives at a server is compared with the overload multiple.
    pub overload_window: Ms,
}

/// Which other edge caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFill {
    /// No other edge cache.
    None,
    /// The edge caches of the same zone.
    Zone,
    /// All edge caches.
    Any,
}

/// The settings of a router. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone whose edge caches this router uses.
    pub zone: ZoneId,
    /// Number of routers in this router's zone.
    pub zone_routers: usize,
    /// Number of routers in all zones.
    pub routers: usize,
    /// The parent group of each zone, in the order of zone ids. No decision depends on it at present.
    pub zone_parent_group: Vec<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Slow start of edge caches.
    pub edge_slow_start: SlowStartPolicy,
    /// Slow start of parents.
    pub parent_slow_start: SlowStartPolicy,
    /// Time after which nothing is sent to a draining or removed server.
    pub drain_grace: Ms,
    /// Time after which a purge must be respected.
    pub purge_grace: Ms,
    /// Time after which no copy from before a purge exists.
    pub purge_convergence_time: Ms,
    /// Whether a request may have two attempts in flight. The router never hedges, whatever this allows.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether rejections carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients respect.
    pub max_retry_after: Ms,
    /// Greatest number of attempts of a request.
    pub max_attempts: usize,
    /// Whether parents and the origin take requests directly.
    pub direct_to_parents: bool,
    /// Whether a request may join a fill in progress.
    pub fill_joining: bool,
    /// Which other edge caches may be the source of a fill. The router names none, whatever this allows.
    pub peer_fill: PeerFill,
    /// Highest rate of one response in KB per second; 0 if unknown.
    pub response_rate_kb_per_s: f64,
    /// Whether the router has to request the endpoint list.
    pub must_watch_endpoints: bool,
    /// Whether listed weights, in responses at full rate, are approximate or missing (a missing one is 1).
    pub approximate_weights: bool,
    /// Whether listed weights follow the servers' load and change with each update.
    pub dynamic_weights: bool,
    /// Least interval between two batches of events.
    pub tick: Ms,
}

impl Settings {
    /// The slow-start policy for servers of a role.
    pub fn slow_start(&self, role: Role) -> SlowStartPolicy {
        match role {
            Role::Edge => self.edge_slow_start,
            Role::Parent | Role::Origin => self.parent_slow_start,
        }
    }
}
