//! What the tasks of the links' thread share: who is listed, the links that are up, the users' rings.

use crate::counts::{count, Counts};
use crate::lanes::{Lanes, Waiting};
use crate::limits::SAID;
use crate::outbox::Outbox;
use crate::{Hello, Lane, Limits, LinkCommand, LinkError, LinkEvent, PeerConfig, Settings, PROTOCOL_VERSION};
use basaltgw_types::{name, Member, RouterId};
use event_listener::Event;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Instant;

/// The hello as it is written: what users see, and which start of the process it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    pub hello: Hello,
    /// Drawn at each start: a second connection of the same start is one too many, one of another start takes the link's place.
    pub start: u64,
}

/// A link that is up.
pub struct Link {
    pub greeting: RefCell<Greeting>,
    pub lanes: RefCell<Lanes>,
    /// The frame that is being written.
    pub writing: RefCell<Option<Waiting>>,
    /// There is something to write.
    pub wake: Event,
    /// It was dialled here.
    pub dialled: bool,
    /// When a user's frame last went, either way.
    pub used: Cell<Instant>,
    /// It is being closed in order: nothing more is written.
    pub closing: Cell<bool>,
    /// The own table is another since it was last written.
    pub table: Cell<bool>,
    /// The link is gone.
    pub gone: Cell<bool>,
    /// See `gone`.
    pub closed: Event,
}

impl Link {
    pub fn member(&self) -> Member {
        self.greeting.borrow().hello.member.clone()
    }
}

/// See the module.
pub struct Hub {
    pub me: RefCell<Greeting>,
    pub listed: BTreeMap<RouterId, PeerConfig>,
    pub limits: Limits,
    pub settings: Settings,
    /// Which of the users want a router.
    pub wants: RefCell<BTreeMap<RouterId, [bool; 2]>>,
    /// Routers with a task that dials them, and those whose task is to begin.
    pub dialling: RefCell<BTreeSet<RouterId>>,
    pub to_dial: RefCell<VecDeque<RouterId>>,
    /// Dials that have not come to a link, where their number is bounded.
    pub dials: Cell<usize>,
    /// There may be a place among them.
    pub placed: Event,
    pub links: RefCell<BTreeMap<RouterId, Rc<Link>>>,
    pub outboxes: [RefCell<Outbox>; 2],
    pub counts: Arc<Counts>,
    pub draws: RefCell<fastrand::Rng>,
    /// Connections that have not said who they are.
    pub unknown: Cell<usize>,
    /// A link came or went, or the end began.
    pub changed: Event,
    /// There may be room in a ring.
    pub room: Event,
    pub ending: Cell<bool>,
    /// The cause if a task panicked.
    pub panic: RefCell<Option<Box<dyn Any + Send>>>,
    said: RefCell<BTreeSet<String>>,
}

impl Hub {
    pub fn new(
        me: Greeting,
        listed: BTreeMap<RouterId, PeerConfig>,
        (limits, settings): (Limits, Settings),
        outboxes: [Outbox; 2],
        counts: Arc<Counts>,
    ) -> Self {
        Self {
            draws: RefCell::new(fastrand::Rng::with_seed(me.start)),
            me: RefCell::new(me),
            listed,
            limits,
            settings,
            wants: RefCell::default(),
            dialling: RefCell::default(),
            to_dial: RefCell::default(),
            dials: Cell::new(0),
            placed: Event::new(),
            links: RefCell::default(),
            outboxes: outboxes.map(RefCell::new),
            counts,
            unknown: Cell::new(0),
            changed: Event::new(),
            room: Event::new(),
            ending: Cell::new(false),
            panic: RefCell::default(),
            said: RefCell::default(),
        }
    }

    /// Whether the own name is the smaller of the two: that router says which connection is the link.
    pub fn chooses(&self, peer: &RouterId) -> bool {
        self.me.borrow().hello.member.router < *peer
    }

    /// Reads a hello; a reason if its speaker is a stranger, or if it can't be read.
    pub fn judge(&self, body: &[u8]) -> Result<Greeting, (LinkError, String)> {
        let stranger = |why: String| Err((LinkError::PeerMismatch, why));
        // The protocol comes first, whatever follows: another version may say something else after it.
        let Ok((protocol, _)) = postcard::take_from_bytes::<u16>(body) else {
            return Err((LinkError::MalformedFrame, "a hello without a protocol".into()));
        };
        if protocol != PROTOCOL_VERSION {
            return stranger(format!("protocol {protocol}, expected {PROTOCOL_VERSION}"));
        }
        let greeting = match postcard::take_from_bytes::<Greeting>(body) {
            Ok((greeting, [])) => greeting,
            Ok(_) | Err(_) => return Err((LinkError::MalformedFrame, "a hello that can't be read".into())),
        };
        let hello = &greeting.hello;
        let me = &self.me.borrow().hello;
        let router = &hello.member.router;
        for text in [&hello.cluster, &router.0, &hello.domain.branch, &hello.domain.machine] {
            if let Err(bad) = name(text) {
                return Err((LinkError::MalformedFrame, bad.to_string()));
            }
        }
        if hello.cluster != me.cluster {
            return stranger(format!(
                "router {router} of the cluster {}, expected {}",
                hello.cluster, me.cluster
            ));
        }
        match self.listed.get(router) {
            // The own name is never listed.
            None => stranger(format!("router {router}, not listed")),
            Some(listed) if listed.domain != hello.domain => {
                stranger(format!("router {router} in {:?}, listed in {:?}", hello.domain, listed.domain))
            }
            Some(_) => Ok(greeting),
        }
    }

    /// Whether a link to that start of the router is up.
    pub fn has(&self, greeting: &Greeting) -> bool {
        let links = self.links.borrow();
        links.get(&greeting.hello.member.router).is_some_and(|l| l.greeting.borrow().start == greeting.start)
    }

    /// A link is up. One that was is gone: its peer began anew, or chose another connection.
    pub fn up(&self, greeting: Greeting, dialled: bool) -> Rc<Link> {
        let hello = greeting.hello.clone();
        let router = hello.member.router.clone();
        let old = self.links.borrow().get(&router).cloned();
        if let Some(old) = old {
            let same = old.member() == hello.member;
            self.down(&old, if same { LinkError::ConnectionLost } else { LinkError::Replaced });
        }
        let link = Rc::new(Link {
            greeting: RefCell::new(greeting),
            lanes: RefCell::new(Lanes::new(&self.limits)),
            writing: RefCell::default(),
            wake: Event::new(),
            dialled,
            used: Cell::new(Instant::now()),
            closing: Cell::new(false),
            table: Cell::new(false),
            gone: Cell::new(false),
            closed: Event::new(),
        });
        self.links.borrow_mut().insert(router, link.clone());
        count(&self.counts.peer_up);
        self.tell_up(hello);
        self.changed.notify(usize::MAX);
        link
    }

    /// Tells both users of a link that is up, or of its peer's table.
    pub fn tell_up(&self, hello: Hello) {
        for outbox in &self.outboxes {
            outbox.borrow_mut().up(&hello.member.router, LinkEvent::LinkUp(hello.clone()));
        }
    }

    /// A link is gone, once: what waited on it is unsent.
    pub fn down(&self, link: &Rc<Link>, why: LinkError) {
        if link.gone.replace(true) {
            return;
        }
        let member = link.member();
        let mut links = self.links.borrow_mut();
        if links.get(&member.router).is_some_and(|l| Rc::ptr_eq(l, link)) {
            links.remove(&member.router);
        }
        drop(links);
        count(match why {
            LinkError::PeerTimeout => &self.counts.peer_silent,
            LinkError::MalformedFrame => &self.counts.peer_garbled,
            LinkError::RateExceeded => &self.counts.peer_flooded,
            LinkError::Replaced => &self.counts.peer_replaced,
            LinkError::Idle => &self.counts.peer_idle,
            LinkError::NotConnected
            | LinkError::QueueFull
            | LinkError::ConnectionLost
            | LinkError::PeerMismatch => &self.counts.peer_broken,
        });
        for outbox in &self.outboxes {
            outbox.borrow_mut().down(&member.router, LinkEvent::LinkDown(member.clone(), why));
        }
        // Only the frame that was begun may have reached somebody.
        if let Some(frame) = link.writing.take() {
            self.unsent(frame.user, frame.no, member.clone(), LinkError::ConnectionLost);
        }
        let never = if matches!(why, LinkError::ConnectionLost | LinkError::Idle) {
            LinkError::NotConnected
        } else {
            why
        };
        for frame in link.lanes.borrow_mut().take() {
            self.unsent(frame.user, frame.no, member.clone(), never);
        }
        link.closed.notify(usize::MAX);
        self.changed.notify(usize::MAX);
    }

    fn unsent(&self, user: usize, no: u64, to: Member, why: LinkError) {
        count(match why {
            LinkError::NotConnected | LinkError::PeerMismatch | LinkError::Idle => {
                &self.counts.peer_unsent_no_link
            }
            LinkError::QueueFull => &self.counts.peer_unsent_full,
            LinkError::ConnectionLost
            | LinkError::PeerTimeout
            | LinkError::MalformedFrame
            | LinkError::RateExceeded
            | LinkError::Replaced => &self.counts.peer_unsent_broken,
        });
        if let Some(outbox) = self.outboxes.get(user) {
            outbox.borrow_mut().unsent(no, to, why);
        }
    }

    /// Carries out an order of a user.
    pub fn order(&self, user: usize, order: LinkCommand) {
        match order {
            LinkCommand::Send { number: no, to, lane, body } => {
                let link = self.links.borrow().get(&to.router).filter(|l| l.member() == to).cloned();
                let Some(link) = link else { return self.unsent(user, no, to, LinkError::NotConnected) };
                let taken = link.lanes.borrow_mut().push(Waiting { no, user, lane, body });
                match taken {
                    Ok(()) => _ = link.wake.notify(usize::MAX),
                    Err(frame) => self.unsent(user, frame.no, to, LinkError::QueueFull),
                }
            }
            LinkCommand::SetWanted(router, yes) => self.want(user, router, yes),
            LinkCommand::AdvertiseTable(version, hash) => {
                self.me.borrow_mut().hello.table = (version, hash);
                for link in self.links.borrow().values() {
                    link.table.set(true);
                    link.wake.notify(usize::MAX);
                }
            }
            LinkCommand::Shutdown => self.end(),
        }
    }

    /// The end begins: links write what waits, and go.
    pub fn end(&self) {
        self.ending.set(true);
        for link in self.links.borrow().values() {
            link.wake.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Tells bytes that came to each user of the lane that was not yet told; those that are left had no room.
    pub fn got(&self, from: &Member, lane: Lane, body: &[u8], open: &mut [bool; 2]) -> bool {
        for (outbox, open) in self.outboxes.iter().zip(open.iter_mut()) {
            let mut outbox = outbox.borrow_mut();
            if *open && outbox.lanes.contains(&lane) {
                let told = LinkEvent::MessageReceived { from: from.clone(), lane, body: body.to_vec() };
                *open = !outbox.got(told);
            } else {
                *open = false;
            }
        }
        !open.contains(&true)
    }

    /// Counts a connection that is closed before it was a link, and says why in the log, once.
    pub fn refuse(&self, counter: &AtomicU64, why: &str) {
        count(counter);
        let mut said = self.said.borrow_mut();
        if said.len() < SAID && said.insert(why.into()) {
            log::warn!("peers: connection closed: {why}");
        }
    }
}
