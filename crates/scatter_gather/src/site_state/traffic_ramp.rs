//! Decides which share of its parts a site receives after it was excluded: the share doubles with time, a bounded
//! number of times without another answer, and halves with each miss.

use crate::settings::Settings;
use basaltgw_types::Ms;

/// Maximum number of doublings of the share without another answer.
const MAX_UNCONFIRMED_DOUBLINGS: f64 = 2.0;

/// A site's share of its parts, 0 to 1; 0 while it is excluded and receives only probes.
#[derive(Clone, Debug)]
pub(crate) struct TrafficRamp {
    initial_share: f64,
    started_at: Ms,
    /// Time for one doubling, in milliseconds.
    step: Ms,
}

impl TrafficRamp {
    /// The full share, for a site that is new.
    pub fn full(now: Ms, settings: &Settings) -> Self {
        Self { initial_share: 1.0, started_at: now, step: settings.ramp_step_ms }
    }

    /// The share now.
    pub fn share(&self, now: Ms) -> f64 {
        let doublings = ((now - self.started_at) / self.step).clamp(0.0, MAX_UNCONFIRMED_DOUBLINGS);
        (self.initial_share * doublings.exp2()).min(1.0)
    }

    /// The share at the last restart.
    pub fn initial_share(&self) -> f64 {
        self.initial_share
    }

    /// Whether the site receives only probes.
    pub fn is_excluded(&self) -> bool {
        self.initial_share <= 0.0
    }

    /// Sets the share to 0.
    pub fn exclude(&mut self) {
        self.initial_share = 0.0;
    }

    /// Restarts from a share. `draw`, 0 to 1, lengthens the step, so that routers don't ramp in lockstep.
    pub fn restart(&mut self, now: Ms, share: f64, draw: f64, settings: &Settings) {
        self.initial_share = share;
        self.started_at = now;
        self.step = settings.ramp_step_ms * (1.0 + draw);
    }
}
