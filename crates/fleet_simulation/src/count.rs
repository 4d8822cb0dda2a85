//! The cost of each router's control plane by the second: messages, bytes on the wire, processor time and state.

use crate::{Micros, RouterIndex};
use basaltgw_types::link::LinkError;
use rustix::time::{clock_gettime, ClockId};

/// Bytes of the TCP/IP headers of a segment with timestamps, as Linux sends it over IPv4: 20 + 20 + 12.
pub const HEADER_BYTES: usize = 52;
/// Payload bytes of a full segment on Ethernet with an MTU of 1,500 bytes.
pub const SEGMENT_PAYLOAD_BYTES: usize = 1_448;
/// Bytes of a SYN packet, which carries more options.
pub const SYN_BYTES: usize = 60;

/// Bytes on the wire for a payload written at once, and for the acknowledgements that return. The figure is an upper bound: one
/// acknowledgement is counted for every two segments, although answers may carry them. The Ethernet framing is not counted.
pub fn wire_bytes(payload: usize) -> (usize, usize) {
    let segments = payload.div_ceil(SEGMENT_PAYLOAD_BYTES).max(1);
    (payload + segments * HEADER_BYTES, segments.div_ceil(2) * HEADER_BYTES)
}

/// The cost of one router in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Messages sent by the control plane.
    pub frames_out: u32,
    /// Messages received by the control plane.
    pub frames_in: u32,
    /// Bytes of the bodies of the messages sent.
    pub payload_out: u64,
    /// Bytes of the bodies of the messages received.
    pub payload_in: u64,
    /// Bytes sent on the wire, with headers and acknowledgements.
    pub wire_out: u64,
    /// Bytes received on the wire, with headers and acknowledgements.
    pub wire_in: u64,
    /// Keepalives sent.
    pub keepalives_out: u32,
    /// Durable commits.
    pub commits: u32,
    /// Events handled by the control plane.
    pub events: u32,
    /// Processor time, ns.
    pub cpu_ns: u64,
}

impl Second {
    /// Bytes sent and received on the wire.
    pub fn wire(&self) -> u64 {
        self.wire_out + self.wire_in
    }
}

/// Counters of all links over a whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections dialled.
    pub dialed: u64,
    /// Dials that were refused or timed out.
    pub dials_failed: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Accepted connections closed at once because too many were in their handshake.
    pub rejected_in_handshake: u64,
    /// Ends of a connection that became a link.
    pub links_up: u64,
    /// Ends closed because another connection was the link already.
    pub redundant: u64,
    /// Ends closed because the handshake timed out.
    pub handshake_timeouts: u64,
    /// Ends closed by the peer before the connection became a link.
    pub closed_in_handshake: u64,
    /// Links closed because the peer timed out.
    pub peer_timeouts: u64,
    /// Links closed because the connection was lost.
    pub broken: u64,
    /// Links replaced by a link to a new process of the peer.
    pub replaced: u64,
    /// Messages refused because there was no link.
    pub unsent_no_link: u64,
    /// Messages refused because their lane was full.
    pub unsent_full: u64,
    /// Messages that still waited when their link ended.
    pub unsent_broken: u64,
}

impl LinkCounts {
    /// Counts a link that closed for this reason.
    pub fn link_closed(&mut self, reason: LinkError) {
        match reason {
            LinkError::PeerTimeout => self.peer_timeouts += 1,
            LinkError::Replaced => self.replaced += 1,
            LinkError::NotConnected
            | LinkError::QueueFull
            | LinkError::ConnectionLost
            | LinkError::MalformedFrame => self.broken += 1,
            LinkError::RateExceeded | LinkError::PeerMismatch | LinkError::Idle => self.broken += 1,
        }
    }

    /// All counters, by the names that they have in the figures.
    pub fn all(&self) -> [(&'static str, u64); 14] {
        [
            ("dialled", self.dialed),
            ("dial_failed", self.dials_failed),
            ("accepted", self.accepted),
            ("no_place", self.rejected_in_handshake),
            ("up", self.links_up),
            ("second", self.redundant),
            ("no_hello", self.handshake_timeouts),
            ("unmet", self.closed_in_handshake),
            ("silent", self.peer_timeouts),
            ("broken", self.broken),
            ("replaced", self.replaced),
            ("unsent_no_link", self.unsent_no_link),
            ("unsent_full", self.unsent_full),
            ("unsent_broken", self.unsent_broken),
        ]
    }
}

/// All costs of a run.
#[derive(Debug, Default)]
pub struct Counts {
    /// Costs by router and second.
    pub seconds: Vec<Vec<Second>>,
    /// Counters of the links.
    pub links: LinkCounts,
    /// For each router, the largest number of connections open at once.
    pub max_open_connections: Vec<usize>,
    /// For each router, the current and the largest size of its state, bytes.
    pub state_bytes: Vec<(i64, i64)>,
    /// For each router, the largest number of events in its inbox.
    pub max_inbox: Vec<usize>,
}

impl Counts {
    /// Creates the counters of this number of routers.
    pub fn new(routers: usize) -> Self {
        Self {
            seconds: vec![Vec::new(); routers],
            links: LinkCounts::default(),
            max_open_connections: vec![0; routers],
            state_bytes: vec![(0, 0); routers],
            max_inbox: vec![0; routers],
        }
    }

    /// The counters of a router for the second that contains `at`.
    pub fn at(&mut self, router: RouterIndex, at: Micros) -> &mut Second {
        let row = &mut self.seconds[router];
        let second = (at / 1_000_000) as usize;
        if row.len() <= second {
            row.resize(second + 1, Second::default());
        }
        &mut row[second]
    }

    /// Counts a payload sent between two routers. Without a receiver it never arrives, and only the sender is charged.
    pub fn payload_sent(&mut self, at: Micros, from: RouterIndex, to: Option<RouterIndex>, payload: usize) {
        let (out, back) = wire_bytes(payload);
        self.at(from, at).wire_out += out as u64;
        if let Some(to) = to {
            let second = self.at(to, at);
            second.wire_in += out as u64;
            second.wire_out += back as u64;
            self.at(from, at).wire_in += back as u64;
        }
    }

    /// Counts a packet without payload; without a receiver it never arrives.
    pub fn empty_packet_sent(
        &mut self,
        at: Micros,
        from: RouterIndex,
        to: Option<RouterIndex>,
        bytes: usize,
    ) {
        self.at(from, at).wire_out += bytes as u64;
        if let Some(to) = to {
            self.at(to, at).wire_in += bytes as u64;
        }
    }

    /// Counts that the state of a router has grown by `bytes`, or shrunk if negative.
    pub fn state_grew(&mut self, router: RouterIndex, bytes: i64) {
        let (current, max) = &mut self.state_bytes[router];
        *current += bytes;
        *max = (*max).max(*current);
    }
}

/// Runs a piece of work and returns by how many bytes the memory allocated by this thread has grown. Supplied by the program, since the
/// program defines the allocator.
pub type AllocationMeter = fn(&mut dyn FnMut()) -> i64;

/// Measures processor time and memory, the costs that depend on the machine.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Measures memory, if present.
    pub allocation: Option<AllocationMeter>,
    /// Whether processor time is measured.
    pub cpu: bool,
}

impl Meter {
    /// Runs a piece of work; returns its processor time, ns, and the growth of allocated memory, bytes.
    pub fn work(&self, work: &mut dyn FnMut()) -> (u64, i64) {
        let begin = self.time();
        let growth = match self.allocation {
            Some(measure) => measure(work),
            None => {
                work();
                0
            }
        };
        (self.time() - begin, growth)
    }

    /// Processor time of the thread so far, ns; 0 if not measured.
    fn time(&self) -> u64 {
        if !self.cpu {
            return 0;
        }
        let time = clock_gettime(ClockId::ThreadCPUTime);
        time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
    }
}
