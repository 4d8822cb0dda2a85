//! What waits to be written on a link: a bounded queue for each lane, and whose turn it is.

use crate::limits::TURN;
use crate::{Lane, Limits};
use std::collections::VecDeque;

/// The lanes in the order in which they are written.
pub const LANES: [Lane; 4] = [Lane::Membership, Lane::Registers, Lane::Table, Lane::ScatterGather];

/// A frame that was taken.
#[derive(Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The sender's number.
    pub no: u64,
    /// Which user sent it.
    pub user: usize,
    pub lane: Lane,
    pub body: Vec<u8>,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Waiting>,
    bytes: usize,
    /// Frames left in this turn.
    turn: u32,
}

/// The queues of a link.
#[derive(Debug)]
pub struct Lanes {
    queues: [Queue; 4],
    frames: usize,
    bytes: usize,
}

impl Lanes {
    pub fn new(limits: &Limits) -> Self {
        Self { queues: Default::default(), frames: limits.max_queued_frames, bytes: limits.max_queued_bytes }
    }

    /// Takes a frame, or gives it back if its lane is full.
    pub fn push(&mut self, frame: Waiting) -> Result<(), Waiting> {
        let queue = match frame.lane {
            Lane::Membership => &mut self.queues[0],
            Lane::Registers => &mut self.queues[1],
            Lane::Table => &mut self.queues[2],
            Lane::ScatterGather => &mut self.queues[3],
        };
        if queue.frames.len() >= self.frames || queue.bytes + frame.body.len() > self.bytes {
            return Err(frame);
        }
        queue.bytes += frame.body.len();
        queue.frames.push_back(frame);
        Ok(())
    }

    /// The next to be written: the first lane that has something and a turn left; all get new turns once none has.
    pub fn pop(&mut self) -> Option<Waiting> {
        let ready = |q: &Queue| !q.frames.is_empty();
        if !self.queues.iter().any(|q| ready(q) && q.turn > 0) {
            for (queue, turn) in self.queues.iter_mut().zip(TURN) {
                queue.turn = turn;
            }
        }
        let queue = self.queues.iter_mut().find(|q| ready(q) && q.turn > 0)?;
        let frame = queue.frames.pop_front()?;
        queue.turn -= 1;
        queue.bytes -= frame.body.len();
        Some(frame)
    }

    /// Takes all out, for a link that is gone.
    pub fn take(&mut self) -> Vec<Waiting> {
        self.queues.iter_mut().flat_map(|q| std::mem::take(q).frames).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits =
        Limits { max_queued_frames: 100, max_queued_bytes: 1000, max_frame_bytes: 10, ring_entries: 1 };

    fn frame(no: u64, lane: Lane) -> Waiting {
        Waiting { no, user: 0, lane, body: vec![0; 4] }
    }

    #[test]
    fn news_go_first_and_no_lane_starves() {
        let mut lanes = Lanes::new(&LIMITS);
        for no in 0..30 {
            LANES.iter().rev().for_each(|lane| lanes.push(frame(no, *lane)).unwrap());
        }
        let order: Vec<Waiting> = std::iter::from_fn(|| lanes.pop()).collect();
        assert_eq!(order.len(), 120);
        let turn: Vec<Lane> = order.iter().take(15).map(|f| f.lane).collect();
        let expected = LANES.iter().zip(TURN).flat_map(|(l, n)| vec![*l; n as usize]);
        assert_eq!(turn, expected.collect::<Vec<_>>());
        for lane in LANES {
            let numbers: Vec<u64> = order.iter().filter(|f| f.lane == lane).map(|f| f.no).collect();
            assert_eq!(numbers, (0..30).collect::<Vec<_>>());
        }
    }

    #[test]
    fn a_lane_is_bounded_in_frames_and_bytes_by_itself() {
        let mut lanes = Lanes::new(&Limits { max_queued_frames: 3, max_queued_bytes: 9, ..LIMITS });
        assert!(
            lanes.push(frame(0, Lane::ScatterGather)).is_ok()
                && lanes.push(frame(1, Lane::ScatterGather)).is_ok()
        );
        assert_eq!(lanes.push(frame(2, Lane::ScatterGather)), Err(frame(2, Lane::ScatterGather)), "bytes");
        assert!(lanes.push(frame(3, Lane::Registers)).is_ok());
        let empty = |no| Waiting { body: vec![], ..frame(no, Lane::ScatterGather) };
        assert!(lanes.push(empty(4)).is_ok());
        assert_eq!(lanes.push(empty(5)), Err(empty(5)), "frames");
        assert_eq!(lanes.take().len(), 4);
        assert!(lanes.pop().is_none() && lanes.push(frame(6, Lane::ScatterGather)).is_ok());
    }
}
