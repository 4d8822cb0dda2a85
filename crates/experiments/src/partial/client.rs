//! Clients of scatter-gather requests, the log of their requests, and the check of the answers.

use basaltgw_emulator::rig::archive::copy_creation_ms;
use basaltgw_resp::{encode, parse_integer, Decoder, Fields, MessageLimits};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Branches in the order of their routers; branch n has part n.
const BRANCHES: [&str; 3] = ["north", "south", "east"];
/// Limits of a message with an answer.
const ANSWER_LIMITS: MessageLimits = MessageLimits { max_elements: 8, max_bytes: 300_000 };
/// Time beyond the deadline in which an answer still counts: the 50 ms that the users allow, and the delay of a busy machine.
const SLACK_MS: u64 = 50 + 450;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Status of an answer with all parts.
pub const COMPLETE: &str = "200";
/// Status of an answer with some parts and a continuation.
pub const PARTIAL: &str = "206";
/// Status of an answer that rejects the request.
pub const REJECTED: &str = "503";
/// Status of an answer that reports a failed request.
pub const FAILED: &str = "500";
/// The purge group of all requested objects.
const PURGE_GROUP: u64 = 17;

/// What a partial answer left out, and how to request it.
#[derive(Clone, Debug)]
pub struct Continuation {
    /// The identifier of the continuation.
    pub name: String,
    /// The missing parts.
    pub missing: BTreeSet<u64>,
    /// The version of the object that the answer was made of.
    version: u64,
}

/// An answer as it arrived.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Time of arrival, in the log's milliseconds.
    pub at_ms: u64,
    /// One of [`COMPLETE`], [`PARTIAL`], [`REJECTED`] and [`FAILED`], or another status.
    pub status: String,
    pub fields: String,
    /// The bytes of all parts, one after the other.
    pub body: Vec<u8>,
}

/// A request with everything that its client received for it. Times are in the log's milliseconds.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The router that the request was sent to.
    pub router: usize,
    pub object: u64,
    pub parts: Vec<u64>,
    /// The continuation that the request asks for.
    pub continuation: Option<Continuation>,
    pub sent_ms: u64,
    /// All answers; there should be one.
    pub answers: Vec<Answer>,
    /// When the connection ended without an answer.
    pub lost_ms: Option<u64>,
}

/// What a valid answer contains.
struct ValidAnswer {
    version: u64,
    missing: BTreeSet<u64>,
}

fn part_numbers(text: &str) -> Option<BTreeSet<u64>> {
    text.split('+').map(parse_integer).collect()
}

impl RequestRecord {
    /// Checks that an answer with status `200` or `206` has the requested parts, as its fields describe them.
    fn validate(&self, answer: &Answer) -> Result<ValidAnswer, String> {
        let fields = Fields::parse(answer.fields.as_bytes())
            .ok_or_else(|| format!("unreadable fields {:?}", answer.fields))?;
        let (received, version) = self.validate_parts(&fields, &answer.body)?;
        let missing = fields
            .get("missing")
            .map_or(Some(BTreeSet::new()), part_numbers)
            .ok_or_else(|| format!("unreadable field missing in {:?}", answer.fields))?;
        let expected: Vec<u64> = self.parts.iter().copied().filter(|part| !missing.contains(part)).collect();
        if received != expected || missing.iter().any(|part| !self.parts.contains(part)) {
            return Err(format!("requested {:?}, received {received:?}, missing {missing:?}", self.parts));
        }
        if (answer.status == COMPLETE) != missing.is_empty() {
            return Err(format!("status {} with {missing:?} missing", answer.status));
        }
        if missing.contains(&0) || received.len() * 2 < self.parts.len() {
            return Err(format!("fewer parts than the rules require: missing {missing:?}"));
        }
        match &self.continuation {
            Some(continuation) if continuation.version != version => Err(format!(
                "the continuation is of version {}, the answer of version {version}",
                continuation.version
            )),
            Some(_) | None => Ok(ValidAnswer { version, missing }),
        }
    }

    /// Checks the bytes of all parts in a body; returns the parts and their common version.
    fn validate_parts(&self, fields: &Fields, body: &[u8]) -> Result<(Vec<u64>, u64), String> {
        let (mut rest, mut versions, mut parts) = (body, BTreeSet::new(), Vec::new());
        for pair in fields.get("parts").ok_or("the answer has no field parts")?.split('+') {
            let (part, length) =
                pair.split_once(':').ok_or_else(|| format!("field parts: no length in {pair:?}"))?;
            let part = parse_integer(part)
                .ok_or_else(|| format!("field parts: the part in {pair:?} is not a number"))?;
            let length = parse_integer(length)
                .and_then(|n| usize::try_from(n).ok())
                .ok_or_else(|| format!("field parts: the length in {pair:?} is invalid"))?;
            let (bytes, after) = rest.split_at_checked(length).ok_or_else(|| {
                format!("the body has fewer bytes than the field parts announces for part {part}")
            })?;
            rest = after;
            if !bytes.starts_with(format!("{:016x}/{part}@", self.object).as_bytes()) {
                return Err(format!(
                    "part {part} has the bytes of another part: {}",
                    String::from_utf8_lossy(bytes)
                ));
            }
            versions.insert(
                copy_creation_ms(bytes).ok_or_else(|| format!("the bytes of part {part} have no version"))?,
            );
            parts.push(part);
        }
        if !rest.is_empty() {
            return Err(format!("the body has {} bytes more than the field parts announces", rest.len()));
        }
        let versions: Vec<u64> = versions.into_iter().collect();
        match versions[..] {
            [version] => Ok((parts, version)),
            _ => Err(format!("the parts are of several versions: {versions:?}")),
        }
    }

    /// Returns the first answer.
    pub fn answer(&self) -> Option<&Answer> {
        self.answers.first()
    }

    /// Whether the first answer has this status.
    pub fn has_status(&self, status: &str) -> bool {
        self.answer().is_some_and(|answer| answer.status == status)
    }

    /// Returns the continuation of a valid partial answer.
    pub fn offered_continuation(&self) -> Option<Continuation> {
        let answer = self.answer().filter(|answer| answer.status == PARTIAL)?;
        let valid = self.validate(answer).ok()?;
        let name = Fields::parse(answer.fields.as_bytes())?.get("debt")?.to_string();
        Some(Continuation { name, missing: valid.missing, version: valid.version })
    }
}

/// The requests of all clients, in the order in which they were sent.
pub struct RequestLog {
    started: Instant,
    records: Mutex<Vec<RequestRecord>>,
}

impl RequestLog {
    /// Returns an empty log, whose time starts now.
    pub fn new() -> Self {
        Self { started: Instant::now(), records: Mutex::default() }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns all records.
    pub fn records(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        self.records.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a record and returns its index.
    fn add(&self, record: RequestRecord) -> usize {
        let mut records = self.records();
        records.push(record);
        records.len() - 1
    }
}

/// A connection to a router.
struct Connection {
    socket: TcpStream,
    decoder: Decoder,
    /// Indexes of the requests in the log, by their tag.
    tags: BTreeMap<u64, usize>,
}

impl Connection {
    fn open(address: &SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect_timeout(address, CONNECT_TIMEOUT)?;
        let _ = socket.set_nodelay(true);
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { socket, decoder: Decoder::new(ANSWER_LIMITS), tags: BTreeMap::new() })
    }

    /// Reads the available bytes and records complete answers; returns false if the connection has ended.
    fn receive(&mut self, log: &RequestLog) -> bool {
        let mut buffer = [0; 4096];
        match self.socket.read(&mut buffer) {
            Ok(0) => return false,
            Ok(n) => self.decoder.feed(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return true,
            Err(_) => return false,
        }
        while let Ok(Some(elements)) = self.decoder.next_message() {
            let text = |i: usize| {
                elements.get(i).map(|e| String::from_utf8_lossy(e).into_owned()).unwrap_or_default()
            };
            let Some(index) = parse_integer(&text(0)).and_then(|tag| self.tags.get(&tag)) else { continue };
            let body = elements.get(3).cloned().unwrap_or_default();
            let answer = Answer { at_ms: log.now_ms(), status: text(1), fields: text(2), body };
            log.records()[*index].answers.push(answer);
        }
        true
    }
}

/// A client of one router.
pub struct Client<'a> {
    router: usize,
    address: SocketAddr,
    log: &'a RequestLog,
    deadline_ms: u64,
    connection: Option<Connection>,
    /// The next request id, which all clients share.
    ids: &'a AtomicU64,
}

impl<'a> Client<'a> {
    /// Returns a client that connects at its first request.
    pub fn new(
        router: usize,
        address: SocketAddr,
        log: &'a RequestLog,
        deadline_ms: u64,
        ids: &'a AtomicU64,
    ) -> Self {
        Self { router, address, log, deadline_ms, connection: None, ids }
    }

    /// Sends a request and waits for its answer or the end of its deadline; returns `None` if there was no connection.
    pub fn request(
        &mut self,
        object: u64,
        parts: Vec<u64>,
        continuation: Option<Continuation>,
    ) -> Option<RequestRecord> {
        if self.connection.is_none() {
            self.connection = Some(Connection::open(&self.address).ok()?);
        }
        let connection = self.connection.as_mut()?;
        let id = self.ids.fetch_add(1, Ordering::SeqCst);
        let bytes = encode_request(id, self.deadline_ms, object, &parts, continuation.as_ref());
        let sent_ms = self.log.now_ms();
        let (router, answers, lost_ms) = (self.router, vec![], None);
        let record = RequestRecord { router, object, parts, continuation, sent_ms, answers, lost_ms };
        let index = self.log.add(record);
        connection.tags.insert(id, index);
        let mut connected = connection.socket.write_all(&bytes).is_ok();
        let end_ms = sent_ms + self.deadline_ms + SLACK_MS;
        while connected && self.log.now_ms() < end_ms && self.log.records()[index].answers.is_empty() {
            connected = connection.receive(self.log);
        }
        let mut records = self.log.records();
        if !connected {
            self.connection = None;
            records[index].lost_ms = Some(self.log.now_ms());
        }
        Some(records[index].clone())
    }
}

/// Encodes a request of the class `pages` for parts of an object, or for a continuation that completes it.
fn encode_request(
    id: u64,
    deadline_ms: u64,
    object: u64,
    parts: &[u64],
    continuation: Option<&Continuation>,
) -> Vec<u8> {
    let parts: Vec<String> =
        parts.iter().map(|part| format!("{part}@{}", BRANCHES[*part as usize % BRANCHES.len()])).collect();
    let parts = parts.join("+");
    let debt = continuation.map(|c| format!(",debt={}", c.name)).unwrap_or_default();
    let fields =
        format!("i={id:016x},d={deadline_ms},o={object:016x},nth=0,batch={PURGE_GROUP},parts={parts}{debt}");
    encode(&[b"DO", id.to_string().as_bytes(), b"pages", fields.as_bytes(), b""])
}

/// The time during which a router was down.
pub struct Downtime {
    pub router: usize,
    /// When the router was killed.
    pub from_ms: u64,
    /// When the router served again.
    pub to_ms: u64,
}

/// Checks that each request has one valid answer in time, unless its router was down; describes the violations.
pub fn find_violations(records: &[RequestRecord], downtimes: &[Downtime], deadline_ms: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records {
        let latest_ms = record.sent_ms + deadline_ms + SLACK_MS;
        let was_down = downtimes.iter().any(|down| {
            down.router == record.router && down.from_ms <= latest_ms && down.to_ms >= record.sent_ms
        });
        let violation = match &record.answers[..] {
            [answer] if answer.at_ms > latest_ms => {
                Some(format!("answered after {} ms", answer.at_ms - record.sent_ms))
            }
            [answer] if answer.status == COMPLETE || answer.status == PARTIAL => {
                record.validate(answer).err()
            }
            [_] => None,
            [] if was_down => None,
            [] => Some(match record.lost_ms {
                Some(at_ms) => {
                    format!("the connection ended without an answer after {} ms", at_ms - record.sent_ms)
                }
                None => format!("no answer within {} ms", latest_ms - record.sent_ms),
            }),
            [..] => Some(format!("{} answers to one request", record.answers.len())),
        };
        let describe = |violation| format!("router {}, object {}: {violation}", record.router, record.object);
        violations.extend(violation.map(describe));
    }
    violations
}

#[cfg(test)]
mod tests;
