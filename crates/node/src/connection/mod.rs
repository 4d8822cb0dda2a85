//! State that the reader, the writer and the owner of a client's connection share. This module does no I/O.
//!
//! - `close_reason`: why a connection is closed or no longer read;
//! - `state`: the phases of a connection and the events that change them;
//! - `liveness`: whether a client still waits for its requests;
//! - `slots`: how many connections are open, and whether new ones are accepted.

mod close_reason;
mod liveness;
mod slots;
mod state;

pub use close_reason::{CloseReason, IdleReason};
pub use liveness::{ClientLiveness, RequestLiveness};
pub use slots::{CloseCounts, ConnectionSlots};
pub use state::{ConnectionEvent, ConnectionPhase, ConnectionState};
