//! Servers: connections to caches, parents and the origin, and the attempts they carry.

mod conn;
mod wire;

pub use wire::{with_wait, Answer, Ask, CopyTag};

use crate::clients::WireId;
use crate::inbox::Over;
use crate::limits::{ABANDONED_MS, CONNS_PER_SERVER, IDLE_SHARE, SHARED};
use crate::outbox::{outbox, FetchTerms, OutgoingMessage};
use crate::{Input, Shared};
use basaltgw::api::{AttemptNo, Ms, ServerId};
use basaltgw_config::{Place, Transport};
use conn::{connection, Conn};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);
/// A request in the owner's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNo(pub u64);
/// An attempt in the owner's table.
pub type AttemptKey = (RequestNo, AttemptNo);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// It never came up.
    NeverUp,
    /// It never came up for want of something on this machine, which says nothing of the server.
    Shortage,
    /// It was up.
    Ended(Over),
}

/// How an attempt was given up.
#[derive(Debug)]
pub enum GivenUp {
    /// No byte of it was written: it never ran.
    Never,
    /// It is out until the server answers under this tag, or its connection is closed.
    Behind(WireId),
    /// Its connection is closed already.
    Closed,
}

/// All connections to servers.
pub struct Caches {
    shared: Shared,
    /// Connections that may be open.
    most: usize,
    transport: Transport,
    conns: BTreeMap<ConnId, Conn>,
    /// By server.
    of_server: BTreeMap<ServerId, BTreeSet<ConnId>>,
    count: u64,
}

/// Connections to one process of a server: where each carries fewer than others share, as many more as carry what those would.
fn most_of_server(streams: usize) -> usize {
    CONNS_PER_SERVER.max((CONNS_PER_SERVER * SHARED).div_ceil(streams.max(1)))
}

impl Caches {
    /// No connections yet.
    pub fn new(shared: Shared, most: usize, transport: Transport) -> Self {
        let (conns, of_server) = (BTreeMap::new(), BTreeMap::new());
        Self { shared, most, transport, conns, of_server, count: 0 }
    }

    /// Connections that are open or coming up, and how many there ever were.
    pub fn counts(&self) -> (u64, u64) {
        (self.conns.len() as u64, self.count)
    }

    /// Puts an attempt on a connection to a server's process that was not `asked` for this request, the one that carries
    /// fewest; opens one if none takes it or all carry many (for one that is best `alone`: any); `None` if none may be opened.
    /// Its first byte leaves only if that holds then.
    pub fn send(
        &mut self,
        now: Ms,
        to: (&ServerId, Place),
        key: AttemptKey,
        (id, asked, alone): (&WireId, &[ConnId], bool),
        (bytes, terms): (Vec<u8>, FetchTerms),
    ) -> Option<(ConnId, Rc<OutgoingMessage>)> {
        let (server, place) = to;
        let streams = self.transport.max_streams;
        let mut of_server = 0;
        let mut least: Option<(usize, ConnId)> = None;
        let all = self.of_server.get(server).into_iter().flatten();
        let all = all.filter_map(|at| Some((at, self.conns.get(at)?)));
        for (at, conn) in all.filter(|(_, c)| c.place == place) {
            of_server += 1;
            let takes = !asked.contains(at) && conn.takes(now, id, streams);
            if takes && least.is_none_or(|(open, _)| conn.open.len() < open) {
                least = Some((conn.open.len(), *at));
            }
        }
        let few = least.filter(|(open, _)| *open < if alone { 1 } else { SHARED });
        let at = match (few, least) {
            (Some((_, at)), _) => at,
            _ if of_server < most_of_server(streams) && self.room() => self.open(now, server, place),
            (None, Some((_, at))) => at,
            (None, None) => return None,
        };
        let conn = self.conns.get_mut(&at)?;
        let parcel = conn.put(now, at, bytes, terms);
        conn.open.insert(id.clone(), key);
        conn.used = now;
        if conn.up {
            conn.asked.get_or_insert(now);
        }
        Some((at, parcel))
    }

    /// Whether a connection may be opened; without a place, the one that has carried nothing for longest gives up its own.
    fn room(&mut self) -> bool {
        if self.conns.len() >= self.most {
            let idle = self.conns.iter().filter(|(_, c)| c.idle());
            let longest = idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(at, _)| *at);
            if let Some(at) = longest {
                self.remove(at);
            }
        }
        self.conns.len() < self.most
    }

    fn open(&mut self, now: Ms, server: &ServerId, place: Place) -> ConnId {
        self.count += 1;
        let at = ConnId(self.count);
        let (out, parcels) = outbox(&self.shared.meter, &Rc::default());
        let conn = Conn::new(now, server.clone(), place, out);
        self.of_server.entry(server.clone()).or_default().insert(at);
        self.conns.insert(at, conn);
        let shared = self.shared.clone();
        let limit = Duration::from_secs_f64(self.transport.connect_timeout.clamp(1.0, 60_000.0) / 1000.0);
        let run = async move {
            let down = connection(at, place, limit, &shared, parcels).await;
            // The owner is gone only when the process ends.
            let _ = shared.queue.send(Input::CacheDown(at, down)).await;
        };
        self.shared.executor.spawn(run).detach();
        at
    }

    /// A connection came up.
    pub fn up(&mut self, now: Ms, at: ConnId) {
        if let Some(conn) = self.conns.get_mut(&at) {
            conn.up = true;
            conn.asked = Some(now).filter(|_| !conn.open.is_empty());
        }
    }

    /// True while a connection has not come up.
    pub fn coming_up(&self, at: ConnId) -> bool {
        self.conns.get(&at).is_some_and(|c| !c.up)
    }

    /// The open attempt that an answer is for, if there is one.
    pub fn answered(&mut self, now: Ms, at: ConnId, id: &WireId) -> Option<AttemptKey> {
        self.conns.get_mut(&at)?.answered(now, id)
    }

    /// Gives an attempt up. The attempt never ran if no byte of it was written; else the server has it until it has read the `abort`
    /// that this puts in line, and an `alive` behind that tells when.
    pub fn give_up(&mut self, at: ConnId, id: &WireId, parcel: &OutgoingMessage) -> GivenUp {
        let taken_back = parcel.take_back();
        let mut conn = self.conns.get_mut(&at);
        if let Some(conn) = &mut conn {
            conn.open.remove(id);
        }
        match conn {
            _ if taken_back => GivenUp::Never,
            None => GivenUp::Closed,
            Some(conn) => {
                self.count += 1;
                let tag = WireId(Arc::from(self.count.to_string()));
                conn.abort(id, &tag);
                GivenUp::Behind(tag)
            }
        }
    }

    /// Ends a connection; what is open on it is over once its socket is closed, which its task tells.
    pub fn end(&mut self, at: ConnId) {
        if let Some(conn) = self.conns.get_mut(&at) {
            conn.retired = true;
            conn.out.close();
        }
    }

    /// A connection is over; gives what was open on it.
    pub fn down(&mut self, at: ConnId) -> Vec<AttemptKey> {
        self.remove(at).map(|c| c.open.into_values().collect()).unwrap_or_default()
    }

    /// Takes a connection out; dropped, it is closed.
    fn remove(&mut self, at: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&at)?;
        if let Some(all) = self.of_server.get_mut(&conn.server) {
            all.remove(&at);
            if all.is_empty() {
                self.of_server.remove(&conn.server);
            }
        }
        Some(conn)
    }

    /// A server's process is at this place now, or nowhere: connections to another take no more requests; gives these.
    pub fn moved(&mut self, server: &ServerId, place: Option<Place>) -> Vec<ConnId> {
        let mut left = Vec::new();
        for at in self.of_server.get(server).into_iter().flatten() {
            if let Some(conn) = self.conns.get_mut(at).filter(|c| Some(c.place) != place) {
                conn.retired = true;
                conn.drained.set(conn.drained.get().or(Some(Instant::now())));
                left.push(*at);
            }
        }
        left
    }

    /// Connections that were asked whether they work and have not said so in the time in which one has to come up.
    pub fn unproved(&self, now: Ms) -> Vec<ConnId> {
        let limit = self.transport.connect_timeout;
        let mute = |c: &Conn| c.proving.is_some() && c.asked.is_some_and(|t| now - t >= limit);
        self.conns.iter().filter(|(_, c)| mute(c)).map(|(at, _)| *at).collect()
    }

    /// Closes connections that carry nothing and are idle or retired, or on which all was given up before a word came.
    pub fn tidy(&mut self, now: Ms) {
        let idle = self.transport.conn_idle * IDLE_SHARE;
        let done = self.conns.iter().filter(|(_, c)| {
            let unheard = c.asked.is_some_and(|t| now - t >= ABANDONED_MS);
            c.open.is_empty() && (c.retired || unheard || now - c.used >= idle)
        });
        for at in done.map(|(at, _)| *at).collect::<Vec<_>>() {
            self.remove(at);
        }
    }
}
