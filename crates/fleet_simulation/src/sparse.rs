//! A router with permanent links to a few others: the overlay of `crates/overlay`, for the purges of the change log.

use crate::control_plane::{ControlPlane, ControlPlaneAction, ControlPlaneEvent, Notification, StartContext};
use crate::fleet::{Fleet, FleetRouter};
use crate::CONVERGENCE_MS;
use basaltgw_config::fleet::FleetLimits;
use basaltgw_control::{decode_purges, Purge, Purges, PURGES_SPACE};
use basaltgw_overlay::{
    Action, Event, Kind, Overlay, RouterEntry, RouterList, Settings, Shape, Side, CATCH_UP_MS,
};
use basaltgw_storage::Write;
use basaltgw_types::link::Lane;
use basaltgw_types::{Ms, RouterId, TableHash, TableVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time after which a dial without a link is given up, ms: one connect that times out, and a second one.
const DIAL_TIMEOUT_MS: Ms = 1_500.0;
/// Flips bits of group and object numbers, so that they take as many bytes as the hashes of a real deployment.
const WIDE_NUMBER_MASK: u64 = 0x9e37_79b9_7f4a_7c15;
/// Unix time of the start of a run, ms, so that times take as many bytes as in a real deployment.
const EPOCH_MS: u64 = 1_780_000_000_000;

/// Settings of each router of an overlay.
#[derive(Clone, Debug)]
pub struct SparseSettings {
    /// Times and bounds of the overlay.
    pub overlay: Settings,
    /// How regions are grouped into tiers.
    pub shape: Shape,
    /// Bounds of links.
    pub limits: FleetLimits,
    /// Time after which a purge has converged and is no longer stored, ms.
    pub convergence_ms: Ms,
    /// Whether purges take as many bytes as in a real deployment; otherwise their small numbers take few.
    pub full_size_purges: bool,
    /// Whether a purge read from the change log is published at once, as if no other router had read it. Otherwise control machines publish it
    /// first.
    pub publish_immediately: bool,
}

impl Default for SparseSettings {
    fn default() -> Self {
        Self {
            overlay: Settings { convergence_ms: CONVERGENCE_MS + CATCH_UP_MS, ..Settings::default() },
            shape: Shape::default(),
            limits: FleetLimits::default(),
            convergence_ms: CONVERGENCE_MS,
            full_size_purges: true,
            publish_immediately: false,
        }
    }
}

/// The router list of the overlay, which all routers of the fleet share.
///
/// # Errors
/// If the shape is invalid.
pub fn router_list(fleet: &Fleet, shape: Shape) -> Result<Arc<RouterList>, String> {
    let entry = |s: &FleetRouter| RouterEntry {
        router: s.router.clone(),
        region: format!("region{}", s.region).into(),
        zone: format!("zone{}", s.zone).into(),
        site: format!("site{}", s.site).into(),
        rack: format!("rack{}", s.rack).into(),
        control: s.control,
    };
    let list = RouterList::new(1, shape, fleet.routers.iter().map(entry).collect());
    list.map(Arc::new).map_err(|e| e.to_string())
}

/// The overlay of one router, with the purges that it stores.
pub struct Sparse {
    overlay: Overlay,
    /// Whether this router is a control machine.
    control: bool,
    settings: SparseSettings,
    purges: Purges,
    /// Links that the overlay dials, with the time of the dial; `None` once they are up.
    dials: BTreeMap<RouterId, Option<Ms>>,
    /// Writes of the next commit.
    writes: Vec<Write>,
    /// Number of the last commit.
    commits: u64,
    /// Whether this router has reported that it has caught up.
    caught_up: bool,
    actions: Vec<Action>,
}

impl Sparse {
    /// Starts the overlay with the purges on the disk.
    ///
    /// # Errors
    /// If the disk has malformed data, or a setting is invalid.
    pub fn start(
        settings: &SparseSettings,
        list: &Arc<RouterList>,
        context: &StartContext,
        out: &mut Vec<ControlPlaneAction>,
    ) -> Result<Self, String> {
        let overlay =
            Overlay::new(context.me.router.clone(), settings.overlay.clone(), context.random as u64);
        let mut sparse = Self {
            overlay: overlay.map_err(|e| e.to_string())?,
            control: list.get(&context.me.router).is_some_and(|l| l.control),
            settings: settings.clone(),
            purges: decode_purges(context.disk.read(PURGES_SPACE))
                .ok_or("the disk holds a malformed purge")?,
            dials: BTreeMap::new(),
            writes: Vec::new(),
            commits: 0,
            caught_up: false,
            actions: Vec::new(),
        };
        sparse.handle_overlay_event(context.now, Event::RouterListChanged(list.clone()), out);
        Ok(sparse)
    }

    /// The overlay inside, to inspect.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    /// Hands an event to the overlay and carries out its actions.
    fn handle_overlay_event(&mut self, now: Ms, event: Event, out: &mut Vec<ControlPlaneAction>) {
        self.overlay.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Dial(router) => {
                    self.dials.insert(router.clone(), Some(now));
                    out.push(ControlPlaneAction::Dial(router));
                }
                Action::Close(member) => {
                    self.dials.remove(&member.router);
                    out.push(ControlPlaneAction::Close(member.router));
                }
                Action::Send(to, _, body) => {
                    out.push(ControlPlaneAction::Send { number: 0, to, lane: Lane::Table, body })
                }
                Action::Deliver(Kind::Purge, bytes, _) => {
                    let purge = postcard::from_bytes(&bytes).ok().map(|p| self.with_small_numbers(p));
                    if let Some(purge) = purge.filter(|p| self.remember(now, *p)) {
                        out.push(ControlPlaneAction::Notify(Notification::Purge(purge)));
                    }
                }
                Action::Deliver(Kind::Table | Kind::Evidence | Kind::Background, ..) => {}
                Action::GapDetected { .. } => {
                    out.push(ControlPlaneAction::Notify(Notification::PurgesKnown(false)))
                }
                Action::Log(_) => {}
            }
        }
    }

    /// Stores a purge, and returns whether it is new. A converged purge is not stored.
    fn remember(&mut self, now: Ms, purge: Purge) -> bool {
        if purge.time as f64 + self.settings.convergence_ms <= now {
            return !self.purges.contains((purge.group, purge.object));
        }
        let new = self.purges.observe(purge);
        if new {
            if let Some(key) = key(&purge) {
                self.writes.push(Write::Put(PURGES_SPACE, key, purge.time.to_be_bytes().to_vec()));
            }
        }
        new
    }

    /// The purge as it is sent, with numbers as large as in a real deployment.
    fn with_wide_numbers(&self, purge: Purge) -> Purge {
        if !self.settings.full_size_purges {
            return purge;
        }
        Purge {
            group: purge.group ^ WIDE_NUMBER_MASK,
            object: purge.object.map(|o| o ^ !WIDE_NUMBER_MASK),
            time: purge.time + EPOCH_MS,
        }
    }

    /// The reverse of [`Self::with_wide_numbers`].
    fn with_small_numbers(&self, purge: Purge) -> Purge {
        if !self.settings.full_size_purges {
            return purge;
        }
        let time = purge.time.saturating_sub(EPOCH_MS);
        Purge {
            group: purge.group ^ WIDE_NUMBER_MASK,
            object: purge.object.map(|o| o ^ !WIDE_NUMBER_MASK),
            time,
        }
    }

    /// Handles a purge from the change log.
    fn change_log_purge(&mut self, now: Ms, purge: Purge, out: &mut Vec<ControlPlaneAction>) {
        if !self.remember(now, purge) {
            return;
        }
        if let Ok(bytes) = postcard::to_stdvec(&self.with_wide_numbers(purge)) {
            let event = match self.settings.publish_immediately {
                true => Event::Publish(Kind::Purge, bytes),
                false => Event::AlreadyKnown(Kind::Purge, bytes),
            };
            self.handle_overlay_event(now, event, out);
        }
    }

    /// Gives up dials that have timed out.
    fn give_up_dials(&mut self, now: Ms, out: &mut Vec<ControlPlaneAction>) {
        let timed_out = |(_, at): &(&RouterId, &Option<Ms>)| at.is_some_and(|at| now - at >= DIAL_TIMEOUT_MS);
        let timed_out: Vec<RouterId> = self.dials.iter().filter(timed_out).map(|(r, _)| r.clone()).collect();
        for router in timed_out {
            self.dials.remove(&router);
            out.push(ControlPlaneAction::Close(router.clone()));
            self.handle_overlay_event(now, Event::DialFailed(router), out);
        }
    }

    /// Runs the timers of the overlay, and commits the pending writes.
    fn run_timers(&mut self, now: Ms, out: &mut Vec<ControlPlaneAction>) {
        self.give_up_dials(now, out);
        self.handle_overlay_event(now, Event::TimersDue, out);
        for converged in self.purges.take_converged(now, self.settings.convergence_ms) {
            self.writes.extend(key(&converged).map(|key| Write::Remove(PURGES_SPACE, key)));
        }
        if !self.writes.is_empty() {
            self.commits += 1;
            out.push(ControlPlaneAction::Commit(self.commits, std::mem::take(&mut self.writes)));
        }
        if !self.caught_up && self.overlay.behind(now).age.is_some() {
            self.caught_up = true;
            out.push(ControlPlaneAction::Notify(Notification::Table(TableVersion(1), TableHash([0; 32]))));
        }
    }
}

/// The storage key of a purge.
fn key(purge: &Purge) -> Option<Vec<u8>> {
    postcard::to_stdvec(&(purge.group, purge.object)).ok()
}

impl ControlPlane for Sparse {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::LinkUp(hello) => {
                let dial = self.dials.get_mut(&hello.member.router);
                let side = if dial.is_some() { Side::Local } else { Side::Remote };
                dial.into_iter().for_each(|at| *at = None);
                self.handle_overlay_event(now, Event::LinkUp(hello.member, side), out);
            }
            ControlPlaneEvent::LinkDown(member, _) => {
                // The overlay decides whether and when to dial this router again, or another one.
                if self.dials.remove(&member.router).is_some() {
                    out.push(ControlPlaneAction::Close(member.router.clone()));
                }
                self.handle_overlay_event(now, Event::LinkDown(member), out);
            }
            ControlPlaneEvent::MessageReceived { from, body, .. } => {
                self.handle_overlay_event(now, Event::FrameReceived(from, body), out)
            }
            ControlPlaneEvent::ChangeLogPurge(purge) => self.change_log_purge(now, purge, out),
            ControlPlaneEvent::TimersDue => self.run_timers(now, out),
            // Digests reveal updates that were not sent completely; what a refused commit loses would be fetched again.
            ControlPlaneEvent::SendFailed(_)
            | ControlPlaneEvent::Flush
            | ControlPlaneEvent::CommitFinished(..) => {}
        }
    }

    fn next_timer(&self) -> Ms {
        self.overlay.next_timer()
    }

    fn counters(&self) -> Vec<(&'static str, u64)> {
        let (c, s) = (self.overlay.counters(), self.overlay.state_sizes());
        vec![
            ("said", c.published),
            ("said_for_others", c.published_for_others),
            ("spared", c.pending_resolved),
            ("unheld", c.pending_full),
            ("said_for_below", c.published_escalated),
            ("asked", c.queried),
            ("asked_again", c.queried_again),
            ("given", c.escalated),
            ("unknown", c.unknown),
            ("below_full", c.escalations_rejected),
            ("told", c.delivered),
            ("same", c.duplicate_contents),
            ("again", c.duplicate_numbers),
            ("got", c.received),
            // Received from another region; counted apart for control machines, which also exchange updates with each other.
            ("crossed", if self.control { 0 } else { c.received_from_other_regions }),
            ("crossed_control", if self.control { c.received_from_other_regions } else { 0 }),
            ("sent", c.sent),
            ("gaps", c.gaps),
            ("fetches", c.fetches),
            ("fetched_again", c.fetched_again),
            ("gone", c.unavailable),
            ("settled_spans", c.converged_spans),
            ("missed", c.reported_gaps),
            ("waited_purge", c.budget_waits[0]),
            ("log_full", c.log_full),
            ("streams_full", c.streams_full),
            ("missing_full", c.missing_full),
            ("asked_full", c.requests_dropped),
            ("dials", c.dials),
            ("dials_failed", c.dials_failed),
            ("full_there", c.links_rejected_by_neighbor),
            ("full_here", c.links_rejected),
            ("silent", c.silent_links),
            ("spare", c.surplus_links),
            ("lost", c.lost_links),
            ("eager_refused", c.pushes_rejected),
            ("primary_changes", c.primary_changes),
            ("grafts", c.lagging_primaries),
            ("differed", c.differing_digests),
            ("vectors", c.vectors),
            ("garbled", c.malformed_frames),
            ("stray", c.stray_events),
            ("links", s.links as u64),
            ("streams", s.streams as u64),
            ("words", s.retained_updates as u64),
            ("word_bytes", s.retained_bytes as u64),
            ("missing", s.repairs as u64),
        ]
    }
}
