//! The start of a run: listeners, routers, clients, and the first events.

use super::*;

/// When the first random purge is published.
const FIRST_PURGE_MS: Ms = 500.0;
/// When the first periodic check takes place.
const FIRST_CHECK_MS: Ms = 1_000.0;
/// The longest time that a histogram records, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;
/// The number of the last event in the configuration with which a router starts.
const FIRST_FRAME_NUMBER: u64 = 1;

fn io_error(e: std::io::Error) -> String {
    e.to_string()
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).map_err(|e| e.to_string())
}

/// The limits of the rules on sockets. An event counts as received once it is in the change log, so all limits are extended.
fn socket_rules(rules: &RuleLimits) -> RuleLimits {
    RuleLimits {
        slack_ms: rules.slack_ms + SOCKET_SLACK_MS,
        drain_grace_ms: rules.drain_grace_ms + SOCKET_SLACK_MS,
        purge_grace_ms: rules.purge_grace_ms + SOCKET_SLACK_MS,
        ..rules.clone()
    }
}

impl<'a> World<'a> {
    pub(super) fn new(setup: &'a Setup, net: Net, binary: &Path, dir: &Path) -> Result<Self, String> {
        let nodes = nodes(&setup.fleet);
        let mut fleet = Fleet::new(&setup.fleet, setup.load.groups, setup.tree, setup.seed);
        fleet.loop_detection = setup.loop_detection;
        let node_statuses: Vec<Rc<NodeStatus>> = nodes
            .iter()
            .map(|node| {
                let status = Rc::new(NodeStatus::default());
                status.accepts.set(!node.spare);
                status.answers_probes.set(true);
                status
            })
            .collect();
        let plan = setup.plans.first().map(|shape| plan_spec(shape, 1, &nodes));
        let plan_text = plan.as_ref().map(|spec| plan_file(spec, &setup.tree)).unwrap_or_default();
        if let Some(spec) = plan {
            let plan = Plan::from_spec(spec).map_err(|e| e.to_string())?;
            fleet.distribute_plan(0.0, &Arc::new(plan), [0.0, 0.0]);
        }
        let seconds = (setup.length_ms / 1000.0).ceil() as usize + 1;
        let mut world = Self {
            setup,
            net,
            nodes,
            node_statuses,
            fleet,
            routers: Vec::new(),
            checker: Checker::new(&socket_rules(&setup.fleet.rules)),
            requests: HashMap::new(),
            last_request_number: 0,
            attempts: HashMap::new(),
            attempts_by_wire_id: HashMap::new(),
            events: HashMap::new(),
            due: BinaryHeap::new(),
            last_event_number: 0,
            start: Instant::now(),
            start_unix_ms: unix_ms(),
            rng: rng(setup.seed, 2),
            plan_version: 1,
            plan_texts: [plan_text.clone(), plan_text],
            plan_indices: [0, 0],
            soak: None,
            metrics: SocketRunMetrics::new(seconds),
            latencies: histogram()?,
            generator_delays: histogram()?,
        };
        for zone in 1..=setup.fleet.zones {
            for _ in 0..setup.fleet.routers_per_zone {
                let router = world.start_router(zone, binary, dir)?;
                world.routers.push(router);
            }
        }
        Ok(world)
    }

    /// Starts the next router, in this zone, with its own change log and with its own listener for each node.
    fn start_router(&self, zone: usize, binary: &Path, dir: &Path) -> Result<RouterState, String> {
        let r = self.routers.len();
        let mut node_addresses = Vec::new();
        for (i, status) in self.node_statuses.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(io_error)?;
            let address = listener.local_addr().map_err(io_error)?;
            node_addresses.push(address);
            let task = serve_node(self.net.clone(), r, NodeIndex(i), address, listener, Rc::clone(status));
            self.net.executor.spawn(task).detach();
        }
        let (change_log, frames, _) = self.start_change_log()?;
        let listed: Vec<(&NodeInfo, SocketAddr)> = (self.nodes.iter().zip(&node_addresses))
            .filter(|(node, _)| (node.zone == 0 || node.zone == zone) && !node.spare)
            .map(|(node, address)| (node, *address))
            .collect();
        let config = configuration(self.setup, zone, r, change_log, &listed);
        let settings = Some(self.plan_texts[0].as_str()).filter(|text| !text.is_empty());
        Ok(RouterState {
            zone,
            process: Process::start(binary, dir, r, &config, settings)?,
            arrivals: Arrivals::new(&self.setup.load, self.setup.seed, r as u64),
            next_arrival: None,
            connections: Vec::new(),
            frames,
            last_frame_number: FIRST_FRAME_NUMBER,
            node_addresses,
        })
    }

    /// Starts a change log without events, for one process of a router.
    pub(super) fn start_change_log(&self) -> Result<(SocketAddr, Frames, Rc<ChangeLogOutage>), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(io_error)?;
        let address = listener.local_addr().map_err(io_error)?;
        let (frames, outage) = (Frames::default(), Rc::<ChangeLogOutage>::default());
        let task = serve_change_log(self.net.clone(), listener, Rc::clone(&frames), Rc::clone(&outage));
        self.net.executor.spawn(task).detach();
        Ok((address, frames, outage))
    }

    /// Connects the clients and schedules the first events.
    pub(super) async fn begin(&mut self) -> Result<(), String> {
        for r in 0..self.routers.len() {
            for _ in 0..INITIAL_CONNECTIONS {
                self.open_connection(r).await;
            }
            if self.routers[r].connections.is_empty() {
                return Err(format!("router {r} accepts no connections of clients"));
            }
        }
        self.start = Instant::now();
        self.start_unix_ms = unix_ms();
        (0..self.routers.len()).for_each(|r| self.schedule_arrival(r));
        for (index, event) in self.setup.script.iter().enumerate() {
            self.schedule(event.at_ms, WorldEvent::Script { index });
        }
        if self.setup.load.purges_per_s > 0.0 {
            self.schedule(FIRST_PURGE_MS, WorldEvent::NextPurge);
        }
        self.schedule(FIRST_CHECK_MS, WorldEvent::PeriodicCheck);
        let faults: Vec<Ms> = self.soak.iter().flat_map(|s| s.plan.iter().map(|p| p.at_ms)).collect();
        faults.into_iter().enumerate().for_each(|(index, at)| self.schedule(at, WorldEvent::Fault { index }));
        Ok(())
    }
}

impl SocketRunMetrics {
    /// Metrics of a run with this number of seconds of arrivals, before its start.
    fn new(seconds: usize) -> Self {
        Self {
            weighted_in_time_share: 0.0,
            weighted_answered_share: 0.0,
            requests: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            attempts: 0,
            wrong_bodies: 0,
            seconds: vec![SecondMetrics::default(); seconds],
            latency_p50_ms: 0.0,
            latency_p99_ms: 0.0,
            generator_late_p99_ms: 0.0,
            counts: Counts::default(),
            violations: BTreeMap::new(),
            router_counters: HashMap::new(),
        }
    }
}
