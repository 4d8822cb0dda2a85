//! The specification of a rig, and the settings files with which its routers start.

use serde::Serialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A router's failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// The router's branch.
    pub branch: String,
    /// The router's machine.
    pub machine: String,
}

/// The kinds of registers that routers replicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicatedKinds {
    /// Executions of checkouts and other requests that are unsafe to repeat: their leases and outcomes.
    #[serde(rename = "effects")]
    pub executions: bool,
    /// Purges that may not have taken effect at all caches yet.
    pub purges: bool,
    /// Tickets: the times at which rejected clients may retry.
    pub tickets: bool,
}

/// The specification of a rig.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The router's program.
    pub binary: PathBuf,
    /// The location of each router; there are from 3 to 9.
    pub locations: Vec<Location>,
    /// The seed of link delays and corrupted bytes.
    pub seed: u64,
    /// Whether the settings of routers have the section `fleet`. Without it routers replicate nothing, which is the baseline of
    /// comparisons.
    pub fleet: bool,
    /// Replicas of each register: 3 or 5.
    pub replicas: usize,
    /// The kinds of registers that are replicated.
    pub replicated: ReplicatedKinds,
    /// Whether scatter-gather requests are accepted.
    pub scatter_gather: bool,
    /// The text of the placement rules file, which all routers share.
    pub rules: Option<String>,
    /// Further keys of the section `fleet`, such as `limits`.
    pub extra_settings: Value,
    /// The time after which a purge has taken effect at all caches, in milliseconds. Until then a cache may serve copies made before the
    /// purge.
    pub purge_settles_ms: u64,
    /// The latency objective of reads and checkouts, in milliseconds.
    pub latency_objective_ms: u64,
}

impl Spec {
    /// A fleet of `routers` routers, each on a machine of its own, distributed over three branches in turn.
    pub fn new(binary: &Path, routers: usize) -> Self {
        let location = |router: usize| Location {
            branch: ["north", "south", "east"][router % 3].to_string(),
            machine: format!("m{}", router + 1),
        };
        Self {
            binary: binary.to_path_buf(),
            locations: (0..routers).map(location).collect(),
            seed: 1,
            fleet: true,
            replicas: 3,
            replicated: ReplicatedKinds { executions: true, purges: true, tickets: true },
            scatter_gather: false,
            rules: None,
            // Syncing the disk is slow on a busy machine, and its speed is not under test: leases get a longer timeout.
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

/// The text of a router's settings file. It is written as JSON, which is valid YAML and needs no quoting rules.
pub fn router_settings(
    spec: &Spec,
    router: usize,
    peer_address: SocketAddr,
    data_folder: &Path,
    rules: Option<&Path>,
    peers: &[(usize, SocketAddr)],
) -> String {
    if !spec.fleet {
        return "{}\n".into();
    }
    let peer = |(peer, address): &(usize, SocketAddr)| {
        let location = &spec.locations[*peer];
        json!({
            "name": router_name(*peer), "address": address.to_string(),
            "branch": location.branch, "machine": location.machine,
        })
    };
    let location = &spec.locations[router];
    let mut section = json!({
        "cluster": "rig", "name": router_name(router), "branch": location.branch, "machine": location.machine,
        "listen": peer_address.to_string(), "folder": data_folder, "peers": peers.iter().map(peer).collect::<Vec<_>>(),
        "copies": spec.replicas, "holds": spec.replicated, "gather": spec.scatter_gather,
    });
    if let (Some(section), Some(extra)) = (section.as_object_mut(), spec.extra_settings.as_object()) {
        section.extend(extra.clone());
        section.extend(rules.map(|file| ("rules".to_string(), json!(file))));
    }
    format!("{:#}\n", json!({ "fleet": section }))
}
