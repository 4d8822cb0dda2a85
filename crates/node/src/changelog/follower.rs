//! Decides which event is taken next, from the frames of all connections in the order of their arrival; time plays no role.
//!
//! Each event is taken once. A gap, or an event that can't be decoded, ends the connection, since another connection may send the missing
//! event. If the next connection has the same fault, the change log does not have the event, and the later events are taken.

use super::{Frame, FrameError};
use basaltgw_config::{Seq, WatchEvent};

/// The position in the change log, over all connections.
#[derive(Debug)]
pub struct Follower {
    last: Seq,
    /// The number of the latest empty frame. Above `last`, events are missing.
    last_empty: Seq,
    /// The event at which the last connection had a gap or could not be decoded.
    fault: Option<Seq>,
}

impl Follower {
    /// A follower that has all events up to `last`.
    pub fn new(last: Seq) -> Self {
        Self { last, last_empty: last, fault: None }
    }

    /// The number of the last event that was taken.
    pub fn last(&self) -> Seq {
        self.last
    }

    /// Whether the change log has named an event that it has not sent.
    pub fn is_behind(&self) -> bool {
        self.last_empty > self.last
    }

    /// Handles a frame; returns its event if that is the next one, `None` for a known event or an empty frame.
    ///
    /// # Errors
    /// At a gap or an event that can't be decoded, unless the connection before had the same fault; the connection has to be closed.
    pub fn on_frame(&mut self, frame: Frame) -> Result<Option<WatchEvent>, FrameError> {
        let known = frame.seq <= self.last;
        let event = match frame.event {
            Ok(None) => {
                self.last_empty = frame.seq;
                return Ok(None);
            }
            Ok(Some(_)) if known => return Ok(None),
            Err(e) if known => return Err(e),
            event => event,
        };
        let repeated = self.fault.replace(frame.seq) == Some(frame.seq);
        if frame.seq.0 > self.last.0 + 1 && !repeated {
            return Err(FrameError("a gap between events"));
        }
        let event = match event {
            Err(e) if !repeated => return Err(e),
            Err(e) => {
                log::warn!("change log: event {} skipped: {e}", frame.seq.0);
                None
            }
            Ok(event) => event,
        };
        (self.last, self.fault) = (frame.seq, None);
        Ok(event)
    }
}
