//! A simulated connection: its two ends, and the frames in flight in both directions.

use super::lanes::Lanes;
use crate::{Micros, RouterIndex};
use basaltgw_types::link::{Hello, Lane};
use std::collections::VecDeque;

/// The state of an end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The connect has not been answered, or the first hello has not arrived.
    Connecting,
    /// The end waits for the hello of its peer.
    AwaitingHello,
    /// The end waits for its peer to confirm that this connection is the link.
    AwaitingConfirmation,
    /// The connection has been the link since this time.
    Up(Micros),
    /// The end is closed.
    Closed,
}

/// The hello as it is written, with a number that differs at each start of the process.
pub type Greeting = (Hello, u64);

/// One end of a connection.
#[derive(Debug)]
pub struct End {
    pub router: RouterIndex,
    pub stage: Stage,
    /// The hello of the peer, once it has arrived.
    pub peer: Option<Greeting>,
    /// Whether this accepted end counts towards the connections in handshake of its router.
    pub in_handshake: bool,
    /// Frames that wait for room in the socket buffer.
    pub lanes: Lanes,
}

/// What is written on a connection at once.
#[derive(Debug)]
pub enum Frame {
    /// The hello of the sender.
    Hello {
        body: Vec<u8>,
        /// A [`Frame::Confirm`] follows in the same write.
        confirm: bool,
    },
    /// This connection is the link.
    Confirm,
    /// The sender's placement table has changed.
    Table(Vec<u8>),
    /// A message of the control plane.
    Lane(Lane, Vec<u8>),
    /// The sender has closed the connection.
    Fin,
}

/// One direction of a connection.
#[derive(Debug)]
pub struct Direction {
    /// The one-way delay, without jitter.
    pub delay: Micros,
    /// Time of the last write, including the keepalives counted so far.
    pub last_write: Micros,
    /// When the last write arrives.
    pub last_arrival: Micros,
    /// When the bandwidth is free for the next write.
    pub free_at: Micros,
    /// Bytes that were written and have not arrived.
    pub in_flight_bytes: usize,
    /// Frames that were written and have not arrived, with their sizes in bytes.
    pub frames: VecDeque<(usize, Frame)>,
    /// Set while nothing passes; the inner value is the time of the first write that was lost.
    pub stalled: Option<Option<Micros>>,
    /// When the receiving end finds that its peer timed out.
    pub peer_timeout_at: Option<Micros>,
}

/// A connection.
#[derive(Debug)]
pub struct Conn {
    pub generation: u32,
    /// The dialing end, and the accepting end.
    pub ends: [End; 2],
    /// From the dialing end, and from the accepting end.
    pub directions: [Direction; 2],
}

impl Conn {
    /// A connection that is being dialled.
    pub fn new(generation: u32, now: Micros, from: RouterIndex, to: RouterIndex, delay: Micros) -> Self {
        let end = |router| End {
            router,
            stage: Stage::Connecting,
            peer: None,
            in_handshake: false,
            lanes: Lanes::default(),
        };
        let direction = || Direction {
            delay,
            last_write: now,
            last_arrival: now,
            free_at: now,
            in_flight_bytes: 0,
            frames: VecDeque::new(),
            stalled: None,
            peer_timeout_at: None,
        };
        Self { generation, ends: [end(from), end(to)], directions: [direction(), direction()] }
    }

    /// Whether both ends are closed.
    pub fn is_closed(&self) -> bool {
        self.ends.iter().all(|e| e.stage == Stage::Closed)
    }
}
