//! What a router observes during a topology change: the endpoint list, and the results of attempts.

use super::transfer::{ShareTransfer, FIRST_SHARE, NO_SHARE, SHARES};
use super::{Action, ChangeState, ListedNode, SourceResult, TopologyManager, MAX_LOOP_PAIRS};
use crate::plan::{NodeId, Plan};
use crate::Ms;
use basaltgw_structures::hash::{fnv1a, within_share};

impl TopologyManager {
    /// Handles a node's entry on the endpoint list. A newcomer that goes down loses its share; one that comes up or was restarted
    /// gets its first share.
    pub(super) fn node_listed(
        &mut self,
        now: Ms,
        node: NodeId,
        listed: ListedNode,
        actions: &mut Vec<Action>,
    ) {
        let ListedNode { up, started } = listed;
        let before = self.listed.insert(node.clone(), listed);
        if before.is_none() && up && self.plan.as_ref().is_some_and(|p| p.node(&node).is_some()) {
            actions.push(Action::UseSources(self.source_table()));
        }
        // A node that is down and in no plan is forgotten.
        let next = self.change.as_ref().map(|c| &c.next);
        if !up && self.plan.iter().chain(next).all(|p| p.node(&node).is_none()) {
            self.listed.remove(&node);
            return;
        }
        let Some(c) = &mut self.change else { return };
        let restarted = before.is_some_and(|before| started > before.started);
        let Some(newcomer) = c.newcomers.iter_mut().find(|t| t.source == node) else { return };
        let step = match (up, newcomer.step) {
            (false, NO_SHARE) => return,
            (false, _) => NO_SHARE,
            (true, NO_SHARE) => FIRST_SHARE,
            (true, _) if restarted => FIRST_SHARE,
            (true, _) => return,
        };
        newcomer.set_step(step, now);
        let reason = if up {
            format!("{node} is up and starts with its first share")
        } else {
            format!("{node} is not up and has no share")
        };
        self.enter(ChangeState::Warming, reason, actions);
        actions.push(Action::UseSources(self.source_table()));
    }

    /// Handles the result of an attempt that named a source.
    pub(super) fn attempt_ended(
        &mut self,
        now: Ms,
        (requester, source): (NodeId, NodeId),
        object: u64,
        result: SourceResult,
        actions: &mut Vec<Action>,
    ) {
        if result == SourceResult::LoopDetected {
            return self.count_loop(requester, source, actions);
        }
        let (Some(c), Some(plan)) = (&mut self.change, &self.plan) else { return };
        // A node may be a newcomer for one cache, a leaver for another, and a source in both plans for a third.
        let permits = |p: &Plan| p.node(&requester).is_some_and(|n| n.sources.contains(&source));
        let (in_old, in_new) = (permits(plan), permits(&c.next));
        if let Some(newcomer) =
            c.newcomers.iter_mut().find(|t| t.source == source).filter(|_| in_new && !in_old)
        {
            newcomer.last_request = now;
            newcomer.count(result);
        }
        if let Some(leaver) = c.leavers.iter_mut().find(|t| t.source == source).filter(|_| in_old && !in_new)
        {
            leaver.last_request = now;
        }
        if c.state == ChangeState::Retiring && !c.leavers.is_empty() {
            // A leaver's step is judged by the other sources' results for the objects that it gave up.
            let first = plan.sources(&requester, object).next();
            let gave_up = |t: &&mut ShareTransfer| {
                first == Some(&t.source) && !within_share(object, fnv1a(&t.source.0), SHARES[t.step])
            };
            if let Some(leaver) = c.leavers.iter_mut().find(gave_up).filter(|t| t.source != source) {
                leaver.count(result);
            }
        }
        self.advance(now, actions);
    }

    /// Counts a loop between two nodes; disables the pair once it has looped often enough.
    fn count_loop(&mut self, requester: NodeId, source: NodeId, actions: &mut Vec<Action>) {
        let pair = (requester, source);
        if self.loops.len() >= MAX_LOOP_PAIRS && !self.loops.contains_key(&pair) {
            self.loops.shift_remove_index(0);
        }
        let count = self.loops.entry(pair.clone()).or_insert(0);
        *count += 1;
        if *count == self.settings.loops_to_disable_pair {
            let (requester, source) = pair;
            actions.push(Action::PairDisabled { requester, source });
            actions.push(Action::UseSources(self.source_table()));
        }
    }
}
