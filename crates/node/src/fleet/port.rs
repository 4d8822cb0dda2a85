//! The owner's side of the fleet: what it asks, what it is told, and how it is with the threads.

use super::gather::GatherSet;
use super::{FleetCounts, Question, Told};
use crate::caches::RequestNo;
use async_channel::Receiver;
use basaltgw::api::Effect;
use basaltgw_holds::{AskNo, Change, HoldKey, Outcome};
use basaltgw_ids::{Member, Ms};
use basaltgw_peers::{Port, Rest};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

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
    /// Changes and purges for which the ring had no room.
    pub ring_full: u64,
    /// Messages of other routers that were not asked for.
    pub unasked: u64,
}

/// The fleet as the owner of the module has it.
pub struct Fleet {
    /// This router, with the life of its folder.
    pub me: Member,
    /// Of each class.
    pub effects: Vec<Effect>,
    /// What is promised.
    pub terms: Terms,
    /// The requests that wait for an answer.
    pub asks: BTreeMap<AskNo, (RequestNo, HoldKey)>,
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
    pub(super) questions: rtrb::Producer<Question>,
    pub(super) told: rtrb::Consumer<Told>,
    /// The copies' thread and the peers'; gone once they have ended.
    pub(super) threads: Option<(JoinHandle<String>, Rest)>,
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
        effects: Vec<Effect>,
        terms: Terms,
        (questions, told, bell): (rtrb::Producer<Question>, rtrb::Consumer<Told>, Receiver<()>),
        (copies, links, port): (JoinHandle<String>, Rest, Port),
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
            told,
            threads: Some((copies, links)),
            port,
            gathers: gather.is_some(),
            gather,
            shown,
            bell,
        }
    }

    pub(super) fn put(&mut self, question: Question) -> bool {
        let put = self.questions.push(question).is_ok();
        self.counters.ring_full += u64::from(!put);
        self.threads.iter().for_each(|(copies, _)| copies.thread().unpark());
        put
    }

    /// Asks for a request; nothing if there is no room.
    pub fn ask(&mut self, request: RequestNo, key: HoldKey, change: Change, within: Ms) -> Option<AskNo> {
        self.ever += 1;
        let no = AskNo(self.ever);
        let put = self.put(Question::Ask { no, key, change, within });
        if put {
            self.asks.insert(no, (request, key));
        }
        put.then_some(no)
    }

    /// Puts down how something ended; nobody waits.
    pub fn put_down(&mut self, key: HoldKey, turn: u32, outcome: Outcome) {
        let change = Change::Done(self.me.clone(), turn, outcome);
        self.put(Question::Pursue(key, Some(change)));
    }

    /// Gives back what never ran; nobody waits.
    pub fn give_back(&mut self, key: HoldKey) {
        self.put(Question::Pursue(key, None));
    }

    /// A purge of the change log.
    pub fn purged(&mut self, purge: super::purges::Purge) {
        if self.terms.purges {
            self.put(Question::Purge(purge));
        }
    }

    /// New rules, by file name and text.
    pub fn rules(&mut self, name: String, text: String) {
        if !self.put(Question::Rules(name, text)) {
            log::warn!("the new rules are not offered: there is no room to ask for it");
        }
    }

    /// The outcome as it is kept.
    pub fn outcome(&self, bytes: &[u8]) -> Outcome {
        match bytes.len() <= self.terms.outcome_bytes {
            true => Outcome::Served(bytes.to_vec()),
            false => Outcome::ServedUntold,
        }
    }

    /// The next that was told.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Told> {
        // Without gathers nothing is asked of other routers directly; what they send all the same is counted and dropped.
        while let Some(told) = (!self.gathers).then(|| self.port.next()).flatten() {
            self.counters.unasked += u64::from(matches!(told, basaltgw_peers::Told::Got { .. }));
        }
        self.told.pop().ok()
    }

    /// Why a thread has ended that should not have.
    pub fn lost(&mut self) -> Option<String> {
        let over = |(copies, links): &(JoinHandle<String>, Rest)| copies.is_finished() || links.ended();
        if self.ending || !self.threads.as_ref().is_some_and(over) {
            return None;
        }
        Some(self.end().unwrap_or_else(|| "a thread has ended unasked".to_string()))
    }

    /// Ends the threads in order; gives the cause if one ended by itself.
    pub fn end(&mut self) -> Option<String> {
        self.ending = true;
        self.put(Question::End);
        let (copies, links) = self.threads.take()?;
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
            "fenced={} stalled={} ring_full={} peers_unasked={} ",
            c.fenced, c.stalled, c.ring_full, c.unasked
        );
        if let Ok(shown) = self.shown.lock() {
            let _ = write!(text, "{shown}");
        }
        text
    }
}
