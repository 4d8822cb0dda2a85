//! Rules of placement on their way into service: checked, shown, and taken over by a running fleet.

mod common;

use basaltgw_emulator::rig::{Outcome, Rig, Spec};
use common::{binary, configuration, run, text, wait_until, ChangeLog, WAIT_LIMIT};
use std::path::{Path, PathBuf};

const WITHIN: u64 = 4_000;
const FOUNDED: &str = "holds { shards 8 copies 3 spread machines }\nroot { copies 3 spread machines }\n";
const NEW: &str = "holds { shards 8 copies 3 spread branches }\nroot { copies 3 spread branches }\n";

/// The own settings of `r1` among so many routers, with rules beside them.
fn own(dir: &Path, name: &str, routers: usize, rules: &str) -> PathBuf {
    let peers: String = (2..=routers)
        .map(|r| format!("    - {{name: r{r}, address: 127.0.0.1:1710{r}, branch: b{r}, machine: m{r}}}\n"))
        .collect();
    let yaml = format!(
        "fleet:\n  cluster: t\n  name: r1\n  branch: b1\n  machine: m1\n  listen: 127.0.0.1:17101\n  \
         folder: lasting\n  rules: {name}.rules\n  peers:\n{peers}"
    );
    std::fs::write(dir.join(format!("{name}.rules")), rules).expect("a file");
    let file = dir.join(format!("{name}.yaml"));
    std::fs::write(&file, yaml).expect("a file");
    file
}

#[test]
fn check_config_reports_faulty_placement_rules_by_position() {
    let dir = tempfile::tempdir().expect("a folder");
    let config = dir.path().join("router.json");
    std::fs::write(&config, configuration(&[], ChangeLog::start().address).to_string()).expect("a file");
    let check = |own: PathBuf| run(&["check-config", "--with", &own.display().to_string()], config.to_str());
    let good = check(own(dir.path(), "good", 3, FOUNDED));
    assert!(good.status.success(), "{}", text(&good.stderr));
    let said = text(&good.stdout);
    assert!(
        said.contains("fleet t: table version 1, 8 shards, 3 copies, 3 routers, no fault found"),
        "{said}"
    );
    let misspelt = check(own(dir.path(), "bad", 3, "holds {\n  shards 8 copies 3 spread machine\n}\n"));
    let few = check(own(dir.path(), "few", 3, "holds { shards 8 copies 5 spread machines }\n"));
    for (out, place, excerpt) in
        [(misspelt, "bad.rules:2:28: ", "spread machine"), (few, "few.rules:1:", "copies 5")]
    {
        let said = text(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{said}");
        // Where it is, and below that the line with a mark under it.
        let at = said.find(place).unwrap_or_else(|| panic!("{place} is not in {said}"));
        assert!(said[at..].contains('│') && said[at..].contains(excerpt), "{said}");
    }
}

#[test]
fn plan_prints_the_table_its_moves_and_the_queries() {
    let dir = tempfile::tempdir().expect("a folder");
    let old = own(dir.path(), "old", 4, FOUNDED).display().to_string();
    let rules = format!("{FOUNDED}home class maps {{ width 2 }}\n");
    let new = own(dir.path(), "new", 5, &rules).display().to_string();
    let plan = |args: &[&str]| {
        let out = run(&[&["plan"], args].concat(), None);
        assert!(out.status.success(), "{}", text(&out.stderr));
        text(&out.stdout)
    };
    let shown = plan(&[&old]);
    let line = |shown: &str, start: &str| {
        let line = shown.lines().find(|l| l.starts_with(start));
        line.unwrap_or_else(|| panic!("no {start} in {shown}")).to_string()
    };
    // Eight shards of three copies each, over four routers of the same size.
    for router in ["r1", "r2", "r3", "r4"] {
        assert!(line(&shown, router).starts_with(&format!("{router}: 6 shards: ")), "{shown}");
    }
    assert!(line(&shown, "root").contains("2 of 3 needed") && !shown.contains("/0000"), "{shown}");
    let shown = plan(&[&new, "--from", &old, "--shard", "3", "--key", "maps:17:4711"]);
    assert!(line(&shown, "version 1 to 2: ").contains("of 8 shards move"), "{shown}");
    assert!(line(&shown, "shard 3, by table version 2").contains("2 of 3 needed"), "{shown}");
    let key = line(&shown, "class maps, group 17, object 4711");
    assert!(shown[shown.find(&key).unwrap_or(0)..].contains("width 2"), "{shown}");
    // The fleet's table alone is asked about.
    let out = run(&["plan", &new, "--key", "maps"], None);
    assert!(!out.status.success() && text(&out.stderr).contains("--key: expected CLASS:GROUP:OBJECT"));
}

/// A founded fleet of three, with a checkout that the first has served.
fn bootstrapped_fleet() -> (Rig, String, Vec<u8>) {
    let rig = Rig::start(Spec { rules: Some(FOUNDED.into()), ..Spec::new(binary(), 3) }).expect("a rig");
    (0..rig.len()).for_each(|r| assert!(rig.wait_until_serving(r, WAIT_LIMIT), "{}", rig.routers[r].log()));
    rig.wait_until_bootstrapped(WAIT_LIMIT).expect("a fleet");
    let id = format!("{:016x}", 0x91ace);
    match checkout(&rig, 0, &id) {
        Some(Outcome::Served(bytes)) => (rig, id, bytes),
        end => panic!("not served: {end:?}"),
    }
}

/// Where the rig has the rules of all its routers: beside their folders.
fn rules_file(rig: &Rig) -> PathBuf {
    let file = rig.routers[0].data_folder.ancestors().nth(2).expect("the rig's folder").join("fleet.rules");
    assert!(file.exists(), "{}", file.display());
    file
}

fn checkout(rig: &Rig, router: usize, id: &str) -> Option<Outcome> {
    let caller = rig.connect_client(router).expect("a connection");
    rig.history.wait_for_outcome(caller.checkout(id, WITHIN), WAIT_LIMIT).expect("an end")
}

fn version(rig: &Rig, router: usize) -> f64 {
    rig.counters(router).get("table_version").copied().unwrap_or(0.0)
}

#[test]
fn new_placement_rules_converge_and_outcomes_stay_readable() {
    let (mut rig, id, bytes) = bootstrapped_fleet();
    let file = rules_file(&rig);
    // What can't be met is refused with its place, and nothing changes.
    std::fs::write(&file, FOUNDED.replace("copies 3", "copies 5")).expect("a file");
    rig.routers[0].reload();
    wait_until("the rules are refused", || rig.routers[0].log_contains("fleet.rules:1:"));
    wait_until("that is counted", || rig.counters(0).get("reloads_refused") == Some(&1.0));
    // Neither are rules taken that come with another change of the section.
    let own = rig.routers[0].data_folder.with_file_name("router-0.yaml");
    let before = std::fs::read_to_string(&own).expect("a file");
    std::fs::write(&own, before.replace("\"copies\": 3", "\"copies\": 3, \"shards\": 9")).expect("a file");
    std::fs::write(&file, NEW).expect("a file");
    rig.routers[0].reload();
    wait_until("the change is warned about", || {
        rig.routers[0].log_contains("only the rules of fleet can change")
    });
    assert!(!rig.routers[0].log_contains("proposed to the fleet"));
    std::fs::write(&own, before).expect("a file");
    rig.routers[0].reload();
    wait_until("all go by the next table", || (0..3).all(|r| version(&rig, r) == 2.0));
    wait_until("all say so", || (0..3).all(|r| rig.routers[r].log_contains("table: version 2 ")));
    for router in 0..3 {
        assert_eq!(checkout(&rig, router, &id), Some(Outcome::Served(bytes.clone())));
        assert_eq!(rig.counters(router).get("tables_refused"), Some(&0.0));
    }
    assert_eq!(rig.archive.executions(&id), 1);
}

#[test]
fn concurrent_rule_changes_adopt_one_and_reject_the_other() {
    let (mut rig, id, bytes) = bootstrapped_fleet();
    let file = rules_file(&rig);
    // With one that does not answer the first offer is still under way when the second comes.
    rig.suspend(2);
    std::fs::write(&file, NEW).expect("a file");
    rig.routers[0].reload();
    wait_until("the first is offered", || rig.routers[1].log_contains(" by r1 is "));
    std::fs::write(&file, format!("{NEW}# others\n")).expect("a file");
    rig.routers[1].reload();
    wait_until("the second is refused", || rig.routers[1].log_contains("new rules rejected: "));
    let said = rig.routers[1].log();
    let refusal = said.lines().find(|l| l.contains("new rules rejected: ")).unwrap_or_default();
    assert!(refusal.contains("r1") && refusal.contains('2'), "{refusal}");
    rig.resume(2);
    wait_until("all go by the first one's", || (0..3).all(|r| version(&rig, r) == 2.0));
    assert_eq!(rig.counters(1).get("tables_refused"), Some(&1.0));
    assert_eq!(checkout(&rig, 1, &id), Some(Outcome::Served(bytes)));
}
