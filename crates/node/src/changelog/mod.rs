//! The change log: a stream of numbered frames that is followed from the last known event.
//!
//! - here: decodes frames and their events;
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
use basaltgw_config::{Member, Names, News, Seq};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The event number (8 bytes) and kind (1 byte) of each frame.
const HEADER_BYTES: usize = 9;
/// One endpoint in a list.
const RECORD_BYTES: usize = 27;

/// What is wrong with a frame that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFrame(&'static str);

impl fmt::Display for BadFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The event's number.
    pub seq: Seq,
    /// The event; `None` in an empty frame.
    pub news: Result<Option<News>, BadFrame>,
}

/// Reads big-endian numbers off the front of a payload.
struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn number(&mut self, width: usize) -> Result<u64, BadFrame> {
        let (head, rest) = self.0.split_at_checked(width).ok_or(BadFrame("a payload that is too short"))?;
        self.0 = rest;
        Ok(head.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }
}

/// Splits a byte stream into frames. Fed only when it has no complete frame left, it buffers less than the longest frame and one read.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Bytes before this are decoded.
    decoded: usize,
}

impl Decoder {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Here and not for each frame, since one read may bring a thousand frames.
        self.bytes.drain(..self.decoded);
        self.decoded = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that are buffered.
    pub fn held(&self) -> usize {
        self.bytes.len()
    }

    /// The next complete frame, if there is one.
    ///
    /// # Errors
    /// If its length is out of bounds or its number is cut short; the stream can't be decoded any further.
    pub fn frame(&mut self, names: &Names) -> Result<Option<Frame>, BadFrame> {
        let unread = self.bytes.get(self.decoded..).unwrap_or_default();
        let Some((length, rest)) = unread.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(HEADER_BYTES..=CHANGELOG_FRAME_MAX_BYTES).contains(&length) {
            return Err(BadFrame("a length out of bounds"));
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let mut body = Bytes(body);
        let frame = Frame { seq: Seq(body.number(8)?), news: event(body, names) };
        self.decoded += 4 + length;
        Ok(Some(frame))
    }
}

fn event(mut b: Bytes<'_>, names: &Names) -> Result<Option<News>, BadFrame> {
    let news = match b.number(1)? {
        0 => None,
        kind @ (1 | 2) => {
            let mut members = Vec::with_capacity(b.0.len() / RECORD_BYTES);
            while !b.0.is_empty() {
                members.push(record(&mut b, names)?);
            }
            Some(News::Servers { whole: kind == 1, members })
        }
        3 => {
            let object = Some(ObjectId(b.number(8)?));
            Some(News::Purge { object, group: GroupId(0), time: b.number(8)? as f64 })
        }
        4 => {
            let group = GroupId(b.number(2)?);
            Some(News::Purge { object: None, group, time: b.number(8)? as f64 })
        }
        _ => return Err(BadFrame("an unknown kind")),
    };
    if b.0.is_empty() {
        Ok(news)
    } else {
        Err(BadFrame("a payload that is too long"))
    }
}

fn record(b: &mut Bytes<'_>, names: &Names) -> Result<Member, BadFrame> {
    let id = ServerId(Arc::from(format!("s-{:08x}", b.number(4)?)));
    let ip = Ipv4Addr::from(b.number(4)? as u32);
    let address = SocketAddr::from((ip, b.number(2)? as u16));
    let listed = match b.number(1)? {
        0 => EndpointState::Up,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        _ => return Err(BadFrame("an unknown state")),
    };
    let zone = names.zone_at(b.number(1)? as usize).ok_or(BadFrame("an unknown zone"))?;
    let role = names.role_at(b.number(1)? as usize).ok_or(BadFrame("an unknown kind of server"))?;
    let cell = b.number(2)?;
    let weight = b.number(4)? as f64 / 1000.0;
    let started = Some(b.number(8)? as f64).filter(|t| *t > 0.0);
    Ok(Member { entry: Endpoint { id, zone, role, cell, state: listed, weight, started }, address })
}
