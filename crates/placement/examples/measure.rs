//! The table beside plain rendezvous and a sorted list: look-up, memory, compile time, moves and balance, as CSV.
//!
//! `cargo run --release -p basaltgw-placement --example measure -- SEED`

use basaltgw_placement::{compile, Inventory, RouterEntry, Table};
use basaltgw_structures::hash::{fnv1a, mix};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, Shard};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

const SIZES: [usize; 3] = [10, 300, 3000];
/// Shards of every fleet here.
const SHARDS: usize = 256;
const COPIES: usize = 3;
const LOOKUPS: usize = 20_000;

/// Routers of capacities 1 to 3, drawn from the seed, each on a machine of its own.
fn fleet(n: usize, seed: u64) -> Inventory {
    let router = |i: usize| RouterEntry {
        member: Member {
            router: RouterId(Arc::from(format!("r{i}"))),
            incarnation: Incarnation(u128::from(mix(seed, i as u64)) << 64 | u128::from(mix(i as u64, seed))),
        },
        domain: Domain { branch: Arc::from(format!("b{}", i % 10)), machine: Arc::from(format!("m{i}")) },
        capacity: 1000 * (1 + mix(seed ^ 1, i as u64) % 3),
        stays: true,
    };
    Inventory { routers: (0..n).map(router).collect(), ..Inventory::default() }
}

/// Who keeps each shard, by name.
type Kept = Vec<Vec<RouterId>>;

/// A way to place shards.
trait Way {
    fn name(&self) -> &'static str;
    /// Places all shards of a fleet, after a fleet before where that matters.
    fn place(&mut self, fleet: &Inventory);
    /// The keepers of a shard, looked up.
    fn look_up(&self, shard: usize) -> usize;
    fn kept(&self) -> Kept;
    /// Bytes that it keeps for look-ups.
    fn memory(&self) -> usize;
    /// Bytes that every router must be sent.
    fn written(&self) -> usize {
        0
    }
}

/// The product: tables.
#[derive(Default)]
struct Compiled(Option<Table>);

impl Way for Compiled {
    fn name(&self) -> &'static str {
        "table"
    }

    fn place(&mut self, fleet: &Inventory) {
        let rules = [("m.rules".to_string(), format!("holds {{ shards {SHARDS} }}"))];
        // A fleet is founded by a few, and the others join.
        let before = self.0.take().unwrap_or_else(|| {
            let few = Inventory {
                routers: fleet.routers.iter().take(10).cloned().collect(),
                ..Inventory::default()
            };
            compile(&rules, &few, None).unwrap_or_else(|f| panic!("{}", f[0]))
        });
        self.0 = Some(compile(&rules, fleet, Some(&before)).unwrap_or_else(|f| panic!("{}", f[0])));
    }

    fn look_up(&self, shard: usize) -> usize {
        self.0.as_ref().and_then(|t| t.keepers(Shard(shard as u16))).map_or(0, |g| g.members.len())
    }

    fn kept(&self) -> Kept {
        let groups = (0..SHARDS).filter_map(|s| self.0.as_ref().and_then(|t| t.keepers(Shard(s as u16))));
        groups.map(|g| g.members.iter().map(|m| m.router.clone()).collect()).collect()
    }

    fn memory(&self) -> usize {
        let group = |g: &basaltgw_types::QuorumGroup| size_of_val(g) + g.members.len() * size_of::<Member>();
        let groups = (0..SHARDS).filter_map(|s| self.0.as_ref().and_then(|t| t.keepers(Shard(s as u16))));
        groups.map(group).sum::<usize>() + self.written()
    }

    fn written(&self) -> usize {
        self.0.as_ref().map_or(0, |t| t.bytes().len())
    }
}

/// Plain rendezvous: the three highest scores of all routers, found at each look-up.
#[derive(Default)]
struct Rendezvous(Vec<(RouterId, u64, f64)>);

impl Rendezvous {
    fn best(&self, shard: usize) -> Vec<usize> {
        let mut best: Vec<(f64, usize)> = Vec::with_capacity(COPIES + 1);
        for (i, (_, hash, weight)) in self.0.iter().enumerate() {
            let score = basaltgw_structures::hash::rendezvous_score(shard as u64, *hash, *weight);
            let place = best.iter().position(|b| score > b.0).unwrap_or(best.len());
            if place < COPIES {
                best.insert(place, (score, i));
                best.truncate(COPIES);
            }
        }
        best.into_iter().map(|b| b.1).collect()
    }
}

impl Way for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn place(&mut self, fleet: &Inventory) {
        let entry = |r: &RouterEntry| (r.member.router.clone(), fnv1a(&r.member.router.0), r.capacity as f64);
        self.0 = fleet.routers.iter().map(entry).collect();
    }

    fn look_up(&self, shard: usize) -> usize {
        self.best(shard).len()
    }

    fn kept(&self) -> Kept {
        (0..SHARDS).map(|s| self.best(s).into_iter().map(|i| self.0[i].0.clone()).collect()).collect()
    }

    fn memory(&self) -> usize {
        self.0.len() * size_of::<(RouterId, u64, f64)>()
    }
}

/// A sorted list of names: shard s is kept by the routers from place s modulo their number on.
#[derive(Default)]
struct Sorted(Vec<RouterId>);

impl Way for Sorted {
    fn name(&self) -> &'static str {
        "sorted"
    }

    fn place(&mut self, fleet: &Inventory) {
        self.0 = fleet.routers.iter().map(|r| r.member.router.clone()).collect();
        self.0.sort();
    }

    fn look_up(&self, shard: usize) -> usize {
        (0..COPIES).map(|c| &self.0[(shard + c) % self.0.len()]).map(|r| r.0.len()).sum()
    }

    fn kept(&self) -> Kept {
        let one = |s: usize| (0..COPIES).map(|c| self.0[(s + c) % self.0.len()].clone()).collect();
        (0..SHARDS).map(one).collect()
    }

    fn memory(&self) -> usize {
        self.0.len() * size_of::<RouterId>()
    }
}

fn copies_moved(old: &Kept, new: &Kept) -> usize {
    old.iter().zip(new).map(|(o, n)| n.iter().filter(|r| !o.contains(r)).count()).sum()
}

fn loads(kept: &Kept) -> BTreeMap<&RouterId, f64> {
    let mut loads = BTreeMap::new();
    kept.iter().flatten().for_each(|r| *loads.entry(r).or_insert(0.0) += 1.0);
    loads
}

/// Fair shares by capacity, no router more than one copy of each shard.
fn shares(fleet: &Inventory) -> BTreeMap<RouterId, f64> {
    let all: u64 = fleet.routers.iter().map(|r| r.capacity).sum();
    let share = |r: &RouterEntry| (SHARDS * COPIES) as f64 * r.capacity as f64 / all as f64;
    fleet.routers.iter().map(|r| (r.member.router.clone(), share(r).min(SHARDS as f64))).collect()
}

/// The fewest copies that must move: those of who left, or the whole places that newcomers' shares ask for.
fn least(old: &Kept, fleet: &Inventory) -> f64 {
    let (had, fair) = (loads(old), shares(fleet));
    let gone: f64 = had.iter().filter(|(r, _)| !fair.contains_key(r)).map(|(_, l)| l).sum();
    let new: f64 = fair.iter().filter(|(r, _)| !had.contains_key(r)).map(|(_, s)| s.floor()).sum();
    // An empty sum may be -0.
    gone.max(new) + 0.0
}

fn main() {
    let seed: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("seed,routers,way,lookup_ns,memory_bytes,table_bytes,compile_ms,recompile_ms,event,moved,least,most_over_share");
    for n in SIZES {
        let start = fleet(n, seed);
        let ways: [Box<dyn Way>; 3] =
            [Box::new(Compiled::default()), Box::new(Rendezvous::default()), Box::new(Sorted::default())];
        for mut way in ways {
            measure(n, seed, &start, way.as_mut());
        }
    }
}

/// Nanoseconds of a look-up.
fn look_ups(seed: u64, way: &dyn Way) -> f64 {
    let clock = Instant::now();
    let found: usize =
        (0..LOOKUPS).map(|i| way.look_up(black_box(mix(seed, i as u64) as usize % SHARDS))).sum();
    black_box(found);
    clock.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64
}

fn measure(n: usize, seed: u64, start: &Inventory, way: &mut dyn Way) {
    let clock = Instant::now();
    way.place(start);
    let compile_ms = clock.elapsed().as_secs_f64() * 1e3;
    // The best of a few: the machine may be doing other work.
    let lookup_ns = (0..5).map(|_| look_ups(seed, way)).fold(f64::MAX, f64::min);
    let (memory, bytes) = (way.memory(), way.written());
    let mut fleet = start.clone();
    let gone = (mix(seed, 77) % n as u64) as usize;
    for event in ["router leaves", "router joins", "branch leaves"] {
        let old = way.kept();
        match event {
            "router leaves" => {
                fleet.routers.remove(gone);
            }
            "router joins" => fleet.routers.push(self::fleet(n + 1, seed).routers.remove(n)),
            _ => fleet.routers.retain(|r| &*r.domain.branch != "b3"),
        }
        let clock = Instant::now();
        way.place(&fleet);
        let recompile_ms = clock.elapsed().as_secs_f64() * 1e3;
        let new = way.kept();
        let fair = shares(&fleet);
        let over = loads(&new)
            .iter()
            .map(|(r, l)| l / fair.get(r).map_or(1.0, |s| s.ceil().max(1.0)))
            .fold(0.0, f64::max);
        println!(
            "{seed},{n},{},{lookup_ns:.1},{memory},{bytes},{compile_ms:.2},{recompile_ms:.2},{event},{},{:.0},{over:.2}",
            way.name(),
            copies_moved(&old, &new),
            least(&old, &fleet)
        );
    }
}
