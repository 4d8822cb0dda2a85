//! The plan of the cache tree, where the project's own file has one: carries between the router's events and `basaltgw-hierarchy`.

use basaltgw::api::{AttemptResult, EndpointState, Event, FillReport, Ms, ObjectId, ServerId};
use basaltgw_config::plan::table;
use basaltgw_config::{Hierarchy, Member};
use basaltgw_hierarchy as hierarchy;
use basaltgw_hierarchy::{Act, How, NodeId, PlanSpec, Reshape};
use std::sync::Arc;

/// What came of plans.
#[derive(Clone, Debug, Default)]
pub struct TreeCounters {
    /// Plans that came in, and those that were refused.
    pub offered: u64,
    /// See `offered`.
    pub refused: u64,
    /// Changes that were ended.
    pub ended: u64,
    /// Fills that met themselves, as caches told, and pairs set aside for it.
    pub loops: u64,
    /// See `loops`.
    pub set_aside: u64,
}

/// A router's plan and the change under way; without one it does nothing.
#[derive(Default)]
pub struct Tree {
    reshape: Option<Reshape>,
    /// Counts so far.
    pub counters: TreeCounters,
}

fn node(id: &ServerId) -> NodeId {
    NodeId(Arc::clone(&id.0))
}

impl Tree {
    /// Without a plan, or with one that is offered once the list is known (see [`Tree::offer`]).
    pub fn new(own: Option<&Hierarchy>) -> Self {
        Self { reshape: own.map(|h| Reshape::new(h.settings)), counters: TreeCounters::default() }
    }

    /// Hands an event over; what the module has to be told of it.
    fn handle(&mut self, now: Ms, event: hierarchy::Event) -> Vec<Event> {
        let Some(reshape) = &mut self.reshape else { return Vec::new() };
        let mut acts = Vec::new();
        reshape.handle(now, event, &mut acts);
        let mut events = Vec::new();
        for act in acts {
            match act {
                Act::Use(of) => events.push(Event::FillPlan(Some(Arc::new(table(&of))))),
                Act::Entered(version, state, why) => {
                    self.counters.ended += u64::from(state == hierarchy::State::Gone);
                    log::info!(version = version.0, state:% = state; "plan {version} is {state}: {why}");
                }
                Act::Refused(refusal) => {
                    self.counters.refused += 1;
                    log::error!("plan refused: {refusal}; what runs stays");
                }
                Act::SetAside(asker, source) => {
                    self.counters.set_aside += 1;
                    log::warn!(asker:% = asker, source:% = source; "{asker} and {source} loop; set aside until the plan changes");
                }
            }
        }
        // Only the last table counts.
        events.drain(..events.len().saturating_sub(1));
        events
    }

    /// A plan came in, at the start or by a reload. The one in use while another is under way means that this is taken back.
    pub fn offer(&mut self, now: Ms, own: &Hierarchy) -> Vec<Event> {
        let reshape = self.reshape.get_or_insert_with(|| Reshape::new(own.settings));
        reshape.set(own.settings);
        let plan: &PlanSpec = &own.plan;
        let in_use = reshape.came_from().is_some_and(|p| p.spec() == *plan);
        self.counters.offered += 1;
        match (in_use, reshape.under_way()) {
            (true, Some((_, _, false))) => self.handle(now, hierarchy::Event::TakeBack),
            (true, _) => Vec::new(),
            // The change under way, read once more.
            (false, Some((version, _, false))) if version == plan.version => Vec::new(),
            (false, _) => self.handle(now, hierarchy::Event::Offer(plan.clone())),
        }
    }

    /// The list tells of servers; those that a whole list leaves out are gone.
    pub fn listed(&mut self, now: Ms, members: &[Member], left_out: &[ServerId]) -> Vec<Event> {
        if self.reshape.is_none() {
            return Vec::new();
        }
        let gone = left_out.iter().map(|id| hierarchy::Event::Listed(node(id), false, None));
        let told = members.iter().map(|m| {
            let up = m.entry.state == EndpointState::Up;
            hierarchy::Event::Listed(node(&m.entry.id), up, m.entry.started)
        });
        let all: Vec<_> = gone.chain(told).collect();
        all.into_iter().flat_map(|event| self.handle(now, event)).collect()
    }

    /// An attempt that named a source is over.
    pub fn ended(
        &mut self,
        now: Ms,
        (asker, source): (&ServerId, &ServerId),
        object: ObjectId,
        (end, note): (AttemptResult, FillReport),
    ) -> Vec<Event> {
        let how = match (end, note) {
            (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin) => How::Answered,
            (_, FillReport::SourceRejected) => How::Refused,
            // Whose fault a late answer is is not known; a newcomer gets no more meanwhile.
            (_, FillReport::SourceFailed) | (AttemptResult::TimedOut, _) => How::Failed,
            (_, FillReport::LoopDetected) => How::Looped,
            _ => return Vec::new(),
        };
        self.counters.loops += u64::from(how == How::Looped);
        let event =
            hierarchy::Event::Ended { asker: node(asker), source: node(source), object: object.0, how };
        self.handle(now, event)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Ms) -> Vec<Event> {
        self.handle(now, hierarchy::Event::Tick)
    }

    /// For people: the plan, and how far a change is.
    pub fn describe(&self) -> Vec<String> {
        self.reshape.as_ref().map(Reshape::describe).unwrap_or_default()
    }
}
