//! Partitions and their healing, and the end of processes and machines.

use super::conn::Stage;
use super::net::{CutDirection, RETRANSMIT_US};
use super::Links;
use crate::fleet::Fleet;
use crate::queue::{ConnectionKey, LinkEvent, Queue};
use crate::{Micros, RouterIndex};
use basaltgw_types::link::LinkError;

impl Links {
    /// Begins a partition between these routers and all others; returns its number, or `None` if too many are active.
    pub fn cut(
        &mut self,
        queue: &mut Queue,
        routers: &[RouterIndex],
        direction: CutDirection,
    ) -> Option<usize> {
        let now = queue.now();
        let keys = self.connections_of(routers);
        for key in &keys {
            (0..2).for_each(|end| self.count_keepalives(now, *key, end));
        }
        let cut = self.network.begin(routers, direction)?;
        for (key, direction) in keys.into_iter().flat_map(|key| [(key, 0), (key, 1)]) {
            let Some(conn) = self.conn(key) else { continue };
            let (from, to) = (conn.ends[direction].router, conn.ends[1 - direction].router);
            let was_stalled = conn.directions[direction].stalled.is_some();
            if !was_stalled && self.network.cut(from, to) {
                self.stall(queue, key, direction);
            }
        }
        Some(cut)
    }

    /// Ends a partition. Frames lost in it arrive with the next retransmission, unless an end has closed the connection before.
    pub fn heal(&mut self, queue: &mut Queue, cut: usize) {
        let now = queue.now();
        self.network.heal(cut);
        let interval = self.network.keepalive();
        let keys: Vec<ConnectionKey> = self
            .conns
            .iter()
            .map(|(slot, c)| ConnectionKey { slot: slot as u32, generation: c.generation })
            .collect();
        for (key, direction) in keys.into_iter().flat_map(|key| [(key, 0), (key, 1)]) {
            let Some(conn) = self.conn(key) else { continue };
            let Some(lost) = conn.directions[direction].stalled else { continue };
            let (from, to) = (conn.ends[direction].router, conn.ends[1 - direction].router);
            if self.network.cut(from, to) || !self.hosts[from].reachable || !self.hosts[to].reachable {
                continue;
            }
            let Some(conn) = self.conn(key) else { continue };
            let next = match conn.ends[direction].stage {
                Stage::Up(_) => conn.directions[direction].last_write + interval,
                Stage::Connecting | Stage::AwaitingHello | Stage::AwaitingConfirmation | Stage::Closed => now,
            };
            let first = lost.unwrap_or(next);
            // TCP doubles the timeout: retransmissions follow after 1, 3, 7... timeouts.
            let mut timeout = RETRANSMIT_US;
            let mut at = first;
            while at < now {
                at += timeout;
                timeout *= 2;
            }
            let delay = conn.directions[direction].delay;
            queue.put_link(at + delay, LinkEvent::Resumed { key, direction });
        }
    }

    /// Resumes a stalled direction: the frames that were lost arrive now.
    pub(super) fn resumed(&mut self, queue: &mut Queue, key: ConnectionKey, direction: usize) {
        let now = queue.now();
        let Some(conn) = self.conn(key) else { return };
        let (from, to) = (conn.ends[direction].router, conn.ends[1 - direction].router);
        if self.network.cut(from, to) {
            return;
        }
        self.count_keepalives(now, key, direction);
        let Some(conn) = self.conn(key) else { return };
        if conn.directions[direction].stalled.take().is_none() {
            return;
        }
        conn.directions[direction].peer_timeout_at = None;
        conn.directions[direction].last_arrival = now;
        for _ in 0..conn.directions[direction].frames.len() {
            queue.put_link(now, LinkEvent::FrameArrived { key, direction });
        }
    }

    /// Stalls a direction: nothing passes from now on, and the receiving end will time out.
    fn stall(&mut self, queue: &mut Queue, key: ConnectionKey, direction: usize) {
        let now = queue.now();
        let peer_timeout = self.network.peer_timeout();
        let Some(conn) = self.conn(key) else { return };
        conn.directions[direction].stalled = Some(None);
        if let Stage::Up(since) = conn.ends[1 - direction].stage {
            // What was written before the partition still arrives, including the last keepalive.
            let delay = conn.directions[direction].delay;
            let last_received = conn.directions[direction]
                .last_arrival
                .max(conn.directions[direction].last_write + delay)
                .max(since);
            let at = (last_received + peer_timeout).max(now);
            conn.directions[direction].peer_timeout_at = Some(at);
            queue.put_link(at, LinkEvent::PeerTimeout { key, end: 1 - direction });
        }
    }

    /// Closes an end that has received nothing for the peer timeout, unless a frame has arrived since.
    pub(super) fn peer_timed_out(
        &mut self,
        queue: &mut Queue,
        fleet: &Fleet,
        key: ConnectionKey,
        end: usize,
    ) {
        let now = queue.now();
        let Some(conn) = self.conn(key) else { return };
        if conn.directions[1 - end].peer_timeout_at == Some(now) && conn.directions[1 - end].stalled.is_some()
        {
            self.close_end(queue, fleet, key, end, LinkError::PeerTimeout, true);
        }
    }

    /// Ends the process of a router. Its machine closes the connections, unless it is lost too: then the peers receive no FIN.
    pub fn stop(&mut self, queue: &mut Queue, fleet: &Fleet, router: RouterIndex, machine_lost: bool) {
        let now = queue.now();
        let keys = self.connections_of(&[router]);
        for key in &keys {
            (0..2).for_each(|end| self.count_keepalives(now, *key, end));
        }
        let host = &mut self.hosts[router];
        host.me = None;
        host.reachable = !machine_lost;
        host.dialers.clear();
        for key in keys {
            let Some(conn) = self.conn(key) else { continue };
            let end = usize::from(conn.ends[1].router == router);
            if machine_lost && conn.directions[end].stalled.is_none() {
                self.stall(queue, key, end);
            }
            self.close_end(queue, fleet, key, end, LinkError::ConnectionLost, !machine_lost);
        }
        let host = &mut self.hosts[router];
        host.up.clear();
        host.in_handshake = 0;
        // No process is left to receive these events.
        self.events.retain(|(to, _)| *to != router);
    }

    /// Handles that a machine has returned: connections of others to its former process break.
    pub fn machine_returned(&mut self, queue: &mut Queue, fleet: &Fleet, router: RouterIndex) {
        self.hosts[router].reachable = true;
        for (slot, generation) in self.conns.iter().map(|(s, c)| (s as u32, c.generation)).collect::<Vec<_>>()
        {
            let key = ConnectionKey { slot, generation };
            let Some(conn) = self.conn(key) else { continue };
            let Some(end) = conn.ends.iter().position(|e| e.router == router && e.stage == Stage::Closed)
            else {
                continue;
            };
            if conn.directions[end].stalled.is_some() {
                self.close_end(queue, fleet, key, 1 - end, LinkError::ConnectionLost, false);
            }
        }
    }

    /// The connections with an open end at one of these routers, by slot.
    fn connections_of(&self, routers: &[RouterIndex]) -> Vec<ConnectionKey> {
        let mut slots: Vec<u32> =
            routers.iter().flat_map(|router| self.hosts[*router].conns.iter().copied()).collect();
        slots.sort_unstable();
        slots.dedup();
        let key =
            |slot: u32| Some(ConnectionKey { slot, generation: self.conns.get(slot as usize)?.generation });
        slots.into_iter().filter_map(key).collect()
    }

    /// When a router last wrote on its link to another, keepalives included.
    pub fn last_written(&mut self, now: Micros, from: RouterIndex, to: RouterIndex) -> Option<Micros> {
        let key = self.hosts[from].up.get(&to).copied()?;
        let end = self.conn(key).map(|c| usize::from(c.ends[1].router == from))?;
        self.count_keepalives(now, key, end);
        self.conn(key).map(|c| c.directions[end].last_write)
    }
}
