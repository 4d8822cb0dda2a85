//! The commands of the program: their output, exit codes and usage errors.

mod common;

use common::{configuration, run, text, ChangeLog};

#[test]
fn version_and_help_are_printed() {
    let out = run(&["version"], None);
    assert!(out.status.success());
    assert_eq!(text(&out.stdout), format!("basaltgw {}\n", env!("CARGO_PKG_VERSION")));
    let out = run(&["--help"], None);
    assert!(out.status.success() && text(&out.stdout).contains("check-config"));
}

#[test]
fn unknown_arguments_are_a_usage_error() {
    for (args, expected) in [
        (&[][..], "expected a command"),
        (&["fly"], "unknown command \"fly\""),
        (&["version", "now"], "unexpected argument \"now\""),
    ] {
        let out = run(args, None);
        assert_eq!(out.status.code(), Some(2));
        assert!(text(&out.stderr).contains(expected), "{}", text(&out.stderr));
    }
}

#[test]
fn check_config_reports_faults() {
    let out = run(&["check-config"], None);
    assert!(!out.status.success() && text(&out.stderr).contains("field GW_CONFIG:"));
    let dir = tempfile::tempdir().expect("a temporary directory");
    let file = dir.path().join("router.json");
    let path = file.display().to_string();
    let mut config = configuration(&[], ChangeLog::start().address);
    std::fs::write(&file, config.to_string()).expect("the configuration is written");
    let valid = run(&["check-config"], Some(&path));
    config["limits"]["sockets"] = "many".into();
    std::fs::write(&file, config.to_string()).expect("the configuration is written");
    let (checked, served) = (run(&["check-config"], Some(&path)), run(&["serve"], Some(&path)));
    assert!(valid.status.success());
    assert_eq!(text(&valid.stdout), "n1: 1 events known, listens at 127.0.0.1:0\n");
    for out in [checked, served] {
        assert!(!out.status.success());
        assert!(text(&out.stderr).contains(".json: field limits.sockets:"), "{}", text(&out.stderr));
    }
}
