//! Clients send many commands at once, writes of the largest size.
#[path = "../rig/rig.rs"]
mod rig;
use rig::*;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;

/// Clients' connections in each round, new ones each time: a third of the descriptors would be 170.
const CLIENTS: [usize; 4] = [28, 56, 32, 56];
/// Requests of each client: as many as may be open on one connection.
const REQUESTS: usize = 32;
/// The most that a write carries.
const BODY: usize = 48_000;
const DEADLINE_MS: f64 = 3_000.0;
/// An answer is lost if it comes later than this after the request's time.
const LOST_AFTER_MS: f64 = 500.0 + 50.0;
/// A request counts as taken only if all its bytes were in the router's machine this long before its connection ended.
const BEFORE_END_MS: f64 = 500.0;

#[derive(Default)]
struct Sum {
    taken: usize,
    served: usize,
    refused: usize,
    failed: usize,
    late: usize,
    never: usize,
    ended: usize,
}

fn main() {
    run_case(run)
}

fn run(case: &Path, record: &Record) -> io::Result<bool> {
    let folder = Temporary::new()?;
    let root = root_of(case);
    let edges: Vec<Cache> = (0..4).map(|i| Cache::start(&server_id(0x10 + i), 20, &[], record)).collect::<Result<_, _>>()?;
    let parent = Cache::start(&server_id(0x20), 20, &[], record)?;
    let origin = Cache::start(&server_id(0x30), 60, &["loan-checkout"], record)?;
    let listed = |number, cache: &Cache, zone, kind| Listed { number, address: cache.address, state: 0, zone, kind, weight: 5000, started: 0 };
    let mut servers: Vec<Listed> = edges.iter().enumerate().map(|(i, c)| listed(0x10 + i as u32, c, 1, 0)).collect();
    servers.push(listed(0x20, &parent, 0, 1));
    servers.push(listed(0x30, &origin, 0, 2));
    let log = ChangeLog::start(1, record)?;
    let listen = free_address()?;
    let config = folder.0.join("config.json");
    let text = configuration("n1", listen, log.address, &servers, &settings(3, "read_like", "read_like", "non_idempotent"));
    std::fs::write(&config, text.replace(r#""memory_mb":192,"sockets":1024"#, r#""memory_mb":64,"sockets":512"#))?;
    let mut router = Router::start(&root, &folder.0, "n1", listen, &config, "")?;
    if !router.wait_ready(record, 10_000) {
        return Err(fault("the router did not become ready"));
    }
    let sum: Arc<Mutex<Sum>> = Arc::default();
    let mut connected = true;
    for (round, clients) in CLIENTS.into_iter().enumerate() {
        record.line(&format!("round {round}: {clients} clients"));
        let start = Arc::new(Barrier::new(clients));
        let threads: Vec<_> = (0..clients)
            .map(|n| {
                let (record, sum, start) = (record.clone(), Arc::clone(&sum), Arc::clone(&start));
                thread::spawn(move || client(n, listen, &record, &start, &sum))
            })
            .collect();
        for thread in threads {
            connected &= thread.join().map_err(|_| fault("a client thread ended"))?.is_ok();
        }
        sleep_ms(1_000);
    }
    let alive = router.child.try_wait()?.is_none();
    if !connected {
        return Err(fault("a client could not connect"));
    }
    let memory = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap_or_default();
    let peak = memory.lines().find(|l| l.starts_with("VmHWM")).unwrap_or("VmHWM: unknown").to_string();
    let sum = sum.lock().map_err(|_| fault("lock"))?;
    record.say(&format!(
        "{} requests taken by the router's machine: {} served, {} refused, {} failed, {} answered over 0.5 s late, {} never answered; {} of {} connections ended by the router",
        sum.taken, sum.served, sum.refused, sum.failed, sum.late, sum.never, sum.ended, CLIENTS.iter().sum::<usize>()
    ));
    record.say(&format!("{} runs at the origin, which answers each after 60 ms; {peak}; the router {}", origin.count(), if alive { "runs" } else { "has ended" }));
    if sum.never + sum.late > 0 {
        record.say(&format!("BROKEN: {} requests that the router had taken got no final answer in time", sum.never + sum.late));
    }
    Ok(sum.never + sum.late == 0)
}

/// Sends its requests, all at once or, without the disruption, each when the one before is answered.
fn client(n: usize, listen: std::net::SocketAddr, record: &Record, start: &Barrier, sum: &Mutex<Sum>) -> io::Result<()> {
    let connected = Client::connect(&format!("client {n}"), listen, record);
    start.wait();
    let client = connected?;
    let mut rng = Rng(seed() ^ ((n as u64 + 1) << 32));
    let body = vec![b'x'; BODY];
    // Tag, time of the last byte, all bytes written up to it.
    let mut sent: Vec<(u64, f64, u64)> = Vec::new();
    let mut written = 0u64;
    for _ in 0..REQUESTS {
        let fields = format!("i={},d={DEADLINE_MS:.0},o={},nth=0,batch=1,m=60", rng.hex(), rng.hex());
        let Ok(tag) = client.send("loan-checkout", &fields, &body) else { break };
        let tag_text = tag.to_string();
        written += encode(&[b"DO", tag_text.as_bytes(), b"loan-checkout", fields.as_bytes(), &body]).len() as u64;
        sent.push((tag, record.now(), written));
        if !trouble() {
            client.wait(tag, 4_000);
        }
    }
    let last = sent.last().map_or(0.0, |(_, at, _)| *at);
    // What the router's machine had acknowledged, at times before the connection ended.
    let mut acknowledged: Vec<(f64, u64)> = Vec::new();
    let mut ended_at = f64::INFINITY;
    while record.now() < last + DEADLINE_MS + LOST_AFTER_MS + 500.0 {
        if sent.iter().all(|(tag, _, _)| !client.answers(*tag).is_empty()) {
            break;
        }
        if client.ended.load(Ordering::SeqCst) {
            ended_at = record.now();
            record.line(&format!("client {n}: the router ended the connection"));
            break;
        }
        acknowledged.push((record.now(), written.saturating_sub(client.unacknowledged())));
        sleep_ms(20);
    }
    sleep_ms(100);
    let in_machine = if ended_at.is_finite() {
        acknowledged.iter().filter(|(at, _)| *at <= ended_at - BEFORE_END_MS).map(|(_, bytes)| *bytes).max().unwrap_or(0)
    } else {
        acknowledged.iter().map(|(_, bytes)| *bytes).max().unwrap_or(written)
    };
    let mut sum = sum.lock().map_err(|_| fault("lock"))?;
    sum.ended += usize::from(ended_at.is_finite());
    for (tag, at, end) in sent {
        let answers = client.answers(tag);
        if answers.is_empty() && end > in_machine {
            continue;
        }
        sum.taken += 1;
        match answers.first() {
            None => {
                sum.never += 1;
                record.line(&format!("client {n}: request {tag}, written at {at:.1} ms, was never answered"));
            }
            Some(answer) if answer.at > at + DEADLINE_MS + LOST_AFTER_MS => sum.late += 1,
            Some(answer) if answer.word == "200" => sum.served += 1,
            Some(answer) if answer.word == "503" => sum.refused += 1,
            Some(_) => sum.failed += 1,
        }
    }
    Ok(())
}
