//! What each router's control part costs, by the second: messages, bytes on the wire, processor time, state.

use crate::{Micros, No};
use rustix::time::{clock_gettime, ClockId};

/// Bytes of a TCP/IP header with timestamps, as Linux sends it over IPv4: 20 + 20 + 12.
pub const HEADERS: usize = 52;
/// Bytes of a segment's payload on an Ethernet line of 1,500.
pub const SEGMENT: usize = 1_448;
/// Bytes of a SYN, which carries more options.
pub const SYN: usize = 60;

/// Bytes on the line of that much payload written at once, and of the acknowledgements that come back: one for two segments at least. Where
/// answers carry them they cost less: this is an upper bound. The line's own framing is not counted.
pub fn on_wire(payload: usize) -> (usize, usize) {
    let segments = payload.div_ceil(SEGMENT).max(1);
    (payload + segments * HEADERS, segments.div_ceil(2) * HEADERS)
}

/// What one router did in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Frames of users out and in.
    pub frames_out: u32,
    /// See `frames_out`.
    pub frames_in: u32,
    /// Their bodies.
    pub payload_out: u64,
    /// See `payload_out`.
    pub payload_in: u64,
    /// Bytes on the line, headers and acknowledgements with them.
    pub wire_out: u64,
    /// See `wire_out`.
    pub wire_in: u64,
    /// Signs of life written.
    pub alive_out: u32,
    /// Commits.
    pub commits: u32,
    /// Events handled.
    pub events: u32,
    /// Processor time, in nanoseconds.
    pub cpu: u64,
}

impl Second {
    /// Bytes on the line, both ways together.
    pub fn wire(&self) -> u64 {
        self.wire_out + self.wire_in
    }
}

/// What happened on the links, over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections asked of others, and those that failed.
    pub dialled: u64,
    /// See `dialled`.
    pub dial_failed: u64,
    /// Connections taken, and those closed at once since too many had not said who they are.
    pub accepted: u64,
    /// See `accepted`.
    pub no_place: u64,
    /// Ends that came up; ends that were closed as a second connection, without a hello in time, or before they were a link.
    pub up: u64,
    /// See `up`.
    pub second: u64,
    /// See `up`.
    pub no_hello: u64,
    /// See `up`.
    pub unmet: u64,
    /// Links closed over silence, broken, and replaced by another life.
    pub silent: u64,
    /// See `silent`.
    pub broken: u64,
    /// See `silent`.
    pub replaced: u64,
    /// Frames refused without a link, by a full lane, and those not written whole.
    pub unsent_no_link: u64,
    /// See `unsent_no_link`.
    pub unsent_full: u64,
    /// See `unsent_no_link`.
    pub unsent_broken: u64,
}

impl LinkCounts {
    /// All, by name.
    pub fn all(&self) -> [(&'static str, u64); 14] {
        [
            ("dialled", self.dialled),
            ("dial_failed", self.dial_failed),
            ("accepted", self.accepted),
            ("no_place", self.no_place),
            ("up", self.up),
            ("second", self.second),
            ("no_hello", self.no_hello),
            ("unmet", self.unmet),
            ("silent", self.silent),
            ("broken", self.broken),
            ("replaced", self.replaced),
            ("unsent_no_link", self.unsent_no_link),
            ("unsent_full", self.unsent_full),
            ("unsent_broken", self.unsent_broken),
        ]
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct Counts {
    /// By router and second.
    pub seconds: Vec<Vec<Second>>,
    /// Of the links.
    pub links: LinkCounts,
    /// The most connections that a router had open at once.
    pub most_open: Vec<usize>,
    /// The bytes of each router's state now, and the most there were.
    pub state: Vec<(i64, i64)>,
    /// The most events that waited for a router.
    pub most_waiting: Vec<usize>,
}

impl Counts {
    /// Of so many routers.
    pub fn new(routers: usize) -> Self {
        Self {
            seconds: vec![Vec::new(); routers],
            links: LinkCounts::default(),
            most_open: vec![0; routers],
            state: vec![(0, 0); routers],
            most_waiting: vec![0; routers],
        }
    }

    /// A router's second.
    pub fn at(&mut self, no: No, at: Micros) -> &mut Second {
        let row = &mut self.seconds[no];
        let second = (at / 1_000_000) as usize;
        if row.len() <= second {
            row.resize(second + 1, Second::default());
        }
        &mut row[second]
    }

    /// That much payload went from one to another; what never arrives is counted where it was written only.
    pub fn written(&mut self, at: Micros, from: No, to: Option<No>, payload: usize) {
        let (out, back) = on_wire(payload);
        self.at(from, at).wire_out += out as u64;
        if let Some(to) = to {
            let second = self.at(to, at);
            second.wire_in += out as u64;
            second.wire_out += back as u64;
            self.at(from, at).wire_in += back as u64;
        }
    }

    /// A packet without payload went.
    pub fn bare(&mut self, at: Micros, from: No, to: Option<No>, bytes: usize) {
        self.at(from, at).wire_out += bytes as u64;
        if let Some(to) = to {
            self.at(to, at).wire_in += bytes as u64;
        }
    }

    /// A router's state has grown, or shrunk, by so many bytes.
    pub fn grown(&mut self, no: No, bytes: i64) {
        let (now, most) = &mut self.state[no];
        *now += bytes;
        *most = (*most).max(*now);
    }
}

/// Does a piece of work; gives by how many bytes more this thread has taken from the allocator than it has given back meanwhile. The
/// allocator sits in the program.
pub type Grown = fn(&mut dyn FnMut()) -> i64;

/// How a run measures what is the machine's.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Bytes held are counted.
    pub grown: Option<Grown>,
    /// Processor time is measured.
    pub cpu: bool,
}

impl Meter {
    /// Does a piece of work; gives its processor time in nanoseconds, and the bytes by which what is held has grown.
    pub fn work(&self, work: &mut dyn FnMut()) -> (u64, i64) {
        let begun = self.time();
        let grown = match self.grown {
            Some(grown) => grown(work),
            None => {
                work();
                0
            }
        };
        (self.time() - begun, grown)
    }

    /// The thread's processor time so far, in nanoseconds.
    fn time(&self) -> u64 {
        if !self.cpu {
            return 0;
        }
        let time = clock_gettime(ClockId::ThreadCPUTime);
        time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
    }
}
