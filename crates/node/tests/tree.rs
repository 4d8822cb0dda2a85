//! The plan of the cache hierarchy on a running router: it is followed, reloaded completely or not at all, and rolled back. A fill loop is
//! retried with another fill source.

mod common;

use common::*;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use tempfile::TempDir;

const PARENT_2: u32 = 0x0e;

fn server_id(n: u32) -> String {
    format!("s-{n:08x}")
}

/// Settings with a plan in which the edge cache fills from these parents, and from the origin after them.
fn plan(version: u64, sources: &[u32]) -> String {
    let sources: Vec<String> = sources.iter().chain([&ORIGIN]).map(|source| server_id(*source)).collect();
    let hub = |n| format!("      - {{id: {}, tier: 1, sources: [{}]}}\n", server_id(n), server_id(ORIGIN));
    format!(
        "hierarchy:\n  plan:\n    version: {version}\n    nodes:\n      - {{id: {}, tier: 0}}\n{}{}      - {{id: {}, tier: 3, sources: [{}]}}\n  \
         reshape: {{proofs: 1, quiet_ms: 100, idle_ms: 200}}\n",
        server_id(ORIGIN),
        hub(PARENT),
        hub(PARENT_2),
        server_id(EDGE),
        sources.join(", ")
    )
}

/// A settings file in a directory of its own.
struct SettingsFile {
    file: PathBuf,
    _dir: TempDir,
}

impl SettingsFile {
    fn new(text: &str) -> Self {
        let dir = tempfile::tempdir().expect("a temporary directory");
        let file = dir.path().join("own.yaml");
        std::fs::write(&file, text).expect("the file is written");
        Self { file, _dir: dir }
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("the file is written");
    }
}

/// A configuration with this edge cache, two parents and the origin.
fn config(edge: &Cache, log: &ChangeLog) -> Value {
    let (parent, second_parent, origin) =
        (Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects());
    let listed = [
        ListedServer { id: EDGE, address: edge.address, kind: "box" },
        ListedServer { id: PARENT, address: parent.address, kind: "parent" },
        ListedServer { id: PARENT_2, address: second_parent.address, kind: "parent" },
        ListedServer { id: ORIGIN, address: origin.address, kind: "origin" },
    ];
    configuration(&listed, log.address)
}

/// Answers that the cache filled the object.
fn filled(_: &ReceivedFetch) -> FetchBehaviour {
    FetchBehaviour::Answer { status: "ok", fields: "ver=1,born=1,note=filled,waited=1" }
}

fn start(config: &Value, settings: &SettingsFile) -> Process {
    router_from_shell(config, &format!("exec \"$0\" serve --with {}", settings.file.display()))
}

/// Requests objects one after another; returns the fill sources that the edge cache was sent with them.
fn fill_sources(client: &mut Client, edge: &Cache, tags: std::ops::Range<u64>) -> BTreeSet<String> {
    let before = edge.fetch_count();
    for tag in tags {
        client.send_request(tag, "pages", 0x5000 + tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    edge.fetches()[before..].iter().filter_map(|fetch| fetch.field("from").map(str::to_string)).collect()
}

#[test]
fn plan_is_followed_reloaded_in_steps_and_rolled_back() {
    let edge = Cache::start(filled);
    let log = ChangeLog::start();
    let settings = SettingsFile::new(&plan(1, &[PARENT]));
    let router = start(&config(&edge, &log), &settings);
    let mut client = router.client();
    assert_eq!(fill_sources(&mut client, &edge, 1..40), BTreeSet::from([server_id(PARENT)]));
    // An invalid plan changes nothing.
    settings.write(&plan(2, &[PARENT, 0x77]));
    router.signal("HUP");
    wait_until("the invalid plan is rejected", || router.counter("reloads_refused") == 1);
    assert_eq!(fill_sources(&mut client, &edge, 40..60), BTreeSet::from([server_id(PARENT)]));
    // A second parent is added, and gets its share step by step as requests through it are answered.
    settings.write(&plan(2, &[PARENT, PARENT_2]));
    router.signal("HUP");
    wait_until("the new plan is adopted", || router.counter("plans") == 2);
    let mut next = 60;
    poll_until("the change of plan is complete", || {
        let used = fill_sources(&mut client, &edge, next..next + 20);
        next += 20;
        assert!(used.iter().all(|source| *source == server_id(PARENT) || *source == server_id(PARENT_2)));
        router.counter("plans_ended") == 2
    });
    assert_eq!(fill_sources(&mut client, &edge, next..next + 60).len(), 2, "both parents are used");
    assert_eq!(router.counter("plans_refused"), 0);
}

#[test]
fn reloading_the_old_plan_rolls_back_the_change_in_progress() {
    let edge = Cache::start(filled);
    let log = ChangeLog::start();
    let old =
        plan(1, &[PARENT]).replace("proofs: 1", "proofs: 10000").replace("idle_ms: 200", "idle_ms: 60000");
    let settings = SettingsFile::new(&old);
    let router = start(&config(&edge, &log), &settings);
    let mut client = router.client();
    fill_sources(&mut client, &edge, 1..3);
    settings.write(&old.replace("version: 1", "version: 2").replace(
        &format!("[{}, {}]}}\n  r", server_id(PARENT), server_id(ORIGIN)),
        &format!("[{}, {}]}}\n  r", server_id(PARENT_2), server_id(ORIGIN)),
    ));
    router.signal("HUP");
    wait_until("the change of plan has started", || router.counter("plans") == 2);
    settings.write(&old);
    router.signal("HUP");
    wait_until("the old plan is adopted again", || router.counter("plans") == 3);
    assert_eq!(router.counter("plans_refused"), 0);
    assert_eq!(fill_sources(&mut client, &edge, 10..40), BTreeSet::from([server_id(PARENT)]));
}

#[test]
fn fill_loop_is_answered_by_the_other_parent_within_the_deadline() {
    let first = AtomicBool::new(true);
    let edge = Cache::start(move |fetch| match first.swap(false, Ordering::SeqCst) {
        true => FetchBehaviour::Answer { status: "nothing", fields: "note=src_looped" },
        false => filled(fetch),
    });
    let log = ChangeLog::start();
    let settings = SettingsFile::new(&plan(1, &[PARENT, PARENT_2]));
    let router = start(&config(&edge, &log), &settings);
    let mut client = router.client();
    client.send_request(1, "pages", 7, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
    let used: Vec<String> =
        edge.fetches().iter().filter_map(|fetch| fetch.field("from").map(str::to_string)).collect();
    assert!(used.len() == 2 && used[0] != used[1], "{used:?}");
    assert_eq!(router.counter("loops"), 1);
}

#[test]
fn invalid_settings_file_is_reported_by_line_and_key_and_prevents_start() {
    let edge = Cache::start(filled);
    let log = ChangeLog::start();
    let dir = tempfile::tempdir().expect("a temporary directory");
    let file = dir.path().join("router.json");
    std::fs::write(&file, config(&edge, &log).to_string()).expect("the file is written");
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_basaltgw");
        let out =
            Command::new(program).args(args).env("GW_CONFIG", &file).output().expect("the program runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
        )
    };
    let settings = SettingsFile::new(&plan(1, &[PARENT]).replace("tier: 3", "tier: 12"));
    let path = settings.file.display().to_string();
    for command in [&["serve", "--with", &path][..], &["check-config", "--with", &path], &["plan", &path]] {
        let (code, output) = run(command);
        assert_eq!(code, Some(1), "{output}");
        assert!(output.contains(&format!("{path}:8: hierarchy.plan.nodes[3].tier: 12")), "{output}");
    }
    settings.write(&plan(2, &[PARENT, PARENT_2]));
    let before = SettingsFile::new(&plan(1, &[PARENT]));
    let (code, output) = run(&["plan", &path, "--from", &before.file.display().to_string()]);
    assert_eq!(code, Some(0), "{output}");
    assert!(
        output.contains("plan 2: 4 nodes, no fault found") && output.contains("from plan 1: 1 steps"),
        "{output}"
    );
    let _ = std::fs::remove_file(&file);
}
