//! The simulated sites: their capacity, processing times and queues, and the fault of one of them.

use super::load::RandomSequence;
use super::{Fault, Setup};
use crate::api::{AttemptNo, GatherNo};
use basaltgw_structures::hash::mix;
use basaltgw_types::Ms;
use std::collections::VecDeque;

/// Index of the site with the injected fault.
pub const FAULTY_SITE: usize = 0;
/// Median of a site's processing time in milliseconds; the time is log-normal.
const SERVICE_MEDIAN_MS: Ms = 25.0;
/// Deviation of the logarithm of a site's processing time.
const SERVICE_DEVIATION: f64 = 0.6;
/// A request's parts, on average.
const MEAN_PARTS: f64 = 5.5;
/// A site's capacity relative to its mean load.
const CAPACITY_FACTOR: f64 = 2.0;
/// A site's queue limit relative to its capacity; attempts beyond it are rejected.
const QUEUE_FACTOR: f64 = 4.0;
/// Factor on the processing time of a slow site.
const SLOW_FACTOR: f64 = 10.0;
/// Share of its capacity that a site in warm-up has at first.
const WARMUP_CAPACITY_SHARE: f64 = 0.1;
/// Factor on the processing time of a site in warm-up, at first.
const WARMUP_TIME_FACTOR: f64 = 3.0;
/// Duration of a site's warm-up, in milliseconds.
const WARMUP_MS: Ms = 6_000.0;
/// Shortest phase of silence or answers of a flapping site, in milliseconds.
const MIN_FLAPPING_PHASE_MS: Ms = 300.0;
/// Range of the phases of a flapping site above the shortest one, in milliseconds.
const FLAPPING_PHASE_RANGE_MS: Ms = 1_200.0;

/// An attempt of one of the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Index of the router.
    pub router: usize,
    pub gather: GatherNo,
    pub attempt: AttemptNo,
}

/// An attempt that waits for a site.
#[derive(Debug)]
pub struct QueuedAttempt {
    pub key: AttemptKey,
    pub arrived_at: Ms,
}

/// A site's attempts in service and in its queue.
#[derive(Debug, Default)]
pub struct SimulatedSite {
    /// Attempts in service.
    pub busy: usize,
    pub queue: VecDeque<QueuedAttempt>,
}

/// How fast a site serves attempts.
pub struct ServiceRate {
    /// Attempts that are served at once.
    pub capacity: usize,
    /// Factor on the processing time.
    pub time_factor: f64,
}

/// How the sites of a run behave over time.
pub struct SiteModel<'a> {
    setup: &'a Setup,
    /// Attempts that a site without a fault serves at once.
    capacity: usize,
    /// Times at which a flapping site falls silent or answers again, in turn.
    flapping_times: Vec<Ms>,
}

impl<'a> SiteModel<'a> {
    pub fn new(setup: &'a Setup) -> Self {
        let mean = SERVICE_MEDIAN_MS * (SERVICE_DEVIATION * SERVICE_DEVIATION / 2.0).exp();
        let mean_load = setup.routers as f64 * setup.requests_per_second * MEAN_PARTS / setup.sites as f64
            * mean
            / 1_000.0;
        let (begin, end) = setup.fault_window();
        let (mut draws, mut flapping_times) = (RandomSequence::new(setup.seed, 4, 0), vec![begin]);
        while let Some(last) = flapping_times.last().copied().filter(|last| *last < end) {
            flapping_times.push(last + MIN_FLAPPING_PHASE_MS + FLAPPING_PHASE_RANGE_MS * draws.next());
        }
        let capacity = (mean_load * CAPACITY_FACTOR).ceil().max(2.0) as usize;
        Self { setup, capacity, flapping_times }
    }

    pub fn is_during_fault(&self, at: Ms) -> bool {
        let (begin, end) = self.setup.fault_window();
        self.setup.fault != Fault::Calm && (begin..end).contains(&at)
    }

    /// Whether a site does not answer at this time.
    pub fn is_silent(&self, site: usize, now: Ms) -> bool {
        let flapping_phase = self.flapping_times.iter().filter(|time| **time <= now).count();
        site == FAULTY_SITE
            && self.is_during_fault(now)
            && match self.setup.fault {
                Fault::Lost => true,
                Fault::Flapping => flapping_phase % 2 == 1,
                Fault::Calm | Fault::Slow | Fault::Cold => false,
            }
    }

    pub fn service_rate(&self, site: usize, now: Ms) -> ServiceRate {
        let warmup_progress = (now - self.setup.fault_window().0) / WARMUP_MS;
        match self.setup.fault {
            Fault::Slow if site == FAULTY_SITE && self.is_during_fault(now) => {
                ServiceRate { capacity: self.capacity, time_factor: SLOW_FACTOR }
            }
            Fault::Cold if site == FAULTY_SITE && (0.0..1.0).contains(&warmup_progress) => {
                let share = WARMUP_CAPACITY_SHARE + (1.0 - WARMUP_CAPACITY_SHARE) * warmup_progress;
                ServiceRate {
                    capacity: (self.capacity as f64 * share).ceil() as usize,
                    time_factor: WARMUP_TIME_FACTOR + (1.0 - WARMUP_TIME_FACTOR) * warmup_progress,
                }
            }
            _ => ServiceRate { capacity: self.capacity, time_factor: 1.0 },
        }
    }

    /// Whether a site rejects further attempts.
    pub fn is_full(&self, site: &SimulatedSite) -> bool {
        site.queue.len() as f64 >= self.capacity as f64 * QUEUE_FACTOR
    }

    /// The processing time of an attempt, in milliseconds. The draws depend on the request and the site alone, so that
    /// they are the same for each strategy.
    pub fn processing_time(&self, site: usize, key: &AttemptKey, rate: &ServiceRate) -> Ms {
        let request = mix(key.router as u64, key.gather.0);
        let mut draws = RandomSequence::new(self.setup.seed, 6 + site as u64, request);
        draws.log_normal(SERVICE_MEDIAN_MS, SERVICE_DEVIATION) * rate.time_factor
    }
}
