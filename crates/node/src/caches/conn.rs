//! A connection to a server: its state as the owner holds it, and the task that reads and writes its socket.

use super::{Answer, AttemptKey, ConnId, Down};
use crate::clients::WireId;
use crate::clock::late;
use crate::inbox::{either, read_all, Over};
use crate::limits::{CONNECT_REST, FROM_CACHE, PROVEN_MS, SERVER_STALLED, SILENT_MS};
use crate::outbox::{write_all, Drained, FetchTerms, Outbox, OutgoingMessage};
use crate::resp::encode;
use crate::{socket, Input, Shared};
use async_io::{Async, Timer};
use basaltgw::api::{Ms, ServerId};
use basaltgw_config::Place;
use futures_lite::future;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Ids that a connection remembers as given up.
const ABORTED_KEPT: usize = 1024;

/// A connection as the owner holds it. Dropped, it is closed once what is in its outbox is written.
pub(super) struct Conn {
    pub server: ServerId,
    pub place: Place,
    pub out: Outbox,
    pub up: bool,
    /// It takes no more requests.
    pub retired: bool,
    pub open: BTreeMap<WireId, AttemptKey>,
    /// Given up here; an answer may still be on its way.
    aborted: BTreeSet<WireId>,
    /// When something was asked after the last that was heard.
    pub asked: Option<Ms>,
    pub used: Ms,
    /// Its last answer.
    heard: Option<Ms>,
    /// Under this tag it was asked whether it works; what is to be written waits for the answer.
    pub proving: Option<WireId>,
    held: Vec<Rc<OutgoingMessage>>,
    /// Since when its server takes nothing new.
    pub drained: Drained,
}

impl Conn {
    /// One that is coming up.
    pub(super) fn new(now: Ms, server: ServerId, place: Place, out: Outbox) -> Self {
        Self {
            server,
            place,
            out,
            up: false,
            retired: false,
            open: BTreeMap::new(),
            aborted: BTreeSet::new(),
            asked: None,
            used: now,
            heard: None,
            proving: None,
            held: Vec::new(),
            drained: Rc::default(),
        }
    }

    /// Nothing is open on it, and nothing waits to be written.
    pub(super) fn idle(&self) -> bool {
        self.open.is_empty() && self.out.unsent() == 0
    }

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
    pub(super) fn put(
        &mut self,
        now: Ms,
        at: ConnId,
        bytes: Vec<u8>,
        terms: FetchTerms,
    ) -> Rc<OutgoingMessage> {
        if self.proving.is_none() && self.unproven(now) {
            let tag = WireId(Arc::from(at.0.to_string()));
            self.out.put(encode(&[b"alive", tag.0.as_bytes()]));
            self.proving = Some(tag);
        }
        let parcel = self.out.hold(bytes, FetchTerms { drained: Rc::clone(&self.drained), ..terms });
        match self.proving {
            Some(_) => self.held.push(Rc::clone(&parcel)),
            None => self.out.release(&parcel),
        }
        parcel
    }

    /// Whether it takes an attempt. None under an id for which it has been asked before: an answer to that one, or a second
    /// copy of it, would pass for this one's.
    pub(super) fn takes(&self, now: Ms, id: &WireId, streams: usize) -> bool {
        let free = self.open.len() < streams && !self.open.contains_key(id) && !self.aborted.contains(id);
        free && !self.retired && !self.silent(now)
    }

    /// Something came; the open attempt that it is for, if there is one.
    pub(super) fn answered(&mut self, now: Ms, id: &WireId) -> Option<AttemptKey> {
        let key = self.open.remove(id);
        self.heard = Some(now);
        if self.proving.as_ref() == Some(id) {
            self.proving = None;
            std::mem::take(&mut self.held).iter().for_each(|parcel| self.out.release(parcel));
        }
        self.asked = Some(now).filter(|_| !self.open.is_empty());
        self.used = now;
        if key.is_none() {
            self.aborted.remove(id);
        }
        key
    }

    /// Puts the `abort` of an attempt in line, and behind it an `alive` under this tag.
    pub(super) fn abort(&mut self, id: &WireId, tag: &WireId) {
        if self.aborted.len() >= ABORTED_KEPT {
            self.aborted.clear();
            self.retired = true;
        }
        self.aborted.insert(id.clone());
        self.out.put(encode(&[b"abort", id.0.as_bytes()]));
        self.out.put(encode(&[b"alive", tag.0.as_bytes()]));
    }
}

/// Connects, within the time for it. What this machine is short of for a moment is tried again.
async fn connect(place: Place, limit: Duration) -> Result<Async<TcpStream>, Down> {
    let short = Cell::new(false);
    let tries = async {
        loop {
            match Async::<TcpStream>::connect(place.address).await {
                Err(e) if socket::is_local(&e) => {
                    log::debug!("{}: {e}, tried again", place.address);
                    short.set(true);
                    Timer::after(CONNECT_REST).await;
                }
                result => {
                    short.set(false);
                    return result;
                }
            }
        }
    };
    future::or(tries, late(limit)).await.map_err(|e| {
        log::debug!("{}: {e}", place.address);
        if short.get() {
            Down::Shortage
        } else {
            Down::NeverUp
        }
    })
}

/// A connection from its start to its end; the socket is closed when this returns.
pub(super) async fn connection(
    at: ConnId,
    place: Place,
    limit: Duration,
    shared: &Shared,
    parcels: async_channel::Receiver<Rc<OutgoingMessage>>,
) -> Down {
    let socket = match connect(place, limit).await {
        Ok(socket) => socket,
        Err(down) => return down,
    };
    if let Err(e) = socket.get_ref().set_nodelay(true) {
        log::debug!("{}: {e}", place.address);
    }
    if shared.queue.send(Input::CacheUp(at)).await.is_ok() {
        let read = async {
            let typed = |words, _, _| Answer::read(words, &[&shared.meter]).map(|a| Input::Cache(at, a));
            read_all(&socket, FROM_CACHE, shared, || false, typed, None).await
        };
        let over = either(read, write_all(&socket, parcels, || late(SERVER_STALLED))).await;
        log::debug!("connection {} to {}: {over:?}", at.0, place.address);
        return Down::Ended(over);
    }
    Down::Ended(Over::Ended)
}
