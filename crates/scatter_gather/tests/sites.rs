//! Simulated sites with faults: the engine answers more priority weight than each baseline, and excludes and re-admits a
//! faulty site as intended.

use basaltgw_scatter_gather::sim::{
    compare_strategies, find_violations, run, Fault, RunResult, Setup, StrategyKind,
};
use basaltgw_scatter_gather::Settings;

fn setup(routers: usize, duration: f64, fault: Fault, seed: u64) -> Setup {
    Setup { duration, ..Setup::new(routers, fault, seed) }
}

/// With each fault the engine must be better than each baseline, and without one as good, for each seed.
fn assert_engine_outperforms_baselines(routers: usize, duration: f64, seeds: std::ops::Range<u64>) {
    for (seed, fault) in seeds.flat_map(|seed| Fault::ALL.map(|fault| (seed, fault))) {
        let setup = setup(routers, duration, fault, seed);
        let rows = compare_strategies(&setup).expect("valid settings");
        assert_eq!(find_violations(&rows), Vec::<String>::new());
        let engine = &rows[0].result;
        assert!(
            engine.hedge_share <= setup.settings.hedge_budget_share,
            "{fault:?}, seed {seed}: hedged {} of first attempts",
            engine.hedge_share
        );
        let ended = engine.complete + engine.partial + engine.rejected + engine.failed;
        assert_eq!(engine.requests, ended, "{fault:?}, seed {seed}");
    }
}

#[test]
fn engine_outperforms_each_baseline_at_30_routers() {
    assert_engine_outperforms_baselines(30, 6_000.0, 1..11);
}

#[test]
fn engine_outperforms_each_baseline_at_300_routers() {
    assert_engine_outperforms_baselines(300, 4_000.0, 101..102);
}

fn run_engine(setup: &Setup) -> RunResult {
    run(setup, StrategyKind::Weighed).expect("valid settings")
}

#[test]
fn peer_evidence_reduces_waits_for_a_failed_site() {
    for seed in 1..3 {
        let with_gossip = setup(100, 8_000.0, Fault::Lost, seed);
        let without_gossip = Setup { gossip: false, ..with_gossip.clone() };
        let (with, without) = (run_engine(&with_gossip), run_engine(&without_gossip));
        assert!(
            with.waits_for_faulty_site < 0.8 * without.waits_for_faulty_site,
            "seed {seed}: {} waits with gossip, {} without",
            with.waits_for_faulty_site,
            without.waits_for_faulty_site
        );
    }
}

#[test]
fn recovered_site_receives_a_ramped_share_of_parts() {
    for seed in 1..3 {
        let setup = setup(200, 8_000.0, Fault::Lost, seed);
        let ramped = run_engine(&setup);
        let settings = Settings { initial_ramp_share: 1.0, ..setup.settings.clone() };
        let unramped = run_engine(&Setup { settings, ..setup });
        assert!(
            ramped.recovery_load < 0.85 * unramped.recovery_load,
            "seed {seed}: {} of the usual load with a ramp, {} without",
            ramped.recovery_load,
            unramped.recovery_load
        );
        assert!(
            ramped.recovery_peak_load < 1.4,
            "seed {seed}: a peak of {} times the usual load",
            ramped.recovery_peak_load
        );
    }
}
