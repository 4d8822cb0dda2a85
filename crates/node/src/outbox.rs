//! Messages on their way to a socket: each is counted while it is held and can be taken back until it is begun.

use crate::clients::presence::Wanted;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncWrite, AsyncWriteExt};

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

/// What has to hold when a message's first byte is written, or none is.
#[derive(Clone, Debug, Default)]
pub struct OnlyIf {
    /// It is not as late as this.
    pub begin_by: Option<Instant>,
    /// Somebody still waits for what is asked by it; `None` if it is written whoever waits.
    pub wanted: Option<Wanted>,
}

impl OnlyIf {
    fn holds(&self) -> bool {
        let in_time = self.begin_by.is_none_or(|by| Instant::now() < by);
        in_time && self.wanted.as_ref().is_none_or(Wanted::holds)
    }
}

/// A message.
#[derive(Debug)]
pub struct Parcel {
    stage: Cell<Stage>,
    only: OnlyIf,
    bytes: RefCell<Option<Counted>>,
}

impl Parcel {
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
        if !self.only.holds() {
            self.take_back();
        }
        let bytes = self.bytes.take()?;
        self.stage.set(Stage::Begun);
        Some(bytes)
    }
}

/// The writing end of a connection, as the owner holds it.
#[derive(Debug)]
pub struct Outbox {
    queue: Sender<Rc<Parcel>>,
    all: Rc<Meter>,
    own: Rc<Meter>,
}

/// An outbox and the end from which its connection writes.
pub fn outbox(all: &Rc<Meter>, own: &Rc<Meter>) -> (Outbox, Receiver<Rc<Parcel>>) {
    // Bounded by what may be open on the connection; the owner must not wait for a socket.
    let (queue, parcels) = async_channel::unbounded();
    (Outbox { queue, all: Rc::clone(all), own: Rc::clone(own) }, parcels)
}

impl Outbox {
    /// Puts a message in line.
    pub fn put(&self, bytes: Vec<u8>) -> Rc<Parcel> {
        let parcel = self.hold(bytes, OnlyIf::default());
        self.release(&parcel);
        parcel
    }

    /// A message that is not in line until it is released.
    pub fn hold(&self, bytes: Vec<u8>, only: OnlyIf) -> Rc<Parcel> {
        let bytes = RefCell::new(Some(Counted::new(bytes, &[&self.all, &self.own])));
        Rc::new(Parcel { stage: Cell::new(Stage::Waiting), only, bytes })
    }

    /// Puts a held message in line.
    pub fn release(&self, parcel: &Rc<Parcel>) {
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
pub async fn write_all<W, S, F>(mut socket: W, parcels: Receiver<Rc<Parcel>>, stall: S) -> bool
where
    W: AsyncWrite + Unpin,
    S: Fn() -> F,
    F: std::future::Future<Output = std::io::Result<usize>>,
{
    while let Ok(parcel) = parcels.recv().await {
        let Some(counted) = parcel.begin() else { continue };
        let mut rest = counted.bytes();
        while !rest.is_empty() {
            match futures_lite::future::or(socket.write(rest), stall()).await {
                Ok(n) if n > 0 => rest = rest.get(n..).unwrap_or_default(),
                Ok(_) | Err(_) => return false,
            }
        }
        parcel.stage.set(Stage::Written);
    }
    true
}
