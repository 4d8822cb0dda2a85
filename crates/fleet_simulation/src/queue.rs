//! The event queue: events are ordered by time, and by insertion where the time is the same.

use crate::{Micros, RouterIndex};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Identifies a connection by its slot and the number of its use of the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionKey {
    pub slot: u32,
    pub generation: u32,
}

/// An event of the simulated network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A connect was accepted, or was refused or timed out.
    ConnectFinished { key: ConnectionKey, accepted: bool },
    /// The next frame in a direction arrives.
    FrameArrived { key: ConnectionKey, direction: usize },
    /// The time for the handshake of an end is up.
    HandshakeTimeout { key: ConnectionKey, end: usize },
    /// An end has received nothing for the peer timeout.
    PeerTimeout { key: ConnectionKey, end: usize },
    /// A stalled direction carries frames again.
    Resumed { key: ConnectionKey, direction: usize },
    /// The back-off of a dialer is over. A later back-off has another number.
    Redial { from: RouterIndex, to: RouterIndex, backoff: u32 },
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulationEvent {
    Link(LinkEvent),
    /// The process of a router has its turn.
    Turn(RouterIndex),
    /// A commit is durable, made by the process start with this number.
    CommitFinished {
        router: RouterIndex,
        start: u32,
    },
    /// The change log delivers a purge to a router.
    ChangeLogRead {
        router: RouterIndex,
        purge: usize,
    },
    /// The purge with this number is made.
    PurgeMade(usize),
    /// The fault with this number begins or ends.
    Fault(usize),
}

/// An event with its time, and its number in the order of insertion.
#[derive(Debug)]
struct Entry {
    at: Micros,
    number: u64,
    event: SimulationEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// Reversed, since the heap returns the greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events that have not happened yet, and the time of the last one that has.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Entry>,
    scheduled: u64,
    now: Micros,
}

impl Queue {
    /// Time of the last event that was removed.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of events scheduled so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }

    /// Schedules an event, for now if `at` is in the past.
    pub fn put(&mut self, at: Micros, event: SimulationEvent) {
        self.scheduled += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.scheduled, event });
    }

    /// Schedules an event of the network.
    pub fn put_link(&mut self, at: Micros, event: LinkEvent) {
        self.put(at, SimulationEvent::Link(event));
    }

    /// Removes the next event and advances the time to it, unless it is later than `end`.
    pub fn next(&mut self, end: Micros) -> Option<SimulationEvent> {
        if self.heap.peek()?.at > end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
