//! Which sources a miss at an edge cache may be filled from.
//!
//! Inputs: the fill plan that the router's owner computes, and the endpoint list. Without a plan, or for an
//! edge cache that it does not name, every listed parent and the origin are sources.

use super::endpoints::{Endpoints, ServerIndex, ServerOrder};
use crate::api::{EndpointState, FillPlan, Role, SourceShare};
use crate::hash::within_share;
use indexmap::IndexMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// The sources that the plan names for an edge cache, among the servers that are up.
pub(super) struct PlannedSources {
    order: ServerOrder,
    /// By source: the share of its objects for which it may be used, 0 to 1.
    share: HashMap<ServerIndex, f64>,
    origin_allowed: bool,
}

impl PlannedSources {
    fn new(sources: &[SourceShare], origin_allowed: bool, endpoints: &Endpoints) -> Self {
        let is_up = |index: &ServerIndex| endpoints[*index].entry.state == EndpointState::Up;
        let index_of = |source: &SourceShare| endpoints.index_of(&source.id).filter(is_up);
        let up: Vec<(ServerIndex, &SourceShare)> =
            sources.iter().filter_map(|source| index_of(source).map(|index| (index, source))).collect();
        let order = ServerOrder::new(up.iter().map(|(index, source)| (*index, source.weight)), endpoints);
        let share = up.into_iter().map(|(index, source)| (index, source.share)).collect();
        Self { order, share, origin_allowed }
    }

    /// The sources in rendezvous order.
    pub fn order(&self) -> &ServerOrder {
        &self.order
    }

    /// Whether the origin may be the source where no other is available.
    pub fn allows_origin(&self) -> bool {
        self.origin_allowed
    }

    /// Whether an object belongs to the planned share of a source.
    pub fn assigns(&self, object: u64, source: ServerIndex, endpoints: &Endpoints) -> bool {
        within_share(object, endpoints[source].hash, self.share[&source])
    }
}

/// The fill plan, resolved for the edge caches that are up.
#[derive(Default)]
pub(super) struct FillSources {
    plan: Option<Arc<FillPlan>>,
    by_edge: IndexMap<ServerIndex, Rc<PlannedSources>>,
}

/// Resolved sources, shared by the edge caches for which the plan has the same list.
struct SharedSources {
    /// Address of the plan's list, which identifies it.
    list: *const Vec<SourceShare>,
    origin_allowed: bool,
    resolved: Rc<PlannedSources>,
}

impl FillSources {
    /// A plan that is resolved by the next [`FillSources::rebuild`].
    pub fn new(plan: Option<Arc<FillPlan>>) -> Self {
        Self { plan, by_edge: IndexMap::new() }
    }

    /// Resolves the plan for an endpoint list.
    pub fn rebuild(&mut self, endpoints: &Endpoints) {
        self.by_edge.clear();
        let Some(plan) = &self.plan else { return };
        let mut shared: Vec<SharedSources> = Vec::new();
        for edge in endpoints.up(Role::Edge) {
            let id = &endpoints[*edge].entry.id;
            let Some(sources) = plan.sources.get(id) else { continue };
            let (list, origin_allowed) = (Arc::as_ptr(sources), plan.origin_allowed.contains(id));
            let is_same = |s: &&SharedSources| s.list == list && s.origin_allowed == origin_allowed;
            let resolved = match shared.iter().find(is_same) {
                Some(found) => Rc::clone(&found.resolved),
                None => {
                    let resolved = Rc::new(PlannedSources::new(sources, origin_allowed, endpoints));
                    shared.push(SharedSources { list, origin_allowed, resolved: Rc::clone(&resolved) });
                    resolved
                }
            };
            self.by_edge.insert(*edge, resolved);
        }
    }

    /// The planned sources of an edge cache; `None` where every parent and the origin may be the source.
    pub fn for_edge(&self, edge: ServerIndex) -> Option<&PlannedSources> {
        self.by_edge.get(&edge).map(Rc::as_ref)
    }
}
