//! Two events at once, forced on real sockets: a stand-in holds back, releases, resets or closes on command, and each test waits
//! for a condition, never for a time. docs/interface.md lists the pairs.

#[path = "../common/mod.rs"]
mod common;

mod closing;
mod leaving;
mod retries;
mod settings;
mod stops;
mod watches;
