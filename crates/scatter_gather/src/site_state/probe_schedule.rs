//! Decides when an excluded site is probed: with exponential backoff, and with a minimum interval for the whole fleet.

use crate::settings::Settings;
use basaltgw_types::Ms;

/// Maximum number of probes of a site in flight, above 1 so that a lost probe does not delay the next one.
const MAX_PROBES_IN_FLIGHT: u32 = 4;
/// The backoff grows by this factor with each probe, until one is answered.
const BACKOFF_FACTOR: f64 = 2.0;

/// The time between two probes of a site by one router, in milliseconds; it grows with the fleet.
pub(crate) fn fleet_probe_interval(settings: &Settings, routers: usize) -> Ms {
    settings.initial_probe_interval_ms.max(settings.fleet_probe_interval_ms * routers as f64)
}

/// When a site may be probed next.
#[derive(Clone, Debug)]
pub(crate) struct ProbeSchedule {
    next: Ms,
    backoff: Ms,
    in_flight: u32,
}

impl ProbeSchedule {
    pub fn new(now: Ms, settings: &Settings) -> Self {
        Self { next: now, backoff: settings.initial_probe_interval_ms, in_flight: 0 }
    }

    /// Whether a probe may be sent now.
    pub fn is_due(&self, now: Ms) -> bool {
        now >= self.next && self.in_flight < MAX_PROBES_IN_FLIGHT
    }

    /// The time left until the next probe, in milliseconds.
    pub fn time_left(&self, now: Ms) -> Ms {
        (self.next - now).max(0.0)
    }

    /// Records a probe that is sent. `jitter` is 0 to 1.
    pub fn sent(&mut self, now: Ms, settings: &Settings, routers: usize, jitter: f64) {
        self.in_flight += 1;
        self.next = now + self.backoff.max(fleet_probe_interval(settings, routers)) * (0.5 + jitter);
        self.backoff = (self.backoff * BACKOFF_FACTOR).min(settings.max_probe_interval_ms);
    }

    /// Records that a probe has ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Resets the backoff after an answer.
    pub fn reset_backoff(&mut self, settings: &Settings) {
        self.backoff = settings.initial_probe_interval_ms;
    }

    /// Starts over when the site is excluded. `jitter` is 0 to 1.
    pub fn restart(&mut self, now: Ms, settings: &Settings, routers: usize, jitter: f64) {
        self.backoff = settings.initial_probe_interval_ms;
        self.next = now + fleet_probe_interval(settings, routers) * (0.5 + jitter);
    }

    /// Advances the next probe to this time, unless it is due earlier.
    pub fn advance_to(&mut self, at: Ms) {
        self.next = self.next.min(at);
    }
}
