//! Fault injection, preloaded into a router process (`LD_PRELOAD`) by the test harness.
//!
//! The library replaces functions of the C library. It steps the wall clock and makes a share of the system calls fail with errors that
//! their manual pages document. The harness sets the faults in a file that it shares with the process (`GW_FAULTS` names the file,
//! [`control`] defines its layout). So faults can be switched on and off while the process runs, and their hits are counted where the
//! harness can read them even after the process was killed.
//!
//! No program links this crate. It is the only crate of the workspace with `unsafe` code, all of it for the C interface.

mod calls;
mod control;
