//! Which event comes next.

use super::{BadFrame, Frame};
use basaltgw_config::{News, Seq};

/// Which event comes next, and what a fault means for the connection. Frames of all connections go through it, so none tells an
/// event a second time.
#[derive(Debug)]
pub struct Follower {
    last: Seq,
    /// The number of the latest empty frame. Above `last` it tells that events are held back, or were left out.
    empty: Seq,
    /// A gap or an unreadable event was met here. Met again on the next connection, the log has nothing better, and
    /// what follows must not wait for it.
    fault: Option<Seq>,
}

impl Follower {
    /// A follower that has events up to `last`.
    pub fn new(last: Seq) -> Self {
        Self { last, empty: last, fault: None }
    }

    /// The last event it has.
    pub fn last(&self) -> Seq {
        self.last
    }

    /// True if the log has named an event that it has not told.
    pub fn behind(&self) -> bool {
        self.empty > self.last
    }

    /// What a frame tells if it is the next event. An event that is known already is passed over. After an error the
    /// connection is of no more use.
    pub fn take(&mut self, frame: Frame) -> Result<Option<News>, BadFrame> {
        let known = frame.seq <= self.last;
        let news = match frame.news {
            Ok(None) => {
                self.empty = frame.seq;
                return Ok(None);
            }
            Ok(Some(_)) if known => return Ok(None),
            Err(e) if known => return Err(e),
            news => news,
        };
        let again = self.fault.replace(frame.seq) == Some(frame.seq);
        if frame.seq.0 > self.last.0 + 1 && !again {
            return Err(BadFrame("a gap"));
        }
        let news = match news {
            Err(e) if !again => return Err(e),
            Err(e) => {
                log::warn!("change log: event {} is passed over: {e}", frame.seq.0);
                None
            }
            Ok(news) => news,
        };
        (self.last, self.fault) = (frame.seq, None);
        Ok(news)
    }
}
