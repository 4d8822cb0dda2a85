//! Input of the routers around a simulated fleet: the configuration, the plan file, and records of the endpoint list.

use basaltgw::api::EndpointState;
use basaltgw_hierarchy::{PlanSpec, Settings};
use basaltgw_simulator::fleet::NodeInfo;
use basaltgw_simulator::sim::{Setup, LATENCY_OBJECTIVE_STRETCH};
use basaltgw_simulator::spec::EffectSpec;
use serde_json::{json, Value};
use std::fmt::Write;
use std::net::SocketAddr;

/// The text of a router's settings file with this plan.
pub fn plan_file(plan: &PlanSpec, settings: &Settings) -> String {
    let mut text = format!("hierarchy:\n  plan:\n    version: {}\n    nodes:\n", plan.version);
    for node in &plan.nodes {
        let sources: Vec<&str> = node.sources.iter().map(|s| &*s.0).collect();
        let _ = writeln!(
            text,
            "      - {{id: {}, tier: {}, sources: [{}]}}",
            node.id,
            node.tier.0,
            sources.join(", ")
        );
    }
    let _ = writeln!(
        text,
        "  reshape: {{behind: {}, proofs: {}, idle_ms: {}, quiet_ms: {}}}",
        settings.max_versions_behind,
        settings.successes_per_step,
        settings.idle_step_duration,
        settings.quiet_period
    );
    text
}

/// The names of the server kinds; a record has the index.
pub const KIND_NAMES: [&str; 3] = ["edge", "parent", "origin"];

/// The index of a node's kind in [`KIND_NAMES`].
pub fn kind_index(node: &NodeInfo) -> usize {
    match node.tier {
        0 => 2,
        1 | 2 => 1,
        _ => 0,
    }
}

/// The name of a zone; zone 0 is that of the parents and the origin.
fn zone_name(zone: usize) -> String {
    if zone == 0 {
        "hub".into()
    } else {
        format!("zone-{zone}")
    }
}

/// The configuration of router `number`, which starts with these nodes in its endpoint list.
pub fn configuration(
    setup: &Setup,
    zone: usize,
    number: usize,
    change_log: SocketAddr,
    listed: &[(&NodeInfo, SocketAddr)],
) -> Value {
    let members: Vec<Value> = listed
        .iter()
        .map(|(node, address)| {
            json!({"id": node.id.0.to_string(), "host_port": address.to_string(), "locality": zone_name(node.zone),
                   "flavor": KIND_NAMES[kind_index(node)], "cell": 0, "phase": "SERVING", "size": 1, "up_since_ms": 0})
        })
        .collect();
    let classes = &setup.load.classes;
    let services: Vec<Value> = classes
        .iter()
        .map(|c| {
            let effect = if c.effect == EffectSpec::Safe { "read_like" } else { "non_idempotent" };
            json!({"name": c.name, "idempotency": effect, "slo": c.aim_ms, "deadline": c.deadline_ms, "worth": c.worth,
                   "late-worth": c.late_worth, "aim-stretch": LATENCY_OBJECTIVE_STRETCH})
        })
        .collect();
    let rules = &setup.fleet.rules;
    let by_class =
        |get: fn(&basaltgw_simulator::spec::ClassSpec) -> Value| classes.iter().map(get).collect::<Vec<_>>();
    let zones: Vec<String> = (0..=setup.fleet.zones).map(zone_name).collect();
    json!({
        "name": format!("router-{number}"), "listen": "127.0.0.1:0", "seed": format!("{:x}", setup.seed + number as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": change_log.to_string(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}}]},
        "settings": {
            "areas": zones, "my-zone": zone_name(zone), "kinds": KIND_NAMES,
            "peers-total": setup.fleet.zones * setup.fleet.routers_per_zone, "granularity": 2.0, "services": services,
            "contract": {"cold": rules.cold_edge.span_ms, "cold-share": rules.cold_edge.share,
                         "drain-grace": rules.drain_grace_ms, "fall": rules.cold_edge.window_ms,
                         "fall-multiple": rules.cold_edge.multiple},
            "family-info": {"shield-kind": 1, "store-kind": 2, "pass-through-ok": true, "collapses": true, "lateral": "silent",
                            "purge-settles": rules.purge_settles_ms, "heed-within": rules.purge_grace_ms,
                            "goes-through": by_class(|c| json!(c.effect == EffectSpec::Unsafe)),
                            "lifetime-by-class": by_class(|c| json!(c.fresh_ms)), "class-grace": by_class(|c| json!(c.grace_ms)),
                            "pace-kb-per-s": setup.fleet.net.pace_kb_per_ms * 1000.0,
                            "parent-cold-from": rules.cold_parent.share, "upper-cold": rules.cold_parent.span_ms,
                            "parent-fall-multiple": rules.cold_parent.multiple},
            "limits": {"cancel": true, "try-limit": 8, "parallel-tries": false, "retry-after": true,
                       "max-retry-after": 500.0, "conn-idle": 15000.0, "connect-timeout": 400.0, "max-streams": 100,
                       "most-held": 20000}
        }
    })
}

/// The weight 1 in a record of the endpoint list, in thousandths.
pub(crate) const UNIT_WEIGHT: u32 = 1000;

/// The number of a state in a record of the endpoint list.
pub(crate) fn state_code(state: EndpointState) -> u8 {
    match state {
        EndpointState::Up => 0,
        EndpointState::Draining => 1,
        EndpointState::Removed => 2,
    }
}

/// A node's record in an event of the endpoint list: id, address, state, zone, kind, cell, weight, start.
pub fn record(node: &NodeInfo, address: SocketAddr, listed: EndpointState, started_ms: u64) -> Vec<u8> {
    let id = node
        .id
        .0
        .strip_prefix("s-")
        .and_then(|digits| u32::from_str_radix(digits, 16).ok())
        .unwrap_or_default();
    let mut bytes = id.to_be_bytes().to_vec();
    let octets = match address {
        SocketAddr::V4(v4) => v4.ip().octets(),
        SocketAddr::V6(_) => [0; 4],
    };
    bytes.extend_from_slice(&octets);
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes.extend_from_slice(&[state_code(listed), node.zone as u8, kind_index(node) as u8, 0, 0]);
    bytes.extend_from_slice(&UNIT_WEIGHT.to_be_bytes());
    bytes.extend_from_slice(&started_ms.to_be_bytes());
    bytes
}
