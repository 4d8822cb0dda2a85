//! Connections to servers (caches, parents and the origin) and the attempts that they carry.
//!
//! - here: the pool of connections, and which one takes an attempt;
//! - `conn`: one connection; `wire`: what is written on it and read from it;
//! - `ids`: ids of connections and attempts.

mod conn;
pub(crate) mod ids;
pub(crate) mod wire;

pub use ids::{AttemptKey, CancelOutcome, ConnId, ConnectionFailure, RequestNo};
pub use wire::{with_timeout, AttemptRequest, CopyTag, ServerAnswer};

use crate::clients::message::WireId;
use crate::limits::{
    ABANDONED_CONNECTION_MS, IDLE_TIMEOUT_SHARE, MAX_CONNECTIONS_PER_SERVER, SHARED_STREAMS,
};
use crate::messages::{Input, Shared};
use crate::outbox::{send_queue, OutgoingMessage, SendConditions};
use basaltgw::api::{Ms, ServerId};
use basaltgw_config::{Place, Transport};
use conn::{connection, Conn};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Counts of a pool's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections that are open or connecting.
    pub connections: u64,
    /// The last number given to a connection or to the probe behind an `abort`; the counter `conns`.
    pub last_number: u64,
}

/// All connections to servers.
pub struct ServerPool {
    shared: Shared,
    max_connections: usize,
    transport: Transport,
    conns: BTreeMap<ConnId, Conn>,
    by_server: BTreeMap<ServerId, BTreeSet<ConnId>>,
    /// The last number given to a connection or to the probe behind an `abort`.
    last_number: u64,
}

/// The most connections to one process of a server. Where the settings let a connection carry fewer than [`SHARED_STREAMS`], there are
/// more of them, with the same number of attempts in total.
fn max_connections_per_server(streams: usize) -> usize {
    MAX_CONNECTIONS_PER_SERVER.max((MAX_CONNECTIONS_PER_SERVER * SHARED_STREAMS).div_ceil(streams.max(1)))
}

impl ServerPool {
    /// A pool without connections.
    pub fn new(shared: Shared, max_connections: usize, transport: Transport) -> Self {
        let (conns, by_server) = (BTreeMap::new(), BTreeMap::new());
        Self { shared, max_connections, transport, conns, by_server, last_number: 0 }
    }

    /// The pool's connections.
    pub fn counts(&self) -> PoolCounts {
        PoolCounts { connections: self.conns.len() as u64, last_number: self.last_number }
    }

    /// Sends an attempt on the connection to a server's process that carries the fewest attempts, without those that were already `asked`
    /// for this request. Opens a connection if none takes it or all carry [`SHARED_STREAMS`] (for an `alone` attempt: any); `None` if no
    /// connection takes it and none may be opened. The first byte is written only under the conditions in `terms`.
    pub fn send(
        &mut self,
        now: Ms,
        to: (&ServerId, Place),
        key: AttemptKey,
        (id, asked, alone): (&WireId, &[ConnId], bool),
        (bytes, terms): (Vec<u8>, SendConditions),
    ) -> Option<(ConnId, Rc<OutgoingMessage>)> {
        let (server, place) = to;
        let streams = self.transport.max_streams;
        let mut connections = 0;
        let mut least: Option<(usize, ConnId)> = None;
        let all = self.by_server.get(server).into_iter().flatten();
        let all = all.filter_map(|at| Some((at, self.conns.get(at)?)));
        for (at, conn) in all.filter(|(_, c)| c.place == place) {
            connections += 1;
            let accepts = !asked.contains(at) && conn.accepts(now, id, streams);
            if accepts && least.is_none_or(|(open, _)| conn.open.len() < open) {
                least = Some((conn.open.len(), *at));
            }
        }
        let unshared = least.filter(|(open, _)| *open < if alone { 1 } else { SHARED_STREAMS });
        let at = match (unshared, least) {
            (Some((_, at)), _) => at,
            _ if connections < max_connections_per_server(streams) && self.make_capacity() => {
                self.open(now, server, place)
            }
            (None, Some((_, at))) => at,
            (None, None) => return None,
        };
        let conn = self.conns.get_mut(&at)?;
        let message = conn.send(now, at, bytes, terms);
        conn.open.insert(id.clone(), key);
        conn.last_used = now;
        if conn.up {
            conn.awaiting_since.get_or_insert(now);
        }
        Some((at, message))
    }

    /// Whether a connection may be opened; at the limit, closes the one that was idle for longest.
    fn make_capacity(&mut self) -> bool {
        if self.conns.len() >= self.max_connections {
            let idle = self.conns.iter().filter(|(_, c)| c.idle());
            let longest_idle = idle.min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used)).map(|(at, _)| *at);
            if let Some(at) = longest_idle {
                self.remove(at);
            }
        }
        self.conns.len() < self.max_connections
    }

    fn open(&mut self, now: Ms, server: &ServerId, place: Place) -> ConnId {
        self.last_number += 1;
        let at = ConnId(self.last_number);
        let (outbox, outgoing) = send_queue(&self.shared.meter, &Rc::default());
        let conn = Conn::new(now, server.clone(), place, outbox);
        self.by_server.entry(server.clone()).or_default().insert(at);
        self.conns.insert(at, conn);
        let shared = self.shared.clone();
        let timeout = Duration::from_secs_f64(self.transport.connect_timeout.clamp(1.0, 60_000.0) / 1000.0);
        let run = async move {
            let down = connection(at, place, timeout, &shared, outgoing).await;
            // The owner is gone only when the process ends.
            let _ = shared.queue.send(Input::ServerDisconnected(at, down)).await;
        };
        self.shared.executor.spawn(run).detach();
        at
    }

    /// Notes that a connection came up.
    pub fn on_connected(&mut self, now: Ms, at: ConnId) {
        if let Some(conn) = self.conns.get_mut(&at) {
            conn.up = true;
            conn.awaiting_since = Some(now).filter(|_| !conn.open.is_empty());
        }
    }

    /// Whether a connection is connecting.
    pub fn coming_up(&self, at: ConnId) -> bool {
        self.conns.get(&at).is_some_and(|c| !c.up)
    }

    /// Notes an answer; returns the open attempt that it is for, if there is one.
    pub fn answered(&mut self, now: Ms, at: ConnId, id: &WireId) -> Option<AttemptKey> {
        self.conns.get_mut(&at)?.answered(now, id)
    }

    /// Cancels an attempt. It was not executed if no byte of it was written; else the server may execute it until it reads the `abort` that
    /// this queues, which the answer to the probe behind it confirms.
    pub fn cancel(&mut self, at: ConnId, id: &WireId, message: &OutgoingMessage) -> CancelOutcome {
        let recalled = message.recall();
        let mut conn = self.conns.get_mut(&at);
        if let Some(conn) = &mut conn {
            conn.open.remove(id);
        }
        match conn {
            _ if recalled => CancelOutcome::NotSent,
            None => CancelOutcome::Closed,
            Some(conn) => {
                self.last_number += 1;
                let tag = WireId(Arc::from(self.last_number.to_string()));
                conn.abort(id, &tag);
                CancelOutcome::AwaitingConfirmation(tag)
            }
        }
    }

    /// Closes a connection. Its attempts end when its socket is closed, which `Input::CacheDown` notes.
    pub fn close(&mut self, at: ConnId) {
        if let Some(conn) = self.conns.get_mut(&at) {
            conn.retired = true;
            conn.outbox.close();
        }
    }

    /// Removes a closed connection; returns its open attempts.
    pub fn on_closed(&mut self, at: ConnId) -> Vec<AttemptKey> {
        self.remove(at).map(|c| c.open.into_values().collect()).unwrap_or_default()
    }

    /// Removes a connection; dropping it closes it.
    fn remove(&mut self, at: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&at)?;
        if let Some(all) = self.by_server.get_mut(&conn.server) {
            all.remove(&at);
            if all.is_empty() {
                self.by_server.remove(&conn.server);
            }
        }
        Some(conn)
    }

    /// A server's process has moved to this place, or is gone: connections to another place take no more attempts; returns these.
    pub fn retire_moved(&mut self, server: &ServerId, place: Option<Place>) -> Vec<ConnId> {
        let mut retired = Vec::new();
        for at in self.by_server.get(server).into_iter().flatten() {
            if let Some(conn) = self.conns.get_mut(at).filter(|c| Some(c.place) != place) {
                conn.retired = true;
                conn.drained.set(conn.drained.get().or(Some(Instant::now())));
                retired.push(*at);
            }
        }
        retired
    }

    /// Connections whose health probe was not answered within the connect time-out.
    pub fn failed_probes(&self, now: Ms) -> Vec<ConnId> {
        let timeout = self.transport.connect_timeout;
        let failed = |c: &Conn| c.probe.is_some() && c.awaiting_since.is_some_and(|t| now - t >= timeout);
        self.conns.iter().filter(|(_, c)| failed(c)).map(|(at, _)| *at).collect()
    }

    /// Closes connections without open attempts that are idle, retired, or abandoned without an answer.
    pub fn tidy(&mut self, now: Ms) {
        let idle = self.transport.conn_idle * IDLE_TIMEOUT_SHARE;
        let done = self.conns.iter().filter(|(_, c)| {
            let abandoned = c.awaiting_since.is_some_and(|t| now - t >= ABANDONED_CONNECTION_MS);
            c.open.is_empty() && (c.retired || abandoned || now - c.last_used >= idle)
        });
        for at in done.map(|(at, _)| *at).collect::<Vec<_>>() {
            self.remove(at);
        }
    }
}
