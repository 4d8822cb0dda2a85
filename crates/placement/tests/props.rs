//! What holds for any text, any bytes, any fleet.

mod common;
use basaltgw_placement::{compile, moves, Inventory, Register, Table};
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
    for shard in (0..table.shards()).map(|s| Shard(s as u16)) {
        for member in &table.keepers(shard).expect("a shard").members {
            *loads.entry(member.clone()).or_default() += 1.0;
        }
    }
    loads
}

/// Fair shares of who stays, where no machine has more than a share of each shard.
fn shares(inventory: &Inventory, shards: usize) -> BTreeMap<Member, f64> {
    let stay: Vec<_> = inventory.routers.iter().filter(|r| r.stays).collect();
    let all: u64 = stay.iter().map(|r| r.capacity).sum();
    let share = |c: u64| (shards * 3) as f64 * c as f64 / all as f64;
    stay.iter().map(|r| (r.member.clone(), share(r.capacity))).collect()
}

/// The fewest copies that must change hands: those that were kept by who left, and what the fair shares ask for beyond.
fn least(old: &Table, inventory: &Inventory) -> f64 {
    let (had, fair) = (loads(old), shares(inventory, old.shards()));
    let mut out = 0.0;
    for (member, load) in &had {
        out += fair.get(member).map_or(*load, |share| (load - share.ceil()).max(0.0));
    }
    let load = |m: &Member| had.get(m).copied().unwrap_or(0.0);
    let into: f64 = fair.iter().map(|(m, share)| (share.floor() - load(m)).max(0.0)).sum();
    f64::max(out, into)
}

#[derive(Clone, Debug)]
enum Happens {
    /// A router joins, with this capacity.
    Joins(u64),
    /// A router leaves.
    Leaves(prop::sample::Index),
    /// A whole branch is emptied.
    Empties(prop::sample::Index),
    /// A branch of four joins.
    Branch(u64),
    /// A machine returns with another disk.
    Returns(prop::sample::Index),
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        (1..4u64).prop_map(Happens::Joins),
        any::<prop::sample::Index>().prop_map(Happens::Leaves),
        any::<prop::sample::Index>().prop_map(Happens::Empties),
        (1..4u64).prop_map(Happens::Branch),
        any::<prop::sample::Index>().prop_map(Happens::Returns),
    ]
}

fn happen(inventory: &mut Inventory, happens: &Happens, no: usize) {
    match happens {
        Happens::Joins(c) => inventory.routers.push(router(&format!("n{no}"), &format!("b{no}"), c * 1000)),
        Happens::Branch(c) => {
            let new = (0..4).map(|i| router(&format!("n{no}-{i}"), &format!("n{no}"), c * 1000));
            inventory.routers.extend(new);
        }
        Happens::Leaves(which) => {
            inventory.routers.remove(which.index(inventory.routers.len()));
        }
        Happens::Empties(which) => {
            let branch = inventory.routers[which.index(inventory.routers.len())].domain.branch.clone();
            inventory.routers.iter_mut().filter(|r| r.domain.branch == branch).for_each(|r| r.stays = false);
        }
        Happens::Returns(which) => {
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
            if let Err(faults) = compile(&files, &inventory(), None) {
                prop_assert!(!faults.is_empty());
                for fault in faults {
                    let lines = text.split('\n').count();
                    prop_assert!(fault.line <= lines, "{fault}");
                    let plain = !fault.render(&files, false).contains('\x1b') || text.contains('\x1b');
                    prop_assert!(plain);
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
        // Another table perhaps, but never one by the same hash, and never a panic.
        if let Ok(other) = Table::from_bytes(&flipped) {
            prop_assert_ne!(other.hash(), table.hash());
        }
        prop_assert!(Table::from_bytes(&bytes[..cut.index(bytes.len())]).is_err());
        prop_assert!(Table::from_bytes(&[&bytes[..], &[0]].concat()).is_err(), "a longer one is written otherwise");
        let _ = (Table::from_bytes(&junk), Register::from_bytes(&junk));
        let content = Register::founding(table).to_bytes().expect("plain values");
        let mut flipped = content.clone();
        flipped[at.index(content.len())] ^= 1 << bit;
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
        capacities in prop::collection::vec(1..4u64, 9..40), story in prop::collection::vec(happens(), 1..4)) {
        let text = format!("holds {{ shards {shards} }}");
        let mut inventory = uneven(&capacities);
        let mut old: Arc<Table> = table(&text, &inventory, None);
        for (no, what) in story.iter().enumerate() {
            happen(&mut inventory, what, no);
            // More than one copy of each shard is no router's share, so none is asked for here.
            prop_assume!(shares(&inventory, shards).values().all(|s| *s < shards as f64));
            let new = table(&text, &inventory, Some(&old));
            let moved = moves(&old, &new);
            let least = least(&old, &inventory);
            // In whole copies; the least leaves out that copies of one shard stand apart, so it is less than what can be had.
            prop_assert!(moved.copies() as f64 <= (1.1 * least).ceil(), "{} moved, {least} is least: {what:?}", moved.copies());
            let loads = loads(&new);
            for (member, share) in shares(&inventory, new.shards()) {
                let load = loads.get(&member).copied().unwrap_or(0.0);
                prop_assert!(load >= share.floor() && load <= share.ceil(), "{member} keeps {load}, its share is {share}");
            }
            prop_assert!(loads.keys().all(|m| inventory.routers.iter().any(|r| r.stays && r.member == *m)));
            old = new;
        }
    }

    #[test]
    fn copies_are_spread_over_branches(routers in 3..8usize, gone in any::<prop::sample::Index>()) {
        let text = "holds { shards 48  spread branches }";
        let mut inventory = fleet(4 * routers, 4);
        let old = table(text, &inventory, None);
        inventory.routers.remove(gone.index(4 * routers));
        let new = table(text, &inventory, Some(&old));
        for shard in (0..48).map(Shard) {
            let kept = new.keepers(shard).expect("a shard");
            let branch = |m: &Member| new.routers().find(|(r, _)| *r == m).map(|(_, d)| d.branch);
            let branches: std::collections::BTreeSet<_> = kept.members.iter().map(branch).collect();
            prop_assert_eq!(branches.len(), 3);
        }
        // What the lost one kept finds another place; a shard may have to change once more where branches are full.
        let lost = loads(&old).into_iter().find(|(m, _)| inventory.routers.iter().all(|r| r.member != *m));
        let lost = lost.map_or(0.0, |(_, load)| load);
        prop_assert!(moves(&old, &new).copies() as f64 <= 1.1 * lost + 1.0, "{} for {lost}", moves(&old, &new).copies());
    }
}
