//! Simulated time: the routers with their strategies, the links to the sites, and the gossip between routers.

use super::load::{arrivals, generate_request, site, RandomSequence, LATENCY_OBJECTIVE_MS};
use super::measurements::{Measurements, PendingAnswer};
use super::sites::{AttemptKey, QueuedAttempt, SimulatedSite, SiteModel, FAULTY_SITE};
use super::{RunResult, Setup, StrategyKind};
use crate::api::{
    Action, AttemptKind, EndCause, EndedAttempt, Event, Evidence, GatherNo, GatherStrategy, PartResponse,
    Verdict,
};
use crate::settings::InvalidSetting;
use basaltgw_types::{Ms, RouterId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

/// `Retry-After` of attempts that a site rejects, in milliseconds.
const RETRY_AFTER_MS: Ms = 200.0;
/// One-way delay between a router and a site, in milliseconds.
const NETWORK_DELAY_RANGE_MS: (Ms, Ms) = (0.5, 6.0);
/// Time to assemble an answer, in milliseconds.
const ASSEMBLY_TIME_MS: Ms = 0.5;
/// Number of routers that receive a published observation.
const GOSSIP_FAN_OUT: usize = 8;
/// Time until another router receives a published observation, in milliseconds.
const GOSSIP_DELAY_RANGE_MS: (Ms, Ms) = (100.0, 500.0);

/// What happens at a simulated time. Routers and sites are named by their indices.
#[derive(Debug)]
enum SimulationEvent {
    RequestArrived {
        router: usize,
        nth: usize,
    },
    AttemptArrived {
        site: usize,
        key: AttemptKey,
    },
    AttemptServed {
        site: usize,
        key: AttemptKey,
        arrived_at: Ms,
    },
    /// A site's response, with its processing time in milliseconds, or a rejection.
    ResponseArrived {
        key: AttemptKey,
        outcome: Result<Ms, EndCause>,
    },
    EvidenceArrived {
        to: usize,
        from: usize,
        evidence: Evidence,
    },
    TimerFired {
        router: usize,
        at: Ms,
    },
}

struct SimulatedRouter {
    strategy: Box<dyn GatherStrategy>,
    timer: Option<Ms>,
    pending: BTreeMap<GatherNo, PendingAnswer>,
}

/// An attempt whose router waits for the response.
struct InFlight {
    site: usize,
    sent_at: Ms,
    is_probe: bool,
}

struct World<'a> {
    setup: &'a Setup,
    model: SiteModel<'a>,
    now: Ms,
    /// Times of the scheduled events, as bits, with the events' numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The scheduled events by number.
    events: BTreeMap<u64, SimulationEvent>,
    last_event: u64,
    sites: Vec<SimulatedSite>,
    routers: Vec<SimulatedRouter>,
    in_flight: BTreeMap<AttemptKey, InFlight>,
    measurements: Measurements,
}

/// Simulates one run.
///
/// # Errors
/// [`InvalidSetting`] for the first setting that is out of its range.
pub fn run(setup: &Setup, strategy: StrategyKind) -> Result<RunResult, InvalidSetting> {
    let mut routers = Vec::new();
    for router in 0..setup.routers {
        let seed = RandomSequence::new(setup.seed, 3, router as u64).next().to_bits();
        let strategy = strategy.build(&setup.settings, seed)?;
        routers.push(SimulatedRouter { strategy, timer: None, pending: BTreeMap::new() });
    }
    let mut world = World {
        setup,
        model: SiteModel::new(setup),
        now: 0.0,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last_event: 0,
        sites: (0..setup.sites).map(|_| SimulatedSite::default()).collect(),
        routers,
        in_flight: BTreeMap::new(),
        measurements: Measurements::default(),
    };
    for router in 0..setup.routers {
        world.dispatch(router, Event::FleetSize { routers: setup.routers });
        for (nth, at) in arrivals(setup, router).into_iter().enumerate() {
            world.schedule(at, SimulationEvent::RequestArrived { router, nth });
        }
    }
    while let Some(Reverse((at, number))) = world.queue.pop() {
        world.now = f64::from_bits(at);
        if let Some(event) = world.events.remove(&number) {
            world.process(event);
        }
    }
    let counters: Vec<_> = world.routers.iter().map(|router| router.strategy.counters()).collect();
    Ok(world.measurements.into_result(&counters, setup.fault_window()))
}

impl World<'_> {
    fn schedule(&mut self, at: Ms, event: SimulationEvent) {
        self.last_event += 1;
        self.queue.push(Reverse((at.max(self.now).to_bits(), self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// The one-way delay between a router and a site.
    fn network_delay(&self, router: usize, site: usize) -> Ms {
        let link = (router * self.setup.sites + site) as u64;
        let draw = RandomSequence::new(self.setup.seed, 5, link).next();
        NETWORK_DELAY_RANGE_MS.0 + (NETWORK_DELAY_RANGE_MS.1 - NETWORK_DELAY_RANGE_MS.0) * draw
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrived { router, nth } => self.on_request_arrived(router, nth),
            SimulationEvent::AttemptArrived { site, key } => self.on_attempt_arrived(site, key),
            SimulationEvent::AttemptServed { site, key, arrived_at } => {
                self.on_attempt_served(site, key, arrived_at);
            }
            SimulationEvent::ResponseArrived { key, outcome } => self.on_response_arrived(key, outcome),
            SimulationEvent::EvidenceArrived { to, from, evidence } => {
                let from = RouterId(format!("r{from}").into());
                self.dispatch(to, Event::PeerEvidence { from, evidence });
            }
            SimulationEvent::TimerFired { router, at } => {
                if self.routers[router].timer == Some(at) {
                    self.routers[router].timer = None;
                    self.dispatch(router, Event::Timer);
                }
            }
        }
    }

    fn on_request_arrived(&mut self, router: usize, nth: usize) {
        let request = generate_request(self.setup, router, nth);
        let pending = PendingAnswer {
            arrived_at: self.now,
            in_fault: self.model.is_during_fault(self.now),
            weights: request.parts.iter().map(|part| (part.part, part.priority_weight)).collect(),
        };
        self.measurements.record_request(&pending);
        self.routers[router].pending.insert(request.gather, pending);
        self.dispatch(router, Event::Request(request));
    }

    fn on_attempt_arrived(&mut self, site: usize, key: AttemptKey) {
        if site == FAULTY_SITE {
            self.measurements.record_arrival_at_faulty_site(self.now);
        }
        if self.model.is_silent(site, self.now) {
            return;
        }
        if self.model.is_full(&self.sites[site]) {
            let outcome = Err(EndCause::Rejected { retry_after: RETRY_AFTER_MS });
            return self.respond(site, key, outcome);
        }
        self.sites[site].queue.push_back(QueuedAttempt { key, arrived_at: self.now });
        self.serve_queue(site);
    }

    /// Serves a site's queue up to its capacity; cancelled attempts are skipped.
    fn serve_queue(&mut self, site: usize) {
        let rate = self.model.service_rate(site, self.now);
        while self.sites[site].busy < rate.capacity {
            let Some(QueuedAttempt { key, arrived_at }) = self.sites[site].queue.pop_front() else { return };
            if !self.in_flight.contains_key(&key) {
                continue;
            }
            let served_at = self.now + self.model.processing_time(site, &key, &rate);
            self.sites[site].busy += 1;
            self.schedule(served_at, SimulationEvent::AttemptServed { site, key, arrived_at });
        }
    }

    fn on_attempt_served(&mut self, site: usize, key: AttemptKey, arrived_at: Ms) {
        self.sites[site].busy -= 1;
        if !self.model.is_silent(site, self.now) {
            self.respond(site, key, Ok(self.now - arrived_at));
        }
        self.serve_queue(site);
    }

    fn respond(&mut self, site: usize, key: AttemptKey, outcome: Result<Ms, EndCause>) {
        let at = self.now + self.network_delay(key.router, site);
        self.schedule(at, SimulationEvent::ResponseArrived { key, outcome });
    }

    fn on_response_arrived(&mut self, key: AttemptKey, outcome: Result<Ms, EndCause>) {
        let Some(InFlight { site, sent_at, is_probe }) = self.in_flight.remove(&key) else { return };
        if site == FAULTY_SITE && !is_probe && self.now - sent_at > LATENCY_OBJECTIVE_MS {
            self.measurements.record_wait_for_faulty_site();
        }
        let AttemptKey { router, gather, attempt } = key;
        let event = match outcome {
            Ok(processing_time) => Event::Response(PartResponse {
                gather,
                attempt,
                version: Arc::from("v"),
                origin_time_ms: 1,
                complete: true,
                size_bytes: 1,
                processing_time,
                purges: vec![],
            }),
            Err(cause) => Event::AttemptEnded(EndedAttempt { gather, attempt, cause }),
        };
        self.dispatch(router, event);
    }

    /// Dispatches an event to a router and executes its actions.
    fn dispatch(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].strategy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Fetch { gather, attempt, site: to, kind, .. } => {
                    let Some(site) = (0..self.setup.sites).find(|index| site(*index) == to) else { continue };
                    let key = AttemptKey { router, gather, attempt };
                    let is_probe = kind == AttemptKind::Probe;
                    self.in_flight.insert(key, InFlight { site, sent_at: self.now, is_probe });
                    let arrival = self.now + self.network_delay(router, site);
                    self.schedule(arrival, SimulationEvent::AttemptArrived { site, key });
                }
                Action::DropAttempt(gather, attempt) => {
                    let dropped = self.in_flight.remove(&AttemptKey { router, gather, attempt });
                    if dropped.is_some_and(|attempt| attempt.site == FAULTY_SITE && !attempt.is_probe) {
                        self.measurements.record_wait_for_faulty_site();
                    }
                }
                Action::Answer(gather, verdict) => self.on_answer(router, gather, verdict),
                Action::PublishEvidence(evidence) if self.setup.gossip => self.publish(router, evidence),
                Action::PublishEvidence(_) => {}
                Action::SetTimer { at } => {
                    self.routers[router].timer = Some(at);
                    self.schedule(at, SimulationEvent::TimerFired { router, at });
                }
            }
        }
    }

    fn publish(&mut self, from: usize, evidence: Evidence) {
        let mut draws = RandomSequence::new(self.setup.seed, 7 + from as u64, self.last_event);
        let routers = self.routers.len();
        let receivers: BTreeSet<usize> = match routers <= GOSSIP_FAN_OUT + 1 {
            true => (0..routers).collect(),
            false => (0..GOSSIP_FAN_OUT).map(|_| draws.below(routers)).collect(),
        };
        for to in receivers.into_iter().filter(|to| *to != from) {
            let (min, max) = GOSSIP_DELAY_RANGE_MS;
            let delay = min + (max - min) * draws.next();
            let evidence = Evidence { age_ms: delay, ..evidence.clone() };
            self.schedule(self.now + delay, SimulationEvent::EvidenceArrived { to, from, evidence });
        }
    }

    fn on_answer(&mut self, router: usize, gather: GatherNo, verdict: Verdict) {
        let Some(request) = self.routers[router].pending.remove(&gather) else { return };
        let latency = self.now - request.arrived_at + ASSEMBLY_TIME_MS;
        self.measurements.record_answer(&request, verdict, latency);
    }
}
