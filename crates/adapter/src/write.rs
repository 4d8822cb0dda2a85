//! Actions to the wire.

use basaltgw::api::{Action, Rank};
use serde_json::{json, Value};

const JOIN: u64 = 1;
const HELD_ONLY: u64 = 2;
const RENEW: u64 = 8;

/// The wire's message for an action of that instance.
pub fn action(i: u64, action: Action) -> Value {
    match action {
        Action::StartAttempt(f) => {
            let rank = match f.rank {
                Rank::None => 0,
                Rank::Low => 1,
                Rank::Middle => 2,
                Rank::Top => 3,
            };
            let flag = |on: bool, bit: u64| if on { bit } else { 0 };
            let opts = flag(f.join_fill, JOIN) + flag(f.cached_only, HELD_ONLY) + flag(f.revalidate, RENEW);
            let age = f.max_age.unwrap_or(0.0);
            json!(["DELIVER_VIA", i, *f.request.0, *f.server.0, f.timeout, *f.fill_source.0, rank, age, opts])
        }
        Action::CancelAttempt(request, attempt) => json!(["DROP_ATTEMPT", i, *request.0, attempt.0]),
        Action::Reject(request, hold_off) => json!(["PUSH_BACK", i, *request.0, hold_off]),
        Action::Fail(request) => json!(["ERROR", i, *request.0]),
        Action::Timer(delay, token) => json!(["DEFER", i, delay, token]),
        Action::WatchEndpoints => json!(["SUBSCRIBE", i, true]),
        Action::Log(text) => json!(["JOURNAL_LINE", i, text]),
    }
}
