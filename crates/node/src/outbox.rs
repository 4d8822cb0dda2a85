//! Messages on their way to a socket: each is counted while it is held and can be taken back until it is begun.

use crate::breaks::{broken, Break};
use crate::clients::presence::Wanted;
use crate::invariants::{FetchBegun, Invariants, Violation};
use crate::permissions::{may_send, SendState};
use crate::slow_start_watch::{Exceeded, SlowStartWatch};
use crate::socket;
use crate::stalls::Stalls;
use basaltgw::api::{Ms, ServerId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::AsyncWrite;

/// Bytes held by messages of all connections, and of one.
#[derive(Debug, Default)]
pub struct Meter(Cell<usize>);

impl Meter {
    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.0.get()
    }

    fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }

    fn give_back(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// Bytes whose holding is counted until they are dropped.
#[derive(Debug)]
pub struct Counted {
    bytes: Vec<u8>,
    meters: Vec<Rc<Meter>>,
}

impl Counted {
    /// Counts bytes at these meters.
    pub fn new(bytes: Vec<u8>, meters: &[&Rc<Meter>]) -> Self {
        meters.iter().for_each(|m| m.add(bytes.len()));
        Self { bytes, meters: meters.iter().map(|m| Rc::clone(m)).collect() }
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Other bytes in place of these, counted at the same meters.
    fn replaced(&self, bytes: Vec<u8>) -> Self {
        let meters: Vec<&Rc<Meter>> = self.meters.iter().collect();
        Self::new(bytes, &meters)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.meters.iter().for_each(|m| m.give_back(self.bytes.len()));
    }
}

/// A part of what is held that changes; given back when dropped.
#[derive(Debug)]
pub struct Holding {
    meter: Rc<Meter>,
    bytes: usize,
}

impl Holding {
    /// Nothing yet.
    pub fn new(meter: &Rc<Meter>) -> Self {
        Self { meter: Rc::clone(meter), bytes: 0 }
    }

    /// So much is held now.
    pub fn set(&mut self, bytes: usize) {
        self.meter.give_back(self.bytes);
        self.meter.add(bytes);
        self.bytes = bytes;
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// How far a message has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No byte is written.
    Waiting,
    /// Some bytes are.
    Begun,
    /// The last byte is.
    Written,
    /// It was taken back before its first byte.
    TakenBack,
}

/// A fetch that has waited for longer than this tells its server anew how long the router waits.
const TELL_ANEW: Duration = Duration::from_millis(10);

/// Writes a message anew with another time for which the router waits; `None` if it has no such time.
pub type TellWait = fn(&[u8], Ms) -> Option<Vec<u8>>;

/// The time of a fetch.
#[derive(Clone, Copy, Debug)]
pub struct FetchTime {
    /// When the router gives the attempt up.
    pub until: Instant,
    /// When the client stops waiting.
    pub client_until: Instant,
    /// When the message was made: it tells what was left until the attempt's end then.
    pub made: Instant,
    /// Makes it tell something else.
    pub tell_wait: TellWait,
}

/// A server that takes nothing new, and since when.
pub type Drained = Rc<Cell<Option<Instant>>>;

/// What a fetch goes by when its first byte is written, or none is.
#[derive(Clone, Debug)]
pub struct FetchTerms {
    /// It is not begun as late as this.
    pub begin_by: Option<Instant>,
    /// Whether its client still waits, where one is known.
    pub wanted: Option<Wanted>,
    /// Its times; `None` where they do not matter.
    pub time: Option<FetchTime>,
    /// Whether its server takes something new; set by the connection on which it goes.
    pub drained: Drained,
    /// For how long after the news sends to such a server are no fault.
    pub drain_grace: Duration,
    /// The number of the request and of the attempt.
    pub ids: (u64, usize),
    /// Watches that the rules are kept.
    pub invariants: Rc<Invariants>,
    /// Stops of the process.
    pub stalls: Rc<Stalls>,
    /// Where it goes; `None` where nobody watches.
    pub route: Option<FetchRoute>,
}

/// Where a fetch goes, for the watch on slow start.
#[derive(Clone, Debug)]
pub struct FetchRoute {
    /// Its server, and the source of a miss.
    pub to: [Option<ServerId>; 2],
    /// The place of its class in the settings.
    pub class: usize,
    /// Counts what is written.
    pub watch: Rc<SlowStartWatch>,
}

impl FetchTerms {
    /// Only what must hold of time and client, for a fetch that nobody watches.
    pub fn unwatched(begin_by: Option<Instant>, wanted: Option<Wanted>) -> Self {
        Self {
            begin_by,
            wanted,
            time: None,
            drained: Rc::default(),
            drain_grace: Duration::ZERO,
            ids: (0, 0),
            invariants: Rc::default(),
            stalls: Rc::default(),
            route: None,
        }
    }

    fn state(&self, now: Instant, taken_back: bool) -> SendState {
        SendState {
            taken_back,
            window_over: self.begin_by.is_some_and(|by| now >= by),
            deadline_over: self.time.is_some_and(|time| now >= time.until),
            client_waits: self.wanted.as_ref().is_none_or(Wanted::holds),
        }
    }

    /// Counts that its first byte is written.
    fn count(&self, now: Instant) {
        let Some(FetchRoute { to, class, watch }) = &self.route else { return };
        let over = watch.begun(now, *class, [to[0].as_ref(), to[1].as_ref()]);
        if let Some(Exceeded { server, sent, bound }) = over {
            let (request, attempt) = self.ids;
            self.invariants.violated(
                Violation::SlowStartExceeded,
                format_args!(
                    "request {request}, attempt {attempt}: {} was sent {sent:.1} of {bound:.1}",
                    server.0
                ),
            );
        }
    }

    /// The bytes as they are to be written now.
    fn told(&self, now: Instant, bytes: Counted) -> Counted {
        let Some(time) = self.time else { return bytes };
        let mut passed_on = millis(time.until.saturating_duration_since(time.made));
        let mut bytes = bytes;
        if now.saturating_duration_since(time.made) > TELL_ANEW && !broken(Break::StaleDeadline) {
            let left = millis(time.until.saturating_duration_since(now));
            if let Some(anew) = (time.tell_wait)(bytes.bytes(), left) {
                (passed_on, bytes) = (left, bytes.replaced(anew));
            }
        }
        let begun = FetchBegun {
            client_gone_for: self.wanted.as_ref().and_then(|w| w.gone_for(now)),
            drained_beyond_grace: self
                .drained
                .get()
                .and_then(|since| now.saturating_duration_since(since).checked_sub(self.drain_grace)),
            passed_on_ms: passed_on,
            client_left_ms: millis(time.client_until.saturating_duration_since(now)),
        };
        let (request, attempt) = self.ids;
        self.invariants.begun(&begun, format_args!("request {request}, attempt {attempt}"));
        self.count(now);
        bytes
    }
}

fn millis(span: Duration) -> Ms {
    span.as_secs_f64() * 1000.0
}

/// A message.
#[derive(Debug)]
pub struct OutgoingMessage {
    stage: Cell<Stage>,
    /// Of a fetch: what it goes by.
    fetch: Option<Box<FetchTerms>>,
    bytes: RefCell<Option<Counted>>,
}

impl OutgoingMessage {
    /// How far it has got.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// As if its last byte were written.
    #[cfg(test)]
    pub fn write(&self) {
        self.stage.set(Stage::Written);
        self.bytes.take();
    }

    /// Takes it back unless it was begun; true if no byte of it is or ever will be written.
    pub fn take_back(&self) -> bool {
        let never = matches!(self.stage.get(), Stage::Waiting | Stage::TakenBack);
        if never {
            self.stage.set(Stage::TakenBack);
            self.bytes.take();
        }
        never
    }

    /// Begins it, unless it was taken back, it is too late, or nobody waits for it any more: the owner may not have heard of that yet.
    fn begin(&self) -> Option<Counted> {
        let now = Instant::now();
        if let Some(fetch) = &self.fetch {
            let taken_back = self.stage.get() == Stage::TakenBack;
            if let Err(refusal) = may_send(&fetch.state(now, taken_back)) {
                let (request, attempt) = fetch.ids;
                log::debug!("request {request}, attempt {attempt}: not sent, {refusal}");
                self.take_back();
            }
        }
        let bytes = self.bytes.take()?;
        self.stage.set(Stage::Begun);
        Some(match &self.fetch {
            Some(fetch) => fetch.told(now, bytes),
            None => bytes,
        })
    }

    /// Its last byte is written.
    fn finish(&self) {
        self.stage.set(Stage::Written);
        if let Some(fetch) = &self.fetch {
            fetch.route.iter().for_each(|route| route.watch.written(fetch.ids));
        }
    }

    /// Waits for what has to be done before a fetch may be begun: after a stop of the process, what lay in the sockets is read first.
    async fn may_come_up(&self) {
        if let Some(fetch) = &self.fetch {
            fetch.stalls.read_first().await;
        }
    }
}

/// The writing end of a connection, as the owner holds it.
#[derive(Debug)]
pub struct Outbox {
    queue: Sender<Rc<OutgoingMessage>>,
    all: Rc<Meter>,
    own: Rc<Meter>,
}

/// An outbox and the end from which its connection writes.
pub fn outbox(all: &Rc<Meter>, own: &Rc<Meter>) -> (Outbox, Receiver<Rc<OutgoingMessage>>) {
    // Bounded by what may be open on the connection; the owner must not wait for a socket.
    let (queue, parcels) = async_channel::unbounded();
    (Outbox { queue, all: Rc::clone(all), own: Rc::clone(own) }, parcels)
}

impl Outbox {
    /// Puts a message in line.
    pub fn put(&self, bytes: Vec<u8>) -> Rc<OutgoingMessage> {
        let parcel = self.parcel(bytes, None);
        self.release(&parcel);
        parcel
    }

    /// A fetch that is not in line until it is released.
    pub fn hold(&self, bytes: Vec<u8>, fetch: FetchTerms) -> Rc<OutgoingMessage> {
        self.parcel(bytes, Some(Box::new(fetch)))
    }

    fn parcel(&self, bytes: Vec<u8>, fetch: Option<Box<FetchTerms>>) -> Rc<OutgoingMessage> {
        let bytes = RefCell::new(Some(Counted::new(bytes, &[&self.all, &self.own])));
        Rc::new(OutgoingMessage { stage: Cell::new(Stage::Waiting), fetch, bytes })
    }

    /// Puts a held message in line.
    pub fn release(&self, parcel: &Rc<OutgoingMessage>) {
        if self.queue.try_send(Rc::clone(parcel)).is_err() {
            // The connection is over; nothing of this will be written.
            parcel.take_back();
        }
    }

    /// Takes nothing more; what is in line is still written.
    pub fn close(&self) {
        self.queue.close();
    }

    /// Bytes that wait here.
    pub fn unsent(&self) -> usize {
        self.own.held()
    }
}

/// Writes messages until the outbox is dropped or the connection fails; whether all were written. `stall` bounds each write.
pub async fn write_all<W, S, F>(mut socket: W, parcels: Receiver<Rc<OutgoingMessage>>, stall: S) -> bool
where
    W: AsyncWrite + Unpin,
    S: Fn() -> F,
    F: std::future::Future<Output = std::io::Result<usize>>,
{
    while let Ok(parcel) = parcels.recv().await {
        parcel.may_come_up().await;
        let Some(counted) = parcel.begin() else { continue };
        let mut rest = counted.bytes();
        while !rest.is_empty() {
            match futures_lite::future::or(socket::write(&mut socket, rest), stall()).await {
                Ok(n) if n > 0 => rest = rest.get(n..).unwrap_or_default(),
                Ok(_) | Err(_) => return false,
            }
        }
        parcel.finish();
    }
    true
}
