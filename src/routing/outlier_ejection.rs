//! Which servers are sent to: those that refuse connections or fall silent are out, and return by a trial.

use super::Router;
use crate::api::*;
use crate::state::{Health, Mark, Open, Try};

/// Weight of a success in a server's share of refused connections.
const SERVED_SHARE: f64 = 0.05;
/// Weight of a refused connection in it: it tells of the whole process, where an error tells of one
/// request.
const REFUSED_SHARE: f64 = 0.3;
/// A server whose share of refused connections is above this is taken out.
const REFUSED_LIMIT: f64 = 0.45;
/// An attempt is overdue after its class's mean delay, its sending time and so many mean deviations.
const OVERDUE_DEVIATIONS: f64 = 5.0;
/// Answers of a class before its delays tell anything.
const OVERDUE_SAMPLES: u32 = 20;
/// Evidence of a cache's silence in an overdue attempt (a source's: the chance of a fill); one is enough.
const SILENT_SHARE: f64 = 0.34;
/// No server is silent before this, so that short pauses pass.
const SILENT_LEAST_MS: Ms = 350.0;
/// A cache that answers after this, with so many still out, is taken for restarted.
const RESTART_GAP_MS: Ms = 1000.0;
const RESTART_OUT: usize = 4;
/// A server taken out gets its first trial after this, doubled with each failed trial up to the limit.
const OUT_MS: Ms = 1000.0;
const OUT_LIMIT_MS: Ms = 8000.0;
/// Served, beyond those that failed, that end a trial.
const TRIAL_WINS: u32 = 3;

impl Router {
    /// Holds an outcome against the server it speaks of: the source where the note names it, else the
    /// server.
    pub(super) fn judge(
        &mut self,
        server: usize,
        source: Option<usize>,
        o: &Outcome,
        acts: &mut Vec<Action>,
    ) {
        let now = self.now;
        if !matches!(o.result, AttemptResult::TimedOut | AttemptResult::Cancelled | AttemptResult::NotSent) {
            let s = &mut self.servers[server];
            if now - s.answered > RESTART_GAP_MS && s.out >= RESTART_OUT && s.entry.role == Role::Edge {
                // It may have restarted cold before the list tells; harms where it had only paused.
                s.started = Some(now);
            }
            (s.answered, s.mute) = (now, 0.0);
        }
        use FillReport::{FillLimitReached, Hit, Joined, NotReported, SourceFailed, Stale};
        let mute =
            matches!(o.fill_report, NotReported | Hit | Stale | Joined | FillLimitReached | SourceFailed);
        let heard = source.filter(|_| !mute).map(|i| &mut self.servers[i]);
        heard.into_iter().for_each(|s| (s.answered, s.mute) = (now, 0.0));
        match (o.fill_report, o.result) {
            (_, AttemptResult::Served) => {
                self.mark(server, Mark::Served, acts);
                if let (Some(i), FillReport::FilledBySource | FillReport::FilledByOrigin) =
                    (source, o.fill_report)
                {
                    self.mark(i, Mark::Served, acts);
                }
            }
            (FillReport::SourceFailed | FillReport::SourceRejected, _) => {
                source.into_iter().for_each(|i| self.mark(i, Mark::Failed, acts));
            }
            (FillReport::SourceMiss | FillReport::FillLimitReached | FillReport::OriginFailed, _) => {}
            // Only a trial minds: the request goes on at once, and a share of failures is no reason to
            // leave a cache that serves the rest.
            (_, AttemptResult::Error | AttemptResult::ConnectionLost) => {
                self.mark(server, Mark::Failed, acts)
            }
            (_, AttemptResult::NoConnection) => self.mark(server, Mark::Refused, acts),
            (
                _,
                AttemptResult::Rejected
                | AttemptResult::CacheMiss
                | AttemptResult::TimedOut
                | AttemptResult::Cancelled
                | AttemptResult::NotSent,
            ) => {}
        }
    }

    /// Moves a server's share of refused connections and takes it out, or brings it back by its trial.
    pub(super) fn mark(&mut self, i: usize, mark: Mark, acts: &mut Vec<Action>) {
        let s = &mut self.servers[i];
        match mark {
            Mark::Served => s.refused -= SERVED_SHARE * s.refused,
            Mark::Failed => {}
            Mark::Refused => s.refused += REFUSED_SHARE * (1.0 - s.refused),
        }
        let (bad, broke) = (mark != Mark::Served, mark == Mark::Refused);
        match s.health {
            Health::Good if s.refused > REFUSED_LIMIT => self.take_out(i, broke, "refuses connections", acts),
            Health::Trial(0) if bad => self.take_out(i, broke, "failed its trial", acts),
            Health::Trial(wins) if bad => s.health = Health::Trial(wins - 1),
            Health::Trial(wins) if wins + 1 >= TRIAL_WINS => {
                (s.health, s.strikes, s.refused) = (Health::Good, 0, 0.0);
                if s.vanished {
                    // It may have been replaced by a cold process that the list does not show yet.
                    s.started = Some(self.now);
                    s.vanished = false;
                }
                self.report(acts, format!("{} back after its trial", self.servers[i].entry.id.0));
            }
            Health::Trial(wins) => s.health = Health::Trial(wins + 1),
            Health::Good | Health::Out(_) => {}
        }
    }

    pub(super) fn take_out(&mut self, i: usize, vanished: bool, why: &str, acts: &mut Vec<Action>) {
        let s = &mut self.servers[i];
        let span = (OUT_MS * f64::from(1u32 << s.strikes.min(16))).min(OUT_LIMIT_MS);
        s.health = Health::Out(self.now + span);
        s.strikes += 1;
        s.vanished |= vanished;
        self.report(acts, format!("{} out for {span:.0} ms: {why}", self.servers[i].entry.id.0));
    }

    /// How long an attempt for a request takes at the outside, as delays go.
    pub(super) fn overdue_after(&self, open: &Open) -> Ms {
        let (mean, deviation) = self.delay[open.class];
        let usual =
            mean.after(OVERDUE_SAMPLES).map(|m| m + OVERDUE_DEVIATIONS * deviation.get().unwrap_or(m));
        usual.unwrap_or(self.set.classes[open.class].deadline) + self.own_time(&open.req).unwrap_or(0.0)
    }

    /// An overdue attempt is held, once in each such time, against the cache if that has answered nothing
    /// since, else against its source if that has not; so many in a row are silence, and what waits there is
    /// moved. A single one may be an answer that was lost. Harms where a pause passes for silence.
    pub(super) fn find_silent(&mut self, acts: &mut Vec<Action>) {
        let mut overdue = Vec::new();
        for open in self.open.values().filter(|o| !o.done) {
            let after = self.overdue_after(open);
            let late = open.tries.iter().enumerate().filter(|(_, t)| !t.over);
            let late = late.filter(|(_, t)| self.now - t.sent > after * f64::from(t.overdue + 1));
            overdue.extend(late.map(|(n, _)| (open.req.id.clone(), n)));
        }
        for (id, n) in overdue {
            let Some(at) = self.open.get_index_of(&id) else { continue };
            let t = &mut self.open[at].tries[n];
            t.overdue += 1;
            let mute = |i: &usize| self.servers[*i].answered <= t.sent;
            let (evidence, at_fault) = match t.source {
                _ if mute(&t.server) => (SILENT_SHARE, Some(t.server)),
                Some(source) if mute(&source) => (t.fill, Some(source)),
                _ => (0.0, None),
            };
            t.fault = at_fault;
            let Some(i) = at_fault else { continue };
            self.servers[i].mute += evidence;
            let s = &self.servers[i];
            let well = |p: &usize| *p != i && self.servers[*p].health == Health::Good;
            let alone = s.entry.role != Role::Edge && !self.up[s.entry.role as usize].iter().any(well);
            let sure = s.mute >= 1.0 || matches!(s.health, Health::Trial(_));
            let enough = sure && !alone && !matches!(s.health, Health::Out(_));
            if enough && self.now - s.answered >= SILENT_LEAST_MS {
                self.take_out(i, true, "silent", acts);
                self.move_off(i, acts);
            }
        }
    }

    /// Calls off what waits on a server; the request's next attempt passes it over.
    pub(super) fn move_off(&mut self, silent: usize, acts: &mut Vec<Action>) {
        let waits_on = |t: &Try| !t.over && (t.server == silent || t.source == Some(silent));
        let safe: Vec<bool> =
            self.set.classes.iter().map(|c| c.idempotency == Idempotency::Idempotent).collect();
        for t in self.open.values_mut().flat_map(|o| &mut o.tries).filter(|t| waits_on(t)) {
            t.fault = Some(silent);
        }
        self.each(|o| safe[o.class] && o.tries.iter().any(waits_on), acts, Self::cancel_all);
    }
}
