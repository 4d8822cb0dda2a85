//! How a run begins: routers, listeners, clients.

use super::*;

impl<'a> World<'a> {
    pub(super) fn new(setup: &'a Setup, net: Net, binary: &Path, dir: &Path) -> Result<Self, String> {
        let say = |e: std::io::Error| e.to_string();
        let nodes = nodes(&setup.fleet);
        let mut fleet = Fleet::new(&setup.fleet, setup.load.groups, setup.tree, setup.seed);
        fleet.loop_detection = setup.loop_detection;
        let statuses: Vec<Rc<Status>> = nodes
            .iter()
            .map(|n| {
                let status = Rc::new(Status::default());
                status.up.set(!n.spare);
                status.talks.set(true);
                status
            })
            .collect();
        let first = setup.plans.first().map(|shape| plan_spec(shape, 1, &nodes));
        let text = first.as_ref().map(|spec| plan_file(spec, &setup.tree)).unwrap_or_default();
        let mut seats = Vec::new();
        for zone in 1..=setup.fleet.zones {
            for _ in 0..setup.fleet.routers_per_zone {
                let r = seats.len();
                let mut addresses = Vec::new();
                for (i, status) in statuses.iter().enumerate() {
                    let listener = TcpListener::bind("127.0.0.1:0").map_err(say)?;
                    let at = listener.local_addr().map_err(say)?;
                    addresses.push(at);
                    let task = serve(net.clone(), r, NodeIndex(i), at, listener, Rc::clone(status));
                    net.executor.spawn(task).detach();
                }
                let log = TcpListener::bind("127.0.0.1:0").map_err(say)?;
                let log_at = log.local_addr().map_err(say)?;
                let frames = Frames::default();
                let status = Rc::default();
                net.executor.spawn(change_log(net.clone(), log, Rc::clone(&frames), status)).detach();
                let near = |n: &NodeInfo| (n.zone == 0 || n.zone == zone) && !n.spare;
                let listed: Vec<(&NodeInfo, SocketAddr)> =
                    nodes.iter().zip(&addresses).filter(|(n, _)| near(n)).map(|(n, a)| (n, *a)).collect();
                let config = configuration(setup, zone, r, log_at, &listed);
                let process = Process::start(binary, dir, r, &config, (!text.is_empty()).then_some(&text))?;
                let arrivals = Arrivals::new(&setup.load, setup.seed, r as u64);
                let seat = Seat {
                    zone,
                    process,
                    arrivals,
                    next: None,
                    clients: Vec::new(),
                    frames,
                    told: 1,
                    addresses,
                };
                seats.push(seat);
            }
        }
        let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|e| e.to_string());
        // Once an event is in the change log it counts as told, and on sockets limits are longer.
        let r = &setup.fleet.rules;
        let rules = RuleLimits {
            slack_ms: r.slack_ms + SLACK_MS,
            drain_grace_ms: r.drain_grace_ms + SLACK_MS,
            purge_grace_ms: r.purge_grace_ms + SLACK_MS,
            ..r.clone()
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        let seconds = (setup.length_ms / 1000.0).ceil() as usize + 1;
        let metrics = SocketRunMetrics {
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
        };
        if let Some(spec) = first {
            let checked = Plan::from_spec(spec).map_err(|e| e.to_string())?;
            fleet.distribute_plan(0.0, &Arc::new(checked), [0.0, 0.0]);
        }
        Ok(Self {
            setup,
            net,
            nodes,
            statuses,
            fleet,
            seats,
            checker: Checker::new(&rules),
            requests: HashMap::new(),
            requests_ever: 0,
            asks: HashMap::new(),
            by_wire: HashMap::new(),
            evs: HashMap::new(),
            due: BinaryHeap::new(),
            evs_ever: 0,
            begun: Instant::now(),
            unix,
            rng: rng(setup.seed, 2),
            version: 1,
            texts: [text.clone(), text],
            shapes: [0, 0],
            soak: None,
            metrics,
            waits: histogram()?,
            lags: histogram()?,
        })
    }

    pub(super) async fn begin(&mut self) -> Result<(), String> {
        for r in 0..self.seats.len() {
            for _ in 0..CONNS {
                self.connect(r).await;
            }
            if self.seats[r].clients.is_empty() {
                return Err(format!("router {r} takes no client"));
            }
        }
        self.begun = Instant::now();
        self.unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        (0..self.seats.len()).for_each(|r| self.draw(r));
        for (i, m) in self.setup.script.iter().enumerate() {
            self.at(m.at_ms, Ev::Script(i));
        }
        if self.setup.load.purges_per_s > 0.0 {
            self.at(500.0, Ev::Purges);
        }
        self.at(1_000.0, Ev::Tidy);
        let faults: Vec<Ms> = self.soak.iter().flat_map(|s| s.plan.iter().map(|p| p.at_ms)).collect();
        faults.into_iter().enumerate().for_each(|(i, at)| self.at(at, Ev::Fault(i)));
        Ok(())
    }

    pub(super) async fn connect(&mut self, r: usize) {
        let at = self.seats[r].process.address;
        if let Some((conn, out)) = client(self.net.clone(), r, at).await {
            self.seats[r].clients.push(ClientConn {
                conn,
                out,
                open: BTreeMap::new(),
                tag: 0,
                answered: BTreeSet::new(),
            });
        }
    }

    pub(super) fn draw(&mut self, r: usize) {
        let next = self.seats[r].arrivals.next().filter(|a| a.at < self.setup.length_ms);
        if let Some(at) = next.as_ref().map(|a| a.at) {
            self.at(at, Ev::Arrive(r));
        }
        self.seats[r].next = next;
    }
}
