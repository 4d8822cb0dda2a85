//! Routers on loopback, and raw connections that act as a peer.

use asynchronous_codec::{Decoder, Encoder};
use basaltgw_transport::frames::{Codec, Frame, Kind};
use basaltgw_transport::{
    start, Hello, Lane, Limits, LinkCommand, LinkEvent, PeerConfig, Port, Settings, TransportHandle,
    TransportUser, PROTOCOL_VERSION,
};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, TableHash, TableVersion};
use bytes::BytesMut;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const LIMITS: Limits = Limits {
    max_queued_frames: 1000,
    max_queued_bytes: 4 << 20,
    max_frame_bytes: 1 << 20,
    ring_entries: 256,
};

/// A loopback address that no other test uses, from the process id and a counter.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 200, low, NEXT.fetch_add(1, Ordering::SeqCst));
    SocketAddr::from((ip, 7400))
}

pub fn member(name: &str, incarnation: u128) -> Member {
    Member { router: RouterId(Arc::from(name)), incarnation: Incarnation(incarnation) }
}

pub fn domain(machine: &str) -> Domain {
    Domain { branch: Arc::from("east"), machine: Arc::from(machine) }
}

pub fn hello(name: &str, incarnation: u128) -> Hello {
    let table = (TableVersion(1), TableHash([7; 32]));
    Hello {
        protocol: PROTOCOL_VERSION,
        cluster: Arc::from("test"),
        member: member(name, incarnation),
        domain: domain(name),
        table,
    }
}

pub fn listed(name: &str, address: SocketAddr) -> PeerConfig {
    PeerConfig { router: member(name, 0).router, address, domain: domain(name) }
}

/// A router's transport with two users: the owner's port receives scatter-gather frames, the control port register and table frames, and
/// both receive membership frames.
pub struct Node {
    pub owner: Port,
    pub control: Port,
    pub handle: TransportHandle,
    pub me: Member,
    pub address: SocketAddr,
}

impl Node {
    pub fn new(
        name: &str,
        incarnation: u128,
        address: SocketAddr,
        peers: &[PeerConfig],
        limits: Limits,
    ) -> Self {
        Self::with_settings(name, incarnation, address, peers, (limits, Settings::default()))
    }

    pub fn with_settings(
        name: &str,
        incarnation: u128,
        address: SocketAddr,
        peers: &[PeerConfig],
        settings: (Limits, Settings),
    ) -> Self {
        let user = |lanes: &[Lane]| TransportUser { lanes: lanes.to_vec(), wake: Box::new(|| ()) };
        let users = [
            user(&[Lane::ScatterGather, Lane::Membership]),
            user(&[Lane::Registers, Lane::Table, Lane::Membership]),
        ];
        let session_id = incarnation as u64 * 1000 + u64::from(address.port());
        let links =
            start(hello(name, incarnation), address, peers.to_vec(), settings, session_id, users).unwrap();
        let (owner, control, handle) = links.split();
        Self { owner, control, handle, me: member(name, incarnation), address }
    }

    pub fn count(&self, name: &str) -> u64 {
        self.handle.counters().all().into_iter().find(|(n, _)| *n == name).unwrap().1
    }
}

pub fn send(port: &mut Port, number: u64, to: &Member, lane: Lane, body: &[u8]) {
    let command = LinkCommand::Send { number, to: to.clone(), lane, body: body.to_vec() };
    wait("capacity for a command", || port.send(command.clone()).ok());
}

/// Waits until the closure returns a value.
pub fn wait<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits for an event of a kind; other events are dropped.
pub fn wait_for_event<T>(port: &mut Port, what: &str, mut select: impl FnMut(&LinkEvent) -> Option<T>) -> T {
    wait(what, || port.find_map(|t| select(&t)))
}

/// Waits until the link to `member` is reported as up; returns its hello.
pub fn wait_for_link_up(port: &mut Port, member: &Member) -> Hello {
    wait_for_event(port, &format!("the link to {member} to be up"), |t| match t {
        LinkEvent::LinkUp(hello) if hello.member == *member => Some(hello.clone()),
        _ => None,
    })
}

/// Waits until the link to `member` is reported as down; returns the cause.
pub fn wait_for_link_down(port: &mut Port, member: &Member) -> basaltgw_transport::LinkError {
    wait_for_event(port, &format!("the link to {member} to be down"), |t| match t {
        LinkEvent::LinkDown(m, error) if m == member => Some(*error),
        _ => None,
    })
}

/// Waits for a frame of `member`.
pub fn receive(port: &mut Port, member: &Member) -> (Lane, Vec<u8>) {
    wait_for_event(port, &format!("a frame of {member}"), |t| match t {
        LinkEvent::MessageReceived { from, lane, body } if from == member => Some((*lane, body.clone())),
        _ => None,
    })
}

/// A raw connection that acts as a peer.
pub struct Raw {
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl Raw {
    /// Connects, and sends the hello of a session.
    pub fn dial(to: SocketAddr, hello: &Hello, session_id: u64) -> Self {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let mut raw = Self { stream, buffer: BytesMut::new() };
        raw.write(Kind::Hello, &postcard::to_stdvec(&(hello, session_id)).unwrap()).unwrap();
        raw
    }

    /// Wraps an accepted connection.
    pub fn from(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Self { stream, buffer: BytesMut::new() }
    }

    /// As [`Raw::dial`], and waits until the link is up: the dialled router has the smaller name, so it selects the connection.
    pub fn link(to: SocketAddr, hello: &Hello, session_id: u64) -> Self {
        let mut raw = Self::dial(to, hello, session_id);
        assert_eq!([raw.read().unwrap().kind, raw.read().unwrap().kind], [Kind::Hello, Kind::Go]);
        raw
    }

    /// As [`Raw::link`], and sends keepalives until it is dropped.
    pub fn link_with_keepalives(to: SocketAddr, hello: &Hello, session_id: u64) -> Self {
        let raw = Self::link(to, hello, session_id);
        let mut stream = raw.stream.try_clone().unwrap();
        std::thread::spawn(move || {
            while stream.write_all(&bytes(Kind::Alive, &[])).is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        raw
    }

    pub fn write(&mut self, kind: Kind, body: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(&bytes(kind, body))
    }

    /// The next frame; `None` if the connection is closed.
    pub fn read(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) =
                (Codec { max_body_bytes: LIMITS.max_frame_bytes }).decode(&mut self.buffer).unwrap()
            {
                return Some(frame);
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }
}

impl Drop for Raw {
    fn drop(&mut self) {
        // The keepalive thread has a handle of the same socket.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn bytes(kind: Kind, body: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    Codec { max_body_bytes: LIMITS.max_frame_bytes }.encode((kind, body), &mut bytes).unwrap();
    bytes
}
