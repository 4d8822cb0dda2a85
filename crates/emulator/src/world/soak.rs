//! Faults at routers, clients, caches and the change log during a run, and what is judged beyond the checker's five rules.

mod inject;
mod seats;

use super::*;
use crate::faults::Fault;

/// How often a router that ends or starts is looked at.
const SEAT_LOOK_MS: Ms = 10.0;
/// Requests go on for this long on open connections after SIGTERM.
const AFTER_TERM_MS: Ms = 200.0;
/// Purges that a configuration tells at the most.
const KNOWN_PURGES: usize = 200;
/// One answer in so many is broken off, while caches do that.
const HALF_ONE_IN: f64 = 8.0;
/// One client in so many loses patience before its time, after such a time.
pub(super) const IMPATIENT_ONE_IN: f64 = 12.0;
/// See [`IMPATIENT_ONE_IN`].
pub(super) const PATIENCE_MS: [Ms; 2] = [2.0, 400.0];
/// SIGKILL comes no sooner than this after SIGTERM, beyond the longest deadline.
const KILL_AFTER_MS: Ms = 700.0;
/// The longest deadline counts as no less than this.
const LONGEST_LEAST_MS: Ms = 3_000.0;
/// An attempt that begins later than this after its client has left is a lost request.
const AFTER_LEFT_MS: Ms = 100.0;
/// The deadline that is passed to a cache may exceed what the client has left by this.
const DEADLINE_SLACK_MS: Ms = 150.0;
/// A request that crosses a close by this little is sent again.
const CROSSES_CLOSE_MS: Ms = 50.0;
/// After a stop a router may take this long to come to what lay in its sockets.
const AFTER_STOP_MS: Ms = 300.0;
/// While the harness itself is later than this, answers in time are not judged.
const HARNESS_LATE_MS: Ms = 40.0;
/// How long the harness's lateness is remembered.
const LATE_KEPT_MS: Ms = 1_000.0;
/// After an outage of its change log a router may take this long to ask again.
const ASKS_AGAIN_MS: Ms = 1_000.0;
/// Violations of a kind that are told in words.
const TOLD: usize = 5;

/// What is done to a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SoakFault {
    /// SIGTERM; the router is started again once it has ended.
    Terminate,
    /// SIGKILL; the router is started again at once.
    Kill,
    /// SIGSTOP, and SIGCONT after the duration.
    Stop,
    /// So many SIGHUPs in a row.
    Reload(u32),
    /// The wall clock is stepped by so many milliseconds, for this and later processes at the seat.
    WallStep(i64),
    /// One call in so many fails, for the duration.
    Calls(Fault, i64),
    /// The change log says nothing on open connections, for the duration.
    LogSilent,
    /// The change log ends connections at once, for the duration.
    LogDown,
    /// Nobody reads what the router logs, for the duration.
    LogUnread,
    /// All clients close their connections at once.
    ClientsLeave,
    /// All clients take back what is open.
    ClientsCancel,
    /// So many connections that send garbage, half a message, or nothing.
    ClientFlood(u32),
    /// So many requests at once.
    Pipeline(u32),
    /// Every cache ends its connections with the router.
    CacheReset,
    /// Caches do not say that a connection works, for the duration.
    CacheMute,
    /// Caches answer twice, for the duration.
    CacheTwice,
    /// Caches break some answers off half way, for the duration.
    CacheHalf,
}

impl SoakFault {
    /// Its name in counts.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Terminate => "terminate",
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
            Self::Pipeline(_) => "pipeline",
            Self::CacheReset => "cache_reset",
            Self::CacheMute => "cache_mute",
            Self::CacheTwice => "cache_twice",
            Self::CacheHalf => "cache_half",
        }
    }
}

/// A fault at a time, at a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// When.
    pub at_ms: Ms,
    /// For how long, where that means something.
    pub for_ms: Ms,
    /// Which router.
    pub router: usize,
    /// What.
    pub fault: SoakFault,
}

/// Limits of the routers' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoakLimits {
    /// Time for a connection to a cache to come up.
    pub connect_timeout_ms: Ms,
    /// Requests that a connection to a cache carries.
    pub max_streams: u64,
    /// The most attempts of one request.
    pub max_attempts: u64,
}

/// What is judged beyond the checker's rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request had no answer in time.
    Unanswered,
    /// A request had two answers.
    SecondAnswer,
    /// A connection was closed over a request without an answer.
    ClosedUnanswered,
    /// An attempt began after its client had left.
    SentAfterLeft,
    /// A cache was told of more time than the client had left.
    DeadlineExceeded,
    /// A router ended by itself, or not in order.
    Crashed,
    /// A router did not end in time.
    NotEnded,
    /// A router's own checker counted a violation.
    Inside,
}

/// What a soak run gives beside the figures of [`SocketRunMetrics`].
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Violations: how often, and the first few in words.
    pub violations: BTreeMap<Invariant, (u64, Vec<String>)>,
    /// Faults that were planned, by name.
    pub planned: BTreeMap<&'static str, u64>,
    /// Faults that were triggered, by name.
    pub triggered: BTreeMap<&'static str, u64>,
    /// Answers that could not be judged since the harness was late.
    pub unjudged: u64,
    /// Router processes that ran.
    pub processes: u64,
}

impl SoakReport {
    /// The names of faults that were planned and never triggered.
    pub fn untriggered(&self) -> Vec<&'static str> {
        self.planned.keys().filter(|name| !self.triggered.contains_key(*name)).copied().collect()
    }
}

/// A router's part in a soak run.
pub(super) struct SoakSeat {
    /// Told to the library in the router; `None` where it runs without.
    pub faults: Option<Faults>,
    pub state: SeatState,
    /// It was stopped until then: answers due before are not judged.
    pub excused_until: Ms,
    /// Its connections break without its doing until then.
    pub broken_until: Ms,
    /// It hears nothing of the change log until then, and what that tells counts as told no sooner.
    pub deaf_until: Ms,
    /// Counted up with each process.
    pub generation: u64,
    pub log: Rc<LogStatus>,
    stopped: bool,
}

impl SoakSeat {
    pub(super) fn new(faults: Option<Faults>, log: Rc<LogStatus>) -> Self {
        let state = SeatState::Up;
        Self {
            faults,
            state,
            excused_until: 0.0,
            broken_until: 0.0,
            deaf_until: 0.0,
            generation: 0,
            log,
            stopped: false,
        }
    }
}

/// How far a router's process is.
pub(super) enum SeatState {
    Up,
    /// It was asked to end.
    Ending(Ms),
    /// Its next process is being started.
    Starting(mpsc::Receiver<Result<Process, String>>),
}

/// What a soak run needs beside the world.
pub(super) struct Soak {
    pub plan: Vec<PlannedFault>,
    pub seats: Vec<SoakSeat>,
    /// Where each node is listed, and since when its process runs, in Unix time.
    pub listing: Vec<(EndpointState, u64)>,
    /// What the change log told of purges: object or group, and the Unix time.
    pub purges: Vec<(Option<u64>, u64, u64)>,
    /// How late the harness was lately, and when.
    late: (Ms, Ms),
    /// When the clients of requests left.
    left: HashMap<u64, Ms>,
    pub mute_until: Ms,
    pub twice_until: Ms,
    pub half_until: Ms,
    pub report: SoakReport,
    limits: SoakLimits,
    binary: PathBuf,
    dir: PathBuf,
}

impl Soak {
    pub(super) fn new(
        plan: &[PlannedFault],
        limits: &SoakLimits,
        nodes: &[NodeInfo],
        binary: &Path,
        dir: &Path,
    ) -> Self {
        let listing = nodes
            .iter()
            .map(|n| (if n.spare { EndpointState::Removed } else { EndpointState::Up }, 0))
            .collect();
        let mut report = SoakReport::default();
        for planned in plan {
            *report.planned.entry(planned.fault.name()).or_default() += 1;
        }
        Self {
            plan: plan.to_vec(),
            seats: Vec::new(),
            listing,
            purges: Vec::new(),
            late: (0.0, 0.0),
            left: HashMap::new(),
            mute_until: 0.0,
            twice_until: 0.0,
            half_until: 0.0,
            report,
            limits: *limits,
            binary: binary.into(),
            dir: dir.into(),
        }
    }

    /// The harness came to something this late.
    pub(super) fn harness_late(&mut self, now: Ms, by: Ms) {
        if by >= self.late.0 || now - self.late.1 > LATE_KEPT_MS {
            self.late = (by, now);
        }
    }

    /// How late the harness was lately.
    pub(super) fn lateness(&self, now: Ms) -> Ms {
        if now - self.late.1 > LATE_KEPT_MS {
            0.0
        } else {
            self.late.0
        }
    }

    pub(super) fn violated(&mut self, now: Ms, invariant: Invariant, what: String) {
        let (count, told) = self.report.violations.entry(invariant).or_default();
        *count += 1;
        if told.len() < TOLD {
            told.push(format!("at {now:.0} ms: {what}"));
        }
    }

    fn happened(&mut self, fault: &SoakFault) {
        *self.report.triggered.entry(fault.name()).or_default() += 1;
    }

    /// The client of a request is gone, or has taken it back.
    pub(super) fn client_left(&mut self, now: Ms, request: u64) {
        self.left.insert(request, now);
    }

    /// A fetch arrived.
    pub(super) fn fetched(&mut self, now: Ms, request: u64, told_ms: Ms, left_ms: Ms, about: &str) {
        let late = self.lateness(now);
        let left = self.left.get(&request).copied();
        if let Some(gone) = left.map(|at| now - at).filter(|gone| *gone > AFTER_LEFT_MS + SLACK_MS + late) {
            let what = format!("request {request:016x} {about}: fetched {gone:.0} ms after its client left");
            self.violated(now, Invariant::SentAfterLeft, what);
        }
        if told_ms > left_ms + DEADLINE_SLACK_MS + late {
            let what = format!(
                "request {request:016x} {about}: told {told_ms:.0} ms, its client has {left_ms:.0} ms left"
            );
            self.violated(now, Invariant::DeadlineExceeded, what);
        }
    }

    /// A request had no answer when its time was over, with the slack of sockets.
    pub(super) fn unanswered(&mut self, now: Ms, router: usize, request: u64, asked: Ms) {
        if now < self.seats[router].excused_until || now < self.seats[router].broken_until {
            return;
        }
        if self.lateness(now) > HARNESS_LATE_MS {
            self.report.unjudged += 1;
            return;
        }
        let what =
            format!("router {router}, request {request:016x}: no answer, asked {:.0} ms ago", now - asked);
        self.violated(now, Invariant::Unanswered, what);
    }

    /// The router closed a connection over requests; each was sent at that time.
    pub(super) fn closed(&mut self, now: Ms, router: usize, open: &[(u64, Ms)]) {
        let seat = &self.seats[router];
        if !matches!(seat.state, SeatState::Up | SeatState::Ending(_)) || now < seat.broken_until {
            return;
        }
        let late = self.lateness(now);
        let lost: Vec<u64> =
            open.iter().filter(|(_, sent)| now - sent > CROSSES_CLOSE_MS + late).map(|(no, _)| *no).collect();
        for request in lost {
            let what = format!("router {router}, request {request:016x}: its connection was closed");
            self.violated(now, Invariant::ClosedUnanswered, what);
        }
    }

    /// Starts a router's next process on a thread of its own: that waits until it listens.
    fn start(&mut self, router: usize, config: Value) -> SeatState {
        self.report.processes += 1;
        let (binary, dir) = (self.binary.clone(), self.dir.clone());
        let environment = self.seats[router].faults.as_ref().map(Faults::environment).unwrap_or_default();
        let (tell, told) = mpsc::channel();
        std::thread::spawn(move || {
            let _ = tell.send(Process::start_with_environment(&binary, &dir, router, &config, &environment));
        });
        SeatState::Starting(told)
    }
}
