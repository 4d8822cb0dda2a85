//! The order of sources, and the checks of one plan.

use super::spec::MAX_TIER;
use super::test_plans::{node, spec, tree};
use super::*;

fn error(nodes: Vec<NodeSpec>) -> String {
    Plan::from_spec(spec(1, nodes)).expect_err("an error").to_string()
}

#[test]
fn nodes_with_the_same_sources_order_them_alike() {
    let plan = Plan::from_spec(tree(1, &["h1", "h2", "h3"], &["d1", "d2"], &["e1", "e2"])).expect("a plan");
    for object in 0..200 {
        let order: Vec<_> = plan.sources(&NodeId::new("d1"), object).collect();
        assert_eq!(order, plan.sources(&NodeId::new("d2"), object).collect::<Vec<_>>());
        assert_eq!(order.len(), 3);
        assert_eq!(
            plan.home(object),
            Some(order[0]),
            "an object's home is the first source of every node with all of tier 1 as sources"
        );
    }
    assert_eq!(plan.sources(&NodeId::new("nobody"), 1).count(), 0);
}

#[test]
fn invalid_values_are_reported_by_node() {
    let tree = || tree(1, &["h1", "h2"], &["d1"], &["e1"]).nodes;
    let with = |change: &dyn Fn(&mut Vec<NodeSpec>)| {
        let mut nodes = tree();
        change(&mut nodes);
        error(nodes)
    };
    assert_eq!(with(&|n| n[3].sources.push(NodeId::new("x"))), "node d1: unknown source x");
    assert_eq!(with(&|n| n.push(node("h1", 1, &["origin"]))), "node h1: listed twice");
    assert_eq!(with(&|n| n[4].sources.push(NodeId::new("d1"))), "node e1: source d1 listed twice");
    assert_eq!(with(&|n| n[3].sources.push(NodeId::new("d1"))), "node d1: names itself as a source");
    assert_eq!(with(&|n| n[3].sources.clear()), "node d1: expected a source");
    assert_eq!(with(&|n| n[0].tier = Tier(4)), "node origin: expected a source");
    assert_eq!(with(&|n| n.push(node("b", 0, &[]))), "expected one node of tier 0 (the origin), found 2");
    assert_eq!(with(&|n| n[3].tier = Tier(9)), "node d1: expected a tier of 0 to 8, found 9");
    assert_eq!(
        with(&|n| n[1].sources.push(NodeId::new("h2"))),
        "node h1: expected the origin as the only source of a node of tier 1"
    );
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1.0e12] {
        assert!(with(&|n| n[1].weight = weight).starts_with("node h1: expected a weight"));
    }
    assert!(with(&|n| n[1].capacity = -3.0).starts_with("node h1: expected a capacity"));
    assert!(with(&|n| n[4].demand = f64::NAN).starts_with("node e1: expected a demand"));
}

#[test]
fn cycles_and_unreachable_origins_are_rejected() {
    let with_cycle = |ids: [&str; 3]| {
        let mut nodes = tree(1, &["h1"], &[], &[]).nodes;
        for (i, id) in ids.iter().enumerate() {
            nodes.push(node(id, 2, &["h1", ids[(i + 1) % 3]]));
        }
        nodes
    };
    let text = error(with_cycle(["a", "b", "c"]));
    assert!(
        text.ends_with("request from each other in a cycle")
            && ["a", "b", "c"].iter().all(|n| text.contains(n)),
        "{text}"
    );
    let mut unreachable = tree(1, &["h1"], &["d1"], &["e1"]).nodes;
    unreachable.push(node("x", 2, &["y"]));
    unreachable.push(node("y", 2, &["x"]));
    assert!(error(unreachable).contains("does not reach the origin"));
}

#[test]
fn loss_of_any_one_source_must_leave_capacity() {
    let sized = |tier_1: &[&str], capacity: f64| {
        let mut tree = tree(1, tier_1, &["d1", "d2"], &["e1", "e2", "e3"]);
        tree.nodes.iter_mut().filter(|n| n.tier == Tier(1)).for_each(|n| n.capacity = capacity);
        Plan::from_spec(tree)
    };
    assert!(sized(&["h1", "h2", "h3"], 15.0).is_ok(), "30 fills per second at two nodes");
    let overload =
        sized(&["h1", "h2", "h3"], 14.0).expect_err("30 fills per second at two nodes").to_string();
    assert!(
        overload.starts_with("without h1, h2 gets 15.0 fills per second and can take 14.0"),
        "{overload}"
    );
    let mut only_source = tree(1, &["h1"], &["d1", "d2"], &["e1"]);
    only_source.nodes[2].sources.pop();
    let error = Plan::from_spec(only_source).expect_err("no source left");
    assert_eq!(error.to_string(), "without h1, d1 has no source");
}

#[test]
fn eight_tiers_are_accepted() {
    let mut nodes = vec![node("origin", 0, &[])];
    for tier in 1..=MAX_TIER {
        for side in ["a", "b"] {
            let below = [format!("a{}", tier - 1), format!("b{}", tier - 1)];
            let sources: Vec<&str> =
                if tier == 1 { vec!["origin"] } else { below.iter().map(String::as_str).collect() };
            nodes.push(node(&format!("{side}{tier}"), tier, &sources));
        }
    }
    assert!(Plan::from_spec(spec(1, nodes)).is_ok());
}
