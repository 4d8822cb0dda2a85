//! The change log: it tells whoever connects what came after the number that it names.

pub use crate::net::frame;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Frames by number.
type Frames = Vec<(u64, Vec<u8>)>;

/// The change log: frames by number, sent to whoever connects; the numbers it was asked to go on from.
#[derive(Clone)]
pub struct ChangeLog {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has to tell.
    pub frames: Arc<Mutex<Frames>>,
    /// The numbers after which routers asked it to go on.
    pub asked: Arc<Mutex<Vec<u64>>>,
    /// The next frame of this number is left out once.
    pub skip: Arc<Mutex<Option<u64>>>,
    /// The next frame of this number is cut in the middle, with its connection.
    pub cut: Arc<Mutex<Option<u64>>>,
    /// The next frame of this number is cut after so many bytes, with its connection.
    pub cut_at: Arc<Mutex<Option<(u64, usize)>>>,
    /// Empty frames are sent.
    pub beats: Arc<AtomicBool>,
    /// Empty frames have the number of the last event that there is, told on that connection or not.
    pub names_last: Arc<AtomicBool>,
    /// While this is set, connections are ended at once: it is down.
    pub down: Arc<AtomicBool>,
    /// Connections, counted from 1, up to this one are told no event any more, only empty frames.
    pub starved: Arc<AtomicUsize>,
    /// Connections up to this one stay open and are told nothing at all any more.
    pub mute: Arc<AtomicUsize>,
    /// The highest number that was written whole.
    pub told: Arc<AtomicU64>,
}

impl ChangeLog {
    /// One that has nothing to tell yet.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let log = Self {
            address: listener.local_addr().expect("an address"),
            frames: Arc::default(),
            asked: Arc::default(),
            skip: Arc::default(),
            cut: Arc::default(),
            cut_at: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            names_last: Arc::default(),
            down: Arc::default(),
            starved: Arc::default(),
            mute: Arc::default(),
            told: Arc::default(),
        };
        let of = log.clone();
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                if of.down.load(Ordering::SeqCst) {
                    continue;
                }
                let mut from = [0; 8];
                if socket.read_exact(&mut from).is_err() {
                    continue;
                }
                let last = u64::from_be_bytes(from);
                let conn = {
                    let mut asked = of.asked.lock().expect("lock");
                    asked.push(last);
                    asked.len()
                };
                let of = of.clone();
                thread::spawn(move || of.serve(conn, last, socket));
            }
        });
        log
    }

    /// Tells one connection what it has, until that or the router's side of it is over.
    fn serve(&self, conn: usize, mut last: u64, mut socket: TcpStream) {
        while !self.down.load(Ordering::SeqCst) {
            if conn <= self.mute.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            if conn > self.starved.load(Ordering::SeqCst) && self.news(&mut last, &mut socket).is_err() {
                return;
            }
            let beat = if self.names_last.load(Ordering::SeqCst) { self.last().max(last) } else { last };
            if self.beats.load(Ordering::SeqCst) && socket.write_all(&frame(beat, 0, &[])).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn last(&self) -> u64 {
        self.frames.lock().expect("lock").iter().map(|f| f.0).max().unwrap_or(0)
    }

    /// Tells the events after the last one; an error once the connection is to end.
    fn news(&self, last: &mut u64, socket: &mut TcpStream) -> std::io::Result<()> {
        let news: Vec<_> =
            self.frames.lock().expect("lock").iter().filter(|f| f.0 > *last).cloned().collect();
        for (number, bytes) in news {
            *last = number;
            let half = self.cut.lock().expect("lock").take_if(|c| *c == number).map(|_| bytes.len() / 2);
            let cut = self.cut_at.lock().expect("lock").take_if(|(c, _)| *c == number).map(|(_, at)| at);
            if let Some(at) = half.or(cut) {
                socket.write_all(&bytes[..at])?;
                return Err(ErrorKind::BrokenPipe.into());
            }
            if self.skip.lock().expect("lock").take_if(|s| *s == number).is_none() {
                socket.write_all(&bytes)?;
                self.told.fetch_max(number, Ordering::SeqCst);
            }
        }
        Ok(())
    }

    /// Tells an event.
    pub fn tell(&self, number: u64, kind: u8, payload: &[u8]) {
        self.frames.lock().expect("lock").push((number, frame(number, kind, payload)));
    }
}

/// A record of the server list; the address is an IPv4 one.
pub fn record(id: u32, address: SocketAddr, state: u8, kind: u8) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { panic!("an IPv4 address") };
    let mut bytes = id.to_be_bytes().to_vec();
    bytes.extend_from_slice(&v4.ip().octets());
    bytes.extend_from_slice(&v4.port().to_be_bytes());
    bytes.extend_from_slice(&[state, u8::from(kind == 0), kind, 0, 0]);
    bytes.extend_from_slice(&1000u32.to_be_bytes());
    bytes.extend_from_slice(&0u64.to_be_bytes());
    bytes
}
