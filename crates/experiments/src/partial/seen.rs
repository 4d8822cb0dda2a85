//! What clients of gathers ask and see, and whether it is what was promised.

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
/// Answers' bounds: words and bytes.
const ANSWER: MessageLimits = MessageLimits { max_elements: 8, max_bytes: 300_000 };
/// Past the time that a client waits: the users' 50 ms, and what a busy machine adds.
const SLACK_MS: u64 = 50 + 450;
/// What an answer owed: under which name, which parts, of which version.
#[derive(Clone, Debug)]
pub struct Debt {
    pub name: String,
    pub missing: BTreeSet<u64>,
    made: u64,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct One {
    pub router: usize,
    pub object: u64,
    pub parts: Vec<u64>,
    pub debt: Option<Debt>,
    pub asked: u64,
    /// Answers: when, the word, the fields, the bytes.
    pub ends: Vec<(u64, String, String, Vec<u8>)>,
    /// When its connection ended without one.
    pub lost: Option<u64>,
}

/// What a right answer gave.
struct Given {
    made: u64,
    missing: BTreeSet<u64>,
}

fn numbers(text: &str) -> Option<BTreeSet<u64>> {
    text.split('+').map(parse_integer).collect()
}

impl One {
    /// Whether an answer `200` or `206` is what it says and what was asked for.
    fn right(&self, word: &str, fields: &str, body: &[u8]) -> Result<Given, String> {
        let read = Fields::parse(fields.as_bytes()).ok_or("fields that can't be read")?;
        let (mut left, mut versions, mut given) = (body, BTreeSet::new(), Vec::new());
        for pair in read.get("parts").ok_or("no parts")?.split('+') {
            let (part, length) = pair.split_once(':').ok_or("a part without its length")?;
            let part = parse_integer(part).ok_or("a part that is no number")?;
            let length = parse_integer(length).and_then(|n| usize::try_from(n).ok()).ok_or("a length")?;
            let (bytes, rest) = left.split_at_checked(length).ok_or("fewer bytes than said")?;
            left = rest;
            if !bytes.starts_with(format!("{:016x}/{part}@", self.object).as_bytes()) {
                return Err(format!("other bytes: {}", String::from_utf8_lossy(bytes)));
            }
            versions.insert(copy_creation_ms(bytes).ok_or("bytes without a version")?);
            given.push(part);
        }
        if !left.is_empty() {
            return Err("more bytes than said".into());
        }
        let missing = read.get("missing").map_or(Some(BTreeSet::new()), numbers).ok_or("missing")?;
        let rest: Vec<u64> = self.parts.iter().copied().filter(|p| !missing.contains(p)).collect();
        if given != rest || missing.iter().any(|p| !self.parts.contains(p)) {
            return Err(format!("asked {:?}, given {given:?}, missing {missing:?}", self.parts));
        }
        if (word == "200") != missing.is_empty() {
            return Err(format!("{word} with {missing:?} missing"));
        }
        if missing.contains(&0) || given.len() * 2 < self.parts.len() {
            return Err(format!("less than the rules want: missing {missing:?}"));
        }
        let [made] = versions.into_iter().collect::<Vec<_>>()[..] else {
            return Err("two versions".into());
        };
        match &self.debt {
            Some(debt) if debt.made != made => Err(format!("owed of {}, given of {made}", debt.made)),
            Some(_) | None => Ok(Given { made, missing }),
        }
    }

    pub fn answer(&self) -> Option<(&str, &str, &[u8])> {
        self.ends.first().map(|(_, word, fields, body)| (word.as_str(), fields.as_str(), body.as_slice()))
    }

    /// What is owed by its answer.
    pub fn owed(&self) -> Option<Debt> {
        let (word, fields, body) = self.answer().filter(|a| a.0 == "206")?;
        let given = self.right(word, fields, body).ok()?;
        let name = Fields::parse(fields.as_bytes())?.get("debt")?.to_string();
        Some(Debt { name, missing: given.missing, made: given.made })
    }
}

/// All that clients saw.
pub struct Seen {
    pub begun: Instant,
    pub all: Mutex<Vec<One>>,
}

impl Seen {
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn all(&self) -> MutexGuard<'_, Vec<One>> {
        self.all.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A client of one router.
pub struct Client<'a> {
    pub router: usize,
    pub at: SocketAddr,
    pub seen: &'a Seen,
    pub within: u64,
    pub socket: Option<(TcpStream, Decoder)>,
    /// Requests of this connection by tag: where each is among all.
    pub tags: BTreeMap<u64, usize>,
    pub ids: &'a AtomicU64,
}

impl Client<'_> {
    /// Asks, and waits for the end; `None` if there was no connection.
    pub fn ask(&mut self, object: u64, parts: Vec<u64>, debt: Option<Debt>) -> Option<One> {
        if self.socket.is_none() {
            let socket = TcpStream::connect_timeout(&self.at, Duration::from_secs(1)).ok()?;
            let _ = socket.set_nodelay(true);
            socket.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
            self.tags.clear();
            self.socket = Some((socket, Decoder::new(ANSWER)));
        }
        let id = self.ids.fetch_add(1, Ordering::SeqCst);
        let words: Vec<String> = parts.iter().map(|p| format!("{p}@{}", BRANCHES[*p as usize % 3])).collect();
        let owed = debt.as_ref().map(|d| format!(",debt={}", d.name)).unwrap_or_default();
        let (within, words) = (self.within, words.join("+"));
        let fields = format!("i={id:016x},d={within},o={object:016x},nth=0,batch=17,parts={words}{owed}");
        let asked = self.seen.now();
        let one = One { router: self.router, object, parts, debt, asked, ends: vec![], lost: None };
        let at = {
            let mut all = self.seen.all();
            all.push(one);
            all.len() - 1
        };
        self.tags.insert(id, at);
        let bytes = encode(&[b"DO", id.to_string().as_bytes(), b"pages", fields.as_bytes(), b""]);
        let mut up = self.socket.as_mut().is_some_and(|(s, _)| s.write_all(&bytes).is_ok());
        while up && self.seen.now() < asked + within + SLACK_MS && self.seen.all()[at].ends.is_empty() {
            up = self.hear();
        }
        let mut all = self.seen.all();
        if !up {
            self.socket = None;
            all[at].lost = Some(self.seen.now());
        }
        Some(all[at].clone())
    }

    /// Reads what is there; false if the connection has ended.
    fn hear(&mut self) -> bool {
        let Some((socket, decoder)) = &mut self.socket else { return false };
        let mut room = [0; 4096];
        match socket.read(&mut room) {
            Ok(0) => return false,
            Ok(n) => decoder.feed(&room[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return true,
            Err(_) => return false,
        }
        while let Ok(Some(words)) = decoder.next_message() {
            let word =
                |i: usize| words.get(i).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default();
            let Some(at) = parse_integer(&word(0)).and_then(|tag| self.tags.get(&tag)) else { continue };
            let body = words.get(3).cloned().unwrap_or_default();
            let now = self.seen.now();
            self.seen.all()[*at].ends.push((now, word(1), word(2), body));
        }
        true
    }
}

/// Rules broken, in words; `down` has when which router was killed, and when it served again.
pub fn check(all: &[One], down: &[(usize, u64, u64)], within: u64) -> Vec<String> {
    let mut broken = Vec::new();
    for one in all {
        let late = one.asked + within + SLACK_MS;
        let was_down = down.iter().any(|(r, from, to)| *r == one.router && *from <= late && *to >= one.asked);
        let wrong = match &one.ends[..] {
            [(at, ..)] if *at > late => Some(format!("answered after {} ms", at - one.asked)),
            [(_, word, fields, body)] if word == "200" || word == "206" => {
                one.right(word, fields, body).err()
            }
            [_] => None,
            [] if was_down => None,
            [] => Some(format!("no answer, connection lost: {:?}", one.lost)),
            [..] => Some(format!("{} answers", one.ends.len())),
        };
        broken.extend(wrong.map(|w| format!("router {}, object {}: {w}", one.router, one.object)));
    }
    broken
}

#[cfg(test)]
mod tests;
