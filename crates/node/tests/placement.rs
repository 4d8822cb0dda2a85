//! Placement rules from file to fleet: checked by `check-config`, shown by `plan`, and adopted by a running fleet.

mod common;

use basaltgw_emulator::rig::{Outcome, Rig, Spec};
use common::{binary, configuration, run, text, wait_until, ChangeLog, WAIT_LIMIT};
use std::path::{Path, PathBuf};

/// The deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// The placement rules at the bootstrap of the fleet, and those that replace them.
const INITIAL_RULES: &str =
    "holds { shards 8 copies 3 spread machines }\nroot { copies 3 spread machines }\n";
const NEW_RULES: &str = "holds { shards 8 copies 3 spread branches }\nroot { copies 3 spread branches }\n";

/// Writes the settings of `r1` in a fleet of this many routers, with a rules file beside them; returns the path of the settings.
fn write_settings(dir: &Path, name: &str, routers: usize, rules: &str) -> PathBuf {
    let peers: String = (2..=routers)
        .map(|r| format!("    - {{name: r{r}, address: 127.0.0.1:1710{r}, branch: b{r}, machine: m{r}}}\n"))
        .collect();
    let yaml = format!(
        "fleet:\n  cluster: t\n  name: r1\n  branch: b1\n  machine: m1\n  listen: 127.0.0.1:17101\n  \
         folder: lasting\n  rules: {name}.rules\n  peers:\n{peers}"
    );
    std::fs::write(dir.join(format!("{name}.rules")), rules).expect("the file is written");
    let file = dir.join(format!("{name}.yaml"));
    std::fs::write(&file, yaml).expect("the file is written");
    file
}

#[test]
fn check_config_reports_faulty_placement_rules_by_position() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let config = dir.path().join("router.json");
    std::fs::write(&config, configuration(&[], ChangeLog::start().address).to_string())
        .expect("the file is written");
    let check = |settings: PathBuf| {
        run(&["check-config", "--with", &settings.display().to_string()], config.to_str())
    };
    let valid = check(write_settings(dir.path(), "good", 3, INITIAL_RULES));
    assert!(valid.status.success(), "{}", text(&valid.stderr));
    let output = text(&valid.stdout);
    assert!(
        output.contains("fleet t: table version 1, 8 shards, 3 copies, 3 routers, no fault found"),
        "{output}"
    );
    let misspelled =
        check(write_settings(dir.path(), "bad", 3, "holds {\n  shards 8 copies 3 spread machine\n}\n"));
    let unmet = check(write_settings(dir.path(), "few", 3, "holds { shards 8 copies 5 spread machines }\n"));
    for (out, place, excerpt) in
        [(misspelled, "bad.rules:2:28: ", "spread machine"), (unmet, "few.rules:1:", "copies 5")]
    {
        let errors = text(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{errors}");
        // The position of the fault is followed by the line with a mark under the fault.
        let start = errors.find(place).unwrap_or_else(|| panic!("{place} is not in {errors}"));
        assert!(errors[start..].contains('│') && errors[start..].contains(excerpt), "{errors}");
    }
}

#[test]
fn plan_prints_the_table_its_moves_and_the_queries() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let old = write_settings(dir.path(), "old", 4, INITIAL_RULES).display().to_string();
    let rules = format!("{INITIAL_RULES}home class maps {{ width 2 }}\n");
    let new = write_settings(dir.path(), "new", 5, &rules).display().to_string();
    let plan = |args: &[&str]| {
        let out = run(&[&["plan"], args].concat(), None);
        assert!(out.status.success(), "{}", text(&out.stderr));
        text(&out.stdout)
    };
    let output = plan(&[&old]);
    let line = |output: &str, start: &str| {
        let line = output.lines().find(|l| l.starts_with(start));
        line.unwrap_or_else(|| panic!("no {start} in {output}")).to_string()
    };
    // Eight shards of three copies each are spread over four routers of the same size.
    for router in ["r1", "r2", "r3", "r4"] {
        assert!(line(&output, router).starts_with(&format!("{router}: 6 shards: ")), "{output}");
    }
    assert!(line(&output, "root").contains("2 of 3 needed") && !output.contains("/0000"), "{output}");
    let output = plan(&[&new, "--from", &old, "--shard", "3", "--key", "maps:17:4711"]);
    assert!(line(&output, "version 1 to 2: ").contains("of 8 shards move"), "{output}");
    assert!(line(&output, "shard 3, by table version 2").contains("2 of 3 needed"), "{output}");
    let key = line(&output, "class maps, group 17, object 4711");
    assert!(output[output.find(&key).unwrap_or(0)..].contains("width 2"), "{output}");
    // A key without its group and object is a usage error.
    let out = run(&["plan", &new, "--key", "maps"], None);
    assert!(!out.status.success() && text(&out.stderr).contains("--key: expected CLASS:GROUP:OBJECT"));
}

/// A bootstrapped fleet of three routers, with the id and bytes of a checkout that the first router served.
fn bootstrapped_fleet() -> (Rig, String, Vec<u8>) {
    let rig = Rig::start(Spec { rules: Some(INITIAL_RULES.into()), ..Spec::new(binary(), 3) })
        .expect("the rig starts");
    (0..rig.len())
        .for_each(|r| assert!(rig.wait_until_serving(r, WAIT_LIMIT), "{}", rig.routers[r].log_text()));
    rig.wait_until_bootstrapped(WAIT_LIMIT).expect("the fleet is bootstrapped");
    let id = format!("{:016x}", 0x91ace);
    match checkout(&rig, 0, &id) {
        Some(Outcome::Served(bytes)) => (rig, id, bytes),
        outcome => panic!("the checkout was not served: {outcome:?}"),
    }
}

/// The rules file that all routers of the rig share, beside their directories.
fn rules_file(rig: &Rig) -> PathBuf {
    let file =
        rig.routers[0].data_folder.ancestors().nth(2).expect("the directory of the rig").join("fleet.rules");
    assert!(file.exists(), "{}", file.display());
    file
}

fn checkout(rig: &Rig, router: usize, id: &str) -> Option<Outcome> {
    let client = rig.connect_client(router).expect("the router accepts a connection");
    rig.history.wait_for_outcome(client.checkout(id, DEADLINE_MS), WAIT_LIMIT).expect("the request ended")
}

fn version(rig: &Rig, router: usize) -> f64 {
    rig.counters(router).get("table_version").copied().unwrap_or(0.0)
}

#[test]
fn new_placement_rules_converge_and_outcomes_stay_readable() {
    let (mut rig, id, bytes) = bootstrapped_fleet();
    let file = rules_file(&rig);
    // Rules that the fleet can't meet are rejected with their position, and nothing changes.
    std::fs::write(&file, INITIAL_RULES.replace("copies 3", "copies 5")).expect("the file is written");
    rig.routers[0].reload();
    wait_until("the rules are rejected", || rig.routers[0].has_logged("fleet.rules:1:"));
    wait_until("the rejection is counted", || rig.counters(0).get("reloads_refused") == Some(&1.0));
    // New rules are not adopted together with another change of the section.
    let settings = rig.routers[0].data_folder.with_file_name("router-0.yaml");
    let before = std::fs::read_to_string(&settings).expect("the file is read");
    std::fs::write(&settings, before.replace("\"copies\": 3", "\"copies\": 3, \"shards\": 9"))
        .expect("the file is written");
    std::fs::write(&file, NEW_RULES).expect("the file is written");
    rig.routers[0].reload();
    wait_until("the router warns about the other change", || {
        rig.routers[0].has_logged("only the rules of fleet can change")
    });
    assert!(!rig.routers[0].has_logged("proposed to the fleet"));
    std::fs::write(&settings, before).expect("the file is written");
    rig.routers[0].reload();
    wait_until("all routers have table version 2", || (0..3).all(|r| version(&rig, r) == 2.0));
    wait_until("all routers log the new table", || {
        (0..3).all(|r| rig.routers[r].has_logged("table: version 2 "))
    });
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
    // While one router does not answer, the first proposal is still in progress when the second is made.
    rig.suspend(2);
    std::fs::write(&file, NEW_RULES).expect("the file is written");
    rig.routers[0].reload();
    wait_until("the proposal of the first router reaches another router", || {
        rig.routers[1].has_logged(" by r1 is ")
    });
    std::fs::write(&file, format!("{NEW_RULES}# others\n")).expect("the file is written");
    rig.routers[1].reload();
    wait_until("the proposal of the second router is rejected", || {
        rig.routers[1].has_logged("new rules rejected: ")
    });
    let log = rig.routers[1].log_text();
    let rejection = log.lines().find(|l| l.contains("new rules rejected: ")).unwrap_or_default();
    assert!(rejection.contains("r1") && rejection.contains('2'), "{rejection}");
    rig.resume(2);
    wait_until("all routers have the table of the first router", || (0..3).all(|r| version(&rig, r) == 2.0));
    assert_eq!(rig.counters(1).get("tables_refused"), Some(&1.0));
    assert_eq!(checkout(&rig, 1, &id), Some(Outcome::Served(bytes)));
}
