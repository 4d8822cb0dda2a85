//! Large objects of a class are served nearly as often as small ones, even by routers that know neither sizes nor the response rate.

mod common;
use basaltgw::routing::Router;
use basaltgw_simulator::sim::{run, ClassMetrics, DecisionModule, Setup};
use basaltgw_simulator::spec::*;
use common::*;

/// A setup whose parts take 5 to 500 ms to send.
fn setup_with_wide_sizes(seed: u64) -> Setup {
    let mut setup = setup(seed);
    setup.load.classes[0].kb = [40.0, 4_000.0];
    (setup.load.per_router, setup.fleet.edge.store_kb) = (20.0, 600_000.0);
    setup
}

/// The share of requests served: of the class, of the largest tenth of its requests, and of the next largest fifth.
fn served_shares(class: &ClassMetrics) -> [f64; 3] {
    let mut sizes = class.requested_kb.clone();
    sizes.sort_by(f64::total_cmp);
    let quantile = |share: f64| sizes[((sizes.len() as f64 * share) as usize).min(sizes.len() - 1)];
    [(0.0, f64::INFINITY), (quantile(0.9), f64::INFINITY), (quantile(0.7), quantile(0.9))].map(
        |(from, to)| {
            let count =
                |sizes_kb: &[f64]| sizes_kb.iter().filter(|kb| (from..to).contains(*kb)).count() as f64;
            count(&class.served_kb) / count(&class.requested_kb).max(1.0)
        },
    )
}

/// Checks that the served share of large parts is at least `min_ratio` of that of their class.
fn assert_large_parts_are_served(min_ratio: f64, scenario: &str, setup: &Setup) {
    let router = |_, settings: basaltgw::api::Settings, seed| {
        let without_rate = basaltgw::api::Settings { response_rate_kb_per_s: 0.0, ..settings };
        Box::new(Router::new(without_rate, seed)) as Box<dyn DecisionModule>
    };
    let metrics = run(setup, router).expect("a valid setup");
    assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
    let [all, tenth, fifth] = served_shares(&metrics.classes[0]);
    println!("{scenario}: served {all:.3}, largest tenth {tenth:.3}, next fifth {fifth:.3}");
    assert!(
        tenth >= min_ratio * all && fifth >= min_ratio * all,
        "{scenario}: served {all:.3}, largest tenth {tenth:.3}, next fifth {fifth:.3}"
    );
}

#[test]
fn large_objects_are_served_without_overload() {
    (1..4).for_each(|seed| {
        assert_large_parts_are_served(2.0 / 3.0, "without overload", &setup_with_wide_sizes(seed))
    });
}

#[test]
fn large_objects_get_half_of_their_classs_share_under_overload() {
    for (times, seed) in [(4.0, 1), (8.0, 1), (8.0, 2), (16.0, 1)] {
        let mut setup = setup_with_wide_sizes(seed);
        setup.load.per_router *= times;
        assert_large_parts_are_served(0.5, &format!("{times} times the load"), &setup);
    }
}

#[test]
fn large_objects_get_half_of_their_classs_share_while_caches_are_lost_and_cold() {
    for seed in 1..4 {
        let mut setup = setup_with_wide_sizes(seed);
        let lost = |node: &str| {
            at_node(node, ScriptEvent { for_ms: 4_000.0, ..event(4_000.0, ScriptAction::Vanish) })
        };
        setup.script = ["edge-1-0", "edge-1-1", "edge-1-2", "district-0", "district-1"].map(lost).to_vec();
        assert_large_parts_are_served(0.5, "caches and parents lost", &setup);
    }
}
