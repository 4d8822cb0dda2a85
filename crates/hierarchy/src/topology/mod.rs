//! A router's side of a topology change: the change from one plan to the next in steps, of which each is
//! complete once this router's observations say so.
//!
//! During a change an edge cache may name the sources of both plans. A source that only the new plan permits to it is a newcomer,
//! one that only the old plan permits a leaver. Each has a share of its objects (see
//! [`within_share`](basaltgw_structures::hash::within_share)) that grows or shrinks in steps.
//!
//! | Module | Concern |
//! |---|---|
//! | `api` | events, actions and results |
//! | `offers` | new plans: checked, split into steps, begun and rolled back |
//! | `observations` | the endpoint list, and the results of attempts |
//! | `progress` | when a step is complete |
//! | `transfer` | the share of one newcomer or leaver |
//! | `source_table` | the sources that caches may name now |

mod api;
mod observations;
mod offers;
mod progress;
mod source_table;
#[cfg(test)]
mod tests;
mod transfer;

pub use api::{Action, ChangeState, ChangeStatus, Event, PermittedSource, SourceResult, SourceTable};

use crate::plan::{NodeId, Plan, Version};
use crate::{Ms, Settings};
use indexmap::IndexMap;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use transfer::{ShareTransfer, SHARES};

/// Greatest number of pairs of requester and source whose loops are counted; the oldest is forgotten first.
const MAX_LOOP_PAIRS: usize = 1_024;

/// A node's entry on the endpoint list.
#[derive(Clone, Copy, Debug)]
struct ListedNode {
    up: bool,
    /// When the node was started, if a short time ago.
    started: Option<Ms>,
}

/// The topology change in progress: the current step, and the steps after it.
#[derive(Clone, Debug)]
struct Change {
    /// The plan that the current step leads to.
    next: Arc<Plan>,
    /// The plans of the steps after the current one.
    later_steps: VecDeque<Arc<Plan>>,
    /// The plans in use since the offer and before the one in use, first to last; a rollback goes through them in reverse.
    earlier_plans: Vec<Arc<Plan>>,
    state: ChangeState,
    newcomers: Vec<ShareTransfer>,
    leavers: Vec<ShareTransfer>,
    rolling_back: bool,
}

/// A router's plan, and the topology change in progress.
#[derive(Clone, Debug)]
pub struct TopologyManager {
    settings: Settings,
    plan: Option<Arc<Plan>>,
    change: Option<Change>,
    /// The highest version ever offered.
    highest_offered: Option<Version>,
    /// The nodes on the endpoint list.
    listed: HashMap<NodeId, ListedNode>,
    /// Number of loops by requester and source, in that order.
    loops: IndexMap<(NodeId, NodeId), u32>,
}

impl TopologyManager {
    /// A manager without a plan, which restricts no source.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            plan: None,
            change: None,
            highest_offered: None,
            listed: HashMap::new(),
            loops: IndexMap::new(),
        }
    }

    /// Replaces the settings; the current step is judged by the new ones.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The plan in use.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// The plan that a rollback leads to: the one in use before all steps of the change in progress; without a change, the plan in use.
    pub fn rollback_plan(&self) -> Option<&Arc<Plan>> {
        self.change.as_ref().and_then(|c| c.earlier_plans.first()).or(self.plan.as_ref())
    }

    /// The change in progress.
    pub fn change_status(&self) -> Option<ChangeStatus> {
        self.change.as_ref().map(|c| ChangeStatus {
            version: c.next.version(),
            state: c.state,
            rolling_back: c.rolling_back,
        })
    }

    /// Describes, for the log, the plan, the change in progress, the share of each newcomer and leaver, and the disabled pairs; one a line.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = vec![match &self.plan {
            None => "no plan: every listed parent is a source".to_string(),
            Some(plan) => format!("plan {}: {} nodes in use", plan.version(), plan.nodes().len()),
        }];
        if let Some(c) = &self.change {
            let rollback = if c.rolling_back { ", being rolled back" } else { "" };
            lines.push(format!(
                "change to {}: {}{rollback}, {} steps after it",
                c.next.version(),
                c.state,
                c.later_steps.len()
            ));
            let describe = |t: &ShareTransfer, kind: &str| {
                let up = if self.is_up(&t.source) { "" } else { ", not up" };
                let share = SHARES[t.step];
                format!(
                    "{kind} {}: share {share}, {} successful fills in this step{up}",
                    t.source, t.successes
                )
            };
            let newcomers = c.newcomers.iter().map(|t| describe(t, "newcomer"));
            lines.extend(newcomers.chain(c.leavers.iter().map(|t| describe(t, "leaver"))));
        }
        let disabled = self.loops.iter().filter(|(_, n)| **n >= self.settings.loops_to_disable_pair);
        lines.extend(disabled.map(|((requester, source), n)| {
            format!("pair disabled: {requester} no longer names {source}, {n} loops")
        }));
        lines
    }

    /// Handles an event; appends the actions that follow from it.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Offer(spec) => self.offer(now, spec, actions),
            Event::RollBack => self.roll_back(now, actions),
            Event::NodeListed { node, up, started } => {
                self.node_listed(now, node, ListedNode { up, started }, actions)
            }
            Event::AttemptEnded { requester, source, object, result } => {
                self.attempt_ended(now, (requester, source), object, result, actions)
            }
            Event::Tick => self.advance(now, actions),
        }
    }

    fn is_up(&self, node: &NodeId) -> bool {
        self.listed.get(node).is_some_and(|listed| listed.up)
    }

    fn enter(&mut self, state: ChangeState, reason: String, actions: &mut Vec<Action>) {
        if let Some(c) = &mut self.change {
            c.state = state;
            actions.push(Action::StateEntered { version: c.next.version(), state, reason });
        }
    }
}
