//! A small fleet, and helpers to script and run it, for the simulator's tests.
#![allow(dead_code)]

use basaltgw::routing::Router;
use basaltgw_hierarchy::Settings;
use basaltgw_simulator::sim::{run, DecisionModule, RunMetrics, Setup};
use basaltgw_simulator::spec::*;

pub fn machine(slots: usize, store_kb: f64) -> Machine {
    Machine { slots, queue_ms: 400.0, store_kb, fills: 64 }
}

pub fn fleet() -> FleetSpec {
    let cold = ColdSpec { share: 0.25, span_ms: 6_000.0, multiple: 2.5, window_ms: 1_500.0 };
    FleetSpec {
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
        net: Network {
            near_ms: 0.3,
            far_ms: 4.0,
            jitter: 0.2,
            link_kb_per_ms: 60.0,
            pace_kb_per_ms: 8.0,
            fill_ms: 2_000.0,
        },
        news: NotificationDelays {
            list_ms: [100.0, 900.0],
            purge_ms: [50.0, 250.0],
            cache_purge_ms: [50.0, 900.0],
            plan_ms: [0.0, 1_500.0],
        },
        rules: RuleLimits {
            slack_ms: 8.0,
            drain_grace_ms: 250.0,
            purge_grace_ms: 300.0,
            purge_settles_ms: 3_000.0,
            cold_edge: cold,
            cold_parent: cold,
        },
    }
}

/// A setup of the fleet with idempotent reads and non-idempotent checkouts, without scripted events.
pub fn setup(seed: u64) -> Setup {
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
        fleet: fleet(),
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
        plans: vec![plan_shape("before", &[0, 1]), plan_shape("after", &[0, 1, 2])],
        tree: Settings { successes_per_step: 4, ..Settings::default() },
        length_ms: 20_000.0,
        staged: true,
        loop_detection: true,
        seed,
    }
}

/// A plan with these hubs and all districts.
pub fn plan_shape(name: &str, hubs: &[usize]) -> PlanShape {
    PlanShape {
        name: name.into(),
        hubs: hubs.to_vec(),
        districts: vec![0, 1, 2, 3],
        edge_fan: 2,
        district_fan: 2,
        laterals: Vec::new(),
    }
}

/// An event of the script at a time, without a node.
pub fn event(at_ms: f64, what: ScriptAction) -> ScriptEvent {
    ScriptEvent { at_ms, what, node: None, for_ms: 0.0, factor: 0.0, to: None, plan: None }
}

/// The event at a node.
pub fn at_node(node: &str, event: ScriptEvent) -> ScriptEvent {
    ScriptEvent { node: Some(node.into()), ..event }
}

/// The change to a plan at a time.
pub fn change_to_plan(at_ms: f64, plan: &str) -> ScriptEvent {
    ScriptEvent { plan: Some(plan.into()), ..event(at_ms, ScriptAction::Plan) }
}

/// Runs a setup with unmodified routers.
pub fn run_setup(setup: &Setup) -> RunMetrics {
    run(setup, |_, settings, seed| Box::new(Router::new(settings, seed)) as Box<dyn DecisionModule>)
        .expect("a valid setup")
}
