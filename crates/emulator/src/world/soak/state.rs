//! The state of a soak run, and the judgement of its invariants.

use super::*;

/// A router in a soak run.
pub(in crate::world) struct SoakRouter {
    /// Faults of the process's system calls; `None` if it runs without the fault injection library.
    pub faults: Option<Faults>,
    pub process_state: ProcessState,
    /// Before this time missing answers are not judged, since the router was stopped.
    pub excused_until: Ms,
    /// Before this time connections may break because of an injected fault.
    pub connections_break_until: Ms,
    /// Before this time the router receives nothing from its change log; events count as received no earlier.
    pub change_log_outage_end: Ms,
    /// The number of processes of the router before the current one.
    pub generation: u64,
    pub change_log: Rc<ChangeLogOutage>,
    /// Whether the process is stopped by SIGSTOP.
    pub stopped: bool,
}

impl SoakRouter {
    pub(in crate::world) fn new(faults: Option<Faults>, change_log: Rc<ChangeLogOutage>) -> Self {
        Self {
            faults,
            process_state: ProcessState::Up,
            excused_until: 0.0,
            connections_break_until: 0.0,
            change_log_outage_end: 0.0,
            generation: 0,
            change_log,
            stopped: false,
        }
    }
}

/// The state of a router's process.
pub(in crate::world) enum ProcessState {
    Up,
    /// The process was sent SIGTERM.
    Ending {
        since: Ms,
        /// Whether clients go on sending requests.
        in_use: bool,
    },
    /// The next process is being started on another thread.
    Starting {
        started: mpsc::Receiver<Result<Process, String>>,
    },
}

/// A purge that the change log has published, of an object or else of a group.
pub(in crate::world) struct PublishedPurge {
    pub object: Option<u64>,
    pub group: u64,
    /// The time of the purge, in Unix milliseconds.
    pub time: u64,
}

/// A delay of the harness: by how much it was late, and when.
#[derive(Default)]
struct HarnessDelay {
    delay: Ms,
    at: Ms,
}

/// The state of a soak run in addition to the world's.
pub(in crate::world) struct Soak {
    pub plan: Vec<PlannedFault>,
    pub routers: Vec<SoakRouter>,
    /// The listed state of each node, and the start of its process in Unix milliseconds.
    pub listing: Vec<(EndpointState, u64)>,
    pub purges: Vec<PublishedPurge>,
    /// The longest current delay of the harness.
    harness_delay: HarnessDelay,
    /// When the clients of requests left.
    left_at: HashMap<u64, Ms>,
    pub probes_unanswered_until: Ms,
    pub answer_twice_until: Ms,
    pub cut_answers_until: Ms,
    pub report: SoakReport,
    pub limits: SoakLimits,
    binary: PathBuf,
    pub dir: PathBuf,
}

impl Soak {
    pub(in crate::world) fn new(
        plan: &[PlannedFault],
        limits: &SoakLimits,
        nodes: &[NodeInfo],
        binary: &Path,
        dir: &Path,
    ) -> Self {
        let listed = |n: &NodeInfo| if n.spare { EndpointState::Removed } else { EndpointState::Up };
        let mut report = SoakReport::default();
        for planned in plan {
            *report.planned.entry(planned.fault.name()).or_default() += 1;
        }
        Self {
            plan: plan.to_vec(),
            routers: Vec::new(),
            listing: nodes.iter().map(|n| (listed(n), 0)).collect(),
            purges: Vec::new(),
            harness_delay: HarnessDelay::default(),
            left_at: HashMap::new(),
            probes_unanswered_until: 0.0,
            answer_twice_until: 0.0,
            cut_answers_until: 0.0,
            report,
            limits: *limits,
            binary: binary.into(),
            dir: dir.into(),
        }
    }

    /// Records by how much the harness was late.
    pub(in crate::world) fn record_harness_delay(&mut self, now: Ms, delay: Ms) {
        if delay >= self.harness_delay.delay || self.is_harness_delay_outdated(now) {
            self.harness_delay = HarnessDelay { delay, at: now };
        }
    }

    /// How late the harness was recently.
    fn harness_delay(&self, now: Ms) -> Ms {
        if self.is_harness_delay_outdated(now) {
            0.0
        } else {
            self.harness_delay.delay
        }
    }

    fn is_harness_delay_outdated(&self, now: Ms) -> bool {
        now - self.harness_delay.at > HARNESS_DELAY_RETENTION_MS
    }

    pub(in crate::world) fn violated(&mut self, now: Ms, invariant: Invariant, details: String) {
        let (count, described) = self.report.violations.entry(invariant).or_default();
        *count += 1;
        if described.len() < MAX_DESCRIBED_VIOLATIONS {
            described.push(format!("at {now:.0} ms: {details}"));
        }
    }

    pub(in crate::world) fn count_triggered(&mut self, fault: &SoakFault) {
        *self.report.triggered.entry(fault.name()).or_default() += 1;
    }

    /// Records that the client of a request has left or cancelled the request.
    pub(in crate::world) fn client_left(&mut self, now: Ms, request: u64) {
        self.left_at.insert(request, now);
    }

    /// Judges a fetch that a cache received with this deadline, while the client has this time left.
    pub(in crate::world) fn check_fetch(
        &mut self,
        now: Ms,
        request: u64,
        deadline: Ms,
        client_time_left: Ms,
        sender: &str,
    ) {
        let harness_delay = self.harness_delay(now);
        let since_left = self.left_at.get(&request).map(|at| now - at);
        let limit = SENT_AFTER_LEFT_MS + SOCKET_SLACK_MS + harness_delay;
        if let Some(late) = since_left.filter(|late| *late > limit) {
            let details = format!("request {request:016x} {sender}: sent {late:.0} ms after its client left");
            self.violated(now, Invariant::SentAfterLeft, details);
        }
        if deadline > client_time_left + DEADLINE_SLACK_MS + harness_delay {
            let details = format!(
                "request {request:016x} {sender}: the cache is given {deadline:.0} ms, its client has \
                 {client_time_left:.0} ms left"
            );
            self.violated(now, Invariant::DeadlineExceeded, details);
        }
    }

    /// Judges a request without an answer at its deadline, extended by the slack of sockets.
    pub(in crate::world) fn request_unanswered(&mut self, now: Ms, router: usize, request: u64, sent_at: Ms) {
        let state = &self.routers[router];
        if now < state.excused_until || now < state.connections_break_until {
            return;
        }
        if self.harness_delay(now) > MAX_HARNESS_DELAY_MS {
            self.report.unjudged += 1;
            return;
        }
        let elapsed = now - sent_at;
        let details = format!("router {router}, request {request:016x}: no answer after {elapsed:.0} ms");
        self.violated(now, Invariant::Unanswered, details);
    }

    /// Judges the close of a client's connection by its router, with the open requests and their times of sending.
    pub(in crate::world) fn connection_closed(&mut self, now: Ms, router: usize, open: &[(u64, Ms)]) {
        let state = &self.routers[router];
        let runs = matches!(state.process_state, ProcessState::Up | ProcessState::Ending { .. });
        if !runs || now < state.connections_break_until {
            return;
        }
        let crossing = CLOSE_CROSSING_MS + self.harness_delay(now);
        for (request, _) in open.iter().filter(|(_, sent_at)| now - sent_at > crossing) {
            let details = format!(
                "router {router}, request {request:016x}: the connection was closed before an answer"
            );
            self.violated(now, Invariant::ClosedUnanswered, details);
        }
    }

    /// Starts a router's next process on another thread, which waits until it listens.
    pub(in crate::world) fn start_process(&mut self, router: usize, config: Value) -> ProcessState {
        self.report.processes += 1;
        let (binary, dir) = (self.binary.clone(), self.dir.clone());
        let environment = self.routers[router].faults.as_ref().map(Faults::environment).unwrap_or_default();
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            let process = Process::start_with_environment(&binary, &dir, router, &config, &environment);
            let _ = sender.send(process);
        });
        ProcessState::Starting { started }
    }
}
