//! Decides which event is taken next. Inputs: the frames of all connections, in the order of their arrival; no time.
//!
//! An event is taken once. A gap, or an event that can't be decoded, ends the connection, since the next one may bring what is missing;
//! when the next connection meets the same fault, the change log has nothing better, and the events behind it are taken.

use super::{BadFrame, Frame};
use basaltgw_config::{News, Seq};

/// The position in the change log, over all connections.
#[derive(Debug)]
pub struct Follower {
    last: Seq,
    /// The number of the latest empty frame. Above `last`, events are missing.
    last_empty: Seq,
    /// The event at which the last connection met a gap or could not decode.
    fault: Option<Seq>,
}

impl Follower {
    /// A follower that has all events up to `last`.
    pub fn new(last: Seq) -> Self {
        Self { last, last_empty: last, fault: None }
    }

    /// The last event taken.
    pub fn last(&self) -> Seq {
        self.last
    }

    /// Whether the change log has named an event that it has not sent.
    pub fn behind(&self) -> bool {
        self.last_empty > self.last
    }

    /// Takes a frame; returns its event if that is the next one, `None` for a known event or an empty frame.
    ///
    /// # Errors
    /// On the first meeting with a gap or an event that can't be decoded; the connection has to be closed.
    pub fn take(&mut self, frame: Frame) -> Result<Option<News>, BadFrame> {
        let known = frame.seq <= self.last;
        let event = match frame.news {
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
            return Err(BadFrame("a gap between events"));
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
