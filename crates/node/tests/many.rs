//! Many routers without relays: their figures come, and all that was started is ended.

mod common;

use basaltgw_emulator::process::Process;
use basaltgw_emulator::rig::fleet_cost::{measure_fleet, FleetSetup, RouterFleet};
use std::path::{Path, PathBuf};
use std::time::Duration;

fn three() -> FleetSetup {
    let (rates, window) = (vec![20.0], Duration::from_millis(500));
    FleetSetup { purge_rates: rates, window, probes_per_window: 1, ..FleetSetup::new(common::binary(), 3) }
}

fn there(ids: &[u32]) -> Vec<PathBuf> {
    let folders = ids.iter().map(|id| Path::new("/proc").join(id.to_string()));
    folders.filter(|folder| folder.exists()).collect()
}

#[test]
fn three_routers_are_counted_and_stopped() {
    let many = three();
    let mut crowd = RouterFleet::start(&many).expect("three routers");
    let ids: Vec<u32> = crowd.routers.iter().map(Process::id).collect();
    assert_eq!((ids.len(), there(&ids).len()), (3, 3));
    let row = crowd.measure_window(&many, 20.0).expect("a row");
    let figure = |name: &str| *row.get(name).unwrap_or_else(|| panic!("no {name} in {row:?}"));
    for (name, is) in [("routers", 3.0), ("peers_up", 2.0), ("purges_per_s", 20.0), ("founders", 3.0)] {
        assert_eq!(figure(name), is, "{name}");
    }
    let threads = ["cpu_main_percent", "cpu_peers_percent", "cpu_copies_percent"];
    for name in threads.into_iter().chain(["cpu_percent", "memory_mb", "descriptors", "table_version"]) {
        assert!(figure(name) > 0.0, "{name}: {row:?}");
    }
    // The purge that only the first router hears is waited for at each other one.
    assert!(figure("heeded_by_all_ms_most") < 10_000.0, "{row:?}");
    crowd.shut_down();
    assert_eq!(there(&ids), Vec::<PathBuf>::new());
}

#[test]
fn dropped_routers_are_stopped() {
    let crowd = RouterFleet::start(&three()).expect("three routers");
    let ids: Vec<u32> = crowd.routers.iter().map(Process::id).collect();
    drop(crowd);
    assert_eq!(there(&ids), Vec::<PathBuf>::new());
}

#[test]
fn failure_to_start_a_router_is_reported() {
    for (many, why) in [
        (FleetSetup { routers: 2, ..three() }, "from 3 to 200 routers, not 2"),
        (FleetSetup { routers: 201, ..three() }, "from 3 to 200 routers, not 201"),
        (FleetSetup::new(Path::new("/nowhere/basaltgw"), 3), "the router ended before it was listening"),
    ] {
        let said = measure_fleet(&many).expect_err("an error");
        assert!(said.contains(why), "{said}");
    }
}
