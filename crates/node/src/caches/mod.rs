//! Connections to servers (caches, parents and the origin) and the attempts that they carry.
//!
//! - this file: the pool of connections, which selects the connection for an attempt;
//! - `conn`: one connection; `wire`: its messages;
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
use crate::messages::{ConnectionContext, Input};
use crate::outbox::{send_queue, OutgoingMessage, SendConditions};
use crate::read_pauses::ReadPauses;
use basaltgw::api::{Ms, ServerId};
use basaltgw_config::{ServerProcess, Transport};
use conn::{connection, Conn};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Counts of a pool's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections that are established or being established.
    pub connections: u64,
    /// The last number given to a connection or to the probe after an `abort`; the counter `conns` shows it.
    pub last_number: u64,
}

/// An attempt that is ready to be sent.
pub struct OutgoingAttempt<'a> {
    /// The attempt's key in the owner's table.
    pub key: AttemptKey,
    /// The request's id.
    pub id: &'a WireId,
    /// The connections to which earlier attempts of the request were given; none of them takes this one.
    pub used_connections: &'a [ConnId],
    /// Whether another connection is opened, if possible, rather than to share one with other open attempts.
    pub exclusive: bool,
    /// The encoded message.
    pub message: Vec<u8>,
    /// The conditions under which the first byte is written.
    pub conditions: SendConditions,
}

/// All connections to servers.
pub struct ServerPool {
    context: ConnectionContext,
    max_connections: usize,
    transport: Transport,
    conns: BTreeMap<ConnId, Conn>,
    by_server: BTreeMap<ServerId, BTreeSet<ConnId>>,
    /// The last number given to a connection or to the probe after an `abort`.
    last_number: u64,
}

/// The most connections to one process of a server. Where the settings let a connection carry fewer attempts than [`SHARED_STREAMS`], there
/// may be more connections, for the same number of attempts in total.
fn max_connections_per_server(max_streams: usize) -> usize {
    MAX_CONNECTIONS_PER_SERVER.max((MAX_CONNECTIONS_PER_SERVER * SHARED_STREAMS).div_ceil(max_streams.max(1)))
}

impl ServerPool {
    /// A pool without connections.
    pub fn new(context: ConnectionContext, max_connections: usize, transport: Transport) -> Self {
        let (conns, by_server) = (BTreeMap::new(), BTreeMap::new());
        Self { context, max_connections, transport, conns, by_server, last_number: 0 }
    }

    /// The pauses of reading from the pool's connections.
    pub fn read_pauses(&self) -> &ReadPauses {
        &self.context.read_pauses
    }

    /// Counts of the pool's connections.
    pub fn counts(&self) -> PoolCounts {
        PoolCounts { connections: self.conns.len() as u64, last_number: self.last_number }
    }

    /// Sends an attempt on the connection to a server's process that accepts it and has the fewest open attempts. Opens a connection if
    /// none accepts it or all have [`SHARED_STREAMS`] open attempts (for an exclusive attempt: one); returns `None` if none accepts it and
    /// none may be opened.
    pub fn send(
        &mut self,
        now: Ms,
        server: &ServerId,
        process: ServerProcess,
        attempt: OutgoingAttempt<'_>,
    ) -> Option<(ConnId, Rc<OutgoingMessage>)> {
        let OutgoingAttempt { key, id, used_connections, exclusive, message, conditions } = attempt;
        let max_streams = self.transport.max_streams;
        let mut connections = 0;
        let mut least: Option<(usize, ConnId)> = None;
        let all = self.by_server.get(server).into_iter().flatten();
        let all = all.filter_map(|conn_id| Some((conn_id, self.conns.get(conn_id)?)));
        for (conn_id, conn) in all.filter(|(_, c)| c.process == process) {
            connections += 1;
            let accepts = !used_connections.contains(conn_id) && conn.accepts(now, id, max_streams);
            if accepts && least.is_none_or(|(open, _)| conn.open.len() < open) {
                least = Some((conn.open.len(), *conn_id));
            }
        }
        let unshared = least.filter(|(open, _)| *open < if exclusive { 1 } else { SHARED_STREAMS });
        let conn_id = match (unshared, least) {
            (Some((_, conn_id)), _) => conn_id,
            _ if connections < max_connections_per_server(max_streams) && self.ensure_capacity() => {
                self.open(now, server, process)
            }
            (None, Some((_, conn_id))) => conn_id,
            (None, None) => return None,
        };
        let conn = self.conns.get_mut(&conn_id)?;
        let message = conn.send(now, conn_id, message, conditions);
        conn.open.insert(id.clone(), key);
        conn.last_used = now;
        if conn.established {
            conn.awaiting_since.get_or_insert(now);
        }
        Some((conn_id, message))
    }

    /// Whether a connection may be opened; at the limit of connections, closes the one that has been idle for longest.
    fn ensure_capacity(&mut self) -> bool {
        if self.conns.len() >= self.max_connections {
            let idle = self.conns.iter().filter(|(_, c)| c.is_idle());
            let longest_idle =
                idle.min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used)).map(|(conn_id, _)| *conn_id);
            if let Some(conn_id) = longest_idle {
                self.remove(conn_id);
            }
        }
        self.conns.len() < self.max_connections
    }

    fn open(&mut self, now: Ms, server: &ServerId, process: ServerProcess) -> ConnId {
        self.last_number += 1;
        let conn_id = ConnId(self.last_number);
        let (outbox, outgoing) = send_queue(&self.context.budgets.requests.meter, &Rc::default());
        let conn = Conn::new(now, server.clone(), process, outbox);
        self.by_server.entry(server.clone()).or_default().insert(conn_id);
        self.conns.insert(conn_id, conn);
        let context = self.context.clone();
        let timeout = Duration::from_secs_f64(self.transport.connect_timeout.clamp(1.0, 60_000.0) / 1000.0);
        let run = async move {
            let failure = connection(conn_id, process, timeout, &context, outgoing).await;
            // Fails only if the owner has ended, and the process with it.
            let _ = context.queue.send(Input::ServerDisconnected(conn_id, failure)).await;
        };
        self.context.executor.spawn(run).detach();
        conn_id
    }

    /// Records that a connection is established.
    pub fn on_connected(&mut self, now: Ms, conn_id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&conn_id) {
            conn.established = true;
            conn.awaiting_since = Some(now).filter(|_| !conn.open.is_empty());
        }
    }

    /// Whether a connection is being established.
    pub fn is_connecting(&self, conn_id: ConnId) -> bool {
        self.conns.get(&conn_id).is_some_and(|c| !c.established)
    }

    /// Records an answer; returns the open attempt to which it belongs, if there is one.
    pub fn on_answer(&mut self, now: Ms, conn_id: ConnId, id: &WireId) -> Option<AttemptKey> {
        self.conns.get_mut(&conn_id)?.on_answer(now, id)
    }

    /// Cancels an attempt. If no byte of it was written, the server does not execute it. Otherwise this queues an `abort` and a probe, and
    /// the server may execute the attempt until it reads the `abort`, which its answer to the probe confirms.
    pub fn cancel(&mut self, conn_id: ConnId, id: &WireId, message: &OutgoingMessage) -> CancelOutcome {
        let recalled = message.recall();
        let mut conn = self.conns.get_mut(&conn_id);
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

    /// Closes a connection. Its attempts end when its socket is closed, which [`Input::ServerDisconnected`] reports.
    pub fn close(&mut self, conn_id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&conn_id) {
            conn.retired = true;
            conn.outbox.close();
        }
    }

    /// Removes a closed connection; returns its open attempts.
    pub fn on_closed(&mut self, conn_id: ConnId) -> Vec<AttemptKey> {
        self.remove(conn_id).map(|c| c.open.into_values().collect()).unwrap_or_default()
    }

    /// Removes a connection; dropping it closes it.
    fn remove(&mut self, conn_id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&conn_id)?;
        if let Some(all) = self.by_server.get_mut(&conn.server) {
            all.remove(&conn_id);
            if all.is_empty() {
                self.by_server.remove(&conn.server);
            }
        }
        Some(conn)
    }

    /// Retires the connections to a server's former address or process: they take no more attempts. `process` is the current one, `None` if
    /// the server takes no attempts at all. Returns the retired connections.
    pub fn retire_moved(&mut self, server: &ServerId, process: Option<ServerProcess>) -> Vec<ConnId> {
        let mut retired = Vec::new();
        for conn_id in self.by_server.get(server).into_iter().flatten() {
            if let Some(conn) = self.conns.get_mut(conn_id).filter(|c| Some(c.process) != process) {
                conn.retired = true;
                conn.drained.set(conn.drained.get().or(Some(Instant::now())));
                retired.push(*conn_id);
            }
        }
        retired
    }

    /// Connections whose health probe was not answered within the connect timeout.
    pub fn failed_probes(&self, now: Ms) -> Vec<ConnId> {
        let timeout = self.transport.connect_timeout;
        let failed = |c: &Conn| c.probe.is_some() && c.awaiting_since.is_some_and(|t| now - t >= timeout);
        self.conns.iter().filter(|(_, c)| failed(c)).map(|(conn_id, _)| *conn_id).collect()
    }

    /// Closes connections without open attempts that are idle, retired, or whose attempts were all cancelled without an answer.
    pub fn close_unused(&mut self, now: Ms) {
        let idle_timeout = self.transport.connection_idle_timeout * IDLE_TIMEOUT_SHARE;
        let unused = self.conns.iter().filter(|(_, c)| {
            let abandoned = c.awaiting_since.is_some_and(|t| now - t >= ABANDONED_CONNECTION_MS);
            c.open.is_empty() && (c.retired || abandoned || now - c.last_used >= idle_timeout)
        });
        for conn_id in unused.map(|(conn_id, _)| *conn_id).collect::<Vec<_>>() {
            self.remove(conn_id);
        }
    }
}
