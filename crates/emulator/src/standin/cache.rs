//! A cache, parent or origin that does what it is told with each fetch.

use super::{unix_ms, LOOK, WIDE};
use basaltgw_resp::{encode, Decoder};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A fetch as a stand-in received it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The connection, counted from 1.
    pub conn: usize,
    /// The request's id.
    pub id: String,
    /// Its fields.
    pub fields: BTreeMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// When it came, in Unix milliseconds.
    pub at: u64,
}

impl Seen {
    /// A field by name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// What a stand-in does with a fetch.
pub enum Do {
    /// `ok` with these fields and bytes, after a time in milliseconds.
    OkWith(u64, String, Vec<u8>),
    /// `ok` with these bytes.
    Ok(Vec<u8>),
    /// The same, after a time.
    Later(u64, Vec<u8>),
    /// `ok` with these bytes, once this is set.
    Once(Arc<AtomicBool>, Vec<u8>),
    /// An answer of this word, with these fields.
    Word(&'static str, &'static str),
    /// These bytes, whatever they are.
    Raw(&'static [u8]),
    /// `ok` with these bytes, twice over.
    Twice(Vec<u8>),
    /// The same once, behind an answer under an id that nobody asked for.
    Ahead(Vec<u8>),
    /// An answer of this word, twice over.
    TwiceWord(&'static str),
    /// Nothing.
    Silent,
    /// Nothing is said or read on the connection until the stand-in is let go on; then `ok` with these bytes.
    Held(Vec<u8>),
    /// The same, and then the connection is reset and nothing is said.
    Reset,
    /// Half of an answer, then the connection ends.
    Half,
}

/// What a stand-in does when it is asked `alive`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// It says `yes`.
    Yes,
    /// It says nothing.
    Mute,
    /// It says `yes` once the stand-in is let go on.
    Held,
    /// It says `yes` after this time, and reads nothing meanwhile: a connection that comes up late.
    Late(Duration),
    /// It ends the connection.
    Cut,
}

type Behaviour = dyn Fn(&Seen) -> Do + Send + Sync;

/// A server of any role.
pub struct Cache {
    /// Where it listens.
    pub address: SocketAddr,
    /// Fetches, as they came.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Ids that were given up.
    pub aborted: Arc<Mutex<Vec<String>>>,
    /// Connections taken so far.
    pub conns: Arc<AtomicUsize>,
    /// What is held back (`Proof::Held`, `Do::Held`, `Do::Reset`) waits for this.
    pub go_on: Arc<AtomicBool>,
}

impl Cache {
    /// One that does this with fetches.
    pub fn start(behaviour: impl Fn(&Seen) -> Do + Send + Sync + 'static) -> Self {
        Self::start_as(|_| Proof::Yes, behaviour)
    }

    /// One that takes `alive` in another way on some connections.
    pub fn start_as(
        proves: impl Fn(usize) -> Proof + Send + Sync + 'static,
        behaviour: impl Fn(&Seen) -> Do + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, aborted, conns, go_on) = Default::default();
        let cache = Self { address, seen, aborted, conns, go_on };
        let (seen, aborted, conns) =
            (Arc::clone(&cache.seen), Arc::clone(&cache.aborted), Arc::clone(&cache.conns));
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let go_on = Arc::clone(&cache.go_on);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let conn = conns.fetch_add(1, Ordering::SeqCst) + 1;
                let (seen, aborted, behaviour) =
                    (Arc::clone(&seen), Arc::clone(&aborted), Arc::clone(&behaviour));
                let (proves, go_on) = (proves(conn), Arc::clone(&go_on));
                thread::spawn(move || serve(conn, socket, (proves, &go_on), &seen, &aborted, &*behaviour));
            }
        });
        cache
    }

    /// One that holds everything: the bytes tell the object and part.
    pub fn full() -> Self {
        Self::start(|seen| Do::Ok(content(seen)))
    }

    /// Fetches so far.
    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }

    /// All fetches so far.
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().expect("lock").clone()
    }
}

/// The bytes of an object's part.
pub fn content(seen: &Seen) -> Vec<u8> {
    format!("{}/{}", seen.field("k").unwrap_or("?"), seen.field("p").unwrap_or("?")).into_bytes()
}

fn serve(
    conn: usize,
    mut socket: TcpStream,
    (proves, go_on): (Proof, &AtomicBool),
    seen: &Mutex<Vec<Seen>>,
    aborted: &Mutex<Vec<String>>,
    behaviour: &Behaviour,
) {
    let writer = Arc::new(Mutex::new(socket.try_clone().expect("a socket")));
    let mut decoder = Decoder::new(WIDE);
    let mut piece = [0; 65536];
    loop {
        let n = match socket.read(&mut piece) {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        decoder.feed(&piece[..n]);
        // A router writes well-formed messages; a relay before it may break them, which ends the connection.
        while let Some(words) = match decoder.next_message() {
            Ok(words) => words,
            Err(_) => return,
        } {
            let Some(id) = words.get(1).and_then(|id| String::from_utf8(id.clone()).ok()) else { return };
            if words[0] == b"alive" {
                let yes = encode(&[&words[1], b"yes"]);
                if proves == Proof::Held {
                    wait_for(go_on);
                }
                if let Proof::Late(by) = proves {
                    thread::sleep(by);
                }
                match proves {
                    Proof::Yes | Proof::Held | Proof::Late(_)
                        if writer.lock().expect("lock").write_all(&yes).is_ok() =>
                    {
                        continue
                    }
                    Proof::Mute => continue,
                    Proof::Yes | Proof::Held | Proof::Late(_) | Proof::Cut => return,
                }
            }
            if words[0] == b"abort" {
                aborted.lock().expect("lock").push(id);
                continue;
            }
            let ([b'f', b'e', b't', b'c', b'h'], 4) = (words[0].as_slice(), words.len()) else { return };
            let Ok(fields) = String::from_utf8(words[2].clone()) else { return };
            let fields = fields.split(',').filter_map(|p| p.split_once('='));
            let fields = fields.map(|(n, v)| (n.to_string(), v.to_string())).collect();
            let fetch = Seen { conn, id: id.clone(), fields, body: words[3].clone(), at: unix_ms() };
            let act = behaviour(&fetch);
            seen.lock().expect("lock").push(fetch);
            let ok = |body: &[u8]| encode(&[id.as_bytes(), b"ok", b"ver=1,born=1,note=hit,waited=0", body]);
            let answer = match act {
                Do::Silent => continue,
                Do::Held(body) => {
                    wait_for(go_on);
                    ok(&body)
                }
                Do::Reset => {
                    wait_for(go_on);
                    let _ = rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO));
                    return;
                }
                Do::Ok(body) => ok(&body),
                Do::Word(word, fields) => encode(&[id.as_bytes(), word.as_bytes(), fields.as_bytes(), b""]),
                Do::Raw(bytes) => bytes.to_vec(),
                Do::Twice(body) => ok(&body).repeat(2),
                Do::Ahead(body) => {
                    let other = encode(&[b"0123456789abcdef", b"ok", b"ver=1,born=1,note=hit", b"other"]);
                    [other, ok(&body)].concat()
                }
                Do::TwiceWord(word) => encode(&[id.as_bytes(), word.as_bytes(), b"-", b""]).repeat(2),
                Do::Half => {
                    let whole = ok(&[b'x'; 5000]);
                    let _ = writer.lock().expect("lock").write_all(&whole[..2500]);
                    return;
                }
                Do::Later(ms, body) => {
                    later(&writer, ms, ok(&body));
                    continue;
                }
                Do::Once(released, body) => {
                    held(&writer, released, ok(&body));
                    continue;
                }
                Do::OkWith(ms, fields, body) => {
                    later(&writer, ms, encode(&[id.as_bytes(), b"ok", fields.as_bytes(), &body]));
                    continue;
                }
            };
            if writer.lock().expect("lock").write_all(&answer).is_err() {
                return;
            }
        }
    }
}

fn wait_for(flag: &AtomicBool) {
    while !flag.load(Ordering::SeqCst) {
        thread::sleep(LOOK);
    }
}

/// Writes an answer after a time.
fn later(writer: &Arc<Mutex<TcpStream>>, ms: u64, answer: Vec<u8>) {
    let writer = Arc::clone(writer);
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(ms));
        let _ = writer.lock().expect("lock").write_all(&answer);
    });
}

/// Writes an answer once it is released.
fn held(writer: &Arc<Mutex<TcpStream>>, released: Arc<AtomicBool>, answer: Vec<u8>) {
    let writer = Arc::clone(writer);
    thread::spawn(move || {
        super::until("a held answer is released", || released.load(Ordering::SeqCst));
        let _ = writer.lock().expect("lock").write_all(&answer);
    });
}
