//! The links of all routers: the protocol of `crates/transport` (dialing, choice of the link among connections, keepalives, peer timeouts,
//! bounded lanes) in simulated time.
//!
//! A keepalive on an idle link is not an event: the keepalives since the last other write are computed exactly from the time of that write. Two things
//! are simplified: the segments of a frame arrive together, and a socket buffer has room again once its bytes arrive, not once they are
//! acknowledged.

mod arrive;
mod conn;
mod cuts;
mod lanes;
mod net;
mod write;

pub use net::{CutDirection, Network, RETRANSMIT_US};

use crate::count::{Counts, SYN_BYTES};
use crate::fleet::Fleet;
use crate::queue::{ConnectionKey, LinkEvent, Queue};
use crate::{ControlPlaneEvent, Micros, RouterIndex};
use basaltgw_transport::limits::{CONNECT_TIMEOUT, MAX_DIAL_BACKOFF, MIN_DIAL_BACKOFF, STABLE_LINK_AGE};
use basaltgw_transport::Limits;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, RouterId, TableHash, TableVersion};
use conn::{Conn, Frame, Greeting, Stage};
use lanes::QueuedFrame;
use net::NetworkState;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The wait before a redial is a random share of the back-off, at least this one.
const MIN_BACKOFF_SHARE: f64 = 0.5;

fn as_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// State of a dialer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DialState {
    /// A link is up.
    Linked,
    /// This connection is open or being opened.
    Connecting(ConnectionKey),
    /// Waiting to redial. Each back-off has its own number, so that the event of an earlier one is ignored.
    BackingOff(u32),
}

/// Dials another router whenever there is no link to it.
#[derive(Debug)]
struct Dialer {
    /// The longest wait before the next redial.
    backoff: Micros,
    state: DialState,
}

/// The link state of one router.
#[derive(Debug, Default)]
struct Host {
    /// The local hello; `None` while no process runs.
    me: Option<Greeting>,
    /// Whether the machine answers a connect, if only to refuse it.
    reachable: bool,
    /// Connections that are the link to a peer.
    up: BTreeMap<RouterIndex, ConnectionKey>,
    dialers: BTreeMap<RouterIndex, Dialer>,
    /// Slots of the connections whose local end is not closed.
    conns: BTreeSet<u32>,
    /// Number of accepted connections in their handshake.
    in_handshake: usize,
    /// Number of the last back-off.
    backoffs: u32,
}

/// The links of all routers of a fleet.
pub struct Links {
    limits: Limits,
    network: NetworkState,
    conns: Slab<Conn>,
    /// The generation of the last connection.
    last_generation: u32,
    hosts: Vec<Host>,
    /// Events for the routers, in order.
    pub events: Vec<(RouterIndex, ControlPlaneEvent)>,
    /// Costs and counters.
    pub counts: Counts,
}

impl Links {
    /// Creates the links of a fleet whose processes have not started.
    pub fn new(fleet: &Fleet, limits: Limits, network: Network, seed: u64) -> Self {
        let routers = fleet.routers.len();
        Self {
            limits,
            network: NetworkState::new(network, routers, seed),
            conns: Slab::new(),
            last_generation: 0,
            hosts: (0..routers).map(|_| Host { reachable: true, ..Host::default() }).collect(),
            events: Vec::new(),
            counts: Counts::new(routers),
        }
    }

    /// Starts the process of a router with this hello; `start` differs at each start.
    pub fn start(&mut self, router: RouterIndex, hello: Hello, start: u64) {
        let host = &mut self.hosts[router];
        (host.me, host.reachable) = (Some((hello, start)), true);
    }

    /// Whether a link is up between two routers.
    pub fn linked(&self, from: RouterIndex, to: RouterIndex) -> bool {
        self.hosts[from].up.contains_key(&to)
    }

    /// Number of links that are up at a router.
    pub fn link_count(&self, router: RouterIndex) -> usize {
        self.hosts[router].up.len()
    }

    /// Whether a router is inside of any partition.
    pub fn is_cut(&self, router: RouterIndex) -> bool {
        self.network.is_inside(router)
    }

    /// The connection with this key, unless its slot has been used again.
    fn conn(&mut self, key: ConnectionKey) -> Option<&mut Conn> {
        self.conns.get_mut(key.slot as usize).filter(|c| c.generation == key.generation)
    }

    /// Dials a router now, and again whenever there is no link to it.
    pub fn dial(&mut self, queue: &mut Queue, fleet: &Fleet, from: RouterIndex, to: RouterIndex) {
        let dialer = Dialer { backoff: as_micros(MIN_DIAL_BACKOFF), state: DialState::Linked };
        let host = &mut self.hosts[from];
        if from != to && host.me.is_some() && !host.dialers.contains_key(&to) {
            host.dialers.insert(to, dialer);
            self.redial(queue, fleet, from, to);
        }
    }

    /// Stops dialling a router, and closes the connections to it.
    pub fn close(&mut self, queue: &mut Queue, fleet: &Fleet, from: RouterIndex, to: RouterIndex) {
        self.hosts[from].dialers.remove(&to);
        let leads_to = |c: &Conn| c.ends.iter().any(|e| e.router == to);
        let open: Vec<u32> = self.hosts[from].conns.iter().copied().collect();
        for slot in open {
            let Some(conn) = self.conns.get(slot as usize).filter(|c| leads_to(c)) else { continue };
            let (key, end) = (
                ConnectionKey { slot, generation: conn.generation },
                usize::from(conn.ends[1].router == from),
            );
            self.close_end(queue, fleet, key, end, LinkError::ConnectionLost, true);
        }
    }

    /// Dials a router to which a link is wanted, unless the peer has established one.
    fn redial(&mut self, queue: &mut Queue, fleet: &Fleet, from: RouterIndex, to: RouterIndex) {
        let linked = self.linked(from, to);
        let Some(dialer) = self.hosts[from].dialers.get_mut(&to) else { return };
        if linked {
            dialer.state = DialState::Linked;
            return;
        }
        let now = queue.now();
        let delay = self.network.delay(fleet, from, to);
        self.last_generation += 1;
        let slot = self.conns.insert(Conn::new(self.last_generation, now, from, to, delay)) as u32;
        let key = ConnectionKey { slot, generation: self.last_generation };
        dialer.state = DialState::Connecting(key);
        self.hosts[from].conns.insert(slot);
        let open = self.hosts[from].conns.len();
        self.counts.max_open_connections[from] = self.counts.max_open_connections[from].max(open);
        self.counts.links.dialed += 1;
        // Linux sends a lost SYN again after one second; the connect has timed out by then.
        let lost =
            self.network.settings.loss_share > 0.0 && self.network.draw() < self.network.settings.loss_share;
        let passes = !self.network.cut(from, to) && !self.network.cut(to, from) && !lost;
        let answers = passes && self.hosts[to].reachable;
        self.counts.empty_packet_sent(now, from, answers.then_some(to), SYN_BYTES);
        if answers {
            self.counts.empty_packet_sent(now + delay, to, Some(from), SYN_BYTES);
        }
        let accepted = answers && self.hosts[to].me.is_some();
        let at = if answers { now + 2 * delay } else { now + as_micros(CONNECT_TIMEOUT) };
        queue.put_link(at, LinkEvent::ConnectFinished { key, accepted });
    }

    /// Schedules the redial after a connection has closed. After a stable link the back-off starts anew.
    fn back_off(&mut self, queue: &mut Queue, from: RouterIndex, to: RouterIndex, was_stable: bool) {
        let share = MIN_BACKOFF_SHARE + (1.0 - MIN_BACKOFF_SHARE) * self.network.draw();
        let host = &mut self.hosts[from];
        host.backoffs += 1;
        let backoff = host.backoffs;
        let Some(dialer) = host.dialers.get_mut(&to) else { return };
        if was_stable {
            dialer.backoff = as_micros(MIN_DIAL_BACKOFF);
        }
        let wait = (dialer.backoff as f64 * share) as Micros;
        dialer.backoff = (dialer.backoff * 2).min(as_micros(MAX_DIAL_BACKOFF));
        dialer.state = DialState::BackingOff(backoff);
        queue.put_link(queue.now() + wait, LinkEvent::Redial { from, to, backoff });
    }

    /// Processes an event of the network.
    pub(crate) fn handle(&mut self, queue: &mut Queue, fleet: &Fleet, event: LinkEvent) {
        match event {
            LinkEvent::ConnectFinished { key, accepted } => {
                self.connect_finished(queue, fleet, key, accepted)
            }
            LinkEvent::FrameArrived { key, direction } => self.frame_arrived(queue, fleet, key, direction),
            LinkEvent::HandshakeTimeout { key, end } => self.handshake_timed_out(queue, fleet, key, end),
            LinkEvent::PeerTimeout { key, end } => self.peer_timed_out(queue, fleet, key, end),
            LinkEvent::Resumed { key, direction } => self.resumed(queue, key, direction),
            LinkEvent::Redial { from, to, backoff } => {
                let dialer = self.hosts[from].dialers.get(&to);
                if dialer.is_some_and(|d| d.state == DialState::BackingOff(backoff)) {
                    self.redial(queue, fleet, from, to);
                }
            }
        }
    }

    /// Sends a message, or reports it as failed if there is no link or its lane is full.
    pub fn send(
        &mut self,
        queue: &mut Queue,
        from: RouterIndex,
        to: (RouterIndex, &Member),
        frame: (u64, Lane, Vec<u8>),
    ) {
        let (to, member) = to;
        let (number, lane, body) = frame;
        let key = self.hosts[from].up.get(&to).copied();
        let socket = self.network.settings.socket_buffer_bytes;
        let limits = self.limits;
        let link = key.and_then(|key| {
            let conn = self.conn(key)?;
            let end = usize::from(conn.ends[1].router == from);
            let same = conn.ends[end].peer.as_ref().is_some_and(|(hello, _)| hello.member == *member);
            same.then_some((key, end))
        });
        let Some((key, end)) = link else {
            self.counts.links.unsent_no_link += 1;
            return self.events.push((from, ControlPlaneEvent::SendFailed(number)));
        };
        let Some(conn) = self.conn(key) else { return };
        if conn.directions[end].in_flight_bytes < socket && conn.ends[end].lanes.is_empty() {
            return self.write(queue, key, end, Frame::Lane(lane, body));
        }
        if let Err(frame) = conn.ends[end].lanes.push(QueuedFrame { number, lane, body }, &limits) {
            self.counts.links.unsent_full += 1;
            self.events.push((from, ControlPlaneEvent::SendFailed(frame.number)));
        }
    }

    /// Changes the placement table in the local hello, and announces it on all links.
    pub fn advertise_table(
        &mut self,
        queue: &mut Queue,
        router: RouterIndex,
        version: TableVersion,
        hash: TableHash,
    ) {
        let Some((hello, _)) = &mut self.hosts[router].me else { return };
        hello.table = (version, hash);
        let Ok(body) = postcard::to_stdvec(&hello.table) else { return };
        let links: Vec<ConnectionKey> = self.hosts[router].up.values().copied().collect();
        for key in links {
            let Some(conn) = self.conn(key) else { continue };
            let end = usize::from(conn.ends[1].router == router);
            self.write(queue, key, end, Frame::Table(body.clone()));
        }
    }

    /// Makes a connection the link of one end. An earlier link is closed: its peer restarted, or chose another connection.
    fn link_up(&mut self, queue: &mut Queue, fleet: &Fleet, key: ConnectionKey, end: usize) {
        let (now, peer_timeout) = (queue.now(), self.network.peer_timeout());
        let Some(conn) = self.conn(key) else { return };
        let (me, peer) = (conn.ends[end].router, conn.ends[1 - end].router);
        let Some((hello, _)) = conn.ends[end].peer.clone() else { return };
        conn.ends[end].stage = Stage::Up(now);
        conn.directions[end].last_write = now;
        if conn.directions[1 - end].stalled.is_some() {
            // A partition began during the handshake.
            let at = now + peer_timeout;
            conn.directions[1 - end].peer_timeout_at = Some(at);
            queue.put_link(at, LinkEvent::PeerTimeout { key, end });
        }
        // Replaced at once, so that closing the earlier link starts no redial.
        let old = self.hosts[me].up.insert(peer, key);
        let replaced = old.and_then(|old| {
            let conn = self.conn(old)?;
            let end = usize::from(conn.ends[1].router == me);
            Some((old, end, conn.ends[end].peer.as_ref().map(|(hello, _)| hello.member.clone())))
        });
        if let Some((old, end, member)) = replaced {
            let reason = if member.as_ref() == Some(&hello.member) {
                LinkError::ConnectionLost
            } else {
                LinkError::Replaced
            };
            self.close_end(queue, fleet, old, end, reason, true);
        }
        self.counts.links.links_up += 1;
        self.events.push((me, ControlPlaneEvent::LinkUp(hello)));
    }

    /// Closes an end unless it is closed. With `send_fin` the peer receives a FIN.
    fn close_end(
        &mut self,
        queue: &mut Queue,
        fleet: &Fleet,
        key: ConnectionKey,
        end: usize,
        reason: LinkError,
        send_fin: bool,
    ) {
        let now = queue.now();
        let Some(conn) = self.conn(key) else { return };
        let (me, peer, stage) = (conn.ends[end].router, conn.ends[1 - end].router, conn.ends[end].stage);
        if stage == Stage::Closed {
            return;
        }
        self.count_keepalives(now, key, end);
        if send_fin && stage != Stage::Connecting {
            self.write(queue, key, end, Frame::Fin);
        }
        let Some(conn) = self.conn(key) else { return };
        conn.ends[end].stage = Stage::Closed;
        if end == 0
            && conn.ends[1].stage == Stage::Connecting
            && (stage == Stage::Connecting || conn.directions[0].stalled.is_some())
        {
            // The accepting end never learns of this connection.
            conn.ends[1].stage = Stage::Closed;
        }
        let peer_name = conn.ends[end].peer.take().map(|(hello, _)| hello.member);
        let left = conn.ends[end].lanes.take();
        let in_handshake = std::mem::take(&mut conn.ends[end].in_handshake);
        let is_closed = conn.is_closed();
        let host = &mut self.hosts[me];
        host.conns.remove(&key.slot);
        host.in_handshake -= usize::from(in_handshake);
        if let (Stage::Up(_), Some(member)) = (stage, peer_name) {
            if host.up.get(&peer) == Some(&key) {
                host.up.remove(&peer);
            }
            let links = &mut self.counts.links;
            links.link_closed(reason);
            links.unsent_broken += left.len() as u64;
            self.events.push((me, ControlPlaneEvent::LinkDown(member, reason)));
            left.into_iter()
                .for_each(|frame| self.events.push((me, ControlPlaneEvent::SendFailed(frame.number))));
        }
        if is_closed {
            self.conns.remove(key.slot as usize);
        }
        let state = self.hosts[me].dialers.get(&peer).map(|d| d.state);
        match state {
            Some(DialState::Connecting(current)) if current == key => {
                let was_stable =
                    matches!(stage, Stage::Up(since) if now >= since + as_micros(STABLE_LINK_AGE));
                self.back_off(queue, me, peer, was_stable);
            }
            Some(DialState::Linked) if !self.linked(me, peer) => self.redial(queue, fleet, me, peer),
            Some(DialState::Linked | DialState::Connecting(_) | DialState::BackingOff(_)) | None => {}
        }
    }

    /// Whether `me` chooses which connection is the link: the router with the smaller name does.
    fn chooses_link(me: &RouterId, peer: &RouterId) -> bool {
        me < peer
    }
}
