//! The plan of the cache tree, where the project's own file has one: translates between the router's events and `basaltgw-hierarchy`.

use basaltgw::api::{AttemptResult, EndpointState, Event, FillReport, Ms, ObjectId, ServerId};
use basaltgw_config::plan::table;
use basaltgw_config::{Hierarchy, Member};
use basaltgw_hierarchy as hierarchy;
use basaltgw_hierarchy::{
    Action, ChangeState, ChangeStatus, NodeId, PlanSpec, SourceResult, TopologyManager,
};
use std::sync::Arc;

/// Counters of plans.
#[derive(Clone, Debug, Default)]
pub struct TreeCounters {
    /// Plans that were read.
    pub offered: u64,
    /// Plans that were rejected.
    pub refused: u64,
    /// Topology changes that were completed.
    pub ended: u64,
    /// Fill loops that caches detected.
    pub loops: u64,
    /// Pairs of cache and source that were disabled for a loop.
    pub set_aside: u64,
}

/// A router's plan and the topology change in progress; without a plan it does nothing.
#[derive(Default)]
pub struct Tree {
    topology: Option<TopologyManager>,
    /// Counters so far.
    pub counters: TreeCounters,
}

fn node(id: &ServerId) -> NodeId {
    NodeId(Arc::clone(&id.0))
}

impl Tree {
    /// A tree without a plan; where there is one, it is offered once the endpoint list is known (see [`Tree::offer`]).
    pub fn new(own: Option<&Hierarchy>) -> Self {
        Self { topology: own.map(|h| TopologyManager::new(h.settings)), counters: TreeCounters::default() }
    }

    /// Handles an event; returns the events for the decision module.
    fn handle(&mut self, now: Ms, event: hierarchy::Event) -> Vec<Event> {
        let Some(topology) = &mut self.topology else { return Vec::new() };
        let mut actions = Vec::new();
        topology.handle(now, event, &mut actions);
        let mut events = Vec::new();
        for action in actions {
            match action {
                Action::UseSources(sources) => events.push(Event::FillPlan(Some(Arc::new(table(&sources))))),
                Action::StateEntered { version, state, reason } => {
                    self.counters.ended += u64::from(state == ChangeState::Completed);
                    log::info!(version = version.0, state:% = state; "plan {version} is {state}: {reason}");
                }
                Action::Rejected(error) => {
                    self.counters.refused += 1;
                    log::error!("plan rejected, running plan unchanged: {error}");
                }
                Action::PairDisabled { requester, source } => {
                    self.counters.set_aside += 1;
                    log::warn!(asker:% = requester, source:% = source; "fill loop between {requester} and {source}, pair disabled until the plan changes");
                }
            }
        }
        // The last table replaces those before it.
        events.drain(..events.len().saturating_sub(1));
        events
    }

    /// Offers a plan, at the start or after a reload. The plan in use, while a change to another is in progress, rolls that change back.
    pub fn offer(&mut self, now: Ms, own: &Hierarchy) -> Vec<Event> {
        let topology = self.topology.get_or_insert_with(|| TopologyManager::new(own.settings));
        topology.set_settings(own.settings);
        let plan: &PlanSpec = &own.plan;
        let in_use = topology.rollback_plan().is_some_and(|p| p.spec() == *plan);
        self.counters.offered += 1;
        match (in_use, topology.change_status()) {
            (true, Some(ChangeStatus { rolling_back: false, .. })) => {
                self.handle(now, hierarchy::Event::RollBack)
            }
            (true, _) => Vec::new(),
            // The change in progress was read again.
            (false, Some(ChangeStatus { version, rolling_back: false, .. })) if version == plan.version => {
                Vec::new()
            }
            (false, _) => self.handle(now, hierarchy::Event::Offer(plan.clone())),
        }
    }

    /// Handles an endpoint list; servers that a complete list omits are removed.
    pub fn listed(&mut self, now: Ms, members: &[Member], left_out: &[ServerId]) -> Vec<Event> {
        if self.topology.is_none() {
            return Vec::new();
        }
        let removed = left_out.iter().map(|id| hierarchy::Event::NodeListed {
            node: node(id),
            up: false,
            started: None,
        });
        let listed = members.iter().map(|m| {
            let up = m.entry.state == EndpointState::Up;
            hierarchy::Event::NodeListed { node: node(&m.entry.id), up, started: m.entry.started }
        });
        let all: Vec<_> = removed.chain(listed).collect();
        all.into_iter().flat_map(|event| self.handle(now, event)).collect()
    }

    /// Handles the result of an attempt that named a source.
    pub fn ended(
        &mut self,
        now: Ms,
        (requester, source): (&ServerId, &ServerId),
        object: ObjectId,
        (end, note): (AttemptResult, FillReport),
    ) -> Vec<Event> {
        let result = match (end, note) {
            (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin) => {
                SourceResult::Filled
            }
            (_, FillReport::SourceRejected) => SourceResult::Rejected,
            // A time-out may be the fault of either; a source that is being introduced gets no more meanwhile.
            (_, FillReport::SourceFailed) | (AttemptResult::TimedOut, _) => SourceResult::Failed,
            (_, FillReport::LoopDetected) => SourceResult::LoopDetected,
            _ => return Vec::new(),
        };
        self.counters.loops += u64::from(result == SourceResult::LoopDetected);
        let event = hierarchy::Event::AttemptEnded {
            requester: node(requester),
            source: node(source),
            object: object.0,
            result,
        };
        self.handle(now, event)
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Ms) -> Vec<Event> {
        self.handle(now, hierarchy::Event::Tick)
    }

    /// Describes the plan and the change in progress, for the log.
    pub fn describe(&self) -> Vec<String> {
        self.topology.as_ref().map(TopologyManager::describe).unwrap_or_default()
    }
}
