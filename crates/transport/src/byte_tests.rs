//! Encodings of hellos and frames, compared with recorded bytes.

use crate::codec::{Codec, Frame, Kind};
use crate::connection_manager::SessionHello;
use crate::{Hello, Lane, PROTOCOL_VERSION};
use asynchronous_codec::{Decoder, Encoder};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, TableHash, TableVersion};
use bytes::BytesMut;
use std::sync::Arc;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn table() -> (TableVersion, TableHash) {
    (TableVersion(300), TableHash([7; 32]))
}

#[test]
fn the_hello_and_the_table_have_the_bytes_written_down() {
    let incarnation = Incarnation(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        cluster: Arc::from("fleet"),
        member: Member { router: RouterId(Arc::from("r1")), incarnation },
        domain: Domain { branch: Arc::from("b1"), machine: Arc::from("m1") },
        table: table(),
    };
    let session = SessionHello { hello, session_id: 0x1122_3344_5566_7788 };
    let bytes = postcard::to_stdvec(&session).expect("the value can be encoded");
    assert_eq!(hex(&bytes), "0105666c656574027231909eb8e8c0e1828589909cb0d080c1818202026231026d31ac02070707070707070707070707070707070707070707070707070707070707070788ef99abc5e88c9111");
    assert_eq!(postcard::from_bytes(&bytes), Ok(session));
    let bytes = postcard::to_stdvec(&table()).expect("the value can be encoded");
    assert_eq!(hex(&bytes), "ac020707070707070707070707070707070707070707070707070707070707070707");
}

#[test]
fn every_kind_of_frame_has_the_bytes_written_down() {
    let cases = [
        (Kind::Alive, &b""[..], "00000001d202ef8d00"),
        (Kind::Hello, b"ab", "0000000321d9e9b7016162"),
        (Kind::Go, b"", "000000013c0c8ea102"),
        (Kind::Table, b"ab", "00000003225d3dd9036162"),
        (Kind::Close, b"", "00000001d56f2b9404"),
        (Kind::Lane(Lane::Membership), b"ab", "000000033c3d20f0106162"),
        (Kind::Lane(Lane::Registers), b"ab", "000000033dff4ac7116162"),
        (Kind::Lane(Lane::Table), b"ab", "000000033fb9f49e126162"),
        (Kind::Lane(Lane::ScatterGather), b"ab", "000000033e7b9ea9136162"),
    ];
    let mut codec = Codec { max_body_bytes: 100 };
    for (kind, body, expected) in cases {
        let mut bytes = BytesMut::new();
        codec.encode((kind, body), &mut bytes).expect("the body is within the limit");
        assert_eq!(hex(&bytes), expected, "{kind:?}");
        assert_eq!(codec.decode(&mut bytes).ok().flatten(), Some(Frame { kind, body: body.to_vec() }));
    }
}
