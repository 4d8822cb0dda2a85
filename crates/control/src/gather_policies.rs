//! Scatter-gather policies, converted from the gather rules of a placement table.

use basaltgw_placement as placement;
use basaltgw_placement::{GatherRule, Table};
use basaltgw_scatter_gather::{MissingParts, PartNo, Policy};
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
        required_parts: rule.required_parts.iter().map(|part| PartNo(*part)).collect(),
        min_part_share: f64::from(rule.min_part_percent) / PERCENT,
        min_weight_share: f64::from(rule.min_weight_percent) / PERCENT,
        max_wait: f64::from(rule.max_wait_ms),
        missing_parts: match rule.missing_parts {
            placement::MissingParts::Continuation => MissingParts::Continuation,
            placement::MissingParts::Omitted => MissingParts::Omitted,
            placement::MissingParts::NotAllowed => MissingParts::NotAllowed,
        },
        hedging: rule.hedging,
    }
}
