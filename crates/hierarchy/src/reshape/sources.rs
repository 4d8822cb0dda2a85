//! The table of permitted sources that a change comes to at this moment.

use super::*;
use crate::plan::{NodeId, Plan};
use std::collections::HashMap;
use std::sync::Arc;

impl Reshape {
    // ---- The table ----

    pub(super) fn share(&self, node: &NodeId, old: bool, new: bool) -> f64 {
        let of = |moving: &[Moving]| moving.iter().find(|m| m.node == *node).map_or(1.0, |m| SHARES[m.step]);
        match (&self.change, old, new) {
            (Some(c), false, true) => of(&c.come),
            (Some(c), true, false) => of(&c.go),
            _ => 1.0,
        }
    }

    pub(super) fn table(&self) -> Arc<Table> {
        let mut table = Table::default();
        let Some(plan) = &self.plan else { return Arc::new(table) };
        let next = self.change.as_ref().map_or(plan, |c| &c.next);
        let mut same: HashMap<Vec<(NodeId, u64)>, Arc<Vec<Share>>> = HashMap::new();
        for asker in leaves(plan).chain(leaves(next)) {
            // Caches that the list does not name here are others' to ask.
            if table.of.contains_key(asker) || !self.listed.contains_key(asker) {
                continue;
            }
            let of =
                |p: &Plan| -> Vec<NodeId> { p.node(asker).map(|n| n.sources.clone()).unwrap_or_default() };
            let (old, new) = (of(plan), of(next));
            let mut shares: Vec<Share> = Vec::with_capacity(old.len() + 1);
            for id in old.iter().chain(new.iter().filter(|n| !old.contains(n))) {
                if id == plan.archive() {
                    table.archive.push(asker.clone());
                    continue;
                }
                // An asker that only one of the plans names has all that this one gives it.
                let (in_old, in_new) =
                    (old.contains(id) || old.is_empty(), new.contains(id) || new.is_empty());
                let share = self.share(id, in_old, in_new);
                let aside =
                    self.loops.get(&(asker.clone(), id.clone())).is_some_and(|n| *n >= self.set.loops);
                let weight = next.node(id).or_else(|| plan.node(id)).map_or(1.0, |n| n.weight);
                if share > 0.0 && !aside {
                    shares.push(Share { id: id.clone(), weight, share });
                }
            }
            let key = shares.iter().map(|s| (s.id.clone(), s.share.to_bits())).collect();
            let shares = same.entry(key).or_insert_with(|| Arc::new(shares));
            table.of.insert(asker.clone(), Arc::clone(shares));
        }
        Arc::new(table)
    }
}

/// Nodes that nobody asks: edge caches.
pub(super) fn leaves(plan: &Plan) -> impl Iterator<Item = &NodeId> + '_ {
    let mut asked = vec![false; plan.nodes().len()];
    plan.edges().iter().flatten().for_each(|s| asked[*s] = true);
    plan.nodes().iter().enumerate().filter(move |(i, n)| !asked[*i] && n.tier.0 > 0).map(|(_, n)| &n.id)
}

/// Sources that an edge cache has in the second plan and not in the first.
pub(super) fn gained(old: &Plan, new: &Plan) -> Vec<NodeId> {
    let mut all = Vec::new();
    for asker in leaves(new) {
        let (Some(was), Some(is)) = (old.node(asker), new.node(asker)) else { continue };
        for source in is.sources.iter().filter(|s| !was.sources.contains(s) && *s != new.archive()) {
            if !all.contains(source) {
                all.push(source.clone());
            }
        }
    }
    all
}
