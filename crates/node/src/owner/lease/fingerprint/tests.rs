//! Which fields of a request its fingerprint covers.

use super::*;
use crate::clients::ClientMessage;

fn fingerprint(class: &str, fields: &str, body: &[u8]) -> RequestFingerprint {
    let elements = [&b"DO"[..], b"1", class.as_bytes(), fields.as_bytes(), body];
    match ClientMessage::decode(elements.map(<[u8]>::to_vec).to_vec()) {
        Some(ClientMessage::Request(_, request)) => request_fingerprint(&request, &request.body),
        other => panic!("no request: {other:?}"),
    }
}

#[test]
fn fingerprint_differs_by_what_an_execution_depends_on_and_by_nothing_else() {
    let usual = "i=00000000000000aa,d=3000,o=0000000000000001,nth=0,batch=1";
    let expected = fingerprint("loan", usual, b"borrow");
    for (class, fields, body) in [
        ("renewal", usual, &b"borrow"[..]),
        ("loan", "i=00000000000000aa,d=3000,o=0000000000000002,nth=0,batch=1", b"borrow"),
        ("loan", "i=00000000000000aa,d=3000,o=0000000000000001,nth=1,batch=1", b"borrow"),
        ("loan", "i=00000000000000aa,d=3000,o=0000000000000001,nth=0,batch=2", b"borrow"),
        ("loan", "i=00000000000000aa,d=3000,o=0000000000000001,nth=0,batch=1,k=a", b"borrow"),
        ("loan", usual, b"return"),
        ("loan", usual, b""),
    ] {
        assert_ne!(fingerprint(class, fields, body), expected, "{class} {fields} {body:?}");
    }
    let sent_again = "i=00000000000000aa,d=500,o=0000000000000001,nth=0,batch=1,m=60,got=ab,again=1";
    assert_eq!(fingerprint("loan", sent_again, b"borrow"), expected);
    assert_ne!(
        fingerprint("loan", "i=00000000000000aa,d=3000,o=0000000000000001,nth=0,batch=1,k=ab", b"c"),
        fingerprint("loan", "i=00000000000000aa,d=3000,o=0000000000000001,nth=0,batch=1,k=a", b"bc"),
    );
}
