//! The transport's end of a port: commands, and events that wait for capacity of the ring.
//!
//! Events of a router's link are coalesced while they wait: only the latest of each kind is delivered, and a link whose start was not
//! delivered is not reported as down. Failed sends are all delivered; no command is taken while some wait, so that their number is bounded.

use crate::port::{reserve, Port, RingBytes, TransportUser};
use crate::{Lane, Limits, LinkCommand, LinkError, LinkEvent};
use async_channel::Receiver;
use basaltgw_types::{Member, RouterId};
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{fence, AtomicBool, Ordering::SeqCst};
use std::sync::Arc;

/// The waiting events of a router's link, in the order of delivery.
#[derive(Debug, Default)]
struct WaitingLinkEvents {
    /// An older link is down.
    down: Option<LinkEvent>,
    /// A dial has failed.
    dial_failed: Option<LinkEvent>,
    /// A newer link is up.
    up: Option<LinkEvent>,
}

/// Events that wait for capacity.
#[derive(Debug, Default)]
struct WaitingEvents {
    links: BTreeMap<RouterId, WaitingLinkEvents>,
    failed_sends: VecDeque<LinkEvent>,
}

/// The ring of events.
struct EventRing {
    /// `None` while the endpoint is dropped.
    producer: Option<Producer<LinkEvent>>,
    awaits_capacity: Arc<AtomicBool>,
    max_bytes: usize,
}

/// The transport's end of a port.
pub struct UserEndpoint {
    /// The user's signal that there are commands, or capacity for events.
    pub signal: Receiver<()>,
    /// The lanes whose frames the user receives.
    pub lanes: Vec<Lane>,
    commands: Consumer<LinkCommand>,
    events: EventRing,
    ring_bytes: RingBytes,
    wake: Box<dyn Fn() + Send>,
    waiting: WaitingEvents,
    /// Routers whose link was last reported as up.
    reported_up: BTreeSet<RouterId>,
}

/// Both ends of a port.
pub struct PortPair {
    pub port: Port,
    pub endpoint: UserEndpoint,
}

/// Creates the rings of a user.
pub fn create_port(user: TransportUser, limits: &Limits) -> PortPair {
    let (commands_in, commands) = RingBuffer::new(limits.ring_entries);
    let (producer, events_out) = RingBuffer::new(limits.ring_entries);
    let (signal_in, signal) = async_channel::bounded(1);
    let awaits_capacity = Arc::new(AtomicBool::new(false));
    let ring_bytes = RingBytes::default();
    let port = Port {
        commands: commands_in,
        events: events_out,
        signal: signal_in,
        awaits_capacity: awaits_capacity.clone(),
        ring_bytes: ring_bytes.clone(),
        limits: *limits,
    };
    let max_bytes = limits.max_queued_bytes;
    let endpoint = UserEndpoint {
        signal,
        lanes: user.lanes,
        commands,
        events: EventRing { producer: Some(producer), awaits_capacity, max_bytes },
        ring_bytes,
        wake: user.wake,
        waiting: WaitingEvents::default(),
        reported_up: BTreeSet::new(),
    };
    PortPair { port, endpoint }
}

impl UserEndpoint {
    /// Queues an event. Without capacity it is returned, and the user signals once there is some.
    fn push(&mut self, event: LinkEvent) -> Option<LinkEvent> {
        let Some(ring) = &mut self.events.producer else { return Some(event) };
        let (bytes, max_bytes) = (event.body_bytes(), self.events.max_bytes);
        let mut try_push = |event| {
            if !reserve(&self.ring_bytes.events, bytes, max_bytes) {
                return Some(event);
            }
            let PushError::Full(event) = ring.push(event).err()?;
            self.ring_bytes.events.fetch_sub(bytes, SeqCst);
            Some(event)
        };
        if let Some(event) = try_push(event) {
            // Set before the second attempt, so that a user that takes an event after it sends the signal.
            self.events.awaits_capacity.store(true, SeqCst);
            fence(SeqCst);
            if let Some(event) = try_push(event) {
                return Some(event);
            }
        }
        (self.wake)();
        None
    }

    /// Delivers received bytes; false if there is no capacity, or older events wait for it.
    pub fn deliver(&mut self, event: LinkEvent) -> bool {
        self.flush() && self.push(event).is_none()
    }

    /// Reports a link that is up, or its peer's new table.
    pub fn link_up(&mut self, router: &RouterId, event: LinkEvent) {
        let waiting = self.waiting.links.entry(router.clone()).or_default();
        (waiting.dial_failed, waiting.up) = (None, Some(event));
        self.flush();
    }

    /// Reports a failed dial.
    pub fn dial_failed(&mut self, router: &RouterId) {
        let waiting = self.waiting.links.entry(router.clone()).or_default();
        waiting.dial_failed = Some(LinkEvent::DialFailed(router.clone()));
        self.flush();
    }

    /// Reports a link that is down, if it was reported as up.
    pub fn link_down(&mut self, router: &RouterId, event: LinkEvent) {
        let waiting = self.waiting.links.entry(router.clone()).or_default();
        waiting.up = None;
        if waiting.down.is_none() && self.reported_up.contains(router) {
            waiting.down = Some(event);
        }
        self.flush();
    }

    /// Reports a frame that was not written completely.
    pub fn send_failed(&mut self, number: u64, to: Member, error: LinkError) {
        self.waiting.failed_sends.push_back(LinkEvent::SendFailed { number, to, error });
        self.flush();
    }

    /// Delivers the waiting events, as far as there is capacity. True if none is left, so that commands may be taken.
    pub fn flush(&mut self) -> bool {
        while let Some((router, mut waiting)) = self.waiting.links.pop_first() {
            if !self.flush_link(&router, &mut waiting) {
                self.waiting.links.insert(router, waiting);
                return false;
            }
        }
        while let Some(event) = self.waiting.failed_sends.pop_front() {
            if let Some(event) = self.push(event) {
                self.waiting.failed_sends.push_front(event);
                return false;
            }
        }
        true
    }

    /// Delivers the waiting events of a router's link; true if none is left.
    fn flush_link(&mut self, router: &RouterId, waiting: &mut WaitingLinkEvents) -> bool {
        if let Some(event) = waiting.down.take() {
            waiting.down = self.push(event);
            if waiting.down.is_some() {
                return false;
            }
            self.reported_up.remove(router);
        }
        if let Some(event) = waiting.dial_failed.take() {
            waiting.dial_failed = self.push(event);
            if waiting.dial_failed.is_some() {
                return false;
            }
        }
        if let Some(event) = waiting.up.take() {
            waiting.up = self.push(event);
            if waiting.up.is_some() {
                return false;
            }
            self.reported_up.insert(router.clone());
        }
        true
    }

    /// The next command, if there is one.
    pub fn next_command(&mut self) -> Option<LinkCommand> {
        let command = self.commands.pop().ok()?;
        self.ring_bytes.commands.fetch_sub(command.body_bytes(), SeqCst);
        Some(command)
    }

    /// True if the ring of events has capacity.
    pub fn has_capacity(&self) -> bool {
        self.events.producer.as_ref().is_some_and(|ring| !ring.is_full())
    }
}

impl Drop for UserEndpoint {
    fn drop(&mut self) {
        // The ring is closed first, so that the user sees the end when it wakes.
        self.events.producer = None;
        (self.wake)();
    }
}

#[cfg(test)]
mod tests;
