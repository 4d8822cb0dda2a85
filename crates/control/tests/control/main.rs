//! Control planes in simulated time, without threads, connections or disks.

mod arbitrary_input;
mod bootstrap;
mod commits;
mod counts;
mod lost_routers;
mod message;
mod network;
mod overlay;
mod persistent_links;
mod purges;
