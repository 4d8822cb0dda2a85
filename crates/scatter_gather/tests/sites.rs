//! Sites in trouble, in simulated time: worth in time beside the three baselines, and how a site is left and met again.

use basaltgw_scatter_gather::sim::{beside, faults, run, Figures, Setup, Trouble, Way};
use basaltgw_scatter_gather::Settings;

fn setup(routers: usize, length: f64, trouble: Trouble, seed: u64) -> Setup {
    Setup { length, ..Setup::new(routers, trouble, seed) }
}

/// Under each trouble better than each baseline, and on a calm day as good, whatever the seed.
fn holds(routers: usize, length: f64, seeds: std::ops::Range<u64>) {
    for (seed, trouble) in seeds.flat_map(|s| Trouble::ALL.map(|t| (s, t))) {
        let setup = setup(routers, length, trouble, seed);
        let lines = beside(&setup).expect("settings");
        assert_eq!(faults(&lines), Vec::<String>::new());
        let ours = &lines[0].figures;
        assert!(
            ours.seconds <= setup.settings.second_share,
            "{trouble:?}, seed {seed}: {} second",
            ours.seconds
        );
        let answered = ours.whole + ours.part + ours.refused + ours.failed;
        assert_eq!(ours.asked, answered, "{trouble:?}, seed {seed}");
    }
}

#[test]
fn engine_outperforms_each_baseline_at_30_routers() {
    holds(30, 6_000.0, 1..11);
}

#[test]
fn engine_outperforms_each_baseline_at_300_routers() {
    holds(300, 4_000.0, 101..102);
}

fn ours(setup: &Setup) -> Figures {
    run(setup, Way::Weighed).expect("settings")
}

#[test]
fn peer_evidence_reduces_waits_for_a_failed_site() {
    for seed in 1..3 {
        let with = setup(100, 8_000.0, Trouble::Lost, seed);
        let without = Setup { gossip: false, ..with.clone() };
        let (with, without) = (ours(&with), ours(&without));
        assert!(
            with.waits < 0.8 * without.waits,
            "seed {seed}: {} with, {} without",
            with.waits,
            without.waits
        );
    }
}

#[test]
fn recovered_site_receives_a_ramped_share_of_parts() {
    for seed in 1..3 {
        let setup = setup(200, 8_000.0, Trouble::Lost, seed);
        let f = ours(&setup);
        let settings = Settings { portion: 1.0, ..setup.settings.clone() };
        let at_once = ours(&Setup { settings, ..setup });
        assert!(
            f.met < 0.85 * at_once.met,
            "seed {seed}: {} of the usual asks, {} at once",
            f.met,
            at_once.met
        );
        assert!(f.met_most < 1.4, "seed {seed}: up to {} times the usual asks", f.met_most);
    }
}
