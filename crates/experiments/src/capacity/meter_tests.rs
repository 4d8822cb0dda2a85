//! Tests of the allocation meters: only the current thread counts, and measurements nest.

use super::meter::{count_allocations, retained_bytes};
use std::hint::black_box;
use std::thread;

/// Bytes of a large allocation, far above what starting a thread allocates.
const LARGE: usize = 10 << 20;

#[test]
fn allocations_of_other_threads_do_not_count() {
    let other = || thread::spawn(|| vec![1u8; LARGE]).join().expect("the thread returns its buffer");
    let (buffer, allocations) = count_allocations(other);
    assert_eq!(buffer.len(), LARGE);
    assert!(allocations.total_bytes < LARGE as f64 / 10.0, "{allocations:?}");
}

#[test]
fn retained_bytes_are_distinguished_from_allocated_bytes() {
    let (result, allocations) = count_allocations(|| {
        let retained = retained_bytes(&mut || drop(black_box(vec![1u8; 1_000])));
        (black_box(vec![1u8; 500]), retained)
    });
    assert_eq!((result.0.len(), result.1), (500, 0));
    assert_eq!(
        (allocations.retained_bytes, allocations.total_bytes, allocations.count),
        (500.0, 1_500.0, 2.0)
    );
    let mut list = Vec::new();
    assert_eq!(retained_bytes(&mut || list = black_box(vec![1u8; 700])), 700);
    assert_eq!(retained_bytes(&mut || list = Vec::new()), -700);
    assert!(list.is_empty());
}
