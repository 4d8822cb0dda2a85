//! A small fleet.
#![allow(dead_code)]

use basaltgw::routing::Router;
use basaltgw_hierarchy::Settings;
use basaltgw_simulator::sim::{run, Decide, Figures, Setup};
use basaltgw_simulator::spec::*;

pub fn machine(slots: usize, store_kb: f64) -> Machine {
    Machine { slots, queue_ms: 400.0, store_kb, fills: 64 }
}

pub fn setup(seed: u64) -> Setup {
    let cold = ColdSpec { share: 0.25, span_ms: 6_000.0, multiple: 2.5, window_ms: 1_500.0 };
    let class = |name: &str, share, objects, effect| ClassSpec {
        name: name.into(),
        share,
        objects,
        zipf: 0.8,
        parts: 2,
        kb: [40.0, 400.0],
        aim_ms: 400.0,
        deadline_ms: 3_000.0,
        worth: 1.0,
        late_worth: 0.2,
        effect,
        fresh_ms: 0.0,
        grace_ms: 0.0,
    };
    Setup {
        fleet: FleetSpec {
            zones: 3,
            routers_per_zone: 1,
            edges_per_zone: 4,
            districts: 4,
            hubs: 3,
            spare_districts: 0,
            spare_hubs: 1,
            edge: machine(6, 60_000.0),
            district: machine(16, 400_000.0),
            hub: machine(24, 2_000_000.0),
            archive: machine(64, 0.0),
            net: Net {
                near_ms: 0.3,
                far_ms: 4.0,
                jitter: 0.2,
                link_kb_per_ms: 60.0,
                pace_kb_per_ms: 8.0,
                fill_ms: 2_000.0,
            },
            news: News {
                list_ms: [100.0, 900.0],
                purge_ms: [50.0, 250.0],
                cache_purge_ms: [50.0, 900.0],
                plan_ms: [0.0, 1_500.0],
            },
            rules: Rules {
                slack_ms: 8.0,
                drain_grace_ms: 250.0,
                purge_grace_ms: 300.0,
                purge_settles_ms: 3_000.0,
                cold_edge: cold,
                cold_parent: cold,
            },
        },
        load: LoadSpec {
            per_router: 60.0,
            classes: vec![
                class("pages", 0.9, 600, EffectSpec::Safe),
                class("checkout", 0.1, 1, EffectSpec::Unsafe),
            ],
            retries: 1,
            backoff_ms: 150.0,
            groups: 32,
            purges_per_s: 2.0,
        },
        script: Vec::new(),
        plans: vec![shape("before", &[0, 1]), shape("after", &[0, 1, 2])],
        tree: Settings { successes_per_step: 4, ..Settings::default() },
        length_ms: 20_000.0,
        staged: true,
        trails: true,
        seed,
    }
}

pub fn shape(name: &str, hubs: &[usize]) -> PlanShape {
    PlanShape {
        name: name.into(),
        hubs: hubs.to_vec(),
        districts: vec![0, 1, 2, 3],
        edge_fan: 2,
        district_fan: 2,
        laterals: Vec::new(),
    }
}

pub fn moment(at_ms: f64, what: What) -> Moment {
    Moment { at_ms, what, node: None, for_ms: 0.0, factor: 0.0, to: None, plan: None }
}

pub fn on(node: &str, m: Moment) -> Moment {
    Moment { node: Some(node.into()), ..m }
}

pub fn to_plan(at_ms: f64, plan: &str) -> Moment {
    Moment { plan: Some(plan.into()), ..moment(at_ms, What::Plan) }
}

pub fn play(setup: &Setup) -> Figures {
    run(setup, |_, set, seed| Box::new(Router::new(set, seed)) as Box<dyn Decide>).expect("a run")
}
