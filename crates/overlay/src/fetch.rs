//! Words that neighbours have and this router hasn't: waited for, then fetched.

use crate::link::Role;
use crate::overlay::Overlay;
use crate::streams::StreamId;
use crate::wire::{Part, Vector};
use crate::{Action, Origin};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeMap;

/// Routers that are noted for a stream.
const MOST_SOURCES: usize = 4;
/// Spans that are asked for at a time.
const MOST_ASKS: usize = 64;
/// Times that the primary link may stay behind in a row.
const MOST_STRIKES: u32 = 2;

#[derive(Clone, Debug)]
pub(crate) struct Span {
    /// When it is to be fetched.
    due: Ms,
    pub upto: u64,
    sources: Vec<RouterId>,
    asked: Option<(RouterId, Ms)>,
    tries: usize,
    filling: bool,
}

/// What is missing, by stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Missing {
    pub spans: BTreeMap<StreamId, Span>,
}

impl Missing {
    pub fn lost(&mut self, router: &RouterId) {
        for span in self.spans.values_mut() {
            span.sources.retain(|s| s != router);
            if span.asked.as_ref().is_some_and(|(asked, _)| asked == router) {
                span.asked = None;
            }
        }
    }

    /// Notes that a neighbour has more; false if there is no room.
    fn note(&mut self, at: (StreamId, u64), from: &RouterId, due: Ms, filling: bool, most: usize) -> bool {
        let (stream, upto) = at;
        let room = self.spans.len() < most;
        if !room && !self.spans.contains_key(&stream) {
            return false;
        }
        let fresh = || Span { due, upto, sources: Vec::new(), asked: None, tries: 0, filling };
        let span = self.spans.entry(stream).or_insert_with(fresh);
        span.due = span.due.min(due);
        span.upto = span.upto.max(upto);
        if !span.sources.contains(from) {
            span.sources.truncate(MOST_SOURCES - 1);
            span.sources.push(from.clone());
        }
        true
    }
}

impl Overlay {
    fn mine(&self, stream: StreamId) -> bool {
        stream == StreamId::new(stream.kind(), &self.me, self.life)
    }

    /// What a neighbour says that it has.
    pub(crate) fn claims(&mut self, now: Ms, from: &RouterId, named: &Vector, filling: bool) {
        let late = self.settings.late_ms;
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        // What a child has goes up and round before it comes here, and who is outside may have it long before the own way brings it: that
        // may take twice as long.
        let wait = match (filling, link.role, link.outside) {
            (true, _, _) => 0.0,
            (false, Role::Parent, false) | (false, Role::Peer, _) => late,
            (false, Role::Child, _) | (false, Role::Parent, true) => 2.0 * late,
        };
        for (stream, upto) in named {
            if self.streams.known(*stream) {
                link.has(*stream, *upto);
            }
        }
        for (stream, upto) in named {
            if *upto > self.streams.upto(*stream) {
                self.note(now + wait, from, *stream, *upto, filling);
            }
        }
    }

    fn note(&mut self, due: Ms, from: &RouterId, stream: StreamId, upto: u64, filling: bool) {
        if self.mine(stream) {
            return;
        }
        let most = self.settings.most_missing;
        if !self.missing.note((stream, upto), from, due, filling, most) {
            self.counters.missing_full += 1;
        }
    }

    /// Asks for what is due.
    pub(crate) fn ask(&mut self, now: Ms) {
        let mut asks = Vec::new();
        let (links, streams, settings) = (&self.links, &self.streams, &self.settings);
        self.missing.spans.retain(|stream, span| streams.upto(*stream) < span.upto);
        for (stream, span) in &mut self.missing.spans {
            if span.asked.as_ref().is_some_and(|(_, at)| now - at >= settings.fetch_ms) {
                span.asked = None;
                span.tries += 1;
                self.counters.fetched_again += 1;
            }
            span.sources.retain(|s| links.contains_key(s));
            if span.asked.is_some() || span.due > now || span.sources.is_empty() || asks.len() >= MOST_ASKS {
                continue;
            }
            let source = span.sources[span.tries % span.sources.len()].clone();
            span.asked = Some((source.clone(), now));
            let from = streams.upto(*stream) + 1;
            asks.push((source, Part::Fetch { stream: *stream, from, to: span.upto, filling: span.filling }));
        }
        for (source, part) in asks {
            let above = self.links.get(&source).is_some_and(|l| l.role == Role::Parent);
            if above && self.primary.as_ref().is_some_and(|p| *p != source) {
                self.strikes += 1;
            }
            if let Some(link) = self.links.get_mut(&source) {
                self.counters.fetches += u64::from(link.say(part));
            }
        }
        if self.strikes >= MOST_STRIKES {
            self.graft(now);
        }
    }

    /// The primary link stays behind: another takes its place, if there is one.
    fn graft(&mut self, now: Ms) {
        self.strikes = 0;
        let able = |l: &&crate::link::Link| l.role == Role::Parent && l.not_eager_until <= now;
        if self.links.values().filter(able).count() < 2 {
            return;
        }
        if let Some(link) = self.primary.as_ref().and_then(|p| self.links.get_mut(p)) {
            link.not_eager_until = now + self.settings.refused_ms;
            self.counters.grafts += 1;
        }
        self.choose_primary(now);
    }

    /// Words of a stream from a neighbour.
    pub(crate) fn take(
        &mut self,
        now: Ms,
        from: &RouterId,
        stream: StreamId,
        first: u64,
        words: Vec<Vec<u8>>,
        out: &mut Vec<Action>,
    ) {
        let (had, last) = (self.streams.upto(stream), first + words.len() as u64 - 1);
        self.counters.got += words.len() as u64;
        if self.mine(stream) {
            self.counters.again += words.len() as u64;
            return;
        }
        if !self.streams.known(stream) && self.streams.len() >= self.settings.most_streams {
            self.counters.streams_full += 1;
            return;
        }
        if let Some(link) = self.links.get_mut(from) {
            link.has(stream, last);
            self.counters.crossed += if link.outside { words.len() as u64 } else { 0 };
        }
        if first > had + 1 {
            self.counters.gaps += 1;
            self.note(now, from, stream, last, false);
            return;
        }
        let known = (had + 1 - first).min(words.len() as u64);
        self.counters.again += known;
        for word in words.into_iter().skip(known as usize) {
            self.accept(now, stream, word, out);
        }
        if self.streams.bytes > self.settings.most_log_bytes {
            let (keep, most) = (self.settings.keep_ms, self.settings.most_log_bytes);
            self.counters.log_full += self.streams.trim(now, keep, most);
        }
        let upto = self.streams.upto(stream);
        if upto > had {
            if self.primary.as_ref() == Some(from) {
                self.strikes = 0;
            }
            self.came(now, from, stream);
            self.changed(stream, had, upto, Some(from));
        }
    }

    /// The next span of what is being fetched may be asked for.
    fn came(&mut self, now: Ms, from: &RouterId, stream: StreamId) {
        if let Some(span) = self.missing.spans.get_mut(&stream) {
            if span.asked.as_ref().is_some_and(|(asked, _)| asked == from) {
                span.asked = None;
                span.due = now;
            }
        }
    }

    /// A neighbour gives no words of a stream before this one; the last that it doesn't give is as old as that, or older.
    pub(crate) fn gone(
        &mut self,
        now: Ms,
        from: &RouterId,
        (stream, first): (StreamId, u64),
        age: Ms,
        out: &mut Vec<Action>,
    ) {
        let had = self.streams.upto(stream);
        let span = self.missing.spans.get(&stream);
        let asked = span.filter(|s| s.asked.as_ref().is_some_and(|(asked, _)| asked == from));
        // Only who was asked is believed, and no further than what was asked for.
        let Some(upto) = asked.map(|s| s.upto.min(first - 1)) else {
            self.counters.stray += 1;
            return;
        };
        let room = self.streams.known(stream) || self.streams.len() < self.settings.most_streams;
        if upto <= had || !room {
            self.counters.streams_full += u64::from(!room);
            return;
        }
        self.streams.skip(now, stream, upto);
        // What had settled before this router started is nothing that it has missed.
        if self.started.is_some_and(|started| now - started < age.min(self.settings.keep_ms)) {
            self.counters.settled += 1;
        } else {
            self.counters.missed += 1;
            let origin = Origin { router: stream.router(), incarnation: stream.life() };
            out.push(Action::GapDetected { origin, kind: stream.kind(), from: had + 1, to: upto });
        }
        self.came(now, from, stream);
        self.changed(stream, had, upto, Some(from));
    }
}
