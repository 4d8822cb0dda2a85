//! Faults as they are done to routers, clients, caches and the change log, and taken back.

use super::*;
use crate::net::{flood, FloodKind};

/// Connections made while accepts fail, so that some do.
const CONNECTS_UNDER_FAULT: usize = 16;

impl World<'_> {
    /// Does a planned fault.
    pub(in crate::world) async fn fault(&mut self, now: Ms, index: usize) {
        let Some(planned) = self.soak.as_ref().and_then(|s| s.plan.get(index).copied()) else { return };
        let (r, until) = (planned.router, now + planned.for_ms);
        let Some(soak) = &mut self.soak else { return };
        let up = matches!(soak.seats[r].state, SeatState::Up) && !soak.seats[r].stopped;
        // What needs a running router waits for one.
        if !up {
            return self.at(now + 100.0, Ev::Fault(index));
        }
        if matches!(planned.fault, SoakFault::Stop | SoakFault::LogSilent | SoakFault::LogDown) {
            let deaf = &mut soak.seats[r].deaf_until;
            *deaf = deaf.max(until + ASKS_AGAIN_MS);
        }
        match planned.fault {
            SoakFault::Terminate => {
                soak.seats[r].state = SeatState::Ending(now);
                self.seats[r].process.terminate();
                self.at(now + SEAT_LOOK_MS, Ev::Seat(r));
            }
            SoakFault::Kill => {
                self.seats[r].process.kill();
                self.keep_log(r);
                self.restart(now, r);
                return self.count(&planned.fault);
            }
            SoakFault::Stop => {
                soak.seats[r].stopped = true;
                soak.seats[r].excused_until = until + AFTER_STOP_MS;
                self.seats[r].process.signal("STOP");
                self.at(until, Ev::FaultOver(index));
            }
            SoakFault::Reload(times) => {
                (0..times).for_each(|_| self.seats[r].process.signal("HUP"));
            }
            SoakFault::WallStep(ms) => self.set_fault(r, Fault::WallClock, ms),
            SoakFault::Calls(fault, one_in) => {
                if fault == Fault::Accept {
                    let at = self.seats[r].process.address;
                    (0..CONNECTS_UNDER_FAULT).for_each(|_| {
                        self.net.executor.spawn(flood(at, FloodKind::Silent)).detach();
                    });
                }
                if fault == Fault::Broken {
                    soak.seats[r].broken_until = until + AFTER_STOP_MS;
                }
                self.set_fault(r, fault, one_in);
                self.at(until, Ev::FaultOver(index));
            }
            SoakFault::LogSilent => {
                soak.seats[r].log.silent_until.set(Some(Instant::now() + span(planned.for_ms)))
            }
            SoakFault::LogDown => {
                soak.seats[r].log.down_until.set(Some(Instant::now() + span(planned.for_ms)))
            }
            SoakFault::LogUnread => {
                self.seats[r].process.set_log_reading(false);
                self.at(until, Ev::FaultOver(index));
            }
            SoakFault::ClientsLeave => self.clients_leave(now, r),
            SoakFault::ClientsCancel => self.clients_cancel(now, r),
            SoakFault::ClientFlood(many) => {
                let at = self.seats[r].process.address;
                for i in 0..many {
                    let kind = [FloodKind::Garbage, FloodKind::Half, FloodKind::Silent][i as usize % 3];
                    self.net.executor.spawn(flood(at, kind)).detach();
                }
            }
            SoakFault::Pipeline(many) => {
                for _ in 0..many {
                    let Some(mut what) = self.seats[r].arrivals.next() else { break };
                    what.at = now;
                    self.metrics.requests += 1;
                    self.take(now, r, Member { what, tries: 0 }).await;
                }
            }
            SoakFault::CacheReset => {
                for status in self.statuses.iter().filter(|s| s.up.get()) {
                    status.life.set(status.life.get() + 1);
                }
            }
            SoakFault::CacheMute => {
                soak.mute_until = until;
                self.statuses.iter().for_each(|s| s.talks.set(false));
                self.at(until, Ev::FaultOver(index));
            }
            SoakFault::CacheTwice => soak.twice_until = until,
            SoakFault::CacheHalf => soak.half_until = until,
        }
        let counted_later = matches!(planned.fault, SoakFault::Terminate | SoakFault::Calls(..));
        if !counted_later {
            self.count(&planned.fault);
        }
    }

    pub(super) fn count(&mut self, fault: &SoakFault) {
        self.soak.iter_mut().for_each(|soak| soak.happened(fault));
    }

    fn set_fault(&mut self, r: usize, fault: Fault, value: i64) {
        let faults = self.soak.as_ref().and_then(|s| s.seats[r].faults.as_ref());
        if let Some(Err(e)) = faults.map(|f| f.set(fault, value)) {
            log::warn!("a fault of router {r} was not set: {e}");
        }
    }

    /// What a fault did for a while is over.
    pub(in crate::world) fn fault_over(&mut self, now: Ms, index: usize) {
        let Some(soak) = &mut self.soak else { return };
        let Some(planned) = soak.plan.get(index).copied() else { return };
        let r = planned.router;
        match planned.fault {
            SoakFault::Stop => {
                soak.seats[r].stopped = false;
                soak.seats[r].excused_until = now + AFTER_STOP_MS;
                self.seats[r].process.signal("CONT");
            }
            SoakFault::Calls(fault, _) => self.set_fault(r, fault, 0),
            SoakFault::LogUnread => self.seats[r].process.set_log_reading(true),
            SoakFault::CacheMute if now >= soak.mute_until => {
                self.statuses.iter().for_each(|s| s.talks.set(true));
            }
            _ => {}
        }
    }

    /// A request that no router owes any more.
    pub(in crate::world) fn forgive(&mut self, now: Ms, no: u64) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.answered = true;
            // What is on its way then is no fault; what begins later is judged when it is fetched.
            self.at(now + CROSSING_MS, Ev::Left(no));
        }
        self.soak.iter_mut().for_each(|soak| soak.client_left(now, no));
    }

    fn clients_leave(&mut self, now: Ms, r: usize) {
        let left: Vec<ClientConn> = self.seats[r].clients.drain(..).collect();
        for client in left {
            // An empty message ends the connection.
            let _ = client.out.try_send(Vec::new());
            client.open.into_values().for_each(|no| self.forgive(now, no));
        }
    }

    /// A client takes its request back, unless that is answered.
    pub(in crate::world) fn cancel(&mut self, now: Ms, no: u64) {
        let Some(request) = self.requests.get(&no).filter(|r| !r.answered) else { return };
        let (router, conn, tag) = (request.router, request.conn, request.tag);
        let Some(client) = self.seats[router].clients.iter_mut().find(|c| c.conn == conn) else { return };
        if client.open.remove(&tag).is_some() {
            let _ = client.out.try_send(encode(&[b"UNDO", tag.to_string().as_bytes(), b""]));
            self.forgive(now, no);
        }
    }

    fn clients_cancel(&mut self, now: Ms, r: usize) {
        let mut taken_back = Vec::new();
        for client in &mut self.seats[r].clients {
            for (tag, no) in std::mem::take(&mut client.open) {
                let _ = client.out.try_send(encode(&[b"UNDO", tag.to_string().as_bytes(), b""]));
                taken_back.push(no);
            }
        }
        taken_back.into_iter().for_each(|no| self.forgive(now, no));
    }

    /// At the end: what was injected, and how the last processes counted.
    pub(in crate::world) fn soak_over(&mut self) {
        let Some(soak) = &mut self.soak else { return };
        for r in 0..soak.seats.len() {
            let Some(faults) = &soak.seats[r].faults else { continue };
            for fault in Fault::ALL {
                let hits = faults.hits(fault).unwrap_or(0);
                if hits > 0 && fault != Fault::WallClock {
                    *soak.report.triggered.entry(SoakFault::Calls(fault, 0).name()).or_default() += hits;
                }
            }
        }
    }

    /// A fetch has arrived; it may tell how long the router waits.
    pub(in crate::world) fn fetched(&mut self, now: Ms, no: u64, told: Option<Ms>) {
        let Some(soak) = &mut self.soak else { return };
        let left = self.requests.get(&no).map(|r| {
            let what = &r.member.what;
            let due = what.at + self.setup.load.classes[what.class].deadline_ms;
            (due - now, format!("of router {}, attempt {}", r.router, r.attempts))
        });
        let (left, about) = left.unwrap_or((f64::INFINITY, "that nobody waits for".into()));
        soak.fetched(now, no, told.unwrap_or(0.0), left, &about);
    }

    /// Writes a cache's answer, as the caches behave now.
    pub(in crate::world) fn send_answer(&mut self, now: Ms, out: &Sender<Vec<u8>>, message: Vec<u8>) {
        let (twice, half) =
            self.soak.as_ref().map_or((false, false), |s| (now < s.twice_until, now < s.half_until));
        if half && self.between([0.0, HALF_ONE_IN]) < 1.0 {
            let _ = out.try_send(message[..message.len() / 2].to_vec());
            let _ = out.try_send(Vec::new());
            return;
        }
        if twice {
            let _ = out.try_send(message.clone());
        }
        let _ = out.try_send(message);
    }
}

fn span(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
