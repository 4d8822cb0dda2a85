//! Fill plans restrict the sources of misses, and a loop in a fill is no fault of a server.

mod common;
use basaltgw::api::*;
use basaltgw::hash::{fnv1a, within_share};
use common::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

fn plan(of: &[(&str, f64)], origin: bool) -> Event {
    let shares =
        of.iter().map(|(name, share)| SourceShare { id: server_id(name), weight: 1.0, share: *share });
    let shares = Arc::new(shares.collect::<Vec<_>>());
    let edges: Vec<ServerId> = (0..4).map(|n| server_id(&format!("edge-{n}"))).collect();
    let of: HashMap<_, _> = edges.iter().map(|e| (e.clone(), Arc::clone(&shares))).collect();
    let origin: HashSet<ServerId> = edges.into_iter().filter(|_| origin).collect();
    Event::FillPlan(Some(Arc::new(FillPlan { sources: of, origin_allowed: origin })))
}

/// Sources of the first attempts for many objects.
fn sources(driver: &mut Driver, objects: std::ops::Range<u64>) -> Vec<(u64, ServerId)> {
    let mut all = Vec::new();
    for object in objects {
        let n = 10_000 + object as usize;
        let first = first_attempt(&driver.request(n, IDEMPOTENT, object)).expect("a fetch");
        driver.finish(n, 0, &first.server, AttemptResult::Served, FillReport::FilledBySource);
        all.push((object, first.fill_source));
    }
    all
}

#[test]
fn fill_plan_restricts_sources_until_it_is_removed() {
    let mut driver = Driver::new(settings(), fleet());
    let flat = sources(&mut driver, 0..60);
    assert!(
        flat.iter().any(|(_, s)| *s == server_id("parent-0"))
            && flat.iter().any(|(_, s)| *s == server_id("parent-1"))
    );
    driver.handle(plan(&[("parent-1", 1.0)], false));
    assert!(sources(&mut driver, 100..160).iter().all(|(_, s)| *s == server_id("parent-1")));
    driver.handle(plan(&[("parent-0", 1.0), ("parent-1", 1.0)], false));
    let planned = sources(&mut driver, 0..60);
    assert_eq!(planned, flat, "a plan that permits every parent is the hash over all of them");
    driver.handle(Event::FillPlan(None));
    assert_eq!(sources(&mut driver, 0..60), flat);
}

#[test]
fn new_source_gets_only_the_objects_of_its_share() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(plan(&[("parent-0", 1.0), ("parent-1", 0.25)], false));
    let got = sources(&mut driver, 0..400);
    let moved = got.iter().filter(|(_, s)| *s == server_id("parent-1")).count();
    assert!((25..80).contains(&moved), "an eighth or so: {moved}");
    let hash = fnv1a("parent-1");
    assert!(got.iter().all(|(o, s)| *s != server_id("parent-1") || within_share(*o, hash, 0.25)));
    let flat: Vec<_> = {
        driver.handle(Event::FillPlan(None));
        sources(&mut driver, 0..400)
    };
    let belongs = |o: u64| {
        flat.iter().any(|(f, s)| *f == o && *s == server_id("parent-1")) && within_share(o, hash, 0.25)
    };
    assert!(
        got.iter().all(|(o, s)| (*s == server_id("parent-1")) == belongs(*o)),
        "all objects of its own within its share"
    );
}

#[test]
fn origin_is_the_source_only_if_the_plan_allows_it() {
    let gone = |name: &str| Endpoint { state: EndpointState::Removed, ..endpoint(name, Role::Parent) };
    for permitted in [false, true] {
        let mut driver = Driver::new(settings(), fleet());
        driver.handle(plan(&[("parent-0", 1.0)], permitted));
        driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: vec![gone("parent-0")] });
        let first = first_attempt(&driver.request(1, IDEMPOTENT, 5)).expect("a fetch");
        let expected = if permitted { server_id("origin") } else { first.server.clone() };
        assert_eq!(first.fill_source, expected, "a lookup without a fill, where no source is allowed");
    }
}

#[test]
fn loop_is_retried_from_another_source_without_penalty() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..40 {
        let first = first_attempt(&driver.request(n, IDEMPOTENT, 7)).expect("a fetch");
        let actions = driver.finish(n, 0, &first.server, AttemptResult::CacheMiss, FillReport::LoopDetected);
        let second = first_attempt(&actions).expect("another attempt");
        assert_ne!(second.fill_source, first.fill_source, "from another source");
        driver.finish(n, 1, &second.server, AttemptResult::Served, FillReport::FilledBySource);
        let next = first_attempt(&driver.request(1000 + n, IDEMPOTENT, 7)).expect("a fetch");
        assert_eq!(next.fill_source, first.fill_source, "the next request finds its home as before");
        driver.finish(1000 + n, 0, &next.server, AttemptResult::Served, FillReport::Hit);
    }
}

#[test]
fn fill_plan_does_not_affect_non_idempotent_requests() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(plan(&[("parent-1", 1.0)], false));
    let first = first_attempt(&driver.request(1, NON_IDEMPOTENT, 5)).expect("a fetch");
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
        "it may have been executed"
    );
}
