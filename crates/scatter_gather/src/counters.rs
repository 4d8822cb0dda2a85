//! What is counted, by cause.

use serde::Serialize;

/// Counters of one router's gathers since its start; each only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Gathers that were asked.
    pub asked: u64,
    /// Answered with all parts.
    pub whole: u64,
    /// Answered in part.
    pub part: u64,
    /// Parts named missing in those.
    pub missing: u64,
    /// Answers in part that owe what is missing.
    pub owed: u64,
    /// Turned away: the policy can't be met, or hardly.
    pub refused_hopeless: u64,
    /// Turned away: as many gathers as may be are open.
    pub refused_full: u64,
    /// Failed: time over.
    pub failed_late: u64,
    /// Failed: each part failed.
    pub failed_parts: u64,
    /// Could not be a gather.
    pub unfit: u64,
    /// A number that was open already; not heeded.
    pub same_number: u64,
    /// Clients that left before the answer.
    pub left: u64,
    /// First attempts.
    pub first: u64,
    /// Attempts after one that ended or brought nothing of use.
    pub again: u64,
    /// Attempts while another of the same part was out.
    pub second: u64,
    /// Second attempts that were worth it and not made: as many as may be were.
    pub second_spared: u64,
    /// Probes of sites that seem lost.
    pub probes: u64,
    /// First attempts at another site than the preferred one, which seemed lost or too slow.
    pub elsewhere: u64,
    /// Parts that were left out from the start: their sites seemed lost or too slow.
    pub left_out: u64,
    /// Parts that were not asked for, since no time would have been left for the site.
    pub no_time: u64,
    /// Bytes from before a purge, not used.
    pub voided: u64,
    /// Bytes of another version than the answer's, not used.
    pub other_version: u64,
    /// Bytes that the lower tier called a part, not used.
    pub in_part: u64,
    /// Attempts given up before they ended.
    pub given_up: u64,
    /// Words on an attempt that is not out: late, twice, or never made; not heeded.
    pub stray: u64,
    /// Other routers' words that were taken.
    pub heard: u64,
    /// Other routers' words that were not: too old, out of range, or no room.
    pub unheard: u64,
    /// Words passed on to other routers.
    pub told: u64,
    /// Sites forgotten, since others needed the room.
    pub sites_forgotten: u64,
}
