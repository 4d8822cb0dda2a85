//! What a router has learnt is left at its end and taken over at its next start, in another deployment too.

mod common;

use common::*;
use serde_json::{json, Value};
use std::path::PathBuf;
use tempfile::TempDir;

struct Files {
    yaml: PathBuf,
    snapshot: PathBuf,
    _dir: TempDir,
}

impl Files {
    fn new() -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let (yaml, snapshot) = (dir.path().join("own.yaml"), dir.path().join("snapshot"));
        std::fs::write(&yaml, format!("carry: {{file: {}}}\n", snapshot.display())).expect("a file");
        Self { yaml, snapshot, _dir: dir }
    }

    fn start(&self, config: &Value) -> Process {
        router_by(config, &format!("exec \"$0\" serve --with {}", self.yaml.display()))
    }
}

/// A zone with a slow cache and a quick one.
struct Zone {
    slow: Cache,
    quick: Cache,
    parent: Cache,
    origin: Cache,
    log: ChangeLog,
}

impl Zone {
    fn new() -> Self {
        Self {
            slow: Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 150, body: part_body(s) }),
            quick: Cache::start(|s| FetchBehaviour::OkAfter { delay_ms: 5, body: part_body(s) }),
            parent: Cache::with_all_objects(),
            origin: Cache::with_all_objects(),
            log: ChangeLog::start(),
        }
    }

    fn config(&self) -> Value {
        let listed = [
            ListedServer { id: EDGE, address: self.slow.address, kind: "box" },
            ListedServer { id: EDGE_2, address: self.quick.address, kind: "box" },
            ListedServer { id: PARENT, address: self.parent.address, kind: "parent" },
            ListedServer { id: ORIGIN, address: self.origin.address, kind: "origin" },
        ];
        configuration(&listed, self.log.address)
    }

    /// A deployment of another build: nothing past the caches, rough sizes, other aims.
    fn other(&self) -> Value {
        let mut config = self.config();
        config["settings"]["family-info"]["pass-through-ok"] = json!(false);
        config["settings"]["family-info"]["lateral"] = json!("location");
        config["settings"]["weight-kind"] = json!("rough");
        config["settings"]["services"][0]["slo"] = json!(600.0);
        config
    }
}

/// Asks for objects one after another; how many of them the slow cache was asked for.
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
    // A file that never had a plan is none that has lost it.
    router.signal("HUP");
    wait_until("it is read again", || router.counter("reloads") == 1);
    assert!(
        router.has_logged("reload: change log address") && !router.has_logged("no plan in section hierarchy")
    );
    let mut client = router.client();
    let unlearnt = requests_to_slow_cache(&mut client, &zone, 1..13);
    requests_to_slow_cache(&mut client, &zone, 13..80);
    router.signal("TERM");
    drop(client);
    assert!(router.expect_exit().success());
    assert!(router.has_logged("snapshot of 4 servers written"));
    // The other deployment starts with it.
    let router = files.start(&zone.other());
    assert_eq!(router.counter("carried"), 4);
    let mut client = router.client();
    let carried = requests_to_slow_cache(&mut client, &zone, 1..13);
    assert!(unlearnt >= 3 && carried * 2 < unlearnt, "{unlearnt} of 12 without, {carried} with it");
    assert_eq!(client.answers_before_pong(), []);
}

#[test]
fn unusable_snapshot_is_logged_and_ignored() {
    let (zone, files) = (Zone::new(), Files::new());
    let mut router = files.start(&zone.config());
    router.signal("TERM");
    assert!(router.expect_exit().success());
    let whole = std::fs::read_to_string(&files.snapshot).expect("what was left");
    let cut = &whole[..whole.len() / 2];
    for (text, says) in [
        (cut.to_string(), "cut off"),
        (whole.replacen(" 1 ", " 9 ", 1), "of version 9"),
        (whole.replace("EDGE", "edge").replacen("servers", "savers", 1), "altered"),
        (String::new(), "cut off in its first line"),
    ] {
        std::fs::write(&files.snapshot, text).expect("a file");
        let router = files.start(&zone.config());
        assert!(router.has_logged(&format!("snapshot {} ignored", files.snapshot.display())), "{says}");
        assert!(router.has_logged(says), "{says}");
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
