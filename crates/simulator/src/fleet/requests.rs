//! Requests at a node: lookups, misses, responses.

use super::*;
use crate::cold::ColdCount;
use crate::{micros, Ms};
use basaltgw::api::{AttemptResult, FillReport};
use basaltgw_hierarchy::{Admission, FillRequest, VisitedPath, WaiterId};
use rand::RngExt;
use std::cmp::Reverse;

impl Fleet {
    // ---- Asks ----

    pub(super) fn arrive(&mut self, no: u64) {
        let now = self.now;
        let Some(ask) = self.asks.get_mut(&no) else { return };
        ask.came = now;
        let (at, asker) = (ask.at, ask.asker);
        let weight = ask.kb / self.spec.net.pace_kb_per_ms;
        let n = &mut self.nodes[at.0];
        if !n.up {
            // A machine that has vanished says nothing; one whose process is gone refuses the connection.
            if !n.vanished {
                self.word(no, AttemptResult::NoConnection, FillReport::NotReported);
            } else if matches!(asker, Asker::Router(_)) {
                let silent = Reply {
                    end: AttemptResult::NoConnection,
                    note: FillReport::NotReported,
                    born: 0.0,
                    waited: 0.0,
                };
                self.send(no, silent, CONNECT_MS);
            }
            return;
        }
        if now < n.hung {
            return;
        }
        if n.cold.as_mut().is_some_and(|c| c.reached(now, weight)) {
            n.up = false;
            self.counts.fell += 1;
            self.out.push(Told::Fell(at));
            self.lost(at, true);
            return;
        }
        self.counts.cold_most = self.counts.cold_most.max(n.cold.as_ref().map_or(0.0, ColdCount::most));
        let through = n.side.visit(&self.asks[&no].trail);
        if at == ARCHIVE {
            return self.at_archive(no);
        }
        if through.is_err() {
            self.counts.loops_offered += 1;
            if self.heeds_trails {
                return self.word(no, AttemptResult::CacheMiss, FillReport::LoopDetected);
            }
            self.counts.loops_carried += 1;
            if self.asks[&no].hops > MOST_HOPS {
                return self.word(no, AttemptResult::Error, FillReport::SourceFailed);
            }
        }
        self.look(no);
    }

    pub(super) fn at_archive(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (key, group, kb) = (ask.key, ask.group, ask.kb);
        if let Some(effect) = ask.effect {
            self.out.push(Told::Effect(effect));
        } else if matches!(ask.asker, Asker::Node(..)) || ask.held_only {
            let purges = self.purges.get(&key.object).map_or(0, |p| p.0);
            let groups = self.group_purges.get(&group).map_or(0, |p| p.0);
            let since = ask.since;
            let last = self.given.insert((key, purges + groups), self.now);
            *self.counts.archive.entry((key, purges + groups)).or_insert(0) += 1;
            // What was given out before for this purge would still have done.
            if last.is_some_and(|at| at >= since) {
                let excused = self.killed.remove(&key);
                self.counts.again += u64::from(!excused);
                self.counts.again_after_kill += u64::from(excused);
            }
            self.counts.archive_kb += kb;
        }
        self.serve(no, self.now, FillReport::FilledByOrigin, 0.0);
    }

    /// Looks for a copy, and fills what is not held.
    pub(super) fn look(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, key, since, since_grace) = (ask.at, ask.key, ask.since, ask.since_grace);
        match self.nodes[at.0].store.get(key) {
            Some(copy) if copy.born >= since => self.serve(no, copy.born, FillReport::Hit, 0.0),
            Some(copy) if copy.born >= since_grace => {
                self.serve(no, copy.born, FillReport::Stale, 0.0);
                self.renew(no);
            }
            Some(_) | None => self.miss(no),
        }
    }

    /// Fetches anew behind what was just served.
    pub(super) fn renew(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, key) = (ask.at, ask.key);
        if ask.from.is_none() || self.nodes[at.0].shield.is_filling(key) || !self.has_place(at) {
            return;
        }
        let trail = VisitedPath::default();
        // Nobody waits for it.
        // A copy that is fresh will do, or every cache would have the archive asked.
        let since = ask.since;
        let me = self.nodes[at.0].info.id.clone();
        let (waiter, deadline) = (WaiterId(0), f64::INFINITY);
        let asks = FillRequest {
            me: &me,
            waiter,
            deadline,
            min_origin_time: since,
            path: &trail,
            cached_only: false,
        };
        let spec = self.fill_spec(no, since);
        if self.nodes[at.0].shield.request(self.now, key, asks, &self.set) == Admission::StartFill {
            let through = self.nodes[at.0].side.visit(&trail).unwrap_or_default();
            let from = self.asks[&no].from;
            self.fill(at, key, spec, (through, 1), Vec::new(), from);
        }
    }

    pub(super) fn has_place(&self, at: NodeIx) -> bool {
        let n = &self.nodes[at.0];
        n.fills.len() < n.info.machine.fills && self.now >= n.refuses
    }

    pub(super) fn miss(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, key, from, since) = (ask.at, ask.key, ask.from, ask.since);
        let of_router = matches!(ask.asker, Asker::Router(_));
        let held_only = !of_router && ask.held_only;
        let under_way = self.nodes[at.0].shield.is_filling(key);
        if of_router && from.is_none() && (self.nodes[at.0].info.tier == 3 || !(under_way && ask.join)) {
            let note = if under_way { FillReport::Joined } else { FillReport::NotReported };
            return self.word(no, AttemptResult::CacheMiss, note);
        }
        if !under_way && !held_only && !self.has_place(at) {
            let end = if of_router { AttemptResult::Error } else { AttemptResult::Rejected };
            return self.word(no, end, FillReport::FillLimitReached);
        }
        let me = self.nodes[at.0].info.id.clone();
        let asks = FillRequest {
            me: &me,
            waiter: WaiterId(no),
            deadline: ask.deadline,
            min_origin_time: since,
            path: &ask.trail,
            cached_only: held_only,
        };
        let asker = match ask.asker {
            Asker::Router(_) => None,
            Asker::Node(node, _) => Some(self.nodes[node.0].info.id.clone()),
        };
        let trail = ask.trail.clone();
        match self.nodes[at.0].shield.request(self.now, key, asks, &self.set) {
            Admission::StartFill => {
                let through = self.nodes[at.0].side.visit(&trail).unwrap_or(trail);
                let (spec, hops) = (self.fill_spec(no, since), self.asks[&no].hops + 1);
                self.fill(at, key, spec, (through, hops), Vec::new(), from);
            }
            Admission::Joined => {
                if let Some(ask) = self.asks.get_mut(&no) {
                    ask.joined = true;
                }
            }
            Admission::Miss if held_only => {
                asker.into_iter().for_each(|to| self.nodes[at.0].side.record_handover(key.object, &to));
                self.word(no, AttemptResult::CacheMiss, FillReport::SourceMiss);
            }
            Admission::Miss => {
                self.counts.loops_offered += 1;
                self.word(no, AttemptResult::CacheMiss, FillReport::LoopDetected);
            }
            Admission::LimitReached => self.word(no, AttemptResult::Rejected, FillReport::FillLimitReached),
            Admission::FailedRecently => self.word(no, AttemptResult::Error, FillReport::OriginFailed),
        }
    }

    // ---- Answers ----

    /// An answer without a body.
    pub(super) fn word(&mut self, no: u64, end: AttemptResult, note: FillReport) {
        self.send(no, Reply { end, note, born: 0.0, waited: 0.0 }, WORD_MS);
    }

    /// Sends a copy, in a slot and over the asker's link.
    pub(super) fn serve(&mut self, no: u64, born: Ms, note: FillReport, waited: Ms) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, kb, now) = (ask.at, ask.kb, self.now);
        let link = match ask.asker {
            Asker::Node(node, _) => Some(self.nodes[node.0].info.zone).filter(|z| *z > 0),
            Asker::Router(_) => None,
        };
        let n = &mut self.nodes[at.0];
        let slow = if now < n.slow.1 { n.slow.0 } else { 1.0 };
        let speed = n.cold.as_ref().map_or(1.0, |c| c.share(now));
        let takes = kb / self.spec.net.pace_kb_per_ms * slow / speed;
        let Some(Reverse(free)) = n.free.pop() else { return };
        let start = now.max(free as f64 / 1000.0);
        if start - now > n.info.machine.queue_ms {
            n.free.push(Reverse(free));
            return self.word(no, AttemptResult::Rejected, FillReport::NotReported);
        }
        let mut end = start + takes;
        n.free.push(Reverse(micros(end)));
        let loses = if now < n.loses.1 { n.loses.0 } else { 0.0 };
        if let Some(zone) = link {
            let done = self.links[zone].max(start) + kb / self.spec.net.link_kb_per_ms;
            self.links[zone] = done;
            end = end.max(done);
        } else {
            self.counts.edge_kb += kb;
        }
        if loses > 0.0 && self.rng.random::<f64>() < loses {
            return;
        }
        self.send(no, Reply { end: AttemptResult::Served, note, born, waited }, end - now);
    }

    pub(super) fn send(&mut self, no: u64, reply: Reply, after: Ms) {
        let Some(ask) = self.asks.get_mut(&no) else { return };
        ask.token += 1;
        let (token, at, asker) = (ask.token, ask.at, ask.asker);
        let from = self.nodes[at.0].info.zone;
        let to = match asker {
            Asker::Router(_) => from,
            Asker::Node(node, _) => self.nodes[node.0].info.zone,
        };
        let way = self.way(from, to);
        self.at(self.now + after + way, Ev::Reply(no, token, reply));
    }

    pub(super) fn reply(&mut self, no: u64, token: u64, reply: Reply) {
        if self.asks.get(&no).is_none_or(|a| a.token != token) {
            return;
        }
        // What hangs says nothing now, and what it had to say comes no more.
        let at = self.asks[&no].at;
        if self.now < self.nodes[at.0].hung {
            return;
        }
        let Some(ask) = self.asks.swap_remove(&no) else { return };
        match ask.asker {
            Asker::Router(id) => {
                self.by_id.remove(&id);
                self.out.push(Told::Answer(id, reply));
            }
            Asker::Node(node, key) => self.filled(node, key, no, ask.held_only, reply),
        }
    }
}
