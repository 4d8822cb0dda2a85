//! The bytes of the control part's messages and records, compared with bytes that are written down here.

use super::commit::{
    decode_purges, decode_table_register, Commit, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE,
};
use super::{DiskWrite, Purge};
use crate::words::Message;
use basaltgw_registers::{Kind, RecordKey};
use basaltgw_storage::{Space, Write};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn purge(object: Option<u64>) -> Purge {
    Purge { group: 7, object, time: 1_700_000_000_123 }
}

#[test]
fn every_message_has_the_bytes_written_down() {
    let key = RecordKey { kind: Kind::Execution, name: 0x0fed_cba9_8765_4321_0011_2233_4455_6677 };
    let cases = [
        (Message::PurgeSyncRequest, "00"),
        (
            Message::PurgeSync { purges: vec![purge(Some(300)), purge(None)], last: true },
            "01020701ac02fbd095ffbc310700fbd095ffbc3101",
        ),
        (Message::TableRequest, "02"),
        (Message::TableState { serial: 5, body: vec![1, 2, 3] }, "030503010203"),
        (Message::TableDurable { term: 300 }, "04ac02"),
        (Message::LeaseQuery { key, term: 2 }, "0500f7ccd5a2b4c6c88880c28caaf6b0eae5ed1f02"),
        (Message::ReplicaSynced { term: 300 }, "06ac02"),
        (Message::OverlayLink { open: true }, "0701"),
        (Message::OverlayFrame(vec![9, 8, 7]), "0803090807"),
    ];
    for (word, expected) in cases {
        assert_eq!(hex(&word.encode()), expected, "{word:?}");
        assert_eq!(Message::decode(&word.encode()), Some(word));
    }
}

#[test]
fn a_purge_for_the_overlay_has_the_bytes_and_the_name_written_down() {
    let cases = [
        (purge(Some(300)), "0000018bcfe5687b0701ac02", "0000018bcfe5687bfecfde4124966472"),
        (purge(None), "0000018bcfe5687b0700", "0000018bcfe5687b0000000000000007"),
    ];
    for (purge, bytes, name) in cases {
        assert_eq!(hex(&purge.to_update()), bytes);
        assert_eq!(Purge::from_update(&purge.to_update()), Some(purge));
        assert_eq!(format!("{:032x}", purge.record_change().0.name), name);
    }
}

#[test]
fn a_commit_has_the_spaces_keys_and_values_written_down() {
    let records = vec![DiskWrite::Put(vec![1], vec![2, 3]), DiskWrite::Remove(vec![4])];
    let mut commit = Commit::default();
    commit.batches.push((1, records));
    commit.keep(0.0, purge(Some(300)));
    commit.keep(0.0, purge(None));
    commit.forget(0.0, [(8, Some(1))].into_iter());
    commit.adopt((5, vec![1, 2, 3]), std::iter::empty());
    let line = |write: &Write| match write {
        Write::Put(Space(space), key, value) => format!("put {space} {} {}", hex(key), hex(value)),
        Write::Remove(Space(space), key) => format!("remove {space} {}", hex(key)),
    };
    let lines: Vec<String> = commit.writes().iter().map(line).collect();
    let expected = [
        "put 3  0503010203",
        "put 1 01 0203",
        "remove 1 04",
        "remove 2 080101",
        "put 2 0701ac02 0000018bcfe5687b",
        "put 2 0700 0000018bcfe5687b",
    ];
    assert_eq!(lines, expected);
    assert_eq!([REGISTERS_SPACE, PURGES_SPACE, TABLE_SPACE], [Space(1), Space(2), Space(3)]);
}

#[test]
fn records_that_are_written_down_are_read() {
    let time = 1_700_000_000_123_u64.to_be_bytes().to_vec();
    let purges = decode_purges([(vec![7, 1, 0xac, 2], time.clone()), (vec![7, 0], time)]);
    assert_eq!(purges.map(|p| p.all().collect::<Vec<_>>()), Some(vec![purge(None), purge(Some(300))]));
    assert_eq!(decode_table_register(&[5, 3, 1, 2, 3]), Ok((5, vec![1, 2, 3])));
}
