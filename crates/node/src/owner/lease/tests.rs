//! A leased request with an owner and a stand-in for the replication thread: in every order of events the request has one response, is
//! executed at most once, and leaves no lease.

mod abandoned;

use super::request_fingerprint;
use crate::caches::{ConnId, ConnectionFailure, RequestNo, ServerAnswer};
use crate::connection::CloseReason;
use crate::fleet::stand_in::{fleet, StandIn};
use crate::fleet::{ControlNotification, ControlRequest};
use crate::outbox::{DeliveryState, OutgoingMessage};
use crate::owner::attempts::InFlight;
use crate::owner::tests::{cancellation, owner, request_with, CLIENT};
use crate::owner::Owner;
use crate::Input;
use basaltgw_registers::{
    transition, Change, Kind, Outcome, Record, RecordKey, RequestNumber, Response, UnavailableReason,
};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

/// An event that may happen next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The oldest change is answered: it was committed or not, and the response says so or leaves it open.
    Committed,
    NotCommitted,
    UnknownCommitted,
    UnknownNotCommitted,
    /// The response to the change is overdue.
    ResponseOverdue,
    /// A lease that another router holds is polled.
    Poll,
    /// The client cancels the request, or closes its connection.
    ClientCancels,
    ClientCloses,
    /// The attempt is written, answered with this result, or its connection is closed.
    Written,
    Ok,
    Rejected,
    Error,
    ConnectionClosed,
    /// The process may have been paused.
    Paused,
}

/// A stand-in for the replication thread and the replicas: one register that changes at once.
struct Replicas {
    thread: StandIn,
    record: Option<Record>,
    pending: VecDeque<(RequestNumber, Change)>,
    /// Changes without a time limit, for which nobody waits.
    background: VecDeque<Change>,
}

impl Replicas {
    fn apply(&mut self, change: &Change) -> Response {
        match transition(self.record.as_ref(), change) {
            Ok(next) => {
                self.record = Some(next.clone());
                Response::Committed(next)
            }
            Err(_) => Response::Conflict(self.record.clone()),
        }
    }

    fn take_requests(&mut self) {
        while let Ok(request) = self.thread.requests.pop() {
            match request {
                ControlRequest::ChangeRecord { number, change, .. } => {
                    self.pending.push_back((number, change));
                }
                ControlRequest::ChangeInBackground(_, change) => self.background.push_back(change),
                other => panic!("{other:?}"),
            }
        }
    }

    /// Answers the oldest change; false if there was none.
    fn answer(&mut self, step: Step) -> bool {
        let Some((number, change)) = self.pending.pop_front() else { return false };
        let unavailable = |not_executed| Response::Unavailable {
            not_executed,
            reason: UnavailableReason::DeadlineExceeded,
            retry_after: 100.0,
        };
        let response = match step {
            Step::NotCommitted => unavailable(true),
            Step::UnknownCommitted => {
                self.apply(&change);
                unavailable(false)
            }
            Step::UnknownNotCommitted => unavailable(false),
            _ => self.apply(&change),
        };
        // The replication thread makes these changes by itself.
        match (&response, &change) {
            (Response::Unavailable { not_executed: false, .. }, Change::Acquire(me)) => match &self.record {
                Some(Record::Leased { owner, term }) if owner == me => {
                    self.background.push_back(Change::Release(me.clone(), *term))
                }
                _ => {}
            },
            (Response::Unavailable { .. }, Change::Complete(..)) => self.background.push_back(change),
            _ => {}
        }
        self.thread.notifications.push(ControlNotification::Response(number, response)).expect("capacity");
        true
    }

    fn apply_background(&mut self) {
        while let Some(change) = self.background.pop_front() {
            self.apply(&change);
        }
    }
}

struct Scenario {
    owner: Owner,
    replicas: Replicas,
    responses: async_channel::Receiver<Rc<OutgoingMessage>>,
    response_count: usize,
    client_left: bool,
    /// An attempt was completely written, and not rejected by its server.
    executed: bool,
    /// Connections on which an attempt was answered or that were closed; a server answers an attempt once.
    answered_on: Vec<ConnId>,
}

const NO: RequestNo = RequestNo(1);

impl Scenario {
    fn new() -> Self {
        let (mut owner, responses) = owner();
        let (fleet, thread) = fleet(64);
        owner.join_fleet(fleet);
        let write = request_with(&owner, 1, |write| {
            (write.class, write.body) = ("loan".into(), b"borrow".to_vec());
        });
        owner.batch(&mut vec![write]);
        let (pending, background) = Default::default();
        let mut scenario = Self {
            owner,
            replicas: Replicas { thread, record: None, pending, background },
            responses,
            response_count: 0,
            client_left: false,
            executed: false,
            answered_on: Vec::new(),
        };
        scenario.replicas.take_requests();
        scenario
    }

    fn key() -> RecordKey {
        RecordKey { kind: Kind::Execution, name: 1 }
    }

    /// The attempt that is in flight.
    fn in_flight(&self) -> Option<InFlight> {
        let pending = self.owner.requests.get(NO)?;
        pending.attempts.iter().rev().find_map(|a| a.in_flight.clone())
    }

    /// The owner's input for a step, if the step is possible now and has one.
    fn input(&mut self, step: Step) -> Option<Input> {
        let answer = |result: &str, at| {
            let fields = b"ver=1,born=5,note=via_origin,waited=0".to_vec();
            let elements =
                vec![format!("{:016x}", 1).into_bytes(), result.into(), fields, b"receipt".to_vec()];
            let answer = ServerAnswer::decode(elements, &[]).expect("an answer");
            Some(Input::ServerAnswer(at, Box::new(answer)))
        };
        let in_flight = self
            .in_flight()
            .filter(|of| !self.answered_on.contains(&of.connection))
            .map(|of| (of.connection, of.message.delivery_state() == DeliveryState::Written, of.message));
        match (step, in_flight) {
            (
                Step::Committed | Step::NotCommitted | Step::UnknownCommitted | Step::UnknownNotCommitted,
                _,
            ) => self.replicas.answer(step).then_some(Input::Fleet),
            (Step::ClientCancels, _) => {
                self.client_left = true;
                Some(cancellation(self.owner.time.clock.now()))
            }
            (Step::ClientCloses, _) => {
                self.client_left = true;
                Some(Input::ClientClosed(CLIENT))
            }
            (Step::Written, Some((at, false, message)))
                if message.delivery_state() == DeliveryState::Queued =>
            {
                // An attempt may be sent only while this router holds the lease.
                let me = self.owner.fleet.as_ref().map(|f| f.me.clone()).expect("a fleet");
                assert!(
                    matches!(&self.replicas.record, Some(Record::Leased { owner, .. }) if *owner == me),
                    "the attempt is sent while the record is {:?}",
                    self.replicas.record
                );
                message.mark_written();
                Some(Input::ServerConnected(at))
            }
            (Step::Ok | Step::Error | Step::Rejected, Some((at, true, _))) => {
                self.answered_on.push(at);
                let result = match step {
                    Step::Ok => "ok",
                    Step::Error => "error",
                    _ => "refused",
                };
                self.executed |= !matches!(step, Step::Rejected);
                answer(result, at)
            }
            (Step::ConnectionClosed, Some((at, written, _))) => {
                self.executed |= written;
                self.answered_on.push(at);
                Some(Input::ServerDisconnected(at, ConnectionFailure::Closed(CloseReason::PeerClosed)))
            }
            (_, _) => None,
        }
    }

    fn batch(&mut self, mut inputs: Vec<Input>, client_had_left: bool) {
        let made = self.owner.counters.attempts.made.get();
        self.owner.batch(&mut inputs);
        self.replicas.take_requests();
        if client_had_left {
            let made_after = self.owner.counters.attempts.made.get();
            assert_eq!(made_after, made, "an attempt for a client that has left");
        }
        while self.responses.try_recv().is_ok() {
            self.response_count += 1;
        }
        assert!(self.response_count <= 1, "{} responses", self.response_count);
    }

    /// Performs steps in one batch.
    fn steps(&mut self, together: &[Step]) {
        let (mut inputs, client_had_left) = (Vec::new(), self.client_left);
        for step in together {
            match step {
                Step::ResponseOverdue => {
                    let pending: Vec<RequestNumber> =
                        self.owner.fleet.iter().flat_map(|f| f.pending.keys().copied()).collect();
                    pending.into_iter().for_each(|number| self.owner.on_lease_timeout(NO, number));
                }
                Step::Poll => self.owner.poll_lease(NO),
                Step::Paused => self.owner.on_batch_gap(1_000.0),
                _ => inputs.extend(self.input(*step)),
            }
        }
        self.batch(inputs, client_had_left);
    }

    /// Completes all changes and attempts, and disconnects the client.
    fn finish(&mut self) {
        for _ in 0..12 {
            self.steps(&[Step::Committed, Step::ConnectionClosed]);
            self.replicas.apply_background();
            self.steps(&[Step::ResponseOverdue]);
        }
        self.steps(&[Step::ClientCloses]);
        // Aborted attempts end with their connections.
        for _ in 0..4 {
            let aborting = self.owner.upstream.aborting.iter();
            let connections: Vec<_> = aborting.map(|aborting| aborting.connection).collect();
            self.executed |= !connections.is_empty();
            let closed = connections
                .into_iter()
                .map(|at| Input::ServerDisconnected(at, ConnectionFailure::Closed(CloseReason::PeerClosed)));
            self.batch(closed.collect(), true);
            self.steps(&[Step::Committed]);
            self.replicas.apply_background();
        }
    }

    fn check_nothing_is_left(&self) {
        assert!(self.owner.requests.is_empty(), "a request is left");
        let fleet = self.owner.fleet.as_ref().expect("a fleet");
        assert!(fleet.pending.is_empty(), "changes are left: {:?}", fleet.pending);
        let record = &self.replicas.record;
        assert!(!matches!(record, Some(Record::Leased { .. })), "a lease is left: {record:?}");
        let free = matches!(record, None | Some(Record::Released { .. }));
        assert!(
            !(self.executed && free),
            "the request was executed, and {record:?} permits a second execution"
        );
    }
}

fn step_strategy() -> impl Strategy<Value = Step> {
    use Step::*;
    let all = [
        Committed,
        NotCommitted,
        UnknownCommitted,
        UnknownNotCommitted,
        ResponseOverdue,
        Poll,
        ClientCancels,
        ClientCloses,
        Written,
        Ok,
        Rejected,
        Error,
        ConnectionClosed,
        Paused,
    ];
    // The steps of a request without faults are more frequent.
    prop_oneof![
        3 => Just(Committed),
        3 => Just(Written),
        2 => Just(Ok),
        10 => prop::sample::select(all.to_vec()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    #[test]
    fn leased_request_in_every_order_of_events_has_one_response_and_one_execution_and_leaves_no_lease(
        batches in prop::collection::vec(prop::collection::vec(step_strategy(), 1..4), 0..8)
    ) {
        let mut scenario = Scenario::new();
        batches.iter().for_each(|together| scenario.steps(together));
        scenario.finish();
        scenario.check_nothing_is_left();
    }
}

#[test]
fn outcome_whose_client_left_while_it_was_being_stored_is_stored_still() {
    for client_leaves in [Step::ClientCancels, Step::ClientCloses] {
        let mut scenario = Scenario::new();
        let pending = scenario.owner.requests.get(NO).expect("a request");
        let request = pending.fingerprint.expect("a fingerprint");
        for step in [Step::Committed, Step::Written, Step::Ok] {
            scenario.steps(&[step]);
        }
        assert!(matches!(scenario.replicas.pending.front(), Some((_, Change::Complete(..)))));
        scenario.steps(&[client_leaves]);
        scenario.steps(&[Step::NotCommitted]);
        scenario.replicas.apply_background();
        let outcome = Outcome::ServedRequest { request, body: b"receipt".to_vec() };
        assert_eq!(scenario.replicas.record, Some(Record::Completed(outcome)));
        scenario.check_nothing_is_left();
    }
}

#[test]
fn lease_of_a_later_term_is_not_released_by_the_release_of_an_earlier_one() {
    let mut scenario = Scenario::new();
    scenario.steps(&[Step::ClientCancels]);
    scenario.steps(&[Step::Committed]);
    let releases: Vec<_> = scenario.replicas.background.iter().cloned().collect();
    let me = scenario.owner.fleet.as_ref().map(|f| f.me.clone()).expect("a fleet");
    assert_eq!(releases, [Change::Release(me.clone(), 0)], "the release has the term");
    // Before the release takes effect, the request is leased again and executed.
    scenario.replicas.record = Some(Record::Leased { owner: me, term: 1 });
    scenario.replicas.apply_background();
    assert!(matches!(scenario.replicas.record, Some(Record::Leased { term: 1, .. })));
}

#[test]
fn changes_that_find_the_ring_full_are_pushed_later_in_order() {
    let (mut fleet, mut thread) = fleet(2);
    (0..6).for_each(|term| fleet.release(Scenario::key(), term));
    assert!(
        fleet.change_record(NO, Scenario::key(), Change::Read, 100.0).is_none(),
        "the backlog goes first"
    );
    let mut terms = Vec::new();
    while let Ok(request) = thread.requests.pop() {
        if let ControlRequest::ChangeInBackground(_, Change::Release(_, term)) = request {
            terms.push(term);
        }
        fleet.flush();
    }
    assert_eq!((terms, fleet.counters.backlog_dropped), (vec![0, 1, 2, 3, 4, 5], 0));
    assert!(fleet.change_record(NO, Scenario::key(), Change::Read, 100.0).is_some());
}

#[test]
fn shutdown_with_a_full_ring_follows_all_earlier_requests() {
    let (mut fleet, thread) = fleet(2);
    (0..6).for_each(|term| fleet.release(Scenario::key(), term));
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let into = Arc::clone(&seen);
    fleet.start_stand_in(thread, move |request| {
        let last = matches!(request, ControlRequest::Shutdown(_));
        into.lock().expect("a list").push(format!("{request:?}"));
        !last
    });
    assert_eq!(fleet.shut_down(), None);
    let seen = seen.lock().expect("a list");
    assert!(seen.len() == 7 && seen[6].starts_with("Shutdown"), "{seen:?}");
}
