//! What arrives at an end: the hello, the word that a connection is the link, frames, the end.

use super::conn::{Frame, Greeting, Stage};
use super::{span, Links};
use crate::count::HEADERS;
use crate::fleet::Fleet;
use crate::queue::{Key, Line, Queue};
use crate::{No, PartyEvent};
use basaltgw_transport::limits::{HANDSHAKE_TIMEOUT, MAX_CONNECTIONS_IN_HANDSHAKE};
use basaltgw_types::link::LinkError;

impl Links {
    /// A connect is answered, refused, or given up.
    pub(super) fn connected(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, good: bool) {
        let Some(conn) = self.conn(key) else { return };
        let (from, to) = (conn.ends[0].router, conn.ends[1].router);
        let open = conn.ends[0].stage == Stage::Opening;
        if !open || !good || self.hosts[to].me.is_none() {
            if open {
                self.counts.links.dial_failed += 1;
            }
            // The other end was never there.
            if let Some(conn) = self.conn(key) {
                conn.ends[1].stage = Stage::Closed;
            }
            return self.shut(q, fleet, key, 0, LinkError::ConnectionLost, false);
        }
        self.counts.bare(q.now(), from, Some(to), HEADERS);
        if let Some(conn) = self.conn(key) {
            conn.ends[0].stage = Stage::Greeting;
        }
        self.hello(q, key, 0, false);
        q.line(q.now() + span(HANDSHAKE_TIMEOUT), Line::Late(key, 0));
    }

    /// Says who an end's router is.
    fn hello(&mut self, q: &mut Queue, key: Key, end: usize, go: bool) {
        let Some(me) = self.conn(key).map(|c| c.ends[end].router) else { return };
        let body = self.hosts[me].me.as_ref().map(postcard::to_stdvec);
        if let Some(Ok(body)) = body {
            self.write(q, key, end, Frame::Hello(body, go));
        }
    }

    /// An end's time for the hello is up.
    pub(super) fn late(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, end: usize) {
        let Some(conn) = self.conn(key) else { return };
        match conn.ends[end].stage {
            Stage::Greeting | Stage::Going => {
                self.counts.links.no_hello += 1;
                self.shut(q, fleet, key, end, LinkError::ConnectionLost, true);
            }
            Stage::Opening | Stage::Up(_) | Stage::Closed => {}
        }
    }

    /// The next frame of that direction is there.
    pub(super) fn arrive(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, way: usize) {
        let end = 1 - way;
        let Some(conn) = self.conn(key) else { return };
        let Some((size, frame)) = conn.ways[way].frames.pop_front() else { return };
        conn.ways[way].bytes -= size;
        let (me, stage) = (conn.ends[end].router, conn.ends[end].stage);
        match (frame, stage) {
            (_, Stage::Closed) => {}
            (Frame::Fin, Stage::Up(_)) => self.shut(q, fleet, key, end, LinkError::ConnectionLost, false),
            (Frame::Fin, Stage::Opening | Stage::Greeting | Stage::Going) => {
                self.counts.links.unmet += 1;
                self.shut(q, fleet, key, end, LinkError::ConnectionLost, false);
            }
            (Frame::Hello(body, go), Stage::Opening) if end == 1 => self.accept(q, fleet, key, &body, go),
            (Frame::Hello(body, go), Stage::Greeting) => self.greeted(q, fleet, key, 0, &body, go),
            (Frame::Hello(..), Stage::Opening | Stage::Going | Stage::Up(_)) => {
                self.shut(q, fleet, key, end, LinkError::MalformedFrame, true)
            }
            (Frame::Go, Stage::Going) => self.go(q, fleet, key, end),
            (Frame::Table(body), Stage::Up(_)) => self.another_table(key, end, &body),
            (Frame::Lane(lane, body), Stage::Up(_)) => {
                let second = self.counts.at(me, q.now());
                second.frames_in += 1;
                second.payload_in += body.len() as u64;
                let member = self.conn(key).and_then(|c| c.ends[end].peer.as_ref());
                let from = member.map(|(hello, _)| hello.member.clone());
                from.into_iter().for_each(|from| {
                    self.told.push((me, PartyEvent::Got { from, lane, body: body.clone() }));
                });
            }
            (Frame::Go | Frame::Table(_) | Frame::Lane(..), Stage::Opening | Stage::Greeting) => {
                self.shut(q, fleet, key, end, LinkError::MalformedFrame, true)
            }
            (Frame::Go, Stage::Up(_)) | (Frame::Table(_) | Frame::Lane(..), Stage::Going) => {
                self.shut(q, fleet, key, end, LinkError::MalformedFrame, true)
            }
        }
        self.pump(q, key, way);
    }

    /// A connection with its hello is there. More than so many that have not said who they are, are closed at once.
    fn accept(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, body: &[u8], go: bool) {
        let Some(conn) = self.conn(key) else { return };
        let me = conn.ends[1].router;
        conn.ends[1].stage = Stage::Greeting;
        self.hosts[me].conns.insert(key.slot);
        let open = self.hosts[me].conns.len();
        self.counts.most_open[me] = self.counts.most_open[me].max(open);
        self.counts.links.accepted += 1;
        if self.hosts[me].me.is_none() || self.hosts[me].unknown >= MAX_CONNECTIONS_IN_HANDSHAKE {
            self.counts.links.no_place += u64::from(self.hosts[me].me.is_some());
            return self.shut(q, fleet, key, 1, LinkError::ConnectionLost, true);
        }
        self.hosts[me].unknown += 1;
        if let Some(conn) = self.conn(key) {
            conn.ends[1].unknown = true;
        }
        q.line(q.now() + span(HANDSHAKE_TIMEOUT), Line::Late(key, 1));
        self.greeted(q, fleet, key, 1, body, go);
    }

    /// An end has the other's hello. The router with the smaller name says by `Go` that this connection is the link; on one only.
    fn greeted(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, end: usize, body: &[u8], go: bool) {
        let Ok(greeting) = postcard::from_bytes::<Greeting>(body) else {
            return self.shut(q, fleet, key, end, LinkError::MalformedFrame, true);
        };
        let Some(conn) = self.conn(key) else { return };
        let (me, peer) = (conn.ends[end].router, conn.ends[1 - end].router);
        let (name, other) = (&fleet.seats[me].router, greeting.0.member.router.clone());
        let chooses = Self::chooses(name, &other);
        let start = greeting.1;
        conn.ends[end].peer = Some(greeting);
        if chooses {
            if self.has(me, peer, start) {
                self.counts.links.second += 1;
                return self.shut(q, fleet, key, end, LinkError::ConnectionLost, true);
            }
            self.known(key, end);
            self.raise(q, fleet, key, end);
            match end {
                0 => self.write(q, key, end, Frame::Go),
                _ => self.hello(q, key, end, true),
            }
            return;
        }
        if let Some(conn) = self.conn(key) {
            conn.ends[end].stage = Stage::Going;
        }
        if end == 1 {
            self.hello(q, key, end, false);
        }
        if go {
            self.go(q, fleet, key, end);
        }
    }

    fn go(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, end: usize) {
        self.known(key, end);
        self.raise(q, fleet, key, end);
    }

    /// An end is not counted any more among those that have not said who they are.
    fn known(&mut self, key: Key, end: usize) {
        let Some(conn) = self.conn(key) else { return };
        let me = conn.ends[end].router;
        if std::mem::take(&mut conn.ends[end].unknown) {
            self.hosts[me].unknown -= 1;
        }
    }

    /// Whether a link to that start of the router is up.
    fn has(&mut self, me: No, peer: No, start: u64) -> bool {
        let Some(key) = self.hosts[me].up.get(&peer).copied() else { return false };
        let Some(conn) = self.conn(key) else { return false };
        conn.ends.iter().any(|e| e.router == me && e.peer.as_ref().is_some_and(|(_, s)| *s == start))
    }

    /// The peer's table is another.
    fn another_table(&mut self, key: Key, end: usize, body: &[u8]) {
        let Some(conn) = self.conn(key) else { return };
        let me = conn.ends[end].router;
        let Some((hello, _)) = &mut conn.ends[end].peer else { return };
        if let Ok(table) = postcard::from_bytes(body) {
            hello.table = table;
            let hello = hello.clone();
            self.told.push((me, PartyEvent::Up(hello)));
        }
    }
}
