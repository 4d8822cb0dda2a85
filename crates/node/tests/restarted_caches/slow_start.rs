//! Slow start under faults: the only router of a zone has the whole budget of a restarted cache, and the demand is several times that. The
//! stand-in counts a fetch when it reads it, and [`bound`] is the documented limit of the count.

use crate::common::*;
use crate::run_alone;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The time that a cache needs for an answer with bytes, in milliseconds: the mean work of a request.
const WORK_MS: u64 = 100;
/// The slow-start rule of the settings.
const SHARE: f64 = 0.24;
const MULTIPLE: f64 = 4.0;
const WARM_AFTER_MS: f64 = 60_000.0;
/// Requests of mean work that a cache may get in its first window.
const FIRST_BUDGET: f64 = 40.0;
/// The server id of the third warm cache.
const EDGE_3: u32 = 0x0f;
/// The server id of the cache that restarts.
const RESTARTED: u32 = 0x0e;
/// The number of client connections, and the open requests on each.
const CONNECTIONS: u64 = 8;
const OPEN_EACH: u64 = 30;
/// The objects that are requested in turn on each connection.
const OBJECTS_EACH: u64 = 40;
/// A run shows nothing if no window had at least this share of the budget.
const MIN_USED_SHARE: f64 = 0.5;

/// A fault of the restarted cache.
#[derive(Clone, Copy)]
struct Fault {
    /// How it answers the probe of a new connection.
    probe: ProbeBehaviour,
    /// How long it answers nothing after its start, in milliseconds.
    pause_ms: u64,
    /// How many of ten requests are of clients that have the copy: the answer is `current`, at once, without bytes.
    copies_of_ten: u64,
    /// The window of the slow-start budget in the settings, in milliseconds.
    window_ms: u64,
}

const NO_FAULT: Fault = Fault { probe: ProbeBehaviour::Yes, pause_ms: 0, copies_of_ten: 0, window_ms: 1_500 };

/// Clients that send requests on one connection as fast as they are answered, until the load is dropped.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl Load {
    fn start(address: SocketAddr, first_object: u64, copies_of_ten: u64) -> Self {
        let load = Self { stop: Arc::default(), served: Arc::default() };
        let (stop, served) = (Arc::clone(&load.stop), Arc::clone(&load.served));
        thread::spawn(move || {
            let Ok(socket) = TcpStream::connect(address) else { return };
            let mut client = Client::new(socket);
            let send_request = |client: &mut Client, tag: u64| {
                let copy = if tag % 10 < copies_of_ten { ",got=1" } else { "" };
                client.try_send_request(tag, "pages", first_object + tag * 7 % OBJECTS_EACH, copy);
            };
            (1..=OPEN_EACH).for_each(|tag| send_request(&mut client, tag));
            let mut tag = OPEN_EACH;
            while let Some(answer) = client.next().filter(|_| !stop.load(Ordering::SeqCst)) {
                if answer.status == "200" {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
                tag += 1;
                send_request(&mut client, tag);
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

/// A cache whose answers take the mean work, except for copies that clients have; it answers nothing while paused.
fn cache(probe: ProbeBehaviour, paused_until: &Arc<AtomicU64>) -> Cache {
    let paused_until = Arc::clone(paused_until);
    Cache::start_with_probes(
        move |_| probe,
        move |fetch| {
            let pause = paused_until.load(Ordering::SeqCst).saturating_sub(fetch.received_ms);
            match fetch.field("seen") {
                Some(_) if pause == 0 => {
                    FetchBehaviour::Answer { status: "current", fields: "ver=1,born=1,note=hit,waited=0" }
                }
                _ => FetchBehaviour::OkWithFields {
                    delay_ms: WORK_MS.max(pause),
                    fields: "ver=1,born=1,note=hit,waited=0".into(),
                    body: part_body(fetch),
                },
            }
        },
    )
}

/// The size on the list at which the first window's budget is [`FIRST_BUDGET`].
fn listed_size(window_ms: u64) -> f64 {
    FIRST_BUDGET * WORK_MS as f64 / (MULTIPLE * SHARE * window_ms as f64)
}

fn settings(config: &mut Value, window_ms: u64) {
    let settings = &mut config["settings"];
    settings["weight-kind"] = json!("nominal");
    settings["limits"]["connect-timeout"] = json!(20_000.0);
    settings["contract"] = json!({"cold": WARM_AFTER_MS, "cold-share": SHARE, "drain-grace": 250.0, "fall": window_ms,
                             "fall-multiple": MULTIPLE});
    let members =
        config["known"]["results"][0]["fleet"]["members"].as_array_mut().expect("the members are a list");
    members.iter_mut().for_each(|member| member["size"] = json!(listed_size(window_ms)));
}

/// Announces that the cache has started now; returns that time.
fn announce_start(log: &ChangeLog, address: SocketAddr, window_ms: u64) -> u64 {
    let started = unix_ms();
    let mut record = record(RESTARTED, address, EndpointState::Up, EDGE_KIND);
    // A record ends with the weight in thousandths and the time of the start.
    let end = record.len();
    record[end - 12..end - 8].copy_from_slice(&((listed_size(window_ms) * 1000.0) as u32).to_be_bytes());
    record[end - 8..].copy_from_slice(&started.to_be_bytes());
    log.publish(2, frame_kind::LIST_UPDATE, &record);
    started
}

/// The most fetches that a window may have: the budget at this age, with an allowance for random deviation, whose standard deviation is the
/// square root of the count. Budgets below 30 fetches have the wider allowance.
fn bound(age_ms: f64) -> f64 {
    let share = SHARE + (1.0 - SHARE) * (age_ms / WARM_AFTER_MS).clamp(0.0, 1.0);
    let budget = FIRST_BUDGET * share / SHARE;
    if budget < 30.0 {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// The highest count of any window, as a share of its bound.
fn highest_share(fetches: &[ReceivedFetch], started: u64, window_ms: u64) -> f64 {
    let mut arrived: Vec<u64> = fetches.iter().map(|fetch| fetch.received_ms).collect();
    arrived.sort_unstable();
    let shares = arrived.iter().enumerate().map(|(last, end)| {
        let in_window = arrived[..=last].iter().filter(|other| **other + window_ms > *end).count();
        in_window as f64 / bound(end.saturating_sub(started) as f64)
    });
    shares.fold(0.0, f64::max)
}

/// Restarts the cache under a fault and observes it for three windows and its pause; returns the highest share of the bound.
fn run_restart(name: &str, fault: Fault) -> f64 {
    let never_paused = Arc::new(AtomicU64::new(0));
    let warm: [Cache; 3] = std::array::from_fn(|_| cache(ProbeBehaviour::Yes, &never_paused));
    let fill_sources = [Cache::with_all_objects(), Cache::with_all_objects()];
    let paused_until = Arc::new(AtomicU64::new(0));
    let restarted = cache(fault.probe, &paused_until);
    let log = ChangeLog::start();
    let listed = [
        ListedServer { id: EDGE, address: warm[0].address, kind: "box" },
        ListedServer { id: EDGE_2, address: warm[1].address, kind: "box" },
        ListedServer { id: EDGE_3, address: warm[2].address, kind: "box" },
        ListedServer { id: PARENT, address: fill_sources[0].address, kind: "parent" },
        ListedServer { id: ORIGIN, address: fill_sources[1].address, kind: "origin" },
    ];
    let mut config = configuration(&listed, log.address);
    settings(&mut config, fault.window_ms);
    let router = router(&config);
    let loads: Vec<Load> =
        (0..CONNECTIONS).map(|n| Load::start(router.address, 7_919 * n, fault.copies_of_ten)).collect();
    let served = || loads.iter().map(|load| load.served.load(Ordering::SeqCst)).sum::<usize>();
    wait_until("the router has measured the work of its requests", || served() >= 2_000);
    paused_until.store(unix_ms() + fault.pause_ms, Ordering::SeqCst);
    let started = announce_start(&log, restarted.address, fault.window_ms);
    thread::sleep(Duration::from_millis(3 * fault.window_ms + fault.pause_ms));
    let highest = highest_share(&restarted.fetches(), started, fault.window_ms);
    println!("{name}: {} fetches, {highest:.2} of the bound", restarted.fetch_count());
    assert!(
        highest * bound(0.0) >= MIN_USED_SHARE * FIRST_BUDGET,
        "{name}: no budget was used: {highest:.2}"
    );
    highest
}

#[test]
fn restarted_cache_is_sent_at_most_its_slow_start_budget_under_faults() {
    let _alone = run_alone();
    let late =
        Fault { probe: ProbeBehaviour::YesAfter(Duration::from_millis(150)), window_ms: 250, ..NO_FAULT };
    let paused = Fault { pause_ms: 1_200, window_ms: 3_000, ..NO_FAULT };
    let copies = Fault { copies_of_ten: 3, ..NO_FAULT };
    let runs = [
        ("no fault", run_restart("no fault", NO_FAULT)),
        ("connections come up late", run_restart("connections come up late", late)),
        ("the cache pauses", run_restart("the cache pauses", paused)),
        ("clients hold copies", run_restart("clients hold copies", copies)),
    ];
    let over: Vec<_> = runs.into_iter().filter(|(_, highest)| *highest > 1.0).collect();
    assert!(over.is_empty(), "over the bound: {over:?}");
}
