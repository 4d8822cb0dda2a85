//! Clients: accepting connections, decoding their messages, writing answers.

pub mod life;
pub mod parts;
pub mod places;
pub mod presence;

use crate::inbox::{read_all, Over};
use crate::limits::{
    ACCEPT_REST, ACCEPT_ROW, BACKLOG, BODY, CLIENT_UNSENT, COPY_TAG, FROM_CLIENT, LONGEST_WAIT_MS,
    MOST_GROUP, MOST_KB, MOST_PART, WAIT,
};
use crate::outbox::{outbox, write_all, Meter};
use crate::resp::{decimal, encode, whole, FieldList, Fields};
use crate::{socket, Input, Shared};
use async_io::{Async, Timer};
use basaltgw::api::{GroupId, Ms, ObjectId, Part};
use futures_lite::future;
use life::{Event, Life};
use places::{Place, Places};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);
/// A request on a client's connection, as the client numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(pub u64);
/// The client's id of a request, passed on to servers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireId(pub Arc<str>);

/// A request, with what is passed on of it as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Do {
    /// Its id.
    pub id: WireId,
    /// Its class.
    pub class: String,
    /// The object, and as it was written.
    pub object: ObjectId,
    /// See `object`.
    pub object_text: String,
    /// The part.
    pub part: Part,
    /// The object's group.
    pub group: GroupId,
    /// The part's size in KB; 0 if not told.
    pub size_kb: f64,
    /// How long the client waits.
    pub left: Ms,
    /// The tag of the copy that the client holds.
    pub got: Option<String>,
    /// The key under which servers know a repeat of it, whatever its id: clients of keyed classes send one.
    pub key: Option<String>,
    /// The client says that it has presented this id before, or does so elsewhere at once: heeded only in a fleet that keeps requests.
    pub again: bool,
    /// Several parts instead of the one, as they were written; nobody has looked at them yet.
    pub parts: Option<String>,
    /// The debt that they are, likewise.
    pub debt: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// A request.
    Do(Tag, Box<Do>),
    /// The client waits no longer.
    Undo(Tag),
    /// Is this router ready?
    Ping(Tag),
    /// A request that can be answered but not understood.
    Unreadable(Tag),
}

impl FromClient {
    /// Reads a message; `None` if not even a tag can be made out, so that nothing can be answered.
    pub fn read(words: Vec<Vec<u8>>) -> Option<Self> {
        let mut words = words.into_iter();
        let verb = words.next()?;
        let tag = Tag(tag(&words.next()?)?);
        Some(match verb.as_slice() {
            b"DO" => match request(words) {
                Some(request) => Self::Do(tag, Box::new(request)),
                None => Self::Unreadable(tag),
            },
            b"UNDO" => Self::Undo(tag),
            b"PING" => Self::Ping(tag),
            _ => Self::Unreadable(tag),
        })
    }

    /// The same where it can't be said that this is where the message ends, as where it names too few words: a request that nobody may
    /// have worded so is none.
    pub fn in_doubt(self) -> Self {
        match self {
            Self::Do(tag, _) => Self::Unreadable(tag),
            Self::Undo(_) | Self::Ping(_) | Self::Unreadable(_) => self,
        }
    }
}

/// A number of 1 or more, written as the answer will repeat it.
fn tag(word: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(word).ok().filter(|t| !t.starts_with('0'))?;
    whole(text)
}

/// 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// The tag of a copy, or a key for repeats, which are passed on as they are: nothing in them may end a field.
fn opaque(text: &str) -> bool {
    (1..=COPY_TAG).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphanumeric())
}

/// Reads a request: every field as the protocol has it, or it is none. Nothing is guessed.
fn request(mut words: impl Iterator<Item = Vec<u8>>) -> Option<Do> {
    let class = String::from_utf8(words.next()?).ok()?;
    let fields = words.next()?;
    let fields = Fields::read(&fields)?;
    let body = words.next().unwrap_or_default();
    if words.next().is_some() || body.len() > BODY {
        return None;
    }
    let (id, object_text) = (fields.get("i")?, fields.get("o")?);
    hex(id)?;
    let size_kb = match fields.get("m") {
        Some(size) => decimal(size).filter(|m| *m > 0.0 && *m <= MOST_KB)?,
        None => 0.0,
    };
    let (got, key) = (fields.get("got"), fields.get("k"));
    if !got.is_none_or(opaque) || !key.is_none_or(opaque) {
        return None;
    }
    Some(Do {
        id: WireId(Arc::from(id)),
        class,
        object: ObjectId(hex(object_text)?),
        object_text: object_text.to_string(),
        part: Part(fields.whole("nth", MOST_PART)?),
        group: GroupId(fields.whole("batch", MOST_GROUP)?),
        size_kb,
        left: fields.decimal("d").filter(|d| *d <= LONGEST_WAIT_MS)?,
        got: got.map(str::to_string),
        key: key.map(str::to_string),
        again: fields.get("again") == Some("1"),
        parts: fields.get("parts").map(str::to_string),
        debt: fields.get("debt").map(str::to_string),
        body,
    })
}

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply<'a> {
    /// The bytes.
    Served(&'a [u8]),
    /// The client's copy is the one.
    Same,
    /// Refused, with a time to stay away (0 for none).
    Refused(Ms),
    /// Failed.
    Failed,
}

/// An answer's bytes.
pub fn answer(tag: Tag, reply: Reply<'_>) -> Vec<u8> {
    let tag = tag.0.to_string();
    let mut fields = FieldList::default();
    let (word, body): (&[u8], &[u8]) = match reply {
        Reply::Served(body) => (b"200", body),
        Reply::Same => {
            fields.add("ok304", 1);
            (b"200", b"")
        }
        Reply::Refused(stay_away) => {
            if stay_away >= 1.0 {
                fields.add("w", stay_away.round());
            }
            (b"503", b"")
        }
        Reply::Failed => (b"500", b""),
    };
    encode(&[tag.as_bytes(), word, fields.text().as_bytes(), body])
}

/// The answer to `PING`.
pub fn pong(tag: Tag, serving: bool) -> Vec<u8> {
    let word: &[u8] = if serving { b"serving" } else { b"not_serving" };
    encode(&[tag.0.to_string().as_bytes(), word, b"", b""])
}

/// Accepts clients until the end is told, and then those in the listener's backlog. Without a free place the owner is asked to make room;
/// until there is, they wait in the backlog.
pub async fn accept(listener: Async<TcpListener>, most: usize, places: Rc<Places>, shared: Shared) {
    let mut count = 0;
    let mut row = 0;
    // While there was no place, or accepts failed, connections may have come that wait in the backlog still; since then.
    let mut waiting_since = None;
    // Whoever connects on and on does not hold up the end.
    let mut at_end = 0;
    while at_end < BACKLOG {
        if waiting_since.is_some() && !socket::readable(&listener) {
            waiting_since = None;
        }
        while places.taken() >= most {
            waiting_since.get_or_insert_with(Instant::now);
            if shared.queue.send(Input::RoomWanted).await.is_err() {
                return;
            }
            Timer::after(WAIT).await;
        }
        let ended = async {
            places.ended().await;
            None
        };
        // What waits in the backlog is accepted before the end is heeded.
        match future::or(async { Some(listener.accept().await) }, ended).await {
            Some(Ok((socket, _))) => {
                count += 1;
                let place = Place::take(&places);
                let since = waiting_since.unwrap_or_else(|| shared.stalls.accepted());
                let task = connection(ClientId(count), socket, shared.clone(), place, since);
                shared.executor.spawn(task).detach();
            }
            Some(Err(e)) => {
                log::debug!("accept: {e}");
                waiting_since.get_or_insert_with(Instant::now);
                Timer::after(ACCEPT_REST).await;
            }
            None => return,
        }
        at_end += i32::from(places.ending());
        row += 1;
        if row % ACCEPT_ROW == 0 {
            future::yield_now().await;
        }
    }
}

/// A client's connection from its start to its end; the socket is closed when this returns. It may have waited `since` then.
async fn connection(id: ClientId, socket: Async<TcpStream>, shared: Shared, place: Place, since: Instant) {
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("client {}: {e}", id.0);
    }
    let own = Rc::new(Meter::default());
    let life = Rc::new(Life::watched(place.of(), &shared.invariants));
    let (outbox, parcels) = outbox(&shared.meter, &own);
    if shared.queue.send(Input::ClientOpen(id, outbox, Rc::clone(&life))).await.is_err() {
        return;
    }
    let read = async {
        let full = || own.held() > CLIENT_UNSENT;
        let typed = |words, at, in_doubt| {
            let message = FromClient::read(words)?;
            life.presence().read(&message);
            Some(Input::Client(id, if in_doubt { message.in_doubt() } else { message }, at))
        };
        let over = read_all(&socket, FROM_CLIENT, &shared, full, typed, Some((&life, since))).await;
        log::debug!("client {}: {over:?}", id.0);
        life.tell(Event::Stopped);
        if over != Over::Ended && shared.queue.send(Input::ClientStopped(id, over)).await.is_ok() {
            place.discard(&socket, &life, over).await;
        }
    };
    let write = async {
        if write_all(&socket, parcels, || place.stalled()).await {
            place.linger(&socket, &life).await;
        }
    };
    future::or(read, write).await;
    life.tell(Event::Over);
    life.presence().leave();
    // The owner is gone only when the process ends.
    let _ = shared.queue.send(Input::ClientClosed(id)).await;
}
