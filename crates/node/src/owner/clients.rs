//! Clients and their places: what each has open, what it is owed, and when it is closed.

use super::asker::{Asked, Asker};
use super::batch::micros;
use super::gather::Gathering;
use super::Owner;
use crate::caches::RequestNo;
use crate::clients::presence::{Presence, Wanted};
use crate::clients::{answer, pong, ClientId, Do, FromClient, Reply, Tag};
use crate::counters::Count;
use crate::inbox::Over;
use crate::limits::{
    OPEN_PER_CLIENT, ROOM_IDLE_MS, ROOM_REST_MS, ROOM_SHARE, ROOM_SILENT_MS, TAGS_KEPT, UNDONE_MOST,
    UNREADABLE_MOST,
};
use crate::outbox::{Outbox, Parcel, Stage};
use basaltgw::api::Ms;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

pub(super) struct Client {
    pub outbox: Outbox,
    /// What its connection has read ahead of the queue.
    presence: Rc<Presence>,
    pub open: BTreeMap<Tag, RequestNo>,
    /// Answers that may not be written yet.
    pub unsent: BTreeMap<Tag, Rc<Parcel>>,
    /// Tags of its last requests.
    used: VecDeque<Tag>,
    /// Requests of it that could not be understood.
    unreadable: u32,
    /// Requests that it took back since it was last answered.
    undone: u32,
    /// It has sent a whole message.
    pub spoke: bool,
    /// When it connected, sent its last message or got its last answer.
    pub active: Ms,
}

impl Client {
    fn new(now: Ms, outbox: Outbox, presence: Rc<Presence>) -> Self {
        Self {
            outbox,
            presence,
            open: BTreeMap::new(),
            unsent: BTreeMap::new(),
            used: VecDeque::new(),
            unreadable: 0,
            undone: 0,
            spoke: false,
            active: now,
        }
    }

    /// Nothing is owed to it.
    fn at_rest(&self) -> bool {
        self.open.is_empty() && self.outbox.unsent() == 0
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

/// The clients that are connected. One that is dropped here is disconnected.
#[derive(Default)]
pub(super) struct Clients(pub BTreeMap<ClientId, Client>);

impl Clients {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Something is owed to one of them.
    pub(super) fn any_open(&self) -> bool {
        self.0.values().any(|c| !c.at_rest())
    }

    pub(super) fn owe(&mut self, id: ClientId, tag: Tag, no: RequestNo) {
        self.0.get_mut(&id).into_iter().for_each(|client| {
            client.open.insert(tag, no);
        });
    }

    /// What tells whether a client still waits; `None` of one that is not connected.
    pub(super) fn wanted(&self, id: ClientId, tag: Tag) -> Option<Wanted> {
        Some(Wanted::new(&self.0.get(&id)?.presence, tag))
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
        client.open.remove(&tag);
        (client.active, client.undone) = (now, 0);
        client.unsent.retain(|_, p| p.stage() == Stage::Waiting);
        client.unsent.insert(tag, client.outbox.put(answer));
        true
    }

    /// Closes those that have been at rest for so long; gives how many.
    pub(super) fn close_idle(&mut self, now: Ms, idle: Ms) -> usize {
        let before = self.0.len();
        self.0.retain(|_, c| !c.at_rest() || now - c.active < idle);
        before - self.0.len()
    }

    /// Who is closed for those that wait for a place; see [`Owner::make_room`].
    fn least_missed(&self, now: Ms) -> Vec<ClientId> {
        let idle = |c: &Client| now - c.active;
        let missed = |c: &Client| idle(c) < if c.spoke { ROOM_IDLE_MS } else { ROOM_SILENT_MS };
        let at_rest = self.0.iter().filter(|(_, c)| c.at_rest());
        let mut order: Vec<_> =
            at_rest.map(|(id, c)| (missed(c), c.spoke, Reverse(micros(idle(c))), *id)).collect();
        order.sort_unstable();
        // Many at once, so that a crowd doesn't wait.
        let many = self.0.len() / ROOM_SHARE + 1;
        let rested =
            |o: &&(bool, bool, Reverse<u64>, ClientId)| !o.0 || (o.1 && o.2 .0 >= micros(ROOM_REST_MS));
        order.iter().filter(rested).take(many).map(|o| o.3).collect()
    }
}

impl Owner {
    pub(super) fn connect(&mut self, id: ClientId, outbox: Outbox, presence: Rc<Presence>) {
        self.counters.clients.connected.one();
        self.clients.0.insert(id, Client::new(self.now, outbox, presence));
    }

    pub(super) fn client_over(&mut self, id: ClientId, over: Over) {
        match over {
            Over::Ended => {}
            Over::Unreadable(_) => self.counters.clients.closed_unreadable.one(),
            Over::Silent => self.counters.clients.closed_silent.one(),
            Over::Unfinished => self.counters.clients.closed_unfinished.one(),
        }
        self.disconnect(id);
    }

    pub(super) fn message(&mut self, id: ClientId, message: FromClient, at: Ms) {
        let Some(client) = self.clients.0.get_mut(&id) else { return };
        (client.spoke, client.active) = (true, self.now);
        match message {
            FromClient::Do(tag, request) => self.request(id, tag, request, at),
            FromClient::Undo(tag) => {
                client.presence.heeded(tag);
                match client.open.remove(&tag) {
                    Some(no) => {
                        client.undone += 1;
                        let too_many = client.undone >= UNDONE_MOST;
                        self.left(no);
                        if too_many {
                            self.counters.clients.closed_broken_rule.one();
                            self.disconnect(id);
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
            self.disconnect(id);
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
        let wanted = Wanted::new(&client.presence, tag);
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
    /// One on which something is open is never closed for this.
    pub(super) fn make_room(&mut self) {
        let closed = self.clients.least_missed(self.now);
        self.counters.clients.closed_for_room.more(closed.len() as u64);
        closed.into_iter().for_each(|id| self.disconnect(id));
    }

    /// Forgets a client and all that it waits for; its connection ends with its outbox.
    fn disconnect(&mut self, id: ClientId) {
        let open = self.clients.0.remove(&id).map(|c| c.open).unwrap_or_default();
        open.into_values().for_each(|no| self.left(no));
    }
}
