//! The links' end of a port: orders out, and news that wait for room in the ring.

use crate::port::{hold, Held, Port, TransportUser};
use crate::{Lane, Limits, LinkCommand, LinkError, LinkEvent};
use async_channel::Receiver;
use basaltgw_types::RouterId;
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{fence, AtomicBool, Ordering::SeqCst};
use std::sync::Arc;

/// News of a peer that wait for room, in this order; the latest of each.
#[derive(Debug, Default)]
struct News {
    /// An older link is down.
    down: Option<LinkEvent>,
    /// It could not be reached.
    unreached: Option<LinkEvent>,
    /// A newer link is up.
    up: Option<LinkEvent>,
}

/// The links' end of a port.
pub struct Outbox {
    orders: Consumer<LinkCommand>,
    pub bell: Receiver<()>,
    pub lanes: Vec<Lane>,
    told: Option<Producer<LinkEvent>>,
    starved: Arc<AtomicBool>,
    held: Held,
    /// Bytes that a ring may hold.
    most: usize,
    wake: Box<dyn Fn() + Send>,
    /// News without room.
    news: BTreeMap<RouterId, News>,
    /// Peers that the user was last told to be up.
    up: BTreeSet<RouterId>,
    /// Unsent frames without room: no more than were taken. While there are any, no order is taken.
    unsent: VecDeque<LinkEvent>,
}

/// Both ends of a port, and the event of there being room in its ring.
pub fn port(user: TransportUser, limits: &Limits) -> (Port, Outbox) {
    let (orders, orders_out) = RingBuffer::new(limits.ring_entries);
    let (told, told_out) = RingBuffer::new(limits.ring_entries);
    let (bell, bell_out) = async_channel::bounded(1);
    let starved = Arc::new(AtomicBool::new(false));
    let held = Held::default();
    let (starved_too, held_too) = (starved.clone(), held.clone());
    let port = Port { orders, told: told_out, bell, starved: starved_too, held: held_too, limits: *limits };
    let TransportUser { lanes, wake } = user;
    let told = Some(told);
    let (news, up, unsent) = (BTreeMap::new(), BTreeSet::new(), VecDeque::new());
    let (orders, bell, most) = (orders_out, bell_out, limits.max_queued_bytes);
    (port, Outbox { orders, bell, lanes, told, starved, held, most, wake, news, up, unsent })
}

impl Outbox {
    /// Tells something. Without room it is handed back, and the bell rings once there is some.
    fn push(&mut self, told: LinkEvent) -> Option<LinkEvent> {
        let Some(ring) = &mut self.told else { return Some(told) };
        let bytes = told.bytes();
        let mut once = |told| {
            if !hold(&self.held.told, bytes, self.most) {
                return Some(told);
            }
            let PushError::Full(told) = ring.push(told).err()?;
            self.held.told.fetch_sub(bytes, SeqCst);
            Some(told)
        };
        if let Some(told) = once(told) {
            // Said before the second try: a user that takes something after it rings.
            self.starved.store(true, SeqCst);
            fence(SeqCst);
            if let Some(told) = once(told) {
                return Some(told);
            }
        }
        (self.wake)();
        None
    }

    /// Tells bytes that came; whether there was room, and nothing older waits for some.
    pub fn got(&mut self, told: LinkEvent) -> bool {
        self.flush() && self.push(told).is_none()
    }

    /// A link is up, or its peer's table another.
    pub fn up(&mut self, router: &RouterId, told: LinkEvent) {
        let waiting = self.news.entry(router.clone()).or_default();
        (waiting.unreached, waiting.up) = (None, Some(told));
        self.flush();
    }

    /// A router that the user wants could not be reached.
    pub fn unreached(&mut self, router: &RouterId) {
        self.news.entry(router.clone()).or_default().unreached = Some(LinkEvent::DialFailed(router.clone()));
        self.flush();
    }

    /// A link is down. If it was never told that it is up, nothing is.
    pub fn down(&mut self, router: &RouterId, told: LinkEvent) {
        let waiting = self.news.entry(router.clone()).or_default();
        waiting.up = None;
        if waiting.down.is_none() && self.up.contains(router) {
            waiting.down = Some(told);
        }
        self.flush();
    }

    /// A frame was not written whole.
    pub fn unsent(&mut self, no: u64, to: basaltgw_types::Member, why: LinkError) {
        self.unsent.push_back(LinkEvent::SendFailed { number: no, to, error: why });
        self.flush();
    }

    /// Tells what waits, as far as there is room; whether orders can be taken.
    pub fn flush(&mut self) -> bool {
        while let Some((router, mut news)) = self.news.pop_first() {
            if let Some(told) = news.down.take() {
                if let Some(told) = self.push(told) {
                    news.down = Some(told);
                    self.news.insert(router, news);
                    return false;
                }
                self.up.remove(&router);
            }
            if let Some(told) = news.unreached.take() {
                if let Some(told) = self.push(told) {
                    news.unreached = Some(told);
                    self.news.insert(router, news);
                    return false;
                }
            }
            if let Some(told) = news.up.take() {
                if let Some(told) = self.push(told) {
                    news.up = Some(told);
                    self.news.insert(router, news);
                    return false;
                }
                self.up.insert(router);
            }
        }
        while let Some(told) = self.unsent.pop_front() {
            if let Some(told) = self.push(told) {
                self.unsent.push_front(told);
                return false;
            }
        }
        true
    }

    /// The next order, if there is one.
    pub fn order(&mut self) -> Option<LinkCommand> {
        let order = self.orders.pop().ok()?;
        self.held.orders.fetch_sub(order.bytes(), SeqCst);
        Some(order)
    }

    /// Whether the ring has room.
    pub fn room(&self) -> bool {
        self.told.as_ref().is_some_and(|ring| !ring.is_full())
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        // The user is to see the end when it wakes.
        self.told = None;
        (self.wake)();
    }
}
