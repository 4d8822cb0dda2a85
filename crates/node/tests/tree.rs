//! The plan of the cache tree on a running router: kept to, reloaded whole or not at all, taken back; loops answered from elsewhere.

mod common;

use common::*;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use tempfile::TempDir;

const PARENT_2: u32 = 0x0e;

fn id(n: u32) -> String {
    format!("s-{n:08x}")
}

/// A settings file with a plan in which the edge cache may ask these parents, and the archive after them.
fn plan(version: u64, sources: &[u32]) -> String {
    let sources: Vec<String> = sources.iter().chain([&ORIGIN]).map(|s| id(*s)).collect();
    let hub = |n| format!("      - {{id: {}, tier: 1, sources: [{}]}}\n", id(n), id(ORIGIN));
    format!(
        "hierarchy:\n  plan:\n    version: {version}\n    nodes:\n      - {{id: {}, tier: 0}}\n{}{}      - {{id: {}, tier: 3, sources: [{}]}}\n  \
         reshape: {{proofs: 1, quiet_ms: 100, idle_ms: 200}}\n",
        id(ORIGIN),
        hub(PARENT),
        hub(PARENT_2),
        id(EDGE),
        sources.join(", ")
    )
}

struct Own {
    file: PathBuf,
    _dir: TempDir,
}

impl Own {
    fn new(text: &str) -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("own.yaml");
        std::fs::write(&file, text).expect("a file");
        Self { file, _dir: dir }
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
    }
}

/// An edge cache that fills everything from whom it is told to; two parents; the origin.
fn config(edge: &Cache, log: &ChangeLog) -> Value {
    let (parent, other, origin) =
        (Cache::with_all_objects(), Cache::with_all_objects(), Cache::with_all_objects());
    let listed = [
        ListedServer { id: EDGE, address: edge.address, kind: "box" },
        ListedServer { id: PARENT, address: parent.address, kind: "parent" },
        ListedServer { id: PARENT_2, address: other.address, kind: "parent" },
        ListedServer { id: ORIGIN, address: origin.address, kind: "origin" },
    ];
    configuration(&listed, log.address)
}

fn filled(s: &ReceivedFetch) -> FetchBehaviour {
    let _ = s;
    FetchBehaviour::Answer { status: "ok", fields: "ver=1,born=1,note=filled,waited=1" }
}

fn start(config: &Value, own: &Own) -> Process {
    router_by(config, &format!("exec \"$0\" serve --with {}", own.file.display()))
}

/// Asks for objects one after another; the sources that the edge cache was told since then.
fn sources(client: &mut Client, edge: &Cache, tags: std::ops::Range<u64>) -> BTreeSet<String> {
    let before = edge.fetch_count();
    for tag in tags {
        client.send_request(tag, "pages", 0x5000 + tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    edge.fetches()[before..].iter().filter_map(|s| s.field("from").map(str::to_string)).collect()
}

#[test]
fn plan_is_followed_reloaded_in_steps_and_rolled_back() {
    let edge = Cache::start(filled);
    let log = ChangeLog::start();
    let own = Own::new(&plan(1, &[PARENT]));
    let router = start(&config(&edge, &log), &own);
    let mut client = router.client();
    assert_eq!(sources(&mut client, &edge, 1..40), BTreeSet::from([id(PARENT)]));
    // A plan that can't be used changes nothing.
    own.write(&plan(2, &[PARENT, 0x77]));
    router.signal("HUP");
    wait_until("it is refused", || router.counter("reloads_refused") == 1);
    assert_eq!(sources(&mut client, &edge, 40..60), BTreeSet::from([id(PARENT)]));
    // A second parent comes, and with the answers it gets its share.
    own.write(&plan(2, &[PARENT, PARENT_2]));
    router.signal("HUP");
    wait_until("it is taken", || router.counter("plans") == 2);
    let mut next = 60;
    until_polling("the change is through", || {
        let seen = sources(&mut client, &edge, next..next + 20);
        next += 20;
        assert!(seen.iter().all(|s| *s == id(PARENT) || *s == id(PARENT_2)));
        router.counter("plans_ended") == 2
    });
    assert_eq!(sources(&mut client, &edge, next..next + 60).len(), 2, "each has its part");
    assert_eq!(router.counter("plans_refused"), 0);
}

#[test]
fn reloading_the_old_plan_rolls_back_the_change_in_progress() {
    let edge = Cache::start(filled);
    let log = ChangeLog::start();
    let old =
        plan(1, &[PARENT]).replace("proofs: 1", "proofs: 10000").replace("idle_ms: 200", "idle_ms: 60000");
    let own = Own::new(&old);
    let router = start(&config(&edge, &log), &own);
    let mut client = router.client();
    sources(&mut client, &edge, 1..3);
    own.write(&old.replace("version: 1", "version: 2").replace(
        &format!("[{}, {}]}}\n  r", id(PARENT), id(ORIGIN)),
        &format!("[{}, {}]}}\n  r", id(PARENT_2), id(ORIGIN)),
    ));
    router.signal("HUP");
    wait_until("it is under way", || router.counter("plans") == 2);
    own.write(&old);
    router.signal("HUP");
    wait_until("it is taken back", || router.counter("plans") == 3);
    assert_eq!(router.counter("plans_refused"), 0);
    assert_eq!(sources(&mut client, &edge, 10..40), BTreeSet::from([id(PARENT)]));
}

#[test]
fn fill_loop_is_answered_by_the_other_parent_within_the_deadline() {
    let first = AtomicBool::new(true);
    let edge = Cache::start(move |s| match first.swap(false, Ordering::SeqCst) {
        true => FetchBehaviour::Answer { status: "nothing", fields: "note=src_looped" },
        false => filled(s),
    });
    let log = ChangeLog::start();
    let own = Own::new(&plan(1, &[PARENT, PARENT_2]));
    let router = start(&config(&edge, &log), &own);
    let mut client = router.client();
    client.send_request(1, "pages", 7, "", b"");
    assert_eq!(client.expect_answer().status, "200");
    assert_eq!(client.answers_before_pong(), []);
    let asked: Vec<String> =
        edge.fetches().iter().filter_map(|s| s.field("from").map(str::to_string)).collect();
    assert!(asked.len() == 2 && asked[0] != asked[1], "{asked:?}");
    assert_eq!(router.counter("loops"), 1);
}

#[test]
fn invalid_settings_file_is_reported_by_line_and_key_and_prevents_start() {
    let edge = Cache::start(filled);
    let log = ChangeLog::start();
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("router.json");
    std::fs::write(&file, config(&edge, &log).to_string()).expect("a file");
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_basaltgw");
        let out = Command::new(program).args(args).env("GW_CONFIG", &file).output().expect("a process");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
        )
    };
    let own = Own::new(&plan(1, &[PARENT]).replace("tier: 3", "tier: 12"));
    let path = own.file.display().to_string();
    for command in [&["serve", "--with", &path][..], &["check-config", "--with", &path], &["plan", &path]] {
        let (code, said) = run(command);
        assert_eq!(code, Some(1), "{said}");
        assert!(said.contains(&format!("{path}:8: hierarchy.plan.nodes[3].tier: 12")), "{said}");
    }
    own.write(&plan(2, &[PARENT, PARENT_2]));
    let before = Own::new(&plan(1, &[PARENT]));
    let (code, said) = run(&["plan", &path, "--from", &before.file.display().to_string()]);
    assert_eq!(code, Some(0), "{said}");
    assert!(
        said.contains("plan 2: 4 nodes, no fault found") && said.contains("from plan 1: 1 steps"),
        "{said}"
    );
    let _ = std::fs::remove_file(&file);
}
