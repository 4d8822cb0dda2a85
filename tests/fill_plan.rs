//! Fill plans restrict the sources of misses, and a loop in a fill is not counted against a server.

mod common;
use basaltgw::api::*;
use basaltgw::hash::{fnv1a, within_share};
use common::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// A plan that gives all edge caches these sources with their shares, and allows the origin or not.
fn fill_plan(shares: &[(&str, f64)], allows_origin: bool) -> Event {
    let shares =
        shares.iter().map(|(name, share)| SourceShare { id: server_id(name), weight: 1.0, share: *share });
    let shares = Arc::new(shares.collect::<Vec<_>>());
    let edges: Vec<ServerId> = (0..4).map(|n| server_id(&format!("edge-{n}"))).collect();
    let sources: HashMap<_, _> = edges.iter().map(|edge| (edge.clone(), Arc::clone(&shares))).collect();
    let origin_allowed: HashSet<ServerId> = edges.into_iter().filter(|_| allows_origin).collect();
    Event::FillPlan(Some(Arc::new(FillPlan { sources, origin_allowed })))
}

/// Sources of the first attempts for many objects.
fn sources(driver: &mut Driver, objects: std::ops::Range<u64>) -> Vec<(u64, ServerId)> {
    let mut all = Vec::new();
    for object in objects {
        let n = 10_000 + object as usize;
        let first = first_attempt(&driver.request(n, IDEMPOTENT, object)).expect("an attempt");
        driver.finish(n, 0, &first.server, AttemptResult::Served, FillReport::FilledBySource);
        all.push((object, first.fill_source));
    }
    all
}

#[test]
fn fill_plan_restricts_sources_until_it_is_removed() {
    let mut driver = Driver::new(settings(), fleet());
    let unplanned = sources(&mut driver, 0..60);
    for parent in ["parent-0", "parent-1"] {
        assert!(unplanned.iter().any(|(_, source)| *source == server_id(parent)), "nothing from {parent}");
    }
    driver.handle(fill_plan(&[("parent-1", 1.0)], false));
    assert!(sources(&mut driver, 100..160).iter().all(|(_, source)| *source == server_id("parent-1")));
    driver.handle(fill_plan(&[("parent-0", 1.0), ("parent-1", 1.0)], false));
    let planned = sources(&mut driver, 0..60);
    assert_eq!(planned, unplanned, "a plan with all parents selects the same sources as no plan");
    driver.handle(Event::FillPlan(None));
    assert_eq!(sources(&mut driver, 0..60), unplanned);
}

#[test]
fn new_source_gets_only_the_objects_of_its_share() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(fill_plan(&[("parent-0", 1.0), ("parent-1", 0.25)], false));
    let planned = sources(&mut driver, 0..400);
    let moved = planned.iter().filter(|(_, source)| *source == server_id("parent-1")).count();
    assert!((25..80).contains(&moved), "{moved} of 400 objects, expected about an eighth");
    let hash = fnv1a("parent-1");
    let is_within_share = |object: u64| within_share(object, hash, 0.25);
    assert!(planned
        .iter()
        .all(|(object, source)| *source != server_id("parent-1") || is_within_share(*object)));
    driver.handle(Event::FillPlan(None));
    let unplanned = sources(&mut driver, 0..400);
    let is_assigned =
        |object: u64| unplanned.contains(&(object, server_id("parent-1"))) && is_within_share(object);
    assert!(
        planned.iter().all(|(object, source)| (*source == server_id("parent-1")) == is_assigned(*object)),
        "the source gets all objects of its share that it has without a plan"
    );
}

#[test]
fn origin_is_the_source_only_if_the_plan_allows_it() {
    let removed = Endpoint { state: EndpointState::Removed, ..endpoint("parent-0", Role::Parent) };
    for origin_allowed in [false, true] {
        let mut driver = Driver::new(settings(), fleet());
        driver.handle(fill_plan(&[("parent-0", 1.0)], origin_allowed));
        driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: vec![removed.clone()] });
        let first = first_attempt(&driver.request(1, IDEMPOTENT, 5)).expect("an attempt");
        let expected = if origin_allowed { server_id("origin") } else { first.server.clone() };
        assert_eq!(first.fill_source, expected, "a lookup without a fill, where no source is allowed");
    }
}

#[test]
fn loop_is_retried_from_another_source_without_penalty() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..40 {
        let first = first_attempt(&driver.request(n, IDEMPOTENT, 7)).expect("an attempt");
        let actions = driver.finish(n, 0, &first.server, AttemptResult::CacheMiss, FillReport::LoopDetected);
        let second = first_attempt(&actions).expect("another attempt");
        assert_ne!(second.fill_source, first.fill_source, "from another source");
        driver.finish(n, 1, &second.server, AttemptResult::Served, FillReport::FilledBySource);
        let next = first_attempt(&driver.request(1000 + n, IDEMPOTENT, 7)).expect("an attempt");
        assert_eq!(next.fill_source, first.fill_source, "the source that detected the loop is used again");
        driver.finish(1000 + n, 0, &next.server, AttemptResult::Served, FillReport::Hit);
    }
}

#[test]
fn fill_plan_does_not_affect_non_idempotent_requests() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(fill_plan(&[("parent-1", 1.0)], false));
    let first = first_attempt(&driver.request(1, NON_IDEMPOTENT, 5)).expect("an attempt");
    assert_eq!(first.server, server_id("origin"));
    assert!(
        first_attempt(&driver.finish(
            1,
            0,
            &first.server,
            AttemptResult::ConnectionLost,
            FillReport::NotReported
        ))
        .is_none(),
        "no retry of a request that may have been executed"
    );
}
