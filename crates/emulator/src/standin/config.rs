//! Configurations of a router whose servers and change log are stand-ins.

use super::Cache;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A server in the endpoint list with which a router starts.
pub struct ListedServer {
    /// The number in the server's id.
    pub id: u32,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The name of its kind: `box`, `parent` or `origin`.
    pub kind: &'static str,
}

/// The configuration of a router that starts with these servers and reads this change log.
pub fn configuration(servers: &[ListedServer], change_log: SocketAddr) -> Value {
    let members: Vec<Value> = servers
        .iter()
        .map(|ListedServer { id, address, kind }| {
            json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "flavor": kind,
                   "locality": if *kind == "box" { "edge-1" } else { "hub" }, "cell": 0,
                   "phase": "SERVING", "size": 1, "up_since_ms": 0})
        })
        .collect();
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": change_log.to_string(),
        "known": {"seq": 1, "results": [
            {"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "areas": ["hub", "edge-1"], "my-zone": "edge-1", "kinds": ["box", "parent", "origin"],
            "peers-total": 1, "granularity": 2.0,
            "services": [
                {"name": "pages", "idempotency": "read_like", "slo": 400.0, "deadline": 5000.0, "worth": 2.0},
                {"name": "loan", "idempotency": "non_idempotent", "slo": 700.0, "deadline": 5000.0}],
            "contract": {"cold": 17000.0, "cold-share": 0.24, "drain-grace": 250.0, "fall": 1500.0,
                         "fall-multiple": 4.0},
            "family-info": {"shield-kind": 1, "store-kind": 2, "pass-through-ok": true,
                            "purge-settles": 6000.0, "heed-within": 300.0, "goes-through": [false, true],
                            "lifetime-by-class": [0.0, 0.0], "collapses": true, "lateral": "any"},
            "limits": {"cancel": true, "try-limit": 8, "parallel-tries": false, "retry-after": true,
                       "max-retry-after": 500.0, "conn-idle": 15000.0, "connect-timeout": 400.0,
                       "max-streams": 100, "most-held": 20000}
        }
    })
}

/// The index of `box`, the kind of edge caches, in the kinds of [`configuration`].
pub const EDGE_KIND: u8 = 0;
/// The index of `origin` in the kinds of [`configuration`].
pub const ORIGIN_KIND: u8 = 2;

/// The id of the edge cache of [`edge_parent_origin`].
pub const EDGE: u32 = 0x0a;
/// The id of the edge cache of [`add_second_edge`].
pub const EDGE_2: u32 = 0x0b;
/// The id of the parent cache of [`edge_parent_origin`].
pub const PARENT: u32 = 0x0c;
/// The id of the origin of [`edge_parent_origin`].
pub const ORIGIN: u32 = 0x0d;

/// Lists an edge cache, a parent cache and the origin.
pub fn edge_parent_origin(edge: &Cache, parent: &Cache, origin: &Cache) -> [ListedServer; 3] {
    [
        ListedServer { id: EDGE, address: edge.address, kind: "box" },
        ListedServer { id: PARENT, address: parent.address, kind: "parent" },
        ListedServer { id: ORIGIN, address: origin.address, kind: "origin" },
    ]
}

/// Adds a second edge cache to a configuration; a read that fails at one edge cache is retried at another.
pub fn add_second_edge(config: &mut Value, second: &Cache) {
    let members = &mut config["known"]["results"][0]["fleet"]["members"];
    let mut member = members[0].clone();
    member["id"] = json!(format!("s-{EDGE_2:08x}"));
    member["host_port"] = json!(second.address.to_string());
    members.as_array_mut().expect("members is an array").push(member);
}
