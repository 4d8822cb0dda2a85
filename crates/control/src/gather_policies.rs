//! Scatter-gather policies, converted from the gather rules of a placement table.

use basaltgw_placement::{GatherRule, MissingPartPolicy, Table};
use basaltgw_scatter_gather::{Missing, PartNo, Policy};
use std::collections::BTreeMap;
use std::sync::Arc;

const PERCENT: f64 = 100.0;

/// Policies by class. A class without a policy gets no partial responses.
pub type Policies = BTreeMap<Arc<str>, Arc<Policy>>;

/// Policies of those `classes` for which `table` has a gather rule.
pub fn policies(table: &Table, classes: &[Arc<str>]) -> Policies {
    let entry = |class: &Arc<str>| Some((Arc::clone(class), Arc::new(policy(table.gather_rule(class)?))));
    classes.iter().filter_map(entry).collect()
}

fn policy(rule: &GatherRule) -> Policy {
    Policy {
        needed: rule.needed_parts.iter().map(|part| PartNo(*part)).collect(),
        least_count: f64::from(rule.min_parts_percent) / PERCENT,
        least_worth: f64::from(rule.min_weight_percent) / PERCENT,
        wait: f64::from(rule.wait_ms),
        missing: match rule.missing {
            MissingPartPolicy::Owed => Missing::Owed,
            MissingPartPolicy::Dropped => Missing::Dropped,
            MissingPartPolicy::Refused => Missing::Refused,
        },
        second_copies: rule.second_copies,
    }
}
