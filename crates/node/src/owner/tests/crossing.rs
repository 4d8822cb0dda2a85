//! Events that cross each other, in any order.

use super::*;
use crate::caches::ConnId;
use crate::limits::SERVER_WRITE_TIMEOUT;
use crate::outbox::{write_messages, DeliveryState, SendConditions};
use crate::owner::attempts::InFlight;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

/// An endpoint list that has a server at another port.
fn moved(owner: &Owner, id: &ServerId, port: u16) -> Input {
    let endpoint = Endpoint {
        id: id.clone(),
        zone: ZoneId(0),
        role: Role::Edge,
        cell: 0,
        state: EndpointState::Up,
        weight: 1.0,
        started: Some(owner.time.now),
    };
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    Input::WatchEvent(WatchEvent::EndpointList {
        complete: false,
        servers: vec![ListedServer { endpoint, address }],
    })
}

#[test]
fn unsent_attempt_to_a_replaced_server_is_recalled() {
    let (mut owner, _messages) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let home = attempts(&owner, 1)[0].server.clone();
    let list = moved(&owner, &home, 77);
    owner.batch(&mut vec![list]);
    let all = attempts(&owner, 1);
    assert!(
        all.len() == 2 && !all[0].in_flight && all[1].in_flight,
        "the first attempt would go to the former address: {all:?}"
    );
    assert_eq!(owner.counters.attempts.not_sent.get(), 1);
}

#[test]
fn unsent_attempt_to_a_server_removed_and_listed_again_in_one_list_is_recalled() {
    let (mut owner, _messages) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let home = attempts(&owner, 1)[0].server.clone();
    let port = owner.upstream.endpoints[&home].address.port();
    let Input::WatchEvent(WatchEvent::EndpointList { servers: listed_again, .. }) =
        moved(&owner, &home, port)
    else {
        panic!("a list")
    };
    let mut removed = listed_again.clone();
    removed[0].endpoint.state = EndpointState::Removed;
    let servers = removed.into_iter().chain(listed_again).collect();
    owner.batch(&mut vec![Input::WatchEvent(WatchEvent::EndpointList { complete: false, servers })]);
    let all = attempts(&owner, 1);
    assert!(all.len() == 2 && !all[0].in_flight && all[1].in_flight, "{all:?}");
}

#[test]
fn message_whose_start_window_has_passed_is_not_written() {
    let meter = Rc::default();
    let (out, messages) = send_queue(&meter, &Rc::default());
    let by = |at| SendConditions::without_invariant_checks(Some(at), None);
    let late = out.prepare(b"late".to_vec(), by(Instant::now()));
    let in_time = out.prepare(b"in time".to_vec(), by(Instant::now() + SERVER_WRITE_TIMEOUT));
    [&late, &in_time].into_iter().for_each(|message| out.enqueue(message));
    drop(out);
    let mut socket = Vec::new();
    futures_lite::future::block_on(write_messages(&mut socket, messages, futures_lite::future::pending));
    assert_eq!(socket, b"in time");
    assert_eq!(
        (late.delivery_state(), in_time.delivery_state()),
        (DeliveryState::Recalled, DeliveryState::Written)
    );
    assert!(late.recall() && !in_time.recall(), "a message that was not written may be reported as not sent");
}

#[test]
fn answer_counts_only_on_the_connection_on_which_its_request_is_open() {
    let (mut owner, messages) = owner();
    let both = [request(&owner, 1), request(&owner, 2)];
    owner.batch(&mut Vec::from(both));
    let connection = |number| {
        let pending = owner.requests.get(RequestNo(number)).expect("open");
        pending.attempts[0].in_flight.as_ref().expect("in flight").connection
    };
    let (first, second) = (connection(1), connection(2));
    let other = ConnId(first.0.max(second.0) + 1);
    let ok = |id: &str| {
        let elements = [id, "ok", "ver=1,born=1,note=hit", "bytes"].map(|e| e.as_bytes().to_vec());
        ServerAnswer::decode(elements.to_vec(), &[]).map(Box::new).expect("an answer")
    };
    // An answer on another connection, and an answer with an id that no request has.
    owner.batch(&mut vec![
        Input::ServerAnswer(other, ok(&format!("{:016x}", 1))),
        Input::ServerAnswer(first, ok("00000000000000ff")),
    ]);
    assert_eq!((owner.counters.attempts.late_answers.get(), messages.len()), (2, 0));
    // The id of an open request again: that breaks the protocol and gets a failure, and the first request continues.
    let again = request_with(&owner, 3, |again| again.id = WireId(Arc::from(format!("{:016x}", 1))));
    owner.batch(&mut vec![again]);
    assert_eq!(
        (owner.counters.clients.malformed.get(), attempts(&owner, 1).len(), messages.len()),
        (1, 1, 1)
    );
    owner.batch(&mut vec![Input::ServerAnswer(first, ok(&format!("{:016x}", 1)))]);
    assert_eq!((owner.counters.clients.served.get(), messages.len()), (1, 2));
}

/// An event that may happen to the request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Established,
    Validated,
    Written,
    Answer(&'static str),
    AbortConfirmed,
    ConnectFailed,
    ConnectionClosed,
    ClientCancels,
    Drain,
    AddressChanges,
    TimeOut,
    TimePasses,
    /// The events since the last batch are handled in one batch.
    Batch,
}

fn steps() -> impl Strategy<Value = Step> {
    use Step::*;
    let result = prop_oneof![Just("ok"), Just("nothing"), Just("refused"), Just("error"), Just("stale")];
    let progress = prop_oneof![Just(Established), Just(Validated), Just(Written), Just(Batch)];
    let crossed = prop_oneof![
        Just(AbortConfirmed),
        Just(ConnectFailed),
        Just(ConnectionClosed),
        Just(ClientCancels),
        Just(Drain),
        Just(AddressChanges),
        Just(TimeOut)
    ];
    prop_oneof![6 => progress, 2 => result.prop_map(Answer), 3 => crossed, 1 => Just(TimePasses)]
}

/// The client's deadline, by which the final response is due.
const DEADLINE_MS: Ms = 45.0;

/// An owner with one request, and the events so far.
struct Scenario {
    class: &'static str,
    owner: Owner,
    responses: async_channel::Receiver<Rc<OutgoingMessage>>,
    inputs: Vec<Input>,
    established: BTreeSet<ConnId>,
    validated: BTreeSet<ConnId>,
    /// Attempts that were completely written, except those that their server answered without executing them.
    executed: BTreeSet<usize>,
}

impl Scenario {
    fn new(class: &'static str) -> Self {
        let (mut owner, responses) = owner();
        let request = request_with(&owner, 1, |request| {
            (request.class, request.deadline_ms) = (class.into(), DEADLINE_MS);
            if class == "loan" {
                request.body = b"borrow".to_vec();
            }
        });
        owner.batch(&mut vec![request]);
        let (established, validated) = Default::default();
        let executed = BTreeSet::new();
        Self { class, owner, responses, inputs: Vec::new(), established, validated, executed }
    }

    /// The last attempt, if it is in flight.
    fn in_flight(&self) -> Option<(usize, InFlight)> {
        let pending = self.owner.requests.get(RequestNo(1))?;
        let n = pending.attempts.len().checked_sub(1)?;
        Some((n, pending.attempts[n].in_flight.clone()?))
    }

    fn answer(&mut self, connection: ConnId, id: &str, result: &str) {
        let fields: &[u8] = if result == "ok" { b"ver=1,born=1,note=hit" } else { b"-" };
        let elements = vec![id.as_bytes().to_vec(), result.as_bytes().to_vec(), fields.to_vec(), Vec::new()];
        self.inputs.push(Input::ServerAnswer(
            connection,
            ServerAnswer::decode(elements, &[]).map(Box::new).expect("an answer"),
        ));
    }

    fn step(&mut self, step: Step) {
        if let Step::Batch = step {
            return self.batch();
        }
        if let Step::TimePasses = step {
            std::thread::sleep(Duration::from_millis(15));
            return;
        }
        if let Step::ClientCancels = step {
            return self.inputs.push(cancellation(self.owner.time.now));
        }
        let Some((n, InFlight { connection, message })) = self.in_flight() else { return };
        let server = self.owner.requests.get(RequestNo(1)).expect("open").attempts[n].server.clone();
        match step {
            Step::Established => {
                self.established.insert(connection);
                self.inputs.push(Input::ServerConnected(connection));
            }
            Step::Validated if self.established.contains(&connection) => {
                self.validated.insert(connection);
                self.answer(connection, &connection.0.to_string(), "yes");
                self.batch();
            }
            Step::Written
                if self.validated.contains(&connection)
                    && message.delivery_state() == DeliveryState::Queued =>
            {
                message.mark_written();
                self.executed.insert(n);
            }
            Step::Answer(result) if message.delivery_state() == DeliveryState::Written => {
                if matches!(result, "nothing" | "refused" | "stale") {
                    self.executed.remove(&n);
                }
                self.answer(connection, &format!("{:016x}", 1), result);
            }
            Step::AbortConfirmed => {
                let aborting = self.owner.upstream.aborting.iter();
                let tags: Vec<_> = aborting.map(|a| (a.connection, a.tag.0.to_string())).collect();
                tags.into_iter().for_each(|(connection, tag)| self.answer(connection, &tag, "yes"));
            }
            Step::ConnectFailed if !self.established.contains(&connection) => {
                self.inputs.push(Input::ServerDisconnected(connection, ConnectionFailure::ConnectFailed));
            }
            Step::ConnectionClosed if self.established.contains(&connection) => {
                self.inputs.push(Input::ServerDisconnected(
                    connection,
                    ConnectionFailure::Closed(CloseReason::PeerClosed),
                ));
            }
            Step::Drain if self.owner.upstream.endpoints.contains_key(&server) => {
                self.inputs.push(draining(&self.owner, &server));
            }
            Step::AddressChanges => self.inputs.push(moved(&self.owner, &server, 99)),
            Step::TimeOut => {
                let key = AttemptKey { request: RequestNo(1), attempt: AttemptNo(n) };
                self.owner.on_attempt_timeout(key);
            }
            _ => {}
        }
    }

    /// Handles the inputs so far in one batch, then checks the invariants.
    fn batch(&mut self) {
        let mut inputs = std::mem::take(&mut self.inputs);
        self.owner.batch(&mut inputs);
        self.check();
    }

    fn check(&self) {
        let clients = &self.owner.counters.clients;
        let [served, rejected, failed, cancelled] =
            [&clients.served, &clients.rejected, &clients.failed, &clients.cancelled].map(|c| c.get());
        assert!(served + rejected + failed + cancelled <= 1, "{served} {rejected} {failed} {cancelled}");
        assert_eq!(self.responses.len() as u64, served + rejected + failed, "responses to the client");
        let executed = self.class == "loan" && !self.executed.is_empty();
        assert!(rejected == 0 || !executed, "the request was rejected and may have been executed");
        let Some(pending) = self.owner.requests.get(RequestNo(1)) else { return };
        let in_flight = pending.attempts.iter().filter(|a| a.is_in_flight()).count();
        assert!(in_flight <= 1, "{in_flight} in flight at once");
        if executed {
            let last = pending.attempts.len().saturating_sub(1);
            assert!(
                self.executed.iter().all(|n| *n == last),
                "sent again: {:?} of {}",
                self.executed,
                last + 1
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn events_in_any_order_yield_one_response_and_one_result_of_each_attempt(
        class in prop_oneof![Just("pages"), Just("loan"), Just("renewal")],
        progress in 0..=3usize,
        all in prop::collection::vec(steps(), 1..20),
    ) {
        let mut scenario = Scenario::new(class);
        // The progress of the request before other events cross it.
        let path = [Step::Established, Step::Validated, Step::Written].into_iter().take(progress);
        path.chain(all).for_each(|step| scenario.step(step));
        scenario.batch();
        // The client's deadline passes, whether aborts are confirmed or not.
        let deadline = scenario.owner.time.now + DEADLINE_MS;
        while scenario.owner.time.clock.now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        scenario.batch();
        scenario.batch();
        let clients = &scenario.owner.counters.clients;
        let answers = [&clients.served, &clients.rejected, &clients.failed, &clients.cancelled].map(|c| c.get());
        prop_assert_eq!(answers.iter().sum::<u64>(), 1, "one response in time, even with attempts in flight");
        scenario.owner.upstream.aborting.iter_mut().for_each(|a| a.since -= ABORT_CONFIRM_TIMEOUT_MS + 1.0);
        scenario.batch();
        scenario.batch();
        prop_assert!(scenario.owner.requests.is_empty() && scenario.owner.upstream.aborting.is_empty());
        let a = &scenario.owner.counters.attempts;
        let results = [
            &a.served, &a.error, &a.rejected, &a.timed_out, &a.no_connection, &a.connection_lost, &a.cancelled, &a.not_sent, &a.cache_miss,
        ];
        prop_assert_eq!(results.iter().map(|c| c.get()).sum::<u64>(), a.made.get());
    }
}
