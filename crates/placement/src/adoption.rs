//! A router's part in bringing tables into service: what it does on each word of the register, and when it asks for the next step.
//!
//! It only ever asks for changes of the register by compare-and-swap; whoever is a version or two behind learns by the register's content, and
//! until then vouches by no old map to anyone who has a newer one (epochs are compared by the holds).

use crate::register::{Evidence, Offer, Refused, Register, Stage};
use crate::table::Table;
use basaltgw_types::{Member, Shard, ShardMap, TableHash};
use std::collections::BTreeSet;
use std::sync::Arc;

/// An operator's question, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OfferNo(pub u64);

/// What a router hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The fleet is being founded with this table, and no register was ever heard of.
    Found(Arc<Table>),
    /// The register's content, from the root's keepers or from its copy on the own disk.
    Learnt(Register),
    /// A member has the register's content of a turn on its disk; `filled`: and all that it comes to keep in that step.
    Said {
        /// Who.
        member: Member,
        /// The turn.
        turn: u64,
        /// See above.
        filled: bool,
    },
    /// The fill that was asked for is on the own disk.
    Filled(u64),
    /// An operator's offer, or one of an inventory that changed.
    Asked(OfferNo, Offer),
    /// Nothing was heard for the time that a change of the register takes: whatever is open is asked for again.
    Again,
}

/// What a router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the register from this turn (0: from nothing) to this content.
    Set {
        /// The turn that is expected.
        from: u64,
        /// The content.
        to: Register,
    },
    /// Put the content on the disk; from then on vouch by this map alone.
    Use(Arc<ShardMap>),
    /// Once the above is done, tell all members.
    Say {
        /// The turn.
        turn: u64,
        /// True if nothing had to be, or all was filled.
        filled: bool,
    },
    /// Get what a majority of those who kept these shards holds, counting only who answers at this map's epoch or a later one.
    Fill {
        /// The turn, for [`Event::Filled`].
        turn: u64,
        /// The shards.
        shards: Vec<Shard>,
    },
    /// An offer has come to its end.
    Answer(OfferNo, Result<Ended, Refused>),
}

/// How an offer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The table holds.
    Adopted(TableHash),
    /// It was taken back; the one before holds.
    TakenBack(TableHash),
}

/// What was heard and counted for nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Contents of a turn that was known, or older.
    pub old_contents: u64,
    /// Words on another turn than the present one.
    pub other_turns: u64,
    /// Words of who is in neither table.
    pub strangers: u64,
    /// Offers refused.
    pub refused: u64,
}

/// The most offers of one router that wait for their end.
pub const MOST_OPEN: usize = 8;

/// An offer under way.
#[derive(Clone, Debug)]
struct Open {
    no: OfferNo,
    offer: Offer,
    /// The table that it brings, or takes back.
    about: Option<TableHash>,
    /// The register has been seen to have it.
    taken: bool,
}

/// The state of a router's part.
#[derive(Clone, Debug)]
pub struct Adoption {
    me: Member,
    register: Option<Register>,
    founding: Option<Arc<Table>>,
    evidence: Evidence,
    open: Vec<Open>,
    counters: Counters,
    #[cfg(any(test, feature = "broken"))]
    broken: Option<crate::register::Broken>,
}

impl Adoption {
    /// A router that has heard nothing yet.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            register: None,
            founding: None,
            evidence: Evidence::default(),
            open: Vec::new(),
            counters: Counters::default(),
            #[cfg(any(test, feature = "broken"))]
            broken: None,
        }
    }

    /// Breaks it on purpose.
    #[cfg(any(test, feature = "broken"))]
    pub fn break_by(&mut self, broken: crate::register::Broken) {
        self.broken = Some(broken);
    }

    /// The register as far as it is known here.
    pub fn register(&self) -> Option<&Register> {
        self.register.as_ref()
    }

    /// What was counted for nothing.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes an event and adds what is to be done.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Found(table) => {
                if self.register.is_none() {
                    actions.push(Action::Use(Arc::new(table.founding_map())));
                    self.founding = Some(table);
                    self.again(actions);
                }
            }
            Event::Learnt(register) => self.learnt(register, actions),
            Event::Said { member, turn, filled } => self.said(member, turn, filled, actions),
            Event::Filled(turn) => {
                if self.register.as_ref().is_some_and(|r| r.turn() == turn) {
                    actions.push(Action::Say { turn, filled: true });
                }
            }
            Event::Asked(no, offer) => self.asked(no, offer, actions),
            Event::Again => self.again(actions),
        }
    }

    /// Asks for what is open: the founding content, an offer, the next step.
    fn again(&mut self, actions: &mut Vec<Action>) {
        match (&self.register, &self.founding) {
            (None, Some(table)) => {
                actions.push(Action::Set { from: 0, to: Register::founding(table.clone()) })
            }
            (None, None) => {}
            (Some(_), _) => {
                self.propose(actions);
                self.advance(actions);
            }
        }
    }

    fn asked(&mut self, no: OfferNo, offer: Offer, actions: &mut Vec<Action>) {
        if self.open.len() >= MOST_OPEN {
            self.counters.refused += 1;
            actions.push(Action::Answer(no, Err(Refused::Many(MOST_OPEN))));
            return;
        }
        self.open.push(Open { no, offer, about: None, taken: false });
        self.propose(actions);
    }

    /// Puts the first open offer that is not there into the register; those that can't be are refused.
    fn propose(&mut self, actions: &mut Vec<Action>) {
        let Some(register) = &self.register else { return };
        let (mut sent, mut left) = (false, Vec::new());
        for mut open in std::mem::take(&mut self.open) {
            if sent || open.taken {
                left.push(open);
                continue;
            }
            match register.propose(&self.me.router, &open.offer) {
                Ok(to) => {
                    let next = if open.offer == Offer::TakeBack { register.next() } else { to.next() };
                    open.about = next.map(|n| n.table.hash());
                    left.push(open);
                    actions.push(Action::Set { from: register.turn(), to });
                    sent = true;
                }
                Err(refused) => {
                    self.counters.refused += 1;
                    actions.push(Action::Answer(open.no, Err(refused)));
                }
            }
        }
        self.open = left;
    }

    fn learnt(&mut self, register: Register, actions: &mut Vec<Action>) {
        if self.register.as_ref().is_some_and(|r| register.turn() <= r.turn()) {
            self.counters.old_contents += 1;
            return;
        }
        if self.register.as_ref().is_none_or(|r| register.epoch() > r.epoch()) {
            actions.push(Action::Use(Arc::new(register.map())));
        }
        self.founding = None;
        self.evidence = Evidence { turn: register.turn(), ..Evidence::default() };
        let mine = |group: &basaltgw_types::QuorumGroup| group.members.contains(&self.me);
        // Even who kept a shard before may lack what a majority of the others kept, and would be counted among the new ones.
        let comes = register.changing().into_iter().filter(|(_, _, to)| mine(to));
        let fill: Vec<Shard> = comes.filter_map(|(shard, ..)| shard).collect();
        let turn = register.turn();
        actions.push(Action::Say { turn, filled: fill.is_empty() });
        if !fill.is_empty() {
            actions.push(Action::Fill { turn, shards: fill });
        }
        self.register = Some(register);
        self.settle(actions);
        self.propose(actions);
        if self.leads() {
            self.advance(actions);
        }
    }

    /// Whoever offered a table asks for its steps; the others only once nothing was heard for a time.
    fn leads(&self) -> bool {
        self.register.as_ref().and_then(Register::next).is_some_and(|n| n.by == self.me.router)
    }

    /// Answers offers that the register has brought to their end.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        let Some(register) = &self.register else { return };
        let (me, holds) = (&self.me.router, register.table().hash());
        let (now, next) = (register.table().version(), register.next());
        self.open.retain_mut(|open| {
            let back = open.offer == Offer::TakeBack;
            let ended = match next {
                Some(next) => {
                    let same = open.about == Some(next.table.hash());
                    let went_back = matches!(register.stage(), Stage::Both { back: true, .. });
                    open.taken |= same && if back { went_back } else { next.by == *me };
                    None
                }
                None if open.about.is_none() => None,
                None if open.about == Some(holds) => {
                    Some(if back { Err(Refused::Nothing { now, holds }) } else { Ok(Ended::Adopted(holds)) })
                }
                None if back || open.taken => Some(Ok(Ended::TakenBack(holds))),
                None => None,
            };
            actions.extend(ended.clone().map(|e| Action::Answer(open.no, e)));
            ended.is_none()
        });
    }

    fn said(&mut self, member: Member, turn: u64, filled: bool, actions: &mut Vec<Action>) {
        let Some(register) = &self.register else { return };
        let known = |t: &Table| t.routers().any(|(m, _)| *m == member);
        if turn != self.evidence.turn {
            self.counters.other_turns += 1;
        } else if !known(register.table()) && !register.next().is_some_and(|n| known(&n.table)) {
            self.counters.strangers += 1;
        } else {
            if filled {
                self.evidence.filled.insert(member.clone());
            }
            self.evidence.checked.insert(member);
            if self.leads() {
                self.advance(actions);
            }
        }
    }

    /// Asks for the next step if all is there that it needs.
    fn advance(&self, actions: &mut Vec<Action>) {
        let Some(register) = &self.register else { return };
        #[cfg(any(test, feature = "broken"))]
        let next = match self.broken {
            Some(broken) => register.advance_broken(&self.evidence, broken),
            None => register.advance(&self.evidence),
        };
        #[cfg(not(any(test, feature = "broken")))]
        let next = register.advance(&self.evidence);
        if let Some(to) = next {
            actions.push(Action::Set { from: register.turn(), to });
        }
    }

    /// Who has said what of the present turn.
    pub fn heard(&self) -> (&BTreeSet<Member>, &BTreeSet<Member>) {
        (&self.evidence.checked, &self.evidence.filled)
    }
}
