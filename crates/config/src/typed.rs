//! Typed parsing of JSON: serde deserializes, garde validates, and a fault names the field and what was expected.

use crate::value::BadInput;
use garde::Validate;
use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use serde_json::Value;
use std::fmt;

/// Parses the value at the path `at` (empty for the whole document); `key` formats a path within it for messages.
///
/// # Errors
/// The field at fault.
pub(crate) fn typed<'a, T>(v: &'a Value, at: &str, key: fn(&str) -> String) -> Result<T, BadInput>
where
    T: Deserialize<'a> + Validate<Context = ()>,
{
    let field = |path: &str| match (at, key(path)) {
        (at, path) if path.is_empty() || path == "." => at.to_string(),
        ("", path) => path,
        (at, path) => format!("{at}.{path}"),
    };
    let read = T::deserialize(v).or_else(|_| {
        // Deserialized again for the path to the fault: tracking it doubles the cost, and most values are valid.
        serde_path_to_error::deserialize(v).map_err(|e| {
            let (path, text) = (e.path().to_string(), e.inner().to_string());
            match text.strip_prefix("missing field `").and_then(|rest| rest.split_once('`')) {
                Some((name, _)) if path == "." => BadInput::new(&field(name), "expected, found nothing"),
                Some((name, _)) => {
                    BadInput::new(&field(&format!("{path}.{name}")), "expected, found nothing")
                }
                None => BadInput::new(&field(&path), expected_found(&text)),
            }
        })
    })?;
    match read.validate() {
        Ok(()) => Ok(read),
        Err(report) => {
            let first = report.iter().next().map(|(path, e)| (path.to_string(), e.to_string()));
            let (path, what) = first.unwrap_or_default();
            Err(BadInput::new(&field(&path), what))
        }
    }
}

/// A path unchanged.
pub(crate) fn plain(path: &str) -> String {
    path.to_string()
}

/// A path whose keys have dashes.
pub(crate) fn dashed(path: &str) -> String {
    path.replace('_', "-")
}

/// Rewords a message of serde: what was expected, then what was found.
fn expected_found(text: &str) -> String {
    let wrong = text.strip_prefix("invalid type: ").or_else(|| text.strip_prefix("invalid value: "));
    if let Some((found, expected)) = wrong.and_then(|rest| rest.rsplit_once(", expected ")) {
        let expected = match expected {
            "f64" => "a number",
            "a sequence" => "an array",
            "a boolean" => "true or false",
            "a borrowed string" => "a string",
            e if e.starts_with("struct ") => "an object",
            e => e,
        };
        return format!("expected {expected}, found {found}");
    }
    match text.strip_prefix("unknown variant `").and_then(|rest| rest.split_once("`, ")) {
        Some((found, expected)) => format!("unknown {found:?}, {expected}"),
        None => text.to_string(),
    }
}

/// An unsigned integer, also one that is written as `2.0`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Whole(pub u64);

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
            type Value = Whole;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a whole number")
            }
            fn visit_u64<E: Error>(self, n: u64) -> Result<Whole, E> {
                Ok(Whole(n))
            }
            fn visit_i64<E: Error>(self, n: i64) -> Result<Whole, E> {
                u64::try_from(n).map(Whole).map_err(|_| E::invalid_value(Unexpected::Signed(n), &self))
            }
            fn visit_f64<E: Error>(self, n: f64) -> Result<Whole, E> {
                // Beyond 2^53 a float skips whole numbers.
                let fits = n.fract() == 0.0 && (0.0..9.0e15).contains(&n);
                fits.then_some(Whole(n as u64)).ok_or_else(|| E::invalid_value(Unexpected::Float(n), &self))
            }
        }
        from.deserialize_any(Read)
    }
}

/// The largest amount (thirty years in milliseconds); larger floats lose their fractions.
const MAX_AMOUNT: f64 = 1e12;

/// A number of 0 or more: a time, a share, a multiple.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, Validate)]
#[garde(transparent)]
#[serde(transparent)]
pub(crate) struct Amount(#[garde(custom(amount_in_range))] pub f64);

fn amount_in_range(n: &f64, (): &()) -> garde::Result {
    let what = if *n > MAX_AMOUNT { format!("{MAX_AMOUNT} or less") } else { "0 or more".into() };
    let fits = (0.0..=MAX_AMOUNT).contains(n);
    fits.then_some(()).ok_or_else(|| garde::Error::new(format!("expected {what}, found {}", short(*n))))
}

/// A number in a message, without hundreds of digits.
fn short(n: f64) -> String {
    let usual = n == 0.0 || (1e-6..1e16).contains(&n.abs());
    if usual {
        n.to_string()
    } else {
        format!("{n:e}")
    }
}

/// Checks that a number is within bounds.
pub(crate) fn bounded(n: f64, min: f64, max: f64) -> garde::Result {
    let what = || garde::Error::new(format!("expected {min} to {max}, found {}", short(n)));
    (min..=max).contains(&n).then_some(()).ok_or_else(what)
}
