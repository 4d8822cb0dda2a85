//! A request for several parts, as a client writes it and as it is answered.

use super::Tag;
use crate::limits::MOST_PART;
use crate::resp::{encode, whole, FieldList};
use basaltgw::api::Ms;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Parts of one request at the most.
pub const MOST_PARTS: usize = 64;
/// Hex digits of a debt's name: 128 bits.
const DEBT_DIGITS: usize = 32;

/// Reads `0@north+1@south+2`: each part once, with the branch that has it; without one, the router's own caches. `None` if it is not that.
pub fn parts(text: &str) -> Option<Vec<(u32, Option<Arc<str>>)>> {
    let mut seen = BTreeSet::new();
    let mut all = Vec::new();
    for word in text.split('+') {
        let (number, site) = match word.split_once('@') {
            Some((number, site)) => (number, Some(basaltgw_types::name(site).ok()?)),
            None => (word, None),
        };
        let number = whole(number).filter(|n| *n <= MOST_PART).and_then(|n| u32::try_from(n).ok())?;
        if all.len() >= MOST_PARTS || !seen.insert(number) {
            return None;
        }
        all.push((number, site));
    }
    Some(all)
}

/// Reads a debt's name.
pub fn debt(text: &str) -> Option<u128> {
    let digits = text.len() == DEBT_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u128::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// Parts that are answered, one after the other in the order in which they were asked for.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Each with its length.
    pub parts: Vec<(u32, usize)>,
    /// Their bytes.
    pub body: Vec<u8>,
    /// What is not among them.
    pub missing: Vec<u32>,
    /// When that may be had, in milliseconds from now.
    pub come_back: Option<Ms>,
    /// The name under which it is owed.
    pub debt: Option<u128>,
}

fn list(words: impl Iterator<Item = String>) -> String {
    words.collect::<Vec<_>>().join("+")
}

/// An answer's bytes. In part it has a word of its own, which nobody takes for the whole.
pub fn gathered(tag: Tag, is: &Gathered) -> Vec<u8> {
    let mut fields = FieldList::default();
    fields.add("parts", list(is.parts.iter().map(|(part, len)| format!("{part}:{len}"))));
    let word: &[u8] = if is.missing.is_empty() { b"200" } else { b"206" };
    if !is.missing.is_empty() {
        fields.add("missing", list(is.missing.iter().map(u32::to_string)));
    }
    if let Some(w) = is.come_back {
        fields.add("w", w.max(1.0).round());
    }
    if let Some(debt) = is.debt {
        fields.add("debt", format!("{debt:032x}"));
    }
    encode(&[tag.0.to_string().as_bytes(), word, fields.text().as_bytes(), &is.body])
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn parts_are_read_as_they_are_written_and_nothing_is_guessed() {
        let north: Option<Arc<str>> = Some("north".into());
        assert_eq!(parts("0@north+7"), Some(vec![(0, north), (7, None)]));
        for wrong in ["", "+", "1+", "1+1", "1@", "1@no/rth", "-1", "x", "10000000", "1@a@b"] {
            assert_eq!(parts(wrong), None, "{wrong}");
        }
        let many = |n: usize| list((0..n).map(|i| i.to_string()));
        assert!(parts(&many(MOST_PARTS)).is_some() && parts(&many(MOST_PARTS + 1)).is_none());
        assert_eq!(debt(&format!("{:032x}", 5)), Some(5));
        assert_eq!(debt("5"), None);
    }

    proptest! {
        #[test]
        fn any_text_is_parts_or_none(text in "[0-9@+a-z.]{0,40}") {
            if let Some(all) = parts(&text) {
                let again = list(all.iter().map(|(n, site)| match site {
                    Some(site) => format!("{n}@{site}"),
                    None => n.to_string(),
                }));
                prop_assert_eq!(parts(&again), Some(all));
            }
        }
    }
}
