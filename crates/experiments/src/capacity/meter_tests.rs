//! What is measured is a thread's own, and what is inside of it counts too.

use super::meter::{grown, taken};
use std::hint::black_box;
use std::thread;

/// Much more than a thread takes for itself.
const MUCH: usize = 10 << 20;

#[test]
fn what_other_threads_take_does_not_count() {
    let other = || thread::spawn(|| vec![1u8; MUCH]).join().expect("bytes");
    let (kept, counted) = taken(other);
    assert_eq!(kept.len(), MUCH);
    assert!(counted.bytes < MUCH as f64 / 10.0, "{counted:?}");
}

#[test]
fn what_is_kept_is_told_apart_from_what_was_taken() {
    let (kept, counted) = taken(|| {
        let more = grown(&mut || drop(black_box(vec![1u8; 1_000])));
        (black_box(vec![1u8; 500]), more)
    });
    assert_eq!((kept.0.len(), kept.1), (500, 0));
    assert_eq!((counted.held, counted.bytes, counted.pieces), (500.0, 1_500.0, 2.0));
    let mut list = Vec::new();
    assert_eq!(grown(&mut || list = black_box(vec![1u8; 700])), 700);
    assert_eq!(grown(&mut || list = Vec::new()), -700);
    assert!(list.is_empty());
}
