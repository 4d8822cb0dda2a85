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

/// Where an attempt is while it is in flight.
#[derive(Clone)]
pub(super) struct InFlight {
    pub(super) connection: ConnId,
    pub(super) message: Rc<OutgoingMessage>,
}

/// An attempt that the decision module has asked for.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// Who fills a miss, unless the server itself does.
    pub(super) fill_source: Option<ServerId>,
    started_at: Ms,
    /// The connection on which it was sent.
    connection: Option<ConnId>,
    /// `None` once it has ended.
    pub(super) in_flight: Option<InFlight>,
    /// `None` until it has ended.
    pub(super) result: Option<AttemptResult>,
}

impl Attempt {
    /// As the rule on further attempts takes it.
    pub(super) fn earlier(&self, now: Ms) -> EarlierAttempt {
        let state = self.result.map_or(AttemptState::InFlight, AttemptState::Ended);
        EarlierAttempt { state, age: now - self.started_at }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether it is in flight on this connection.
    pub(super) fn is_on(&self, connection: ConnId) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.connection == connection)
    }

    /// How far its message is; `None` once it has ended.
    pub(super) fn stage(&self) -> Option<DeliveryState> {
        self.in_flight.as_ref().map(|in_flight| in_flight.message.delivery_state())
    }

    /// Whether no byte of it is written.
    fn is_unsent(&self) -> bool {
        matches!(self.stage(), Some(DeliveryState::Queued | DeliveryState::Recalled))
    }
}

/// When the decision module learns of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// At once.
    Now,
    /// In the next batch: the result follows from the module's own action.
    NextBatch,
}

/// What a server reports with its answer.
struct AttemptReport {
    fill: FillReport,
    /// How long it waited for the fill source.
    source_wait: Ms,
    load: LoadReport,
    /// The answer has the object's bytes.
    body_complete: bool,
}

const NO_REPORT: AttemptReport = AttemptReport {
    fill: FillReport::NotReported,
    source_wait: 0.0,
    load: LoadReport { in_flight: None, cpu_utilization: None, hit_ratio: None, fill_load: None },
    body_complete: false,
};
