//! The parts of an owner's state.

use super::attempts::AbortingAttempt;
use super::timers::Timers;
use crate::caches::ServerPool;
use crate::clients::RequestMessage;
use crate::clock::{wall_now, Clock};
use crate::invariants::Invariants;
use crate::limits::SOCKET_SLACK_MS;
use crate::memory_budget::MemoryBudgets;
use crate::pause_detector::PauseDetector;
use crate::permissions::{RetryPolicy, NO_RETRIES};
use crate::platform_time::PlatformTime;
use crate::read_pauses::ReadPauses;
use crate::slow_start_watch::SlowStartWatch;
use crate::tree::Tree;
use crate::ConnectionContext;
use basaltgw::api::{Class, ClassId, Event, Ms, ServerId};
use basaltgw_config::{ListedServer, RouterConfig, WireNames};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The settings of requests. They do not change while the process runs.
pub(super) struct RoutingConfig {
    pub(super) names: WireNames,
    /// The least time between two batches.
    pub(super) batch_interval: Ms,
    pub(super) max_attempts: usize,
    pub(super) classes: Vec<Class>,
    /// How long after a server is listed as draining a send to it is not a violation, in milliseconds.
    pub(super) drain_grace: Ms,
}

impl RoutingConfig {
    pub(super) fn new(config: &RouterConfig) -> Self {
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

    /// The retry policy of a class; a request of an unknown class is not retried.
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

    /// Observes a Unix time that the platform gave for a past event. If it shows that the ages computed before were too small, returns by
    /// how many milliseconds.
    pub(super) fn observe(&mut self, unix: Ms) -> Option<Ms> {
        self.platform.observe(self.now, unix)
    }

    /// Observes the Unix time of a purge; the result is that of [`Self::observe`].
    pub(super) fn observe_purge(&mut self, unix: Ms) -> Option<Ms> {
        self.platform.observe_purge(self.now, unix)
    }

    /// An upper bound of the current Unix time of the platform, in milliseconds.
    pub(super) fn unix_at_most(&self) -> Ms {
        self.platform.unix_at_most(self.now)
    }
}

/// The memory that messages buffer.
pub(super) struct Memory {
    pub(super) budgets: MemoryBudgets,
    /// The pauses of reading from clients.
    pub(super) client_read_pauses: Rc<ReadPauses>,
}

impl Memory {
    pub(super) fn new(context: &ConnectionContext) -> Self {
        Self { budgets: context.budgets.clone(), client_read_pauses: Rc::clone(&context.read_pauses) }
    }

    /// Whether responses use so much memory that load must be shed.
    pub(super) fn is_exceeded(&self) -> bool {
        self.budgets.responses.must_shed()
    }

    /// Whether there is no memory for a further request, or for its response.
    pub(super) fn lacks_room_for(&self, request: &RequestMessage) -> bool {
        let MemoryBudgets { requests, responses } = &self.budgets;
        let lacks_body_memory = request.body_discarded || (!request.body.is_empty() && requests.must_shed());
        lacks_body_memory || requests.is_exhausted() || responses.is_exhausted()
    }
}

/// The checkers of the router's behaviour, shared with the connections.
pub(super) struct Monitors {
    pub(super) invariants: Rc<Invariants>,
    pub(super) pause_detector: Rc<PauseDetector>,
    pub(super) slow_start: Rc<SlowStartWatch>,
}

impl Monitors {
    pub(super) fn new(config: &RouterConfig, context: &ConnectionContext) -> Self {
        Self {
            invariants: Rc::clone(&context.invariants),
            pause_detector: Rc::clone(&context.pause_detector),
            slow_start: Rc::new(SlowStartWatch::new(&config.settings)),
        }
    }
}

/// The servers and the connections to them.
pub(super) struct Upstream {
    pub(super) caches: ServerPool,
    /// Cancelled attempts whose server has not yet confirmed the abort.
    pub(super) aborting: Vec<AbortingAttempt>,
    /// The listed servers, as they were listed last.
    pub(super) endpoints: BTreeMap<ServerId, ListedServer>,
    /// Whether an endpoint list has been received.
    pub(super) list_received: bool,
    /// The plan of the cache tree, if there is one.
    pub(super) tree: Tree,
}

impl Upstream {
    pub(super) fn new(caches: ServerPool, tree: Tree) -> Self {
        Self { caches, aborting: Vec::new(), endpoints: BTreeMap::new(), list_received: false, tree }
    }
}

/// Timers, and events for the next batch.
#[derive(Default)]
pub(super) struct Schedule {
    pub(super) timers: Timers,
    /// Results of the decision module's own actions, handled in the next batch.
    pub(super) next_batch: VecDeque<Event>,
    /// When maintenance last ran.
    pub(super) maintained_at: Ms,
}
