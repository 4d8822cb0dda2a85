//! The send queues of a link: one for each lane, bounded by itself, written by weighted round-robin.

use crate::limits::LANE_QUOTAS;
use crate::{Lane, Limits};
use std::collections::VecDeque;

/// The lanes in the order in which they are written.
pub const LANES: [Lane; 4] = [Lane::Membership, Lane::Registers, Lane::Table, Lane::ScatterGather];

/// One of the two users of the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UserIndex(pub usize);

/// A frame that was accepted.
#[derive(Debug, PartialEq, Eq)]
pub struct QueuedFrame {
    /// The sender's number.
    pub number: u64,
    /// The sender.
    pub user: UserIndex,
    pub lane: Lane,
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    /// Frames that may still be written in this turn.
    quota: u32,
}

impl Queue {
    fn is_ready(&self) -> bool {
        !self.frames.is_empty() && self.quota > 0
    }
}

/// The queues of a link.
#[derive(Debug)]
pub struct PriorityQueues {
    queues: [Queue; 4],
    max_frames: usize,
    max_bytes: usize,
}

impl PriorityQueues {
    pub fn new(limits: &Limits) -> Self {
        Self {
            queues: Default::default(),
            max_frames: limits.max_queued_frames,
            max_bytes: limits.max_queued_bytes,
        }
    }

    /// Queues a frame, or returns it if its queue is full.
    pub fn push(&mut self, frame: QueuedFrame) -> Result<(), QueuedFrame> {
        let queue = match frame.lane {
            Lane::Membership => &mut self.queues[0],
            Lane::Registers => &mut self.queues[1],
            Lane::Table => &mut self.queues[2],
            Lane::ScatterGather => &mut self.queues[3],
        };
        if queue.frames.len() >= self.max_frames || queue.bytes + frame.body.len() > self.max_bytes {
            return Err(frame);
        }
        queue.bytes += frame.body.len();
        queue.frames.push_back(frame);
        Ok(())
    }

    /// The next frame: of the first lane that has frames and quota left. The quotas are renewed once no lane has both.
    pub fn pop(&mut self) -> Option<QueuedFrame> {
        if !self.queues.iter().any(Queue::is_ready) {
            for (queue, quota) in self.queues.iter_mut().zip(LANE_QUOTAS) {
                queue.quota = quota;
            }
        }
        let queue = self.queues.iter_mut().find(|q| q.is_ready())?;
        let frame = queue.frames.pop_front()?;
        queue.quota -= 1;
        queue.bytes -= frame.body.len();
        Some(frame)
    }

    /// Removes all frames, for a link that is down.
    pub fn drain(&mut self) -> Vec<QueuedFrame> {
        self.queues.iter_mut().flat_map(|q| std::mem::take(q).frames).collect()
    }
}

#[cfg(test)]
mod tests;
