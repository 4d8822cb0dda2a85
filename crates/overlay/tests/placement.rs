//! Topology: bounded numbers of links, spread over failure domains, stable under changes of the list.

mod net;

use basaltgw_overlay::{choices, Choice, RouterEntry, RouterList, Shape};
use basaltgw_types::RouterId;
use net::listed;
use std::collections::{BTreeMap, BTreeSet};

fn list(all: Vec<RouterEntry>) -> RouterList {
    RouterList::new(1, Shape::default(), all).expect("a list")
}

fn zone(list: &RouterList, router: &RouterId) -> (String, String) {
    let l = list.get(router).expect("listed");
    (l.region.to_string(), l.zone.to_string())
}

#[test]
fn the_relays_of_a_region_are_in_different_zones() {
    let list = list(listed(21, 60, 9));
    for region in 0..21 {
        let of = |l: &&RouterEntry| *l.region == *format!("g{region}") && list.is_relay(&l.router);
        let zones: BTreeSet<_> = list.all().iter().filter(of).map(|l| l.zone.clone()).collect();
        assert_eq!(zones.len(), 3, "region {region}");
    }
}

#[test]
fn no_router_depends_on_a_single_zone_site_or_rack() {
    let list = list(listed(21, 60, 9));
    let mut pairs: BTreeSet<Vec<RouterId>> = BTreeSet::new();
    for l in list.all().iter().filter(|l| !l.control) {
        let choices = choices(&list, &l.router);
        if list.is_relay(&l.router) {
            let kinds: Vec<bool> =
                choices.iter().map(|c| list.get(&c.routers[0]).expect("listed").control).collect();
            assert!(kinds.contains(&true), "{}: a control machine", l.router);
            let controls =
                choices.iter().find(|c| list.get(&c.routers[0]).expect("listed").control).expect("one");
            assert_eq!(controls.routers.len(), 9, "{}: each of nine may be lost", l.router);
            pairs.insert(controls.routers[..1].to_vec());
            if let Some(others) = choices.iter().find(|c| !list.get(&c.routers[0]).expect("listed").control) {
                let elsewhere = others.routers.iter().filter(|r| zone(&list, r).0 != *l.region);
                assert!(elsewhere.count() >= 1 || others.routers.len() <= 2, "{}", l.router);
            }
        } else {
            let [only] = &choices[..] else { panic!("{}: one choice", l.router) };
            assert_eq!(only.need, 2);
            assert_ne!(zone(&list, &only.routers[0]), zone(&list, &only.routers[1]), "{}", l.router);
            // Candidates outside the region serve the loss of all its upper tiers.
            assert!(only.routers.iter().any(|r| list.get(r).expect("listed").control));
            assert!(only.routers.iter().any(|r| zone(&list, r).0 != *l.region));
        }
        let distinct: BTreeSet<_> = choices.iter().flat_map(|c| &c.routers).collect();
        assert_eq!(
            distinct.len(),
            choices.iter().map(|c| c.routers.len()).sum::<usize>(),
            "{}: one twice",
            l.router
        );
        assert!(!distinct.contains(&l.router));
        assert!(distinct.len() <= 32, "{}: {} candidates", l.router, distinct.len());
    }
    assert!(pairs.len() >= 8, "all control machines are used: {}", pairs.len());
    for region in 0..21 {
        let firsts =
            list.all().iter().filter(|l| *l.region == *format!("g{region}") && list.is_relay(&l.router));
        let control = |r: &RouterId| list.get(r).expect("listed").control;
        let first =
            |l: &RouterEntry| choices(&list, &l.router).into_iter().flat_map(|c| c.routers).find(control);
        let firsts: BTreeSet<_> = firsts.map(first).collect();
        assert_eq!(firsts.len(), 3, "region {region}: three control machines");
    }
}

#[test]
fn links_to_parents_form_no_cycle() {
    let list = list(listed(6, 40, 9));
    // Routers that may push to each router: a cycle among them would return updates.
    let parent: BTreeMap<RouterId, BTreeSet<RouterId>> = list
        .all()
        .iter()
        .filter(|l| !l.control)
        .map(|l| (l.router.clone(), choices(&list, &l.router).into_iter().flat_map(|c| c.routers).collect()))
        .collect();
    let (mut left, mut gone): (BTreeSet<RouterId>, usize) = (parent.keys().cloned().collect(), usize::MAX);
    while gone > 0 {
        let free: Vec<RouterId> =
            left.iter().filter(|r| parent[*r].iter().all(|a| !left.contains(a))).cloned().collect();
        gone = free.len();
        free.iter().for_each(|r| {
            left.remove(r);
        });
    }
    assert!(left.is_empty(), "{left:?}");
}

fn standing(list: &RouterList) -> BTreeMap<RouterId, BTreeSet<RouterId>> {
    let firsts = |c: Choice| c.routers.into_iter().take(c.need);
    let of = |l: &RouterEntry| choices(list, &l.router).into_iter().flat_map(firsts).collect();
    list.all().iter().map(|l| (l.router.clone(), of(l))).collect()
}

#[test]
fn one_router_more_or_less_changes_few_links() {
    let all = listed(21, 60, 9);
    let whole = standing(&list(all.clone()));
    let links: usize = whole.values().map(BTreeSet::len).sum();
    let (mut most, mut sum) = (0, 0);
    let lost: Vec<usize> = (0..30).map(|i| 9 + i * 41).collect();
    for i in &lost {
        let mut fewer = all.clone();
        let gone = fewer.remove(*i).router;
        let moved: usize = standing(&list(fewer))
            .iter()
            .map(|(r, to)| to.difference(&whole[r]).filter(|t| **t != gone).count())
            .sum();
        most = most.max(moved);
        sum += moved;
    }
    println!(
        "of {links} links a lost router moves {:.1} in the mean, {most} at most",
        sum as f64 / lost.len() as f64
    );
    assert!(sum <= 25 * lost.len(), "{sum} in {} cases", lost.len());
    assert!(most <= 80, "{most}");
}

#[test]
fn an_invalid_list_is_rejected_by_name() {
    let mut all = listed(1, 3, 1);
    all.push(all[1].clone());
    let bad = RouterList::new(1, Shape::default(), all).expect_err("twice");
    assert_eq!(bad.to_string(), "list: r0-0 is listed twice");
    assert!(RouterList::new(1, Shape { relays: 0, ..Shape::default() }, listed(1, 3, 1)).is_err());
}
