//! What is counted, by cause.

use crate::message::Why;
use crate::UnavailableReason;
use std::collections::BTreeMap;

/// Counted since the start of the program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Questions by the router.
    pub asked: u64,
    /// Answered with a change made.
    pub kept: u64,
    /// Answered with what stands.
    pub stands: u64,
    /// Not kept, by cause; the own upkeep's too.
    pub unkept: BTreeMap<UnavailableReason, u64>,
    /// Rounds begun.
    pub rounds: u64,
    /// Of them, those that needed no preparing.
    pub short: u64,
    /// Words sent to other keepers, and answers to other askers.
    pub messages: u64,
    /// Times that words were said again, for silence.
    pub said_again: u64,
    /// Words that the link could not write.
    pub unsent: u64,
    /// Votes that came when nothing waited for them any more.
    pub late_votes: u64,
    /// Refusals heard: a later ballot was promised.
    pub outvoted: u64,
    /// Refusals heard: another epoch.
    pub other_epoch: u64,
    /// Refusals heard: not a keeper.
    pub no_keeper: u64,
    /// Refusals heard: the keeper's disk.
    pub no_disk: u64,
    /// Refusals heard: the keeper's room.
    pub full: u64,
    /// Messages dropped: no message, or too long.
    pub bad_bytes: u64,
    /// Messages dropped: for another life of this router's folder, or another router.
    pub not_for_me: u64,
    /// Batches that the disk did not take.
    pub not_stored: u64,
    /// Maps dropped: of an epoch before the present one.
    pub old_maps: u64,
    /// Maps dropped: groups that need not meet.
    pub bad_maps: u64,
    /// Holds that were ended here.
    pub ended: u64,
    /// Effects whose span passed while they were out, now in doubt.
    pub doubted: u64,
    /// Registers dropped here: ended long ago, or no longer kept.
    pub dropped: u64,
    /// Holds that were copied while filling.
    pub filled: u64,
}

impl Counters {
    /// A refusal that was heard.
    pub(crate) fn refused(&mut self, why: &Why) {
        let count = match why {
            Why::Outvoted(_) => &mut self.outvoted,
            Why::OldTable | Why::NotYet => &mut self.other_epoch,
            Why::NoKeeper => &mut self.no_keeper,
            Why::NoDisk => &mut self.no_disk,
            Why::Full => &mut self.full,
        };
        *count += 1;
    }
}
