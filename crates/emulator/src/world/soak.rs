//! Soak runs: faults that are injected into routers, clients, caches and the change log, and the invariants that are judged in
//! addition to the checker's five rules.

mod inject;
mod routers;
mod state;

use super::*;
use crate::faults::Fault;
use state::{ProcessState, SoakRouter};
pub(super) use state::{PublishedPurge, Soak};

/// The time between two checks of the process of a router that ends or starts.
const PROCESS_CHECK_INTERVAL_MS: Ms = 10.0;
/// How long after SIGTERM requests are sent to the router on open connections.
const REQUESTS_AFTER_TERM_MS: Ms = 200.0;
/// The most purges in a configuration.
const MAX_KNOWN_PURGES: usize = 200;
/// The inverse of the probability that an answer is cut during [`SoakFault::CacheHalf`].
const CUT_ANSWER_ONE_IN: f64 = 8.0;
/// The inverse of the probability that a client cancels its request before the deadline.
pub(super) const CANCEL_ONE_IN: f64 = 12.0;
/// The shortest and the longest time until such a cancellation.
pub(super) const CANCEL_DELAY_MS: [Ms; 2] = [2.0, 400.0];
/// The shortest time from SIGTERM to SIGKILL, in addition to the longest deadline.
const KILL_AFTER_MS: Ms = 700.0;
/// The longest deadline counts as at least this.
const MIN_LONGEST_DEADLINE_MS: Ms = 3_000.0;
/// An attempt that starts later than this after its client has left violates [`Invariant::SentAfterLeft`].
const SENT_AFTER_LEFT_MS: Ms = 100.0;
/// The deadline that a cache is given may exceed the client's remaining time by this.
const DEADLINE_SLACK_MS: Ms = 150.0;
/// A request sent within this time before a close may have crossed it; its client sends it again.
const CLOSE_CROSSING_MS: Ms = 50.0;
/// After a stop a router may need this long until it has read what waited in its sockets.
const READ_AFTER_STOP_MS: Ms = 300.0;
/// While the harness itself is later than this, missing answers are not judged.
const MAX_HARNESS_DELAY_MS: Ms = 40.0;
/// For this long a delay of the harness counts as current.
const HARNESS_DELAY_RETENTION_MS: Ms = 1_000.0;
/// After an outage of its change log a router may need this long until it reconnects.
const CHANGE_LOG_RECONNECT_MS: Ms = 1_000.0;
/// The most violations of an invariant that the report describes.
const MAX_DESCRIBED_VIOLATIONS: usize = 5;

/// A fault of a soak run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// The router is sent SIGTERM, and started again once it has ended.
    Terminate,
    /// The router is sent SIGTERM among other signals, while clients go on sending on their connections until it ends; it is started again
    /// then.
    TerminateInUse,
    /// The router is sent this number of signals in a row that have it reload or log.
    Signals(u32),
    /// The router is sent SIGKILL, and started again at once.
    Kill,
    /// The router is sent SIGSTOP, and SIGCONT after the duration.
    Stop,
    /// The router is sent this number of SIGHUPs in a row.
    Reload(u32),
    /// The wall clock of this and later processes of the router is stepped by these milliseconds.
    WallStep(i64),
    /// For the duration, one system call of this number fails with the fault.
    Calls(Fault, i64),
    /// For the duration, the change log sends nothing on open connections.
    LogSilent,
    /// For the duration, the change log closes connections at once.
    LogDown,
    /// For the duration, the log of the router's process is not read.
    LogUnread,
    /// All clients close their connections at once.
    ClientsLeave,
    /// All clients cancel their open requests.
    ClientsCancel,
    /// This number of clients connect that send garbage, a part of a message, or nothing.
    ClientFlood(u32),
    /// This number of clients connect that write the longest request slowly or not to its end, or read no answers.
    Crowd(u32),
    /// This number of requests are sent at once.
    Pipeline(u32),
    /// Every cache closes its connections.
    CacheReset,
    /// For the duration, caches don't answer probes.
    CacheMute,
    /// For the duration, caches send each answer twice.
    CacheTwice,
    /// For the duration, caches cut some answers in the middle and close the connection.
    CacheHalf,
}

impl SoakFault {
    /// The name under which the fault is counted.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Terminate => "terminate",
            Self::TerminateInUse => "terminate_in_use",
            Self::Signals(_) => "signals",
            Self::Kill => "kill",
            Self::Stop => "stop",
            Self::Reload(_) => "reload",
            Self::WallStep(_) => "wall_step",
            Self::Calls(Fault::Accept, _) => "accept_fails",
            Self::Calls(Fault::Short, _) => "short_transfers",
            Self::Calls(Fault::Interrupted, _) => "interrupted_calls",
            Self::Calls(Fault::Broken, _) => "connections_break",
            Self::Calls(Fault::Connect, _) => "connect_fails",
            Self::Calls(Fault::Socket, _) => "socket_fails",
            Self::Calls(Fault::WallClock | Fault::Sync | Fault::FileWrite, _) => "other_calls_fail",
            Self::LogSilent => "log_silent",
            Self::LogDown => "log_down",
            Self::LogUnread => "log_unread",
            Self::ClientsLeave => "clients_leave",
            Self::ClientsCancel => "clients_cancel",
            Self::ClientFlood(_) => "client_flood",
            Self::Crowd(_) => "crowd",
            Self::Pipeline(_) => "pipeline",
            Self::CacheReset => "cache_reset",
            Self::CacheMute => "cache_mute",
            Self::CacheTwice => "cache_twice",
            Self::CacheHalf => "cache_half",
        }
    }
}

/// A fault that is injected at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// The time of the injection.
    pub at_ms: Ms,
    /// The duration, of faults that have one.
    pub for_ms: Ms,
    /// The index of the router.
    pub router: usize,
    /// The fault.
    pub fault: SoakFault,
}

/// Limits in the routers' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoakLimits {
    /// The time limit for a connection to a cache to be established.
    pub connect_timeout_ms: Ms,
    /// The most open requests on a connection to a cache.
    pub max_streams: u64,
    /// The most attempts of one request.
    pub max_attempts: u64,
    /// The memory of a router, in MB.
    pub memory_mb: u64,
}

/// An invariant that is judged in addition to the checker's rules. Its `Debug` name is printed in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every request is answered before its deadline.
    Unanswered,
    /// No request is answered twice.
    SecondAnswer,
    /// No connection is closed while a request on it is unanswered.
    ClosedUnanswered,
    /// No attempt starts after its client has left.
    SentAfterLeft,
    /// No cache is given more time than the client has left.
    DeadlineExceeded,
    /// No router ends by itself, or with an error.
    Crashed,
    /// Every router ends in time after SIGTERM.
    NotEnded,
    /// No router counts a violation of its own invariants.
    Inside,
    /// No router's process has more memory resident than is configured.
    MemoryExceeded,
}

/// The report of a soak run, in addition to [`SocketRunMetrics`].
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Violations by invariant: their number, and descriptions of the first ones.
    pub violations: BTreeMap<Invariant, (u64, Vec<String>)>,
    /// The number of planned faults, by name.
    pub planned: BTreeMap<&'static str, u64>,
    /// The number of faults that were triggered, by name.
    pub triggered: BTreeMap<&'static str, u64>,
    /// The number of missing answers that were not judged since the harness was late.
    pub unjudged: u64,
    /// The number of router processes that were started.
    pub processes: u64,
    /// The highest share of its configured memory that a router's process had resident.
    pub highest_memory_share: f64,
}

impl SoakReport {
    /// The names of faults that were planned and never triggered.
    pub fn untriggered(&self) -> Vec<&'static str> {
        self.planned.keys().filter(|name| !self.triggered.contains_key(*name)).copied().collect()
    }
}
