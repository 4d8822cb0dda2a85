//! Deserialization of JSON with serde and validation with garde; an error names the field, what was expected and what was found.

use crate::value::{FieldError, MIN_INEXACT_FLOAT};
use garde::Validate;
use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use serde_json::Value;
use std::fmt;

/// Deserializes and validates the value at the path `outer`, which is empty for the whole document; `key` converts a path within the value
/// from the names of Rust fields to those of the document.
///
/// # Errors
/// The first invalid field.
pub(crate) fn deserialize<'a, T>(v: &'a Value, outer: &str, key: fn(&str) -> String) -> Result<T, FieldError>
where
    T: Deserialize<'a> + Validate<Context = ()>,
{
    let field = |path: &str| join_paths(outer, &key(path));
    let value = T::deserialize(v).or_else(|_| {
        // Deserialized a second time to learn the path of the invalid field: tracking paths doubles the cost, and most values are valid.
        serde_path_to_error::deserialize(v).map_err(|e| {
            let (path, message) = (e.path().to_string(), e.inner().to_string());
            match missing_field(&message) {
                Some(name) if path == "." => FieldError::new(&field(name), MISSING),
                Some(name) => FieldError::new(&field(&format!("{path}.{name}")), MISSING),
                None => FieldError::new(&field(&path), expected_found(&message)),
            }
        })
    })?;
    match value.validate() {
        Ok(()) => Ok(value),
        Err(report) => {
            let first = report.iter().next().map(|(path, e)| (path.to_string(), e.to_string()));
            let (path, message) = first.unwrap_or_default();
            Err(FieldError::new(&field(&path), message))
        }
    }
}

/// The message of an error of a required field that is absent.
const MISSING: &str = "expected, found nothing";

/// The whole path of a field, whose path within the value at `outer` is `inner`; the value itself has the inner path "" or ".".
fn join_paths(outer: &str, inner: &str) -> String {
    match (outer, inner) {
        (outer, "" | ".") => outer.to_string(),
        ("", inner) => inner.to_string(),
        (outer, inner) => format!("{outer}.{inner}"),
    }
}

/// Converts no names: the fields have the same names in Rust and in the document.
pub(crate) fn unchanged(path: &str) -> String {
    path.to_string()
}

/// Converts names of fields to names with dashes.
pub(crate) fn kebab_case(path: &str) -> String {
    path.replace('_', "-")
}

/// The name of the absent field, if this is serde's message of a missing field.
fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.split_once('`').map(|(name, _)| name)
}

/// Rewords a message of serde in the form of this package's own messages: what was expected, then what was found.
fn expected_found(message: &str) -> String {
    let invalid = message.strip_prefix("invalid type: ").or_else(|| message.strip_prefix("invalid value: "));
    if let Some((found, expected)) = invalid.and_then(|rest| rest.rsplit_once(", expected ")) {
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
    match message.strip_prefix("unknown variant `").and_then(|rest| rest.split_once("`, ")) {
        Some((found, expected)) => format!("unknown {found:?}, {expected}"),
        None => message.to_string(),
    }
}

/// An unsigned integer, also one that is written as `2.0`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnsignedInteger(pub u64);

impl<'de> Deserialize<'de> for UnsignedInteger {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct IntegerVisitor;
        impl Visitor<'_> for IntegerVisitor {
            type Value = UnsignedInteger;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a whole number")
            }
            fn visit_u64<E: Error>(self, n: u64) -> Result<UnsignedInteger, E> {
                Ok(UnsignedInteger(n))
            }
            fn visit_i64<E: Error>(self, n: i64) -> Result<UnsignedInteger, E> {
                let invalid = |_| E::invalid_value(Unexpected::Signed(n), &self);
                u64::try_from(n).map(UnsignedInteger).map_err(invalid)
            }
            fn visit_f64<E: Error>(self, n: f64) -> Result<UnsignedInteger, E> {
                let is_integer = n.fract() == 0.0 && (0.0..MIN_INEXACT_FLOAT).contains(&n);
                let invalid = || E::invalid_value(Unexpected::Float(n), &self);
                is_integer.then_some(UnsignedInteger(n as u64)).ok_or_else(invalid)
            }
        }
        deserializer.deserialize_any(IntegerVisitor)
    }
}

/// The largest value of [`NonNegative`], thirty years in milliseconds. A float of this size still has fractions of a millisecond, which
/// larger ones lose.
const MAX_NUMBER: f64 = 1e12;

/// A number from 0 to [`MAX_NUMBER`], such as a time, a share or a factor.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, Validate)]
#[garde(transparent)]
#[serde(transparent)]
pub(crate) struct NonNegative(#[garde(custom(non_negative))] pub f64);

fn non_negative(n: &f64, (): &()) -> garde::Result {
    let expected = if *n > MAX_NUMBER { format!("{MAX_NUMBER} or less") } else { "0 or more".into() };
    let error = || garde::Error::new(format!("expected {expected}, found {}", format_number(*n)));
    (0.0..=MAX_NUMBER).contains(n).then_some(()).ok_or_else(error)
}

/// A number as text, in scientific notation where the digits would fill a line.
fn format_number(n: f64) -> String {
    if n == 0.0 || (1e-6..1e16).contains(&n.abs()) {
        n.to_string()
    } else {
        format!("{n:e}")
    }
}

/// Checks that a number is within bounds.
pub(crate) fn in_range(n: f64, min: f64, max: f64) -> garde::Result {
    let error = || garde::Error::new(format!("expected {min} to {max}, found {}", format_number(n)));
    (min..=max).contains(&n).then_some(()).ok_or_else(error)
}
