//! The events of a run that are scheduled for a time, and their processing.

use super::*;

/// The time between two periodic checks.
const CHECK_INTERVAL_MS: Ms = 1_000.0;
/// The number of a class's most popular objects from which random purges are drawn.
const PURGED_OBJECTS: u64 = 200;

/// A client's request, over all retries.
#[derive(Clone)]
pub(super) struct ClientRequest {
    pub arrival: Arrival,
    pub retries: u32,
}

pub(super) enum WorldEvent {
    /// The next request arrives at a router.
    Arrival {
        router: usize,
    },
    /// A client retries its request.
    Retry {
        router: usize,
        client: ClientRequest,
    },
    /// The deadline of a request has passed.
    Deadline {
        request: u64,
    },
    /// The client of a request has left, and no more of its attempts can be on their way.
    ClientLeft {
        request: u64,
    },
    Script {
        index: usize,
    },
    /// The change log publishes an event to a router's process of this generation.
    ChangeLogEvent {
        router: usize,
        generation: u64,
        kind: u8,
        payload: Vec<u8>,
        observation: Option<Observation>,
    },
    /// The checker observes an event that a router receives only now.
    Observe {
        observation: Observation,
    },
    Fault {
        index: usize,
    },
    FaultEnd {
        index: usize,
    },
    /// A client cancels its request before the deadline.
    Cancel {
        request: u64,
    },
    /// The process of a router that ends or starts is checked.
    ProcessCheck {
        router: usize,
    },
    SettingsReload {
        router: usize,
        text: String,
    },
    NodeStart {
        node: NodeIndex,
    },
    /// A node answers probes again.
    ProbeAnswers {
        node: NodeIndex,
    },
    NextPurge,
    PeriodicCheck,
}

impl World<'_> {
    /// Advances the simulated fleet to the current time, and processes its events.
    pub(super) fn advance_fleet(&mut self, events: &mut Vec<FleetEvent>) {
        let now = self.now();
        self.fleet.advance(now, events);
        for event in events.drain(..) {
            match event {
                FleetEvent::Response { request, response } => self.node_responded(now, request, response),
                FleetEvent::WriteExecuted { write } => {
                    self.checker.observe(now, Observation::WriteExecuted { write })
                }
                FleetEvent::ColdNodeOverloaded { node } => {
                    self.stop_node(node);
                    self.checker.observe(now, Observation::ColdNodeOverloaded { node });
                }
            }
        }
    }

    /// Processes the events that are due.
    pub(super) async fn process_due_events(&mut self) -> Result<(), String> {
        let now = self.now();
        while let Some(Reverse((at, number))) =
            self.due.peek().copied().filter(|Reverse((at, _))| *at <= (now * 1000.0) as u64)
        {
            self.due.pop();
            if let Some(soak) = &mut self.soak {
                soak.record_harness_delay(now, now - at as f64 / 1000.0);
            }
            if let Some(event) = self.events.remove(&number) {
                self.process_event(now, event).await?;
            }
        }
        Ok(())
    }

    async fn process_event(&mut self, now: Ms, event: WorldEvent) -> Result<(), String> {
        match event {
            WorldEvent::Arrival { router } => self.request_arrived(now, router).await,
            WorldEvent::Retry { router, client } => self.send_request(now, router, client).await,
            WorldEvent::Deadline { request } => self.deadline_passed(now, request),
            WorldEvent::ClientLeft { request } => {
                if let Some(r) = self.requests.remove(&request) {
                    self.checker.observe(now, Observation::ClientLeft { request: (r.router, request) });
                }
            }
            WorldEvent::Script { index } => self.process_script_event(now, index)?,
            WorldEvent::ChangeLogEvent { router, generation, kind, payload, observation } => {
                self.publish_frame(now, router, generation, (kind, &payload), observation)
            }
            WorldEvent::Observe { observation } => self.checker.observe(now, observation),
            WorldEvent::Fault { index } => self.inject_fault(now, index).await,
            WorldEvent::FaultEnd { index } => self.end_fault(now, index),
            WorldEvent::Cancel { request } => self.cancel_request(now, request),
            WorldEvent::ProcessCheck { router } => self.check_process(now, router).await,
            WorldEvent::SettingsReload { router, text } => {
                self.routers[router].process.reload_settings(&text)?
            }
            WorldEvent::NodeStart { node } => self.start_node(now, node),
            WorldEvent::ProbeAnswers { node } => self.node_statuses[node.0].answers_probes.set(true),
            WorldEvent::NextPurge => self.purge_random_object(now),
            WorldEvent::PeriodicCheck => {
                self.checker.expire(now);
                self.check_for_crashes(now);
                self.check_memory(now);
                self.schedule(now + CHECK_INTERVAL_MS, WorldEvent::PeriodicCheck);
            }
        }
        Ok(())
    }

    /// Draws the next arrival at a router and schedules it.
    pub(super) fn schedule_arrival(&mut self, r: usize) {
        let next = self.routers[r].arrivals.next().filter(|a| a.at < self.setup.length_ms);
        if let Some(at) = next.as_ref().map(|a| a.at) {
            self.schedule(at, WorldEvent::Arrival { router: r });
        }
        self.routers[r].next_arrival = next;
    }

    async fn request_arrived(&mut self, now: Ms, r: usize) {
        if let Some(arrival) = self.routers[r].next_arrival.take() {
            let weight = self.setup.load.classes[arrival.class].worth;
            self.metrics.requests += 1;
            self.metrics.seconds[(arrival.at / 1000.0) as usize].requested_weight += weight;
            self.generator_delays.saturating_record(((now - arrival.at).max(0.0) * 1000.0) as u64 + 1);
            self.send_request(now, r, ClientRequest { arrival, retries: 0 }).await;
        }
        self.schedule_arrival(r);
    }

    fn purge_random_object(&mut self, now: Ms) {
        let classes = &self.setup.load.classes;
        let class = (self.draw_between([0.0, classes.len() as f64]) as usize).min(classes.len() - 1);
        let objects = self.setup.load.classes[class].objects.clamp(1, PURGED_OBJECTS);
        let rank = self.draw_between([0.0, objects as f64]) as u64;
        self.publish_purge(now, Some(object_id(class, rank)), 0);
        let gap = self.draw_between([0.5, 1.5]) * 1000.0 / self.setup.load.purges_per_s;
        if now + gap < self.setup.length_ms {
            self.schedule(now + gap, WorldEvent::NextPurge);
        }
    }

    /// Publishes an event to a router; the checker observes it once the router can receive it.
    fn publish_frame(
        &mut self,
        now: Ms,
        r: usize,
        generation: u64,
        (kind, payload): (u8, &[u8]),
        observation: Option<Observation>,
    ) {
        // A later process of the router had the event in its configuration when it started.
        if generation != self.generation(r) {
            observation.into_iter().for_each(|o| self.checker.observe(now, o));
            return;
        }
        let router = &mut self.routers[r];
        router.last_frame_number += 1;
        let number = router.last_frame_number;
        router.frames.borrow_mut().push((number, frame(number, kind, payload)));
        let Some(observation) = observation else { return };
        match self.change_log_outage_end(now, r) {
            Some(end) if !matches!(observation, Observation::NodeListed { up: true, .. }) => {
                self.schedule(end, WorldEvent::Observe { observation });
            }
            _ => self.checker.observe(now, observation),
        }
    }
}
