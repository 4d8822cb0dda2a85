//! [`Overlay`]: the state of one router's overlay, and the dispatch of events and frames.

use crate::candidates::Group;
use crate::deduplication::Deduplication;
use crate::frame::{unpack_all, Part, Vector};
#[cfg(feature = "broken")]
use crate::injected_bug::InjectedBug;
use crate::injected_bug::InjectedBugs;
use crate::link::{FetchRequest, Level, Link, Role};
use crate::rate_limit::RateLimit;
use crate::repair::Repairs;
use crate::router_list::RouterList;
use crate::update_log::{StreamId, UpdateLog};
use crate::{Action, Counters, Event, Kind, Origin, OverlayError, Settings};
use basaltgw_structures::hash::{mix, unit_interval};
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A timer may fire this early, because callers' timers round.
const TIMER_TOLERANCE_MS: Ms = 1.0;

/// Salt of the random numbers.
const RANDOM_SALT: u64 = 0x6f76;

/// Parent to which updates are escalated.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EscalationParent {
    pub router: RouterId,
    pub established_at: Ms,
}

/// The overlay of one router.
#[derive(Clone, Debug)]
pub struct Overlay {
    pub(crate) me: RouterId,
    pub(crate) incarnation: u32,
    seed: u64,
    pub(crate) settings: Settings,
    pub(crate) bugs: InjectedBugs,
    pub(crate) list: Option<Arc<RouterList>>,
    pub(crate) groups: Vec<Group>,
    pub(crate) links: BTreeMap<RouterId, Link>,
    /// Parent that pushes updates to this router.
    pub(crate) primary: Option<RouterId>,
    /// How often the primary parent lagged since it last sent a new update.
    pub(crate) primary_lags: u32,
    pub(crate) log: UpdateLog,
    pub(crate) deduplication: Deduplication,
    /// When a parent last sent anything; until then the time of the first tick.
    pub(crate) parent_received_at: Ms,
    pub(crate) escalation_parent: Option<EscalationParent>,
    pub(crate) repairs: Repairs,
    pub(crate) rate_limit: RateLimit,
    pub(crate) counters: Counters,
    /// Time of the first event.
    pub(crate) started_at: Option<Ms>,
    /// Whether this router has reached the state of enough neighbors since its start; see `check_sync_targets`.
    pub(crate) has_compared: bool,
    pub(crate) tick_count: usize,
    pub(crate) next_tick_at: Ms,
}

/// State of a link for observers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkStatus<'a> {
    /// The neighbor.
    pub member: &'a Member,
    /// Whether the neighbor is a parent.
    pub is_parent: bool,
    /// Whether updates are pushed on the link.
    pub pushes: bool,
}

impl Overlay {
    /// The overlay of a router that starts. `seed` is a random number, different at each start.
    ///
    /// # Errors
    /// If a setting is out of its bounds.
    pub fn new(me: RouterId, settings: Settings, seed: u64) -> Result<Self, OverlayError> {
        settings.check()?;
        let rate_limit = RateLimit::new(settings.budget_bytes_per_s, settings.burst_bytes);
        Ok(Self {
            incarnation: mix(seed, 1) as u32,
            seed: mix(seed, 2),
            deduplication: Deduplication::new(mix(seed, 3)),
            me,
            settings,
            bugs: InjectedBugs::default(),
            list: None,
            groups: Vec::new(),
            links: BTreeMap::new(),
            primary: None,
            primary_lags: 0,
            parent_received_at: 0.0,
            escalation_parent: None,
            log: UpdateLog::new(),
            repairs: Repairs::default(),
            rate_limit,
            counters: Counters::default(),
            started_at: None,
            has_compared: false,
            tick_count: 0,
            next_tick_at: 0.0,
        })
    }

    /// Injects a bug, for checks that must detect it.
    #[cfg(feature = "broken")]
    #[must_use]
    pub fn with_injected_bug(mut self, bug: InjectedBug) -> Self {
        self.bugs.injected = Some(bug);
        self.log.omits_odd = bug == InjectedBug::DigestOmitsStreams;
        self
    }

    /// A random number between 0 and 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.seed = mix(self.seed, RANDOM_SALT);
        unit_interval(self.seed)
    }

    /// When [`Event::TimersDue`] is next due.
    pub fn next_timer(&self) -> Ms {
        self.next_tick_at
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Established links in the order of the neighbors' names.
    pub fn links(&self) -> impl Iterator<Item = LinkStatus<'_>> {
        self.links.values().map(|link| LinkStatus {
            member: &link.member,
            is_parent: link.role == Role::Parent,
            pushes: link.pushes,
        })
    }

    /// Name of the router of an origin, if it is listed.
    pub fn router_name(&self, origin: Origin) -> Option<&RouterId> {
        self.list.as_ref().and_then(|list| list.by_short_name(origin.router))
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        self.started_at.get_or_insert(now);
        match event {
            Event::RouterListChanged(list) => self.set_list(now, list, actions),
            Event::LinkUp(member, side) => self.on_link_up(now, member, side, actions),
            Event::LinkDown(member) => self.on_link_down(now, &member, actions),
            Event::DialFailed(router) => self.on_dial_failed(now, &router, actions),
            Event::FrameReceived(member, bytes) => self.on_frame(now, &member, &bytes, actions),
            Event::Publish(kind, update) => self.publish_new(now, kind, update, actions),
            Event::AlreadyKnown(kind, update) => self.on_already_known(now, kind, update, actions),
            Event::TimersDue => {
                if now + TIMER_TOLERANCE_MS >= self.next_tick_at {
                    self.tick(now, actions);
                }
            }
        }
    }

    fn on_frame(&mut self, now: Ms, from: &Member, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some(link) = self.links.get_mut(&from.router).filter(|link| link.member == *from) else {
            self.counters.stray_events += 1;
            return;
        };
        link.last_received_at = now;
        let cost = bytes.len() + self.settings.frame_overhead_bytes;
        self.counters.frames_received += 1;
        self.counters.bytes_received += cost as u64;
        self.rate_limit.refill(now);
        self.rate_limit.consume(cost);
        let parts = link.names.decode(bytes, self.settings.max_frame_bytes);
        let result =
            parts.and_then(|parts| parts.into_iter().try_for_each(|p| self.on_part(now, from, p, actions)));
        if let Err(error) = result {
            self.counters.malformed_frames += 1;
            actions.push(Action::Log(format!("frame of {from}: {error}")));
            self.close(now, &from.router, actions);
            self.select_links(now, actions);
        }
    }

    fn on_part(
        &mut self,
        now: Ms,
        from: &Member,
        part: Part,
        actions: &mut Vec<Action>,
    ) -> Result<(), OverlayError> {
        let router = &from.router;
        // An earlier part may have closed the link.
        let Some(link) = self.links.get_mut(router).filter(|link| link.member == *from) else {
            return Ok(());
        };
        match part {
            Part::Updates { stream, first, updates } => {
                let updates = unpack_all(&updates, self.settings.max_update_bytes)?;
                self.on_updates(now, router, stream, first, updates, actions);
            }
            Part::Announcement(named) => self.on_neighbor_streams(now, router, &named, false),
            Part::Digest(digest) => self.on_digest(now, router, digest),
            Part::Buckets { named, hashes } => self.on_buckets(now, router, &named, &hashes),
            Part::Vector(entries) => self.on_vector(now, router, &entries),
            Part::Fetch { stream, from, to, is_backfill } => {
                if !link.add_fetch_request(FetchRequest { stream, from, to, is_backfill }) {
                    self.counters.requests_dropped += 1;
                }
            }
            Part::Unavailable { stream, first, age } => {
                self.on_unavailable(now, router, stream, first, age.into(), actions);
            }
            Part::PushRequest { enabled, known } => self.on_push_request(now, router, enabled, &known),
            Part::PushRejected => {
                link.push_rejected_until = now + self.settings.push_rejected_backoff_ms;
                self.select_links(now, actions);
            }
            Part::LinkRejected => self.on_link_rejected(now, router, actions),
            Part::HashKey(key) => link.hash_key = Some(key),
            Part::Query(hashes) => self.on_query(router, &hashes),
            Part::FullQuery(hashes) => self.on_full_query(router, &hashes),
            Part::Unknown(hashes) => self.on_unknown(now, router, &hashes),
            Part::Known(hashes) => self.on_known(router, &hashes),
            Part::Escalation { kind, updates } => {
                let updates = unpack_all(&updates, self.settings.max_update_bytes)?;
                self.on_escalation(now, router, kind, updates, actions);
            }
        }
        Ok(())
    }

    /// Starts, rejects or stops the push of updates that a child requests.
    fn on_push_request(&mut self, now: Ms, router: &RouterId, enabled: bool, known: &Vector) {
        let is_accepted = enabled && self.accepts_push(router);
        let Some(link) = self.links.get_mut(router).filter(|link| link.role == Role::Child) else { return };
        link.pushes = is_accepted;
        if !enabled {
            return;
        }
        if !is_accepted {
            self.counters.pushes_rejected += 1;
            link.enqueue(Part::PushRejected);
            return;
        }
        // The request supersedes what the child was observed to have.
        link.neighbor_last = known.iter().copied().collect();
        link.next_digest_at = now;
        let behind = known.iter().filter(|(stream, last)| self.log.last(*stream) > *last);
        link.dirty = behind.map(|(stream, _)| *stream).collect();
        self.on_neighbor_streams(now, router, known, false);
    }

    /// Whether updates may be pushed to one more child. A designated child displaces one that is not.
    fn accepts_push(&mut self, router: &RouterId) -> bool {
        let is_other_push =
            |link: &&Link| link.role == Role::Child && link.pushes && link.member.router != *router;
        let max_pushes = match self.own_level() {
            Some(Level::Control) => self.list.as_ref().map_or(0, |list| list.shape().control_eager),
            Some(Level::Relay | Level::Tier) | None => self.settings.max_push_children,
        };
        if self.links.values().filter(is_other_push).count() < max_pushes {
            return true;
        }
        if !self.is_designated_child(router) {
            return false;
        }
        let others = self.links.values().filter(is_other_push).map(|link| &link.member.router);
        let displaced = others.into_iter().find(|other| !self.is_designated_child(other)).cloned();
        let Some(link) = displaced.and_then(|other| self.links.get_mut(&other)) else { return false };
        link.pushes = false;
        link.enqueue(Part::PushRejected);
        true
    }

    /// Whether this is a control machine, and the other router a relay to which control machines push updates.
    pub(crate) fn is_designated_child(&self, router: &RouterId) -> bool {
        let is_pushed =
            |list: &Arc<RouterList>| list.index(router).is_some_and(|index| list.is_pushed_by_control(index));
        self.own_level() == Some(Level::Control) && self.list.as_ref().is_some_and(is_pushed)
    }

    /// Publishes an update that no other router knows.
    pub(crate) fn publish_new(&mut self, now: Ms, kind: Kind, update: Vec<u8>, actions: &mut Vec<Action>) {
        if update.len() > self.settings.max_update_bytes {
            self.counters.oversized_updates += 1;
            let (found, max) = (update.len(), self.settings.max_update_bytes);
            actions.push(Action::Log(format!("update of {found} bytes exceeds {max} bytes, not published")));
            return;
        }
        let hash = self.deduplication.hash(kind, &update);
        self.deduplication.pending.remove(&hash);
        self.deduplication.insert(hash);
        self.publish(now, kind, &update);
    }

    /// Publishes an update as the next one of this router's own stream.
    pub(crate) fn publish(&mut self, now: Ms, kind: Kind, update: &[u8]) {
        self.counters.published += 1;
        let stream = self.own_stream(kind);
        let last = self.log.push(now, stream, update);
        self.on_stream_advanced(stream, last - 1, last, None);
    }

    /// Stream of this router's own updates.
    pub(crate) fn own_stream(&self, kind: Kind) -> StreamId {
        StreamId::new(kind, &self.me, self.incarnation)
    }
}
