//! A client of the rig: one connection to one router, which keeps what it sends and reads in the history.

use super::archive::{CHECKOUT_CLASS, READ_CLASS};
use super::history::{Event, History, Outcome, RequestKind, RequestNumber};
use crate::standin::{wait_up_to, MESSAGE_LIMITS};
use basaltgw_resp::{encode, Decoder, Fields};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A connection that is not taken in this time counts as none.
const CONNECT: Duration = Duration::from_secs(2);
/// The tag under which `PING` is sent; requests' tags stay below.
const PING: u64 = 999_999_999;

#[derive(Default)]
struct Open {
    /// Asks by tag: kept after their end, so that what comes after it is seen.
    asks: BTreeMap<u64, (RequestNumber, bool)>,
    tags: u64,
    serving: bool,
    over: bool,
}

/// A client's connection to a router.
pub struct ClientConnection {
    router: usize,
    socket: TcpStream,
    open: Arc<Mutex<Open>>,
    history: History,
}

fn locked(open: &Mutex<Open>) -> MutexGuard<'_, Open> {
    open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl ClientConnection {
    /// Connects to a router at that address.
    pub fn connect(router: usize, at: SocketAddr, history: &History) -> Result<Self, String> {
        let say = |e: std::io::Error| format!("router {router} at {at}: {e}");
        let socket = TcpStream::connect_timeout(&at, CONNECT).map_err(say)?;
        let _ = socket.set_nodelay(true);
        let open = Arc::new(Mutex::new(Open::default()));
        let (from, seen, into) = (socket.try_clone().map_err(say)?, history.clone(), Arc::clone(&open));
        std::thread::Builder::new()
            .name("caller".into())
            .spawn(move || read(from, &into, &seen))
            .map_err(|e| e.to_string())?;
        Ok(Self { router, socket, open, history: history.clone() })
    }

    /// Whether its connection has ended.
    pub fn is_closed(&self) -> bool {
        locked(&self.open).over
    }

    /// Asks whether the router serves, and whether it said so within a time.
    pub fn is_serving(&self, patience: Duration) -> bool {
        let mut socket = &self.socket;
        if socket.write_all(&encode(&[b"PING", PING.to_string().as_bytes(), b""])).is_err() {
            return false;
        }
        wait_up_to(patience, || locked(&self.open).serving || self.is_closed()) && locked(&self.open).serving
    }

    /// Presents a checkout of that id, for a client that waits so many milliseconds.
    pub fn checkout(&self, id: &str, within: u64) -> RequestNumber {
        let before =
            self.history.count_events(|s| matches!(s, Event::RequestSent { id: other, .. } if other == id));
        self.ask(id, (RequestKind::Checkout, before > 0), within, CHECKOUT_CLASS, 1, b"borrow")
    }

    /// The same of one that is presented elsewhere at once, and says so.
    pub fn checkout_concurrently(&self, id: &str, within: u64) -> RequestNumber {
        self.ask(id, (RequestKind::Checkout, true), within, CHECKOUT_CLASS, 1, b"borrow")
    }

    /// Goes, whatever it waits for.
    pub fn disconnect(self) {
        let open: Vec<RequestNumber> =
            locked(&self.open).asks.values().filter(|a| !a.1).map(|a| a.0).collect();
        open.into_iter().for_each(|ask| self.history.record(Event::ClientDisconnected(ask)));
    }

    /// Reads an object's first part.
    pub fn read(&self, id: &str, object: u64, within: u64) -> RequestNumber {
        self.ask(id, (RequestKind::Read { object }, false), within, READ_CLASS, object, b"")
    }

    fn ask(
        &self,
        id: &str,
        (about, again): (RequestKind, bool),
        within: u64,
        class: &str,
        object: u64,
        body: &[u8],
    ) -> RequestNumber {
        let ask = self.history.next_request_number();
        let (tag, taken) = {
            let mut open = locked(&self.open);
            open.tags += 1;
            let (tag, taken) = (open.tags, !open.over);
            if taken {
                open.asks.insert(tag, (ask, false));
            }
            (tag, taken)
        };
        // Whoever presents an id more than once says so.
        let again = if again { ",again=1" } else { "" };
        let fields = format!("i={id},d={within},o={object:016x},nth=0,batch=17{again}");
        let bytes = encode(&[b"DO", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        let seen = Event::RequestSent {
            request: ask,
            router: self.router,
            id: id.to_string(),
            kind: about,
            timeout_ms: within,
        };
        self.history.record(seen);
        let mut socket = &self.socket;
        if !taken {
            self.history.record(Event::ConnectionLost(ask));
        } else if socket.write_all(&bytes).is_err() {
            // The reader then finds the connection over, and keeps what was lost with it.
            let _ = self.socket.shutdown(Shutdown::Both);
        }
        ask
    }
}

fn read(mut socket: TcpStream, open: &Mutex<Open>, history: &History) {
    let mut decoder = Decoder::new(MESSAGE_LIMITS);
    let mut room = [0; 16 * 1024];
    while let Ok(n @ 1..) = socket.read(&mut room) {
        decoder.feed(&room[..n]);
        while let Ok(Some(words)) = decoder.next_message() {
            let text = |i: usize| words.get(i).and_then(|w| std::str::from_utf8(w).ok()).unwrap_or("");
            let Ok(tag) = text(0).parse::<u64>() else { continue };
            if tag == PING {
                locked(open).serving |= text(1) == "serving";
                continue;
            }
            let ask = locked(open).asks.get_mut(&tag).map(|(ask, ended)| {
                *ended = true;
                *ask
            });
            let Some(ask) = ask else { continue };
            let end = match text(1) {
                "200" => Outcome::Served(words.get(3).cloned().unwrap_or_default()),
                "503" => {
                    let fields = words.get(2).map(Vec::as_slice).unwrap_or_default();
                    let wait = Fields::parse(fields).and_then(|f| f.decimal("w"));
                    Outcome::Rejected { retry_after_ms: wait.map(|w| w as u64) }
                }
                other => Outcome::Failed(other.to_string()),
            };
            history.record(Event::ResponseReceived { request: ask, outcome: end });
        }
    }
    let left: Vec<RequestNumber> = {
        let mut open = locked(open);
        open.over = true;
        std::mem::take(&mut open.asks).into_values().filter(|(_, ended)| !ended).map(|(ask, _)| ask).collect()
    };
    left.into_iter().for_each(|ask| history.record(Event::ConnectionLost(ask)));
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}
