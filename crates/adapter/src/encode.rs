//! Encodes actions as messages of the simulator's protocol.

use basaltgw::api::{Action, AttemptSpec, Rank};
use serde_json::{json, Value};

/// Flags of an attempt, summed up in its message.
const JOIN_FILL_FLAG: u64 = 1;
const CACHED_ONLY_FLAG: u64 = 2;
const REVALIDATE_FLAG: u64 = 8;
/// The age limit that stands for the class's freshness lifetime.
const DEFAULT_MAX_AGE: f64 = 0.0;

/// The message for an action of a router, by the router's instance number.
pub fn encode_action(instance: u64, action: Action) -> Value {
    match action {
        Action::StartAttempt(spec) => start_attempt(instance, &spec),
        Action::CancelAttempt { request, attempt } => {
            json!(["DROP_ATTEMPT", instance, *request.0, attempt.0])
        }
        Action::Reject { request, retry_after } => json!(["PUSH_BACK", instance, *request.0, retry_after]),
        Action::Fail(request) => json!(["ERROR", instance, *request.0]),
        Action::Timer { delay, token } => json!(["DEFER", instance, delay, token]),
        Action::WatchEndpoints => json!(["SUBSCRIBE", instance, true]),
        Action::Log(text) => json!(["JOURNAL_LINE", instance, text]),
    }
}

fn start_attempt(instance: u64, spec: &AttemptSpec) -> Value {
    let flag = |is_set: bool, flag: u64| if is_set { flag } else { 0 };
    let flags = flag(spec.join_fill, JOIN_FILL_FLAG)
        + flag(spec.cached_only, CACHED_ONLY_FLAG)
        + flag(spec.revalidate, REVALIDATE_FLAG);
    let max_age = spec.max_age.unwrap_or(DEFAULT_MAX_AGE);
    json!([
        "DELIVER_VIA",
        instance,
        *spec.request.0,
        *spec.server.0,
        spec.timeout,
        *spec.fill_source.0,
        rank_code(spec.rank),
        max_age,
        flags
    ])
}

fn rank_code(rank: Rank) -> u64 {
    match rank {
        Rank::None => 0,
        Rank::Low => 1,
        Rank::Middle => 2,
        Rank::Top => 3,
    }
}
