//! The bytes of the messages about parts, compared with bytes that are written down here.

use super::gather::{Brought, Want, Word};
use super::purges::Purge;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn every_message_has_the_bytes_written_down() {
    let (class, object) = ("pages".into(), "00000000000000ab".into());
    let want = Want { no: 300, class, object, part: 3, group: 17, size_kb: 0.5, left: 100.0 };
    let have = |what| Word::Have {
        no: 300,
        took: 1.5,
        purges: vec![
            Purge { group: 1, object: None, time: 5 },
            Purge { group: 1, object: Some(300), time: 6 },
        ],
        what,
    };
    let cases = [
        (
            Word::Want(want),
            "00ac0205706167657310303030303030303030303030303061620311000000000000e03f0000000000005940",
        ),
        (
            have(Brought::Bytes { version: "v1".into(), born: 9, body: vec![1, 2] }),
            "01ac02000000000000f83f020100050101ac02060002763109020102",
        ),
        (have(Brought::Refused(20.0)), "01ac02000000000000f83f020100050101ac0206010000000000003440"),
        (have(Brought::Failed), "01ac02000000000000f83f020100050101ac020602"),
        (Word::Never { no: 300 }, "02ac02"),
    ];
    for (word, expected) in cases {
        assert_eq!(hex(&word.bytes()), expected, "{word:?}");
        assert_eq!(Word::read(&word.bytes()), Some(word));
    }
}
