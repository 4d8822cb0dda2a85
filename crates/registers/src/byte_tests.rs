//! Encodings of stored records and of messages between replicas, compared with recorded bytes: builds of different versions read each
//! other's data.

use crate::ballot::Ballot;
use crate::durable_log::{register_key, Register, ReplicaMeta};
use crate::encoding::{decode, encode};
use crate::message::{AcceptedValue, Body, Envelope, ListReply, RegisterSummary, RejectReason};
use crate::partition::Partition;
use crate::value::Value;
use crate::{Change, Kind, Outcome, Record, RecordKey, RequestFingerprint};
use basaltgw_types::{Incarnation, Member, RouterId, Shard};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Asserts that the value encodes to the recorded bytes, and that they decode to the value.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, expected: &str) {
    let bytes = encode(&value).expect("the value can be encoded");
    assert_eq!(hex(&bytes), expected, "{value:?}");
    assert_eq!(decode::<T>(&bytes).ok(), Some(value));
}

fn member() -> Member {
    Member {
        router: RouterId(Arc::from("r1")),
        incarnation: Incarnation(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10),
    }
}

fn key(kind: Kind) -> RecordKey {
    RecordKey { kind, name: 0x0fed_cba9_8765_4321_0011_2233_4455_6677 }
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, by: member(), run: 3 }
}

#[test]
fn every_record_has_the_bytes_written_down() {
    let text = || Arc::from("v-1");
    assert_encoding(
        Record::Leased { owner: member(), term: 2 },
        "0100027231909eb8e8c0e1828589909cb0d080c181820202",
    );
    assert_encoding(Record::Released { term: 300 }, "0101ac02");
    assert_encoding(Record::Completed(Outcome::Served(b"body".to_vec())), "01020004626f6479");
    assert_encoding(Record::Completed(Outcome::ServedBodyOmitted), "010201");
    assert_encoding(Record::Completed(Outcome::Failed), "010202");
    let request = RequestFingerprint(0x0102);
    assert_encoding(
        Record::Completed(Outcome::ServedRequest { request, body: b"body".to_vec() }),
        "010203820204626f6479",
    );
    assert_encoding(Record::OutcomeUnknown, "0103");
    assert_encoding(
        Record::Purged { group: 7, object: Some(9), time: 1_700_000_000_123 },
        "0104070109fbd095ffbc31",
    );
    assert_encoding(
        Record::Purged { group: 7, object: None, time: 1_700_000_000_123 },
        "01040700fbd095ffbc31",
    );
    assert_encoding(
        Record::Ticket { server: text(), by: member().router, used: true },
        "010503762d3102723101",
    );
    assert_encoding(
        Record::Continuation { object: 9, version: text(), missing: vec![1, 300] },
        "01060903762d310201ac02",
    );
    assert_encoding(Record::Table { serial: 5, body: vec![1, 2, 3] }, "01070503010203");
    assert_encoding(Record::Tombstone, "0108");
}

#[test]
fn every_change_has_the_bytes_written_down() {
    let text = || Arc::from("v-1");
    assert_encoding(Change::Acquire(member()), "0100027231909eb8e8c0e1828589909cb0d080c1818202");
    assert_encoding(Change::Release(member(), 2), "0101027231909eb8e8c0e1828589909cb0d080c181820202");
    assert_encoding(
        Change::Complete(member(), 2, Outcome::Failed),
        "0102027231909eb8e8c0e1828589909cb0d080c18182020202",
    );
    assert_encoding(Change::MarkOutcomeUnknown(2), "010302");
    assert_encoding(
        Change::Purge { group: 7, object: Some(9), time: 1_700_000_000_123 },
        "0104070109fbd095ffbc31",
    );
    assert_encoding(Change::IssueTicket { server: text(), by: member().router }, "010503762d31027231");
    assert_encoding(Change::UseTicket, "0106");
    assert_encoding(
        Change::SetContinuation { object: 9, version: text(), missing: vec![1, 300] },
        "01070903762d310201ac02",
    );
    assert_encoding(Change::SetTable { from: 4, body: vec![1, 2, 3] }, "01080403010203");
    assert_encoding(Change::Read, "0109");
    assert_encoding(Change::Expire, "010a");
}

#[test]
fn every_stored_record_has_the_bytes_written_down() {
    assert_encoding(
        ReplicaMeta { me: member(), run: 4, epoch: 5, removed_ballot_floor: 6 },
        "01027231909eb8e8c0e1828589909cb0d080c1818202040506",
    );
    let value = Value { record: Record::OutcomeUnknown, changes: vec![ballot(9), ballot(8)] };
    assert_encoding(Register { promised: ballot(10), accepted: Some(AcceptedValue { ballot: ballot(9), value }), epoch: 5 }, "010a027231909eb8e8c0e1828589909cb0d080c1818202030109027231909eb8e8c0e1828589909cb0d080c181820203030209027231909eb8e8c0e1828589909cb0d080c18182020308027231909eb8e8c0e1828589909cb0d080c18182020305");
    assert_encoding(
        Register { promised: ballot(10), accepted: None, epoch: 0 },
        "010a027231909eb8e8c0e1828589909cb0d080c1818202030000",
    );
    let keys = [
        (Kind::Execution, "010100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f"),
        (Kind::Purge, "010101f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f"),
        (Kind::Ticket, "010102f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f"),
        (Kind::Continuation, "010103f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f"),
        (Kind::Table, "010104f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f"),
    ];
    for (kind, expected) in keys {
        assert_eq!(register_key(&key(kind)).map(|bytes| hex(&bytes)).as_deref(), Some(expected), "{kind:?}");
    }
}

#[test]
fn every_message_between_replicas_has_the_bytes_written_down() {
    let envelope = |body| Envelope { to: member(), epoch: 5, request_id: 77, body };
    let value = || Value { record: Record::Released { term: 1 }, changes: vec![ballot(9)] };
    let k = key(Kind::Execution);
    let rejected = |reason| envelope(Body::Rejected { ballot: ballot(9), reason });
    assert_encoding(envelope(Body::Prepare { key: k, ballot: ballot(9) }), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0000f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f09027231909eb8e8c0e1828589909cb0d080c181820203");
    assert_encoding(envelope(Body::Accept { key: k, ballot: ballot(9), value: value(), next: Some(ballot(10)) }), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f09027231909eb8e8c0e1828589909cb0d080c18182020301010109027231909eb8e8c0e1828589909cb0d080c181820203010a027231909eb8e8c0e1828589909cb0d080c181820203");
    assert_encoding(envelope(Body::Accept { key: k, ballot: ballot(9), value: value(), next: None }), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f09027231909eb8e8c0e1828589909cb0d080c18182020301010109027231909eb8e8c0e1828589909cb0d080c18182020300");
    assert_encoding(
        envelope(Body::ListRequest { partition: Partition::Shard(Shard(300)), after: Some(k), limit: 64 }),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0200ac020100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f40",
    );
    assert_encoding(
        envelope(Body::ListRequest { partition: Partition::Root, after: None, limit: 64 }),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d02010040",
    );
    let accepted = Some(AcceptedValue { ballot: ballot(8), value: value() });
    assert_encoding(envelope(Body::Promised { ballot: ballot(9), accepted }), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0309027231909eb8e8c0e1828589909cb0d080c1818202030108027231909eb8e8c0e1828589909cb0d080c18182020301010109027231909eb8e8c0e1828589909cb0d080c181820203");
    assert_encoding(
        envelope(Body::Promised { ballot: ballot(9), accepted: None }),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0309027231909eb8e8c0e1828589909cb0d080c18182020300",
    );
    assert_encoding(
        envelope(Body::Accepted { ballot: ballot(9) }),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0409027231909eb8e8c0e1828589909cb0d080c181820203",
    );
    assert_encoding(rejected(RejectReason::BallotTooOld(12)), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c181820203000c");
    assert_encoding(
        rejected(RejectReason::StaleEpoch),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020301",
    );
    assert_encoding(
        rejected(RejectReason::FutureEpoch),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020302",
    );
    assert_encoding(
        rejected(RejectReason::NotReplica),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020303",
    );
    assert_encoding(
        rejected(RejectReason::StorageFailed),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020304",
    );
    assert_encoding(
        rejected(RejectReason::ResourceExhausted),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020305",
    );
    let registers = vec![
        RegisterSummary { key: k, accepted: Some(ballot(9)) },
        RegisterSummary { key: key(Kind::Purge), accepted: None },
    ];
    let partition = Partition::Shard(Shard(1));
    let list = ListReply { partition, after: None, registers, has_more: true };
    assert_encoding(envelope(Body::ListReply(list)), "01027231909eb8e8c0e1828589909cb0d080c1818202054d060001000200f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f0109027231909eb8e8c0e1828589909cb0d080c18182020301f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f0001");
}
