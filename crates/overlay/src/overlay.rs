//! One router's overlay: its state, and what each event changes.

use crate::broken::Faults;
#[cfg(feature = "broken")]
use crate::broken::InjectedBug;
use crate::fetch::Missing;
use crate::link::{Asked, Link, Role, Stand};
use crate::list::RouterList;
use crate::pace::Pace;
use crate::standing::Group;
use crate::streams::{StreamId, Streams};
use crate::told::Told;
use crate::wire::{unpack, Packed, Part, Vector};
use crate::{Action, Counters, Event, Kind, Origin, OverlayError, Settings};
use basaltgw_structures::hash::{mix, unit};
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A timer may be early by so much, ms.
const NEAR_MS: Ms = 1.0;

/// The overlay of one router.
#[derive(Clone, Debug)]
pub struct Overlay {
    pub(crate) me: RouterId,
    pub(crate) life: u32,
    seed: u64,
    pub(crate) settings: Settings,
    pub(crate) faults: Faults,
    pub(crate) list: Option<Arc<RouterList>>,
    pub(crate) groups: Vec<Group>,
    pub(crate) links: BTreeMap<RouterId, Link>,
    pub(crate) primary: Option<RouterId>,
    /// Times that the primary link stayed behind, since it last brought something.
    pub(crate) strikes: u32,
    pub(crate) streams: Streams,
    pub(crate) told: Told,
    /// When somebody above was last heard of, or the first look.
    pub(crate) above_at: Ms,
    /// Who is asked about words that are held, and since when that link is up.
    pub(crate) asks: Option<(RouterId, Ms)>,
    pub(crate) missing: Missing,
    pub(crate) pace: Pace,
    pub(crate) counters: Counters,
    /// The first time that it was told of.
    pub(crate) started: Option<Ms>,
    /// Set once two neighbours were compared with.
    pub(crate) settled: bool,
    pub(crate) turn: usize,
    pub(crate) next: Ms,
}

impl Overlay {
    /// The overlay of a router that starts; `drawn` is a random number, another one at each start.
    ///
    /// # Errors
    /// If a setting can't be.
    pub fn new(me: RouterId, settings: Settings, drawn: u64) -> Result<Self, OverlayError> {
        settings.fault()?;
        let pace = Pace::new(settings.budget_bytes_per_s, settings.burst_bytes);
        Ok(Self {
            life: mix(drawn, 1) as u32,
            seed: mix(drawn, 2),
            told: Told::new(mix(drawn, 3)),
            me,
            settings,
            faults: Faults::default(),
            list: None,
            groups: Vec::new(),
            links: BTreeMap::new(),
            primary: None,
            strikes: 0,
            above_at: 0.0,
            asks: None,
            streams: Streams::new(),
            missing: Missing::default(),
            pace,
            counters: Counters::default(),
            started: None,
            settled: false,
            turn: 0,
            next: 0.0,
        })
    }

    /// Breaks it, for checks that must find that.
    #[cfg(feature = "broken")]
    #[must_use]
    pub fn broken(mut self, broken: InjectedBug) -> Self {
        self.faults.broken = Some(broken);
        self.streams.skips_odd = broken == InjectedBug::DigestSkips;
        self
    }

    /// Between 0 and 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.seed = mix(self.seed, 0x6f76);
        unit(self.seed)
    }

    /// When it wants [`Event::Due`].
    pub fn next_timer(&self) -> Ms {
        self.next
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The routers with which links are up, whether they are above, and whether words go there at once.
    pub fn links(&self) -> impl Iterator<Item = (&Member, bool, bool)> {
        self.links.values().map(|l| (&l.member, l.role == Role::Parent, l.push))
    }

    /// Whose words those are, if it is listed.
    pub fn router_name(&self, origin: Origin) -> Option<&RouterId> {
        self.list.as_ref().and_then(|list| list.called(origin.router))
    }

    /// Takes an event; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match event {
            Event::RouterListChanged(list) => self.set_list(now, list, out),
            Event::LinkUp(member, side) => self.up(now, member, side, out),
            Event::LinkDown(member) => self.down(now, &member, out),
            Event::DialFailed(router) => self.refused(now, &router, out),
            Event::FrameReceived(member, bytes) => self.got(now, &member, &bytes, out),
            Event::Publish(kind, word) => self.say_new(now, kind, word, out),
            Event::AlreadyKnown(kind, word) => self.hear(now, kind, word, out),
            Event::TimersDue => {
                // Callers' timers round.
                if now + NEAR_MS >= self.next {
                    self.tick(now, out);
                }
            }
        }
    }

    fn got(&mut self, now: Ms, from: &Member, bytes: &[u8], out: &mut Vec<Action>) {
        let Some(link) = self.links.get_mut(&from.router).filter(|l| l.member == *from) else {
            self.counters.stray += 1;
            return;
        };
        link.heard = now;
        let cost = bytes.len() + self.settings.frame_bytes;
        self.counters.frames_got += 1;
        self.counters.bytes_got += cost as u64;
        self.pace.refill(now);
        self.pace.take(cost);
        let read = link.names.read(bytes, self.settings.most_frame);
        let done = read.and_then(|parts| parts.into_iter().try_for_each(|p| self.part(now, from, p, out)));
        if let Err(bad) = done {
            self.counters.garbled += 1;
            out.push(Action::Log(format!("{from}: {bad}")));
            self.close(now, &from.router, out);
            self.upkeep(now, out);
        }
    }

    fn part(
        &mut self,
        now: Ms,
        from: &Member,
        part: Part,
        out: &mut Vec<Action>,
    ) -> Result<(), OverlayError> {
        let router = &from.router;
        // A part before may have ended the link.
        let Some(link) = self.links.get_mut(router).filter(|l| l.member == *from) else {
            return Ok(());
        };
        match part {
            Part::Words { stream, first, words } => {
                let words = unpack_all(&words, self.settings.most_word)?;
                self.take(now, router, stream, first, words, out);
            }
            Part::News(named) => self.claims(now, router, &named, false),
            Part::Digest(digest) => self.digest(now, router, digest),
            Part::Buckets { named, hashes } => self.buckets(now, router, &named, &hashes),
            Part::Vector(entries) => self.vector(now, router, &entries),
            Part::Fetch { stream, from, to, filling } => {
                if !link.ask(Asked { stream, from, to, filling }) {
                    self.counters.asked_full += 1;
                }
            }
            Part::Gone { stream, first, age } => self.gone(now, router, (stream, first), age.into(), out),
            Part::Want { eager, has } => self.want(now, router, eager, &has),
            Part::NotEager => {
                link.not_eager_until = now + self.settings.not_eager_ms;
                self.upkeep(now, out);
            }
            Part::Full => self.full(now, router, out),
            Part::Key(key) => link.key = Some(key),
            Part::Ask(hashes) => self.asked(router, &hashes),
            Part::AskWhole(hashes) => self.asked_whole(router, &hashes),
            Part::Unknown(hashes) => self.unknown(now, router, &hashes),
            Part::Known(hashes) => self.known(router, &hashes),
            Part::Hear { kind, words } => {
                let words = unpack_all(&words, self.settings.most_word)?;
                self.hear_below(now, router, kind, words, out);
            }
        }
        Ok(())
    }

    /// The other end asks for words at once, or no more so.
    fn want(&mut self, now: Ms, router: &RouterId, eager: bool, has: &Vector) {
        let eager_now = |l: &&Link| l.role == Role::Child && l.push && l.member.router != *router;
        let most = match self.my_stand() {
            Some(Stand::Control) => self.list.as_ref().map_or(0, |l| l.shape().control_eager),
            Some(Stand::Relay | Stand::Tier) | None => self.settings.most_eager,
        };
        let mut full = self.links.values().filter(eager_now).count() >= most;
        if eager && full {
            // Whoever is to get them here by rule takes the place of one that is not.
            let other = self.links.values().filter(eager_now).map(|l| l.member.router.clone());
            let other = other.into_iter().find(|r| self.rightful(router) && !self.rightful(r));
            if let Some(link) = other.and_then(|r| self.links.get_mut(&r)) {
                link.push = false;
                link.say(Part::NotEager);
                full = false;
            }
        }
        let Some(link) = self.links.get_mut(router).filter(|l| l.role == Role::Child) else {
            return;
        };
        link.push = eager && !full;
        if !eager {
            return;
        }
        if full {
            self.counters.eager_refused += 1;
            link.say(Part::NotEager);
            return;
        }
        // What it has counts, and not what it was once seen to have.
        link.knows = has.iter().copied().collect();
        link.digest_at = now;
        let behind = has.iter().filter(|(s, upto)| self.streams.upto(*s) > *upto);
        link.dirty = behind.map(|(s, _)| *s).collect();
        self.claims(now, router, has, false);
    }

    /// Whether this is a control machine and the other a relay that control machines send words to at once.
    pub(crate) fn rightful(&self, router: &RouterId) -> bool {
        let by_control = |l: &Arc<RouterList>| l.number(router).is_some_and(|number| l.by_control(number));
        self.my_stand() == Some(Stand::Control) && self.list.as_ref().is_some_and(by_control)
    }

    /// A word of this router's own.
    pub(crate) fn say_new(&mut self, now: Ms, kind: Kind, word: Vec<u8>, out: &mut Vec<Action>) {
        if word.len() > self.settings.most_word {
            self.counters.too_long += 1;
            out.push(Action::Log(format!("a word of {} bytes is too long to be said", word.len())));
            return;
        }
        let key = self.told.key(kind, &word);
        self.told.held.remove(&key);
        self.told.first(key);
        self.say(now, kind, &word);
    }

    pub(crate) fn say(&mut self, now: Ms, kind: Kind, word: &[u8]) {
        self.counters.said += 1;
        let stream = StreamId::new(kind, &self.me, self.life);
        let upto = self.streams.push(now, stream, word);
        self.changed(stream, upto - 1, upto, None);
    }
}

pub(crate) fn unpack_all(packed: &[Packed], most: usize) -> Result<Vec<Vec<u8>>, OverlayError> {
    let mut words: Vec<Vec<u8>> = Vec::with_capacity(packed.len());
    let mut bytes = 0;
    for one in packed {
        let before = words.last().map_or(&[][..], Vec::as_slice);
        let word = unpack(before, one, most)?;
        bytes += word.len();
        // A few bytes on the wire must not become many here: more than any sender's frame of plain words.
        if bytes > MOST_UNPACKED {
            return Err(OverlayError::Garbled("words that become too many bytes".into()));
        }
        words.push(word);
    }
    Ok(words)
}

/// What the words of one part come to at most, in bytes.
pub(crate) const MOST_UNPACKED: usize = 256 << 10;
