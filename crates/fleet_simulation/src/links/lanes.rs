//! Frames that wait for room in a socket buffer, with the bounds and quotas of the lanes of `crates/transport`.

use basaltgw_transport::limits::LANE_QUOTAS;
use basaltgw_transport::Limits;
use basaltgw_types::link::Lane;
use std::collections::VecDeque;

/// A message that waits for room in the socket buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct QueuedFrame {
    pub number: u64,
    pub lane: Lane,
    pub body: Vec<u8>,
}

/// The queue of one lane.
#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    /// Frames that the lane may still write before all quotas are renewed.
    quota_left: u32,
}

/// The queues of all lanes, in the order of priority.
#[derive(Debug, Default)]
pub struct Lanes([Queue; 4]);

impl Lanes {
    /// Queues a frame, or returns it if its lane is full.
    pub fn push(&mut self, frame: QueuedFrame, limits: &Limits) -> Result<(), QueuedFrame> {
        let queue = match frame.lane {
            Lane::Membership => &mut self.0[0],
            Lane::Registers => &mut self.0[1],
            Lane::Table => &mut self.0[2],
            Lane::ScatterGather => &mut self.0[3],
        };
        if queue.frames.len() >= limits.max_queued_frames
            || queue.bytes + frame.body.len() > limits.max_queued_bytes
        {
            return Err(frame);
        }
        queue.bytes += frame.body.len();
        queue.frames.push_back(frame);
        Ok(())
    }

    /// Removes the next frame: from the first lane that has a frame and quota left. All quotas are renewed when no such lane is left.
    pub fn pop(&mut self) -> Option<QueuedFrame> {
        let ready = |q: &Queue| !q.frames.is_empty();
        if !self.0.iter().any(|q| ready(q) && q.quota_left > 0) {
            self.0.iter_mut().zip(LANE_QUOTAS).for_each(|(queue, quota)| queue.quota_left = quota);
        }
        let queue = self.0.iter_mut().find(|q| ready(q) && q.quota_left > 0)?;
        let frame = queue.frames.pop_front()?;
        queue.quota_left -= 1;
        queue.bytes -= frame.body.len();
        Some(frame)
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|q| q.frames.is_empty())
    }

    /// Removes all frames, lane by lane.
    pub fn take(&mut self) -> Vec<QueuedFrame> {
        self.0.iter_mut().flat_map(|q| std::mem::take(q).frames).collect()
    }
}
