//! A cache's side of the plan: whom it asks for what it lacks, what it has handed over, and when it refuses a loop.

use crate::{Looped, Ms, NodeId, Plan, Settings, Tier, Trail};
use indexmap::IndexMap;
use std::sync::Arc;

/// Versions whose homes are still asked for what they hold.
const MOST_BEFORE: usize = 4;
/// Objects that a node remembers to have handed over.
const MOST_HANDED: usize = 4_096;

/// Whom a node asks next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Next {
    /// Whom.
    pub to: NodeId,
    /// Only for what it holds or has under way.
    pub held_only: bool,
    /// It is the archive.
    pub archive: bool,
}

/// What one cache knows of the tree. It takes versions over when it hears of them, which may be later than others.
#[derive(Clone, Debug)]
pub struct CacheSide {
    me: NodeId,
    plan: Option<Arc<Plan>>,
    /// The versions before, the last one first, and until when their homes are asked.
    before: Vec<(Arc<Plan>, Ms)>,
    /// Until then it has not long been there, and others have stood in for it.
    anew: Ms,
    /// Objects of which a new home has taken over the fills.
    handed: IndexMap<u64, NodeId>,
}

impl CacheSide {
    /// A cache without a plan.
    pub fn new(me: NodeId) -> Self {
        Self { me, plan: None, before: Vec::new(), anew: f64::NEG_INFINITY, handed: IndexMap::new() }
    }

    /// The plan in use.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Takes a version over. One that is no later than the one in use changes nothing; false then.
    pub fn take(&mut self, now: Ms, plan: Arc<Plan>, set: &Settings) -> bool {
        if self.plan.as_ref().is_some_and(|p| p.version() >= plan.version()) {
            return false;
        }
        // What was handed over is home there by now, or will be asked for under the new plan.
        self.handed.clear();
        if let Some(old) = self.plan.replace(plan) {
            self.before.insert(0, (old, now + set.handover));
        }
        self.before.retain(|(_, until)| now < *until);
        self.before.truncate(MOST_BEFORE);
        true
    }

    /// It has started anew, without what it had in memory; who stood in for it meanwhile is asked first for what it holds.
    pub fn started(&mut self, now: Ms, set: &Settings) {
        self.anew = now + set.handover;
        self.handed.clear();
        self.before.clear();
    }

    /// A fill comes in: the trail that goes on from here, or why it is refused.
    pub fn passes(&self, trail: &Trail) -> Result<Trail, Looped> {
        trail.through(&self.me)
    }

    /// Somebody asked only for what is held, of which there was nothing: as the object's new home it now fetches it itself,
    /// so whoever still comes here is sent on to it.
    pub fn hand_over(&mut self, object: u64, to: &NodeId) {
        self.handed.insert(object, to.clone());
        if self.handed.len() > MOST_HANDED {
            self.handed.shift_remove_index(0);
        }
    }

    /// Whom to ask for an object next: nobody that the fill has passed, nor that was `tried`. `trail` is the one that goes on
    /// from here. `None` without a plan, or with nobody left.
    pub fn next(&self, now: Ms, object: u64, trail: &Trail, tried: &[NodeId]) -> Option<Next> {
        let plan = self.plan.as_ref()?;
        let open = |n: &&NodeId| !tried.contains(n) && !trail.holds(n);
        let ask =
            |to: &NodeId, held_only| Some(Next { to: to.clone(), held_only, archive: to == plan.archive() });
        if let Some(to) = self.handed.get(&object).filter(open) {
            return ask(to, false);
        }
        match plan.node(&self.me).map(|n| n.tier) {
            // Hubs, and those that the plan no longer names.
            Some(Tier(1)) | None => {
                for home in plan.homes(object) {
                    if *home == self.me {
                        return self.as_home(now, object, &open, plan);
                    }
                    // Whom it has lost, the next in order stands in for: all hubs meet there, and not at the archive.
                    if open(&home) {
                        return ask(home, false);
                    }
                }
                Some(plan.archive()).filter(open).and_then(|a| ask(a, false))
            }
            Some(_) => plan.sources(&self.me, object).find(open).and_then(|to| ask(to, false)),
        }
    }

    /// As an object's home: first the homes of versions before, which may hold it or be about to; then the archive.
    fn as_home(&self, now: Ms, object: u64, open: &impl Fn(&&NodeId) -> bool, plan: &Plan) -> Option<Next> {
        let before = self.before.iter().filter(|(_, until)| now < *until);
        let before = before.filter_map(|(p, _)| p.home(object));
        let stood_in = plan.homes(object).nth(1).filter(|_| now < self.anew);
        let was = before.chain(stood_in).find(|was| **was != self.me && open(was));
        if let Some(was) = was {
            return Some(Next { to: was.clone(), held_only: true, archive: false });
        }
        let archive = Some(plan.archive()).filter(open)?;
        Some(Next { to: archive.clone(), held_only: false, archive: true })
    }
}

#[cfg(test)]
mod tests;
