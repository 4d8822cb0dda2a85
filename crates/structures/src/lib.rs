//! Data structures made for routers. Each says what it costs and what it replaces, and is measured beside that in `benches/`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod hash;
pub mod order;

pub use order::Candidates;
