//! A connection to a server: its state, and the task that reads and writes its socket.

use super::ids::{AttemptKey, ConnId, ConnectionFailure};
use super::wire::ServerAnswer;
use crate::clients::message::WireId;
use crate::clock::timed_out_after;
use crate::connection::CloseReason;
use crate::inbox::{read_messages, run_reader_and_writer, Decoded, DecodedMessage};
use crate::limits::{
    CONNECT_RETRY_INTERVAL, SERVER_READ_LIMITS, SERVER_WRITE_TIMEOUT, SILENT_CONNECTION_MS, VALIDATED_FOR_MS,
};
use crate::messages::{ConnectionContext, Input};
use crate::outbox::{write_messages, DrainedSince, OutgoingMessage, SendConditions, SendQueue};
use crate::resp::encode;
use crate::socket;
use async_io::{Async, Timer};
use basaltgw::api::{Ms, ServerId};
use basaltgw_config::ServerProcess;
use futures_lite::future;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Ids of cancelled attempts that a connection remembers; beyond that number it is retired.
const MAX_ABORTED_IDS: usize = 128;

/// The state of a connection. Dropping it closes the connection once its queue is written.
pub(super) struct Conn {
    pub server: ServerId,
    pub process: ServerProcess,
    pub outbox: SendQueue,
    pub established: bool,
    /// Whether the connection takes no more attempts.
    pub retired: bool,
    /// The open attempts.
    pub open: BTreeMap<WireId, AttemptKey>,
    /// Cancelled attempts, which may still be answered.
    aborted: BTreeSet<WireId>,
    /// Since when an answer is awaited without any being received.
    pub awaiting_since: Option<Ms>,
    pub last_used: Ms,
    last_answer: Option<Ms>,
    /// The tag of the unanswered health probe.
    pub probe: Option<WireId>,
    /// Attempts that are queued once the probe is answered.
    behind_probe: Vec<Rc<OutgoingMessage>>,
    /// Since when the server takes no new attempts.
    pub drained: DrainedSince,
}

impl Conn {
    /// A connection that is being established.
    pub(super) fn new(now: Ms, server: ServerId, process: ServerProcess, outbox: SendQueue) -> Self {
        Self {
            server,
            process,
            outbox,
            established: false,
            retired: false,
            open: BTreeMap::new(),
            aborted: BTreeSet::new(),
            awaiting_since: None,
            last_used: now,
            last_answer: None,
            probe: None,
            behind_probe: Vec::new(),
            drained: Rc::default(),
        }
    }

    /// Whether the connection has no open attempt and no unwritten byte.
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty() && self.outbox.unsent_bytes() == 0
    }

    /// Whether an answer is awaited and nothing was received for [`SILENT_CONNECTION_MS`].
    fn is_silent(&self, now: Ms) -> bool {
        self.established && self.awaiting_since.is_some_and(|t| now - t >= SILENT_CONNECTION_MS)
    }

    /// Whether the connection must be probed before an attempt is written, since it is new or was idle. The server may close such a
    /// connection at any time, and an attempt that crosses the close may have been executed.
    fn needs_probe(&self, now: Ms) -> bool {
        self.open.is_empty() && self.last_answer.is_none_or(|t| now - t > VALIDATED_FOR_MS)
    }

    /// Queues an attempt, after a health probe where one is needed.
    pub(super) fn send(
        &mut self,
        now: Ms,
        conn_id: ConnId,
        bytes: Vec<u8>,
        conditions: SendConditions,
    ) -> Rc<OutgoingMessage> {
        if self.probe.is_none() && self.needs_probe(now) {
            let tag = WireId(Arc::from(conn_id.0.to_string()));
            self.outbox.push(encode(&[b"alive", tag.0.as_bytes()]));
            self.probe = Some(tag);
        }
        let message =
            self.outbox.prepare(bytes, SendConditions { drained: Rc::clone(&self.drained), ..conditions });
        match self.probe {
            Some(_) => self.behind_probe.push(Rc::clone(&message)),
            None => self.outbox.enqueue(&message),
        }
        message
    }

    /// Whether the connection takes an attempt with this id. It takes none with the id of an earlier attempt on it, whose answer, or a
    /// duplicate of it, would count as the answer to the new one.
    pub(super) fn accepts(&self, now: Ms, id: &WireId, max_streams: usize) -> bool {
        let free = self.open.len() < max_streams && !self.open.contains_key(id) && !self.aborted.contains(id);
        free && !self.retired && !self.is_silent(now)
    }

    /// Records an answer; returns the open attempt to which it belongs, if there is one.
    pub(super) fn on_answer(&mut self, now: Ms, id: &WireId) -> Option<AttemptKey> {
        let key = self.open.remove(id);
        self.last_answer = Some(now);
        if self.probe.as_ref() == Some(id) {
            self.probe = None;
            let waiting = std::mem::take(&mut self.behind_probe);
            waiting.iter().for_each(|message| self.outbox.enqueue(message));
        }
        self.awaiting_since = Some(now).filter(|_| !self.open.is_empty());
        self.last_used = now;
        if key.is_none() {
            self.aborted.remove(id);
        }
        key
    }

    /// Queues the `abort` of an attempt, and after it a probe with this tag.
    pub(super) fn abort(&mut self, id: &WireId, tag: &WireId) {
        if self.aborted.len() >= MAX_ABORTED_IDS {
            self.aborted.clear();
            self.retired = true;
        }
        self.aborted.insert(id.clone());
        self.outbox.push(encode(&[b"abort", id.0.as_bytes()]));
        self.outbox.push(encode(&[b"alive", tag.0.as_bytes()]));
    }
}

/// Connects within the timeout; retries while this machine lacks a resource.
async fn connect(process: ServerProcess, timeout: Duration) -> Result<Async<TcpStream>, ConnectionFailure> {
    let lacks_resource = Cell::new(false);
    let attempts = async {
        loop {
            match Async::<TcpStream>::connect(process.address).await {
                Err(e) if socket::is_local(&e) => {
                    log::debug!("connect to {} failed, retrying: {e}", process.address);
                    lacks_resource.set(true);
                    Timer::after(CONNECT_RETRY_INTERVAL).await;
                }
                result => {
                    lacks_resource.set(false);
                    return result;
                }
            }
        }
    };
    future::or(attempts, timed_out_after(timeout)).await.map_err(|e| {
        log::debug!("connect to {} failed: {e}", process.address);
        if lacks_resource.get() {
            ConnectionFailure::LocalShortage
        } else {
            ConnectionFailure::ConnectFailed
        }
    })
}

/// Runs a connection from connect to close; the socket is closed when this returns.
pub(super) async fn connection(
    conn_id: ConnId,
    process: ServerProcess,
    timeout: Duration,
    context: &ConnectionContext,
    outgoing: async_channel::Receiver<Rc<OutgoingMessage>>,
) -> ConnectionFailure {
    let socket = match connect(process, timeout).await {
        Ok(socket) => socket,
        Err(failure) => return failure,
    };
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("connection {} to {}: TCP_NODELAY failed: {e}", conn_id.0, process.address);
    }
    if context.queue.send(Input::ServerConnected(conn_id)).await.is_ok() {
        let read = async {
            let decode = |decoded: DecodedMessage| match ServerAnswer::decode(
                decoded.elements,
                &[&context.budgets.responses.meter],
            ) {
                Some(answer) => Decoded::Input(Input::ServerAnswer(conn_id, Box::new(answer))),
                None => Decoded::Unknown,
            };
            read_messages(&socket, SERVER_READ_LIMITS, context, || false, decode, None).await
        };
        let reason = run_reader_and_writer(
            read,
            write_messages(&socket, outgoing, || timed_out_after(SERVER_WRITE_TIMEOUT)),
        )
        .await;
        log::debug!("connection {} to {}: closed: {reason:?}", conn_id.0, process.address);
        return ConnectionFailure::Closed(reason);
    }
    ConnectionFailure::Closed(CloseReason::PeerClosed)
}
