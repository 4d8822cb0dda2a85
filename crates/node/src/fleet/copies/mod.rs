//! The copies' thread: the one owner of holds, roster, table and disk; the only one that waits for the disk.
//!
//! Each turn takes what peers and the owner said, lets the packages decide, puts all that has to last into one commit, and only then
//! sends what rests on it.

mod act;
mod hear;
mod out;

use super::purges::{Purge, Purges};
use super::table::{Step, TableKeeper};
use super::words::Word;
use super::{FleetCounts, Question, Told};
use crate::clock::Clock;
use async_channel::Sender;
use basaltgw_holds as holds;
use basaltgw_holds::{AskNo, Change, HoldKey, Holds, Record};
use basaltgw_ids::{Member, Ms, RouterId};
use basaltgw_peers::{Counts, Order, Port};
use basaltgw_roster as roster;
use basaltgw_roster::Roster;
use basaltgw_storage::{Space, Store};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Taken from each ring in one turn, so that neither holds up the other.
const TURN: usize = 256;
/// The longest that the thread sleeps: a ring that was filled between a look and the sleep wakes it anyway.
const REST: Duration = Duration::from_millis(50);
/// Told words that wait for the owner's ring, at the most: as many as questions may be open, and purges besides.
const MOST_WAITING: usize = 131_072;
/// Purges and tables are looked over this often.
const TIDY_MS: Ms = 250.0;

/// A change that nobody waits for is asked again after so long.
const AGAIN_MS: Ms = 250.0;
/// And for so long: longer than a router that was lost with its folder takes to be replaced.
const PURSUIT_MS: Ms = 60_000.0;
/// Such changes at the most.
const MOST_PURSUITS: usize = 65_536;
/// A router that is not reached for so long is held to have lost what it had out. Too early costs an answer, never a second run.
const TAKEOVER_MS: Ms = 500.0;
/// For so long it is waited that enough routers say which purges they know; then all counts as purged.
const START_MS: Ms = 1_500.0;

/// Where holds are on the disk.
pub const HOLDS: Space = Space(1);
/// Where purges are.
pub const PURGES: Space = Space(2);
/// Where the table's register is as it was last adopted, under the empty key.
pub const ADOPTED: Space = Space(3);

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Holds(u64),
    Roster(u64),
    Pursuit(u64),
}

/// Who asked the holds something.
#[derive(Clone, Debug, PartialEq)]
enum Asker {
    /// The owner, under its own number.
    Owner(AskNo),
    /// The owner, to take on an effect.
    Taker(AskNo, HoldKey),
    /// The owner, to put down how an effect ended: with the change, which goes on being asked for.
    Ender(AskNo, Change),
    /// Nobody waits.
    Nobody,
    /// Nobody waits; an effect is put in doubt.
    Doubt,
    /// The table's owner.
    Table,
    /// A change that is put down however long it takes.
    Pursuit(u64),
}

/// What the thread is handed.
pub struct Parts {
    /// This router.
    pub me: Member,
    /// Its folder is of an earlier life of the process.
    pub old: bool,
    /// What is held.
    pub holds: Holds,
    /// Who is there.
    pub roster: Roster,
    /// The disk.
    pub store: Store,
    /// To other routers.
    pub port: Port,
    /// Who keeps what.
    pub table: TableKeeper,
    /// Purges that an earlier life has heard.
    pub purges: Purges,
    /// Time after which a purge has settled.
    pub settles: Ms,
    /// At the end what is being put down is waited for so long.
    pub ends: Ms,
    /// From the owner.
    pub questions: rtrb::Consumer<Question>,
    /// To the owner.
    pub told: rtrb::Producer<Told>,
    /// Names of the classes whose policies the owner is told, if it takes gathers.
    pub gathers: Option<Vec<Arc<str>>>,
    /// Wakes it.
    pub bell: Sender<()>,
    /// The last counts, for the owner to print.
    pub shown: Arc<Mutex<FleetCounts>>,
    /// What the links count.
    pub counts: Arc<Counts>,
}

/// All that the thread owns.
pub struct Copies {
    parts: Parts,
    clock: Clock,
    start: Start,
    timers: BinaryHeap<Reverse<(u64, u64, Due)>>,
    timers_ever: u64,
    asked: BTreeMap<AskNo, Asker>,
    asks: u64,
    /// Effects that this process has out: in which turn, and by which question of the owner's.
    mine: BTreeMap<HoldKey, (u32, AskNo)>,
    /// Effects that are being put in doubt.
    doubts: BTreeSet<HoldKey>,
    pursuits: BTreeMap<u64, Pursuit>,
    pursuits_ever: u64,
    /// Changes of which nothing could be sent.
    unsent: Vec<u64>,
    /// Batches of holds that go into the next commit.
    to_store: Vec<(u64, Vec<Record>)>,
    to_keep: Vec<Purge>,
    /// The table's register as it was adopted.
    to_adopt: Option<(u64, Vec<u8>)>,
    /// What waits until that is on the disk.
    after_commit: Vec<Step>,
    waiting: VecDeque<Told>,
    reached: BTreeMap<RouterId, Member>,
    /// Since when a router is not reached.
    lost: BTreeMap<RouterId, Ms>,
    tidied: Ms,
    counts: FleetCounts,
    /// The end was asked for, and comes at this time at the latest.
    ending: Option<Ms>,
}

/// A change that nobody waits for and that is asked again until it stands or can't.
struct Pursuit {
    key: HoldKey,
    /// `None`: give back what was taken under the key and not told to the owner, once it is known in which turn.
    change: Option<Change>,
    /// When it is given up: the hold's own end is past by then.
    until: Ms,
}

/// What has to be known before purges of before this start are all known.
#[derive(Debug, Default)]
pub struct Start {
    /// When it began.
    pub at: Ms,
    /// The own folder is of an earlier life.
    pub old: bool,
    /// Who has told all that it knows.
    pub told: BTreeSet<Member>,
    /// It is settled, one way or the other.
    pub done: bool,
}

impl Copies {
    /// The thread's state before its first turn.
    pub fn new(parts: Parts) -> Self {
        let clock = Clock::default();
        let start = Start { at: clock.now(), old: parts.old, ..Start::default() };
        Self {
            clock,
            start,
            timers: BinaryHeap::new(),
            timers_ever: 0,
            asked: BTreeMap::new(),
            asks: 0,
            mine: BTreeMap::new(),
            doubts: BTreeSet::new(),
            pursuits: BTreeMap::new(),
            pursuits_ever: 0,
            unsent: Vec::new(),
            to_store: Vec::new(),
            to_keep: Vec::new(),
            to_adopt: None,
            after_commit: Vec::new(),
            waiting: VecDeque::new(),
            reached: BTreeMap::new(),
            lost: BTreeMap::new(),
            tidied: 0.0,
            counts: FleetCounts::default(),
            ending: None,
            parts,
        }
    }

    /// Turns until it is asked to end.
    pub fn run(mut self) -> Result<(), String> {
        let now = self.clock.now();
        let known: Vec<Purge> = self.parts.purges.all().collect();
        known.into_iter().for_each(|p| self.tell(Told::Purge(p)));
        if let Some(map) = self.parts.table.map() {
            (self.counts.table_version, self.counts.table_epoch) = (map.version.0, map.epoch);
            self.holds(now, holds::Event::Map(map));
        }
        self.policies();
        while !self.over() {
            let busy = self.turn()?;
            if !busy {
                let due = self.timers.peek().map_or(f64::INFINITY, |Reverse((at, ..))| *at as f64 / 1000.0);
                let rest = (due - self.clock.now()).clamp(0.0, REST.as_secs_f64() * 1000.0);
                std::thread::park_timeout(Duration::from_secs_f64(rest / 1000.0));
            }
        }
        let left = self.pursuits.len();
        if left > 0 {
            log::warn!(
                "{left} changes were not put down before the end: what they are about will be in doubt"
            );
        }
        self.counts.pursuits_dropped += left as u64;
        self.show();
        let _ = self.parts.port.send(Order::End);
        Ok(())
    }

    /// The end was asked for, and nothing that can be waited for is left: the links write what was said last.
    fn over(&self) -> bool {
        let waits = |asker: &Asker| match asker {
            Asker::Taker(..) | Asker::Ender(..) | Asker::Nobody | Asker::Pursuit(_) => true,
            Asker::Owner(_) | Asker::Doubt | Asker::Table => false,
        };
        let rests = || self.pursuits.is_empty() && !self.asked.values().any(waits);
        self.ending.is_some_and(|at| self.clock.now() >= at || rests())
    }

    /// One turn; true if there was something to do.
    fn turn(&mut self) -> Result<bool, String> {
        let now = self.clock.now();
        let mut busy = false;
        for _ in 0..TURN {
            let Some(told) = self.parts.port.next() else { break };
            busy = true;
            self.peer(now, told);
        }
        for _ in 0..TURN {
            let Ok(question) = self.parts.questions.pop() else { break };
            busy = true;
            self.question(now, question);
        }
        while let Some(Reverse((at, _, what))) = self.timers.peek().copied() {
            if at > micros(now) {
                break;
            }
            busy = true;
            self.timers.pop();
            match what {
                Due::Holds(token) => self.holds(now, holds::Event::Timer(token)),
                Due::Roster(token) => self.roster(now, roster::Event::Timer(token)),
                Due::Pursuit(no) => self.pursue(now, no),
            }
        }
        if now >= self.tidied + TIDY_MS {
            self.tidied = now;
            self.tidy(now);
        }
        busy |= self.commit(now);
        self.flush()?;
        Ok(busy)
    }

    fn question(&mut self, now: Ms, question: Question) {
        match question {
            Question::Ask { no, key, change, within } => {
                let asker = match &change {
                    Change::Take(_) => Asker::Taker(no, key),
                    Change::Done(..) => Asker::Ender(no, change.clone()),
                    Change::Back(..) | Change::Doubt(_) | Change::Purge { .. } => Asker::Owner(no),
                    Change::Name { .. } | Change::Use | Change::Owe { .. } => Asker::Owner(no),
                    Change::SetTable { .. } | Change::Look | Change::End => Asker::Owner(no),
                };
                self.ask(now, asker, (key, change), within)
            }
            Question::Pursue(key, change) => self.begin(now, key, Some(change)),
            Question::Purge(purge) => {
                if self.parts.purges.heard(purge) {
                    self.to_keep.push(purge);
                    let (key, change) = purge.change();
                    self.ask(now, Asker::Nobody, (key, change), self.parts.settles);
                    // Every router heeds it as soon as it hears of it; keepers hold it besides.
                    self.say_all(&Word::Purges { some: vec![purge], last: false });
                }
            }
            Question::Rules(name, text) => self.parts.table.rules(name, text),
            Question::Heard(evidence) => self.roster(now, roster::Event::Heard(evidence)),
            Question::End(unheard) => {
                self.ending = Some(now + self.parts.ends);
                let heard = |no: &AskNo| unheard.binary_search(no).is_err();
                let back: Vec<_> = self.mine.iter().filter(|(_, (_, no))| !heard(no)).collect();
                let back: Vec<_> = back.into_iter().map(|(key, (turn, _))| (*key, *turn)).collect();
                for (key, turn) in back {
                    self.begin(now, key, Some(Change::Back(self.parts.me.clone(), turn)));
                }
            }
        }
    }
}

fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}
