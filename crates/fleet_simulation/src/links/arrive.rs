//! Frames that arrive at an end: hello, confirmation of the link, messages and close.

use super::conn::{Frame, Greeting, Stage};
use super::{as_micros, Links};
use crate::count::HEADER_BYTES;
use crate::fleet::Fleet;
use crate::queue::{ConnectionKey, LinkEvent, Queue};
use crate::{ControlPlaneEvent, RouterIndex};
use basaltgw_transport::limits::{HANDSHAKE_TIMEOUT, MAX_CONNECTIONS_IN_HANDSHAKE};
use basaltgw_types::link::LinkError;

impl Links {
    /// Handles that a connect was accepted, refused, or timed out.
    pub(super) fn connect_finished(
        &mut self,
        queue: &mut Queue,
        fleet: &Fleet,
        key: ConnectionKey,
        accepted: bool,
    ) {
        let Some(conn) = self.conn(key) else { return };
        let (from, to) = (conn.ends[0].router, conn.ends[1].router);
        let connecting = conn.ends[0].stage == Stage::Connecting;
        if !connecting || !accepted || self.hosts[to].me.is_none() {
            if connecting {
                self.counts.links.dials_failed += 1;
            }
            // The accepting end never existed.
            if let Some(conn) = self.conn(key) {
                conn.ends[1].stage = Stage::Closed;
            }
            return self.close_end(queue, fleet, key, 0, LinkError::ConnectionLost, false);
        }
        self.counts.empty_packet_sent(queue.now(), from, Some(to), HEADER_BYTES);
        if let Some(conn) = self.conn(key) {
            conn.ends[0].stage = Stage::AwaitingHello;
        }
        self.send_hello(queue, key, 0, false);
        queue.put_link(
            queue.now() + as_micros(HANDSHAKE_TIMEOUT),
            LinkEvent::HandshakeTimeout { key, end: 0 },
        );
    }

    /// Writes the hello of the router at this end; `confirm` adds that the connection is the link.
    fn send_hello(&mut self, queue: &mut Queue, key: ConnectionKey, end: usize, confirm: bool) {
        let Some(me) = self.conn(key).map(|c| c.ends[end].router) else { return };
        let body = self.hosts[me].me.as_ref().map(postcard::to_stdvec);
        if let Some(Ok(body)) = body {
            self.write(queue, key, end, Frame::Hello { body, confirm });
        }
    }

    /// Closes an end whose handshake has timed out.
    pub(super) fn handshake_timed_out(
        &mut self,
        queue: &mut Queue,
        fleet: &Fleet,
        key: ConnectionKey,
        end: usize,
    ) {
        let Some(conn) = self.conn(key) else { return };
        match conn.ends[end].stage {
            Stage::AwaitingHello | Stage::AwaitingConfirmation => {
                self.counts.links.handshake_timeouts += 1;
                self.close_end(queue, fleet, key, end, LinkError::ConnectionLost, true);
            }
            Stage::Connecting | Stage::Up(_) | Stage::Closed => {}
        }
    }

    /// Handles the next frame of a direction, which arrives now.
    pub(super) fn frame_arrived(
        &mut self,
        queue: &mut Queue,
        fleet: &Fleet,
        key: ConnectionKey,
        direction: usize,
    ) {
        let end = 1 - direction;
        let Some(conn) = self.conn(key) else { return };
        let Some((size, frame)) = conn.directions[direction].frames.pop_front() else { return };
        conn.directions[direction].in_flight_bytes -= size;
        let (me, stage) = (conn.ends[end].router, conn.ends[end].stage);
        match (frame, stage) {
            (_, Stage::Closed) => {}
            (Frame::Fin, Stage::Up(_)) => {
                self.close_end(queue, fleet, key, end, LinkError::ConnectionLost, false)
            }
            (Frame::Fin, Stage::Connecting | Stage::AwaitingHello | Stage::AwaitingConfirmation) => {
                self.counts.links.closed_in_handshake += 1;
                self.close_end(queue, fleet, key, end, LinkError::ConnectionLost, false);
            }
            (Frame::Hello { body, confirm }, Stage::Connecting) if end == 1 => {
                self.accept(queue, fleet, key, &body, confirm)
            }
            (Frame::Hello { body, confirm }, Stage::AwaitingHello) => {
                self.hello_received(queue, fleet, key, 0, &body, confirm)
            }
            (Frame::Hello { .. }, Stage::Connecting | Stage::AwaitingConfirmation | Stage::Up(_)) => {
                self.close_end(queue, fleet, key, end, LinkError::MalformedFrame, true)
            }
            (Frame::Confirm, Stage::AwaitingConfirmation) => self.confirmed(queue, fleet, key, end),
            (Frame::Table(body), Stage::Up(_)) => self.peer_table_changed(key, end, &body),
            (Frame::Lane(lane, body), Stage::Up(_)) => {
                let second = self.counts.at(me, queue.now());
                second.frames_in += 1;
                second.payload_in += body.len() as u64;
                let member = self.conn(key).and_then(|c| c.ends[end].peer.as_ref());
                let from = member.map(|(hello, _)| hello.member.clone());
                from.into_iter().for_each(|from| {
                    self.events
                        .push((me, ControlPlaneEvent::MessageReceived { from, lane, body: body.clone() }));
                });
            }
            (
                Frame::Confirm | Frame::Table(_) | Frame::Lane(..),
                Stage::Connecting | Stage::AwaitingHello,
            ) => self.close_end(queue, fleet, key, end, LinkError::MalformedFrame, true),
            (Frame::Confirm, Stage::Up(_))
            | (Frame::Table(_) | Frame::Lane(..), Stage::AwaitingConfirmation) => {
                self.close_end(queue, fleet, key, end, LinkError::MalformedFrame, true)
            }
        }
        self.pump(queue, key, direction);
    }

    /// Accepts a connection when its first hello arrives. The connection is closed at once if too many others are in their handshake.
    fn accept(&mut self, queue: &mut Queue, fleet: &Fleet, key: ConnectionKey, body: &[u8], confirm: bool) {
        let Some(conn) = self.conn(key) else { return };
        let me = conn.ends[1].router;
        conn.ends[1].stage = Stage::AwaitingHello;
        self.hosts[me].conns.insert(key.slot);
        let open = self.hosts[me].conns.len();
        self.counts.max_open_connections[me] = self.counts.max_open_connections[me].max(open);
        self.counts.links.accepted += 1;
        if self.hosts[me].me.is_none() || self.hosts[me].in_handshake >= MAX_CONNECTIONS_IN_HANDSHAKE {
            self.counts.links.rejected_in_handshake += u64::from(self.hosts[me].me.is_some());
            return self.close_end(queue, fleet, key, 1, LinkError::ConnectionLost, true);
        }
        self.hosts[me].in_handshake += 1;
        if let Some(conn) = self.conn(key) {
            conn.ends[1].in_handshake = true;
        }
        queue.put_link(
            queue.now() + as_micros(HANDSHAKE_TIMEOUT),
            LinkEvent::HandshakeTimeout { key, end: 1 },
        );
        self.hello_received(queue, fleet, key, 1, body, confirm);
    }

    /// Handles the hello of the peer. The router with the smaller name confirms a single connection as the link.
    fn hello_received(
        &mut self,
        queue: &mut Queue,
        fleet: &Fleet,
        key: ConnectionKey,
        end: usize,
        body: &[u8],
        confirm: bool,
    ) {
        let Ok(greeting) = postcard::from_bytes::<Greeting>(body) else {
            return self.close_end(queue, fleet, key, end, LinkError::MalformedFrame, true);
        };
        let Some(conn) = self.conn(key) else { return };
        let (me, peer) = (conn.ends[end].router, conn.ends[1 - end].router);
        let (name, other) = (&fleet.routers[me].router, greeting.0.member.router.clone());
        let chooses_link = Self::chooses_link(name, &other);
        let start = greeting.1;
        conn.ends[end].peer = Some(greeting);
        if chooses_link {
            if self.has_link_to(me, peer, start) {
                self.counts.links.redundant += 1;
                return self.close_end(queue, fleet, key, end, LinkError::ConnectionLost, true);
            }
            self.handshake_done(key, end);
            self.link_up(queue, fleet, key, end);
            match end {
                0 => self.write(queue, key, end, Frame::Confirm),
                _ => self.send_hello(queue, key, end, true),
            }
            return;
        }
        if let Some(conn) = self.conn(key) {
            conn.ends[end].stage = Stage::AwaitingConfirmation;
        }
        if end == 1 {
            self.send_hello(queue, key, end, false);
        }
        if confirm {
            self.confirmed(queue, fleet, key, end);
        }
    }

    /// Handles the peer's confirmation that this connection is the link.
    fn confirmed(&mut self, queue: &mut Queue, fleet: &Fleet, key: ConnectionKey, end: usize) {
        self.handshake_done(key, end);
        self.link_up(queue, fleet, key, end);
    }

    /// Stops counting an end among the connections in handshake.
    fn handshake_done(&mut self, key: ConnectionKey, end: usize) {
        let Some(conn) = self.conn(key) else { return };
        let me = conn.ends[end].router;
        if std::mem::take(&mut conn.ends[end].in_handshake) {
            self.hosts[me].in_handshake -= 1;
        }
    }

    /// Whether a link to this process start of the peer is up.
    fn has_link_to(&mut self, me: RouterIndex, peer: RouterIndex, start: u64) -> bool {
        let Some(key) = self.hosts[me].up.get(&peer).copied() else { return false };
        let Some(conn) = self.conn(key) else { return false };
        conn.ends.iter().any(|e| e.router == me && e.peer.as_ref().is_some_and(|(_, s)| *s == start))
    }

    /// Handles that the peer advertises another placement table.
    fn peer_table_changed(&mut self, key: ConnectionKey, end: usize, body: &[u8]) {
        let Some(conn) = self.conn(key) else { return };
        let me = conn.ends[end].router;
        let Some((hello, _)) = &mut conn.ends[end].peer else { return };
        if let Ok(table) = postcard::from_bytes(body) {
            hello.table = table;
            let hello = hello.clone();
            self.events.push((me, ControlPlaneEvent::LinkUp(hello)));
        }
    }
}
