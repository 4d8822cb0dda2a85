//! Shadow lists, the split between ranks, and the rendezvous placement (docs/design.md).

mod common;
use basaltgw::api::*;
use basaltgw::routing::shadow_list::ShadowList;
use basaltgw::routing::{best_split, PERIOD_MS, SHADOW_ENTRIES, SPLIT_STEP};
use common::*;
use std::collections::BTreeSet;

#[test]
fn reuse_distance_is_the_position_in_the_list() {
    let mut list = ShadowList::new(3);
    assert_eq!(list.access(1), None);
    assert_eq!(list.access(2), None);
    assert_eq!(list.access(1), Some(1));
    assert_eq!(list.access(1), Some(0));
    list.access(3);
    list.access(4);
    assert!(!list.contains(2), "the fourth key evicts the least recent one");
    assert_eq!(list.access(2), None);
}

#[test]
fn miss_curve_sums_the_histogram_and_halves() {
    let mut list = ShadowList::new(3);
    for key in [1, 2, 1, 1, 2] {
        list.access(key);
    }
    // Two keys were not found, one was found at position 0, two at position 1.
    assert_eq!(list.miss_curve(), vec![5.0, 4.0, 2.0, 2.0]);
    list.halve();
    assert_eq!(list.miss_curve(), vec![2.5, 2.0, 1.0, 1.0]);
}

#[test]
fn bounded_search_moves_the_split_either_way_or_not_at_all() {
    // By hand, St = 4: MR1 falls by 4, 3, 2, 1; MR2 likewise, so with s2 = 4 - s the sums are
    // s: 0 -> 10 L1 + 0, 1 -> 6 L1 + 1 L2, 2 -> 3 L1 + 3 L2, 3 -> 1 L1 + 6 L2, 4 -> 0 + 10 L2.
    let mr = [10.0, 6.0, 3.0, 1.0, 0.0];
    assert_eq!(best_split(2, 1, &mr, &mr, 10.0, 1.0), 3, "costly misses at the edge raise the split");
    assert_eq!(best_split(2, 1, &mr, &mr, 1.0, 10.0), 1, "costly misses at the parents lower it");
    assert_eq!(best_split(2, 1, &mr, &mr, 1.0, 1.0), 2, "the split has the lowest cost");
    assert_eq!(
        best_split(2, 2, &mr, &mr, 10.0, 1.0),
        4,
        "costs of 33 at 2, 16 at 3, 10 at 4: a longer step reaches 4"
    );
}

#[test]
fn equal_costs_leave_the_split_unchanged() {
    let flat = [5.0; 5];
    assert_eq!(best_split(2, 2, &flat, &flat, 1.0, 1.0), 2);
}

#[test]
fn split_stays_in_the_middle_until_both_latencies_have_samples() {
    let mut driver = Driver::new(settings(), fleet());
    assert_eq!(driver.router.split(), SHADOW_ENTRIES / 2);
    // Misses with a short reuse distance and only parent fills: no L2 yet.
    for n in 0..60 {
        driver.serve(n, IDEMPOTENT, n as u64 % 20, FillReport::FilledBySource);
        driver.advance(20.0);
    }
    driver.advance(PERIOD_MS);
    assert_eq!(driver.router.split(), SHADOW_ENTRIES / 2);
}

#[test]
fn split_moves_by_at_most_q_once_both_latencies_are_known() {
    let mut driver = Driver::new(settings(), fleet());
    // Two scans over more objects than s1: each access of the second one is at a distance just above s1.
    let objects = SHADOW_ENTRIES / 2 + 50;
    for n in 0..2 * objects {
        let fill_report = if n % 2 == 0 { FillReport::FilledBySource } else { FillReport::FilledByOrigin };
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, (n % objects) as u64)).expect("an attempt");
        let fill_report = if n < 4 { fill_report } else { FillReport::Hit };
        driver.finish(n, 0, &spec.server, AttemptResult::Served, fill_report);
    }
    let before = driver.router.split();
    driver.advance(PERIOD_MS + 20.0);
    let moved = driver.router.split().abs_diff(before);
    assert!(moved > 0 && moved <= (SPLIT_STEP * SHADOW_ENTRIES as f64) as usize, "moved by {moved}");
    assert!(driver.router.split() > before);
}

#[test]
fn rank_follows_reuse_distance_and_later_parts_follow_the_first() {
    let mut driver = Driver::new(settings(), fleet());
    assert_eq!(driver.serve(0, IDEMPOTENT, 9, FillReport::Hit).rank, Rank::Low, "not requested before");
    let part = |n: usize, part: u64| {
        Event::Request(Request { part: Part(part), ..request(n, IDEMPOTENT, 9, 4000.0) })
    };
    let actions = driver.handle(part(1, 1));
    assert_eq!(
        first_attempt(&actions).map(|spec| spec.rank),
        Some(Rank::Low),
        "a later part is no access to the object"
    );
    assert_eq!(
        driver.serve(2, IDEMPOTENT, 9, FillReport::Hit).rank,
        Rank::Top,
        "the first part was requested again at a short distance"
    );
    let actions = driver.handle(part(3, 2));
    assert_eq!(first_attempt(&actions).map(|spec| spec.rank), Some(Rank::Top));
}

#[test]
fn all_fills_are_cached_and_uncacheable_responses_are_not() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..50 {
        assert!(driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource).rank >= Rank::Low);
    }
    assert_eq!(driver.serve(99, NON_IDEMPOTENT, 1, FillReport::NotReported).rank, Rank::None);
}

#[test]
fn placement_is_stable_when_one_cache_leaves() {
    let homes = |servers: Vec<Endpoint>| -> Vec<AttemptSpec> {
        let mut driver = Driver::new(settings(), servers);
        (0..200).map(|n| driver.serve(n, IDEMPOTENT, n as u64 * 7919, FillReport::Hit)).collect()
    };
    let all = homes(fleet());
    let mut fewer = fleet();
    fewer.remove(1);
    // The order of the list must not matter either.
    fewer.reverse();
    let remaining = homes(fewer);
    for (before, after) in all.iter().zip(&remaining) {
        if before.server != server_id("edge-1") {
            assert_eq!(before.server, after.server);
        } else {
            assert_ne!(after.server, server_id("edge-1"));
        }
        assert_eq!(before.fill_source, after.fill_source, "the parent does not depend on the caches");
    }
    assert_eq!(all.iter().map(|spec| &spec.server).collect::<BTreeSet<_>>().len(), 4);
    assert_eq!(all.iter().map(|spec| &spec.fill_source).collect::<BTreeSet<_>>().len(), 2);
}

#[test]
fn every_zone_fills_an_object_from_the_same_parent() {
    let mut own_zone = Driver::new(settings(), fleet());
    let other_settings = Settings { zone: ZoneId(2), ..settings() };
    let mut servers = fleet();
    servers.iter_mut().filter(|s| s.role == Role::Edge).for_each(|s| s.zone = ZoneId(2));
    let mut other_zone = Driver::new(other_settings, servers);
    for n in 0..50 {
        let own = own_zone.serve(n, IDEMPOTENT, n as u64 * 31, FillReport::Hit);
        let other = other_zone.serve(n, IDEMPOTENT, n as u64 * 31, FillReport::Hit);
        assert_eq!(own.fill_source, other.fill_source);
    }
}
