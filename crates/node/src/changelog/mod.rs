//! The change log: a stream of numbered frames, each with an endpoint list, a purge or nothing, that is followed from the last known event.
//!
//! - this file: decodes frames and their events;
//! - `follower`: decides which event is taken next, over all connections;
//! - `watch`: one connection; `follow`: the active connection and its standby;
//! - `reconnect_reason`: why a standby is opened.

mod follow;
mod follower;
pub(crate) mod reconnect_reason;
mod watch;

pub use follow::follow;
pub use follower::Follower;
pub use reconnect_reason::ReconnectReason;

use crate::limits::CHANGELOG_FRAME_MAX_BYTES;
use basaltgw::api::{Endpoint, EndpointState, GroupId, ObjectId, ServerId};
use basaltgw_config::{ListedServer, Seq, WatchEvent, WireNames};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The length of a frame's header: the event number (8 bytes) and the kind (1 byte).
const HEADER_BYTES: usize = 9;
/// The length of one endpoint in a list.
const ENDPOINT_BYTES: usize = 27;

/// Why a frame can't be decoded or doesn't continue the event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameError(&'static str);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// A frame of the change log.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The event's number; in an empty frame, that of the latest event.
    pub seq: Seq,
    /// The event; `None` in an empty frame.
    pub event: Result<Option<WatchEvent>, FrameError>,
}

/// Reads big-endian integers from the front of a payload.
struct PayloadReader<'a>(&'a [u8]);

impl PayloadReader<'_> {
    fn integer(&mut self, width_bytes: usize) -> Result<u64, FrameError> {
        let (head, rest) =
            self.0.split_at_checked(width_bytes).ok_or(FrameError("a payload that is too short"))?;
        self.0 = rest;
        Ok(head.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }
}

/// Splits a byte stream into frames. If it is fed only when no complete frame is left, it buffers less than the longest frame and one read.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Bytes before this are decoded.
    decoded: usize,
}

impl Decoder {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Done here and not for each frame, since one read may contain a thousand frames.
        self.bytes.drain(..self.decoded);
        self.decoded = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The number of buffered bytes, decoded ones included.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// The next complete frame, if there is one.
    ///
    /// # Errors
    /// If the frame's length is out of bounds; the stream can't be decoded any further.
    pub fn next_frame(&mut self, names: &WireNames) -> Result<Option<Frame>, FrameError> {
        let unread = self.bytes.get(self.decoded..).unwrap_or_default();
        let Some((length, rest)) = unread.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(HEADER_BYTES..=CHANGELOG_FRAME_MAX_BYTES).contains(&length) {
            return Err(FrameError("a frame length out of bounds"));
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let mut body = PayloadReader(body);
        let frame = Frame { seq: Seq(body.integer(8)?), event: decode_event(body, names) };
        self.decoded += 4 + length;
        Ok(Some(frame))
    }
}

fn decode_event(mut payload: PayloadReader<'_>, names: &WireNames) -> Result<Option<WatchEvent>, FrameError> {
    let event = match payload.integer(1)? {
        0 => None,
        kind @ (1 | 2) => {
            let mut servers = Vec::with_capacity(payload.0.len() / ENDPOINT_BYTES);
            while !payload.0.is_empty() {
                servers.push(decode_endpoint(&mut payload, names)?);
            }
            Some(WatchEvent::EndpointList { complete: kind == 1, servers })
        }
        3 => {
            let object = Some(ObjectId(payload.integer(8)?));
            Some(WatchEvent::Purge { object, group: GroupId(0), purged_at: payload.integer(8)? as f64 })
        }
        4 => {
            let group = GroupId(payload.integer(2)?);
            Some(WatchEvent::Purge { object: None, group, purged_at: payload.integer(8)? as f64 })
        }
        _ => return Err(FrameError("an unknown kind of event")),
    };
    if payload.0.is_empty() {
        Ok(event)
    } else {
        Err(FrameError("a payload that is too long"))
    }
}

fn decode_endpoint(payload: &mut PayloadReader<'_>, names: &WireNames) -> Result<ListedServer, FrameError> {
    let id = ServerId(Arc::from(format!("s-{:08x}", payload.integer(4)?)));
    let ip = Ipv4Addr::from(payload.integer(4)? as u32);
    let address = SocketAddr::from((ip, payload.integer(2)? as u16));
    let state = match payload.integer(1)? {
        0 => EndpointState::Up,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        _ => return Err(FrameError("an unknown endpoint state")),
    };
    let zone = names.zone_by_index(payload.integer(1)? as usize).ok_or(FrameError("an unknown zone"))?;
    let role =
        names.role_by_index(payload.integer(1)? as usize).ok_or(FrameError("an unknown server role"))?;
    let cell = payload.integer(2)?;
    let weight = payload.integer(4)? as f64 / 1000.0;
    let started = Some(payload.integer(8)? as f64).filter(|t| *t > 0.0);
    Ok(ListedServer { endpoint: Endpoint { id, zone, role, cell, state, weight, started }, address })
}
