//! Clients and their places: what each has open, what it is owed, and when it is closed.

use super::asker::{Asked, Asker};
use super::batch::micros;
use super::gather::Gathering;
use super::Owner;
use crate::breaks::{broken, Break};
use crate::caches::RequestNo;
use crate::clients::life::{Event, Life, Quiet};
use crate::clients::presence::Wanted;
use crate::clients::{answer, pong, ClientId, Do, FromClient, Reply, Tag};
use crate::counters::Count;
use crate::inbox::Over;
use crate::limits::{
    OPEN_PER_CLIENT, ROOM_IDLE_MS, ROOM_REST_MS, ROOM_SHARE, ROOM_SILENT_MS, TAGS_KEPT, UNDONE_MOST,
    UNDONE_WINDOW_MS, UNREADABLE_MOST,
};
use crate::outbox::{Outbox, OutgoingMessage, Stage};
use basaltgw::api::Ms;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub(super) struct Client {
    pub outbox: Outbox,
    pub open: BTreeMap<Tag, RequestNo>,
    /// Answers that may not be written yet.
    pub unsent: BTreeMap<Tag, Rc<OutgoingMessage>>,
    /// Tags of its last requests.
    used: VecDeque<Tag>,
    /// Requests of it that could not be understood.
    unreadable: u32,
    /// Requests that it took back since it was last answered, and since when those are counted.
    undone: u32,
    undone_since: Ms,
    /// It has sent a whole message.
    pub spoke: bool,
    /// When it connected, sent its last message or got its last answer.
    pub active: Ms,
    /// Its connection.
    pub life: Rc<Life>,
    /// Nothing more is taken from it: it is let go of when it has what it is owed.
    closing: bool,
    /// Why it is closed here though it did nothing wrong.
    closed_here: Option<Quiet>,
}

impl Client {
    fn new(now: Ms, outbox: Outbox, life: Rc<Life>) -> Self {
        Self {
            outbox,
            open: BTreeMap::new(),
            unsent: BTreeMap::new(),
            used: VecDeque::new(),
            unreadable: 0,
            undone: 0,
            undone_since: now,
            spoke: false,
            active: now,
            life,
            closing: false,
            closed_here: None,
        }
    }

    /// Counts a request that it took back; true once those are too many in a short time, with no answer between them.
    fn takes_back_too_many(&mut self, now: Ms) -> bool {
        if now - self.undone_since > UNDONE_WINDOW_MS {
            (self.undone, self.undone_since) = (0, now);
        }
        self.undone += 1;
        self.undone >= UNDONE_MOST
    }

    /// Nothing is owed to it.
    fn at_rest(&self) -> bool {
        self.open.is_empty() && self.outbox.unsent() == 0
    }

    /// It is to be closed.
    pub(super) fn going(&self) -> bool {
        self.closing || self.life.asked().is_some()
    }

    /// Whether it may open a request under this tag, which is used by that.
    fn opens(&mut self, tag: Tag) -> bool {
        if self.used.contains(&tag) || self.open.len() >= OPEN_PER_CLIENT {
            return false;
        }
        self.used.push_back(tag);
        if self.used.len() > TAGS_KEPT {
            self.used.pop_front();
        }
        true
    }
}

/// The clients that are connected. Of one that is dropped here what is in line is written, and its connection ends.
#[derive(Default)]
pub(super) struct Clients(pub BTreeMap<ClientId, Client>, BTreeSet<ClientId>);

impl Clients {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn owe(&mut self, id: ClientId, tag: Tag, no: RequestNo) {
        self.0.get_mut(&id).into_iter().for_each(|client| {
            client.open.insert(tag, no);
        });
    }

    /// What tells whether a client still waits; `None` of one that is not connected.
    pub(super) fn wanted(&self, id: ClientId, tag: Tag) -> Option<Wanted> {
        Some(Wanted::new(self.0.get(&id)?.life.presence(), tag))
    }

    pub(super) fn turn_away(&mut self, id: ClientId, tag: Tag) {
        let client = self.0.get(&id).into_iter();
        client.for_each(|client| {
            client.outbox.put(answer(tag, Reply::Refused(0.0)));
        });
    }

    /// Puts an answer in line; false if the client is gone.
    pub(super) fn put(&mut self, now: Ms, id: ClientId, tag: Tag, answer: Vec<u8>) -> bool {
        let Some(client) = self.0.get_mut(&id) else { return false };
        let was_open = client.open.remove(&tag).is_some();
        client.life.invariants().answered(was_open, format_args!("client {}, request {}", id.0, tag.0));
        (client.active, client.undone) = (now, 0);
        client.unsent.retain(|_, p| p.stage() == Stage::Waiting);
        if broken(Break::SecondAnswer) {
            client.outbox.put(answer.clone());
        }
        client.unsent.insert(tag, client.outbox.put(answer));
        true
    }

    /// Wants those closed that have been at rest for so long. What is on its way from one of them goes first.
    pub(super) fn close_idle(&self, now: Ms, idle: Ms, why: Quiet) {
        let breaks = broken(Break::CloseOverRequest);
        let rests = |c: &Client| breaks || (c.at_rest() && now - c.active >= idle);
        let idle = self.0.values().filter(|c| !c.going() && rests(c));
        idle.for_each(|c| {
            c.life.tell(Event::Asked(why));
        });
    }

    /// Lets go of those from which nothing more is taken and that have what they are owed.
    pub(super) fn release_closed(&mut self) {
        let Self(clients, closing) = self;
        closing.retain(|id| match clients.get(id) {
            Some(client) if client.at_rest() || broken(Break::CloseOverRequest) => {
                clients.remove(id);
                false
            }
            Some(_) => true,
            None => false,
        });
    }

    /// Takes nothing more from it.
    fn close(&mut self, id: ClientId) {
        self.0.get_mut(&id).into_iter().for_each(|client| client.closing = true);
        self.1.insert(id);
    }

    /// Who is closed for those that wait for a place, when so many sockets are about to be closed; see [`Owner::make_room`].
    fn least_missed(&self, now: Ms, lingering: usize) -> Vec<ClientId> {
        let idle = |c: &Client| now - c.active;
        let missed = |c: &Client| idle(c) < if c.spoke { ROOM_IDLE_MS } else { ROOM_SILENT_MS };
        let stay = self.0.iter().filter(|(_, c)| !c.going());
        let at_rest = stay.clone().filter(|(_, c)| c.at_rest());
        let mut order: Vec<_> =
            at_rest.map(|(id, c)| (missed(c), c.spoke, Reverse(micros(idle(c))), *id)).collect();
        order.sort_unstable();
        // Many at once, so that a crowd doesn't wait; what is about to be free counts.
        let asked = self.0.values().filter(|c| c.life.asked().is_some()).count();
        let many = (stay.count() / ROOM_SHARE + 1).saturating_sub(asked + lingering);
        let rested =
            |o: &&(bool, bool, Reverse<u64>, ClientId)| !o.0 || (o.1 && o.2 .0 >= micros(ROOM_REST_MS));
        order.iter().filter(rested).take(many).map(|o| o.3).collect()
    }
}

impl Owner {
    pub(super) fn connect(&mut self, id: ClientId, outbox: Outbox, life: Rc<Life>) {
        self.counters.clients.connected.one();
        self.clients.0.insert(id, Client::new(self.now, outbox, life));
    }

    /// Nothing more is read of a client. What it asked before is answered, but for one that sends what can't be read: its requests may
    /// have meant anything, so it is served nothing more.
    pub(super) fn client_stopped(&mut self, id: ClientId, over: Over) {
        let counted = &self.counters.clients;
        match over {
            Over::Ended | Over::Dropped => {}
            Over::Unreadable(_) => counted.closed_unreadable.one(),
            Over::Silent => counted.closed_silent.one(),
            Over::Unfinished => counted.closed_unfinished.one(),
            Over::Quiet(Quiet::Idle) => counted.closed_idle.one(),
            Over::Quiet(Quiet::Room) => counted.closed_for_room.one(),
            Over::Quiet(Quiet::End) => counted.closed_at_end.one(),
        }
        if let (Over::Quiet(why), Some(client)) = (over, self.clients.0.get_mut(&id)) {
            client.closed_here = Some(why);
        }
        match over {
            Over::Unreadable(_) => self.fail_and_disconnect(id),
            Over::Ended | Over::Dropped | Over::Silent | Over::Unfinished | Over::Quiet(_) => {
                self.clients.close(id)
            }
        }
    }

    /// A client is gone; what it waits for is given up.
    pub(super) fn client_over(&mut self, id: ClientId) {
        let Some(client) = self.clients.0.remove(&id) else { return };
        let open = client.open;
        if let Some(why) = client.closed_here {
            let unanswered = open.keys().filter(|tag| client.life.presence().not_taken_back(**tag)).count();
            let ids = format_args!("client {}, closed for {why:?}, requests {:?}", id.0, open.keys());
            self.invariants.closed(unanswered, ids);
        }
        open.into_values().for_each(|no| self.left(no));
    }

    pub(super) fn message(&mut self, id: ClientId, message: FromClient, at: Ms) {
        let Some(client) = self.clients.0.get_mut(&id).filter(|c| !c.closing) else { return };
        client.life.tell(Event::Taken);
        (client.spoke, client.active) = (true, self.now);
        match message {
            FromClient::Do(tag, request) => self.request(id, tag, request, at),
            FromClient::Undo(_) if broken(Break::CancelIgnored) => {}
            FromClient::Undo(tag) => {
                client.life.presence().heeded(tag);
                match client.open.remove(&tag) {
                    Some(no) => {
                        let too_many = client.takes_back_too_many(self.now);
                        self.left(no);
                        if too_many {
                            self.counters.clients.closed_broken_rule.one();
                            self.fail_and_disconnect(id);
                        }
                    }
                    None => {
                        let unsent = client.unsent.remove(&tag);
                        unsent
                            .into_iter()
                            .for_each(|p| self.counters.clients.taken_back.more(p.take_back().into()));
                    }
                }
            }
            FromClient::Ping(tag) => {
                let known = self.fleet.as_ref().is_none_or(|f| f.purges_known);
                client.outbox.put(pong(tag, self.list_in && known && !self.ending.asked()));
            }
            FromClient::Unreadable(tag) => self.not_understood(id, tag),
        }
    }

    /// What makes no sense is failed, and a client that goes on with it is closed.
    pub(super) fn not_understood(&mut self, id: ClientId, tag: Tag) {
        let Some(client) = self.clients.0.get_mut(&id) else { return };
        self.counters.clients.unreadable.one();
        client.outbox.put(answer(tag, Reply::Failed));
        client.unreadable += 1;
        if client.unreadable >= UNREADABLE_MOST {
            self.counters.clients.closed_broken_rule.one();
            self.fail_and_disconnect(id);
        }
    }

    fn request(&mut self, id: ClientId, tag: Tag, request: Box<Do>, at: Ms) {
        let Some(client) = self.clients.0.get_mut(&id) else { return };
        if !client.opens(tag) {
            // Which of two requests under one number an answer would be for can't be told, and no client in service has so many
            // open: the connection is closed, and nothing that is open on it is answered.
            self.counters.clients.closed_broken_rule.one();
            return self.disconnect(id);
        }
        let wanted = Wanted::new(client.life.presence(), tag);
        if !wanted.holds() {
            // Its place is taken until what took it back is heard in its turn.
            let no = self.requests.number();
            client.open.insert(tag, no);
            let counted = &self.counters.clients;
            [&counted.requests, &counted.left, &counted.left_early].into_iter().for_each(Count::one);
            self.gathering.iter_mut().filter(|_| request.parts.is_some()).for_each(Gathering::left_early);
            return;
        }
        let class = self.names.class(&request.class);
        // An id is new with each request; under one that is open, another's answer could come.
        if class.is_none() || self.requests.knows(&request.id) {
            return self.not_understood(id, tag);
        }
        let deadline = at + request.left;
        if let Some(class) = class.filter(|_| self.gathering.is_some() && request.parts.is_some()) {
            return self.gather((id, tag), class, request, deadline);
        }
        self.counters.clients.requests.one();
        self.admit(Asked { asker: Asker::Client(id, tag), class, request, deadline, wanted: Some(wanted) });
    }

    /// Closes connections for those that wait for a place: first what clients in service would not miss, one that has said
    /// nothing yet or has been idle for longer than they are; else those that have been idle for longest after an answer.
    /// One on which something is open, or from which something is on its way, is never closed for this.
    pub(super) fn make_room(&mut self) {
        let missed = self.clients.least_missed(self.now, self.places.lingering());
        missed.iter().filter_map(|id| self.clients.0.get(id)).for_each(|client| {
            client.life.tell(Event::Asked(Quiet::Room));
        });
    }

    /// Drops a client whose messages can't be told apart any more: what it waits for is given up, what is in line for it is still written.
    fn disconnect(&mut self, id: ClientId) {
        let Some(client) = self.clients.0.get_mut(&id) else { return };
        client.life.tell(Event::Dropped);
        let open = std::mem::take(&mut client.open);
        self.clients.close(id);
        open.into_values().for_each(|no| self.left(no));
    }

    /// The same of one whose requests were understood: each that it waits for is answered as failed.
    fn fail_and_disconnect(&mut self, id: ClientId) {
        let Some(client) = self.clients.0.get(&id) else { return };
        for tag in client.open.keys().filter(|tag| client.life.presence().wants(**tag)) {
            client.outbox.put(answer(*tag, Reply::Failed));
        }
        self.disconnect(id);
    }
}
