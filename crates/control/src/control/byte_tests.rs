//! Encoded messages and stored records, compared with recorded bytes.

use super::commit::Commit;
use super::storage::{decode_purges, decode_table_register, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE};
use crate::message::Message;
use crate::purges::{Purge, PurgeKey};
use crate::table::TableRegister;
use basaltgw_registers::{DiskWrite, Kind, RecordKey};
use basaltgw_storage::{Space, Write};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn purge(object: Option<u64>) -> Purge {
    Purge { group: 7, object, time: 1_700_000_000_123 }
}

#[test]
fn every_message_encodes_to_the_recorded_bytes() {
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
    for (message, expected) in cases {
        assert_eq!(hex(&message.encode()), expected, "{message:?}");
        assert_eq!(Message::decode(&message.encode()), Some(message));
    }
}

#[test]
fn a_purge_encodes_to_the_recorded_update_and_register_name() {
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
fn a_commit_writes_the_recorded_spaces_keys_and_values() {
    let records = vec![DiskWrite::Put(vec![1], vec![2, 3]), DiskWrite::Remove(vec![4])];
    let mut commit = Commit::default();
    commit.add_batch(1, records);
    commit.add_purge(0.0, purge(Some(300)));
    commit.add_purge(0.0, purge(None));
    commit.remove_purges(0.0, [PurgeKey { group: 8, object: Some(1) }].into_iter());
    commit.set_table_register(TableRegister { serial: 5, body: vec![1, 2, 3] }, std::iter::empty());
    let line = |write: &Write| match write {
        Write::Put(Space(space), key, value) => format!("put {space} {} {}", hex(key), hex(value)),
        Write::Remove(Space(space), key) => format!("remove {space} {}", hex(key)),
    };
    let lines: Vec<String> = commit.take_writes().iter().map(line).collect();
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
fn recorded_bytes_decode_to_purges_and_table_register() {
    let time = 1_700_000_000_123_u64.to_be_bytes().to_vec();
    let purges = decode_purges([(vec![7, 1, 0xac, 2], time.clone()), (vec![7, 0], time)]);
    assert_eq!(purges.map(|p| p.all().collect::<Vec<_>>()), Some(vec![purge(None), purge(Some(300))]));
    assert_eq!(decode_table_register(&[5, 3, 1, 2, 3]), Ok(TableRegister { serial: 5, body: vec![1, 2, 3] }));
}
