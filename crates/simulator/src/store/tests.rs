//! Tests of a cache's store: eviction by rank and use, and purges.

use super::*;

fn key(object: u64) -> FillKey {
    FillKey { object, part: 0 }
}

#[test]
fn the_lowest_rank_is_evicted_first_then_the_least_recently_used_copy() {
    let mut store = Store::new(30.0);
    store.put(key(1), 0.0, 10.0, Rank::Top);
    store.put(key(2), 0.0, 10.0, Rank::Low);
    store.put(key(3), 0.0, 10.0, Rank::Low);
    assert!(store.get(key(2)).is_some());
    store.put(key(4), 0.0, 10.0, Rank::Low);
    assert!(store.get(key(3)).is_none() && store.get(key(2)).is_some() && store.get(key(4)).is_some());
    store.put(key(5), 0.0, 10.0, Rank::Top);
    store.put(key(6), 0.0, 10.0, Rank::Top);
    store.put(key(7), 0.0, 10.0, Rank::Low);
    assert!(store.get(key(7)).is_none(), "a copy does not evict copies of higher rank");
    assert_eq!(store.len(), 3);
    store.put(key(8), 0.0, 31.0, Rank::Top);
    assert!(store.get(key(8)).is_none() && store.len() == 3);
}

#[test]
fn a_purge_drops_older_copies_and_an_older_copy_never_replaces_a_newer_one() {
    let mut store = Store::new(100.0);
    store.put(key(1), 5.0, 10.0, Rank::Low);
    store.put(key(2), 9.0, 10.0, Rank::Low);
    store.purge(7.0, |_| true);
    assert!(store.get(key(1)).is_none() && store.get(key(2)).is_some());
    store.put(key(2), 3.0, 10.0, Rank::Low);
    assert_eq!(store.get(key(2)).map(|c| c.origin_time), Some(9.0));
}
