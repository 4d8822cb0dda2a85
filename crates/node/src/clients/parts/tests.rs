//! Decoding of part lists and continuation ids.

use super::*;
use proptest::prelude::*;

#[test]
fn malformed_part_lists_are_rejected() {
    let north: Option<Arc<str>> = Some("north".into());
    assert_eq!(parse_parts("0@north+7"), Some(vec![(0, north), (7, None)]));
    for malformed in ["", "+", "1+", "1+1", "1@", "1@no/rth", "-1", "x", "10000000", "1@a@b"] {
        assert_eq!(parse_parts(malformed), None, "{malformed}");
    }
    let list_of = |count: usize| joined((0..count).map(|part| part.to_string()));
    assert!(parse_parts(&list_of(MAX_PARTS)).is_some() && parse_parts(&list_of(MAX_PARTS + 1)).is_none());
    assert_eq!(parse_continuation(&format!("{:032x}", 5)), Some(5));
    assert_eq!(parse_continuation("5"), None);
}

proptest! {
    #[test]
    fn decoded_part_list_encodes_to_the_same_parts(text in "[0-9@+a-z.]{0,40}") {
        if let Some(parts) = parse_parts(&text) {
            let encoded = joined(parts.iter().map(|(number, site)| match site {
                Some(site) => format!("{number}@{site}"),
                None => number.to_string(),
            }));
            prop_assert_eq!(parse_parts(&encoded), Some(parts));
        }
    }
}
