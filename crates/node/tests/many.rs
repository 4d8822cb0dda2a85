//! Measurements of many routers without relays between them: the figures are complete, and every started process is ended.

mod common;

use basaltgw_emulator::process::Process;
use basaltgw_emulator::rig::fleet_cost::{measure_fleet, FleetSetup, RouterFleet};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A measurement of three routers, short enough for a test.
fn three_routers() -> FleetSetup {
    let (rates, window) = (vec![20.0], Duration::from_millis(500));
    FleetSetup { purge_rates: rates, window, probes_per_window: 1, ..FleetSetup::new(common::binary(), 3) }
}

/// The `/proc` directories of those processes that exist.
fn existing_processes(ids: &[u32]) -> Vec<PathBuf> {
    let directories = ids.iter().map(|id| Path::new("/proc").join(id.to_string()));
    directories.filter(|directory| directory.exists()).collect()
}

#[test]
fn three_routers_are_counted_and_stopped() {
    let setup = three_routers();
    let mut fleet = RouterFleet::start(&setup).expect("three routers start");
    let ids: Vec<u32> = fleet.routers.iter().map(Process::id).collect();
    assert_eq!((ids.len(), existing_processes(&ids).len()), (3, 3));
    let row = fleet.measure_window(&setup, 20.0).expect("the window is measured");
    let figure = |name: &str| *row.get(name).unwrap_or_else(|| panic!("no {name} in {row:?}"));
    for (name, expected) in [("routers", 3.0), ("peers_up", 2.0), ("purges_per_s", 20.0), ("founders", 3.0)] {
        assert_eq!(figure(name), expected, "{name}");
    }
    let threads = ["cpu_main_percent", "cpu_peers_percent", "cpu_copies_percent"];
    for name in threads.into_iter().chain(["cpu_percent", "memory_mb", "descriptors", "table_version"]) {
        assert!(figure(name) > 0.0, "{name}: {row:?}");
    }
    // The measurement waits until the purge that only the first router receives takes effect at each other router.
    assert!(figure("heeded_by_all_ms_most") < 10_000.0, "{row:?}");
    fleet.shut_down();
    assert_eq!(existing_processes(&ids), Vec::<PathBuf>::new());
}

#[test]
fn dropped_routers_are_stopped() {
    let fleet = RouterFleet::start(&three_routers()).expect("three routers start");
    let ids: Vec<u32> = fleet.routers.iter().map(Process::id).collect();
    drop(fleet);
    assert_eq!(existing_processes(&ids), Vec::<PathBuf>::new());
}

#[test]
fn failure_to_start_a_router_is_reported() {
    for (setup, reason) in [
        (FleetSetup { routers: 2, ..three_routers() }, "expected from 3 to 200 routers, found 2"),
        (FleetSetup { routers: 201, ..three_routers() }, "expected from 3 to 200 routers, found 201"),
        (FleetSetup::new(Path::new("/nowhere/basaltgw"), 3), "the router ended before it was listening"),
    ] {
        let error = measure_fleet(&setup).expect_err("the measurement fails");
        assert!(error.contains(reason), "{error}");
    }
}
