//! Sockets: listeners of nodes for each router, the change logs, clients' connections. They carry and decide nothing.

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

/// A connection, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What sockets tell the owner.
pub enum Input {
    /// A router sent a node a message.
    Asked {
        /// Which router.
        router: usize,
        /// Which node.
        node: NodeIndex,
        /// On which connection.
        conn: ConnId,
        /// What is sent here is written back.
        out: Sender<Vec<u8>>,
        /// The message.
        words: Vec<Vec<u8>>,
    },
    /// A router's connection to a node is over.
    Closed(ConnId),
    /// A router answered a client.
    Answer {
        /// Which router.
        router: usize,
        /// On which connection.
        conn: ConnId,
        /// The message.
        words: Vec<Vec<u8>>,
    },
    /// A client's connection is over.
    ClientOver {
        /// To which router.
        router: usize,
        /// Which connection.
        conn: ConnId,
    },
}

const BOUNDS: MessageLimits = MessageLimits { max_elements: 8, max_bytes: 300_000 };
/// How often a task looks whether its node still runs.
const LOOK: Duration = Duration::from_millis(10);
/// Messages that wait to be written on a connection.
const UNSENT: usize = 4_096;

/// A node as its sockets see it: its life ends when it dies.
#[derive(Default)]
pub struct Status {
    /// It takes connections.
    pub up: Cell<bool>,
    /// It answers `alive`.
    pub talks: Cell<bool>,
    /// Counted up with each death.
    pub life: Cell<u64>,
}

/// What all sockets share.
#[derive(Clone)]
pub struct Net {
    /// Where they run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// To the owner.
    pub queue: Sender<Input>,
    /// Connections so far.
    pub conns: Rc<Cell<u64>>,
}

impl Net {
    fn next(&self) -> ConnId {
        self.conns.set(self.conns.get() + 1);
        ConnId(self.conns.get())
    }
}

/// Takes a router's connections to a node for as long as that runs; while it does not, they are refused.
pub async fn serve(
    net: Net,
    router: usize,
    node: NodeIndex,
    at: SocketAddr,
    first: TcpListener,
    status: Rc<Status>,
) {
    let mut first = Some(first);
    loop {
        while !status.up.get() {
            first = None;
            Timer::after(LOOK).await;
        }
        let listener = match first.take().map_or_else(|| Async::<TcpListener>::bind(at), Async::new) {
            Ok(listener) => listener,
            Err(_) => {
                Timer::after(LOOK).await;
                continue;
            }
        };
        let life = status.life.get();
        loop {
            let next = future::or(async { Some(listener.accept().await) }, async {
                Timer::after(LOOK).await;
                None
            });
            let next = next.await;
            if status.life.get() != life || !status.up.get() {
                break;
            }
            if let Some(Ok((socket, _))) = next {
                let task = connection(net.clone(), router, node, socket, Rc::clone(&status));
                net.executor.spawn(task).detach();
            }
        }
    }
}

async fn connection(net: Net, router: usize, node: NodeIndex, socket: Async<TcpStream>, status: Rc<Status>) {
    let (conn, life) = (net.next(), status.life.get());
    let (out, written) = async_channel::bounded::<Vec<u8>>(UNSENT);
    let _ = socket.get_ref().set_nodelay(true);
    let dies = async {
        while status.life.get() == life {
            Timer::after(LOOK).await;
        }
    };
    let reads = async {
        let mut decoder = Decoder::new(BOUNDS);
        let mut piece = vec![0; 16 * 1024];
        let mut socket = &socket;
        while let Ok(n @ 1..) = socket.read(&mut piece).await {
            decoder.feed(&piece[..n]);
            while let Ok(Some(words)) = decoder.next_message() {
                if words.first().is_some_and(|w| w == b"alive") {
                    if let Some(id) = words.get(1).filter(|_| status.talks.get()) {
                        let _ = out.send(encode(&[id, b"yes"])).await;
                    }
                    continue;
                }
                let input = Input::Asked { router, node, conn, out: out.clone(), words };
                if net.queue.send(input).await.is_err() {
                    return;
                }
            }
        }
    };
    future::or(dies, future::or(reads, write(&socket, written))).await;
    let _ = net.queue.send(Input::Closed(conn)).await;
}

/// Writes what is sent into the channel; an empty message ends the connection.
async fn write(mut socket: &Async<TcpStream>, from: Receiver<Vec<u8>>) {
    while let Ok(bytes) = from.recv().await {
        if bytes.is_empty() || socket.write_all(&bytes).await.is_err() {
            return;
        }
    }
    future::pending().await
}

/// A client's connection to a router; what is sent into the channel is written. `None` if it did not come up.
pub async fn client(net: Net, router: usize, at: SocketAddr) -> Option<(ConnId, Sender<Vec<u8>>)> {
    let socket = Async::<TcpStream>::connect(at).await.ok()?;
    let _ = socket.get_ref().set_nodelay(true);
    let conn = net.next();
    let (out, written) = async_channel::bounded::<Vec<u8>>(UNSENT);
    let executor = Rc::clone(&net.executor);
    let task = async move {
        let reads = async {
            let mut decoder = Decoder::new(BOUNDS);
            let mut piece = vec![0; 16 * 1024];
            let mut socket = &socket;
            while let Ok(n @ 1..) = socket.read(&mut piece).await {
                decoder.feed(&piece[..n]);
                while let Ok(Some(words)) = decoder.next_message() {
                    if net.queue.send(Input::Answer { router, conn, words }).await.is_err() {
                        return;
                    }
                }
            }
        };
        future::or(reads, write(&socket, written)).await;
        let _ = net.queue.send(Input::ClientOver { router, conn }).await;
    };
    executor.spawn(task).detach();
    Some((conn, out))
}

/// What a client that is none sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// What can't be read.
    Garbage,
    /// Half a request.
    Half,
    /// Nothing.
    Silent,
}

/// A connection of a client that is none; it stays until the router ends it, or for some seconds.
pub async fn flood(at: SocketAddr, kind: FloodKind) {
    const STAYS: Duration = Duration::from_secs(3);
    let Ok(mut socket) = Async::<TcpStream>::connect(at).await else { return };
    let bytes: &[u8] = match kind {
        FloodKind::Garbage => b"GET / HTTP/1.1\r\nHost: router\r\n\r\n",
        FloodKind::Half => b"*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$5\r\npa",
        FloodKind::Silent => b"",
    };
    let _ = socket.write_all(bytes).await;
    let ended = async {
        let mut piece = [0; 1024];
        while socket.read(&mut piece).await.is_ok_and(|n| n > 0) {}
    };
    future::or(ended, async {
        Timer::after(STAYS).await;
    })
    .await;
}

/// What a change log does, besides telling.
#[derive(Debug, Default)]
pub struct LogStatus {
    /// It says nothing on open connections until then.
    pub silent_until: Cell<Option<Instant>>,
    /// It ends connections until then.
    pub down_until: Cell<Option<Instant>>,
}

impl LogStatus {
    fn holds(until: &Cell<Option<Instant>>) -> bool {
        until.get().is_some_and(|until| Instant::now() < until)
    }

    fn silent(&self) -> bool {
        Self::holds(&self.silent_until)
    }

    fn down(&self) -> bool {
        Self::holds(&self.down_until)
    }
}

/// Frames by number.
pub type Frames = Rc<RefCell<Vec<(u64, Vec<u8>)>>>;

/// A frame of the change log.
pub fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

/// The change log for one router: whoever connects gets what came after the number that it names, and a beat each half second.
pub async fn change_log(net: Net, listener: TcpListener, frames: Frames, status: Rc<LogStatus>) {
    let Ok(listener) = Async::new(listener) else { return };
    while let Ok((socket, _)) = listener.accept().await {
        let (frames, status) = (Rc::clone(&frames), Rc::clone(&status));
        if status.down() {
            continue;
        }
        let task = async move {
            let (mut from, mut socket) = ([0; 8], &socket);
            if socket.read_exact(&mut from).await.is_err() {
                return;
            }
            let (mut last, mut looks) = (u64::from_be_bytes(from), 0u32);
            while !status.down() {
                if status.silent() {
                    Timer::after(LOOK).await;
                    continue;
                }
                let new: Vec<(u64, Vec<u8>)> =
                    frames.borrow().iter().filter(|f| f.0 > last).cloned().collect();
                for (number, bytes) in new {
                    last = number;
                    if socket.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                looks += 1;
                if looks % 50 == 0 && socket.write_all(&frame(last, 0, &[])).await.is_err() {
                    return;
                }
                Timer::after(LOOK).await;
            }
        };
        net.executor.spawn(task).detach();
    }
}
