//! Events, actions and timers of the scatter-gather engine.

use super::{engine_purge, SubRequestKey};
use crate::fleet::purges;
use crate::owner::timers::TimerKind;
use crate::owner::Owner;
use basaltgw::api::{GroupId, Ms, ObjectId};
use basaltgw_scatter_gather::{Action, Event, GatherStrategy};

/// Timers count whole microseconds: a timer that is set this much later does not fire before its time.
const TIMER_RESOLUTION_MS: Ms = 0.001;

impl Owner {
    /// Hands the engine an event and performs its actions. Events that arise meanwhile are handled after it.
    pub(in crate::owner) fn dispatch_scatter_gather(&mut self, event: Event) {
        let Some(state) = &mut self.scatter_gather else { return };
        state.events.queue.push_back(event);
        if std::mem::replace(&mut state.events.is_dispatching, true) {
            return;
        }
        let now = self.time.now;
        while let Some(state) = &mut self.scatter_gather {
            let Some(event) = state.events.queue.pop_front() else {
                state.events.is_dispatching = false;
                return;
            };
            let mut actions = Vec::new();
            state.engine.handle(now, event, &mut actions);
            actions.into_iter().for_each(|action| self.perform_scatter_gather(action));
        }
    }

    fn perform_scatter_gather(&mut self, action: Action) {
        match action {
            // Versions and purges are checked when the part arrives: a request to a cache has no fields for them.
            Action::Fetch { gather, attempt, part, site, budget, kind: _, version: _, newer_than_ms: _ } => {
                let key = SubRequestKey { gather, attempt };
                self.start_sub_request(key, part, &site, budget.deadline);
            }
            Action::DropAttempt(gather, attempt) => self.drop_sub_request(SubRequestKey { gather, attempt }),
            Action::Answer(gather, verdict) => self.on_verdict(gather, verdict),
            Action::PublishEvidence(evidence) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.report_evidence(evidence);
                }
            }
            Action::SetTimer { at } => {
                if let Some(state) = &mut self.scatter_gather {
                    state.wakeup.requested_at = Some(at);
                }
                self.set_scatter_gather_timer();
            }
        }
    }

    /// Sets a timer for the time that the engine requested, unless an earlier one is set.
    fn set_scatter_gather_timer(&mut self) {
        let Some(state) = &mut self.scatter_gather else { return };
        let wakeup = &mut state.wakeup;
        let is_earlier = |at: &Ms| wakeup.timer_at.is_none_or(|timer_at| *at < timer_at);
        let Some(at) = wakeup.requested_at.filter(is_earlier) else { return };
        wakeup.timer_at = Some(at);
        self.schedule.timers.set(at + TIMER_RESOLUTION_MS, TimerKind::ScatterGather);
    }

    pub(in crate::owner) fn on_scatter_gather_timer(&mut self) {
        let now = self.time.now;
        let Some(state) = &mut self.scatter_gather else { return };
        let wakeup = &mut state.wakeup;
        wakeup.timer_at = wakeup.timer_at.filter(|at| *at > now);
        if wakeup.requested_at.is_some_and(|at| at <= now) {
            wakeup.requested_at = None;
            self.dispatch_scatter_gather(Event::Timer);
        }
        self.set_scatter_gather_timer();
    }

    /// Applies a purge, of the change log or replicated; `time` is in Unix milliseconds.
    pub(in crate::owner) fn purge_parts(&mut self, object: Option<ObjectId>, group: GroupId, time: Ms) {
        let Some(state) = &mut self.scatter_gather else { return };
        let purge = purges::from_change_log(group, object, time);
        if state.purges.observe(purge) {
            self.dispatch_scatter_gather(Event::Purge(engine_purge(purge)));
        }
    }

    /// Forgets the purges that have converged.
    pub(in crate::owner) fn expire_scatter_gather_purges(&mut self) {
        let now = self.time.platform.unix(self.time.now);
        if let Some(state) = &mut self.scatter_gather {
            state.purges.remove_converged(now, state.config.purge_convergence_time);
        }
    }

    /// The fleet's counters as `name=value` words.
    pub(in crate::owner) fn fleet_counters_text(&self) -> String {
        let mut text = self.fleet.as_ref().map(crate::fleet::Fleet::counters_text).unwrap_or_default();
        if let Some(state) = &self.scatter_gather {
            text.push_str(&state.counters.to_string());
        }
        text
    }
}
