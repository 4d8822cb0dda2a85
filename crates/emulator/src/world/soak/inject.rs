//! The injection of faults into routers, clients, caches and the change log.

use super::*;
use crate::net::{run_misbehaving_client, Misbehaviour};

/// The number of connections that are opened while accepts fail, so that some of them are affected.
const CONNECTS_UNDER_FAULT: usize = 16;
/// The signals of a series with which a router in use is told to end.
const SIGNALS_WITH_TERM: &[&str] = &["HUP", "USR1", "TERM", "HUP", "TERM", "USR1"];
/// A fault that needs a running router is delayed by this while the router isn't up.
const FAULT_RETRY_MS: Ms = 100.0;

impl World<'_> {
    /// Injects a planned fault, once its router is up.
    pub(in crate::world) async fn inject_fault(&mut self, now: Ms, index: usize) {
        let Some(planned) = self.soak.as_ref().and_then(|s| s.plan.get(index).copied()) else { return };
        let (r, until) = (planned.router, now + planned.for_ms);
        let Some(soak) = &mut self.soak else { return };
        let up = matches!(soak.routers[r].process_state, ProcessState::Up) && !soak.routers[r].stopped;
        if !up {
            return self.schedule(now + FAULT_RETRY_MS, WorldEvent::Fault { index });
        }
        if matches!(planned.fault, SoakFault::Stop | SoakFault::LogSilent | SoakFault::LogDown) {
            let outage_end = &mut soak.routers[r].change_log_outage_end;
            *outage_end = outage_end.max(until + CHANGE_LOG_RECONNECT_MS);
        }
        match planned.fault {
            SoakFault::Terminate | SoakFault::TerminateInUse => {
                let in_use = planned.fault == SoakFault::TerminateInUse;
                soak.routers[r].process_state = ProcessState::Ending { since: now, in_use };
                let signals = if in_use { SIGNALS_WITH_TERM } else { &["TERM"] };
                signals.iter().for_each(|signal| self.routers[r].process.signal(signal));
                self.schedule(now + PROCESS_CHECK_INTERVAL_MS, WorldEvent::ProcessCheck { router: r });
            }
            SoakFault::Signals(times) => {
                let signals = ["HUP", "USR1"].into_iter().cycle().take(times as usize);
                signals.for_each(|signal| self.routers[r].process.signal(signal));
            }
            SoakFault::Kill => {
                self.routers[r].process.kill();
                self.save_log(r);
                self.restart(now, r);
                return self.count_triggered(&planned.fault);
            }
            SoakFault::Stop => {
                soak.routers[r].stopped = true;
                soak.routers[r].excused_until = until + READ_AFTER_STOP_MS;
                self.routers[r].process.signal("STOP");
                self.schedule(until, WorldEvent::FaultEnd { index });
            }
            SoakFault::Reload(times) => {
                (0..times).for_each(|_| self.routers[r].process.signal("HUP"));
            }
            SoakFault::WallStep(ms) => self.set_call_fault(r, Fault::WallClock, ms),
            SoakFault::Calls(fault, one_in) => {
                if fault == Fault::Broken {
                    soak.routers[r].connections_break_until = until + READ_AFTER_STOP_MS;
                }
                if fault == Fault::Accept {
                    (0..CONNECTS_UNDER_FAULT).for_each(|_| self.misbehave(r, Misbehaviour::Silence));
                }
                self.set_call_fault(r, fault, one_in);
                self.schedule(until, WorldEvent::FaultEnd { index });
            }
            SoakFault::LogSilent => {
                let end = Instant::now() + duration(planned.for_ms);
                soak.routers[r].change_log.silent_until.set(Some(end));
            }
            SoakFault::LogDown => {
                let end = Instant::now() + duration(planned.for_ms);
                soak.routers[r].change_log.down_until.set(Some(end));
            }
            SoakFault::LogUnread => {
                self.routers[r].process.set_log_reading(false);
                self.schedule(until, WorldEvent::FaultEnd { index });
            }
            SoakFault::ClientsLeave => self.close_client_connections(now, r),
            SoakFault::ClientsCancel => self.cancel_all_requests(now, r),
            SoakFault::ClientFlood(clients) => {
                let kinds = [Misbehaviour::Garbage, Misbehaviour::PartialRequest, Misbehaviour::Silence];
                (0..clients as usize).for_each(|i| self.misbehave(r, kinds[i % kinds.len()]));
            }
            SoakFault::Crowd(clients) => {
                let kinds = [Misbehaviour::SlowWrite, Misbehaviour::PartialWrite, Misbehaviour::UnreadProbes];
                (0..clients as usize).for_each(|i| self.misbehave(r, kinds[i % kinds.len()]));
            }
            SoakFault::Pipeline(requests) => self.send_requests_at_once(now, r, requests).await,
            SoakFault::CacheReset => {
                let running = self.node_statuses.iter().filter(|s| s.accepts.get());
                running.for_each(|s| s.close_connections());
            }
            SoakFault::CacheMute => {
                soak.probes_unanswered_until = until;
                self.node_statuses.iter().for_each(|s| s.answers_probes.set(false));
                self.schedule(until, WorldEvent::FaultEnd { index });
            }
            SoakFault::CacheTwice => soak.answer_twice_until = until,
            SoakFault::CacheHalf => soak.cut_answers_until = until,
        }
        let counted_later =
            matches!(planned.fault, SoakFault::Terminate | SoakFault::TerminateInUse | SoakFault::Calls(..));
        if !counted_later {
            self.count_triggered(&planned.fault);
        }
    }

    pub(super) fn count_triggered(&mut self, fault: &SoakFault) {
        self.soak.iter_mut().for_each(|soak| soak.count_triggered(fault));
    }

    fn set_call_fault(&mut self, r: usize, fault: Fault, value: i64) {
        let faults = self.soak.as_ref().and_then(|s| s.routers[r].faults.as_ref());
        if let Some(Err(e)) = faults.map(|f| f.set(fault, value)) {
            log::warn!("fault {fault:?} of router {r} not set: {e}");
        }
    }

    /// Connects a misbehaving client to a router.
    fn misbehave(&self, r: usize, misbehaviour: Misbehaviour) {
        let address = self.routers[r].process.address;
        self.net.executor.spawn(run_misbehaving_client(address, misbehaviour)).detach();
    }

    async fn send_requests_at_once(&mut self, now: Ms, r: usize, requests: u32) {
        for _ in 0..requests {
            let Some(mut arrival) = self.routers[r].arrivals.next() else { return };
            arrival.at = now;
            self.metrics.requests += 1;
            self.send_request(now, r, ClientRequest { arrival, retries: 0 }).await;
        }
    }

    /// Ends a fault with a duration.
    pub(in crate::world) fn end_fault(&mut self, now: Ms, index: usize) {
        let Some(soak) = &mut self.soak else { return };
        let Some(planned) = soak.plan.get(index).copied() else { return };
        let r = planned.router;
        match planned.fault {
            SoakFault::Stop => {
                soak.routers[r].stopped = false;
                soak.routers[r].excused_until = now + READ_AFTER_STOP_MS;
                self.routers[r].process.signal("CONT");
            }
            SoakFault::Calls(fault, _) => self.set_call_fault(r, fault, 0),
            SoakFault::LogUnread => self.routers[r].process.set_log_reading(true),
            SoakFault::CacheMute if now >= soak.probes_unanswered_until => {
                self.node_statuses.iter().for_each(|s| s.answers_probes.set(true));
            }
            _ => {}
        }
    }

    /// Records that a request needs no answer any more, since its client has left or its router was ended.
    pub(in crate::world) fn release_request(&mut self, now: Ms, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.answered = true;
            // Attempts that cross the end of the request are no violation; later ones are judged when they are received.
            self.schedule(now + LEAVE_CROSSING_MS, WorldEvent::ClientLeft { request: number });
        }
        self.soak.iter_mut().for_each(|soak| soak.client_left(now, number));
    }

    fn close_client_connections(&mut self, now: Ms, r: usize) {
        let closed: Vec<ClientConnection> = self.routers[r].connections.drain(..).collect();
        for connection in closed {
            // An empty message closes the connection.
            let _ = connection.outgoing.try_send(Vec::new());
            connection.open.into_values().for_each(|number| self.release_request(now, number));
        }
    }

    /// Cancels a client's request unless it is answered.
    pub(in crate::world) fn cancel_request(&mut self, now: Ms, number: u64) {
        let Some(request) = self.requests.get(&number).filter(|r| !r.answered) else { return };
        let (router, conn, tag) = (request.router, request.conn, request.tag);
        let connections = &mut self.routers[router].connections;
        let Some(connection) = connections.iter_mut().find(|c| c.id == conn) else { return };
        if connection.open.remove(&tag).is_some() {
            let _ = connection.outgoing.try_send(encode(&[b"UNDO", tag.to_string().as_bytes(), b""]));
            self.release_request(now, number);
        }
    }

    fn cancel_all_requests(&mut self, now: Ms, r: usize) {
        let mut cancelled = Vec::new();
        for connection in &mut self.routers[r].connections {
            for (tag, number) in std::mem::take(&mut connection.open) {
                let _ = connection.outgoing.try_send(encode(&[b"UNDO", tag.to_string().as_bytes(), b""]));
                cancelled.push(number);
            }
        }
        cancelled.into_iter().for_each(|number| self.release_request(now, number));
    }

    /// Adds the hits of the fault injection library to the triggered faults.
    pub(in crate::world) fn count_call_faults(&mut self) {
        let Some(soak) = &mut self.soak else { return };
        for faults in soak.routers.iter().filter_map(|r| r.faults.as_ref()) {
            for fault in Fault::ALL.into_iter().filter(|f| *f != Fault::WallClock) {
                let hits = faults.hits(fault).unwrap_or(0);
                if hits > 0 {
                    *soak.report.triggered.entry(SoakFault::Calls(fault, 0).name()).or_default() += hits;
                }
            }
        }
    }

    /// Judges a fetch that a node received with this deadline.
    pub(in crate::world) fn check_fetch(&mut self, now: Ms, number: u64, deadline: Option<Ms>) {
        let Some(soak) = &mut self.soak else { return };
        let known = self.requests.get(&number).map(|request| {
            let arrival = &request.client.arrival;
            let client_deadline = arrival.at + self.setup.load.classes[arrival.class].deadline_ms;
            let sender = format!("of router {}, attempt {}", request.router, request.attempts);
            (client_deadline - now, sender)
        });
        let (left, sender) = known.unwrap_or((f64::INFINITY, "without a waiting client".into()));
        soak.check_fetch(now, number, deadline.unwrap_or(0.0), left, &sender);
    }

    /// Sends a cache's answer, as the injected faults of caches allow.
    pub(in crate::world) fn send_answer(&mut self, now: Ms, outgoing: &Sender<Vec<u8>>, message: Vec<u8>) {
        let (twice, cut) = self
            .soak
            .as_ref()
            .map_or((false, false), |s| (now < s.answer_twice_until, now < s.cut_answers_until));
        if cut && self.draw_between([0.0, CUT_ANSWER_ONE_IN]) < 1.0 {
            let _ = outgoing.try_send(message[..message.len() / 2].to_vec());
            let _ = outgoing.try_send(Vec::new());
            return;
        }
        if twice {
            let _ = outgoing.try_send(message.clone());
        }
        let _ = outgoing.try_send(message);
    }
}

fn duration(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
