//! Decisions on scatter-gather requests: when a request for parts at several sites is answered, and with which parts.
//! The package does no I/O and reads no clock.
//!
//! The engine measures each site's latency and failure probability. By the policy of the request's class (required
//! parts, minimum shares by count and by priority weight, longest wait), it waits for a part, retries it, sends a hedged
//! sub-request, or answers without it. It answers once waiting is expected to be worth less than answering.
//! Invariants: only idempotent requests are answered in part; an answer has one version of each object and nothing older
//! than a purge; a partial response of a lower tier never counts as complete.
//!
//! - [`GatherEngine`]: the engine; [`Event`] in, [`Action`] out, one [`Verdict`] for each request;
//! - [`baselines`]: three simpler strategies behind the same trait [`GatherStrategy`];
//!   [`sim`]: all four in simulated time;
//! - [`Settings`]: bounds and prices, with units; [`Counters`]: outcomes by cause.
//!
//! `docs/scatter-gather.md` describes the reasons and the guarantees.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
pub mod baselines;
mod counters;
mod engine;
mod injected_defect;
mod latency_histogram;
mod pending_request;
mod request_validation;
mod settings;
pub mod sim;
mod site_state;
mod site_table;
mod wait_decision;

pub use api::{
    Action, AttemptKind, AttemptNo, EndCause, EndedAttempt, Event, Evidence, GatherNo, GatherRequest,
    GatherStrategy, Idempotency, InvalidRequest, MissingParts, PartNo, PartResponse, PartSpec, Policy, Purge,
    Site, TimeBudget, UsedPart, Verdict,
};
pub use counters::Counters;
pub use engine::GatherEngine;
#[cfg(feature = "broken")]
pub use injected_defect::Defect;
pub use settings::{InvalidSetting, Settings};
