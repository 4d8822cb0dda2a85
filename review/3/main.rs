//! A change log whose words arrive three seconds late, while a cache begins to drain.
#[path = "../rig/rig.rs"]
mod rig;
use rig::*;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;

/// What the change log sends arrives this much later while it is slow.
const SLOW_MS: u64 = 3_000;
/// Whatever the change log has to tell counts as told no later than this afterwards.
const TOLD_MS: f64 = 7_000.0;
/// The draining cache ends this long after the change log listed it.
const END_MS: f64 = 16_000.0;
/// `drain-grace` of the settings, and the slack on sockets.
const GRACE_MS: f64 = 250.0 + 50.0;

fn main() {
    run_case(run)
}

fn run(case: &Path, record: &Record) -> io::Result<bool> {
    let folder = Temporary::new()?;
    let root = root_of(case);
    let edges: Vec<Cache> = (0..4).map(|i| Cache::start(&server_id(0x10 + i), 150, &[], record)).collect::<Result<_, _>>()?;
    let parents: Vec<Cache> = (0..2).map(|i| Cache::start(&server_id(0x20 + i), 20, &[], record)).collect::<Result<_, _>>()?;
    let origin = Cache::start(&server_id(0x30), 40, &["loan-checkout"], record)?;
    let listed = |number, cache: &Cache, zone, kind| Listed { number, address: cache.address, state: 0, zone, kind, weight: 5000, started: 0 };
    let mut servers: Vec<Listed> = edges.iter().enumerate().map(|(i, c)| listed(0x10 + i as u32, c, 1, 0)).collect();
    servers.extend(parents.iter().enumerate().map(|(i, c)| listed(0x20 + i as u32, c, 0, 1)));
    servers.push(listed(0x30, &origin, 0, 2));
    let log = ChangeLog::start(1, record)?;
    let listen = free_address()?;
    let config = folder.0.join("config.json");
    std::fs::write(&config, configuration("n1", listen, log.address, &servers, &settings(3, "non_idempotent", "non_idempotent", "non_idempotent")))?;
    let router = Router::start(&root, &folder.0, "n1", listen, &config, "")?;
    if !router.wait_ready(record, 10_000) {
        return Err(fault("the router did not become ready"));
    }
    // A few clients, 60 requests a second.
    let clients: Vec<Client> = (0..4).map(|i| Client::connect(&format!("client {i}"), listen, record)).collect::<Result<_, _>>()?;
    let mut rng = Rng(seed());
    let begin = record.now();
    let (mut slow, mut drained_at, mut quick_again) = (false, None::<f64>, false);
    let mut ended = false;
    let mut n = 0usize;
    let mut sent = Vec::new();
    while record.now() - begin < 30_000.0 {
        let t = record.now() - begin;
        if !slow && t >= 3_000.0 {
            slow = true;
            if trouble() {
                record.say(&format!("from now on what the change log sends arrives {SLOW_MS} ms late"));
                log.delay_ms.store(SLOW_MS, Ordering::SeqCst);
            }
        }
        if drained_at.is_none() && t >= 6_000.0 {
            let number = log.change(&[Listed { state: 1, ..servers[0].clone() }]);
            drained_at = Some(record.now());
            record.say(&format!("{:.0} ms: event {number} of the change log: {} drains", record.now(), edges[0].id));
        }
        if !ended && drained_at.is_some_and(|at| record.now() >= at + END_MS) {
            ended = true;
            record.say(&format!("{:.0} ms: {} ends, with {} requests in progress", record.now(), edges[0].id,
                edges[0].in_progress.lock().map_or(0, |p| p.len())));
            edges[0].end();
        }
        if !quick_again && t >= 27_000.0 {
            quick_again = true;
            log.delay_ms.store(0, Ordering::SeqCst);
            record.say(&format!("{:.0} ms: the change log is quick again", record.now()));
        }
        let class = if rng.below(2) == 0 { ("album-pages", 5000) } else { ("thumbs", 2500) };
        let object = 0x1000_0000 + rng.below(400);
        let fields = format!("i={},d={},o={object:016x},nth=0,batch={},m=1200", rng.hex(), class.1, object % 256);
        let client = &clients[n % clients.len()];
        sent.push((n % clients.len(), client.send(class.0, &fields, b"")?));
        n += 1;
        sleep_ms(16);
    }
    sleep_ms(1_000);
    let served = sent.iter().filter(|(c, tag)| clients[*c].answers(*tag).first().is_some_and(|a| a.word == "200")).count();
    let failed = sent.iter().filter(|(c, tag)| clients[*c].answers(*tag).first().is_some_and(|a| a.word != "200" && a.word != "503")).count();
    record.say(&format!("{} requests, {served} served, {failed} failed; {} connections to the change log", sent.len(), log.connections.load(Ordering::SeqCst)));
    let drained_at = drained_at.ok_or_else(|| fault("nothing drained"))?;
    let bound = drained_at + TOLD_MS + GRACE_MS;
    let drained = &edges[0].id;
    let before = edges[0].all().iter().filter(|f| f.at < drained_at).count();
    if before == 0 {
        return Err(fault("the cache got nothing before it drained"));
    }
    let all: Vec<Fetch> = edges.iter().chain(&parents).chain([&origin]).flat_map(Cache::all).collect();
    let late: Vec<&Fetch> = all.iter().filter(|f| f.at > bound && (f.server == *drained || f.source == *drained)).collect();
    record.say(&format!(
        "{drained}: {before} requests before it drained, {} from then to the bound at {bound:.0} ms, {} after the bound",
        all.iter().filter(|f| f.server == *drained && f.at >= drained_at && f.at <= bound).count(),
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!("BROKEN: sent to a draining cache from {:.1} s to {:.1} s after the change log listed it, first {}, last {}",
            (first.at - drained_at) / 1000.0, (last.at - drained_at) / 1000.0, first.id, last.id));
    }
    drop(router);
    Ok(late.is_empty())
}
