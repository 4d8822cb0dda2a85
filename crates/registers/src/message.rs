//! The messages between proposers and replicas, each addressed to one incarnation of a member and sent under one epoch of the shard map.

use crate::ballot::Ballot;
use crate::encoding::{decode, DecodeError};
use crate::partition::Partition;
use crate::value::Value;
use crate::RecordKey;
use basaltgw_types::Member;
use serde::{Deserialize, Serialize};

/// Why a replica rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RejectReason {
    /// The replica has promised a later ballot, of this counter.
    BallotTooOld(u64),
    /// The request's epoch is before the replica's.
    StaleEpoch,
    /// The request's epoch is after the replica's, or the replica has no shard map.
    FutureEpoch,
    /// The member does not replicate the register.
    NotReplica,
    /// The replica's disk rejects writes.
    StorageFailed,
    /// A limit of the replica is reached.
    ResourceExhausted,
}

impl RejectReason {
    /// True if proposer and replica use different shard maps.
    pub fn is_epoch_mismatch(&self) -> bool {
        matches!(self, Self::StaleEpoch | Self::FutureEpoch)
    }
}

/// A value that a replica has accepted, with its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedValue {
    pub ballot: Ballot,
    pub value: Value,
}

/// An entry of a [`ListReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RegisterSummary {
    pub key: RecordKey,
    /// The ballot of the accepted value, if there is one.
    pub accepted: Option<Ballot>,
}

/// Registers of a partition, in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListReply {
    pub partition: Partition,
    /// The key after which the list starts; `None`: the first.
    pub after: Option<RecordKey>,
    pub registers: Vec<RegisterSummary>,
    /// True if the partition has further registers after those listed.
    pub has_more: bool,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Requests a promise to reject ballots below this one.
    Prepare { key: RecordKey, ballot: Ballot },
    /// Requests that a value is accepted at this ballot.
    Accept {
        key: RecordKey,
        ballot: Ballot,
        value: Value,
        /// Promised along with the accepted value, so that the proposer's next change skips the prepare phase.
        next: Option<Ballot>,
    },
    /// Requests the registers of a partition.
    ListRequest { partition: Partition, after: Option<RecordKey>, limit: u32 },
    /// Grants a prepare request; contains the value that the replica has accepted before.
    Promised { ballot: Ballot, accepted: Option<AcceptedValue> },
    /// Grants an accept request.
    Accepted { ballot: Ballot },
    /// Rejects a prepare or accept request.
    Rejected { ballot: Ballot, reason: RejectReason },
    /// Answers a list request.
    ListReply(ListReply),
}

impl Body {
    /// True for a reply to a request.
    #[cfg(test)]
    pub fn is_reply(&self) -> bool {
        match self {
            Self::Prepare { .. } | Self::Accept { .. } | Self::ListRequest { .. } => false,
            Self::Promised { .. } | Self::Accepted { .. } | Self::Rejected { .. } | Self::ListReply(_) => {
                true
            }
        }
    }

    /// True if a next ballot exists for each ballot.
    fn ballots_in_range(&self) -> bool {
        let value_in_range = |value: &Value| value.changes.iter().all(Ballot::is_in_range);
        match self {
            Self::Prepare { ballot, .. } | Self::Accepted { ballot } => ballot.is_in_range(),
            Self::Accept { ballot, value, next, .. } => {
                ballot.is_in_range() && value_in_range(value) && next.iter().all(Ballot::is_in_range)
            }
            Self::Promised { ballot, accepted } => {
                let accepted_in_range =
                    |a: &AcceptedValue| a.ballot.is_in_range() && value_in_range(&a.value);
                ballot.is_in_range() && accepted.iter().all(accepted_in_range)
            }
            Self::Rejected { ballot, reason: RejectReason::BallotTooOld(counter) } => {
                ballot.is_in_range() && *counter < crate::ballot::MAX_BALLOT_COUNTER
            }
            Self::Rejected { ballot, .. } => ballot.is_in_range(),
            Self::ListReply(list) => {
                list.registers.iter().all(|r| r.accepted.iter().all(Ballot::is_in_range))
            }
            Self::ListRequest { .. } => true,
        }
    }
}

/// A message with its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// The recipient; a member with another incarnation is another recipient.
    pub to: Member,
    /// The epoch of the sender's shard map. In a reply, the replica's epoch.
    pub epoch: u64,
    /// The requester's id of the request, returned in the reply.
    pub request_id: u64,
    pub body: Body,
}

impl Envelope {
    /// Decodes a message.
    ///
    /// # Errors
    /// As [`decode`], and if a ballot's counter is out of range.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let envelope: Self = decode(bytes)?;
        match envelope.body.ballots_in_range() {
            true => Ok(envelope),
            false => Err(DecodeError::Malformed),
        }
    }
}
