//! What is to happen, in the order of time, and of being put in where the time is the same.

use crate::{Micros, No};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A connection, by its slot and which use of the slot it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    pub slot: u32,
    pub life: u32,
}

/// Something that happens on the lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// A connect is answered (`true`), or refused or given up.
    Connect(Key, bool),
    /// The next frame in that direction is there.
    Arrive(Key, usize),
    /// The time for an end's hello is up.
    Late(Key, usize),
    /// An end has heard nothing for too long.
    Silent(Key, usize),
    /// A direction that was cut carries again.
    Resume(Key, usize),
    /// A router's pause before it dials another is over; the number tells pauses apart.
    Redial(No, No, u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Line(Line),
    /// A router has its turn.
    Turn(No),
    /// A router's commit is on the disk; of which start of its process.
    Disk(No, u32),
    /// A router hears a word of the change log.
    Log(No, usize),
    /// A purge is made.
    Purge(usize),
    /// A trouble begins or ends.
    Trouble(usize),
}

#[derive(Debug)]
struct Entry {
    at: Micros,
    no: u64,
    what: What,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.no).cmp(&(self.at, self.no))
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Entry>,
    ever: u64,
    now: Micros,
}

impl Queue {
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many were put in.
    pub fn ever(&self) -> u64 {
        self.ever
    }

    pub fn put(&mut self, at: Micros, what: What) {
        self.ever += 1;
        self.heap.push(Entry { at: at.max(self.now), no: self.ever, what });
    }

    pub fn line(&mut self, at: Micros, line: Line) {
        self.put(at, What::Line(line));
    }

    /// The next, unless it is later than that.
    pub fn next(&mut self, end: Micros) -> Option<What> {
        if self.heap.peek()?.at > end {
            return None;
        }
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.what)
    }
}
