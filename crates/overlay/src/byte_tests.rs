//! Encoded frames and the hashes that routers compare, set beside recorded bytes.

use crate::deduplication::{content_hash, keyed_hash, short_hash};
use crate::frame::{pack, Digest, PackedUpdate, Part, StreamNames, BUCKETS};
use crate::router_list::short_name;
use crate::update_log::StreamId;
use crate::Kind;
use basaltgw_types::RouterId;
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn stream() -> StreamId {
    StreamId::new(Kind::Purge, &RouterId(Arc::from("r1")), 0x1122_3344)
}

fn other() -> StreamId {
    StreamId::new(Kind::Background, &RouterId(Arc::from("r2")), 7)
}

fn digest(age: Option<u32>) -> Part {
    Part::Digest(Digest { recent: vec![(stream(), 300)], hash: 0x0102_0304_0506_0708, count: 5, age })
}

#[test]
fn every_part_of_a_frame_encodes_to_the_recorded_bytes() {
    let updates = || vec![pack(b"", b"abc"), pack(b"abc", b"abd")];
    assert_eq!(updates()[1], PackedUpdate { shared_prefix_len: 2, suffix: b"d".to_vec() });
    let cases = [
        (Part::Updates { stream: stream(), first: 300, updates: updates() }, "00014433221193cf040c010000ac02020003616263020164"),
        (Part::Announcement(vec![(stream(), 300), (other(), 1)]), "00024433221193cf040c070000000797d3e401010200ac020101"),
        (digest(Some(300)), "00014433221193cf040c01020100ac02888e98a8c0e08081010501ac02"),
        (digest(None), "00014433221193cf040c01020100ac02888e98a8c0e08081010500"),
        (Part::Buckets { named: vec![(stream(), 300)], hashes: vec![0x0102_0304; BUCKETS] }, "00014433221193cf040c01030100ac024084868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808848688088486880884868808"),
        (Part::Vector(vec![(stream(), 300, 9)]), "00014433221193cf040c01040100ac0209"),
        (Part::Fetch { stream: stream(), from: 1, to: 300, is_backfill: true }, "00014433221193cf040c01050001ac0201"),
        (Part::Unavailable { stream: stream(), first: 300, age: 9 }, "00014433221193cf040c010600ac0209"),
        (Part::PushRequest { enabled: true, known: vec![(stream(), 300)] }, "00014433221193cf040c0107010100ac02"),
        (Part::PushRejected, "00000108"),
        (Part::LinkRejected, "00000109"),
        (Part::HashKey(0x0102_0304_0506_0708), "0000010a888e98a8c0e0808101"),
        (Part::Query(vec![[1, 2, 3, 4]]), "0000010b0101020304"),
        (Part::FullQuery(vec![[1, 2, 3, 4, 5, 6, 7, 8]]), "0000010c010102030405060708"),
        (Part::Unknown(vec![[1, 2, 3, 4]]), "0000010d0101020304"),
        (Part::Known(vec![[1, 2, 3, 4, 5, 6, 7, 8]]), "0000010e010102030405060708"),
        (Part::Escalation { kind: Kind::Evidence, updates: updates() }, "0000010f02020003616263020164"),
    ];
    for (part, expected) in cases {
        let bytes = StreamNames::default().encode(vec![part.clone()]);
        assert_eq!(hex(&bytes), expected, "{part:?}");
        assert_eq!(StreamNames::default().decode(&bytes, 64 << 10), Ok(vec![part]));
    }
}

#[test]
fn compared_hashes_equal_the_recorded_ones() {
    let router = RouterId(Arc::from("r1"));
    let found = [
        format!("{:08x}", short_name(&router)),
        format!("{:016x}", stream().0),
        format!("{:016x}", other().0),
        format!("{:016x}", stream().hash(300)),
        format!("{:016x}", content_hash(Kind::Table, b"a word of several eights")),
        format!("{:016x}", keyed_hash(42, Kind::Evidence, b"word")),
        hex(&short_hash(0x0102_0304_0506_0708)),
    ];
    let expected = [
        "0c04cf93",
        "0c04cf9311223344",
        "e4d3970700000007",
        "d25af26d53ef551d",
        "3644be04776c80a9",
        "9a9315da76791349",
        "04030201",
    ];
    assert_eq!(found, expected);
}
