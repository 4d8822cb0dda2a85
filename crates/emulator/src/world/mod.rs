//! The owner of the fleet, the clients and the checker, in real time.

mod clients;
mod nodes;
mod soak;
mod start;

use crate::config::{configuration, plan_file, record};
use crate::faults::Faults;
use crate::net::{change_log, client, frame, serve, ConnId, Frames, Input, LogStatus, Net, Status};
use crate::process::Process;
use async_channel::Sender;
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
use futures_lite::future;
use hdrhistogram::Histogram;
use serde_json::Value;
pub use soak::{Invariant, PlannedFault, SoakFault, SoakLimits, SoakReport};
use soak::{Soak, IMPATIENT_ONE_IN, PATIENCE_MS};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// On sockets every limit of time is longer by this.
const SLACK_MS: Ms = 50.0;
/// Requests open on one client's connection.
const OPEN: usize = 32;
/// A client's connections to its router at the start; more are opened when all are full.
const CONNS: usize = 4;
const MOST_CONNS: usize = 64;
/// Inputs taken in one go.
const ROW: usize = 512;
/// What a client's leaving may cross on its way.
const CROSSING_MS: Ms = 200.0;

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

#[derive(Clone)]
struct Member {
    what: Arrival,
    tries: u32,
}

struct Request {
    router: usize,
    member: Member,
    answered: bool,
    attempts: usize,
    conn: ConnId,
    tag: u64,
    sent: Ms,
}

struct ClientConn {
    conn: ConnId,
    out: Sender<Vec<u8>>,
    open: BTreeMap<u64, u64>,
    tag: u64,
    /// Tags whose answers came.
    answered: BTreeSet<u64>,
}

struct Waiting {
    conn: ConnId,
    out: Sender<Vec<u8>>,
    wire: String,
    request: u64,
    attempt: usize,
}

enum Ev {
    Arrive(usize),
    Again(usize, Member),
    Due(u64),
    Left(u64),
    Script(usize),
    /// To a router's process of that generation.
    Tell(usize, u64, u8, Vec<u8>, Option<Observation>),
    Fault(usize),
    FaultOver(usize),
    /// What counts as told only now.
    Told(Observation),
    /// A client loses patience.
    Cancel(u64),
    /// A router ends or starts.
    Seat(usize),
    Hup(usize, String),
    Start(NodeIndex),
    Talk(NodeIndex),
    Purges,
    Tidy,
}

struct Seat {
    zone: usize,
    process: Process,
    arrivals: Arrivals,
    next: Option<Arrival>,
    clients: Vec<ClientConn>,
    frames: Frames,
    told: u64,
    addresses: Vec<SocketAddr>,
}

struct World<'a> {
    setup: &'a Setup,
    net: Net,
    nodes: Vec<NodeInfo>,
    statuses: Vec<Rc<Status>>,
    fleet: Fleet,
    seats: Vec<Seat>,
    checker: Checker,
    requests: HashMap<u64, Request>,
    requests_ever: u64,
    asks: HashMap<NodeRequestId, Waiting>,
    by_wire: HashMap<(ConnId, String), NodeRequestId>,
    evs: HashMap<u64, Ev>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    evs_ever: u64,
    begun: Instant,
    unix: f64,
    rng: Rng,
    version: u64,
    /// The plan's text in use at the routers, and the one before.
    texts: [String; 2],
    shapes: [usize; 2],
    /// Faults, where some are planned.
    soak: Option<Soak>,
    metrics: SocketRunMetrics,
    waits: Histogram<u64>,
    lags: Histogram<u64>,
}

/// Plays a setup on sockets, with routers of that program; their files are kept in `dir`.
pub fn run(setup: &Setup, binary: &Path, dir: &Path) -> Result<SocketRunMetrics, String> {
    play(setup, None, binary, dir).map(|(sockets, _)| sockets)
}

/// Plays a setup likewise, with faults.
pub fn run_soak(
    setup: &Setup,
    plan: &[PlannedFault],
    limits: &SoakLimits,
    binary: &Path,
    dir: &Path,
) -> Result<(SocketRunMetrics, SoakReport), String> {
    play(setup, Some((plan, limits)), binary, dir)
}

fn play(
    setup: &Setup,
    plan: Option<(&[PlannedFault], &SoakLimits)>,
    binary: &Path,
    dir: &Path,
) -> Result<(SocketRunMetrics, SoakReport), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let executor = Rc::new(LocalExecutor::new());
    let (queue, inputs) = async_channel::bounded(8_192);
    let net = Net { executor: Rc::clone(&executor), queue, conns: Rc::default() };
    let mut world = World::new(setup, net, binary, dir)?;
    if let Some((plan, limits)) = plan {
        world.plan_soak(plan, limits, binary, dir)?;
    }
    async_io::block_on(executor.run(async {
        world.begin().await?;
        let longest = setup.load.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let end = setup.length_ms + longest + 300.0;
        let mut told = Vec::new();
        let mut world_busy: Ms = 0.0;
        loop {
            let now = world.now();
            if now >= end {
                break;
            }
            let own = world.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let mut first = Vec::new();
            let next = own.into_iter().chain(world.fleet.next_due()).fold(end, f64::min);
            if next > now {
                let wait = async {
                    Timer::after(Duration::from_secs_f64((next - now) / 1000.0)).await;
                    None
                };
                first.extend(future::or(async { inputs.recv().await.ok() }, wait).await);
            }
            // What came while the loop was late or busy has waited for that long.
            let woken = world.now();
            if let Some(soak) = &mut world.soak {
                soak.harness_late(woken, (woken - next.max(now)).max(world_busy));
            }
            first.into_iter().for_each(|input| world.input(input));
            for _ in 0..ROW {
                let Ok(input) = inputs.try_recv() else { break };
                world.input(input);
            }
            world.advance(&mut told);
            world.events().await?;
            world_busy = world.now() - woken;
            future::yield_now().await;
        }
        Ok::<(), String>(())
    }))?;
    Ok(world.finish())
}

fn hex(n: u64) -> String {
    format!("{n:016x}")
}

fn body(key: FillKey) -> Vec<u8> {
    format!("{:016x}/{}", key.object, key.part).into_bytes()
}

impl<'a> World<'a> {
    fn now(&self) -> Ms {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    fn at(&mut self, at: Ms, ev: Ev) {
        self.evs_ever += 1;
        self.evs.insert(self.evs_ever, ev);
        self.due.push(Reverse(((at.max(0.0) * 1000.0) as u64, self.evs_ever)));
    }

    fn between(&mut self, [least, most]: [f64; 2]) -> Ms {
        use basaltgw_simulator::draw;
        least + (most - least).max(0.0) * draw(&mut self.rng)
    }

    fn finish(mut self) -> (SocketRunMetrics, SoakReport) {
        let now = self.now();
        self.soak_ends();
        self.seats.iter().for_each(|s| s.process.terminate());
        for r in 0..self.seats.len() {
            self.seats[r].process.wait_for_exit();
            self.last_words(r);
        }
        self.soak_over();
        self.checker.expire(now);
        let asked: f64 =
            self.metrics.seconds.iter().map(|s| s.requested_weight).sum::<f64>().max(f64::MIN_POSITIVE);
        self.metrics.weighted_in_time_share =
            self.metrics.seconds.iter().map(|s| s.in_time_weight).sum::<f64>() / asked;
        self.metrics.weighted_answered_share /= asked;
        self.metrics.latency_p50_ms = self.waits.value_at_quantile(0.5) as f64 / 1000.0;
        self.metrics.latency_p99_ms = self.waits.value_at_quantile(0.99) as f64 / 1000.0;
        self.metrics.generator_late_p99_ms = self.lags.value_at_quantile(0.99) as f64 / 1000.0;
        self.metrics.counts = self.fleet.counts.clone();
        self.metrics.violations.clone_from(self.checker.violations());
        (self.metrics, self.soak.map(|soak| soak.report).unwrap_or_default())
    }
}
