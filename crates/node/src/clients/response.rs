//! Encodes answers to clients.

use super::message::Tag;
use crate::resp::{encode, FieldEncoder};
use basaltgw::api::Ms;

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply<'a> {
    /// The object's bytes.
    Served(&'a [u8]),
    /// The client's copy is current; there is no body.
    NotModified,
    /// The request was rejected and may be sent again, after this Retry-After in milliseconds (0: none).
    Rejected(Ms),
    /// The request failed.
    Failed,
}

/// Encodes an answer.
pub fn encode_answer(tag: Tag, reply: Reply<'_>) -> Vec<u8> {
    let tag = tag.0.to_string();
    let mut fields = FieldEncoder::default();
    let (status, body): (&[u8], &[u8]) = match reply {
        Reply::Served(body) => (b"200", body),
        Reply::NotModified => {
            fields.add("ok304", 1);
            (b"200", b"")
        }
        Reply::Rejected(retry_after) => {
            if retry_after >= 1.0 {
                fields.add("w", retry_after.round());
            }
            (b"503", b"")
        }
        Reply::Failed => (b"500", b""),
    };
    encode(&[tag.as_bytes(), status, fields.as_str().as_bytes(), body])
}

/// Encodes the answer to `PING`; `serving` is false while the router can't take requests.
pub fn encode_pong(tag: Tag, serving: bool) -> Vec<u8> {
    let status: &[u8] = if serving { b"serving" } else { b"not_serving" };
    encode(&[tag.0.to_string().as_bytes(), status, b"", b""])
}
