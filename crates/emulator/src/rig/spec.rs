//! What a router of the rig is started from: its configuration, and its own settings with the section `fleet`.

use serde::Serialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Where a router stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// Its branch.
    pub branch: String,
    /// Its machine.
    pub machine: String,
}

/// Which holds a router keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicatedRegisters {
    /// Checkouts and other unsafe requests.
    pub effects: bool,
    /// Purges that have not settled.
    pub purges: bool,
    /// Times to come back.
    pub tickets: bool,
}

/// What the rig is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub binary: PathBuf,
    /// Where each router stands; from 3 to 9 of them.
    pub locations: Vec<Location>,
    /// What delays and broken bytes are drawn from.
    pub seed: u64,
    /// Whether routers have a section `fleet`; without it they are on their own, as a baseline.
    pub fleet: bool,
    /// Copies of each hold: 3 or 5.
    pub replicas: usize,
    /// Which holds there are.
    pub replicated: ReplicatedRegisters,
    /// Whether gathers are taken.
    pub scatter_gather: bool,
    /// The text of the rules' file, the same for all.
    pub rules: Option<String>,
    /// Further keys of the section, as `limits`.
    pub extra_settings: Value,
    /// A purge has settled after this time, in milliseconds; until then caches may hold older copies.
    pub purge_settles_ms: u64,
    /// The aim of reads and checkouts, in milliseconds.
    pub latency_objective_ms: u64,
}

impl Spec {
    /// So many routers, each on a machine of its own, in three branches in turn.
    pub fn new(binary: &Path, routers: usize) -> Self {
        let branch = |r: usize| ["north", "south", "east"][r % 3].to_string();
        let place = |r: usize| Location { branch: branch(r), machine: format!("m{}", r + 1) };
        Self {
            binary: binary.to_path_buf(),
            locations: (0..routers).map(place).collect(),
            seed: 1,
            fleet: true,
            replicas: 3,
            replicated: ReplicatedRegisters { effects: true, purges: true, tickets: true },
            scatter_gather: false,
            rules: None,
            // A busy machine syncs slowly: what is tested is not how fast it does.
            extra_settings: json!({"limits": {"promise_ms": 2000}}),
            purge_settles_ms: 60_000,
            latency_objective_ms: 400,
        }
    }
}

/// A router's name in the fleet.
pub fn router_name(router: usize) -> String {
    format!("r{}", router + 1)
}

/// The text of a router's own settings; JSON is YAML as well, and needs no quoting of its own.
pub fn router_settings(
    spec: &Spec,
    router: usize,
    listen: SocketAddr,
    folder: &Path,
    rules: Option<&Path>,
    peers: &[(usize, SocketAddr)],
) -> String {
    if !spec.fleet {
        return "{}\n".into();
    }
    let peers: Vec<Value> = peers
        .iter()
        .map(|(r, address)| {
            let place = &spec.locations[*r];
            json!({"name": router_name(*r), "address": address.to_string(), "branch": place.branch, "machine": place.machine})
        })
        .collect();
    let place = &spec.locations[router];
    let mut fleet = json!({
        "cluster": "rig", "name": router_name(router), "branch": place.branch, "machine": place.machine,
        "listen": listen.to_string(), "folder": folder, "peers": peers, "copies": spec.replicas,
        "holds": spec.replicated, "gather": spec.scatter_gather,
    });
    if let (Some(fleet), Some(more)) = (fleet.as_object_mut(), spec.extra_settings.as_object()) {
        fleet.extend(more.clone());
        fleet.extend(rules.map(|file| ("rules".to_string(), json!(file))));
    }
    format!("{:#}\n", json!({ "fleet": fleet }))
}
