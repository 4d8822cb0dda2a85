//! A client of the rig: one connection to one router. The client records the requests that it sends and the responses that it receives in
//! the history.

use super::archive::{CHECKOUT_CLASS, READ_CLASS};
use super::history::{Event, History, Outcome, RequestKind, RequestNumber};
use crate::standin::{wait_up_to, MESSAGE_LIMITS};
use basaltgw_resp::{encode, Decoder, Fields};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The tag of `PING`; the tags of requests are smaller.
const PING_TAG: u64 = 999_999_999;
/// The body of a checkout.
const CHECKOUT_BODY: &[u8] = b"borrow";
/// The object of every checkout.
const CHECKOUT_OBJECT: u64 = 1;
/// The purge group of all objects; the rig purges single objects only.
const OBJECT_GROUP: u64 = 17;

/// A request that was sent on a connection.
struct TaggedRequest {
    number: RequestNumber,
    answered: bool,
}

/// What the connection and its reading thread share.
#[derive(Default)]
struct State {
    /// The requests by tag. Answered requests are kept, so that a second response to one is noticed.
    requests: BTreeMap<u64, TaggedRequest>,
    last_tag: u64,
    serving: bool,
    closed: bool,
}

impl State {
    fn unanswered(&self) -> Vec<RequestNumber> {
        self.requests.values().filter(|r| !r.answered).map(|r| r.number).collect()
    }
}

/// A client's connection to a router.
pub struct ClientConnection {
    router: usize,
    socket: TcpStream,
    state: Arc<Mutex<State>>,
    history: History,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The content of a request before it is encoded.
struct Message<'a> {
    id: &'a str,
    kind: RequestKind,
    timeout_ms: u64,
    class: &'a str,
    object: u64,
    body: &'a [u8],
    /// Whether the id is also presented to another router, now or earlier. The protocol requires that a client declares this.
    presented_again: bool,
}

impl ClientConnection {
    /// Connects to a router at an address.
    pub fn connect(router: usize, address: SocketAddr, history: &History) -> Result<Self, String> {
        let error = |e: std::io::Error| format!("connecting to router {router} at {address}: {e}");
        let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(error)?;
        let _ = socket.set_nodelay(true);
        let state = Arc::new(Mutex::new(State::default()));
        let reader = Reader {
            socket: socket.try_clone().map_err(error)?,
            state: Arc::clone(&state),
            history: history.clone(),
        };
        std::thread::Builder::new()
            .name("client".into())
            .spawn(move || reader.run())
            .map_err(|e| format!("starting a client's thread: {e}"))?;
        Ok(Self { router, socket, state, history: history.clone() })
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        lock(&self.state).closed
    }

    /// Sends a `PING`; returns whether the router answers in time that it is serving.
    pub fn is_serving(&self, timeout: Duration) -> bool {
        let mut socket = &self.socket;
        if socket.write_all(&encode(&[b"PING", PING_TAG.to_string().as_bytes(), b""])).is_err() {
            return false;
        }
        wait_up_to(timeout, || lock(&self.state).serving || self.is_closed()) && lock(&self.state).serving
    }

    /// Presents a checkout.
    pub fn checkout(&self, id: &str, timeout_ms: u64) -> RequestNumber {
        let same_id = |event: &Event| matches!(event, Event::RequestSent { id: other, .. } if other == id);
        let presented_again = self.history.count_events(same_id) > 0;
        self.send_checkout(id, timeout_ms, presented_again)
    }

    /// Presents a checkout that is presented to another router at the same time.
    pub fn checkout_concurrently(&self, id: &str, timeout_ms: u64) -> RequestNumber {
        self.send_checkout(id, timeout_ms, true)
    }

    /// Presents another checkout under an id that a checkout has already, as a client that breaks the protocol does.
    pub fn foreign_checkout(
        &self,
        id: &str,
        object: u64,
        body: &'static [u8],
        timeout_ms: u64,
    ) -> RequestNumber {
        self.send(Message {
            id,
            kind: RequestKind::Checkout,
            timeout_ms,
            class: CHECKOUT_CLASS,
            object,
            body,
            presented_again: false,
        })
    }

    fn send_checkout(&self, id: &str, timeout_ms: u64, presented_again: bool) -> RequestNumber {
        self.send(Message {
            id,
            kind: RequestKind::Checkout,
            timeout_ms,
            class: CHECKOUT_CLASS,
            object: CHECKOUT_OBJECT,
            body: CHECKOUT_BODY,
            presented_again,
        })
    }

    /// Reads the first part of an object.
    pub fn read(&self, id: &str, object: u64, timeout_ms: u64) -> RequestNumber {
        self.send(Message {
            id,
            kind: RequestKind::Read { object },
            timeout_ms,
            class: READ_CLASS,
            object,
            body: b"",
            presented_again: false,
        })
    }

    /// Disconnects without waiting for responses.
    pub fn disconnect(self) {
        let unanswered = lock(&self.state).unanswered();
        unanswered.into_iter().for_each(|request| self.history.record(Event::ClientDisconnected(request)));
    }

    fn send(&self, message: Message<'_>) -> RequestNumber {
        let request = self.history.next_request_number();
        let (tag, connected) = {
            let mut state = lock(&self.state);
            state.last_tag += 1;
            let (tag, connected) = (state.last_tag, !state.closed);
            if connected {
                state.requests.insert(tag, TaggedRequest { number: request, answered: false });
            }
            (tag, connected)
        };
        let bytes = message.encode(tag);
        self.history.record(Event::RequestSent {
            request,
            router: self.router,
            id: message.id.to_string(),
            kind: message.kind,
            timeout_ms: message.timeout_ms,
        });
        let mut socket = &self.socket;
        if !connected {
            self.history.record(Event::ConnectionLost(request));
        } else if socket.write_all(&bytes).is_err() {
            // The reader then finds the connection closed, and records its unanswered requests as lost.
            let _ = self.socket.shutdown(Shutdown::Both);
        }
        request
    }
}

impl Message<'_> {
    fn encode(&self, tag: u64) -> Vec<u8> {
        let Self { id, timeout_ms, object, .. } = self;
        let again = if self.presented_again { ",again=1" } else { "" };
        let fields = format!("i={id},d={timeout_ms},o={object:016x},nth=0,batch={OBJECT_GROUP}{again}");
        let tag = tag.to_string();
        encode(&[b"DO", tag.as_bytes(), self.class.as_bytes(), fields.as_bytes(), self.body])
    }
}

/// The reading side of a connection, on a thread of its own.
struct Reader {
    socket: TcpStream,
    state: Arc<Mutex<State>>,
    history: History,
}

impl Reader {
    /// Reads responses until the connection ends.
    fn run(mut self) {
        let mut decoder = Decoder::new(MESSAGE_LIMITS);
        let mut buffer = [0; 16 * 1024];
        while let Ok(n @ 1..) = self.socket.read(&mut buffer) {
            decoder.feed(&buffer[..n]);
            while let Ok(Some(elements)) = decoder.next_message() {
                self.on_message(&elements);
            }
        }
        let unanswered = {
            let mut state = lock(&self.state);
            state.closed = true;
            let unanswered = state.unanswered();
            state.requests.clear();
            unanswered
        };
        unanswered.into_iter().for_each(|request| self.history.record(Event::ConnectionLost(request)));
    }

    fn on_message(&self, elements: &[Vec<u8>]) {
        let text = |i: usize| elements.get(i).and_then(|e| std::str::from_utf8(e).ok()).unwrap_or("");
        let Ok(tag) = text(0).parse::<u64>() else { return };
        if tag == PING_TAG {
            lock(&self.state).serving |= text(1) == "serving";
            return;
        }
        let request = lock(&self.state).requests.get_mut(&tag).map(|request| {
            request.answered = true;
            request.number
        });
        let Some(request) = request else { return };
        let outcome = match text(1) {
            "200" => Outcome::Served(elements.get(3).cloned().unwrap_or_default()),
            "503" => {
                let fields = elements.get(2).map(Vec::as_slice).unwrap_or_default();
                let retry_after_ms = Fields::parse(fields).and_then(|fields| fields.decimal("w"));
                Outcome::Rejected { retry_after_ms: retry_after_ms.map(|ms| ms as u64) }
            }
            status => Outcome::Failed(status.to_string()),
        };
        self.history.record(Event::ResponseReceived { request, outcome });
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}
