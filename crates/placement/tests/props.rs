//! Properties of any text, any bytes and any fleet.

mod common;
use basaltgw_placement::{compile, shard_moves, Inventory, Register, Table};
use basaltgw_types::{Member, Shard};
use common::{cache, fleet, router, table};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const WORDS: [&str; 58] = [
    "domain", "set", "holds", "root", "home", "never", "together", "gather", "class", "group", "pin",
    "branch", "machine", "zone", "router", "routers", "caches", "parents", "where", "is", "in", "not", "and",
    "or", "capacity", "copies", "spread", "machines", "branches", "at", "most", "least", "each", "from",
    "prefer", "pace", "per", "step", "shards", "serve", "keep", "fill", "only", "width", "else", "any", "{",
    "}", "(", ")", ",", "=", ">=", "3", "17", "r1", "b0", "\"x",
];

fn inventory() -> Inventory {
    Inventory { caches: vec![cache("c1", "east", "edge"), cache("p1", "west", "parent")], ..fleet(6, 2) }
}

/// Routers of capacities 1 to 3 on machines of their own, in branches of four.
fn uneven(capacities: &[u64]) -> Inventory {
    let each = capacities.iter().enumerate();
    let routers = each.map(|(i, c)| router(&format!("r{i}"), &format!("b{}", i / 4), *c * 1000));
    Inventory { routers: routers.collect(), ..Inventory::default() }
}

fn loads(table: &Table) -> BTreeMap<Member, f64> {
    let mut loads = BTreeMap::new();
    for shard in (0..table.shard_count()).map(|s| Shard(s as u16)) {
        for member in &table.replicas(shard).expect("a shard").members {
            *loads.entry(member.clone()).or_default() += 1.0;
        }
    }
    loads
}

/// Fair shares of the routers that accept replicas, as long as no share exceeds one copy of each shard.
fn shares(inventory: &Inventory, shards: usize) -> BTreeMap<Member, f64> {
    let accepting: Vec<_> = inventory.routers.iter().filter(|r| r.accepts_replicas).collect();
    let all: u64 = accepting.iter().map(|r| r.capacity).sum();
    let share = |c: u64| (shards * 3) as f64 * c as f64 / all as f64;
    accepting.iter().map(|r| (r.member.clone(), share(r.capacity))).collect()
}

/// The fewest replicas that must move: those of routers that left, and what the fair shares require besides.
fn min_moves(old: &Table, inventory: &Inventory) -> f64 {
    let (old_loads, fair_shares) = (loads(old), shares(inventory, old.shard_count()));
    let mut leaving = 0.0;
    for (member, load) in &old_loads {
        leaving += fair_shares.get(member).map_or(*load, |share| (load - share.ceil()).max(0.0));
    }
    let load = |m: &Member| old_loads.get(m).copied().unwrap_or(0.0);
    let joining: f64 = fair_shares.iter().map(|(m, share)| (share.floor() - load(m)).max(0.0)).sum();
    f64::max(leaving, joining)
}

#[derive(Clone, Debug)]
enum FleetChange {
    /// A router of this capacity joins, in thousands.
    RouterJoins(u64),
    /// A router leaves.
    RouterLeaves(prop::sample::Index),
    /// A whole branch is drained.
    BranchDrains(prop::sample::Index),
    /// A branch of four routers joins.
    BranchJoins(u64),
    /// A machine returns with another disk.
    MachineReturns(prop::sample::Index),
}

fn fleet_change() -> impl Strategy<Value = FleetChange> {
    prop_oneof![
        (1..4u64).prop_map(FleetChange::RouterJoins),
        any::<prop::sample::Index>().prop_map(FleetChange::RouterLeaves),
        any::<prop::sample::Index>().prop_map(FleetChange::BranchDrains),
        (1..4u64).prop_map(FleetChange::BranchJoins),
        any::<prop::sample::Index>().prop_map(FleetChange::MachineReturns),
    ]
}

fn apply(inventory: &mut Inventory, change: &FleetChange, number: usize) {
    match change {
        FleetChange::RouterJoins(c) => {
            inventory.routers.push(router(&format!("n{number}"), &format!("b{number}"), c * 1000))
        }
        FleetChange::BranchJoins(c) => {
            let new = (0..4).map(|i| router(&format!("n{number}-{i}"), &format!("n{number}"), c * 1000));
            inventory.routers.extend(new);
        }
        FleetChange::RouterLeaves(which) => {
            inventory.routers.remove(which.index(inventory.routers.len()));
        }
        FleetChange::BranchDrains(which) => {
            let branch = inventory.routers[which.index(inventory.routers.len())].domain.branch.clone();
            inventory
                .routers
                .iter_mut()
                .filter(|r| r.domain.branch == branch)
                .for_each(|r| r.accepts_replicas = false);
        }
        FleetChange::MachineReturns(which) => {
            let which = which.index(inventory.routers.len());
            inventory.routers[which].member.incarnation.0 += 1;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_compiled_or_refused_where_it_stands(text in ".{0,200}", words in prop::collection::vec(prop::sample::select(WORDS.to_vec()), 0..60)) {
        for text in [text, words.join(" "), words.join("\n")] {
            let files = [("t.rules".to_string(), text.clone())];
            if let Err(diagnostics) = compile(&files, &inventory(), None) {
                prop_assert!(!diagnostics.is_empty());
                for diagnostic in diagnostics {
                    let lines = text.split('\n').count();
                    prop_assert!(diagnostic.line <= lines, "{diagnostic}");
                    let is_plain = !diagnostic.render(&files, false).contains('\x1b') || text.contains('\x1b');
                    prop_assert!(is_plain);
                }
            }
        }
    }

    #[test]
    fn a_table_is_the_same_from_its_bytes_and_other_bytes_are_none(at in any::<prop::sample::Index>(), bit in 0..8u32, cut in any::<prop::sample::Index>(), junk in prop::collection::vec(any::<u8>(), 0..300)) {
        let text = "holds { shards 16 } home group 7 { width 2 } gather class a { wait 9 ms }";
        let table = table(text, &inventory(), None);
        let bytes = table.bytes().to_vec();
        prop_assert_eq!(&Table::from_bytes(&bytes).expect("its own bytes"), &*table);
        let mut flipped = bytes.clone();
        flipped[at.index(bytes.len())] ^= 1 << bit;
        // This may be another valid table, but never one with the same hash, and never a panic.
        if let Ok(other) = Table::from_bytes(&flipped) {
            prop_assert_ne!(other.hash(), table.hash());
        }
        prop_assert!(Table::from_bytes(&bytes[..cut.index(bytes.len())]).is_err());
        prop_assert!(Table::from_bytes(&[&bytes[..], &[0]].concat()).is_err(), "trailing bytes are not canonical");
        let _ = (Table::from_bytes(&junk), Register::from_bytes(&junk));
        let register = Register::bootstrap(table).to_bytes().expect("plain values");
        let mut flipped = register.clone();
        flipped[at.index(register.len())] ^= 1 << bit;
        let _ = Register::from_bytes(&flipped);
    }

    #[test]
    fn the_order_of_the_inventory_changes_nothing(capacities in prop::collection::vec(1..4u64, 4..20), order in any::<u64>()) {
        let inventory = uneven(&capacities);
        let mut shuffled = inventory.clone();
        let n = shuffled.routers.len();
        (0..n).for_each(|i| shuffled.routers.swap(i, (order.rotate_left(i as u32) % n as u64) as usize));
        prop_assert_eq!(table("", &inventory, None), table("", &shuffled, None));
    }

    #[test]
    fn little_moves_and_load_stays_fair(
        shards in prop::sample::select(vec![32, 256, 1024]),
        capacities in prop::collection::vec(1..4u64, 9..40), changes in prop::collection::vec(fleet_change(), 1..4)) {
        let text = format!("holds {{ shards {shards} }}");
        let mut inventory = uneven(&capacities);
        let mut old: Arc<Table> = table(&text, &inventory, None);
        for (number, change) in changes.iter().enumerate() {
            apply(&mut inventory, change, number);
            // A router stores at most one copy of each shard, so no larger share is required here.
            prop_assume!(shares(&inventory, shards).values().all(|s| *s < shards as f64));
            let new = table(&text, &inventory, Some(&old));
            let moves = shard_moves(&old, &new);
            let min_moves = min_moves(&old, &inventory);
            // In whole replicas. The minimum ignores that the replicas of a shard are on different machines, so it may be out of reach.
            prop_assert!(moves.moved_replicas() as f64 <= (1.1 * min_moves).ceil(), "{} moved, the minimum is {min_moves}: {change:?}", moves.moved_replicas());
            let loads = loads(&new);
            for (member, share) in shares(&inventory, new.shard_count()) {
                let load = loads.get(&member).copied().unwrap_or(0.0);
                prop_assert!(load >= share.floor() && load <= share.ceil(), "{member} stores {load} shards, its share is {share}");
            }
            prop_assert!(loads.keys().all(|m| inventory.routers.iter().any(|r| r.accepts_replicas && r.member == *m)));
            old = new;
        }
    }

    #[test]
    fn copies_are_spread_over_branches(routers in 3..8usize, lost in any::<prop::sample::Index>()) {
        let text = "holds { shards 48  spread branches }";
        let mut inventory = fleet(4 * routers, 4);
        let old = table(text, &inventory, None);
        inventory.routers.remove(lost.index(4 * routers));
        let new = table(text, &inventory, Some(&old));
        for shard in (0..48).map(Shard) {
            let replicas = new.replicas(shard).expect("a shard");
            let branch = |m: &Member| new.routers().find(|(r, _)| *r == m).map(|(_, d)| d.branch);
            let branches: std::collections::BTreeSet<_> = replicas.members.iter().map(branch).collect();
            prop_assert_eq!(branches.len(), 3);
        }
        // The shards of the lost router move; one more may have to move where branches are full.
        let lost_load = loads(&old).into_iter().find(|(m, _)| inventory.routers.iter().all(|r| r.member != *m));
        let lost_load = lost_load.map_or(0.0, |(_, load)| load);
        prop_assert!(shard_moves(&old, &new).moved_replicas() as f64 <= 1.1 * lost_load + 1.0, "{} for {lost_load}", shard_moves(&old, &new).moved_replicas());
    }
}
