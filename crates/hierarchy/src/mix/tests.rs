//! Tests of `mix`.

use super::*;
use crate::plan::tests::{node, spec, tree};
use proptest::prelude::*;

fn check(spec: PlanSpec) -> Plan {
    Plan::check(spec).expect("a plan")
}

/// A district, which may ask the archive too.
fn district(name: &str, sources: &[&str]) -> NodeSpec {
    node(name, 2, &[sources, &["archive"]].concat())
}

/// Districts a and b ask the hub, or one of them the other.
fn pair(version: u64, a: &[&str], b: &[&str]) -> Plan {
    check(spec(
        version,
        vec![node("archive", 0, &[]), node("h", 1, &["archive"]), district("a", a), district("b", b)],
    ))
}

#[test]
fn two_that_name_each_other_for_a_moment_are_found_and_split() {
    let (old, new) = (pair(1, &["h", "b"], &["h"]), pair(2, &["h"], &["h", "a"]));
    let ring = mixture(&[&old, &new]).expect_err("a ring").to_string();
    assert_eq!(ring, "a → b ask each other in a ring while versions 1 and 2 are mixed");
    for behind in 1..4 {
        let steps = steps(&old, &new, behind).expect("steps");
        assert_eq!(steps.len(), 1 + behind, "first a lets go; then as long as anyone may be behind; then b");
        let all: Vec<&Plan> = [&old].into_iter().chain(&steps).collect();
        all.windows(behind + 1).for_each(|w| mixture(w).expect("no ring among those in use"));
    }
}

#[test]
fn three_in_a_ring_are_found() {
    let make = |version, sources: [&[&str]; 3]| {
        let mut nodes = vec![node("archive", 0, &[]), node("h", 1, &["archive"])];
        nodes.extend(["a", "b", "c"].iter().zip(sources).map(|(n, s)| district(n, s)));
        check(spec(version, nodes))
    };
    let old = make(1, [&["h", "b"], &["h", "c"], &["h"]]);
    let new = make(2, [&["h"], &["h"], &["h", "a"]]);
    assert!(mixture(&[&old, &new]).is_err());
    let steps = steps(&old, &new, 1).expect("steps");
    assert!(steps.len() > 1);
    assert_eq!(steps.last().map(Plan::spec), Some(new.spec()));
}

#[test]
fn a_hub_that_comes_or_goes_needs_one_step_and_one_that_changes_its_tier_must_leave_first() {
    let old = check(tree(1, &["h1", "h2"], &["d1"], &["e1"]));
    let more = check(tree(2, &["h1", "h2", "h3"], &["d1"], &["e1"]));
    assert_eq!(steps(&old, &more, 2).map(|s| s.len()), Ok(1));
    assert_eq!(steps(&more, &old, 2).map(|s| s.len()), Ok(1));
    let mut moved = tree(2, &["h1"], &["d1"], &["e1"]);
    moved.nodes.push(district("h2", &["h1"]));
    let refusal = steps(&old, &check(moved), 2).expect_err("a ring");
    assert!(refusal.to_string().contains("h1 → h2"), "{refusal}");
}

#[test]
fn the_archive_stays() {
    let mut other = tree(2, &["h1"], &[], &[]);
    other.nodes[0].id = NodeId::new("vault");
    other.nodes[1].sources = vec![NodeId::new("vault")];
    let refusal = steps(&check(tree(1, &["h1"], &[], &[])), &check(other), 2).expect_err("another archive");
    assert_eq!(refusal.to_string(), "node vault: expected the archive to stay archive");
}

/// Any tree of a few districts that ask the hub and those before them in an order.
fn any_plan(version: u64, order: Vec<usize>, picks: Vec<Vec<bool>>) -> Plan {
    let name = |i: usize| format!("d{i}");
    let mut nodes = vec![node("archive", 0, &[]), node("h", 1, &["archive"])];
    for (at, i) in order.iter().enumerate() {
        let lower: Vec<String> = order[..at].iter().filter(|j| picks[*i][**j]).map(|j| name(*j)).collect();
        let mut sources = vec!["h"];
        sources.extend(lower.iter().map(String::as_str));
        nodes.push(district(&name(*i), &sources));
    }
    check(spec(version, nodes))
}

fn plans() -> impl Strategy<Value = Plan> {
    let order = Just((0..6usize).collect::<Vec<_>>()).prop_shuffle();
    let picks = proptest::collection::vec(proptest::collection::vec(any::<bool>(), 6), 6);
    (order, picks).prop_map(|(order, picks)| any_plan(1, order, picks))
}

/// Every mixture, one by one: each node takes its sources from one of the plans.
fn any_mixture_rings(plans: &[&Plan]) -> bool {
    let ids: Vec<NodeId> = plans[0].nodes().iter().map(|n| n.id.clone()).collect();
    let ix = |id: &NodeId| ids.iter().position(|i| i == id).expect("a node");
    let choices = plans.len().pow(ids.len() as u32);
    (0..choices).any(|mut choice| {
        let edges: Vec<Vec<usize>> = ids
            .iter()
            .map(|id| {
                let plan = plans[choice % plans.len()];
                choice /= plans.len();
                plan.node(id).expect("a node").sources.iter().map(ix).collect()
            })
            .collect();
        cycle(&edges).is_some()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]
    #[test]
    fn the_union_rings_exactly_if_some_mixture_does(a in plans(), b in plans()) {
        prop_assert_eq!(mixture(&[&a, &b]).is_err(), any_mixture_rings(&[&a, &b]));
    }

    #[test]
    fn every_change_can_be_split_and_no_mixture_in_use_rings(a in plans(), b in plans(), behind in 1usize..4) {
        let steps = steps(&a, &b, behind);
        if let Err(Refusal::Steps(_)) = steps {
            return Ok(());
        }
        let steps = steps.expect("a way");
        prop_assert_eq!(steps.last().map(Plan::spec), Some(b.spec()));
        let all: Vec<&Plan> = [&a].into_iter().chain(&steps).collect();
        for window in all.windows((behind + 1).min(all.len())) {
            prop_assert!(mixture(window).is_ok());
        }
    }
}
