//! The conditions under which an attempt's first byte may be written, checked when that is about to happen; see
//! [`crate::permissions::may_send`].

use super::BufferedBytes;
use crate::breaks::{broken, Break};
use crate::connection::RequestLiveness;
use crate::invariants::{FetchStart, Invariants, Violation};
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
pub type EncodeTimeout = fn(&[u8], Ms) -> Option<Vec<u8>>;

/// The times of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// The request's deadline.
    pub client_deadline: Instant,
    /// When the message was encoded, with the time that was left until `until` then.
    pub encoded_at: Instant,
    /// Encodes it with another time-out.
    pub encode_timeout: EncodeTimeout,
}

/// Since when a connection's server takes no new attempts; `None` while it does.
pub type DrainedSince = Rc<Cell<Option<Instant>>>;

/// The conditions for writing an attempt.
#[derive(Clone, Debug)]
pub struct SendConditions {
    /// The first byte is written before this.
    pub begin_by: Option<Instant>,
    /// Whether the request's client still waits, where it has one.
    pub liveness: Option<RequestLiveness>,
    /// Its times; `None` in tests that don't check them.
    pub times: Option<AttemptTimes>,
    /// Whether its server takes new attempts; set by the connection on which it is sent.
    pub drained: DrainedSince,
    /// For how long after a drain was notified a send to the server is no violation.
    pub drain_grace: Duration,
    /// The numbers of the request and of the attempt.
    pub ids: (u64, usize),
    /// The invariant checker.
    pub invariants: Rc<Invariants>,
    /// Pauses of the process.
    pub stalls: Rc<Stalls>,
    /// Where it is sent; `None` in tests without a slow-start watch.
    pub route: Option<AttemptRoute>,
}

/// Where an attempt is sent, for the slow-start watch.
#[derive(Clone, Debug)]
pub struct AttemptRoute {
    /// Its server, and the source of a miss.
    pub to: [Option<ServerId>; 2],
    /// The index of its class in the settings.
    pub class: usize,
    /// Counts what is written.
    pub watch: Rc<SlowStartWatch>,
}

impl SendConditions {
    /// Conditions of time and client only, without invariant checks.
    pub fn unwatched(begin_by: Option<Instant>, liveness: Option<RequestLiveness>) -> Self {
        Self {
            begin_by,
            liveness,
            times: None,
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
            withdrawn: taken_back,
            start_window_passed: self.begin_by.is_some_and(|by| now >= by),
            deadline_passed: self.times.is_some_and(|time| now >= time.attempt_deadline),
            client_waits: self.liveness.as_ref().is_none_or(RequestLiveness::is_waiting),
        }
    }

    /// Notes that the first byte is about to be written; returns the bytes to write, with the time-out as it is now.
    pub(super) fn on_first_byte(&self, now: Instant, bytes: BufferedBytes) -> BufferedBytes {
        let Some(time) = self.times else { return bytes };
        let (timeout_ms, bytes) = time.with_current_timeout(now, bytes);
        let begun = FetchStart {
            since_client_left: self.liveness.as_ref().and_then(|w| w.gone_for(now)),
            past_drain_grace: self
                .drained
                .get()
                .and_then(|since| now.saturating_duration_since(since).checked_sub(self.drain_grace)),
            timeout_ms,
            client_time_left_ms: millis(time.client_deadline.saturating_duration_since(now)),
        };
        let (request, attempt) = self.ids;
        self.invariants.check_fetch(&begun, format_args!("request {request}, attempt {attempt}"));
        self.count_send(now);
        bytes
    }

    /// Notes that the last byte is written.
    pub(super) fn on_last_byte(&self) {
        self.route.iter().for_each(|route| route.watch.count_written(self.ids));
    }

    fn count_send(&self, now: Instant) {
        let Some(AttemptRoute { to, class, watch }) = &self.route else { return };
        let over = watch.count_fetch(now, *class, [to[0].as_ref(), to[1].as_ref()]);
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

impl AttemptTimes {
    /// The time-out in milliseconds that the server is told, and the message that tells it.
    fn with_current_timeout(&self, now: Instant, bytes: BufferedBytes) -> (Ms, BufferedBytes) {
        let encoded = millis(self.attempt_deadline.saturating_duration_since(self.encoded_at));
        if now.saturating_duration_since(self.encoded_at) > REENCODE_AFTER && !broken(Break::StaleDeadline) {
            let left = millis(self.attempt_deadline.saturating_duration_since(now));
            if let Some(anew) = (self.encode_timeout)(bytes.bytes(), left) {
                return (left, bytes.replaced(anew));
            }
        }
        (encoded, bytes)
    }
}

fn millis(span: Duration) -> Ms {
    span.as_secs_f64() * 1000.0
}
