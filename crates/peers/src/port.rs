//! The rings between the links' thread and its two users.

use crate::counts::Counts;
use crate::{Lane, Limits, Order, Told, Why};
use async_channel::{Receiver, Sender};
use basaltgw_ids::RouterId;
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{fence, AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A user of the links, as it is handed in at the start.
pub struct User {
    /// The lanes whose frames it takes. A lane of both users' is told to both.
    pub lanes: Vec<Lane>,
    /// Called from the links' thread after something was told, and when that thread ends: wakes the user. Must neither wait nor panic.
    pub wake: Box<dyn Fn() + Send>,
}

/// An order that was not taken; it is handed back.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The ring is full: try again after something was told, or give up.
    #[error("the ring of orders is full")]
    Full(Order),
    /// Longer than a frame may be.
    #[error("a frame longer than {most} bytes")]
    Long {
        /// The order.
        order: Order,
        /// The bound.
        most: usize,
    },
    /// The links' thread has ended.
    #[error("the links have ended")]
    Ended(Order),
}

/// How the links' thread ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the links' thread ended: {0}")]
pub struct Ended(pub String);

/// The running links.
#[derive(Debug)]
pub struct Links {
    pub(crate) ports: (Port, Port),
    pub(crate) rest: Rest,
}

/// What is left of [`Links`] once its ports are with their users: the thread and the counters.
#[derive(Debug)]
pub struct Rest {
    pub(crate) thread: JoinHandle<()>,
    pub(crate) counts: Arc<Counts>,
    pub(crate) address: SocketAddr,
}

impl Links {
    /// The ports, in the order in which the users were handed in, and what watches over the thread.
    pub fn split(self) -> (Port, Port, Rest) {
        (self.ports.0, self.ports.1, self.rest)
    }
}

impl Rest {
    /// Whether the thread has ended, in order or not.
    pub fn ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the thread's end.
    ///
    /// # Errors
    /// [`Ended`] with the cause if it was not [`Order::End`] or a dropped [`Port`].
    pub fn join(self) -> Result<(), Ended> {
        let text = |cause: Box<dyn std::any::Any + Send>| match cause.downcast::<String>() {
            Ok(text) => *text,
            Err(cause) => (*cause.downcast::<&str>().unwrap_or(Box::new("a panic without words"))).into(),
        };
        self.thread.join().map_err(|cause| Ended(text(cause)))
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
    orders: Producer<Order>,
    told: Consumer<Told>,
    bell: Sender<()>,
    starved: Arc<AtomicBool>,
    held: Held,
    limits: Limits,
}

/// Bytes of bodies in a port's two rings, which would else be bounded in entries only.
#[derive(Clone, Debug, Default)]
struct Held {
    orders: Arc<AtomicUsize>,
    told: Arc<AtomicUsize>,
}

/// Takes room for some bytes, if there is; an empty ring has room for any one frame.
fn hold(held: &AtomicUsize, bytes: usize, most: usize) -> bool {
    let fits = |now: usize| (now == 0 || now + bytes <= most).then_some(now + bytes);
    bytes == 0 || held.fetch_update(SeqCst, SeqCst, fits).is_ok()
}

impl Order {
    fn bytes(&self) -> usize {
        match self {
            Self::Send { body, .. } => body.len(),
            Self::Table(..) | Self::End => 0,
        }
    }
}

impl Told {
    fn bytes(&self) -> usize {
        match self {
            Self::Got { body, .. } => body.len(),
            Self::Up(_) | Self::Down(..) | Self::Unsent { .. } => 0,
        }
    }
}

impl Port {
    /// Gives an order.
    ///
    /// # Errors
    /// [`Refused`], at once, with the order.
    pub fn send(&mut self, order: Order) -> Result<(), Refused> {
        if self.ended() {
            return Err(Refused::Ended(order));
        }
        let Limits { frame: most, bytes: ring, .. } = self.limits;
        let bytes = order.bytes();
        if bytes > most {
            return Err(Refused::Long { order, most });
        }
        if !hold(&self.held.orders, bytes, ring) {
            return Err(Refused::Full(order));
        }
        if let Err(PushError::Full(order)) = self.orders.push(order) {
            self.held.orders.fetch_sub(bytes, SeqCst);
            return Err(Refused::Full(order));
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
    type Item = Told;

    /// The next that was told, if there is something.
    fn next(&mut self) -> Option<Told> {
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

/// The links' end of a port.
pub struct Outbox {
    orders: Consumer<Order>,
    pub bell: Receiver<()>,
    pub lanes: Vec<Lane>,
    told: Option<Producer<Told>>,
    starved: Arc<AtomicBool>,
    held: Held,
    /// Bytes that a ring may hold.
    most: usize,
    wake: Box<dyn Fn() + Send>,
    /// News without room: for each peer at most that an older link is down, and that a newer one is up.
    news: BTreeMap<RouterId, (Option<Told>, Option<Told>)>,
    /// Peers that the user was last told to be up.
    up: BTreeSet<RouterId>,
    /// Unsent frames without room: no more than were taken. While there are any, no order is taken.
    unsent: VecDeque<Told>,
}

/// Both ends of a port, and the event of there being room in its ring.
pub fn port(user: User, limits: &Limits) -> (Port, Outbox) {
    let (orders, orders_out) = RingBuffer::new(limits.ring);
    let (told, told_out) = RingBuffer::new(limits.ring);
    let (bell, bell_out) = async_channel::bounded(1);
    let starved = Arc::new(AtomicBool::new(false));
    let held = Held::default();
    let (starved_too, held_too) = (starved.clone(), held.clone());
    let port = Port { orders, told: told_out, bell, starved: starved_too, held: held_too, limits: *limits };
    let User { lanes, wake } = user;
    let told = Some(told);
    let (news, up, unsent) = (BTreeMap::new(), BTreeSet::new(), VecDeque::new());
    let (orders, bell, most) = (orders_out, bell_out, limits.bytes);
    (port, Outbox { orders, bell, lanes, told, starved, held, most, wake, news, up, unsent })
}

impl Outbox {
    /// Tells something. Without room it is handed back, and the bell rings once there is some.
    fn push(&mut self, told: Told) -> Option<Told> {
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
    pub fn got(&mut self, told: Told) -> bool {
        self.flush() && self.push(told).is_none()
    }

    /// A link is up, or its peer's table another.
    pub fn up(&mut self, router: &RouterId, told: Told) {
        self.news.entry(router.clone()).or_default().1 = Some(told);
        self.flush();
    }

    /// A link is down. If it was never told that it is up, nothing is.
    pub fn down(&mut self, router: &RouterId, told: Told) {
        let waiting = self.news.entry(router.clone()).or_default();
        waiting.1 = None;
        if waiting.0.is_none() && self.up.contains(router) {
            waiting.0 = Some(told);
        }
        self.flush();
    }

    /// A frame was not written whole.
    pub fn unsent(&mut self, no: u64, to: basaltgw_ids::Member, why: Why) {
        self.unsent.push_back(Told::Unsent { no, to, why });
        self.flush();
    }

    /// Tells what waits, as far as there is room; whether orders can be taken.
    pub fn flush(&mut self) -> bool {
        while let Some((router, (down, up))) = self.news.pop_first() {
            if let Some(told) = down {
                if let Some(told) = self.push(told) {
                    self.news.insert(router, (Some(told), up));
                    return false;
                }
                self.up.remove(&router);
            }
            if let Some(told) = up {
                if let Some(told) = self.push(told) {
                    self.news.insert(router, (None, Some(told)));
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
    pub fn order(&mut self) -> Option<Order> {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Hello, PROTOCOL};
    use basaltgw_ids::{Domain, Incarnation, Member, TableHash, TableVersion};

    #[test]
    fn orders_are_bounded_in_bytes_too() {
        let limits = Limits { frames: 1, bytes: 10, frame: 6, ring: 9 };
        let (mut port, mut outbox) = port(User { lanes: vec![], wake: Box::new(|| ()) }, &limits);
        let to = Member { router: RouterId(Arc::from("x")), incarnation: Incarnation(1) };
        let order = || Order::Send { no: 0, to: to.clone(), lane: Lane::Holds, body: vec![0; 6] };
        assert_eq!((port.send(order()), port.send(order())), (Ok(()), Err(Refused::Full(order()))));
        assert_eq!(
            (port.send(Order::End), outbox.order(), port.send(order())),
            (Ok(()), Some(order()), Ok(()))
        );
    }

    #[test]
    fn a_link_that_came_and_went_without_room_was_never_there() {
        let limits = Limits { frames: 1, bytes: 1, frame: 1, ring: 1 };
        let (mut port, mut outbox) = port(User { lanes: vec![], wake: Box::new(|| ()) }, &limits);
        let text: Arc<str> = Arc::from("x");
        let member = Member { router: RouterId(text.clone()), incarnation: Incarnation(1) };
        let hello = |version| Hello {
            protocol: PROTOCOL,
            cluster: text.clone(),
            member: member.clone(),
            domain: Domain { branch: text.clone(), machine: text.clone() },
            table: (TableVersion(version), TableHash([0; 32])),
        };
        let down = || Told::Down(member.clone(), Why::Broken);
        outbox.unsent(1, member.clone(), Why::NoLink);
        outbox.up(&member.router, Told::Up(hello(1)));
        outbox.down(&member.router, down());
        assert!(port.next().is_some() && outbox.flush() && port.next().is_none());
        // One that was told is told to be gone, also when another table of its was not told yet.
        outbox.up(&member.router, Told::Up(hello(1)));
        outbox.up(&member.router, Told::Up(hello(2)));
        outbox.down(&member.router, down());
        assert_eq!((port.next(), outbox.flush()), (Some(Told::Up(hello(1))), true));
        assert_eq!((port.next(), outbox.flush(), port.next()), (Some(down()), true, None));
    }
}
