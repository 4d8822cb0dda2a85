//! Counters by cause. Reports have them under the serialized names.

use serde::Serialize;

/// Monotonic counters of one router's scatter-gather requests since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests received.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Complete answers.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Partial answers.
    #[serde(rename = "part")]
    pub partial: u64,
    /// Missing parts in partial answers.
    #[serde(rename = "missing")]
    pub missing_parts: u64,
    /// Partial answers with a continuation for the missing parts.
    #[serde(rename = "owed")]
    pub with_continuation: u64,
    /// Rejected: the policy is unlikely to be met in time.
    #[serde(rename = "refused_hopeless")]
    pub rejected_as_unlikely: u64,
    /// Rejected: the limit of pending requests is reached.
    #[serde(rename = "refused_full")]
    pub rejected_over_limit: u64,
    /// Failed: the deadline has passed.
    #[serde(rename = "failed_late")]
    pub failed_at_deadline: u64,
    /// Failed: all attempts have failed.
    #[serde(rename = "failed_parts")]
    pub failed_all_attempts: u64,
    /// Invalid as scatter-gather requests.
    #[serde(rename = "unfit")]
    pub invalid: u64,
    /// Ignored: the request number is pending already.
    #[serde(rename = "same_number")]
    pub duplicate_number: u64,
    /// Requests whose clients disconnected or cancelled before the answer.
    #[serde(rename = "left")]
    pub cancelled: u64,
    /// First attempts.
    #[serde(rename = "first")]
    pub first_attempts: u64,
    /// Retries.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Hedged attempts.
    #[serde(rename = "second")]
    pub hedges: u64,
    /// Requests whose worthwhile hedged attempt was over the hedging budget.
    #[serde(rename = "second_spared")]
    pub hedges_over_budget: u64,
    /// Probes of excluded or slow sites.
    pub probes: u64,
    /// First attempts at an alternate, since the preferred site was excluded or too slow.
    #[serde(rename = "elsewhere")]
    pub first_at_alternate: u64,
    /// Parts without a first attempt, since all their sites were excluded or too slow.
    #[serde(rename = "left_out")]
    pub parts_not_attempted: u64,
    /// Attempts not sent, since no time would have been left for the site.
    #[serde(rename = "no_time")]
    pub attempts_without_time: u64,
    /// Responses older than a purge, not used.
    #[serde(rename = "voided")]
    pub purged_responses: u64,
    /// Responses of another version than the requested one, not used.
    #[serde(rename = "other_version")]
    pub other_version_responses: u64,
    /// Responses that the lower tier marked as partial, not used.
    #[serde(rename = "in_part")]
    pub partial_responses: u64,
    /// Attempts cancelled before their end.
    #[serde(rename = "given_up")]
    pub cancelled_attempts: u64,
    /// Ignored events of attempts that are not in flight: late, duplicate or unknown.
    #[serde(rename = "stray")]
    pub ignored_events: u64,
    /// Observations of other routers that were accepted.
    #[serde(rename = "heard")]
    pub evidence_accepted: u64,
    /// Observations of other routers that were not accepted: too old, out of range, or over the limit of sites.
    #[serde(rename = "unheard")]
    pub evidence_ignored: u64,
    /// Observations published to other routers.
    #[serde(rename = "told")]
    pub evidence_published: u64,
    /// Sites evicted from the full table.
    #[serde(rename = "sites_forgotten")]
    pub sites_evicted: u64,
}
