//! The sockets of a run: the nodes' listeners for each router, the change logs, and the clients' connections.
//!
//! They pass messages on and decide nothing.

use self::frame_kind::HEARTBEAT;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use basaltgw_resp::{encode, Decoder, MessageLimits};
use basaltgw_simulator::fleet::NodeIndex;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of a connection, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What the tasks of the sockets report to the owner of the run.
pub enum Input {
    /// A router sent a message to a node.
    NodeMessage {
        /// The index of the router.
        router: usize,
        /// The node.
        node: NodeIndex,
        /// The connection.
        conn: ConnId,
        /// Messages to the router on that connection.
        outgoing: Sender<Vec<u8>>,
        /// The elements of the message.
        elements: Vec<Vec<u8>>,
    },
    /// A connection between a router and a node was closed.
    NodeConnectionClosed(ConnId),
    /// A router answered a client.
    ClientAnswer {
        /// The index of the router.
        router: usize,
        /// The client's connection.
        conn: ConnId,
        /// The elements of the message.
        elements: Vec<Vec<u8>>,
    },
    /// A client's connection was closed.
    ClientConnectionClosed {
        /// The index of the router.
        router: usize,
        /// The connection.
        conn: ConnId,
    },
}

/// The size limits of a message from a router.
const MESSAGE_LIMITS: MessageLimits = MessageLimits { max_elements: 8, max_bytes: 300_000 };
/// The size of the buffer that a connection is read into.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The time between two checks of the state of a node or of a change log.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The most messages that wait to be written on a connection.
const MAX_UNSENT_MESSAGES: usize = 4_096;
/// The number of checks per heartbeat of a change log: a heartbeat each half second.
const POLLS_PER_HEARTBEAT: u32 = 50;
/// The time after which a misbehaving client disconnects.
const MISBEHAVING_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a node as far as its sockets need it.
#[derive(Default)]
pub struct NodeStatus {
    /// Whether the node accepts connections.
    pub accepts: Cell<bool>,
    /// Whether the node answers the probe `alive`.
    pub answers_probes: Cell<bool>,
    /// Changed to close all connections of the node, as when its process dies.
    pub connection_epoch: Cell<u64>,
}

impl NodeStatus {
    /// Closes all connections of the node.
    pub fn close_connections(&self) {
        self.connection_epoch.set(self.connection_epoch.get() + 1);
    }
}

/// What the tasks of all sockets share.
#[derive(Clone)]
pub struct Net {
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Inputs to the owner of the run.
    pub inputs: Sender<Input>,
    /// The number of connections so far.
    pub connections: Rc<Cell<u64>>,
}

impl Net {
    fn next_id(&self) -> ConnId {
        self.connections.set(self.connections.get() + 1);
        ConnId(self.connections.get())
    }
}

/// Serves a router's connections to a node while the node accepts them; otherwise connections are refused.
pub async fn serve_node(
    net: Net,
    router: usize,
    node: NodeIndex,
    address: SocketAddr,
    first_listener: TcpListener,
    status: Rc<NodeStatus>,
) {
    let mut first_listener = Some(first_listener);
    loop {
        while !status.accepts.get() {
            first_listener = None;
            Timer::after(POLL_INTERVAL).await;
        }
        let listener = first_listener.take().map_or_else(|| Async::<TcpListener>::bind(address), Async::new);
        let Ok(listener) = listener else {
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        let epoch = status.connection_epoch.get();
        loop {
            let accepted = future::or(async { Some(listener.accept().await) }, async {
                Timer::after(POLL_INTERVAL).await;
                None
            });
            let accepted = accepted.await;
            if status.connection_epoch.get() != epoch || !status.accepts.get() {
                break;
            }
            if let Some(Ok((socket, _))) = accepted {
                let task = serve_router(net.clone(), router, node, socket, Rc::clone(&status));
                net.executor.spawn(task).detach();
            }
        }
    }
}

/// Serves a router's connection to a node until either side closes it.
async fn serve_router(
    net: Net,
    router: usize,
    node: NodeIndex,
    socket: Async<TcpStream>,
    status: Rc<NodeStatus>,
) {
    let (conn, epoch) = (net.next_id(), status.connection_epoch.get());
    let (outgoing, unsent) = async_channel::bounded::<Vec<u8>>(MAX_UNSENT_MESSAGES);
    let _ = socket.get_ref().set_nodelay(true);
    let node_closes = async {
        while status.connection_epoch.get() == epoch {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let reads = async {
        let mut decoder = Decoder::new(MESSAGE_LIMITS);
        let mut chunk = vec![0; READ_BUFFER_BYTES];
        let mut socket = &socket;
        while let Ok(n @ 1..) = socket.read(&mut chunk).await {
            decoder.feed(&chunk[..n]);
            while let Ok(Some(elements)) = decoder.next_message() {
                if elements.first().is_some_and(|name| name == b"alive") {
                    if let Some(id) = elements.get(1).filter(|_| status.answers_probes.get()) {
                        let _ = outgoing.send(encode(&[id, b"yes"])).await;
                    }
                    continue;
                }
                let outgoing = outgoing.clone();
                let input = Input::NodeMessage { router, node, conn, outgoing, elements };
                if net.inputs.send(input).await.is_err() {
                    return;
                }
            }
        }
    };
    future::or(node_closes, future::or(reads, write_messages(&socket, unsent))).await;
    let _ = net.inputs.send(Input::NodeConnectionClosed(conn)).await;
}

/// Writes the messages sent into a channel; an empty message closes the connection.
async fn write_messages(mut socket: &Async<TcpStream>, unsent: Receiver<Vec<u8>>) {
    while let Ok(bytes) = unsent.recv().await {
        if bytes.is_empty() || socket.write_all(&bytes).await.is_err() {
            return;
        }
    }
    future::pending().await
}

/// Connects a client to a router; messages sent into the channel are written. `None` if the connection fails.
pub async fn connect_client(
    net: Net,
    router: usize,
    address: SocketAddr,
) -> Option<(ConnId, Sender<Vec<u8>>)> {
    let socket = Async::<TcpStream>::connect(address).await.ok()?;
    let _ = socket.get_ref().set_nodelay(true);
    let conn = net.next_id();
    let (outgoing, unsent) = async_channel::bounded::<Vec<u8>>(MAX_UNSENT_MESSAGES);
    let executor = Rc::clone(&net.executor);
    let task = async move {
        let reads = async {
            let mut decoder = Decoder::new(MESSAGE_LIMITS);
            let mut chunk = vec![0; READ_BUFFER_BYTES];
            let mut socket = &socket;
            while let Ok(n @ 1..) = socket.read(&mut chunk).await {
                decoder.feed(&chunk[..n]);
                while let Ok(Some(elements)) = decoder.next_message() {
                    if net.inputs.send(Input::ClientAnswer { router, conn, elements }).await.is_err() {
                        return;
                    }
                }
            }
        };
        future::or(reads, write_messages(&socket, unsent)).await;
        let _ = net.inputs.send(Input::ClientConnectionClosed { router, conn }).await;
    };
    executor.spawn(task).detach();
    Some((conn, outgoing))
}

/// How a misbehaving client violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehaviour {
    /// It sends bytes that are not a message.
    Garbage,
    /// It sends a part of a request.
    PartialRequest,
    /// It sends nothing.
    Silence,
    /// It writes the longest request a few bytes at a time.
    SlowWrite,
    /// It stops shortly before the end of the longest request.
    PartialWrite,
    /// It sends many probes and reads no answer.
    UnreadProbes,
}

/// The longest body of a request.
const LONGEST_BODY_BYTES: usize = 48_000;
/// The bytes of the longest request that [`Misbehaviour::PartialWrite`] does not send.
const MISSING_BYTES: usize = 100;
/// The bytes that [`Misbehaviour::SlowWrite`] writes at a time, and the time between two such writes.
const SLOW_WRITE_BYTES: usize = 500;
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// The number of probes of [`Misbehaviour::UnreadProbes`].
const UNREAD_PROBES: usize = 5_000;

/// What a misbehaving client sends.
fn misbehaving_bytes(misbehaviour: Misbehaviour) -> Vec<u8> {
    let longest_request = || {
        let fields = b"i=00000000feedf00d,d=3000,o=00000000feedf00d,nth=0,batch=1";
        encode(&[b"DO", b"1", b"no-such-class", fields, &[b'x'; LONGEST_BODY_BYTES]])
    };
    match misbehaviour {
        Misbehaviour::Garbage => b"GET / HTTP/1.1\r\nHost: router\r\n\r\n".to_vec(),
        Misbehaviour::PartialRequest => b"*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$5\r\npa".to_vec(),
        Misbehaviour::Silence => Vec::new(),
        Misbehaviour::SlowWrite => longest_request(),
        Misbehaviour::PartialWrite => {
            let mut request = longest_request();
            request.truncate(request.len() - MISSING_BYTES);
            request
        }
        Misbehaviour::UnreadProbes => encode(&[b"PING", b"1", b""]).repeat(UNREAD_PROBES),
    }
}

/// Connects a misbehaving client; it disconnects after [`MISBEHAVING_CLIENT_TIMEOUT`], unless the router closes the connection earlier.
pub async fn run_misbehaving_client(address: SocketAddr, misbehaviour: Misbehaviour) {
    let Ok(mut socket) = Async::<TcpStream>::connect(address).await else { return };
    let bytes = misbehaving_bytes(misbehaviour);
    let closed = async {
        match misbehaviour {
            Misbehaviour::SlowWrite => {
                for piece in bytes.chunks(SLOW_WRITE_BYTES) {
                    let _ = socket.write_all(piece).await;
                    Timer::after(SLOW_WRITE_INTERVAL).await;
                }
            }
            _ => drop(socket.write_all(&bytes).await),
        }
        if misbehaviour == Misbehaviour::UnreadProbes {
            future::pending::<()>().await;
        }
        let mut chunk = [0; 1024];
        while socket.read(&mut chunk).await.is_ok_and(|n| n > 0) {}
    };
    future::or(closed, async {
        Timer::after(MISBEHAVING_CLIENT_TIMEOUT).await;
    })
    .await;
}

/// The outages of a change log.
#[derive(Debug, Default)]
pub struct ChangeLogOutage {
    /// Until then it sends nothing on open connections.
    pub silent_until: Cell<Option<Instant>>,
    /// Until then it closes connections at once.
    pub down_until: Cell<Option<Instant>>,
}

impl ChangeLogOutage {
    fn is_before(end: &Cell<Option<Instant>>) -> bool {
        end.get().is_some_and(|end| Instant::now() < end)
    }

    fn is_silent(&self) -> bool {
        Self::is_before(&self.silent_until)
    }

    fn is_down(&self) -> bool {
        Self::is_before(&self.down_until)
    }
}

/// The kinds of the change log's frames.
pub mod frame_kind {
    /// No event; the frame carries the number of the newest one.
    pub const HEARTBEAT: u8 = 0;
    /// The complete endpoint list.
    pub const COMPLETE_LIST: u8 = 1;
    /// Changes of the endpoint list.
    pub const LIST_UPDATE: u8 = 2;
    /// The purge of an object.
    pub const PURGE_OBJECT: u8 = 3;
    /// The purge of a group.
    pub const PURGE_GROUP: u8 = 4;
}

/// Encoded events with their numbers.
pub type Frames = Rc<RefCell<Vec<(u64, Vec<u8>)>>>;

/// The bytes of a frame's event number and kind, which count in its length.
const FRAME_HEADER_BYTES: u32 = 9;

/// Encodes a frame of the change log; `kind` is one of [`frame_kind`], or unknown to routers.
pub fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (FRAME_HEADER_BYTES + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

/// Serves the change log to one router: each connection is sent the events after the position that it names, and heartbeats.
pub async fn serve_change_log(net: Net, listener: TcpListener, frames: Frames, outage: Rc<ChangeLogOutage>) {
    let Ok(listener) = Async::new(listener) else { return };
    while let Ok((socket, _)) = listener.accept().await {
        if outage.is_down() {
            continue;
        }
        let task = send_events(socket, Rc::clone(&frames), Rc::clone(&outage));
        net.executor.spawn(task).detach();
    }
}

/// Sends events and heartbeats on one connection until the change log is down or the router closes it.
async fn send_events(socket: Async<TcpStream>, frames: Frames, outage: Rc<ChangeLogOutage>) {
    let (mut position, mut socket) = ([0; 8], &socket);
    if socket.read_exact(&mut position).await.is_err() {
        return;
    }
    let (mut last, mut polls) = (u64::from_be_bytes(position), 0u32);
    while !outage.is_down() {
        if outage.is_silent() {
            Timer::after(POLL_INTERVAL).await;
            continue;
        }
        let new: Vec<(u64, Vec<u8>)> = frames.borrow().iter().filter(|f| f.0 > last).cloned().collect();
        for (number, bytes) in new {
            last = number;
            if socket.write_all(&bytes).await.is_err() {
                return;
            }
        }
        polls += 1;
        let heartbeat_due = polls % POLLS_PER_HEARTBEAT == 0;
        if heartbeat_due && socket.write_all(&frame(last, HEARTBEAT, &[])).await.is_err() {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
