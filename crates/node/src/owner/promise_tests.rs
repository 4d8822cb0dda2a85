//! A request that may run once, between an owner and a copies' thread that is a test: whatever comes in whatever order, it has one answer,
//! runs at most once, and leaves no hold out.

use super::tests::{owner, request, CLIENT};
use super::*;
use crate::caches::{Answer, Down};
use crate::clients::{FromClient, Tag};
use crate::fleet::stand_in::{fleet, Thread};
use crate::fleet::{ControlNotification, ControlRequest};
use crate::inbox::Over;
use crate::outbox::{OutgoingMessage, Stage};
use basaltgw_registers::{
    step, Change, Kind, Outcome, Record, RecordKey, RequestNumber, Response, UnavailableReason,
};
use proptest::prelude::*;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// The oldest question is answered: made, or not (certainly, or perhaps).
    Made,
    NotMade,
    PerhapsMade,
    PerhapsNot,
    /// The time for its verdict is over.
    Stalled,
    /// Another router's hold on it is looked at again.
    Look,
    /// The client takes the request back, or closes its connection.
    Undo,
    Close,
    /// The attempt is written; it is answered so, or its connection ends.
    Written,
    Ok,
    Refused,
    Error,
    Down,
    /// The process may have been stopped.
    Woken,
}

/// The keepers, as one register that is changed at once; and the copies' thread before them.
struct Keepers {
    thread: Thread,
    stands: Option<Record>,
    asked: VecDeque<(RequestNumber, Change)>,
    /// Changes that are put down however long it takes.
    pursued: VecDeque<Change>,
}

impl Keepers {
    fn make(&mut self, change: &Change) -> Response {
        match step(self.stands.as_ref(), change) {
            Ok(next) => {
                self.stands = Some(next.clone());
                Response::Committed(next)
            }
            Err(_) => Response::Conflict(self.stands.clone()),
        }
    }

    fn hear(&mut self) {
        while let Ok(question) = self.thread.questions.pop() {
            match question {
                ControlRequest::ChangeRecord { number: no, change, .. } => self.asked.push_back((no, change)),
                ControlRequest::ChangeInBackground(_, change) => self.pursued.push_back(change),
                other => panic!("{other:?}"),
            }
        }
    }

    /// Answers the oldest question; whether there was one.
    fn answer(&mut self, how: Next) -> bool {
        let Some((no, change)) = self.asked.pop_front() else { return false };
        let unkept = |never| Response::Unavailable {
            not_executed: never,
            reason: UnavailableReason::DeadlineExceeded,
            retry_after: 100.0,
        };
        let verdict = match how {
            Next::NotMade => unkept(true),
            Next::PerhapsMade => {
                self.make(&change);
                unkept(false)
            }
            Next::PerhapsNot => unkept(false),
            _ => self.make(&change),
        };
        // As the copies' thread does of itself.
        match (&verdict, &change) {
            (Response::Unavailable { not_executed: false, .. }, Change::Acquire(me)) => match &self.stands {
                Some(Record::Leased { owner, term: turn }) if owner == me => {
                    self.pursued.push_back(Change::Release(me.clone(), *turn))
                }
                _ => {}
            },
            (Response::Unavailable { .. }, Change::Complete(..)) => self.pursued.push_back(change),
            _ => {}
        }
        self.thread.told.push(ControlNotification::Response(no, verdict)).expect("room");
        true
    }

    fn put_down(&mut self) {
        while let Some(change) = self.pursued.pop_front() {
            self.make(&change);
        }
    }
}

struct Play {
    owner: Owner,
    keepers: Keepers,
    written: async_channel::Receiver<Rc<OutgoingMessage>>,
    answers: usize,
    left: bool,
    /// An attempt was written whole, and not answered as one that never ran.
    ran: bool,
    /// Where it was answered, or its connection ended: a server answers an attempt once.
    told: Vec<crate::caches::ConnId>,
}

const NO: RequestNo = RequestNo(1);

impl Play {
    fn new() -> Self {
        let (mut owner, written) = owner();
        let (fleet, thread) = fleet(64);
        owner.join(fleet);
        let Input::Client(client, FromClient::Do(tag, mut write), at) = request(&owner, 1) else {
            panic!("a request")
        };
        (write.class, write.body) = ("loan".into(), b"borrow".to_vec());
        owner.batch(&mut vec![Input::Client(client, FromClient::Do(tag, write), at)]);
        let keepers = Keepers { thread, stands: None, asked: VecDeque::new(), pursued: VecDeque::new() };
        let mut play =
            Self { owner, keepers, written, answers: 0, left: false, ran: false, told: Vec::new() };
        play.keepers.hear();
        play
    }

    fn key() -> RecordKey {
        RecordKey { kind: Kind::Execution, name: 1 }
    }

    /// The attempt that is out: where, and how far it has got.
    fn out(&self) -> Option<(crate::caches::ConnId, Rc<OutgoingMessage>)> {
        let open = self.owner.requests.get(NO)?;
        open.attempts.iter().rev().find_map(|a| a.way.clone())
    }

    /// The input that this is, if it is one.
    fn input(&mut self, next: Next) -> Option<Input> {
        let answer = |word: &str, at, ran: &mut bool, is: bool| {
            *ran |= is;
            let fields = b"ver=1,born=5,note=via_origin,waited=0".to_vec();
            let words = vec![format!("{:016x}", 1).into_bytes(), word.into(), fields, b"receipt".to_vec()];
            Some(Input::Cache(at, Answer::read(words, &[]).expect("an answer")))
        };
        let out = self
            .out()
            .filter(|(at, _)| !self.told.contains(at))
            .map(|(at, parcel)| (at, parcel.stage() == Stage::Written, parcel));
        match (next, out) {
            (Next::Made | Next::NotMade | Next::PerhapsMade | Next::PerhapsNot, _) => {
                self.keepers.answer(next).then_some(Input::Fleet)
            }
            (Next::Undo, _) => {
                self.left = true;
                Some(Input::Client(CLIENT, FromClient::Undo(Tag(1)), self.owner.clock.now()))
            }
            (Next::Close, _) => {
                self.left = true;
                Some(Input::ClientClosed(CLIENT))
            }
            (Next::Written, Some((at, false, parcel))) if parcel.stage() == Stage::Waiting => {
                // Nothing leaves unless it is this router's to send.
                let me = self.owner.fleet.as_ref().map(|f| f.me.clone()).expect("a fleet");
                assert!(
                    matches!(&self.keepers.stands, Some(Record::Leased { owner, .. }) if *owner == me),
                    "it is sent while {:?} stands",
                    self.keepers.stands
                );
                parcel.write();
                Some(Input::CacheUp(at))
            }
            (Next::Ok | Next::Error | Next::Refused, Some((at, true, _))) => {
                self.told.push(at);
                let word = match next {
                    Next::Ok => "ok",
                    Next::Error => "error",
                    _ => "refused",
                };
                answer(word, at, &mut self.ran, !matches!(next, Next::Refused))
            }
            (Next::Down, Some((at, written, _))) => {
                self.ran |= written;
                self.told.push(at);
                Some(Input::CacheDown(at, Down::Ended(Over::Ended)))
            }
            (_, _) => None,
        }
    }

    fn batch(&mut self, mut inputs: Vec<Input>, before: bool) {
        let made = self.owner.counters.attempts.made.get();
        self.owner.batch(&mut inputs);
        self.keepers.hear();
        if before {
            assert_eq!(
                self.owner.counters.attempts.made.get(),
                made,
                "an attempt for a client that has left"
            );
        }
        while self.written.try_recv().is_ok() {
            self.answers += 1;
        }
        assert!(self.answers <= 1, "{} answers", self.answers);
    }

    fn step(&mut self, together: &[Next]) {
        let (mut inputs, left) = (Vec::new(), self.left);
        for next in together {
            match next {
                Next::Stalled => {
                    let asks: Vec<RequestNumber> =
                        self.owner.fleet.iter().flat_map(|f| f.asks.keys().copied()).collect();
                    asks.into_iter().for_each(|ask| self.owner.stalled(NO, ask));
                }
                Next::Look => self.owner.look(NO),
                Next::Woken => self.owner.woken(1_000.0),
                _ => inputs.extend(self.input(*next)),
            }
        }
        self.batch(inputs, left);
    }

    /// Everything that is under way comes to its end, and the client goes.
    fn settles(&mut self) {
        for _ in 0..12 {
            self.step(&[Next::Made, Next::Down]);
            self.keepers.put_down();
            self.step(&[Next::Stalled]);
        }
        self.step(&[Next::Close]);
        // What was given up leaves with its connection.
        for _ in 0..4 {
            let on: Vec<_> = self.owner.leaving.iter().map(|l| l.on).collect();
            self.ran |= !on.is_empty();
            let down = on.into_iter().map(|at| Input::CacheDown(at, Down::Ended(Over::Ended)));
            self.batch(down.collect(), true);
            self.step(&[Next::Made]);
            self.keepers.put_down();
        }
    }

    fn leaves_nothing(&self) {
        assert!(self.owner.requests.is_empty(), "a request is left");
        let fleet = self.owner.fleet.as_ref().expect("a fleet");
        assert!(fleet.asks.is_empty(), "questions are left: {:?}", fleet.asks);
        let stands = &self.keepers.stands;
        assert!(!matches!(stands, Some(Record::Leased { .. })), "a hold is left out: {stands:?}");
        let free = matches!(stands, None | Some(Record::Released { .. }));
        assert!(!(self.ran && free), "it ran, and {stands:?} invites a second run");
    }
}

fn next() -> impl Strategy<Value = Next> {
    use Next::*;
    let all = [
        Made,
        NotMade,
        PerhapsMade,
        PerhapsNot,
        Stalled,
        Look,
        Undo,
        Close,
        Written,
        Ok,
        Refused,
        Error,
        Down,
        Woken,
    ];
    // What a request lives by comes more often.
    prop_oneof![
        3 => Just(Made),
        3 => Just(Written),
        2 => Just(Ok),
        10 => prop::sample::select(all.to_vec()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    #[test]
    fn in_every_order_a_promised_request_has_one_answer_one_run_and_leaves_nothing_out(
        batches in prop::collection::vec(prop::collection::vec(next(), 1..4), 0..8)
    ) {
        let mut play = Play::new();
        batches.iter().for_each(|together| play.step(together));
        play.settles();
        play.leaves_nothing();
    }
}

#[test]
fn an_outcome_whose_client_left_while_it_was_put_down_is_put_down_still() {
    for gone in [Next::Undo, Next::Close] {
        let mut play = Play::new();
        for next in [Next::Made, Next::Written, Next::Ok] {
            play.step(&[next]);
        }
        assert!(matches!(play.keepers.asked.front(), Some((_, Change::Complete(..)))));
        play.step(&[gone]);
        play.step(&[Next::NotMade]);
        play.keepers.put_down();
        assert_eq!(play.keepers.stands, Some(Record::Completed(Outcome::Served(b"receipt".to_vec()))));
        play.leaves_nothing();
    }
}

#[test]
fn a_request_taken_again_is_not_given_back_by_what_was_said_of_the_time_before() {
    let mut play = Play::new();
    play.step(&[Next::Undo]);
    play.step(&[Next::Made]);
    let turns: Vec<_> = play.keepers.pursued.iter().cloned().collect();
    let me = play.owner.fleet.as_ref().map(|f| f.me.clone()).expect("a fleet");
    assert_eq!(turns, [Change::Release(me.clone(), 0)], "it says which time is meant");
    // Meanwhile it is taken again, and runs.
    play.keepers.stands = Some(Record::Leased { owner: me, term: 1 });
    play.keepers.put_down();
    assert!(matches!(play.keepers.stands, Some(Record::Leased { term: 1, .. })));
}

#[test]
fn what_finds_no_room_in_the_ring_is_asked_later_and_in_its_order() {
    let (mut fleet, mut thread) = fleet(2);
    (0..6).for_each(|turn| fleet.give_back(Play::key(), turn));
    assert!(fleet.ask(NO, Play::key(), Change::Read, 100.0).is_none(), "what waits goes first");
    let mut turns = Vec::new();
    while let Ok(question) = thread.questions.pop() {
        if let ControlRequest::ChangeInBackground(_, Change::Release(_, turn)) = question {
            turns.push(turn);
        }
        fleet.flush();
    }
    assert_eq!((turns, fleet.counters.ring_dropped), (vec![0, 1, 2, 3, 4, 5], 0));
    assert!(fleet.ask(NO, Play::key(), Change::Read, 100.0).is_some());
}

#[test]
fn an_orderly_end_with_a_full_ring_comes_after_all_that_was_asked() {
    let (mut fleet, thread) = fleet(2);
    (0..6).for_each(|turn| fleet.give_back(Play::key(), turn));
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let into = Arc::clone(&seen);
    fleet.served_by(thread, move |question| {
        let last = matches!(question, ControlRequest::Shutdown(_));
        into.lock().expect("a list").push(format!("{question:?}"));
        !last
    });
    assert_eq!(fleet.end(), None);
    let seen = seen.lock().expect("a list");
    assert!(seen.len() == 7 && seen[6].starts_with("End"), "{seen:?}");
}
