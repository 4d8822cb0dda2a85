//! Races of two events, forced on real sockets: a stand-in delays, releases, resets or closes on command, and each test waits for a
//! condition, never for a time. docs/interface.md lists the pairs of events.

#[path = "../common/mod.rs"]
mod common;

mod closing;
mod leaving;
mod retries;
mod settings;
mod stops;
mod watches;
