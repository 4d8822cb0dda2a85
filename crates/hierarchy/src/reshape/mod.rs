//! A router's side of a change: from one plan to the next by portions, each entered by what this router observed.
//!
//! While a change is under way an edge cache may name the sources of both plans. A source that only the new one permits is a newcomer
//! there, one that only the old one permits a leaver; each has a share of its objects (see
//! [`within_share`](basaltgw_structures::hash::within_share)) that grows or falls by steps.

mod api;
mod offers;
mod progress;
mod sources;
#[cfg(test)]
mod tests;
mod transfer;

pub use api::{Act, Event, How, Share, State, Table};
use sources::*;
use transfer::*;

use crate::plan::{NodeId, Plan, Version};
use crate::{Ms, Settings};
use basaltgw_structures::hash::{fnv1a, within_share};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::sync::Arc;

/// Shares, smallest first. Doubled, since what a step shows is worth no more than twice what it tried.
const SHARES: [f64; 6] = [0.0, 1.0 / 16.0, 1.0 / 8.0, 1.0 / 4.0, 1.0 / 2.0, 1.0];
const NONE: usize = 0;
const FIRST: usize = 1;
const WHOLE: usize = SHARES.len() - 1;
/// Pairs of which loops are counted.
const MOST_PAIRS: usize = 1_024;

/// A router's plan, and the change that is under way.
#[derive(Clone, Debug)]
pub struct Reshape {
    set: Settings,
    plan: Option<Arc<Plan>>,
    change: Option<Change>,
    /// The highest version that was ever offered.
    highest: Option<Version>,
    /// Nodes that the list has named: up, and when started.
    listed: HashMap<NodeId, (bool, Option<Ms>)>,
    /// Loops by asker and source.
    loops: IndexMap<(NodeId, NodeId), u32>,
}

impl Reshape {
    /// A router without a plan: everything is as without this package.
    pub fn new(set: Settings) -> Self {
        Self { set, plan: None, change: None, highest: None, listed: HashMap::new(), loops: IndexMap::new() }
    }

    /// How reshapes go from now on; a step under way is judged by it too.
    pub fn set(&mut self, set: Settings) {
        self.set = set;
    }

    /// The plan in use.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// The plan that taking back leads to: the one in use before all steps of the change under way; without one, the plan in use.
    pub fn came_from(&self) -> Option<&Arc<Plan>> {
        self.change.as_ref().and_then(|c| c.passed.first()).or(self.plan.as_ref())
    }

    /// What is under way: the version, its state, and whether it is being taken back.
    pub fn under_way(&self) -> Option<(Version, State, bool)> {
        self.change.as_ref().map(|c| (c.next.version(), c.state, c.back))
    }

    /// For people: the plan, the change, and each newcomer's and leaver's share, one in each line.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = vec![match &self.plan {
            None => "no plan: every listed parent is a source".to_string(),
            Some(plan) => format!("plan {}: {} nodes in use", plan.version(), plan.nodes().len()),
        }];
        if let Some(c) = &self.change {
            let back = if c.back { ", being taken back" } else { "" };
            lines.push(format!(
                "change to {}: {}{back}, {} steps after it",
                c.next.version(),
                c.state,
                c.then.len()
            ));
            let of = |m: &Moving, what: &str| {
                let up = if self.up(&m.node) { "" } else { ", not up" };
                format!("{what} {}: share {}, {} answers in this step{up}", m.node, SHARES[m.step], m.proofs)
            };
            lines
                .extend(c.come.iter().map(|m| of(m, "newcomer")).chain(c.go.iter().map(|m| of(m, "leaver"))));
        }
        let aside = self.loops.iter().filter(|(_, n)| **n >= self.set.loops);
        lines.extend(
            aside.map(|((asker, source), n)| {
                format!("set aside: {asker} no longer names {source}, {n} loops")
            }),
        );
        lines
    }

    /// Takes an event in and appends what comes of it.
    pub fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Act>) {
        match event {
            Event::Offer(spec) => self.offer(now, spec, acts),
            Event::TakeBack => self.take_back(now, acts),
            Event::Listed(node, up, started) => self.listed(now, node, up, started, acts),
            Event::Ended { asker, source, object, how } => {
                self.ended(now, &asker, &source, object, how, acts)
            }
            Event::Tick => self.advance(now, acts),
        }
    }

    fn up(&self, node: &NodeId) -> bool {
        self.listed.get(node).is_some_and(|(up, _)| *up)
    }

    fn enter(&mut self, state: State, why: String, acts: &mut Vec<Act>) {
        if let Some(c) = &mut self.change {
            c.state = state;
            acts.push(Act::Entered(c.next.version(), state, why));
        }
    }

    // ---- What is observed ----

    fn listed(&mut self, now: Ms, node: NodeId, up: bool, started: Option<Ms>, acts: &mut Vec<Act>) {
        let before = self.listed.insert(node.clone(), (up, started));
        if before.is_none() && up && self.plan.as_ref().is_some_and(|p| p.node(&node).is_some()) {
            acts.push(Act::Use(self.table()));
        }
        // Nodes that no plan names and that are gone need not be known.
        let next = self.change.as_ref().map(|c| &c.next);
        if !up && self.plan.iter().chain(next).all(|p| p.node(&node).is_none()) {
            self.listed.remove(&node);
            return;
        }
        let Some(c) = &mut self.change else { return };
        let anew = before.is_some_and(|(_, was)| started > was);
        let Some(m) = c.come.iter_mut().find(|m| m.node == node) else { return };
        let step = match (up, m.step) {
            (false, NONE) => return,
            (false, _) => NONE,
            (true, NONE) => FIRST,
            (true, _) if anew => FIRST,
            (true, _) => return,
        };
        m.go(step, now);
        let why = if up {
            format!("{node} is there, and starts with its first share")
        } else {
            format!("{node} is lost")
        };
        self.enter(State::Warming, why, acts);
        acts.push(Act::Use(self.table()));
    }

    fn ended(
        &mut self,
        now: Ms,
        asker: &NodeId,
        source: &NodeId,
        object: u64,
        how: How,
        acts: &mut Vec<Act>,
    ) {
        if how == How::Looped {
            let pair = (asker.clone(), source.clone());
            if self.loops.len() >= MOST_PAIRS && !self.loops.contains_key(&pair) {
                self.loops.shift_remove_index(0);
            }
            let count = self.loops.entry(pair).or_insert(0);
            *count += 1;
            if *count == self.set.loops {
                acts.push(Act::SetAside(asker.clone(), source.clone()));
                acts.push(Act::Use(self.table()));
            }
            return;
        }
        let (Some(c), Some(plan)) = (&mut self.change, &self.plan) else { return };
        // A node may come for one cache, leave another, and be an old source of a third.
        let has = |p: &Plan| p.node(asker).is_some_and(|n| n.sources.contains(source));
        let (old, new) = (has(plan), has(&c.next));
        if let Some(m) = c.come.iter_mut().find(|m| m.node == *source).filter(|_| new && !old) {
            m.last = now;
            match how {
                How::Answered => m.proofs += 1,
                How::Refused | How::Failed | How::Looped => m.bad += 1,
            }
        }
        if let Some(m) = c.go.iter_mut().find(|m| m.node == *source).filter(|_| old && !new) {
            m.last = now;
        }
        if c.state == State::Retiring && !c.go.is_empty() {
            // What a leaver gave up and another now gave.
            let first = plan.sources(asker, object).next();
            let given_up = |m: &&mut Moving| {
                first == Some(&m.node) && !within_share(object, fnv1a(&m.node.0), SHARES[m.step])
            };
            if let Some(m) = c.go.iter_mut().find(given_up).filter(|m| m.node != *source) {
                match how {
                    How::Answered => m.proofs += 1,
                    How::Refused | How::Failed | How::Looped => m.bad += 1,
                }
            }
        }
        self.advance(now, acts);
    }
}
