//! The limits of the transport. What its users limit is in [`crate::Limits`].

use std::time::Duration;

/// The timeout of a connect: within a site a response takes milliseconds, and a machine that has vanished never responds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The timeout of a handshake, so that a silent connection does not occupy a slot.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The interval of keepalive frames on a link without other frames: four of them in a [`PEER_TIMEOUT`], so that some may be late.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// The time without a byte after which a link is considered down; until then shards wait for a replica that has vanished.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time in which a frame must be complete, so that a peer that sends single bytes is considered silent.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(5000);
/// The least time without progress after which a write fails; longer than [`PEER_TIMEOUT`], for a peer that only pauses reading.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The first backoff between two dials; doubled up to [`MAX_DIAL_BACKOFF`], with jitter that leaves between half and all of it.
pub const MIN_DIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff between two dials: a router that returns is linked within a second.
pub const MAX_DIAL_BACKOFF: Duration = Duration::from_millis(1000);
/// The age of a link from which the dial backoff is reset when it goes down.
pub const STABLE_LINK_AGE: Duration = Duration::from_millis(1000);
/// The time in which queued frames are written at shutdown.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest body of the transport's own frames; a hello has four names of at most 64 bytes, a hash and numbers, a third of this.
pub const MAX_CONTROL_FRAME_BYTES: usize = 1024;
/// Accepted connections without a complete handshake; further ones are closed at once. A fleet has at most as many routers that dial.
pub const MAX_CONNECTIONS_IN_HANDSHAKE: usize = 64;
/// Body bytes read from one link in a second: four times the rate of a line of 100 Mbit/s.
pub const MAX_READ_BYTES_PER_SECOND: usize = 48 << 20;
/// Control frames from one link in a second; a correct peer sends four, and one for each table.
pub const MAX_CONTROL_FRAMES_PER_SECOND: u32 = 100;
/// Dials at a time with [`crate::DialPolicy::OnDemand`].
pub const MAX_CONCURRENT_DIALS: usize = 16;
/// Consecutive connections closed by a peer during the handshake, after which a dial counts as failed. One is usual where both routers dial.
pub const MAX_CLOSED_HANDSHAKES: u32 = 2;
/// Commands of a user that are executed before other tasks run.
pub const COMMAND_BATCH: usize = 64;
/// Frames of each lane that are written in a turn while all lanes have some, in the order of [`crate::Lane`].
pub const LANE_QUOTAS: [u32; 4] = [8, 4, 2, 1];
/// The pause after a failed accept, usually for lack of file descriptors, which other connections free when they are closed.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Reasons of rejected connections that are logged; each is logged once.
pub const MAX_LOGGED_REJECTIONS: usize = 64;
