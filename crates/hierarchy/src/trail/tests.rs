//! Tests of `trail`.

use super::*;
use proptest::prelude::*;

#[test]
fn a_fill_that_meets_itself_is_refused_and_so_is_one_without_end() {
    let mut trail = Trail::default();
    for n in 0..MOST {
        trail = trail.through(&NodeId::new(&format!("n{n}"))).expect("a new node");
    }
    assert_eq!(trail.through(&NodeId::new("n3")), Err(Looped::Here));
    assert_eq!(trail.through(&NodeId::new("other")), Err(Looped::Long));
}

proptest! {
    #[test]
    fn what_is_written_is_read_back(names in proptest::collection::hash_set("[a-z0-9-]{1,20}", 0..MOST)) {
        let trail = names.iter().try_fold(Trail::default(), |t, n| t.through(&NodeId::new(n))).expect("a trail");
        prop_assert_eq!(Trail::read(&trail.to_string()), Some(trail));
    }

    #[test]
    fn any_text_is_read_or_not_and_never_more_than_bounded(text in ".{0,400}") {
        if let Some(trail) = Trail::read(&text) {
            prop_assert!(trail.nodes().len() <= MOST);
            prop_assert_eq!(trail.to_string(), text);
        }
    }
}
