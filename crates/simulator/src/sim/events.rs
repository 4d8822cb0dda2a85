//! The event loop of a run: arrivals, script events, endpoint updates, plans and purges.

use super::*;

/// Purges at random draw from this many of a class's most popular objects.
const PURGED_OBJECTS: u64 = 200;
/// The interval at which the checker drops requests whose deadline is over.
const EXPIRY_INTERVAL_MS: Ms = 1_000.0;

impl Sim<'_> {
    /// Publishes the first plan and the endpoint lists, and schedules the first events.
    pub(super) fn begin(&mut self) -> Result<(), String> {
        let first = self.setup.plans.first().map(|shape| plan_spec(shape, 1, &self.nodes));
        if let Some(spec) = &first {
            self.plan_version = 1;
            let checked = Plan::from_spec(spec.clone()).map_err(|e| e.to_string())?;
            self.fleet.distribute_plan(0.0, &Arc::new(checked), [0.0, 0.0]);
        }
        for r in 0..self.routers.len() {
            let zone = self.routers[r].zone;
            let all: Vec<Endpoint> = (0..self.endpoints.len())
                .filter(|i| self.is_listed_in(zone, *i))
                .map(|i| self.endpoints[i].clone())
                .filter(|e| e.state != EndpointState::Removed)
                .collect();
            self.update_endpoints(r, EndpointUpdate::Complete, all);
            if let Some(spec) = &first {
                self.topology_event(r, topology::Event::Offer(spec.clone()));
            }
            self.schedule_arrival(r);
            self.schedule(TOPOLOGY_TICK_MS, SimEvent::TopologyTick { router: r });
        }
        self.metrics.change_states.clear();
        for i in 0..self.setup.script.len() {
            let at = self.setup.script[i].at_ms;
            self.schedule(at, SimEvent::Script { index: i });
        }
        if self.setup.load.purges_per_s > 0.0 {
            self.schedule(0.0, SimEvent::NextPurge);
        }
        self.schedule(EXPIRY_INTERVAL_MS, SimEvent::ExpireRequests);
        Ok(())
    }

    /// Draws the next arrival at a router and schedules it.
    pub(super) fn schedule_arrival(&mut self, r: usize) {
        let next = self.routers[r].arrivals.next().filter(|a| a.at < self.setup.length_ms);
        if let Some(at) = next.as_ref().map(|a| a.at) {
            self.schedule(at, SimEvent::Arrival { router: r });
        }
        self.routers[r].next_arrival = next;
    }

    /// Processes all events until `end`.
    pub(super) fn play(&mut self, end: Ms) -> Result<(), String> {
        let mut fleet_events = Vec::new();
        loop {
            let own_due = self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let fleet_due = self.fleet.next_due();
            let next = own_due.into_iter().chain(fleet_due).fold(f64::INFINITY, f64::min);
            if next > end {
                return Ok(());
            }
            self.now = self.now.max(next);
            if fleet_due.is_some_and(|t| t <= next) {
                self.fleet.advance(next, &mut fleet_events);
                for event in fleet_events.drain(..) {
                    match event {
                        FleetEvent::Response { request, response } => {
                            self.response_arrived(request, response)
                        }
                        FleetEvent::WriteExecuted { write } => {
                            self.checker.observe(self.now, Observation::WriteExecuted { write })
                        }
                        FleetEvent::ColdNodeOverloaded { node } => {
                            self.checker.observe(self.now, Observation::ColdNodeOverloaded { node })
                        }
                    }
                }
                continue;
            }
            let Some(Reverse((_, number))) = self.due.pop() else { return Ok(()) };
            if let Some(event) = self.events.remove(&number) {
                self.process_event(event)?;
            }
        }
    }

    /// Processes an event that is due.
    pub(super) fn process_event(&mut self, event: SimEvent) -> Result<(), String> {
        match event {
            SimEvent::Arrival { router: r } => {
                if let Some(arrival) = self.routers[r].next_arrival.take() {
                    let class = &self.setup.load.classes[arrival.class];
                    let second = (arrival.at / 1000.0) as usize;
                    self.metrics.classes[arrival.class].requests += 1;
                    self.metrics.classes[arrival.class].requested_kb.push(arrival.size_kb);
                    self.metrics.seconds[second].requested_weight += class.worth;
                    self.accept(r, Client { arrival, retries: 0 });
                }
                self.schedule_arrival(r);
            }
            SimEvent::Retry { router: r, client } => self.accept(r, client),
            SimEvent::Timer { router: r, token } => self.handle_event(r, Event::Timer(token)),
            SimEvent::AttemptTimeout { router: r, number, attempt: n } => self.time_out_attempt(r, number, n),
            SimEvent::Outcome { router: r, outcome } => self.handle_event(r, Event::Outcome(outcome)),
            SimEvent::EndpointUpdate { router: r, endpoints } => {
                let until = self.routers[r].list_updates_from;
                if self.now < until {
                    self.schedule(until, SimEvent::EndpointUpdate { router: r, endpoints });
                } else {
                    self.update_endpoints(r, EndpointUpdate::Delta, endpoints);
                }
            }
            SimEvent::Purge { router: r, object, group, purged_at } => {
                self.checker
                    .observe(self.now, Observation::PurgeReceived { router: r, object, group, purged_at });
                self.handle_event(
                    r,
                    Event::Purged {
                        group: GroupId(group),
                        object: object.map(ObjectId),
                        age: self.now - purged_at,
                    },
                );
            }
            SimEvent::PlanOffer { router: r, plan } => {
                if !self.setup.staged {
                    self.routers[r].topology = TopologyManager::new(self.setup.tree);
                }
                self.topology_event(r, topology::Event::Offer(plan));
            }
            SimEvent::PlanRollback { router: r } => self.topology_event(r, topology::Event::RollBack),
            SimEvent::TopologyTick { router: r } => {
                self.topology_event(r, topology::Event::Tick);
                self.schedule(self.now + TOPOLOGY_TICK_MS, SimEvent::TopologyTick { router: r });
            }
            SimEvent::Script { index: i } => self.run_script_event(i)?,
            SimEvent::NodeStart { node } => self.start_node(node),
            SimEvent::NextPurge => self.purge_random_object(),
            SimEvent::ExpireRequests => {
                self.checker.expire(self.now);
                self.schedule(self.now + EXPIRY_INTERVAL_MS, SimEvent::ExpireRequests);
            }
        }
        Ok(())
    }

    fn time_out_attempt(&mut self, r: usize, number: u64, attempt: usize) {
        if self.is_running(r, number, attempt) {
            self.fleet.cancel(self.now, node_request_id(r, number, attempt));
            let timed_out = NodeResponse::without_copy(AttemptResult::TimedOut, FillReport::NotReported);
            self.attempt_ended(r, number, attempt, timed_out, false);
        }
    }

    /// Purges one of the most popular objects of a random class and schedules the next purge.
    fn purge_random_object(&mut self) {
        let class = self.rng.random_range(0..self.setup.load.classes.len());
        let spec = &self.setup.load.classes[class];
        let rank = self.rng.random_range(0..spec.objects.clamp(1, PURGED_OBJECTS));
        self.purge(Some(crate::arrivals::object_id(class, rank)), 0);
        let gap: f64 = self.rng.random();
        let next = self.now - (1.0 - gap).ln() * 1000.0 / self.setup.load.purges_per_s;
        if next < self.setup.length_ms {
            self.schedule(next, SimEvent::NextPurge);
        }
    }

    /// Runs the script event with index `i`.
    pub(super) fn run_script_event(&mut self, i: usize) -> Result<(), String> {
        let event = self.setup.script[i].clone();
        let (now, until) = (self.now, self.now + event.for_ms);
        match event.what {
            ScriptAction::MassPurge => {
                let groups = (event.factor * self.setup.load.groups as f64).round() as u64;
                (0..groups).for_each(|g| self.purge(None, g));
            }
            ScriptAction::StaleList => self.routers.iter_mut().for_each(|s| s.list_updates_from = until),
            ScriptAction::Plan => {
                let name = event.plan.as_deref().unwrap_or_default();
                let found = self.setup.plans.iter().position(|p| p.name == name);
                let index = found.ok_or_else(|| format!("script[{i}]: unknown plan {name:?}"))?;
                self.publish_plan(index)?;
            }
            ScriptAction::TakeBack => self.roll_back_plan()?,
            ScriptAction::Crash | ScriptAction::Vanish => {
                let node = self.script_node(i, &event.node)?;
                let fault =
                    if event.what == ScriptAction::Crash { NodeFault::Crash } else { NodeFault::Vanish };
                self.fleet.inject_fault(now, node, fault);
                match event.for_ms > 0.0 {
                    true => self.schedule(until, SimEvent::NodeStart { node }),
                    false => self.list_node(node, EndpointState::Removed, None),
                }
            }
            ScriptAction::Start => {
                let node = self.script_node(i, &event.node)?;
                self.start_node(node);
            }
            ScriptAction::Drain => {
                let node = self.script_node(i, &event.node)?;
                self.list_node(node, EndpointState::Draining, None);
            }
            ScriptAction::Stop => {
                let node = self.script_node(i, &event.node)?;
                self.list_node(node, EndpointState::Removed, None);
                self.fleet.inject_fault(now, node, NodeFault::Crash);
            }
            ScriptAction::Hang
            | ScriptAction::Slow
            | ScriptAction::RefuseFills
            | ScriptAction::LoseAnswers
            | ScriptAction::WrongSource => self.inject_temporary_fault(i, &event)?,
        }
        Ok(())
    }

    /// The node that a script event names.
    fn script_node(&self, i: usize, name: &Option<String>) -> Result<NodeIndex, String> {
        let name = name.as_deref().ok_or_else(|| format!("script[{i}]: expected a node"))?;
        self.fleet.node_by_name(name).ok_or_else(|| format!("script[{i}]: unknown node {name}"))
    }

    /// Injects the fault of a script event that ends by itself.
    fn inject_temporary_fault(&mut self, i: usize, event: &ScriptEvent) -> Result<(), String> {
        let node = self.script_node(i, &event.node)?;
        let (factor, until) = (event.factor, self.now + event.for_ms);
        let fault = match event.what {
            ScriptAction::Slow => NodeFault::Slow { factor, until },
            ScriptAction::RefuseFills => NodeFault::RefuseFills { until },
            ScriptAction::LoseAnswers => NodeFault::LoseAnswers { share: factor, until },
            ScriptAction::WrongSource => {
                NodeFault::WrongSource { source: self.script_node(i, &event.to)?, until }
            }
            _ => NodeFault::Hang { until },
        };
        self.fleet.inject_fault(self.now, node, fault);
        Ok(())
    }

    /// Publishes a plan of the setup to nodes and routers.
    fn publish_plan(&mut self, index: usize) -> Result<(), String> {
        (self.previous_plan, self.current_plan) = (self.current_plan, index);
        self.plan_version += 1;
        let spec = plan_spec(&self.setup.plans[index], self.plan_version, &self.nodes);
        self.distribute_plan(&spec)?;
        for r in 0..self.routers.len() {
            let after = self.draw_from(self.setup.fleet.news.plan_ms);
            self.schedule(self.now + after, SimEvent::PlanOffer { router: r, plan: spec.clone() });
        }
        Ok(())
    }

    /// Rolls the routers' latest change back and publishes the previous plan to nodes.
    fn roll_back_plan(&mut self) -> Result<(), String> {
        std::mem::swap(&mut self.previous_plan, &mut self.current_plan);
        self.plan_version += 1;
        let spec = plan_spec(&self.setup.plans[self.current_plan], self.plan_version, &self.nodes);
        self.distribute_plan(&spec)?;
        for r in 0..self.routers.len() {
            let after = self.draw_from(self.setup.fleet.news.plan_ms);
            let event = if self.setup.staged {
                SimEvent::PlanRollback { router: r }
            } else {
                SimEvent::PlanOffer { router: r, plan: spec.clone() }
            };
            self.schedule(self.now + after, event);
        }
        Ok(())
    }

    /// Publishes a plan to the nodes.
    pub(super) fn distribute_plan(&mut self, spec: &PlanSpec) -> Result<(), String> {
        let checked = Arc::new(Plan::from_spec(spec.clone()).map_err(|e| e.to_string())?);
        self.fleet.distribute_plan(self.now, &checked, self.setup.fleet.news.plan_ms);
        Ok(())
    }

    /// Starts a node and lists it as up.
    pub(super) fn start_node(&mut self, node: NodeIndex) {
        self.fleet.start(self.now, node);
        self.list_node(node, EndpointState::Up, Some(self.now));
    }

    /// Changes a node's entry in the endpoint list; each router receives the change after its own delay.
    pub(super) fn list_node(&mut self, node: NodeIndex, state: EndpointState, started: Option<Ms>) {
        let endpoint = endpoint(&self.nodes[node.0], state, started);
        self.endpoints[node.0] = endpoint.clone();
        for r in 0..self.routers.len() {
            if self.is_listed_in(self.routers[r].zone, node.0) {
                let after = self.draw_from(self.setup.fleet.news.list_ms);
                self.schedule(
                    self.now + after,
                    SimEvent::EndpointUpdate { router: r, endpoints: vec![endpoint.clone()] },
                );
            }
        }
    }

    /// Purges an object, or without one a group; each router receives the purge after its own delay.
    pub(super) fn purge(&mut self, object: Option<u64>, group: u64) {
        self.fleet.purge(self.now, object, group);
        for r in 0..self.routers.len() {
            let after = self.draw_from(self.setup.fleet.news.purge_ms);
            self.schedule(
                self.now + after,
                SimEvent::Purge { router: r, object, group, purged_at: self.now },
            );
        }
    }
}
