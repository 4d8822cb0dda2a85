//! Links with real threads and sockets on loopback addresses.

mod common;
mod faulty_peers;
mod links;
mod on_demand;
