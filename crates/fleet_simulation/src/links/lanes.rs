//! What waits at an end that can't write: the lanes' bounds and turns as `crates/transport` has them.

use basaltgw_transport::limits::LANE_QUOTAS;
use basaltgw_transport::Limits;
use basaltgw_types::link::Lane;
use std::collections::VecDeque;

#[derive(Debug, PartialEq, Eq)]
pub struct Waiting {
    pub no: u64,
    pub lane: Lane,
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Waiting>,
    bytes: usize,
    turn: u32,
}

#[derive(Debug, Default)]
pub struct Lanes([Queue; 4]);

impl Lanes {
    /// Takes a frame, or gives it back if its lane is full.
    pub fn push(&mut self, frame: Waiting, limits: &Limits) -> Result<(), Waiting> {
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

    /// The next: the first lane that has something and a turn left; all get new turns once none has.
    pub fn pop(&mut self) -> Option<Waiting> {
        let ready = |q: &Queue| !q.frames.is_empty();
        if !self.0.iter().any(|q| ready(q) && q.turn > 0) {
            self.0.iter_mut().zip(LANE_QUOTAS).for_each(|(queue, turn)| queue.turn = turn);
        }
        let queue = self.0.iter_mut().find(|q| ready(q) && q.turn > 0)?;
        let frame = queue.frames.pop_front()?;
        queue.turn -= 1;
        queue.bytes -= frame.body.len();
        Some(frame)
    }

    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|q| q.frames.is_empty())
    }

    pub fn take(&mut self) -> Vec<Waiting> {
        self.0.iter_mut().flat_map(|q| std::mem::take(q).frames).collect()
    }
}
