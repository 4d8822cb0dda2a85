//! The replication thread: it runs the control plane (`crates/control`), owns the store, and is the only thread that waits for the disk.
//!
//! Each iteration hands the control plane the events of the links, the requests of the owner and the timers that are due, commits all that
//! has to be durable in one write, and only then notifies the owner.

use super::{ControlNotification, ControlRequest, FleetCounts};
use crate::clock::Clock;
use async_channel::Sender;
use basaltgw_control::{Action, Control, ControlParts, Event, MAINTENANCE_INTERVAL_MS};
use basaltgw_storage::{Store, Write};
use basaltgw_transport::{Counters, LinkCommand, LinkEvent, Port};
use basaltgw_types::{Ms, RouterId};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The most events taken from each ring in one iteration, so that neither starves the other.
const MAX_EVENTS_PER_RING: usize = 256;
/// The longest sleep, which limits the delay of an event that arrives between the last poll and the sleep.
const MAX_SLEEP_MS: Ms = 50.0;
/// The most notifications that wait for the owner's ring: as many as changes may be open, and some for purges.
const MAX_PENDING_NOTIFICATIONS: usize = 131_072;

/// Why the thread ends without a shutdown request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationError {
    /// The owner takes no notifications from its ring.
    NotificationsNotTaken {
        /// Notifications that wait.
        pending: usize,
        /// Notifications that may wait.
        max: usize,
    },
}

impl fmt::Display for ReplicationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotificationsNotTaken { pending, max } => write!(
                f,
                "replication thread: the owner takes no notifications: expected at most {max} pending, found {pending}"
            ),
        }
    }
}

impl std::error::Error for ReplicationError {}

/// The inputs and outputs of the thread.
pub struct ThreadIo {
    /// The store on disk.
    pub store: Store,
    /// The links to other routers.
    pub port: Port,
    /// Requests of the owner.
    pub requests: rtrb::Consumer<ControlRequest>,
    /// Notifications to the owner.
    pub notifications: rtrb::Producer<ControlNotification>,
    /// Wakes the owner after a notification.
    pub owner_wakeup: Sender<()>,
    /// The last published counts, which the owner logs.
    pub published_counts: Arc<Mutex<FleetCounts>>,
    /// The counters of the links.
    pub link_counts: Arc<Counters>,
    /// The process's monotonic clock.
    pub clock: Clock,
}

/// Outputs for which the rings have had no capacity yet.
#[derive(Default)]
struct Backlog {
    /// Numbers of messages that the port did not accept in this iteration.
    failed_sends: Vec<u64>,
    /// Notifications to the owner, in order.
    notifications: VecDeque<ControlNotification>,
    /// Whether a link to a router is wanted; only the latest value for each router is kept.
    wanted_links: BTreeMap<RouterId, bool>,
}

/// The state of the thread.
pub struct ReplicationThread {
    control: Control,
    io: ThreadIo,
    backlog: Backlog,
    /// When the counts were last published.
    counts_published_at: Ms,
    /// Buffer for the actions of the control plane; empty between two events.
    actions: Vec<Action>,
}

impl ReplicationThread {
    /// The state before the first iteration.
    pub fn new(control: ControlParts, io: ThreadIo) -> Self {
        let mut actions = Vec::new();
        let control = Control::new(io.clock.now(), control, &mut actions);
        Self { control, io, backlog: Backlog::default(), counts_published_at: 0.0, actions }
    }

    /// Runs until the owner requests a shutdown.
    ///
    /// # Errors
    /// If the owner takes no notifications.
    pub fn run(mut self) -> Result<(), ReplicationError> {
        let now = self.io.clock.now();
        self.perform_actions(now);
        while !self.control.is_finished(self.io.clock.now()) {
            let busy = self.iterate()?;
            if !busy {
                let until_timer = self.control.next_timer() - self.io.clock.now();
                let sleep = until_timer.clamp(0.0, MAX_SLEEP_MS);
                std::thread::park_timeout(Duration::from_secs_f64(sleep / 1000.0));
            }
        }
        self.finish();
        Ok(())
    }

    fn finish(&mut self) {
        let uncommitted = self.control.pending_changes();
        if uncommitted > 0 {
            log::warn!("{uncommitted} changes were not committed before shutdown: their outcome is unknown");
        }
        self.report_failed_sends(self.io.clock.now());
        self.control.refresh_counts();
        self.publish_counts(uncommitted as u64);
        let _ = self.io.port.send(LinkCommand::Shutdown);
    }

    /// Runs one iteration; true if there was something to do.
    fn iterate(&mut self) -> Result<bool, ReplicationError> {
        let now = self.io.clock.now();
        let mut busy = self.control.next_timer() <= now;
        self.send_wanted_links();
        busy |= self.take_link_events(now);
        busy |= self.take_requests(now);
        self.handle(now, Event::TimersDue);
        if now >= self.counts_published_at + MAINTENANCE_INTERVAL_MS {
            self.counts_published_at = now;
            self.publish_counts(0);
        }
        self.report_failed_sends(now);
        busy |= self.handle(now, Event::Flush);
        self.flush_notifications()?;
        Ok(busy)
    }

    fn take_link_events(&mut self, now: Ms) -> bool {
        let mut busy = false;
        for _ in 0..MAX_EVENTS_PER_RING {
            let Some(event) = self.io.port.next() else { break };
            busy = true;
            self.handle(now, from_link(event));
        }
        busy
    }

    fn take_requests(&mut self, now: Ms) -> bool {
        let mut busy = false;
        for _ in 0..MAX_EVENTS_PER_RING {
            let Ok(request) = self.io.requests.pop() else { break };
            busy = true;
            self.handle(now, Event::Request(request));
        }
        busy
    }

    /// Hands the control plane an event and performs its actions; true if something was committed.
    fn handle(&mut self, now: Ms, event: Event) -> bool {
        self.control.handle(now, event, &mut self.actions);
        self.perform_actions(now)
    }

    /// Performs the control plane's actions; true if something was committed.
    fn perform_actions(&mut self, now: Ms) -> bool {
        let mut actions = std::mem::take(&mut self.actions);
        let mut commits = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Send { number, to, lane, body } => {
                    if self.io.port.send(LinkCommand::Send { number, to, lane, body }).is_err() {
                        self.backlog.failed_sends.push(number);
                    }
                }
                Action::SetLinkWanted { router, wanted } => {
                    self.backlog.wanted_links.insert(router, wanted);
                    self.send_wanted_links();
                }
                Action::AdvertiseTable(version, hash) => {
                    let _ = self.io.port.send(LinkCommand::AdvertiseTable(version, hash));
                }
                Action::Commit(number, writes) => commits.push((number, self.commit(&writes))),
                Action::Notify(notification) => self.backlog.notifications.push_back(notification),
            }
        }
        self.actions = actions;
        let committed = commits.iter().any(|(_, ok)| *ok);
        for (number, ok) in commits {
            self.handle(now, Event::CommitFinished { number, durable: ok });
        }
        committed
    }

    /// Tells the transport which links are wanted, as far as its ring has capacity.
    fn send_wanted_links(&mut self) {
        while let Some((router, wanted)) = self.backlog.wanted_links.pop_first() {
            if self.io.port.send(LinkCommand::SetWanted { router: router.clone(), wanted }).is_err() {
                self.backlog.wanted_links.insert(router, wanted);
                return;
            }
        }
    }

    fn commit(&mut self, writes: &[Write]) -> bool {
        let committed = self.io.store.commit(writes);
        if let Err(error) = &committed {
            log::error!("commit failed, no lease is granted meanwhile: {error}");
        }
        committed.is_ok()
    }

    /// Reports the messages that the port did not accept, once the events of the iteration are handled.
    fn report_failed_sends(&mut self, now: Ms) {
        for number in std::mem::take(&mut self.backlog.failed_sends) {
            self.handle(now, Event::SendFailed(number));
        }
    }

    fn flush_notifications(&mut self) -> Result<(), ReplicationError> {
        let pending = &mut self.backlog.notifications;
        let before = pending.len();
        while let Some(notification) = pending.pop_front() {
            if let Err(rtrb::PushError::Full(notification)) = self.io.notifications.push(notification) {
                pending.push_front(notification);
                break;
            }
        }
        if pending.len() < before {
            // The channel holds one wakeup, which is enough.
            let _ = self.io.owner_wakeup.try_send(());
        }
        if pending.len() <= MAX_PENDING_NOTIFICATIONS {
            return Ok(());
        }
        let (pending, max) = (pending.len(), MAX_PENDING_NOTIFICATIONS);
        Err(ReplicationError::NotificationsNotTaken { pending, max })
    }

    /// Publishes the counts for the owner; `uncommitted` changes were dropped at shutdown.
    fn publish_counts(&mut self, uncommitted: u64) {
        // If the owner holds the lock to log the counts, they are published the next time.
        if let Ok(mut published) = self.io.published_counts.try_lock() {
            published.control.clone_from(self.control.counts());
            published.control.background_changes_abandoned += uncommitted;
            published.links = self.io.link_counts.to_string();
        }
    }
}

/// Converts an event of a link to one of the control plane.
fn from_link(event: LinkEvent) -> Event {
    match event {
        LinkEvent::LinkUp(hello) => Event::LinkUp(hello),
        LinkEvent::LinkDown(member, error) => Event::LinkDown(member, error),
        LinkEvent::MessageReceived { from, lane, body } => Event::MessageReceived { from, lane, body },
        LinkEvent::DialFailed(router) => Event::DialFailed(router),
        LinkEvent::SendFailed { number, .. } => Event::SendFailed(number),
    }
}
