//! The plan of the cache tree, if the settings file has one: converts the router's events for `basaltgw-hierarchy`, and its actions to
//! events of the decision module.

use basaltgw::api::{AttemptResult, EndpointState, Event, FillReport, Ms, ObjectId, ServerId};
use basaltgw_config::{fill_plan, Hierarchy, ListedServer};
use basaltgw_hierarchy as hierarchy;
use basaltgw_hierarchy::{
    Action, ChangeState, ChangeStatus, NodeId, PlanSpec, SourceResult, TopologyManager,
};
use std::sync::Arc;

/// Counters of plans.
#[derive(Clone, Debug, Default)]
pub struct TreeCounters {
    /// Plans read from the settings file.
    pub plans: u64,
    /// Plans that were rejected.
    pub plans_rejected: u64,
    /// Topology changes that were completed.
    pub changes_completed: u64,
    /// Fill loops that caches detected.
    pub loops: u64,
    /// Pairs of cache and source that were disabled for a loop.
    pub pairs_disabled: u64,
}

/// A router's plan and the topology change in progress. Without a plan, events have no effect.
#[derive(Default)]
pub struct Tree {
    topology: Option<TopologyManager>,
    /// The counters of plans.
    pub counters: TreeCounters,
}

fn node(id: &ServerId) -> NodeId {
    NodeId(Arc::clone(&id.0))
}

impl Tree {
    /// A tree without a plan yet; if the settings file has one, it is offered when the endpoint list is known (see [`Tree::offer`]).
    pub fn new(section: Option<&Hierarchy>) -> Self {
        Self {
            topology: section.map(|h| TopologyManager::new(h.settings)),
            counters: TreeCounters::default(),
        }
    }

    /// Handles an event; returns the events for the decision module.
    fn handle(&mut self, now: Ms, event: hierarchy::Event) -> Vec<Event> {
        let Some(topology) = &mut self.topology else { return Vec::new() };
        let mut actions = Vec::new();
        topology.handle(now, event, &mut actions);
        let mut events = Vec::new();
        for action in actions {
            match action {
                Action::UseSources(sources) => {
                    events.push(Event::FillPlan(Some(Arc::new(fill_plan(&sources)))))
                }
                Action::StateEntered { version, state, reason } => {
                    self.counters.changes_completed += u64::from(state == ChangeState::Completed);
                    log::info!(version = version.0, state:% = state; "plan {version} is {state}: {reason}");
                }
                Action::Rejected(error) => {
                    self.counters.plans_rejected += 1;
                    log::error!("plan rejected, running plan unchanged: {error}");
                }
                Action::PairDisabled { requester, source } => {
                    self.counters.pairs_disabled += 1;
                    log::warn!(asker:% = requester, source:% = source; "fill loop between {requester} and {source}, pair disabled until the plan changes");
                }
            }
        }
        // Only the last fill plan matters, since each replaces the one before.
        events.drain(..events.len().saturating_sub(1));
        events
    }

    /// Offers a plan, at the start or after a reload. If it is the plan in use and a change to another plan is in progress, that change is
    /// rolled back.
    pub fn offer(&mut self, now: Ms, section: &Hierarchy) -> Vec<Event> {
        let topology = self.topology.get_or_insert_with(|| TopologyManager::new(section.settings));
        topology.set_settings(section.settings);
        let plan: &PlanSpec = &section.plan;
        let in_use = topology.rollback_plan().is_some_and(|p| p.spec() == *plan);
        self.counters.plans += 1;
        match (in_use, topology.change_status()) {
            (true, Some(ChangeStatus { rolling_back: false, .. })) => {
                self.handle(now, hierarchy::Event::RollBack)
            }
            (true, _) => Vec::new(),
            // The plan is that of the change in progress.
            (false, Some(ChangeStatus { version, rolling_back: false, .. })) if version == plan.version => {
                Vec::new()
            }
            (false, _) => self.handle(now, hierarchy::Event::Offer(plan.clone())),
        }
    }

    /// Handles an endpoint list; `left_out` are the servers that a complete list omits, which are removed.
    pub fn on_endpoint_list(
        &mut self,
        now: Ms,
        servers: &[ListedServer],
        left_out: &[ServerId],
    ) -> Vec<Event> {
        if self.topology.is_none() {
            return Vec::new();
        }
        let removed = left_out.iter().map(|id| hierarchy::Event::NodeListed {
            node: node(id),
            up: false,
            started: None,
        });
        let listed = servers.iter().map(|s| {
            let up = s.endpoint.state == EndpointState::Up;
            hierarchy::Event::NodeListed { node: node(&s.endpoint.id), up, started: s.endpoint.started }
        });
        let all: Vec<_> = removed.chain(listed).collect();
        all.into_iter().flat_map(|event| self.handle(now, event)).collect()
    }

    /// Handles the result of an attempt that named a source.
    pub fn on_attempt_result(
        &mut self,
        now: Ms,
        (requester, source): (&ServerId, &ServerId),
        object: ObjectId,
        (attempt_result, fill_report): (AttemptResult, FillReport),
    ) -> Vec<Event> {
        let result = match (attempt_result, fill_report) {
            (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin) => {
                SourceResult::Filled
            }
            (_, FillReport::SourceRejected) => SourceResult::Rejected,
            // A timeout may be caused by the cache or by the source. It counts as a failure of the pair, so that the share of a source that
            // is being introduced is not raised meanwhile.
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

    /// Handles the passage of time; called by the owner's maintenance.
    pub fn tick(&mut self, now: Ms) -> Vec<Event> {
        self.handle(now, hierarchy::Event::Tick)
    }

    /// Describes the plan and the change in progress, for the log.
    pub fn describe(&self) -> Vec<String> {
        self.topology.as_ref().map(TopologyManager::describe).unwrap_or_default()
    }
}
