//! A router with standing links to a few others: the overlay as `crates/overlay` decides it, for the purges of the change log.

use crate::fleet::{Fleet, Seat};
use crate::party::{Party, PartyAction, PartyEvent, Start, Word};
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

/// A dial that brought no link in this time is given up, ms: one connect that nobody answers, and one more.
const DIAL_MS: Ms = 1_500.0;
/// Time after which a purge has settled, ms.
const SETTLES_MS: Ms = 6_100.0;
/// Flips bits of groups and objects, so that they take as many bytes as the hashes that they are in service.
const WIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// The Unix time of a run's start, ms, where times take as many bytes as in service.
const EPOCH: u64 = 1_780_000_000_000;

/// What the configuration of each router says.
#[derive(Clone, Debug)]
pub struct SparseSettings {
    /// Times and bounds of the overlay.
    pub overlay: Settings,
    /// How regions are put in tiers.
    pub shape: Shape,
    /// Bounds of links.
    pub limits: FleetLimits,
    /// Time after which a purge has settled, and is kept no more.
    pub settles: Ms,
    /// Purges take as many bytes as in service; otherwise as few as their small numbers do.
    pub wide: bool,
    /// What the change log says here is taken to be known here alone: it is said at once. Otherwise it is left to control machines first.
    pub alone: bool,
}

impl Default for SparseSettings {
    fn default() -> Self {
        Self {
            overlay: Settings { convergence_ms: SETTLES_MS + CATCH_UP_MS, ..Settings::default() },
            shape: Shape::default(),
            limits: FleetLimits::default(),
            settles: SETTLES_MS,
            wide: true,
            alone: false,
        }
    }
}

/// The list that all routers share, of the fleet's places.
///
/// # Errors
/// If the shape can't be.
pub fn list(fleet: &Fleet, shape: Shape) -> Result<Arc<RouterList>, String> {
    let listed = |s: &Seat| RouterEntry {
        router: s.router.clone(),
        region: format!("region{}", s.region).into(),
        zone: format!("zone{}", s.zone).into(),
        site: format!("site{}", s.site).into(),
        rack: format!("rack{}", s.rack).into(),
        control: s.control,
    };
    let list = RouterList::new(1, shape, fleet.seats.iter().map(listed).collect());
    list.map(Arc::new).map_err(|e| e.to_string())
}

/// See the module.
pub struct Sparse {
    overlay: Overlay,
    control: bool,
    set: SparseSettings,
    purges: Purges,
    /// Links that the overlay wants, by when they were dialled; none once they are up.
    dials: BTreeMap<RouterId, Option<Ms>>,
    /// What is to be written.
    writes: Vec<Write>,
    stores: u64,
    /// Said that it is up to date, once.
    founded: bool,
    acts: Vec<Action>,
}

impl Sparse {
    /// Starts one; what was kept on the disk is known.
    ///
    /// # Errors
    /// If what is on the disk can't be read, or a setting can't be.
    pub fn start(
        set: &SparseSettings,
        list: &Arc<RouterList>,
        start: &Start,
        out: &mut Vec<PartyAction>,
    ) -> Result<Self, String> {
        let overlay = Overlay::new(start.me.router.clone(), set.overlay.clone(), start.draw as u64);
        let mut sparse = Self {
            overlay: overlay.map_err(|e| e.to_string())?,
            control: list.get(&start.me.router).is_some_and(|l| l.control),
            set: set.clone(),
            purges: decode_purges(start.disk.read(PURGES_SPACE)).ok_or("a purge that can't be read")?,
            dials: BTreeMap::new(),
            writes: Vec::new(),
            stores: 0,
            founded: false,
            acts: Vec::new(),
        };
        sparse.decide(start.now, Event::RouterListChanged(list.clone()), out);
        Ok(sparse)
    }

    /// The overlay, to look at.
    pub fn overlay(&self) -> &Overlay {
        &self.overlay
    }

    fn decide(&mut self, now: Ms, event: Event, out: &mut Vec<PartyAction>) {
        self.overlay.handle(now, event, &mut self.acts);
        for act in std::mem::take(&mut self.acts) {
            match act {
                Action::Dial(router) => {
                    self.dials.insert(router.clone(), Some(now));
                    out.push(PartyAction::Dial(router));
                }
                Action::Close(member) => {
                    self.dials.remove(&member.router);
                    out.push(PartyAction::Close(member.router));
                }
                Action::Send(to, _, body) => {
                    out.push(PartyAction::Send { no: 0, to, lane: Lane::Table, body })
                }
                Action::Deliver(Kind::Purge, bytes, _) => {
                    let purge = postcard::from_bytes(&bytes).ok().map(|p| self.narrow(p));
                    if let Some(purge) = purge.filter(|p| self.keep(now, *p)) {
                        out.push(PartyAction::Told(Word::Purge(purge)));
                    }
                }
                Action::Deliver(Kind::Table | Kind::Evidence | Kind::Background, ..) => {}
                Action::GapDetected { .. } => out.push(PartyAction::Told(Word::PurgesKnown(false))),
                Action::Log(_) => {}
            }
        }
    }

    /// True if it was not known. What has settled is told and not kept.
    fn keep(&mut self, now: Ms, purge: Purge) -> bool {
        if purge.time as f64 + self.set.settles <= now {
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

    /// A purge as it goes over the wire, and back.
    fn wide(&self, purge: Purge) -> Purge {
        if !self.set.wide {
            return purge;
        }
        Purge { group: purge.group ^ WIDE, object: purge.object.map(|o| o ^ !WIDE), time: purge.time + EPOCH }
    }

    fn narrow(&self, purge: Purge) -> Purge {
        if !self.set.wide {
            return purge;
        }
        let time = purge.time.saturating_sub(EPOCH);
        Purge { group: purge.group ^ WIDE, object: purge.object.map(|o| o ^ !WIDE), time }
    }

    fn heard(&mut self, now: Ms, purge: Purge, out: &mut Vec<PartyAction>) {
        if !self.keep(now, purge) {
            return;
        }
        if let Ok(bytes) = postcard::to_stdvec(&self.wide(purge)) {
            let event = match self.set.alone {
                true => Event::Publish(Kind::Purge, bytes),
                false => Event::AlreadyKnown(Kind::Purge, bytes),
            };
            self.decide(now, event, out);
        }
    }

    /// Dials that brought nothing are given up.
    fn give_up(&mut self, now: Ms, out: &mut Vec<PartyAction>) {
        let late = |(_, at): &(&RouterId, &Option<Ms>)| at.is_some_and(|at| now - at >= DIAL_MS);
        let late: Vec<RouterId> = self.dials.iter().filter(late).map(|(r, _)| r.clone()).collect();
        for router in late {
            self.dials.remove(&router);
            out.push(PartyAction::Close(router.clone()));
            self.decide(now, Event::DialFailed(router), out);
        }
    }

    /// What is due: the overlay's batch, and with it one commit.
    fn tick(&mut self, now: Ms, out: &mut Vec<PartyAction>) {
        self.give_up(now, out);
        self.decide(now, Event::TimersDue, out);
        for gone in self.purges.take_converged(now, self.set.settles) {
            self.writes.extend(key(&gone).map(|key| Write::Remove(PURGES_SPACE, key)));
        }
        if !self.writes.is_empty() {
            self.stores += 1;
            out.push(PartyAction::Store(self.stores, std::mem::take(&mut self.writes)));
        }
        if !self.founded && self.overlay.behind(now).age.is_some() {
            self.founded = true;
            out.push(PartyAction::Told(Word::Table(TableVersion(1), TableHash([0; 32]))));
        }
    }
}

/// The key under which a purge is kept.
fn key(purge: &Purge) -> Option<Vec<u8>> {
    postcard::to_stdvec(&(purge.group, purge.object)).ok()
}

impl Party for Sparse {
    fn handle(&mut self, now: Ms, event: PartyEvent, out: &mut Vec<PartyAction>) {
        match event {
            PartyEvent::Up(hello) => {
                let dial = self.dials.get_mut(&hello.member.router);
                let side = if dial.is_some() { Side::Local } else { Side::Remote };
                dial.into_iter().for_each(|at| *at = None);
                self.decide(now, Event::LinkUp(hello.member, side), out);
            }
            PartyEvent::Down(member, _) => {
                // The overlay says when it is to be dialled again, and whom instead.
                if self.dials.remove(&member.router).is_some() {
                    out.push(PartyAction::Close(member.router.clone()));
                }
                self.decide(now, Event::LinkDown(member), out);
            }
            PartyEvent::Got { from, body, .. } => self.decide(now, Event::FrameReceived(from, body), out),
            PartyEvent::Heard(purge) => self.heard(now, purge, out),
            PartyEvent::Due => self.tick(now, out),
            // Digests find what was not written whole; a commit that was refused loses what would be fetched again.
            PartyEvent::Unsent(_) | PartyEvent::Settle | PartyEvent::Stored(..) => {}
        }
    }

    fn due(&self) -> Ms {
        self.overlay.next_timer()
    }

    fn counts(&self) -> Vec<(&'static str, u64)> {
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
            // From another region into this one; control machines have words from each other besides.
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
