//! The owner's side of the fleet: what it asks, what it is told, and how it is with the threads.

use super::gather::GatherSet;
use super::{ControlNotification, ControlRequest, FleetCounts};
use crate::caches::RequestNo;
use async_channel::Receiver;
use basaltgw::api::Idempotency;
use basaltgw_registers::{Change, Outcome, RecordKey, RequestNumber};
use basaltgw_transport::{Port, TransportHandle};
use basaltgw_types::{Member, Ms};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Changes and purges that wait for room in the ring. No more changes come than requests were promised, and none is promised meanwhile.
const MOST_LATER: usize = 65_536;
/// At the end the ring is looked at so often until it has room.
const LOOK: Duration = Duration::from_millis(1);

/// What the configuration says of promises.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Keyed and unsafe requests are promised before they are sent.
    pub effects: bool,
    /// Purges are held.
    pub purges: bool,
    /// Time for a promise, in milliseconds.
    pub promise: Ms,
    /// Time that who is turned away stays away, in milliseconds.
    pub stay_away: Ms,
    /// The longest answer kept with an outcome, in bytes.
    pub outcome_bytes: usize,
}

/// What came of promises at this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromiseCounters {
    /// Requests that the keepers took on for this router.
    pub promised: u64,
    /// Those turned away since their promise was not kept, and since there was no room to ask.
    pub unkept: u64,
    /// See `unkept`.
    pub turned_away: u64,
    /// Asked again after another router had them.
    pub looks: u64,
    /// Answered with the outcome that another request of the same id had.
    pub told_again: u64,
    /// Failed since nobody knows or may say whether they ran.
    pub in_doubt: u64,
    /// Served here, but failed since others had taken over.
    pub fenced: u64,
    /// Answered without a verdict, since the copies' thread stood still.
    pub stalled: u64,
    /// Questions for which the ring had no room: changes, purges and rules wait for some, others are turned away.
    pub ring_full: u64,
    /// Of those that wait: dropped, since too many waited.
    pub ring_dropped: u64,
    /// Messages of other routers that were not asked for.
    pub unasked: u64,
}

/// The fleet as the owner of the module has it.
pub struct Fleet {
    /// This router, with the life of its folder.
    pub me: Member,
    /// Of each class.
    pub effects: Vec<Idempotency>,
    /// What is promised.
    pub terms: Terms,
    /// The requests that wait for an answer.
    pub asks: BTreeMap<RequestNumber, (RequestNo, RecordKey)>,
    /// Counts so far.
    pub counters: PromiseCounters,
    /// What was purged before this start is known, or counts as all.
    pub purges_known: bool,
    /// Why the process has to end.
    pub fault: Option<String>,
    /// The process was stopped, and until then nothing that it reads is known to be new.
    pub stopped_until: Ms,
    /// It ends in order.
    pub ending: bool,
    pub(super) ever: u64,
    pub(super) questions: rtrb::Producer<ControlRequest>,
    /// What must not be lost and found no room, in its order.
    pub(super) later: VecDeque<ControlRequest>,
    pub(super) told: rtrb::Consumer<ControlNotification>,
    /// The copies' thread and the peers'; gone once they have ended.
    pub(super) threads: Option<(JoinHandle<String>, TransportHandle)>,
    /// To other routers, for parts of gathers.
    pub(super) port: Port,
    /// What the owner needs to take gathers, if it takes them; it is the owner's once that has joined.
    pub gather: Option<GatherSet>,
    pub(super) gathers: bool,
    pub(super) shown: Arc<Mutex<FleetCounts>>,
    /// Rings when something was told.
    pub bell: Receiver<()>,
}

impl Fleet {
    pub(super) fn new(
        me: Member,
        effects: Vec<Idempotency>,
        terms: Terms,
        (questions, told, bell): (
            rtrb::Producer<ControlRequest>,
            rtrb::Consumer<ControlNotification>,
            Receiver<()>,
        ),
        (threads, port): (Option<(JoinHandle<String>, TransportHandle)>, Port),
        gather: Option<GatherSet>,
        shown: Arc<Mutex<FleetCounts>>,
    ) -> Self {
        Self {
            me,
            effects,
            terms,
            asks: BTreeMap::new(),
            counters: PromiseCounters::default(),
            purges_known: false,
            fault: None,
            stopped_until: 0.0,
            ending: false,
            ever: 0,
            questions,
            later: VecDeque::new(),
            told,
            threads,
            port,
            gathers: gather.is_some(),
            gather,
            shown,
            bell,
        }
    }

    /// Asks if there is room, after what waits for some.
    pub(super) fn put(&mut self, question: ControlRequest) -> bool {
        let put = self.flush() && self.questions.push(question).is_ok();
        self.counters.ring_full += u64::from(!put);
        self.threads.iter().for_each(|(copies, _)| copies.thread().unpark());
        put
    }

    /// Asks as soon as there is room: nobody waits, and it must not be lost.
    pub(super) fn put_later(&mut self, question: ControlRequest) {
        if self.later.len() >= MOST_LATER {
            self.counters.ring_dropped += 1;
            return;
        }
        self.later.push_back(question);
        let put = self.flush();
        self.counters.ring_full += u64::from(!put);
        self.threads.iter().for_each(|(copies, _)| copies.thread().unpark());
    }

    /// Asks what waits for room, as far as there is some; true if nothing waits any more.
    pub fn flush(&mut self) -> bool {
        while let Some(question) = self.later.pop_front() {
            if let Err(rtrb::PushError::Full(question)) = self.questions.push(question) {
                self.later.push_front(question);
                return false;
            }
        }
        true
    }

    /// Asks for a request; nothing if there is no room.
    pub fn ask(
        &mut self,
        request: RequestNo,
        key: RecordKey,
        change: Change,
        within: Ms,
    ) -> Option<RequestNumber> {
        self.ever += 1;
        let no = RequestNumber(self.ever);
        let put = self.put(ControlRequest::ChangeRecord { number: no, key, change, timeout: within });
        if put {
            self.asks.insert(no, (request, key));
        }
        put.then_some(no)
    }

    /// Puts down how something ended; nobody waits.
    pub fn put_down(&mut self, key: RecordKey, turn: u32, outcome: Outcome) {
        let change = Change::Complete(self.me.clone(), turn, outcome);
        self.put_later(ControlRequest::ChangeInBackground(key, change));
    }

    /// Gives back what never ran; nobody waits. The turn says which taking is meant: the same request may have been taken again since.
    pub fn give_back(&mut self, key: RecordKey, turn: u32) {
        let change = Change::Release(self.me.clone(), turn);
        self.put_later(ControlRequest::ChangeInBackground(key, change));
    }

    /// A purge of the change log.
    pub fn purged(&mut self, purge: super::purges::Purge) {
        if self.terms.purges {
            self.put_later(ControlRequest::Purge(purge));
        }
    }

    /// New rules, by file name and text.
    pub fn rules(&mut self, name: String, text: String) {
        self.put_later(ControlRequest::Rules(name, text));
    }

    /// The outcome as it is kept.
    pub fn outcome(&self, bytes: &[u8]) -> Outcome {
        match bytes.len() <= self.terms.outcome_bytes {
            true => Outcome::Served(bytes.to_vec()),
            false => Outcome::ServedBodyOmitted,
        }
    }

    /// The next that was told.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<ControlNotification> {
        // Without gathers nothing is asked of other routers directly; what they send all the same is counted and dropped.
        while let Some(told) = (!self.gathers).then(|| self.port.next()).flatten() {
            self.counters.unasked +=
                u64::from(matches!(told, basaltgw_transport::LinkEvent::MessageReceived { .. }));
        }
        self.told.pop().ok()
    }

    /// Why a thread has ended that should not have.
    pub fn lost(&mut self) -> Option<String> {
        let over =
            |(copies, links): &(JoinHandle<String>, TransportHandle)| copies.is_finished() || links.ended();
        if self.ending || !self.threads.as_ref().is_some_and(over) {
            return None;
        }
        Some(self.end().unwrap_or_else(|| "a thread has ended unasked".to_string()))
    }

    /// Ends the threads in order; gives the cause if one ended by itself.
    pub fn end(&mut self) -> Option<String> {
        self.ending = true;
        let unheard = self.asks.keys().copied().collect();
        self.later.push_back(ControlRequest::Shutdown(unheard));
        let (copies, links) = self.threads.take()?;
        // Without this word the thread would not end: it is waited for until there is room.
        while !self.flush() && !copies.is_finished() {
            copies.thread().unpark();
            std::thread::sleep(LOOK);
        }
        copies.thread().unpark();
        let copies = copies.join().unwrap_or_else(|_| "the copies' thread ended in a panic".to_string());
        // The links end with the copies' port.
        let links = links.join().err().map(|e| e.to_string());
        links.or(Some(copies).filter(|why| !why.is_empty()))
    }

    /// What was counted, as `name=value` words.
    pub fn words(&self) -> String {
        let c = self.counters;
        let mut text = format!(
            " promised={} promises_unkept={} promises_turned_away={} ",
            c.promised, c.unkept, c.turned_away
        );
        let _ = write!(text, "looks={} told_again={} in_doubt={} ", c.looks, c.told_again, c.in_doubt);
        let _ = write!(
            text,
            "fenced={} stalled={} ring_full={} ring_dropped={} peers_unasked={} ",
            c.fenced, c.stalled, c.ring_full, c.ring_dropped, c.unasked
        );
        if let Ok(shown) = self.shown.lock() {
            let _ = write!(text, "{shown}");
        }
        text
    }
}
