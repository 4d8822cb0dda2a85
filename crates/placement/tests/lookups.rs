//! Lookups in compiled tables.

mod common;
use basaltgw_placement::{explain, explain_shard, shard_moves, Inventory, MissingParts, Table};
use basaltgw_types::Shard;
use common::{cache, fleet, router, table};

#[test]
fn a_first_table_needs_no_rules() {
    let table = Table::without_rules(&fleet(5, 5)).expect("five machines");
    assert_eq!((table.version().0, table.shard_count()), (1, 256));
    let map = table.map(7);
    assert_eq!((map.epoch, map.hash, map.shards.len()), (7, table.hash(), 256));
    assert!(map
        .shards
        .iter()
        .all(|k| k.groups.len() == 1 && k.groups[0].members.len() == 3 && k.groups[0].quorum == 2));
    assert_eq!((map.root.groups[0].members.len(), map.root.groups[0].quorum), (3, 2));
    let bootstrap = table.bootstrap_map().root;
    assert_eq!((bootstrap.groups[0].members.len(), bootstrap.groups[0].quorum), (5, 5));
    assert_eq!(table.replicas(Shard(256)), None);
}

#[test]
fn preferred_replicas_come_first_and_excluded_ones_never_meet() {
    let mut inventory = fleet(8, 2);
    inventory.routers[3].capacity = 50_000;
    let text = "set strong = routers where capacity >= 20000\n\
                holds { shards 64  copies 3  spread branches  prefer strong  pace 8 per step }\n\
                never together router r0, router r7";
    let table = table(text, &inventory, None);
    let names = |s: u16| -> Vec<String> {
        table.replicas(Shard(s)).expect("a shard").members.iter().map(|m| m.router.to_string()).collect()
    };
    let mut shards_of_r3 = 0;
    for shard in 0..64 {
        let replicas = names(shard);
        let branches: std::collections::BTreeSet<usize> =
            replicas.iter().map(|k| k[1..].parse::<usize>().expect("a number") / 2).collect();
        assert_eq!(branches.len(), 3, "{replicas:?}");
        assert!(!(replicas.contains(&"r0".into()) && replicas.contains(&"r7".into())), "{replicas:?}");
        if replicas.contains(&"r3".into()) {
            shards_of_r3 += 1;
            assert_eq!(replicas[0], "r3");
        }
    }
    assert!(shards_of_r3 > 48, "{shards_of_r3} of 64: the router of larger capacity gets more shards than the other one of its branch");
    let explanation = explain_shard(&table, Shard(0));
    assert!(
        explanation.contains("2 of 3 needed") && explanation.contains("t.rules:2: holds"),
        "{explanation}"
    );
}

#[test]
fn the_more_specific_home_decides_and_only_in_always_applies() {
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
        let home = table.home("pages", group, object).expect("constraints");
        let keep = home.keep.as_ref().expect("a constraint");
        (keep.iter().map(|c| table.cache_id(c).expect("its id").to_string()).collect::<Vec<_>>(), home.width)
    };
    assert_eq!(kept(1, 1), (vec!["c1".into(), "c2".into()], Some(2)));
    assert_eq!(kept(7, 1), (vec!["c1".into()], Some(1)));
    assert!(table.home("maps", 7, 1).is_none());
    let pinned = table.home("maps", 7, 99).expect("pinned");
    assert_eq!((pinned.width, &pinned.keep), (Some(1), &None));
    // No rule permits the cache in the west, so the table does not name it.
    assert_eq!(table.cache_index("c3"), None);
    let c1 = table.cache_index("c1").expect("named");
    assert!(table.home("pages", 1, 1).and_then(|h| h.serve.as_ref()).is_some_and(|s| s.contains(c1)));
    let explanation = explain(&table, "pages", 7, 1);
    assert!(explanation.contains("kept by c1\n"), "{explanation}");
    assert!(explanation.contains("t.rules:4: home group 7 class pages"), "{explanation}");
    assert!(explain(&table, "maps", 1, 1).contains("any cache may be chosen"));
}

#[test]
fn gather_rules_are_compiled_by_class() {
    let text =
        "gather class shelf { needs 1, 0  at least 60% of parts, 50% of worth  wait 120 ms  missing owed }";
    let table = table(text, &fleet(3, 1), None);
    let rule = table.gather_rule("shelf").expect("a rule");
    assert_eq!(
        (rule.required_parts.as_slice(), rule.min_part_percent, rule.min_weight_percent),
        (&[0, 1][..], 60, 50)
    );
    assert_eq!(
        (rule.max_wait_ms, rule.missing_parts, rule.hedging),
        (120, MissingParts::Continuation, false)
    );
    assert!(table.gather_rule("pages").is_none());
}

#[test]
fn a_draining_router_gets_no_shards_and_a_new_incarnation_is_another_member() {
    let mut inventory = fleet(6, 6);
    let old = Table::without_rules(&inventory).expect("six machines");
    inventory.routers[2].accepts_replicas = false;
    inventory.routers[4].member.incarnation.0 += 1;
    let new = table("", &inventory, Some(&old));
    let replicas: std::collections::BTreeSet<_> =
        new.map(0).shards.into_iter().flat_map(|s| s.groups).flat_map(|g| g.members).collect();
    assert!(!replicas.contains(&inventory.routers[2].member));
    assert!(replicas.contains(&inventory.routers[4].member));
    assert_eq!((new.version().0, new.predecessor()), (2, old.hash()));
    assert!(shard_moves(&old, &new).to_string().starts_with("version 1 to 2: "));
    inventory.routers.push(router("late", "b9", 10_000));
    let newer = table("", &inventory, Some(&new));
    let moved = shard_moves(&new, &newer);
    assert!(moved.shards.iter().all(|m| m.joined.iter().all(|j| &*j.router.0 == "late")), "{moved}");
}
