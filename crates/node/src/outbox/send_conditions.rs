//! The conditions under which an attempt's first byte may be written; they are checked immediately before (see
//! [`crate::permissions::may_send`]).

use super::BufferedBytes;
use crate::breaks::{broken, Break};
use crate::caches::{AttemptKey, RequestNo};
use crate::connection::RequestLiveness;
use crate::invariants::{FetchStart, Invariants, Violation};
use crate::pause_detector::PauseDetector;
use crate::permissions::SendState;
use crate::slow_start_watch::{Exceeded, SlowStartWatch};
use basaltgw::api::{AttemptNo, Ms, ServerId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout of an attempt that waited for longer than this before its first byte is encoded again.
const REENCODE_AFTER: Duration = Duration::from_millis(10);

/// Encodes an attempt's message again with another timeout in milliseconds; `None` if the bytes are not an attempt.
pub type EncodeTimeout = fn(&[u8], Ms) -> Option<Vec<u8>>;

/// Deadlines of an attempt, and what is needed to update the timeout in its message.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When the attempt times out; the message has the time until then.
    pub attempt_deadline: Instant,
    /// When the request's client stops waiting.
    pub client_deadline: Instant,
    /// When the message was encoded.
    pub encoded_at: Instant,
    /// Encodes the message again with another timeout.
    pub encode_timeout: EncodeTimeout,
}

/// Since when a connection's server takes no new attempts; `None` while it does.
pub type DrainedSince = Rc<Cell<Option<Instant>>>;

/// The conditions for writing an attempt.
#[derive(Clone, Debug)]
pub struct SendConditions {
    /// The time before which the first byte must be written; `None` without such a limit.
    pub begin_by: Option<Instant>,
    /// Whether the request's client still waits; `None` for a request that is not a client's.
    pub liveness: Option<RequestLiveness>,
    /// The attempt's deadlines; `None` in tests that don't check them.
    pub times: Option<AttemptTimes>,
    /// Since when the server takes no new attempts; set by the connection on which the attempt is sent.
    pub drained: DrainedSince,
    /// How long after the notification of a drain a send to the server is not a violation.
    pub drain_grace: Duration,
    /// The attempt.
    pub key: AttemptKey,
    /// The invariant checker.
    pub invariants: Rc<Invariants>,
    /// The detector of pauses of the process.
    pub pause_detector: Rc<PauseDetector>,
    /// Where the attempt is sent; `None` for a request of an unknown class, and in tests without a slow-start watch.
    pub route: Option<AttemptRoute>,
}

/// Where an attempt is sent, for the slow-start watch.
#[derive(Clone, Debug)]
pub struct AttemptRoute {
    /// The attempt's server, and the fill source if that is another server.
    pub servers: [Option<ServerId>; 2],
    /// The index of the request class in the settings.
    pub class: usize,
    /// Counts the attempts that are written.
    pub watch: Rc<SlowStartWatch>,
}

impl SendConditions {
    /// Conditions of time and client only, without invariant checks.
    pub fn without_invariant_checks(begin_by: Option<Instant>, liveness: Option<RequestLiveness>) -> Self {
        Self {
            begin_by,
            liveness,
            times: None,
            drained: Rc::default(),
            drain_grace: Duration::ZERO,
            key: AttemptKey { request: RequestNo(0), attempt: AttemptNo(0) },
            invariants: Rc::default(),
            pause_detector: Rc::default(),
            route: None,
        }
    }

    pub(super) fn send_state(&self, now: Instant, withdrawn: bool) -> SendState {
        SendState {
            withdrawn,
            start_window_passed: self.begin_by.is_some_and(|by| now >= by),
            deadline_passed: self.times.is_some_and(|time| now >= time.attempt_deadline),
            client_waits: self.liveness.as_ref().is_none_or(RequestLiveness::is_waiting),
        }
    }

    /// Checks and counts an attempt whose first byte is about to be written; returns the bytes to write, with the current timeout.
    pub(super) fn on_first_byte(&self, now: Instant, bytes: BufferedBytes) -> BufferedBytes {
        let Some(time) = self.times else { return bytes };
        let (timeout_ms, bytes) = time.with_current_timeout(now, bytes);
        let fetch = FetchStart {
            since_client_left: self.liveness.as_ref().and_then(|liveness| liveness.left_for(now)),
            past_drain_grace: self
                .drained
                .get()
                .and_then(|since| now.saturating_duration_since(since).checked_sub(self.drain_grace)),
            timeout_ms,
            client_time_left_ms: millis(time.client_deadline.saturating_duration_since(now)),
        };
        let AttemptKey { request, attempt } = self.key;
        self.invariants.check_fetch(&fetch, format_args!("request {}, attempt {}", request.0, attempt.0));
        self.count_send(now);
        bytes
    }

    /// Counts an attempt whose last byte is written.
    pub(super) fn on_last_byte(&self) {
        self.route.iter().for_each(|route| route.watch.record_written(self.key));
    }

    fn count_send(&self, now: Instant) {
        let Some(AttemptRoute { servers: [server, fill_source], class, watch }) = &self.route else {
            return;
        };
        let exceeded = watch.count_attempt(now, *class, server.as_ref(), fill_source.as_ref());
        if let Some(Exceeded { server, sent, bound }) = exceeded {
            let AttemptKey { request, attempt } = self.key;
            self.invariants.violated(
                Violation::SlowStartExceeded,
                format_args!(
                    "request {}, attempt {}: {} was sent {sent:.1} of {bound:.1}",
                    request.0, attempt.0, server.0
                ),
            );
        }
    }
}

impl AttemptTimes {
    /// The timeout that is passed to the server, in milliseconds, and the message with it.
    fn with_current_timeout(&self, now: Instant, bytes: BufferedBytes) -> (Ms, BufferedBytes) {
        let encoded = millis(self.attempt_deadline.saturating_duration_since(self.encoded_at));
        if now.saturating_duration_since(self.encoded_at) > REENCODE_AFTER && !broken(Break::StaleDeadline) {
            let left = millis(self.attempt_deadline.saturating_duration_since(now));
            if let Some(reencoded) = (self.encode_timeout)(bytes.bytes(), left) {
                return (left, bytes.replaced(reencoded));
            }
        }
        (encoded, bytes)
    }
}

fn millis(span: Duration) -> Ms {
    span.as_secs_f64() * 1000.0
}
