//! Faults and restarts of nodes, and the purges they receive.

use super::*;
use crate::arrivals::group_of;
use crate::cold::ColdLoad;
use crate::store::Store;
use crate::Ms;
use basaltgw::api::{AttemptResult, FillReport};
use std::cmp::Reverse;

impl Fleet {
    /// Starts a fault of a node.
    pub fn inject_fault(&mut self, now: Ms, node: NodeIndex, fault: NodeFault) {
        self.now = now;
        let n = &mut self.nodes[node.0];
        match fault {
            NodeFault::Crash => {
                n.up = false;
                self.drop_pending(node, true);
            }
            NodeFault::Vanish => {
                (n.up, n.vanished) = (false, true);
                self.drop_pending(node, false);
            }
            NodeFault::Hang { until } => {
                n.hung_until = until;
                self.void_responses(node);
            }
            NodeFault::Slow { factor, until } => n.slowdown = Slowdown { factor: factor.max(1.0), until },
            NodeFault::RefuseFills { until } => n.refuses_fills_until = until,
            NodeFault::LoseAnswers { share, until } => {
                n.response_loss = ResponseLoss { probability: share, until }
            }
            NodeFault::WrongSource { source, until } => n.wrong_source = Some((source, until)),
        }
    }

    /// Starts a node with an empty store and the reduced capacity of a cold node.
    pub fn start(&mut self, now: Ms, node: NodeIndex) {
        self.now = now;
        let rules = &self.spec.rules;
        let rule = if self.nodes[node.0].info.tier == 3 { rules.cold_edge } else { rules.cold_parent };
        let n = &mut self.nodes[node.0];
        (n.up, n.vanished, n.hung_until) = (true, false, 0.0);
        n.store = Store::new(n.info.machine.store_kb);
        n.selector.restart(now, &self.topology);
        n.shield.clear();
        n.fills.clear();
        n.slots_free_at = (0..n.info.machine.slots).map(|_| Reverse(0)).collect();
        n.cold_load = Some(ColdLoad::new(rule, n.info.machine.slots as f64, now));
    }

    /// Drops the fills and requests at a node that went down. Requesters learn of it only if the node closes its connections.
    pub(super) fn drop_pending(&mut self, node: NodeIndex, closes_connections: bool) {
        let n = &self.nodes[node.0];
        if (1..=2).contains(&n.info.tier) {
            self.lost_in_crash.extend(n.store.keys().chain(n.fills.keys().copied()));
        }
        self.nodes[node.0].fills.clear();
        self.nodes[node.0].shield.clear();
        let pending: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| r.at == node && r.arrived_at <= self.now)
            .map(|(number, _)| *number)
            .collect();
        for number in pending {
            if closes_connections {
                self.respond(
                    number,
                    NodeResponse {
                        result: AttemptResult::ConnectionLost,
                        fill_report: FillReport::NotReported,
                        origin_time: 0.0,
                        source_wait: 0.0,
                    },
                    0.0,
                );
            } else if let Some(request) = self.requests.get_mut(&number) {
                request.response_number += 1;
            }
        }
    }

    /// Voids all responses of a node that have not arrived at the requester.
    pub(super) fn void_responses(&mut self, node: NodeIndex) {
        self.requests.values_mut().filter(|r| r.at == node).for_each(|r| r.response_number += 1);
    }

    /// Handles a purge that arrives at a node.
    pub(super) fn purge_arrives(&mut self, node: NodeIndex, object: Option<u64>, group: u64, purged_at: Ms) {
        let n = &mut self.nodes[node.0];
        match object {
            Some(object) => {
                n.object_purges.insert(object, purged_at);
                n.shield.forget_failures(object);
                n.store.purge(purged_at, |o| o == object);
            }
            None => {
                n.group_purges.insert(group, purged_at);
                let groups = self.groups;
                n.store.purge(purged_at, |o| group_of(o, groups) == group);
            }
        }
    }
}
