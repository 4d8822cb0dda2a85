//! Routers' processes during a soak run: started, looked at, ended and started again with what the change log has told by then.

use super::*;
use serde_json::json;

/// For so long a process that does not end is asked for its counters.
const LAST_COUNTERS: Duration = Duration::from_millis(300);

impl World<'_> {
    /// Looks at a router that ends or starts.
    pub(in crate::world) async fn look_at_seat(&mut self, now: Ms, r: usize) {
        let longest = self.setup.load.classes.iter().map(|c| c.deadline_ms).fold(LONGEST_LEAST_MS, f64::max);
        let Some(soak) = &mut self.soak else { return };
        match &soak.seats[r].state {
            SeatState::Up => return,
            SeatState::Ending(_) if !self.seats[r].process.is_running() => {
                // Else all that it said would be waited for.
                self.seats[r].process.set_log_reading(true);
                let status = self.seats[r].process.wait_for_exit();
                if !status.is_some_and(|s| s.success()) {
                    soak.violated(now, Invariant::Crashed, format!("router {r} ended by {status:?}"));
                }
                self.last_words(r);
                self.count(&SoakFault::Terminate);
                self.restart(now, r);
                return;
            }
            SeatState::Ending(since) if now > since + longest + KILL_AFTER_MS => {
                soak.violated(
                    now,
                    Invariant::NotEnded,
                    format!("router {r} runs {:.0} ms after SIGTERM", now - since),
                );
                // Its counters tell what it waits for.
                let _ = self.seats[r].process.counters(LAST_COUNTERS);
                self.seats[r].process.kill();
                self.keep_log(r);
                self.restart(now, r);
                return;
            }
            SeatState::Ending(_) => {}
            SeatState::Starting(told) => match told.try_recv() {
                Ok(Ok(process)) => {
                    self.seats[r].process = process;
                    soak.seats[r].state = SeatState::Up;
                    for _ in 0..CONNS {
                        self.connect(r).await;
                    }
                    return;
                }
                Ok(Err(e)) => {
                    soak.violated(now, Invariant::Crashed, format!("router {r} did not start: {e}"));
                    return;
                }
                Err(_) => {}
            },
        }
        self.at(now + SEAT_LOOK_MS, Ev::Seat(r));
    }

    /// Takes in what a process that has ended counted.
    pub(in crate::world) fn last_words(&mut self, r: usize) {
        let counters = self.seats[r].process.exit_counters();
        self.keep_log(r);
        let inside: Vec<String> = counters
            .iter()
            .filter(|(name, value)| name.starts_with("violated_") && **value > 0.0)
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        for (name, value) in counters {
            *self.metrics.router_counters.entry(name).or_insert(0.0) += value;
        }
        let Some(soak) = &mut self.soak else { return };
        if !inside.is_empty() {
            let said = self.seats[r].process.log_text();
            let first =
                said.lines().find(|l| l.contains("invariant violated")).unwrap_or_default().to_string();
            let now = self.begun.elapsed().as_secs_f64() * 1000.0;
            soak.violated(now, Invariant::Inside, format!("router {r}: {}; {first}", inside.join(" ")));
        }
    }

    /// Keeps what a process logged beside its files.
    pub(super) fn keep_log(&self, r: usize) {
        let Some(soak) = &self.soak else { return };
        let file = soak.dir.join(format!("router-{r}.{}.log", soak.seats[r].generation));
        if let Err(e) = std::fs::write(&file, self.seats[r].process.log_text()) {
            log::warn!("{}: {e}", file.display());
        }
    }

    /// Starts a router's next process, with what the change log has told by now.
    pub(super) fn restart(&mut self, now: Ms, r: usize) {
        let lost: Vec<u64> = self.seats[r].clients.drain(..).flat_map(|c| c.open.into_values()).collect();
        for no in lost {
            self.forgive(now, no);
        }
        let (log_at, frames, status) = match self.new_log(r) {
            Ok(new) => new,
            Err(e) => {
                log::error!("no change log for router {r}: {e}");
                return;
            }
        };
        let Some(soak) = &self.soak else { return };
        let (config, last) = self.configuration_now(r, log_at, soak);
        self.seats[r].frames = frames;
        self.seats[r].told = last;
        let Some(soak) = &mut self.soak else { return };
        soak.seats[r].log = status;
        soak.seats[r].generation += 1;
        soak.seats[r].state = soak.start(r, config);
        self.at(now + SEAT_LOOK_MS, Ev::Seat(r));
    }

    /// Takes in what is planned, and starts the routers anew under the fault injection library.
    pub(in crate::world) fn plan_soak(
        &mut self,
        plan: &[PlannedFault],
        limits: &SoakLimits,
        binary: &Path,
        dir: &Path,
    ) -> Result<(), String> {
        let routers = self.seats.len();
        let plan: Vec<PlannedFault> =
            plan.iter().map(|p| PlannedFault { router: p.router % routers.max(1), ..*p }).collect();
        let mut soak = Soak::new(&plan, limits, &self.nodes, binary, dir);
        for r in 0..routers {
            let faults = Faults::new(&dir.join(format!("faults-{r}"))).map_err(|e| e.to_string())?;
            soak.seats.push(SoakSeat::new(Some(faults), Rc::default()));
        }
        self.soak = Some(soak);
        // Whether answers come in time is judged when each is due; the checker's own look is later than that.
        let rules = &self.setup.fleet.rules;
        self.checker = Checker::new(&RuleLimits {
            slack_ms: rules.slack_ms + SLACK_MS + 2.0 * CROSSING_MS,
            drain_grace_ms: rules.drain_grace_ms + SLACK_MS,
            purge_grace_ms: rules.purge_grace_ms + SLACK_MS,
            ..rules.clone()
        });
        for r in 0..routers {
            let (log_at, frames, status) = self.new_log(r)?;
            let Some(soak) = &self.soak else { return Ok(()) };
            let (config, last) = self.configuration_now(r, log_at, soak);
            let environment = soak.seats[r].faults.as_ref().map(Faults::environment).unwrap_or_default();
            let process = Process::start_with_environment(binary, dir, r, &config, &environment)?;
            (self.seats[r].process, self.seats[r].frames, self.seats[r].told) = (process, frames, last);
            if let Some(soak) = &mut self.soak {
                soak.seats[r].log = status;
                soak.report.processes += 1;
            }
        }
        Ok(())
    }

    /// A change log of its own for a router's next process.
    fn new_log(&self, _router: usize) -> Result<(SocketAddr, Frames, Rc<LogStatus>), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let (frames, status) = (Frames::default(), Rc::<LogStatus>::default());
        let task = change_log(self.net.clone(), listener, Rc::clone(&frames), Rc::clone(&status));
        self.net.executor.spawn(task).detach();
        Ok((at, frames, status))
    }

    /// A router's configuration with what the change log has told by now, and the number of its last event.
    fn configuration_now(&self, r: usize, log_at: SocketAddr, soak: &Soak) -> (Value, u64) {
        let zone = self.seats[r].zone;
        let near = |i: &usize| {
            let n = &self.nodes[*i];
            (n.zone == 0 || n.zone == zone) && soak.listing[*i].0 != EndpointState::Removed
        };
        let near: Vec<usize> = (0..self.nodes.len()).filter(near).collect();
        let listed: Vec<(&NodeInfo, SocketAddr)> =
            near.iter().map(|i| (&self.nodes[*i], self.seats[r].addresses[*i])).collect();
        let mut config = configuration(self.setup, zone, r, log_at, &listed);
        let generation = soak.seats[r].generation;
        config["seed"] = json!(format!("{:x}", self.setup.seed + r as u64 + 1_000 * (generation + 1)));
        let limits = &mut config["settings"]["limits"];
        limits["connect-timeout"] = json!(soak.limits.connect_timeout_ms);
        limits["max-streams"] = json!(soak.limits.max_streams);
        limits["try-limit"] = json!(soak.limits.max_attempts);
        let mut last = 1;
        let events = &mut config["known"]["results"];
        for (member, i) in near.iter().enumerate() {
            let (listed, started) = soak.listing[*i];
            let phase = if listed == EndpointState::Draining { "DRAINING" } else { "SERVING" };
            events[0]["fleet"]["members"][member]["phase"] = json!(phase);
            events[0]["fleet"]["members"][member]["up_since_ms"] = json!(started);
        }
        let skipped = soak.purges.len().saturating_sub(KNOWN_PURGES);
        for (object, group, time) in soak.purges.iter().skip(skipped) {
            last += 1;
            let purge = match object {
                Some(object) => json!({"object": hex(*object), "time": time}),
                None => json!({"bucket": group, "time": time}),
            };
            if let Some(events) = events.as_array_mut() {
                events.push(json!({"seq": last, "invalidate": purge}));
            }
        }
        config["known"]["seq"] = json!(last);
        (config, last)
    }

    /// Whether a router is sent requests: one that ends takes them for a little longer, one that starts none.
    pub(in crate::world) fn takes(&self, now: Ms, r: usize) -> bool {
        match self.soak.as_ref().map(|s| &s.seats[r].state) {
            None | Some(SeatState::Up) => true,
            Some(SeatState::Ending(since)) => now < since + AFTER_TERM_MS,
            Some(SeatState::Starting(_)) => false,
        }
    }

    /// Until when a router hears nothing of its change log; `None` if it hears it.
    pub(in crate::world) fn deaf_until(&self, now: Ms, r: usize) -> Option<Ms> {
        let until = self.soak.as_ref()?.seats[r].deaf_until;
        (until > now).then_some(until)
    }

    /// Which process of a router runs.
    pub(in crate::world) fn generation(&self, r: usize) -> u64 {
        self.soak.as_ref().map_or(0, |soak| soak.seats[r].generation)
    }

    /// Looks whether a router has ended by itself.
    pub(in crate::world) fn look_at_all(&mut self, now: Ms) {
        for r in 0..self.seats.len() {
            let up = self.soak.as_ref().is_some_and(|s| matches!(s.seats[r].state, SeatState::Up));
            if up && !self.seats[r].process.is_running() {
                let status = self.seats[r].process.wait_for_exit();
                let text = self.seats[r].process.log_text();
                let last = text.lines().rev().take(3).collect::<Vec<_>>().join(" | ");
                let what = format!("router {r} ended by itself, {status:?}: {last}");
                self.soak.iter_mut().for_each(|soak| soak.violated(now, Invariant::Crashed, what.clone()));
                self.restart(now, r);
            }
        }
    }

    /// Before the end: nothing is stopped or held back any more, and what is being started is there.
    pub(in crate::world) fn soak_ends(&mut self) {
        let Some(soak) = &mut self.soak else { return };
        for (seat, of) in self.seats.iter_mut().zip(&mut soak.seats) {
            seat.process.signal("CONT");
            seat.process.set_log_reading(true);
            if let SeatState::Starting(told) = &of.state {
                if let Ok(Ok(process)) = told.recv_timeout(crate::standin::WAIT_LIMIT) {
                    seat.process = process;
                }
            }
            if let Some(faults) = &of.faults {
                Fault::ALL.into_iter().filter(|f| *f != Fault::WallClock).for_each(|f| {
                    let _ = faults.set(f, 0);
                });
            }
        }
    }
}
