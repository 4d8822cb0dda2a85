//! Tests of quotas.

use super::{divide, quotas};

#[test]
fn divides_by_weight_up_to_the_caps() {
    assert_eq!(divide(90, &[1, 1, 1], &[100, 100, 100]), [30, 30, 30]);
    assert_eq!(divide(90, &[7, 1, 1], &[40, 100, 100]), [40, 25, 25]);
    assert_eq!(divide(90, &[1, 1], &[40, 40]), [40, 40]);
}

#[test]
fn a_domain_stores_at_most_its_number_of_copies_of_each_shard() {
    let routers = [(10, 0), (10, 0), (1, 1), (1, 2)];
    let quotas = quotas(&routers, 3, 12, 3, 1);
    let max: Vec<u32> = quotas.iter().map(|q| q.max).collect();
    assert_eq!(max, [6, 6, 12, 12]);
}
