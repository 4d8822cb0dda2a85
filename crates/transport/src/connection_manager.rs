//! The state that the tasks of the transport's thread share: the listed peers, the links that are up, the users' endpoints.

use crate::counters::{increment, Counters};
use crate::dials::Dials;
use crate::limits::MAX_LOGGED_REJECTIONS;
use crate::priority_queues::{PriorityQueues, QueuedFrame, UserIndex};
use crate::user_endpoint::UserEndpoint;
use crate::{Hello, Lane, Limits, LinkCommand, LinkError, LinkEvent, PeerConfig, Settings};
use basaltgw_types::{Member, RouterId};
use event_listener::Event;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Instant;

/// The hello as it is sent: what users see, and the session of the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionHello {
    pub hello: Hello,
    /// A random number of each process. A second connection of the same session is a duplicate; one of another session replaces the link.
    pub session_id: u64,
}

/// A link that is up.
pub struct Link {
    pub session: RefCell<SessionHello>,
    pub queues: RefCell<PriorityQueues>,
    /// The frame that is being written.
    pub in_progress: RefCell<Option<QueuedFrame>>,
    /// Notified when there is something to write.
    pub work_available: Event,
    /// This router has dialled it.
    pub was_dialled: bool,
    /// When a user's frame was last read or written.
    pub last_used: Cell<Instant>,
    /// It is being closed as idle: nothing more is written.
    pub is_closing: Cell<bool>,
    /// This router's table has changed since it was last written.
    pub table_changed: Cell<bool>,
    /// It has been removed and reported as down.
    pub is_down: Cell<bool>,
    /// Notified when it goes down.
    pub went_down: Event,
}

impl Link {
    fn new(session: SessionHello, was_dialled: bool, limits: &Limits) -> Self {
        Self {
            session: RefCell::new(session),
            queues: RefCell::new(PriorityQueues::new(limits)),
            in_progress: RefCell::default(),
            work_available: Event::new(),
            was_dialled,
            last_used: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            table_changed: Cell::new(false),
            is_down: Cell::new(false),
            went_down: Event::new(),
        }
    }

    pub fn member(&self) -> Member {
        self.session.borrow().hello.member.clone()
    }
}

/// The configuration of a [`ConnectionManager`].
pub struct ManagerConfig {
    pub me: SessionHello,
    pub listed: BTreeMap<RouterId, PeerConfig>,
    pub limits: Limits,
    pub settings: Settings,
}

/// The state that the tasks of the transport's thread share.
pub struct ConnectionManager {
    pub me: RefCell<SessionHello>,
    pub listed: BTreeMap<RouterId, PeerConfig>,
    pub limits: Limits,
    pub settings: Settings,
    pub dials: Dials,
    pub links: RefCell<BTreeMap<RouterId, Rc<Link>>>,
    pub endpoints: [RefCell<UserEndpoint>; 2],
    pub counters: Arc<Counters>,
    pub rng: RefCell<fastrand::Rng>,
    /// Accepted connections without a complete handshake.
    pub in_handshake: Cell<usize>,
    /// Notified when a link comes up or goes down, a router is wanted or not any more, or the shutdown begins.
    pub changed: Event,
    /// Notified when a ring of events may have capacity.
    pub capacity_freed: Event,
    pub is_shutting_down: Cell<bool>,
    /// The panic of a task, which ends the thread.
    pub panic: RefCell<Option<Box<dyn Any + Send>>>,
    logged_rejections: RefCell<BTreeSet<String>>,
}

impl ConnectionManager {
    pub fn new(config: ManagerConfig, endpoints: [UserEndpoint; 2], counters: Arc<Counters>) -> Self {
        let ManagerConfig { me, listed, limits, settings } = config;
        Self {
            rng: RefCell::new(fastrand::Rng::with_seed(me.session_id)),
            me: RefCell::new(me),
            listed,
            limits,
            settings,
            dials: Dials::default(),
            links: RefCell::default(),
            endpoints: endpoints.map(RefCell::new),
            counters,
            in_handshake: Cell::new(0),
            changed: Event::new(),
            capacity_freed: Event::new(),
            is_shutting_down: Cell::new(false),
            panic: RefCell::default(),
            logged_rejections: RefCell::default(),
        }
    }

    /// A user's endpoint.
    pub fn endpoint(&self, user: UserIndex) -> Option<&RefCell<UserEndpoint>> {
        self.endpoints.get(user.0)
    }

    /// True if a link to that session of the router is up.
    pub fn has_link(&self, session: &SessionHello) -> bool {
        let links = self.links.borrow();
        let link = links.get(&session.hello.member.router);
        link.is_some_and(|l| l.session.borrow().session_id == session.session_id)
    }

    /// Adds a link that is up. An existing link to the router goes down: its peer has restarted, or selected another connection.
    pub fn link_up(&self, session: SessionHello, was_dialled: bool) -> Rc<Link> {
        let hello = session.hello.clone();
        let router = hello.member.router.clone();
        let old = self.links.borrow().get(&router).cloned();
        if let Some(old) = old {
            let is_same_member = old.member() == hello.member;
            self.link_down(
                &old,
                if is_same_member { LinkError::ConnectionLost } else { LinkError::Replaced },
            );
        }
        let link = Rc::new(Link::new(session, was_dialled, &self.limits));
        self.links.borrow_mut().insert(router, link.clone());
        increment(&self.counters.peer_up);
        self.report_link_up(&hello);
        self.changed.notify(usize::MAX);
        link
    }

    /// Reports a link that is up, or its peer's new table, to both users.
    pub fn report_link_up(&self, hello: &Hello) {
        for endpoint in &self.endpoints {
            endpoint.borrow_mut().link_up(&hello.member.router, LinkEvent::LinkUp(hello.clone()));
        }
    }

    /// Removes a link that is down, and reports it and the frames that it has not written. Has no effect on a link that was removed before.
    pub fn link_down(&self, link: &Rc<Link>, error: LinkError) {
        if link.is_down.replace(true) {
            return;
        }
        let member = link.member();
        self.remove_link(link, &member.router);
        self.count_link_down(error);
        for endpoint in &self.endpoints {
            endpoint.borrow_mut().link_down(&member.router, LinkEvent::LinkDown(member.clone(), error));
        }
        // Only the frame whose write had begun may have been received.
        if let Some(frame) = link.in_progress.take() {
            self.send_failed(frame.user, frame.number, member.clone(), LinkError::ConnectionLost);
        }
        let not_written = match error {
            LinkError::ConnectionLost | LinkError::Idle => LinkError::NotConnected,
            other => other,
        };
        for frame in link.queues.borrow_mut().drain() {
            self.send_failed(frame.user, frame.number, member.clone(), not_written);
        }
        link.went_down.notify(usize::MAX);
        self.changed.notify(usize::MAX);
    }

    /// Removes a link, unless the router has another one.
    fn remove_link(&self, link: &Rc<Link>, router: &RouterId) {
        let mut links = self.links.borrow_mut();
        if links.get(router).is_some_and(|l| Rc::ptr_eq(l, link)) {
            links.remove(router);
        }
    }

    fn count_link_down(&self, error: LinkError) {
        increment(match error {
            LinkError::PeerTimeout => &self.counters.peer_silent,
            LinkError::MalformedFrame => &self.counters.peer_garbled,
            LinkError::RateExceeded => &self.counters.peer_flooded,
            LinkError::Replaced => &self.counters.peer_replaced,
            LinkError::Idle => &self.counters.peer_idle,
            LinkError::NotConnected
            | LinkError::QueueFull
            | LinkError::ConnectionLost
            | LinkError::PeerMismatch => &self.counters.peer_broken,
        });
    }

    /// Counts and reports a frame that was not written completely.
    fn send_failed(&self, user: UserIndex, number: u64, to: Member, error: LinkError) {
        increment(match error {
            LinkError::NotConnected | LinkError::PeerMismatch | LinkError::Idle => {
                &self.counters.peer_unsent_no_link
            }
            LinkError::QueueFull => &self.counters.peer_unsent_full,
            LinkError::ConnectionLost
            | LinkError::PeerTimeout
            | LinkError::MalformedFrame
            | LinkError::RateExceeded
            | LinkError::Replaced => &self.counters.peer_unsent_broken,
        });
        if let Some(endpoint) = self.endpoint(user) {
            endpoint.borrow_mut().send_failed(number, to, error);
        }
    }

    /// Executes a user's command.
    pub fn execute(&self, user: UserIndex, command: LinkCommand) {
        match command {
            LinkCommand::Send { number, to, lane, body } => {
                self.queue_frame(to, QueuedFrame { number, user, lane, body });
            }
            LinkCommand::SetWanted { router, wanted } => self.set_wanted(user, router, wanted),
            LinkCommand::AdvertiseTable(version, hash) => {
                self.me.borrow_mut().hello.table = (version, hash);
                for link in self.links.borrow().values() {
                    link.table_changed.set(true);
                    link.work_available.notify(usize::MAX);
                }
            }
            LinkCommand::Shutdown => self.begin_shutdown(),
        }
    }

    fn queue_frame(&self, to: Member, frame: QueuedFrame) {
        let link = self.links.borrow().get(&to.router).filter(|l| l.member() == to).cloned();
        let Some(link) = link else {
            return self.send_failed(frame.user, frame.number, to, LinkError::NotConnected);
        };
        let queued = link.queues.borrow_mut().push(frame);
        match queued {
            Ok(()) => _ = link.work_available.notify(usize::MAX),
            Err(frame) => self.send_failed(frame.user, frame.number, to, LinkError::QueueFull),
        }
    }

    /// Begins the shutdown: links write their queued frames, and close.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        for link in self.links.borrow().values() {
            link.work_available.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Delivers a frame to the users of its lane that are still `pending`, by index; true if none is left.
    pub fn deliver(&self, from: &Member, lane: Lane, body: &[u8], pending: &mut [bool; 2]) -> bool {
        for (endpoint, pending) in self.endpoints.iter().zip(pending.iter_mut()) {
            let mut endpoint = endpoint.borrow_mut();
            if *pending && endpoint.lanes.contains(&lane) {
                let event = LinkEvent::MessageReceived { from: from.clone(), lane, body: body.to_vec() };
                *pending = !endpoint.deliver(event);
            } else {
                *pending = false;
            }
        }
        !pending.contains(&true)
    }

    /// Counts a connection that is closed before it is a link, and logs each reason once.
    pub fn reject(&self, counter: &AtomicU64, reason: &str) {
        increment(counter);
        let mut logged = self.logged_rejections.borrow_mut();
        if logged.len() < MAX_LOGGED_REJECTIONS && logged.insert(reason.into()) {
            log::warn!("peers: connection closed: {reason}");
        }
    }
}
