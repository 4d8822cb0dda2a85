//! Fleets of router processes that replicate leases, outcomes and purges, with faults on the links between them.

#[path = "../common/mod.rs"]
mod common;

mod checkouts;
mod crossings;
mod cuts;
mod foreign_requests;
mod harness;
mod overlay;
mod purges;
mod replaced;
mod sparse;
mod stopped;
