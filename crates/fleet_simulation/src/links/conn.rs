//! One connection: two ends, and what is under way in both directions.

use super::lanes::Lanes;
use crate::{Micros, No};
use basaltgw_types::link::{Hello, Lane};
use std::collections::VecDeque;

/// How far an end is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has come of it yet.
    Opening,
    /// It has asked, and waits for the other's hello.
    Greeting,
    /// It waits for the other's word that this connection is the link.
    Going,
    /// It is the link, since then.
    Up(Micros),
    /// It was closed.
    Closed,
}

/// The hello as it is written: whose, and which start of its process it is.
pub type Greeting = (Hello, u64);

#[derive(Debug)]
pub struct End {
    pub router: No,
    pub stage: Stage,
    pub peer: Option<Greeting>,
    /// It is counted among those that have not said who they are.
    pub unknown: bool,
    pub lanes: Lanes,
}

#[derive(Debug)]
pub enum Frame {
    /// Who speaks; and that this connection is the link.
    Hello(Vec<u8>, bool),
    Go,
    Table(Vec<u8>),
    Lane(Lane, Vec<u8>),
    Fin,
}

/// What goes from one end to the other.
#[derive(Debug)]
pub struct Way {
    pub delay: Micros,
    /// The last write, signs of life with them as far as they are accounted for.
    pub wrote: Micros,
    /// When the last of it is there, and when the line is free again.
    pub there: Micros,
    pub free: Micros,
    /// Bytes that were written and are not there yet.
    pub bytes: usize,
    pub frames: VecDeque<(usize, Frame)>,
    /// Nothing gets through; since when something was lost by it.
    pub stalled: Option<Option<Micros>>,
    /// The receiving end counts as having heard nothing from then on.
    pub silent: Option<Micros>,
}

#[derive(Debug)]
pub struct Conn {
    pub life: u32,
    /// Who asked, and who was asked.
    pub ends: [End; 2],
    /// From the first end, and from the second.
    pub ways: [Way; 2],
}

impl Conn {
    pub fn new(life: u32, now: Micros, from: No, to: No, delay: Micros) -> Self {
        let end = |router| End {
            router,
            stage: Stage::Opening,
            peer: None,
            unknown: false,
            lanes: Lanes::default(),
        };
        let way = || Way {
            delay,
            wrote: now,
            there: now,
            free: now,
            bytes: 0,
            frames: VecDeque::new(),
            stalled: None,
            silent: None,
        };
        Self { life, ends: [end(from), end(to)], ways: [way(), way()] }
    }

    /// Both ends are closed, and nothing is under way.
    pub fn over(&self) -> bool {
        self.ends.iter().all(|e| e.stage == Stage::Closed)
    }
}
