//! A bad client sends the id of an open request with a different object, to another router of the fleet.
#[path = "../rig/rig.rs"]
mod rig;
use rig::*;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

const NAMES: [&str; 3] = ["r1", "r2", "r3"];
const ROUNDS: usize = 10;

fn main() {
    run_case(run)
}

fn run(case: &Path, record: &Record) -> io::Result<bool> {
    let folder = Temporary::new()?;
    let root = root_of(case);
    let edges: Vec<Cache> = (0..3).map(|i| Cache::start(&server_id(0x10 + i), 20, &[], record)).collect::<Result<_, _>>()?;
    let parent = Cache::start(&server_id(0x20), 20, &[], record)?;
    let origin = Cache::start(&server_id(0x30), 300, &["loan-checkout"], record)?;
    let listed = |number, cache: &Cache, zone, kind| Listed { number, address: cache.address, state: 0, zone, kind, weight: 5000, started: 0 };
    let mut servers: Vec<Listed> = edges.iter().enumerate().map(|(i, c)| listed(0x10 + i as u32, c, 1, 0)).collect();
    servers.push(listed(0x20, &parent, 0, 1));
    servers.push(listed(0x30, &origin, 0, 2));
    let log = ChangeLog::start(1, record)?;
    let peers: Vec<SocketAddr> = NAMES.iter().map(|_| free_address()).collect::<Result<_, _>>()?;
    let mut routers = Vec::new();
    for (i, name) in NAMES.iter().enumerate() {
        let listen = free_address()?;
        let config = folder.0.join(format!("{name}.json"));
        std::fs::write(&config, configuration(name, listen, log.address, &servers, &settings(3, "read_like", "read_like", "non_idempotent")))?;
        let with = fleet_file(&folder.0, &NAMES, i, &peers, "")?;
        routers.push(Router::start(&root, &folder.0, name, listen, &config, &format!("--with {}", with.display()))?);
    }
    for router in &routers {
        if !wait_log(&folder.0, &router.name, "is in effect", 20_000) || !router.wait_ready(record, 10_000) {
            return Err(fault(&format!("{} did not become ready", router.name)));
        }
    }
    sleep_ms(500);
    let usual = Client::connect("usual client", routers[0].listen, record)?;
    let bad = Client::connect("bad client", routers[1].listen, record)?;
    let mut rng = Rng(seed());
    let (mut served, mut foreign, mut usual_served) = (0, 0, 0);
    for _ in 0..ROUNDS {
        let (id, mine, other) = (rng.hex(), rng.hex(), rng.hex());
        let tag = usual.send("loan-checkout", &format!("i={id},d=3000,o={mine},nth=0,batch=1"), b"loan")?;
        sleep_ms(100);
        let theirs = if trouble() {
            Some(bad.send("loan-checkout", &format!("i={id},d=3000,o={other},nth=0,batch=2"), b"loan")?)
        } else {
            None
        };
        let answer = usual.wait(tag, 4_000).ok_or_else(|| fault("the usual client got no answer"))?;
        usual_served += usize::from(answer.word == "200" && answer.body == receipt_of(&id, &mine));
        if let Some(answer) = theirs.and_then(|tag| bad.wait(tag, 4_000)) {
            if answer.word == "200" {
                served += 1;
                if answer.body != receipt_of(&id, &other) {
                    foreign += 1;
                    record.say(&format!("the bad client asked for {other} under {id} and was served {:?}", String::from_utf8_lossy(&answer.body)));
                }
            }
        }
    }
    record.say(&format!("{ROUNDS} requests of the usual client, {usual_served} served; {} runs at the origin", origin.count()));
    record.say(&format!("the bad client was answered 'served' {served} times, {foreign} times with what another client was given for another object"));
    if usual_served < ROUNDS / 2 {
        return Err(fault("the fleet served too few of the usual requests"));
    }
    drop(routers);
    Ok(served == 0)
}
