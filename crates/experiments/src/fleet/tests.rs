//! Tests of files of experiments on a fleet.

use super::*;

/// An edit of an experiment that makes it invalid, and a part of the error.
struct InvalidEdit {
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

const fn edit(from: &'static str, to: &'static str, error: &'static str) -> InvalidEdit {
    InvalidEdit { from, to, error }
}

/// Edits of an experiment with a script.
const SCRIPT_EDITS: [InvalidEdit; 3] = [
    edit("rules_other: |", "rulez_other: |", "script["),
    edit("    router: 1\n", "    router: 5\n", "expected a router from 0 to"),
    edit("what: rules_one", "what: rules_two", "expected `rules_other`"),
];

/// Edits of an experiment with faults drawn from the seed.
const DRAW_EDITS: [InvalidEdit; 7] = [
    edit("twice:", "twise:", "load: "),
    edit("kinds: [", "kinds: [burn, ", "draws.kinds"),
    edit("figure: rules_broken", "figur: rules_broken", "must["),
    edit("runs: [described, alone]", "runs: [described]", "the run alone"),
    edit("copies: 3", "copies: 4", "copies"),
    edit("runs:", "script:\n  - {at_ms: 1, what: cut, router: 7}\nruns:", "expected a router from 0 to"),
    edit("runs:", "script:\n  - {at_ms: 1, what: rules, rules: x}\nruns:", "and for the start"),
];

#[test]
fn built_in_experiments_load_and_errors_name_line_and_key() {
    for (name, text) in BUILT_IN {
        let (experiment, _) =
            load(name).expect("the built-in experiment loads").expect("the experiment is on a fleet");
        assert_eq!(experiment.name, name);
        let edits: &[InvalidEdit] = if name == "placement" { &SCRIPT_EDITS } else { &DRAW_EDITS };
        let dir = tempfile::tempdir().expect("a temporary directory");
        let path = dir.path().join("wrong.yaml");
        for InvalidEdit { from, to, error } in edits {
            assert!(text.contains(from), "the experiment does not contain {from:?}");
            std::fs::write(&path, text.replacen(from, to, 1)).expect("the file is written");
            let found = load(&path.display().to_string()).expect_err("the file is rejected").to_string();
            assert!(found.contains(error) && found.contains("wrong.yaml:"), "{found}");
        }
    }
    assert!(load("reshape").expect("the name is no file").is_none());
}
