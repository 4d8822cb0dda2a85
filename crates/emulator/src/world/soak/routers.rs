//! Routers' processes during a soak run: their start, end and restart with the current state of the change log.

use super::*;
use serde_json::json;

/// How long to wait for the counters in the log of a process that doesn't end.
const LAST_COUNTERS_TIMEOUT: Duration = Duration::from_millis(300);
/// The last lines of a crashed router's log that are reported.
const REPORTED_LOG_LINES: usize = 3;
/// The difference between the seeds of two successive processes of a router.
const SEED_STEP: u64 = 1_000;
/// The line of a router's log that describes a violation of its own invariants.
const OWN_VIOLATION: &str = "invariant violated";

impl World<'_> {
    /// Checks the process of a router that ends or starts, and schedules the next check unless it is up.
    pub(in crate::world) async fn check_process(&mut self, now: Ms, r: usize) {
        let deadlines = self.setup.load.classes.iter().map(|c| c.deadline_ms);
        let longest_deadline = deadlines.fold(MIN_LONGEST_DEADLINE_MS, f64::max);
        let Some(soak) = &mut self.soak else { return };
        match &soak.routers[r].process_state {
            ProcessState::Up => return,
            ProcessState::Ending { .. } if !self.routers[r].process.is_running() => {
                return self.process_ended(now, r);
            }
            ProcessState::Ending { since, .. } if now > since + longest_deadline + KILL_AFTER_MS => {
                let details = format!("router {r} is running {:.0} ms after SIGTERM", now - since);
                soak.violated(now, Invariant::NotEnded, details);
                // The logged counters show what the process waits for.
                let _ = self.routers[r].process.counters(LAST_COUNTERS_TIMEOUT);
                self.routers[r].process.kill();
                self.save_log(r);
                return self.restart(now, r);
            }
            ProcessState::Ending { .. } => {}
            ProcessState::Starting { started } => match started.try_recv() {
                Ok(Ok(process)) => {
                    self.routers[r].process = process;
                    soak.routers[r].process_state = ProcessState::Up;
                    for _ in 0..INITIAL_CONNECTIONS {
                        self.open_connection(r).await;
                    }
                    return;
                }
                Ok(Err(e)) => {
                    let details = format!("router {r} did not start: {e}");
                    return soak.violated(now, Invariant::Crashed, details);
                }
                Err(_) => {}
            },
        }
        self.schedule(now + PROCESS_CHECK_INTERVAL_MS, WorldEvent::ProcessCheck { router: r });
    }

    /// Restarts a router whose process ended after SIGTERM.
    fn process_ended(&mut self, now: Ms, r: usize) {
        let fault = match self.soak.as_ref().map(|soak| &soak.routers[r].process_state) {
            Some(ProcessState::Ending { in_use: true, .. }) => SoakFault::TerminateInUse,
            _ => SoakFault::Terminate,
        };
        self.count_triggered(&fault);
        // The process's exit is waited for up to the end of its log, which therefore has to be read.
        self.routers[r].process.set_log_reading(true);
        let status = self.routers[r].process.wait_for_exit();
        if !status.is_some_and(|s| s.success()) {
            let details = format!("router {r} ended after SIGTERM with {status:?}");
            self.violated(now, Invariant::Crashed, details);
        }
        self.collect_counters(r);
        self.restart(now, r);
    }

    fn violated(&mut self, now: Ms, invariant: Invariant, details: String) {
        if let Some(soak) = &mut self.soak {
            soak.violated(now, invariant, details);
        }
    }

    /// Adds the counters of an ended process to the sums, and judges its own invariants.
    pub(in crate::world) fn collect_counters(&mut self, r: usize) {
        let counters = self.routers[r].process.exit_counters();
        self.save_log(r);
        let violated: Vec<String> = counters
            .iter()
            .filter(|(name, value)| name.starts_with("violated_") && **value > 0.0)
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        for (name, value) in counters {
            *self.metrics.router_counters.entry(name).or_insert(0.0) += value;
        }
        if self.soak.is_some() && !violated.is_empty() {
            let log = self.routers[r].process.log_text();
            let first = log.lines().find(|line| line.contains(OWN_VIOLATION)).unwrap_or_default();
            let details = format!("router {r}: {}; {first}", violated.join(" "));
            self.violated(self.now(), Invariant::Inside, details);
        }
    }

    /// Saves the log of a router's process beside its files.
    pub(super) fn save_log(&self, r: usize) {
        let Some(soak) = &self.soak else { return };
        let file = soak.dir.join(format!("router-{r}.{}.log", soak.routers[r].generation));
        if let Err(e) = std::fs::write(&file, self.routers[r].process.log_text()) {
            log::warn!("log of router {r} not saved to {}: {e}", file.display());
        }
    }

    /// Starts a router's next process, with the current state of the change log.
    pub(super) fn restart(&mut self, now: Ms, r: usize) {
        let open: Vec<u64> =
            self.routers[r].connections.drain(..).flat_map(|c| c.open.into_values()).collect();
        for number in open {
            self.release_request(now, number);
        }
        let (address, frames, change_log) = match self.start_change_log() {
            Ok(started) => started,
            Err(e) => {
                log::error!("change log of router {r} not started: {e}");
                return;
            }
        };
        let Some(soak) = &self.soak else { return };
        let (config, last_number) = self.current_configuration(r, address, soak);
        self.routers[r].frames = frames;
        self.routers[r].last_frame_number = last_number;
        let Some(soak) = &mut self.soak else { return };
        soak.routers[r].change_log = change_log;
        soak.routers[r].generation += 1;
        soak.routers[r].process_state = soak.start_process(r, config);
        self.schedule(now + PROCESS_CHECK_INTERVAL_MS, WorldEvent::ProcessCheck { router: r });
    }

    /// Prepares the planned faults, and starts the routers anew under the fault injection library.
    pub(in crate::world) fn start_soak(
        &mut self,
        plan: &[PlannedFault],
        limits: &SoakLimits,
        binary: &Path,
        dir: &Path,
    ) -> Result<(), String> {
        let routers = self.routers.len();
        let plan: Vec<PlannedFault> =
            plan.iter().map(|p| PlannedFault { router: p.router % routers.max(1), ..*p }).collect();
        let mut soak = Soak::new(&plan, limits, &self.nodes, binary, dir);
        for r in 0..routers {
            let faults = Faults::new(&dir.join(format!("faults-{r}"))).map_err(|e| e.to_string())?;
            soak.routers.push(SoakRouter::new(Some(faults), Rc::default()));
        }
        self.soak = Some(soak);
        // A missing answer is judged at its deadline; the checker's own judgement has to be later.
        let rules = &self.setup.fleet.rules;
        self.checker = Checker::new(&RuleLimits {
            slack_ms: rules.slack_ms + SOCKET_SLACK_MS + 2.0 * LEAVE_CROSSING_MS,
            drain_grace_ms: rules.drain_grace_ms + SOCKET_SLACK_MS,
            purge_grace_ms: rules.purge_grace_ms + SOCKET_SLACK_MS,
            ..rules.clone()
        });
        for r in 0..routers {
            let (address, frames, change_log) = self.start_change_log()?;
            let Some(soak) = &self.soak else { return Ok(()) };
            let (config, last_number) = self.current_configuration(r, address, soak);
            let environment = soak.routers[r].faults.as_ref().map(Faults::environment).unwrap_or_default();
            let router = &mut self.routers[r];
            router.process = Process::start_with_environment(binary, dir, r, &config, &environment)?;
            router.frames = frames;
            router.last_frame_number = last_number;
            if let Some(soak) = &mut self.soak {
                soak.routers[r].change_log = change_log;
                soak.report.processes += 1;
            }
        }
        Ok(())
    }

    /// A router's configuration with the current state of the change log, and the number of its last event.
    fn current_configuration(&self, r: usize, change_log: SocketAddr, soak: &Soak) -> (Value, u64) {
        let zone = self.routers[r].zone;
        let is_listed = |i: &usize| {
            let node = &self.nodes[*i];
            (node.zone == 0 || node.zone == zone) && soak.listing[*i].0 != EndpointState::Removed
        };
        let indices: Vec<usize> = (0..self.nodes.len()).filter(is_listed).collect();
        let listed: Vec<(&NodeInfo, SocketAddr)> =
            indices.iter().map(|i| (&self.nodes[*i], self.routers[r].node_addresses[*i])).collect();
        let mut config = configuration(self.setup, zone, r, change_log, &listed);
        let generation = soak.routers[r].generation;
        config["seed"] = json!(format!("{:x}", self.setup.seed + r as u64 + SEED_STEP * (generation + 1)));
        let limits = &mut config["settings"]["limits"];
        limits["connect-timeout"] = json!(soak.limits.connect_timeout_ms);
        limits["max-streams"] = json!(soak.limits.max_streams);
        limits["try-limit"] = json!(soak.limits.max_attempts);
        config["limits"]["memory_mb"] = json!(soak.limits.memory_mb);
        let mut last_number = 1;
        let events = &mut config["known"]["results"];
        for (member, i) in indices.iter().enumerate() {
            let (state, started) = soak.listing[*i];
            let phase = if state == EndpointState::Draining { "DRAINING" } else { "SERVING" };
            events[0]["fleet"]["members"][member]["phase"] = json!(phase);
            events[0]["fleet"]["members"][member]["up_since_ms"] = json!(started);
        }
        let older = soak.purges.len().saturating_sub(MAX_KNOWN_PURGES);
        for purge in soak.purges.iter().skip(older) {
            last_number += 1;
            let invalidate = match purge.object {
                Some(object) => json!({"object": hex(object), "time": purge.time}),
                None => json!({"bucket": purge.group, "time": purge.time}),
            };
            if let Some(events) = events.as_array_mut() {
                events.push(json!({"seq": last_number, "invalidate": invalidate}));
            }
        }
        config["known"]["seq"] = json!(last_number);
        (config, last_number)
    }

    /// Whether requests are sent to a router: one that ends gets them for a short time more, one that starts gets none.
    pub(in crate::world) fn accepts_requests(&self, now: Ms, r: usize) -> bool {
        match self.soak.as_ref().map(|s| &s.routers[r].process_state) {
            None | Some(ProcessState::Up) => true,
            Some(ProcessState::Ending { since, in_use }) => *in_use || now < since + REQUESTS_AFTER_TERM_MS,
            Some(ProcessState::Starting { .. }) => false,
        }
    }

    /// When a router receives events of its change log again; `None` if it receives them now.
    pub(in crate::world) fn change_log_outage_end(&self, now: Ms, r: usize) -> Option<Ms> {
        let end = self.soak.as_ref()?.routers[r].change_log_outage_end;
        (end > now).then_some(end)
    }

    /// The number of processes of a router before the current one.
    pub(in crate::world) fn generation(&self, r: usize) -> u64 {
        self.soak.as_ref().map_or(0, |soak| soak.routers[r].generation)
    }

    /// Reports routers whose process has more memory resident than is configured.
    pub(in crate::world) fn check_memory(&mut self, now: Ms) {
        for r in 0..self.routers.len() {
            let Some(soak) = &mut self.soak else { return };
            let Some(peak) = self.routers[r].process.peak_resident_bytes() else { continue };
            let share = peak as f64 / (soak.limits.memory_mb as f64 * 1e6);
            soak.report.highest_memory_share = soak.report.highest_memory_share.max(share);
            if share > 1.0 {
                let details = format!("router {r}: a peak of {peak} bytes of {} MB", soak.limits.memory_mb);
                soak.violated(now, Invariant::MemoryExceeded, details);
            }
        }
    }

    /// Reports routers whose process has ended by itself, and restarts them.
    pub(in crate::world) fn check_for_crashes(&mut self, now: Ms) {
        for r in 0..self.routers.len() {
            let soak = self.soak.as_ref();
            let up = soak.is_some_and(|s| matches!(s.routers[r].process_state, ProcessState::Up));
            if up && !self.routers[r].process.is_running() {
                let status = self.routers[r].process.wait_for_exit();
                let log = self.routers[r].process.log_text();
                let last_lines = log.lines().rev().take(REPORTED_LOG_LINES).collect::<Vec<_>>().join(" | ");
                let details = format!("router {r} ended by itself, {status:?}: {last_lines}");
                self.violated(now, Invariant::Crashed, details);
                self.restart(now, r);
            }
        }
    }

    /// Ends all faults but the step of the wall clock before the routers are ended, and waits for routers that are being started.
    pub(in crate::world) fn end_faults(&mut self) {
        let Some(soak) = &mut self.soak else { return };
        for (router, state) in self.routers.iter_mut().zip(&mut soak.routers) {
            router.process.signal("CONT");
            router.process.set_log_reading(true);
            if let ProcessState::Starting { started } = &state.process_state {
                if let Ok(Ok(process)) = started.recv_timeout(crate::standin::WAIT_LIMIT) {
                    router.process = process;
                }
            }
            if let Some(faults) = &state.faults {
                Fault::ALL.into_iter().filter(|f| *f != Fault::WallClock).for_each(|f| {
                    let _ = faults.set(f, 0);
                });
            }
        }
    }
}
