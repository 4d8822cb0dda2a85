//! Slow start under faults: one router that is alone in its zone, and so has a restarted cache's whole budget, under demand of several
//! times that. The stand-in counts a fetch when it reads it, and the bound is the page's.

use crate::common::*;
use crate::run_alone;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Milliseconds that an answer with bytes takes: the mean work.
const WORK_MS: u64 = 100;
/// The slow-start rule of the settings.
const SHARE: f64 = 0.24;
const MULTIPLE: f64 = 4.0;
const WARM_AFTER_MS: f64 = 60_000.0;
/// Requests of mean work that a cache may get in its first window.
const FIRST_BUDGET: f64 = 40.0;
/// The list's number of the cache that restarts.
const RESTARTED: u32 = 0x0e;
/// Clients' connections, and requests that each has open.
const CONNECTIONS: u64 = 8;
const OPEN_EACH: u64 = 30;
/// Objects that each connection asks for in turn.
const OBJECTS_EACH: u64 = 40;
/// A run in which a window had less than this share of the budget has shown nothing.
const LEAST_USED: f64 = 0.5;

/// What goes wrong at the restarted cache.
#[derive(Clone, Copy)]
struct Fault {
    /// How a new connection proves that it works.
    proof: ProbeBehaviour,
    /// The cache answers nothing for so long from its start, in milliseconds.
    pause_ms: u64,
    /// Of ten requests so many are of clients that hold the copy: the answer is `current`, at once, with no bytes.
    copies_of_ten: u64,
    /// The settings' window, in milliseconds.
    window_ms: u64,
}

const NONE: Fault = Fault { proof: ProbeBehaviour::Yes, pause_ms: 0, copies_of_ten: 0, window_ms: 1_500 };

/// Clients that ask on one connection as fast as they are answered.
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
            let ask = |client: &mut Client, tag: u64| {
                let copy = if tag % 10 < copies_of_ten { ",got=1" } else { "" };
                client.try_send_request(tag, "pages", first_object + tag * 7 % OBJECTS_EACH, copy);
            };
            (1..=OPEN_EACH).for_each(|tag| ask(&mut client, tag));
            let mut tag = OPEN_EACH;
            while let Some(answer) = client.next().filter(|_| !stop.load(Ordering::SeqCst)) {
                if answer.status == "200" {
                    served.fetch_add(1, Ordering::SeqCst);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
                tag += 1;
                ask(&mut client, tag);
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

/// A cache whose answers take the mean work, but for copies that clients hold; it answers nothing while paused.
fn cache(proof: ProbeBehaviour, paused_until: &Arc<AtomicU64>) -> Cache {
    let paused_until = Arc::clone(paused_until);
    Cache::start_with_probes(
        move |_| proof,
        move |seen| {
            let pause = paused_until.load(Ordering::SeqCst).saturating_sub(seen.received_ms);
            match seen.field("seen") {
                Some(_) if pause == 0 => {
                    FetchBehaviour::Answer { status: "current", fields: "ver=1,born=1,note=hit,waited=0" }
                }
                _ => FetchBehaviour::OkWithFields {
                    delay_ms: WORK_MS.max(pause),
                    fields: "ver=1,born=1,note=hit,waited=0".into(),
                    body: part_body(seen),
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
    let set = &mut config["settings"];
    set["weight-kind"] = json!("nominal");
    set["limits"]["connect-timeout"] = json!(20_000.0);
    set["contract"] = json!({"cold": WARM_AFTER_MS, "cold-share": SHARE, "drain-grace": 250.0, "fall": window_ms,
                             "fall-multiple": MULTIPLE});
    let members = config["known"]["results"][0]["fleet"]["members"].as_array_mut().expect("members");
    members.iter_mut().for_each(|member| member["size"] = json!(listed_size(window_ms)));
}

/// Tells of a cache that started now.
fn tell_of_start(log: &ChangeLog, address: SocketAddr, window_ms: u64) -> u64 {
    let started = unix_ms();
    let mut record = record(RESTARTED, address, 0, 0);
    let end = record.len();
    record[end - 12..end - 8].copy_from_slice(&((listed_size(window_ms) * 1000.0) as u32).to_be_bytes());
    record[end - 8..].copy_from_slice(&started.to_be_bytes());
    log.publish(2, 2, &record);
    started
}

/// What a window may have at most, by the page.
fn bound(age_ms: f64) -> f64 {
    let share = SHARE + (1.0 - SHARE) * (age_ms / WARM_AFTER_MS).clamp(0.0, 1.0);
    let budget = FIRST_BUDGET * share / SHARE;
    if budget < 30.0 {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// The most that any window had, as a share of the bound.
fn highest_share(fetches: &[ReceivedFetch], started: u64, window_ms: u64) -> f64 {
    let mut arrived: Vec<u64> = fetches.iter().map(|fetch| fetch.received_ms).collect();
    arrived.sort_unstable();
    let shares = arrived.iter().enumerate().map(|(last, at)| {
        let in_window = arrived[..=last].iter().filter(|other| **other + window_ms > *at).count();
        in_window as f64 / bound(at.saturating_sub(started) as f64)
    });
    shares.fold(0.0, f64::max)
}

/// Plays a restart under a fault for three windows and the fault; gives the highest share of the bound.
fn play(name: &str, fault: Fault) -> f64 {
    let never = Arc::new(AtomicU64::new(0));
    let warm: [Cache; 3] = std::array::from_fn(|_| cache(ProbeBehaviour::Yes, &never));
    let behind = [Cache::with_all_objects(), Cache::with_all_objects()];
    let paused_until = Arc::new(AtomicU64::new(0));
    let restarted = cache(fault.proof, &paused_until);
    let log = ChangeLog::start();
    let listed = [
        ListedServer { id: EDGE, address: warm[0].address, kind: "box" },
        ListedServer { id: EDGE_2, address: warm[1].address, kind: "box" },
        ListedServer { id: 0x0f, address: warm[2].address, kind: "box" },
        ListedServer { id: PARENT, address: behind[0].address, kind: "parent" },
        ListedServer { id: ORIGIN, address: behind[1].address, kind: "origin" },
    ];
    let mut config = configuration(&listed, log.address);
    settings(&mut config, fault.window_ms);
    let router = router(&config);
    let loads: Vec<Load> =
        (0..CONNECTIONS).map(|n| Load::start(router.address, 7_919 * n, fault.copies_of_ten)).collect();
    let served = || loads.iter().map(|load| load.served.load(Ordering::SeqCst)).sum::<usize>();
    wait_until("the router has learnt what work takes", || served() >= 2_000);
    paused_until.store(unix_ms() + fault.pause_ms, Ordering::SeqCst);
    let started = tell_of_start(&log, restarted.address, fault.window_ms);
    thread::sleep(Duration::from_millis(3 * fault.window_ms + fault.pause_ms));
    let highest = highest_share(&restarted.fetches(), started, fault.window_ms);
    println!("{name}: {} fetches, {highest:.2} of the bound", restarted.fetch_count());
    assert!(highest * bound(0.0) >= LEAST_USED * FIRST_BUDGET, "{name}: no budget was used: {highest:.2}");
    highest
}

#[test]
fn restarted_cache_is_sent_at_most_its_slow_start_budget_under_faults() {
    let _alone = run_alone();
    let late = Fault { proof: ProbeBehaviour::YesAfter(Duration::from_millis(150)), window_ms: 250, ..NONE };
    let paused = Fault { pause_ms: 1_200, window_ms: 3_000, ..NONE };
    let copies = Fault { copies_of_ten: 3, ..NONE };
    let plays = [
        ("no fault", play("no fault", NONE)),
        ("connections come up late", play("connections come up late", late)),
        ("the cache pauses", play("the cache pauses", paused)),
        ("clients hold copies", play("clients hold copies", copies)),
    ];
    let over: Vec<_> = plays.into_iter().filter(|(_, highest)| *highest > 1.0).collect();
    assert!(over.is_empty(), "over the bound: {over:?}");
}
