//! The machine's wall clock is stepped under a running router, or before its start: spans stay spans, and no copy from before a purge is
//! asked for.

mod common;

use basaltgw_emulator::faults::{Fault, Faults};
use common::*;
use serde_json::json;
use tempfile::TempDir;

const HOUR_MS: i64 = 3_600_000;
/// The object that is purged.
const PURGED: u64 = 1;
/// The kind of a change log's frame that tells the purge of an object.
const PURGE_OF_OBJECT: u8 = 3;
/// What a purge is given to be heeded, and the machine to be slow.
const HEEDED_AFTER: std::time::Duration = std::time::Duration::from_millis(400);

/// A router under fault injection before three caches, with a copy's fresh time of a minute.
struct Rig {
    router: Process,
    faults: Faults,
    log: ChangeLog,
    caches: [Cache; 3],
    _dir: TempDir,
}

fn rig(step_ms: i64, known: impl FnOnce(&mut serde_json::Value)) -> Rig {
    let caches = [(); 3].map(|()| Cache::with_all_objects());
    let log = ChangeLog::start();
    let mut config = configuration(&edge_parent_origin(&caches[0], &caches[1], &caches[2]), log.address);
    config["settings"]["family-info"]["lifetime-by-class"] = json!([60_000.0, 0.0]);
    known(&mut config);
    let dir = TempDir::new().expect("a folder");
    let faults = Faults::new(&dir.path().join("faults")).expect("the fault injection library");
    faults.set(Fault::WallClock, step_ms).expect("a step");
    let router = Process::start_with_faults(binary(), &config, &faults).expect("a router that listens");
    Rig { router, faults, log, caches, _dir: dir }
}

impl Rig {
    fn step(&self, step_ms: i64) {
        self.faults.set(Fault::WallClock, step_ms).expect("a step");
    }

    /// Tells a purge that happened so long ago.
    fn purge(&self, age_ms: u64) {
        let payload = [PURGED.to_be_bytes(), (unix_ms() - age_ms).to_be_bytes()].concat();
        self.log.publish(2, PURGE_OF_OBJECT, &payload);
        self.router.wait_for_counter("purges", 1);
        std::thread::sleep(HEEDED_AFTER);
    }

    /// The oldest copy that is asked for, in milliseconds, and the time that the purge lies back by the true clock.
    fn oldest(&self, purged_at: u64) -> (u64, u64) {
        let mut client = self.router.client();
        client.send_request(1, "pages", PURGED, "", b"");
        assert_eq!(client.expect_answer().status, "200");
        let fetch = self.caches.iter().flat_map(Cache::fetches).next_back().expect("a fetch");
        let oldest = fetch.field("oldest").map_or(u64::MAX, |o| o.parse().expect("a number"));
        (oldest, fetch.received_ms - purged_at)
    }
}

fn run_purge_after_clock_step(step_ms: i64) {
    let rig = rig(0, |_| {});
    rig.step(step_ms);
    let purged_at = unix_ms();
    rig.purge(0);
    let (oldest, passed) = rig.oldest(purged_at);
    assert!(oldest <= passed, "copies of {oldest} ms are asked for, the purge was {passed} ms ago");
    assert!(step_ms >= 0 || oldest > 1, "time goes on after a step back");
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
    let rig = rig(0, |_| {});
    let purged_at = unix_ms();
    rig.purge(0);
    rig.step(HOUR_MS);
    let (oldest, passed) = rig.oldest(purged_at);
    assert!(oldest <= passed, "copies of {oldest} ms are asked for, the purge was {passed} ms ago");
}

#[test]
fn known_purge_takes_effect_in_a_process_started_after_a_clock_step() {
    for step_ms in [HOUR_MS, -HOUR_MS] {
        let purged_at = unix_ms();
        let rig = rig(step_ms, |config| {
            config["known"]["seq"] = json!(2);
            let events = config["known"]["results"].as_array_mut().expect("events");
            events.push(
                json!({"seq": 2, "invalidate": {"object": format!("{PURGED:016x}"), "time": purged_at}}),
            );
        });
        let (oldest, passed) = rig.oldest(purged_at);
        assert!(oldest <= passed, "step {step_ms}: copies of {oldest} ms, the purge was {passed} ms ago");
    }
}

#[test]
fn request_during_a_backward_clock_step_meets_its_deadline() {
    let rig = rig(0, |_| {});
    rig.step(-HOUR_MS);
    let mut client = rig.router.client();
    for tag in 1..=5 {
        let asked = std::time::Instant::now();
        client.send_request_with_deadline(1_000, tag, "pages", tag + 10, "", b"");
        assert_eq!(client.expect_answer().status, "200");
        assert!(asked.elapsed() < WAIT_LIMIT);
    }
    rig.router.terminate();
    let mut router = rig.router;
    assert!(router.expect_exit().success(), "it ends in order, though the wall clock stood an hour back");
}
