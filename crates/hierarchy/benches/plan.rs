//! Checking plans up to the largest, a mixture of two, and the pick of a source.

use basaltgw_hierarchy::{
    mixture, CacheSide, NodeId, NodeSpec, Plan, PlanSpec, Settings, Tier, Trail, Version,
};
use divan::{black_box, Bencher};
use std::sync::Arc;

fn main() {
    divan::main();
}

const SIZES: [usize; 3] = [100, 1_000, 10_000];

/// One hub for every 100 nodes, four districts to a hub, the rest edge caches; with demands and capacities.
fn plan(version: u64, n: usize, shift: usize) -> PlanSpec {
    let hubs = (n / 100).max(3);
    let districts = hubs * 4;
    let name = |what: &str, i: usize| NodeId::new(&format!("{what}-{i:05}"));
    let node = |id: NodeId, tier: u8, demand: f64, sources: Vec<NodeId>| NodeSpec {
        id,
        tier: Tier(tier),
        location: String::new(),
        weight: 1.0,
        demand,
        capacity: if tier == 0 { f64::INFINITY } else { 1.0e6 },
        sources,
    };
    let mut nodes = vec![node(name("archive", 0), 0, 0.0, vec![])];
    nodes.extend((0..hubs).map(|i| node(name("hub", i), 1, 0.0, vec![name("archive", 0)])));
    let near = |i: usize, k: usize, of: usize, what: &str| {
        (0..k).map(|j| name(what, (i + j + shift) % of)).collect::<Vec<_>>()
    };
    nodes.extend((0..districts).map(|i| node(name("district", i), 2, 0.0, near(i, 3, hubs, "hub"))));
    let edges = n - nodes.len();
    nodes.extend((0..edges).map(|i| node(name("edge", i), 3, 10.0, near(i, 4, districts, "district"))));
    PlanSpec { version: Version(version), nodes }
}

#[divan::bench(args = SIZES)]
fn check(bencher: Bencher<'_, '_>, n: usize) {
    let spec = plan(1, n, 0);
    bencher.bench_local(|| black_box(Plan::check(spec.clone())).is_ok());
}

#[divan::bench(args = SIZES)]
fn mixture_of_two(bencher: Bencher<'_, '_>, n: usize) {
    let (a, b) = (Plan::check(plan(1, n, 0)).expect("a plan"), Plan::check(plan(2, n, 1)).expect("a plan"));
    bencher.bench_local(|| black_box(mixture(&[&a, &b])).is_ok());
}

#[divan::bench(args = SIZES)]
fn pick_of_a_source(bencher: Bencher<'_, '_>, n: usize) {
    let plan = Arc::new(Plan::check(plan(1, n, 0)).expect("a plan"));
    let me = NodeId::new("district-00001");
    let mut side = CacheSide::new(me.clone());
    side.take(0.0, Arc::clone(&plan), &Settings::default());
    let trail = Trail::default().through(&me).expect("a trail");
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(side.next(0.0, object, &trail, &[]))
    });
}
