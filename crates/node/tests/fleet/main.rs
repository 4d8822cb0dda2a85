//! Routers that keep each other's word: several processes, with faults between them.

#[path = "../common/mod.rs"]
mod common;

mod checkouts;
mod crossings;
mod cuts;
mod harness;
mod overlay;
mod purges;
mod replaced;
mod sparse;
mod stopped;
