//! Large and small objects of one class get a fair share of responses even if routers do not know sizes.

mod common;
use basaltgw::routing::Router;
use basaltgw_simulator::sim::{run, ClassMetrics, DecisionModule, Setup};
use basaltgw_simulator::spec::*;
use common::*;

/// A setup whose parts take 5 to 500 ms to send.
fn setup_with_wide_sizes(seed: u64) -> Setup {
    let mut s = setup(seed);
    s.load.classes[0].kb = [40.0, 4_000.0];
    (s.load.per_router, s.fleet.edge.store_kb) = (20.0, 600_000.0);
    s
}

/// The share of requests served: of the class, of the largest tenth of its requests, and of the next largest fifth.
fn served_shares(class: &ClassMetrics) -> [f64; 3] {
    let mut sizes = class.requested_kb.clone();
    sizes.sort_by(f64::total_cmp);
    let quantile = |part: f64| sizes[((sizes.len() as f64 * part) as usize).min(sizes.len() - 1)];
    [(0.0, f64::INFINITY), (quantile(0.9), f64::INFINITY), (quantile(0.7), quantile(0.9))].map(
        |(from, to)| {
            let count = |all: &[f64]| all.iter().filter(|kb| (from..to).contains(*kb)).count() as f64;
            count(&class.served_kb) / count(&class.requested_kb).max(1.0)
        },
    )
}

/// Checks that requests of large parts have at least `part` of their class's served share.
fn assert_large_parts_are_served(part: f64, scenario: &str, s: &Setup) {
    let router = |_, settings: basaltgw::api::Settings, seed| {
        let without_rate = basaltgw::api::Settings { response_rate_kb_per_s: 0.0, ..settings };
        Box::new(Router::new(without_rate, seed)) as Box<dyn DecisionModule>
    };
    let f = run(s, router).expect("a run");
    assert!(f.violations.is_empty(), "{:?}", f.violations);
    let [all, tenth, fifth] = served_shares(&f.classes[0]);
    println!("{scenario}: answered {all:.3}, largest tenth {tenth:.3}, next fifth {fifth:.3}");
    assert!(tenth >= part * all && fifth >= part * all, "{scenario}: {all:.3}, {tenth:.3}, {fifth:.3}");
}

#[test]
fn large_objects_are_served_without_overload() {
    (1..4).for_each(|seed| assert_large_parts_are_served(2.0 / 3.0, "quiet", &setup_with_wide_sizes(seed)));
}

#[test]
fn large_objects_get_half_of_their_classs_share_under_overload() {
    for (times, seed) in [(4.0, 1), (8.0, 1), (8.0, 2), (16.0, 1)] {
        let mut s = setup_with_wide_sizes(seed);
        s.load.per_router *= times;
        assert_large_parts_are_served(0.5, &format!("{times} times as much"), &s);
    }
}

#[test]
fn large_objects_get_half_of_their_classs_share_while_caches_are_lost_and_cold() {
    for seed in 1..4 {
        let mut s = setup_with_wide_sizes(seed);
        let lost =
            |node: &str| on(node, ScriptEvent { for_ms: 4_000.0, ..event(4_000.0, ScriptAction::Vanish) });
        s.script = ["edge-1-0", "edge-1-1", "edge-1-2", "district-0", "district-1"].map(lost).to_vec();
        assert_large_parts_are_served(0.5, "caches and parents lost", &s);
    }
}
