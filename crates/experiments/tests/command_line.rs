//! The lab from the command line: how it ends, what it says last, and that the same file and seed give the same figures.

use std::process::Command;
use tempfile::TempDir;

const OWN: &str = include_str!("../experiments/reshape-simulated.yaml");

struct Dir(TempDir);

impl Dir {
    fn new() -> Self {
        Self(tempfile::tempdir().expect("a folder"))
    }

    /// An experiment of a few seconds, with something replaced.
    fn experiment(&self, from: &str, to: &str) -> String {
        let short =
            OWN.replace("length_ms: 95000", "length_ms: 12000").replace("per_router: 260", "per_router: 60");
        let (head, _) = short.split_once("\nscript:").expect("a script");
        let tail = "script:\n  - {at_ms: 4000, what: start, node: hub-3}\n  - {at_ms: 5000, what: plan, plan: after}\n\n\
                    runs: [described, still]\n\nmust:\n  - {figure: loops_carried, is: 0}\n  - {figure: rules_broken, is: 0}\n";
        let text = format!("{head}\n{tail}");
        assert!(text.contains(from), "{from}");
        let file = self.0.path().join("short.yaml");
        std::fs::write(&file, text.replacen(from, to, 1)).expect("a file");
        file.display().to_string()
    }
}

fn lab(args: &[&str]) -> (Option<i32>, String, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_basaltgw-experiments")).args(args).output().expect("a process");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

#[test]
fn it_ends_by_what_held_and_says_so_in_its_last_line() {
    let dir = Dir::new();
    let (code, said, _) = lab(&["run", &dir.experiment("is: 0}", "is: 0}"), "--seed", "4"]);
    let last = said.lines().last().expect("a line");
    assert_eq!(code, Some(0), "{said}");
    assert!(last.starts_with("reshape-simulated: 2 of 2 held; worth "), "{last}");
    let (code, said, _) =
        lab(&["run", &dir.experiment("loops_carried, is: 0", "loops_carried, at_least: 1")]);
    assert_eq!(code, Some(1), "{said}");
    assert!(said.lines().last().expect("a line").starts_with("reshape-simulated: 1 of 2 held; "));
}

#[test]
fn bad_input_is_named_and_ends_with_two() {
    let dir = Dir::new();
    let file = dir.experiment("zipf: 0.8", "zipf: -1");
    let (code, _, said) = lab(&["run", &file]);
    assert_eq!(code, Some(2));
    assert!(said.contains(&format!("{file}:")) && said.contains("load.classes[0].zipf"), "{said}");
    let (code, _, said) = lab(&["run", &dir.experiment("figure: rules_broken", "figure: rules_broke")]);
    assert!(code == Some(2) && said.contains("unknown figure rules_broke"), "{said}");
    for args in [&["run"][..], &["run", "nothing.yaml"], &["dance"], &["run", "x", "--seed", "y"], &[]] {
        assert_eq!(lab(args).0, Some(2), "{args:?}");
    }
    let (code, _, said) = lab(&["run", "reshape-simulated", "--real"]);
    assert!(code == Some(2) && said.contains("reshape-simulated has no real routers"), "{said}");
    let (code, said, _) = lab(&["list"]);
    assert!(code == Some(0) && said.contains("reshape-simulated: ") && said.contains("reshape-at-scale: "));
}

#[test]
fn the_same_file_and_seed_give_the_same_table_but_for_the_machine() {
    let dir = Dir::new();
    let file = dir.experiment("is: 0}", "is: 0}");
    let table = |out: &str, seed: &str| {
        let out = dir.0.path().join(out);
        let (code, said, wrong) = lab(&["run", &file, "--seed", seed, "--out", &out.display().to_string()]);
        assert_eq!(code, Some(0), "{said}{wrong}");
        let csv = std::fs::read_to_string(out.join("reshape-simulated.csv")).expect("a table");
        let names: Vec<String> = csv.lines().next().expect("names").split(',').map(str::to_string).collect();
        let of_machine = ["decision_us", "wall_s", "resident_mb"];
        assert!(of_machine.iter().all(|n| names.contains(&n.to_string())));
        let kept = |line: &str| {
            let cells = line.split(',').zip(&names).filter(|(_, n)| !of_machine.contains(&n.as_str()));
            cells.map(|(c, _)| c.to_string()).collect::<Vec<_>>()
        };
        csv.lines().map(kept).collect::<Vec<_>>()
    };
    let (one, again, other) = (table("one", "5"), table("again", "5"), table("other", "6"));
    assert_eq!(one, again);
    assert_ne!(one, other);
    assert_eq!(one.len(), 3, "names and two runs");
    let (code, said, _) = lab(&["report", &dir.0.path().join("one").display().to_string()]);
    assert_eq!(code, Some(0), "{said}");
    let page = std::fs::read_to_string(dir.0.path().join("one/index.html")).expect("a page");
    assert!(page.contains("<svg") && page.contains("loops_offered"));
}
