//! Benchmarks up to the largest plan: the checks of a plan, of a mixture of two plans, and the selection of a source.

use basaltgw_hierarchy::{
    check_mixture, NodeId, NodeSpec, Plan, PlanSpec, Settings, SourceSelector, Tier, Version, VisitedPath,
};
use divan::{black_box, Bencher};
use std::sync::Arc;

fn main() {
    divan::main();
}

const NODE_COUNTS: [usize; 3] = [100, 1_000, 10_000];

/// One node of tier 1 for every 100 nodes, four of tier 2 for each of these, the rest edge caches; with demands and capacities.
/// `shift` moves the sources of tier 2 and of edge caches along, so that two plans differ.
fn plan(version: u64, node_count: usize, shift: usize) -> PlanSpec {
    let tier_1 = (node_count / 100).max(3);
    let tier_2 = tier_1 * 4;
    let id = |kind: &str, i: usize| NodeId::new(&format!("{kind}-{i:05}"));
    let node = |id: NodeId, tier: u8, demand: f64, sources: Vec<NodeId>| NodeSpec {
        id,
        tier: Tier(tier),
        location: String::new(),
        weight: 1.0,
        demand,
        capacity: if tier == 0 { f64::INFINITY } else { 1.0e6 },
        sources,
    };
    let mut nodes = vec![node(id("origin", 0), 0, 0.0, vec![])];
    nodes.extend((0..tier_1).map(|i| node(id("hub", i), 1, 0.0, vec![id("origin", 0)])));
    let adjacent = |i: usize, count: usize, of: usize, kind: &str| {
        (0..count).map(|j| id(kind, (i + j + shift) % of)).collect::<Vec<_>>()
    };
    nodes.extend((0..tier_2).map(|i| node(id("district", i), 2, 0.0, adjacent(i, 3, tier_1, "hub"))));
    let edges = node_count - nodes.len();
    let edge = |i| node(id("edge", i), 3, 10.0, adjacent(i, 4, tier_2, "district"));
    nodes.extend((0..edges).map(edge));
    PlanSpec { version: Version(version), nodes }
}

fn checked_plan(version: u64, node_count: usize, shift: usize) -> Plan {
    Plan::from_spec(plan(version, node_count, shift)).expect("a plan")
}

#[divan::bench(args = NODE_COUNTS)]
fn check(bencher: Bencher<'_, '_>, node_count: usize) {
    let spec = plan(1, node_count, 0);
    bencher.bench_local(|| black_box(Plan::from_spec(spec.clone())).is_ok());
}

#[divan::bench(args = NODE_COUNTS)]
fn mixture_of_two(bencher: Bencher<'_, '_>, node_count: usize) {
    let (a, b) = (checked_plan(1, node_count, 0), checked_plan(2, node_count, 1));
    bencher.bench_local(|| black_box(check_mixture(&[&a, &b])).is_ok());
}

#[divan::bench(args = NODE_COUNTS)]
fn pick_of_a_source(bencher: Bencher<'_, '_>, node_count: usize) {
    let plan = Arc::new(checked_plan(1, node_count, 0));
    let me = NodeId::new("district-00001");
    let mut selector = SourceSelector::new(me.clone());
    selector.adopt(0.0, Arc::clone(&plan), &Settings::default());
    let path = VisitedPath::default().visit(&me).expect("a path");
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(selector.next_source(0.0, object, &path, &[]))
    });
}
