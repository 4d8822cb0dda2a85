//! What a table says.

mod common;
use basaltgw_placement::{explain, explain_shard, moves, Inventory, Missing, Table};
use basaltgw_types::Shard;
use common::{cache, fleet, router, table};

#[test]
fn founding_needs_no_rules() {
    let table = Table::founding(&fleet(5, 5)).expect("five machines");
    assert_eq!((table.version().0, table.shards()), (1, 256));
    let map = table.map(7);
    assert_eq!((map.epoch, map.hash, map.shards.len()), (7, table.hash(), 256));
    assert!(map
        .shards
        .iter()
        .all(|k| k.groups.len() == 1 && k.groups[0].members.len() == 3 && k.groups[0].quorum == 2));
    assert_eq!((map.root.groups[0].members.len(), map.root.groups[0].quorum), (3, 2));
    let founding = table.founding_map().root;
    assert_eq!((founding.groups[0].members.len(), founding.groups[0].quorum), (5, 5));
    assert_eq!(table.keepers(Shard(256)), None);
}

#[test]
fn the_preferred_come_first_and_the_apart_stay_apart() {
    let mut inventory = fleet(8, 2);
    inventory.routers[3].capacity = 50_000;
    let text = "set strong = routers where capacity >= 20000\n\
                holds { shards 64  copies 3  spread branches  prefer strong  pace 8 per step }\n\
                never together router r0, router r7";
    let table = table(text, &inventory, None);
    let name = |s: u16| -> Vec<String> {
        table.keepers(Shard(s)).expect("a shard").members.iter().map(|m| m.router.to_string()).collect()
    };
    let mut of_r3 = 0;
    for shard in 0..64 {
        let kept = name(shard);
        let branches: std::collections::BTreeSet<usize> =
            kept.iter().map(|k| k[1..].parse::<usize>().expect("a number") / 2).collect();
        assert_eq!(branches.len(), 3, "{kept:?}");
        assert!(!(kept.contains(&"r0".into()) && kept.contains(&"r7".into())), "{kept:?}");
        if kept.contains(&"r3".into()) {
            of_r3 += 1;
            assert_eq!(kept[0], "r3");
        }
    }
    assert!(of_r3 > 48, "{of_r3} of 64: the strong one takes more than its branch's other");
    let why = explain_shard(&table, Shard(0));
    assert!(why.contains("2 of 3 needed") && why.contains("t.rules:2: holds"), "{why}");
}

#[test]
fn the_more_particular_home_decides_and_residency_always_holds() {
    let inventory = Inventory {
        caches: vec![cache("c1", "east", "edge"), cache("c2", "east", "edge"), cache("c3", "west", "edge")],
        ..fleet(3, 1)
    };
    let text = "domain e { zone east }\n\
                set one = caches where name is c1, c3\n\
                home class pages { only in e  width 2 }\n\
                home group 7 class pages { keep in one  width 1 }\n\
                home pin 99 { width 1 }\n";
    let table = table(text, &inventory, None);
    let kept = |group, object| {
        let bounds = table.home("pages", group, object).expect("bounds");
        let keep = bounds.keep.as_ref().expect("a bound");
        (
            keep.iter().map(|c| table.cache_id(c).expect("its id").to_string()).collect::<Vec<_>>(),
            bounds.width,
        )
    };
    assert_eq!(kept(1, 1), (vec!["c1".into(), "c2".into()], Some(2)));
    assert_eq!(kept(7, 1), (vec!["c1".into()], Some(1)));
    assert!(table.home("maps", 7, 1).is_none());
    let pinned = table.home("maps", 7, 99).expect("pinned");
    assert_eq!((pinned.width, &pinned.keep), (Some(1), &None));
    // Nobody may choose the one in the west, so the table does not even name it.
    assert_eq!(table.cache("c3"), None);
    let c1 = table.cache("c1").expect("named");
    assert!(table.home("pages", 1, 1).and_then(|b| b.serve.as_ref()).is_some_and(|s| s.has(c1)));
    let why = explain(&table, "pages", 7, 1);
    assert!(why.contains("kept by c1\n") && why.contains("t.rules:4: home group 7 class pages"), "{why}");
    assert!(explain(&table, "maps", 1, 1).contains("the choice is free"));
}

#[test]
fn gathers_are_plain_values() {
    let text =
        "gather class shelf { needs 1, 0  at least 60% of parts, 50% of worth  wait 120 ms  missing owed }";
    let table = table(text, &fleet(3, 1), None);
    let rule = table.gather("shelf").expect("a rule");
    assert_eq!((rule.needed.as_slice(), rule.least_parts, rule.least_worth), (&[0, 1][..], 60, 50));
    assert_eq!((rule.wait_ms, rule.missing, rule.second_copies), (120, Missing::Owed, false));
    assert!(table.gather("pages").is_none());
}

#[test]
fn a_router_to_be_emptied_keeps_nothing_and_a_machine_that_came_back_empty_is_another() {
    let mut inventory = fleet(6, 6);
    let old = Table::founding(&inventory).expect("six machines");
    inventory.routers[2].stays = false;
    inventory.routers[4].member.incarnation.0 += 1;
    let new = table("", &inventory, Some(&old));
    let kept: std::collections::BTreeSet<_> =
        new.map(0).shards.into_iter().flat_map(|k| k.groups).flat_map(|g| g.members).collect();
    assert!(!kept.contains(&inventory.routers[2].member) && kept.contains(&inventory.routers[4].member));
    assert_eq!((new.version().0, new.before()), (2, old.hash()));
    assert!(moves(&old, &new).to_string().starts_with("version 1 to 2: "));
    inventory.routers.push(router("late", "b9", 10_000));
    let newer = table("", &inventory, Some(&new));
    let moved = moves(&new, &newer);
    assert!(moved.shards.iter().all(|m| m.joined.iter().all(|j| &*j.router.0 == "late")), "{moved}");
}
