//! Encodings of membership messages, compared with recorded bytes.

use crate::evidence::EvidenceUpdate;
use crate::identity::RouterIdentity;
use crate::message::{Hello, KnownIdentity, Message, SwimMessage};
use crate::{Evidence, Presence};
use basaltgw_types::{Domain, Incarnation, Member, RouterId};
use foca::{Header, Message as SwimKind};
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn identity(name: &str) -> RouterIdentity {
    let member = Member { router: RouterId(Arc::from(name)), incarnation: Incarnation(0x0102) };
    let domain = Domain { branch: Arc::from("b1"), machine: Arc::from("m1") };
    let presence = Presence { member, address: "127.0.0.1:7400".parse().expect("a valid address"), domain };
    RouterIdentity { presence, generation: 300, replaced: Arc::from([Incarnation(9)]) }
}

#[test]
fn hellos_and_swim_messages_with_evidence_have_the_bytes_written_down() {
    let update = EvidenceUpdate {
        origin: identity("r1").member().clone(),
        start: 0x1122_3344_5566_7788,
        serial: 300,
        evidence: Evidence {
            site: Arc::from("zone-1"),
            missed: 1,
            answered: 300,
            latency_ms: 1.5,
            age_ms: 20.0,
        },
    };
    let cases = [
        (Message::Hello(Box::new(Hello { me: identity("r1"), known: None })), "000272318202007f000001e839026231026d31ac02010900"),
        (Message::Hello(Box::new(Hello { me: identity("r1"), known: Some(KnownIdentity { identity: identity("r2"), is_down: true }) })), "000272318202007f000001e839026231026d31ac020109010272328202007f000001e839026231026d31ac02010901"),
        (Message::Swim { bytes: vec![1, 2, 3], evidence: vec![update] }, "010301020301027231820288ef99abc5e88c9111ac02067a6f6e652d3101ac02000000000000f83f0000000000003440"),
    ];
    for (message, expected) in cases {
        assert_eq!(hex(&message.encode()), expected, "{message:?}");
        assert_eq!(Message::decode(&message.encode(), 1400).ok(), Some(message));
    }
}

#[test]
fn messages_of_the_swim_library_have_the_bytes_written_down() {
    let header = |message| Header { src: identity("r1"), src_incarnation: 3, dst: identity("r2"), message };
    let alive = foca::Member::alive(identity("r3"));
    let with_update =
        SwimMessage { header: header(SwimKind::Gossip), updates: vec![alive], has_update_count: true };
    let without =
        SwimMessage { header: header(SwimKind::Announce), updates: Vec::new(), has_update_count: false };
    for (swim, expected) in [(with_update, "0272318202007f000001e839026231026d31ac020109030272328202007f000001e839026231026d31ac0201090800010272338202007f000001e839026231026d31ac0201090000"), (without, "0272318202007f000001e839026231026d31ac020109030272328202007f000001e839026231026d31ac02010906")] {
        let bytes = swim.encode().expect("valid values are encoded");
        assert_eq!(hex(&bytes), expected);
        let decoded = SwimMessage::decode(&bytes).expect("an encoded message is decoded");
        assert_eq!(decoded.encode().ok(), Some(bytes));
    }
}
