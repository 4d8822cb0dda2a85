//! The sources that a cache selects during and after changes of the plan.

use super::*;
use crate::plan::test_plans::tree;

fn plan(version: u64, tier_1: &[&str]) -> Arc<Plan> {
    Arc::new(Plan::from_spec(tree(version, tier_1, &["d1", "d2"], &["e1"])).expect("a plan"))
}

/// The selector of a node that has adopted the plans one after another.
fn selector(me: &str, plans: &[&Arc<Plan>]) -> SourceSelector {
    let mut selector = SourceSelector::new(NodeId::new(me));
    for p in plans {
        assert!(selector.adopt(0.0, Arc::clone(p), &Settings::default()));
    }
    selector
}

/// The next source's id, and whether it gets a request for a cached copy only.
fn next(selector: &SourceSelector, object: u64, visited: &[&str], tried: &[&str]) -> Option<(String, bool)> {
    let path = visited.iter().try_fold(VisitedPath::default(), |p, n| p.visit(&NodeId::new(n)));
    let tried: Vec<NodeId> = tried.iter().map(|n| NodeId::new(n)).collect();
    let source = selector.next_source(10.0, object, &path.expect("a path"), &tried);
    source.map(|s| (s.node.0.to_string(), s.cached_only))
}

/// An object whose home is `from` in the old plan and `to` in the new one.
fn moved(old: &Plan, new: &Plan, from: &str, to: &str) -> u64 {
    (0..)
        .find(|o| old.home(*o) == Some(&NodeId::new(from)) && new.home(*o) == Some(&NodeId::new(to)))
        .expect("an object")
}

#[test]
fn only_the_home_requests_from_the_origin_and_other_tier_1_nodes_from_the_home() {
    let p = plan(1, &["h1", "h2", "h3"]);
    for object in 0..50 {
        let home = p.home(object).expect("a home").0.to_string();
        for node in ["h1", "h2", "h3"] {
            let expected = if node == home { "origin".to_string() } else { home.clone() };
            assert_eq!(next(&selector(node, &[&p]), object, &[node], &[]), Some((expected, false)));
        }
        // The home is down: the second candidate replaces it, and the third requests from the second.
        let order: Vec<&str> = p.home_candidates(object).map(|n| &*n.0).collect();
        let next_of =
            |me: usize, tried: &[&str]| next(&selector(order[me], &[&p]), object, &[order[me]], tried);
        assert_eq!(next_of(1, &order[..1]), Some(("origin".into(), false)));
        assert_eq!(next_of(2, &order[..1]), Some((order[1].to_string(), false)));
        assert_eq!(next_of(2, &order[..2]), Some(("origin".into(), false)));
    }
}

#[test]
fn new_home_requests_cached_copies_from_the_old_one_which_forwards_handed_over_objects() {
    let (old, new) = (plan(1, &["h1", "h2"]), plan(2, &["h1", "h2", "h3"]));
    let object = moved(&old, &new, "h1", "h3");
    let h3 = selector("h3", &[&old, &new]);
    assert_eq!(next(&h3, object, &["d1", "h3"], &[]), Some(("h1".into(), true)));
    assert_eq!(next(&h3, object, &["d1", "h3"], &["h1"]), Some(("origin".into(), false)));
    assert_eq!(
        next(&h3, object, &["d1", "h1", "h3"], &[]),
        Some(("origin".into(), false)),
        "the request came from h1"
    );
    let mut h1 = selector("h1", &[&old]);
    assert_eq!(next(&h1, object, &["d2", "h1"], &[]), Some(("origin".into(), false)), "h1 is still the home");
    h1.record_handover(object, &NodeId::new("h3"));
    assert_eq!(next(&h1, object, &["d2", "h1"], &[]), Some(("h3".into(), false)));
    assert_eq!(next(&h1, object, &["d2", "h1"], &["h3"]), Some(("origin".into(), false)), "h3 is down");
    let newer = plan(3, &["h1", "h2", "h3", "h4"]);
    if newer.home(object) == Some(&NodeId::new("h3")) {
        let h3 = selector("h3", &[&old, &new, &newer]);
        assert_eq!(next(&h3, object, &["d1", "h3"], &[]), Some(("h1".into(), true)), "two versions later");
    }
    assert_eq!(
        next(&h1, object, &["h3", "h1"], &[]),
        Some(("origin".into(), false)),
        "a request is never sent back to a node on its path"
    );
    let late = h3.next_source(1.0e9, object, &VisitedPath::default(), &[]).expect("a source");
    assert!(late.is_origin, "the old home gets no requests after the handover");
}

#[test]
fn restarted_home_requests_cached_copies_from_the_node_that_replaced_it() {
    let p = plan(1, &["h1", "h2", "h3"]);
    let order: Vec<&str> = p.home_candidates(7).map(|n| &*n.0).collect();
    let mut home = selector(order[0], &[&p]);
    assert_eq!(next(&home, 7, &[order[0]], &[]), Some(("origin".into(), false)));
    home.restart(5.0, &Settings::default());
    assert_eq!(next(&home, 7, &[order[0]], &[]), Some((order[1].to_string(), true)));
    assert_eq!(next(&home, 7, &[order[0]], &[order[1]]), Some(("origin".into(), false)));
    let late = home.next_source(1.0e9, 7, &VisitedPath::default(), &[]).expect("a source");
    assert!(late.is_origin, "the replacement gets no requests after the handover");
}

#[test]
fn versions_are_adopted_in_ascending_order_only() {
    let (old, new) = (plan(1, &["h1"]), plan(2, &["h1", "h2"]));
    let mut selector = selector("h1", &[&new]);
    assert!(!selector.adopt(0.0, Arc::clone(&old), &Settings::default()));
    assert!(!selector.adopt(0.0, Arc::clone(&new), &Settings::default()));
    assert_eq!(selector.plan().map(|p| p.version()), Some(new.version()));
    assert_eq!(next(&SourceSelector::new(NodeId::new("d1")), 1, &[], &[]), None, "no source without a plan");
}

#[test]
fn remembered_handovers_are_bounded() {
    let p = plan(1, &["h1", "h2"]);
    let mut selector = selector("h1", &[&p]);
    (0..10_000).for_each(|o| selector.record_handover(o, &NodeId::new("h2")));
    assert_eq!(selector.handovers.len(), MAX_HANDOVERS);
}
