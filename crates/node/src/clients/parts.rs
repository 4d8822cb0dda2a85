//! Decodes requests for several parts and encodes their answers.

use super::Tag;
use crate::limits::MAX_PART;
use crate::resp::{encode, parse_integer, FieldEncoder};
use basaltgw::api::Ms;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of parts of one request.
pub const MAX_PARTS: usize = 64;
/// Number of hexadecimal digits of a continuation's id, which has 128 bits.
const CONTINUATION_DIGITS: usize = 32;

/// Decodes a list of parts such as `0@north+1@south+2`: each part once, with the site that has it, or without a site for this router's
/// caches. `None` if the list is malformed.
pub fn parse_parts(text: &str) -> Option<Vec<(u32, Option<Arc<str>>)>> {
    let mut seen = BTreeSet::new();
    let mut parts = Vec::new();
    for item in text.split('+') {
        let (number, site) = match item.split_once('@') {
            Some((number, site)) => (number, Some(basaltgw_types::parse_name(site).ok()?)),
            None => (item, None),
        };
        let number = parse_integer(number).filter(|n| *n <= MAX_PART).and_then(|n| u32::try_from(n).ok())?;
        if parts.len() >= MAX_PARTS || !seen.insert(number) {
            return None;
        }
        parts.push((number, site));
    }
    Some(parts)
}

/// Decodes a continuation's id; `None` if the id is malformed.
pub fn parse_continuation(text: &str) -> Option<u128> {
    let digits = text.len() == CONTINUATION_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u128::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// An answer to a request for several parts, in the order in which they were requested.
#[derive(Debug, Default)]
pub struct PartsAnswer {
    /// Each part with its length in bytes.
    pub parts: Vec<(u32, usize)>,
    /// The parts' bytes, one after the other.
    pub body: Vec<u8>,
    /// Requested parts that are not in the answer.
    pub missing: Vec<u32>,
    /// When the missing parts may be requested again, in milliseconds from now.
    pub retry_after_ms: Option<Ms>,
    /// The id of the continuation that answers the missing parts.
    pub continuation: Option<u128>,
}

fn joined(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join("+")
}

/// Encodes an answer. A partial one has its own status, `206`, so that no client takes it for complete.
pub fn encode_parts_answer(tag: Tag, answer: &PartsAnswer) -> Vec<u8> {
    let mut fields = FieldEncoder::default();
    fields.add("parts", joined(answer.parts.iter().map(|(part, len)| format!("{part}:{len}"))));
    let status: &[u8] = if answer.missing.is_empty() { b"200" } else { b"206" };
    if !answer.missing.is_empty() {
        fields.add("missing", joined(answer.missing.iter().map(u32::to_string)));
    }
    if let Some(retry_after) = answer.retry_after_ms {
        fields.add("w", retry_after.max(1.0).round());
    }
    if let Some(continuation) = answer.continuation {
        fields.add("debt", format!("{continuation:032x}"));
    }
    encode(&[tag.0.to_string().as_bytes(), status, fields.as_str().as_bytes(), &answer.body])
}

#[cfg(test)]
mod tests;
