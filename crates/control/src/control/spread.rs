//! Words for all, by the overlay and over the links that there are: a neighbour is a use of a link.
//!
//! Purges go by it, if there is one. No register is asked for them then: whoever starts learns them from its neighbours. A purge that waits for
//! company on its way to the disk is lost by a crash within that time, and heard again from the change log; nothing was promised on it.

use super::standing::{Standing, StandingLinks};
use super::{Asker, Control};
use crate::api::ControlNotification;
use crate::purges::Purge;
use crate::words::{Message, MOST_SPREAD};
use basaltgw_overlay as overlay;
use basaltgw_overlay::{Action, Event, Kind, Overlay, RouterList, Side};
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::{BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::sync::Arc;

/// Neighbours that have to tell all purges they know to a router that starts: what one has missed, the other has.
const TELLERS: usize = 2;
/// A router further behind than this is not up to date: seven tiers that compare each second, and some that are late.
const MOST_BEHIND_MS: Ms = 10_000.0;

/// Streams in which nothing was said are known for so many times as long as words are kept: whoever finds one then finds its words gone.
const FORGET_KEEPS: f64 = 5.0;
/// What is announced may come by ways that differ by so many batches.
const LATE_BATCHES: f64 = 3.0;
/// Control machines tell each other so many batches apart, and routers wait for each other to say what all know for one more.
const PEER_BATCHES: f64 = 2.0;
const HOLD_BATCHES: f64 = 3.0;
/// What the change log told here and nobody has said for so many batches is asked about: most words have come by then.
const ASK_BATCHES: f64 = 6.0;
/// A router that isn't reached costs nothing to be asked for, so it is asked for soon again: who returns has neighbours at once.
const BACKOFF_MS: Ms = 100.0;
/// The longest such wait.
const MOST_BACKOFF_MS: Ms = 250.0;
/// The same where a router has to be dialled for it.
const DIAL_BACKOFF_MS: Ms = 500.0;
const MOST_DIAL_BACKOFF_MS: Ms = 5_000.0;

/// An overlay, and the list by which it goes.
pub struct OverlayParts {
    overlay: Overlay,
    list: Arc<RouterList>,
    batch: Ms,
    standing: Option<StandingLinks>,
}

/// Times and bounds of an overlay that operators may set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverlayTimes {
    /// Words wait so long at each router, and purges as long for company on their way to the disk.
    pub batch: Ms,
    /// Words are kept so long.
    pub keep: Ms,
    /// A purge has settled after this.
    pub settles: Ms,
    /// Bytes a second, both ways together.
    pub budget: f64,
}

impl OverlayParts {
    /// An overlay over links that stand anyway; `drawn` is a random number, another one at each start.
    ///
    /// # Errors
    /// If a time or bound can't be.
    pub fn new(
        me: RouterId,
        list: RouterList,
        times: OverlayTimes,
        drawn: u64,
    ) -> Result<Self, overlay::OverlayError> {
        Self::with_links(me, list, times, None, drawn)
    }

    /// The same; with standing links they are dialled for it, and closed.
    ///
    /// # Errors
    /// If a time or bound can't be.
    pub fn with_links(
        me: RouterId,
        list: RouterList,
        times: OverlayTimes,
        standing: Option<StandingLinks>,
        drawn: u64,
    ) -> Result<Self, overlay::OverlayError> {
        let (backoff_ms, most_backoff_ms) = match standing {
            Some(_) => (DIAL_BACKOFF_MS, MOST_DIAL_BACKOFF_MS),
            None => (BACKOFF_MS, MOST_BACKOFF_MS),
        };
        let usual = overlay::Settings::default();
        let settings = overlay::Settings {
            batch_ms: times.batch,
            peer_batch_ms: PEER_BATCHES * times.batch,
            hold_ms: HOLD_BATCHES * times.batch,
            ask_ms: ASK_BATCHES * times.batch,
            // Who is no further behind than this is up to date, and has to be given all.
            settle_ms: (times.settles + overlay::CATCH_UP_MS).max(MOST_BEHIND_MS),
            late_ms: usual.late_ms.max(LATE_BATCHES * times.batch),
            backoff_ms,
            most_backoff_ms,
            keep_ms: times.keep,
            forget_ms: FORGET_KEEPS * times.keep,
            budget_bytes_per_s: times.budget,
            burst_bytes: usual.burst_bytes.max(2.0 * times.budget),
            most_frame: MOST_SPREAD,
            ..usual
        };
        let overlay = Overlay::new(me, settings, drawn)?;
        Ok(Self { overlay, list: Arc::new(list), batch: times.batch, standing })
    }
}

/// How words for all travel.
pub(super) struct Spread {
    overlay: Overlay,
    others: usize,
    batch: Ms,
    /// Routers that the overlay wants and that are not reached yet: links take a moment at a start.
    dials: BTreeSet<RouterId>,
    /// Purges were missed, which the owner is to be told.
    missed: bool,
}

impl Spread {
    fn has(&self, member: &Member) -> bool {
        self.overlay.links().any(|(m, ..)| m == member)
    }

    /// Routers with whose links the overlay goes, or would.
    pub fn wanted(&self) -> impl Iterator<Item = RouterId> + '_ {
        self.overlay.links().map(|(m, ..)| m.router.clone()).chain(self.dials.iter().cloned())
    }

    /// Whether a router is one of those.
    pub fn wants(&self, router: &RouterId) -> bool {
        self.dials.contains(router) || self.overlay.links().any(|(m, ..)| m.router == *router)
    }

    /// A dial is over; true if the overlay had asked for it.
    pub fn dial_over(&mut self, router: &RouterId) -> bool {
        self.dials.remove(router)
    }

    /// All that was said before this start is here, and neighbours have told what they know from before.
    pub fn caught_up(&self, now: Ms, told: &BTreeSet<Member>) -> bool {
        let behind = self.overlay.behind(now);
        let purges = |(_, kind, _): &(_, Kind, _)| *kind == Kind::Purge;
        behind.age.is_some_and(|age| age <= MOST_BEHIND_MS)
            && !behind.missing.iter().any(purges)
            && told.len() >= TELLERS.min(self.others)
    }
}

impl Control {
    /// Begins with an overlay. What an earlier life has heard may not have been said: it is, if nobody else has.
    pub(super) fn spread_from(&mut self, now: Ms, parts: OverlayParts) {
        let OverlayParts { overlay, list, batch, standing } = parts;
        self.standing = standing.map(|set| Standing::new(now, set));
        if self.standing.is_some() {
            self.parts.table.keep_standing_links();
        }
        let (others, dials) = (list.len().saturating_sub(1), BTreeSet::new());
        self.spread = Some(Spread { overlay, others, batch, dials, missed: false });
        self.spread(now, Event::RouterListChanged(list));
        for purge in self.parts.purges.all().collect::<Vec<_>>() {
            self.spread(now, Event::AlreadyKnown(Kind::Purge, purge.to_update()));
        }
    }

    /// Says a purge that the change log told here.
    pub(super) fn say_purge(&mut self, now: Ms, purge: Purge) {
        if self.spread.is_some() {
            return self.spread(now, Event::AlreadyKnown(Kind::Purge, purge.to_update()));
        }
        let (key, change) = purge.record_change();
        self.ask(now, Asker::Nobody, (key, change), self.parts.purge_convergence_time);
        // Every router heeds it as soon as it hears of it; keepers hold it besides.
        self.say_all(&Message::PurgeSync { purges: vec![purge], last: false });
    }

    /// Lets the overlay decide, and does what it wants. Each dial that comes to nothing leaves a router alone for a while: it ends.
    pub(super) fn spread(&mut self, now: Ms, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(spread) = &mut self.spread else { return };
            let mut acts = Vec::new();
            spread.overlay.handle(now, event, &mut acts);
            for act in acts {
                match act {
                    Action::Dial(router) => events.extend(self.dial(router)),
                    Action::Close(member) => self.say_linked(&member, &Message::OverlayLink { open: false }),
                    Action::Send(member, _, frame) => self.say_linked(&member, &Message::OverlayFrame(frame)),
                    Action::Deliver(Kind::Purge, word, _) => match Purge::from_update(&word) {
                        Some(purge) => self.purge_heard(now, purge),
                        None => self.counts.unreadable += 1,
                    },
                    // No such words are said yet.
                    Action::Deliver(Kind::Table | Kind::Evidence | Kind::Background, ..) => {
                        self.counts.unreadable += 1
                    }
                    Action::GapDetected { kind: Kind::Purge, origin, from, to } => {
                        log::warn!("purges {from} to {to} of {origin:?} were missed");
                        self.spread.iter_mut().for_each(|s| s.missed = true);
                    }
                    Action::GapDetected { kind: Kind::Table | Kind::Evidence | Kind::Background, .. } => {}
                    Action::Log(text) => log::info!("overlay: {text}"),
                }
            }
        }
        let missed = self.spread.as_mut().is_some_and(|s| std::mem::take(&mut s.missed));
        // At a start neighbours tell all that has not settled, or everything counts as purged anyway.
        if missed && self.start.done {
            self.tell(ControlNotification::PurgesMissed);
        }
    }

    /// A router that is reached is a neighbour at once.
    fn dial(&mut self, router: RouterId) -> Option<Event> {
        let Some(member) = self.reached.get(&router).cloned() else {
            if self.start.done && self.standing.is_none() {
                return Some(Event::DialFailed(router));
            }
            self.spread.iter_mut().for_each(|s| {
                s.dials.insert(router.clone());
            });
            return None;
        };
        self.say_linked(&member, &Message::OverlayLink { open: true });
        self.ask_neighbour(&member);
        Some(Event::LinkUp(member, Side::Local))
    }

    /// A start asks its neighbours alone for the purges that they know.
    fn ask_neighbour(&mut self, member: &Member) {
        if !self.start.done {
            self.say(member, &Message::PurgeSyncRequest);
        }
    }

    /// A link is up: it may have been waited for.
    pub(super) fn neighbour_reached(&mut self, now: Ms, member: &Member) {
        if !self.spread.as_mut().is_some_and(|s| s.dials.remove(&member.router)) {
            return;
        }
        if let Some(event) = self.dial(member.router.clone()) {
            self.spread(now, event);
        }
    }

    /// A link is down, and with it its use.
    pub(super) fn neighbour_lost(&mut self, now: Ms, member: &Member) {
        if self.spread.as_ref().is_some_and(|s| s.has(member)) {
            self.spread(now, Event::LinkDown(member.clone()));
        }
    }

    /// Another router begins to use the link, or ends it.
    pub(super) fn neighbour(&mut self, now: Ms, from: &Member, open: bool) {
        if self.spread.is_none() || self.reached.get(&from.router) != Some(from) {
            self.counts.unreadable += 1;
        } else if open {
            self.ask_neighbour(from);
            self.spread(now, Event::LinkUp(from.clone(), Side::Remote));
        } else {
            self.neighbour_lost(now, from);
        }
    }

    /// A frame; who is no neighbour is counted by the overlay.
    pub(super) fn frame(&mut self, now: Ms, from: &Member, frame: Vec<u8>) {
        match self.spread.is_some() {
            true => self.spread(now, Event::FrameReceived(from.clone(), frame)),
            false => self.counts.unreadable += 1,
        }
    }

    /// What is not reached by the end of the start is no neighbour now, unless it is dialled for it.
    pub(super) fn refuse_dials(&mut self, now: Ms) {
        if self.standing.is_some() {
            return;
        }
        let dials = self.spread.as_mut().map(|s| std::mem::take(&mut s.dials)).unwrap_or_default();
        dials.into_iter().for_each(|router| self.spread(now, Event::DialFailed(router)));
    }

    /// When the overlay, or what waits to be put on the disk, wants to be looked at.
    pub(super) fn spread_due(&self) -> Ms {
        let Some(spread) = &self.spread else { return Ms::INFINITY };
        let kept = self.next.only_purges_since().map_or(Ms::INFINITY, |since| since + spread.batch);
        spread.overlay.next_timer().min(kept)
    }

    /// Purges alone wait for others before they go to the disk, but not at the end.
    pub(super) fn purges_wait(&self, now: Ms) -> bool {
        let Some(spread) = &self.spread else { return false };
        let waits = |since: Ms| now < since + spread.batch;
        self.ending.is_none() && self.next.only_purges_since().is_some_and(waits)
    }

    /// What the overlay counts, as `name=value` words; empty without one.
    pub(super) fn overlay_words(&self) -> String {
        let Some(spread) = &self.spread else { return String::new() };
        let c: &overlay::Counters = spread.overlay.counters();
        let mut text = format!("overlay_neighbours={} ", spread.overlay.links().count());
        let _ = write!(text, "overlay_said={} overlay_said_for_others={} ", c.said, c.said_for_others);
        let _ = write!(text, "overlay_said_for_below={} overlay_asked={} ", c.said_for_below, c.asked);
        let _ = write!(text, "overlay_given={} overlay_settled={} ", c.given, c.settled);
        let _ = write!(text, "overlay_below_full={} ", c.below_full);
        let _ = write!(text, "overlay_new={} overlay_known={} ", c.told, c.same + c.again);
        let _ = write!(text, "overlay_spared={} overlay_unheld={} ", c.spared, c.unheld);
        let _ = write!(text, "overlay_fetched={} overlay_missed={} ", c.fetches, c.missed);
        let _ = write!(text, "overlay_refused={} ", c.full_here + c.not_listed + c.eager_refused);
        let _ = write!(text, "overlay_lost={} overlay_silent={} ", c.lost, c.silent);
        let _ = write!(text, "overlay_stray={} overlay_garbled={} ", c.stray, c.garbled);
        let (sent, got) = (c.frames_sent, c.frames_got);
        let _ = write!(text, "overlay_frames_sent={sent} overlay_frames_got={got} ");
        let _ = write!(text, "overlay_bytes_sent={} overlay_bytes_got={} ", c.bytes_sent, c.bytes_got);
        let [purge, table, evidence, filling] = c.waited;
        let _ = write!(text, "overlay_waited_purge={purge} overlay_waited_table={table} ");
        let _ = write!(text, "overlay_waited_evidence={evidence} overlay_waited_filling={filling}");
        text
    }
}
