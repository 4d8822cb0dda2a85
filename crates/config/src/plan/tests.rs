//! Parsing of the project's own settings file.

use super::*;

const COLD: SlowStart = SlowStart { initial_share: 0.1, ramp_duration: 20_000.0 };
const GOOD: &str = "\
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

fn fault(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from));
    own_settings_of("b.yaml", &GOOD.replace(from, to), COLD).expect_err("a fault").to_string()
}

#[test]
fn plan_is_parsed_with_defaults() {
    let own = own_settings_of("b.yaml", GOOD, COLD).expect("settings").hierarchy.expect("a hierarchy");
    assert_eq!((own.plan.version, own.plan.nodes.len(), own.settings.successes_per_step), (Version(3), 4, 5));
    assert_eq!(own.plan.nodes[1].capacity, 50.0);
    assert!(own.plan.nodes[2].capacity.is_infinite());
    assert_eq!(own_settings_of("b.yaml", "{}", COLD), Ok(OwnSettings::default()));
}

#[test]
fn fault_is_reported_by_file_line_and_key() {
    let text = fault("tier: 3", "tier: 9");
    assert!(text.starts_with("b.yaml:9: hierarchy.plan.nodes[3].tier: 9 is"), "{text}");
    let text = fault("s-00000003]", "s-00000009]");
    assert_eq!(text, "b.yaml:8: hierarchy.plan.nodes[3]: node s-00000004: unknown source s-00000009");
    let text = fault("proofs: 5", "prooves: 5");
    assert!(text.starts_with("b.yaml:12: hierarchy.reshape") && text.contains("prooves"), "{text}");
    let text = fault("demand: 20", "demand: 120");
    assert!(text.contains("without") && text.contains("can take 50.0"), "{text}");
    assert!(fault("version: 3", "version: 0").contains("hierarchy.plan.version"));
    assert!(fault("version: 3", "version: x").contains("hierarchy.plan.version"));
    assert!(fault("hierarchy:", "hierarchie:").contains("hierarchie"));
}

#[test]
fn fill_plan_shares_the_sources_that_the_tree_shares() {
    let shares =
        Arc::new(vec![basaltgw_hierarchy::PermittedSource { id: NodeId::new("h"), weight: 2.0, share: 0.5 }]);
    let of = [("a", &shares), ("b", &shares)].map(|(n, s)| (NodeId::new(n), Arc::clone(s)));
    let plain =
        table(&SourceTable { sources: of.into_iter().collect(), origin_allowed: vec![NodeId::new("a")] });
    let [a, b] = ["a", "b"].map(|n| plain.sources.get(&ServerId(n.into())).expect("an asker"));
    assert!(Arc::ptr_eq(a, b));
    assert_eq!(a[0], SourceShare { id: ServerId("h".into()), weight: 2.0, share: 0.5 });
    assert!(
        plain.origin_allowed.contains(&ServerId("a".into()))
            && !plain.origin_allowed.contains(&ServerId("b".into()))
    );
}
