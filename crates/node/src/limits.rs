//! The transport's limits, all of them. None decides where, whether or how often something is sent.

use crate::inbox::Terms;
use crate::resp::Bounds;
use basaltgw::api::Ms;
use std::time::Duration;

/// Clients: a write carries up to 48,000 bytes. One that says nothing, or sends a message without an end, holds its place for no
/// longer than this; those in service ask as soon as they are connected, and their messages are there within one round trip.
pub const FROM_CLIENT: Terms = Terms {
    bounds: Bounds { words: 6, bytes: 56 * 1024 },
    first: Some(Duration::from_millis(2000)),
    whole: Duration::from_millis(2000),
    gap: Duration::from_millis(2000),
    watched: true,
};
/// Caches: an object holds up to 240,000 bytes. Attempts have their own time-outs, which end them earlier where clients wait for less;
/// what else is open on a connection that stops in mid-answer waits for no longer than its own.
pub const FROM_CACHE: Terms = Terms {
    bounds: Bounds { words: 6, bytes: 256 * 1024 },
    first: None,
    whole: Duration::from_millis(5000),
    gap: Duration::from_millis(250),
    // What it said before it closed still counts.
    watched: false,
};
/// On sockets the rules' limits of time are longer by this.
pub const SOCKET_SLACK_MS: Ms = 50.0;
/// The body of a write.
pub const BODY: usize = 48_000;
/// Groups are numbered from 0 to this.
pub const MOST_GROUP: u64 = 255;
/// Parts beyond this, and sizes beyond this many KB, are taken for nonsense: an object of 240,000 bytes a part would have TBs.
pub const MOST_PART: u64 = 9_999_999;
/// See [`MOST_PART`].
pub const MOST_KB: f64 = 1e7;
/// No client waits for an answer for longer than ten minutes.
pub const LONGEST_WAIT_MS: Ms = 600_000.0;
/// Bytes of the tag of a copy.
pub const COPY_TAG: usize = 64;
/// Bytes read at once.
pub const READ_BYTES: usize = 16 * 1024;
/// While a client's reading is held up, so many bytes of it are read ahead, for what it takes back: a dozen and more requests without a
/// body, and over all clients some megabytes at the most.
pub const AHEAD_BYTES: usize = 4 * 1024;
/// And nothing more once so many of its messages are kept: a client in service has no more requests open.
pub const AHEAD_MESSAGES: usize = OPEN_PER_CLIENT;
/// What a client took back is marked ahead of the queue for so many of its requests at once: all that one piece can hold with its
/// requests.
pub const UNHEEDED_MOST: usize = 128;
/// Inputs that wait for the owner before sockets have to wait.
pub const QUEUE: usize = 256;
/// Requests open on one client's connection.
pub const OPEN_PER_CLIENT: usize = 32;
/// Tags that a client's connection remembers as answered: a number is used once.
pub const TAGS_KEPT: usize = 32;
/// So many requests taken back within [`UNDONE_WINDOW_MS`] without an answer between them end a client's connection: three times what it may
/// have open. Clients in service that lose patience while all servers hang take back as many, but in a longer time.
pub const UNDONE_MOST: u32 = 96;
/// See [`UNDONE_MOST`].
pub const UNDONE_WINDOW_MS: Ms = 1_000.0;
/// So many requests that could not be understood end a client's connection.
pub const UNREADABLE_MOST: u32 = 16;
/// A server answers the question behind an `abort` within a round trip; one that has not after this is silent, and what was given up
/// there is held to be over: it may have answered nothing else either, and the client waits. A client that waits for less has its
/// answer in its own time all the same; only the request's next attempt is not made.
pub const LEAVING_MS: Ms = 400.0;
/// Servers hold one descriptor in so many; what is left is clients'. Those in service hold a third themselves.
pub const SERVER_SHARE: u64 = 3;
/// Connections that wait to be accepted. Where they don't fit, a client tries again only after a second.
pub const BACKLOG: i32 = 1024;
/// Accepted in a row before others have their turn.
pub const ACCEPT_ROW: usize = 32;
/// Without a free place, one client in so many makes room (see `Owner::make_room`), of those that have said nothing for
/// [`ROOM_SILENT_MS`] since they connected, or that have been idle for [`ROOM_IDLE_MS`], when clients in service would have gone.
pub const ROOM_SHARE: usize = 8;
/// See [`ROOM_SHARE`].
pub const ROOM_SILENT_MS: Ms = 100.0;
/// See [`ROOM_SHARE`].
pub const ROOM_IDLE_MS: Ms = 4_200.0;
/// Where those are not enough, the ones that have had their answers and been idle for longest make room, if for this long.
pub const ROOM_REST_MS: Ms = 50.0;
/// Descriptors that are neither clients' nor servers': standard streams 3, reactor 3, signals 6, listener 1, change log 2 at most, and one
/// for a file that is read.
pub const OWN_DESCRIPTORS: u64 = 16;
/// The listener's address may still be held by the process before; it is tried for this long.
pub const BIND: Duration = Duration::from_secs(5);
/// Connections to one process of a server; more where the settings let each carry fewer than [`SHARED`].
pub const CONNS_PER_SERVER: usize = 8;
/// While every connection to a process carries so many, another is opened: what breaks one off takes all that is open on it.
pub const SHARED: usize = 3;
/// A connection to a server on which nothing is open is asked whether it works (`alive`) before a request is written to it,
/// unless it answered within this time.
pub const PROVEN_MS: Ms = 50.0;
/// Of its idle time a connection to a server uses this share, so that the server never closes one in use.
pub const IDLE_SHARE: f64 = 0.8;
/// A connection on which something was asked and nothing at all came for this long takes no more requests. Where clients wait
/// for less, all that is open on it is given up before, and it is closed after [`ABANDONED_MS`] unless more is asked meanwhile.
pub const SILENT_MS: Ms = 800.0;
/// One on which all that was asked has been given up, and nothing came for this long, is closed: the next attempt learns by a
/// new one whether the machine is there.
pub const ABANDONED_MS: Ms = 300.0;
/// No more is read from a client while so many bytes wait to be written to it.
pub const CLIENT_UNSENT: usize = 1024 * 1024;
/// While messages hold more than this share of the memory, the client for which most waits has its waiting answers failed:
/// slow readers must not cost others their router.
pub const HELD_SHARE: f64 = 0.4;
/// While they hold more than this share all the same, nothing more is read.
pub const HELD_STOP_SHARE: f64 = 0.5;
/// How often what had to wait is tried again.
pub const WAIT: Duration = Duration::from_millis(5);
/// A client that takes no byte of an answer for so long is gone. Long, since what is open on its connection goes with it;
/// until then its answers wait, or are failed for want of memory.
pub const CLIENT_STALLED: Duration = Duration::from_secs(30);
/// At the end of the process it is gone after this, so that the process can end in order by itself.
pub const CLIENT_STALLED_AT_END: Duration = Duration::from_secs(2);
/// A server that takes no byte for so long is gone.
pub const SERVER_STALLED: Duration = Duration::from_secs(6);
/// A client's connection on which nothing is open and nothing came for so long is closed: clients in service close their own
/// after 4 s, so that only those are met that vanished or keep theirs for good.
pub const CLIENT_IDLE_MS: Ms = 6_000.0;
/// Once our side of a client's connection is shut, what comes is discarded until the client's own end, for no longer than this: a close
/// over bytes unread is a reset, which takes what the client has not read of its answers. A client that takes its answers at once ends
/// within a round trip; the bound is short of the shortest deadlines, and a place is held for no longer.
pub const LINGER: Duration = Duration::from_millis(300);
/// Where others wait for the place, only for as long as clients in service send what crosses a close: its answers were written
/// [`ROOM_REST_MS`] ago.
pub const LINGER_FOR_ROOM: Duration = Duration::from_millis(50);
/// And no more is discarded than this.
pub const LINGER_BYTES: usize = 1024 * 1024;
/// Between two tries to connect while the machine is short of something.
pub const CONNECT_REST: Duration = Duration::from_millis(20);
/// After a failed accept, such as for want of descriptors, the listener rests for this.
pub const ACCEPT_REST: Duration = Duration::from_millis(20);
/// The change log sends a frame each second; after so long without one another connection is tried beside, which takes over with its
/// first. What a watch that stopped would have told counts as told 4 s later: two more that stay silent still fit in.
pub const LOG_DOUBT: Duration = Duration::from_millis(1250);
/// After so long without a frame a connection is given up.
pub const LOG_SILENT: Duration = Duration::from_millis(2500);
/// Time for its connection to come up; another is tried beside it meanwhile.
pub const LOG_CONNECT: Duration = Duration::from_millis(2000);
/// A log whose empty frame names an event that it has not told is asked anew after this, since the event may just be on its way;
/// doubled up to [`LOG_ASK_MOST`] for each time in vain.
pub const LOG_ASK: Duration = Duration::from_millis(100);
/// With a second until the next empty frame, one to connect and one to spare, what is held back is found in the 7 s after which it
/// counts as told.
pub const LOG_ASK_MOST: Duration = Duration::from_millis(4000);
/// Rest before it is tried again, doubled up to the second.
pub const LOG_REST: Duration = Duration::from_millis(50);
/// See [`LOG_REST`].
pub const LOG_REST_MOST: Duration = Duration::from_millis(800);
/// The longest frame.
pub const LOG_FRAME: usize = 4 * 1024 * 1024;
/// After SIGTERM clients are accepted and read for this long: 0.4 s of new connections, 0.2 s of requests on open ones,
/// and 0.1 s to spare.
pub const END_ACCEPT_MS: Ms = 700.0;
/// At the end a message that has begun has to be whole after this.
pub const HALF_AT_END: Duration = Duration::from_millis(300);
/// And when nothing has been open for this long after that, the process ends.
pub const END_QUIET_MS: Ms = 60.0;
