//! Decoding of part lists and continuation ids.

use super::*;
use proptest::prelude::*;

#[test]
fn malformed_part_lists_are_rejected() {
    let north: Option<Arc<str>> = Some("north".into());
    assert_eq!(parts("0@north+7"), Some(vec![(0, north), (7, None)]));
    for wrong in ["", "+", "1+", "1+1", "1@", "1@no/rth", "-1", "x", "10000000", "1@a@b"] {
        assert_eq!(parts(wrong), None, "{wrong}");
    }
    let many = |n: usize| joined((0..n).map(|i| i.to_string()));
    assert!(parts(&many(MOST_PARTS)).is_some() && parts(&many(MOST_PARTS + 1)).is_none());
    assert_eq!(debt(&format!("{:032x}", 5)), Some(5));
    assert_eq!(debt("5"), None);
}

proptest! {
    #[test]
    fn decoded_part_list_encodes_to_the_same_parts(text in "[0-9@+a-z.]{0,40}") {
        if let Some(all) = parts(&text) {
            let again = joined(all.iter().map(|(n, site)| match site {
                Some(site) => format!("{n}@{site}"),
                None => n.to_string(),
            }));
            prop_assert_eq!(parts(&again), Some(all));
        }
    }
}
