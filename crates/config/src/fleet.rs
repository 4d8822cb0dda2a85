//! The section `fleet` of the project's own file: the router's identity, its peers, and the limits of what it replicates.

use crate::overlay::{self, overlay, standing, Overlay, OverlayFile, Standing, StandingFile};
use crate::yaml::{BadFile, Document};
use basaltgw_types::{Domain, RouterId};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The largest rules file, in bytes: ten thousand rules of a hundred bytes each.
pub const MOST_RULES_BYTES: u64 = 1024 * 1024;

/// The settings of a router in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name; links between different fleets are rejected.
    pub cluster: Arc<str>,
    /// Its own name.
    pub name: RouterId,
    /// Its failure domain.
    pub domain: Domain,
    /// Its address for peers.
    pub listen: SocketAddr,
    /// The folder of durable data, as the file names it; its existence is not checked.
    pub folder: PathBuf,
    /// The other routers that the file lists.
    pub peers: Vec<Peer>,
    /// The placement rules, if a file is named.
    pub rules: Option<Rules>,
    /// Replicas of each register: 3 or 5.
    pub copies: usize,
    /// Shards of the registers.
    pub shards: u16,
    /// The kinds of registers that are replicated.
    pub holds: Held,
    /// Whether scatter-gather requests are accepted.
    pub gather: bool,
    /// The dissemination overlay, if it is used.
    pub overlay: Option<Overlay>,
    /// Bounds and time-outs.
    pub limits: FleetLimits,
}

/// Another router, as the file lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: RouterId,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its position in the overlay, if there is one.
    pub standing: Option<Standing>,
}

/// The text of the placement rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The file, for messages.
    pub file: PathBuf,
    /// Its text.
    pub text: String,
}

/// The kinds of registers that are replicated; others are handled by each router alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Held {
    /// Outcomes of requests.
    pub effects: bool,
    /// Purges.
    pub purges: bool,
    /// Tickets.
    pub tickets: bool,
}

impl Default for Held {
    fn default() -> Self {
        Self { effects: true, purges: true, tickets: true }
    }
}

/// Bounds and time-outs; their ranges are in the schema.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct FleetLimits {
    /// The most registers of this router.
    pub holds: usize,
    /// The most bytes of these registers.
    pub hold_bytes: usize,
    /// The most bytes of a stored outcome.
    pub outcome_bytes: usize,
    /// The most open register requests.
    pub open_asks: usize,
    /// The longest frame between routers, in bytes.
    pub frame_bytes: usize,
    /// The most frames queued in one priority lane of a link.
    pub lane_frames: usize,
    /// The most bytes of these frames.
    pub lane_bytes: usize,
    /// The capacity of a ring between two threads.
    pub ring: usize,
    /// The time in which a lease is replicated or rejected, in milliseconds.
    pub promise_ms: f64,
    /// Registers in a batch when a replica is rebuilt.
    pub fill_portion: usize,
    /// The pause between two batches, in milliseconds.
    pub fill_pause_ms: f64,
    /// The time after which a router that is down is replaced, in milliseconds.
    pub replace_after_ms: f64,
    /// The interval of keepalives on an idle link, in milliseconds.
    pub alive_ms: f64,
    /// The time without a byte after which a link is silent, in milliseconds.
    pub silent_ms: f64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            holds: 100_000,
            hold_bytes: 64 * 1024 * 1024,
            outcome_bytes: 4096,
            open_asks: 1024,
            frame_bytes: 1024 * 1024,
            lane_frames: 1024,
            lane_bytes: 8 * 1024 * 1024,
            ring: 1024,
            promise_ms: 400.0,
            fill_portion: 64,
            fill_pause_ms: 20.0,
            replace_after_ms: 10_000.0,
            alive_ms: 250.0,
            silent_ms: 1_000.0,
        }
    }
}

impl Fleet {
    /// Whether only the placement rules differ, the one change that a running router applies.
    pub fn same_but_rules(&self, other: &Self) -> bool {
        let bare = |f: &Self| Self { rules: None, ..f.clone() };
        bare(self) == bare(other)
    }
}

/// The section in the file.
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
    holds: Held,
    #[serde(default)]
    gather: bool,
    overlay: Option<OverlayFile>,
    #[serde(default)]
    limits: FleetLimits,
}

#[derive(Deserialize)]
struct PeerFile {
    name: String,
    address: String,
    branch: String,
    machine: String,
    overlay: Option<StandingFile>,
}

const DEFAULT_COPIES: usize = 3;
const DEFAULT_SHARDS: u16 = 64;
/// Keepalives within the time after which a link is silent, so that two may be lost or late.
const KEEPALIVES_BEFORE_SILENT: f64 = 3.0;

/// Checks what the schema can't express, and reads the placement rules.
///
/// # Errors
/// The fault with file, line and key.
pub(crate) fn fleet(document: &Document, of: FleetFile) -> Result<Fleet, BadFile> {
    let at = |key: &str| format!("/fleet/{key}");
    let name = |key: &str, text: &str| {
        basaltgw_types::parse_name(text).map_err(|e| document.fault(&at(key), e.to_string()))
    };
    let address = |key: &str, text: &str| {
        let found = text.parse::<SocketAddr>().ok();
        // Other routers connect to this address.
        found.filter(|a| a.port() != 0 && !a.ip().is_unspecified()).ok_or_else(|| {
            let what = format!("expected an IP address that others can reach and a port but 0, as in 10.0.0.1:7101, found {text:?}");
            document.fault(&at(key), what)
        })
    };
    let with_overlay = of.overlay.is_some();
    let peer = |(i, p): (usize, PeerFile)| {
        let key = |key: &str| format!("peers/{i}/{key}");
        let router = RouterId(name(&key("name"), &p.name)?);
        let address = address(&key("address"), &p.address)?;
        let domain =
            Domain { branch: name(&key("branch"), &p.branch)?, machine: name(&key("machine"), &p.machine)? };
        let at = at(&key("overlay"));
        let standing = match (with_overlay, p.overlay) {
            (true, file) => Some(standing(document, &at, file.unwrap_or_default(), &domain)?),
            (false, None) => None,
            (false, Some(_)) => {
                let what = "expected the key `overlay` of the section too: without it there is no overlay";
                return Err(document.fault(&at, what));
            }
        };
        Ok(Peer { name: router, address, domain, standing })
    };
    let domain = Domain { branch: name("branch", &of.branch)?, machine: name("machine", &of.machine)? };
    let overlay = of.overlay.map(|o| overlay(document, o, &domain)).transpose()?;
    let fleet = Fleet {
        cluster: name("cluster", &of.cluster)?,
        name: RouterId(name("name", &of.name)?),
        domain,
        listen: address("listen", &of.listen)?,
        folder: of.folder,
        peers: of.peers.into_iter().enumerate().map(peer).collect::<Result<_, _>>()?,
        rules: None,
        copies: of.copies.unwrap_or(DEFAULT_COPIES),
        shards: of.shards.unwrap_or(DEFAULT_SHARDS),
        holds: of.holds,
        gather: of.gather,
        overlay,
        limits: of.limits,
    };
    check_peers(document, &fleet)?;
    check_limits(document, &fleet.limits)?;
    if let Some(overlay) = &fleet.overlay {
        overlay::check(document, overlay, fleet.limits.frame_bytes, fleet.gather)?;
    }
    let rules = of.rules.map(|file| rules(document, &file)).transpose()?;
    Ok(Fleet { rules, ..fleet })
}

/// Checks that names and addresses are unique, and that there are enough machines for the replicas.
fn check_peers(document: &Document, fleet: &Fleet) -> Result<(), BadFile> {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    names.insert(&fleet.name, "the router itself".to_string());
    addresses.insert(fleet.listen, "where the router itself listens".to_string());
    for (i, peer) in fleet.peers.iter().enumerate() {
        let fault = |key: &str, what| Err(document.fault(&format!("/fleet/peers/{i}/{key}"), what));
        if let Some(is) = names.insert(&peer.name, format!("fleet.peers[{i}] too")) {
            return fault("name", format!("{} is {is}; expected a name once", peer.name));
        }
        if let Some(is) = addresses.insert(peer.address, format!("that of {}", peer.name)) {
            return fault("address", format!("{} is {is}; expected an address once", peer.address));
        }
    }
    let machines: BTreeSet<_> =
        fleet.peers.iter().map(|p| &p.domain).chain(std::iter::once(&fleet.domain)).collect();
    if machines.len() < fleet.copies {
        let what = format!(
            "expected {} machines or more for as many copies, found {} among {} routers",
            fleet.copies,
            machines.len(),
            fleet.peers.len() + 1
        );
        return Err(document.fault("/fleet/peers", what));
    }
    Ok(())
}

/// Checks limits that depend on one another.
fn check_limits(document: &Document, limits: &FleetLimits) -> Result<(), BadFile> {
    let pairs = [
        ("outcome_bytes", limits.outcome_bytes, "hold_bytes", limits.hold_bytes),
        ("outcome_bytes", limits.outcome_bytes.saturating_mul(2), "frame_bytes", limits.frame_bytes),
        ("frame_bytes", limits.frame_bytes, "lane_bytes", limits.lane_bytes),
    ];
    for (inner, least, outer, is) in pairs {
        if least > is {
            let what = format!("expected {least} or more, for limits.{inner}, found {is}");
            return Err(document.fault(&format!("/fleet/limits/{outer}"), what));
        }
    }
    let least = KEEPALIVES_BEFORE_SILENT * limits.alive_ms;
    if limits.silent_ms < least {
        let what =
            format!("expected {least} or more, for three of limits.alive_ms, found {}", limits.silent_ms);
        return Err(document.fault("/fleet/limits/silent_ms", what));
    }
    Ok(())
}

fn rules(document: &Document, file: &Path) -> Result<Rules, BadFile> {
    let path = document.beside(file);
    let fault = |what: String| document.fault("/fleet/rules", format!("{}: {what}", path.display()));
    let is = std::fs::metadata(&path).map_err(|e| fault(e.to_string()))?;
    if !is.is_file() {
        return Err(fault("expected a file".into()));
    }
    let mut text = String::new();
    let open = std::fs::File::open(&path).map_err(|e| fault(e.to_string()))?;
    open.take(MOST_RULES_BYTES + 1).read_to_string(&mut text).map_err(|e| fault(e.to_string()))?;
    if text.len() as u64 > MOST_RULES_BYTES {
        return Err(fault(format!("expected at most {MOST_RULES_BYTES} bytes")));
    }
    Ok(Rules { file: path, text })
}
