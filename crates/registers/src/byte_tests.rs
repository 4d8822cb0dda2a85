//! The bytes that go to disks and to other routers, compared with bytes that are written down here: a build of any version reads them.

use crate::disk::{record_key, Meta, Register};
use crate::message::{decode, encode, Ballot, Body, Letter, Place, Value, Why};
use crate::{Change, Kind, Outcome, Record, RecordKey};
use basaltgw_types::{Incarnation, Member, RouterId, Shard};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Encodes and decodes a value, and compares both ways.
fn same<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, expected: &str) {
    let bytes = encode(&value).expect("plain values");
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
fn every_form_of_a_record_has_the_bytes_written_down() {
    let text = || Arc::from("v-1");
    same(Record::Leased { owner: member(), term: 2 }, "0100027231909eb8e8c0e1828589909cb0d080c181820202");
    same(Record::Released { term: 300 }, "0101ac02");
    same(Record::Completed(Outcome::Served(b"body".to_vec())), "01020004626f6479");
    same(Record::Completed(Outcome::ServedBodyOmitted), "010201");
    same(Record::Completed(Outcome::Failed), "010202");
    same(Record::OutcomeUnknown, "0103");
    same(Record::Purged { group: 7, object: Some(9), time: 1_700_000_000_123 }, "0104070109fbd095ffbc31");
    same(Record::Purged { group: 7, object: None, time: 1_700_000_000_123 }, "01040700fbd095ffbc31");
    same(Record::Ticket { server: text(), by: member().router, used: true }, "010503762d3102723101");
    same(
        Record::Continuation { object: 9, version: text(), missing: vec![1, 300] },
        "01060903762d310201ac02",
    );
    same(Record::Table { serial: 5, body: vec![1, 2, 3] }, "01070503010203");
    same(Record::Tombstone, "0108");
}

#[test]
fn every_change_has_the_bytes_written_down() {
    let text = || Arc::from("v-1");
    same(Change::Acquire(member()), "0100027231909eb8e8c0e1828589909cb0d080c1818202");
    same(Change::Release(member(), 2), "0101027231909eb8e8c0e1828589909cb0d080c181820202");
    same(
        Change::Complete(member(), 2, Outcome::Failed),
        "0102027231909eb8e8c0e1828589909cb0d080c18182020202",
    );
    same(Change::MarkOutcomeUnknown(2), "010302");
    same(Change::Purge { group: 7, object: Some(9), time: 1_700_000_000_123 }, "0104070109fbd095ffbc31");
    same(Change::IssueTicket { server: text(), by: member().router }, "010503762d31027231");
    same(Change::UseTicket, "0106");
    same(
        Change::SetContinuation { object: 9, version: text(), missing: vec![1, 300] },
        "01070903762d310201ac02",
    );
    same(Change::SetTable { from: 4, body: vec![1, 2, 3] }, "01080403010203");
    same(Change::Read, "0109");
    same(Change::Expire, "010a");
}

#[test]
fn every_record_on_the_disk_has_the_bytes_written_down() {
    same(
        Meta { me: member(), run: 4, epoch: 5, floor: 6 },
        "01027231909eb8e8c0e1828589909cb0d080c1818202040506",
    );
    let value = Value { hold: Record::OutcomeUnknown, changes: vec![ballot(9), ballot(8)] };
    same(Register { promised: ballot(10), accepted: Some((ballot(9), value)), epoch: 5 }, "010a027231909eb8e8c0e1828589909cb0d080c1818202030109027231909eb8e8c0e1828589909cb0d080c181820203030209027231909eb8e8c0e1828589909cb0d080c18182020308027231909eb8e8c0e1828589909cb0d080c18182020305");
    same(
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
        assert_eq!(record_key(&key(kind)).map(|bytes| hex(&bytes)).as_deref(), Some(expected), "{kind:?}");
    }
}

#[test]
fn every_message_between_replicas_has_the_bytes_written_down() {
    let letter = |body| Letter { to: member(), epoch: 5, round: 77, body };
    let value = || Value { hold: Record::Released { term: 1 }, changes: vec![ballot(9)] };
    let k = key(Kind::Execution);
    let refused = |why| letter(Body::Refused(ballot(9), why));
    same(letter(Body::Prepare(k, ballot(9))), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0000f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f09027231909eb8e8c0e1828589909cb0d080c181820203");
    same(letter(Body::Accept(k, ballot(9), value(), Some(ballot(10)))), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f09027231909eb8e8c0e1828589909cb0d080c18182020301010109027231909eb8e8c0e1828589909cb0d080c181820203010a027231909eb8e8c0e1828589909cb0d080c181820203");
    same(letter(Body::Accept(k, ballot(9), value(), None)), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f09027231909eb8e8c0e1828589909cb0d080c18182020301010109027231909eb8e8c0e1828589909cb0d080c18182020300");
    same(
        letter(Body::List(Place::Shard(Shard(300)), Some(k), 64)),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0200ac020100f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f40",
    );
    same(
        letter(Body::List(Place::Root, None, 64)),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d02010040",
    );
    same(letter(Body::Promised(ballot(9), Some((ballot(8), value())))), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0309027231909eb8e8c0e1828589909cb0d080c1818202030108027231909eb8e8c0e1828589909cb0d080c18182020301010109027231909eb8e8c0e1828589909cb0d080c181820203");
    same(
        letter(Body::Promised(ballot(9), None)),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0309027231909eb8e8c0e1828589909cb0d080c18182020300",
    );
    same(
        letter(Body::Accepted(ballot(9))),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0409027231909eb8e8c0e1828589909cb0d080c181820203",
    );
    same(refused(Why::Outvoted(12)), "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c181820203000c");
    same(
        refused(Why::OldTable),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020301",
    );
    same(
        refused(Why::NotYet),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020302",
    );
    same(
        refused(Why::NoKeeper),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020303",
    );
    same(
        refused(Why::NoDisk),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020304",
    );
    same(
        refused(Why::Full),
        "01027231909eb8e8c0e1828589909cb0d080c1818202054d0509027231909eb8e8c0e1828589909cb0d080c18182020305",
    );
    let listed = vec![(k, Some(ballot(9))), (key(Kind::Purge), None)];
    same(letter(Body::Listed(Place::Shard(Shard(1)), None, listed, true)), "01027231909eb8e8c0e1828589909cb0d080c1818202054d060001000200f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f0109027231909eb8e8c0e1828589909cb0d080c18182020301f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f0001");
}
