//! The rings between the transport's thread and its two users, as the users see them.

use crate::counters::Counters;
use crate::{Lane, Limits, LinkCommand, LinkEvent};
use async_channel::Sender;
use rtrb::{Consumer, Producer, PushError};
use std::any::Any;
use std::net::SocketAddr;
use std::sync::atomic::{fence, AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A user of the transport, as it is given at the start.
pub struct TransportUser {
    /// The lanes whose frames it receives. Frames of a lane of both users are delivered to both.
    pub lanes: Vec<Lane>,
    /// Called by the transport's thread after an event was queued, and when that thread ends. Must neither block nor panic.
    pub wake: Box<dyn Fn() + Send>,
}

/// Why a command was not accepted; the command is returned.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The ring is full: retry after an event, or give up.
    #[error("the ring of commands is full")]
    QueueFull(LinkCommand),
    /// The body is longer than a frame may be.
    #[error("the body is longer than the {max_bytes} bytes of a frame")]
    FrameTooLong {
        /// The command.
        command: LinkCommand,
        /// The limit.
        max_bytes: usize,
    },
    /// The transport's thread has ended.
    #[error("the transport has ended")]
    Ended(LinkCommand),
}

/// The transport's thread ended by a panic, with this message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the transport's thread ended: {0}")]
pub struct TransportEnded(pub String);

/// The running transport.
#[derive(Debug)]
pub struct Links {
    pub(crate) ports: (Port, Port),
    pub(crate) handle: TransportHandle,
}

/// The thread and the counters of the transport.
#[derive(Debug)]
pub struct TransportHandle {
    pub(crate) thread: JoinHandle<()>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) address: SocketAddr,
}

impl Links {
    /// The ports, in the order of the users, and the handle of the thread.
    pub fn split(self) -> (Port, Port, TransportHandle) {
        (self.ports.0, self.ports.1, self.handle)
    }
}

impl TransportHandle {
    /// True if the thread has ended, for whatever reason.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of the thread.
    ///
    /// # Errors
    /// [`TransportEnded`] if the thread panicked: its end was caused neither by [`LinkCommand::Shutdown`] nor by a dropped [`Port`].
    pub fn join(self) -> Result<(), TransportEnded> {
        self.thread.join().map_err(|panic| TransportEnded(panic_message(panic)))
    }

    /// The counters.
    pub fn counters(&self) -> Arc<Counters> {
        self.counters.clone()
    }

    /// The address on which links are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn panic_message(panic: Box<dyn Any + Send>) -> String {
    match panic.downcast::<String>() {
        Ok(message) => *message,
        Err(panic) => (*panic.downcast::<&str>().unwrap_or(Box::new("a panic without a message"))).into(),
    }
}

/// A user's end of the transport: takes commands and returns events without waiting. Dropping one of the two ports shuts the transport down
/// gracefully.
#[derive(Debug)]
pub struct Port {
    pub(crate) commands: Producer<LinkCommand>,
    pub(crate) events: Consumer<LinkEvent>,
    /// Notifies the transport's thread of commands, or of capacity for events.
    pub(crate) signal: Sender<()>,
    /// Set while the transport's thread waits for capacity.
    pub(crate) awaits_capacity: Arc<AtomicBool>,
    pub(crate) ring_bytes: RingBytes,
    pub(crate) limits: Limits,
}

/// Body bytes in a port's two rings, which bound only the number of entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct RingBytes {
    pub commands: Arc<AtomicUsize>,
    pub events: Arc<AtomicUsize>,
}

/// Reserves bytes of a ring, if it has the capacity; an empty ring admits any single entry.
pub(crate) fn reserve(reserved: &AtomicUsize, bytes: usize, max_bytes: usize) -> bool {
    let admit = |now: usize| (now == 0 || now + bytes <= max_bytes).then_some(now + bytes);
    bytes == 0 || reserved.fetch_update(SeqCst, SeqCst, admit).is_ok()
}

impl LinkCommand {
    /// Bytes of the body.
    pub(crate) fn body_bytes(&self) -> usize {
        match self {
            Self::Send { body, .. } => body.len(),
            Self::SetWanted { .. } | Self::AdvertiseTable(..) | Self::Shutdown => 0,
        }
    }
}

impl LinkEvent {
    /// Bytes of the body.
    pub(crate) fn body_bytes(&self) -> usize {
        match self {
            Self::MessageReceived { body, .. } => body.len(),
            Self::LinkUp(_) | Self::LinkDown(..) | Self::DialFailed(_) | Self::SendFailed { .. } => 0,
        }
    }
}

impl Port {
    /// Queues a command.
    ///
    /// # Errors
    /// [`CommandError`] with the command, at once.
    pub fn send(&mut self, command: LinkCommand) -> Result<(), CommandError> {
        if self.has_ended() {
            return Err(CommandError::Ended(command));
        }
        let Limits { max_frame_bytes, max_queued_bytes, .. } = self.limits;
        let bytes = command.body_bytes();
        if bytes > max_frame_bytes {
            return Err(CommandError::FrameTooLong { command, max_bytes: max_frame_bytes });
        }
        if !reserve(&self.ring_bytes.commands, bytes, max_queued_bytes) {
            return Err(CommandError::QueueFull(command));
        }
        if let Err(PushError::Full(command)) = self.commands.push(command) {
            self.ring_bytes.commands.fetch_sub(bytes, SeqCst);
            return Err(CommandError::QueueFull(command));
        }
        // A signal that is already pending is sufficient.
        let _ = self.signal.try_send(());
        Ok(())
    }

    /// True if the transport's thread has ended: [`Port::next`] returns only what is already queued.
    pub fn has_ended(&self) -> bool {
        self.events.is_abandoned()
    }
}

impl Iterator for Port {
    type Item = LinkEvent;

    /// The next event, if there is one.
    fn next(&mut self) -> Option<LinkEvent> {
        let event = self.events.pop().ok();
        if let Some(event) = &event {
            self.ring_bytes.events.fetch_sub(event.body_bytes(), SeqCst);
            // Pairs with the fence in `UserEndpoint::push`: either side sees what the other has done.
            fence(SeqCst);
            if self.awaits_capacity.swap(false, SeqCst) {
                let _ = self.signal.try_send(());
            }
        }
        event
    }
}
