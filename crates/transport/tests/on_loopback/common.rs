//! Routers on loopback, and raw connections that play a peer.

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

/// An address of its own on loopback: processes by their id, tests by counting.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 200, low, NEXT.fetch_add(1, Ordering::SeqCst));
    SocketAddr::from((ip, 7400))
}

pub fn member(name: &str, life: u128) -> Member {
    Member { router: RouterId(Arc::from(name)), incarnation: Incarnation(life) }
}

pub fn domain(machine: &str) -> Domain {
    Domain { branch: Arc::from("east"), machine: Arc::from(machine) }
}

pub fn hello(name: &str, life: u128) -> Hello {
    let table = (TableVersion(1), TableHash([7; 32]));
    Hello {
        protocol: PROTOCOL_VERSION,
        cluster: Arc::from("test"),
        member: member(name, life),
        domain: domain(name),
        table,
    }
}

pub fn listed(name: &str, address: SocketAddr) -> PeerConfig {
    PeerConfig { router: member(name, 0).router, address, domain: domain(name) }
}

/// A router's links: the owner's port takes gathers and news, the other one the rest and news.
pub struct Node {
    pub owner: Port,
    pub copies: Port,
    pub rest: TransportHandle,
    pub me: Member,
    pub address: SocketAddr,
}

impl Node {
    pub fn new(name: &str, life: u128, address: SocketAddr, peers: &[PeerConfig], limits: Limits) -> Self {
        Self::with(name, life, address, peers, (limits, Settings::default()))
    }

    pub fn with(
        name: &str,
        life: u128,
        address: SocketAddr,
        peers: &[PeerConfig],
        set: (Limits, Settings),
    ) -> Self {
        let user = |lanes: &[Lane]| TransportUser { lanes: lanes.to_vec(), wake: Box::new(|| ()) };
        let users = [
            user(&[Lane::ScatterGather, Lane::Membership]),
            user(&[Lane::Registers, Lane::Table, Lane::Membership]),
        ];
        let draw = life as u64 * 1000 + u64::from(address.port());
        let links = start(hello(name, life), address, peers.to_vec(), set, draw, users).unwrap();
        let (owner, copies, rest) = links.split();
        Self { owner, copies, rest, me: member(name, life), address }
    }

    pub fn count(&self, name: &str) -> u64 {
        self.rest.counts().all().into_iter().find(|(n, _)| *n == name).unwrap().1
    }
}

pub fn send(port: &mut Port, no: u64, to: &Member, lane: Lane, body: &[u8]) {
    let order = LinkCommand::Send { number: no, to: to.clone(), lane, body: body.to_vec() };
    wait("room for an order", || port.send(order.clone()).ok());
}

/// Waits until something holds.
pub fn wait<T>(what: &str, mut until: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = until() {
            return found;
        }
        assert!(start.elapsed() < Duration::from_secs(20), "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until a port tells something of a kind; the rest is dropped.
pub fn told<T>(port: &mut Port, what: &str, mut which: impl FnMut(&LinkEvent) -> Option<T>) -> T {
    wait(what, || port.find_map(|t| which(&t)))
}

pub fn up(port: &mut Port, member: &Member) -> Hello {
    told(port, &format!("{member} up"), |t| match t {
        LinkEvent::LinkUp(hello) if hello.member == *member => Some(hello.clone()),
        _ => None,
    })
}

pub fn down(port: &mut Port, member: &Member) -> basaltgw_transport::LinkError {
    told(port, &format!("{member} down"), |t| match t {
        LinkEvent::LinkDown(m, why) if m == member => Some(*why),
        _ => None,
    })
}

pub fn got(port: &mut Port, member: &Member) -> (Lane, Vec<u8>) {
    told(port, &format!("a frame of {member}"), |t| match t {
        LinkEvent::MessageReceived { from, lane, body } if from == member => Some((*lane, body.clone())),
        _ => None,
    })
}

/// A raw connection that plays a peer.
pub struct Raw {
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl Raw {
    /// Connects, and says a hello as the given start of a process.
    pub fn dial(to: SocketAddr, hello: &Hello, start: u64) -> Self {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let mut raw = Self { stream, buffer: BytesMut::new() };
        raw.write(Kind::Hello, &postcard::to_stdvec(&(hello, start)).unwrap()).unwrap();
        raw
    }

    /// A connection that was accepted.
    pub fn from(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Self { stream, buffer: BytesMut::new() }
    }

    /// As [`Raw::dial`], up to being the link: the one dialled has the smaller name, and chooses.
    pub fn up(to: SocketAddr, hello: &Hello, start: u64) -> Self {
        let mut raw = Self::dial(to, hello, start);
        assert_eq!([raw.read().unwrap().kind, raw.read().unwrap().kind], [Kind::Hello, Kind::Go]);
        raw
    }

    /// As [`Raw::up`], and gives signs of life until it is dropped.
    pub fn alive(to: SocketAddr, hello: &Hello, start: u64) -> Self {
        let raw = Self::up(to, hello, start);
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

    /// The next frame; none if the connection is closed.
    pub fn read(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = (Codec { most: LIMITS.max_frame_bytes }).decode(&mut self.buffer).unwrap() {
                return Some(frame);
            }
            let mut some = [0; 4096];
            match self.stream.read(&mut some) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&some[..n]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }
}

impl Drop for Raw {
    fn drop(&mut self) {
        // The thread that gives signs of life has the socket too.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn bytes(kind: Kind, body: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    Codec { most: LIMITS.max_frame_bytes }.encode((kind, body), &mut bytes).unwrap();
    bytes
}
