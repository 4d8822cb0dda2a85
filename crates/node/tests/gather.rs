//! Scatter-gather requests at three routers in three branches: complete answers, partial answers whose continuation another router serves,
//! no split of a request that could be executed twice, and no effect where scatter-gather is off.

mod common;

use basaltgw_emulator::rig::spec::{router_name, router_settings};
use basaltgw_emulator::rig::Spec;
use common::*;
use serde_json::json;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Placement rules of three replicas each, and the scatter-gather rule of the class `pages`.
const RULES: &str = "holds { shards 16 copies 3 spread machines }\nroot { copies 3 spread machines }\n\
                     gather class pages { at least 50% of parts  wait 300 ms  missing owed }\n";

/// Three routers, each in front of a cache in its own branch.
struct ThreeBranches {
    spec: Spec,
    listen: Vec<SocketAddr>,
    _ports: Vec<OwnedFd>,
    routers: Vec<Option<Process>>,
    caches: Vec<Cache>,
    /// The version of the copies in each branch.
    versions: Vec<Arc<AtomicU64>>,
    log: ChangeLog,
    dir: TempDir,
}

/// The bytes of a part as the cache of a branch serves it.
fn part_bytes(part: &str, branch: &str) -> Vec<u8> {
    format!("{part} of {branch};").into_bytes()
}

impl ThreeBranches {
    /// Starts the routers, with scatter-gather on or off, and waits until they serve with a table.
    fn start(gather: bool) -> Self {
        let spec = Spec { scatter_gather: gather, rules: Some(RULES.into()), ..Spec::new(binary(), 3) };
        let born = unix_ms();
        let versions: Vec<Arc<AtomicU64>> = (0..3).map(|_| Arc::new(AtomicU64::new(1))).collect();
        let cache = |r: usize| {
            let version = Arc::clone(&versions[r]);
            let branch = spec.locations[r].branch.clone();
            Cache::start(move |fetch| {
                let version = version.load(Ordering::SeqCst);
                let fields = format!("ver=v{version},born={born},note=hit,waited=0");
                FetchBehaviour::OkWithFields {
                    delay_ms: 0,
                    fields,
                    body: part_bytes(fetch.field("p").unwrap_or("?"), &branch),
                }
            })
        };
        let caches = (0..3).map(cache).collect();
        let dir = TempDir::new().expect("a temporary directory");
        let (_ports, listen) = (0..3).map(|_| refused_address()).unzip();
        let routers = vec![None, None, None];
        let mut fleet =
            Self { spec, _ports, listen, routers, caches, versions, log: ChangeLog::start(), dir };
        (0..3).for_each(|r| fleet.start_router(r));
        (0..3).for_each(|r| fleet.wait_until_serving(r));
        wait_until("all routers are linked and have adopted a table", || {
            (0..3).all(|r| {
                let router = fleet.routers[r].as_ref().expect("the router starts");
                router.counter("peers_up") == 2 && router.counter("table_version") >= 1
            })
        });
        fleet
    }

    /// Starts a router at the address that it has in the settings of the others.
    fn start_router(&mut self, r: usize) {
        let home = self.dir.path().join(router_name(r));
        let (data_folder, rules) = (home.join("lasting"), self.dir.path().join("fleet.rules"));
        std::fs::create_dir_all(&data_folder).expect("a temporary directory");
        std::fs::write(&rules, RULES).expect("the rules are written");
        let cache = &self.caches[r];
        let mut config = configuration(&edge_parent_origin(cache, cache, cache), self.log.address);
        config["name"] = json!(router_name(r));
        config["settings"]["peers-total"] = json!(3);
        let peers: Vec<_> = (0..3).filter(|p| *p != r).map(|p| (p, self.listen[p])).collect();
        let text = router_settings(&self.spec, r, self.listen[r], &data_folder, Some(&rules), &peers);
        let router = Process::start_in_dir(binary(), &home, r, &config, &text).expect("the router starts");
        self.routers[r] = Some(router);
    }

    fn wait_until_serving(&self, r: usize) {
        let mut client = self.router(r).client();
        poll_until("the router is serving", || {
            client.send_message("PING", 999_999);
            client.expect_answer().status == "serving"
        });
    }

    fn router(&self, r: usize) -> &Process {
        self.routers[r].as_ref().expect("the router runs")
    }
}

#[test]
fn parts_of_three_sites_make_one_answer() {
    let fleet = ThreeBranches::start(true);
    let mut client = fleet.router(0).client();
    client.send_request(1, "pages", 7, ",parts=3@east+0+1@south", b"");
    let answer = client.expect_answer();
    assert_eq!((answer.tag, answer.status.as_str()), (1, "200"), "{answer:?}");
    let parts = [part_bytes("3", "east"), part_bytes("0", "north"), part_bytes("1", "south")];
    assert_eq!(answer.body, parts.concat());
    let [a, b, c] = parts.map(|p| p.len());
    assert_eq!(answer.fields, format!("parts=3:{a}+0:{b}+1:{c}"));
    assert_eq!(client.answers_before_pong(), []);
    for (r, part) in [(0, "0"), (1, "1"), (2, "3")] {
        let fetches = fleet.caches[r].fetches();
        assert!(
            fetches.iter().all(|fetch| fetch.field("p") == Some(part)) && !fetches.is_empty(),
            "{fetches:?}"
        );
    }
    assert_eq!(fleet.router(0).counter("gathers_whole"), 1);
    assert_eq!(fleet.router(1).counter("parts_given") + fleet.router(2).counter("parts_given"), 2);
    // A malformed list of parts, and an unknown branch, make a request malformed.
    for (tag, malformed) in [(2, "0+0"), (3, "0@nowhere"), (4, "x")] {
        client.send_request(tag, "pages", 7, &format!(",parts={malformed}"), b"");
        assert_eq!(client.expect_answer().status, "500", "{malformed}");
    }
    assert_eq!(fleet.router(0).counter("gathers"), 1);
}

#[test]
fn parts_of_an_unreachable_site_are_answered_by_continuation_at_another_router() {
    let mut fleet = ThreeBranches::start(true);
    fleet.routers[2] = None;
    let mut client = fleet.router(0).client();
    let start = Instant::now();
    client.send_request(1, "pages", 9, ",parts=0+1@south+2@east", b"");
    let answer = client.expect_answer();
    assert_eq!(answer.status, "206", "{answer:?}");
    assert!(start.elapsed() < Duration::from_millis(3_000), "the answer comes long before the deadline");
    assert_eq!(answer.field("missing").as_deref(), Some("2"));
    assert_eq!(answer.body, [part_bytes("0", "north"), part_bytes("1", "south")].concat());
    assert!(answer.field("w").is_some());
    let continuation = answer.field("debt").expect("the answer names a continuation");
    assert_eq!(fleet.router(0).counter("debts_kept"), 1);
    // The continuation gives neither other parts nor other objects.
    let mut other = fleet.router(1).client();
    other.send_request(1, "pages", 9, &format!(",parts=1,debt={continuation}"), b"");
    assert_eq!(other.expect_answer().status, "500");
    other.send_request(2, "pages", 10, &format!(",parts=2@east,debt={continuation}"), b"");
    assert_eq!(other.expect_answer().status, "500");
    assert_eq!(fleet.router(1).counter("debts_unknown"), 2);
    // The router returns with another version of the object, which does not fit the parts already served.
    fleet.versions[2].store(2, Ordering::SeqCst);
    fleet.start_router(2);
    fleet.wait_until_serving(2);
    let mut other = fleet.router(1).client();
    let mut tag = 0;
    let mut request_missing_part = || {
        tag += 1;
        other.send_request(tag, "pages", 9, &format!(",parts=2@east,debt={continuation}"), b"");
        other.expect_answer()
    };
    poll_until("the cache with the other version is asked", || {
        assert_ne!(request_missing_part().status, "200");
        fleet.caches[2].fetch_count() > 0
    });
    fleet.versions[2].store(1, Ordering::SeqCst);
    let mut served_part = None;
    poll_until("the missing part is served", || {
        let answer = request_missing_part();
        served_part = (answer.status == "200").then_some(answer.body);
        served_part.is_some()
    });
    assert_eq!(served_part, Some(part_bytes("2", "east")));
    poll_until("the continuation is finished", || request_missing_part().status == "500");
    assert!(fleet.router(1).counter("debts_paid") >= 1);
}

#[test]
fn non_idempotent_request_is_never_split() {
    let fleet = ThreeBranches::start(true);
    let mut client = fleet.router(0).client();
    client.send_request(1, "loan", 7, ",parts=0+1@south", b"");
    assert_eq!(client.expect_answer().status, "500");
    client.send_request(2, "loan", 7, ",parts=0+1", b"borrow");
    assert_eq!(client.expect_answer().status, "500");
    assert_eq!(client.answers_before_pong(), []);
    assert!(fleet.caches.iter().all(|c| c.fetches().is_empty()));
    assert_eq!(fleet.router(0).counter("gathers_failed"), 1);
}

#[test]
fn parts_field_is_ignored_where_scatter_gather_is_off() {
    let fleet = ThreeBranches::start(false);
    let mut client = fleet.router(0).client();
    client.send_request(1, "pages", 7, ",parts=0+1@south", b"");
    let answer = client.expect_answer();
    assert_eq!((answer.status.as_str(), answer.fields.as_str()), ("200", ""), "{answer:?}");
    assert_eq!(answer.body, part_bytes("0", "north"));
    assert!(fleet.caches[1].fetches().is_empty());
    assert!(!fleet.router(0).log_text().contains("gathers="));
}

#[test]
fn silent_site_does_not_delay_the_answer_to_the_deadline() {
    let fleet = ThreeBranches::start(true);
    fleet.router(2).signal("STOP");
    let mut client = fleet.router(0).client();
    let start = Instant::now();
    client.send_request(1, "pages", 9, ",parts=0+1@south+2@east", b"");
    let answer = client.expect_answer();
    assert!(start.elapsed() < Duration::from_millis(3_000), "the answer comes long before the deadline");
    assert_eq!(
        (answer.status.as_str(), answer.field("missing").as_deref()),
        ("206", Some("2")),
        "{answer:?}"
    );
    assert_eq!(
        fleet.router(0).counter("parts_wanted"),
        2,
        "the silent site was asked, on a link that was up"
    );
    // A request for a single part needs all of it, so it waits for the silent site.
    client.send_request(2, "pages", 9, ",parts=2@east", b"");
    client.send_message("UNDO", 2);
    let rest = client.answers_before_pong();
    assert!(rest.iter().all(|answer| answer.status != "200"), "{rest:?}");
    let counter = |c: &str| fleet.router(0).counter(c);
    assert_eq!(counter("gathers_left") + rest.len() as u64, 1);
    fleet.router(2).signal("CONT");
}
