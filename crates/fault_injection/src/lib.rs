//! Fault injection, preloaded into a router process (`LD_PRELOAD`) by the test harness.
//!
//! The library stands between a process and the C library. It steps the wall clock and makes a share of the system calls fail in the ways
//! that their manual pages document. What is injected, and how often, stands in a file that the harness shares with the process
//! (`GW_FAULTS` names it, [`control`] has its layout), so that faults are switched on and off while the process runs and each fault that
//! was hit is counted where the harness can read it, also after the process was killed.
//!
//! No program links this crate: it is the only one in the workspace with `unsafe` code, all of it for the C interface.

mod calls;
mod control;
