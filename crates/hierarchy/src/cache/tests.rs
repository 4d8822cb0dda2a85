//! Tests of `cache`.

use super::*;
use crate::plan::tests::tree;

fn plan(version: u64, hubs: &[&str]) -> Arc<Plan> {
    Arc::new(Plan::check(tree(version, hubs, &["d1", "d2"], &["e1"])).expect("a plan"))
}

fn side(me: &str, plans: &[&Arc<Plan>]) -> CacheSide {
    let mut side = CacheSide::new(NodeId::new(me));
    for p in plans {
        assert!(side.take(0.0, Arc::clone(p), &Settings::default()));
    }
    side
}

fn next(side: &CacheSide, object: u64, passed: &[&str], tried: &[&str]) -> Option<(String, bool)> {
    let trail = passed.iter().try_fold(Trail::default(), |t, n| t.through(&NodeId::new(n))).expect("a trail");
    let tried: Vec<NodeId> = tried.iter().map(|n| NodeId::new(n)).collect();
    side.next(10.0, object, &trail, &tried).map(|n| (n.to.0.to_string(), n.held_only))
}

/// An object whose home is one of the hubs in the first plan and another in the second.
fn moved(old: &Plan, new: &Plan, from: &str, to: &str) -> u64 {
    (0..)
        .find(|o| old.home(*o) == Some(&NodeId::new(from)) && new.home(*o) == Some(&NodeId::new(to)))
        .expect("one")
}

#[test]
fn a_hub_that_is_not_the_home_asks_the_home_and_only_the_home_asks_the_archive() {
    let p = plan(1, &["h1", "h2", "h3"]);
    for object in 0..50 {
        let home = p.home(object).expect("a home").0.to_string();
        for hub in ["h1", "h2", "h3"] {
            let expected = if hub == home { "archive".to_string() } else { home.clone() };
            assert_eq!(next(&side(hub, &[&p]), object, &[hub], &[]), Some((expected, false)));
        }
        // The home is dead: the second in order stands in for it, and there the third meets it.
        let order: Vec<&str> = p.homes(object).map(|n| &*n.0).collect();
        let of = |me: usize, tried: &[&str]| next(&side(order[me], &[&p]), object, &[order[me]], tried);
        assert_eq!(of(1, &order[..1]), Some(("archive".into(), false)));
        assert_eq!(of(2, &order[..1]), Some((order[1].to_string(), false)));
        assert_eq!(of(2, &order[..2]), Some(("archive".into(), false)));
    }
}

#[test]
fn a_new_home_asks_the_old_one_for_what_it_holds_and_the_old_one_sends_on_what_it_handed_over() {
    let (old, new) = (plan(1, &["h1", "h2"]), plan(2, &["h1", "h2", "h3"]));
    let object = moved(&old, &new, "h1", "h3");
    let h3 = side("h3", &[&old, &new]);
    assert_eq!(next(&h3, object, &["d1", "h3"], &[]), Some(("h1".into(), true)));
    assert_eq!(next(&h3, object, &["d1", "h3"], &["h1"]), Some(("archive".into(), false)));
    assert_eq!(
        next(&h3, object, &["d1", "h1", "h3"], &[]),
        Some(("archive".into(), false)),
        "h1 itself sent it"
    );
    let mut h1 = side("h1", &[&old]);
    assert_eq!(next(&h1, object, &["d2", "h1"], &[]), Some(("archive".into(), false)), "still its home");
    h1.hand_over(object, &NodeId::new("h3"));
    assert_eq!(next(&h1, object, &["d2", "h1"], &[]), Some(("h3".into(), false)));
    assert_eq!(next(&h1, object, &["d2", "h1"], &["h3"]), Some(("archive".into(), false)), "h3 is lost");
    let newer = plan(3, &["h1", "h2", "h3", "h4"]);
    if newer.home(object) == Some(&NodeId::new("h3")) {
        let h3 = side("h3", &[&old, &new, &newer]);
        assert_eq!(next(&h3, object, &["d1", "h3"], &[]), Some(("h1".into(), true)), "also two versions on");
    }
    assert_eq!(
        next(&h1, object, &["h3", "h1"], &[]),
        Some(("archive".into(), false)),
        "never back to whom it came from"
    );
    let late = h3.next(1.0e9, object, &Trail::default(), &[]).expect("somebody");
    assert!(late.archive, "the old home is not asked for ever");
}

#[test]
fn a_home_that_has_just_started_asks_who_stood_in_for_it() {
    let p = plan(1, &["h1", "h2", "h3"]);
    let order: Vec<&str> = p.homes(7).map(|n| &*n.0).collect();
    let mut home = side(order[0], &[&p]);
    assert_eq!(next(&home, 7, &[order[0]], &[]), Some(("archive".into(), false)));
    home.started(5.0, &Settings::default());
    assert_eq!(next(&home, 7, &[order[0]], &[]), Some((order[1].to_string(), true)));
    assert_eq!(next(&home, 7, &[order[0]], &[order[1]]), Some(("archive".into(), false)));
    assert!(home.next(1.0e9, 7, &Trail::default(), &[]).expect("somebody").archive, "not for ever");
}

#[test]
fn versions_are_taken_in_order_only() {
    let (old, new) = (plan(1, &["h1"]), plan(2, &["h1", "h2"]));
    let mut s = side("h1", &[&new]);
    assert!(!s.take(0.0, Arc::clone(&old), &Settings::default()));
    assert!(!s.take(0.0, Arc::clone(&new), &Settings::default()));
    assert_eq!(s.plan().map(|p| p.version()), Some(new.version()));
    assert_eq!(next(&CacheSide::new(NodeId::new("d1")), 1, &[], &[]), None, "without a plan nothing is said");
}

#[test]
fn what_is_handed_over_is_bounded() {
    let p = plan(1, &["h1", "h2"]);
    let mut s = side("h1", &[&p]);
    (0..10_000).for_each(|o| s.hand_over(o, &NodeId::new("h2")));
    assert_eq!(s.handed.len(), MOST_HANDED);
}
