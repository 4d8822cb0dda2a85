//! Limits of connections, queues and buffers: sizes, counts and timeouts. None decides where, whether or how often a request is sent.

use crate::resp::MessageLimits;
use basaltgw::api::Ms;
use std::time::Duration;

/// Limits on what is read from a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// The size limits of a message.
    pub message_limits: MessageLimits,
    /// Time from accept until the first message must be complete; `None`: it may begin at any time.
    pub first_message_timeout: Option<Duration>,
    /// Time from a message's first byte until it must be complete.
    pub message_timeout: Duration,
    /// The longest pause between two reads within a message.
    pub read_gap_timeout: Duration,
    /// The kind of peer.
    pub peer: PeerKind,
}

/// The kind of peer from which messages are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A client. It is watched while reading is paused: its close takes effect at once, and a bounded amount is read ahead to find
    /// cancellations.
    Client,
    /// A server. Its answers sent before a close still count.
    Server,
}

/// Messages of clients: a write carries up to [`MAX_BODY_BYTES`].
pub const CLIENT_READ_LIMITS: ReadLimits = ReadLimits {
    message_limits: MessageLimits { max_elements: 6, max_bytes: 56 * 1024 },
    first_message_timeout: Some(Duration::from_millis(2000)),
    message_timeout: Duration::from_millis(2000),
    read_gap_timeout: Duration::from_millis(2000),
    peer: PeerKind::Client,
};
/// Answers of servers: an object has up to 240,000 bytes. Attempts have their own timeouts; these limits bound how long a connection that
/// stops in the middle of an answer delays the other attempts on it.
pub const SERVER_READ_LIMITS: ReadLimits = ReadLimits {
    message_limits: MessageLimits { max_elements: 6, max_bytes: 256 * 1024 },
    first_message_timeout: None,
    message_timeout: Duration::from_millis(5000),
    read_gap_timeout: Duration::from_millis(250),
    peer: PeerKind::Server,
};
/// Delay that sockets and queues add to the time limits of the decision module, in milliseconds.
pub const SOCKET_SLACK_MS: Ms = 50.0;

// Requests.

/// The longest body of a write.
pub const MAX_BODY_BYTES: usize = 48_000;
/// The highest group number.
pub const MAX_GROUP: u64 = 255;
/// The highest part number; higher ones are malformed.
pub const MAX_PART: u64 = 9_999_999;
/// The largest part size in KB; larger ones are malformed.
pub const MAX_SIZE_KB: f64 = 1e7;
/// Ids of requests that may have been executed and must not run twice that are remembered after the requests have ended.
pub const MAX_EXECUTED_IDS: usize = 16 * 1024;
/// The longest deadline of a request, in milliseconds.
pub const MAX_DEADLINE_MS: Ms = 600_000.0;
/// The tag of a copy, in bytes; the same bound holds for an idempotency key.
pub const COPY_TAG_MAX_BYTES: usize = 64;

// Reading.

/// The most bytes of one read.
pub const READ_BYTES: usize = 16 * 1024;
/// The most bytes of one read while messages of its direction use much memory or the owner's queue is more than half full, since what can't
/// be decoded yet is buffered.
pub const SHORT_READ_BYTES: usize = 2 * 1024;
/// Bytes read ahead on a client's connection while reading is paused: enough for a dozen requests without a body and their
/// cancellations.
pub const READ_AHEAD_BYTES: usize = 4 * 1024;
/// Cancellations without effect on one connection that are skipped before other connections run.
pub const SKIPPED_MESSAGES_PER_TURN: usize = 64;
/// While fewer bytes than this may be read ahead, none are: reads of a few bytes each would cost more than what they bring.
pub const MIN_READ_AHEAD_BYTES: usize = READ_AHEAD_BYTES / 2;
/// Messages read ahead on a client's connection while reading is paused.
pub const READ_AHEAD_MESSAGES: usize = MAX_OPEN_REQUESTS_PER_CLIENT;
/// Messages of one client that are decoded and not yet in the owner's queue, while the memory of requests is exhausted or the queue is more
/// than half full; otherwise [`MAX_OPEN_REQUESTS_PER_CLIENT`]. Further bytes stay undecoded, and no more are read; cancellations among them
/// take effect all the same, so that no request is queued ahead of its own.
pub const MAX_DECODED_WHEN_EXHAUSTED: usize = 2;
/// Cancellations of one client that take effect ahead of the queue to the owner: as many as one read can bring with their requests.
pub const MAX_CANCELLATIONS_AHEAD: usize = 128;
/// Inputs that each queue to the owner holds before its senders wait.
pub const INPUT_QUEUE_CAPACITY: usize = 256;
/// How often a paused operation is tried again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Paused connections that are checked within one [`RETRY_INTERVAL`]; with more of them, each is checked more rarely.
pub const READERS_PER_RETRY_INTERVAL: usize = 64;
/// The longest time between two checks of a paused connection: shorter than the 0.1 s within which attempts end whose client has left.
pub const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(50);

// Clients.

/// Requests open on one client's connection.
pub const MAX_OPEN_REQUESTS_PER_CLIENT: usize = 32;
/// Recent tags that a client's connection remembers, to reject a tag used twice.
pub const RECENT_TAGS_PER_CLIENT: usize = 32;
/// Early cancellations within [`CANCELLATION_WINDOW_MS`], without an answer between them, after which a client's requests are rejected for
/// as long: three times [`MAX_OPEN_REQUESTS_PER_CLIENT`].
pub const MAX_EARLY_CANCELLATIONS: u32 = 96;
/// See [`MAX_EARLY_CANCELLATIONS`].
pub const CANCELLATION_WINDOW_MS: Ms = 1_000.0;
/// A cancellation is early before this share of the time for which the client would wait. Clients in use wait for half of it and more.
pub const EARLY_CANCELLATION_SHARE: f64 = 0.25;
/// Malformed requests that end a client's connection.
pub const MAX_MALFORMED_REQUESTS: u32 = 16;
/// While more bytes than this wait to be written to a client, nothing is read from it.
pub const CLIENT_UNSENT_MAX_BYTES: usize = 1024 * 1024;
/// While more messages than this wait to be written to a client, nothing is read from it.
pub const MAX_UNSENT_MESSAGES: usize = 2 * MAX_OPEN_REQUESTS_PER_CLIENT;
/// As [`MAX_UNSENT_MESSAGES`], while responses use so much memory that load is shed.
pub const MAX_UNSENT_UNDER_PRESSURE: usize = 4;
/// A client that takes no byte of an answer for this long is disconnected. The time is long, since all requests on the connection end too.
pub const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// As [`CLIENT_WRITE_TIMEOUT`], during shutdown: shorter, so that the process ends in time.
pub const CLIENT_WRITE_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_secs(2);
/// A client's connection without open requests is closed after this long without a message or an answer.
pub const CLIENT_IDLE_MS: Ms = 6_000.0;

// Accepting.

/// Connections that wait in the listener's backlog. A connect that does not fit is retried by the client's kernel only after a second.
pub const LISTEN_BACKLOG: i32 = 1024;
/// Connections accepted before other tasks run.
pub const ACCEPTS_PER_TURN: usize = 32;
/// Wait after a failed accept, for example when the process has no free descriptor.
pub const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a bind is retried while the previous process still has the address.
pub const BIND_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Without a free slot, one client in this many is closed (see `Clients::least_active`): first those that sent nothing within
/// [`RECLAIM_SILENT_MS`] of connecting, or were idle for [`RECLAIM_IDLE_MS`].
pub const SLOT_RECLAIM_DIVISOR: usize = 8;
/// See [`SLOT_RECLAIM_DIVISOR`].
pub const RECLAIM_SILENT_MS: Ms = 100.0;
/// See [`SLOT_RECLAIM_DIVISOR`].
pub const RECLAIM_IDLE_MS: Ms = 4_200.0;
/// Where those are too few, clients with all answers written that were idle for this long are closed, longest idle first.
pub const RECLAIM_SERVED_MS: Ms = 50.0;

// Closing.

/// A client sends a request again that it sent at most this long before the close of its connection.
pub const CLOSE_CROSSING: Duration = Duration::from_millis(50);

/// After the router has shut down its side of a client's connection, received bytes are discarded until the client closes, for at most this
/// long: closing a socket with unread bytes resets it, which drops answers that the client has not read.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// As [`LINGER_TIMEOUT`], while others wait for the slot. The connection's answers were written at least [`RECLAIM_SERVED_MS`] ago.
pub const LINGER_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(50);
/// The most bytes that are discarded from one connection.
pub const LINGER_MAX_BYTES: usize = 1024 * 1024;

// Servers.

/// Connections to servers use one descriptor in this many; the others are for clients.
pub const SERVER_DESCRIPTOR_DIVISOR: u64 = 3;
/// Descriptors of the process itself: standard streams 3, reactor 3, signals 6, listener 1, change log 2, and one for a file.
pub const RESERVED_DESCRIPTORS: u64 = 16;
/// The most connections to one process of a server; more where the settings let each carry fewer attempts than [`SHARED_STREAMS`].
pub const MAX_CONNECTIONS_PER_SERVER: usize = 8;
/// Open attempts on every connection to a process at which another connection is opened, since a lost connection ends all attempts on it.
pub const SHARED_STREAMS: usize = 3;
/// Wait between two connects while the machine lacks a resource such as descriptors or ports.
pub const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A connection without open attempts that answered within this time is validated; otherwise it is probed (`alive`) before a request is
/// written.
pub const VALIDATED_FOR_MS: Ms = 50.0;
/// Idle connections are closed after this share of the configured idle time, so that the server never closes one in use.
pub const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// A connection with an open attempt on which nothing was received for this long takes no more attempts.
pub const SILENT_CONNECTION_MS: Ms = 800.0;
/// A connection whose attempts were all cancelled is closed when nothing was received for this long.
pub const ABANDONED_CONNECTION_MS: Ms = 300.0;
/// The connection to a server that takes no byte for this long is closed.
pub const SERVER_WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// A cancelled attempt counts as ended if its server has not confirmed the `abort` within this.
pub const ABORT_CONFIRM_TIMEOUT_MS: Ms = 400.0;

// Memory. Shares of the memory for messages are of what `memory_budget::MemoryPlan` leaves for them.

/// What the process needs when it reports nothing about its memory.
pub const UNKNOWN_PROCESS_BYTES: usize = 16_000_000;
/// Growth of the process after its start that no connection or message causes: code that is loaded when it first runs, and the tables of the
/// decision module.
pub const PROCESS_GROWTH_BYTES: usize = 4_000_000;
/// The memory of a client's connection: its task and state, [`UNRESERVED_MESSAGE_BYTES`] of a message, and a few small messages
/// ([`MAX_DECODED_WHEN_EXHAUSTED`], [`MAX_UNSENT_UNDER_PRESSURE`]).
pub const CLIENT_CONNECTION_BYTES: usize = 12_000;
/// The memory of a connection to a server.
pub const SERVER_CONNECTION_BYTES: usize = 6_000;
/// The shares of the memory beyond the process that connections may use; with less memory, fewer connections are accepted or opened.
pub const CLIENT_CONNECTIONS_MEMORY_SHARE: f64 = 0.6;
/// See [`CLIENT_CONNECTIONS_MEMORY_SHARE`].
pub const SERVER_CONNECTIONS_MEMORY_SHARE: f64 = 0.2;
/// The fewest connections, however little memory is configured.
pub const MIN_CLIENT_CONNECTIONS: usize = 128;
/// See [`MIN_CLIENT_CONNECTIONS`].
pub const MIN_SERVER_CONNECTIONS: usize = 64;
/// The share of the memory beyond process and connections that messages may use. The allocator needs the rest: freed blocks of one size don't
/// serve all others.
pub const MESSAGES_MEMORY_SHARE: f64 = 0.8;
/// The least memory for messages, unless less is configured in all: several times the longest response.
pub const MIN_MESSAGE_BYTES: usize = 2_500_000;
/// A message whose bulk strings have up to this many bytes is buffered in the memory of its connection; a longer one needs a reservation.
pub const UNRESERVED_MESSAGE_BYTES: usize = 2 * 1024;
/// The memory of a decoded message in the owner's queue; that of a request is counted beside it.
pub const QUEUED_INPUT_BYTES: usize = 256;
/// The memory of an open request, beside its bytes: its entries in the tables of the owner and of the decision module, its attempts, timers
/// and responses' conditions.
pub const OPEN_REQUEST_BYTES: usize = 2_048;
/// The memory of an outgoing message, beside its bytes.
pub const OUTGOING_MESSAGE_BYTES: usize = 256;
/// While open requests use more than this share, clients are not read, for at most [`CLIENT_READ_PAUSE_MAX`].
pub const REQUEST_DELAY_MEMORY_SHARE: f64 = 0.15;
/// When requests use more than this share, further requests with a body are rejected, and bodies that arrive are discarded.
pub const REQUEST_SHED_MEMORY_SHARE: f64 = 0.2;
/// When requests use more than this share, all further requests are rejected. The bodies below [`REQUEST_SHED_MEMORY_SHARE`] may need as much
/// again for their attempts' messages.
pub const REQUEST_STOP_MEMORY_SHARE: f64 = 0.3;
/// The share that partial messages of clients may use: less than [`REQUEST_SHED_MEMORY_SHARE`], so that clients that don't complete their
/// messages leave memory for those that do.
pub const PARTIAL_REQUEST_MEMORY_SHARE: f64 = 0.15;
/// When partial messages use half of their share, the body of a message that has been partial for this long is discarded.
pub const PARTIAL_MESSAGE_HOLD: Duration = Duration::from_millis(200);
/// When buffered responses use more than this share, unsent answers are replaced by failures, first those of the client with the
/// most unsent bytes, so that slow readers don't exhaust the router.
pub const RESPONSE_SHED_MEMORY_SHARE: f64 = 0.4;
/// While buffered responses use more than this share, no further answer of a server is begun to be read, clients are not read for at most
/// [`CLIENT_READ_PAUSE_MAX`], and further requests are rejected.
pub const RESPONSE_STOP_MEMORY_SHARE: f64 = 0.5;
/// The longest time for which a client's requests may lie unread for want of memory: short, since most are small, and their deadlines are not
/// known before they are read.
pub const CLIENT_READ_PAUSE_MAX: Duration = Duration::from_millis(50);
/// The longest time for which a request may wait for the memory of its body: half of the 0.5 s after its deadline at which it counts as lost.
pub const CLIENT_MEMORY_PAUSE_MAX: Duration = Duration::from_millis(250);

// Change log.

/// The change log sends a frame each second; after this long without one a second connection is opened, and replaces the first with its
/// first frame.
pub const CHANGELOG_HEDGE_AFTER: Duration = Duration::from_millis(1250);
/// Time in which a second connection must be established.
pub const CHANGELOG_CONNECT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time from then until its first frame; multiplied by [`CHANGELOG_FIRST_FRAME_TIMEOUT_GROWTH`] up to
/// [`CHANGELOG_FIRST_FRAME_TIMEOUT_MAX`] each time that there is none, since the change log may be slow.
pub const CHANGELOG_FIRST_FRAME_TIMEOUT_MIN: Duration = Duration::from_millis(1250);
/// See [`CHANGELOG_FIRST_FRAME_TIMEOUT_MIN`].
pub const CHANGELOG_FIRST_FRAME_TIMEOUT_GROWTH: u32 = 4;
/// See [`CHANGELOG_FIRST_FRAME_TIMEOUT_MIN`]. Longer than the 7 s within which an event counts as notified.
pub const CHANGELOG_FIRST_FRAME_TIMEOUT_MAX: Duration = Duration::from_millis(8000);
/// When an empty frame names an event that was not sent, a second connection is opened after this, since the event may be in transit;
/// doubled up to [`CHANGELOG_RECHECK_MAX`] each time that the event is still missing.
pub const CHANGELOG_RECHECK_MIN: Duration = Duration::from_millis(100);
/// Of the 7 s within which an event counts as notified, this leaves one second until the next empty frame, one to connect and one to spare.
pub const CHANGELOG_RECHECK_MAX: Duration = Duration::from_millis(4000);
/// The first backoff between connections, doubled up to [`CHANGELOG_BACKOFF_MAX`].
pub const CHANGELOG_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// See [`CHANGELOG_BACKOFF_MIN`].
pub const CHANGELOG_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// The longest frame, without its length field.
pub const CHANGELOG_FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

// Shutdown.

/// After SIGTERM clients are accepted and read for this long: 0.4 s of new connections, 0.2 s of requests on open ones, 0.1 s to spare.
pub const SHUTDOWN_ACCEPT_MS: Ms = 700.0;
/// During shutdown a partial message is waited for until it is this old.
pub const PARTIAL_MESSAGE_AT_SHUTDOWN: Duration = Duration::from_millis(300);
/// For this long after [`SHUTDOWN_ACCEPT_MS`], connections without an open request are closed only between two messages; a client that
/// leaves no gap between its messages is then disconnected.
pub const SHUTDOWN_IDLE_CLOSE_MS: Ms = 300.0;
/// The process ends when no connection was open for this long after [`SHUTDOWN_ACCEPT_MS`].
pub const SHUTDOWN_QUIET_MS: Ms = 60.0;
