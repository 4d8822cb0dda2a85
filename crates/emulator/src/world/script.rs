//! The script of a run, and what the change log publishes: listed nodes, purges and plans.

use super::*;
use crate::net::frame_kind::{LIST_UPDATE, PURGE_GROUP, PURGE_OBJECT};

impl World<'_> {
    /// Closes a node's connections; new ones are refused.
    pub(super) fn stop_node(&mut self, node: NodeIndex) {
        let status = &self.node_statuses[node.0];
        status.accepts.set(false);
        status.close_connections();
    }

    /// Starts a node, and lists it.
    pub(super) fn start_node(&mut self, now: Ms, node: NodeIndex) {
        self.fleet.start(now, node);
        let status = &self.node_statuses[node.0];
        status.close_connections();
        status.accepts.set(true);
        status.answers_probes.set(true);
        self.publish_node_state(now, node, EndpointState::Up, Some(now));
    }

    /// Publishes a node's state to the routers that list it, to each after a delay of its own.
    fn publish_node_state(&mut self, now: Ms, node: NodeIndex, state: EndpointState, started: Option<Ms>) {
        let started = started.map_or(0, |t| (self.start_unix_ms + t) as u64);
        if let Some(soak) = &mut self.soak {
            soak.listing[node.0] = (state, started);
        }
        for r in 0..self.routers.len() {
            let info = &self.nodes[node.0];
            if info.zone != 0 && info.zone != self.routers[r].zone {
                continue;
            }
            let payload = record(info, self.routers[r].node_addresses[node.0], state, started);
            let up = state == EndpointState::Up;
            let observation = Observation::NodeListed { router: r, node, up };
            let delay = self.draw_between(self.setup.fleet.news.list_ms);
            self.schedule_frame(now + delay, r, LIST_UPDATE, payload, observation);
        }
    }

    /// Purges an object, or a group, at the nodes, and publishes the purge to each router after a delay of its own.
    pub(super) fn publish_purge(&mut self, now: Ms, object: Option<u64>, group: u64) {
        self.fleet.purge(now, object, group);
        let time = (self.start_unix_ms + now) as u64;
        self.soak.iter_mut().for_each(|soak| soak.purges.push(PublishedPurge { object, group, time }));
        let time = time.to_be_bytes();
        let (kind, payload) = match object {
            Some(object) => (PURGE_OBJECT, [&object.to_be_bytes()[..], &time].concat()),
            None => (PURGE_GROUP, [&(group as u16).to_be_bytes()[..], &time].concat()),
        };
        for r in 0..self.routers.len() {
            let observation = Observation::PurgeReceived { router: r, object, group, purged_at: now };
            let delay = self.draw_between(self.setup.fleet.news.purge_ms);
            self.schedule_frame(now + delay, r, kind, payload.clone(), observation);
        }
    }

    fn schedule_frame(
        &mut self,
        at: Ms,
        router: usize,
        kind: u8,
        payload: Vec<u8>,
        observation: Observation,
    ) {
        let generation = self.generation(router);
        let observation = Some(observation);
        let event = WorldEvent::ChangeLogEvent { router, generation, kind, payload, observation };
        self.schedule(at, event);
    }

    /// Publishes a plan; each node and router receives it after a delay of its own.
    fn publish_plan(&mut self, now: Ms, spec: &PlanSpec, text: &str) -> Result<(), String> {
        let plan = Plan::from_spec(spec.clone()).map_err(|e| e.to_string())?;
        self.fleet.distribute_plan(now, &Arc::new(plan), self.setup.fleet.news.plan_ms);
        for r in 0..self.routers.len() {
            let delay = self.draw_between(self.setup.fleet.news.plan_ms);
            self.schedule(now + delay, WorldEvent::SettingsReload { router: r, text: text.to_string() });
        }
        Ok(())
    }

    /// Publishes the plan of the setup with this name.
    fn change_plan(&mut self, now: Ms, index: usize, name: &str) -> Result<(), String> {
        let found = self.setup.plans.iter().position(|p| p.name == name);
        let plan = found.ok_or_else(|| format!("script[{index}]: unknown plan {name:?}"))?;
        self.plan_version += 1;
        let spec = plan_spec(&self.setup.plans[plan], self.plan_version, &self.nodes);
        let text = plan_file(&spec, &self.setup.tree);
        self.plan_indices = [plan, self.plan_indices[0]];
        self.plan_texts = [text.clone(), self.plan_texts[0].clone()];
        self.publish_plan(now, &spec, &text)
    }

    /// Returns to the plan before the current one: routers get its old file, nodes the old tree with a new version.
    fn roll_back_plan(&mut self, now: Ms) -> Result<(), String> {
        self.plan_indices.swap(0, 1);
        self.plan_texts.swap(0, 1);
        self.plan_version += 1;
        let spec = plan_spec(&self.setup.plans[self.plan_indices[0]], self.plan_version, &self.nodes);
        let text = self.plan_texts[0].clone();
        self.publish_plan(now, &spec, &text)
    }

    /// Processes an event of the script.
    pub(super) fn process_script_event(&mut self, now: Ms, index: usize) -> Result<(), String> {
        let event = self.setup.script[index].clone();
        let until = now + event.for_ms;
        let find = |name: &Option<String>| {
            let name = name.as_deref().ok_or_else(|| format!("script[{index}]: expected a node"))?;
            self.fleet.node_by_name(name).ok_or_else(|| format!("script[{index}]: unknown node {name}"))
        };
        match event.what {
            ScriptAction::MassPurge => {
                let groups = (event.factor * self.setup.load.groups as f64).round() as u64;
                (0..groups).for_each(|group| self.publish_purge(now, None, group));
            }
            ScriptAction::StaleList => {
                return Err(format!("script[{index}]: stale_list is not supported on sockets"))
            }
            ScriptAction::Plan => self.change_plan(now, index, event.plan.as_deref().unwrap_or_default())?,
            ScriptAction::TakeBack => self.roll_back_plan(now)?,
            ScriptAction::Crash => {
                let node = find(&event.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Crash);
                self.stop_node(node);
                if event.for_ms > 0.0 {
                    self.schedule(until, WorldEvent::NodeStart { node });
                } else {
                    self.publish_node_state(now, node, EndpointState::Removed, None);
                }
            }
            ScriptAction::Vanish => {
                let node = find(&event.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Vanish);
                self.node_statuses[node.0].answers_probes.set(false);
                self.schedule(until, WorldEvent::NodeStart { node });
            }
            ScriptAction::Hang => {
                let node = find(&event.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Hang { until });
                self.node_statuses[node.0].answers_probes.set(false);
                self.schedule(until, WorldEvent::ProbeAnswers { node });
            }
            ScriptAction::Start => {
                let node = find(&event.node)?;
                self.start_node(now, node);
            }
            ScriptAction::Drain => {
                let node = find(&event.node)?;
                self.publish_node_state(now, node, EndpointState::Draining, None);
            }
            ScriptAction::Stop => {
                let node = find(&event.node)?;
                self.publish_node_state(now, node, EndpointState::Removed, None);
                self.fleet.inject_fault(now, node, NodeFault::Crash);
                self.stop_node(node);
            }
            ScriptAction::Slow => {
                let node = find(&event.node)?;
                self.fleet.inject_fault(now, node, NodeFault::Slow { factor: event.factor, until });
            }
            ScriptAction::RefuseFills => {
                let node = find(&event.node)?;
                self.fleet.inject_fault(now, node, NodeFault::RefuseFills { until });
            }
            ScriptAction::LoseAnswers => {
                let node = find(&event.node)?;
                self.fleet.inject_fault(now, node, NodeFault::LoseAnswers { share: event.factor, until });
            }
            ScriptAction::WrongSource => {
                let (node, source) = (find(&event.node)?, find(&event.to)?);
                self.fleet.inject_fault(now, node, NodeFault::WrongSource { source, until });
            }
        }
        Ok(())
    }
}
