//! The page on capacity and the measured tables say the same; and a page that does not is caught.

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
const REAL: &str = "run,routers,purges_per_s,commit,beat_ms,cpu_percent,memory_mb,commits_per_s\n\
    4,3,10,23fada9,79.1800,2.6831,12.8906,27.0378\n\
    4,3,100,1234567,56.3800,12.2083,14.6081,\n";

fn lab(args: &[&Path]) -> (Option<i32>, String, String) {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_basaltgw-experiments"));
    let out = lab.arg("page").args(args).output().expect("a process");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

/// A page of that text beside the tables above.
struct Page(TempDir);

impl Page {
    fn new(text: &str) -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        for (name, text) in [("page.md", text), ("capacity.csv", POINTS), ("capacity-fits.csv", FITS)] {
            std::fs::write(dir.path().join(name), text).expect("a file");
        }
        Self(dir)
    }

    fn held(&self) -> (Option<i32>, String, String) {
        lab(&[&self.0.path().join("page.md"), self.0.path()])
    }
}

#[test]
fn the_page_says_what_was_measured() {
    let root: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (code, said, wrong) = lab(&[&root.join("docs/CAPACITY.md"), &root.join("results")]);
    assert_eq!(code, Some(0), "{said}{wrong}");
}

#[test]
fn figures_count_as_they_are_rounded() {
    for said in [
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
        let (code, told, wrong) = Page::new(said).held();
        assert_eq!(code, Some(0), "{said}\n{told}{wrong}");
    }
}

#[test]
fn a_wrong_figure_is_caught() {
    for said in [
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
        let (code, told, wrong) = Page::new(said).held();
        assert_eq!(code, Some(1), "{said}\n{told}{wrong}");
        assert!(told.contains("page.md: line 1: "), "{told}");
    }
    let (_, told, _) = Page::new("\n\n18.4 µs<!--m: decision_us caches=1100-->").held();
    assert!(told.contains("line 3: decision_us caches=1100 is 18.3421, the page says 18.4"), "{told}");
    assert!(told.ends_with("page: 0 of 1 figures agree\n"), "{told}");
}

#[test]
fn an_unknown_mark_and_a_curve_not_to_reckon_with_are_caught() {
    for (mark, what) in [
        ("log_sent routers=4301", "known: log_sent routers=4300"),
        ("log_send routers=4300", "no figure \"log_send\""),
        ("log_sent routers~4300", "known: log_sent routers=4300"),
        ("idle_core caches~1100", "not to be reckoned with"),
    ] {
        let (code, told, _) = Page::new(&format!("12.47 MB<!--m: {mark}-->")).held();
        assert!(code == Some(1) && told.contains(what), "{mark}: {told}");
    }
    let (code, told, _) = Page::new("12.47 MB<!--m: log_sent routers=4300").held();
    assert!(code == Some(1) && told.contains("without its end"), "{told}");
}

#[test]
fn a_page_without_marks_and_bad_tables_are_bad_input() {
    assert_eq!(Page::new("It sends 12 MB.").held().0, Some(2));
    let good = "12.47 MB/s<!--m: log_sent routers=4300-->";
    for (file, text, what) in [
        ("capacity.csv", "axis,x,figure\nrouters,1,a\n", "no column \"value\""),
        ("capacity.csv", "axis,x,figure,value\nrouters,1,a\n", "line 2: expected 4 cells, found 3"),
        ("capacity.csv", "axis,x,figure,value\nrouters,1,a,b\n", "expected a number, found \"b\""),
        ("capacity-fits.csv", "", "no column \"axis\""),
    ] {
        let page = Page::new(good);
        assert_eq!(page.held().0, Some(0));
        std::fs::write(page.0.path().join(file), text).expect("a file");
        let (code, _, said) = page.held();
        assert!(code == Some(2) && said.contains(file) && said.contains(what), "{said}");
    }
    let page = Page::new(good);
    std::fs::remove_file(page.0.path().join("capacity-fits.csv")).expect("a file");
    assert_eq!(page.held().0, Some(2));
}

#[test]
fn figures_of_real_processes_are_held_and_blank_ones_not_known() {
    let page = |text: &str, real: &str| {
        let page = Page::new(text);
        std::fs::write(page.0.path().join("capacity-real.csv"), real).expect("a file");
        page.held()
    };
    for said in [
        "27.04<!--m: real commits_per_s run=4 purges=10--> commits a second",
        "| 79 ms<!--m: real beat_ms run=4 purges=10--> | 79.2<!--m: real beat_ms run=4 purges=10--> |",
        "12.2 %<!--m: real cpu_percent run=4 purges=100--> of a core, 14.6 MB<!--m: real memory_mb run=4 purges=100-->",
    ] {
        let (code, told, wrong) = page(said, REAL);
        assert_eq!(code, Some(0), "{said}\n{told}{wrong}");
    }
    for (said, what) in [
        ("28.04<!--m: real commits_per_s run=4 purges=10-->", "is 27.0378, the page says 28.04"),
        ("79 MB<!--m: real beat_ms run=4 purges=10-->", "the page says"),
        ("12.2 KB<!--m: real cpu_percent run=4 purges=100-->", "the page says"),
        ("27<!--m: real commits_per_s run=4 purges=100-->", "known: real commits_per_s run=4 purges=10\n"),
        ("1234567<!--m: real commit run=4 purges=100-->", "no figure \"real commit\""),
        ("79 ms<!--m: real beat_ms run=5 purges=10-->", "known: real beat_ms run=4 purges=10, real beat_ms"),
    ] {
        let (code, told, _) = page(said, REAL);
        assert!(code == Some(1) && told.contains(what), "{said}: {told}");
    }
    let good = "27.04<!--m: real commits_per_s run=4 purges=10-->";
    for (real, what) in [
        (REAL.replace("4,3,100", "4,3,10"), "line 3: run 4 at 10 purges a second again"),
        (REAL.replace("27.0378", "many"), "column commits_per_s: expected a number, found \"many\""),
        (REAL.replace("run,", "runs,"), "no column \"run\""),
        (REAL.replace("12.8906,", ""), "line 2: expected 8 cells, found 7"),
    ] {
        let (code, _, said) = page(good, &real);
        assert!(code == Some(2) && said.contains("capacity-real.csv") && said.contains(what), "{said}");
    }
    assert_eq!(Page::new(good).held().0, Some(1));
}

#[test]
fn a_figure_in_milliseconds_is_one() {
    let page = Page::new("3,096.6 ms<!--m: last routers=60--> or 3,097<!--m: last routers=60-->");
    let points = format!("{POINTS}routers,60,last,3.096615e3,ms,simulated\n");
    std::fs::write(page.0.path().join("capacity.csv"), points).expect("a file");
    assert_eq!(page.held().0, Some(0), "{}", page.held().1);
}
