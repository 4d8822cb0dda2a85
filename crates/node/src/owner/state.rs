//! The states that an owner consists of, each with one type.

use super::attempts::AbortingAttempt;
use super::timers::Timers;
use crate::caches::ServerPool;
use crate::clock::{wall_now, Clock};
use crate::invariants::Invariants;
use crate::limits::{MEMORY_PRESSURE_SHARE, SOCKET_SLACK_MS};
use crate::outbox::BufferMeter;
use crate::permissions::{RetryPolicy, NO_RETRIES};
use crate::platform_time::PlatformTime;
use crate::slow_start_watch::SlowStartWatch;
use crate::stalls::Stalls;
use crate::tree::Tree;
use crate::Shared;
use basaltgw::api::{Class, ClassId, Event, Ms, ServerId};
use basaltgw_config::{Names, NodeConfig, Place};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What the configuration says of requests; it does not change while the process runs.
pub(super) struct RoutingConfig {
    pub(super) names: Names,
    /// The least time between two batches.
    pub(super) batch_interval: Ms,
    pub(super) max_attempts: usize,
    pub(super) classes: Vec<Class>,
    /// For this long after a server is listed as draining, sends to it are no violation.
    pub(super) drain_grace: Ms,
}

impl RoutingConfig {
    pub(super) fn new(config: &NodeConfig) -> Self {
        Self {
            names: config.names.clone(),
            batch_interval: config.settings.tick,
            max_attempts: config.settings.max_attempts,
            classes: config.settings.classes.clone(),
            drain_grace: config.settings.drain_grace + SOCKET_SLACK_MS,
        }
    }

    pub(super) fn class(&self, class: Option<ClassId>) -> Option<&Class> {
        self.classes.get(class?.0)
    }

    /// The retry policy of a class; a request without a known class has no retries.
    pub(super) fn retry_policy(&self, class: Option<ClassId>) -> RetryPolicy {
        self.class(class).map_or(NO_RETRIES, RetryPolicy::for_class)
    }
}

/// The time of the current batch, and the mapping between the platform's Unix times and the process's monotonic clock.
pub(super) struct Time {
    /// When the current batch began, on the process's clock.
    pub(super) now: Ms,
    pub(super) clock: Clock,
    pub(super) platform: PlatformTime,
}

impl Time {
    pub(super) fn new(clock: Clock) -> Self {
        let now = clock.now();
        Self { now, clock, platform: PlatformTime::new(now, wall_now()) }
    }

    /// Observes a Unix time that the platform gave for a past event. Returns the correction in milliseconds if earlier estimates of platform
    /// times were too recent.
    pub(super) fn observe(&mut self, unix: Ms) -> Option<Ms> {
        self.platform.observe(self.now, unix)
    }

    /// The same of a purge's time.
    pub(super) fn observe_purge(&mut self, unix: Ms) -> Option<Ms> {
        self.platform.observe_purge(self.now, unix)
    }

    /// An upper bound of the current Unix time of the platform, in milliseconds.
    pub(super) fn unix_at_most(&self) -> Ms {
        self.platform.unix_at_most(self.now)
    }
}

/// Bytes buffered by messages of all connections.
pub(super) struct Memory {
    pub(super) meter: Rc<BufferMeter>,
    limit_bytes: usize,
}

impl Memory {
    pub(super) fn new(config: &NodeConfig, shared: &Shared) -> Self {
        Self {
            meter: Rc::clone(&shared.meter),
            limit_bytes: config.limits.share_of_memory(MEMORY_PRESSURE_SHARE),
        }
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.meter.bytes() > self.limit_bytes
    }
}

/// Checkers of what the router does, shared with the connections.
pub(super) struct Monitors {
    pub(super) invariants: Rc<Invariants>,
    pub(super) stalls: Rc<Stalls>,
    pub(super) slow_start: Rc<SlowStartWatch>,
}

impl Monitors {
    pub(super) fn new(config: &NodeConfig, shared: &Shared) -> Self {
        Self {
            invariants: Rc::clone(&shared.invariants),
            stalls: Rc::clone(&shared.stalls),
            slow_start: Rc::new(SlowStartWatch::new(&config.settings)),
        }
    }
}

/// The servers and the connections to them.
pub(super) struct Upstream {
    pub(super) caches: ServerPool,
    /// Cancelled attempts whose server has not confirmed that yet.
    pub(super) aborting: Vec<AbortingAttempt>,
    /// The address and start of each listed server.
    pub(super) endpoints: BTreeMap<ServerId, Place>,
    /// An endpoint list has been received.
    pub(super) list_received: bool,
    /// The plan of the cache tree, if there is one.
    pub(super) tree: Tree,
}

impl Upstream {
    pub(super) fn new(caches: ServerPool, tree: Tree) -> Self {
        Self { caches, aborting: Vec::new(), endpoints: BTreeMap::new(), list_received: false, tree }
    }
}

/// What is due later.
#[derive(Default)]
pub(super) struct Schedule {
    pub(super) timers: Timers,
    /// Results of the decision module's own actions, handled in the next batch.
    pub(super) next_batch: VecDeque<Event>,
    /// When maintenance last ran.
    pub(super) maintained_at: Ms,
}
