//! The machine's wall clock is stepped while a router runs, or before its start: durations are not affected, and no copy from before a
//! purge is requested.

mod common;

use basaltgw_emulator::faults::{Fault, Faults};
use common::*;
use serde_json::json;
use tempfile::TempDir;

const HOUR_MS: i64 = 3_600_000;
/// The object that is purged.
const PURGED: u64 = 1;
/// The time after which a purge is in effect, 300 ms by the settings (`heed-within`), with an allowance for a slow machine.
const PURGE_DELAY: std::time::Duration = std::time::Duration::from_millis(400);

/// How old a requested copy may be.
struct CopyAge {
    /// The age limit that the router sent to the cache.
    limit_ms: u64,
    /// The time since the purge, by the true clock.
    purge_age_ms: u64,
}

impl CopyAge {
    fn assert_excludes_purged_copies(&self) {
        let Self { limit_ms, purge_age_ms } = self;
        assert!(
            limit_ms <= purge_age_ms,
            "copies of {limit_ms} ms are accepted, the purge was {purge_age_ms} ms ago"
        );
    }
}

/// A router under fault injection in front of three caches; copies of the first class are fresh for a minute.
struct ClockHarness {
    router: Process,
    faults: Faults,
    log: ChangeLog,
    caches: [Cache; 3],
    _dir: TempDir,
}

/// Starts a router on a machine whose wall clock is off by `step_ms`, with a change to its configuration.
fn start_router(step_ms: i64, change: impl FnOnce(&mut serde_json::Value)) -> ClockHarness {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&caches[0], &caches[1], &caches[2]), log.address);
    config["settings"]["family-info"]["lifetime-by-class"] = json!([60_000.0, 0.0]);
    change(&mut config);
    let dir = TempDir::new().expect("a temporary directory");
    let faults = Faults::new(&dir.path().join("faults")).expect("the fault injection library is available");
    faults.set(Fault::WallClock, step_ms).expect("the clock is stepped");
    let router = Process::start_with_faults(binary(), &config, &faults).expect("the router listens");
    ClockHarness { router, faults, log, caches, _dir: dir }
}

impl ClockHarness {
    /// Steps the wall clock.
    fn step(&self, step_ms: i64) {
        self.faults.set(Fault::WallClock, step_ms).expect("the clock is stepped");
    }

    /// Sends the purge of an object that happened `age_ms` ago, and waits until it is in effect.
    fn purge(&self, age_ms: u64) {
        let payload = [PURGED.to_be_bytes(), (unix_ms() - age_ms).to_be_bytes()].concat();
        self.log.publish(2, frame_kind::PURGE_OBJECT, &payload);
        self.router.wait_for_counter("purges", 1);
        std::thread::sleep(PURGE_DELAY);
    }

    /// Requests the purged object; returns the age limit that the cache was sent, and the age of the purge by the true clock.
    fn request_purged_object(&self, purged_at: u64) -> CopyAge {
        let mut client = self.router.client();
        client.send_request(1, "pages", PURGED, "", b"");
        assert_eq!(client.expect_answer().status, "200");
        let fetch = self.caches.iter().flat_map(Cache::fetches).next_back().expect("a cache got the request");
        let limit_ms =
            fetch.field("oldest").map_or(u64::MAX, |age| age.parse().expect("the age is a number"));
        CopyAge { limit_ms, purge_age_ms: fetch.received_ms - purged_at }
    }
}

fn run_purge_after_clock_step(step_ms: i64) {
    let harness = start_router(0, |_| {});
    harness.step(step_ms);
    let purged_at = unix_ms();
    harness.purge(0);
    let age = harness.request_purged_object(purged_at);
    age.assert_excludes_purged_copies();
    assert!(step_ms >= 0 || age.limit_ms > 1, "the purge ages although the wall clock was stepped back");
}

#[test]
fn purge_after_a_forward_clock_step_takes_effect() {
    run_purge_after_clock_step(HOUR_MS);
}

#[test]
fn purge_after_a_backward_clock_step_takes_effect() {
    run_purge_after_clock_step(-HOUR_MS);
}

#[test]
fn purge_before_a_forward_clock_step_stays_in_effect() {
    let harness = start_router(0, |_| {});
    let purged_at = unix_ms();
    harness.purge(0);
    harness.step(HOUR_MS);
    harness.request_purged_object(purged_at).assert_excludes_purged_copies();
}

#[test]
fn known_purge_takes_effect_in_a_process_started_after_a_clock_step() {
    for step_ms in [HOUR_MS, -HOUR_MS] {
        let purged_at = unix_ms();
        let harness = start_router(step_ms, |config| {
            config["known"]["seq"] = json!(2);
            let events = config["known"]["results"].as_array_mut().expect("the known events are a list");
            events.push(
                json!({"seq": 2, "invalidate": {"object": format!("{PURGED:016x}"), "time": purged_at}}),
            );
        });
        let CopyAge { limit_ms, purge_age_ms } = harness.request_purged_object(purged_at);
        assert!(
            limit_ms <= purge_age_ms,
            "step {step_ms}: copies of {limit_ms} ms are accepted, the purge was {purge_age_ms} ms ago"
        );
    }
}

#[test]
fn request_during_a_backward_clock_step_meets_its_deadline() {
    let harness = start_router(0, |_| {});
    harness.step(-HOUR_MS);
    let mut client = harness.router.client();
    for tag in 1..=5 {
        let start = std::time::Instant::now();
        client.send_request_with_deadline(1_000, tag, "pages", tag + 10, "", b"");
        assert_eq!(client.expect_answer().status, "200");
        assert!(start.elapsed() < WAIT_LIMIT);
    }
    harness.router.terminate();
    let mut router = harness.router;
    assert!(
        router.expect_exit().success(),
        "the router shuts down gracefully with the wall clock an hour back"
    );
}
