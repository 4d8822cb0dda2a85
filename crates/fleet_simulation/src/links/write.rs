//! What is written on a link, when it is there, and the signs of life between.

use super::conn::{Frame, Stage};
use super::Links;
use crate::queue::{Key, Line, Queue};
use crate::Micros;
use asynchronous_codec::Encoder;
use basaltgw_transport::frames::{Codec, Kind};
use bytes::BytesMut;
use std::sync::OnceLock;

/// Bytes of a frame beside its body, as the real codec writes it.
fn head() -> usize {
    static HEAD: OnceLock<usize> = OnceLock::new();
    *HEAD.get_or_init(|| {
        let mut bytes = BytesMut::new();
        let written = Codec { max_body_bytes: 0 }.encode((Kind::Alive, &[]), &mut bytes);
        written.map_or(0, |()| bytes.len())
    })
}

impl Frame {
    /// Its bytes, as they are written.
    fn size(&self) -> usize {
        match self {
            Self::Hello(body, go) => head() + body.len() + if *go { head() } else { 0 },
            Self::Go => head(),
            Self::Table(body) | Self::Lane(_, body) => head() + body.len(),
            // A segment without payload.
            Self::Fin => 0,
        }
    }
}

impl Links {
    /// Writes a frame at an end.
    pub(super) fn write(&mut self, q: &mut Queue, key: Key, end: usize, frame: Frame) {
        let now = q.now();
        self.alive(now, key, end);
        let size = frame.size();
        let rate = self.lines.set.bytes_a_second;
        let Some(conn) = self.conn(key) else { return };
        let (from, to) = (conn.ends[end].router, conn.ends[1 - end].router);
        let closed = conn.ends[1 - end].stage == Stage::Closed;
        let delay = conn.ways[end].delay;
        let cut = self.lines.cut(from, to) || (closed && !self.hosts[to].reachable);
        let extra = self.lines.extra(delay);
        let Some(conn) = self.conn(key) else { return };
        let way = &mut conn.ways[end];
        way.wrote = now;
        way.bytes += size;
        if cut && way.stalled.is_none() {
            way.stalled = Some(None);
        }
        let stalled = way.stalled.is_some();
        if let Some(since) = &mut way.stalled {
            since.get_or_insert(now);
        } else {
            let sent = way.free.max(now) + rate.map_or(0, |rate| size as u64 * 1_000_000 / rate.max(1));
            way.free = sent;
            way.there = way.there.max(sent + delay + extra);
            q.line(way.there, Line::Arrive(key, end));
        }
        let lane = match &frame {
            Frame::Lane(_, body) => Some(body.len() as u64),
            Frame::Hello(..) | Frame::Go | Frame::Table(_) | Frame::Fin => None,
        };
        way.frames.push_back((size, frame));
        self.counts.written(now, from, (!stalled).then_some(to), size);
        if let Some(body) = lane {
            let second = self.counts.at(from, now);
            second.frames_out += 1;
            second.payload_out += body;
        }
    }

    /// Writes what waits, as far as there is room.
    pub(super) fn pump(&mut self, q: &mut Queue, key: Key, end: usize) {
        let socket = self.lines.set.socket;
        loop {
            let Some(conn) = self.conn(key) else { return };
            if conn.ways[end].bytes >= socket || !matches!(conn.ends[end].stage, Stage::Up(_)) {
                return;
            }
            let Some(frame) = conn.ends[end].lanes.pop() else { return };
            self.write(q, key, end, Frame::Lane(frame.lane, frame.body));
        }
    }

    /// Accounts for the signs of life that an end has written until now: one each time that nothing else was for so long.
    pub(super) fn alive(&mut self, now: Micros, key: Key, end: usize) {
        let every = self.lines.keepalive();
        let Some(conn) = self.conn(key) else { return };
        let Stage::Up(_) = conn.ends[end].stage else { return };
        let (from, to) = (conn.ends[end].router, conn.ends[1 - end].router);
        let heard = conn.ways[end].stalled.is_none() && conn.ends[1 - end].stage != Stage::Closed;
        let first = conn.ways[end].wrote + every;
        let many = (now + every).saturating_sub(first) / every;
        conn.ways[end].wrote += many * every;
        for no in 0..many {
            let at = first + no * every;
            self.counts.written(at, from, heard.then_some(to), head());
            self.counts.at(from, at).alive_out += 1;
        }
    }

    /// Accounts for all signs of life until now, at the end of a run.
    pub fn settle(&mut self, now: Micros) {
        let keys: Vec<Key> =
            self.conns.iter().map(|(slot, c)| Key { slot: slot as u32, life: c.life }).collect();
        keys.into_iter().for_each(|key| (0..2).for_each(|end| self.alive(now, key, end)));
    }
}
