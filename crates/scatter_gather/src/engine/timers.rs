//! Runs due evaluations and probe timeouts, and names the time of the next one.

use super::{timer_key, GatherEngine};
use crate::api::{Action, GatherNo};
use crate::site_table::{AttemptSignal, SignalSource};
use basaltgw_types::Ms;

impl GatherEngine {
    /// Sets the time of a request's next evaluation, replacing the one set before.
    pub(super) fn schedule_evaluation(&mut self, gather: GatherNo, at: Ms) {
        if let Some(request) = self.pending.get_mut(&gather) {
            self.evaluation_timers.remove(&(timer_key(request.next_evaluation), gather));
            request.next_evaluation = at;
            self.evaluation_timers.insert((timer_key(at), gather));
        }
    }

    /// Drops probes that have timed out, then evaluates the requests that are due.
    pub(super) fn run_timers(&mut self, actions: &mut Vec<Action>) {
        let now = timer_key(self.now);
        self.expire_probes(now, actions);
        // Each request is evaluated once: the evaluation either schedules a later one or ends the request.
        let due = self.evaluation_timers.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<GatherNo> = due.map(|(_, gather)| *gather).collect();
        for gather in due {
            self.evaluate(gather, actions);
        }
    }

    fn expire_probes(&mut self, now: u64, actions: &mut Vec<Action>) {
        while let Some((at, gather, attempt)) =
            self.probe_timers.first().copied().filter(|timer| timer.0 <= now)
        {
            self.probe_timers.remove(&(at, gather, attempt));
            let Some(probe) = self.probes.remove(&(gather, attempt)) else { continue };
            self.counters.cancelled_attempts += 1;
            if let Some(request) = self.pending.get_mut(&gather) {
                request.attempts.remove(&attempt);
            }
            actions.push(Action::DropAttempt(gather, attempt));
            let signal = AttemptSignal::Silent { elapsed: self.now - probe.sent_at };
            self.record_signal(&probe.site, signal, SignalSource::Probe, actions);
        }
    }

    /// Requests a timer for the earliest deadline, unless that one is set already.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let probe = self.probe_timers.first().map(|timer| timer.0);
        let evaluation = self.evaluation_timers.first().map(|timer| timer.0);
        let Some(next) = probe.into_iter().chain(evaluation).min().map(f64::from_bits) else { return };
        if self.timer != Some(next) {
            self.timer = Some(next);
            actions.push(Action::SetTimer { at: next });
        }
    }
}
