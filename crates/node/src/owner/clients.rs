//! The connected clients: their open requests and unsent responses, and which connections are closed when others wait for a slot.
//!
//! [`Clients::least_active`] decides whose connection is closed when clients wait for a slot. Its inputs are the idle time of each
//! connection, whether the client has sent a message yet, and the number of slots that are about to be free; its limits are the `RECLAIM_*`
//! constants of `limits`, in milliseconds. Clients that are still in use would lose requests, so they are closed last.

use super::requester::{ClientRequest, Delivered, Requester};
use super::timers::micros;
use crate::breaks::{broken, Break};
use crate::caches::RequestNo;
use crate::clients::{encode_answer, ClientId, Reply, Tag};
use crate::connection::ConnectionSlots;
use crate::connection::RequestLiveness;
use crate::connection::{ConnectionEvent, ConnectionState, IdleReason};
use crate::limits::{
    CANCELLATION_WINDOW_MS, CLOSE_CROSSING, MAX_EARLY_CANCELLATIONS, MAX_MALFORMED_REQUESTS,
    MAX_OPEN_REQUESTS_PER_CLIENT, RECENT_TAGS_PER_CLIENT, RECLAIM_IDLE_MS, RECLAIM_SERVED_MS,
    RECLAIM_SILENT_MS, SLOT_RECLAIM_DIVISOR,
};
use crate::outbox::{DeliveryState, OutgoingMessage, SendQueue};
use basaltgw::api::Ms;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Counts of a client's misuse of the protocol.
struct Misuse {
    /// Requests that were malformed or otherwise invalid; too many of them end the connection.
    invalid_requests: u32,
    /// Early cancellations since the last response or since the window began, whichever is later.
    early_cancellations: u32,
    /// When the window began in which early cancellations are counted.
    counted_since: Ms,
    /// Until when the client's requests are rejected, since it cancelled too many early.
    throttled_until: Ms,
}

/// What is done with the messages of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Intake {
    /// They are handled.
    Open,
    /// The client is disconnected; requests that its reader has read are failed until the reader stops.
    FailingRest,
    /// The client is disconnected, and its tags can't be told apart; what its reader has read is dropped.
    DroppingRest,
    /// The reader has stopped.
    Stopped,
}

/// A connected client.
pub(super) struct Client {
    pub(super) outbox: SendQueue,
    pub(super) open: BTreeMap<Tag, RequestNo>,
    /// Responses of which nothing was written when the client's last response was queued.
    pub(super) unsent: BTreeMap<Tag, Rc<OutgoingMessage>>,
    /// The tags of its last requests.
    recent_tags: VecDeque<Tag>,
    misuse: Misuse,
    /// Whether it has sent a complete message.
    pub(super) has_sent: bool,
    /// When it connected, sent its last message or got its last response.
    pub(super) last_active: Ms,
    /// The state of its connection.
    pub(super) connection: Rc<ConnectionState>,
    /// What is done with its messages; once its reader has stopped, it is released when nothing is pending for it.
    pub(super) intake: Intake,
    /// Why the router closes the connection, if the router does.
    pub(super) close_reason: Option<IdleReason>,
}

impl Client {
    pub(super) fn new(now: Ms, outbox: SendQueue, connection: Rc<ConnectionState>) -> Self {
        Self {
            outbox,
            open: BTreeMap::new(),
            unsent: BTreeMap::new(),
            recent_tags: VecDeque::new(),
            misuse: Misuse {
                invalid_requests: 0,
                early_cancellations: 0,
                counted_since: now,
                throttled_until: now,
            },
            has_sent: false,
            last_active: now,
            connection,
            intake: Intake::Open,
            close_reason: None,
        }
    }

    /// Counts an early cancellation. If there were too many since the last response or since the window began, the client's requests are
    /// rejected for the length of a window. Its connection is not closed over them, since a request may be on its way.
    pub(super) fn count_early_cancellation(&mut self, now: Ms) {
        let misuse = &mut self.misuse;
        if now - misuse.counted_since > CANCELLATION_WINDOW_MS {
            (misuse.early_cancellations, misuse.counted_since) = (0, now);
        }
        misuse.early_cancellations += 1;
        if misuse.early_cancellations >= MAX_EARLY_CANCELLATIONS {
            misuse.throttled_until = now + CANCELLATION_WINDOW_MS;
        }
    }

    /// Whether its requests are rejected, since it cancelled too many early.
    pub(super) fn is_throttled(&self, now: Ms) -> bool {
        now < self.misuse.throttled_until
    }

    /// Forgets the cancellations, as after a response.
    #[cfg(test)]
    pub(super) fn forget_cancellations(&mut self) {
        self.misuse.early_cancellations = 0;
    }

    /// Counts an invalid request; returns whether there were too many.
    pub(super) fn has_too_many_invalid(&mut self) -> bool {
        self.misuse.invalid_requests += 1;
        self.misuse.invalid_requests >= MAX_MALFORMED_REQUESTS
    }

    /// Forgets the responses of which a byte was written, since they can't be recalled.
    fn forget_sent(&mut self) {
        let liveness = self.connection.liveness();
        self.unsent.retain(|tag, message| {
            let is_queued = message.delivery_state() == DeliveryState::Queued;
            if !is_queued {
                liveness.forget(*tag);
            }
            is_queued
        });
    }

    /// Queues a response that is not recalled for a cancellation, under a tag that no open request has.
    pub(super) fn send_final(&mut self, tag: Tag, reply: Reply<'_>) {
        self.outbox.push(encode_answer(tag, reply));
        if !self.open.contains_key(&tag) {
            self.connection.liveness().forget(tag);
        }
    }

    /// Whether no request is open and no byte is unsent.
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.outbox.unsent_bytes() == 0
    }

    /// Whether the connection is closing or its close is requested.
    pub(super) fn is_closing(&self) -> bool {
        self.intake != Intake::Open || self.connection.close_reason().is_some()
    }

    /// Registers the tag of a new request; false if the tag was used recently or too many requests are open.
    pub(super) fn register_tag(&mut self, tag: Tag) -> bool {
        if self.recent_tags.contains(&tag) || self.open.len() >= MAX_OPEN_REQUESTS_PER_CLIENT {
            return false;
        }
        self.recent_tags.push_back(tag);
        if self.recent_tags.len() > RECENT_TAGS_PER_CLIENT {
            self.recent_tags.pop_front();
        }
        true
    }
}

/// The order in which clients' connections are closed for others, the least value first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CloseOrder {
    /// Whether it may be in use, since it has been idle for no longer than a client in use would be.
    may_be_in_use: bool,
    /// Whether it has sent a message.
    has_sent: bool,
    /// How long it has been idle, in microseconds; the longest goes first.
    idle_us: Reverse<u64>,
    id: ClientId,
}

impl CloseOrder {
    fn new(now: Ms, id: ClientId, client: &Client) -> Self {
        let idle = now - client.last_active;
        let limit = if client.has_sent { RECLAIM_IDLE_MS } else { RECLAIM_SILENT_MS };
        let (may_be_in_use, has_sent) = (idle < limit, client.has_sent);
        Self { may_be_in_use, has_sent, idle_us: Reverse(micros(idle)), id }
    }

    /// Whether the connection may be closed at all: one that may be in use only if its responses were sent a while ago.
    fn may_be_closed(&self) -> bool {
        !self.may_be_in_use || (self.has_sent && self.idle_us.0 >= micros(RECLAIM_SERVED_MS))
    }
}

/// The connected clients. When a [`Client`] is dropped, its queued messages are written and then its connection is closed.
#[derive(Default)]
pub(super) struct Clients {
    pub(super) connected: BTreeMap<ClientId, Client>,
    /// Clients from which nothing more is read.
    closing: BTreeSet<ClientId>,
    /// The slots of the connections; a slot is taken until its socket is closed.
    pub(super) slots: Rc<ConnectionSlots>,
}

impl Clients {
    pub(super) fn len(&self) -> usize {
        self.connected.len()
    }

    /// Registers an admitted request of a client.
    pub(super) fn register(&mut self, request: ClientRequest, number: RequestNo) {
        if let Some(client) = self.connected.get_mut(&request.id) {
            client.open.insert(request.tag, number);
        }
    }

    /// The liveness of a request; `None` if its client is not connected.
    pub(super) fn liveness(&self, request: ClientRequest) -> Option<RequestLiveness> {
        Some(RequestLiveness::new(self.connected.get(&request.id)?.connection.liveness(), request.tag))
    }

    /// Whether the requester's requests are rejected, since it cancelled too many early.
    pub(super) fn is_throttled(&self, requester: Requester, now: Ms) -> bool {
        match requester {
            Requester::Client(client) => {
                self.connected.get(&client.id).is_some_and(|client| client.is_throttled(now))
            }
            Requester::SubRequest(_) | Requester::Peer(_) => false,
        }
    }

    /// Rejects a request that was not admitted.
    pub(super) fn reject(&mut self, request: ClientRequest) {
        if let Some(client) = self.connected.get_mut(&request.id) {
            client.send_final(request.tag, Reply::Rejected(0.0));
        }
    }

    /// Queues a response, unless the client has disconnected.
    pub(super) fn send_response(&mut self, now: Ms, to: ClientRequest, response: Vec<u8>) -> Delivered {
        let ClientRequest { id, tag } = to;
        let Some(client) = self.connected.get_mut(&id) else { return Delivered::NotToClient };
        let was_open = client.open.remove(&tag).is_some();
        let ids = format_args!("client {}, request {}", id.0, tag.0);
        client.connection.invariants().check_answer(was_open, ids);
        (client.last_active, client.misuse.early_cancellations) = (now, 0);
        client.forget_sent();
        if broken(Break::SecondAnswer) {
            client.outbox.push(response.clone());
        }
        client.unsent.insert(tag, client.outbox.push(response));
        Delivered::ToClient
    }

    /// Requests the close of connections that have been idle for `min_idle` milliseconds. A message that crosses the close request cancels it.
    pub(super) fn close_idle(&self, now: Ms, min_idle: Ms, reason: IdleReason) {
        let ignores_activity = broken(Break::CloseOverRequest);
        // During shutdown the answers that are not yet written go out before the close.
        let is_done = |c: &Client| match reason {
            IdleReason::Shutdown => c.open.is_empty(),
            IdleReason::IdleTimeout | IdleReason::SlotNeeded | IdleReason::Misuse => c.is_idle(),
        };
        let is_idle = |c: &Client| ignores_activity || (is_done(c) && now - c.last_active >= min_idle);
        for client in self.connected.values().filter(|c| !c.is_closing() && is_idle(c)) {
            client.connection.apply(ConnectionEvent::CloseRequested(reason));
        }
    }

    /// Requests the close of connections whose clients cancelled too many requests early, once no request can be on its way.
    pub(super) fn close_throttled(&self, now: Ms) {
        let quiet_ms = CLOSE_CROSSING.as_secs_f64() * 1000.0;
        let is_due = |c: &&Client| c.is_throttled(now) && c.is_idle() && now - c.last_active >= quiet_ms;
        for client in self.connected.values().filter(|c| !c.is_closing()).filter(is_due) {
            client.connection.apply(ConnectionEvent::CloseRequested(IdleReason::Misuse));
        }
    }

    /// Releases the clients that are closing and have nothing pending.
    pub(super) fn release_closed(&mut self) {
        let Self { connected, closing, .. } = self;
        closing.retain(|id| match connected.get(id) {
            // Its reader may still queue what it has read.
            Some(Client { intake: Intake::FailingRest | Intake::DroppingRest, .. }) => true,
            Some(client) if client.is_idle() || broken(Break::CloseOverRequest) => {
                connected.remove(id);
                false
            }
            Some(_) => true,
            None => false,
        });
    }

    /// Marks a client from which nothing more is taken, or whose further requests are failed, to be released once nothing is pending for it.
    pub(super) fn close(&mut self, id: ClientId, intake: Intake) {
        if let Some(client) = self.connected.get_mut(&id) {
            client.intake = intake;
        }
        self.closing.insert(id);
    }

    /// Whose connections are closed for clients that wait for a slot; see `Owner::close_least_active_clients`.
    pub(super) fn least_active(&self, now: Ms) -> Vec<ClientId> {
        let open = self.connected.iter().filter(|(_, c)| !c.is_closing());
        let idle = open.clone().filter(|(_, c)| c.is_idle());
        let mut order: Vec<_> = idle.map(|(id, c)| CloseOrder::new(now, *id, c)).collect();
        order.sort_unstable();
        // Several at once, so that many waiting clients get slots soon; slots that are about to be free are subtracted.
        let close_requested =
            self.connected.values().filter(|c| c.connection.close_reason().is_some()).count();
        let count = (open.count() / SLOT_RECLAIM_DIVISOR + 1)
            .saturating_sub(close_requested + self.slots.lingering());
        order.iter().filter(|o| o.may_be_closed()).take(count).map(|o| o.id).collect()
    }
}
