//! Two events at once, in every order.

use super::*;
use crate::caches::ConnId;
use crate::limits::SERVER_STALLED;
use crate::outbox::{write_all, FetchTerms, Stage};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Instant;

/// A server is at another place.
fn moved(owner: &Owner, id: &ServerId, port: u16) -> Input {
    let entry = Endpoint {
        id: id.clone(),
        zone: ZoneId(0),
        role: Role::Edge,
        cell: 0,
        state: EndpointState::Up,
        weight: 1.0,
        started: Some(owner.now),
    };
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    Input::News(News::Servers { whole: false, members: vec![Member { entry, address }] })
}

#[test]
fn what_waits_for_a_server_that_was_replaced_is_recalled() {
    let (mut owner, _written) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let home = attempts(&owner, 1)[0].0.clone();
    let news = moved(&owner, &home, 77);
    owner.batch(&mut vec![news]);
    let all = attempts(&owner, 1);
    assert!(all.len() == 2 && !all[0].1 && all[1].1, "it would go to where the server was: {all:?}");
    assert_eq!(owner.counters.attempts.not_sent.get(), 1);
}

#[test]
fn what_waits_for_a_server_that_goes_and_is_back_in_one_list_is_recalled() {
    let (mut owner, _written) = owner();
    let first = request(&owner, 1);
    owner.batch(&mut vec![first]);
    let home = attempts(&owner, 1)[0].0.clone();
    let port = owner.servers[&home].address.port();
    let Input::News(News::Servers { members: back, .. }) = moved(&owner, &home, port) else {
        panic!("a list")
    };
    let mut gone = back.clone();
    gone[0].entry.state = EndpointState::Removed;
    let members = gone.into_iter().chain(back).collect();
    owner.batch(&mut vec![Input::News(News::Servers { whole: false, members })]);
    let all = attempts(&owner, 1);
    assert!(all.len() == 2 && !all[0].1 && all[1].1, "{all:?}");
}

#[test]
fn what_had_to_be_begun_earlier_is_not_written() {
    let meter = Rc::default();
    let (out, parcels) = outbox(&meter, &Rc::default());
    let by = |at| FetchTerms::unwatched(Some(at), None);
    let late = out.hold(b"late".to_vec(), by(Instant::now()));
    let in_time = out.hold(b"in time".to_vec(), by(Instant::now() + SERVER_STALLED));
    [&late, &in_time].into_iter().for_each(|parcel| out.release(parcel));
    drop(out);
    let mut socket = Vec::new();
    futures_lite::future::block_on(write_all(&mut socket, parcels, futures_lite::future::pending));
    assert_eq!(socket, b"in time");
    assert_eq!((late.stage(), in_time.stage()), (Stage::TakenBack, Stage::Written));
    assert!(late.take_back() && !in_time.take_back(), "what never left may be told as never sent");
}

#[test]
fn an_answer_counts_only_on_the_connection_on_which_its_request_is_open() {
    let (mut owner, written) = owner();
    let both = [request(&owner, 1), request(&owner, 2)];
    owner.batch(&mut Vec::from(both));
    let conn = |owner: &Owner, no| owner.requests.get(RequestNo(no)).expect("open").attempts[0].way.clone();
    let ((first, _), (second, _)) = (conn(&owner, 1).expect("out"), conn(&owner, 2).expect("out"));
    let other = ConnId(first.0.max(second.0) + 1);
    let ok = |id: &str| {
        let words = [id, "ok", "ver=1,born=1,note=hit", "bytes"].map(|word| word.as_bytes().to_vec());
        Answer::read(words.to_vec(), &[]).expect("an answer")
    };
    // On a connection that is not its own, and under an id that nobody has.
    owner.batch(&mut vec![
        Input::Cache(other, ok(&format!("{:016x}", 1))),
        Input::Cache(first, ok("00000000000000ff")),
    ]);
    assert_eq!((owner.counters.attempts.late_answers.get(), written.len()), (2, 0));
    // The same id again, while it is open: a client that breaks the protocol is told of a failure, and the first goes on.
    let Input::Client(client, FromClient::Do(_, again), at) = request(&owner, 1) else {
        panic!("a request")
    };
    owner.batch(&mut vec![Input::Client(client, FromClient::Do(Tag(3), again), at)]);
    assert_eq!(
        (owner.counters.clients.unreadable.get(), attempts(&owner, 1).len(), written.len()),
        (1, 1, 1)
    );
    owner.batch(&mut vec![Input::Cache(first, ok(&format!("{:016x}", 1)))]);
    assert_eq!((owner.counters.clients.served.get(), written.len()), (1, 2));
}

/// What may happen to the one request.
#[derive(Clone, Copy, Debug)]
enum Happens {
    Up,
    Proved,
    Written,
    Answer(&'static str),
    Known,
    NeverUp,
    Ended,
    Undo,
    Drain,
    Moves,
    TimeOut,
    Deadline,
    /// What happened since the last goes into one batch.
    Batch,
}

fn happens() -> impl Strategy<Value = Happens> {
    use Happens::*;
    let word = prop_oneof![Just("ok"), Just("nothing"), Just("refused"), Just("error"), Just("stale")];
    let carried = prop_oneof![Just(Up), Just(Proved), Just(Written), Just(Batch)];
    let crossed = prop_oneof![
        Just(Known),
        Just(NeverUp),
        Just(Ended),
        Just(Undo),
        Just(Drain),
        Just(Moves),
        Just(TimeOut)
    ];
    prop_oneof![6 => carried, 2 => word.prop_map(Answer), 3 => crossed, 1 => Just(Deadline)]
}

/// The client's time; less than the margin after it is over, the final answer is due.
const LEFT_MS: Ms = 45.0;

/// One request and what the test knows of it.
struct Play {
    class: &'static str,
    owner: Owner,
    written: async_channel::Receiver<Rc<OutgoingMessage>>,
    inputs: Vec<Input>,
    up: BTreeSet<ConnId>,
    proved: BTreeSet<ConnId>,
    /// Attempts that were written whole, unless their server said that they never ran.
    ran: BTreeSet<usize>,
}

impl Play {
    fn new(class: &'static str) -> Self {
        let (mut owner, written) = owner();
        let Input::Client(client, FromClient::Do(tag, mut ask), at) = request(&owner, 1) else {
            panic!("a request")
        };
        (ask.class, ask.left) = (class.into(), LEFT_MS);
        if class == "loan" {
            ask.body = b"borrow".to_vec();
        }
        owner.batch(&mut vec![Input::Client(client, FromClient::Do(tag, ask), at)]);
        let (up, proved) = Default::default();
        Self { class, owner, written, inputs: Vec::new(), up, proved, ran: BTreeSet::new() }
    }

    /// The last attempt, if it is out.
    fn out(&self) -> Option<(usize, ConnId, Rc<OutgoingMessage>)> {
        let open = self.owner.requests.get(RequestNo(1))?;
        let n = open.attempts.len().checked_sub(1)?;
        let (conn, parcel) = open.attempts[n].way.as_ref()?;
        Some((n, *conn, Rc::clone(parcel)))
    }

    fn say(&mut self, on: ConnId, id: &str, word: &str) {
        let fields: &[u8] = if word == "ok" { b"ver=1,born=1,note=hit" } else { b"-" };
        let words = vec![id.as_bytes().to_vec(), word.as_bytes().to_vec(), fields.to_vec(), Vec::new()];
        self.inputs.push(Input::Cache(on, Answer::read(words, &[]).expect("an answer")));
    }

    fn happen(&mut self, what: Happens) {
        if let Happens::Batch = what {
            return self.batch();
        }
        if let Happens::Deadline = what {
            std::thread::sleep(Duration::from_millis(15));
            return;
        }
        if let Happens::Undo = what {
            return self.inputs.push(Input::Client(CLIENT, FromClient::Undo(Tag(1)), self.owner.now));
        }
        let Some((n, on, parcel)) = self.out() else { return };
        let server = self.owner.requests.get(RequestNo(1)).expect("open").attempts[n].server.clone();
        match what {
            Happens::Up => {
                self.up.insert(on);
                self.inputs.push(Input::CacheUp(on));
            }
            Happens::Proved if self.up.contains(&on) => {
                self.proved.insert(on);
                self.say(on, &on.0.to_string(), "yes");
                self.batch();
            }
            Happens::Written if self.proved.contains(&on) && parcel.stage() == Stage::Waiting => {
                parcel.write();
                self.ran.insert(n);
            }
            Happens::Answer(word) if parcel.stage() == Stage::Written => {
                if matches!(word, "nothing" | "refused" | "stale") {
                    self.ran.remove(&n);
                }
                self.say(on, &format!("{:016x}", 1), word);
            }
            Happens::Known => {
                let tags: Vec<_> = self.owner.leaving.iter().map(|l| (l.on, l.tag.0.to_string())).collect();
                tags.into_iter().for_each(|(on, tag)| self.say(on, &tag, "yes"));
            }
            Happens::NeverUp if !self.up.contains(&on) => {
                self.inputs.push(Input::CacheDown(on, Down::NeverUp));
            }
            Happens::Ended if self.up.contains(&on) => {
                self.inputs.push(Input::CacheDown(on, Down::Ended(Over::Ended)));
            }
            Happens::Drain if self.owner.servers.contains_key(&server) => {
                self.inputs.push(draining(&self.owner, &server));
            }
            Happens::Moves => self.inputs.push(moved(&self.owner, &server, 99)),
            Happens::TimeOut => self.owner.time_out((RequestNo(1), AttemptNo(n))),
            _ => {}
        }
    }

    /// Everything so far in one batch; then what has to hold always.
    fn batch(&mut self) {
        let mut inputs = std::mem::take(&mut self.inputs);
        self.owner.batch(&mut inputs);
        self.holds();
    }

    fn holds(&self) {
        let clients = &self.owner.counters.clients;
        let [served, refused, failed, left] =
            [&clients.served, &clients.refused, &clients.failed, &clients.left].map(|c| c.get());
        assert!(served + refused + failed + left <= 1, "{served} {refused} {failed} {left}");
        assert_eq!(self.written.len() as u64, served + refused + failed, "what the client gets");
        let unsafe_ran = self.class == "loan" && !self.ran.is_empty();
        assert!(refused == 0 || !unsafe_ran, "refused, and it may have run");
        let Some(open) = self.owner.requests.get(RequestNo(1)) else { return };
        let out = open.attempts.iter().filter(|a| a.way.is_some()).count();
        assert!(out <= 1, "{out} out at once");
        if unsafe_ran {
            let last = open.attempts.len().saturating_sub(1);
            assert!(self.ran.iter().all(|n| *n == last), "sent again: {:?} of {}", self.ran, last + 1);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whatever_crosses_there_is_one_answer_and_one_end_of_each_attempt(
        class in prop_oneof![Just("pages"), Just("loan"), Just("renewal")],
        far in 0..=3usize,
        all in prop::collection::vec(happens(), 1..20),
    ) {
        let mut play = Play::new(class);
        // So far it gets before anything crosses it.
        [Happens::Up, Happens::Proved, Happens::Written].into_iter().take(far).for_each(|what| play.happen(what));
        all.into_iter().for_each(|what| play.happen(what));
        play.batch();
        // The client's time runs out; what was given up is known, or its server says nothing.
        let over = play.owner.now + LEFT_MS;
        while play.owner.clock.now() < over {
            std::thread::sleep(Duration::from_millis(5));
        }
        play.batch();
        play.batch();
        let clients = &play.owner.counters.clients;
        let answers = [&clients.served, &clients.refused, &clients.failed, &clients.left].map(|c| c.get());
        prop_assert_eq!(answers.iter().sum::<u64>(), 1, "an answer in time, whatever is still out");
        play.owner.leaving.iter_mut().for_each(|l| l.since -= LEAVING_MS + 1.0);
        play.batch();
        play.batch();
        prop_assert!(play.owner.requests.is_empty() && play.owner.leaving.is_empty());
        let a = &play.owner.counters.attempts;
        let ends = [
            &a.served, &a.error, &a.full, &a.late, &a.no_connection, &a.broken, &a.cancelled, &a.not_sent, &a.miss,
        ];
        prop_assert_eq!(ends.iter().map(|c| c.get()).sum::<u64>(), a.made.get());
    }
}
