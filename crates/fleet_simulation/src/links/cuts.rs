//! What breaks lines and ends processes: cuts, their healing, processes and machines that go.

use super::conn::Stage;
use super::net::{Ways, AGAIN};
use super::Links;
use crate::fleet::Fleet;
use crate::queue::{Key, Line, Queue};
use crate::{Micros, No};
use basaltgw_types::link::LinkError;

impl Links {
    /// Cuts routers off from all others; the cut's number, unless there are too many.
    pub fn cut(&mut self, q: &mut Queue, who: &[No], ways: Ways) -> Option<usize> {
        let now = q.now();
        let keys = self.around(who);
        for key in &keys {
            (0..2).for_each(|end| self.alive(now, *key, end));
        }
        let cut = self.lines.begin(who, ways)?;
        for (key, way) in keys.into_iter().flat_map(|key| [(key, 0), (key, 1)]) {
            let Some(conn) = self.conn(key) else { continue };
            let (from, to) = (conn.ends[way].router, conn.ends[1 - way].router);
            let was = conn.ways[way].stalled.is_some();
            if !was && self.lines.cut(from, to) {
                self.stall(q, key, way);
            }
        }
        Some(cut)
    }

    /// Ends a cut. What was lost by it is sent again when its sender's patience is up, unless one of the ends has given up before.
    pub fn heal(&mut self, q: &mut Queue, cut: usize) {
        let now = q.now();
        self.lines.heal(cut);
        let every = self.lines.keepalive();
        let keys: Vec<Key> =
            self.conns.iter().map(|(slot, c)| Key { slot: slot as u32, life: c.life }).collect();
        for (key, way) in keys.into_iter().flat_map(|key| [(key, 0), (key, 1)]) {
            let Some(conn) = self.conn(key) else { continue };
            let Some(lost) = conn.ways[way].stalled else { continue };
            let (from, to) = (conn.ends[way].router, conn.ends[1 - way].router);
            if self.lines.cut(from, to) || !self.hosts[from].reachable || !self.hosts[to].reachable {
                continue;
            }
            let Some(conn) = self.conn(key) else { continue };
            let next = match conn.ends[way].stage {
                Stage::Up(_) => conn.ways[way].wrote + every,
                Stage::Opening | Stage::Greeting | Stage::Going | Stage::Closed => now,
            };
            let first = lost.unwrap_or(next);
            // Again after one wait, three, seven...
            let mut wait = AGAIN;
            let mut at = first;
            while at < now {
                at += wait;
                wait *= 2;
            }
            let delay = conn.ways[way].delay;
            q.line(at + delay, Line::Resume(key, way));
        }
    }

    /// A direction that was cut carries again.
    pub(super) fn resume(&mut self, q: &mut Queue, key: Key, way: usize) {
        let now = q.now();
        let Some(conn) = self.conn(key) else { return };
        let (from, to) = (conn.ends[way].router, conn.ends[1 - way].router);
        if self.lines.cut(from, to) {
            return;
        }
        self.alive(now, key, way);
        let Some(conn) = self.conn(key) else { return };
        if conn.ways[way].stalled.take().is_none() {
            return;
        }
        conn.ways[way].silent = None;
        conn.ways[way].there = now;
        for _ in 0..conn.ways[way].frames.len() {
            q.line(now, Line::Arrive(key, way));
        }
    }

    /// Nothing comes through in that direction from now on: the end that listens will find it silent.
    fn stall(&mut self, q: &mut Queue, key: Key, way: usize) {
        let now = q.now();
        let silence = self.lines.silence();
        let Some(conn) = self.conn(key) else { return };
        conn.ways[way].stalled = Some(None);
        if let Stage::Up(since) = conn.ends[1 - way].stage {
            // What was written before is still there in time, its last sign of life with it.
            let delay = conn.ways[way].delay;
            let heard = conn.ways[way].there.max(conn.ways[way].wrote + delay).max(since);
            let at = (heard + silence).max(now);
            conn.ways[way].silent = Some(at);
            q.line(at, Line::Silent(key, 1 - way));
        }
    }

    /// An end has heard nothing for too long, unless something came since.
    pub(super) fn silent(&mut self, q: &mut Queue, fleet: &Fleet, key: Key, end: usize) {
        let now = q.now();
        let Some(conn) = self.conn(key) else { return };
        if conn.ways[1 - end].silent == Some(now) && conn.ways[1 - end].stalled.is_some() {
            self.shut(q, fleet, key, end, LinkError::PeerTimeout, true);
        }
    }

    /// A router's process ends; its machine closes its connections, or is gone too (`gone`), and then nothing is said.
    pub fn stop(&mut self, q: &mut Queue, fleet: &Fleet, no: No, gone: bool) {
        let now = q.now();
        let keys = self.around(&[no]);
        for key in &keys {
            (0..2).for_each(|end| self.alive(now, *key, end));
        }
        let host = &mut self.hosts[no];
        host.me = None;
        host.reachable = !gone;
        host.diallers.clear();
        for key in keys {
            let Some(conn) = self.conn(key) else { continue };
            let end = usize::from(conn.ends[1].router == no);
            if gone && conn.ways[end].stalled.is_none() {
                self.stall(q, key, end);
            }
            self.shut(q, fleet, key, end, LinkError::ConnectionLost, !gone);
        }
        let host = &mut self.hosts[no];
        host.up.clear();
        host.unknown = 0;
        // Nobody is left there to be told.
        self.told.retain(|(to, _)| *to != no);
    }

    /// A machine is back: connections that others still have to it break as soon as they write to it.
    pub fn back(&mut self, q: &mut Queue, fleet: &Fleet, no: No) {
        self.hosts[no].reachable = true;
        for (slot, life) in self.conns.iter().map(|(s, c)| (s as u32, c.life)).collect::<Vec<_>>() {
            let key = Key { slot, life };
            let Some(conn) = self.conn(key) else { continue };
            let Some(end) = conn.ends.iter().position(|e| e.router == no && e.stage == Stage::Closed) else {
                continue;
            };
            if conn.ways[end].stalled.is_some() {
                self.shut(q, fleet, key, 1 - end, LinkError::ConnectionLost, false);
            }
        }
    }

    /// The connections of which an end is at one of these.
    fn around(&self, who: &[No]) -> Vec<Key> {
        let mut slots: Vec<u32> = who.iter().flat_map(|no| self.hosts[*no].conns.iter().copied()).collect();
        slots.sort_unstable();
        slots.dedup();
        let key = |slot: u32| Some(Key { slot, life: self.conns.get(slot as usize)?.life });
        slots.into_iter().filter_map(key).collect()
    }

    /// When a direction's last sign of life was written; for tests.
    pub fn last_written(&mut self, now: Micros, from: No, to: No) -> Option<Micros> {
        let key = self.hosts[from].up.get(&to).copied()?;
        let end = self.conn(key).map(|c| usize::from(c.ends[1].router == from))?;
        self.alive(now, key, end);
        self.conn(key).map(|c| c.ways[end].wrote)
    }
}
