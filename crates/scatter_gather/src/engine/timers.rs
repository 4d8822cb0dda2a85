//! Runs due evaluations and probe timeouts, and names the time of the next one.

use super::{timer_key, Gathers};
use crate::api::{Action, GatherNo};
use crate::site_table::{AttemptSignal, SignalSource};
use basaltgw_types::Ms;

impl Gathers {
    /// Sets the time of a request's next evaluation, replacing the one set before.
    pub(super) fn schedule_evaluation(&mut self, no: GatherNo, at: Ms) {
        if let Some(request) = self.pending.get_mut(&no) {
            self.evaluation_timers.remove(&(timer_key(request.next_evaluation), no));
            request.next_evaluation = at;
            self.evaluation_timers.insert((timer_key(at), no));
        }
    }

    /// Drops probes that have timed out, then evaluates the requests that are due.
    pub(super) fn run_timers(&mut self, acts: &mut Vec<Action>) {
        let now = timer_key(self.now);
        self.expire_probes(now, acts);
        // One evaluation each: it either schedules the next one later or ends the request.
        let due = self.evaluation_timers.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<GatherNo> = due.map(|(_, no)| *no).collect();
        for no in due {
            self.evaluate(no, acts);
        }
    }

    fn expire_probes(&mut self, now: u64, acts: &mut Vec<Action>) {
        while let Some((at, no, attempt)) = self.probe_timers.first().copied().filter(|timer| timer.0 <= now)
        {
            self.probe_timers.remove(&(at, no, attempt));
            let Some(probe) = self.probes.remove(&(no, attempt)) else { continue };
            self.counters.given_up += 1;
            if let Some(request) = self.pending.get_mut(&no) {
                request.attempts.remove(&attempt);
            }
            acts.push(Action::Drop(no, attempt));
            let signal = AttemptSignal::Silent(self.now - probe.sent_at);
            self.record_signal(&probe.site, signal, SignalSource::Probe, acts);
        }
    }

    /// Requests a timer for the earliest deadline, unless that one is set already.
    pub(super) fn set_timer(&mut self, acts: &mut Vec<Action>) {
        let probe = self.probe_timers.first().map(|timer| timer.0);
        let evaluation = self.evaluation_timers.first().map(|timer| timer.0);
        let Some(next) = probe.into_iter().chain(evaluation).min().map(f64::from_bits) else { return };
        if self.timer != Some(next) {
            self.timer = Some(next);
            acts.push(Action::Timer(next));
        }
    }
}
