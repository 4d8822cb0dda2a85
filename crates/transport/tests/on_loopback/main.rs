//! The links with real threads and sockets.

mod common;
mod faulty_peers;
mod links;
mod on_demand;
