//! Decides whether a request may be handled as a scatter-gather request.
//!
//! Inputs: the request, and the bounds of the settings. Only idempotent requests may be split and answered in part.

use crate::api::{GatherRequest, Idempotency, InvalidRequest, PartNo};
use crate::settings::{Settings, MAX_TIME_MS};
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// Maximum priority weight of a part.
const MAX_WEIGHT: f64 = 1e9;
const EXPECTED_SHARE: &str = "0 to 1";
const EXPECTED_TIME: &str = "0 to 3,600,000 ms";

/// A number of the request, and whether it is in its range.
struct FieldCheck {
    /// The field's name in the rules and settings.
    field: &'static str,
    found: f64,
    valid: bool,
    expected: &'static str,
}

impl FieldCheck {
    fn share(field: &'static str, found: f64) -> Self {
        Self { field, found, valid: (0.0..=1.0).contains(&found), expected: EXPECTED_SHARE }
    }

    fn time(field: &'static str, found: Ms) -> Self {
        Self { field, found, valid: is_time(found), expected: EXPECTED_TIME }
    }
}

fn is_weight(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0 && weight <= MAX_WEIGHT
}

fn is_time(time: Ms) -> bool {
    (0.0..=MAX_TIME_MS).contains(&time)
}

/// The first error of a request, if it has one.
pub(crate) fn find_request_error(request: &GatherRequest, settings: &Settings) -> Option<InvalidRequest> {
    if request.idempotency != Idempotency::Idempotent {
        return Some(InvalidRequest::NotIdempotent(request.idempotency));
    }
    find_part_error(request, settings).or_else(|| find_field_error(request))
}

fn find_part_error(request: &GatherRequest, settings: &Settings) -> Option<InvalidRequest> {
    let found = request.parts.len();
    if found == 0 || found > settings.max_parts {
        return Some(InvalidRequest::PartCount { found, max: settings.max_parts });
    }
    let mut numbers: BTreeSet<PartNo> = BTreeSet::new();
    if let Some(duplicate) = request.parts.iter().find(|part| !numbers.insert(part.part)) {
        return Some(InvalidRequest::DuplicatePart(duplicate.part));
    }
    let not_requested = request.policy.required_parts.iter().find(|part| !numbers.contains(part));
    not_requested.map(|part| InvalidRequest::RequiredPartNotRequested(*part))
}

fn find_field_error(request: &GatherRequest) -> Option<InvalidRequest> {
    let (budget, policy) = (&request.budget, &request.policy);
    let objective = FieldCheck {
        field: "aim",
        found: budget.latency_objective,
        valid: is_time(budget.latency_objective) && budget.latency_objective <= budget.deadline,
        expected: "0 to the deadline, in ms",
    };
    let fields = [
        objective,
        FieldCheck::time("deadline", budget.deadline),
        FieldCheck::share("late_worth", budget.late_weight_share),
        FieldCheck::share("least_count", policy.min_part_share),
        FieldCheck::share("least_worth", policy.min_weight_share),
        FieldCheck::time("wait", policy.max_wait),
    ];
    let weights = request.parts.iter().map(|part| FieldCheck {
        field: "worth",
        found: part.priority_weight,
        valid: is_weight(part.priority_weight),
        expected: "above 0, at most 1e9",
    });
    let invalid = fields.into_iter().chain(weights).find(|check| !check.valid);
    invalid.map(|FieldCheck { field, expected, found, .. }| InvalidRequest::FieldOutOfRange {
        field,
        expected,
        found,
    })
}
