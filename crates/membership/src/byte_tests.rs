//! The bytes of the membership's messages, compared with bytes that are written down here.

use crate::evidence::Item;
use crate::life::Life;
use crate::wire::{Hello, Swim, Wire};
use crate::{Evidence, Presence};
use basaltgw_types::{Domain, Incarnation, Member, RouterId};
use foca::{Header, Message};
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn life(name: &str) -> Life {
    let member = Member { router: RouterId(Arc::from(name)), incarnation: Incarnation(0x0102) };
    let domain = Domain { branch: Arc::from("b1"), machine: Arc::from("m1") };
    let presence = Presence { member, address: "127.0.0.1:7400".parse().expect("an address"), domain };
    Life { presence, generation: 300, former: Arc::from([Incarnation(9)]) }
}

#[test]
fn hellos_and_carriers_have_the_bytes_written_down() {
    let item = Item {
        origin: life("r1").member().clone(),
        start: 0x1122_3344_5566_7788,
        serial: 300,
        evidence: Evidence { site: Arc::from("zone-1"), missed: 1, answered: 300, latency: 1.5, age: 20.0 },
    };
    let cases = [
        (Wire::Hello(Box::new(Hello { me: life("r1"), known: None })), "000272318202007f000001e839026231026d31ac02010900"),
        (Wire::Hello(Box::new(Hello { me: life("r1"), known: Some((life("r2"), true)) })), "000272318202007f000001e839026231026d31ac020109010272328202007f000001e839026231026d31ac02010901"),
        (Wire::Swim { bytes: vec![1, 2, 3], evidence: vec![item] }, "010301020301027231820288ef99abc5e88c9111ac02067a6f6e652d3101ac02000000000000f83f0000000000003440"),
    ];
    for (wire, expected) in cases {
        assert_eq!(hex(&wire.write()), expected, "{wire:?}");
        assert_eq!(Wire::read(&wire.write(), 1400).ok(), Some(wire));
    }
}

#[test]
fn messages_of_the_swim_library_have_the_bytes_written_down() {
    let header = |message| Header { src: life("r1"), src_incarnation: 3, dst: life("r2"), message };
    let alive = foca::Member::alive(life("r3"));
    let with_update = Swim { header: header(Message::Gossip), updates: vec![alive], counted: true };
    let without = Swim { header: header(Message::Announce), updates: Vec::new(), counted: false };
    for (swim, expected) in [(with_update, "0272318202007f000001e839026231026d31ac020109030272328202007f000001e839026231026d31ac0201090800010272338202007f000001e839026231026d31ac0201090000"), (without, "0272318202007f000001e839026231026d31ac020109030272328202007f000001e839026231026d31ac02010906")] {
        let bytes = swim.write().expect("plain values");
        assert_eq!(hex(&bytes), expected);
        let read = Swim::read(&bytes).expect("the bytes of a message");
        assert_eq!(read.write().ok(), Some(bytes));
    }
}
