//! Random steps, applied to a [`World`].

use crate::common::{self, request_id, FILL_REPORTS};
use crate::generators::Step;
use crate::world::{CheckResult, TrackedPurge, TrackedRequest, World};
use basaltgw::api::*;
use proptest::prelude::*;

/// The item that a random number selects; `None` if there are no items.
fn select_item<T: Clone>(items: &[T], number: usize) -> Option<T> {
    (!items.is_empty()).then(|| items[number % items.len()].clone())
}

impl World {
    /// Applies a step. `count` numbers the request that it may send.
    pub fn step(&mut self, step: Step, fleet: &[Endpoint], count: usize) -> CheckResult {
        match step {
            Step::Request { class, object, part, budget, size, write } => self.request(Request {
                id: request_id(count),
                class: class.map(ClassId),
                object: ObjectId(object),
                part: Part(part),
                group: GroupId(object % 3),
                size_kb: size,
                write,
                budget,
            }),
            Step::FinishAttempt { pick: number, result, fill_report, latency, source_wait } => {
                let Some((id, n)) = select_item(&self.in_flight(), number) else { return Ok(()) };
                let (result, fill_report) = (AttemptResult::ALL[result], FILL_REPORTS[fill_report]);
                self.finish(&id, n, result, fill_report, latency, source_wait)
            }
            Step::FinishUnknownAttempt { pick: number, attempt, result } => {
                self.finish_unknown(number, attempt, result)
            }
            Step::StartResponse { pick: number } => {
                let unanswered = self.in_flight().into_iter().filter(|(id, _)| self.tracked[id].answers == 0);
                let Some((id, n)) = select_item(&unanswered.collect::<Vec<_>>(), number) else {
                    return Ok(());
                };
                self.tracked.get_mut(&id).expect("a tracked request").answers = 1;
                self.handle(Event::ResponseStarted { request: id, attempt: AttemptNo(n) })
            }
            Step::Disconnect { pick: number } => {
                let Some(id) = select_item(&self.unanswered(), number) else { return Ok(()) };
                self.tracked.get_mut(&id).expect("a tracked request").answers = 1;
                self.handle(Event::ClientDisconnected(id))
            }
            Step::ListOne { server, state, started } => {
                let Some(entry) = select_item(fleet, server) else { return Ok(()) };
                let states = [EndpointState::Up, EndpointState::Draining, EndpointState::Removed];
                let (state, started) = (states[state as usize], started.map(|offset| self.now + offset));
                self.list(EndpointUpdate::Delta, vec![Endpoint { state, started, ..entry }])
            }
            Step::CompleteList { kept } => {
                let remaining = fleet.iter().enumerate().filter(|(n, _)| kept >> (n % 8) & 1 == 1);
                self.list(EndpointUpdate::Complete, remaining.map(|(_, e)| e.clone()).collect())
            }
            Step::Purge { object, group, age } => {
                let (purged_at, notified_at) = (self.now - age, self.now);
                self.purges.push(TrackedPurge { object, group, purged_at, notified_at });
                self.handle(Event::Purged { group: GroupId(group), object: object.map(ObjectId), age })
            }
            Step::StopProcess { duration } => self.stop(duration),
            Step::Wait { duration } => self.advance(duration),
        }
    }

    /// Requests without a final answer.
    fn unanswered(&self) -> Vec<RequestId> {
        let unanswered = self.tracked.iter().filter(|(_, tracked)| tracked.answers == 0);
        unanswered.map(|(id, _)| id.clone()).collect()
    }

    fn request(&mut self, request: Request) -> CheckResult {
        let tracked = TrackedRequest {
            class: request.class.map(|c| c.0).filter(|c| *c < self.settings.classes.len()),
            object: request.object.0,
            answer_due_at: self.now + request.budget.max(0.0),
            answers: 0,
            attempts: Vec::new(),
            executed_since: None,
        };
        self.tracked.insert(request.id.clone(), tracked);
        self.handle(Event::Request(request))
    }

    /// Reports an outcome of an attempt that is not in flight, of an unknown request or of a tracked one.
    fn finish_unknown(&mut self, number: usize, attempt: usize, result: usize) -> CheckResult {
        let requested: Vec<RequestId> = self.tracked.keys().cloned().collect();
        let id = requested.get(number % (requested.len() + 1)).cloned().unwrap_or_else(|| request_id(9999));
        let attempts = self.tracked.get(&id).map_or(&[][..], |request| &request.attempts);
        if attempts.get(attempt).is_some_and(|attempt| !attempt.finished) {
            return Ok(());
        }
        let result = match AttemptResult::ALL[result] {
            AttemptResult::Served => AttemptResult::ConnectionLost,
            other => other,
        };
        self.handle(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(attempt),
            server: common::server_id("nobody"),
            result,
            latency: 10.0,
            completes_request: false,
            fill_report: FillReport::NotReported,
            source_wait: 0.0,
            load: LoadReport::default(),
            body_complete: true,
        }))
    }

    /// Stops the process for a duration in milliseconds.
    fn stop(&mut self, duration: Ms) -> CheckResult {
        self.now += duration;
        // Requests that expired meanwhile must be answered with the first batch.
        let now = self.now;
        let late: Vec<RequestId> =
            self.unanswered().into_iter().filter(|id| self.tracked[id].answer_due_at < now).collect();
        late.iter().for_each(|id| self.tracked.get_mut(id).expect("a tracked request").answer_due_at = now);
        self.process_due()?;
        prop_assert!(late.iter().all(|id| self.tracked[id].answers == 1), "not answered after a stop");
        Ok(())
    }
}
