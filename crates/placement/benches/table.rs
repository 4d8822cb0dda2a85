//! Lookup of a shard's replicas: the table compared with plain rendezvous over all routers and with a sorted list.

use basaltgw_placement::{compile, Inventory, RouterEntry, Table};
use basaltgw_structures::hash::{fnv1a, rendezvous_score};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, Shard};
use divan::{black_box, Bencher};
use std::sync::Arc;

fn main() {
    divan::main();
}

const SIZES: [usize; 3] = [10, 300, 3000];
const SHARDS: u16 = 256;

fn fleet(n: usize) -> Inventory {
    let router = |i: usize| RouterEntry {
        member: Member { router: RouterId(Arc::from(format!("r{i}"))), incarnation: Incarnation(i as u128) },
        domain: Domain { branch: Arc::from("b"), machine: Arc::from(format!("m{i}")) },
        capacity: 1000,
        accepts_replicas: true,
    };
    Inventory { routers: (0..n).map(router).collect(), ..Inventory::default() }
}

fn table(n: usize) -> Table {
    let first = compile(&[], &fleet(10), None).unwrap_or_else(|errors| panic!("{}", errors[0]));
    compile(&[], &fleet(n), Some(&first)).unwrap_or_else(|errors| panic!("{}", errors[0]))
}

#[divan::bench(args = SIZES)]
fn look_up_table(bencher: Bencher<'_, '_>, n: usize) {
    let (table, mut shard) = (table(n), 0);
    bencher.bench_local(|| {
        shard = (shard + 1) % SHARDS;
        black_box(table.replicas(Shard(shard)).map(|g| g.quorum))
    });
}

#[divan::bench(args = SIZES)]
fn look_up_rendezvous(bencher: Bencher<'_, '_>, n: usize) {
    let hashes: Vec<u64> = fleet(n).routers.iter().map(|r| fnv1a(&r.member.router.0)).collect();
    let mut shard = 0;
    bencher.bench_local(|| {
        shard = (shard + 1) % u64::from(SHARDS);
        let mut scores: Vec<(f64, usize)> =
            hashes.iter().enumerate().map(|(i, h)| (rendezvous_score(shard, *h, 1.0), i)).collect();
        scores.select_nth_unstable_by(2, |a, b| b.0.total_cmp(&a.0));
        black_box(scores.first().copied())
    });
}

#[divan::bench(args = SIZES)]
fn look_up_sorted_list(bencher: Bencher<'_, '_>, n: usize) {
    let mut names: Vec<RouterId> = fleet(n).routers.into_iter().map(|r| r.member.router).collect();
    names.sort();
    let mut shard = 0;
    bencher.bench_local(|| {
        shard = (shard + 1) % usize::from(SHARDS);
        black_box((0..3).map(|c| &names[(shard + c) % names.len()]).map(|r| r.0.len()).sum::<usize>())
    });
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn compile_again_after_a_loss(bencher: Bencher<'_, '_>, n: usize) {
    let (before, mut after) = (table(n), fleet(n));
    after.routers.remove(n / 2);
    bencher.bench_local(|| black_box(compile(&[], &after, Some(&before)).map(|t| t.hash())));
}
