//! Requests for several parts, where the own settings take them: `crates/scatter_gather` decides, here its fetches become requests.
//!
//! A part of the own branch is a request like a client's, under an id of its own; one of another branch goes to a router there (`peers`).
//! What an answer leaves out is owed as a hold (`debts`). A gather has a number of the requests' own, so that it is known to its client's
//! connection and to the fleet's questions like any request.

mod answers;
mod debts;
mod peers;
mod tries;

use super::batch::Due;
use super::Owner;
use crate::caches::RequestNo;
use crate::clients::parts::{self, Gathered};
use crate::clients::{ClientId, Do, Tag};
use crate::fleet::gather::{GatherSet, Policies};
use crate::fleet::purges::{purge, Purge, Purges};
use crate::outbox::Counted;
use basaltgw::api::{ClassId, GroupId, Idempotency, Ms, ObjectId};
use basaltgw_scatter_gather as gather;
use basaltgw_scatter_gather::{
    Action, AttemptNo, Decide, Event, GatherNo, Gathers, Missing, PartNo, PartSpec, Policy, Site, Times, Used,
};
use debts::Debt;
use peers::Peers;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::sync::Arc;

/// Gathers open at once: as many requests as some hundred clients may have open.
const MOST_OPEN: usize = 1024;

/// What came of gathers at this router.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GatherCounters {
    pub asked: u64,
    pub whole: u64,
    pub part: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Parts asked of other routers, those that found none to ask, and parts given to others.
    pub wanted: u64,
    pub unreached: u64,
    pub given: u64,
    /// Parts that came and were dropped for want of memory.
    pub no_room: u64,
    /// Words of other routers that can't be read or were not asked for, and words to them for which there was no room.
    pub strange: u64,
    pub unsent: u64,
    /// Debts kept, not kept in time, paid whole, and asked for though they do not stand so.
    pub debts_kept: u64,
    pub debts_unkept: u64,
    pub debts_paid: u64,
    pub debts_unknown: u64,
}

/// How far a gather is.
enum Stage {
    /// It waits for its debt's hold.
    Looking,
    /// It is with the decisions.
    Out,
    /// Its answer waits until what it owes is kept.
    Owing(Box<Owing>),
}

/// An answer in part, before it is said.
struct Owing {
    debt: Debt,
    said: Gathered,
    held: Vec<Counted>,
    decided: Ms,
}

/// A client's request for several parts.
struct Open {
    client: (ClientId, Tag),
    class: ClassId,
    request: Box<Do>,
    parts: Vec<(PartNo, Site)>,
    deadline: Ms,
    /// What it asks for is owed under this.
    debt: Option<Debt>,
    stage: Stage,
}

/// Where an attempt is.
enum Way {
    /// Not taken in yet.
    Coming,
    /// A request of this router.
    Here(RequestNo),
    /// Another router's, under this number.
    There(u64),
}

/// An attempt that is out, or whose bytes are kept.
struct Try {
    way: Way,
    asked: Ms,
    bytes: Option<Counted>,
}

/// All that an owner has of gathers.
pub(super) struct Gathering {
    set: GatherSet,
    gathers: Gathers,
    pub policies: Arc<Policies>,
    purges: Purges,
    open: BTreeMap<GatherNo, Open>,
    tries: BTreeMap<(GatherNo, AttemptNo), Try>,
    peers: Peers,
    /// Events that came up amid others.
    todo: VecDeque<Event>,
    busy: bool,
    /// When the decisions want to be woken, and when they will be.
    wanted: Option<Ms>,
    armed: Option<Ms>,
    /// The last id of a part's request.
    ids: u64,
    counters: GatherCounters,
}

impl Gathering {
    /// Nothing is known yet.
    pub fn new(set: GatherSet) -> Result<Self, gather::BadSetting> {
        let settings =
            gather::Settings { open: MOST_OPEN, parts: parts::MOST_PARTS, ..gather::Settings::default() };
        let seed = set.draw as u64;
        Ok(Self {
            gathers: Gathers::new(settings, seed)?,
            policies: Arc::default(),
            purges: Purges::default(),
            open: BTreeMap::new(),
            tries: BTreeMap::new(),
            peers: Peers::new(seed),
            todo: VecDeque::new(),
            busy: false,
            wanted: None,
            armed: None,
            ids: (set.draw >> 64) as u64,
            counters: GatherCounters::default(),
            set,
        })
    }

    /// Counts one whose client had left before its turn came.
    pub fn left_early(&mut self) {
        self.counters.asked += 1;
        self.counters.left += 1;
    }

    /// The parts that are asked for, with their sites; `None` if they can't be read, or a site is no branch of the fleet.
    fn read(&self, request: &Do) -> Option<Vec<(PartNo, Site)>> {
        let all = parts::parts(request.parts.as_deref()?)?;
        let site = |(part, site): (u32, Option<Arc<str>>)| {
            let site = site.unwrap_or_else(|| Arc::clone(&self.set.branch));
            self.set.branches.contains(&site).then_some((PartNo(part), Site(site)))
        };
        all.into_iter().map(site).collect()
    }

    /// What may be answered in part of such a request.
    fn policy(&self, class: &str, parts: &[(PartNo, Site)]) -> Arc<Policy> {
        let asked = |n: &PartNo| parts.iter().any(|(p, _)| p == n);
        match self.policies.get(class) {
            Some(policy) if policy.needed.iter().all(asked) => Arc::clone(policy),
            // What is not asked for can't be needed here.
            Some(policy) => {
                let needed = policy.needed.iter().copied().filter(asked).collect();
                Arc::new(Policy { needed, ..Policy::clone(policy) })
            }
            None => Arc::new(Policy {
                needed: Vec::new(),
                least_count: 1.0,
                least_worth: 1.0,
                wait: 0.0,
                missing: Missing::Refused,
                second_copies: false,
            }),
        }
    }

    /// Those known and unsettled that concern an object.
    fn purges_of(&self, group: u64, object: u64) -> Vec<Purge> {
        let concerns = |p: &Purge| p.group == group && p.object.is_none_or(|o| o == object);
        self.purges.all().filter(concerns).collect()
    }

    /// The bytes that an answer is made of; `None` if some are not there.
    fn take(&mut self, no: GatherNo, used: &[Used]) -> Option<Vec<(PartNo, Counted)>> {
        let take = |u: &Used| Some((u.part, self.tries.remove(&(no, u.attempt))?.bytes?));
        used.iter().map(take).collect()
    }
}

fn told(purge: Purge) -> gather::Purge {
    gather::Purge { group: purge.group, object: purge.object, time: purge.time }
}

impl Owner {
    /// Takes a request for several parts.
    pub(super) fn gather(&mut self, client: (ClientId, Tag), class: ClassId, request: Box<Do>, deadline: Ms) {
        let Some(g) = &mut self.gathering else { return };
        let debt = request.debt.as_deref().map(parts::debt);
        let (Some(parts), false) = (g.read(&request), debt == Some(None) || !request.body.is_empty()) else {
            return self.not_understood(client.0, client.1);
        };
        self.counters.clients.requests.one();
        g.counters.asked += 1;
        if g.open.len() >= MOST_OPEN || self.requests.full() || self.meter.held() > self.most_held {
            g.counters.refused += 1;
            self.counters.clients.turned_away.one();
            return self.clients.turn_away(client.0, client.1);
        }
        let no = self.requests.number();
        self.clients.owe(client.0, client.1, no);
        let no = GatherNo(no.0);
        let safe = g.set.classes.get(class.0).is_some_and(|c| c.idempotency == Idempotency::Idempotent);
        let open = Open { client, class, request, parts, deadline, debt: None, stage: Stage::Looking };
        g.open.insert(no, open);
        match debt.flatten().filter(|_| safe) {
            Some(name) => self.debt_looked(no, name),
            None => self.gather_begin(no),
        }
    }

    /// Hands a gather over to the decisions.
    fn gather_begin(&mut self, no: GatherNo) {
        let Some(g) = &mut self.gathering else { return };
        let Some(open) = g.open.get_mut(&no) else { return };
        open.stage = Stage::Out;
        let (object, group) = (open.request.object.0, open.request.group.0);
        let version = open.debt.as_ref().map(|d| Arc::clone(&d.version));
        let spec = |(part, site): &(PartNo, Site)| PartSpec {
            part: *part,
            object,
            group,
            site: site.clone(),
            alternates: Vec::new(),
            worth: 1.0,
            version: version.clone(),
        };
        let parts: Vec<PartSpec> = open.parts.iter().map(spec).collect();
        let left = (open.deadline - self.now).max(0.0);
        let class = g.set.classes.get(open.class.0);
        let (aim, late_worth) = class.map_or((left, 0.0), |c| (c.latency_objective, c.late_weight_share));
        let times =
            Times { aim: aim.clamp(0.0, left), deadline: left, late_worth: late_worth.clamp(0.0, 1.0) };
        let effect = match class.map(|c| c.idempotency) {
            Some(Idempotency::Idempotent) => gather::Effect::Safe,
            Some(Idempotency::IdempotencyKey) => gather::Effect::Keyed,
            Some(Idempotency::NonIdempotent) | None => gather::Effect::Unsafe,
        };
        let open = &g.open[&no];
        let policy = g.policy(&open.request.class, &open.parts);
        let purges = g.purges_of(group, object).into_iter().map(told).collect();
        self.gather_tell(Event::Ask(gather::Ask { no, policy, effect, parts, times, purges }));
    }

    /// Tells the decisions an event and does what they want done; what comes of that is told after it.
    pub(super) fn gather_tell(&mut self, event: Event) {
        let Some(g) = &mut self.gathering else { return };
        g.todo.push_back(event);
        if std::mem::replace(&mut g.busy, true) {
            return;
        }
        let now = self.now;
        while let Some(g) = &mut self.gathering {
            let Some(event) = g.todo.pop_front() else {
                g.busy = false;
                return;
            };
            let mut acts = Vec::new();
            g.gathers.handle(now, event, &mut acts);
            acts.into_iter().for_each(|act| self.gather_act(act));
        }
    }

    fn gather_act(&mut self, act: Action) {
        match act {
            Action::Fetch { no, attempt, part, site, times, copy: _, version: _, after: _ } => {
                // Versions and purges are looked at when it comes: caches take neither with a fetch.
                self.gather_fetch((no, attempt), part, &site, times.deadline);
            }
            Action::Drop(no, attempt) => self.gather_drop((no, attempt)),
            Action::Answer(no, verdict) => self.gather_answer(no, verdict),
            Action::Tell(evidence) => self.fleet.iter_mut().for_each(|f| f.heard(evidence.clone())),
            Action::Timer(at) => {
                let Some(g) = &mut self.gathering else { return };
                g.wanted = Some(at);
                self.gather_arm();
            }
        }
    }

    /// Sets a timer for the time at which the decisions want to be woken, unless one is set before it.
    fn gather_arm(&mut self) {
        let Some(g) = &mut self.gathering else { return };
        let Some(at) = g.wanted.filter(|at| g.armed.is_none_or(|armed| *at < armed)) else { return };
        g.armed = Some(at);
        // Timers count whole microseconds: never before it.
        self.timers.set(at + 0.001, Due::Gather);
    }

    pub(super) fn gather_due(&mut self) {
        let now = self.now;
        let Some(g) = &mut self.gathering else { return };
        g.armed = g.armed.filter(|at| *at > now);
        if g.wanted.is_some_and(|at| at <= now) {
            g.wanted = None;
            self.gather_tell(Event::Timer);
        }
        self.gather_arm();
    }

    /// A purge, from whomever it was heard.
    pub(super) fn gather_purged(&mut self, object: Option<ObjectId>, group: GroupId, time: Ms) {
        let Some(g) = &mut self.gathering else { return };
        let purge = purge(group, object, time);
        if g.purges.observe(purge) {
            self.gather_tell(Event::Purged(told(purge)));
        }
    }

    /// Forgets purges that have settled.
    pub(super) fn gather_tidy(&mut self) {
        let now = self.platform.unix(self.now);
        self.gathering.iter_mut().for_each(|g| g.purges.settle(now, g.set.settles));
    }

    /// What was counted, as `name=value` words.
    pub(super) fn gather_words(&self) -> String {
        let Some(g) = &self.gathering else { return String::new() };
        let c = &g.counters;
        let mut text = format!(" gathers={} gathers_whole={} gathers_part={}", c.asked, c.whole, c.part);
        let _ = write!(
            text,
            " gathers_refused={} gathers_failed={} gathers_left={}",
            c.refused, c.failed, c.left
        );
        let _ = write!(
            text,
            " parts_wanted={} parts_unreached={} parts_given={}",
            c.wanted, c.unreached, c.given
        );
        let _ = write!(text, " parts_no_room={} gather_words_strange={}", c.no_room, c.strange);
        let _ = write!(text, " gather_words_unsent={}", c.unsent);
        let _ = write!(text, " debts_kept={} debts_unkept={}", c.debts_kept, c.debts_unkept);
        let _ = write!(text, " debts_paid={} debts_unknown={}", c.debts_paid, c.debts_unknown);
        text
    }
}
