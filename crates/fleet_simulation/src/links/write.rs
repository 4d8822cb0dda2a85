//! Writes on a connection, their arrival times, and the keepalives between them.

use super::conn::{Frame, Stage};
use super::Links;
use crate::queue::{ConnectionKey, LinkEvent, Queue};
use crate::Micros;
use asynchronous_codec::Encoder;
use basaltgw_transport::frames::{Codec, Kind};
use bytes::BytesMut;
use std::sync::OnceLock;

/// Bytes of a frame header, as the transport codec writes it.
fn header_bytes() -> usize {
    static HEADER_BYTES: OnceLock<usize> = OnceLock::new();
    *HEADER_BYTES.get_or_init(|| {
        let mut bytes = BytesMut::new();
        let written = Codec { max_body_bytes: 0 }.encode((Kind::Alive, &[]), &mut bytes);
        written.map_or(0, |()| bytes.len())
    })
}

impl Frame {
    /// Bytes on the connection, with frame headers.
    fn size_bytes(&self) -> usize {
        match self {
            Self::Hello { body, confirm } => {
                header_bytes() + body.len() + if *confirm { header_bytes() } else { 0 }
            }
            Self::Confirm => header_bytes(),
            Self::Table(body) | Self::Lane(_, body) => header_bytes() + body.len(),
            // A FIN is a segment without payload.
            Self::Fin => 0,
        }
    }
}

impl Links {
    /// Writes a frame at an end, and schedules its arrival.
    pub(super) fn write(&mut self, queue: &mut Queue, key: ConnectionKey, end: usize, frame: Frame) {
        let now = queue.now();
        self.count_keepalives(now, key, end);
        let size = frame.size_bytes();
        let rate = self.network.settings.bytes_per_s;
        let Some(conn) = self.conn(key) else { return };
        let (from, to) = (conn.ends[end].router, conn.ends[1 - end].router);
        let closed = conn.ends[1 - end].stage == Stage::Closed;
        let delay = conn.directions[end].delay;
        let cut = self.network.cut(from, to) || (closed && !self.hosts[to].reachable);
        let extra = self.network.extra_delay(delay);
        let Some(conn) = self.conn(key) else { return };
        let direction = &mut conn.directions[end];
        direction.last_write = now;
        direction.in_flight_bytes += size;
        if cut && direction.stalled.is_none() {
            direction.stalled = Some(None);
        }
        let stalled = direction.stalled.is_some();
        if let Some(since) = &mut direction.stalled {
            since.get_or_insert(now);
        } else {
            let sent =
                direction.free_at.max(now) + rate.map_or(0, |rate| size as u64 * 1_000_000 / rate.max(1));
            direction.free_at = sent;
            direction.last_arrival = direction.last_arrival.max(sent + delay + extra);
            queue.put_link(direction.last_arrival, LinkEvent::FrameArrived { key, direction: end });
        }
        let body_bytes = match &frame {
            Frame::Lane(_, body) => Some(body.len() as u64),
            Frame::Hello { .. } | Frame::Confirm | Frame::Table(_) | Frame::Fin => None,
        };
        direction.frames.push_back((size, frame));
        self.counts.payload_sent(now, from, (!stalled).then_some(to), size);
        if let Some(body_bytes) = body_bytes {
            let second = self.counts.at(from, now);
            second.frames_out += 1;
            second.payload_out += body_bytes;
        }
    }

    /// Writes queued frames while the socket buffer has room.
    pub(super) fn pump(&mut self, queue: &mut Queue, key: ConnectionKey, end: usize) {
        let socket = self.network.settings.socket_buffer_bytes;
        loop {
            let Some(conn) = self.conn(key) else { return };
            if conn.directions[end].in_flight_bytes >= socket || !matches!(conn.ends[end].stage, Stage::Up(_))
            {
                return;
            }
            let Some(frame) = conn.ends[end].lanes.pop() else { return };
            self.write(queue, key, end, Frame::Lane(frame.lane, frame.body));
        }
    }

    /// Counts the keepalives that an end has written until now: one for each keepalive interval without another write.
    pub(super) fn count_keepalives(&mut self, now: Micros, key: ConnectionKey, end: usize) {
        let interval = self.network.keepalive();
        let Some(conn) = self.conn(key) else { return };
        let Stage::Up(_) = conn.ends[end].stage else { return };
        let (from, to) = (conn.ends[end].router, conn.ends[1 - end].router);
        let received = conn.directions[end].stalled.is_none() && conn.ends[1 - end].stage != Stage::Closed;
        let first = conn.directions[end].last_write + interval;
        let count = (now + interval).saturating_sub(first) / interval;
        conn.directions[end].last_write += count * interval;
        for number in 0..count {
            let at = first + number * interval;
            self.counts.payload_sent(at, from, received.then_some(to), header_bytes());
            self.counts.at(from, at).keepalives_out += 1;
        }
    }

    /// Counts the keepalives of all links until now, at the end of a run.
    pub fn count_keepalives_until(&mut self, now: Micros) {
        let keys: Vec<ConnectionKey> = self
            .conns
            .iter()
            .map(|(slot, c)| ConnectionKey { slot: slot as u32, generation: c.generation })
            .collect();
        keys.into_iter().for_each(|key| (0..2).for_each(|end| self.count_keepalives(now, key, end)));
    }
}
