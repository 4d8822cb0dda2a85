//! Checks that the shards fit the routers' capacity, also after the loss of any one machine or branch.

use crate::ast::Spread;
use crate::diagnostic::DraftDiagnostic;
use crate::replica_rules::ReplicaPolicy;
use crate::resolver::Resolver;
use std::collections::{BTreeMap, BTreeSet};

/// Branch and machine of a lost domain, as [`Spread::domain`] returns them; `None` if nothing is lost.
type LostDomain = Option<(String, String)>;

/// Copies that are required, and copies for which there is capacity.
struct Demand {
    required: u64,
    available: u64,
}

impl ReplicaPolicy {
    /// Reports the largest lack of capacity. `routers` are the permitted routers, as indexes in the inventory.
    pub fn check_capacity(&self, shards: usize, routers: &[usize], resolver: &mut Resolver<'_>) {
        let Some(room) = self.room.as_ref().filter(|r| r.node > 0) else { return };
        let entries = &resolver.inventory.routers;
        let mut worst: Option<(u64, String)> = None;
        for level in [None, Some(Spread::Machines), Some(Spread::Branches)] {
            let domain_of = |i: &usize| level.map(|l| l.domain(&entries[*i]));
            let domains: BTreeSet<LostDomain> = routers.iter().map(domain_of).collect();
            // The loss of an only domain can't be made up for. A lack with all routers is reported as such.
            if level.is_some() && (domains.len() < 2 || worst.is_some()) {
                continue;
            }
            for lost in domains {
                let remaining = routers.iter().copied().filter(|i| level.is_none() || domain_of(i) != lost);
                let demand = self.demand(shards, room.node, remaining, resolver);
                let lack = demand.required.saturating_sub(demand.available);
                if lack > worst.as_ref().map_or(0, |w| w.0) {
                    let Demand { required, available } = demand;
                    let message = format!(
                        "{}: insufficient capacity {}: {required} copies are required and {available} fit",
                        self.keyword,
                        describe_loss(&lost)
                    );
                    worst = Some((lack, message));
                }
            }
        }
        if let Some((_, message)) = worst {
            let draft = DraftDiagnostic::at(room.span, message, "registers per shard");
            resolver.report(draft.with_help("add capacity, or use fewer shards or less room per shard"));
        }
    }

    fn demand(
        &self,
        shards: usize,
        room: u64,
        routers: impl Iterator<Item = usize>,
        resolver: &Resolver<'_>,
    ) -> Demand {
        let entries = &resolver.inventory.routers;
        // For each domain of the spread: shards that fit its routers, and the number of routers.
        let mut domains: BTreeMap<(String, String), (u64, usize)> = BTreeMap::new();
        for router in routers {
            let (slots, members) = domains.entry(self.spread.domain(&entries[router])).or_default();
            *slots += (entries[router].capacity / room).min(shards as u64);
            *members += 1;
        }
        let per_domain = |members: usize| members.min(self.max_per_domain);
        let copies = domains.values().map(|(_, n)| per_domain(*n)).sum::<usize>().min(self.copies);
        let available =
            domains.values().map(|(slots, n)| (*slots).min((shards * per_domain(*n)) as u64)).sum();
        Demand { required: (shards * copies) as u64, available }
    }
}

fn describe_loss(lost: &LostDomain) -> String {
    match lost {
        None => "with all routers".to_string(),
        Some((branch, machine)) if machine.is_empty() => format!("after the loss of branch {branch}"),
        Some((branch, machine)) => format!("after the loss of machine {machine} of branch {branch}"),
    }
}
