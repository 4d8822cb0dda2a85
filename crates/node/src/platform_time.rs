//! Maps Unix times of the platform (purges, starts of servers, origin times of copies) to the router's monotonic clock.
//!
//! The router's wall clock may be wrong, so no age is computed from it alone. A Unix time received from the platform is a lower bound of
//! the platform's current time, since no event is notified before it happens. An age computed from the highest such bound exceeds the true
//! age by at most the rounding (1 ms, which the decision module subtracts). So a copy from before a purge is never accepted, and a server
//! that has just started never counts as warm. The wall clock only limits bounds from less trusted sources.

use basaltgw::api::Ms;
use std::collections::BTreeMap;

/// Offsets are rounded up to whole milliseconds, so that the time of an event received up to now maps to a time before now. An age may be
/// too great by this; the decision module subtracts twice as much from each age limit.
const ROUNDING_MS: Ms = 1.0;
/// Smaller increases of the bound are ignored; computed ages are too small by less than this.
const MIN_INCREASE_MS: Ms = 5.0;

/// The most Unix times that seem to be in the future and are stored; the latest ones are kept.
const MAX_FUTURE_TIMES: usize = 256;

/// The lower bound on Unix time minus monotonic time that follows from an event that happened at a Unix time before now.
fn offset_at(now: Ms, unix: Ms) -> Ms {
    (unix - now).floor() + ROUNDING_MS
}

/// The platform's time relative to the monotonic clock. Offsets are whole milliseconds, so that mapped times compare exactly.
#[derive(Clone, Debug)]
pub struct PlatformTime {
    /// Unix time minus monotonic time, by the wall clock at the start of the process.
    wall_offset: Ms,
    /// The lower bound on Unix time minus monotonic time from the platform's times; `None` before the first of them.
    offset: Option<Ms>,
    /// The Unix time of the latest purge.
    latest_purge: Ms,
    /// Whether the bound is fixed, since ages that were reported must not grow.
    settled: bool,
    /// Unix times that seemed to be in the future, with the monotonic times to which they were mapped.
    future_times: BTreeMap<u64, Ms>,
}

impl PlatformTime {
    /// Without any time of the platform yet; `now` is the monotonic time, `wall` the wall clock's Unix time at that moment.
    pub fn new(now: Ms, wall: Ms) -> Self {
        Self {
            wall_offset: (wall - now).floor(),
            offset: None,
            latest_purge: f64::NEG_INFINITY,
            settled: false,
            future_times: BTreeMap::new(),
        }
    }

    /// Raises the bound if the increase is at least `min_increase`; returns by how much ages computed before were too small.
    fn raise(&mut self, offset: Ms, min_increase: Ms) -> Option<Ms> {
        let Some(before) = self.offset else {
            self.offset = Some(offset);
            return None;
        };
        let increase = offset - before;
        if self.settled || increase < min_increase {
            return None;
        }
        self.offset = Some(offset);
        Some(increase)
    }

    /// Observes a purge at this Unix time. Purges come from the change log alone, whose times are trusted. If this raises the bound,
    /// returns by how many milliseconds ages computed before were too small.
    pub fn observe_purge(&mut self, now: Ms, unix: Ms) -> Option<Ms> {
        self.raise(offset_at(now, unix), 1.0)
    }

    /// Observes another event at this Unix time, such as the start of a server; its time is not trusted beyond the wall clock. The result
    /// is that of [`Self::observe_purge`].
    pub fn observe(&mut self, now: Ms, unix: Ms) -> Option<Ms> {
        self.raise(offset_at(now, unix).min(self.wall_offset), MIN_INCREASE_MS)
    }

    /// The latest monotonic time that an event at a Unix time can have had. While the bound is not raised, the same Unix time maps to the
    /// same result. An event that seems to be in the future happened at an unknown time, and its result must not change when the bound is
    /// raised.
    pub fn local(&mut self, now: Ms, unix: Ms) -> Ms {
        let Some(offset) = self.offset else { return now };
        let local = unix - offset;
        if local < now + ROUNDING_MS {
            return local;
        }
        self.settle();
        self.map_future(now, unix)
    }

    /// The monotonic time of an event that seems to be in the future: slightly after now, and the same when it is mapped again.
    fn map_future(&mut self, now: Ms, unix: Ms) -> Ms {
        let key = unix.max(0.0) as u64;
        if let Some(local) = self.future_times.get(&key) {
            return *local;
        }
        if self.future_times.len() >= MAX_FUTURE_TIMES {
            self.future_times.pop_first();
        }
        let local = now + 2.0 * ROUNDING_MS;
        self.future_times.insert(key, local);
        local
    }

    /// The Unix time of a monotonic time.
    pub fn unix(&self, local: Ms) -> Ms {
        local + self.offset.unwrap_or(self.wall_offset)
    }

    /// The latest Unix time to which a monotonic time can correspond, by the bound and the wall clock.
    pub fn unix_at_most(&self, local: Ms) -> Ms {
        local + self.offset.map_or(self.wall_offset, |offset| offset.max(self.wall_offset))
    }

    /// The age of an event at a Unix time, in milliseconds; never more than the true age plus the rounding.
    pub fn age(&mut self, now: Ms, unix: Ms) -> Ms {
        (now - self.local(now, unix)).max(0.0)
    }

    /// Records a purge at this Unix time that was known before the change log is followed.
    pub fn record_known_purge(&mut self, unix: Ms) {
        self.latest_purge = self.latest_purge.max(unix);
    }

    /// The age of a purge that the change log has just sent, in milliseconds; 0 if its time is before that of an earlier purge, since the
    /// change log's clock may have been set back.
    pub fn age_of_next_purge(&mut self, now: Ms, unix: Ms) -> Ms {
        if unix < self.latest_purge {
            return 0.0;
        }
        self.latest_purge = unix;
        self.age(now, unix)
    }

    /// Fixes the bound, since an event was mapped to the current time instead of its Unix time and its age must not grow.
    pub fn settle(&mut self) {
        self.settled = true;
    }
}

#[cfg(test)]
mod tests;
