//! How a scatter-gather request ends: with a complete or partial answer, rejected, failed, or cancelled.

use super::{PartsAnswer, Stage};
use crate::caches::RequestNo;
use crate::clients::parts::encode_parts_answer;
use crate::clients::{encode_answer, Reply};
use crate::outbox::BufferedBytes;
use crate::owner::requester::Delivered;
use crate::owner::Owner;
use basaltgw::api::Ms;
use basaltgw_scatter_gather::{Event, GatherNo, PartNo, UsedPart, Verdict};
use std::sync::Arc;

/// An answer's parts: the header fields, and the bodies in the same order.
struct AnswerParts {
    response: PartsAnswer,
    bodies: Vec<BufferedBytes>,
}

impl AnswerParts {
    fn new(parts: Vec<(PartNo, BufferedBytes)>) -> Self {
        let lengths = parts.iter().map(|(part, body)| (part.0, body.bytes().len())).collect();
        let response = PartsAnswer { parts: lengths, ..PartsAnswer::default() };
        Self { response, bodies: parts.into_iter().map(|(_, body)| body).collect() }
    }

    fn numbers(&self) -> Vec<u64> {
        self.response.parts.iter().map(|(part, _)| u64::from(*part)).collect()
    }
}

impl Owner {
    /// Ends a request by the engine's verdict.
    pub(super) fn on_verdict(&mut self, gather: GatherNo, verdict: Verdict) {
        match verdict {
            Verdict::Complete { used } => self.on_complete(gather, &used),
            Verdict::Partial { used, missing, store_continuation, retry_after } => {
                // Parts that the policy omits are not available later: the answer has no Retry-After for them.
                self.on_partial(gather, &used, &missing, store_continuation.then_some(retry_after));
            }
            Verdict::Rejected { retry_after } => {
                self.reply_without_parts(gather, Reply::Rejected(retry_after));
            }
            Verdict::Failed => self.reply_without_parts(gather, Reply::Failed),
            Verdict::Invalid(reason) => {
                log::debug!("scatter-gather request {}: {reason}", gather.0);
                self.reply_without_parts(gather, Reply::Failed);
            }
        }
    }

    /// Collects the parts of an answer; fails the request if a body is missing.
    fn take_answer_parts(&mut self, gather: GatherNo, used: &[UsedPart]) -> Option<AnswerParts> {
        let state = self.scatter_gather.as_mut()?;
        let parts = state.take_bodies(gather, used);
        if !state.open.contains_key(&gather) {
            return None;
        }
        let Some(parts) = parts else {
            log::error!("scatter-gather request {}: the body of a part is missing", gather.0);
            self.reply_without_parts(gather, Reply::Failed);
            return None;
        };
        Some(AnswerParts::new(parts))
    }

    fn on_complete(&mut self, gather: GatherNo, used: &[UsedPart]) {
        let Some(parts) = self.take_answer_parts(gather, used) else { return };
        let continuation = self.take_continuation(gather);
        if let Some(continuation) = continuation {
            self.shrink_continuation(continuation, &parts.numbers());
        }
        self.send_parts(gather, parts.response, &parts.bodies, self.time.now);
    }

    /// Sends a partial answer. `retry_after` is given if a continuation is to be stored for the missing parts.
    fn on_partial(
        &mut self,
        gather: GatherNo,
        used: &[UsedPart],
        missing: &[PartNo],
        retry_after: Option<Ms>,
    ) {
        let Some(mut parts) = self.take_answer_parts(gather, used) else { return };
        parts.response.missing = missing.iter().map(|part| part.0).collect();
        parts.response.retry_after_ms = retry_after;
        if let Some(continuation) = self.take_continuation(gather) {
            parts.response.continuation = Some(continuation.name);
            self.shrink_continuation(continuation, &parts.numbers());
            return self.send_parts(gather, parts.response, &parts.bodies, self.time.now);
        }
        match (retry_after, used.first()) {
            (Some(_), Some(first)) => {
                self.store_continuation(gather, Arc::clone(&first.version), parts.response, parts.bodies);
            }
            (Some(_), None) => self.reply_without_parts(gather, Reply::Failed),
            (None, _) => self.send_parts(gather, parts.response, &parts.bodies, self.time.now),
        }
    }

    /// Sends parts to the client. `decided_at` is the time of the engine's verdict.
    pub(super) fn send_parts(
        &mut self,
        gather: GatherNo,
        mut response: PartsAnswer,
        bodies: &[BufferedBytes],
        decided_at: Ms,
    ) {
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(open) = state.open.remove(&gather) else { return };
        let complete = response.missing.is_empty();
        match complete {
            true => state.counters.complete += 1,
            false => state.counters.partial += 1,
        }
        bodies.iter().for_each(|body| response.body.extend_from_slice(body.bytes()));
        let client = open.client;
        let bytes = encode_parts_answer(client.tag, &response);
        let delivered = self.clients.send_response(self.time.now, client, bytes);
        if delivered == Delivered::ToClient && complete {
            self.counters.clients.count_reply(&Reply::Served(&[]));
        }
        self.dispatch_scatter_gather(Event::AnswerSent { assembly_time: self.time.now - decided_at });
    }

    /// Sends a reply without parts, and ends the request.
    pub(super) fn reply_without_parts(&mut self, gather: GatherNo, reply: Reply<'_>) {
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(open) = state.open.remove(&gather) else { return };
        match reply {
            Reply::Rejected(_) => state.counters.rejected += 1,
            Reply::Failed | Reply::Served(_) | Reply::NotModified => state.counters.failed += 1,
        }
        let client = open.client;
        let bytes = encode_answer(client.tag, reply);
        if self.clients.send_response(self.time.now, client, bytes) == Delivered::ToClient {
            self.counters.clients.count_reply(&reply);
        }
    }

    /// Cancels a request whose client no longer waits; returns false if it is no scatter-gather request.
    pub(in crate::owner) fn cancel_scatter_gather(&mut self, number: RequestNo) -> bool {
        let Some(state) = &mut self.scatter_gather else { return false };
        let gather = GatherNo(number.0);
        let Some(open) = state.open.remove(&gather) else { return false };
        state.counters.cancelled += 1;
        self.counters.clients.cancelled.increment();
        match open.stage {
            Stage::ReadingContinuation => {}
            Stage::Gathering => self.dispatch_scatter_gather(Event::Cancelled(gather)),
            // No client has received the name of the continuation.
            Stage::StoringContinuation(answer) => self.expire_continuation(&answer.continuation),
        }
        true
    }
}
