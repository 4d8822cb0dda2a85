//! The policies by which gathers go: a table's rules of gathers as the decisions take them.

use basaltgw_placement as placement;
use basaltgw_placement::{GatherRule, Table};
use basaltgw_scatter_gather::{Missing, PartNo, Policy};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Policies by class: of what is not among them nothing is answered in part.
pub type Policies = BTreeMap<Arc<str>, Arc<Policy>>;

/// The policies of a table.
pub fn policies(table: &Table, classes: &[Arc<str>]) -> Policies {
    let of = |class: &Arc<str>| Some((Arc::clone(class), Arc::new(policy(table.gather(class)?))));
    classes.iter().filter_map(of).collect()
}

/// A rule as the decisions take it.
fn policy(rule: &GatherRule) -> Policy {
    Policy {
        needed: rule.needed.iter().map(|n| PartNo(*n)).collect(),
        least_count: f64::from(rule.least_parts) / 100.0,
        least_worth: f64::from(rule.least_worth) / 100.0,
        wait: f64::from(rule.wait_ms),
        missing: match rule.missing {
            placement::Missing::Owed => Missing::Owed,
            placement::Missing::Dropped => Missing::Dropped,
            placement::Missing::Refused => Missing::Refused,
        },
        second_copies: rule.second_copies,
    }
}
