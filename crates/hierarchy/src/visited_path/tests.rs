//! Loop detection, and parsing of paths.

use super::*;
use proptest::prelude::*;

#[test]
fn repeated_node_and_overlong_path_are_rejected() {
    let mut path = VisitedPath::default();
    for n in 0..MAX_PATH_NODES {
        path = path.visit(&NodeId::new(&format!("n{n}"))).expect("a new node");
    }
    assert_eq!(path.visit(&NodeId::new("n3")), Err(LoopError::AlreadyVisited));
    assert_eq!(path.visit(&NodeId::new("other")), Err(LoopError::PathTooLong));
}

proptest! {
    #[test]
    fn what_is_written_is_read_back(ids in proptest::collection::hash_set("[a-z0-9-]{1,20}", 0..MAX_PATH_NODES)) {
        let path = ids.iter().try_fold(VisitedPath::default(), |path, id| path.visit(&NodeId::new(id))).expect("a path");
        prop_assert_eq!(VisitedPath::parse(&path.to_string()), Some(path));
    }

    #[test]
    fn any_text_is_read_or_not_and_never_more_than_bounded(text in ".{0,400}") {
        if let Some(path) = VisitedPath::parse(&text) {
            prop_assert!(path.nodes().len() <= MAX_PATH_NODES);
            prop_assert_eq!(path.to_string(), text);
        }
    }
}
