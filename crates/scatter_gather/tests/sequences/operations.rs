//! Random operations on the engine, and the requests that they send.

use basaltgw_scatter_gather::{
    GatherNo, GatherRequest, Idempotency, MissingParts, PartNo, PartSpec, Policy, Site, TimeBudget,
};
use proptest::prelude::*;

/// What is random in a policy.
#[derive(Clone, Debug)]
pub struct PolicyShape {
    pub min_part_share: f64,
    pub min_weight_share: f64,
    pub max_wait: f64,
    /// Index of the handling of missing parts.
    pub missing_parts: u8,
    pub hedging: bool,
}

/// What is random in a request. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct RequestShape {
    pub parts: usize,
    pub objects: u64,
    pub sites: u8,
    pub latency_objective: f64,
    /// Time from the latency objective to the deadline.
    pub late: f64,
    pub policy: PolicyShape,
    pub first_is_required: bool,
}

/// An input of the engine, or time that passes. Attempts and requests are chosen among those made so far, by any number
/// modulo their count.
#[derive(Clone, Debug)]
pub enum Operation {
    Request(RequestShape),
    /// A response to any attempt, so that responses are late or duplicates.
    Response {
        attempt: usize,
        version: u8,
        origin_time_ms: u64,
        complete: bool,
        purge_time: Option<u64>,
    },
    /// The end of any attempt without a response.
    AttemptEnded {
        attempt: usize,
        cause: u8,
    },
    Purge {
        object: u64,
        whole_group: bool,
        time: u64,
    },
    Cancel {
        request: usize,
    },
    PeerEvidence {
        site: u8,
        from: u8,
        is_missed: bool,
    },
    /// Lets this many milliseconds pass.
    Advance(f64),
}

fn request_shape() -> impl Strategy<Value = RequestShape> {
    let policy = (0.0..1.0f64, 0.0..1.0f64, 0.0..300.0f64, 0..3u8, any::<bool>());
    (1..6usize, 1..3u64, 1..5u8, 0.0..200.0f64, 0.0..400.0f64, policy, any::<bool>()).prop_map(
        |(parts, objects, sites, latency_objective, late, policy, first_is_required)| {
            let (min_part_share, min_weight_share, max_wait, missing_parts, hedging) = policy;
            let policy = PolicyShape { min_part_share, min_weight_share, max_wait, missing_parts, hedging };
            RequestShape { parts, objects, sites, latency_objective, late, policy, first_is_required }
        },
    )
}

fn response() -> impl Strategy<Value = Operation> {
    let complete = prop::bool::weighted(0.9);
    let purge_time = prop::option::weighted(0.1, 1..20u64);
    (any::<usize>(), 0..2u8, 1..20u64, complete, purge_time).prop_map(
        |(attempt, version, origin_time_ms, complete, purge_time)| Operation::Response {
            attempt,
            version,
            origin_time_ms,
            complete,
            purge_time,
        },
    )
}

pub fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        2 => request_shape().prop_map(Operation::Request),
        8 => response(),
        2 => (any::<usize>(), 0..3u8).prop_map(|(attempt, cause)| Operation::AttemptEnded { attempt, cause }),
        1 => (0..3u64, any::<bool>(), 1..20u64)
            .prop_map(|(object, whole_group, time)| Operation::Purge { object, whole_group, time }),
        1 => any::<usize>().prop_map(|request| Operation::Cancel { request }),
        1 => (0..6u8, 0..3u8, any::<bool>())
            .prop_map(|(site, from, is_missed)| Operation::PeerEvidence { site, from, is_missed }),
        4 => (0.0..60.0f64).prop_map(Operation::Advance),
    ]
}

pub fn build_request(number: u64, shape: &RequestShape) -> GatherRequest {
    let site = |i: usize| Site(format!("s{}", i % usize::from(shape.sites)).into());
    let part = |i: usize| PartSpec {
        part: PartNo(i as u32),
        object: i as u64 % shape.objects,
        group: 0,
        preferred_site: site(i),
        alternate_sites: vec![site(i + 1), site(i + 2)],
        priority_weight: 1.0 + i as f64,
        version: None,
    };
    let PolicyShape { min_part_share, min_weight_share, max_wait, missing_parts, hedging } = shape.policy;
    let missing_parts = [MissingParts::Continuation, MissingParts::Omitted, MissingParts::NotAllowed]
        [usize::from(missing_parts)];
    let required_parts = if shape.first_is_required { vec![PartNo(0)] } else { vec![] };
    let policy =
        Policy { required_parts, min_part_share, min_weight_share, max_wait, missing_parts, hedging };
    let budget = TimeBudget {
        latency_objective: shape.latency_objective,
        deadline: shape.latency_objective + shape.late,
        late_weight_share: 0.3,
    };
    GatherRequest {
        gather: GatherNo(number),
        policy: policy.into(),
        idempotency: Idempotency::Idempotent,
        parts: (0..shape.parts).map(part).collect(),
        budget,
        purges: vec![],
    }
}
