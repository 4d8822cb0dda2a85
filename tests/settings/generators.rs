//! Generators of valid settings, fleets and steps.

use crate::common::{self, endpoint, settings, FILL_REPORTS};
use basaltgw::api::*;
use proptest::prelude::*;
use proptest::sample::select;

pub fn class() -> impl Strategy<Value = Class> {
    let durations = (
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
    (durations, kinds).prop_map(|((objective, deadline, key_window, fresh_for, stale_for), kinds)| {
        let (idempotency, key_scope, uncacheable, stretch) = kinds;
        let base = common::class("generated", idempotency);
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
    let (ramps, windows) = (select(vec![0.0, 300.0, 17_000.0]), select(vec![0.0, 100.0, 1500.0]));
    (shares, ramps, select(vec![0.0, 2.0, 4.0]), windows).prop_map(|(share, ramp, factor, window)| {
        SlowStartPolicy {
            initial_share: share,
            ramp_duration: ramp,
            overload_factor: factor,
            overload_window: window,
        }
    })
}

pub fn any_settings() -> impl Strategy<Value = Settings> {
    let tick = select(vec![0.1, 1.0, 2.0, 6.0, 10.0, 15.0, 20.0, 35.0, 50.0]);
    let policies =
        (slow_start_policy(), slow_start_policy(), tick, select(vec![0.0, 250.0]), select(vec![0.0, 300.0]));
    let limits = (select(vec![0.0, 6000.0]), select(vec![0.0, 500.0]), select(vec![0usize, 1, 2, 8]));
    let flags = prop::array::uniform8(any::<bool>());
    let fleet_size =
        (select(vec![1usize, 2, 30]), select(vec![1usize, 9, 500]), select(vec![0.0, 1.0, 8000.0]));
    (prop::collection::vec(class(), 0..7), policies, limits, flags, fleet_size).prop_map(
        |(classes, policies, limits, flags, fleet_size)| {
            let (edge_slow_start, parent_slow_start, tick, drain_grace, purge_grace) = policies;
            let (purge_convergence_time, max_retry_after, max_attempts) = limits;
            let (zone_routers, zones, response_rate_kb_per_s) = fleet_size;
            Settings {
                zone: ZoneId(0),
                zone_parent_group: Vec::new(),
                zone_routers,
                routers: zone_routers * zones,
                classes,
                edge_slow_start,
                parent_slow_start,
                drain_grace,
                purge_grace,
                purge_convergence_time,
                max_retry_after,
                max_attempts,
                hedging: flags[0],
                cancel: flags[1],
                retry_after: flags[2],
                direct_to_parents: flags[3],
                fill_joining: flags[4],
                must_watch_endpoints: flags[5],
                approximate_weights: flags[6],
                dynamic_weights: flags[7],
                response_rate_kb_per_s,
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
            // Every second cache is in the router's own zone.
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
    FinishAttempt {
        /// Selects one of the attempts in flight.
        pick: usize,
        result: usize,
        fill_report: usize,
        latency: f64,
        source_wait: f64,
    },
    /// An outcome of an attempt that is not in flight.
    FinishUnknownAttempt {
        /// Selects a request; beyond the known ones an unknown request.
        pick: usize,
        attempt: usize,
        result: usize,
    },
    StartResponse {
        /// Selects one of the attempts in flight of unanswered requests.
        pick: usize,
    },
    /// The client disconnects.
    Disconnect {
        /// Selects one of the unanswered requests.
        pick: usize,
    },
    /// The list changes one server.
    ListOne {
        server: usize,
        /// Up, draining or removed.
        state: u8,
        /// The listed process start, in milliseconds relative to now.
        started: Option<f64>,
    },
    CompleteList {
        /// A bit for each server, modulo 8: whether the list has it.
        kept: u8,
    },
    Purge {
        object: Option<u64>,
        group: u64,
        age: f64,
    },
    /// The process is stopped for a duration and handles nothing meanwhile.
    StopProcess {
        duration: f64,
    },
    /// Time passes in batches of events.
    Wait {
        duration: f64,
    },
}

pub fn step() -> impl Strategy<Value = Step> {
    let budgets = select(vec![-10.0, 0.0, 20.0, 26.0, 41.0, 60.0, 75.0, 150.0, 700.0, 5000.0]);
    let requests = (prop::option::weighted(0.95, 0usize..7), 0u64..5, 0u64..3, budgets);
    let sizes = (select(vec![0.0, 0.0, 1.0, 900.0]), prop::bool::weighted(0.1));
    let latencies = || select(vec![0.0, 0.4, 12.0, 300.0, 9000.0]);
    prop_oneof![
        8 => (requests, sizes).prop_map(|((class, object, part, budget), (size, write))|
            Step::Request { class, object, part, budget, size, write }),
        9 => (any::<usize>(), 0..AttemptResult::ALL.len(), 0..FILL_REPORTS.len(), latencies(), latencies())
            .prop_map(|(pick, result, fill_report, latency, source_wait)|
                Step::FinishAttempt { pick, result, fill_report, latency, source_wait }),
        1 => (any::<usize>(), 0usize..9, 0..AttemptResult::ALL.len())
            .prop_map(|(pick, attempt, result)| Step::FinishUnknownAttempt { pick, attempt, result }),
        1 => any::<usize>().prop_map(|pick| Step::StartResponse { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        2 => (any::<usize>(), 0u8..3, prop::option::of(select(vec![-20_000.0, -300.0, 0.0, 2000.0])))
            .prop_map(|(server, state, started)| Step::ListOne { server, state, started }),
        1 => any::<u8>().prop_map(|kept| Step::CompleteList { kept }),
        1 => (prop::option::of(0u64..5), 0u64..5, select(vec![0.0, 70.0, 500.0]))
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        1 => (100.0..20_000.0f64).prop_map(|duration| Step::StopProcess { duration }),
        7 => select(vec![0.3, 3.0, 11.0, 24.0, 90.0, 600.0]).prop_map(|duration| Step::Wait { duration }),
    ]
}
