//! Tests of `order`.

use super::*;
use crate::hash::within_share;
use proptest::prelude::*;

/// The plain one: every score, sorted.
fn plain(servers: &[(usize, u64, f64)], key: u64) -> Vec<usize> {
    let mut order: Vec<_> = servers
        .iter()
        .map(|(place, hash, weight)| (rendezvous(key, *hash, *weight), *hash, *place))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
    order.into_iter().map(|(_, _, place)| place).collect()
}

proptest! {
    #[test]
    fn the_order_is_that_of_the_plain_sort(
        hashes in proptest::collection::vec((any::<u64>(), 0usize..4), 0..80),
        keys in proptest::collection::vec(any::<u64>(), 1..8),
    ) {
        let weights = [1.0, 0.75, 1.5, 1.0 / 3.0];
        let servers: Vec<_> = hashes.iter().enumerate().map(|(i, (h, w))| (i, *h, weights[*w])).collect();
        let index = Candidates::new(servers.iter().copied());
        prop_assert_eq!(index.len(), servers.len());
        for key in keys {
            let plain = plain(&servers, key);
            prop_assert_eq!(index.order(key).collect::<Vec<_>>(), plain.clone());
            prop_assert_eq!(index.sorted(key), plain.clone());
            prop_assert_eq!(index.order(key).next(), plain.first().copied());
        }
    }

    #[test]
    fn what_belongs_to_a_share_belongs_to_every_larger_one(object: u64, server: u64, a in 0.0..1.0f64, b in 0.0..1.0f64) {
        let (small, large) = (a.min(b), a.max(b));
        prop_assert!(!within_share(object, server, small) || within_share(object, server, large));
        prop_assert!(within_share(object, server, 1.0) && !within_share(object, server, 0.0));
    }
}

#[test]
fn words_that_round_to_one_score_are_told_apart_as_the_sort_does() {
    // Equal hashes give equal words: the nearest there are.
    let servers: Vec<_> = (0..6).map(|i| (i, 7 + (i as u64) / 2, 1.0)).collect();
    let index = Candidates::new(servers.iter().copied());
    for key in 0..2000 {
        assert_eq!(index.order(key).collect::<Vec<_>>(), plain(&servers, key));
    }
}

#[test]
fn shares_are_of_the_size_they_say() {
    let within = |share| (0..20_000u64).filter(|o| within_share(*o, 99, share)).count() as f64 / 20_000.0;
    for share in [0.0625, 0.25, 0.5] {
        assert!((within(share) - share).abs() < 0.02, "{share}: {}", within(share));
    }
}
