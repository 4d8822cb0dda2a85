//! Stand-ins and helpers that the cases share: RESP messages, caches, a change log, clients, routers as processes, and the record of a run.
//! Standard library only. All addresses are loopback addresses; ports are chosen by the system.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the run has its disruption: `TROUBLE=0` takes it away.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: one line for each thing that was sent, answered or run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<io::BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = io::BufWriter::new(File::create(path)?);
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:10.1} ms  {text}");
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        self.flush();
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
    pub fn hex(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// A seed that differs from run to run.
pub fn seed() -> u64 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    (nanos ^ (u64::from(std::process::id()) << 40)) | 1
}

// RESP arrays of bulk strings.

pub type Message = Vec<Vec<u8>>;

pub fn encode(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

fn header(reader: &mut impl Read, kind: u8) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        if reader.read(&mut byte)? == 0 {
            return if line.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        line.push(byte[0]);
        if line.ends_with(b"\r\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&line[1..line.len() - 2]).to_string();
    let number = text.parse().ok().filter(|_| line[0] == kind);
    number.map(Some).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// The next message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl Read) -> io::Result<Option<Message>> {
    let Some(count) = header(reader, b'*')? else { return Ok(None) };
    let mut message = Vec::new();
    for _ in 0..count {
        let length = header(reader, b'$')?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes)?;
        bytes.truncate(length);
        message.push(bytes);
    }
    Ok(Some(message))
}

pub fn text(message: &Message, index: usize) -> String {
    message.get(index).map(|b| String::from_utf8_lossy(b).to_string()).unwrap_or_default()
}

/// The fields `name=value,name=value` of a message.
pub fn fields(text: &str) -> BTreeMap<String, String> {
    text.split(',').filter_map(|p| p.split_once('=')).map(|(n, v)| (n.to_string(), v.to_string())).collect()
}

// Caches, parents and the origin.

/// A fetch that has arrived whole at a cache.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub at: f64,
    pub server: String,
    pub id: String,
    pub class: String,
    pub object: String,
    pub part: String,
    pub source: String,
    pub fields: String,
}

/// The bytes that a cache has for a part of an object: they tell which object they are of.
pub fn body_of(object: &str, part: &str) -> Vec<u8> {
    format!("object {object} part {part};").repeat(8).into_bytes()
}

/// The answer of a loan: it tells which object was lent under which id.
pub fn receipt_of(id: &str, object: &str) -> Vec<u8> {
    format!("receipt of {id} for object {object}").into_bytes()
}

/// A cache, a parent or the origin: takes every request, answers it after `service_ms`, and records what it was sent.
pub struct Cache {
    pub id: String,
    pub address: SocketAddr,
    pub fetches: Arc<Mutex<Vec<Fetch>>>,
    pub service_ms: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
    pub in_progress: Arc<Mutex<BTreeSet<String>>>,
}

impl Cache {
    pub fn start(id: &str, service_ms: u64, receipts: &'static [&'static str], record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let cache = Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            fetches: Arc::default(),
            service_ms: Arc::new(AtomicU64::new(service_ms)),
            open: Arc::default(),
            stopped: Arc::default(),
            in_progress: Arc::default(),
        };
        let (open, stopped) = (Arc::clone(&cache.open), Arc::clone(&cache.stopped));
        let (fetches, service, progress) =
            (Arc::clone(&cache.fetches), Arc::clone(&cache.service_ms), Arc::clone(&cache.in_progress));
        let (server, record) = (cache.id.clone(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let _ = socket.set_nodelay(true);
                if let Ok(copy) = socket.try_clone() {
                    if let Ok(mut open) = open.lock() {
                        open.push(copy);
                    }
                }
                let (fetches, service, progress) =
                    (Arc::clone(&fetches), Arc::clone(&service), Arc::clone(&progress));
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || serve_cache(socket, &server, &fetches, &service, &progress, receipts, &record));
            }
        });
        Ok(cache)
    }

    /// Ends the process that the cache stands for: it listens no more, and its connections end.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for socket in self.open.lock().map(|mut o| std::mem::take(&mut *o)).unwrap_or_default() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    pub fn count(&self) -> usize {
        self.fetches.lock().map_or(0, |f| f.len())
    }

    pub fn all(&self) -> Vec<Fetch> {
        self.fetches.lock().map(|f| f.clone()).unwrap_or_default()
    }
}

fn serve_cache(
    socket: TcpStream,
    server: &str,
    fetches: &Arc<Mutex<Vec<Fetch>>>,
    service: &Arc<AtomicU64>,
    progress: &Arc<Mutex<BTreeSet<String>>>,
    receipts: &'static [&'static str],
    record: &Record,
) {
    let Ok(writer) = socket.try_clone() else { return };
    let writer = Arc::new(Mutex::new(writer));
    let aborted: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut reader = BufReader::new(socket);
    while let Ok(Some(message)) = read_message(&mut reader) {
        let (verb, id) = (text(&message, 0), text(&message, 1));
        match verb.as_str() {
            "alive" => {
                let answer = encode(&[id.as_bytes(), b"yes", b"-"]);
                if writer.lock().map_or(true, |mut w| w.write_all(&answer).is_err()) {
                    return;
                }
            }
            "abort" => {
                record.line(&format!("{server} got abort {id}"));
                if let Ok(mut aborted) = aborted.lock() {
                    aborted.insert(id);
                }
            }
            "fetch" => {
                let list = text(&message, 2);
                let f = fields(&list);
                let get = |name: &str| f.get(name).cloned().unwrap_or_default();
                let fetch = Fetch {
                    at: record.now(),
                    server: server.to_string(),
                    id: id.clone(),
                    class: get("c"),
                    object: get("k"),
                    part: get("p"),
                    source: get("from"),
                    fields: list.clone(),
                };
                record.line(&format!("{server} got fetch {id} {list}"));
                if let Ok(mut fetches) = fetches.lock() {
                    fetches.push(fetch.clone());
                }
                if let Ok(mut p) = progress.lock() {
                    p.insert(id.clone());
                }
                let (writer, aborted, progress) = (Arc::clone(&writer), Arc::clone(&aborted), Arc::clone(progress));
                let (service, record, server) = (Arc::clone(service), record.clone(), server.to_string());
                thread::spawn(move || {
                    sleep_ms(service.load(Ordering::SeqCst));
                    if let Ok(mut p) = progress.lock() {
                        p.remove(&id);
                    }
                    if aborted.lock().is_ok_and(|a| a.contains(&id)) {
                        return;
                    }
                    let lends = receipts.contains(&fetch.class.as_str());
                    let body =
                        if lends { receipt_of(&id, &fetch.object) } else { body_of(&fetch.object, &fetch.part) };
                    let fields = format!("ver=4be0c1927d55a6f3,born={:.0},note=hit,load=inflight:1;x0:0.7", unix_ms() - 5.0);
                    let answer = encode(&[id.as_bytes(), b"ok", fields.as_bytes(), &body]);
                    if writer.lock().is_ok_and(|mut w| w.write_all(&answer).is_ok()) {
                        record.line(&format!("{server} answered {id} ok"));
                    }
                });
            }
            _ => return,
        }
    }
}

// The change log.

/// A server as the change log lists it.
#[derive(Clone)]
pub struct Listed {
    pub number: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub weight: u32,
    pub started: u64,
}

pub fn server_id(number: u32) -> String {
    format!("s-{number:08x}")
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = ((9 + payload.len()) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&number.to_be_bytes());
    out.push(kind);
    out.extend_from_slice(payload);
    out
}

fn list_record(s: &Listed) -> Vec<u8> {
    let mut out = s.number.to_be_bytes().to_vec();
    if let SocketAddr::V4(v4) = s.address {
        out.extend_from_slice(&v4.ip().octets());
    }
    out.extend_from_slice(&s.address.port().to_be_bytes());
    out.extend_from_slice(&[s.state, s.zone, s.kind]);
    out.extend_from_slice(&0u16.to_be_bytes());
    out.extend_from_slice(&s.weight.to_be_bytes());
    out.extend_from_slice(&s.started.to_be_bytes());
    out
}

struct LogState {
    /// Number, kind and payload of each event.
    events: Vec<(u64, u8, Vec<u8>)>,
    last: u64,
}

/// A change log: sends each event after the one that is named, and an empty frame each second. All that it sends arrives `delay_ms` later.
pub struct ChangeLog {
    pub address: SocketAddr,
    state: Arc<(Mutex<LogState>, Condvar)>,
    pub delay_ms: Arc<AtomicU64>,
    pub connections: Arc<AtomicU64>,
}

impl ChangeLog {
    pub fn start(last: u64, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let log = Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(LogState { events: Vec::new(), last }), Condvar::new())),
            delay_ms: Arc::default(),
            connections: Arc::default(),
        };
        let (state, delay, connections, record) =
            (Arc::clone(&log.state), Arc::clone(&log.delay_ms), Arc::clone(&log.connections), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let number = connections.fetch_add(1, Ordering::SeqCst) + 1;
                let (state, delay, record) = (Arc::clone(&state), Arc::clone(&delay), record.clone());
                thread::spawn(move || serve_log(socket, number, &state, &delay, &record));
            }
        });
        Ok(log)
    }

    fn add(&self, kind: u8, payload: Vec<u8>) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("lock");
        state.last += 1;
        let number = state.last;
        state.events.push((number, kind, payload));
        changed.notify_all();
        number
    }

    /// Adds an event with changes of the list; returns its number.
    pub fn change(&self, servers: &[Listed]) -> u64 {
        self.add(2, servers.iter().flat_map(list_record).collect())
    }

    pub fn purge_object(&self, object: u64, time: u64) -> u64 {
        let mut payload = object.to_be_bytes().to_vec();
        payload.extend_from_slice(&time.to_be_bytes());
        self.add(3, payload)
    }

    pub fn purge_group(&self, group: u16, time: u64) -> u64 {
        let mut payload = group.to_be_bytes().to_vec();
        payload.extend_from_slice(&time.to_be_bytes());
        self.add(4, payload)
    }
}

fn serve_log(
    mut socket: TcpStream,
    number: u64,
    state: &Arc<(Mutex<LogState>, Condvar)>,
    delay: &Arc<AtomicU64>,
    record: &Record,
) {
    let _ = socket.set_nodelay(true);
    let mut from = [0; 8];
    if socket.read_exact(&mut from).is_err() {
        return;
    }
    let mut next = u64::from_be_bytes(from) + 1;
    record.line(&format!("change log: connection {number} asks for what follows event {}", next - 1));
    let (lock, changed) = &**state;
    // What is on its way, with the time at which it arrives.
    let mut way: VecDeque<(Instant, Vec<u8>, String)> = VecDeque::new();
    let mut empty_at = Instant::now() + Duration::from_millis(1000);
    let mut latest = Instant::now();
    loop {
        let now = Instant::now();
        let late = Duration::from_millis(delay.load(Ordering::SeqCst));
        {
            let state = lock.lock().expect("lock");
            while let Some((n, kind, payload)) = state.events.iter().find(|(n, _, _)| *n == next) {
                latest = latest.max(now + late);
                way.push_back((latest, frame(*n, *kind, payload), format!("event {n}")));
                next += 1;
            }
            if now >= empty_at {
                latest = latest.max(now + late);
                way.push_back((latest, frame(state.last, 0, &[]), String::new()));
                empty_at += Duration::from_millis(1000);
            }
            drop(changed.wait_timeout(state, Duration::from_millis(5)));
        }
        while way.front().is_some_and(|(at, _, _)| *at <= Instant::now()) {
            let Some((_, bytes, name)) = way.pop_front() else { break };
            if socket.write_all(&bytes).is_err() {
                return;
            }
            if !name.is_empty() {
                record.line(&format!("change log: connection {number} was told {name}"));
            }
        }
        // The end of the connection.
        let _ = socket.set_nonblocking(true);
        let ended = matches!(socket.read(&mut [0; 64]), Ok(0))
            || matches!(socket.peek(&mut [0; 1]), Err(e) if e.kind() != io::ErrorKind::WouldBlock);
        let _ = socket.set_nonblocking(false);
        if ended {
            record.line(&format!("change log: connection {number} was closed by the router"));
            return;
        }
    }
}

// Clients.

extern "C" {
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}

/// An answer of a router.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// A client's connection, on which answers are gathered by their tags.
pub struct Client {
    socket: TcpStream,
    name: String,
    answers: Arc<(Mutex<BTreeMap<u64, Vec<Answer>>>, Condvar)>,
    pub ended: Arc<AtomicBool>,
    next_tag: AtomicU64,
    record: Record,
}

impl Client {
    pub fn connect(name: &str, address: SocketAddr, record: &Record) -> io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        let reader = socket.try_clone()?;
        let answers: Arc<(Mutex<BTreeMap<u64, Vec<Answer>>>, Condvar)> = Arc::default();
        let ended: Arc<AtomicBool> = Arc::default();
        let (a, e, r, n) = (Arc::clone(&answers), Arc::clone(&ended), record.clone(), name.to_string());
        thread::spawn(move || {
            let mut reader = BufReader::new(reader);
            while let Ok(Some(message)) = read_message(&mut reader) {
                let tag = text(&message, 0).parse().unwrap_or(0);
                let answer = Answer {
                    at: r.now(),
                    word: text(&message, 1),
                    fields: text(&message, 2),
                    body: message.get(3).cloned().unwrap_or_default(),
                };
                r.line(&format!("{n} got answer {tag} {} {} body {:?}", answer.word, answer.fields,
                    String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)])));
                if let Ok(mut all) = a.0.lock() {
                    all.entry(tag).or_default().push(answer);
                }
                a.1.notify_all();
            }
            e.store(true, Ordering::SeqCst);
            a.1.notify_all();
        });
        Ok(Self { socket, name: name.to_string(), answers, ended, next_tag: AtomicU64::new(1), record: record.clone() })
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.socket).write_all(bytes)
    }

    /// Sends a request; returns its tag.
    pub fn send(&self, class: &str, fields: &str, body: &[u8]) -> io::Result<u64> {
        let tag = self.next_tag.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("{} sends DO {tag} {class} {fields}", self.name));
        self.write(&encode(&[b"DO", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body]))?;
        Ok(tag)
    }

    /// Bytes that were written and that the other machine has not acknowledged yet.
    pub fn unacknowledged(&self) -> u64 {
        const TIOCOUTQ: u64 = 0x5411;
        let mut bytes: i32 = 0;
        let code = unsafe { ioctl(self.socket.as_raw_fd(), TIOCOUTQ, &mut bytes as *mut i32) };
        if code == 0 { bytes.max(0) as u64 } else { u64::MAX }
    }

    pub fn cancel(&self, tag: u64) -> io::Result<()> {
        self.record.line(&format!("{} sends UNDO {tag}", self.name));
        self.write(&encode(&[b"UNDO", tag.to_string().as_bytes()]))
    }

    pub fn ping(&self, wait_ms: u64) -> Option<Answer> {
        let tag = self.next_tag.fetch_add(1, Ordering::SeqCst);
        self.write(&encode(&[b"PING", tag.to_string().as_bytes(), b""])).ok()?;
        self.wait(tag, wait_ms)
    }

    /// The answer under a tag; `None` if none came in time.
    pub fn wait(&self, tag: u64, wait_ms: u64) -> Option<Answer> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut all = self.answers.0.lock().ok()?;
        loop {
            if let Some(found) = all.get(&tag).and_then(|a| a.first()) {
                return Some(found.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.ended.load(Ordering::SeqCst) {
                return None;
            }
            all = self.answers.1.wait_timeout(all, left.min(Duration::from_millis(50))).ok()?.0;
        }
    }

    /// All answers under a tag so far.
    pub fn answers(&self, tag: u64) -> Vec<Answer> {
        self.answers.0.lock().ok().and_then(|a| a.get(&tag).cloned()).unwrap_or_default()
    }

    pub fn close(&self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

// Routers.

/// The command of `run` in deploy/balancer.toml.
pub fn run_command(root: &Path) -> io::Result<String> {
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = deploy.lines().find(|l| l.starts_with("run")).ok_or(io::ErrorKind::NotFound)?;
    line.split('"').nth(1).map(str::to_string).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// A router as a process.
pub struct Router {
    pub name: String,
    pub listen: SocketAddr,
    pub child: Child,
}

/// Notes the id of a process that was started, so that run.sh can end it if the driver is cut off.
fn note_pid(pid: u32) {
    let case = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    if let Ok(mut file) = std::fs::OpenOptions::new().append(true).open(case.join("pids.txt")) {
        let _ = writeln!(file, "{pid}");
    }
}

/// A loopback address at which nobody listens now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Router {
    /// Starts `run`, with `more` after it; its log goes to a file in `folder`.
    pub fn start(root: &Path, folder: &Path, name: &str, listen: SocketAddr, config: &Path, more: &str) -> io::Result<Self> {
        let command = format!("{} {more}", run_command(root)?);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(root)
            .env("GW_CONFIG", config)
            .env("GW_NAME", name)
            .env("GW_LISTEN", listen.to_string())
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_pid(child.id());
        Ok(Self { name: name.to_string(), listen, child })
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Waits until `PING` is answered with `serving`.
    pub fn wait_ready(&self, record: &Record, wait_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while Instant::now() < until {
            if let Ok(client) = Client::connect(&format!("front to {}", self.name), self.listen, record) {
                if client.ping(500).is_some_and(|a| a.word == "serving") {
                    client.close();
                    return true;
                }
                client.close();
            }
            sleep_ms(50);
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_pid(self.child.id());
    }
}

/// Takes a process that has ended off the list.
fn forget_pid(pid: u32) {
    let file = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into())).join("pids.txt");
    if let Ok(text) = std::fs::read_to_string(&file) {
        let rest: String = text.lines().filter(|l| *l != pid.to_string()).map(|l| format!("{l}\n")).collect();
        let _ = std::fs::write(&file, rest);
    }
}

/// A temporary folder, removed at the end.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn new() -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("basaltgw-review-{}-{:x}", std::process::id(), seed()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The settings of a small deployment like stripbib-reader, with these effects of its classes.
pub fn settings(routers: usize, pages: &str, thumbs: &str, loan: &str) -> String {
    format!(
        r#"{{"areas":["north-hub","branch-1"],"my-zone":"branch-1","kinds":["standard","district","archive"],
"peers-total":{routers},"granularity":2.0,"discovery":"automatic","weight-kind":"nominal",
"report":{{"how":"piggyback","fields":["inflight","x0"]}},
"services":[
{{"name":"album-pages","idempotency":"{pages}","slo":500,"aim-stretch":2,"deadline":5000,"worth":2,"late-worth":0.2,"window":5000,"key-scope":"all","stream":false}},
{{"name":"thumbs","idempotency":"{thumbs}","slo":250,"aim-stretch":2,"deadline":2500,"worth":1,"late-worth":0.1,"window":5000,"key-scope":"all","stream":false}},
{{"name":"loan-checkout","idempotency":"{loan}","slo":700,"aim-stretch":0,"deadline":3000,"worth":3,"late-worth":0,"window":5000,"key-scope":"all","stream":false}}],
"contract":{{"cold":18000,"cold-share":0.24,"drain-grace":250,"fall":3000,"fall-multiple":2.5,"answer-slack":8,"ask-within":10000}},
"family":"edge",
"family-info":{{"shield-kind":1,"store-kind":2,"pass-through-ok":true,"purge-settles":6000,"heed-within":300,
"goes-through":[false,false,true],"lifetime-by-class":[0,0,0],"class-grace":[0,0,0],"collapses":true,"lateral":"any","detail":"all",
"count-by-zone":[0,{routers}],"zone-hub":[0,0],"parent-cold-from":0.092,"upper-cold":22000,"parent-fall-multiple":2,"pace-kb-per-s":8000}},
"limits":{{"cancel":true,"try-limit":8,"parallel-tries":false,"probes":false,"peers":false,"retry-after":true,"max-retry-after":500,
"conn-idle":15000,"connect-timeout":400,"max-streams":100,"most-held":20000}}}}"#
    )
}

/// The configuration of a router that knows these servers as of event 1.
pub fn configuration(name: &str, listen: SocketAddr, change_log: SocketAddr, servers: &[Listed], settings: &str) -> String {
    let zones = ["north-hub", "branch-1"];
    let kinds = ["standard", "district", "archive"];
    let members: Vec<String> = servers
        .iter()
        .map(|s| {
            format!(
                r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":0,"phase":"SERVING","size":{},"up_since_ms":{}}}"#,
                server_id(s.number), s.address, zones[s.zone as usize], kinds[s.kind as usize],
                f64::from(s.weight) / 1000.0, s.started
            )
        })
        .collect();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"changelog":"{change_log}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"seq":1,"results":[{{"seq":1,"fleet":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
"settings":{settings}}}"#,
        seed(), members.join(",")
    )
}

/// The root of the project: two folders above that of the case.
pub fn root_of(case: &Path) -> PathBuf {
    case.join("../..").canonicalize().unwrap_or_else(|_| case.join("../.."))
}

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn run_case(run: impl FnOnce(&Path, &Record) -> io::Result<bool>) -> ! {
    let case = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = match Record::create(&case.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("can't write record.txt: {e}");
            std::process::exit(2);
        }
    };
    let code = match run(&case, &record) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            2
        }
    };
    record.flush();
    std::process::exit(code);
}

pub fn fault(text: &str) -> io::Error {
    io::Error::other(text.to_string())
}

/// Writes the settings file of a router of a fleet of three; `root` is the folder for its data.
pub fn fleet_file(folder: &Path, names: &[&str], me: usize, peers: &[SocketAddr], more: &str) -> io::Result<PathBuf> {
    let mut text = format!(
        "fleet:\n  cluster: review\n  name: {}\n  branch: b{me}\n  machine: m{me}\n  listen: {}\n  folder: {}\n  peers:\n",
        names[me], peers[me], folder.join(format!("state-{}", names[me])).display()
    );
    for (i, name) in names.iter().enumerate().filter(|(i, _)| *i != me) {
        text += &format!("    - {{name: {name}, address: {}, branch: b{i}, machine: m{i}}}\n", peers[i]);
    }
    text += more;
    let path = folder.join(format!("{}.yaml", names[me]));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Waits until the log of a router has a line with this text.
pub fn wait_log(folder: &Path, name: &str, text: &str, wait_ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let log = std::fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
        if log.contains(text) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep_ms(50);
    }
}
