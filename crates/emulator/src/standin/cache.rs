//! The stand-in for a server: an edge cache, a parent cache or the origin, whose behaviour a test chooses for each fetch.

use super::{unix_ms, wait_until, MESSAGE_LIMITS, POLL_INTERVAL};
use basaltgw_resp::{encode, Decoder};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The fields of an answer that serves a copy from memory.
const HIT_FIELDS: &str = "ver=1,born=1,note=hit,waited=0";
/// A request id that no router sends.
const UNKNOWN_ID: &[u8] = b"0123456789abcdef";
/// The body of the answer that [`FetchBehaviour::TruncatedAnswer`] cuts.
const TRUNCATED_BODY: [u8; 5000] = [b'x'; 5000];
/// Bytes of that answer that are written, header included.
const TRUNCATED_AT: usize = 2500;

/// A fetch that a stand-in received.
#[derive(Clone, Debug)]
pub struct ReceivedFetch {
    /// The number of its connection, counted from 1.
    pub connection: usize,
    /// The request id.
    pub id: String,
    /// The fields of the request.
    pub fields: BTreeMap<String, String>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// When the fetch was received, in Unix milliseconds.
    pub received_ms: u64,
}

impl ReceivedFetch {
    /// The value of the field `name`.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// How a stand-in reacts to a fetch.
pub enum FetchBehaviour {
    /// It answers `ok` with this body at once.
    Ok(Vec<u8>),
    /// It answers `ok` after a delay.
    OkAfter {
        /// The delay, in milliseconds.
        delay_ms: u64,
        /// The body of the answer.
        body: Vec<u8>,
    },
    /// It answers `ok` with chosen fields after a delay.
    OkWithFields {
        /// The delay, in milliseconds.
        delay_ms: u64,
        /// The fields of the answer.
        fields: String,
        /// The body of the answer.
        body: Vec<u8>,
    },
    /// It answers `ok` once a flag is set; meanwhile the connection is read on.
    OkOnRelease {
        /// The flag.
        released: Arc<AtomicBool>,
        /// The body of the answer.
        body: Vec<u8>,
    },
    /// It answers `ok` with this body twice.
    OkTwice(Vec<u8>),
    /// It answers `ok` with this body, after an answer to a request id that was never sent.
    OkAfterUnknownId(Vec<u8>),
    /// It answers with a status and fields, and without a body.
    Answer {
        /// The status, such as `error`.
        status: &'static str,
        /// The fields.
        fields: &'static str,
    },
    /// It answers with a status twice, without fields and body.
    AnswerTwice {
        /// The status.
        status: &'static str,
    },
    /// It writes these bytes, well-formed or not.
    Bytes(&'static [u8]),
    /// It writes a part of an answer and closes the connection.
    TruncatedAnswer,
    /// It doesn't answer.
    NoAnswer,
    /// It reads and writes nothing on the connection until [`Cache::resume`] is set; then it answers `ok` with this body.
    BlockThenOk(Vec<u8>),
    /// It reads and writes nothing on the connection until [`Cache::resume`] is set; then it resets the connection.
    BlockThenReset,
}

/// How a stand-in reacts to the probe `alive` of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ProbeBehaviour {
    /// It answers `yes`.
    Yes,
    /// It answers `yes` after a delay and reads nothing meanwhile, as a connection that is established late.
    YesAfter(Duration),
    /// It reads and writes nothing on the connection until [`Cache::resume`] is set; then it answers `yes`.
    BlockThenYes,
    /// It doesn't answer.
    NoAnswer,
    /// It closes the connection.
    Disconnect,
}

type Behaviour = dyn Fn(&ReceivedFetch) -> FetchBehaviour + Send + Sync;
type Writer = Arc<Mutex<TcpStream>>;

/// A stand-in for a server of any role.
pub struct Cache {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The ids of the requests that routers cancelled.
    pub aborted_ids: Arc<Mutex<Vec<String>>>,
    /// The number of connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    /// Ends the blocking of connections by `BlockThenOk`, `BlockThenReset` and `BlockThenYes`.
    pub resume: Arc<AtomicBool>,
    fetches: Arc<Mutex<Vec<ReceivedFetch>>>,
}

impl Cache {
    /// Starts a stand-in that answers each probe and reacts to each fetch by `behaviour`.
    pub fn start(behaviour: impl Fn(&ReceivedFetch) -> FetchBehaviour + Send + Sync + 'static) -> Self {
        Self::start_with_probes(|_| ProbeBehaviour::Yes, behaviour)
    }

    /// Starts a stand-in that reacts to the probes of a connection by `probes`, which is given the number of the connection.
    pub fn start_with_probes(
        probes: impl Fn(usize) -> ProbeBehaviour + Send + Sync + 'static,
        behaviour: impl Fn(&ReceivedFetch) -> FetchBehaviour + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let cache = Self {
            address: listener.local_addr().expect("address of the listener"),
            aborted_ids: Arc::default(),
            connections: Arc::default(),
            resume: Arc::default(),
            fetches: Arc::default(),
        };
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let connections = Arc::clone(&cache.connections);
        let (fetches, aborted_ids) = (Arc::clone(&cache.fetches), Arc::clone(&cache.aborted_ids));
        let resume = Arc::clone(&cache.resume);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let number = connections.fetch_add(1, Ordering::SeqCst) + 1;
                let probe = probes(number);
                let (behaviour, resume) = (Arc::clone(&behaviour), Arc::clone(&resume));
                let (fetches, aborted_ids) = (Arc::clone(&fetches), Arc::clone(&aborted_ids));
                thread::spawn(move || {
                    let writer = Arc::new(Mutex::new(socket.try_clone().expect("duplicate the socket")));
                    Connection { number, probe, behaviour, socket, writer, fetches, aborted_ids, resume }
                        .serve();
                });
            }
        });
        cache
    }

    /// Starts a stand-in that serves every part of every object; the body names both.
    pub fn with_all_objects() -> Self {
        Self::start(|fetch| FetchBehaviour::Ok(part_body(fetch)))
    }

    /// The number of fetches received so far.
    pub fn fetch_count(&self) -> usize {
        self.fetches.lock().expect("lock").len()
    }

    /// The fetches received so far, in order.
    pub fn fetches(&self) -> Vec<ReceivedFetch> {
        self.fetches.lock().expect("lock").clone()
    }
}

/// The body that a stand-in serves for the fetched part: `OBJECT/PART`.
pub fn part_body(fetch: &ReceivedFetch) -> Vec<u8> {
    format!("{}/{}", fetch.field("k").unwrap_or("?"), fetch.field("p").unwrap_or("?")).into_bytes()
}

/// A connection from a router.
struct Connection {
    number: usize,
    probe: ProbeBehaviour,
    behaviour: Arc<Behaviour>,
    socket: TcpStream,
    writer: Writer,
    fetches: Arc<Mutex<Vec<ReceivedFetch>>>,
    aborted_ids: Arc<Mutex<Vec<String>>>,
    resume: Arc<AtomicBool>,
}

impl Connection {
    /// Handles messages until either side closes the connection.
    fn serve(&self) {
        let mut decoder = Decoder::new(MESSAGE_LIMITS);
        let mut chunk = [0; 65536];
        loop {
            let n = match (&self.socket).read(&mut chunk) {
                Ok(n) if n > 0 => n,
                _ => return,
            };
            decoder.feed(&chunk[..n]);
            // A router writes well-formed messages; a relay in between may damage them, which ends the connection.
            while let Some(elements) = match decoder.next_message() {
                Ok(elements) => elements,
                Err(_) => return,
            } {
                if self.handle(elements).is_break() {
                    return;
                }
            }
        }
    }

    /// Handles a message; `Break` ends the connection.
    fn handle(&self, mut elements: Vec<Vec<u8>>) -> ControlFlow<()> {
        let Some(id) = elements.get(1).and_then(|id| String::from_utf8(id.clone()).ok()) else {
            return ControlFlow::Break(());
        };
        match (elements[0].as_slice(), elements.len()) {
            (b"alive", _) => self.handle_probe(&id),
            (b"abort", _) => {
                self.aborted_ids.lock().expect("lock").push(id);
                ControlFlow::Continue(())
            }
            (b"fetch", 4) => {
                let body = std::mem::take(&mut elements[3]);
                let Ok(fields) = String::from_utf8(std::mem::take(&mut elements[2])) else {
                    return ControlFlow::Break(());
                };
                self.handle_fetch(id, &fields, body)
            }
            _ => ControlFlow::Break(()),
        }
    }

    fn handle_probe(&self, id: &str) -> ControlFlow<()> {
        match self.probe {
            ProbeBehaviour::Yes => {}
            ProbeBehaviour::YesAfter(delay) => thread::sleep(delay),
            ProbeBehaviour::BlockThenYes => self.block(),
            ProbeBehaviour::NoAnswer => return ControlFlow::Continue(()),
            ProbeBehaviour::Disconnect => return ControlFlow::Break(()),
        }
        self.write(&encode(&[id.as_bytes(), b"yes"]))
    }

    fn handle_fetch(&self, id: String, fields: &str, body: Vec<u8>) -> ControlFlow<()> {
        let fields = fields.split(',').filter_map(|field| field.split_once('='));
        let fields = fields.map(|(name, value)| (name.to_string(), value.to_string())).collect();
        let fetch =
            ReceivedFetch { connection: self.number, id: id.clone(), fields, body, received_ms: unix_ms() };
        let behaviour = (self.behaviour)(&fetch);
        self.fetches.lock().expect("lock").push(fetch);
        self.react(id.as_bytes(), behaviour)
    }

    fn react(&self, id: &[u8], behaviour: FetchBehaviour) -> ControlFlow<()> {
        let ok = |body: &[u8]| encode(&[id, b"ok", HIT_FIELDS.as_bytes(), body]);
        match behaviour {
            FetchBehaviour::Ok(body) => self.write(&ok(&body)),
            FetchBehaviour::OkAfter { delay_ms, body } => self.write_after(delay_ms, ok(&body)),
            FetchBehaviour::OkWithFields { delay_ms, fields, body } => {
                self.write_after(delay_ms, encode(&[id, b"ok", fields.as_bytes(), &body]))
            }
            FetchBehaviour::OkOnRelease { released, body } => self.write_on_release(released, ok(&body)),
            FetchBehaviour::OkTwice(body) => self.write(&ok(&body).repeat(2)),
            FetchBehaviour::OkAfterUnknownId(body) => {
                let unknown = encode(&[UNKNOWN_ID, b"ok", b"ver=1,born=1,note=hit", b"other"]);
                self.write(&[unknown, ok(&body)].concat())
            }
            FetchBehaviour::Answer { status, fields } => {
                self.write(&encode(&[id, status.as_bytes(), fields.as_bytes(), b""]))
            }
            FetchBehaviour::AnswerTwice { status } => {
                self.write(&encode(&[id, status.as_bytes(), b"-", b""]).repeat(2))
            }
            FetchBehaviour::Bytes(bytes) => self.write(bytes),
            FetchBehaviour::TruncatedAnswer => {
                let _ = self.write(&ok(&TRUNCATED_BODY)[..TRUNCATED_AT]);
                ControlFlow::Break(())
            }
            FetchBehaviour::NoAnswer => ControlFlow::Continue(()),
            FetchBehaviour::BlockThenOk(body) => {
                self.block();
                self.write(&ok(&body))
            }
            FetchBehaviour::BlockThenReset => {
                self.block();
                let _ = rustix::net::sockopt::set_socket_linger(&self.socket, Some(Duration::ZERO));
                ControlFlow::Break(())
            }
        }
    }

    /// Waits for [`Cache::resume`].
    fn block(&self) {
        while !self.resume.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn write(&self, bytes: &[u8]) -> ControlFlow<()> {
        match self.writer.lock().expect("lock").write_all(bytes) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }

    /// Writes an answer after a delay; the connection is read on meanwhile.
    fn write_after(&self, delay_ms: u64, answer: Vec<u8>) -> ControlFlow<()> {
        let writer = Arc::clone(&self.writer);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(delay_ms));
            let _ = writer.lock().expect("lock").write_all(&answer);
        });
        ControlFlow::Continue(())
    }

    /// Writes an answer once it is released; the connection is read on meanwhile.
    fn write_on_release(&self, released: Arc<AtomicBool>, answer: Vec<u8>) -> ControlFlow<()> {
        let writer = Arc::clone(&self.writer);
        thread::spawn(move || {
            wait_until("the test releases a withheld answer", || released.load(Ordering::SeqCst));
            let _ = writer.lock().expect("lock").write_all(&answer);
        });
        ControlFlow::Continue(())
    }
}
