//! Counters by cause; their names are keys in reports.

use serde::Serialize;

/// Monotonic counters of one router's scatter-gather requests since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests received.
    pub asked: u64,
    /// Complete answers.
    pub whole: u64,
    /// Partial answers.
    pub part: u64,
    /// Missing parts in partial answers.
    pub missing: u64,
    /// Partial answers with a continuation for the missing parts.
    pub owed: u64,
    /// Rejected: the policy is unlikely to be met in time.
    pub refused_hopeless: u64,
    /// Rejected: the limit of pending requests is reached.
    pub refused_full: u64,
    /// Failed: the deadline has passed.
    pub failed_late: u64,
    /// Failed: all attempts have failed.
    pub failed_parts: u64,
    /// Invalid as scatter-gather requests.
    pub unfit: u64,
    /// Ignored: the request number is pending already.
    pub same_number: u64,
    /// Clients that disconnected before the answer.
    pub left: u64,
    /// First attempts.
    pub first: u64,
    /// Retries.
    pub again: u64,
    /// Hedged attempts.
    pub second: u64,
    /// Requests whose worthwhile hedged attempt was over the hedging budget.
    pub second_spared: u64,
    /// Probes of excluded or slow sites.
    pub probes: u64,
    /// First attempts at an alternate, since the preferred site was excluded or too slow.
    pub elsewhere: u64,
    /// Parts without a first attempt, since all their sites were excluded or too slow.
    pub left_out: u64,
    /// Attempts not sent, since no time would have been left for the site.
    pub no_time: u64,
    /// Responses older than a purge, not used.
    pub voided: u64,
    /// Responses of another version than the requested one, not used.
    pub other_version: u64,
    /// Responses that the lower tier marked as partial, not used.
    pub in_part: u64,
    /// Attempts cancelled before they ended.
    pub given_up: u64,
    /// Ignored events of attempts that are not in flight: late, duplicate or unknown.
    pub stray: u64,
    /// Observations of other routers that were accepted.
    pub heard: u64,
    /// Observations of other routers that were not accepted: too old, out of range, or over the limit of sites.
    pub unheard: u64,
    /// Observations published to other routers.
    pub told: u64,
    /// Sites evicted from the full table.
    pub sites_forgotten: u64,
}
