//! One request for several parts whose sites differ: when it is answered, and with which parts. Decided without I/O or clock.
//!
//! Sites' latencies are measured; a part is waited for, asked again elsewhere (where second copies are allowed), left out from the start, or
//! left missing, by the policy of its class: which parts are needed, the least share by count and by worth, how long waiting may go on. It
//! answers as soon as waiting is worth less than answering. Never: an unsafe request in part; parts from both sides of a purge; two versions
//! of one object; a lower tier's part counted as whole.
//!
//! - [`Gathers`]: the decisions; [`Event`] in, [`Action`] out, one [`Verdict`] for each gather;
//! - [`baselines`]: three plainer ways behind the same trait [`Decide`]; [`sim`]: all four in simulated time, from a seed;
//! - [`Settings`]: bounds and prices, with units; [`Counters`]: all that was left out, refused, voided, by cause;
//!
//! `docs/scatter-gather.md` has the reasons, what is promised and what is not.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
pub mod baselines;
mod broken;
mod counters;
mod engine;
mod latency_histogram;
mod pending_request;
mod request_validation;
mod settings;
pub mod sim;
mod site_state;
mod site_table;
mod wait_decision;

pub use api::{
    Action, Ask, AttemptNo, Came, Copy, Decide, Effect, Ended, Event, Evidence, GatherNo, How, Missing,
    PartNo, PartSpec, Policy, Purge, Site, Times, Unfit, Used, Verdict,
};
#[cfg(feature = "broken")]
pub use broken::Broken;
pub use counters::Counters;
pub use engine::Gathers;
pub use settings::{BadSetting, Settings};
