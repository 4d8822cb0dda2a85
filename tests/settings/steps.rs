//! Random steps, applied to a [`World`].

use crate::common::{self, request_id, FILL_REPORTS};
use crate::generators::Step;
use crate::world::{Checked, Seen, World};
use basaltgw::api::*;
use proptest::prelude::*;

/// One of some items, selected by a random number.
fn pick<T: Clone>(items: &[T], number: usize) -> Option<T> {
    (!items.is_empty()).then(|| items[number % items.len()].clone())
}

impl World {
    /// Applies a step. `count` numbers the request that it may send.
    pub fn step(&mut self, step: Step, fleet: &[Endpoint], count: usize) -> Checked {
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
            Step::End { pick: number, end, fill_report, delay, wait } => {
                let Some((id, n)) = pick(&self.in_flight(), number) else { return Ok(()) };
                self.finish(&id, n, AttemptResult::ALL[end], FILL_REPORTS[fill_report], delay, wait)
            }
            Step::Unknown { pick: number, attempt, end } => self.finish_unknown(number, attempt, end),
            Step::StartResponse { pick: number } => {
                let unanswered = self.in_flight().into_iter().filter(|(id, _)| self.seen[id].answers == 0);
                let Some((id, n)) = pick(&unanswered.collect::<Vec<_>>(), number) else { return Ok(()) };
                self.seen.get_mut(&id).expect("seen").answers = 1;
                self.handle(Event::ResponseStarted { request: id, attempt: AttemptNo(n) })
            }
            Step::Disconnect { pick: number } => {
                let Some(id) = pick(&self.unanswered(), number) else { return Ok(()) };
                self.seen.get_mut(&id).expect("seen").answers = 1;
                self.handle(Event::ClientDisconnected(id))
            }
            Step::ListOne { server, listed, started } => {
                let Some(entry) = pick(fleet, server) else { return Ok(()) };
                let states = [EndpointState::Up, EndpointState::Draining, EndpointState::Removed];
                let (state, started) = (states[listed as usize], started.map(|ago| self.now + ago));
                self.list(EndpointUpdate::Delta, vec![Endpoint { state, started, ..entry }])
            }
            Step::CompleteList { keep } => {
                let remaining = fleet.iter().enumerate().filter(|(n, _)| keep >> (n % 8) & 1 == 1);
                self.list(EndpointUpdate::Complete, remaining.map(|(_, e)| e.clone()).collect())
            }
            Step::Purge { object, group, age } => {
                self.purges.push((object, group, self.now - age, self.now));
                self.handle(Event::Purged { group: GroupId(group), object: object.map(ObjectId), age })
            }
            Step::Stop { span } => self.stop(span),
            Step::Wait { span } => self.advance(span),
        }
    }

    /// Requests without a final answer.
    fn unanswered(&self) -> Vec<RequestId> {
        let unanswered = self.seen.iter().filter(|(_, seen)| seen.answers == 0);
        unanswered.map(|(id, _)| id.clone()).collect()
    }

    fn request(&mut self, request: Request) -> Checked {
        let seen = Seen {
            class: request.class.map(|c| c.0).filter(|c| *c < self.settings.classes.len()),
            object: request.object.0,
            due: self.now + request.budget.max(0.0),
            answers: 0,
            attempts: Vec::new(),
            executed_since: None,
        };
        self.seen.insert(request.id.clone(), seen);
        self.handle(Event::Request(request))
    }

    /// Ends an unknown or finished attempt, of an unknown request or any other.
    fn finish_unknown(&mut self, number: usize, attempt: usize, end: usize) -> Checked {
        let requested: Vec<RequestId> = self.seen.keys().cloned().collect();
        let id = requested.get(number % (requested.len() + 1)).cloned().unwrap_or_else(|| request_id(9999));
        let attempts = self.seen.get(&id).map_or(&[][..], |s| &s.attempts);
        if attempts.get(attempt).is_some_and(|t| !t.over) {
            return Ok(());
        }
        let result = match AttemptResult::ALL[end] {
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

    /// Stops the process for a duration.
    fn stop(&mut self, span: Ms) -> Checked {
        self.now += span;
        // Expired requests have to be answered with the first batch.
        let now = self.now;
        let late: Vec<RequestId> =
            self.unanswered().into_iter().filter(|id| self.seen[id].due < now).collect();
        late.iter().for_each(|id| self.seen.get_mut(id).expect("seen").due = now);
        self.process_due()?;
        prop_assert!(late.iter().all(|id| self.seen[id].answers == 1), "not answered after a stop");
        Ok(())
    }
}
