//! Retries and copies: whether a request may go out again, what is sent, and how old a copy may be.

use super::retry::RetryPolicy;
use super::Router;
use crate::api::*;
use crate::state::{Found, Health, Open, Try};

/// The chance that a request needs a fill before any was seen.
const FILL_UNTOLD: f64 = 0.5;
/// A purge is heeded for this much longer than it takes to settle: a slow fill that began before it may leave
/// an old copy behind after that. Harms nothing but memory: copies made since are let through.
const PURGE_EXTRA_MS: Ms = 60_000.0;
/// Taken off an age limit for rounding; and the least limit, since 0 stands for the class's fresh time.
const AGE_MARGIN_MS: Ms = 2.0;
const AGE_LEAST_MS: Ms = 1.0;

impl Router {
    /// Until when the class allows another attempt or a refusal: an unsafe request only if none may have run,
    /// a keyed one within its window if its group is all servers (narrower groups get none).
    pub(super) fn harmless_until(&self, open: &Open) -> Ms {
        RetryPolicy::of(&self.set.classes[open.class]).safe_until(open.may_run_since())
    }

    /// Sends a request to a server that may name a source, which may be held to what it holds.
    pub(super) fn send(&mut self, at: usize, to: (usize, Option<usize>, bool), acts: &mut Vec<Action>) {
        let (server, source, held_only) = to;
        let mean = self.mean_time(self.open[at].class);
        self.keys += 1;
        let (key, now) = (self.keys, self.now);
        self.book(at, server, source, key);
        let open = &self.open[at];
        let class = &self.set.classes[open.class];
        let begin_by = self.harmless_until(open) - self.margin();
        let max_age = self.max_age(open, source.is_none());
        let looked = open.tries.iter().all(|t| t.source.is_none());
        let (renew, join) = (class.fresh_for > 0.0, self.set.fill_joining && looked);
        let edge = self.servers[server].entry.role == Role::Edge;
        let fill = match source {
            Some(_) if matches!(open.found, Found::Nothing | Found::Beyond) => 1.0,
            Some(_) if open.found == Found::FillUnderWay => 0.0,
            None if edge => 0.0,
            _ if !edge => 1.0,
            _ => self.fills[open.class].get().unwrap_or(FILL_UNTOLD),
        };
        let s = &mut self.servers[server];
        if s.out == 0 {
            s.answered = now;
        }
        s.work += mean;
        for i in [Some(server), source].into_iter().flatten() {
            let s = &mut self.servers[i];
            s.out += 1;
            if let Health::Out(_) = s.health {
                s.health = Health::Trial(0);
            }
        }
        let open = &mut self.open[at];
        open.tries.push(Try::new((server, source), now, mean, key, fill, held_only));
        acts.push(Action::StartAttempt(AttemptSpec {
            request: open.req.id.clone(),
            server: self.servers[server].entry.id.clone(),
            timeout: open.end - now,
            start_before: begin_by,
            fill_source: self.servers[source.unwrap_or(server)].entry.id.clone(),
            rank: if edge { open.rank } else { Rank::None },
            max_age,
            join_fill: join,
            cached_only: held_only,
            revalidate: renew,
        }));
    }

    /// How long a purge is heeded.
    pub(super) fn purge_life(&self) -> Ms {
        self.set.purge_convergence_time.max(self.set.purge_grace) + PURGE_EXTRA_MS
    }

    /// The age limit: the class's fresh time, for a look its grace too, and while a purge may be unsettled no
    /// copy older than it.
    pub(super) fn max_age(&self, open: &Open, look: bool) -> Option<Ms> {
        let names = [(Some(open.req.object), None), (None, Some(open.req.group))];
        let purged =
            names.iter().filter_map(|n| self.purged.get(n)).copied().fold(f64::NEG_INFINITY, f64::max);
        let class = &self.set.classes[open.class];
        // An old copy earns less than a fresh one, and more than a refusal.
        let fresh = if look { class.fresh_for + class.stale_for } else { class.fresh_for };
        if self.now > purged + self.purge_life() {
            return Some(fresh).filter(|f| *f > class.fresh_for);
        }
        let age = (self.now - purged - AGE_MARGIN_MS).max(AGE_LEAST_MS);
        Some(if fresh > 0.0 { age.min(fresh) } else { age })
    }
}
