//! What clients, stand-ins and links saw, in order; all that the checker knows.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Events kept at most; a longer run counts what it left out and then does not hold.
const MOST: usize = 1_000_000;

/// A request as one client sent it to one router, numbered over the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A checkout: its id is the same at every router that it is presented to.
    Checkout,
    /// A read of an object's first part.
    Read {
        /// Which object.
        object: u64,
    },
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// `200` with these bytes.
    Served(Vec<u8>),
    /// `503`, with the time to stay away in milliseconds.
    Rejected {
        /// The time to stay away, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Another word: failed, or in doubt.
    Failed(String),
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client wrote a request.
    RequestSent {
        /// Which.
        request: RequestNumber,
        /// To which router.
        router: usize,
        /// Its id.
        id: String,
        /// What for.
        kind: RequestKind,
        /// How long the client waits, in milliseconds.
        timeout_ms: u64,
    },
    /// A client read an answer.
    ResponseReceived {
        /// Which request.
        request: RequestNumber,
        /// How it ended.
        outcome: Outcome,
    },
    /// A client's connection ended without one.
    ConnectionLost(RequestNumber),
    /// A client went while it waited.
    ClientDisconnected(RequestNumber),
    /// An effect arrived at the archive, and runs.
    Executed {
        /// The id of its request.
        id: String,
    },
    /// The change log told a router of a purge of an object that happened at that Unix millisecond.
    PurgeAnnounced {
        /// To which router.
        router: usize,
        /// Which object.
        object: u64,
        /// When it happened.
        purged_at_unix_ms: u64,
    },
    /// A router was ended, stopped, or its clients' link disturbed; or (`false`) it serves again.
    RouterDown {
        /// Which router.
        router: usize,
        /// Whether it is down.
        down: bool,
    },
    /// A router misses more others than the copies make up for (one of three, two of five): cut off, down, stopped, with a full disk, or
    /// with a lost one that is not made up yet; or (`false`) it does no longer.
    RouterIsolated {
        /// Which router.
        router: usize,
        /// Whether it is isolated.
        isolated: bool,
    },
    /// A fault, in words, for whoever reads the history.
    Fault(String),
}

/// Something seen, and when: milliseconds since the rig began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    /// When.
    pub at_ms: u64,
    /// What.
    pub event: Event,
}

#[derive(Default)]
struct Inner {
    events: Vec<TimedEvent>,
    ends: BTreeMap<RequestNumber, Option<Outcome>>,
    asks: u64,
    left_out: u64,
}

/// The history, shared by all that see something.
#[derive(Clone)]
pub struct History {
    begun: Instant,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Default for History {
    fn default() -> Self {
        Self { begun: Instant::now(), inner: Arc::default() }
    }
}

impl History {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// A number for a request.
    pub fn next_request_number(&self) -> RequestNumber {
        let mut inner = self.inner();
        inner.asks += 1;
        RequestNumber(inner.asks)
    }

    /// Keeps what was seen.
    pub fn record(&self, event: Event) {
        let mut inner = self.inner();
        // Taken with the lock held, so that the order of events is that of their times.
        let at_ms = self.now_ms();
        match &event {
            Event::ResponseReceived { request, outcome } => {
                inner.ends.entry(*request).or_insert_with(|| Some(outcome.clone()));
            }
            Event::ConnectionLost(ask) => {
                inner.ends.entry(*ask).or_insert(None);
            }
            _ => {}
        }
        if inner.events.len() < MOST {
            inner.events.push(TimedEvent { at_ms, event });
        } else {
            inner.left_out += 1;
        }
        self.inner.1.notify_all();
    }

    /// Waits for the end of a request: `None` if its time passed, `Some(None)` if its connection was lost.
    pub fn wait_for_outcome(&self, ask: RequestNumber, patience: Duration) -> Option<Option<Outcome>> {
        let inner = self.inner();
        let (inner, _) = self
            .inner
            .1
            .wait_timeout_while(inner, patience, |i| !i.ends.contains_key(&ask))
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        inner.ends.get(&ask).cloned()
    }

    /// All events so far, and how many were left out.
    pub fn events(&self) -> (Vec<TimedEvent>, u64) {
        let inner = self.inner();
        (inner.events.clone(), inner.left_out)
    }

    /// How many events are such.
    pub fn count_events(&self, such: impl Fn(&Event) -> bool) -> usize {
        self.inner().events.iter().filter(|e| such(&e.event)).count()
    }
}
