//! The links of all routers: the rules of `crates/transport` (who dials, which connection is the link, signs of life, silence, bounded lanes) in
//! simulated time.
//!
//! A sign of life on an idle link is no event: what was written since is reckoned from the time of the last write, exactly. Simplified: a
//! frame's segments arrive together; a socket has room again once its bytes are there, not once that is acknowledged.

mod arrive;
mod conn;
mod cuts;
mod lanes;
mod net;
mod write;

pub use net::{Net, Ways, AGAIN};

use crate::count::{Counts, SYN};
use crate::fleet::Fleet;
use crate::queue::{Key, Line, Queue};
use crate::{Micros, No, PartyEvent};
use basaltgw_transport::limits::{CONNECT_TIMEOUT, MAX_DIAL_BACKOFF, MIN_DIAL_BACKOFF, STABLE_LINK_AGE};
use basaltgw_transport::Limits;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, RouterId, TableHash, TableVersion};
use conn::{Conn, Frame, Greeting, Stage};
use lanes::Waiting;
use net::Lines;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn span(of: Duration) -> Micros {
    of.as_micros() as Micros
}

/// What keeps a link to another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dialling {
    /// There is a link; it waits for its end.
    Linked,
    /// It carries on that connection.
    Busy(Key),
    /// It pauses; the number tells pauses apart.
    Resting(u32),
}

#[derive(Debug)]
struct Dialler {
    wait: Micros,
    is: Dialling,
}

/// A router's process, as its links have it.
#[derive(Debug, Default)]
struct Host {
    /// The own hello; none while no process runs.
    me: Option<Greeting>,
    /// The machine answers, if only to refuse.
    reachable: bool,
    up: BTreeMap<No, Key>,
    diallers: BTreeMap<No, Dialler>,
    /// Connections in which it has an end that is not closed.
    conns: BTreeSet<u32>,
    unknown: usize,
    rests: u32,
}

/// See the module.
pub struct Links {
    limits: Limits,
    lines: Lines,
    conns: Slab<Conn>,
    lives: u32,
    hosts: Vec<Host>,
    /// What routers are told, in order.
    pub told: Vec<(No, PartyEvent)>,
    /// What was counted.
    pub counts: Counts,
}

impl Links {
    /// Of a fleet whose processes have not started.
    pub fn new(fleet: &Fleet, limits: Limits, net: Net, seed: u64) -> Self {
        let many = fleet.seats.len();
        Self {
            limits,
            lines: Lines::new(net, many, seed),
            conns: Slab::new(),
            lives: 0,
            hosts: (0..many).map(|_| Host { reachable: true, ..Host::default() }).collect(),
            told: Vec::new(),
            counts: Counts::new(many),
        }
    }

    /// A router's process starts, and says this of itself; the draw is another at each start.
    pub fn start(&mut self, no: No, hello: Hello, draw: u64) {
        let host = &mut self.hosts[no];
        (host.me, host.reachable) = (Some((hello, draw)), true);
    }

    /// Whether a link is up from one to another.
    pub fn linked(&self, from: No, to: No) -> bool {
        self.hosts[from].up.contains_key(&to)
    }

    /// Links that are up at a router.
    pub fn many(&self, no: No) -> usize {
        self.hosts[no].up.len()
    }

    /// Whether some cut stands between a router and others.
    pub fn is_cut(&self, no: No) -> bool {
        self.lines.is_inside(no)
    }

    fn conn(&mut self, key: Key) -> Option<&mut Conn> {
        self.conns.get_mut(key.slot as usize).filter(|c| c.life == key.life)
    }

    /// Keeps a link from one to another from now on.
    pub fn dial(&mut self, q: &mut Queue, fleet: &Fleet, from: No, to: No) {
        let first = Dialler { wait: span(MIN_DIAL_BACKOFF), is: Dialling::Linked };
        let host = &mut self.hosts[from];
        if from != to && host.me.is_some() && !host.diallers.contains_key(&to) {
            host.diallers.insert(to, first);
            self.redial(q, fleet, from, to);
        }
    }

    /// Keeps none any more.
    pub fn close(&mut self, q: &mut Queue, fleet: &Fleet, from: No, to: No) {
        self.hosts[from].diallers.remove(&to);
        let is_to = |c: &Conn| c.ends.iter().any(|e| e.router == to);
        let open: Vec<u32> = self.hosts[from].conns.iter().copied().collect();
        for slot in open {
            let Some(conn) = self.conns.get(slot as usize).filter(|c| is_to(c)) else { continue };
            let (key, end) = (Key { slot, life: conn.life }, usize::from(conn.ends[1].router == from));
            self.shut(q, fleet, key, end, LinkError::ConnectionLost, true);
        }
    }

    fn redial(&mut self, q: &mut Queue, fleet: &Fleet, from: No, to: No) {
        let linked = self.linked(from, to);
        let Some(dialler) = self.hosts[from].diallers.get_mut(&to) else { return };
        if linked {
            dialler.is = Dialling::Linked;
            return;
        }
        let now = q.now();
        let delay = self.lines.delay(fleet, from, to);
        self.lives += 1;
        let slot = self.conns.insert(Conn::new(self.lives, now, from, to, delay)) as u32;
        let key = Key { slot, life: self.lives };
        dialler.is = Dialling::Busy(key);
        self.hosts[from].conns.insert(slot);
        let open = self.hosts[from].conns.len();
        self.counts.most_open[from] = self.counts.most_open[from].max(open);
        self.counts.links.dialled += 1;
        // A first packet that is lost is sent again after a second: by then the connect is given up.
        let lost = self.lines.set.loss > 0.0 && self.lines.draw() < self.lines.set.loss;
        let passes = !self.lines.cut(from, to) && !self.lines.cut(to, from) && !lost;
        let answers = passes && self.hosts[to].reachable;
        self.counts.bare(now, from, answers.then_some(to), SYN);
        if answers {
            self.counts.bare(now + delay, to, Some(from), SYN);
        }
        let good = answers && self.hosts[to].me.is_some();
        let at = if answers { now + 2 * delay } else { now + span(CONNECT_TIMEOUT) };
        q.line(at, Line::Connect(key, good));
    }

    /// The dialler's connection is over; it was a good one if it was the link for long enough.
    fn rest(&mut self, q: &mut Queue, from: No, to: No, good: bool) {
        let part = 0.5 + 0.5 * self.lines.draw();
        let host = &mut self.hosts[from];
        host.rests += 1;
        let rests = host.rests;
        let Some(dialler) = host.diallers.get_mut(&to) else { return };
        if good {
            dialler.wait = span(MIN_DIAL_BACKOFF);
        }
        let wait = (dialler.wait as f64 * part) as Micros;
        dialler.wait = (dialler.wait * 2).min(span(MAX_DIAL_BACKOFF));
        dialler.is = Dialling::Resting(rests);
        q.line(q.now() + wait, Line::Redial(from, to, rests));
    }

    /// Something happens on the lines.
    pub(crate) fn handle(&mut self, q: &mut Queue, fleet: &Fleet, line: Line) {
        match line {
            Line::Connect(key, good) => self.connected(q, fleet, key, good),
            Line::Arrive(key, way) => self.arrive(q, fleet, key, way),
            Line::Late(key, end) => self.late(q, fleet, key, end),
            Line::Silent(key, end) => self.silent(q, fleet, key, end),
            Line::Resume(key, way) => self.resume(q, key, way),
            Line::Redial(from, to, rests) => {
                let dialler = self.hosts[from].diallers.get(&to);
                if dialler.is_some_and(|d| d.is == Dialling::Resting(rests)) {
                    self.redial(q, fleet, from, to);
                }
            }
        }
    }

    /// Carries a party's bytes; what can't be is told as unsent.
    pub fn send(&mut self, q: &mut Queue, from: No, to: (No, &Member), frame: (u64, Lane, Vec<u8>)) {
        let (to, member) = to;
        let (no, lane, body) = frame;
        let key = self.hosts[from].up.get(&to).copied();
        let socket = self.lines.set.socket;
        let limits = self.limits;
        let found = key.and_then(|key| {
            let conn = self.conn(key)?;
            let end = usize::from(conn.ends[1].router == from);
            let same = conn.ends[end].peer.as_ref().is_some_and(|(hello, _)| hello.member == *member);
            same.then_some((key, end))
        });
        let Some((key, end)) = found else {
            self.counts.links.unsent_no_link += 1;
            return self.told.push((from, PartyEvent::Unsent(no)));
        };
        let Some(conn) = self.conn(key) else { return };
        if conn.ways[end].bytes < socket && conn.ends[end].lanes.is_empty() {
            return self.write(q, key, end, Frame::Lane(lane, body));
        }
        if let Err(frame) = conn.ends[end].lanes.push(Waiting { no, lane, body }, &limits) {
            self.counts.links.unsent_full += 1;
            self.told.push((from, PartyEvent::Unsent(frame.no)));
        }
    }

    /// The own hello goes by another table from now on; all that are linked are told.
    pub fn table(&mut self, q: &mut Queue, no: No, version: TableVersion, hash: TableHash) {
        let Some((hello, _)) = &mut self.hosts[no].me else { return };
        hello.table = (version, hash);
        let Ok(body) = postcard::to_stdvec(&hello.table) else { return };
        let links: Vec<Key> = self.hosts[no].up.values().copied().collect();
        for key in links {
            let Some(conn) = self.conn(key) else { continue };
            let end = usize::from(conn.ends[1].router == no);
            self.write(q, key, end, Frame::Table(body.clone()));
        }
    }

    /// A link is up at an end. One that was is gone: its peer began anew, or chose another connection.
    fn raise(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, end: usize) {
        let (now, silence) = (q.now(), self.lines.silence());
        let Some(conn) = self.conn(key) else { return };
        let (me, peer) = (conn.ends[end].router, conn.ends[1 - end].router);
        let Some((hello, _)) = conn.ends[end].peer.clone() else { return };
        conn.ends[end].stage = Stage::Up(now);
        conn.ways[end].wrote = now;
        if conn.ways[1 - end].stalled.is_some() {
            // It was cut off meanwhile.
            let at = now + silence;
            conn.ways[1 - end].silent = Some(at);
            q.line(at, Line::Silent(key, end));
        }
        // In its place at once, so that nobody dials for want of one.
        let old = self.hosts[me].up.insert(peer, key);
        let found = old.and_then(|old| {
            let conn = self.conn(old)?;
            let end = usize::from(conn.ends[1].router == me);
            Some((old, end, conn.ends[end].peer.as_ref().map(|(hello, _)| hello.member.clone())))
        });
        if let Some((old, end, member)) = found {
            let why = if member.as_ref() == Some(&hello.member) {
                LinkError::ConnectionLost
            } else {
                LinkError::Replaced
            };
            self.shut(q, fleet, old, end, why, true);
        }
        self.counts.links.up += 1;
        self.told.push((me, PartyEvent::Up(hello)));
    }

    /// An end is closed, once; the other is told, unless nothing of it is left to tell.
    fn shut(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, end: usize, why: LinkError, fin: bool) {
        let now = q.now();
        let Some(conn) = self.conn(key) else { return };
        let (me, peer, stage) = (conn.ends[end].router, conn.ends[1 - end].router, conn.ends[end].stage);
        if stage == Stage::Closed {
            return;
        }
        self.alive(now, key, end);
        if fin && stage != Stage::Opening {
            self.write(q, key, end, Frame::Fin);
        }
        let Some(conn) = self.conn(key) else { return };
        conn.ends[end].stage = Stage::Closed;
        if end == 0
            && conn.ends[1].stage == Stage::Opening
            && (stage == Stage::Opening || conn.ways[0].stalled.is_some())
        {
            // The other will never hear of it.
            conn.ends[1].stage = Stage::Closed;
        }
        let peer_name = conn.ends[end].peer.take().map(|(hello, _)| hello.member);
        let left = conn.ends[end].lanes.take();
        let unknown = std::mem::take(&mut conn.ends[end].unknown);
        let over = conn.over();
        let host = &mut self.hosts[me];
        host.conns.remove(&key.slot);
        host.unknown -= usize::from(unknown);
        if let (Stage::Up(_), Some(member)) = (stage, peer_name) {
            if host.up.get(&peer) == Some(&key) {
                host.up.remove(&peer);
            }
            let links = &mut self.counts.links;
            match why {
                LinkError::PeerTimeout => links.silent += 1,
                LinkError::Replaced => links.replaced += 1,
                LinkError::NotConnected
                | LinkError::QueueFull
                | LinkError::ConnectionLost
                | LinkError::MalformedFrame => links.broken += 1,
                LinkError::RateExceeded | LinkError::PeerMismatch | LinkError::Idle => links.broken += 1,
            }
            links.unsent_broken += left.len() as u64;
            self.told.push((me, PartyEvent::Down(member, why)));
            left.into_iter().for_each(|frame| self.told.push((me, PartyEvent::Unsent(frame.no))));
        }
        if over {
            self.conns.remove(key.slot as usize);
        }
        let is = self.hosts[me].diallers.get(&peer).map(|d| d.is);
        match is {
            Some(Dialling::Busy(busy)) if busy == key => {
                let good = matches!(stage, Stage::Up(since) if now >= since + span(STABLE_LINK_AGE));
                self.rest(q, me, peer, good);
            }
            Some(Dialling::Linked) if !self.linked(me, peer) => self.redial(q, fleet, me, peer),
            Some(Dialling::Linked | Dialling::Busy(_) | Dialling::Resting(_)) | None => {}
        }
    }

    /// Whether the first name is the smaller of the two: that router says which connection is the link.
    fn chooses(me: &RouterId, peer: &RouterId) -> bool {
        me < peer
    }
}
