//! The owner of the simulated fleet, the clients and the checker, in real time.

mod clients;
mod events;
mod nodes;
mod script;
mod soak;
mod start;

use crate::config::{configuration, plan_file, record};
use crate::faults::Faults;
use crate::net::{
    connect_client, frame, serve_change_log, serve_node, ChangeLogOutage, ConnId, Frames, Input, Net,
    NodeStatus,
};
use crate::process::Process;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use basaltgw::api::{AttemptResult, EndpointState, FillReport, Rank};
use basaltgw_hierarchy::{FillKey, NodeId, Plan, PlanSpec};
use basaltgw_resp::{encode, FieldEncoder, Fields};
use basaltgw_simulator::arrivals::{object_id, Arrival, Arrivals};
use basaltgw_simulator::checker::{Checker, ClientResult, Execution, Observation, Rule};
use basaltgw_simulator::fleet::{
    nodes, Counts, Fleet, FleetEvent, NodeFault, NodeIndex, NodeInfo, NodeRequest, NodeRequestId,
    NodeResponse,
};
use basaltgw_simulator::sim::{plan_spec, SecondMetrics, Setup, LATENCY_OBJECTIVE_STRETCH};
use basaltgw_simulator::spec::{EffectSpec, RuleLimits, ScriptAction};
use basaltgw_simulator::{rng, Ms, Rng};
use events::{ClientRequest, WorldEvent};
use futures_lite::future;
use hdrhistogram::Histogram;
use serde_json::Value;
pub use soak::{Invariant, PlannedFault, SoakFault, SoakLimits, SoakReport};
use soak::{PublishedPurge, Soak, CANCEL_DELAY_MS, CANCEL_ONE_IN};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Every time limit of the rules is extended by this on sockets.
const SOCKET_SLACK_MS: Ms = 50.0;
/// The most open requests on a client's connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Clients' connections to a router at the start; more are opened when all are full.
const INITIAL_CONNECTIONS: usize = 4;
/// The most clients' connections to a router.
const MAX_CONNECTIONS: usize = 64;
/// The most inputs that are processed before the events that are due.
const MAX_INPUTS_PER_TURN: usize = 512;
/// The most inputs that wait to be processed.
const INPUT_QUEUE_LENGTH: usize = 8_192;
/// After a client has left, attempts may still arrive for this long: they crossed the notification.
const LEAVE_CROSSING_MS: Ms = 200.0;
/// A run continues for this long after the last deadline.
const END_GRACE_MS: Ms = 300.0;

/// The metrics of a run on sockets.
pub struct SocketRunMetrics {
    /// The share of requests that were served within their latency objective, weighted by the priority of their class.
    pub weighted_in_time_share: f64,
    /// Like `weighted_in_time_share`, with late answers counted at their class's share for late answers.
    pub weighted_answered_share: f64,
    /// Clients' requests, retries not included.
    pub requests: u64,
    /// Final answers that served the request.
    pub served: u64,
    /// Final answers that rejected the request, clients' retries included.
    pub rejected: u64,
    /// Final answers that reported a failure, clients' retries included.
    pub failed: u64,
    /// Fetches that arrived at nodes.
    pub attempts: u64,
    /// Served requests whose body was not that of the requested part.
    pub wrong_bodies: u64,
    /// Metrics by second of arrival.
    pub seconds: Vec<SecondMetrics>,
    /// The median time from a request's scheduled arrival to the answer.
    pub latency_p50_ms: f64,
    /// The 99th percentile of the time from a request's scheduled arrival to the answer.
    pub latency_p99_ms: f64,
    /// The 99th percentile of the time by which requests were sent late: a figure of the machine, not of the routers.
    pub generator_late_p99_ms: f64,
    /// The fleet's counts.
    pub counts: Counts,
    /// Violations of the checker's rules: their number, and a description of the first.
    pub violations: BTreeMap<Rule, (u64, String)>,
    /// The sums of the routers' own counters, by name.
    pub router_counters: HashMap<String, f64>,
}

/// A client's request that no router has finished.
struct OpenRequest {
    router: usize,
    client: ClientRequest,
    /// Whether the request was answered, or needs no answer any more.
    answered: bool,
    attempts: usize,
    conn: ConnId,
    tag: u64,
    sent_at: Ms,
}

/// A connection of a client to its router.
struct ClientConnection {
    id: ConnId,
    outgoing: Sender<Vec<u8>>,
    /// The numbers of the open requests by tag.
    open: BTreeMap<u64, u64>,
    last_tag: u64,
    /// The tags of the requests that were answered.
    answered_tags: BTreeSet<u64>,
}

/// An attempt that a node has not answered.
struct OpenAttempt {
    conn: ConnId,
    outgoing: Sender<Vec<u8>>,
    /// The request id on the wire.
    wire_id: String,
    request: u64,
    attempt: usize,
}

struct RouterState {
    zone: usize,
    process: Process,
    arrivals: Arrivals,
    next_arrival: Option<Arrival>,
    connections: Vec<ClientConnection>,
    /// The events of the change log that the router reads.
    frames: Frames,
    last_frame_number: u64,
    /// The addresses at which this router reaches the nodes.
    node_addresses: Vec<SocketAddr>,
}

struct World<'a> {
    setup: &'a Setup,
    net: Net,
    nodes: Vec<NodeInfo>,
    node_statuses: Vec<Rc<NodeStatus>>,
    fleet: Fleet,
    routers: Vec<RouterState>,
    checker: Checker,
    requests: HashMap<u64, OpenRequest>,
    last_request_number: u64,
    attempts: HashMap<NodeRequestId, OpenAttempt>,
    attempts_by_wire_id: HashMap<(ConnId, String), NodeRequestId>,
    events: HashMap<u64, WorldEvent>,
    /// Times of events in microseconds, with the events' numbers.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    last_event_number: u64,
    start: Instant,
    start_unix_ms: Ms,
    rng: Rng,
    plan_version: u64,
    /// The text of the routers' current plan, and of the one before it.
    plan_texts: [String; 2],
    /// The indices of the current plan and the one before it.
    plan_indices: [usize; 2],
    /// The state of the injected faults, in a soak run.
    soak: Option<Soak>,
    metrics: SocketRunMetrics,
    /// Latencies of served requests in microseconds.
    latencies: Histogram<u64>,
    /// The times by which requests were sent late, in microseconds.
    generator_delays: Histogram<u64>,
}

/// Runs a setup on sockets with router processes of the program `binary`; the routers' files are created in `dir`.
pub fn run(setup: &Setup, binary: &Path, dir: &Path) -> Result<SocketRunMetrics, String> {
    run_world(setup, None, binary, dir).map(|(metrics, _)| metrics)
}

/// Like [`run`], with faults.
pub fn run_soak(
    setup: &Setup,
    plan: &[PlannedFault],
    limits: &SoakLimits,
    binary: &Path,
    dir: &Path,
) -> Result<(SocketRunMetrics, SoakReport), String> {
    run_world(setup, Some((plan, limits)), binary, dir)
}

fn run_world(
    setup: &Setup,
    soak: Option<(&[PlannedFault], &SoakLimits)>,
    binary: &Path,
    dir: &Path,
) -> Result<(SocketRunMetrics, SoakReport), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let executor = Rc::new(LocalExecutor::new());
    let (sender, inputs) = async_channel::bounded(INPUT_QUEUE_LENGTH);
    let net = Net { executor: Rc::clone(&executor), inputs: sender, connections: Rc::default() };
    let mut world = World::new(setup, net, binary, dir)?;
    if let Some((plan, limits)) = soak {
        world.start_soak(plan, limits, binary, dir)?;
    }
    async_io::block_on(executor.run(async {
        world.begin().await?;
        world.run_until_end(&inputs).await
    }))?;
    Ok(world.finish())
}

fn hex(n: u64) -> String {
    format!("{n:016x}")
}

/// The bytes of a part.
fn part_body(key: FillKey) -> Vec<u8> {
    format!("{:016x}/{}", key.object, key.part).into_bytes()
}

fn unix_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl World<'_> {
    /// The time since the start of the run.
    fn now(&self) -> Ms {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn schedule(&mut self, at: Ms, event: WorldEvent) {
        self.last_event_number += 1;
        self.events.insert(self.last_event_number, event);
        self.due.push(Reverse(((at.max(0.0) * 1000.0) as u64, self.last_event_number)));
    }

    /// Draws a number between the two.
    fn draw_between(&mut self, [min, max]: [f64; 2]) -> f64 {
        use basaltgw_simulator::draw;
        min + (max - min).max(0.0) * draw(&mut self.rng)
    }

    /// Processes inputs and events until the last request is over.
    async fn run_until_end(&mut self, inputs: &Receiver<Input>) -> Result<(), String> {
        let longest_deadline = self.setup.load.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let end = self.setup.length_ms + longest_deadline + END_GRACE_MS;
        let mut fleet_events = Vec::new();
        let mut last_turn: Ms = 0.0;
        loop {
            let now = self.now();
            if now >= end {
                return Ok(());
            }
            let own_due = self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let mut first = None;
            let next = own_due.into_iter().chain(self.fleet.next_due()).fold(end, f64::min);
            if next > now {
                let wait = async {
                    Timer::after(Duration::from_secs_f64((next - now) / 1000.0)).await;
                    None
                };
                first = future::or(async { inputs.recv().await.ok() }, wait).await;
            }
            // Inputs received while the loop was late or busy have waited for that long.
            let woken = self.now();
            if let Some(soak) = &mut self.soak {
                soak.record_harness_delay(woken, (woken - next.max(now)).max(last_turn));
            }
            first.into_iter().for_each(|input| self.process_input(input));
            for _ in 0..MAX_INPUTS_PER_TURN {
                let Ok(input) = inputs.try_recv() else { break };
                self.process_input(input);
            }
            self.advance_fleet(&mut fleet_events);
            self.process_due_events().await?;
            last_turn = self.now() - woken;
            future::yield_now().await;
        }
    }

    /// Ends the routers and computes the metrics.
    fn finish(mut self) -> (SocketRunMetrics, SoakReport) {
        let now = self.now();
        self.end_faults();
        self.routers.iter().for_each(|r| r.process.terminate());
        for r in 0..self.routers.len() {
            self.routers[r].process.wait_for_exit();
            self.collect_counters(r);
        }
        self.count_call_faults();
        self.checker.expire(now);
        let metrics = &mut self.metrics;
        let requested_weight =
            metrics.seconds.iter().map(|s| s.requested_weight).sum::<f64>().max(f64::MIN_POSITIVE);
        let in_time_weight = metrics.seconds.iter().map(|s| s.in_time_weight).sum::<f64>();
        metrics.weighted_in_time_share = in_time_weight / requested_weight;
        metrics.weighted_answered_share /= requested_weight;
        metrics.latency_p50_ms = self.latencies.value_at_quantile(0.5) as f64 / 1000.0;
        metrics.latency_p99_ms = self.latencies.value_at_quantile(0.99) as f64 / 1000.0;
        metrics.generator_late_p99_ms = self.generator_delays.value_at_quantile(0.99) as f64 / 1000.0;
        metrics.counts = self.fleet.counts.clone();
        metrics.violations.clone_from(self.checker.violations());
        (self.metrics, self.soak.map(|soak| soak.report).unwrap_or_default())
    }
}
