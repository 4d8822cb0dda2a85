//! Where a cache requests what it has no copy of, by the plan that it has adopted.

use crate::{LoopError, Ms, NodeId, Plan, Settings, Tier, VisitedPath};
use indexmap::IndexMap;
use std::sync::Arc;

/// Greatest number of earlier plans whose homes still receive requests for cached copies.
const MAX_EARLIER_PLANS: usize = 4;
/// Greatest number of objects of which a node remembers the handover to a new home; the oldest is forgotten first.
const MAX_HANDOVERS: usize = 4_096;

/// The node that a fill is requested from next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectedSource {
    /// The node that gets the request.
    pub node: NodeId,
    /// The request is for a cached copy or a fill in progress only.
    pub cached_only: bool,
    /// The node is the origin.
    pub is_origin: bool,
}

/// Selects the sources of one cache. Caches learn of a new version at different times, so this cache may be behind others.
#[derive(Clone, Debug)]
pub struct SourceSelector {
    me: NodeId,
    plan: Option<Arc<Plan>>,
    /// Earlier plans, latest first, and until when their homes receive requests for cached copies.
    earlier: Vec<(Arc<Plan>, Ms)>,
    /// After a restart: until when the node that replaced this one as home receives requests for cached copies.
    restart_window_end: Ms,
    /// By object: the new home that has taken over its fills.
    handovers: IndexMap<u64, NodeId>,
}

impl SourceSelector {
    /// A selector without a plan, for the node `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            plan: None,
            earlier: Vec::new(),
            restart_window_end: f64::NEG_INFINITY,
            handovers: IndexMap::new(),
        }
    }

    /// The plan in use.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Adopts a plan. Returns false and changes nothing if its version is not above the one in use.
    pub fn adopt(&mut self, now: Ms, plan: Arc<Plan>, settings: &Settings) -> bool {
        if self.plan.as_ref().is_some_and(|p| p.version() >= plan.version()) {
            return false;
        }
        // By now the new homes have the handed-over objects, or will request them under the new plan.
        self.handovers.clear();
        if let Some(old) = self.plan.replace(plan) {
            self.earlier.insert(0, (old, now + settings.handover_duration));
        }
        self.earlier.retain(|(_, until)| now < *until);
        self.earlier.truncate(MAX_EARLIER_PLANS);
        true
    }

    /// Handles a restart of this node, which loses its memory: for some time the node that replaced it as home gets its requests
    /// for cached copies first.
    pub fn restart(&mut self, now: Ms, settings: &Settings) {
        self.restart_window_end = now + settings.handover_duration;
        self.handovers.clear();
        self.earlier.clear();
    }

    /// The path of an incoming fill with this node appended.
    ///
    /// # Errors
    /// [`LoopError`] if this node must reject the fill.
    pub fn visit(&self, path: &VisitedPath) -> Result<VisitedPath, LoopError> {
        path.visit(&self.me)
    }

    /// Records that `new_home` requested a cached copy that this node does not have: as the object's new home it fetches the object itself
    /// now, and later requests that reach this node go on to it.
    pub fn record_handover(&mut self, object: u64, new_home: &NodeId) {
        self.handovers.insert(object, new_home.clone());
        if self.handovers.len() > MAX_HANDOVERS {
            self.handovers.shift_remove_index(0);
        }
    }

    /// The next source of an object's fill: no node on `path`, which includes this node, and none in `tried`.
    /// `None` without a plan, or with no source left.
    pub fn next_source(
        &self,
        now: Ms,
        object: u64,
        path: &VisitedPath,
        tried: &[NodeId],
    ) -> Option<SelectedSource> {
        let plan = self.plan.as_ref()?;
        let is_available = |n: &&NodeId| !tried.contains(n) && !path.contains(n);
        let select = |node: &NodeId| {
            let is_origin = node == plan.origin();
            Some(SelectedSource { node: node.clone(), cached_only: false, is_origin })
        };
        if let Some(new_home) = self.handovers.get(&object).filter(is_available) {
            return select(new_home);
        }
        match plan.node(&self.me).map(|n| n.tier) {
            // Nodes of tier 1, and nodes that the plan no longer names.
            Some(Tier(1)) | None => {
                for home in plan.home_candidates(object) {
                    if *home == self.me {
                        return self.source_as_home(now, object, &is_available, plan);
                    }
                    // The next candidate replaces an unavailable home, so that all requests for the object meet there and
                    // not at the origin.
                    if is_available(&home) {
                        return select(home);
                    }
                }
                Some(plan.origin()).filter(is_available).and_then(select)
            }
            Some(_) => plan.sources(&self.me, object).find(is_available).and_then(select),
        }
    }

    /// The next source at an object's home: the homes of earlier versions, which may have a copy or a fill in progress; then the origin.
    fn source_as_home(
        &self,
        now: Ms,
        object: u64,
        is_available: &impl Fn(&&NodeId) -> bool,
        plan: &Plan,
    ) -> Option<SelectedSource> {
        let earlier = self.earlier.iter().filter(|(_, until)| now < *until);
        let earlier_homes = earlier.filter_map(|(p, _)| p.home(object));
        let replacement = plan.home_candidates(object).nth(1).filter(|_| now < self.restart_window_end);
        let mut candidates = earlier_homes.chain(replacement);
        if let Some(home) = candidates.find(|home| **home != self.me && is_available(home)) {
            return Some(SelectedSource { node: home.clone(), cached_only: true, is_origin: false });
        }
        let origin = Some(plan.origin()).filter(is_available)?;
        Some(SelectedSource { node: origin.clone(), cached_only: false, is_origin: true })
    }
}

#[cfg(test)]
mod tests;
