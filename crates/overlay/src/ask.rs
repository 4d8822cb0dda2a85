//! Words that are known here by another way, and that somebody is to say: the router above is asked whether it knows them, and is given those that
//! it does not. So they come up to one that has nobody above; it says them, and nobody else does.

use crate::broken::InjectedBug;
use crate::link::{extend, Link, Role, Stand};
use crate::list::Place;
use crate::overlay::Overlay;
use crate::told::{content, half, keyed, Held};
use crate::wire::{pack, Part, MOST_HASHES};
use crate::{Action, Kind, Origin};
use basaltgw_structures::hash::{address, mix};
use basaltgw_types::{Ms, RouterId};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// What is asked about within so many batches goes with what is asked about now: one frame in place of several.
const ALONG_BATCHES: f64 = 2.0;
/// No tier asks before so many batches have passed: what comes from above is a little late as a rule.
const LEAST_BATCHES: f64 = 2.0;
/// Words given above in one frame, and their bytes.
const MOST_GIVEN: usize = 256;
const MOST_GIVEN_BYTES: usize = 16_384;
/// Relays of a region that is cut off wait for each other for so many times `hold_ms`: their words take the long way through the tiers.
const APART_HOLDS: f64 = 4.0;
/// Who was not heard of for so many times `compare_ms` is not asked; and after so many a relay may have nobody above.
const HEARD_COMPARES: f64 = 2.0;
const PARTED_COMPARES: f64 = 3.0;

/// Who is to say a word.
enum Sayer {
    /// This router, and after how long.
    We(Ms),
    /// Another, which this one is linked with.
    Other(RouterId),
    /// Nobody that is reached.
    Nobody,
}

impl Overlay {
    /// A word that others likely know as well.
    pub(crate) fn hear(&mut self, now: Ms, kind: Kind, word: Vec<u8>, out: &mut Vec<Action>) {
        let key = self.told.key(kind, &word);
        if !self.told.first(key) {
            return;
        }
        let hash = content(kind, &word);
        let wait = match self.sayer(now, hash) {
            Sayer::We(wait) => wait,
            Sayer::Other(_) | Sayer::Nobody => self.wait(now, hash),
        };
        let room = self.told.held.len() < self.settings.most_held;
        if wait <= 0.0 || !room || word.len() > self.settings.most_word {
            self.counters.unheld += u64::from(!room);
            self.say_new(now, kind, word, out);
        } else {
            let held =
                Held { since: now, due: now + wait, climbs: false, asked: false, again: false, kind, word };
            self.told.held.insert(key, held);
        }
    }

    /// Who says a word: of the control machines that are heard of, the first in an order by the word; without any, who has nobody above. A
    /// router that has only lost its links for a moment, or whose tier has, is not that.
    fn sayer(&self, now: Ms, hash: u64) -> Sayer {
        let Some(list) = &self.list else {
            return Sayer::Nobody;
        };
        match self.my_stand() {
            Some(Stand::Control) => match self.control_order(now, hash).first() {
                _ if self.links.is_empty() && list.len() > 1 => Sayer::Nobody,
                Some(first) if *first != &self.me => Sayer::Other((*first).clone()),
                Some(_) | None => Sayer::We(0.0),
            },
            Some(Stand::Relay | Stand::Tier) => match (self.above(now), self.my_stand()) {
                (Some(link), _) => Sayer::Other(link.member.router.clone()),
                (None, Some(Stand::Relay)) => self.top(now, hash),
                (None, _) => Sayer::Nobody,
            },
            None => Sayer::Nobody,
        }
    }

    /// This router and the control machines that are linked and heard of, in the order in which they are to say a word.
    fn control_order(&self, now: Ms, hash: u64) -> Vec<&RouterId> {
        let heard =
            |l: &&Link| l.role == Role::Peer && now - l.heard <= HEARD_COMPARES * self.settings.compare_ms;
        let others = self.links.values().filter(heard).map(|l| &l.member.router);
        let mut order: Vec<&RouterId> = others.chain([&self.me]).collect();
        order.sort_by_key(|r| Reverse(mix(hash, address(&r.0))));
        order
    }

    /// A relay that may have nobody above.
    fn top(&self, now: Ms, hash: u64) -> Sayer {
        let Some((list, number)) = self.list.as_ref().and_then(|l| Some((l, l.number(&self.me)?))) else {
            return Sayer::Nobody;
        };
        let first = self.groups.iter().all(|g| g.candidates.is_empty());
        let parted = now - self.above_at >= PARTED_COMPARES * self.settings.compare_ms;
        if !first && (!parted || self.links.is_empty()) {
            return Sayer::Nobody;
        }
        if first || list.one_region() || self.links.values().any(|l| l.outside) {
            return Sayer::We(0.0);
        }
        let score = |r: &RouterId| mix(hash, address(&r.0));
        let region = &list.at(number).region;
        let own = list.relays().iter().map(|i| list.at(*i)).filter(|l| l.region == *region);
        let before = own.filter(|l| score(&l.router) > score(&self.me)).count();
        Sayer::We(before as f64 * APART_HOLDS * self.settings.hold_ms)
    }

    /// The link by which words come, or another one above.
    fn above(&self, now: Ms) -> Option<&Link> {
        let heard = |l: &&Link| now - l.heard <= HEARD_COMPARES * self.settings.compare_ms;
        let primary = self.primary.as_ref().and_then(|p| self.links.get(p)).filter(heard);
        primary.or_else(|| self.links.values().filter(heard).find(|l| l.role == Role::Parent))
    }

    /// How long a word is left to others before anybody is asked. Those far down ask sooner, since what they alone know has the longest way.
    fn wait(&self, now: Ms, hash: u64) -> Ms {
        let settings = &self.settings;
        let place = self.list.as_ref().and_then(|l| Some(l.place(l.number(&self.me)?)));
        match place {
            Some(Place::Control) => {
                // The second asks the first, and the others ask once the second has had time to.
                let order = self.control_order(now, hash);
                let rank = order.iter().position(|r| *r == &self.me).unwrap_or(0);
                settings.hold_ms * rank.clamp(1, 2) as f64
            }
            Some(Place::Tier { tier, .. }) => {
                let sooner = tier as f64 * settings.batch_ms / 2.0;
                (settings.ask_ms - sooner).max(LEAST_BATCHES * settings.batch_ms)
            }
            None => settings.ask_ms,
        }
    }

    /// Says, asks about and gives what is due of the words that are held.
    pub(crate) fn climb(&mut self, now: Ms) {
        let heard = self.links.values().filter(|l| l.role == Role::Parent).map(|l| l.heard);
        self.above_at = heard.fold(if self.above_at == 0.0 { now } else { self.above_at }, f64::max);
        if self.told.held.is_empty() {
            return;
        }
        let control = self.my_stand() == Some(Stand::Control);
        let asks = self.above(now).map(|l| (l.member.router.clone(), l.up_at));
        if asks != self.asks {
            self.asks = asks;
            for held in self.told.held.values_mut().filter(|h| h.asked && !control) {
                (held.asked, held.due) = (false, now);
            }
        }
        let held = &self.told.held;
        let any = held.values().any(|h| h.due <= now);
        if !any || !self.pace.purges() {
            return;
        }
        let until = now + ALONG_BATCHES * self.settings.batch_ms;
        let along = |h: &Held| h.due <= now || (!control && !h.asked && h.due <= until);
        let due: Vec<u64> = held.iter().filter(|(_, h)| along(h)).map(|(key, _)| *key).collect();
        let mut to = Errands::default();
        for key in due {
            self.climb_one(now, key, &mut to);
        }
        self.send_errands(now, to);
    }

    fn climb_one(&mut self, now: Ms, key: u64, to: &mut Errands) {
        let Some((hash, held)) = self.told.held.get(&key).map(|h| (content(h.kind, &h.word), h)) else {
            return;
        };
        let (asked, due, since) = (held.asked, held.due, held.since);
        let control = self.my_stand() == Some(Stand::Control);
        match self.sayer(now, hash) {
            Sayer::We(wait) => {
                if since + wait <= now {
                    self.say_held(now, key);
                }
            }
            // A control machine that does not answer at all.
            Sayer::Other(_) if control && asked && due <= now => {
                self.counters.said_for_others += 1;
                self.say_held(now, key);
            }
            Sayer::Other(router) => to.add(router, key),
            Sayer::Nobody => {}
        }
    }

    fn say_held(&mut self, now: Ms, key: u64) {
        if let Some(held) = self.told.held.remove(&key) {
            self.counters.said_for_below += u64::from(held.climbs);
            self.say(now, held.kind, &held.word);
        }
    }

    /// Puts questions and words into the next frames; what finds no room stays due.
    fn send_errands(&mut self, now: Ms, to: Errands) {
        let control = self.my_stand() == Some(Stand::Control);
        let (again, hold) = (self.settings.again_ms, self.settings.hold_ms);
        for (router, keys) in to.0 {
            let Some(link) = self.links.get_mut(&router) else { continue };
            let Some(theirs) = link.key else { continue };
            let (mut short, mut whole, mut given) = (Vec::new(), Vec::new(), Vec::new());
            let mut bytes = 0;
            for key in keys {
                let Some(held) = self.told.held.get_mut(&key) else { continue };
                let hash = keyed(theirs, held.kind, &held.word);
                let old = now - held.since >= again;
                let room = match held.climbs && !held.asked {
                    true if given.is_empty() => true,
                    true => given.len() < MOST_GIVEN && bytes + held.word.len() <= MOST_GIVEN_BYTES,
                    false => short.len().max(whole.len()) < MOST_HASHES,
                };
                if !room {
                    continue;
                }
                match (held.climbs && !held.asked, control || held.again || old) {
                    (true, _) => {
                        bytes += held.word.len();
                        given.push((held.kind, held.word.clone()));
                    }
                    (false, true) => whole.push(hash.to_le_bytes()),
                    (false, false) => short.push(half(hash)),
                }
                self.counters.asked_again += u64::from(held.again);
                (held.asked, held.again) = (true, true);
                held.due = now + if control { 2.0 * hold } else { again };
            }
            self.counters.asked += (short.len() + whole.len()) as u64;
            self.counters.given += given.len() as u64;
            let asks = [
                (!short.is_empty()).then_some(Part::Ask(short)),
                (!whole.is_empty()).then_some(Part::AskWhole(whole)),
            ];
            let parts = asks.into_iter().flatten().chain(given_parts(given));
            // Who has no room for a part is asked again later.
            parts.for_each(|part| {
                link.say(part);
            });
        }
    }

    /// One below asks; nothing is kept of that.
    pub(crate) fn asked(&mut self, router: &RouterId, hashes: &[[u8; 4]]) {
        let claims =
            self.faults.has(InjectedBug::ClaimsToKnow) || self.faults.has(InjectedBug::HalvesCollide);
        let not: Vec<[u8; 4]> =
            hashes.iter().copied().filter(|h| !claims && !self.told.has_half(*h)).collect();
        self.answer_unknown(router, not);
    }

    /// The same by whole hashes; what is held here is neither.
    pub(crate) fn asked_whole(&mut self, router: &RouterId, hashes: &[[u8; 8]]) {
        let claims = self.faults.has(InjectedBug::ClaimsToKnow);
        let (mut not, mut known) = (Vec::new(), Vec::new());
        for bytes in hashes {
            let key = u64::from_le_bytes(*bytes);
            match claims || self.told.has(key) {
                true if self.told.held.contains_key(&key) => {}
                true => known.push(*bytes),
                false => not.push(half(key)),
            }
        }
        self.answer_unknown(router, not);
        if let Some(link) = self.links.get_mut(router) {
            self.counters.asked_full += u64::from(!extend(&mut link.known, &known));
        }
    }

    fn answer_unknown(&mut self, router: &RouterId, not: Vec<[u8; 4]>) {
        self.counters.unknown += not.len() as u64;
        if let Some(link) = self.links.get_mut(router) {
            self.counters.asked_full += u64::from(!extend(&mut link.unknown, &not));
        }
    }

    /// What was asked about is not known there: it is given.
    pub(crate) fn unknown(&mut self, now: Ms, router: &RouterId, hashes: &[[u8; 4]]) {
        let Some(theirs) = self.links.get(router).and_then(|l| l.key) else {
            self.counters.stray += 1;
            return;
        };
        let drops = self.faults.has(InjectedBug::DropsAsked);
        let wanted: BTreeSet<[u8; 4]> = hashes.iter().copied().collect();
        let is = |h: &Held| h.asked && wanted.contains(&half(keyed(theirs, h.kind, &h.word)));
        if drops {
            self.told.held.retain(|_, h| !is(h));
        }
        for held in self.told.held.values_mut().filter(|h| is(h)) {
            (held.climbs, held.asked, held.due) = (true, false, now);
        }
    }

    /// What was asked about is had there, and comes by its stream.
    pub(crate) fn known(&mut self, router: &RouterId, hashes: &[[u8; 8]]) {
        let Some(theirs) = self.links.get(router).and_then(|l| l.key) else {
            self.counters.stray += 1;
            return;
        };
        let known: BTreeSet<u64> = hashes.iter().map(|h| u64::from_le_bytes(*h)).collect();
        let before = self.told.held.len();
        let is = |h: &Held| h.asked && known.contains(&keyed(theirs, h.kind, &h.word));
        self.told.held.retain(|_, h| !is(h));
        self.counters.spared += (before - self.told.held.len()) as u64;
    }

    /// Words that one below gives, as they are not known here; or a control machine, to which this one comes first.
    pub(crate) fn hear_below(
        &mut self,
        now: Ms,
        router: &RouterId,
        kind: Kind,
        words: Vec<Vec<u8>>,
        out: &mut Vec<Action>,
    ) {
        let peer = self.links.get(router).is_some_and(|l| l.role == Role::Peer);
        for word in words {
            let key = self.told.key(kind, &word);
            if self.told.held.len() >= self.settings.most_held && !peer {
                self.counters.below_full += 1;
                continue;
            }
            if self.told.first(key) {
                let origin = Origin { router: crate::list::short(&self.me), incarnation: self.life };
                out.push(Action::Deliver(kind, word.clone(), origin));
                let held =
                    Held { since: now, due: now, climbs: true, asked: false, again: false, kind, word };
                self.told.held.insert(key, held);
            }
            // Whoever goes by this router's place would go on doing so: nobody is asked in turn.
            if peer {
                self.say_held(now, key);
            }
        }
    }
}

/// What goes to whom.
#[derive(Default)]
struct Errands(Vec<(RouterId, Vec<u64>)>);

impl Errands {
    fn add(&mut self, router: RouterId, key: u64) {
        match self.0.iter_mut().find(|(r, _)| *r == router) {
            Some((_, keys)) => keys.push(key),
            None => self.0.push((router, vec![key])),
        }
    }
}

/// Words that are given, by kind, each less what it has in common with the one before.
fn given_parts(mut given: Vec<(Kind, Vec<u8>)>) -> Vec<Part> {
    given.sort();
    let mut parts: Vec<Part> = Vec::new();
    let mut before: Option<(Kind, Vec<u8>)> = None;
    for (kind, word) in given {
        let same = before.as_ref().filter(|(k, _)| *k == kind);
        let packed = pack(same.map_or(&[][..], |(_, w)| w.as_slice()), &word);
        match (parts.last_mut(), same) {
            (Some(Part::Hear { words, .. }), Some(_)) => words.push(packed),
            _ => parts.push(Part::Hear { kind, words: vec![packed] }),
        }
        before = Some((kind, word));
    }
    parts
}
