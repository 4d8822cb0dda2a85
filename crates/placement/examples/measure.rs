//! Compares tables with plain rendezvous and a sorted list: lookup time, memory, compile time, moves and balance, as CSV.
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
/// Shards of every fleet.
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
        accepts_replicas: true,
    };
    Inventory { routers: (0..n).map(router).collect(), ..Inventory::default() }
}

/// The replicas of each shard.
type Replicas = Vec<Vec<RouterId>>;

/// An algorithm that assigns shards to routers.
trait Algorithm {
    fn name(&self) -> &'static str;
    /// Assigns all shards to the routers of a fleet, after an earlier assignment if that matters.
    fn assign(&mut self, fleet: &Inventory);
    /// Looks up a shard. The result depends on its replicas, so that the compiler can't remove the lookup.
    fn lookup(&self, shard: usize) -> usize;
    fn replicas(&self) -> Replicas;
    /// Bytes in memory for lookups.
    fn memory(&self) -> usize;
    /// Bytes that are sent to every router.
    fn encoded_bytes(&self) -> usize {
        0
    }
}

/// The compiled tables of this package.
#[derive(Default)]
struct CompiledTable(Option<Table>);

impl Algorithm for CompiledTable {
    fn name(&self) -> &'static str {
        "table"
    }

    fn assign(&mut self, fleet: &Inventory) {
        let rules = [("m.rules".to_string(), format!("holds {{ shards {SHARDS} }}"))];
        // A few routers bootstrap the fleet, and the others join.
        let previous = self.0.take().unwrap_or_else(|| {
            let few = Inventory {
                routers: fleet.routers.iter().take(10).cloned().collect(),
                ..Inventory::default()
            };
            compile(&rules, &few, None).unwrap_or_else(|errors| panic!("{}", errors[0]))
        });
        self.0 =
            Some(compile(&rules, fleet, Some(&previous)).unwrap_or_else(|errors| panic!("{}", errors[0])));
    }

    fn lookup(&self, shard: usize) -> usize {
        self.0.as_ref().and_then(|t| t.replicas(Shard(shard as u16))).map_or(0, |g| g.members.len())
    }

    fn replicas(&self) -> Replicas {
        let groups = (0..SHARDS).filter_map(|s| self.0.as_ref().and_then(|t| t.replicas(Shard(s as u16))));
        groups.map(|g| g.members.iter().map(|m| m.router.clone()).collect()).collect()
    }

    fn memory(&self) -> usize {
        let group = |g: &basaltgw_types::QuorumGroup| size_of_val(g) + g.members.len() * size_of::<Member>();
        let groups = (0..SHARDS).filter_map(|s| self.0.as_ref().and_then(|t| t.replicas(Shard(s as u16))));
        groups.map(group).sum::<usize>() + self.encoded_bytes()
    }

    fn encoded_bytes(&self) -> usize {
        self.0.as_ref().map_or(0, |t| t.bytes().len())
    }
}

/// Plain rendezvous: the three highest scores of all routers, found at each lookup.
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

impl Algorithm for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn assign(&mut self, fleet: &Inventory) {
        let entry = |r: &RouterEntry| (r.member.router.clone(), fnv1a(&r.member.router.0), r.capacity as f64);
        self.0 = fleet.routers.iter().map(entry).collect();
    }

    fn lookup(&self, shard: usize) -> usize {
        self.best(shard).len()
    }

    fn replicas(&self) -> Replicas {
        (0..SHARDS).map(|s| self.best(s).into_iter().map(|i| self.0[i].0.clone()).collect()).collect()
    }

    fn memory(&self) -> usize {
        self.0.len() * size_of::<(RouterId, u64, f64)>()
    }
}

/// A sorted list of names: the replicas of shard s are the routers from index s modulo their number on.
#[derive(Default)]
struct SortedList(Vec<RouterId>);

impl Algorithm for SortedList {
    fn name(&self) -> &'static str {
        "sorted"
    }

    fn assign(&mut self, fleet: &Inventory) {
        self.0 = fleet.routers.iter().map(|r| r.member.router.clone()).collect();
        self.0.sort();
    }

    fn lookup(&self, shard: usize) -> usize {
        (0..COPIES).map(|c| &self.0[(shard + c) % self.0.len()]).map(|r| r.0.len()).sum()
    }

    fn replicas(&self) -> Replicas {
        let one = |s: usize| (0..COPIES).map(|c| self.0[(s + c) % self.0.len()].clone()).collect();
        (0..SHARDS).map(one).collect()
    }

    fn memory(&self) -> usize {
        self.0.len() * size_of::<RouterId>()
    }
}

fn moved_replicas(old: &Replicas, new: &Replicas) -> usize {
    old.iter().zip(new).map(|(o, n)| n.iter().filter(|r| !o.contains(r)).count()).sum()
}

fn loads(replicas: &Replicas) -> BTreeMap<&RouterId, f64> {
    let mut loads = BTreeMap::new();
    replicas.iter().flatten().for_each(|r| *loads.entry(r).or_insert(0.0) += 1.0);
    loads
}

/// Fair shares by capacity, at most one copy of each shard for a router.
fn shares(fleet: &Inventory) -> BTreeMap<RouterId, f64> {
    let all: u64 = fleet.routers.iter().map(|r| r.capacity).sum();
    let share = |r: &RouterEntry| (SHARDS * COPIES) as f64 * r.capacity as f64 / all as f64;
    fleet.routers.iter().map(|r| (r.member.router.clone(), share(r).min(SHARDS as f64))).collect()
}

/// The fewest replicas that must move: those of routers that left, or the whole shares of routers that joined.
fn min_moves(old: &Replicas, fleet: &Inventory) -> f64 {
    let (old_loads, fair_shares) = (loads(old), shares(fleet));
    let left: f64 = old_loads.iter().filter(|(r, _)| !fair_shares.contains_key(r)).map(|(_, l)| l).sum();
    let joined: f64 =
        fair_shares.iter().filter(|(r, _)| !old_loads.contains_key(r)).map(|(_, s)| s.floor()).sum();
    // An empty sum may be -0.
    left.max(joined) + 0.0
}

fn main() {
    let seed: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("seed,routers,way,lookup_ns,memory_bytes,table_bytes,compile_ms,recompile_ms,event,moved,least,most_over_share");
    for n in SIZES {
        let start = fleet(n, seed);
        let algorithms: [Box<dyn Algorithm>; 3] = [
            Box::new(CompiledTable::default()),
            Box::new(Rendezvous::default()),
            Box::new(SortedList::default()),
        ];
        for mut algorithm in algorithms {
            measure(n, seed, &start, algorithm.as_mut());
        }
    }
}

/// Mean time of a lookup in nanoseconds.
fn lookup_ns(seed: u64, algorithm: &dyn Algorithm) -> f64 {
    let start_time = Instant::now();
    let found: usize =
        (0..LOOKUPS).map(|i| algorithm.lookup(black_box(mix(seed, i as u64) as usize % SHARDS))).sum();
    black_box(found);
    start_time.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64
}

fn measure(n: usize, seed: u64, start: &Inventory, algorithm: &mut dyn Algorithm) {
    let start_time = Instant::now();
    algorithm.assign(start);
    let compile_ms = start_time.elapsed().as_secs_f64() * 1e3;
    // The best of five runs: the machine may be busy with other work.
    let lookup_ns = (0..5).map(|_| lookup_ns(seed, algorithm)).fold(f64::MAX, f64::min);
    let (memory, bytes) = (algorithm.memory(), algorithm.encoded_bytes());
    let mut fleet = start.clone();
    let leaving = (mix(seed, 77) % n as u64) as usize;
    for event in ["router leaves", "router joins", "branch leaves"] {
        let old = algorithm.replicas();
        match event {
            "router leaves" => {
                fleet.routers.remove(leaving);
            }
            "router joins" => fleet.routers.push(self::fleet(n + 1, seed).routers.remove(n)),
            _ => fleet.routers.retain(|r| &*r.domain.branch != "b3"),
        }
        let start_time = Instant::now();
        algorithm.assign(&fleet);
        let recompile_ms = start_time.elapsed().as_secs_f64() * 1e3;
        let new = algorithm.replicas();
        let fair_shares = shares(&fleet);
        let max_load_over_share = loads(&new)
            .iter()
            .map(|(r, l)| l / fair_shares.get(r).map_or(1.0, |s| s.ceil().max(1.0)))
            .fold(0.0, f64::max);
        println!(
            "{seed},{n},{},{lookup_ns:.1},{memory},{bytes},{compile_ms:.2},{recompile_ms:.2},{event},{},{:.0},{max_load_over_share:.2}",
            algorithm.name(),
            moved_replicas(&old, &new),
            min_moves(&old, &fleet)
        );
    }
}
