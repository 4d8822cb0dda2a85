//! The section `fleet` of the settings file: the router's identity, its peers, and the bounds of what it replicates.

use crate::overlay::{check_overlay, parse_overlay, parse_position};
use crate::overlay::{Overlay, OverlayFile, OverlayPosition, PositionFile};
use crate::yaml::{Document, YamlError};
use basaltgw_types::{Domain, RouterId};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The largest file of placement rules, in bytes: ten thousand rules of a hundred bytes each.
pub const MAX_RULES_FILE_BYTES: u64 = 1024 * 1024;

/// The settings of a router in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name; links between different fleets are rejected.
    pub cluster: Arc<str>,
    /// The router's name.
    pub name: RouterId,
    /// The router's failure domain.
    pub domain: Domain,
    /// The address at which the router accepts links of its peers.
    pub listen: SocketAddr,
    /// The folder of durable data, as the file names it; whether it exists is not checked.
    pub folder: PathBuf,
    /// The other routers that the file lists.
    pub peers: Vec<Peer>,
    /// The placement rules, if the section names a file.
    pub rules: Option<PlacementRules>,
    /// Replicas of each register: 3 or 5.
    pub replicas: usize,
    /// The number of shards into which the registers are divided.
    pub shards: u16,
    /// The kinds of registers that are replicated.
    pub replicated: ReplicatedKinds,
    /// Whether scatter-gather requests are accepted.
    pub gather: bool,
    /// The dissemination overlay, if it is used.
    pub overlay: Option<Overlay>,
    /// Bounds and timeouts.
    pub limits: FleetLimits,
}

/// Another router of the fleet, as the file lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer's name.
    pub name: RouterId,
    /// The address at which the peer accepts links.
    pub address: SocketAddr,
    /// The peer's failure domain.
    pub domain: Domain,
    /// The peer's position in the overlay, if the section has one.
    pub position: Option<OverlayPosition>,
}

/// The text of the placement rules, not compiled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRules {
    /// The file's path, for error messages.
    pub file: PathBuf,
    /// The file's text.
    pub text: String,
}

/// The kinds of registers that are replicated; each router keeps those of other kinds for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ReplicatedKinds {
    /// Executions of requests: their leases and outcomes.
    #[serde(rename = "effects")]
    pub executions: bool,
    /// Purges of objects and groups.
    pub purges: bool,
    /// Tickets: the times at which rejected clients may retry.
    pub tickets: bool,
}

impl Default for ReplicatedKinds {
    fn default() -> Self {
        Self { executions: true, purges: true, tickets: true }
    }
}

/// Bounds and timeouts of a router in a fleet; the schema of the settings file has their ranges.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct FleetLimits {
    /// The most registers of which this router stores a replica.
    #[serde(rename = "holds")]
    pub max_registers: usize,
    /// The most bytes of these registers.
    #[serde(rename = "hold_bytes")]
    pub max_register_bytes: usize,
    /// The most bytes of a stored outcome.
    #[serde(rename = "outcome_bytes")]
    pub max_outcome_bytes: usize,
    /// The most register requests of this router that are open at the same time.
    #[serde(rename = "open_asks")]
    pub max_open_requests: usize,
    /// The longest frame between routers, in bytes.
    #[serde(rename = "frame_bytes")]
    pub max_frame_bytes: usize,
    /// The most frames queued in one priority lane of a link.
    #[serde(rename = "lane_frames")]
    pub max_queued_frames: usize,
    /// The most bytes of these frames.
    #[serde(rename = "lane_bytes")]
    pub max_queued_bytes: usize,
    /// The capacity of a ring between two threads, in entries.
    #[serde(rename = "ring")]
    pub ring_entries: usize,
    /// The time within which a lease is either replicated or rejected, in milliseconds.
    #[serde(rename = "promise_ms")]
    pub lease_timeout_ms: f64,
    /// The number of registers that are sent in one batch when a replica is synchronized.
    #[serde(rename = "fill_portion")]
    pub sync_batch: usize,
    /// The pause between two such batches, in milliseconds.
    #[serde(rename = "fill_pause_ms")]
    pub sync_pause_ms: f64,
    /// The time after which a router that is down is replaced, in milliseconds.
    pub replace_after_ms: f64,
    /// The interval of keepalives on a link without other frames, in milliseconds.
    #[serde(rename = "alive_ms")]
    pub keepalive_interval_ms: f64,
    /// The time without a byte after which a link is considered down, in milliseconds.
    #[serde(rename = "silent_ms")]
    pub peer_timeout_ms: f64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            max_registers: 100_000,
            max_register_bytes: 64 * 1024 * 1024,
            max_outcome_bytes: 4096,
            max_open_requests: 1024,
            max_frame_bytes: 1024 * 1024,
            max_queued_frames: 1024,
            max_queued_bytes: 8 * 1024 * 1024,
            ring_entries: 1024,
            lease_timeout_ms: 400.0,
            sync_batch: 64,
            sync_pause_ms: 20.0,
            replace_after_ms: 10_000.0,
            keepalive_interval_ms: 250.0,
            peer_timeout_ms: 1_000.0,
        }
    }
}

impl Fleet {
    /// Whether all settings but the placement rules are equal. A running router applies a change of the rules only.
    pub fn equals_except_rules(&self, other: &Self) -> bool {
        let without_rules = |fleet: &Self| Self { rules: None, ..fleet.clone() };
        without_rules(self) == without_rules(other)
    }
}

/// The section `fleet` as the file has it.
#[derive(Deserialize)]
pub(crate) struct FleetFile {
    cluster: String,
    name: String,
    branch: String,
    machine: String,
    listen: String,
    folder: PathBuf,
    #[serde(default)]
    peers: Vec<PeerFile>,
    rules: Option<PathBuf>,
    copies: Option<usize>,
    shards: Option<u16>,
    #[serde(default)]
    holds: ReplicatedKinds,
    #[serde(default)]
    gather: bool,
    overlay: Option<OverlayFile>,
    #[serde(default)]
    limits: FleetLimits,
}

/// An entry of `peers`.
#[derive(Deserialize)]
struct PeerFile {
    name: String,
    address: String,
    branch: String,
    machine: String,
    overlay: Option<PositionFile>,
}

const DEFAULT_REPLICAS: usize = 3;
const DEFAULT_SHARDS: u16 = 64;
/// The peer timeout is at least this many keepalive intervals, so that two keepalives may be lost or late.
const MIN_KEEPALIVES: f64 = 3.0;

/// Checks what the schema can't express, and reads the placement rules.
///
/// # Errors
/// The first invalid key.
pub(crate) fn parse_fleet(document: &Document, file: FleetFile) -> Result<Fleet, YamlError> {
    let domain = Domain {
        branch: parse_name(document, "branch", &file.branch)?,
        machine: parse_name(document, "machine", &file.machine)?,
    };
    let has_overlay = file.overlay.is_some();
    let overlay = file.overlay.map(|overlay| parse_overlay(document, overlay, &domain)).transpose()?;
    let peers = file.peers.into_iter().enumerate();
    let fleet = Fleet {
        cluster: parse_name(document, "cluster", &file.cluster)?,
        name: RouterId(parse_name(document, "name", &file.name)?),
        domain,
        listen: parse_peer_address(document, "listen", &file.listen)?,
        folder: file.folder,
        peers: peers.map(|(i, peer)| parse_peer(document, i, peer, has_overlay)).collect::<Result<_, _>>()?,
        rules: None,
        replicas: file.copies.unwrap_or(DEFAULT_REPLICAS),
        shards: file.shards.unwrap_or(DEFAULT_SHARDS),
        replicated: file.holds,
        gather: file.gather,
        overlay,
        limits: file.limits,
    };
    check_peers(document, &fleet)?;
    check_limits(document, &fleet.limits)?;
    if let Some(overlay) = &fleet.overlay {
        check_overlay(document, overlay, fleet.limits.max_frame_bytes, fleet.gather)?;
    }
    let rules = file.rules.map(|path| read_rules(document, &path)).transpose()?;
    Ok(Fleet { rules, ..fleet })
}

/// The JSON pointer of a key of the section.
fn pointer(key: &str) -> String {
    format!("/fleet/{key}")
}

fn parse_name(document: &Document, key: &str, name: &str) -> Result<Arc<str>, YamlError> {
    basaltgw_types::parse_name(name).map_err(|e| document.error_at(&pointer(key), e.to_string()))
}

/// Parses an address to which other routers connect.
fn parse_peer_address(document: &Document, key: &str, text: &str) -> Result<SocketAddr, YamlError> {
    let address = text.parse::<SocketAddr>().ok();
    address.filter(|a| a.port() != 0 && !a.ip().is_unspecified()).ok_or_else(|| {
        let message = format!("expected an IP address that others can reach and a port but 0, as in 10.0.0.1:7101, found {text:?}");
        document.error_at(&pointer(key), message)
    })
}

fn parse_peer(
    document: &Document,
    index: usize,
    peer: PeerFile,
    has_overlay: bool,
) -> Result<Peer, YamlError> {
    let key = |key: &str| format!("peers/{index}/{key}");
    let name = RouterId(parse_name(document, &key("name"), &peer.name)?);
    let address = parse_peer_address(document, &key("address"), &peer.address)?;
    let domain = Domain {
        branch: parse_name(document, &key("branch"), &peer.branch)?,
        machine: parse_name(document, &key("machine"), &peer.machine)?,
    };
    let overlay_pointer = pointer(&key("overlay"));
    let position = match (has_overlay, peer.overlay) {
        (true, file) => Some(parse_position(document, &overlay_pointer, file.unwrap_or_default(), &domain)?),
        (false, None) => None,
        (false, Some(_)) => {
            let message = "expected the key fleet.overlay as well: without it the fleet has no overlay";
            return Err(document.error_at(&overlay_pointer, message));
        }
    };
    Ok(Peer { name, address, domain, position })
}

/// Checks that names and addresses are unique, and that there are enough machines for the replicas.
fn check_peers(document: &Document, fleet: &Fleet) -> Result<(), YamlError> {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    names.insert(&fleet.name, "the router itself".to_string());
    addresses.insert(fleet.listen, "the router itself".to_string());
    for (i, peer) in fleet.peers.iter().enumerate() {
        let error =
            |key: &str, message| Err(document.error_at(&pointer(&format!("peers/{i}/{key}")), message));
        if let Some(owner) = names.insert(&peer.name, format!("fleet.peers[{i}]")) {
            return error("name", format!("{} is already the name of {owner}", peer.name));
        }
        if let Some(owner) = addresses.insert(peer.address, peer.name.to_string()) {
            return error("address", format!("{} is already the address of {owner}", peer.address));
        }
    }
    let domains = fleet.peers.iter().map(|p| &p.domain).chain([&fleet.domain]);
    let machines = domains.collect::<BTreeSet<_>>().len();
    if machines < fleet.replicas {
        let (copies, routers) = (fleet.replicas, fleet.peers.len() + 1);
        let message = format!(
            "expected {copies} machines or more for {copies} copies, found {machines} among {routers} routers"
        );
        return Err(document.error_at("/fleet/peers", message));
    }
    Ok(())
}

/// Checks limits that depend on one another: the registers have room for an outcome, a frame for two, a lane for a frame, and the peer
/// timeout allows for lost keepalives.
fn check_limits(document: &Document, limits: &FleetLimits) -> Result<(), YamlError> {
    let outcome_bytes = limits.max_outcome_bytes;
    let frame_bytes = limits.max_frame_bytes;
    let minimums = [
        ("hold_bytes", limits.max_register_bytes, "outcome_bytes", outcome_bytes),
        ("frame_bytes", frame_bytes, "outcome_bytes", outcome_bytes.saturating_mul(2)),
        ("lane_bytes", limits.max_queued_bytes, "frame_bytes", frame_bytes),
    ];
    for (key, value, inner_key, min) in minimums {
        if value < min {
            let message = format!("expected {min} or more, for limits.{inner_key}, found {value}");
            return Err(document.error_at(&pointer(&format!("limits/{key}")), message));
        }
    }
    let min_timeout = MIN_KEEPALIVES * limits.keepalive_interval_ms;
    if limits.peer_timeout_ms < min_timeout {
        let found = limits.peer_timeout_ms;
        let message = format!("expected {min_timeout} or more, three times limits.alive_ms, found {found}");
        return Err(document.error_at("/fleet/limits/silent_ms", message));
    }
    Ok(())
}

/// Reads the file of placement rules, whose path is relative to the settings file.
fn read_rules(document: &Document, file: &Path) -> Result<PlacementRules, YamlError> {
    let path = document.resolve_path(file);
    let error = |message: String| document.error_at("/fleet/rules", format!("{}: {message}", path.display()));
    let metadata = std::fs::metadata(&path).map_err(|e| error(e.to_string()))?;
    if !metadata.is_file() {
        return Err(error("expected a file".into()));
    }
    let mut text = String::new();
    let file = std::fs::File::open(&path).map_err(|e| error(e.to_string()))?;
    file.take(MAX_RULES_FILE_BYTES + 1).read_to_string(&mut text).map_err(|e| error(e.to_string()))?;
    if text.len() as u64 > MAX_RULES_FILE_BYTES {
        return Err(error(format!("expected at most {MAX_RULES_FILE_BYTES} bytes")));
    }
    Ok(PlacementRules { file: path, text })
}
