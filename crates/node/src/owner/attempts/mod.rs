//! Attempts of requests: `start` sends them, `cancel` withdraws or aborts them, `complete` handles their results.

mod cancel;
mod complete;
mod start;

pub(super) use cancel::{AbortingAttempt, CancelResults};

use crate::caches::ConnId;
use crate::outbox::{DeliveryState, OutgoingMessage};
use crate::permissions::{AttemptState, EarlierAttempt};
use basaltgw::api::{AttemptResult, FillReport, LoadReport, Ms, ServerId};
use std::rc::Rc;

/// The connection and the message of an attempt in flight.
#[derive(Clone)]
pub(super) struct InFlight {
    pub(super) connection: ConnId,
    pub(super) message: Rc<OutgoingMessage>,
}

/// An attempt that the decision module has requested.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// The server from which a miss is filled, unless the attempt's server fills it itself.
    pub(super) fill_source: Option<ServerId>,
    started_at: Ms,
    /// The connection to which it was given; `None` if there was none.
    connection: Option<ConnId>,
    /// `None` once the attempt has ended.
    pub(super) in_flight: Option<InFlight>,
    /// `None` until the attempt has ended.
    pub(super) result: Option<AttemptResult>,
}

impl Attempt {
    /// The attempt as an input of the rule that decides on further attempts.
    pub(super) fn earlier(&self, now: Ms) -> EarlierAttempt {
        let state = self.result.map_or(AttemptState::InFlight, AttemptState::Ended);
        EarlierAttempt { state, age: now - self.started_at }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the attempt is in flight on this connection.
    pub(super) fn is_on(&self, connection: ConnId) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.connection == connection)
    }

    /// How much of the attempt's message has been written; `None` once the attempt has ended.
    pub(super) fn delivery_state(&self) -> Option<DeliveryState> {
        self.in_flight.as_ref().map(|in_flight| in_flight.message.delivery_state())
    }

    /// Whether the attempt is in flight and no byte of it is written.
    fn is_unsent(&self) -> bool {
        matches!(self.delivery_state(), Some(DeliveryState::Queued | DeliveryState::Recalled))
    }
}

/// When an attempt's result is reported to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// At once.
    Now,
    /// In the next batch, since the result follows from an action of the module itself.
    NextBatch,
}

/// What a server reports with its answer.
struct AttemptReport {
    fill: FillReport,
    /// How long the server waited for the fill source, in milliseconds.
    source_wait: Ms,
    load: LoadReport,
    /// Whether the answer has the object's bytes.
    body_complete: bool,
}

/// The report of an attempt that ended without an answer.
const NO_REPORT: AttemptReport = AttemptReport {
    fill: FillReport::NotReported,
    source_wait: 0.0,
    load: LoadReport { in_flight: None, cpu_utilization: None, hit_ratio: None, fill_load: None },
    body_complete: false,
};
