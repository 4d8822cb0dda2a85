//! The limits of a link that are the transport's, with their reasons. What users bound is in [`crate::Limits`].

use std::time::Duration;

/// A connect is given up after this: on one site an answer takes milliseconds, and a machine that vanished never answers.
pub const CONNECT: Duration = Duration::from_millis(1000);
/// From the connection to the last word of the hello: whoever connects and says nothing holds a place no longer.
pub const HELLO: Duration = Duration::from_millis(1000);
/// Without anything else to write, an empty frame is written each time: four may be lost or late before a link counts as silent.
pub const KEEPALIVE: Duration = Duration::from_millis(250);
/// A link on which no byte came for so long is silent: what vanished says nothing, and its shards wait for it.
pub const SILENT: Duration = Duration::from_millis(1000);
/// A frame that began is whole after this, and after the time of silence, or the link is silent: a peer that drips bytes is none.
pub const WHOLE: Duration = Duration::from_millis(5000);
/// A write of which no byte was taken for so long: longer than [`SILENT`], for a peer that only pauses to read. Twice the time of silence where
/// that is set to more.
pub const STUCK: Duration = Duration::from_millis(2000);
/// The first wait between two dials; doubled up to [`DIAL_MOST`], each shortened by up to half at random.
pub const DIAL_FIRST: Duration = Duration::from_millis(50);
/// See [`DIAL_FIRST`]: a router that returns is met within a second.
pub const DIAL_MOST: Duration = Duration::from_millis(1000);
/// A link that was up for so long was a good one: the next dial waits for [`DIAL_FIRST`] only.
pub const GOOD: Duration = Duration::from_millis(1000);
/// At the end, what waits is written for so long.
pub const ENDING: Duration = Duration::from_millis(200);
/// Bytes of a hello or another frame of the links' own: three names of 64 bytes, a hash and numbers fit several times.
pub const OWN_FRAME: usize = 1024;
/// Connections from others that have not said who they are. More are closed at once: the fleet has at most as many routers that dial.
pub const UNKNOWN: usize = 64;
/// Bytes read from one link in a second; then reading waits for the next: four times what a 100 Mbit/s line brings.
pub const READ_PER_S: usize = 48 << 20;
/// Frames of the links' own in a second before a peer counts as flooding; a peer in order sends four, and one for each table.
pub const OWN_PER_S: u32 = 100;
/// Dials at a time where only wanted routers are dialled: a second for each that vanished, and a start finds its few at once.
pub const DIALS: usize = 16;
/// Connections to a router that it closed before it was a link, in a row, after which it counts as not reached. One is usual where both dial.
pub const UNMET: u32 = 2;
/// Orders carried out before others have their turn.
pub const ORDER_ROW: usize = 64;
/// Frames of each lane in a turn while all wait, in the order of [`crate::Lane`]: news first, and none starves.
pub const TURN: [u32; 4] = [8, 4, 2, 1];
/// A wait after an accept that failed, for want of descriptors mostly: they come back when something is closed.
pub const ACCEPT_AGAIN: Duration = Duration::from_millis(100);
/// Names and reasons of refused peers that were said once in the log and are not said again.
pub const SAID: usize = 64;
