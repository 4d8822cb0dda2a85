//! Replicated compare-and-swap registers (CASPaxos, Rystsov 2018), decided without I/O.
//!
//! Each record has a register of its own, replicated by the members that the shard map names. There is no leader and no election, and an idle
//! register costs no messages. A record only moves forward, by [`Change`]s.
//!
//! The response to a request is [`Response::Committed`] only after a quorum of every group of the shard has the change on disk. If no quorum
//! can be reached in time, the response is [`Response::Unavailable`], immediately where that is already known. Safety does not depend on clocks.
//!
//! | module | concept |
//! | --- | --- |
//! | `record`, `transition` | the values and their state machine |
//! | `ballot`, `value`, `message`, `encoding` | what replicas send and store |
//! | `partition`, `quorum` | which members replicate a register; how their votes are counted |
//! | `acceptor`, `durable_log` | the replica: promises and accepted values, durable before each reply |
//! | `proposer`, `request`, `round`, `backoff`, `prepared_cache` | the requester: prepare and accept rounds, retries |
//! | `expiry`, `replica_sync` | the end of a record; how a replica catches up |
//! | `registers` | events in, actions out |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod api;
mod backoff;
mod ballot;
#[cfg(test)]
mod byte_tests;
mod context;
mod counters;
mod durable_log;
mod encoding;
mod error;
mod expiry;
mod injected_bug;
mod message;
#[cfg(test)]
mod model_tests;
mod outbound;
mod partition;
mod prepared_cache;
mod proposer;
mod quorum;
mod record;
mod registers;
mod replica_sync;
mod request;
mod round;
mod settings;
mod token;
mod transition;
mod value;

pub use api::{Action, DiskRecord, DiskWrite, Event, RequestNumber, Response, UnavailableReason};
pub use counters::Counters;
pub use encoding::DecodeError;
pub use error::OpenError;
pub use injected_bug::InjectedBug;
pub use record::{Change, Kind, Outcome, Record, RecordKey, RequestFingerprint};
pub use registers::Registers;
pub use settings::{InvalidSetting, Settings};
pub use transition::{applies_to, transition, InvalidTransition};
