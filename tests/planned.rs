//! Sources by a plan: what the table says is kept to, and a loop is told apart from an ill server.

mod common;
use basaltgw::api::*;
use basaltgw::hash::{address, within_share};
use common::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

fn table(of: &[(&str, f64)], origin: bool) -> Event {
    let shares = of.iter().map(|(name, share)| SourceShare { id: id(name), weight: 1.0, share: *share });
    let shares = Arc::new(shares.collect::<Vec<_>>());
    let edges: Vec<ServerId> = (0..4).map(|n| id(&format!("edge-{n}"))).collect();
    let of: HashMap<_, _> = edges.iter().map(|e| (e.clone(), Arc::clone(&shares))).collect();
    let origin: HashSet<ServerId> = edges.into_iter().filter(|_| origin).collect();
    Event::FillPlan(Some(Arc::new(FillPlan { sources: of, origin_allowed: origin })))
}

/// Sources of the first attempts for many objects.
fn sources(d: &mut Driver, objects: std::ops::Range<u64>) -> Vec<(u64, ServerId)> {
    let mut all = Vec::new();
    for object in objects {
        let n = 10_000 + object as usize;
        let first = fetch(&d.ask(n, SAFE, object)).expect("a fetch");
        d.end(n, 0, &first.server, AttemptResult::Served, FillReport::FilledBySource);
        all.push((object, first.fill_source));
    }
    all
}

#[test]
fn a_plan_says_which_parents_may_be_named_and_taking_it_away_leaves_the_design() {
    let mut d = Driver::new(settings(), fleet());
    let flat = sources(&mut d, 0..60);
    assert!(flat.iter().any(|(_, s)| *s == id("parent-0")) && flat.iter().any(|(_, s)| *s == id("parent-1")));
    d.tell(table(&[("parent-1", 1.0)], false));
    assert!(sources(&mut d, 100..160).iter().all(|(_, s)| *s == id("parent-1")));
    d.tell(table(&[("parent-0", 1.0), ("parent-1", 1.0)], false));
    let planned = sources(&mut d, 0..60);
    assert_eq!(planned, flat, "a plan that permits every parent is the hash over all of them");
    d.tell(Event::FillPlan(None));
    assert_eq!(sources(&mut d, 0..60), flat);
}

#[test]
fn a_newcomer_gets_its_share_of_objects_and_no_others() {
    let mut d = Driver::new(settings(), fleet());
    d.tell(table(&[("parent-0", 1.0), ("parent-1", 0.25)], false));
    let got = sources(&mut d, 0..400);
    let moved = got.iter().filter(|(_, s)| *s == id("parent-1")).count();
    assert!((25..80).contains(&moved), "an eighth or so: {moved}");
    let hash = address("parent-1");
    assert!(got.iter().all(|(o, s)| *s != id("parent-1") || within_share(*o, hash, 0.25)));
    let flat: Vec<_> = {
        d.tell(Event::FillPlan(None));
        sources(&mut d, 0..400)
    };
    let belongs =
        |o: u64| flat.iter().any(|(f, s)| *f == o && *s == id("parent-1")) && within_share(o, hash, 0.25);
    assert!(
        got.iter().all(|(o, s)| (*s == id("parent-1")) == belongs(*o)),
        "all that is its own and in its share"
    );
}

#[test]
fn without_a_planned_source_the_origin_is_named_only_if_the_plan_permits_it() {
    let gone = |name: &str| Endpoint { state: EndpointState::Removed, ..entry(name, Role::Parent) };
    for permitted in [false, true] {
        let mut d = Driver::new(settings(), fleet());
        d.tell(table(&[("parent-0", 1.0)], permitted));
        d.tell(Event::Endpoints(EndpointUpdate::Delta, vec![gone("parent-0")]));
        let first = fetch(&d.ask(1, SAFE, 5)).expect("a fetch");
        let expected = if permitted { id("origin") } else { first.server.clone() };
        assert_eq!(first.fill_source, expected, "a look without a fill, where nothing may fill it");
    }
}

#[test]
fn a_loop_is_answered_from_another_source_and_held_against_nobody() {
    let mut d = Driver::new(settings(), fleet());
    for n in 0..40 {
        let first = fetch(&d.ask(n, SAFE, 7)).expect("a fetch");
        let acts = d.end(n, 0, &first.server, AttemptResult::CacheMiss, FillReport::LoopDetected);
        let second = fetch(&acts).expect("another attempt");
        assert_ne!(second.fill_source, first.fill_source, "from another source");
        d.end(n, 1, &second.server, AttemptResult::Served, FillReport::FilledBySource);
        let next = fetch(&d.ask(1000 + n, SAFE, 7)).expect("a fetch");
        assert_eq!(next.fill_source, first.fill_source, "the next request finds its home as before");
        d.end(1000 + n, 0, &next.server, AttemptResult::Served, FillReport::Hit);
    }
}

#[test]
fn an_unsafe_request_is_not_touched_by_a_plan() {
    let mut d = Driver::new(settings(), fleet());
    d.tell(table(&[("parent-1", 1.0)], false));
    let first = fetch(&d.ask(1, WRITE, 5)).expect("a fetch");
    assert_eq!(first.server, id("origin"));
    assert!(
        fetch(&d.end(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported)).is_none(),
        "it may have run"
    );
}
