//! Whether the tree carries its load with all nodes up, and without any one node that is a source.

use super::{NodeId, Plan, PlanError};
use crate::graph::NodeIndex;

impl Plan {
    /// Checks that the loss of any one source leaves every node a source, and no node with more load than its capacity.
    pub(super) fn check_loss_of_sources(&self) -> Result<(), PlanError> {
        for (node, sources) in self.sources.iter().enumerate() {
            if let [only] = sources[..] {
                if only != self.origin {
                    return Err(PlanError::NoSource { lost: self.id(only), node: self.id(node) });
                }
            }
        }
        if self.nodes.iter().all(|n| n.capacity.is_infinite()) {
            return Ok(());
        }
        let order = self.requesters_first();
        let mut is_source = vec![false; self.nodes.len()];
        self.sources.iter().flatten().for_each(|s| is_source[*s] = true);
        let losses = (0..self.nodes.len()).filter(|i| is_source[*i] && *i != self.origin);
        for lost in std::iter::once(None).chain(losses.map(Some)) {
            self.check_load_without(lost, &order)?;
        }
        Ok(())
    }

    /// Checks the load of every node while `lost` is down.
    fn check_load_without(&self, lost: Option<NodeIndex>, order: &[NodeIndex]) -> Result<(), PlanError> {
        let mut load: Vec<f64> = self.nodes.iter().map(|n| n.demand).collect();
        for i in order.iter().copied().filter(|i| Some(*i) != lost && *i != self.origin) {
            let capacity = self.nodes[i].capacity;
            if load[i] > capacity {
                let lost = lost.map_or_else(|| NodeId::new("nothing"), |i| self.id(i));
                return Err(PlanError::Overload { lost, node: self.id(i), load: load[i], capacity });
            }
            let sources = || self.sources[i].iter().copied().filter(|s| Some(*s) != lost);
            // A node requests from the origin only if it has no other source.
            let weights: f64 = sources().filter(|s| *s != self.origin).map(|s| self.nodes[s].weight).sum();
            for s in sources() {
                let share = match (s == self.origin, weights > 0.0) {
                    (true, true) => 0.0,
                    (true, false) => 1.0,
                    (false, _) => self.nodes[s].weight / weights,
                };
                load[s] += load[i] * share;
            }
        }
        Ok(())
    }

    /// The nodes, each before all of its sources. The plan has no cycle.
    fn requesters_first(&self) -> Vec<NodeIndex> {
        let mut requesters = vec![0usize; self.nodes.len()];
        self.sources.iter().flatten().for_each(|s| requesters[*s] += 1);
        let mut order: Vec<NodeIndex> = (0..self.nodes.len()).filter(|i| requesters[*i] == 0).collect();
        let mut next = 0;
        while let Some(i) = order.get(next).copied() {
            next += 1;
            for s in &self.sources[i] {
                requesters[*s] -= 1;
                if requesters[*s] == 0 {
                    order.push(*s);
                }
            }
        }
        order
    }

    fn id(&self, node: NodeIndex) -> NodeId {
        self.nodes[node].id.clone()
    }
}
