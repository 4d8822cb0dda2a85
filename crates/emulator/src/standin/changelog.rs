//! The stand-in for the change log: it sends each connection the events after the position that the router names.

use super::config::EDGE_KIND;
use crate::config::{state_code, UNIT_WEIGHT};
use crate::net::frame_kind::HEARTBEAT;
pub use crate::net::{frame, frame_kind};
use basaltgw::api::EndpointState;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two heartbeats, and between two checks for new events.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two checks whether a silent connection may be written to again.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Encoded events with their numbers.
type Frames = Vec<(u64, Vec<u8>)>;

/// A change log whose delivery a test can disturb.
#[derive(Clone)]
pub struct ChangeLog {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The published events.
    pub frames: Arc<Mutex<Frames>>,
    /// The event number after which each connection resumed, in order of the connections.
    pub resume_positions: Arc<Mutex<Vec<u64>>>,
    /// The number of an event that is left out once.
    pub skip_once: Arc<Mutex<Option<u64>>>,
    /// The number of an event whose frame is cut in the middle once, by closing the connection.
    pub cut_in_half: Arc<Mutex<Option<u64>>>,
    /// The number of an event whose frame is cut once after the given bytes, by closing the connection.
    pub cut_after: Arc<Mutex<Option<(u64, usize)>>>,
    /// Whether heartbeats are sent.
    pub heartbeats: Arc<AtomicBool>,
    /// Whether heartbeats carry the number of the newest published event, even if the connection was not sent that event.
    pub heartbeats_carry_newest: Arc<AtomicBool>,
    /// Whether the change log is down: it closes connections at once.
    pub down: Arc<AtomicBool>,
    /// Connections up to this number, counted from 1, are sent heartbeats and no more events.
    pub events_withheld_up_to: Arc<AtomicUsize>,
    /// Connections up to this number, counted from 1, stay open and are sent nothing more.
    pub silent_up_to: Arc<AtomicUsize>,
    /// How much later than written all bytes arrive, on open connections and new ones, in milliseconds.
    pub delay_ms: Arc<AtomicU64>,
    /// The highest number of an event that was written completely.
    pub written_up_to: Arc<AtomicU64>,
}

impl ChangeLog {
    /// Starts a change log without events.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let log = Self {
            address: listener.local_addr().expect("address of the listener"),
            frames: Arc::default(),
            resume_positions: Arc::default(),
            skip_once: Arc::default(),
            cut_in_half: Arc::default(),
            cut_after: Arc::default(),
            heartbeats: Arc::new(AtomicBool::new(true)),
            heartbeats_carry_newest: Arc::default(),
            down: Arc::default(),
            events_withheld_up_to: Arc::default(),
            silent_up_to: Arc::default(),
            delay_ms: Arc::default(),
            written_up_to: Arc::default(),
        };
        let acceptor = log.clone();
        thread::spawn(move || acceptor.accept(&listener));
        log
    }

    /// Accepts connections, and serves each on its own thread.
    fn accept(&self, listener: &TcpListener) {
        for mut socket in listener.incoming().flatten() {
            if self.down.load(Ordering::SeqCst) {
                continue;
            }
            let mut position = [0; 8];
            if socket.read_exact(&mut position).is_err() {
                continue;
            }
            let position = u64::from_be_bytes(position);
            let connection = {
                let mut positions = self.resume_positions.lock().expect("lock");
                positions.push(position);
                positions.len()
            };
            let log = self.clone();
            let socket = DelayedSocket::new(socket, Arc::clone(&self.delay_ms));
            thread::spawn(move || log.serve(connection, position, socket));
        }
    }

    /// Sends events and heartbeats to a connection until the change log is down or the router closes it.
    fn serve(&self, connection: usize, mut position: u64, mut socket: DelayedSocket) {
        while !self.down.load(Ordering::SeqCst) {
            if connection <= self.silent_up_to.load(Ordering::SeqCst) {
                thread::sleep(SILENT_POLL_INTERVAL);
                continue;
            }
            let withheld = connection <= self.events_withheld_up_to.load(Ordering::SeqCst);
            if !withheld && self.send_events(&mut position, &mut socket).is_err() {
                return;
            }
            let carry_newest = self.heartbeats_carry_newest.load(Ordering::SeqCst);
            let number = if carry_newest { self.newest().max(position) } else { position };
            let heartbeats = self.heartbeats.load(Ordering::SeqCst);
            if heartbeats && socket.write_all(&frame(number, HEARTBEAT, &[])).is_err() {
                return;
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// The number of the newest published event.
    fn newest(&self) -> u64 {
        self.frames.lock().expect("lock").iter().map(|(number, _)| *number).max().unwrap_or(0)
    }

    /// Sends the events after `position`; an error ends the connection.
    fn send_events(&self, position: &mut u64, socket: &mut DelayedSocket) -> std::io::Result<()> {
        let events: Vec<_> =
            self.frames.lock().expect("lock").iter().filter(|f| f.0 > *position).cloned().collect();
        for (number, bytes) in events {
            *position = number;
            if let Some(length) = self.cut_length(number, bytes.len()) {
                socket.write_all(&bytes[..length])?;
                return Err(ErrorKind::BrokenPipe.into());
            }
            if self.skip_once.lock().expect("lock").take_if(|s| *s == number).is_none() {
                socket.write_all(&bytes)?;
                self.written_up_to.fetch_max(number, Ordering::SeqCst);
            }
        }
        Ok(())
    }

    /// The bytes of this event's frame that are sent if it is to be cut.
    fn cut_length(&self, number: u64, frame_bytes: usize) -> Option<usize> {
        let half = self.cut_in_half.lock().expect("lock").take_if(|cut| *cut == number);
        let after = self.cut_after.lock().expect("lock").take_if(|(cut, _)| *cut == number);
        half.map(|_| frame_bytes / 2).or(after.map(|(_, bytes)| bytes))
    }

    /// Publishes an event; `kind` is one of [`frame_kind`], or unknown to routers.
    pub fn publish(&self, number: u64, kind: u8, payload: &[u8]) {
        self.frames.lock().expect("lock").push((number, frame(number, kind, payload)));
    }
}

/// A connection whose bytes arrive late, in order.
struct DelayedSocket {
    socket: TcpStream,
    delay_ms: Arc<AtomicU64>,
    /// Writes what is delayed; none before the first delay.
    delayed: Option<Sender<(Instant, Vec<u8>)>>,
}

impl DelayedSocket {
    fn new(socket: TcpStream, delay_ms: Arc<AtomicU64>) -> Self {
        Self { socket, delay_ms, delayed: None }
    }

    fn write_all(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        if delay.is_zero() && self.delayed.is_none() {
            return self.socket.write_all(bytes);
        }
        let sender = match &self.delayed {
            Some(sender) => sender,
            None => self.delayed.insert(write_when_due(self.socket.try_clone()?)),
        };
        sender.send((Instant::now() + delay, bytes.to_vec())).map_err(|_| ErrorKind::BrokenPipe.into())
    }
}

/// Writes each message when it is due, until a write fails.
fn write_when_due(mut socket: TcpStream) -> Sender<(Instant, Vec<u8>)> {
    let (sender, messages) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in messages {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if socket.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    sender
}

/// A server's record in an event of the endpoint list. The address has to be an IPv4 address; `kind` is [`EDGE_KIND`] or another index in the
/// kinds of [`super::configuration`]. An edge cache is in the zone of the router, any other server in the first zone.
pub fn record(id: u32, address: SocketAddr, state: EndpointState, kind: u8) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { panic!("{address} is not an IPv4 address") };
    let mut bytes = id.to_be_bytes().to_vec();
    bytes.extend_from_slice(&v4.ip().octets());
    bytes.extend_from_slice(&v4.port().to_be_bytes());
    bytes.extend_from_slice(&[state_code(state), u8::from(kind == EDGE_KIND), kind, 0, 0]);
    bytes.extend_from_slice(&UNIT_WEIGHT.to_be_bytes());
    bytes.extend_from_slice(&0u64.to_be_bytes());
    bytes
}
