//! The rings between the links' thread and its two users.

use crate::counts::Counts;
use crate::{Lane, Limits, LinkCommand, LinkEvent};
use async_channel::Sender;
use rtrb::{Consumer, Producer, PushError};
use std::net::SocketAddr;
use std::sync::atomic::{fence, AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A user of the links, as it is handed in at the start.
pub struct TransportUser {
    /// The lanes whose frames it takes. A lane of both users' is told to both.
    pub lanes: Vec<Lane>,
    /// Called from the links' thread after something was told, and when that thread ends: wakes the user. Must neither wait nor panic.
    pub wake: Box<dyn Fn() + Send>,
}

/// An order that was not taken; it is handed back.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The ring is full: try again after something was told, or give up.
    #[error("the ring of orders is full")]
    QueueFull(LinkCommand),
    /// Longer than a frame may be.
    #[error("a frame longer than {max_bytes} bytes")]
    FrameTooLong {
        /// The order.
        command: LinkCommand,
        /// The bound.
        max_bytes: usize,
    },
    /// The links' thread has ended.
    #[error("the links have ended")]
    Ended(LinkCommand),
}

/// How the links' thread ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the links' thread ended: {0}")]
pub struct TransportEnded(pub String);

/// The running links.
#[derive(Debug)]
pub struct Links {
    pub(crate) ports: (Port, Port),
    pub(crate) rest: TransportHandle,
}

/// What is left of [`Links`] once its ports are with their users: the thread and the counters.
#[derive(Debug)]
pub struct TransportHandle {
    pub(crate) thread: JoinHandle<()>,
    pub(crate) counts: Arc<Counts>,
    pub(crate) address: SocketAddr,
}

impl Links {
    /// The ports, in the order in which the users were handed in, and what watches over the thread.
    pub fn split(self) -> (Port, Port, TransportHandle) {
        (self.ports.0, self.ports.1, self.rest)
    }
}

impl TransportHandle {
    /// Whether the thread has ended, in order or not.
    pub fn ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the thread's end.
    ///
    /// # Errors
    /// [`Ended`] with the cause if it was not [`Order::End`] or a dropped [`Port`].
    pub fn join(self) -> Result<(), TransportEnded> {
        let text = |cause: Box<dyn std::any::Any + Send>| match cause.downcast::<String>() {
            Ok(text) => *text,
            Err(cause) => (*cause.downcast::<&str>().unwrap_or(Box::new("a panic without words"))).into(),
        };
        self.thread.join().map_err(|cause| TransportEnded(text(cause)))
    }

    /// What was counted so far.
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// Where the links listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A user's end: orders in, news out. Neither waits. Dropping one of the two ends the links in order.
#[derive(Debug)]
pub struct Port {
    pub(crate) orders: Producer<LinkCommand>,
    pub(crate) told: Consumer<LinkEvent>,
    pub(crate) bell: Sender<()>,
    pub(crate) starved: Arc<AtomicBool>,
    pub(crate) held: Held,
    pub(crate) limits: Limits,
}

/// Bytes of bodies in a port's two rings, which would else be bounded in entries only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    pub orders: Arc<AtomicUsize>,
    pub told: Arc<AtomicUsize>,
}

/// Takes room for some bytes, if there is; an empty ring has room for any one frame.
pub(crate) fn hold(held: &AtomicUsize, bytes: usize, most: usize) -> bool {
    let fits = |now: usize| (now == 0 || now + bytes <= most).then_some(now + bytes);
    bytes == 0 || held.fetch_update(SeqCst, SeqCst, fits).is_ok()
}

impl LinkCommand {
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Send { body, .. } => body.len(),
            Self::SetWanted(..) | Self::AdvertiseTable(..) | Self::Shutdown => 0,
        }
    }
}

impl LinkEvent {
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::MessageReceived { body, .. } => body.len(),
            Self::LinkUp(_) | Self::LinkDown(..) | Self::DialFailed(_) | Self::SendFailed { .. } => 0,
        }
    }
}

impl Port {
    /// Gives an order.
    ///
    /// # Errors
    /// [`Refused`], at once, with the order.
    pub fn send(&mut self, order: LinkCommand) -> Result<(), CommandError> {
        if self.ended() {
            return Err(CommandError::Ended(order));
        }
        let Limits { max_frame_bytes: most, max_queued_bytes: ring, .. } = self.limits;
        let bytes = order.bytes();
        if bytes > most {
            return Err(CommandError::FrameTooLong { command: order, max_bytes: most });
        }
        if !hold(&self.held.orders, bytes, ring) {
            return Err(CommandError::QueueFull(order));
        }
        if let Err(PushError::Full(order)) = self.orders.push(order) {
            self.held.orders.fetch_sub(bytes, SeqCst);
            return Err(CommandError::QueueFull(order));
        }
        // A bell that rings already is enough.
        let _ = self.bell.try_send(());
        Ok(())
    }

    /// Whether the links' thread has ended: nothing more comes than what [`Port::next`] still has.
    pub fn ended(&self) -> bool {
        self.told.is_abandoned()
    }
}

impl Iterator for Port {
    type Item = LinkEvent;

    /// The next that was told, if there is something.
    fn next(&mut self) -> Option<LinkEvent> {
        let told = self.told.pop().ok();
        if let Some(told) = &told {
            self.held.told.fetch_sub(told.bytes(), SeqCst);
            // What was taken is seen to be gone by whoever says after it that there was no room.
            fence(SeqCst);
            if self.starved.swap(false, SeqCst) {
                let _ = self.bell.try_send(());
            }
        }
        told
    }
}
