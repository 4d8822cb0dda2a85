//! Dissemination of purges to all routers, by the overlay if there is one.
//!
//! A link of the overlay is a use of a link between routers: starting and ending it needs no connection of its own. With an overlay no
//! register is changed for a purge; a router that starts learns the purges from its overlay neighbors. A purge that waits to be stored with
//! others is lost in a crash, and learned again from the change log. Without an overlay a purge is sent to all connected routers and
//! replicated in a register.

use super::overlay_parts::OverlayParts;
use super::persistent_links::PersistentLinks;
use super::requests::Requester;
use super::Control;
use crate::api::ControlNotification;
use crate::message::Message;
use crate::purges::Purge;
use basaltgw_overlay::{Action, Event, Kind, Overlay, Side};
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::{BTreeSet, VecDeque};

/// Overlay neighbors that must have sent all their purges to a router that starts: one may have missed what the other has.
const MIN_SYNCED_NEIGHBORS: usize = 2;
/// A router with a larger lag has not caught up: seven tiers compare their digests every second, and some comparisons are late.
pub(super) const MAX_UPDATE_LAG_MS: Ms = 10_000.0;

/// State of the overlay.
pub(super) struct Dissemination {
    overlay: Overlay,
    /// Routers on the list, without this one.
    other_routers: usize,
    batch_ms: Ms,
    /// Routers that the overlay dials and that are not connected yet.
    pending_dials: BTreeSet<RouterId>,
    /// Whether purges were missed of which the owner has not been notified.
    has_missed_purges: bool,
}

impl Dissemination {
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    fn has_link(&self, member: &Member) -> bool {
        self.overlay.links().any(|link| link.member == member)
    }

    /// Routers with a link of the overlay, and those that it dials.
    pub fn wanted(&self) -> impl Iterator<Item = RouterId> + '_ {
        let linked = self.overlay.links().map(|link| link.member.router.clone());
        linked.chain(self.pending_dials.iter().cloned())
    }

    /// Whether a router is one of [`Self::wanted`].
    pub fn wants(&self, router: &RouterId) -> bool {
        self.pending_dials.contains(router) || self.overlay.links().any(|link| link.member.router == *router)
    }

    /// Ends a pending dial; false if there was none.
    pub fn end_dial(&mut self, router: &RouterId) -> bool {
        self.pending_dials.remove(router)
    }

    /// Whether all purges from before the start have arrived, from the overlay and from the peers that have sent theirs.
    pub fn has_caught_up(&self, now: Ms, synced_from: &BTreeSet<Member>) -> bool {
        let behind = self.overlay.behind(now);
        let misses_purges = behind.missing.iter().any(|(_, kind, _)| *kind == Kind::Purge);
        behind.age.is_some_and(|age| age <= MAX_UPDATE_LAG_MS)
            && !misses_purges
            && synced_from.len() >= MIN_SYNCED_NEIGHBORS.min(self.other_routers)
    }
}

impl Control {
    /// Starts the overlay. Stored purges may not have been published: they are, unless another router has done so.
    pub(super) fn start_overlay(&mut self, now: Ms, parts: OverlayParts) {
        let OverlayParts { overlay, list, batch_ms, persistent_links } = parts;
        self.persistent_links = persistent_links.map(|limits| PersistentLinks::new(now, limits));
        if self.persistent_links.is_some() {
            self.parts.table.use_persistent_links();
        }
        self.dissemination = Some(Dissemination {
            overlay,
            other_routers: list.len().saturating_sub(1),
            batch_ms,
            pending_dials: BTreeSet::new(),
            has_missed_purges: false,
        });
        self.handle_overlay(now, Event::RouterListChanged(list));
        for purge in self.parts.purges.all().collect::<Vec<_>>() {
            self.handle_overlay(now, Event::AlreadyKnown(Kind::Purge, purge.to_update()));
        }
    }

    /// Publishes a purge that the change log reported to this router.
    pub(super) fn publish_purge(&mut self, now: Ms, purge: Purge) {
        if self.dissemination.is_some() {
            return self.handle_overlay(now, Event::AlreadyKnown(Kind::Purge, purge.to_update()));
        }
        let (key, change) = purge.record_change();
        self.request_change(now, Requester::Unawaited, key, change, self.parts.purge_convergence_time);
        // Routers apply the purge as soon as it arrives; its register only serves later starts.
        self.send_to_connected(&Message::PurgeSync { purges: vec![purge], last: false });
    }

    /// Passes an event to the overlay, and executes its actions. A failed dial is the overlay's next event; its backoff bounds the loop.
    pub(super) fn handle_overlay(&mut self, now: Ms, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(dissemination) = &mut self.dissemination else { return };
            let mut actions = Vec::new();
            dissemination.overlay.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.execute_overlay_action(now, action));
            }
        }
        self.report_missed_purges();
    }

    /// Executes an action of the overlay; returns the event that follows at once, if any.
    fn execute_overlay_action(&mut self, now: Ms, action: Action) -> Option<Event> {
        match action {
            Action::Dial(router) => return self.dial_overlay_link(router),
            Action::Close(member) => self.send_if_connected(&member, &Message::OverlayLink { open: false }),
            Action::Send(member, _, frame) => self.send_if_connected(&member, &Message::OverlayFrame(frame)),
            Action::Deliver(Kind::Purge, update, _) => match Purge::from_update(&update) {
                Some(purge) => self.on_remote_purge(now, purge),
                None => self.counts.unreadable += 1,
            },
            // Routers publish purges only.
            Action::Deliver(Kind::Table | Kind::Evidence | Kind::Background, ..) => {
                self.counts.unreadable += 1;
            }
            Action::GapDetected { kind: Kind::Purge, origin, from, to } => {
                if let Some(dissemination) = &mut self.dissemination {
                    dissemination.has_missed_purges = true;
                    let router =
                        dissemination.overlay.router_name(origin).map_or("(unlisted)", |router| &router.0);
                    let incarnation = origin.incarnation;
                    log::warn!(
                        "missed purges {from} to {to} of router {router}, incarnation {incarnation:08x}"
                    );
                }
            }
            Action::GapDetected { kind: Kind::Table | Kind::Evidence | Kind::Background, .. } => {}
            Action::Log(text) => log::info!("overlay: {text}"),
        }
        None
    }

    /// Notifies the owner of missed purges. During the startup sync neighbors send all purges, or the sync ends without success.
    fn report_missed_purges(&mut self) {
        let Some(dissemination) = &mut self.dissemination else { return };
        let has_missed_purges = std::mem::take(&mut dissemination.has_missed_purges);
        if has_missed_purges && self.startup.is_finished() {
            self.notify(ControlNotification::PurgesMissed);
        }
    }

    /// Starts a link of the overlay, at once if the router is connected. In a full mesh a dial waits for links only during the startup sync.
    fn dial_overlay_link(&mut self, router: RouterId) -> Option<Event> {
        let Some(member) = self.reachability.member(&router).cloned() else {
            if self.startup.is_finished() && self.persistent_links.is_none() {
                return Some(Event::DialFailed(router));
            }
            if let Some(dissemination) = &mut self.dissemination {
                dissemination.pending_dials.insert(router);
            }
            return None;
        };
        self.send_if_connected(&member, &Message::OverlayLink { open: true });
        self.request_purges_from_neighbor(&member);
        Some(Event::LinkUp(member, Side::Local))
    }

    /// During the startup sync, requests the purges that an overlay neighbor knows.
    fn request_purges_from_neighbor(&mut self, member: &Member) {
        if !self.startup.is_finished() {
            self.send_message(member, &Message::PurgeSyncRequest);
        }
    }

    /// Starts the overlay link that waits for a router which is now connected.
    pub(super) fn start_pending_overlay_link(&mut self, now: Ms, member: &Member) {
        if !self.dissemination.as_mut().is_some_and(|d| d.end_dial(&member.router)) {
            return;
        }
        if let Some(event) = self.dial_overlay_link(member.router.clone()) {
            self.handle_overlay(now, event);
        }
    }

    /// Ends the overlay's use of a link that is closed.
    pub(super) fn on_overlay_link_lost(&mut self, now: Ms, member: &Member) {
        if self.dissemination.as_ref().is_some_and(|d| d.has_link(member)) {
            self.handle_overlay(now, Event::LinkDown(member.clone()));
        }
    }

    /// A peer starts or ends the overlay's use of a link.
    pub(super) fn on_overlay_link(&mut self, now: Ms, from: &Member, open: bool) {
        if self.dissemination.is_none() || !self.reachability.is_connected(from) {
            self.counts.unreadable += 1;
        } else if open {
            self.request_purges_from_neighbor(from);
            self.handle_overlay(now, Event::LinkUp(from.clone(), Side::Remote));
        } else {
            self.on_overlay_link_lost(now, from);
        }
    }

    /// A frame arrived; the overlay counts those of routers without a link.
    pub(super) fn on_overlay_frame(&mut self, now: Ms, from: &Member, frame: Vec<u8>) {
        match self.dissemination.is_some() {
            true => self.handle_overlay(now, Event::FrameReceived(from.clone(), frame)),
            false => self.counts.unreadable += 1,
        }
    }

    /// Fails the pending dials at the end of the startup sync; in a full mesh only.
    pub(super) fn fail_pending_dials(&mut self, now: Ms) {
        if self.persistent_links.is_some() {
            return;
        }
        let Some(dissemination) = &mut self.dissemination else { return };
        for router in std::mem::take(&mut dissemination.pending_dials) {
            self.handle_overlay(now, Event::DialFailed(router));
        }
    }

    /// When the overlay is due, or purges that only wait to be stored.
    pub(super) fn next_dissemination_timer(&self) -> Ms {
        let Some(dissemination) = &self.dissemination else { return Ms::INFINITY };
        let waiting_since = self.commits.only_purges_since();
        let commit = waiting_since.map_or(Ms::INFINITY, |since| since + dissemination.batch_ms);
        dissemination.overlay.next_timer().min(commit)
    }

    /// Whether a commit of purges alone may wait for more purges; not during a shutdown.
    pub(super) fn may_delay_commit(&self, now: Ms) -> bool {
        let Some(dissemination) = &self.dissemination else { return false };
        let is_recent = |since: Ms| now < since + dissemination.batch_ms;
        !self.shutdown.is_requested() && self.commits.only_purges_since().is_some_and(is_recent)
    }
}
