//! Tests of `fleet`.

use super::*;

/// What is replaced in an experiment of drawn faults, and what is said of it.
const WRONG: [(&str, &str, &str); 7] = [
    ("twice:", "twise:", "load: "),
    ("kinds: [", "kinds: [burn, ", "draws.kinds"),
    ("figure: rules_broken", "figur: rules_broken", "must["),
    ("runs: [described, alone]", "runs: [described]", "the run alone"),
    ("copies: 3", "copies: 4", "copies"),
    ("runs:", "script:\n  - {at_ms: 1, what: cut, router: 7}\nruns:", "expected a router from 0 to"),
    ("runs:", "script:\n  - {at_ms: 1, what: rules, rules: x}\nruns:", "and for the start"),
];

#[test]
fn the_programs_own_are_sound_and_faults_are_named_by_line_and_key() {
    for (name, text) in OWN {
        let (experiment, _) = find(name).expect("a form that can be read").expect("one on a fleet");
        assert_eq!(experiment.name, name);
        let cases: &[(&str, &str, &str)] = if name == "placement" {
            &[
                ("rules_other: |", "rulez_other: |", "script["),
                ("    router: 1\n", "    router: 5\n", "expected a router from 0 to"),
                ("what: rules_one", "what: rules_two", "expected `rules_other`"),
            ]
        } else {
            &WRONG
        };
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("wrong.yaml");
        let wrong = |from: &str, to: &str| {
            assert!(text.contains(from), "{from}");
            std::fs::write(&path, text.replacen(from, to, 1)).expect("a file");
            find(&path.display().to_string()).expect_err("a fault").to_string()
        };
        for (from, to, says) in cases {
            let said = wrong(from, to);
            assert!(said.contains(says) && said.contains("wrong.yaml:"), "{said}");
        }
    }
    assert!(find("reshape").expect("no fault").is_none());
}
