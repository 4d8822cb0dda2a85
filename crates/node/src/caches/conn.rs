//! A connection to a server: its state, and the task that reads and writes its socket.

use super::ids::{AttemptKey, ConnId, ConnectionFailure};
use super::wire::ServerAnswer;
use crate::clients::message::WireId;
use crate::clock::late;
use crate::connection::CloseReason;
use crate::inbox::{either, read_all, DecodedMessage};
use crate::limits::{
    CONNECT_RETRY_INTERVAL, SERVER_READ_LIMITS, SERVER_WRITE_TIMEOUT, SILENT_CONNECTION_MS, VALIDATED_FOR_MS,
};
use crate::messages::{Input, Shared};
use crate::outbox::{write_all, DrainedSince, OutgoingMessage, SendConditions, SendQueue};
use crate::resp::encode;
use crate::socket;
use async_io::{Async, Timer};
use basaltgw::api::{Ms, ServerId};
use basaltgw_config::Place;
use futures_lite::future;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Ids of cancelled attempts that a connection remembers; beyond them it is retired.
const MAX_ABORTED_IDS: usize = 1024;

/// The state of a connection. Dropped, the connection is closed once its queue is written.
pub(super) struct Conn {
    pub server: ServerId,
    pub place: Place,
    pub outbox: SendQueue,
    pub up: bool,
    /// It takes no more attempts.
    pub retired: bool,
    pub open: BTreeMap<WireId, AttemptKey>,
    /// Cancelled attempts; an answer may still be on its way.
    aborted: BTreeSet<WireId>,
    /// Since when answers are awaited and nothing came.
    pub awaiting_since: Option<Ms>,
    pub last_used: Ms,
    last_answer: Option<Ms>,
    /// The tag of the health probe that is not answered.
    pub probe: Option<WireId>,
    /// Attempts that are queued when the probe is answered.
    behind_probe: Vec<Rc<OutgoingMessage>>,
    /// Since when its server takes no new attempts.
    pub drained: DrainedSince,
}

impl Conn {
    /// A connection that is connecting.
    pub(super) fn new(now: Ms, server: ServerId, place: Place, outbox: SendQueue) -> Self {
        Self {
            server,
            place,
            outbox,
            up: false,
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

    /// Whether it has no open attempt and no unwritten byte.
    pub(super) fn idle(&self) -> bool {
        self.open.is_empty() && self.outbox.unsent_bytes() == 0
    }

    /// Whether it has awaited answers for long, and nothing came.
    fn silent(&self, now: Ms) -> bool {
        self.up && self.awaiting_since.is_some_and(|t| now - t >= SILENT_CONNECTION_MS)
    }

    /// Whether it has to be probed before an attempt is written: it is new or was idle. A peer may close such a connection at any time, and
    /// an attempt that crosses the close may have been executed.
    fn unvalidated(&self, now: Ms) -> bool {
        self.open.is_empty() && self.last_answer.is_none_or(|t| now - t > VALIDATED_FOR_MS)
    }

    /// Queues an attempt, behind a health probe where one is needed.
    pub(super) fn send(
        &mut self,
        now: Ms,
        at: ConnId,
        bytes: Vec<u8>,
        terms: SendConditions,
    ) -> Rc<OutgoingMessage> {
        if self.probe.is_none() && self.unvalidated(now) {
            let tag = WireId(Arc::from(at.0.to_string()));
            self.outbox.push(encode(&[b"alive", tag.0.as_bytes()]));
            self.probe = Some(tag);
        }
        let message =
            self.outbox.make_held(bytes, SendConditions { drained: Rc::clone(&self.drained), ..terms });
        match self.probe {
            Some(_) => self.behind_probe.push(Rc::clone(&message)),
            None => self.outbox.release(&message),
        }
        message
    }

    /// Whether it takes an attempt. None with the id of an earlier attempt on it, whose answer, or a duplicate of it, would count as the
    /// answer to the new one.
    pub(super) fn accepts(&self, now: Ms, id: &WireId, streams: usize) -> bool {
        let free = self.open.len() < streams && !self.open.contains_key(id) && !self.aborted.contains(id);
        free && !self.retired && !self.silent(now)
    }

    /// Notes an answer; returns the open attempt that it is for, if there is one.
    pub(super) fn answered(&mut self, now: Ms, id: &WireId) -> Option<AttemptKey> {
        let key = self.open.remove(id);
        self.last_answer = Some(now);
        if self.probe.as_ref() == Some(id) {
            self.probe = None;
            let waiting = std::mem::take(&mut self.behind_probe);
            waiting.iter().for_each(|message| self.outbox.release(message));
        }
        self.awaiting_since = Some(now).filter(|_| !self.open.is_empty());
        self.last_used = now;
        if key.is_none() {
            self.aborted.remove(id);
        }
        key
    }

    /// Queues the `abort` of an attempt, and behind it a probe under this tag.
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

/// Connects within the time-out; retries while this machine is short of a resource.
async fn connect(place: Place, timeout: Duration) -> Result<Async<TcpStream>, ConnectionFailure> {
    let short_of_resource = Cell::new(false);
    let attempts = async {
        loop {
            match Async::<TcpStream>::connect(place.address).await {
                Err(e) if socket::is_local(&e) => {
                    log::debug!("connect to {} failed, retrying: {e}", place.address);
                    short_of_resource.set(true);
                    Timer::after(CONNECT_RETRY_INTERVAL).await;
                }
                result => {
                    short_of_resource.set(false);
                    return result;
                }
            }
        }
    };
    future::or(attempts, late(timeout)).await.map_err(|e| {
        log::debug!("connect to {} failed: {e}", place.address);
        if short_of_resource.get() {
            ConnectionFailure::LocalShortage
        } else {
            ConnectionFailure::ConnectFailed
        }
    })
}

/// A connection from connect to close; the socket is closed when this returns.
pub(super) async fn connection(
    at: ConnId,
    place: Place,
    timeout: Duration,
    shared: &Shared,
    outgoing: async_channel::Receiver<Rc<OutgoingMessage>>,
) -> ConnectionFailure {
    let socket = match connect(place, timeout).await {
        Ok(socket) => socket,
        Err(down) => return down,
    };
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("connection {} to {}: TCP_NODELAY failed: {e}", at.0, place.address);
    }
    if shared.queue.send(Input::ServerConnected(at)).await.is_ok() {
        let read = async {
            let decode = |decoded: DecodedMessage| {
                Some(Input::ServerAnswer(at, ServerAnswer::read(decoded.words, &[&shared.meter])?))
            };
            read_all(&socket, SERVER_READ_LIMITS, shared, || false, decode, None).await
        };
        let reason = either(read, write_all(&socket, outgoing, || late(SERVER_WRITE_TIMEOUT))).await;
        log::debug!("connection {} to {}: closed: {reason:?}", at.0, place.address);
        return ConnectionFailure::Closed(reason);
    }
    ConnectionFailure::Closed(CloseReason::PeerClosed)
}
