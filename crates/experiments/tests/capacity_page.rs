//! Tests of the command `page`: the page on capacity agrees with the measured tables, and a page that does not agree is rejected.

use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

const POINTS: &str = "axis,x,figure,value,unit,kind\n\
    routers,4300,log_sent,12470000,bytes/s,reckoned\n\
    caches,1100,decision_us,1.834210e1,us,measured\n\
    caches,1100,share,6.201000e-1,share,measured\n\
    caches,50,list_held,1012,bytes,measured\n";
const FITS: &str =
    "axis,figure,unit,form,base,slope,largest_residual,reckon,from,to,at,value,budget,points\n\
    servers listed,list_held,bytes,n log n,1168,7.095000e2,3.400000e-2,yes,64,2048,1156,821350,,6\n\
    caches,idle_core,cores,square,1,2,2.500000e-1,no,50,1100,1100,0.5,,6\n\
    routers,log_sent,bytes/s,none,,,,no,,,4300,,,5\n";
const PROCESSES: &str = "run,routers,purges_per_s,commit,beat_ms,cpu_percent,memory_mb,commits_per_s\n\
    4,3,10,23fada9,79.1800,2.6831,12.8906,27.0378\n\
    4,3,100,1234567,56.3800,12.2083,14.6081,\n";

/// How a process ended, and what it printed.
struct ProcessOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run_page_command(page: &Path, tables: &Path) -> ProcessOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltgw-experiments"));
    let output = command.arg("page").args([page, tables]).output().expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    ProcessOutput { code: output.status.code(), stdout: text(&output.stdout), stderr: text(&output.stderr) }
}

/// A directory with a page of this text and the tables above.
struct Page(TempDir);

impl Page {
    fn new(text: &str) -> Self {
        let dir = tempfile::tempdir().expect("a temporary directory");
        for (name, text) in [("page.md", text), ("capacity.csv", POINTS), ("capacity-fits.csv", FITS)] {
            std::fs::write(dir.path().join(name), text).expect("the file is written");
        }
        Self(dir)
    }

    fn check(&self) -> ProcessOutput {
        run_page_command(&self.0.path().join("page.md"), self.0.path())
    }
}

#[test]
fn the_page_on_capacity_agrees_with_the_tables() {
    let root: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = run_page_command(&root.join("docs/CAPACITY.md"), &root.join("results"));
    assert_eq!(output.code, Some(0), "{}{}", output.stdout, output.stderr);
}

#[test]
fn rounded_figures_agree() {
    for text in [
        "It sends 12,470,000<!--m: log_sent routers=4300--> bytes a second.",
        "| 12.47 MB/s<!--m: log_sent routers=4300--> | 18.3 µs<!--m: decision_us caches=1100--> |",
        "sends 12.5 million<!--m:log_sent routers=4300-->, for 62%<!--m: share caches=1100-->",
        "It takes 0.0183 ms<!--m: decision_us caches=1100-->.",
        "about 1 KB<!--m: list_held caches=50-->",
        "821 KB<!--m: list_held servers listed~1156--> by a curve n log n<!--m: list_held servers listed:form-->, off by 3.4%<!--m: \
         list_held servers listed:residual-->",
        "12,500,000<!--m: log_sent routers=4300--> or 0.6<!--m: share caches=1100-->",
        "the curve is square<!--m: idle_core caches:form-->",
    ] {
        let output = Page::new(text).check();
        assert_eq!(output.code, Some(0), "{text}\n{}{}", output.stdout, output.stderr);
    }
}

#[test]
fn wrong_figures_are_reported_with_their_line() {
    for text in [
        "It sends 12,480,000<!--m: log_sent routers=4300--> bytes a second.",
        "12.4 MB/s<!--m: log_sent routers=4300-->",
        "12.47 KB/s<!--m: log_sent routers=4300-->",
        "-12.47 MB/s<!--m: log_sent routers=4300-->",
        "10 million<!--m: log_sent routers=4300-->",
        "18.4 µs<!--m: decision_us caches=1100-->",
        "20 µs<!--m: decision_us caches=1100-->",
        "linear<!--m: list_held servers listed:form-->",
        "no number<!--m: share caches=1100-->",
        "18.3<!--m: decision_us caches=1100--> and 63%<!--m: share caches=1100-->",
    ] {
        let output = Page::new(text).check();
        assert_eq!(output.code, Some(1), "{text}\n{}{}", output.stdout, output.stderr);
        assert!(output.stdout.contains("page.md: line 1: "), "{}", output.stdout);
    }
    let stdout = Page::new("\n\n18.4 µs<!--m: decision_us caches=1100-->").check().stdout;
    assert!(stdout.contains("line 3: decision_us caches=1100 is 18.3421, the page says 18.4"), "{stdout}");
    assert!(stdout.ends_with("page: 0 of 1 figures agree\n"), "{stdout}");
}

#[test]
fn unknown_marks_and_unreliable_curves_are_reported() {
    for (mark, message) in [
        ("log_sent routers=4301", "known: log_sent routers=4300"),
        ("log_send routers=4300", "no figure \"log_send\""),
        ("log_sent routers~4300", "known: log_sent routers=4300"),
        ("idle_core caches~1100", "not to be reckoned with"),
    ] {
        let output = Page::new(&format!("12.47 MB<!--m: {mark}-->")).check();
        assert!(output.code == Some(1) && output.stdout.contains(message), "{mark}: {}", output.stdout);
    }
    let output = Page::new("12.47 MB<!--m: log_sent routers=4300").check();
    assert!(output.code == Some(1) && output.stdout.contains("without its end"), "{}", output.stdout);
}

#[test]
fn pages_without_marks_and_invalid_tables_are_rejected() {
    assert_eq!(Page::new("It sends 12 MB.").check().code, Some(2));
    let marked = "12.47 MB/s<!--m: log_sent routers=4300-->";
    for (file, text, message) in [
        ("capacity.csv", "axis,x,figure\nrouters,1,a\n", "no column \"value\""),
        ("capacity.csv", "axis,x,figure,value\nrouters,1,a\n", "line 2: expected 4 cells, found 3"),
        ("capacity.csv", "axis,x,figure,value\nrouters,1,a,b\n", "expected a number, found \"b\""),
        ("capacity-fits.csv", "", "no column \"axis\""),
    ] {
        let page = Page::new(marked);
        assert_eq!(page.check().code, Some(0));
        std::fs::write(page.0.path().join(file), text).expect("the file is written");
        let ProcessOutput { code, stderr, .. } = page.check();
        assert!(code == Some(2) && stderr.contains(file) && stderr.contains(message), "{stderr}");
    }
    let page = Page::new(marked);
    std::fs::remove_file(page.0.path().join("capacity-fits.csv")).expect("the file is removed");
    assert_eq!(page.check().code, Some(2));
}

#[test]
fn figures_of_router_processes_are_checked_and_empty_cells_are_unknown() {
    let check = |text: &str, processes: &str| {
        let page = Page::new(text);
        std::fs::write(page.0.path().join("capacity-real.csv"), processes).expect("the file is written");
        page.check()
    };
    for text in [
        "27.04<!--m: real commits_per_s run=4 purges=10--> commits a second",
        "| 79 ms<!--m: real beat_ms run=4 purges=10--> | 79.2<!--m: real beat_ms run=4 purges=10--> |",
        "12.2 %<!--m: real cpu_percent run=4 purges=100--> of a core, 14.6 MB<!--m: real memory_mb run=4 purges=100-->",
    ] {
        let output = check(text, PROCESSES);
        assert_eq!(output.code, Some(0), "{text}\n{}{}", output.stdout, output.stderr);
    }
    for (text, message) in [
        ("28.04<!--m: real commits_per_s run=4 purges=10-->", "is 27.0378, the page says 28.04"),
        ("79 MB<!--m: real beat_ms run=4 purges=10-->", "the page says"),
        ("12.2 KB<!--m: real cpu_percent run=4 purges=100-->", "the page says"),
        ("27<!--m: real commits_per_s run=4 purges=100-->", "known: real commits_per_s run=4 purges=10\n"),
        ("1234567<!--m: real commit run=4 purges=100-->", "no figure \"real commit\""),
        ("79 ms<!--m: real beat_ms run=5 purges=10-->", "known: real beat_ms run=4 purges=10, real beat_ms"),
    ] {
        let output = check(text, PROCESSES);
        assert!(output.code == Some(1) && output.stdout.contains(message), "{text}: {}", output.stdout);
    }
    let marked = "27.04<!--m: real commits_per_s run=4 purges=10-->";
    for (processes, message) in [
        (PROCESSES.replace("4,3,100", "4,3,10"), "line 3: run 4 at 10 purges a second again"),
        (PROCESSES.replace("27.0378", "many"), "column commits_per_s: expected a number, found \"many\""),
        (PROCESSES.replace("run,", "runs,"), "no column \"run\""),
        (PROCESSES.replace("12.8906,", ""), "line 2: expected 8 cells, found 7"),
    ] {
        let ProcessOutput { code, stderr, .. } = check(marked, &processes);
        assert!(
            code == Some(2) && stderr.contains("capacity-real.csv") && stderr.contains(message),
            "{stderr}"
        );
    }
    assert_eq!(Page::new(marked).check().code, Some(1));
}

#[test]
fn figures_with_the_unit_ms_agree_with_and_without_the_scale() {
    let page = Page::new("3,096.6 ms<!--m: last routers=60--> or 3,097<!--m: last routers=60-->");
    let points = format!("{POINTS}routers,60,last,3.096615e3,ms,simulated\n");
    std::fs::write(page.0.path().join("capacity.csv"), points).expect("the file is written");
    let output = page.check();
    assert_eq!(output.code, Some(0), "{}", output.stdout);
}
