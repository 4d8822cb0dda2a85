//! Servers: connections to caches, parents and the origin, and the attempts they carry.

use crate::clients::WireId;
use crate::clock::late;
use crate::inbox::{either, read_all, Over};
use crate::limits::{
    ABANDONED_MS, CONNS_PER_SERVER, FROM_CACHE, IDLE_SHARE, PROVEN_MS, SERVER_STALLED, SHARED, SILENT_MS,
};
use crate::outbox::{outbox, write_all, Counted, Meter, Outbox, Parcel};
use crate::resp::{decimal, encode, FieldList, Fields};
use crate::{Input, Shared};
use async_io::Async;
use basaltgw::api::{AttemptNo, End, Load, Ms, Note, Rank, ServerId};
use basaltgw_config::{Place, Transport};
use futures_lite::future;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);
/// A request in the owner's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNo(pub u64);
/// An attempt in the owner's table.
pub type AttemptKey = (RequestNo, AttemptNo);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// It never came up.
    NeverUp,
    /// It was up.
    Ended(Over),
}

/// What a server says of an attempt.
#[derive(Debug)]
pub struct Answer {
    /// The request's id.
    pub id: WireId,
    /// How the attempt ended; `None` for what answers no attempt.
    pub end: Option<End>,
    /// The client's copy is the one.
    pub same: bool,
    /// It tells which copy this is, as it must of what can be kept.
    pub copy: bool,
    /// How it came about.
    pub note: Note,
    /// Time spent waiting for the source.
    pub waited: Ms,
    /// The load report.
    pub load: Load,
    /// The object's bytes.
    pub body: Counted,
}

impl Answer {
    /// Reads an answer; `None` if it can't be read as the protocol has it. What serves has to be wholly readable.
    pub fn read(words: Vec<Vec<u8>>, meters: &[&Rc<Meter>]) -> Option<Self> {
        let mut words = words.into_iter();
        let id = words.next()?;
        let id = WireId(Arc::from(std::str::from_utf8(&id).ok()?));
        let word = words.next()?;
        let fields = words.next().unwrap_or_default();
        let fields = Fields::read(&fields)?;
        let body = words.next();
        let copy = match (fields.get("ver"), fields.get("born")) {
            (None, None) => false,
            (Some(tag), Some(born)) if !tag.is_empty() && decimal(born).is_some() => true,
            _ => return None,
        };
        let end = match word.as_slice() {
            b"ok" if body.is_some() => Some(End::Served),
            b"current" if copy => Some(End::Served),
            b"ok" | b"current" => return None,
            b"nothing" => Some(End::Miss),
            b"refused" => Some(End::Full),
            b"error" => Some(End::Error),
            b"stale" => Some(End::NotSent),
            b"yes" => None,
            // Whatever it means, the attempt may have run.
            _ => Some(End::Error),
        };
        let waited = match fields.get("waited") {
            Some(waited) => decimal(waited)?,
            None => 0.0,
        };
        Some(Self {
            id,
            end,
            same: word == b"current",
            copy,
            note: note(fields.get("note")),
            waited,
            load: fields.get("load").map(load).unwrap_or_default(),
            body: Counted::new(body.unwrap_or_default(), meters),
        })
    }
}

fn note(word: Option<&str>) -> Note {
    match word {
        Some("hit") => Note::Hit,
        Some("filled") => Note::FilledBySource,
        Some("via_origin") => Note::FilledByOrigin,
        Some("joined") => Note::Joined,
        Some("stale") => Note::Old,
        Some("src_refused") => Note::SourceRefused,
        Some("src_broke") => Note::SourceFailed,
        Some("src_lacks") => Note::SourceLacks,
        Some("no_slot") => Note::NoFillPlace,
        Some("origin_failed") => Note::OriginFailed,
        // Of caches that heed a plan; see docs/hierarchy.md.
        Some("src_looped") => Note::Looped,
        // A note that is not known tells nothing.
        Some(_) | None => Note::Untold,
    }
}

fn load(report: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in report.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        match name {
            "inflight" | "rif" => load.inflight = value,
            "util" | "busy" => load.util = value,
            "x0" => load.hits = value,
            "x1" => load.link = value,
            _ => {}
        }
    }
    load
}

/// An attempt as it is written to a server.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The request's id.
    pub id: &'a WireId,
    /// Its class.
    pub class: &'a str,
    /// The object, as the client wrote it.
    pub object: &'a str,
    /// The part.
    pub part: u64,
    /// How long the router waits.
    pub wait: Ms,
    /// Who supplies a miss.
    pub from: Option<&'a ServerId>,
    /// How the copy is kept.
    pub rank: Rank,
    /// The oldest copy that will do.
    pub oldest: Option<Ms>,
    /// Join a fill under way.
    pub share: bool,
    /// The source gives only what it holds.
    pub peek: bool,
    /// Renew behind.
    pub renew: bool,
    /// The tag of the client's copy.
    pub seen: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

impl Ask<'_> {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut fields = FieldList::default();
        fields.add("c", self.class);
        fields.add("k", self.object);
        fields.add("p", self.part);
        fields.add("w", self.wait.floor().max(1.0));
        if let Some(from) = self.from {
            fields.add("from", &*from.0);
        }
        match self.rank {
            Rank::None => {}
            Rank::Low => fields.add("rank", 1),
            Rank::Middle => fields.add("rank", 2),
            Rank::Top => fields.add("rank", 3),
        }
        if let Some(oldest) = self.oldest {
            // 0 would stand for the class's fresh time.
            fields.add("oldest", oldest.floor().max(1.0));
        }
        let modes = [(self.share, "share"), (self.peek, "peek"), (self.renew, "swr")];
        let modes: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !modes.is_empty() {
            fields.add("mode", modes.join("+"));
        }
        if let Some(seen) = self.seen {
            fields.add("seen", seen);
        }
        encode(&[b"fetch", self.id.0.as_bytes(), fields.text().as_bytes(), self.body])
    }
}

/// How an attempt was given up.
#[derive(Debug)]
pub enum GivenUp {
    /// No byte of it was written: it never ran.
    Never,
    /// It is out until the server answers under this tag, or its connection is closed.
    Behind(WireId),
    /// Its connection is closed already.
    Closed,
}

/// A connection as the owner holds it. Dropped, it is closed once what is in its outbox is written.
struct Conn {
    server: ServerId,
    place: Place,
    out: Outbox,
    up: bool,
    /// It takes no more requests.
    retired: bool,
    open: BTreeMap<WireId, AttemptKey>,
    /// Given up here; an answer may still be on its way.
    aborted: BTreeSet<WireId>,
    /// When something was asked after the last that was heard.
    asked: Option<Ms>,
    used: Ms,
    /// Its last answer.
    heard: Option<Ms>,
    /// Under this tag it was asked whether it works; what is to be written waits for the answer.
    proving: Option<WireId>,
    held: Vec<Rc<Parcel>>,
}

/// Ids that a connection remembers as given up.
const ABORTED_KEPT: usize = 1024;

impl Conn {
    /// Something was asked, and nothing at all came for long.
    fn silent(&self, now: Ms) -> bool {
        self.up && self.asked.is_some_and(|t| now - t >= SILENT_MS)
    }

    /// Nobody knows whether it works: it is new, or nothing was open on it for a while. Connections are cut when they are new or
    /// idle, and a request that crosses this may have run.
    fn unproven(&self, now: Ms) -> bool {
        self.open.is_empty() && self.heard.is_none_or(|t| now - t > PROVEN_MS)
    }

    /// Puts a request in line, behind a proof where one is needed.
    fn put(&mut self, now: Ms, at: ConnId, bytes: Vec<u8>) -> Rc<Parcel> {
        if self.proving.is_none() && self.unproven(now) {
            let tag = WireId(Arc::from(at.0.to_string()));
            self.out.put(encode(&[b"alive", tag.0.as_bytes()]));
            self.proving = Some(tag);
        }
        if self.proving.is_none() {
            return self.out.put(bytes);
        }
        let parcel = self.out.hold(bytes);
        self.held.push(Rc::clone(&parcel));
        parcel
    }

    /// Whether it takes an attempt. None under an id for which it has been asked before: an answer to that one, or a second
    /// copy of it, would pass for this one's.
    fn takes(&self, now: Ms, id: &WireId, streams: usize) -> bool {
        let free = self.open.len() < streams && !self.open.contains_key(id) && !self.aborted.contains(id);
        free && !self.retired && !self.silent(now)
    }
}

/// All connections to servers.
pub struct Caches {
    shared: Shared,
    /// Connections that may be open.
    most: usize,
    transport: Transport,
    conns: BTreeMap<ConnId, Conn>,
    /// By server.
    of_server: BTreeMap<ServerId, BTreeSet<ConnId>>,
    count: u64,
}

impl Caches {
    /// No connections yet.
    pub fn new(shared: Shared, most: usize, transport: Transport) -> Self {
        let (conns, of_server) = (BTreeMap::new(), BTreeMap::new());
        Self { shared, most, transport, conns, of_server, count: 0 }
    }

    /// Connections that are open or coming up, and how many there ever were.
    pub fn counts(&self) -> (u64, u64) {
        (self.conns.len() as u64, self.count)
    }

    /// Puts an attempt on a connection to a server's process that was not `asked` for this request, the one that carries
    /// fewest; opens one if none takes it or all carry many (for one that is best `alone`: any); `None` if none may be opened.
    pub fn send(
        &mut self,
        now: Ms,
        to: (&ServerId, Place),
        key: AttemptKey,
        (id, asked, alone): (&WireId, &[ConnId], bool),
        bytes: Vec<u8>,
    ) -> Option<(ConnId, Rc<Parcel>)> {
        let (server, place) = to;
        let streams = self.transport.max_streams;
        let mut of_server = 0;
        let mut least: Option<(usize, ConnId)> = None;
        let all = self.of_server.get(server).into_iter().flatten();
        let all = all.filter_map(|at| Some((at, self.conns.get(at)?)));
        for (at, conn) in all.filter(|(_, c)| c.place == place) {
            of_server += 1;
            let takes = !asked.contains(at) && conn.takes(now, id, streams);
            if takes && least.is_none_or(|(open, _)| conn.open.len() < open) {
                least = Some((conn.open.len(), *at));
            }
        }
        let few = least.filter(|(open, _)| *open < if alone { 1 } else { SHARED });
        let at = match (few, least) {
            (Some((_, at)), _) => at,
            _ if of_server < CONNS_PER_SERVER && self.room() => self.open(now, server, place),
            (None, Some((_, at))) => at,
            (None, None) => return None,
        };
        let conn = self.conns.get_mut(&at)?;
        let parcel = conn.put(now, at, bytes);
        conn.open.insert(id.clone(), key);
        conn.used = now;
        if conn.up {
            conn.asked.get_or_insert(now);
        }
        Some((at, parcel))
    }

    /// Whether a connection may be opened; without a place, the one that has carried nothing for longest gives up its own.
    fn room(&mut self) -> bool {
        if self.conns.len() >= self.most {
            let idle = self.conns.iter().filter(|(_, c)| c.open.is_empty() && c.out.unsent() == 0);
            let longest = idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(at, _)| *at);
            if let Some(at) = longest {
                self.remove(at);
            }
        }
        self.conns.len() < self.most
    }

    fn open(&mut self, now: Ms, server: &ServerId, place: Place) -> ConnId {
        self.count += 1;
        let at = ConnId(self.count);
        let (out, parcels) = outbox(&self.shared.meter, &Rc::default());
        let (open, aborted) = (BTreeMap::new(), BTreeSet::new());
        let of = server.clone();
        let conn = Conn {
            server: of,
            place,
            out,
            up: false,
            retired: false,
            open,
            aborted,
            asked: None,
            used: now,
            heard: None,
            proving: None,
            held: Vec::new(),
        };
        self.of_server.entry(server.clone()).or_default().insert(at);
        self.conns.insert(at, conn);
        let shared = self.shared.clone();
        let limit = Duration::from_secs_f64(self.transport.connect_timeout.clamp(1.0, 60_000.0) / 1000.0);
        let run = async move {
            let down = connection(at, place, limit, &shared, parcels).await;
            // The owner is gone only when the process ends.
            let _ = shared.queue.send(Input::CacheDown(at, down)).await;
        };
        self.shared.executor.spawn(run).detach();
        at
    }

    /// A connection came up.
    pub fn up(&mut self, now: Ms, at: ConnId) {
        if let Some(conn) = self.conns.get_mut(&at) {
            conn.up = true;
            conn.asked = Some(now).filter(|_| !conn.open.is_empty());
        }
    }

    /// True while a connection has not come up.
    pub fn coming_up(&self, at: ConnId) -> bool {
        self.conns.get(&at).is_some_and(|c| !c.up)
    }

    /// The open attempt that an answer is for, if there is one.
    pub fn answered(&mut self, now: Ms, at: ConnId, id: &WireId) -> Option<AttemptKey> {
        let conn = self.conns.get_mut(&at)?;
        let key = conn.open.remove(id);
        conn.heard = Some(now);
        if conn.proving.as_ref() == Some(id) {
            conn.proving = None;
            std::mem::take(&mut conn.held).iter().for_each(|parcel| conn.out.release(parcel));
        }
        conn.asked = Some(now).filter(|_| !conn.open.is_empty());
        conn.used = now;
        if key.is_none() {
            conn.aborted.remove(id);
        }
        key
    }

    /// Gives an attempt up. The attempt never ran if no byte of it was written; else the server has it until it has read the `abort`
    /// that this puts in line, and an `alive` behind that tells when.
    pub fn give_up(&mut self, at: ConnId, id: &WireId, parcel: &Parcel) -> GivenUp {
        let taken_back = parcel.take_back();
        let mut conn = self.conns.get_mut(&at);
        if let Some(conn) = &mut conn {
            conn.open.remove(id);
        }
        match conn {
            _ if taken_back => GivenUp::Never,
            None => GivenUp::Closed,
            Some(conn) => {
                if conn.aborted.len() >= ABORTED_KEPT {
                    conn.aborted.clear();
                    conn.retired = true;
                }
                conn.aborted.insert(id.clone());
                conn.out.put(encode(&[b"abort", id.0.as_bytes()]));
                self.count += 1;
                let tag = WireId(Arc::from(self.count.to_string()));
                conn.out.put(encode(&[b"alive", tag.0.as_bytes()]));
                GivenUp::Behind(tag)
            }
        }
    }

    /// Ends a connection; what is open on it is over once its socket is closed, which its task tells.
    pub fn end(&mut self, at: ConnId) {
        if let Some(conn) = self.conns.get_mut(&at) {
            conn.retired = true;
            conn.out.close();
        }
    }

    /// A connection is over; gives what was open on it.
    pub fn down(&mut self, at: ConnId) -> Vec<AttemptKey> {
        self.remove(at).map(|c| c.open.into_values().collect()).unwrap_or_default()
    }

    /// Takes a connection out; dropped, it is closed.
    fn remove(&mut self, at: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&at)?;
        if let Some(all) = self.of_server.get_mut(&conn.server) {
            all.remove(&at);
            if all.is_empty() {
                self.of_server.remove(&conn.server);
            }
        }
        Some(conn)
    }

    /// A server's process is at this place now, or nowhere: connections to another take no more requests.
    pub fn moved(&mut self, server: &ServerId, place: Option<Place>) {
        for at in self.of_server.get(server).into_iter().flatten() {
            let conn = self.conns.get_mut(at).filter(|c| Some(c.place) != place);
            conn.into_iter().for_each(|c| c.retired = true);
        }
    }

    /// Connections that were asked whether they work and have not said so in the time in which one has to come up.
    pub fn unproved(&self, now: Ms) -> Vec<ConnId> {
        let limit = self.transport.connect_timeout;
        let mute = |c: &Conn| c.proving.is_some() && c.asked.is_some_and(|t| now - t >= limit);
        self.conns.iter().filter(|(_, c)| mute(c)).map(|(at, _)| *at).collect()
    }

    /// Closes connections that carry nothing and are idle or retired, or on which all was given up before a word came.
    pub fn tidy(&mut self, now: Ms) {
        let idle = self.transport.conn_idle * IDLE_SHARE;
        let done = self.conns.iter().filter(|(_, c)| {
            let unheard = c.asked.is_some_and(|t| now - t >= ABANDONED_MS);
            c.open.is_empty() && (c.retired || unheard || now - c.used >= idle)
        });
        for at in done.map(|(at, _)| *at).collect::<Vec<_>>() {
            self.remove(at);
        }
    }
}

/// A connection from its start to its end; the socket is closed when this returns.
async fn connection(
    at: ConnId,
    place: Place,
    limit: Duration,
    shared: &Shared,
    parcels: async_channel::Receiver<Rc<Parcel>>,
) -> Down {
    let connect = async { Async::<TcpStream>::connect(place.address).await };
    let socket = match future::or(connect, late(limit)).await {
        Ok(socket) => socket,
        Err(e) => {
            log::debug!("{}: {e}", place.address);
            return Down::NeverUp;
        }
    };
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("{}: {e}", place.address);
    }
    if shared.queue.send(Input::CacheUp(at)).await.is_ok() {
        let read = async {
            let typed = |words, _| Answer::read(words, &[&shared.meter]).map(|a| Input::Cache(at, a));
            read_all(&socket, FROM_CACHE, shared, || false, typed).await
        };
        let over = either(read, write_all(&socket, parcels, || late(SERVER_STALLED))).await;
        log::debug!("connection {} to {}: {over:?}", at.0, place.address);
        return Down::Ended(over);
    }
    Down::Ended(Over::Ended)
}
