//! The slow-start budget of a cache that has just started, with router processes and clients that send requests at full speed.
//!
//! Each test keeps all cores busy, so the tests run one after the other: side by side, or beside other tests, they leave the routers
//! too little processor time to use a budget at all.

#[path = "../common/mod.rs"]
mod common;

mod cold;
mod slow_start;

use std::sync::{Mutex, MutexGuard, PoisonError};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs. A failed test does not fail the next one.
fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}
