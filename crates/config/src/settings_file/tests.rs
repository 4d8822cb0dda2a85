//! Tests of the settings file: the section `hierarchy`, its errors, and the fill plan of a tree.

use super::*;
use crate::hierarchy::fill_plan;
use basaltgw::api::{ServerId, SourceShare};
use basaltgw_hierarchy::{NodeId, PermittedSource, SourceTable, Version};
use std::sync::Arc;

const SLOW_START: SlowStart = SlowStart { initial_share: 0.1, ramp_duration: 20_000.0 };
const VALID: &str = "\
hierarchy:
  plan:
    version: 3
    nodes:
      - {id: s-00000001, tier: 0, location: vault}
      - {id: s-00000002, tier: 1, sources: [s-00000001], capacity: 50}
      - {id: s-00000003, tier: 1, sources: [s-00000001]}
      - id: s-00000004
        tier: 3
        demand: 20
        sources: [s-00000002, s-00000003]
  reshape:
    proofs: 5
";

/// The error message of the valid text with `from` replaced by `to`.
fn error_after_replacing(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the valid text does not contain {from}");
    parse_settings_file("b.yaml", &VALID.replace(from, to), SLOW_START)
        .expect_err("settings with an invalid key")
        .to_string()
}

#[test]
fn plan_is_parsed_with_defaults() {
    let settings = parse_settings_file("b.yaml", VALID, SLOW_START)
        .expect("valid settings")
        .hierarchy
        .expect("the section hierarchy");
    let (plan, change_settings) = (settings.plan, settings.settings);
    assert_eq!((plan.version, plan.nodes.len(), change_settings.successes_per_step), (Version(3), 4, 5));
    assert_eq!(plan.nodes[1].capacity, 50.0);
    assert!(plan.nodes[2].capacity.is_infinite());
    assert_eq!(parse_settings_file("b.yaml", "{}", SLOW_START), Ok(RouterSettings::default()));
}

#[test]
fn error_names_file_line_and_key() {
    let text = error_after_replacing("tier: 3", "tier: 9");
    assert!(text.starts_with("b.yaml:9: hierarchy.plan.nodes[3].tier: 9 is"), "{text}");
    let text = error_after_replacing("s-00000003]", "s-00000009]");
    assert_eq!(text, "b.yaml:8: hierarchy.plan.nodes[3]: node s-00000004: unknown source s-00000009");
    let text = error_after_replacing("proofs: 5", "prooves: 5");
    assert!(text.starts_with("b.yaml:12: hierarchy.reshape") && text.contains("prooves"), "{text}");
    let text = error_after_replacing("demand: 20", "demand: 120");
    assert!(text.contains("without") && text.contains("can take 50.0"), "{text}");
    assert!(error_after_replacing("version: 3", "version: 0").contains("hierarchy.plan.version"));
    assert!(error_after_replacing("version: 3", "version: x").contains("hierarchy.plan.version"));
    assert!(error_after_replacing("hierarchy:", "hierarchie:").contains("hierarchie"));
}

#[test]
fn fill_plan_shares_source_lists_as_the_tree_does() {
    let sources = Arc::new(vec![PermittedSource { id: NodeId::new("h"), weight: 2.0, share: 0.5 }]);
    let tree = SourceTable {
        sources: ["a", "b"].map(|name| (NodeId::new(name), Arc::clone(&sources))).into_iter().collect(),
        origin_allowed: vec![NodeId::new("a")],
    };
    let plan = fill_plan(&tree);
    let [a, b] = ["a", "b"].map(|name| plan.sources.get(&ServerId(name.into())).expect("a requester"));
    assert!(Arc::ptr_eq(a, b));
    assert_eq!(a[0], SourceShare { id: ServerId("h".into()), weight: 2.0, share: 0.5 });
    assert!(plan.origin_allowed.contains(&ServerId("a".into())));
    assert!(!plan.origin_allowed.contains(&ServerId("b".into())));
}
