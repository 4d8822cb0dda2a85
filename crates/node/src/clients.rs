//! Clients: accepting connections, decoding their messages, writing answers.

pub mod parts;
pub mod presence;

use crate::clock::late;
use crate::inbox::{either, read_all};
use crate::limits::{
    ACCEPT_REST, ACCEPT_ROW, BODY, CLIENT_STALLED, CLIENT_UNSENT, COPY_TAG, FROM_CLIENT, LONGEST_WAIT_MS,
    MOST_GROUP, MOST_KB, MOST_PART, WAIT,
};
use crate::outbox::{outbox, write_all, Meter};
use crate::resp::{decimal, encode, whole, FieldList, Fields};
use crate::{Input, Shared};
use async_io::{Async, Timer};
use basaltgw::api::{GroupId, Ms, ObjectId, Part};
use futures_lite::future;
use presence::Presence;
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

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

/// The tag of a copy, which is passed on: nothing in it may end a field.
fn copy_tag(text: &str) -> bool {
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
    let got = fields.get("got");
    if !got.is_none_or(copy_tag) {
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

/// The place of a connected client, free again when dropped.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(taken: &Rc<Cell<usize>>) -> Self {
        taken.set(taken.get() + 1);
        Self(Rc::clone(taken))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Accepts clients for good. Without a free place the owner is asked to make room; until there is, they wait in the listener's
/// backlog.
pub async fn accept(listener: Async<TcpListener>, most: usize, shared: Shared) {
    let taken = Rc::new(Cell::new(0));
    let mut count = 0;
    let mut row = 0;
    loop {
        while taken.get() >= most {
            if shared.queue.send(Input::RoomWanted).await.is_err() {
                return;
            }
            Timer::after(WAIT).await;
        }
        match listener.accept().await {
            Ok((socket, _)) => {
                count += 1;
                let slot = Slot::take(&taken);
                shared.executor.spawn(connection(ClientId(count), socket, shared.clone(), slot)).detach();
            }
            Err(e) => {
                log::debug!("accept: {e}");
                Timer::after(ACCEPT_REST).await;
            }
        }
        row += 1;
        if row % ACCEPT_ROW == 0 {
            future::yield_now().await;
        }
    }
}

/// A client's connection from its start to its end; the socket is closed when this returns.
async fn connection(id: ClientId, socket: Async<TcpStream>, shared: Shared, _slot: Slot) {
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("client {}: {e}", id.0);
    }
    let own = Rc::new(Meter::default());
    let (outbox, parcels) = outbox(&shared.meter, &own);
    let presence = Rc::new(Presence::default());
    if shared.queue.send(Input::ClientOpen(id, outbox, Rc::clone(&presence))).await.is_err() {
        return;
    }
    let read = async {
        let full = || own.held() > CLIENT_UNSENT;
        let typed = |words, at| {
            let message = FromClient::read(words)?;
            presence.read(&message);
            Some(Input::Client(id, message, at))
        };
        read_all(&socket, FROM_CLIENT, &shared, full, typed).await
    };
    let over = either(read, write_all(&socket, parcels, || late(CLIENT_STALLED))).await;
    presence.leave();
    log::debug!("client {}: {over:?}", id.0);
    // The owner is gone only when the process ends.
    let _ = shared.queue.send(Input::ClientClosed(id, over)).await;
}
