//! Choice of the parent that fills a miss: the rendezvous index against a sort of all parents.

use basaltgw_structures::hash::{mix, rendezvous_score};
use basaltgw_structures::Candidates;
use divan::{black_box, Bencher};

fn main() {
    divan::main();
}

const SERVER_COUNTS: [usize; 3] = [10, 200, 2000];

/// This many servers, of three different weights.
fn servers(n: usize) -> Vec<(usize, u64, f64)> {
    (0..n).map(|i| (i, mix(i as u64, 5), [1.0, 0.5, 2.0][i % 3])).collect()
}

#[divan::bench(args = SERVER_COUNTS)]
fn plain_sort(bencher: Bencher<'_, '_>, n: usize) {
    let servers = servers(n);
    let mut key = 0;
    bencher.bench_local(|| {
        key += 1;
        let mut order: Vec<_> = servers
            .iter()
            .map(|(index, hash, weight)| (rendezvous_score(key, *hash, *weight), *hash, *index))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        black_box(order.first().map(|o| o.2))
    });
}

#[divan::bench(args = SERVER_COUNTS)]
fn index_first(bencher: Bencher<'_, '_>, n: usize) {
    let index = Candidates::new(servers(n));
    let mut key = 0;
    bencher.bench_local(|| {
        key += 1;
        black_box(index.order(key).next())
    });
}

#[divan::bench(args = SERVER_COUNTS)]
fn index_third(bencher: Bencher<'_, '_>, n: usize) {
    let index = Candidates::new(servers(n));
    let mut key = 0;
    bencher.bench_local(|| {
        key += 1;
        black_box(index.order(key).nth(2))
    });
}
