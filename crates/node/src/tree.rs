//! The plan of the cache tree, if the settings file has one: converts the router's events for `basaltgw-hierarchy`, and its actions to
//! events of the decision module.

use basaltgw::api::{AttemptResult, EndpointState, Event, FillReport, Ms, ObjectId, ServerId};
use basaltgw_config::plan::table;
use basaltgw_config::{Hierarchy, Member};
use basaltgw_hierarchy as hierarchy;
use basaltgw_hierarchy::{Act, How, NodeId, PlanSpec, Reshape};
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
    reshape: Option<Reshape>,
    /// The counters of plans.
    pub counters: TreeCounters,
}

fn node(id: &ServerId) -> NodeId {
    NodeId(Arc::clone(&id.0))
}

impl Tree {
    /// A tree without a plan yet; if the settings file has one, it is offered when the endpoint list is known (see [`Tree::offer`]).
    pub fn new(own: Option<&Hierarchy>) -> Self {
        Self { reshape: own.map(|h| Reshape::new(h.settings)), counters: TreeCounters::default() }
    }

    /// Handles an event; returns the events for the decision module.
    fn handle(&mut self, now: Ms, event: hierarchy::Event) -> Vec<Event> {
        let Some(reshape) = &mut self.reshape else { return Vec::new() };
        let mut acts = Vec::new();
        reshape.handle(now, event, &mut acts);
        let mut events = Vec::new();
        for act in acts {
            match act {
                Act::Use(of) => events.push(Event::FillPlan(Some(Arc::new(table(&of))))),
                Act::Entered(version, state, why) => {
                    self.counters.changes_completed += u64::from(state == hierarchy::State::Gone);
                    log::info!(version = version.0, state:% = state; "plan {version} is {state}: {why}");
                }
                Act::Refused(refusal) => {
                    self.counters.plans_rejected += 1;
                    log::error!("plan rejected, running plan unchanged: {refusal}");
                }
                Act::SetAside(asker, source) => {
                    self.counters.pairs_disabled += 1;
                    log::warn!(asker:% = asker, source:% = source; "fill loop between {asker} and {source}, pair disabled until the plan changes");
                }
            }
        }
        // Only the last fill plan matters, since each replaces the one before.
        events.drain(..events.len().saturating_sub(1));
        events
    }

    /// Offers a plan, at the start or after a reload. If it is the plan in use and a change to another plan is in progress, that change is
    /// rolled back.
    pub fn offer(&mut self, now: Ms, own: &Hierarchy) -> Vec<Event> {
        let reshape = self.reshape.get_or_insert_with(|| Reshape::new(own.settings));
        reshape.set(own.settings);
        let plan: &PlanSpec = &own.plan;
        let in_use = reshape.came_from().is_some_and(|p| p.spec() == *plan);
        self.counters.plans += 1;
        match (in_use, reshape.under_way()) {
            (true, Some((_, _, false))) => self.handle(now, hierarchy::Event::TakeBack),
            (true, _) => Vec::new(),
            // The plan is that of the change in progress.
            (false, Some((version, _, false))) if version == plan.version => Vec::new(),
            (false, _) => self.handle(now, hierarchy::Event::Offer(plan.clone())),
        }
    }

    /// Handles an endpoint list; `left_out` are the servers that a complete list omits, which are removed.
    pub fn on_endpoint_list(&mut self, now: Ms, members: &[Member], left_out: &[ServerId]) -> Vec<Event> {
        if self.reshape.is_none() {
            return Vec::new();
        }
        let removed = left_out.iter().map(|id| hierarchy::Event::Listed(node(id), false, None));
        let listed = members.iter().map(|m| {
            let up = m.entry.state == EndpointState::Up;
            hierarchy::Event::Listed(node(&m.entry.id), up, m.entry.started)
        });
        let all: Vec<_> = removed.chain(listed).collect();
        all.into_iter().flat_map(|event| self.handle(now, event)).collect()
    }

    /// Handles the result of an attempt that named a source.
    pub fn on_attempt_result(
        &mut self,
        now: Ms,
        (asker, source): (&ServerId, &ServerId),
        object: ObjectId,
        (end, note): (AttemptResult, FillReport),
    ) -> Vec<Event> {
        let how = match (end, note) {
            (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin) => How::Answered,
            (_, FillReport::SourceRejected) => How::Refused,
            // A timeout may be caused by the cache or by the source. It counts as a failure of the pair, so that the share of a source that
            // is being introduced is not raised meanwhile.
            (_, FillReport::SourceFailed) | (AttemptResult::TimedOut, _) => How::Failed,
            (_, FillReport::LoopDetected) => How::Looped,
            _ => return Vec::new(),
        };
        self.counters.loops += u64::from(how == How::Looped);
        let event =
            hierarchy::Event::Ended { asker: node(asker), source: node(source), object: object.0, how };
        self.handle(now, event)
    }

    /// Handles the passage of time; called by the owner's maintenance.
    pub fn tick(&mut self, now: Ms) -> Vec<Event> {
        self.handle(now, hierarchy::Event::Tick)
    }

    /// Describes the plan and the change in progress, for the log.
    pub fn describe(&self) -> Vec<String> {
        self.reshape.as_ref().map(Reshape::describe).unwrap_or_default()
    }
}
