//! What a router holds of its servers and open requests; plain data, nothing here decides.

use crate::account::SendAccount;
use crate::api::{
    Endpoint, EndpointState, FillPlan, GroupId, Ms, ObjectId, Rank, Request, RequestId, ServerId, Settings,
};
use crate::known::Known;
use crate::routing::{GATE_LEVEL_MS, SHADOW_ENTRIES};
use crate::shadow::ShadowList;
use crate::window::{Average, DecayingRate};
use crate::work::WorkEstimate;
use basaltgw_structures::Candidates;
use indexmap::IndexMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// A limit on what is out at a cache, or on the fills over the zone's link: none until it first proves full, then
/// cut when full and grown when not.
pub struct Gate {
    pub limit: f64,
    pub cut: Ms,
    /// Answers since it was cut.
    pub answers: u32,
    pub slow: Average,
    /// When it last took an answer in.
    pub heard: Ms,
    /// How quickly answers came lately.
    pub pace: DecayingRate,
    /// How many were out on average lately: the time that attempts took, by the time they took it in.
    pub level: DecayingRate,
    /// Routers that send there.
    pub routers: f64,
}

/// Whether a server is sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// As usual.
    Good,
    /// Not until then.
    Out(Ms),
    /// One attempt at a time; so many served beyond those that failed.
    Trial(u32),
}

/// What an outcome says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    Served,
    Failed,
    /// No connection could be made.
    Refused,
}

/// What a router knows of a server.
pub struct Server {
    pub entry: Endpoint,
    pub hash: u64,
    pub health: Health,
    /// Failed trials in a row.
    pub strikes: u32,
    /// It was unreachable or silent when taken out, so it may come back cold.
    pub vanished: bool,
    /// When it started, or came back as if it had.
    pub started: Option<Ms>,
    /// When its process started, as the list tells: what arrived earlier went to another. `None` where the start seemed to lie ahead, so that
    /// nobody knows when it was.
    pub account_from: Option<Ms>,
    /// Its share of refused connections, decayed.
    pub refused: f64,
    pub gate: Gate,
    /// How slow its answers were lately, as a logarithm; and by which its listed size is cut for it, by which it stands in the order.
    pub lag: Average,
    pub cut: f64,
    pub stands: f64,
    /// Its last answer of any kind, and the evidence of silence since.
    pub answered: Ms,
    pub mute: f64,
    /// Attempts out and their work.
    pub out: usize,
    pub work: f64,
    /// What was sent to it lately (a parent: fills too).
    pub sent: SendAccount,
}

/// The server of that name; a new one takes the place of one that has gone, that nothing holds any more and that was sent nothing lately,
/// so that a table grows no longer than what is listed at a time, and what has just gone. Places of others stay.
pub fn place<'a>(
    servers: &'a mut IndexMap<ServerId, Server>,
    id: &ServerId,
    new: impl FnOnce() -> Server,
    held: impl Fn(usize) -> bool,
) -> &'a mut Server {
    let at = servers.get_index_of(id).unwrap_or_else(|| {
        let free = |i: &usize| {
            let s = &servers[*i];
            s.entry.state == EndpointState::Removed && s.sent.is_empty() && !held(*i)
        };
        match (0..servers.len()).find(free).filter(|i| servers.replace_index(*i, id.clone()).is_ok()) {
            Some(at) => {
                servers[at] = new();
                at
            }
            None => servers.insert_full(id.clone(), new()).0,
        }
    });
    &mut servers[at]
}

/// The sources of some edge caches, as they are planned.
pub struct Planned {
    pub order: Candidates,
    /// By place of the source: the share of its objects for which it may be named.
    pub share: HashMap<usize, f64>,
    pub origin: bool,
}

/// An attempt.
pub struct Try {
    pub server: usize,
    pub source: Option<usize>,
    pub sent: Ms,
    pub weight: f64,
    pub key: u64,
    /// The chance that it needs a fill over the zone's link.
    pub fill: f64,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// The server to be passed over by the request's further attempts: this one's cache or its source.
    pub fault: Option<usize>,
    /// How often it has been found overdue.
    pub overdue: u32,
    /// How slow it was when it last told of its cache, as a logarithm.
    pub slow: f64,
    pub over: bool,
}

impl Try {
    /// An attempt that has just gone out: held against its cache until the outcome tells better.
    pub fn new(
        (server, source): (usize, Option<usize>),
        sent: Ms,
        weight: f64,
        key: u64,
        fill: f64,
        held_only: bool,
    ) -> Self {
        Self {
            server,
            source,
            sent,
            weight,
            key,
            fill,
            held_only,
            fault: Some(server),
            overdue: 0,
            slow: 1.0,
            over: false,
        }
    }
}

impl Try {
    /// It speaks of the server at that place.
    pub fn names(&self, i: usize) -> bool {
        self.server == i || [self.source, self.fault].contains(&Some(i))
    }
}

/// What a look at the cache has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Found {
    Unknown,
    /// The cache lacks it.
    Nothing,
    /// The parent lacks it too.
    Beyond,
    FillUnderWay,
}

/// A request that has come in and what is out for it.
pub struct Open {
    pub req: Request,
    pub class: usize,
    /// By then it must have its final answer.
    pub end: Ms,
    pub rank: Rank,
    pub tries: Vec<Try>,
    /// What a look has shown.
    pub found: Found,
    /// When the first attempt was sent that is over and may have run.
    pub may_have_run: Option<Ms>,
    pub done: bool,
}

impl Open {
    /// A request that has just come in.
    pub fn new(req: Request, class: usize, end: Ms, rank: Rank) -> Self {
        let (tries, found) = (Vec::new(), Found::Unknown);
        Self { req, class, end, rank, tries, found, may_have_run: None, done: false }
    }

    /// An attempt has shown that this server is to be passed over.
    pub fn blames(&self, server: usize) -> bool {
        self.tries.iter().any(|t| t.fault == Some(server))
    }

    /// An attempt is out that its source may have to get from the origin.
    pub fn may_fill(&self) -> bool {
        self.tries.iter().any(|t| !t.over && !t.held_only && t.source.is_some() && t.fill > 0.0)
    }

    /// When the first attempt was sent that may have run, or may yet.
    pub fn may_run_since(&self) -> Option<Ms> {
        self.may_have_run.or_else(|| self.tries.iter().find(|t| !t.over).map(|t| t.sent))
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.tries.iter().filter(|t| !t.over).count()
    }
}

/// One router: decides for its own requests from its own events alone.
pub struct Router {
    pub(crate) set: Settings,
    pub(crate) now: Ms,
    /// When it was first told something.
    pub(crate) born: Option<Ms>,
    pub(crate) servers: IndexMap<ServerId, Server>,
    /// By role: what the list has up, edge caches of the own zone only.
    pub(crate) up: [Vec<usize>; 3],
    /// The same, by hash order.
    pub(crate) order: [Candidates; 3],
    /// Where sources are planned: the plan, and by edge cache what it comes to.
    pub(crate) table: Option<Arc<FillPlan>>,
    pub(crate) planned: IndexMap<usize, Rc<Planned>>,
    pub(crate) open: IndexMap<RequestId, Open>,
    pub(crate) edge: ShadowList,
    pub(crate) missed: ShadowList,
    /// Objects seen lately.
    pub(crate) known: IndexMap<ObjectId, Known>,
    pub(crate) split: usize,
    pub(crate) next_period: Ms,
    /// L1 and L2.
    pub(crate) latency: [Average; 2],
    /// By class: delay of what was served, and sending time.
    pub(crate) delay: Vec<(Average, Average)>,
    pub(crate) sending: Vec<Average>,
    /// By class: what an attempt weighs in the accounts of slow start.
    pub(crate) work: Vec<WorkEstimate>,
    /// By class: the logarithm of what a hit takes.
    pub(crate) hits: Vec<Average>,
    /// By class: the share of answers that needed a fill.
    pub(crate) fills: Vec<Average>,
    /// The share of fills for which the origin was asked.
    pub(crate) beyond: Average,
    /// The fills over the zone's link.
    pub(crate) link: Gate,
    /// When an object, or a group, was purged.
    pub(crate) purged: IndexMap<(Option<ObjectId>, Option<GroupId>), Ms>,
    pub(crate) keys: u64,
    /// The caller tells when attempts are put on the wire; else they are as they are decided.
    pub(crate) writes_told: bool,
    pub(crate) seed: u64,
    pub(crate) lines: usize,
}

impl Router {
    /// A router that knows nothing yet. The seed sets its turns at cold servers apart from its peers'.
    pub fn new(set: Settings, seed: u64) -> Self {
        let classes = set.classes.len();
        Self {
            now: 0.0,
            born: None,
            servers: IndexMap::new(),
            up: Default::default(),
            order: Default::default(),
            table: None,
            planned: IndexMap::new(),
            open: IndexMap::new(),
            edge: ShadowList::new(SHADOW_ENTRIES),
            missed: ShadowList::new(SHADOW_ENTRIES),
            known: IndexMap::new(),
            split: SHADOW_ENTRIES / 2,
            next_period: 0.0,
            latency: [Average::default(); 2],
            delay: vec![Default::default(); classes],
            sending: vec![Average::default(); classes],
            work: vec![WorkEstimate::default(); classes],
            hits: vec![Average::default(); classes],
            fills: vec![Average::default(); classes],
            beyond: Average::default(),
            link: Gate::new(0.0, GATE_LEVEL_MS, set.zone_routers),
            purged: IndexMap::new(),
            keys: 0,
            writes_told: false,
            lines: 0,
            seed,
            set,
        }
    }

    /// From now on the caller tells of each attempt that its last byte is on the wire ([`Event::Written`](crate::api::Event::Written)). Without this
    /// attempts count as written when they are decided.
    pub fn report_writes(&mut self) {
        self.writes_told = true;
    }

    /// s1, the share of the shadow list that earns top rank, in entries.
    pub fn split(&self) -> usize {
        self.split
    }
}

impl Gate {
    /// A gate that has never been full.
    pub fn new(now: Ms, tau: Ms, routers: usize) -> Self {
        let (level, pace, routers) =
            (DecayingRate::new(now, tau), DecayingRate::new(now, tau), routers as f64);
        let (limit, cut) = (f64::INFINITY, f64::NEG_INFINITY);
        Self { limit, cut, answers: 0, slow: Average::default(), heard: now, pace, level, routers }
    }
}

impl Server {
    /// Its size in relation to the others, as listed and cut.
    pub fn size(&self) -> f64 {
        self.entry.weight * self.stands.exp()
    }

    /// A server that the list has just named.
    pub fn new(entry: Endpoint, hash: u64, now: Ms, gate: Gate) -> Self {
        Self {
            // By a clock ahead of this one's it would not have started yet, and what it is sent would not count.
            started: entry.started.map(|t| t.min(now)),
            hash,
            health: Health::Good,
            strikes: 0,
            account_from: entry.started.filter(|t| *t <= now),
            entry,
            vanished: false,
            refused: 0.0,
            gate,
            lag: Average::default(),
            cut: 0.0,
            stands: 0.0,
            answered: now,
            mute: 0.0,
            out: 0,
            work: 0.0,
            sent: SendAccount::default(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::{Role, ZoneId};

    fn put(
        table: &mut IndexMap<ServerId, Server>,
        name: &str,
        listed: EndpointState,
        held: Option<usize>,
    ) -> usize {
        let id = ServerId(name.into());
        let (zone, role) = (ZoneId(0), Role::Edge);
        let entry =
            Endpoint { id: id.clone(), zone, role, cell: 0, state: listed, weight: 1.0, started: None };
        let new = || Server::new(entry.clone(), 0, 0.0, Gate::new(0.0, 1.0, 1));
        place(table, &id, new, |i| Some(i) == held).entry = entry.clone();
        table.get_index_of(&id).expect("its place")
    }

    #[test]
    fn a_table_of_servers_grows_no_longer_than_what_is_listed() {
        let mut table = IndexMap::new();
        let stays = put(&mut table, "stays", EndpointState::Up, None);
        let held = put(&mut table, "held", EndpointState::Up, None);
        put(&mut table, "held", EndpointState::Removed, Some(held));
        for n in 0..3000 {
            let name = format!("s{n}");
            let at = put(&mut table, &name, EndpointState::Up, Some(held));
            assert!(at != stays && at != held, "an open attempt still means the one that has gone");
            assert_eq!(put(&mut table, &name, EndpointState::Removed, Some(held)), at);
        }
        assert_eq!(table.len(), 3);
        assert_eq!(put(&mut table, "stays", EndpointState::Up, Some(held)), stays);
        // Once nothing means it any more, its place is free as well.
        put(&mut table, "new", EndpointState::Up, None);
        assert_eq!(put(&mut table, "newer", EndpointState::Up, None).max(2), 2);
    }
}
