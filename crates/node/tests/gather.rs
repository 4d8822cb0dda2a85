//! Requests for several parts at three routers in three branches: whole, in part with a debt that another router pays, never split where an
//! effect could run twice, and nothing of it where it is off.

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

const RULES: &str = "holds { shards 16 copies 3 spread machines }\nroot { copies 3 spread machines }\n\
                     gather class pages { at least 50% of parts  wait 300 ms  missing owed }\n";

/// Three routers, each before a cache of its own branch.
struct Three {
    spec: Spec,
    listen: Vec<SocketAddr>,
    _ports: Vec<OwnedFd>,
    routers: Vec<Option<Process>>,
    caches: Vec<Cache>,
    /// The version that each branch's caches give.
    versions: Vec<Arc<AtomicU64>>,
    log: ChangeLog,
    dir: TempDir,
}

/// What the caches of a branch give for a part.
fn bytes(part: &str, branch: &str) -> Vec<u8> {
    format!("{part} of {branch};").into_bytes()
}

impl Three {
    fn start(gather: bool) -> Self {
        let spec = Spec { scatter_gather: gather, rules: Some(RULES.into()), ..Spec::new(binary(), 3) };
        let born = unix_ms();
        let versions: Vec<Arc<AtomicU64>> = (0..3).map(|_| Arc::new(AtomicU64::new(1))).collect();
        let cache = |r: usize| {
            let version = Arc::clone(&versions[r]);
            let branch = spec.locations[r].branch.clone();
            Cache::start(move |s| {
                let version = version.load(Ordering::SeqCst);
                let fields = format!("ver=v{version},born={born},note=hit,waited=0");
                FetchBehaviour::OkWithFields {
                    delay_ms: 0,
                    fields,
                    body: bytes(s.field("p").unwrap_or("?"), &branch),
                }
            })
        };
        let caches = (0..3).map(cache).collect();
        let dir = TempDir::new().expect("a folder");
        let (_ports, listen) = (0..3).map(|_| refused_address()).unzip();
        let routers = vec![None, None, None];
        let mut three =
            Self { spec, _ports, listen, routers, caches, versions, log: ChangeLog::start(), dir };
        (0..3).for_each(|r| three.begin(r));
        (0..3).for_each(|r| three.serves(r));
        wait_until("all are met, and a table is adopted", || {
            (0..3).all(|r| {
                let router = three.routers[r].as_ref().expect("a router");
                router.counter("peers_up") == 2 && router.counter("table_version") >= 1
            })
        });
        three
    }

    fn begin(&mut self, r: usize) {
        let home = self.dir.path().join(router_name(r));
        let (folder, rules) = (home.join("lasting"), self.dir.path().join("fleet.rules"));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(&rules, RULES).expect("rules");
        let cache = &self.caches[r];
        let mut config = configuration(&edge_parent_origin(cache, cache, cache), self.log.address);
        config["name"] = json!(router_name(r));
        config["settings"]["peers-total"] = json!(3);
        let peers: Vec<_> = (0..3).filter(|p| *p != r).map(|p| (p, self.listen[p])).collect();
        let text = router_settings(&self.spec, r, self.listen[r], &folder, Some(&rules), &peers);
        let router = Process::start_in_dir(binary(), &home, r, &config, &text).expect("a router");
        self.routers[r] = Some(router);
    }

    fn serves(&self, r: usize) {
        let mut client = self.router(r).client();
        poll_until("it serves", || {
            client.send_message("PING", 999_999);
            client.expect_answer().status == "serving"
        });
    }

    fn router(&self, r: usize) -> &Process {
        self.routers[r].as_ref().expect("a router that runs")
    }
}

#[test]
fn parts_of_three_sites_make_one_answer() {
    let three = Three::start(true);
    let mut client = three.router(0).client();
    client.send_request(1, "pages", 7, ",parts=3@east+0+1@south", b"");
    let got = client.expect_answer();
    assert_eq!((got.tag, got.status.as_str()), (1, "200"), "{got:?}");
    let parts = [bytes("3", "east"), bytes("0", "north"), bytes("1", "south")];
    assert_eq!(got.body, parts.concat());
    let [a, b, c] = parts.map(|p| p.len());
    assert_eq!(got.fields, format!("parts=3:{a}+0:{b}+1:{c}"));
    assert_eq!(client.answers_before_pong(), []);
    for (r, part) in [(0, "0"), (1, "1"), (2, "3")] {
        let seen = three.caches[r].fetches();
        assert!(seen.iter().all(|s| s.field("p") == Some(part)) && !seen.is_empty(), "{seen:?}");
    }
    assert_eq!(three.router(0).counter("gathers_whole"), 1);
    assert_eq!(three.router(1).counter("parts_given") + three.router(2).counter("parts_given"), 2);
    // What can't be read, and a branch that the fleet has not, are no request.
    for (tag, wrong) in [(2, "0+0"), (3, "0@nowhere"), (4, "x")] {
        client.send_request(tag, "pages", 7, &format!(",parts={wrong}"), b"");
        assert_eq!(client.expect_answer().status, "500", "{wrong}");
    }
    assert_eq!(three.router(0).counter("gathers"), 1);
}

#[test]
fn parts_of_an_unreachable_site_are_answered_by_continuation_at_another_router() {
    let mut three = Three::start(true);
    three.routers[2] = None;
    let mut client = three.router(0).client();
    let begun = Instant::now();
    client.send_request(1, "pages", 9, ",parts=0+1@south+2@east", b"");
    let got = client.expect_answer();
    assert_eq!(got.status, "206", "{got:?}");
    assert!(begun.elapsed() < Duration::from_millis(3_000), "long before the deadline");
    assert_eq!(got.field("missing").as_deref(), Some("2"));
    assert_eq!(got.body, [bytes("0", "north"), bytes("1", "south")].concat());
    assert!(got.field("w").is_some());
    let debt = got.field("debt").expect("a debt");
    assert_eq!(three.router(0).counter("debts_kept"), 1);
    // What is not owed under it is not given under it.
    let mut other = three.router(1).client();
    other.send_request(1, "pages", 9, &format!(",parts=1,debt={debt}"), b"");
    assert_eq!(other.expect_answer().status, "500");
    other.send_request(2, "pages", 10, &format!(",parts=2@east,debt={debt}"), b"");
    assert_eq!(other.expect_answer().status, "500");
    assert_eq!(three.router(1).counter("debts_unknown"), 2);
    // It returns with another version, which does not go with what was given.
    three.versions[2].store(2, Ordering::SeqCst);
    three.begin(2);
    three.serves(2);
    let mut other = three.router(1).client();
    let mut tag = 0;
    let mut ask = || {
        tag += 1;
        other.send_request(tag, "pages", 9, &format!(",parts=2@east,debt={debt}"), b"");
        other.expect_answer()
    };
    poll_until("the other version is had", || {
        assert_ne!(ask().status, "200");
        three.caches[2].fetch_count() > 0
    });
    three.versions[2].store(1, Ordering::SeqCst);
    let mut paid = None;
    poll_until("the rest is had", || {
        let got = ask();
        paid = (got.status == "200").then_some(got.body);
        paid.is_some()
    });
    assert_eq!(paid, Some(bytes("2", "east")));
    poll_until("the debt is over", || ask().status == "500");
    assert!(three.router(1).counter("debts_paid") >= 1);
}

#[test]
fn non_idempotent_request_is_never_split() {
    let three = Three::start(true);
    let mut client = three.router(0).client();
    client.send_request(1, "loan", 7, ",parts=0+1@south", b"");
    assert_eq!(client.expect_answer().status, "500");
    client.send_request(2, "loan", 7, ",parts=0+1", b"borrow");
    assert_eq!(client.expect_answer().status, "500");
    assert_eq!(client.answers_before_pong(), []);
    assert!(three.caches.iter().all(|c| c.fetches().is_empty()));
    assert_eq!(three.router(0).counter("gathers_failed"), 1);
}

#[test]
fn parts_field_is_ignored_where_scatter_gather_is_off() {
    let three = Three::start(false);
    let mut client = three.router(0).client();
    client.send_request(1, "pages", 7, ",parts=0+1@south", b"");
    let got = client.expect_answer();
    assert_eq!((got.status.as_str(), got.fields.as_str()), ("200", ""), "{got:?}");
    assert_eq!(got.body, bytes("0", "north"));
    assert!(three.caches[1].fetches().is_empty());
    assert!(!three.router(0).log_text().contains("gathers="));
}

#[test]
fn silent_site_does_not_delay_the_answer_to_the_deadline() {
    let three = Three::start(true);
    three.router(2).signal("STOP");
    let mut client = three.router(0).client();
    let begun = Instant::now();
    client.send_request(1, "pages", 9, ",parts=0+1@south+2@east", b"");
    let got = client.expect_answer();
    assert!(begun.elapsed() < Duration::from_millis(3_000), "long before the deadline");
    assert_eq!((got.status.as_str(), got.field("missing").as_deref()), ("206", Some("2")), "{got:?}");
    assert_eq!(three.router(0).counter("parts_wanted"), 2, "it was asked, on a link that was up");
    // All is needed of a part alone, so that one waits.
    client.send_request(2, "pages", 9, ",parts=2@east", b"");
    client.send_message("UNDO", 2);
    let rest = client.answers_before_pong();
    assert!(rest.iter().all(|g| g.status != "200"), "{rest:?}");
    let ended = |c: &str| three.router(0).counter(c);
    assert_eq!(ended("gathers_left") + rest.len() as u64, 1);
    three.router(2).signal("CONT");
}
