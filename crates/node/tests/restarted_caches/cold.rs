//! Cold servers: all routers together, as processes asked at full speed, before one that has just started.
//!
//! What the stand-in gets is counted when it reads it. Slow times of the machine make it less than the settings allow and chance: a cache
//! that pauses is sent no second budget.

use crate::common::*;
use crate::run_alone;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Milliseconds that an answer takes: the mean work.
const WORK: u64 = 200;
/// The rule of the configuration: share, multiple, warm-up and window.
const SHARE: f64 = 0.24;
const MULTIPLE: f64 = 4.0;
const SPAN: f64 = 60_000.0;
const WINDOW: u64 = 3000;
/// The list's number of the server that starts cold.
const COLD: u32 = 0x0e;

/// A server that takes so long for each answer.
fn at_work() -> Cache {
    Cache::start(|s| FetchBehaviour::OkWithFields {
        delay_ms: WORK,
        fields: "ver=1,born=1,note=hit,waited=0".into(),
        body: part_body(s),
    })
}

/// Routers before three warm caches and one that starts later.
struct Site {
    cold: Cache,
    warm: [Cache; 3],
    behind: [Cache; 2],
    log: ChangeLog,
    each: f64,
    size: f64,
    routers: Vec<Process>,
    loads: Vec<Load>,
}

/// Clients of one router that ask as fast as they are answered, until it ends or they are to stop.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl Load {
    fn start(address: SocketAddr, at_once: u64, from: u64) -> Self {
        let load = Self { stop: Arc::default(), served: Arc::default() };
        let (stop, served) = (Arc::clone(&load.stop), Arc::clone(&load.served));
        thread::spawn(move || {
            let Ok(socket) = TcpStream::connect(address) else { return };
            let mut client = Client::new(socket);
            (1..=at_once).for_each(|tag| client.try_send_request(tag, "pages", from + tag, ""));
            let mut tag = at_once;
            while let Some(got) = client.next().filter(|_| !stop.load(Ordering::SeqCst)) {
                if got.status == "200" {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
                tag += 1;
                client.try_send_request(tag, "pages", from + tag % 40, "");
            }
        });
        load
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Site {
    /// So many routers, with clients who have all been served for a while; `each` is a router's share in requests, at first.
    fn of(routers: usize, each: f64) -> Self {
        let size = each * routers as f64 * WORK as f64 / (MULTIPLE * SHARE * WINDOW as f64);
        let (warm, behind) =
            (std::array::from_fn(|_| at_work()), [Cache::with_all_objects(), Cache::with_all_objects()]);
        let (log, cold) = (ChangeLog::start(), at_work());
        let mut site = Self { cold, warm, behind, log, each, size, routers: Vec::new(), loads: Vec::new() };
        site.start(routers, None);
        site
    }

    fn configuration(&self, routers: usize, number: usize, cold_since: Option<u64>) -> Value {
        let listed =
            [(EDGE, &self.warm[0]), (EDGE_2, &self.warm[1]), (0x0f, &self.warm[2]), (COLD, &self.cold)];
        let mut servers: Vec<ListedServer> =
            listed.iter().map(|(id, c)| ListedServer { id: *id, address: c.address, kind: "box" }).collect();
        servers.push(ListedServer { id: PARENT, address: self.behind[0].address, kind: "parent" });
        servers.push(ListedServer { id: ORIGIN, address: self.behind[1].address, kind: "origin" });
        servers.retain(|s| s.id != COLD || cold_since.is_some());
        let mut config = configuration(&servers, self.log.address);
        // Turns are by seed, and no two processes have the same.
        config["seed"] = json!(format!("{:x}", 0x8c1f_30d2_7a5b * (number as u64 + 1)));
        let set = &mut config["settings"];
        (set["peers-total"], set["weight-kind"]) = (json!(routers), json!("nominal"));
        set["contract"] = json!({"cold": SPAN, "cold-share": SHARE, "drain-grace": 250.0, "fall": WINDOW,
                                 "fall-multiple": MULTIPLE});
        let members = config["known"]["results"][0]["fleet"]["members"].as_array_mut().expect("members");
        for member in members {
            member["size"] = json!(self.size);
            if member["id"] == json!(format!("s-{COLD:08x}")) {
                member["up_since_ms"] = json!(cold_since);
            }
        }
        config
    }

    /// Starts all at once. The first router has the most clients that one connection may carry, up to 15 times another's.
    fn start(&mut self, routers: usize, cold_since: Option<u64>) {
        let lives = self.loads.len() + 1;
        let configs: Vec<Value> =
            (0..routers).map(|n| self.configuration(routers, n + routers * lives, cold_since)).collect();
        self.routers = thread::scope(|s| {
            let all: Vec<_> = configs.iter().map(|c| s.spawn(move || router(c))).collect();
            all.into_iter().map(|r| r.join().expect("a router")).collect()
        });
        let at_once = |n: usize| if n == 0 { 30 } else { self.each.clamp(2.0, 30.0) as u64 };
        let loads = self.routers.iter().enumerate();
        self.loads = loads.map(|(n, r)| Load::start(r.address, at_once(n), 7919 * n as u64)).collect();
        let served = |l: &Load| l.served.load(Ordering::SeqCst) >= 10;
        wait_until("each router has learnt what work takes", || self.loads.iter().all(served));
    }

    /// The cache starts, and all are told.
    fn start_cold(&self) -> u64 {
        let started = unix_ms();
        let mut record = record(COLD, self.cold.address, 0, 0);
        let at = record.len();
        record[at - 12..at - 8].copy_from_slice(&((self.size * 1000.0) as u32).to_be_bytes());
        record[at - 8..].copy_from_slice(&started.to_be_bytes());
        self.log.publish(2, 2, &record);
        started
    }

    /// What the settings allow at that age.
    fn allowed(&self, age: f64) -> f64 {
        let share = SHARE + (1.0 - SHARE) * (age / SPAN).clamp(0.0, 1.0);
        MULTIPLE * share * self.size * WINDOW as f64 / WORK as f64
    }

    /// No window has more than that and chance.
    fn keeps_to_it(&self, started: u64) {
        let mut all: Vec<u64> = self.cold.fetches().iter().map(|s| s.received_ms).collect();
        all.sort_unstable();
        let mut highest = 0f64;
        for (n, at) in all.iter().enumerate() {
            let got = all[..=n].iter().filter(|t| **t + WINDOW > *at).count() as f64;
            let may = self.allowed(at.saturating_sub(started) as f64);
            let most = may + 2.0 * may.sqrt() + 2.0;
            assert!(got <= most, "{got} of {most:.1} in the window up to {} ms of {all:?}", at - started);
            highest = highest.max(got / most);
        }
        let n = self.allowed(0.0);
        println!("{} routers: N {n:.1} at first, at most {highest:.2} of the bound", self.routers.len());
    }

    fn got(&self, least: f64, why: &str) {
        wait_until(why, || self.cold.fetch_count() as f64 >= least);
    }
}

fn windows_full_of_work(routers: usize, each: f64) {
    let _alone = run_alone();
    let site = Site::of(routers, each);
    let started = site.start_cold();
    site.got(1.5 * site.allowed(0.0), "it gets work, window after window");
    site.keeps_to_it(started);
}

fn all_restart_in_the_window(routers: usize, each: f64) {
    let _alone = run_alone();
    let mut site = Site::of(routers, each);
    let started = site.start_cold();
    site.got(0.8 * site.allowed(0.0), "most of its first window's work");
    site.routers.iter_mut().for_each(Process::kill);
    site.start(routers, Some(started));
    let before = site.cold.fetch_count() as f64;
    site.got(before + 0.75 * site.allowed(0.0), "work from the new processes");
    site.keeps_to_it(started);
}

#[test]
fn two_routers_use_a_cold_caches_budget_and_keep_to_it() {
    windows_full_of_work(2, 40.0);
}

#[test]
fn twenty_routers_use_a_cold_caches_budget_and_keep_to_it() {
    windows_full_of_work(20, 6.5);
}

#[test]
fn thirty_routers_take_turns_at_a_cold_cache() {
    windows_full_of_work(30, 0.8);
}

#[test]
fn two_routers_that_restart_in_the_window_send_no_second_budget() {
    all_restart_in_the_window(2, 40.0);
}

#[test]
fn twenty_routers_that_restart_in_the_window_send_no_second_budget() {
    all_restart_in_the_window(20, 6.5);
}
