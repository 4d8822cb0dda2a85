//! Handles the inputs of clients' connections: connects, messages, closes.

use super::clients::{Client, Intake};
use super::requester::{ClientRequest, IncomingRequest, Requester};
use super::scatter_gather::ScatterGather;
use super::Owner;
use crate::breaks::{broken, Break};
use crate::clients::{encode_answer, encode_pong, ClientId, ClientMessage, Reply, RequestMessage, Tag};
use crate::connection::CloseReason;
use crate::connection::RequestLiveness;
use crate::connection::{ConnectionEvent, ConnectionState, IdleReason};
use crate::outbox::SendQueue;
use basaltgw::api::Ms;
use std::rc::Rc;

impl Owner {
    pub(super) fn on_client_connected(
        &mut self,
        id: ClientId,
        outbox: SendQueue,
        connection: Rc<ConnectionState>,
    ) {
        self.counters.clients.connected.increment();
        self.clients.connected.insert(id, Client::new(self.time.now, outbox, connection));
    }

    /// Handles the end of reading from a client. Its open requests are still answered, except if the client sent bytes that can't be
    /// decoded: then its requests may have been decoded wrongly too, and all are failed.
    pub(super) fn on_client_stopped(&mut self, id: ClientId, reason: CloseReason) {
        let counters = &self.counters.clients;
        match reason {
            CloseReason::PeerClosed | CloseReason::Dropped => {}
            CloseReason::Malformed(_) => counters.closed_malformed.increment(),
            CloseReason::NoFirstMessage => counters.closed_no_first_message.increment(),
            CloseReason::IncompleteMessage => counters.closed_incomplete.increment(),
            CloseReason::IdleClose(IdleReason::IdleTimeout) => counters.closed_idle.increment(),
            CloseReason::IdleClose(IdleReason::SlotNeeded) => counters.closed_for_slot.increment(),
            CloseReason::IdleClose(IdleReason::Shutdown) => counters.closed_at_shutdown.increment(),
            CloseReason::IdleClose(IdleReason::Misuse) => counters.closed_for_misuse.increment(),
        }
        if let (CloseReason::IdleClose(reason), Some(client)) = (reason, self.clients.connected.get_mut(&id))
        {
            client.close_reason = Some(reason);
        }
        match reason {
            CloseReason::Malformed(_) => {
                self.fail_open_requests(id);
                self.disconnect(id, Intake::Stopped);
            }
            CloseReason::PeerClosed
            | CloseReason::Dropped
            | CloseReason::NoFirstMessage
            | CloseReason::IncompleteMessage
            | CloseReason::IdleClose(_) => {
                self.clients.close(id, Intake::Stopped);
            }
        }
    }

    /// Handles the close of a client's connection: its open requests are cancelled.
    pub(super) fn on_client_closed(&mut self, id: ClientId) {
        let Some(client) = self.clients.connected.remove(&id) else { return };
        let open = client.open;
        if let Some(reason) = client.close_reason {
            let liveness = client.connection.liveness();
            let unanswered = open.keys().filter(|tag| liveness.not_cancelled(**tag)).count();
            let ids = format_args!("client {}, closed for {reason:?}, requests {:?}", id.0, open.keys());
            self.monitors.invariants.check_close(unanswered, ids);
        }
        open.into_values().for_each(|number| self.on_requester_left(number));
    }

    pub(super) fn on_client_message(&mut self, id: ClientId, message: ClientMessage, received_at: Ms) {
        let Some(client) = self.clients.connected.get_mut(&id) else {
            return self.count_message_of_closed_client(&message);
        };
        match client.intake {
            Intake::Open => {}
            Intake::FailingRest => return self.fail_rest(id, message),
            Intake::DroppingRest | Intake::Stopped => return,
        }
        client.connection.apply(ConnectionEvent::Dequeued);
        (client.has_sent, client.last_active) = (true, self.time.now);
        match message {
            ClientMessage::Request(tag, request) => self.on_client_request(id, tag, request, received_at),
            ClientMessage::Cancel(_) if broken(Break::CancelIgnored) => {}
            ClientMessage::Cancel(tag) => self.on_client_cancel(id, tag),
            ClientMessage::Probe(tag) => {
                let ready = self.is_ready();
                if let Some(client) = self.clients.connected.get_mut(&id) {
                    client.outbox.push(encode_pong(tag, ready));
                }
            }
            ClientMessage::Malformed(tag) => self.on_invalid_request(id, tag),
        }
    }

    /// Counts a request that was queued when its client's connection was closed: nobody waits for it.
    fn count_message_of_closed_client(&self, message: &ClientMessage) {
        match message {
            ClientMessage::Request(..) => self.counters.clients.count_cancelled_early(),
            ClientMessage::Cancel(_) | ClientMessage::Probe(_) | ClientMessage::Malformed(_) => {}
        }
    }

    /// Whether the router can take requests: it has an endpoint list, knows the purges, and is not shutting down.
    fn is_ready(&self) -> bool {
        let purges_known = self.fleet.as_ref().is_none_or(|fleet| fleet.purges_known);
        self.upstream.list_received && purges_known && !self.shutdown.has_begun()
    }

    fn on_client_cancel(&mut self, id: ClientId, tag: Tag) {
        let Some(client) = self.clients.connected.get_mut(&id) else { return };
        client.connection.liveness().forget(tag);
        let Some(number) = client.open.remove(&tag) else {
            if let Some(message) = client.unsent.remove(&tag) {
                self.counters.clients.recalled.add(message.recall().into());
            }
            return;
        };
        if self.requests.get(number).is_none_or(|pending| pending.is_early(self.time.now)) {
            client.count_early_cancellation(self.time.now);
        }
        self.on_requester_left(number);
    }

    /// Fails a request that was read before its client was disconnected. Other messages have no effect any more.
    fn fail_rest(&mut self, id: ClientId, message: ClientMessage) {
        let Some(client) = self.clients.connected.get_mut(&id) else { return };
        match message {
            ClientMessage::Request(tag, _) if !client.connection.liveness().is_waiting(tag) => {
                self.counters.clients.count_cancelled_early();
            }
            ClientMessage::Request(tag, _) if client.register_tag(tag) => {
                self.counters.clients.requests.increment();
                self.counters.clients.count_reply(&Reply::Failed);
                client.send_final(tag, Reply::Failed);
            }
            ClientMessage::Request(..)
            | ClientMessage::Cancel(_)
            | ClientMessage::Probe(_)
            | ClientMessage::Malformed(_) => {}
        }
    }

    /// Fails a request that is malformed, of an unknown class, or has the id of an open request; a client that sends many of them is
    /// disconnected.
    pub(super) fn on_invalid_request(&mut self, id: ClientId, tag: Tag) {
        let Some(client) = self.clients.connected.get_mut(&id) else { return };
        self.counters.clients.malformed.increment();
        client.send_final(tag, Reply::Failed);
        if client.has_too_many_invalid() {
            self.counters.clients.closed_for_misuse.increment();
            self.fail_and_disconnect(id);
        }
    }

    fn on_client_request(&mut self, id: ClientId, tag: Tag, request: Box<RequestMessage>, received_at: Ms) {
        let Some(client) = self.clients.connected.get_mut(&id) else { return };
        if !client.register_tag(tag) {
            // Two requests with one tag can't be told apart in responses: the connection is closed, and its open requests are not answered.
            self.counters.clients.closed_for_misuse.increment();
            return self.disconnect(id, Intake::DroppingRest);
        }
        let liveness = RequestLiveness::new(client.connection.liveness(), tag);
        if !liveness.is_waiting() {
            return self.skip_cancelled_request(ClientRequest { id, tag }, &request);
        }
        let class = self.config.names.class(&request.class);
        // Each request needs a new id: two open requests with one id can't be told apart in responses of servers.
        let Some(class) = class.filter(|_| !self.requests.contains_id(&request.id)) else {
            return self.on_invalid_request(id, tag);
        };
        if let Err(refusal) = self.check_id(class, &request.id) {
            log::debug!("client {}, tag {}: id {} is used again: {refusal}", id.0, tag.0, request.id.0);
            return self.fail_reused_id(id, tag);
        }
        let deadline = received_at + request.deadline_ms;
        if self.scatter_gather.is_some() && request.parts.is_some() {
            return self.on_scatter_gather_request(ClientRequest { id, tag }, class, request, deadline);
        }
        self.counters.clients.requests.increment();
        let requester = Requester::Client(ClientRequest { id, tag });
        let (class, liveness) = (Some(class), Some(liveness));
        self.admit(IncomingRequest { requester, class, request, deadline, liveness });
    }

    /// Fails a request under the id of an earlier one that may have been executed: a rejection would tell the client that nothing ran.
    fn fail_reused_id(&mut self, id: ClientId, tag: Tag) {
        let Some(client) = self.clients.connected.get_mut(&id) else { return };
        self.counters.clients.reused_ids.increment();
        client.send_final(tag, Reply::Failed);
    }

    /// Counts a request that its client cancelled before the owner handled it. Its tag stays in use until the owner handles the
    /// cancellation.
    fn skip_cancelled_request(&mut self, client: ClientRequest, request: &RequestMessage) {
        let number = self.requests.next_number();
        self.clients.register(client, number);
        self.counters.clients.count_cancelled_early();
        if request.parts.is_some() {
            self.scatter_gather.iter_mut().for_each(ScatterGather::count_early_cancel);
        }
    }

    /// Requests the close of connections for clients that wait for a slot: first of those that have sent nothing yet or have been idle for
    /// longer than clients in use are, then of those that have been idle for longest after a response. A connection with an open request or
    /// a queued message is never closed for this.
    pub(super) fn close_least_active_clients(&mut self) {
        for id in self.clients.least_active(self.time.now) {
            if let Some(client) = self.clients.connected.get(&id) {
                client.connection.apply(ConnectionEvent::CloseRequested(IdleReason::SlotNeeded));
            }
        }
    }

    /// Disconnects the clients without an open request.
    pub(super) fn disconnect_clients_without_requests(&mut self) {
        let is_due = |client: &Client| client.intake == Intake::Open && client.open.is_empty();
        let connected = self.clients.connected.iter();
        let ids: Vec<ClientId> = connected.filter(|(_, c)| is_due(c)).map(|(id, _)| *id).collect();
        self.counters.clients.closed_at_shutdown.add(ids.len() as u64);
        ids.into_iter().for_each(|id| self.disconnect(id, Intake::FailingRest));
    }

    /// Disconnects a client: nothing more is read from it, its open requests are cancelled, and the queued messages are written before the
    /// close.
    fn disconnect(&mut self, id: ClientId, intake: Intake) {
        let Some(client) = self.clients.connected.get_mut(&id) else { return };
        client.connection.apply(ConnectionEvent::Dropped);
        let open = std::mem::take(&mut client.open);
        self.clients.close(id, intake);
        open.into_values().for_each(|number| self.on_requester_left(number));
    }

    /// Fails the open requests of a client and those that were read behind them, and disconnects it.
    fn fail_and_disconnect(&mut self, id: ClientId) {
        self.fail_open_requests(id);
        self.disconnect(id, Intake::FailingRest);
    }

    fn fail_open_requests(&self, id: ClientId) {
        let Some(client) = self.clients.connected.get(&id) else { return };
        for tag in client.open.keys().filter(|tag| client.connection.liveness().is_waiting(**tag)) {
            client.outbox.push(encode_answer(*tag, Reply::Failed));
        }
    }
}
