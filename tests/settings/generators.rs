//! Generators of valid settings, fleets and steps.

use crate::common::{self, endpoint, settings, FILL_REPORTS};
use basaltgw::api::*;
use proptest::prelude::*;
use proptest::sample::select;

pub fn class() -> impl Strategy<Value = Class> {
    let times = (
        select(vec![0.0, 30.0, 400.0, 60_000.0]),
        select(vec![0.0, 50.0, 100.0, 1000.0, 180_000.0]),
        select(vec![0.0, 1.0, 30.0, 1000.0]),
        select(vec![0.0, 100.0, 8000.0]),
        select(vec![0.0, 500.0]),
    );
    let kinds = (
        select(vec![
            Idempotency::Idempotent,
            Idempotency::Idempotent,
            Idempotency::IdempotencyKey,
            Idempotency::IdempotencyKey,
            Idempotency::NonIdempotent,
        ]),
        select(vec![KeyScope::All, KeyScope::Zone, KeyScope::Cell]),
        any::<bool>(),
        select(vec![0.0, 1.0, 2.0]),
    );
    (times, kinds).prop_map(|((objective, deadline, key_window, fresh_for, stale_for), kinds)| {
        let (effect, key_scope, uncacheable, stretch) = kinds;
        let base = common::class("generated", effect);
        Class {
            latency_objective: objective,
            latency_objective_stretch: stretch,
            deadline,
            key_scope,
            key_window,
            fresh_for,
            stale_for,
            uncacheable,
            ..base
        }
    })
}

pub fn slow_start_policy() -> impl Strategy<Value = SlowStartPolicy> {
    let shares = select(vec![0.0, 0.1, 1.0]);
    let (spans, windows) = (select(vec![0.0, 300.0, 17_000.0]), select(vec![0.0, 100.0, 1500.0]));
    (shares, spans, select(vec![0.0, 2.0, 4.0]), windows).prop_map(|(share, span, multiple, window)| {
        SlowStartPolicy {
            initial_share: share,
            ramp_duration: span,
            overload_factor: multiple,
            overload_window: window,
        }
    })
}

pub fn any_settings() -> impl Strategy<Value = Settings> {
    let tick = select(vec![0.1, 1.0, 2.0, 6.0, 10.0, 15.0, 20.0, 35.0, 50.0]);
    let rules =
        (slow_start_policy(), slow_start_policy(), tick, select(vec![0.0, 250.0]), select(vec![0.0, 300.0]));
    let more = (select(vec![0.0, 6000.0]), select(vec![0.0, 500.0]), select(vec![0usize, 1, 2, 8]));
    let flags = prop::array::uniform8(any::<bool>());
    let size = (select(vec![1usize, 2, 30]), select(vec![1usize, 9, 500]), select(vec![0.0, 1.0, 8000.0]));
    (prop::collection::vec(class(), 0..7), rules, more, flags, size).prop_map(
        |(classes, (edge_slow_start, parent_slow_start, tick, drain_grace, purge_grace), more, f, size)| {
            Settings {
                zone: ZoneId(0),
                zone_parent_group: Vec::new(),
                zone_routers: size.0,
                routers: size.0 * size.1,
                classes,
                edge_slow_start,
                parent_slow_start,
                drain_grace,
                purge_grace,
                purge_convergence_time: more.0,
                max_retry_after: more.1,
                max_attempts: more.2,
                hedging: f[0],
                cancel: f[1],
                retry_after: f[2],
                direct_to_parents: f[3],
                fill_joining: f[4],
                must_watch_endpoints: f[5],
                approximate_weights: f[6],
                dynamic_weights: f[7],
                response_rate_kb_per_s: size.2,
                tick,
                ..settings()
            }
        },
    )
}

/// Edge caches of a few zones and weights, parents, the origin; each may be missing.
pub fn any_fleet() -> impl Strategy<Value = Vec<Endpoint>> {
    let weight = || select(vec![0.0, 1.0, 1.0, 4.0, -1.0, 1e-6, 1e6]);
    let edge = (0usize..3, weight(), 0u64..3);
    let edges = prop::collection::vec(edge, 0..6);
    (edges, prop::collection::vec(weight(), 0..4), any::<bool>()).prop_map(|(edges, parents, origin)| {
        let mut all = Vec::new();
        for (n, (zone, weight, cell)) in edges.into_iter().enumerate() {
            // Half of them are in the router's own zone.
            let zone = ZoneId(if n % 2 == 0 { 0 } else { zone });
            all.push(Endpoint { zone, weight, cell, ..endpoint(&format!("edge-{n}"), Role::Edge) });
        }
        for (n, weight) in parents.into_iter().enumerate() {
            all.push(Endpoint { weight, ..endpoint(&format!("parent-{n}"), Role::Parent) });
        }
        all.extend(origin.then(|| endpoint("origin", Role::Origin)));
        all
    })
}

#[derive(Clone, Debug)]
pub enum Step {
    Request {
        class: Option<usize>,
        object: u64,
        part: u64,
        budget: f64,
        size: f64,
        write: bool,
    },
    End {
        pick: usize,
        end: usize,
        fill_report: usize,
        delay: f64,
        wait: f64,
    },
    Unknown {
        pick: usize,
        attempt: usize,
        end: usize,
    },
    StartResponse {
        pick: usize,
    },
    Disconnect {
        pick: usize,
    },
    ListOne {
        server: usize,
        listed: u8,
        started: Option<f64>,
    },
    CompleteList {
        keep: u8,
    },
    Purge {
        object: Option<u64>,
        group: u64,
        age: f64,
    },
    /// The process is stopped for a duration.
    Stop {
        span: f64,
    },
    /// Time passes in batches of events.
    Wait {
        span: f64,
    },
}

pub fn step() -> impl Strategy<Value = Step> {
    let budgets = select(vec![-10.0, 0.0, 20.0, 26.0, 41.0, 60.0, 75.0, 150.0, 700.0, 5000.0]);
    let ask = (prop::option::weighted(0.95, 0usize..7), 0u64..5, 0u64..3, budgets);
    let sizes = (select(vec![0.0, 0.0, 1.0, 900.0]), prop::bool::weighted(0.1));
    let delays = || select(vec![0.0, 0.4, 12.0, 300.0, 9000.0]);
    prop_oneof![
        8 => (ask, sizes).prop_map(|((class, object, part, budget), (size, write))|
            Step::Request { class, object, part, budget, size, write }),
        9 => (any::<usize>(), 0..AttemptResult::ALL.len(), 0..FILL_REPORTS.len(), delays(), delays())
            .prop_map(|(pick, end, fill_report, delay, wait)| Step::End { pick, end, fill_report, delay, wait }),
        1 => (any::<usize>(), 0usize..9, 0..AttemptResult::ALL.len())
            .prop_map(|(pick, attempt, end)| Step::Unknown { pick, attempt, end }),
        1 => any::<usize>().prop_map(|pick| Step::StartResponse { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        2 => (any::<usize>(), 0u8..3, prop::option::of(select(vec![-20_000.0, -300.0, 0.0, 2000.0])))
            .prop_map(|(server, listed, started)| Step::ListOne { server, listed, started }),
        1 => any::<u8>().prop_map(|keep| Step::CompleteList { keep }),
        1 => (prop::option::of(0u64..5), 0u64..5, select(vec![0.0, 70.0, 500.0]))
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        1 => (100.0..20_000.0f64).prop_map(|span| Step::Stop { span }),
        7 => select(vec![0.3, 3.0, 11.0, 24.0, 90.0, 600.0]).prop_map(|span| Step::Wait { span }),
    ]
}
