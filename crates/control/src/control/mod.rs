//! The one owner of holds, roster, table and purges: what comes in, and the state that it changes.
//!
//! Each event lets the packages decide; all that has to last is gathered until [`Event::Settle`] and goes into one commit, and what rests on a
//! commit is said only when that is reported as done.

mod act;
#[cfg(test)]
mod byte_tests;
mod commit;
mod hear;
mod out;
mod spread;
mod standing;

use crate::api::{Action, ControlNotification, ControlRequest, Event};
use crate::counts::Counts;
use crate::purges::{Purge, Purges};
use crate::table::{Step, TableManager};
use basaltgw_membership as roster;
use basaltgw_membership::Membership;
use basaltgw_overlay as overlay;
use basaltgw_registers as holds;
use basaltgw_registers::{Change, DiskWrite, RecordKey, Registers, RequestNumber};
use basaltgw_types::{Member, Ms, RouterId};
use commit::Commit;
pub use commit::{decode_purges, decode_table_register, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE};
use spread::Spread;
pub use spread::{OverlayParts, OverlayTimes};
use standing::Standing;
pub use standing::StandingLinks;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

/// Purges and tables are looked over this often.
pub const MAINTENANCE_INTERVAL_MS: Ms = 250.0;

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
    Owner(RequestNumber),
    /// The owner, to take on an effect.
    Taker(RequestNumber, RecordKey),
    /// The owner, to put down how an effect ended: with the change, which goes on being asked for.
    Ender(RequestNumber, Change),
    /// Nobody waits.
    Nobody,
    /// Nobody waits; an effect is put in doubt.
    Doubt,
    /// The table's owner.
    Table,
    /// A change that is put down however long it takes.
    Pursuit(u64),
}

/// What a router's control part is made of.
pub struct ControlParts {
    /// This router.
    pub me: Member,
    /// Its folder is of an earlier life of the process.
    pub has_previous_data: bool,
    /// What is held.
    pub registers: Registers,
    /// Who is there.
    pub membership: Membership,
    /// Who keeps what.
    pub table: TableManager,
    /// Purges that an earlier life has heard.
    pub purges: Purges,
    /// Time after which a purge has settled.
    pub purge_convergence_time: Ms,
    /// At the end what is being put down is waited for so long.
    pub shutdown_timeout: Ms,
    /// Names of the classes whose policies the owner is told, if it takes gathers.
    pub scatter_gather_classes: Option<Vec<Arc<str>>>,
    /// By which words for all travel; without it every router tells all others.
    pub overlay: Option<OverlayParts>,
}

/// The control part of a router; see the package.
pub struct Control {
    parts: ControlParts,
    start: Start,
    /// How words for all travel, with an overlay.
    spread: Option<Spread>,
    /// What is known of links that don't always stand, where they don't.
    standing: Option<Standing>,
    timers: BinaryHeap<Reverse<(u64, u64, Due)>>,
    timers_ever: u64,
    asked: BTreeMap<RequestNumber, Asker>,
    asks: u64,
    /// Effects that this process has out: in which turn, and by which question of the owner's.
    mine: BTreeMap<RecordKey, (u32, RequestNumber)>,
    /// Effects that are being put in doubt.
    doubts: BTreeSet<RecordKey>,
    pursuits: BTreeMap<u64, Pursuit>,
    pursuits_ever: u64,
    /// What goes into the next commit.
    next: Commit,
    /// Those that are out to the disk, by their numbers.
    open: BTreeMap<u64, Commit>,
    commits_ever: u64,
    /// The serial of the latest register of this life that is on the disk.
    lasts: u64,
    /// Settled purges whose removal the disk did not take: tried again with the next look.
    unforgotten: BTreeSet<(u64, Option<u64>)>,
    /// What is wanted done, since the event that is being handled began.
    out: Vec<Action>,
    reached: BTreeMap<RouterId, Member>,
    /// Since when a router is not reached.
    lost: BTreeMap<RouterId, Ms>,
    tidied: Ms,
    counts: Counts,
    /// The end was asked for, and comes at this time at the latest.
    ending: Option<Ms>,
}

/// A change that nobody waits for and that is asked again until it stands or can't.
struct Pursuit {
    key: RecordKey,
    /// `None`: give back what was taken under the key and not told to the owner, once it is known in which turn.
    change: Option<Change>,
    /// When it is given up: the hold's own end is past by then.
    until: Ms,
}

/// What has to be known before purges of before this start are all known.
#[derive(Debug, Default)]
struct Start {
    /// When it began.
    at: Ms,
    /// The own folder is of an earlier life.
    old: bool,
    /// Who has told all that it knows.
    told: BTreeSet<Member>,
    /// It is settled, one way or the other.
    done: bool,
}

impl Control {
    /// The state before the first event; what an earlier life has kept is told.
    pub fn new(now: Ms, mut parts: ControlParts, out: &mut Vec<Action>) -> Self {
        let start = Start { at: now, old: parts.has_previous_data, ..Start::default() };
        let overlay = parts.overlay.take();
        let mut control = Self {
            start,
            spread: None,
            standing: None,
            timers: BinaryHeap::new(),
            timers_ever: 0,
            asked: BTreeMap::new(),
            asks: 0,
            mine: BTreeMap::new(),
            doubts: BTreeSet::new(),
            pursuits: BTreeMap::new(),
            pursuits_ever: 0,
            next: Commit::default(),
            open: BTreeMap::new(),
            commits_ever: 0,
            lasts: 0,
            unforgotten: BTreeSet::new(),
            out: Vec::new(),
            reached: BTreeMap::new(),
            lost: BTreeMap::new(),
            tidied: 0.0,
            counts: Counts::default(),
            ending: None,
            parts,
        };
        let known: Vec<Purge> = control.parts.purges.all().collect();
        known.into_iter().for_each(|p| control.tell(ControlNotification::Purge(p)));
        if let Some(map) = control.parts.table.map() {
            (control.counts.table_version, control.counts.table_epoch) = (map.version.0, map.epoch);
            control.ask_holds(now, holds::Event::ShardMap(map));
        }
        control.policies();
        if let Some(overlay) = overlay {
            control.spread_from(now, overlay);
        }
        control.standing_settled(now);
        out.append(&mut control.out);
        control
    }

    /// What follows from an event. The actions are to be done in their order.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        self.standing_at(now);
        match event {
            Event::LinkUp(hello) => self.up(now, &hello),
            Event::LinkDown(member, why) => self.down(now, &member, why),
            Event::DialFailed(router) => self.unreached(now, &router),
            Event::MessageReceived { from, lane, body } => self.got(now, from, lane, body),
            Event::SendFailed(no) => {
                self.counts.unsent += 1;
                if no > 0 {
                    self.ask_holds(now, holds::Event::SendFailed(no));
                }
            }
            Event::Request(question) => self.question(now, question),
            Event::TimersDue => self.all_due(now),
            Event::Flush => self.settle(now),
            Event::CommitFinished(no, ok) => self.stored(now, no, ok),
        }
        self.standing_settled(now);
        out.append(&mut self.out);
    }

    /// When a timer or the next look over purges and table comes due: [`Event::Due`] is wanted then, and not before.
    pub fn next_timer(&self) -> Ms {
        let look = (self.tidied + MAINTENANCE_INTERVAL_MS).min(self.spread_due()).min(self.standing_due());
        // Half a microsecond later, so that what is due then is due by the microsecond too.
        self.timers.peek().map_or(look, |Reverse((at, ..))| look.min((*at as f64 + 0.5) / 1000.0))
    }

    /// The end was asked for, and nothing that can be waited for is left: what was said last may still be written.
    pub fn is_finished(&self, now: Ms) -> bool {
        let waits = |asker: &Asker| match asker {
            Asker::Taker(..) | Asker::Ender(..) | Asker::Nobody | Asker::Pursuit(_) => true,
            Asker::Owner(_) | Asker::Doubt | Asker::Table => false,
        };
        let rests = || self.pursuits.is_empty() && !self.asked.values().any(waits);
        self.ending.is_some_and(|at| now >= at || rests())
    }

    /// Changes that are not put down yet.
    pub fn pending_changes(&self) -> usize {
        self.pursuits.len()
    }

    /// What was counted; the holds' words are as of the last look or [`Self::sum_up`].
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Brings the counts up to date.
    pub fn refresh_counts(&mut self) {
        self.counts.peers_up = self.reached.len() as u64;
        self.counts.holds = self.hold_words();
        self.counts.overlay = self.overlay_words() + &self.standing_words();
    }

    /// The purges known here.
    pub fn purges(&self) -> &Purges {
        &self.parts.purges
    }

    /// What is held.
    pub fn registers(&self) -> &Registers {
        &self.parts.registers
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.parts.membership
    }

    /// Who keeps what.
    pub fn table(&self) -> &TableManager {
        &self.parts.table
    }

    /// Entries of each growing piece of state, by name: what a scale run adds up.
    pub fn state_sizes(&self) -> [(&'static str, usize); 9] {
        let (holds, hold_bytes) = self.parts.registers.size();
        [
            ("holds", holds),
            ("hold_bytes", hold_bytes),
            ("purges", self.parts.purges.len()),
            ("asked", self.asked.len()),
            ("mine", self.mine.len()),
            ("pursuits", self.pursuits.len()),
            ("timers", self.timers.len()),
            ("reached", self.reached.len()),
            ("open_commits", self.open.len()),
        ]
    }

    fn all_due(&mut self, now: Ms) {
        while let Some(Reverse((at, _, what))) = self.timers.peek().copied() {
            if at > micros(now) {
                break;
            }
            self.timers.pop();
            match what {
                Due::Holds(token) => self.ask_holds(now, holds::Event::Timer(token)),
                Due::Roster(token) => self.ask_roster(now, roster::Event::Timer(token)),
                Due::Pursuit(no) => self.pursue(now, no),
            }
        }
        if now >= self.tidied + MAINTENANCE_INTERVAL_MS {
            self.tidied = now;
            self.tidy(now);
        }
        self.spread(now, overlay::Event::TimersDue);
    }

    fn question(&mut self, now: Ms, question: ControlRequest) {
        match question {
            ControlRequest::ChangeRecord { number: no, key, change, timeout: within } => {
                let asker = match &change {
                    Change::Acquire(_) => Asker::Taker(no, key),
                    Change::Complete(..) => Asker::Ender(no, change.clone()),
                    Change::Release(..) | Change::MarkOutcomeUnknown(_) | Change::Purge { .. } => {
                        Asker::Owner(no)
                    }
                    Change::IssueTicket { .. } | Change::UseTicket | Change::SetContinuation { .. } => {
                        Asker::Owner(no)
                    }
                    Change::SetTable { .. } | Change::Read | Change::Expire => Asker::Owner(no),
                };
                self.ask(now, asker, (key, change), within)
            }
            ControlRequest::ChangeInBackground(key, change) => self.begin(now, key, Some(change)),
            ControlRequest::Purge(purge) => {
                if self.parts.purges.observe(purge) {
                    self.next.keep(now, purge);
                    self.say_purge(now, purge);
                }
            }
            ControlRequest::Rules(name, text) => self.parts.table.rules(name, text),
            ControlRequest::ReportEvidence(evidence) => {
                self.ask_roster(now, roster::Event::LocalEvidence(evidence))
            }
            ControlRequest::Shutdown(unheard) => {
                self.ending = Some(now + self.parts.shutdown_timeout);
                let heard = |no: &RequestNumber| unheard.binary_search(no).is_err();
                let back: Vec<_> = self.mine.iter().filter(|(_, (_, no))| !heard(no)).collect();
                let back: Vec<_> = back.into_iter().map(|(key, (turn, _))| (*key, *turn)).collect();
                for (key, turn) in back {
                    self.begin(now, key, Some(Change::Release(self.parts.me.clone(), turn)));
                }
            }
        }
    }
}

fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}
