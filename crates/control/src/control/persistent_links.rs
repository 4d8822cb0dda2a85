//! Persistent links: to overlay neighbors and to watched routers. All other links are dialed when a message needs them.
//!
//! Inputs: link events, messages to send, the overlay, the ring of watched routers, time in milliseconds. A router without a link is not known
//! to be unreachable: it counts as unreachable from a failed dial or a broken link until it is reached again. An unreachable router is dialed
//! all that time, or else forgotten, so that no router is treated as lost on outdated knowledge. The transport closes an unwanted link once it
//! is idle.

use super::link_queue::{LinkQueue, LinkQueueLimits, QueuedMessage};
use super::Control;
use crate::api::Action;
use basaltgw_overlay as overlay;
use basaltgw_registers as registers;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms, RouterId, TableHash, TableVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;

/// A router dialed for a message stays wanted for this long after the last message; longer than the wait for an unreachable owner of a lease.
const WANTED_AFTER_USE_MS: Ms = 2_000.0;
/// Largest number of routers that are wanted because of messages.
const MAX_USED_ROUTERS: usize = 256;
/// Largest number of members that are known to be unreachable; others are dialed anew for each message.
const MAX_UNREACHABLE: usize = 64;

/// Why a message was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendFailure {
    QueueFull,
    Expired,
    Unreachable,
    /// Another incarnation of the router is connected.
    Replaced,
}

/// Whether a hello changes what is known of its router: the connected incarnation, or the table that it advertises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HelloChange {
    Changed,
    Unchanged,
}

#[derive(Debug, Default)]
struct Counters {
    queued: u64,
    queue_full: u64,
    expired: u64,
    unreachable: u64,
    replaced: u64,
    ignored_membership_messages: u64,
}

/// State of links, and the messages that wait for them.
#[derive(Debug)]
pub(super) struct PersistentLinks {
    /// Time of the event being handled.
    now: Ms,
    queue: LinkQueue,
    /// Routers wanted as of the last [`Action::SetLinkWanted`].
    wanted: BTreeSet<RouterId>,
    /// Connected and no longer wanted: the link may close at any time, so it has to be wanted again before it is used.
    closing: BTreeSet<RouterId>,
    /// Tables that connected routers advertise.
    tables: BTreeMap<RouterId, (TableVersion, TableHash)>,
    /// Routers dialed for messages, and the time of their last message.
    last_used: BTreeMap<RouterId, Ms>,
    /// Members of the table known to be unreachable; dialed until they are reached.
    unreachable: BTreeSet<RouterId>,
    /// Numbers of messages that were not sent.
    failed_sends: VecDeque<u64>,
    counters: Counters,
}

impl PersistentLinks {
    pub fn new(now: Ms, limits: LinkQueueLimits) -> Self {
        Self {
            now,
            queue: LinkQueue::new(limits),
            wanted: BTreeSet::new(),
            closing: BTreeSet::new(),
            tables: BTreeMap::new(),
            last_used: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            failed_sends: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    fn fail_send(&mut self, number: u64, reason: SendFailure) {
        match reason {
            SendFailure::QueueFull => self.counters.queue_full += 1,
            SendFailure::Expired => self.counters.expired += 1,
            SendFailure::Unreachable => self.counters.unreachable += 1,
            SendFailure::Replaced => self.counters.replaced += 1,
        }
        self.failed_sends.push_back(number);
    }

    /// Queues a message until its router is connected.
    fn enqueue(&mut self, number: u64, to: Member, lane: Lane, body: Vec<u8>) {
        let router = to.router.clone();
        let may_dial = self.last_used.contains_key(&router) || self.last_used.len() < MAX_USED_ROUTERS;
        if !may_dial || !self.queue.has_capacity(&router, body.len()) {
            return self.fail_send(number, SendFailure::QueueFull);
        }
        self.counters.queued += 1;
        self.last_used.insert(router, self.now);
        let expires_at = self.now + self.queue.timeout();
        self.queue.push(QueuedMessage { expires_at, number, to, lane, body });
    }

    fn fail_expired(&mut self) {
        for message in self.queue.take_expired(self.now) {
            self.fail_send(message.number, SendFailure::Expired);
        }
    }

    /// Records that a message was sent to a router or received from it.
    fn observe_use(&mut self, router: &RouterId) {
        if let Some(last_used) = self.last_used.get_mut(router) {
            *last_used = self.now;
        }
    }

    /// Takes over a hello; returns the table that the router advertised before.
    fn observe_hello(&mut self, hello: &Hello) -> Option<(TableVersion, TableHash)> {
        let router = &hello.member.router;
        let previous_table = self.tables.insert(router.clone(), hello.table);
        self.unreachable.remove(router);
        if self.wanted.contains(router) {
            self.closing.remove(router);
        }
        previous_table
    }

    /// Changes the wanted routers; returns those that are new, and those no longer wanted.
    fn set_wanted(&mut self, wanted: BTreeSet<RouterId>) -> (Vec<RouterId>, Vec<RouterId>) {
        let added = wanted.difference(&self.wanted).cloned().collect();
        let removed = self.wanted.difference(&wanted).cloned().collect();
        self.wanted = wanted;
        (added, removed)
    }

    pub fn count_ignored_membership_message(&mut self) {
        self.counters.ignored_membership_messages += 1;
    }

    /// Counters as `name=value` pairs, with a leading space.
    pub fn counter_text(&self) -> String {
        let c = &self.counters;
        let (wanted, unreachable, queued) = (self.wanted.len(), self.unreachable.len(), self.queue.len());
        let mut text = format!(" links_wanted={wanted} links_gone={unreachable} words_waiting={queued} ");
        let _ = write!(text, "words_waited={} words_back_full={} ", c.queued, c.queue_full);
        let _ = write!(text, "words_back_late={} words_back_unreached={} ", c.expired, c.unreachable);
        let _ = write!(text, "words_back_replaced={} ", c.replaced);
        let _ = write!(text, "roster_unheard={}", c.ignored_membership_messages);
        text
    }
}

impl Control {
    /// Sets the time of the event that is handled next.
    pub(super) fn set_link_time(&mut self, now: Ms) {
        if let Some(links) = &mut self.persistent_links {
            links.now = now;
        }
    }

    /// Sends a message, or queues it until there is a link that stays open.
    pub(super) fn send(&mut self, number: u64, to: Member, lane: Lane, body: Vec<u8>) {
        if let Some(links) = &mut self.persistent_links {
            if self.reachability.is_replaced(&to) || to.router == self.parts.me.router {
                return links.fail_send(number, SendFailure::Replaced);
            }
            if links.unreachable.contains(&to.router) {
                return links.fail_send(number, SendFailure::Unreachable);
            }
            let has_open_link = self.reachability.is_connected(&to) && !links.closing.contains(&to.router);
            if !has_open_link {
                return links.enqueue(number, to, lane, body);
            }
            links.observe_use(&to.router);
        }
        self.actions.push(Action::Send { number, to, lane, body });
    }

    /// Records that a message was received from a router.
    pub(super) fn observe_use(&mut self, router: &RouterId) {
        if let Some(links) = &mut self.persistent_links {
            links.observe_use(router);
        }
    }

    /// Keeps an unreachable router wanted while it is still needed.
    pub(super) fn keep_dialing(&mut self, router: &RouterId) {
        self.observe_use(router);
    }

    /// Takes over a hello, and sends the queued messages if the link stays open. In a full mesh every hello counts as changed.
    pub(super) fn observe_hello(&mut self, hello: &Hello) -> HelloChange {
        let Some(links) = &mut self.persistent_links else { return HelloChange::Changed };
        let member = &hello.member;
        let previous_table = links.observe_hello(hello);
        if !links.closing.contains(&member.router) {
            for message in links.queue.take(&member.router) {
                let QueuedMessage { number, to, lane, body, .. } = message;
                match to == *member {
                    true => self.actions.push(Action::Send { number, to, lane, body }),
                    false => links.fail_send(number, SendFailure::Replaced),
                }
            }
        }
        match self.reachability.is_connected(member) && previous_table == Some(hello.table) {
            true => HelloChange::Unchanged,
            false => HelloChange::Changed,
        }
    }

    /// Whether to request the table of a router that was connected. With persistent links only routers that advertise a later table, watched
    /// routers and overlay neighbors are asked.
    pub(super) fn needs_table_state(&self, hello: &Hello) -> bool {
        let router = &hello.member.router;
        let own_version = self.parts.table.version().map(|(version, _)| version);
        self.persistent_links.is_none()
            || own_version.is_none_or(|own| hello.table.0 > own)
            || self.parts.table.watched().contains(router)
            || self.dissemination.as_ref().is_some_and(|d| d.wants(router))
    }

    /// A link is closed. True if a persistent link was only idle, so that its router is not known to be unreachable.
    pub(super) fn observe_link_closed(&mut self, member: &Member, reason: LinkError) -> bool {
        let Some(links) = &mut self.persistent_links else { return false };
        if self.reachability.is_connected(member) {
            links.closing.remove(&member.router);
            links.tables.remove(&member.router);
        }
        match reason {
            LinkError::Idle => true,
            LinkError::NotConnected | LinkError::QueueFull => false,
            LinkError::ConnectionLost | LinkError::PeerTimeout => false,
            LinkError::MalformedFrame | LinkError::RateExceeded => false,
            LinkError::PeerMismatch | LinkError::Replaced => false,
        }
    }

    /// A dial failed, or a persistent link broke. Queued messages fail, and a member of the table is dialed until it is reached.
    pub(super) fn on_router_unreachable(&mut self, now: Ms, router: &RouterId) {
        let is_member = self.parts.table.members().any(|member| member.router == *router);
        let Some(links) = &mut self.persistent_links else { return };
        for message in links.queue.take(router) {
            links.fail_send(message.number, SendFailure::Unreachable);
        }
        self.reachability.set_unreachable_if_new(now, router);
        let may_add = is_member && links.unreachable.len() < MAX_UNREACHABLE;
        if may_add && links.unreachable.insert(router.clone()) {
            for replica in self.replicas_at(router) {
                self.handle_registers(now, registers::Event::PeerReachable(replica, false));
            }
            self.parts.table.on_dial_failed(now, router);
        } else if self.parts.table.watched().contains(router) {
            self.parts.table.on_dial_failed(now, router);
        }
    }

    /// Incarnations of a router to which the shard map assigns replicas.
    fn replicas_at(&self, router: &RouterId) -> BTreeSet<Member> {
        let map = self.parts.table.map();
        let shards = map.iter().flat_map(|map| map.shards.iter().chain([&map.root]));
        let members = shards.flat_map(|shard| &shard.groups).flat_map(|group| &group.members);
        members.filter(|member| member.router == *router).cloned().collect()
    }

    /// Dialing a wanted router failed.
    pub(super) fn on_dial_failed(&mut self, now: Ms, router: &RouterId) {
        if self.persistent_links.is_none() || self.reachability.has_link(router) {
            return;
        }
        self.on_router_unreachable(now, router);
        if self.dissemination.as_mut().is_some_and(|d| d.end_dial(router)) {
            self.handle_overlay(now, overlay::Event::DialFailed(router.clone()));
        }
    }

    /// At the end of each event: reports messages that were not sent, and requests the wanted links.
    pub(super) fn update_links(&mut self, now: Ms) {
        let Some(links) = &mut self.persistent_links else { return };
        links.fail_expired();
        self.report_failed_sends(now);
        let wanted = self.wanted_routers(now);
        // A router that is not dialed may have returned without notice.
        self.reachability.retain_unreachable(&wanted);
        self.parts.table.retain_lost(&wanted);
        let Some(links) = &mut self.persistent_links else { return };
        let (added, removed) = links.set_wanted(wanted);
        for router in &removed {
            if self.reachability.has_link(router) {
                links.closing.insert(router.clone());
            }
        }
        self.actions.extend(added.into_iter().map(|router| Action::SetLinkWanted { router, wanted: true }));
        self.actions
            .extend(removed.into_iter().map(|router| Action::SetLinkWanted { router, wanted: false }));
    }

    fn report_failed_sends(&mut self, now: Ms) {
        while let Some(number) = self.persistent_links.as_mut().and_then(|l| l.failed_sends.pop_front()) {
            self.on_send_failed(now, number);
        }
    }

    /// Watched routers, overlay neighbors, routers in use and unreachable members; all listed routers before the bootstrap.
    fn wanted_routers(&mut self, now: Ms) -> BTreeSet<RouterId> {
        let table = &self.parts.table;
        let mut wanted: BTreeSet<RouterId> = table.watched().into_iter().collect();
        if table.needs_bootstrap() {
            wanted.extend(table.listed().cloned());
        }
        wanted.extend(self.dissemination.iter().flat_map(|d| d.wanted()));
        if let Some(links) = &mut self.persistent_links {
            let PersistentLinks { last_used, queue, unreachable, .. } = links;
            last_used
                .retain(|router, used_at| now < *used_at + WANTED_AFTER_USE_MS || queue.contains(router));
            unreachable.retain(|router| table.members().any(|member| member.router == *router));
            wanted.extend(last_used.keys().chain(unreachable.iter()).cloned());
        }
        wanted.remove(&self.parts.me.router);
        wanted
    }

    /// When the next queued message expires.
    pub(super) fn next_link_timer(&self) -> Ms {
        self.persistent_links.as_ref().map_or(Ms::INFINITY, |links| links.queue.next_expiry())
    }
}
