//! A router writes a snapshot of its server statistics at shutdown and restores it at its next start, also with other settings.

mod common;

use common::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use tempfile::TempDir;

/// A settings file that names a snapshot file, in a directory of their own.
struct Files {
    settings: PathBuf,
    snapshot: PathBuf,
    _dir: TempDir,
}

impl Files {
    fn new() -> Self {
        let dir = tempfile::tempdir().expect("a temporary directory");
        let (settings, snapshot) = (dir.path().join("own.yaml"), dir.path().join("snapshot"));
        std::fs::write(&settings, format!("carry: {{file: {}}}\n", snapshot.display()))
            .expect("the file is written");
        Self { settings, snapshot, _dir: dir }
    }

    fn start(&self, config: &Value) -> Process {
        router_from_shell(config, &format!("exec \"$0\" serve --with {}", self.settings.display()))
    }
}

/// A zone with a slow edge cache and a fast one.
struct Zone {
    slow: Cache,
    fast: Cache,
    parent: Cache,
    origin: Cache,
    log: ChangeLog,
}

impl Zone {
    fn new() -> Self {
        Self {
            slow: Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 150, body: part_body(fetch) }),
            fast: Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 5, body: part_body(fetch) }),
            parent: Cache::with_all_objects(),
            origin: Cache::with_all_objects(),
            log: ChangeLog::start(),
        }
    }

    fn config(&self) -> Value {
        let listed = [
            ListedServer { id: EDGE, address: self.slow.address, kind: "box" },
            ListedServer { id: EDGE_2, address: self.fast.address, kind: "box" },
            ListedServer { id: PARENT, address: self.parent.address, kind: "parent" },
            ListedServer { id: ORIGIN, address: self.origin.address, kind: "origin" },
        ];
        configuration(&listed, self.log.address)
    }

    /// The configuration of another deployment: no pass-through, rough weights and another latency objective.
    fn other_deployment(&self) -> Value {
        let mut config = self.config();
        config["settings"]["family-info"]["pass-through-ok"] = json!(false);
        config["settings"]["family-info"]["lateral"] = json!("location");
        config["settings"]["weight-kind"] = json!("rough");
        config["settings"]["services"][0]["slo"] = json!(600.0);
        config
    }
}

/// Requests objects one after another; returns how many of the requests the slow cache got.
fn requests_to_slow_cache(client: &mut Client, zone: &Zone, tags: std::ops::Range<u64>) -> usize {
    let before = zone.slow.fetch_count();
    for tag in tags {
        client.send_request(tag, "pages", 0x7000 + tag, "", b"");
        assert_eq!(client.expect_answer().status, "200");
    }
    zone.slow.fetch_count() - before
}

#[test]
fn restored_snapshot_spares_a_slow_server() {
    let (zone, files) = (Zone::new(), Files::new());
    let mut router = files.start(&zone.config());
    assert!(router.has_logged("no snapshot at"));
    // A settings file that never had a plan is not reported as having lost its plan.
    router.signal("HUP");
    wait_until("the settings are reloaded", || router.counter("reloads") == 1);
    assert!(
        router.has_logged("reload: change log address") && !router.has_logged("no plan in section hierarchy")
    );
    let mut client = router.client();
    let without_snapshot = requests_to_slow_cache(&mut client, &zone, 1..13);
    requests_to_slow_cache(&mut client, &zone, 13..80);
    router.signal("TERM");
    drop(client);
    assert!(router.expect_exit().success());
    assert!(router.has_logged("snapshot of 4 servers written"));
    // A router with the settings of the other deployment restores the same snapshot.
    let router = files.start(&zone.other_deployment());
    assert_eq!(router.counter("carried"), 4);
    let mut client = router.client();
    let with_snapshot = requests_to_slow_cache(&mut client, &zone, 1..13);
    assert!(
        without_snapshot >= 3 && with_snapshot * 2 < without_snapshot,
        "of 12 requests the slow cache got {without_snapshot} without a snapshot and {with_snapshot} with it"
    );
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn unusable_snapshot_is_logged_and_ignored() {
    let (zone, files) = (Zone::new(), Files::new());
    let mut router = files.start(&zone.config());
    router.signal("TERM");
    assert!(router.expect_exit().success());
    let snapshot = std::fs::read_to_string(&files.snapshot).expect("the snapshot was written");
    let truncated = &snapshot[..snapshot.len() / 2];
    for (text, reason) in [
        (truncated.to_string(), "cut off"),
        (snapshot.replacen(" 1 ", " 9 ", 1), "of version 9"),
        (snapshot.replace("EDGE", "edge").replacen("servers", "savers", 1), "altered"),
        (String::new(), "cut off in its first line"),
    ] {
        std::fs::write(&files.snapshot, text).expect("the file is written");
        let router = files.start(&zone.config());
        assert!(router.has_logged(&format!("snapshot {} ignored", files.snapshot.display())), "{reason}");
        assert!(router.has_logged(reason), "{reason}");
        let mut client = router.client();
        client.send_request(1, "pages", 1, "", b"");
        assert_eq!((client.expect_answer().status.as_str(), router.counter("carried")), ("200", 0));
    }
}

#[test]
fn restarted_server_is_not_restored_from_the_snapshot() {
    let (zone, files) = (Zone::new(), Files::new());
    let mut router = files.start(&zone.config());
    let mut client = router.client();
    requests_to_slow_cache(&mut client, &zone, 1..40);
    router.signal("TERM");
    drop(client);
    assert!(router.expect_exit().success());
    let mut config = zone.config();
    config["known"]["results"][0]["fleet"]["members"][0]["up_since_ms"] = json!(unix_ms());
    let router = files.start(&config);
    assert_eq!(router.counter("carried"), 3);
}
