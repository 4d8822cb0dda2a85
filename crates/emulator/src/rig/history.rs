//! The history of a run: everything that clients, stand-ins and links observed, in order. The checker sees nothing else.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The most events that a history stores. Further events are counted as omitted, which violates [`Rule::HistoryComplete`].
///
/// [`Rule::HistoryComplete`]: super::Rule::HistoryComplete
const MAX_EVENTS: usize = 1_000_000;

/// A request as one client sent it to one router; unique in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// The operation of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A checkout, which has the same id at every router that it is presented to.
    Checkout,
    /// A read of the first part of an object.
    Read {
        /// The object.
        object: u64,
    },
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response `200` with this body.
    Served(Vec<u8>),
    /// A response `503`.
    Rejected {
        /// The time after which the client may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// A response with any other status: the request failed, or its outcome is unknown.
    Failed(String),
}

/// An event that a client, a stand-in or the rig observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client wrote a request.
    RequestSent {
        /// The request.
        request: RequestNumber,
        /// The router that it was sent to.
        router: usize,
        /// The id that the request carries.
        id: String,
        /// The operation of the request.
        kind: RequestKind,
        /// How long the client waits, in milliseconds.
        timeout_ms: u64,
    },
    /// A client read a response.
    ResponseReceived {
        /// The request.
        request: RequestNumber,
        /// How the request ended.
        outcome: Outcome,
    },
    /// A client's connection ended before the response to this request.
    ConnectionLost(RequestNumber),
    /// A client disconnected while it waited for the response to this request.
    ClientDisconnected(RequestNumber),
    /// A checkout arrived at the archive, which executed it.
    Executed {
        /// The id of the checkout.
        id: String,
    },
    /// The change log sent a router the purge of an object.
    PurgeAnnounced {
        /// The router that received the purge.
        router: usize,
        /// The purged object.
        object: u64,
        /// When the purge was made, in Unix milliseconds.
        purged_at_unix_ms: u64,
    },
    /// A router was shut down, killed or suspended, or is serving again.
    RouterDown {
        /// The router.
        router: usize,
        /// Whether the router is down.
        down: bool,
    },
    /// A router lost or regained the replicas that a quorum needs. It is isolated if more other routers are missing than the replicas
    /// tolerate (one of three, two of five). A router is missing if it is down, suspended, partitioned from this one, has a full disk, or
    /// lost its disk and its registers are not replicated to it again.
    RouterIsolated {
        /// The router.
        router: usize,
        /// Whether the router is isolated.
        isolated: bool,
    },
    /// A fault was injected or removed; the description is for the reader of the history.
    Fault(String),
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    /// Milliseconds since the start of the rig.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

#[derive(Default)]
struct State {
    events: Vec<TimedEvent>,
    /// The outcome of each request that has ended; `None` if its connection was lost.
    outcomes: BTreeMap<RequestNumber, Option<Outcome>>,
    last_request: u64,
    omitted_events: u64,
}

/// A history. Clones share it, so that all clients and stand-ins record into one.
#[derive(Clone)]
pub struct History {
    start: Instant,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Default for History {
    fn default() -> Self {
        Self { start: Instant::now(), shared: Arc::default() }
    }
}

impl History {
    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Milliseconds since the start of the rig.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// An unused request number.
    pub fn next_request_number(&self) -> RequestNumber {
        let mut state = self.state();
        state.last_request += 1;
        RequestNumber(state.last_request)
    }

    /// Appends an event.
    pub fn record(&self, event: Event) {
        let mut state = self.state();
        // The time is read under the lock, so that events are in the order of their times.
        let at_ms = self.now_ms();
        match &event {
            Event::ResponseReceived { request, outcome } => {
                state.outcomes.entry(*request).or_insert_with(|| Some(outcome.clone()));
            }
            Event::ConnectionLost(request) => {
                state.outcomes.entry(*request).or_insert(None);
            }
            _ => {}
        }
        if state.events.len() < MAX_EVENTS {
            state.events.push(TimedEvent { at_ms, event });
        } else {
            state.omitted_events += 1;
        }
        self.shared.1.notify_all();
    }

    /// Waits until a request has ended; returns its outcome, which is `Some(None)` if its connection was lost, or `None` on a time-out.
    pub fn wait_for_outcome(&self, request: RequestNumber, timeout: Duration) -> Option<Option<Outcome>> {
        let state = self.state();
        let (state, _) = self
            .shared
            .1
            .wait_timeout_while(state, timeout, |state| !state.outcomes.contains_key(&request))
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        state.outcomes.get(&request).cloned()
    }

    /// All stored events, and the number of omitted ones.
    pub fn events(&self) -> (Vec<TimedEvent>, u64) {
        let state = self.state();
        (state.events.clone(), state.omitted_events)
    }

    /// The number of stored events that match.
    pub fn count_events(&self, matches: impl Fn(&Event) -> bool) -> usize {
        self.state().events.iter().filter(|e| matches(&e.event)).count()
    }
}
