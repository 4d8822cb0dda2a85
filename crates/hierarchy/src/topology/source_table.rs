//! The table of sources that edge caches may name at this point of a change.

use super::transfer::{ShareTransfer, SHARES};
use super::{PermittedSource, SourceTable, TopologyManager};
use crate::plan::{NodeId, Plan};
use std::collections::HashMap;
use std::sync::Arc;

impl TopologyManager {
    /// The share of its objects that a source may get requests for, by the plans that permit it to a cache.
    fn share(&self, source: &NodeId, in_old: bool, in_new: bool) -> f64 {
        let share_in = |transfers: &[ShareTransfer]| {
            transfers.iter().find(|t| t.source == *source).map_or(1.0, |t| SHARES[t.step])
        };
        match (&self.change, in_old, in_new) {
            (Some(c), false, true) => share_in(&c.newcomers),
            (Some(c), true, false) => share_in(&c.leavers),
            _ => 1.0,
        }
    }

    /// The sources that each listed edge cache may name now.
    pub(super) fn source_table(&self) -> Arc<SourceTable> {
        let mut table = SourceTable::default();
        let Some(plan) = &self.plan else { return Arc::new(table) };
        let next = self.change.as_ref().map_or(plan, |c| &c.next);
        let mut lists: HashMap<Vec<(NodeId, u64)>, Arc<Vec<PermittedSource>>> = HashMap::new();
        for requester in edge_caches(plan).chain(edge_caches(next)) {
            // A cache that this router's list does not name gets its requests from other routers.
            if table.sources.contains_key(requester) || !self.listed.contains_key(requester) {
                continue;
            }
            let sources_in = |p: &Plan| -> Vec<NodeId> {
                p.node(requester).map(|n| n.sources.clone()).unwrap_or_default()
            };
            let (old, new) = (sources_in(plan), sources_in(next));
            let mut permitted: Vec<PermittedSource> = Vec::with_capacity(old.len() + 1);
            for id in old.iter().chain(new.iter().filter(|n| !old.contains(n))) {
                if id == plan.origin() {
                    table.origin_allowed.push(requester.clone());
                    continue;
                }
                // A requester that only one of the plans names has whole shares of all sources that this plan gives it.
                let (in_old, in_new) =
                    (old.contains(id) || old.is_empty(), new.contains(id) || new.is_empty());
                let share = self.share(id, in_old, in_new);
                let weight = next.node(id).or_else(|| plan.node(id)).map_or(1.0, |n| n.weight);
                if share > 0.0 && !self.is_disabled(requester, id) {
                    permitted.push(PermittedSource { id: id.clone(), weight, share });
                }
            }
            let key = permitted.iter().map(|s| (s.id.clone(), s.share.to_bits())).collect();
            let list = lists.entry(key).or_insert_with(|| Arc::new(permitted));
            table.sources.insert(requester.clone(), Arc::clone(list));
        }
        Arc::new(table)
    }

    fn is_disabled(&self, requester: &NodeId, source: &NodeId) -> bool {
        let loops = self.loops.get(&(requester.clone(), source.clone()));
        loops.is_some_and(|n| *n >= self.settings.loops_to_disable_pair)
    }
}

/// The nodes of a plan, other than the origin, that are no node's source.
pub(super) fn edge_caches(plan: &Plan) -> impl Iterator<Item = &NodeId> + '_ {
    let mut is_source = vec![false; plan.nodes().len()];
    plan.source_indexes().iter().flatten().for_each(|s| is_source[*s] = true);
    let edges = plan.nodes().iter().enumerate().filter(move |(i, n)| !is_source[*i] && n.tier.0 > 0);
    edges.map(|(_, n)| &n.id)
}

/// The sources, other than the origin, that some edge cache has in the new plan and not in the old one.
pub(super) fn added_sources(old: &Plan, new: &Plan) -> Vec<NodeId> {
    let mut added = Vec::new();
    for requester in edge_caches(new) {
        let (Some(before), Some(after)) = (old.node(requester), new.node(requester)) else { continue };
        for source in after.sources.iter().filter(|s| !before.sources.contains(s) && *s != new.origin()) {
            if !added.contains(source) {
                added.push(source.clone());
            }
        }
    }
    added
}
