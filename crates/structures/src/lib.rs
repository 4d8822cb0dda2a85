//! Data structures for routers. Each module states its costs and the plain structure that it replaces; `benches/` compares the two.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod hash;
pub mod rendezvous;

pub use rendezvous::Candidates;
