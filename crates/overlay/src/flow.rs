//! How words go on: who gets them at once, what waits for the next frame, and what the budget has room for.

use crate::broken::InjectedBug;
use crate::link::{Asked, Link, Role};
use crate::overlay::{Overlay, MOST_UNPACKED};
use crate::streams::StreamId;
use crate::wire::{pack, Part};
use crate::{Action, Kind, Origin};
use basaltgw_types::{Ms, RouterId};

/// Streams that are named at once to a lazy link; the others at the next time.
const MOST_NEWS: usize = 512;
/// Of a frame's bytes, what is left for all but words; see the bounds in the settings.
const BESIDES: usize = 40_960;
/// What a part with words costs besides them, and a word; rounded up.
const PART_COST: usize = 16;
const WORD_COST: usize = 6;
/// Parts with words in a frame.
const MOST_RUNS: usize = 256;

impl Overlay {
    /// A word that is next in its stream.
    pub(crate) fn accept(&mut self, now: Ms, stream: StreamId, word: Vec<u8>, out: &mut Vec<Action>) {
        if self.faults.has(InjectedBug::ForgetsToHandOn) {
            let upto = self.streams.upto(stream) + 1;
            self.streams.skip(now, stream, upto);
        } else {
            self.streams.push(now, stream, &word);
        }
        let kind = stream.kind();
        let key = self.told.key(kind, &word);
        self.counters.spared += u64::from(self.told.held.remove(&key).is_some());
        if self.told.first(key) || self.faults.has(InjectedBug::TellsTwice) {
            self.counters.told += 1;
            out.push(Action::Deliver(
                kind,
                word,
                Origin { router: stream.router(), incarnation: stream.life() },
            ));
        } else {
            self.counters.same += 1;
        }
    }

    /// A stream has come further: to whom that goes. What a peer said goes to no other peer: it says so itself.
    pub(crate) fn changed(&mut self, stream: StreamId, had: u64, upto: u64, from: Option<&RouterId>) {
        let from_peer = from.and_then(|f| self.links.get(f)).is_some_and(|l| l.role == Role::Peer);
        let forgets = from.is_some() && self.faults.has(InjectedBug::ForgetsToHandOn);
        for (router, link) in &mut self.links {
            let knows = link.knows.entry(stream).or_insert(had);
            if from_peer && link.role == Role::Peer && from != Some(router) {
                *knows = upto.max(*knows);
            }
            if *knows < upto && !forgets {
                link.dirty.insert(stream);
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Ms, out: &mut Vec<Action>) {
        // The first time is drawn, so that not all routers of a fleet do so at once.
        let first = self.next == 0.0;
        let phase = if first { self.draw() } else { 1.0 };
        self.next = now + self.settings.batch_ms * phase;
        self.turn = self.turn.wrapping_add(1);
        self.pace.refill(now);
        self.tidy(now);
        self.close_silent(now, out);
        self.upkeep(now, out);
        self.ask(now);
        self.compare(now);
        self.climb(now);
        self.flush(now, out);
    }

    fn tidy(&mut self, now: Ms) {
        let settings = &self.settings;
        self.counters.log_full += self.streams.trim(now, settings.keep_ms, settings.most_log_bytes);
        let own: Vec<StreamId> = Kind::ALL.map(|k| StreamId::new(k, &self.me, self.life)).into();
        let forgotten = self.streams.forget(now, settings.forget_ms, |s| own.contains(&s));
        self.counters.forgotten += forgotten.len() as u64;
        for stream in &forgotten {
            self.missing.spans.remove(stream);
            for link in self.links.values_mut() {
                link.knows.remove(stream);
                link.dirty.remove(stream);
            }
        }
        self.told.turn(now, settings.keep_ms);
    }

    /// Fills frames and sends them: the most urgent kind to all first.
    fn flush(&mut self, now: Ms, out: &mut Vec<Action>) {
        let mut order: Vec<RouterId> = self.links.keys().cloned().collect();
        if order.is_empty() {
            return;
        }
        let turn = self.turn % order.len();
        order.rotate_left(turn);
        // A peer that hears late says the word itself, which costs more.
        order.sort_by_key(|r| self.links.get(r).is_none_or(|l| l.role != Role::Peer));
        let mut used = vec![0usize; order.len()];
        for router in &order {
            self.links.get_mut(router).into_iter().for_each(Link::answer);
            self.news(now, router);
        }
        for kind in Kind::ALL {
            let mut waited = false;
            for (router, used) in order.iter().zip(&mut used) {
                waited |= !self.push_words(now, router, kind, used);
                waited |= !self.answer(now, router, kind, used);
            }
            self.counters.waited[kind as usize] += u64::from(waited);
        }
        for (router, used) in order.iter().zip(used) {
            self.send(now, router, used, out);
        }
    }

    /// Names what is new to a lazy link.
    fn news(&mut self, now: Ms, router: &RouterId) {
        let (streams, settings) = (&self.streams, &self.settings);
        let Some(link) = self.links.get_mut(router).filter(|l| !l.push && l.news_at <= now) else {
            return;
        };
        // What it is known to have by now need not be named.
        let (knows, dirty) = (&link.knows, &mut link.dirty);
        dirty.retain(|s| knows.get(s).is_none_or(|had| *had < streams.upto(*s)) && !streams.skips(*s));
        if link.dirty.is_empty() {
            return;
        }
        let named: Vec<StreamId> = link.dirty.iter().take(MOST_NEWS).copied().collect();
        named.iter().for_each(|s| {
            link.dirty.remove(s);
        });
        link.news_at = now + settings.announce_ms - settings.batch_ms / 2.0;
        link.say(Part::News(named.into_iter().map(|s| (s, streams.upto(s))).collect()));
    }

    /// Puts words of a kind into the frame for a link; false if some have to wait.
    fn push_words(&mut self, now: Ms, router: &RouterId, kind: Kind, used: &mut usize) -> bool {
        let Some(link) =
            self.links.get(router).filter(|l| l.push && !l.dirty.is_empty() && l.words_at <= now)
        else {
            return true;
        };
        let of_kind = StreamId((kind as u64) << 62)..=StreamId((kind as u64) << 62 | (u64::MAX >> 2));
        for stream in link.dirty.range(of_kind).copied().collect::<Vec<_>>() {
            let had = self.links.get(router).and_then(|l| l.knows.get(&stream).copied()).unwrap_or(0);
            let upto = self.streams.upto(stream);
            let sent = self.words(router, stream, had + 1, upto, kind, used);
            let Some(link) = self.links.get_mut(router) else {
                return true;
            };
            // Nothing is kept of it any more: the other end finds out by digests, and is told that it is gone.
            if sent >= upto || self.streams.first(stream) > upto {
                link.dirty.remove(&stream);
            }
            link.has(stream, sent);
            if sent < upto {
                return false;
            }
        }
        true
    }

    /// Gives words that were asked for; long spans go with what can wait longest. False if some have to wait.
    fn answer(&mut self, now: Ms, router: &RouterId, kind: Kind, used: &mut usize) -> bool {
        let lane = |a: &Asked| if a.filling { Kind::Background } else { a.stream.kind() };
        let asked = self.links.get(router).map(|l| l.asked.clone()).unwrap_or_default();
        let mut done = true;
        for a in asked.into_iter().filter(|a| lane(a) == kind) {
            let (first, age) = self.streams.within(a.stream, now, self.settings.settle_ms);
            if !self.streams.known(a.stream) || a.from < first {
                self.counters.gone += 1;
                let gone = Part::Gone { stream: a.stream, first, age: age as u32 };
                let told = self.links.get_mut(router).is_some_and(|l| l.say(gone));
                if !told {
                    return false;
                }
            }
            let (from, to) = (a.from.max(first), a.to.min(self.streams.upto(a.stream)));
            let sent = if from <= to { self.words(router, a.stream, from, to, kind, used) } else { to };
            let Some(link) = self.links.get_mut(router) else {
                return true;
            };
            link.asked.retain(|other| other.stream != a.stream);
            if sent < to {
                link.asked.push_front(Asked { from: sent + 1, ..a });
                done = false;
                break;
            }
            // What was asked for closes the gap between what it had and what it is sent anyway.
            if link.knows.get(&a.stream).is_some_and(|had| *had + 1 >= from) {
                link.has(a.stream, sent);
            }
        }
        done
    }

    /// Puts words into the frame for a link as far as frame and budget have room; up to which number.
    fn words(
        &mut self,
        router: &RouterId,
        stream: StreamId,
        from: u64,
        to: u64,
        kind: Kind,
        used: &mut usize,
    ) -> u64 {
        let room = self.settings.most_frame - BESIDES;
        let first = from.max(self.streams.first(stream));
        let link = self.links.get(router);
        let runs = link.map_or(MOST_RUNS, |l| l.parts.len());
        let peer = link.is_some_and(|l| l.role == Role::Peer);
        let (mut words, mut before, mut bytes) = (Vec::new(), Vec::new(), 0);
        let mut next = first;
        for word in self.streams.words_from(stream, first) {
            let may = match kind {
                Kind::Purge => peer || self.pace.purges(),
                Kind::Table | Kind::Evidence | Kind::Background => self.pace.others(),
            };
            let cost = word.len() + WORD_COST + if words.is_empty() { PART_COST } else { 0 };
            let full = (*used > 0 && *used + cost > room) || bytes + word.len() > MOST_UNPACKED;
            if next > to || !may || full || runs >= MOST_RUNS {
                break;
            }
            let packed = pack(&before, &word);
            let cost = cost - usize::from(packed.same);
            *used += cost;
            bytes += word.len();
            self.pace.take(cost);
            words.push(packed);
            before = word;
            next += 1;
        }
        if words.is_empty() {
            return from - 1;
        }
        self.counters.sent += words.len() as u64;
        if let Some(link) = self.links.get_mut(router) {
            link.parts.push(Part::Words { stream, first, words });
        }
        next - 1
    }

    fn send(&mut self, now: Ms, router: &RouterId, used: usize, out: &mut Vec<Action>) {
        let Some(link) = self.links.get_mut(router).filter(|l| !l.parts.is_empty()) else {
            return;
        };
        let parts = std::mem::take(&mut link.parts);
        let kind = parts.iter().map(Part::kind).min().unwrap_or(Kind::Background);
        if link.role == Role::Peer && used > 0 {
            // Ticks are batches apart: half of one is near enough.
            link.words_at = now + self.settings.peer_batch_ms - self.settings.batch_ms / 2.0;
        }
        let bytes = link.names.write(parts);
        let cost = bytes.len() + self.settings.frame_bytes;
        self.pace.take(cost.saturating_sub(used));
        self.counters.frames_sent += 1;
        self.counters.bytes_sent += cost as u64;
        out.push(Action::Send(link.member.clone(), kind, bytes));
    }
}
