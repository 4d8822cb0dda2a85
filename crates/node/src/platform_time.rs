//! Unix times that the platform tells (purges, starts of servers, births of copies), mapped to the router's monotonic clock.
//!
//! The router's own wall clock may be wrong, at the start of the process too, so an age is never reckoned by it alone. What the platform
//! tells is a lower bound of the platform's present time: nothing is told before it happens. An age by the highest such bound is too
//! great by no more than the rounding (1 ms, which the module takes off), so a copy from before a purge is never asked for and a server that has just started is never taken for a warm one. The wall clock
//! only limits bounds that come from less trusted sources.

use basaltgw::api::Ms;
use std::collections::BTreeMap;

/// Offsets are rounded up to whole milliseconds, so that what was told by now maps to before now. By so much an age may be too great; the module
/// takes twice that off each age limit.
const ROUNDING_MS: Ms = 1.0;
/// Bounds that grow by less than this are not worth telling of: reckoned ages are short by no more.
const GROWTH_LEAST_MS: Ms = 5.0;

/// Unix times that seem to lie in the future and are remembered, the latest ones.
const MOST_AHEAD: usize = 256;

/// Unix time less monotonic time by something that happened at a Unix time before now.
fn offset_at(now: Ms, unix: Ms) -> Ms {
    (unix - now).floor() + ROUNDING_MS
}

/// The platform's time in terms of the monotonic clock. Offsets are in whole milliseconds, so that mapped times compare exactly.
#[derive(Clone, Debug)]
pub struct PlatformTime {
    /// Unix time less monotonic time, by the wall clock at the start of the process.
    wall: Ms,
    /// The same by what the platform told: a lower bound.
    offset: Option<Ms>,
    /// When the latest purge happened, in Unix time.
    latest_purge: Ms,
    /// Ages told before must not grow any more: the bound stays as it is.
    settled: bool,
    /// Unix times that seemed to lie in the future, and what they were mapped to.
    ahead: BTreeMap<u64, Ms>,
}

impl PlatformTime {
    /// Nothing was told yet; `now` is monotonic, `wall` Unix time at that moment.
    pub fn new(now: Ms, wall: Ms) -> Self {
        let (latest_purge, ahead) = (f64::NEG_INFINITY, BTreeMap::new());
        Self { wall: (wall - now).floor(), offset: None, latest_purge, settled: false, ahead }
    }

    /// Raises the bound; gives by how much ages reckoned before were too small.
    fn raise(&mut self, offset: Ms, least: Ms) -> Option<Ms> {
        let Some(before) = self.offset else {
            self.offset = Some(offset);
            return None;
        };
        let growth = offset - before;
        if self.settled || growth < least {
            return None;
        }
        self.offset = Some(offset);
        Some(growth)
    }

    /// A purge was told that happened at this Unix time. Purges come from the change log alone, whose times are trusted.
    pub fn observe_purge(&mut self, now: Ms, unix: Ms) -> Option<Ms> {
        self.raise(offset_at(now, unix), 1.0)
    }

    /// Something else happened at this Unix time: a server started, or a copy was given out. Not trusted beyond the wall clock.
    pub fn observe(&mut self, now: Ms, unix: Ms) -> Option<Ms> {
        self.raise(offset_at(now, unix).min(self.wall), GROWTH_LEAST_MS)
    }

    /// The monotonic time of what happened at a Unix time, as late as it may have been, so that the same
    /// Unix time is mapped alike at any time. What seems to lie in the future happened at an unknown time, and must not be moved with the
    /// others when the bound is raised.
    pub fn local(&mut self, now: Ms, unix: Ms) -> Ms {
        let Some(offset) = self.offset else { return now };
        let local = unix - offset;
        if local < now + ROUNDING_MS {
            return local;
        }
        self.settle();
        self.ahead(now, unix)
    }

    /// The monotonic time of what seems to lie in the future: a little after now, and the same whenever it is told again.
    fn ahead(&mut self, now: Ms, unix: Ms) -> Ms {
        let key = unix.max(0.0) as u64;
        if let Some(local) = self.ahead.get(&key) {
            return *local;
        }
        if self.ahead.len() >= MOST_AHEAD {
            self.ahead.pop_first();
        }
        let local = now + 2.0 * ROUNDING_MS;
        self.ahead.insert(key, local);
        local
    }

    /// The Unix time of a monotonic one.
    pub fn unix(&self, local: Ms) -> Ms {
        local + self.offset.unwrap_or(self.wall)
    }

    /// The Unix time of a monotonic one, no earlier than it was as far as anybody can tell.
    pub fn unix_at_most(&self, local: Ms) -> Ms {
        local + self.offset.map_or(self.wall, |offset| offset.max(self.wall))
    }

    /// How long ago something happened at a Unix time; never more than it was.
    pub fn age(&mut self, now: Ms, unix: Ms) -> Ms {
        (now - self.local(now, unix)).max(0.0)
    }

    /// The change log is known to have told of a purge at this Unix time.
    pub fn purge_known(&mut self, unix: Ms) {
        self.latest_purge = self.latest_purge.max(unix);
    }

    /// How long ago a purge happened that the change log has just told. One that is told out of order may come from a change log whose clock
    /// was set back, and counts as new.
    pub fn age_in_order(&mut self, now: Ms, unix: Ms) -> Ms {
        if unix < self.latest_purge {
            return 0.0;
        }
        self.latest_purge = unix;
        self.age(now, unix)
    }

    /// From now on no age that was told grows: something was told by the present time instead of a Unix time.
    pub fn settle(&mut self) {
        self.settled = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A Unix time of our days.
    const TODAY: Ms = 1_764_576_000_000.0;
    const HOUR: Ms = 3_600_000.0;

    #[test]
    fn age_is_never_more_than_the_truth_whatever_the_wall_clock_says() {
        for wall_error in [0.0, HOUR, -HOUR] {
            // The platform's time is TODAY + now.
            let mut time = PlatformTime::new(0.0, TODAY + wall_error);
            for (told, happened) in [(10.0, 0.0), (500.0, 490.0), (9_000.0, 2_000.0)] {
                time.observe_purge(told, TODAY + happened);
                let age = time.age_in_order(told, TODAY + happened);
                assert!((0.0..=told - happened + ROUNDING_MS).contains(&age), "{wall_error}: {age}");
            }
            // The last was told late: its age is known all the same, less the way of the quickest event.
            assert_eq!(time.age(9_000.0, TODAY + 2_000.0), 6_990.0 + ROUNDING_MS);
            assert_eq!(time.age_in_order(9_000.0, TODAY + 1_000.0), 0.0, "told out of order");
        }
    }

    #[test]
    fn other_times_raise_the_bound_no_further_than_the_wall_clock() {
        let mut time = PlatformTime::new(0.0, TODAY);
        time.observe_purge(0.0, TODAY - 60_000.0);
        assert_eq!(time.observe(100.0, TODAY + 90.0), Some(59_990.0));
        assert_eq!(time.observe(200.0, TODAY + HOUR), Some(9.0), "a copy from the future tells nothing more");
        assert_eq!(time.observe(300.0, TODAY - HOUR), None);
        time.settle();
        assert_eq!(time.observe_purge(300.0, TODAY + HOUR), None);
    }

    #[test]
    fn time_that_seems_to_lie_ahead_is_mapped_alike_whenever_it_is_told() {
        let mut time = PlatformTime::new(0.0, TODAY - HOUR);
        time.observe(10.0, TODAY);
        let local = time.local(10.0, TODAY);
        assert!((10.0..15.0).contains(&local), "{local}");
        assert_eq!(time.local(5_000.0, TODAY), local);
        assert_eq!(time.age(5_000.0, TODAY), 5_000.0 - local);
        assert!(time.local(6_000.0, TODAY + 500.0) > 6_000.0, "another");
    }

    #[test]
    fn mapped_times_stay_the_same_while_the_bound_does() {
        let mut time = PlatformTime::new(17.3, TODAY + 0.7);
        time.observe(20.9, TODAY);
        assert_eq!(time.local(30.0, TODAY - 500.0), time.local(90.0, TODAY - 500.0));
        let local = time.local(30.0, TODAY - 500.0);
        assert_eq!(time.unix(local), TODAY - 500.0);
    }

    proptest! {
        #[test]
        fn no_order_of_events_makes_an_age_too_great(
            wall_error in -HOUR..HOUR,
            events in proptest::collection::vec((0.0..60_000.0f64, 0.0..10_000.0f64, any::<bool>()), 1..30),
        ) {
            let mut events = events;
            events.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut time = PlatformTime::new(0.0, TODAY + wall_error);
            let mut told: Vec<(Ms, Ms)> = Vec::new();
            for (now, lag, purge) in events {
                let unix = (TODAY + now - lag).floor();
                let grown = if purge { time.observe_purge(now, unix) } else { time.observe(now, unix) };
                told.iter_mut().for_each(|(at, _)| *at -= grown.unwrap_or(0.0));
                told.push((time.local(now, unix), unix - TODAY));
                for (at, happened) in &told {
                    prop_assert!(*at >= *happened - ROUNDING_MS - 1e-3, "mapped to {at}, happened at {happened}");
                }
            }
        }
    }
}
