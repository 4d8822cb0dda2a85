//! Continuations: replicated records of the parts that a partial answer leaves out. A continuation is stored before the answer names it, so
//! that each router can read it when the client requests the missing parts.

use super::{BufferedBytes, PartialAnswer, PartsAnswer, RequestedPart, Stage};
use crate::caches::RequestNo;
use crate::clients::Reply;
use crate::fleet::start::random_u128;
use crate::owner::lease::RESPONSE_WRITE_MARGIN_MS;
use crate::owner::Owner;
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use basaltgw_scatter_gather::GatherNo;
use std::sync::Arc;

/// The missing parts of a partial answer.
pub(super) struct Continuation {
    /// The name of the record, which the client presents.
    pub(super) name: u128,
    pub(super) object: u64,
    /// The version of the object that the partial answer has.
    pub(super) version: Arc<str>,
    pub(super) missing: Vec<u64>,
}

impl Continuation {
    fn record_change(&self) -> Change {
        let (object, version, missing) = (self.object, Arc::clone(&self.version), self.missing.clone());
        Change::SetContinuation { object, version, missing }
    }
}

fn record_key(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Continuation, name }
}

/// Whether a continuation was stored in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreOutcome {
    Stored,
    NotStored,
}

impl Owner {
    pub(super) fn take_continuation(&mut self, gather: GatherNo) -> Option<Continuation> {
        self.scatter_gather.as_mut()?.open.get_mut(&gather)?.continuation.take()
    }

    /// Requests a change of a continuation's record; returns false for want of time or capacity.
    fn change_continuation(&mut self, gather: GatherNo, name: u128, change: Change) -> bool {
        let open = self.scatter_gather.as_ref().and_then(|state| state.open.get(&gather));
        let deadline = open.map_or(0.0, |open| open.deadline);
        let Some(fleet) = &mut self.fleet else { return false };
        let time_left = deadline - self.time.now - RESPONSE_WRITE_MARGIN_MS;
        let timeout = fleet.settings.lease_timeout.min(time_left);
        timeout > 0.0 && fleet.change_record(RequestNo(gather.0), record_key(name), change, timeout).is_some()
    }

    /// Reads the continuation of a client that requests the missing parts of an earlier answer.
    pub(super) fn read_continuation(&mut self, gather: GatherNo, name: u128) {
        let Some(open) = self.scatter_gather.as_mut().and_then(|state| state.open.get_mut(&gather)) else {
            return;
        };
        let (object, version) = (open.request.object.0, Arc::from(""));
        open.continuation = Some(Continuation { name, object, version, missing: Vec::new() });
        if !self.change_continuation(gather, name, Change::Read) {
            let retry_after = self.fleet.as_ref().map_or(0.0, |fleet| fleet.settings.retry_after);
            self.reply_without_parts(gather, Reply::Rejected(retry_after));
        }
    }

    /// Stores a continuation for the missing parts of an answer; the answer is sent afterwards.
    pub(super) fn store_continuation(
        &mut self,
        gather: GatherNo,
        version: Arc<str>,
        response: PartsAnswer,
        bodies: Vec<BufferedBytes>,
    ) {
        let decided_at = self.time.now;
        let Some(open) = self.scatter_gather.as_mut().and_then(|state| state.open.get_mut(&gather)) else {
            return;
        };
        let missing: Vec<u64> = response.missing.iter().map(|part| u64::from(*part)).collect();
        let object = open.request.object.0;
        let continuation = Continuation { name: random_u128(), object, version, missing };
        let (name, change) = (continuation.name, continuation.record_change());
        let answer = PartialAnswer { continuation, response, bodies, decided_at };
        open.stage = Stage::StoringContinuation(Box::new(answer));
        if !self.change_continuation(gather, name, change) {
            self.send_partial_answer(gather, StoreOutcome::NotStored);
        }
    }

    /// Sends the answer that waited for its continuation. If the continuation could not be stored, the answer names none; the parts are
    /// missing all the same.
    fn send_partial_answer(&mut self, gather: GatherNo, outcome: StoreOutcome) {
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(open) = state.open.get_mut(&gather) else { return };
        let Stage::StoringContinuation(answer) = std::mem::replace(&mut open.stage, Stage::Gathering) else {
            return;
        };
        let PartialAnswer { continuation, mut response, bodies, decided_at } = *answer;
        match outcome {
            StoreOutcome::Stored => {
                response.continuation = Some(continuation.name);
                state.counters.continuations_stored += 1;
            }
            StoreOutcome::NotStored => {
                response.continuation = None;
                state.counters.continuations_failed += 1;
            }
        }
        self.send_parts(gather, response, &bodies, decided_at);
    }

    /// Handles the response to a change of a continuation's record; returns it if the request is no scatter-gather request.
    pub(in crate::owner) fn on_continuation_response(
        &mut self,
        number: RequestNo,
        response: Response,
    ) -> Option<Response> {
        let gather = GatherNo(number.0);
        let Some(open) = self.scatter_gather.as_mut().and_then(|state| state.open.get_mut(&gather)) else {
            return Some(response);
        };
        match &open.stage {
            Stage::ReadingContinuation => self.on_continuation_read(gather, response),
            Stage::StoringContinuation(_) => {
                let is_stored = matches!(response, Response::Committed(Record::Continuation { .. }));
                let outcome = if is_stored { StoreOutcome::Stored } else { StoreOutcome::NotStored };
                self.send_partial_answer(gather, outcome);
            }
            Stage::Gathering => {}
        }
        None
    }

    /// Starts gathering by the record of the continuation that a client names.
    fn on_continuation_read(&mut self, gather: GatherNo, response: Response) {
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(open) = state.open.get_mut(&gather) else { return };
        let record = match response {
            Response::Committed(record) => Some(record),
            Response::Conflict(record) => record,
            Response::Unavailable { retry_after, .. } => {
                return self.reply_without_parts(gather, Reply::Rejected(retry_after));
            }
        };
        let are_missing = |parts: &[RequestedPart], missing: &[u64]| {
            parts.iter().all(|(part, _)| missing.contains(&u64::from(part.0)))
        };
        match (record, &mut open.continuation) {
            (Some(Record::Continuation { object, version, missing }), Some(continuation))
                if object == continuation.object && are_missing(&open.parts, &missing) =>
            {
                (continuation.version, continuation.missing) = (version, missing);
                self.start_gathering(gather);
            }
            // The continuation never existed, is completed, has expired, or does not have these parts.
            (_, _) => {
                state.counters.continuations_unknown += 1;
                self.reply_without_parts(gather, Reply::Failed);
            }
        }
    }

    /// Removes delivered parts from a continuation. The record is changed in the background.
    pub(super) fn shrink_continuation(&mut self, mut continuation: Continuation, delivered: &[u64]) {
        continuation.missing.retain(|part| !delivered.contains(part));
        if continuation.missing.is_empty() {
            if let Some(state) = &mut self.scatter_gather {
                state.counters.continuations_completed += 1;
            }
            self.expire_continuation(&continuation);
        } else if let Some(fleet) = &mut self.fleet {
            fleet.change_in_background(record_key(continuation.name), continuation.record_change());
        }
    }

    /// Expires a continuation that no client will request any more.
    pub(super) fn expire_continuation(&mut self, continuation: &Continuation) {
        if let Some(fleet) = &mut self.fleet {
            fleet.change_in_background(record_key(continuation.name), Change::Expire);
        }
    }
}
