//! The conditions under which an attempt's first byte may be written, checked when that is about to happen; see
//! [`crate::permissions::may_send`].

use super::Counted;
use crate::breaks::{broken, Break};
use crate::connection::RequestLiveness;
use crate::invariants::{FetchBegun, Invariants, Violation};
use crate::permissions::SendState;
use crate::slow_start_watch::{Exceeded, SlowStartWatch};
use crate::stalls::Stalls;
use basaltgw::api::{Ms, ServerId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An attempt that waited for longer than this before its first byte gets its time-out encoded anew.
const REENCODE_AFTER: Duration = Duration::from_millis(10);

/// Encodes an attempt anew with another time-out; `None` if the message has none.
pub type TellWait = fn(&[u8], Ms) -> Option<Vec<u8>>;

/// The times of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct FetchTime {
    /// When the attempt times out.
    pub until: Instant,
    /// The request's deadline.
    pub client_until: Instant,
    /// When the message was encoded, with the time that was left until `until` then.
    pub made: Instant,
    /// Encodes it with another time-out.
    pub tell_wait: TellWait,
}

/// Since when a connection's server takes no new attempts; `None` while it does.
pub type Drained = Rc<Cell<Option<Instant>>>;

/// The conditions for writing an attempt.
#[derive(Clone, Debug)]
pub struct FetchTerms {
    /// The first byte is written before this.
    pub begin_by: Option<Instant>,
    /// Whether the request's client still waits, where it has one.
    pub wanted: Option<RequestLiveness>,
    /// Its times; `None` in tests that don't check them.
    pub time: Option<FetchTime>,
    /// Whether its server takes new attempts; set by the connection on which it is sent.
    pub drained: Drained,
    /// For how long after a drain was notified a send to the server is no violation.
    pub drain_grace: Duration,
    /// The numbers of the request and of the attempt.
    pub ids: (u64, usize),
    /// The invariant checker.
    pub invariants: Rc<Invariants>,
    /// Pauses of the process.
    pub stalls: Rc<Stalls>,
    /// Where it is sent; `None` in tests without a slow-start watch.
    pub route: Option<FetchRoute>,
}

/// Where an attempt is sent, for the slow-start watch.
#[derive(Clone, Debug)]
pub struct FetchRoute {
    /// Its server, and the source of a miss.
    pub to: [Option<ServerId>; 2],
    /// The index of its class in the settings.
    pub class: usize,
    /// Counts what is written.
    pub watch: Rc<SlowStartWatch>,
}

impl FetchTerms {
    /// Conditions of time and client only, without invariant checks.
    pub fn unwatched(begin_by: Option<Instant>, wanted: Option<RequestLiveness>) -> Self {
        Self {
            begin_by,
            wanted,
            time: None,
            drained: Rc::default(),
            drain_grace: Duration::ZERO,
            ids: (0, 0),
            invariants: Rc::default(),
            stalls: Rc::default(),
            route: None,
        }
    }

    pub(super) fn send_state(&self, now: Instant, taken_back: bool) -> SendState {
        SendState {
            taken_back,
            window_over: self.begin_by.is_some_and(|by| now >= by),
            deadline_over: self.time.is_some_and(|time| now >= time.until),
            client_waits: self.wanted.as_ref().is_none_or(RequestLiveness::holds),
        }
    }

    /// Notes that the first byte is about to be written; returns the bytes to write, with the time-out as it is now.
    pub(super) fn on_first_byte(&self, now: Instant, bytes: Counted) -> Counted {
        let Some(time) = self.time else { return bytes };
        let (timeout_ms, bytes) = time.with_current_timeout(now, bytes);
        let begun = FetchBegun {
            client_gone_for: self.wanted.as_ref().and_then(|w| w.gone_for(now)),
            drained_beyond_grace: self
                .drained
                .get()
                .and_then(|since| now.saturating_duration_since(since).checked_sub(self.drain_grace)),
            passed_on_ms: timeout_ms,
            client_left_ms: millis(time.client_until.saturating_duration_since(now)),
        };
        let (request, attempt) = self.ids;
        self.invariants.begun(&begun, format_args!("request {request}, attempt {attempt}"));
        self.count_send(now);
        bytes
    }

    /// Notes that the last byte is written.
    pub(super) fn on_last_byte(&self) {
        self.route.iter().for_each(|route| route.watch.written(self.ids));
    }

    fn count_send(&self, now: Instant) {
        let Some(FetchRoute { to, class, watch }) = &self.route else { return };
        let over = watch.begun(now, *class, [to[0].as_ref(), to[1].as_ref()]);
        if let Some(Exceeded { server, sent, bound }) = over {
            let (request, attempt) = self.ids;
            self.invariants.violated(
                Violation::SlowStartExceeded,
                format_args!(
                    "request {request}, attempt {attempt}: {} was sent {sent:.1} of {bound:.1}",
                    server.0
                ),
            );
        }
    }
}

impl FetchTime {
    /// The time-out in milliseconds that the server is told, and the message that tells it.
    fn with_current_timeout(&self, now: Instant, bytes: Counted) -> (Ms, Counted) {
        let encoded = millis(self.until.saturating_duration_since(self.made));
        if now.saturating_duration_since(self.made) > REENCODE_AFTER && !broken(Break::StaleDeadline) {
            let left = millis(self.until.saturating_duration_since(now));
            if let Some(anew) = (self.tell_wait)(bytes.bytes(), left) {
                return (left, bytes.replaced(anew));
            }
        }
        (encoded, bytes)
    }
}

fn millis(span: Duration) -> Ms {
    span.as_secs_f64() * 1000.0
}
