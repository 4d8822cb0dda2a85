//! Tests of the command line: exit codes, the last line of output, and that the same file and seed give the same figures.

use std::process::Command;
use tempfile::TempDir;

const RESHAPE: &str = include_str!("../experiments/reshape-simulated.yaml");

/// A temporary directory with an experiment.
struct Dir(TempDir);

impl Dir {
    fn new() -> Self {
        Self(tempfile::tempdir().expect("a temporary directory"))
    }

    /// Writes an experiment of a few seconds in which `from` is replaced by `to`, and returns its path.
    fn experiment(&self, from: &str, to: &str) -> String {
        let short = RESHAPE
            .replace("length_ms: 95000", "length_ms: 12000")
            .replace("per_router: 260", "per_router: 60");
        let (head, _) = short.split_once("\nscript:").expect("the experiment has a script");
        let tail = "script:\n  - {at_ms: 4000, what: start, node: hub-3}\n  - {at_ms: 5000, what: plan, plan: after}\n\n\
                    runs: [described, still]\n\nmust:\n  - {figure: loops_carried, is: 0}\n  - {figure: rules_broken, is: 0}\n";
        let text = format!("{head}\n{tail}");
        assert!(text.contains(from), "the experiment does not contain {from:?}");
        let file = self.0.path().join("short.yaml");
        std::fs::write(&file, text.replacen(from, to, 1)).expect("the file is written");
        file.display().to_string()
    }
}

/// How a process ended, and what it printed.
struct ProcessOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run_program(args: &[&str]) -> ProcessOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltgw-experiments"));
    let output = command.args(args).output().expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    ProcessOutput { code: output.status.code(), stdout: text(&output.stdout), stderr: text(&output.stderr) }
}

#[test]
fn exit_code_and_last_line_show_how_many_bounds_are_met() {
    let dir = Dir::new();
    let ProcessOutput { code, stdout, .. } =
        run_program(&["run", &dir.experiment("is: 0}", "is: 0}"), "--seed", "4"]);
    let last = stdout.lines().last().expect("the output has lines");
    assert_eq!(code, Some(0), "{stdout}");
    assert!(last.starts_with("reshape-simulated: 2 of 2 held; worth "), "{last}");
    let ProcessOutput { code, stdout, .. } =
        run_program(&["run", &dir.experiment("loops_carried, is: 0", "loops_carried, at_least: 1")]);
    assert_eq!(code, Some(1), "{stdout}");
    let last = stdout.lines().last().expect("the output has lines");
    assert!(last.starts_with("reshape-simulated: 1 of 2 held; "), "{last}");
}

#[test]
fn bad_input_is_named_with_exit_code_two() {
    let dir = Dir::new();
    let file = dir.experiment("zipf: 0.8", "zipf: -1");
    let ProcessOutput { code, stderr, .. } = run_program(&["run", &file]);
    assert_eq!(code, Some(2));
    assert!(stderr.contains(&format!("{file}:")) && stderr.contains("load.classes[0].zipf"), "{stderr}");
    let ProcessOutput { code, stderr, .. } =
        run_program(&["run", &dir.experiment("figure: rules_broken", "figure: rules_broke")]);
    assert!(code == Some(2) && stderr.contains("unknown figure rules_broke"), "{stderr}");
    for args in [&["run"][..], &["run", "nothing.yaml"], &["dance"], &["run", "x", "--seed", "y"], &[]] {
        assert_eq!(run_program(args).code, Some(2), "{args:?}");
    }
    let ProcessOutput { code, stderr, .. } = run_program(&["run", "reshape-simulated", "--real"]);
    assert!(code == Some(2) && stderr.contains("reshape-simulated has no real routers"), "{stderr}");
    let ProcessOutput { code, stdout, .. } = run_program(&["list"]);
    assert!(
        code == Some(0) && stdout.contains("reshape-simulated: ") && stdout.contains("reshape-at-scale: ")
    );
}

#[test]
fn same_file_and_seed_give_the_same_figures_except_times_and_memory() {
    let dir = Dir::new();
    let file = dir.experiment("is: 0}", "is: 0}");
    let table = |out: &str, seed: &str| {
        let out = dir.0.path().join(out);
        let output = run_program(&["run", &file, "--seed", seed, "--out", &out.display().to_string()]);
        assert_eq!(output.code, Some(0), "{}{}", output.stdout, output.stderr);
        let csv = std::fs::read_to_string(out.join("reshape-simulated.csv")).expect("the table is readable");
        let names: Vec<String> =
            csv.lines().next().expect("the table has a header").split(',').map(str::to_string).collect();
        let machine_figures = ["decision_us", "wall_s", "resident_mb"];
        assert!(machine_figures.iter().all(|n| names.contains(&n.to_string())));
        let deterministic_cells = |line: &str| {
            let cells = line.split(',').zip(&names).filter(|(_, n)| !machine_figures.contains(&n.as_str()));
            cells.map(|(c, _)| c.to_string()).collect::<Vec<_>>()
        };
        csv.lines().map(deterministic_cells).collect::<Vec<_>>()
    };
    let (one, again, other) = (table("one", "5"), table("again", "5"), table("other", "6"));
    assert_eq!(one, again);
    assert_ne!(one, other);
    assert_eq!(one.len(), 3, "a header and two runs");
    let ProcessOutput { code, stdout, .. } =
        run_program(&["report", &dir.0.path().join("one").display().to_string()]);
    assert_eq!(code, Some(0), "{stdout}");
    let page = std::fs::read_to_string(dir.0.path().join("one/index.html")).expect("the report is readable");
    assert!(page.contains("<svg") && page.contains("loops_offered"));
}
