//! The change log: it tells whoever connects what came after the number that it names.

pub use crate::net::frame;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Frames by number.
type Frames = Vec<(u64, Vec<u8>)>;

/// The change log: frames by number, sent to whoever connects; the numbers it was asked to go on from.
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
    /// Empty frames are sent.
    pub beats: Arc<AtomicBool>,
    /// While this is set, connections are ended at once: it is down.
    pub down: Arc<AtomicBool>,
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
            beats: Arc::new(AtomicBool::new(true)),
            down: Arc::default(),
        };
        let (frames, asked, skip, beats) =
            (Arc::clone(&log.frames), Arc::clone(&log.asked), Arc::clone(&log.skip), Arc::clone(&log.beats));
        let (cut, down) = (Arc::clone(&log.cut), Arc::clone(&log.down));
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    continue;
                }
                let mut from = [0; 8];
                if socket.read_exact(&mut from).is_err() {
                    continue;
                }
                let mut last = u64::from_be_bytes(from);
                asked.lock().expect("lock").push(last);
                let (frames, skip, beats) = (Arc::clone(&frames), Arc::clone(&skip), Arc::clone(&beats));
                let (cut, down) = (Arc::clone(&cut), Arc::clone(&down));
                thread::spawn(move || loop {
                    if down.load(Ordering::SeqCst) {
                        return;
                    }
                    let news: Vec<_> =
                        frames.lock().expect("lock").iter().filter(|f| f.0 > last).cloned().collect();
                    for (number, bytes) in news {
                        last = number;
                        if cut.lock().expect("lock").take_if(|c| *c == number).is_some() {
                            let _ = socket.write_all(&bytes[..bytes.len() / 2]);
                            return;
                        }
                        let left_out = skip.lock().expect("lock").take_if(|s| *s == number).is_some();
                        if !left_out && socket.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                    if beats.load(Ordering::SeqCst) && socket.write_all(&frame(last, 0, &[])).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(50));
                });
            }
        });
        log
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
