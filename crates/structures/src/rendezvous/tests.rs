//! The lazy rendezvous order against a plain sort by score, and the size of shares.

use super::*;
use crate::hash::within_share;
use proptest::prelude::*;

/// The order by sorting all scores.
fn sorted_by_score(servers: &[(usize, u64, f64)], key: u64) -> Vec<usize> {
    let mut order: Vec<_> = servers
        .iter()
        .map(|(index, hash, weight)| (rendezvous_score(key, *hash, *weight), *hash, *index))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
    order.into_iter().map(|(_, _, index)| index).collect()
}

proptest! {
    #[test]
    fn the_order_is_that_of_the_plain_sort(
        hashes in proptest::collection::vec((any::<u64>(), 0usize..4), 0..80),
        keys in proptest::collection::vec(any::<u64>(), 1..8),
    ) {
        let weights = [1.0, 0.75, 1.5, 1.0 / 3.0];
        let servers: Vec<_> = hashes.iter().enumerate().map(|(i, (h, w))| (i, *h, weights[*w])).collect();
        let candidates = Candidates::new(servers.iter().copied());
        prop_assert_eq!(candidates.len(), servers.len());
        for key in keys {
            let expected = sorted_by_score(&servers, key);
            prop_assert_eq!(candidates.order(key).collect::<Vec<_>>(), expected.clone());
            prop_assert_eq!(candidates.sorted(key), expected.clone());
            prop_assert_eq!(candidates.order(key).next(), expected.first().copied());
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
fn ties_of_rounded_scores_are_ordered_as_by_the_sort() {
    // Equal hashes give equal mixed hashes, so scores tie.
    let servers: Vec<_> = (0..6).map(|i| (i, 7 + (i as u64) / 2, 1.0)).collect();
    let candidates = Candidates::new(servers.iter().copied());
    for key in 0..2000 {
        assert_eq!(candidates.order(key).collect::<Vec<_>>(), sorted_by_score(&servers, key));
    }
}

#[test]
fn share_of_objects_is_as_large_as_requested() {
    let measured = |share| (0..20_000u64).filter(|o| within_share(*o, 99, share)).count() as f64 / 20_000.0;
    for share in [0.0625, 0.25, 0.5] {
        assert!((measured(share) - share).abs() < 0.02, "{share}: {}", measured(share));
    }
}
