//! Decides whether a request may be handled as a scatter-gather request.
//!
//! Inputs: the request, and the bounds of the settings. Only idempotent requests may be split and answered in part.

use crate::api::{Ask, Effect, PartNo, Unfit};
use crate::settings::{Settings, MOST_MS};
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// The highest priority weight of a part.
const MAX_WEIGHT: f64 = 1e9;
const EXPECTED_SHARE: &str = "0 to 1";
const EXPECTED_SPAN: &str = "0 to 3,600,000 ms";

/// A number of the request, and whether it is in its range.
struct FieldCheck {
    field: &'static str,
    found: f64,
    valid: bool,
    expected: &'static str,
}

impl FieldCheck {
    fn share(field: &'static str, found: f64) -> Self {
        Self { field, found, valid: (0.0..=1.0).contains(&found), expected: EXPECTED_SHARE }
    }

    fn span(field: &'static str, found: Ms) -> Self {
        Self { field, found, valid: is_span(found), expected: EXPECTED_SPAN }
    }
}

fn is_span(time: Ms) -> bool {
    (0.0..=MOST_MS).contains(&time)
}

/// The first error of a request, if it has one.
pub(crate) fn find_request_error(request: &Ask, settings: &Settings) -> Option<Unfit> {
    if request.effect != Effect::Safe {
        return Some(Unfit::Effect(request.effect));
    }
    find_part_error(request, settings).or_else(|| find_field_error(request))
}

fn find_part_error(request: &Ask, settings: &Settings) -> Option<Unfit> {
    let found = request.parts.len();
    if found == 0 || found > settings.parts {
        return Some(Unfit::Parts { found, most: settings.parts });
    }
    let mut seen: BTreeSet<PartNo> = BTreeSet::new();
    if let Some(duplicate) = request.parts.iter().find(|part| !seen.insert(part.part)) {
        return Some(Unfit::Twice(duplicate.part));
    }
    let unknown = request.policy.needed.iter().find(|part| !seen.contains(part));
    unknown.map(|part| Unfit::Unknown(*part))
}

fn find_field_error(request: &Ask) -> Option<Unfit> {
    let (times, policy) = (&request.times, &request.policy);
    let objective = FieldCheck {
        field: "aim",
        found: times.aim,
        valid: is_span(times.aim) && times.aim <= times.deadline,
        expected: "0 to the deadline, in ms",
    };
    let fields = [
        objective,
        FieldCheck::span("deadline", times.deadline),
        FieldCheck::share("late_worth", times.late_worth),
        FieldCheck::share("least_count", policy.least_count),
        FieldCheck::share("least_worth", policy.least_worth),
        FieldCheck::span("wait", policy.wait),
    ];
    let weights = request.parts.iter().map(|part| FieldCheck {
        field: "worth",
        found: part.worth,
        valid: part.worth.is_finite() && part.worth > 0.0 && part.worth <= MAX_WEIGHT,
        expected: "above 0, at most 1e9",
    });
    let invalid = fields.into_iter().chain(weights).find(|check| !check.valid);
    invalid.map(|FieldCheck { field, expected, found, .. }| Unfit::Field { field, expected, found })
}
