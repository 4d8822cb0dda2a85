//! Messages between the owners of two routers for the parts of scatter-gather requests.
//!
//! Encoding is postcard: the order of variants and fields is the wire format, which `byte_tests` fixes.

use super::purges::Purge;
use crate::limits::{COPY_TAG_MAX_BYTES, MAX_DEADLINE_MS, MAX_GROUP, MAX_PART, MAX_SIZE_KB};
use basaltgw_types::{Ms, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most purges in a response: the latest of the object and the latest of its group.
const MAX_PURGES: usize = 2;
/// Hex digits of an object id.
const OBJECT_ID_DIGITS: usize = 16;

/// A request to another router, to serve a part of an object from its caches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The number that the requester gave this request.
    pub number: u64,
    /// The name of the request class.
    pub class: Arc<str>,
    /// The object id in hex, as the client wrote it.
    pub object: Arc<str>,
    /// The number of the part.
    pub part: u64,
    /// The object's group.
    pub group: u64,
    /// The part's size in KB; 0 if unknown.
    pub size_kb: f64,
    /// The time that is left for the request, in milliseconds.
    pub time_left: Ms,
}

/// The result of a part request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PartResult {
    /// The complete part.
    Served {
        /// The object's version.
        version: Arc<str>,
        /// When the origin served that version, in Unix milliseconds of the origin.
        created: u64,
        /// The bytes of the part.
        body: Vec<u8>,
    },
    /// The request was rejected and not executed; with a Retry-After in milliseconds.
    Rejected(Ms),
    /// The request failed.
    Failed,
}

/// A message on the scatter-gather lane.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PartMessage {
    /// Requests a part; answered by one [`PartMessage::Response`] unless it is cancelled.
    Request(PartRequest),
    /// The response to a [`PartMessage::Request`].
    Response {
        /// The number that the requester gave the request.
        number: u64,
        /// How long the responder took, in milliseconds.
        elapsed: Ms,
        /// Purges of the object or its group that have not converged.
        purges: Vec<Purge>,
        /// The result of the request.
        result: PartResult,
    },
    /// Cancels a request.
    Cancel {
        /// The number that the requester gave the request.
        number: u64,
    },
}

impl PartMessage {
    /// The encoded message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are not a message, a value is out of bounds, or bytes are left over.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        (rest.is_empty() && message.is_within_bounds()).then_some(message)
    }

    fn is_within_bounds(&self) -> bool {
        match self {
            Self::Request(request) => request.is_within_bounds(),
            Self::Response { elapsed, purges, result, .. } => {
                result.is_within_bounds() && is_time_span(*elapsed) && purges.len() <= MAX_PURGES
            }
            Self::Cancel { .. } => true,
        }
    }
}

impl PartRequest {
    fn is_within_bounds(&self) -> bool {
        let object = self.object.len() == OBJECT_ID_DIGITS
            && self.object.bytes().all(|digit| digit.is_ascii_hexdigit());
        let numbers =
            self.part <= MAX_PART && self.group <= MAX_GROUP && (0.0..=MAX_SIZE_KB).contains(&self.size_kb);
        object && numbers && self.class.len() <= MAX_NAME_BYTES && is_time_span(self.time_left)
    }
}

impl PartResult {
    fn is_within_bounds(&self) -> bool {
        match self {
            Self::Served { version, .. } => (1..=COPY_TAG_MAX_BYTES).contains(&version.len()),
            Self::Rejected(retry_after) => is_time_span(*retry_after),
            Self::Failed => true,
        }
    }
}

fn is_time_span(span: Ms) -> bool {
    (0.0..=MAX_DEADLINE_MS).contains(&span)
}
