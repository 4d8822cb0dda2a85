//! Faults and restarts of nodes, and how purges reach them.

use super::*;
use crate::arrivals::group_of;
use crate::cold::ColdCount;
use crate::store::Store;
use crate::Ms;
use basaltgw::api::{AttemptResult, FillReport};
use std::cmp::Reverse;

impl Fleet {
    /// A node's trouble begins.
    pub fn trouble(&mut self, now: Ms, node: NodeIx, trouble: Trouble) {
        self.now = now;
        let n = &mut self.nodes[node.0];
        match trouble {
            Trouble::Crash => {
                n.up = false;
                self.lost(node, true);
            }
            Trouble::Vanish => {
                (n.up, n.vanished) = (false, true);
                self.lost(node, false);
            }
            Trouble::Hang(until) => {
                n.hung = until;
                self.silence(node);
            }
            Trouble::Slow(factor, until) => n.slow = (factor.max(1.0), until),
            Trouble::RefuseFills(until) => n.refuses = until,
            Trouble::LoseAnswers(share, until) => n.loses = (share, until),
            Trouble::WrongSource(to, until) => n.wrong = Some((to, until)),
        }
    }

    /// A node starts, cold and empty.
    pub fn start(&mut self, now: Ms, node: NodeIx) {
        self.now = now;
        let rules = &self.spec.rules;
        let rule = if self.nodes[node.0].info.tier == 3 { rules.cold_edge } else { rules.cold_parent };
        let n = &mut self.nodes[node.0];
        (n.up, n.vanished, n.hung) = (true, false, 0.0);
        n.store = Store::new(n.info.machine.store_kb);
        n.side.restart(now, &self.set);
        n.shield.clear();
        n.fills.clear();
        n.free = (0..n.info.machine.slots).map(|_| Reverse(0)).collect();
        n.cold = Some(ColdCount::new(rule, n.info.machine.slots as f64, now));
    }

    // ---- Troubles ----

    /// What was asked of a node that is lost: it is told where the connection ends, else nothing comes.
    pub(super) fn lost(&mut self, node: NodeIx, told: bool) {
        let n = &self.nodes[node.0];
        if (1..=2).contains(&n.info.tier) {
            self.killed.extend(n.store.keys().chain(n.fills.keys().copied()));
        }
        self.nodes[node.0].fills.clear();
        self.nodes[node.0].shield.clear();
        let there: Vec<u64> =
            self.asks.iter().filter(|(_, a)| a.at == node && a.came <= self.now).map(|(n, _)| *n).collect();
        for no in there {
            if told {
                self.send(
                    no,
                    Reply {
                        end: AttemptResult::ConnectionLost,
                        note: FillReport::NotReported,
                        born: 0.0,
                        waited: 0.0,
                    },
                    0.0,
                );
            } else if let Some(ask) = self.asks.get_mut(&no) {
                ask.token += 1;
            }
        }
    }

    /// Nothing of what is under way at a node comes.
    pub(super) fn silence(&mut self, node: NodeIx) {
        self.asks.values_mut().filter(|a| a.at == node).for_each(|a| a.token += 1);
    }

    pub(super) fn hear_purge(&mut self, node: NodeIx, object: Option<u64>, group: u64, at: Ms) {
        let n = &mut self.nodes[node.0];
        match object {
            Some(object) => {
                n.purged.insert(object, at);
                n.shield.forget_failures(object);
                n.store.purge(at, |o| o == object);
            }
            None => {
                n.purged_groups.insert(group, at);
                let groups = self.groups;
                n.store.purge(at, |o| group_of(o, groups) == group);
            }
        }
    }
}
