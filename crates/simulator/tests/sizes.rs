//! Large objects beside small ones of their class, in simulated time, with sizes that no router is told.

mod common;
use basaltgw::routing::Router;
use basaltgw_simulator::sim::{run, ClassFigures, Decide, Setup};
use basaltgw_simulator::spec::*;
use common::*;

/// Parts that take 5 to 500 ms to send.
fn wide(seed: u64) -> Setup {
    let mut s = setup(seed);
    s.load.classes[0].kb = [40.0, 4_000.0];
    (s.load.per_router, s.fleet.edge.store_kb) = (20.0, 600_000.0);
    s
}

/// Answered of what was asked: of the class, of its largest tenth, and of the fifth next to that.
fn shares(class: &ClassFigures) -> [f64; 3] {
    let mut sizes = class.asked_kb.clone();
    sizes.sort_by(f64::total_cmp);
    let at = |part: f64| sizes[((sizes.len() as f64 * part) as usize).min(sizes.len() - 1)];
    [(0.0, f64::INFINITY), (at(0.9), f64::INFINITY), (at(0.7), at(0.9))].map(|(from, to)| {
        let of = |all: &[f64]| all.iter().filter(|kb| (from..to).contains(*kb)).count() as f64;
        of(&class.answered_kb) / of(&class.asked_kb).max(1.0)
    })
}

/// The large ones get that part of their class's answered share.
fn large_ones_get(part: f64, day: &str, s: &Setup) {
    let router = |_, set: basaltgw::api::Settings, seed| {
        let untold = basaltgw::api::Settings { response_rate_kb_per_s: 0.0, ..set };
        Box::new(Router::new(untold, seed)) as Box<dyn Decide>
    };
    let f = run(s, router).expect("a run");
    assert!(f.broken.is_empty(), "{:?}", f.broken);
    let [all, tenth, fifth] = shares(&f.classes[0]);
    println!("{day}: answered {all:.3}, largest tenth {tenth:.3}, next fifth {fifth:.3}");
    assert!(tenth >= part * all && fifth >= part * all, "{day}: {all:.3}, {tenth:.3}, {fifth:.3}");
}

#[test]
fn large_objects_are_answered_on_a_quiet_day() {
    (1..4).for_each(|seed| large_ones_get(2.0 / 3.0, "quiet", &wide(seed)));
}

#[test]
fn large_objects_get_half_of_their_classs_share_under_overload() {
    for (times, seed) in [(4.0, 1), (8.0, 1), (8.0, 2), (16.0, 1)] {
        let mut s = wide(seed);
        s.load.per_router *= times;
        large_ones_get(0.5, &format!("{times} times as much"), &s);
    }
}

#[test]
fn large_objects_get_half_of_their_classs_share_while_caches_are_lost_and_cold() {
    for seed in 1..4 {
        let mut s = wide(seed);
        let lost = |node: &str| on(node, Moment { for_ms: 4_000.0, ..moment(4_000.0, What::Vanish) });
        s.script = ["edge-1-0", "edge-1-1", "edge-1-2", "district-0", "district-1"].map(lost).to_vec();
        large_ones_get(0.5, "caches and parents lost", &s);
    }
}
