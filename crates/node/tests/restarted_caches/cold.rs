//! Slow start at several router processes under full load: together they keep to the budget of a cache that has just started.
//!
//! The stand-in counts a fetch when it reads it. A machine that is slow at times makes the counts smaller than the budget and its random
//! deviation, never larger: a cache that pauses is sent no second budget.

use crate::common::*;
use crate::run_alone;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The time that a cache needs for an answer, in milliseconds: the mean work of a request.
const WORK_MS: u64 = 200;
/// The slow-start rule of the settings: the share of its full load that a cold cache gets at first, the multiple of its size that counts as
/// full load, the time until it is warm, and the window of the budget.
const SHARE: f64 = 0.24;
const MULTIPLE: f64 = 4.0;
const WARM_AFTER_MS: f64 = 60_000.0;
const WINDOW_MS: u64 = 3000;
/// The server id of the third warm cache.
const EDGE_3: u32 = 0x0f;
/// The server id of the cache that starts cold.
const COLD_ID: u32 = 0x0e;

/// A cache that needs the mean work for each answer.
fn working_cache() -> Cache {
    Cache::start(|fetch| FetchBehaviour::OkWithFields {
        delay_ms: WORK_MS,
        fields: "ver=1,born=1,note=hit,waited=0".into(),
        body: part_body(fetch),
    })
}

/// Routers in front of three warm caches and one that starts later.
struct Site {
    cold: Cache,
    warm: [Cache; 3],
    /// The parent and the origin.
    fill_sources: [Cache; 2],
    log: ChangeLog,
    /// The number of requests in the first budget of one router.
    budget_each: f64,
    /// The size of each cache on the list.
    size: f64,
    routers: Vec<Process>,
    loads: Vec<Load>,
}

/// Clients of one router that send requests as fast as they are answered, on one connection, until it is closed or the load is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl Load {
    fn start(address: SocketAddr, open_requests: u64, first_object: u64) -> Self {
        let load = Self { stop: Arc::default(), served: Arc::default() };
        let (stop, served) = (Arc::clone(&load.stop), Arc::clone(&load.served));
        thread::spawn(move || {
            let Ok(socket) = TcpStream::connect(address) else { return };
            let mut client = Client::new(socket);
            (1..=open_requests).for_each(|tag| client.try_send_request(tag, "pages", first_object + tag, ""));
            let mut tag = open_requests;
            while let Some(answer) = client.next().filter(|_| !stop.load(Ordering::SeqCst)) {
                if answer.status == "200" {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
                tag += 1;
                client.try_send_request(tag, "pages", first_object + tag % 40, "");
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
    /// Starts routers whose clients have all been served for a while; `budget_each` is the first budget of one router, in requests.
    fn start(routers: usize, budget_each: f64) -> Self {
        let size = budget_each * routers as f64 * WORK_MS as f64 / (MULTIPLE * SHARE * WINDOW_MS as f64);
        let (warm, fill_sources) = (
            std::array::from_fn(|_| working_cache()),
            [Cache::with_all_objects(), Cache::with_all_objects()],
        );
        let (log, cold) = (ChangeLog::start(), working_cache());
        let mut site =
            Self { cold, warm, fill_sources, log, budget_each, size, routers: Vec::new(), loads: Vec::new() };
        site.start_routers(routers, None);
        site
    }

    fn configuration(&self, routers: usize, number: usize, cold_since: Option<u64>) -> Value {
        let listed =
            [(EDGE, &self.warm[0]), (EDGE_2, &self.warm[1]), (EDGE_3, &self.warm[2]), (COLD_ID, &self.cold)];
        let mut servers: Vec<ListedServer> =
            listed.iter().map(|(id, c)| ListedServer { id: *id, address: c.address, kind: "box" }).collect();
        servers.push(ListedServer { id: PARENT, address: self.fill_sources[0].address, kind: "parent" });
        servers.push(ListedServer { id: ORIGIN, address: self.fill_sources[1].address, kind: "origin" });
        servers.retain(|server| server.id != COLD_ID || cold_since.is_some());
        let mut config = configuration(&servers, self.log.address);
        // Routers take turns at the cold cache by their seeds, which differ between processes.
        config["seed"] = json!(format!("{:x}", 0x8c1f_30d2_7a5b * (number as u64 + 1)));
        let settings = &mut config["settings"];
        (settings["peers-total"], settings["weight-kind"]) = (json!(routers), json!("nominal"));
        settings["contract"] = json!({"cold": WARM_AFTER_MS, "cold-share": SHARE, "drain-grace": 250.0, "fall": WINDOW_MS,
                                 "fall-multiple": MULTIPLE});
        let members =
            config["known"]["results"][0]["fleet"]["members"].as_array_mut().expect("the members are a list");
        for member in members {
            member["size"] = json!(self.size);
            if member["id"] == json!(format!("s-{COLD_ID:08x}")) {
                member["up_since_ms"] = json!(cold_since);
            }
        }
        config
    }

    /// Starts all routers at once. The first has as many open requests as one connection may carry, up to 15 times those of another.
    fn start_routers(&mut self, routers: usize, cold_since: Option<u64>) {
        let generation = self.loads.len() + 1;
        let configs: Vec<Value> =
            (0..routers).map(|n| self.configuration(routers, n + routers * generation, cold_since)).collect();
        self.routers = thread::scope(|scope| {
            let all: Vec<_> = configs.iter().map(|c| scope.spawn(move || router(c))).collect();
            all.into_iter().map(|r| r.join().expect("the router starts")).collect()
        });
        let open_requests = |n: usize| if n == 0 { 30 } else { self.budget_each.clamp(2.0, 30.0) as u64 };
        let loads = self.routers.iter().enumerate();
        self.loads = loads.map(|(n, r)| Load::start(r.address, open_requests(n), 7919 * n as u64)).collect();
        let served = |l: &Load| l.served.load(Ordering::SeqCst) >= 10;
        wait_until("each router has measured the work of its requests", || self.loads.iter().all(served));
    }

    /// Announces the start of the cold cache to all routers; returns its time.
    fn start_cold(&self) -> u64 {
        let started = unix_ms();
        let mut record = record(COLD_ID, self.cold.address, EndpointState::Up, EDGE_KIND);
        // A record ends with the weight in thousandths and the time of the start.
        let end = record.len();
        record[end - 12..end - 8].copy_from_slice(&((self.size * 1000.0) as u32).to_be_bytes());
        record[end - 8..].copy_from_slice(&started.to_be_bytes());
        self.log.publish(2, frame_kind::LIST_UPDATE, &record);
        started
    }

    /// The requests that the settings allow in a window at this age of the cache.
    fn allowed(&self, age_ms: f64) -> f64 {
        let share = SHARE + (1.0 - SHARE) * (age_ms / WARM_AFTER_MS).clamp(0.0, 1.0);
        MULTIPLE * share * self.size * WINDOW_MS as f64 / WORK_MS as f64
    }

    /// Asserts that no window has more requests than allowed, with an allowance for random deviation.
    fn assert_within_budget(&self, started: u64) {
        let mut all: Vec<u64> = self.cold.fetches().iter().map(|fetch| fetch.received_ms).collect();
        all.sort_unstable();
        let mut highest = 0f64;
        for (n, end) in all.iter().enumerate() {
            let received = all[..=n].iter().filter(|t| **t + WINDOW_MS > *end).count() as f64;
            let allowed = self.allowed(end.saturating_sub(started) as f64);
            let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
            assert!(
                received <= bound,
                "{received} of {bound:.1} in the window up to {} ms of {all:?}",
                end - started
            );
            highest = highest.max(received / bound);
        }
        let n = self.allowed(0.0);
        println!("{} routers: N {n:.1} at first, at most {highest:.2} of the bound", self.routers.len());
    }

    /// Waits until the cold cache has got this many requests.
    fn wait_for_requests(&self, min: f64, description: &str) {
        wait_until(description, || self.cold.fetch_count() as f64 >= min);
    }
}

fn run_consecutive_windows(routers: usize, budget_each: f64) {
    let _alone = run_alone();
    let site = Site::start(routers, budget_each);
    let started = site.start_cold();
    site.wait_for_requests(1.5 * site.allowed(0.0), "the cold cache gets one and a half budgets");
    site.assert_within_budget(started);
}

fn run_restart_in_the_window(routers: usize, budget_each: f64) {
    let _alone = run_alone();
    let mut site = Site::start(routers, budget_each);
    let started = site.start_cold();
    site.wait_for_requests(0.8 * site.allowed(0.0), "the cold cache gets most of its first budget");
    site.routers.iter_mut().for_each(Process::kill);
    site.start_routers(routers, Some(started));
    let before = site.cold.fetch_count() as f64;
    site.wait_for_requests(
        before + 0.75 * site.allowed(0.0),
        "the cold cache gets requests of the new processes",
    );
    site.assert_within_budget(started);
}

#[test]
fn two_routers_use_a_cold_caches_budget_and_keep_to_it() {
    run_consecutive_windows(2, 40.0);
}

#[test]
fn twenty_routers_use_a_cold_caches_budget_and_keep_to_it() {
    run_consecutive_windows(20, 6.5);
}

#[test]
fn thirty_routers_take_turns_at_a_cold_cache() {
    run_consecutive_windows(30, 0.8);
}

#[test]
fn two_routers_that_restart_in_the_window_send_no_second_budget() {
    run_restart_in_the_window(2, 40.0);
}

#[test]
fn twenty_routers_that_restart_in_the_window_send_no_second_budget() {
    run_restart_in_the_window(20, 6.5);
}
