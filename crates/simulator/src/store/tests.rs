//! Tests of `store`.

use super::*;

fn key(object: u64) -> FillKey {
    FillKey { object, part: 0 }
}

#[test]
fn the_lowest_rank_is_evicted_first_then_the_least_recently_used_copy() {
    let mut s = Store::new(30.0);
    s.put(key(1), 0.0, 10.0, Rank::Top);
    s.put(key(2), 0.0, 10.0, Rank::Low);
    s.put(key(3), 0.0, 10.0, Rank::Low);
    assert!(s.get(key(2)).is_some());
    s.put(key(4), 0.0, 10.0, Rank::Low);
    assert!(s.get(key(3)).is_none() && s.get(key(2)).is_some() && s.get(key(4)).is_some());
    s.put(key(5), 0.0, 10.0, Rank::Top);
    s.put(key(6), 0.0, 10.0, Rank::Top);
    s.put(key(7), 0.0, 10.0, Rank::Low);
    assert!(s.get(key(7)).is_none(), "a copy evicts none of higher rank");
    assert_eq!(s.len(), 3);
    s.put(key(8), 0.0, 31.0, Rank::Top);
    assert!(s.get(key(8)).is_none() && s.len() == 3);
}

#[test]
fn a_purge_drops_older_copies_and_an_older_copy_never_replaces_a_newer_one() {
    let mut s = Store::new(100.0);
    s.put(key(1), 5.0, 10.0, Rank::Low);
    s.put(key(2), 9.0, 10.0, Rank::Low);
    s.purge(7.0, |_| true);
    assert!(s.get(key(1)).is_none() && s.get(key(2)).is_some());
    s.put(key(2), 3.0, 10.0, Rank::Low);
    assert_eq!(s.get(key(2)).map(|c| c.origin_time), Some(9.0));
}
