//! The owner of the module: the table of requests and attempts, the timers, and the batches.

use crate::caches::{Answer, Ask, AttemptKey, Caches, ConnId, Down, GivenUp, RequestNo};
use crate::clients::{answer, pong, ClientId, Do, FromClient, Reply, Tag, WireId};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::inbox::Over;
use crate::limits::{
    CLIENT_IDLE_MS, HELD_SHARE, LEAVING_MS, OPEN_PER_CLIENT, QUEUE, ROOM_IDLE_MS, ROOM_REST_MS, ROOM_SHARE,
    ROOM_SILENT_MS, TAGS_KEPT, UNDONE_MOST, UNREADABLE_MOST,
};
use crate::outbox::{Counted, Meter, Outbox, Parcel, Stage};
use crate::shutdown::Ending;
use crate::tree::Tree;
use crate::{Input, Inputs, Shared};
use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use basaltgw::api::*;
use basaltgw::rules::carry::Learnt;
use basaltgw::rules::Router;
use basaltgw_config::{Member, Names, News, NodeConfig, OwnSettings, Place};
use futures_lite::future;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How often connections are tidied, and the longest that the owner sleeps.
const TIDY_MS: Ms = 100.0;

/// An attempt that was asked for.
struct Attempt {
    server: ServerId,
    source: Option<ServerId>,
    sent: Ms,
    /// The connection on which it went.
    on: Option<ConnId>,
    /// Where it is on its way; `None` once it is over.
    way: Option<(ConnId, Rc<Parcel>)>,
}

/// An attempt that was given up, and is out until its server has shown that it knows, or its connection is over.
struct Leaving {
    key: AttemptKey,
    end: End,
    on: ConnId,
    tag: WireId,
    since: Ms,
}

/// A request whose answer is owed, or whose attempts are not all over.
struct Open {
    client: ClientId,
    tag: Tag,
    request: Box<Do>,
    /// Its body is counted while it may have to be sent.
    body: Option<Counted>,
    deadline: Ms,
    /// Nothing more may be written to the client for it.
    answered: bool,
    attempts: Vec<Attempt>,
}

impl Open {
    fn over(&self) -> bool {
        self.answered && self.attempts.iter().all(|a| a.way.is_none())
    }
}

struct Client {
    outbox: Outbox,
    open: BTreeMap<Tag, RequestNo>,
    /// Answers that may not be written yet.
    unsent: BTreeMap<Tag, Rc<Parcel>>,
    /// Tags of its last requests.
    used: VecDeque<Tag>,
    /// Requests of it that could not be understood.
    unreadable: u32,
    /// Requests that it took back since it was last answered.
    undone: u32,
    /// It has sent a whole message.
    spoke: bool,
    /// When it connected, sent its last message or got its last answer.
    active: Ms,
}

impl Client {
    /// Nothing is owed to it.
    fn at_rest(&self) -> bool {
        self.open.is_empty() && self.outbox.unsent() == 0
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(RequestNo, AttemptNo),
}

/// How an attempt came out, besides its end.
struct Telling {
    note: Note,
    waited: Ms,
    load: Load,
}

const UNTOLD: Telling = Telling {
    note: Note::Untold,
    waited: 0.0,
    load: Load { inflight: None, util: None, hits: None, link: None },
};

/// The one holder of the module.
pub struct Owner {
    router: Router,
    names: Names,
    tick: Ms,
    max_attempts: usize,
    most_open: usize,
    most_held: usize,
    clock: Rc<Clock>,
    meter: Rc<Meter>,
    caches: Caches,
    now: Ms,
    clients: BTreeMap<ClientId, Client>,
    requests: BTreeMap<RequestNo, Open>,
    requests_ever: u64,
    /// The clients' ids of those.
    ids: BTreeSet<WireId>,
    /// Where each server that is listed is reached.
    servers: BTreeMap<ServerId, Place>,
    list_in: bool,
    timers: BinaryHeap<Reverse<(u64, u64, Due)>>,
    timers_ever: u64,
    /// What came of the module's own actions; told in the next batch.
    pending: VecDeque<Event>,
    /// Attempts that were given up and are out still.
    leaving: Vec<Leaving>,
    /// The plan of the tree, where there is one.
    tree: Tree,
    ending: Ending,
    tidied: Ms,
    counters: Counters,
}

fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

fn name(no: RequestNo) -> RequestId {
    RequestId(Arc::from(no.0.to_string()))
}

fn number(id: &RequestId) -> Option<RequestNo> {
    id.0.parse().ok().map(RequestNo)
}

impl Owner {
    /// An owner with a fresh module that has heard what is known.
    pub fn new(config: &NodeConfig, own: &OwnSettings, shared: &Shared, caches: Caches) -> Self {
        let mut owner = Self {
            router: Router::new(config.settings.clone(), config.seed),
            names: config.names.clone(),
            tick: config.settings.tick,
            max_attempts: config.settings.max_attempts,
            most_open: config.transport.most_open,
            most_held: config.limits.share_of_memory(HELD_SHARE),
            now: shared.clock.now(),
            clock: Rc::clone(&shared.clock),
            meter: Rc::clone(&shared.meter),
            caches,
            clients: BTreeMap::new(),
            requests: BTreeMap::new(),
            requests_ever: 0,
            ids: BTreeSet::new(),
            servers: BTreeMap::new(),
            list_in: false,
            timers: BinaryHeap::new(),
            timers_ever: 0,
            pending: VecDeque::new(),
            leaving: Vec::new(),
            tree: Tree::new(own.hierarchy.as_ref()),
            ending: Ending::default(),
            tidied: 0.0,
            counters: Counters::default(),
        };
        config.known.iter().for_each(|news| owner.news(news.clone()));
        if let Some(hierarchy) = &own.hierarchy {
            let events = owner.tree.offer(owner.now, hierarchy);
            owner.tell_all(events);
        }
        owner
    }

    /// Takes over what an earlier life has learnt.
    pub fn adopt(&mut self, learnt: Learnt) {
        let (servers, purges) = (learnt.servers.len(), learnt.purges.len());
        let known = self.router.adopt(self.now, learnt);
        self.counters.carried = known as u64;
        log::info!("took over what was learnt of {known} of {servers} servers, and {purges} purges");
    }

    /// Takes inputs in batches until the router has ended; gives its counters and what was learnt. `listener` accepts clients and is
    /// dropped when none are taken any more.
    pub async fn run(mut self, from: Inputs, listener: Task<()>) -> (Counters, Learnt) {
        let mut listener = Some(listener);
        let mut inputs = Vec::new();
        loop {
            // Something to do: an input, a timer, or what the last batch left.
            let due = self.timers.peek().map(|Reverse((due, ..))| *due as f64 / 1000.0);
            let rest = due.map_or(TIDY_MS, |due| (due - self.clock.now()).min(TIDY_MS));
            if self.pending.is_empty() && rest > 0.0 {
                let wake = async {
                    Timer::after(Duration::from_secs_f64(rest / 1000.0)).await;
                    None
                };
                let first = |queue: Receiver<Input>| async move { queue.recv().await.ok() };
                let sockets = future::or(first(from.servers.clone()), first(from.clients.clone()));
                inputs.extend(future::or(first(from.urgent.clone()), future::or(sockets, wake)).await);
            }
            // No oftener than the tick.
            let rest = self.now + self.tick - self.clock.now();
            if rest > 0.0 {
                Timer::after(Duration::from_secs_f64(rest / 1000.0)).await;
            }
            // What the last batch put in line is written before what this one adds, also where a batch takes a tick.
            future::yield_now().await;
            // Each kind has its share of a batch, so that no flood holds up the others.
            for queue in [&from.urgent, &from.servers, &from.clients] {
                inputs.extend(std::iter::from_fn(|| queue.try_recv().ok()).take(QUEUE));
            }
            self.batch(&mut inputs);
            if !self.ending.accepts(self.now) {
                drop(listener.take());
                let open = self.clients.values().any(|c| !c.at_rest());
                if self.ending.over(self.now, open) {
                    self.count();
                    return (self.counters, self.router.learnt());
                }
            }
        }
    }

    fn batch(&mut self, inputs: &mut Vec<Input>) {
        self.now = self.clock.now();
        let begun = self.now;
        // Purges and drains go before all that came with them, and before what is decided again.
        let (news, others): (Vec<_>, Vec<_>) =
            inputs.drain(..).partition(|input| matches!(input, Input::News(..)));
        let left_over = std::mem::take(&mut self.pending);
        news.into_iter().for_each(|input| self.input(input));
        let silent = self.now - LEAVING_MS;
        self.counters.unheeded += self.depart(|leaving| leaving.since < silent);
        left_over.into_iter().for_each(|event| self.tell(event));
        others.into_iter().for_each(|input| self.input(input));
        let now = micros(self.now);
        let mut due = Vec::new();
        while let Some(Reverse((_, _, what))) = self.timers.peek().filter(|Reverse((at, ..))| *at <= now) {
            due.push(*what);
            self.timers.pop();
        }
        // Attempts whose time is out go before the module's own timers, in which it gives up what is left.
        due.sort_by_key(|what| matches!(what, Due::Module(_)));
        for what in due {
            match what {
                Due::Module(token) => self.tell(Event::Timer(token)),
                Due::Attempt(no, n) => self.time_out(no, n),
            }
        }
        if self.now >= self.tidied + TIDY_MS {
            self.tidied = self.now;
            self.caches.tidy(self.now);
            let events = self.tree.tick(self.now);
            self.tell_all(events);
            // Nothing was written on them, so they count as never up.
            for at in self.caches.unproved(self.now) {
                self.input(Input::CacheDown(at, Down::NeverUp));
            }
            // A client that is dropped here is disconnected.
            let now = self.now;
            let idle = if self.ending.accepts(now) { CLIENT_IDLE_MS } else { 0.0 };
            let before = self.clients.len();
            self.clients.retain(|_, c| !c.at_rest() || now - c.active < idle);
            self.counters.closed_idle += (before - self.clients.len()) as u64;
        }
        self.relieve();
        self.counters.batches += 1;
        self.counters.batch_longest = self.counters.batch_longest.max(self.clock.now() - begun);
        self.counters.held_most = self.counters.held_most.max(self.meter.held() as u64);
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::ClientOpen(id, outbox) => {
                self.counters.clients += 1;
                let (open, unsent) = (BTreeMap::new(), BTreeMap::new());
                let used = VecDeque::new();
                let client = Client {
                    outbox,
                    open,
                    unsent,
                    used,
                    unreadable: 0,
                    undone: 0,
                    spoke: false,
                    active: self.now,
                };
                self.clients.insert(id, client);
            }
            Input::Client(id, message, at) => self.message(id, message, at),
            Input::ClientClosed(id, over) => {
                match over {
                    Over::Ended => {}
                    Over::Unreadable(_) => self.counters.closed_unreadable += 1,
                    Over::Silent => self.counters.closed_silent += 1,
                    Over::Unfinished => self.counters.closed_unfinished += 1,
                }
                self.disconnect(id);
            }
            Input::RoomWanted => self.make_room(),
            Input::CacheUp(at) => self.caches.up(self.now, at),
            Input::Cache(at, answer) => self.outcome(at, answer),
            Input::CacheDown(at, down) => {
                match down {
                    Down::NeverUp => self.counters.conns_failed += 1,
                    Down::Ended(Over::Ended | Over::Silent) => {}
                    Down::Ended(Over::Unreadable(_)) => self.counters.conns_unreadable += 1,
                    Down::Ended(Over::Unfinished) => self.counters.conns_unfinished += 1,
                }
                self.depart(|leaving| leaving.on == at);
                for (no, n) in self.caches.down(at) {
                    let end = match (down, self.stage(no, n)) {
                        (Down::NeverUp, _) => End::NoConnection,
                        (Down::Ended(_), Some(Stage::Written)) => End::Broken,
                        // Its last byte was not written.
                        (Down::Ended(_), _) => End::NotSent,
                    };
                    self.end((no, n), end, UNTOLD, false);
                }
            }
            Input::News(news) => self.news(news),
            Input::LogLost => self.counters.log_lost += 1,
            Input::Reloaded(true) => self.counters.reloads += 1,
            Input::Reloaded(false) => self.counters.reloads_refused += 1,
            Input::Plan(hierarchy) => {
                let events = self.tree.offer(self.now, &hierarchy);
                self.tell_all(events);
            }
            Input::End => {
                log::info!("asked to end");
                self.ending.ask(self.now);
            }
            Input::Count => {
                self.count();
                log::info!("{}", self.counters);
                self.tree.describe().iter().for_each(|line| log::info!("{line}"));
            }
        }
    }

    fn count(&mut self) {
        (self.counters.conns_now, self.counters.conns) = self.caches.counts();
        self.counters.clients_now = self.clients.len() as u64;
        self.counters.servers_now = self.servers.len() as u64;
        self.counters.held = self.meter.held() as u64;
        self.counters.tree = self.tree.counters.clone();
    }

    // ---- News ----

    fn news(&mut self, news: News) {
        match news {
            News::Servers { whole, members } => {
                self.counters.lists += 1;
                self.list(whole, members);
            }
            News::Purge { object, group, time } => {
                self.counters.purges += 1;
                self.tell(Event::Purged(group, object, (self.now - time).max(0.0)));
                let named = |o: &Open| match object {
                    Some(object) => o.request.object == object,
                    None => o.request.group == group,
                };
                self.recall(|o, _| named(o));
            }
        }
    }

    fn list(&mut self, whole: bool, members: Vec<Member>) {
        self.list_in = true;
        let (mut leaving, mut left_out) = (Vec::new(), Vec::new());
        if whole {
            let told = |id: &ServerId| members.iter().any(|m| m.entry.id == *id);
            leaving.extend(self.servers.keys().filter(|id| !told(id)).cloned());
            for id in &leaving {
                self.caches.moved(id, None);
                self.servers.remove(id);
            }
            left_out.clone_from(&leaving);
        }
        for member in &members {
            let id = &member.entry.id;
            let up = member.entry.listed == Listed::Up;
            self.caches.moved(id, up.then(|| member.place()));
            if !up {
                leaving.push(id.clone());
            }
            if member.entry.listed == Listed::Gone {
                self.servers.remove(id);
            } else {
                self.servers.insert(id.clone(), member.place());
            }
        }
        let planned = self.tree.listed(self.now, &members, &left_out);
        let mode = if whole { ListMode::Whole } else { ListMode::Changes };
        self.tell(Event::Servers(mode, members.into_iter().map(|m| m.entry).collect()));
        self.tell_all(planned);
        self.recall(|_, a| {
            leaving.contains(&a.server) || a.source.as_ref().is_some_and(|s| leaving.contains(s))
        });
    }

    /// Takes back what waits to be written and was decided before the news.
    fn recall(&mut self, overtaken: impl Fn(&Open, &Attempt) -> bool) {
        let waits = |a: &Attempt| a.way.as_ref().is_some_and(|(_, p)| p.stage() == Stage::Waiting);
        let mut keys = Vec::new();
        for (no, open) in &self.requests {
            let attempts = open.attempts.iter().enumerate().filter(|(_, a)| waits(a) && overtaken(open, a));
            keys.extend(attempts.map(|(n, _)| (*no, AttemptNo(n))));
        }
        keys.into_iter().for_each(|key| self.give_up(key, (End::Cancelled, End::NotSent), false));
    }

    // ---- Clients ----

    fn message(&mut self, id: ClientId, message: FromClient, at: Ms) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        (client.spoke, client.active) = (true, self.now);
        match message {
            FromClient::Do(tag, request) => self.request(id, tag, request, at),
            FromClient::Undo(tag) => match client.open.remove(&tag) {
                Some(no) => {
                    client.undone += 1;
                    let too_many = client.undone >= UNDONE_MOST;
                    self.left(no);
                    if too_many {
                        self.counters.closed_broken_rule += 1;
                        self.disconnect(id);
                    }
                }
                None => {
                    let unsent = client.unsent.remove(&tag);
                    unsent.into_iter().for_each(|p| self.counters.taken_back += u64::from(p.take_back()));
                }
            },
            FromClient::Ping(tag) => {
                client.outbox.put(pong(tag, self.list_in && !self.ending.asked()));
            }
            FromClient::Unreadable(tag) => self.not_understood(id, tag),
        }
    }

    /// What makes no sense is failed, and a client that goes on with it is closed.
    fn not_understood(&mut self, id: ClientId, tag: Tag) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        self.counters.unreadable += 1;
        client.outbox.put(answer(tag, Reply::Failed));
        client.unreadable += 1;
        if client.unreadable >= UNREADABLE_MOST {
            self.counters.closed_broken_rule += 1;
            self.disconnect(id);
        }
    }

    fn request(&mut self, id: ClientId, tag: Tag, mut request: Box<Do>, at: Ms) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.used.contains(&tag) || client.open.len() >= OPEN_PER_CLIENT {
            // Which of two requests under one number an answer would be for can't be told, and no client in service has so many
            // open: the connection is closed, and nothing that is open on it is answered.
            self.counters.closed_broken_rule += 1;
            return self.disconnect(id);
        }
        client.used.push_back(tag);
        if client.used.len() > TAGS_KEPT {
            client.used.pop_front();
        }
        let class = self.names.class(&request.class);
        // An id is new with each request; under one that is open, another's answer could come.
        if class.is_none() || self.ids.contains(&request.id) {
            return self.not_understood(id, tag);
        }
        self.counters.requests += 1;
        if self.requests.len() >= self.most_open {
            self.counters.turned_away += 1;
            client.outbox.put(answer(tag, Reply::Refused(0.0)));
            return;
        }
        self.requests_ever += 1;
        let no = RequestNo(self.requests_ever);
        client.open.insert(tag, no);
        let deadline = at + request.left;
        let event = Event::Request(Request {
            id: name(no),
            class,
            object: request.object,
            part: request.part,
            group: request.group,
            size_kb: request.size_kb,
            write: !request.body.is_empty(),
            budget: deadline - self.now,
        });
        let body = Some(Counted::new(std::mem::take(&mut request.body), &[&self.meter]));
        let open = Open { client: id, tag, request, body, deadline, answered: false, attempts: Vec::new() };
        self.ids.insert(open.request.id.clone());
        self.requests.insert(no, open);
        self.tell(event);
    }

    /// Closes connections for those that wait for a place: first what clients in service would not miss, one that has said
    /// nothing yet or has been idle for longer than they are; else those that have been idle for longest after an answer.
    /// One on which something is open is never closed for this.
    fn make_room(&mut self) {
        let now = self.now;
        let idle = |c: &Client| now - c.active;
        let missed = |c: &Client| idle(c) < if c.spoke { ROOM_IDLE_MS } else { ROOM_SILENT_MS };
        let at_rest = self.clients.iter().filter(|(_, c)| c.at_rest());
        let mut order: Vec<_> =
            at_rest.map(|(id, c)| (missed(c), c.spoke, Reverse(micros(idle(c))), *id)).collect();
        order.sort_unstable();
        // Many at once, so that a crowd doesn't wait.
        let many = self.clients.len() / ROOM_SHARE + 1;
        let rested =
            |o: &&(bool, bool, Reverse<u64>, ClientId)| !o.0 || (o.1 && o.2 .0 >= micros(ROOM_REST_MS));
        let closed: Vec<ClientId> = order.iter().filter(rested).take(many).map(|o| o.3).collect();
        self.counters.closed_for_room += closed.len() as u64;
        closed.into_iter().for_each(|id| self.disconnect(id));
    }

    /// Forgets a client and all that it waits for; its connection ends with its outbox.
    fn disconnect(&mut self, id: ClientId) {
        let open = self.clients.remove(&id).map(|c| c.open).unwrap_or_default();
        open.into_values().for_each(|no| self.left(no));
    }

    /// The client waits no longer.
    fn left(&mut self, no: RequestNo) {
        let Some(open) = self.requests.get_mut(&no) else { return };
        if !open.answered {
            open.answered = true;
            open.body = None;
            self.counters.left += 1;
            self.tell(Event::ClientLeft(name(no)));
        }
        self.forget(no);
    }

    /// Writes the one answer.
    fn answer(&mut self, no: RequestNo, reply: Reply<'_>) {
        let Some(open) = self.requests.get_mut(&no).filter(|o| !o.answered) else { return };
        open.answered = true;
        open.body = None;
        let tag = open.tag;
        if let Some(client) = self.clients.get_mut(&open.client) {
            self.counters.answered(&reply);
            client.open.remove(&tag);
            (client.active, client.undone) = (self.now, 0);
            client.unsent.retain(|_, p| p.stage() == Stage::Waiting);
            client.unsent.insert(tag, client.outbox.put(answer(tag, reply)));
        }
        self.forget(no);
    }

    fn forget(&mut self, no: RequestNo) {
        if self.requests.get(&no).is_some_and(Open::over) {
            let open = self.requests.remove(&no);
            open.into_iter().for_each(|o| {
                self.ids.remove(&o.request.id);
            });
        }
    }

    /// While too much is held, the client for which most waits gets failures for what is not begun.
    fn relieve(&mut self) {
        while self.meter.held() > self.most_held {
            let waits = |c: &Client| c.unsent.values().any(|p| p.stage() == Stage::Waiting);
            let most = self.clients.values_mut().filter(|c| waits(c)).max_by_key(|c| c.outbox.unsent());
            let Some(client) = most else { return };
            for (tag, parcel) in std::mem::take(&mut client.unsent) {
                if parcel.take_back() {
                    self.counters.withheld += 1;
                    client.outbox.put(answer(tag, Reply::Failed));
                }
            }
        }
    }

    // ---- Attempts ----

    fn begin(&mut self, fetch: Fetch) {
        let Some(no) = number(&fetch.request) else { return };
        let Some(open) = self.requests.get_mut(&no) else { return };
        let n = AttemptNo(open.attempts.len());
        self.counters.attempts += 1;
        let source = Some(fetch.fill_from).filter(|s| *s != fetch.server);
        let asked = Some(fetch.timeout).filter(|t| *t != 0.0);
        let until = asked.map_or(open.deadline, |t| open.deadline.min(self.now + t));
        let in_time = !open.answered && until > self.now && n.0 < self.max_attempts;
        let place = self.servers.get(&fetch.server).filter(|_| in_time);
        let body = open.body.as_ref().map_or(&[][..], Counted::bytes);
        let ask = Ask {
            id: &open.request.id,
            class: &open.request.class,
            object: &open.request.object_text,
            part: open.request.part.0,
            wait: until - self.now,
            from: source.as_ref(),
            rank: fetch.rank,
            oldest: fetch.max_age,
            share: fetch.join,
            peek: fetch.held_only,
            renew: fetch.renew,
            seen: open.request.got.as_deref(),
            body,
        };
        let (end, way) = match place {
            None => (End::NotSent, None),
            Some(place) => {
                let to = (&fetch.server, *place);
                let used: Vec<ConnId> = open.attempts.iter().filter_map(|a| a.on).collect();
                let way = self.caches.send(
                    self.now,
                    to,
                    (no, n),
                    (&open.request.id, &used, !body.is_empty()),
                    ask.encode(),
                );
                (End::NoConnection, way)
            }
        };
        let (sent, on) = (way.is_some(), way.as_ref().map(|w| w.0));
        open.attempts.push(Attempt { server: fetch.server, source, sent: self.now, on, way });
        if sent {
            self.timer(until, Due::Attempt(no, n));
        } else {
            self.report((no, n), end, UNTOLD, true);
        }
    }

    fn stage(&self, no: RequestNo, n: AttemptNo) -> Option<Stage> {
        let attempt = self.requests.get(&no)?.attempts.get(n.0)?;
        attempt.way.as_ref().map(|(_, parcel)| parcel.stage())
    }

    /// Gives an attempt up at its server. It ends so, in a later batch, or as `never` if it was not sent. What is on its way is out
    /// until its abort is written: on another connection the request's next attempt could overtake that, and two would be out.
    /// `later`: the module is told in the next batch, since it is its own action.
    fn give_up(&mut self, (no, n): AttemptKey, (end, never): (End, End), later: bool) {
        let Some(open) = self.requests.get(&no) else { return };
        let Some((conn, parcel)) = open.attempts.get(n.0).and_then(|a| a.way.as_ref()) else { return };
        if self.leaving.iter().any(|l| l.key == (no, n)) {
            return;
        }
        match self.caches.give_up(*conn, &open.request.id, parcel) {
            GivenUp::Never => self.end((no, n), never, UNTOLD, later),
            GivenUp::Closed => self.end((no, n), end, UNTOLD, later),
            GivenUp::Behind(tag) => {
                self.leaving.push(Leaving { key: (no, n), end, on: *conn, tag, since: self.now })
            }
        }
    }

    /// What was given up and has left its server is over; gives how many that were.
    fn depart(&mut self, gone: impl Fn(&Leaving) -> bool) -> u64 {
        let all = std::mem::take(&mut self.leaving).into_iter();
        let (over, leaving): (Vec<_>, Vec<_>) = all.partition(gone);
        self.leaving = leaving;
        let many = over.len() as u64;
        over.into_iter().for_each(|l| self.end(l.key, l.end, UNTOLD, false));
        many
    }

    fn time_out(&mut self, no: RequestNo, n: AttemptNo) {
        let attempt = self.requests.get(&no).and_then(|o| o.attempts.get(n.0));
        let Some((conn, _)) = attempt.and_then(|a| a.way.as_ref()) else { return };
        let never = if self.caches.coming_up(*conn) { End::NoConnection } else { End::NotSent };
        self.give_up((no, n), (End::Late, never), false);
    }

    fn outcome(&mut self, at: ConnId, answer: Answer) {
        // A server that knows of what was given up has answered no request by that.
        if self.leaving.iter().any(|l| l.on == at && l.tag == answer.id) {
            self.depart(|l| l.tag == answer.id);
            return;
        }
        let key = self.caches.answered(self.now, at, &answer.id);
        let (Some(key), Some(end)) = (key, answer.end) else {
            self.counters.late_answers += u64::from(answer.end.is_some());
            return;
        };
        if end == End::Served && !answer.copy && !self.is_write(key.0) {
            // A read's answer without its copy's tag is spoilt, and so is the connection. What else is open on it is out until its
            // socket is closed.
            self.counters.conns_unreadable += 1;
            self.caches.end(at);
            self.recall(|_, a| a.way.as_ref().is_some_and(|(conn, _)| *conn == at));
            return self.end(key, End::Broken, UNTOLD, false);
        }
        if end == End::Served {
            let reply = if answer.same { Reply::Same } else { Reply::Served(answer.body.bytes()) };
            self.answer(key.0, reply);
        }
        let telling = Telling { note: answer.note, waited: answer.waited, load: answer.load };
        self.end(key, end, telling, false);
    }

    fn is_write(&self, no: RequestNo) -> bool {
        let body = self.requests.get(&no).and_then(|open| open.body.as_ref());
        body.is_some_and(|b| !b.bytes().is_empty())
    }

    /// An attempt is over: the module is told, at once or (of what its own action led to) in the next batch.
    fn end(&mut self, key: AttemptKey, end: End, telling: Telling, later: bool) {
        let attempt = self.requests.get_mut(&key.0).and_then(|o| o.attempts.get_mut(key.1 .0));
        if attempt.is_some_and(|a| a.way.take().is_some()) {
            self.report(key, end, telling, later);
        }
    }

    fn report(&mut self, (no, n): AttemptKey, end: End, telling: Telling, later: bool) {
        let Some(open) = self.requests.get(&no) else { return };
        let Some(attempt) = open.attempts.get(n.0) else { return };
        self.counters.ended(end);
        let planned = match &attempt.source {
            Some(source) => {
                let pair = (&attempt.server, source);
                self.tree.ended(self.now, pair, open.request.object, (end, telling.note))
            }
            None => Vec::new(),
        };
        let event = Event::Outcome(Outcome {
            request: name(no),
            attempt: n,
            server: attempt.server.clone(),
            end,
            delay: self.now - attempt.sent,
            last: open.answered,
            note: telling.note,
            source_wait: telling.waited,
            load: telling.load,
        });
        self.pending.extend(planned);
        if later {
            self.pending.push_back(event);
        } else {
            self.tell(event);
        }
        self.forget(no);
    }

    // ---- The module ----

    fn timer(&mut self, at: Ms, what: Due) {
        self.timers_ever += 1;
        self.timers.push(Reverse((micros(at), self.timers_ever, what)));
    }

    fn tell_all(&mut self, events: Vec<Event>) {
        events.into_iter().for_each(|event| self.tell(event));
    }

    /// Tells the module an event and does what it wants done.
    fn tell(&mut self, event: Event) {
        let mut acts = Vec::new();
        self.router.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::Fetch(fetch) => self.begin(fetch),
                Action::Cancel(request, n) => {
                    number(&request)
                        .into_iter()
                        .for_each(|no| self.give_up((no, n), (End::Cancelled, End::NotSent), true));
                }
                Action::Refuse(request, stay_away) => {
                    number(&request).into_iter().for_each(|no| self.answer(no, Reply::Refused(stay_away)));
                }
                Action::Fail(request) => {
                    number(&request).into_iter().for_each(|no| self.answer(no, Reply::Failed));
                }
                Action::Timer(after, token) => self.timer(self.now + after, Due::Module(token)),
                // The change log is followed from the start.
                Action::Subscribe => {}
                Action::Report(text) => log::info!("{text}"),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::outbox::outbox;
    use async_executor::LocalExecutor;
    use basaltgw_config::{parse, Environment};
    use serde_json::json;

    const CLIENT: ClientId = ClientId(1);

    /// An owner before two edge caches whose connections never come up, since nothing runs its executor.
    fn owner() -> (Owner, async_channel::Receiver<Rc<Parcel>>) {
        let member = |id: &str, port: u16, flavor: &str| {
            json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": "here", "flavor": flavor,
                   "phase": "SERVING"})
        };
        let config = json!({
            "listen": "127.0.0.1:1", "changelog": "127.0.0.1:2",
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"complete": true, "members": [
                member("s-0000000a", 3, "box"), member("s-0000000b", 4, "box"), member("s-0000000c", 5, "origin")]}}]},
            "settings": {"areas": ["here"], "my-zone": "here", "kinds": ["box", "origin"],
                         "family-info": {"shield-kind": -1, "store-kind": 1, "purge-settles": 6000.0},
                         "services": [{"name": "pages", "idempotency": "read_like", "deadline": 5000.0, "slo": 400.0},
                                      {"name": "loan", "idempotency": "non_idempotent", "deadline": 5000.0, "slo": 400.0}],
                         "limits": {"try-limit": 8, "cancel": true}}
        });
        let config = parse(&config, &Environment::default()).expect("a configuration");
        let shared = Shared {
            executor: Rc::new(LocalExecutor::new()),
            queue: async_channel::unbounded().0,
            clock: Rc::default(),
            meter: Rc::default(),
            held_limit: usize::MAX,
        };
        let (out, written) = outbox(&shared.meter, &Rc::default());
        let caches = Caches::new(shared.clone(), 100, config.transport);
        let mut owner = Owner::new(&config, &OwnSettings::default(), &shared, caches);
        owner.batch(&mut vec![Input::ClientOpen(CLIENT, out)]);
        (owner, written)
    }

    /// The first attempt of request 1 has been written whole.
    fn written(owner: &mut Owner) -> AttemptKey {
        let first = request(owner, 1);
        owner.batch(&mut vec![first]);
        let (conn, parcel) = owner.requests[&RequestNo(1)].attempts[0].way.as_ref().expect("on its way");
        parcel.write();
        let up = Input::CacheUp(*conn);
        owner.batch(&mut vec![up]);
        (RequestNo(1), AttemptNo(0))
    }

    #[test]
    fn what_was_given_up_is_out_until_its_server_knows() {
        for end in [End::Cancelled, End::Late] {
            let (mut owner, _written) = owner();
            let key = written(&mut owner);
            owner.give_up(key, (end, End::NotSent), true);
            owner.give_up(key, (End::Late, End::NotSent), true);
            for _ in 0..3 {
                owner.batch(&mut Vec::new());
                let out: Vec<bool> = attempts(&owner, 1).iter().map(|a| a.1).collect();
                assert_eq!(out, [true], "no other may go out while the server may still have it");
            }
            let [Leaving { on, tag, .. }] = &owner.leaving[..] else { panic!("one that leaves") };
            let (on, words) = (*on, vec![tag.0.as_bytes().to_vec(), b"yes".to_vec()]);
            let yes = Answer::read(words, &[]).expect("an answer");
            owner.batch(&mut vec![Input::Cache(on, yes)]);
            let out: Vec<bool> = attempts(&owner, 1).iter().map(|a| a.1).collect();
            assert!(
                !out[0] && out.len() == 2 && owner.leaving.is_empty(),
                "over, and decided again: {out:?}"
            );
        }
    }

    #[test]
    fn what_was_given_up_is_over_after_a_time_at_a_server_that_says_nothing() {
        let (mut owner, _written) = owner();
        let key = written(&mut owner);
        owner.give_up(key, (End::Cancelled, End::NotSent), true);
        owner.leaving[0].since -= LEAVING_MS + 1.0;
        owner.batch(&mut Vec::new());
        assert!(!attempts(&owner, 1)[0].1 && owner.leaving.is_empty());
        assert_eq!(owner.counters.unheeded, 1);
    }

    #[test]
    fn a_write_of_which_nothing_was_sent_in_time_is_refused_and_not_failed() {
        let (mut owner, _written) = owner();
        let Input::Client(client, FromClient::Do(tag, mut write), at) = request(&owner, 1) else {
            panic!("a request")
        };
        (write.class, write.body, write.left) = ("loan".into(), b"borrow".to_vec(), 60.0);
        owner.batch(&mut vec![Input::Client(client, FromClient::Do(tag, write), at)]);
        assert_eq!(attempts(&owner, 1).len(), 1, "it waits for a connection");
        // One batch in which its attempt's time is out and the module's own sweep is due as well.
        let over = owner.now + 200.0;
        while owner.clock.now() < over {
            std::thread::sleep(Duration::from_millis(5));
        }
        owner.batch(&mut Vec::new());
        assert_eq!((owner.counters.refused, owner.counters.failed), (1, 0));
    }

    #[test]
    fn what_was_given_up_is_over_with_its_connection() {
        let (mut owner, _written) = owner();
        let key = written(&mut owner);
        owner.give_up(key, (End::Cancelled, End::NotSent), true);
        let (conn, _) = owner.requests[&key.0].attempts[0].way.as_ref().expect("still out");
        let down = Input::CacheDown(*conn, Down::Ended(Over::Ended));
        owner.batch(&mut vec![down]);
        assert!(!attempts(&owner, 1)[0].1 && owner.leaving.is_empty());
    }

    fn request(owner: &Owner, tag: u64) -> Input {
        let request = Do {
            id: WireId(Arc::from(format!("{tag:016x}"))),
            class: "pages".into(),
            object: ObjectId(7),
            object_text: "0000000000000007".into(),
            part: Part(0),
            group: GroupId(17),
            size_kb: 0.0,
            left: 60_000.0,
            got: None,
            body: Vec::new(),
        };
        Input::Client(CLIENT, FromClient::Do(Tag(tag), Box::new(request)), owner.clock.now())
    }

    /// The servers of a request's attempts, and whether each is still out.
    fn attempts(owner: &Owner, no: u64) -> Vec<(ServerId, bool)> {
        let open = owner.requests.get(&RequestNo(no)).expect("an open request");
        open.attempts.iter().map(|a| (a.server.clone(), a.way.is_some())).collect()
    }

    fn draining(owner: &Owner, id: &ServerId) -> Input {
        let address = owner.servers.get(id).expect("a listed server").address;
        let entry = ServerEntry {
            id: id.clone(),
            zone: ZoneId(0),
            role: Role::Edge,
            cell: 0,
            listed: Listed::Draining,
            weight: 1.0,
            started: None,
        };
        Input::News(News::Servers { whole: false, members: vec![Member { entry, address }] })
    }

    #[test]
    fn a_drain_goes_before_a_request_of_its_batch_and_recalls_what_waits() {
        let (mut owner, written) = owner();
        let first = request(&owner, 1);
        owner.batch(&mut vec![first]);
        let [(home, true)] = &attempts(&owner, 1)[..] else { panic!("one attempt that is out") };
        let home = home.clone();
        let (second, drain) = (request(&owner, 2), draining(&owner, &home));
        owner.batch(&mut vec![second, drain]);
        let other = attempts(&owner, 2);
        assert!(other.len() == 1 && other[0].0 != home, "decided after the news: {other:?}");
        assert_eq!(attempts(&owner, 1), [(home, false), (other[0].0.clone(), true)]);
        assert_eq!((owner.counters.attempts, written.len()), (3, 0));
    }

    #[test]
    fn a_whole_list_recalls_what_waits_for_servers_it_leaves_out() {
        let (mut owner, _written) = owner();
        let first = request(&owner, 1);
        owner.batch(&mut vec![first]);
        owner.batch(&mut vec![Input::News(News::Servers { whole: true, members: Vec::new() })]);
        // There is nowhere left to go, so it is answered; and nothing of it is out.
        assert!(owner.requests.is_empty());
        assert_eq!((owner.counters.refused, owner.counters.attempts), (1, 1));
    }

    #[test]
    fn room_is_made_for_a_crowd_by_those_that_are_missed_least() {
        let (mut owner, _written) = owner();
        let first = request(&owner, 1);
        owner.batch(&mut vec![first]);
        let mut outs = Vec::new();
        for id in 2..=17 {
            let (out, written) = outbox(&owner.meter, &Rc::default());
            outs.push(written);
            owner.batch(&mut vec![Input::ClientOpen(ClientId(id), out)]);
        }
        let now = owner.now;
        for (id, client) in &mut owner.clients {
            // Two have long been idle; of the others some have said nothing yet.
            client.spoke = id.0 > 5;
            client.active = if [8, 9].contains(&id.0) { now - ROOM_IDLE_MS } else { now };
        }
        let left = |owner: &Owner| owner.clients.keys().map(|id| id.0).collect::<Vec<_>>();
        owner.make_room();
        assert!(!left(&owner).contains(&8) && !left(&owner).contains(&9), "{:?}", left(&owner));
        assert_eq!(left(&owner).len(), 15, "the others were active just now");
        owner.now = now + ROOM_REST_MS;
        owner.make_room();
        let rested: Vec<u64> = left(&owner).into_iter().filter(|n| *n > 5).collect();
        assert_eq!(rested, [10, 11, 12, 13, 14, 15, 16, 17], "two of those that had their answers");
        owner.now = now + ROOM_SILENT_MS;
        (0..20).for_each(|_| owner.make_room());
        assert_eq!(left(&owner), [1], "one with something open stays");
    }

    #[test]
    fn a_purge_recalls_what_waits_with_an_older_age_limit() {
        let (mut owner, _written) = owner();
        let first = request(&owner, 1);
        owner.batch(&mut vec![first]);
        let purge = |group| News::Purge { object: None, group: GroupId(group), time: owner.clock.now() };
        let (elsewhere, here) = (Input::News(purge(16)), Input::News(purge(17)));
        owner.batch(&mut vec![elsewhere]);
        assert_eq!(attempts(&owner, 1).len(), 1, "another group's purge is no reason");
        owner.batch(&mut vec![here]);
        let out: Vec<bool> = attempts(&owner, 1).iter().map(|a| a.1).collect();
        assert_eq!(out, [false, true], "decided again");
    }
}
