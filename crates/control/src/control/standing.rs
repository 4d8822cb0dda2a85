//! Standing links: those with neighbours in the overlay and in the ring of names. All others are dialled when a word is for them, and not
//! wanted any more after a while without one; the links close them then.
//!
//! Not being linked says nothing of a router. It is known not to be reached from a failed dial, or a link that broke, until it is reached again;
//! it is dialled all that time, or else what is known of it is forgotten. So nothing is held to be lost on old knowledge.

use super::Control;
use crate::api::Action;
use crate::words::Message;
use basaltgw_overlay as overlay;
use basaltgw_registers as holds;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms, RouterId, TableHash, TableVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;

/// A router that was dialled for a word is wanted for so long after the last one; longer than it is waited before an effect is in doubt.
const USED_MS: Ms = 2_000.0;
/// Routers that are dialled since words wait for them, at the most.
const MOST_ROUTERS: usize = 256;
/// Routers of the table that are known not to be reached, at the most. Of others it is found out anew each time.
const MOST_GONE: usize = 64;

/// Bounds of what waits for links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StandingLinks {
    /// A word waits no longer than this: as long as a promise may take.
    pub wait: Ms,
    /// Words that wait for one router.
    pub words: usize,
    /// Bytes of words that wait for one router.
    pub bytes: usize,
    /// Words that wait for all routers together, and their bytes.
    pub all_words: usize,
    /// See `all_words`.
    pub all_bytes: usize,
}

/// A word that waits for a link to that member.
#[derive(Debug)]
struct Waiting {
    until: Ms,
    no: u64,
    to: Member,
    lane: Lane,
    body: Vec<u8>,
}

/// Why a word that had to wait was given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Back {
    /// Too many wait.
    Full,
    /// It has waited long enough.
    Late,
    /// The router is not reached.
    Unreached,
    /// Another life of it is.
    Replaced,
}

#[derive(Debug, Default)]
struct Counters {
    waited: u64,
    full: u64,
    late: u64,
    unreached: u64,
    replaced: u64,
    unheard: u64,
}

/// What is known of links, and what waits for them.
#[derive(Debug)]
pub(super) struct Standing {
    set: StandingLinks,
    now: Ms,
    /// As the links were last told.
    wanted: BTreeSet<RouterId>,
    /// Linked and wanted no more: the link may go at any time, and is asked for before it is used.
    resting: BTreeSet<RouterId>,
    /// The tables of those that are linked.
    tables: BTreeMap<RouterId, (TableVersion, TableHash)>,
    /// Those that were dialled for words, and when the last went.
    used: BTreeMap<RouterId, Ms>,
    waiting: BTreeMap<RouterId, VecDeque<Waiting>>,
    all: (usize, usize),
    /// Routers of the table that are known not to be reached: dialled until they are.
    gone: BTreeSet<RouterId>,
    /// Numbers of words to be given back.
    back: VecDeque<u64>,
    counters: Counters,
}

impl Standing {
    pub fn new(now: Ms, set: StandingLinks) -> Self {
        Self {
            set,
            now,
            wanted: BTreeSet::new(),
            resting: BTreeSet::new(),
            tables: BTreeMap::new(),
            used: BTreeMap::new(),
            waiting: BTreeMap::new(),
            all: (0, 0),
            gone: BTreeSet::new(),
            back: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    fn give_back(&mut self, no: u64, why: Back) {
        match why {
            Back::Full => self.counters.full += 1,
            Back::Late => self.counters.late += 1,
            Back::Unreached => self.counters.unreached += 1,
            Back::Replaced => self.counters.replaced += 1,
        }
        self.back.push_back(no);
    }

    /// Has a word wait, if there is room.
    fn wait(&mut self, word: Waiting) {
        let (router, bytes) = (word.to.router.clone(), word.body.len());
        let of = self.waiting.get(&router);
        let (words, held) = of.map_or((0, 0), |q| (q.len(), q.iter().map(|w| w.body.len()).sum()));
        let set = &self.set;
        let room = words < set.words
            && held + bytes <= set.bytes
            && self.all.0 < set.all_words
            && self.all.1 + bytes <= set.all_bytes;
        let dialled = self.used.contains_key(&router) || self.used.len() < MOST_ROUTERS;
        if !room || !dialled {
            return self.give_back(word.no, Back::Full);
        }
        self.counters.waited += 1;
        self.all = (self.all.0 + 1, self.all.1 + bytes);
        self.used.insert(router.clone(), self.now);
        self.waiting.entry(router).or_default().push_back(word);
    }

    /// Takes out what waits for a router.
    fn take(&mut self, router: &RouterId) -> VecDeque<Waiting> {
        let words = self.waiting.remove(router).unwrap_or_default();
        let bytes: usize = words.iter().map(|w| w.body.len()).sum();
        self.all = (self.all.0 - words.len(), self.all.1 - bytes);
        words
    }

    /// Gives back what has waited for too long; words of a router wait in the order of their ends.
    fn late(&mut self) {
        let now = self.now;
        let late = |q: &VecDeque<Waiting>| q.front().is_some_and(|w| w.until <= now);
        let routers: Vec<RouterId> =
            self.waiting.iter().filter(|(_, q)| late(q)).map(|(router, _)| router.clone()).collect();
        for router in routers {
            for word in self.take(&router) {
                match word.until <= now {
                    true => self.give_back(word.no, Back::Late),
                    false => {
                        self.all = (self.all.0 + 1, self.all.1 + word.body.len());
                        self.waiting.entry(router.clone()).or_default().push_back(word);
                    }
                }
            }
        }
    }

    /// A word went to that router, or came from it.
    fn touch(&mut self, router: &RouterId) {
        let now = self.now;
        self.used.get_mut(router).into_iter().for_each(|at| *at = now);
    }
}

impl Control {
    /// Each event begins with the time.
    pub(super) fn standing_at(&mut self, now: Ms) {
        self.standing.iter_mut().for_each(|s| s.now = now);
    }

    /// True if a link to that member stands that will not be closed meanwhile.
    fn linked(&self, to: &Member) -> bool {
        let rests = |s: &Standing| s.resting.contains(&to.router);
        self.reached.get(&to.router) == Some(to) && !self.standing.as_ref().is_some_and(rests)
    }

    /// Sends a word, or has it wait for a link.
    pub(super) fn send(&mut self, no: u64, to: Member, lane: Lane, body: Vec<u8>) {
        let linked = self.linked(&to);
        let other = self.reached.get(&to.router).is_some_and(|is| *is != to);
        if let Some(standing) = &mut self.standing {
            if other || to.router == self.parts.me.router {
                return standing.give_back(no, Back::Replaced);
            }
            if standing.gone.contains(&to.router) {
                return standing.give_back(no, Back::Unreached);
            }
            if !linked {
                let until = standing.now + standing.set.wait;
                return standing.wait(Waiting { until, no, to, lane, body });
            }
            standing.touch(&to.router);
        }
        self.out.push(Action::Send { number: no, to, lane, body });
    }

    /// Says something to a member over a link that there is: without one it is about nothing any more.
    pub(super) fn say_linked(&mut self, to: &Member, word: &Message) {
        if self.standing.is_none() || self.reached.get(&to.router) == Some(to) {
            self.out.push(Action::Send { number: 0, to: to.clone(), lane: Lane::Table, body: word.encode() });
        }
    }

    /// Says something to all that are linked, and to all routers of the table.
    pub(super) fn say_members(&mut self, word: &Message) {
        let mut all: BTreeSet<Member> = self.reached.values().cloned().collect();
        if self.standing.is_some() {
            all.extend(self.parts.table.members().filter(|m| !self.reached.contains_key(&m.router)));
            all.remove(&self.parts.me);
        }
        all.iter().for_each(|to| self.say(to, word));
    }

    /// Says something to all that are linked, and to a router of the table.
    pub(super) fn say_near(&mut self, word: &Message, and: Option<&RouterId>) {
        self.say_all(word);
        let and = and.filter(|r| !self.reached.contains_key(*r) && **r != self.parts.me.router);
        let member = and.and_then(|r| self.parts.table.members().find(|m| m.router == *r));
        member.into_iter().for_each(|m| self.say(&m, word));
    }

    /// Something that a peer said came.
    pub(super) fn standing_got(&mut self, from: &Member, lane: Lane) -> bool {
        let Some(standing) = &mut self.standing else { return false };
        standing.touch(&from.router);
        // Who is merely not linked must not be held to be down: rosters of routers with standing links say nothing.
        standing.counters.unheard += u64::from(lane == Lane::Membership);
        lane == Lane::Membership
    }

    /// A link is up, or said to be up still: what waited for it goes. True if nothing else is new.
    pub(super) fn standing_up(&mut self, hello: &Hello) -> bool {
        let Some(standing) = &mut self.standing else { return false };
        let (member, router) = (&hello.member, &hello.member.router);
        let same = self.reached.get(router) == Some(member);
        let table = standing.tables.insert(router.clone(), hello.table);
        standing.gone.remove(router);
        if standing.wanted.contains(router) {
            standing.resting.remove(router);
        }
        if standing.resting.contains(router) {
            return same && table == Some(hello.table);
        }
        for word in standing.take(router) {
            let Waiting { no, to, lane, body, .. } = word;
            match to == *member {
                true => self.out.push(Action::Send { number: no, to, lane, body }),
                false => standing.give_back(no, Back::Replaced),
            }
        }
        same && table == Some(hello.table)
    }

    /// Whether whoever came up is asked how the table stands: who goes by a later one, and neighbours, for what is on its way in.
    pub(super) fn asks_table(&self, hello: &Hello) -> bool {
        let router = &hello.member.router;
        let own = self.parts.table.version().map(|(version, _)| version);
        self.standing.is_none()
            || own.is_none_or(|own| hello.table.0 > own)
            || self.parts.table.watched().contains(router)
            || self.spread.as_ref().is_some_and(|s| s.wants(router))
    }

    /// A link is down. True if it was only closed for being idle: nothing is known of the router then.
    pub(super) fn standing_down(&mut self, member: &Member, why: LinkError) -> bool {
        let Some(standing) = &mut self.standing else { return false };
        if self.reached.get(&member.router) == Some(member) {
            standing.resting.remove(&member.router);
            standing.tables.remove(&member.router);
        }
        match why {
            LinkError::Idle => true,
            LinkError::NotConnected
            | LinkError::QueueFull
            | LinkError::ConnectionLost
            | LinkError::PeerTimeout => false,
            LinkError::MalformedFrame
            | LinkError::RateExceeded
            | LinkError::PeerMismatch
            | LinkError::Replaced => false,
        }
    }

    /// A router was dialled and not reached, or its link broke: what waits for it is given back, and it is dialled on if the table has it.
    pub(super) fn standing_lost(&mut self, now: Ms, router: &RouterId) {
        let named = self.parts.table.members().any(|m| m.router == *router);
        let Some(standing) = &mut self.standing else { return };
        for word in standing.take(router) {
            standing.give_back(word.no, Back::Unreached);
        }
        self.lost.entry(router.clone()).or_insert(now);
        if named && standing.gone.len() < MOST_GONE && standing.gone.insert(router.clone()) {
            let keepers = self.keepers_of(router);
            keepers.into_iter().for_each(|m| self.ask_holds(now, holds::Event::PeerReachable(m, false)));
            self.parts.table.unreached(now, router);
        } else if self.parts.table.watched().contains(router) {
            self.parts.table.unreached(now, router);
        }
    }

    /// Lives of a router that keep something by the present map.
    fn keepers_of(&self, router: &RouterId) -> BTreeSet<Member> {
        let map = self.parts.table.map();
        let keepers = map.iter().flat_map(|m| m.shards.iter().chain([&m.root]));
        let members = keepers.flat_map(|k| &k.groups).flat_map(|g| &g.members);
        members.filter(|m| m.router == *router).cloned().collect()
    }

    /// A router that was wanted is not reached.
    pub(super) fn unreached(&mut self, now: Ms, router: &RouterId) {
        if self.standing.is_none() || self.reached.contains_key(router) {
            return;
        }
        self.standing_lost(now, router);
        if self.spread.as_mut().is_some_and(|s| s.dial_over(router)) {
            self.spread(now, overlay::Event::DialFailed(router.clone()));
        }
    }

    /// A router that is lost is still asked about: it is dialled on.
    pub(super) fn keep_dialling(&mut self, router: &RouterId) {
        self.standing.iter_mut().for_each(|s| s.touch(router));
    }

    /// At the end of each event: what can't go is given back, and the links are told who is wanted.
    pub(super) fn standing_settled(&mut self, now: Ms) {
        if self.standing.is_none() {
            return;
        }
        self.standing.iter_mut().for_each(Standing::late);
        while let Some(no) = self.standing.as_mut().and_then(|s| s.back.pop_front()) {
            self.counts.unsent += 1;
            if no > 0 {
                self.ask_holds(now, holds::Event::SendFailed(no));
            }
        }
        let wants = self.wants(now);
        let Some(standing) = &mut self.standing else { return };
        for router in wants.difference(&standing.wanted) {
            self.out.push(Action::SetLinkWanted(router.clone(), true));
        }
        // What is not dialled on may be back without being heard of.
        self.lost.retain(|router, _| wants.contains(router));
        self.parts.table.keep_lost(&wants);
        for router in standing.wanted.difference(&wants) {
            self.out.push(Action::SetLinkWanted(router.clone(), false));
            if self.reached.contains_key(router) {
                standing.resting.insert(router.clone());
            }
        }
        standing.wanted = wants;
    }

    /// Who is wanted now.
    fn wants(&mut self, now: Ms) -> BTreeSet<RouterId> {
        let table = &self.parts.table;
        let mut wants: BTreeSet<RouterId> = table.watched().into_iter().collect();
        // A fleet is founded once all that are listed have met.
        if table.is_to_found() {
            wants.extend(table.listed().cloned());
        }
        wants.extend(self.spread.iter().flat_map(|s| s.wanted()));
        if let Some(standing) = &mut self.standing {
            let Standing { used, waiting, gone, .. } = standing;
            used.retain(|router, at| now < *at + USED_MS || waiting.contains_key(router));
            gone.retain(|router| table.members().any(|m| m.router == *router));
            wants.extend(used.keys().chain(gone.iter()).cloned());
        }
        wants.remove(&self.parts.me.router);
        wants
    }

    /// When the next word has waited for long enough.
    pub(super) fn standing_due(&self) -> Ms {
        let firsts = self.standing.iter().flat_map(|s| s.waiting.values()).filter_map(|q| q.front());
        firsts.map(|w| w.until).fold(Ms::INFINITY, Ms::min)
    }

    /// What is counted of standing links, as `name=value` words; empty without them.
    pub(super) fn standing_words(&self) -> String {
        let Some(standing) = &self.standing else { return String::new() };
        let c = &standing.counters;
        let (wanted, gone, waits) = (standing.wanted.len(), standing.gone.len(), standing.all.0);
        let mut text = format!(" links_wanted={wanted} links_gone={gone} words_waiting={waits} ");
        let _ = write!(text, "words_waited={} words_back_full={} ", c.waited, c.full);
        let _ = write!(text, "words_back_late={} words_back_unreached={} ", c.late, c.unreached);
        let _ = write!(text, "words_back_replaced={} roster_unheard={}", c.replaced, c.unheard);
        text
    }
}
