//! Stand-ins on loopback for all that a router talks to, and the router itself as a process.
#![allow(dead_code)]

use basaltgw_node::resp::{encode, Bounds, Decoder, Fields};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longer than anything takes on a machine that is merely busy.
pub const PATIENCE: Duration = Duration::from_secs(20);
const WIDE: Bounds = Bounds { words: 8, bytes: 300_000 };

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// Waits until something holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

// ---- Caches ----

/// A fetch as a stand-in received it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The connection, counted from 1.
    pub conn: usize,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub at: u64,
}

impl Seen {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// What a stand-in does with a fetch.
pub enum Do {
    /// `ok` with these bytes.
    Ok(Vec<u8>),
    /// The same, after a time.
    Later(u64, Vec<u8>),
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
    /// It ends the connection.
    Cut,
}

type Behaviour = dyn Fn(&Seen) -> Do + Send + Sync;

/// A server of any role.
pub struct Cache {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub aborted: Arc<Mutex<Vec<String>>>,
    pub conns: Arc<AtomicUsize>,
}

impl Cache {
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
        let cache = Self { address, seen: Arc::default(), aborted: Arc::default(), conns: Arc::default() };
        let (seen, aborted, conns) =
            (Arc::clone(&cache.seen), Arc::clone(&cache.aborted), Arc::clone(&cache.conns));
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let conn = conns.fetch_add(1, Ordering::SeqCst) + 1;
                let (seen, aborted, behaviour) =
                    (Arc::clone(&seen), Arc::clone(&aborted), Arc::clone(&behaviour));
                let proves = proves(conn);
                thread::spawn(move || serve(conn, socket, proves, &seen, &aborted, &*behaviour));
            }
        });
        cache
    }

    /// One that holds everything: the bytes tell the object and part.
    pub fn full() -> Self {
        Self::start(|seen| Do::Ok(content(seen)))
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("lock").len()
    }

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
    proves: Proof,
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
        while let Some(words) = decoder.message().expect("a well-formed message") {
            let id = String::from_utf8(words[1].clone()).expect("an id");
            if words[0] == b"alive" {
                let yes = encode(&[&words[1], b"yes"]);
                match proves {
                    Proof::Yes if writer.lock().expect("lock").write_all(&yes).is_ok() => continue,
                    Proof::Mute => continue,
                    Proof::Yes | Proof::Cut => return,
                }
            }
            if words[0] == b"abort" {
                aborted.lock().expect("lock").push(id);
                continue;
            }
            assert_eq!((words[0].as_slice(), words.len()), (&b"fetch"[..], 4));
            let fields = String::from_utf8(words[2].clone()).expect("fields");
            let fields = fields.split(',').filter_map(|p| p.split_once('='));
            let fields = fields.map(|(n, v)| (n.to_string(), v.to_string())).collect();
            let fetch = Seen { conn, id: id.clone(), fields, body: words[3].clone(), at: unix_ms() };
            let act = behaviour(&fetch);
            seen.lock().expect("lock").push(fetch);
            let ok = |body: &[u8]| encode(&[id.as_bytes(), b"ok", b"ver=1,born=1,note=hit,waited=0", body]);
            let answer = match act {
                Do::Silent => continue,
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
                    let (writer, answer) = (Arc::clone(&writer), ok(&body));
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(ms));
                        let _ = writer.lock().expect("lock").write_all(&answer);
                    });
                    continue;
                }
            };
            if writer.lock().expect("lock").write_all(&answer).is_err() {
                return;
            }
        }
    }
}

// ---- The change log ----

/// Frames by number.
type Frames = Vec<(u64, Vec<u8>)>;

/// The change log: frames by number, sent to whoever connects; the numbers it was asked to go on from.
pub struct ChangeLog {
    pub address: SocketAddr,
    pub frames: Arc<Mutex<Frames>>,
    pub asked: Arc<Mutex<Vec<u64>>>,
    /// The next frame of this number is left out once.
    pub skip: Arc<Mutex<Option<u64>>>,
    /// The next frame of this number is cut in the middle, with its connection.
    pub cut: Arc<Mutex<Option<u64>>>,
    /// Empty frames are sent.
    pub beats: Arc<AtomicBool>,
}

pub fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

impl ChangeLog {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let log = Self {
            address: listener.local_addr().expect("an address"),
            frames: Arc::default(),
            asked: Arc::default(),
            skip: Arc::default(),
            cut: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
        };
        let (frames, asked, skip, beats) =
            (Arc::clone(&log.frames), Arc::clone(&log.asked), Arc::clone(&log.skip), Arc::clone(&log.beats));
        let cut = Arc::clone(&log.cut);
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let mut from = [0; 8];
                if socket.read_exact(&mut from).is_err() {
                    continue;
                }
                let mut last = u64::from_be_bytes(from);
                asked.lock().expect("lock").push(last);
                let (frames, skip, beats) = (Arc::clone(&frames), Arc::clone(&skip), Arc::clone(&beats));
                let cut = Arc::clone(&cut);
                thread::spawn(move || loop {
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

    pub fn tell(&self, number: u64, kind: u8, payload: &[u8]) {
        self.frames.lock().expect("lock").push((number, frame(number, kind, payload)));
    }
}

/// A record of the server list.
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

// ---- The router ----

/// A server of the list at the router's start: number, address, kind.
pub struct Listed(pub u32, pub SocketAddr, pub &'static str);

pub fn configuration(servers: &[Listed], log: SocketAddr) -> Value {
    let members: Vec<Value> = servers
        .iter()
        .map(|Listed(id, address, kind)| {
            json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "flavor": kind,
                   "locality": if *kind == "box" { "edge-1" } else { "hub" }, "cell": 0,
                   "phase": "SERVING", "size": 1, "up_since_ms": 0})
        })
        .collect();
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": log.to_string(),
        "known": {"seq": 1, "results": [
            {"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "areas": ["hub", "edge-1"], "my-zone": "edge-1", "kinds": ["box", "parent", "origin"],
            "peers-total": 1, "granularity": 2.0,
            "services": [
                {"name": "pages", "idempotency": "read_like", "slo": 400.0, "deadline": 5000.0, "worth": 2.0},
                {"name": "loan", "idempotency": "non_idempotent", "slo": 700.0, "deadline": 5000.0}],
            "contract": {"cold": 17000.0, "cold-share": 0.24, "drain-grace": 250.0, "fall": 1500.0,
                         "fall-multiple": 4.0},
            "family-info": {"shield-kind": 1, "store-kind": 2, "pass-through-ok": true,
                            "purge-settles": 6000.0, "heed-within": 300.0, "goes-through": [false, true],
                            "lifetime-by-class": [0.0, 0.0], "collapses": true, "lateral": "any"},
            "limits": {"cancel": true, "try-limit": 8, "parallel-tries": false, "retry-after": true,
                       "max-retry-after": 500.0, "conn-idle": 15000.0, "connect-timeout": 400.0,
                       "max-streams": 100, "most-held": 20000}
        }
    })
}

pub const EDGE: u32 = 0x0a;
pub const EDGE_2: u32 = 0x0b;
pub const PARENT: u32 = 0x0c;
pub const ORIGIN: u32 = 0x0d;

/// An edge cache, a parent and the origin.
pub fn three(edge: &Cache, parent: &Cache, origin: &Cache) -> [Listed; 3] {
    [
        Listed(EDGE, edge.address, "box"),
        Listed(PARENT, parent.address, "parent"),
        Listed(ORIGIN, origin.address, "origin"),
    ]
}

/// Adds a second edge cache to a configuration, since a read that failed at one goes to another.
pub fn with_second(config: &mut Value, second: &Cache) {
    let members = &mut config["known"]["results"][0]["fleet"]["members"];
    let mut member = members[0].clone();
    member["id"] = json!(format!("s-{EDGE_2:08x}"));
    member["host_port"] = json!(second.address.to_string());
    members.as_array_mut().expect("members").push(member);
}

static ROUTERS: AtomicUsize = AtomicUsize::new(0);

/// A router's process.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    file: PathBuf,
}

impl Router {
    pub fn start(config: &Value) -> Self {
        Self::start_as(config, "exec \"$0\" serve")
    }

    /// Starts it by a line of shell, in which `$0` is the program.
    pub fn start_as(config: &Value, line: &str) -> Self {
        let number = ROUTERS.fetch_add(1, Ordering::SeqCst);
        let file = std::env::temp_dir().join(format!("basaltgw-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a configuration file");
        let mut child = Command::new("/bin/sh")
            .args(["-c", line, env!("CARGO_BIN_EXE_basaltgw")])
            .env("GW_CONFIG", &file)
            .env_remove("GW_LISTEN")
            .env_remove("GW_NAME")
            .stderr(Stdio::piped())
            .spawn()
            .expect("a router");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (into, stderr) = (Arc::clone(&lines), child.stderr.take().expect("standard error"));
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                into.lock().expect("lock").push(line);
            }
        });
        let listens = || {
            let lines = lines.lock().expect("lock");
            lines.iter().find_map(|l| l.split_once("listens at ")?.1.parse().ok())
        };
        until("the router listens", || listens().is_some());
        let address = listens().expect("an address");
        Self { child, address, lines, file }
    }

    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).expect("a connection"))
    }

    pub fn signal(&self, name: &str) {
        let done =
            Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        assert!(done.expect("kill").success());
    }

    /// Waits for the end of the process.
    pub fn ended(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            assert!(start.elapsed() < PATIENCE, "the router never ended");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn said(&self, text: &str) -> bool {
        self.lines.lock().expect("lock").iter().any(|l| l.contains(text))
    }

    /// Replaces the configuration file; a router hears of it by SIGHUP.
    pub fn rewrite(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a configuration file");
    }

    /// A counter, as printed on request.
    pub fn counter(&self, name: &str) -> u64 {
        let printed = |l: &&String| l.contains("clients_now=");
        let count = || self.lines.lock().expect("lock").iter().filter(printed).count();
        let before = count();
        self.signal("USR1");
        until("counters are printed", || count() > before);
        let lines = self.lines.lock().expect("lock");
        let line = lines.iter().rfind(printed).expect("a line");
        let found = line.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")));
        found.and_then(|n| n.parse().ok()).expect("the counter")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

// ---- Clients ----

/// An answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub tag: u64,
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Got {
    pub fn field(&self, name: &str) -> Option<String> {
        Fields::read(self.fields.as_bytes()).expect("fields").get(name).map(str::to_string)
    }
}

static IDS: AtomicUsize = AtomicUsize::new(1);

pub struct Client {
    pub socket: TcpStream,
    decoder: Decoder,
}

impl Client {
    pub fn new(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Self { socket, decoder: Decoder::new(WIDE) }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).expect("written");
    }

    /// Sends a request; gives its id.
    pub fn ask(&mut self, tag: u64, class: &str, object: u64, more: &str, body: &[u8]) -> String {
        self.ask_for(5000, tag, class, object, more, body)
    }

    /// The same, for a client that waits so many milliseconds.
    pub fn ask_for(
        &mut self,
        wait: u64,
        tag: u64,
        class: &str,
        object: u64,
        more: &str,
        body: &[u8],
    ) -> String {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        let fields = format!("i={id},d={wait},o={object:016x},nth=0,batch=17{more}");
        let tag = tag.to_string();
        self.write(&encode(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), body]));
        id
    }

    /// Sends a request on a connection that the router may have closed.
    pub fn try_ask(&mut self, tag: u64, class: &str, object: u64) {
        let (id, tag) = (format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst)), tag.to_string());
        let fields = format!("i={id},d=5000,o={object:016x},nth=0,batch=17");
        let bytes = encode(&[b"DO", tag.as_bytes(), class.as_bytes(), fields.as_bytes(), b""]);
        let _ = self.socket.write_all(&bytes);
    }

    pub fn say(&mut self, verb: &str, tag: u64) {
        self.write(&encode(&[verb.as_bytes(), tag.to_string().as_bytes(), b""]));
    }

    /// The next answer; `None` once the connection is over.
    pub fn next(&mut self) -> Option<Got> {
        loop {
            if let Some(words) = self.decoder.message().expect("an answer that can be read") {
                let word = |i: usize| words.get(i).cloned().unwrap_or_default();
                let text = |i: usize| String::from_utf8(word(i)).expect("text");
                let tag = text(0).parse().expect("a tag");
                return Some(Got { tag, word: text(1), fields: text(2), body: word(3) });
            }
            let mut piece = [0; 65536];
            match self.socket.read(&mut piece) {
                Ok(0) => return None,
                Ok(n) => self.decoder.feed(&piece[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                    return None
                }
                Err(e) => panic!("no answer: {e}"),
            }
        }
    }

    /// The next answer, which has to come.
    pub fn must(&mut self) -> Got {
        self.next().expect("an answer")
    }

    /// All answers up to the one to a `PING`, which is sent now: what is not among them never came.
    pub fn settle(&mut self) -> Vec<Got> {
        self.say("PING", 999_999);
        let mut all = Vec::new();
        loop {
            let got = self.must();
            if got.tag == 999_999 {
                return all;
            }
            all.push(got);
        }
    }
}
