//! Clients: accepts connections and runs a task for each.
//!
//! - `message`: decodes clients' messages; `response`: encodes answers;
//! - `parts`: decodes requests for several parts and encodes their answers;
//! - `slot`: a connection's slot, and its lingering close.

pub mod message;
pub mod parts;
mod response;
mod slot;

pub use message::{ClientId, ClientMessage, RequestMessage, Tag, WireId};
pub use response::{encode_answer, encode_pong, Reply};

use crate::connection::{CloseReason, ConnectionEvent, ConnectionSlots, ConnectionState};
use crate::inbox::{read_messages, ClientReader, Decoded, DecodedMessage};
use crate::limits::{
    ACCEPTS_PER_TURN, ACCEPT_RETRY_INTERVAL, CLIENT_READ_LIMITS, CLIENT_UNSENT_MAX_BYTES, LISTEN_BACKLOG,
    MAX_UNSENT_MESSAGES, MAX_UNSENT_UNDER_PRESSURE, RETRY_INTERVAL,
};
use crate::messages::{ConnectionContext, Input};
use crate::outbox::{send_queue, unsent_messages, write_messages, BufferMeter, BufferReservation};
use crate::socket;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future;
use slot::ConnectionSlot;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Accepts clients until the shutdown ends accepting, then those that are in the listener's backlog. While no slot is free, it asks the
/// owner to close idle clients, and connections wait in the backlog.
pub async fn accept(
    listener: Async<TcpListener>,
    max_clients: usize,
    slots: Rc<ConnectionSlots>,
    connections: Sender<Input>,
    context: ConnectionContext,
) {
    let mut accepted: u64 = 0;
    let mut turns: usize = 0;
    // Since when connections may wait in the backlog: while no slot was free, or accepts failed.
    let mut waiting_since = None;
    // Limited, so that clients that keep connecting don't delay the shutdown.
    let mut accepted_after_end = 0;
    while accepted_after_end < LISTEN_BACKLOG {
        if waiting_since.is_some() && !socket::readable(&listener) {
            waiting_since = None;
        }
        while slots.taken() >= max_clients {
            waiting_since.get_or_insert_with(|| context.pause_detector.backlog_since());
            if connections.send(Input::SlotWanted).await.is_err() {
                return;
            }
            Timer::after(RETRY_INTERVAL).await;
        }
        let ended = async {
            slots.accepting_stopped().await;
            None
        };
        // `accept` goes first, so that the backlog is accepted before the loop ends.
        match future::or(async { Some(listener.accept().await) }, ended).await {
            Some(Ok((socket, _))) => {
                accepted += 1;
                let slot = ConnectionSlot::take(&slots);
                let since = waiting_since.unwrap_or_else(|| context.pause_detector.backlog_since());
                let client = AcceptedClient { id: ClientId(accepted), socket, slot, waiting_since: since };
                let task = connection(client, connections.clone(), context.clone());
                context.executor.spawn(task).detach();
            }
            Some(Err(e)) => {
                log::debug!("accept failed: {e}");
                waiting_since.get_or_insert_with(Instant::now);
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
            None => return,
        }
        accepted_after_end += i32::from(slots.stopped_accepting());
        turns += 1;
        if turns.is_multiple_of(ACCEPTS_PER_TURN) {
            future::yield_now().await;
        }
    }
}

/// A client's connection that was just accepted.
struct AcceptedClient {
    id: ClientId,
    socket: Async<TcpStream>,
    slot: ConnectionSlot,
    /// Since when it may have waited in the listener's backlog.
    waiting_since: Instant,
}

/// Runs a client's connection from accept to close; the socket is closed when this returns. That it opens and closes is sent to the owner
/// by the queue `connections`, so that neither waits for a place among clients' messages.
async fn connection(client: AcceptedClient, connections: Sender<Input>, context: ConnectionContext) {
    let AcceptedClient { id, socket, slot, waiting_since } = client;
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("client {}: TCP_NODELAY failed: {e}", id.0);
    }
    let buffered = Rc::new(BufferMeter::default());
    let state = Rc::new(ConnectionState::with_invariants(slot.slots(), &context.invariants));
    let (outbox, outgoing) = send_queue(&context.budgets.responses.meter, &buffered);
    if connections.send(Input::ClientConnected(id, outbox, Rc::clone(&state))).await.is_err() {
        return;
    }
    let read = async {
        let is_peer_slow = || {
            let unsent = unsent_messages(&buffered);
            let pressed = context.budgets.responses.must_shed() && unsent > MAX_UNSENT_UNDER_PRESSURE;
            pressed || unsent > MAX_UNSENT_MESSAGES || buffered.bytes() > CLIENT_UNSENT_MAX_BYTES
        };
        let decode = |decoded: DecodedMessage| {
            let Some(message) = ClientMessage::decode(decoded.elements) else { return Decoded::Unknown };
            if !state.liveness().observe(&message) {
                return Decoded::NoEffect;
            }
            let message = if decoded.boundary_uncertain { message.with_uncertain_end() } else { message };
            let message = if decoded.discarded { message.with_discarded_body() } else { message };
            let reservation = BufferReservation::of(&context.budgets.requests.meter, message.size());
            let received_at = decoded.received_at;
            Decoded::Input(Input::ClientMessage { client: id, message, received_at, buffered: reservation })
        };
        let client = ClientReader { state: &state, waiting_since };
        let reason =
            read_messages(&socket, CLIENT_READ_LIMITS, &context, is_peer_slow, decode, Some(client)).await;
        log::debug!("client {}: reading stopped: {reason:?}", id.0);
        state.apply(ConnectionEvent::ReadStopped);
        let lingers = reason != CloseReason::PeerClosed;
        if lingers && context.queue.send(Input::ClientReadStopped(id, reason)).await.is_ok() {
            slot.discard(&socket, &context.read_buffer, &state, reason).await;
        }
    };
    let write = async {
        if write_messages(&socket, outgoing, || slot.write_timeout()).await {
            slot.linger(&socket, &state).await;
        }
    };
    future::or(read, write).await;
    state.apply(ConnectionEvent::Closed);
    state.liveness().disconnect();
    // Fails only if the owner has ended, and the process with it.
    let _ = connections.send(Input::ClientClosed(id)).await;
}
