//! What the site allows and requires: request classes, rules and figures, handed over at start.

use super::{Ms, Role, ZoneId};

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated and refused freely.
    Idempotent,
    /// Repeats are dropped within a group of servers for a time.
    IdempotencyKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The group of servers within which a keyed request's repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for reports only.
    pub name: String,
    /// An answer within this time, plus `aim_stretch` times the sending time, earns the full worth.
    pub latency_objective: Ms,
    /// Multiple of the request's own sending time that is added to the aim.
    pub latency_objective_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Ms,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Where repeats of a keyed request are dropped.
    pub key_scope: KeyScope,
    /// How long they are, from the first attempt that may have run.
    pub key_window: Ms,
    /// What one answer is worth.
    pub priority_weight: f64,
    /// The share of it that a late answer earns.
    pub late_weight_share: f64,
    /// How long a copy is fresh; 0 for no limit.
    pub fresh_for: Ms,
    /// How long past that it may still be served.
    pub stale_for: Ms,
    /// True if its requests run at the origin and are never kept.
    pub uncacheable: bool,
}

/// The figures of the rule on servers that have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Least share of its capacity with which it starts.
    pub share: f64,
    /// Longest time until it is warm.
    pub span: Ms,
    /// The multiple of its present capacity that brings it down.
    pub multiple: f64,
    /// The time over which that is counted.
    pub window: Ms,
}

/// Which other edge caches may be named as a fill's source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFill {
    /// None.
    None,
    /// Those of the own zone.
    Zone,
    /// Any.
    Any,
}

/// What the site allows and requires; handed over at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this router.
    pub zone: ZoneId,
    /// Routers in this router's zone.
    pub zone_routers: usize,
    /// Routers in all.
    pub routers: usize,
    /// The hub of each zone, in the order of zone ids.
    pub zone_parent_group: Vec<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Servers of edge caches that have just started.
    pub edge_slow_start: SlowStartPolicy,
    /// Parents that have just started.
    pub parent_slow_start: SlowStartPolicy,
    /// Time in which sends to a draining or gone server must end.
    pub drain_grace: Ms,
    /// Time to heed a purge notice.
    pub purge_grace: Ms,
    /// Time after which no copy older than a purge is left anywhere.
    pub purge_convergence_time: Ms,
    /// A request may have two attempts out at once.
    pub hedging: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Refusals carry a time to come back.
    pub retry_after: bool,
    /// The longest such time that clients heed.
    pub max_retry_after: Ms,
    /// Attempts a request may have.
    pub max_attempts: usize,
    /// Parents and the origin take requests themselves.
    pub direct_to_parents: bool,
    /// A request may join a fill that is under way.
    pub fill_joining: bool,
    /// Which caches may supply a fill.
    pub peer_fill: PeerFill,
    /// Top pace of one answer, KB a second; 0 if not told.
    pub response_rate_kb_per_s: f64,
    /// The server list has to be asked for.
    pub must_watch_endpoints: bool,
    /// The list's weights, sizes in answers at full pace, are so only give or take (or not told: then one).
    pub approximate_weights: bool,
    /// The list's weights follow the servers' load and change from list to list.
    pub dynamic_weights: bool,
    /// The least interval between two batches of events.
    pub tick: Ms,
}

impl Settings {
    /// The cold rule that holds for servers of a role.
    pub fn slow_start(&self, role: Role) -> SlowStartPolicy {
        match role {
            Role::Edge => self.edge_slow_start,
            Role::Parent | Role::Origin => self.parent_slow_start,
        }
    }
}
