//! The key `fleet.overlay` of the settings file: a router's position in the dissemination overlay, and the overlay's bounds and timeouts.

use crate::yaml::{Document, YamlError};
use basaltgw_types::{Domain, Ms};
use serde::Deserialize;
use std::sync::Arc;

/// The least value of `frame_bytes`: an overlay frame of at most 64 KiB with its header.
pub const MIN_FRAME_BYTES: usize = (64 << 10) + 64;

/// The settings of the dissemination overlay.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlay {
    /// The position of this router.
    pub position: OverlayPosition,
    /// The time for which a router collects updates into a batch, in milliseconds.
    pub batch_interval_ms: Ms,
    /// The time for which updates are retained for routers that missed them, in milliseconds. If `None`, it follows from the convergence
    /// time of purges and is at least [`DEFAULT_RETENTION_MS`]; see [`Overlay::retention`].
    pub retention_ms: Option<Ms>,
    /// The bandwidth budget in bytes per second, for both directions together.
    pub budget_bytes_per_s: f64,
    /// Which links this router keeps open.
    pub links: LinkPolicy,
}

/// Which links a router keeps open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkPolicy {
    /// The router keeps a link to each listed router.
    Mesh,
    /// The router keeps links to its neighbours in the overlay and in the ring of names, and other links while they are in use.
    Sparse {
        /// The time without use after which one of the other links is closed, in milliseconds.
        idle_timeout_ms: Ms,
    },
}

/// A router's position by failure domains; each name is unique within the domain above it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlayPosition {
    /// The region.
    pub region: Arc<str>,
    /// The zone, unique within the region.
    pub zone: Arc<str>,
    /// The site, unique within the zone.
    pub site: Arc<str>,
    /// The rack, unique within the site.
    pub rack: Arc<str>,
    /// Whether the router is a control machine, which belongs to no region's tiers.
    pub control: bool,
}

/// The shortest default of `keep_ms`, in milliseconds.
pub const DEFAULT_RETENTION_MS: Ms = 120_000.0;
const DEFAULT_BATCH_INTERVAL_MS: Ms = 250.0;
const DEFAULT_BUDGET_BYTES_PER_S: f64 = 20_000.0;
const DEFAULT_IDLE_TIMEOUT_MS: Ms = 10_000.0;

/// The key `overlay` as the file has it.
#[derive(Deserialize)]
pub(crate) struct OverlayFile {
    #[serde(flatten)]
    position: PositionFile,
    batch_ms: Option<f64>,
    keep_ms: Option<f64>,
    budget_bytes_per_s: Option<f64>,
    links: Option<LinksFile>,
    idle_ms: Option<f64>,
}

/// The key `links`.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LinksFile {
    Mesh,
    #[serde(rename = "standing")]
    Sparse,
}

/// A router's position as the file has it: in the key `overlay` of the section, or of a peer.
#[derive(Default, Deserialize)]
pub(crate) struct PositionFile {
    region: Option<String>,
    zone: Option<String>,
    site: Option<String>,
    rack: Option<String>,
    #[serde(default)]
    control: bool,
}

/// Checks what the schema can't express, and applies the defaults.
///
/// # Errors
/// The first invalid key.
pub(crate) fn parse_overlay(
    document: &Document,
    file: OverlayFile,
    domain: &Domain,
) -> Result<Overlay, YamlError> {
    let links = match (file.links, file.idle_ms) {
        (Some(LinksFile::Sparse), idle_ms) => {
            LinkPolicy::Sparse { idle_timeout_ms: idle_ms.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS) }
        }
        (Some(LinksFile::Mesh) | None, None) => LinkPolicy::Mesh,
        (Some(LinksFile::Mesh) | None, Some(_)) => {
            let message = "expected `links: standing` too: idle links of a mesh are not closed";
            return Err(document.error_at("/fleet/overlay/idle_ms", message));
        }
    };
    Ok(Overlay {
        position: parse_position(document, "/fleet/overlay", file.position, domain)?,
        batch_interval_ms: file.batch_ms.unwrap_or(DEFAULT_BATCH_INTERVAL_MS),
        retention_ms: file.keep_ms,
        budget_bytes_per_s: file.budget_bytes_per_s.unwrap_or(DEFAULT_BUDGET_BYTES_PER_S),
        links,
    })
}

/// Parses the position at a JSON pointer; by default, region and zone have the name of the branch, site and rack that of the machine.
///
/// # Errors
/// The first invalid name.
pub(crate) fn parse_position(
    document: &Document,
    pointer: &str,
    file: PositionFile,
    domain: &Domain,
) -> Result<OverlayPosition, YamlError> {
    let name = |key: &str, name: Option<String>, default: &Arc<str>| match name {
        Some(name) => basaltgw_types::parse_name(&name)
            .map_err(|e| document.error_at(&format!("{pointer}/{key}"), e.to_string())),
        None => Ok(Arc::clone(default)),
    };
    Ok(OverlayPosition {
        region: name("region", file.region, &domain.branch)?,
        zone: name("zone", file.zone, &domain.branch)?,
        site: name("site", file.site, &domain.machine)?,
        rack: name("rack", file.rack, &domain.machine)?,
        control: file.control,
    })
}

/// Checks the overlay against the rest of the section: its frames fit into those of the links, and scatter-gather, which needs a link to
/// each router, is used with a mesh only.
///
/// # Errors
/// The first invalid key.
pub(crate) fn check_overlay(
    document: &Document,
    overlay: &Overlay,
    max_frame_bytes: usize,
    gather: bool,
) -> Result<(), YamlError> {
    if max_frame_bytes < MIN_FRAME_BYTES {
        let message =
            format!("expected {MIN_FRAME_BYTES} or more, for fleet.overlay, found {max_frame_bytes}");
        return Err(document.error_at("/fleet/limits/frame_bytes", message));
    }
    if overlay.links != LinkPolicy::Mesh && gather {
        let message =
            "expected false with `fleet.overlay.links: standing`: scatter-gather needs a mesh of links";
        return Err(document.error_at("/fleet/gather", message));
    }
    Ok(())
}

impl Overlay {
    /// The retention time of updates in milliseconds, given the convergence time of purges. The minimum is twice that time: a router that
    /// was unreachable for one convergence time still receives every purge that has not converged.
    ///
    /// # Errors
    /// If `keep_ms` is less than the minimum.
    pub fn retention(&self, purge_convergence_ms: Ms) -> Result<Ms, String> {
        let min = 2.0 * purge_convergence_ms;
        match self.retention_ms {
            None => Ok(DEFAULT_RETENTION_MS.max(min)),
            Some(retention) if retention >= min => Ok(retention),
            Some(retention) => Err(format!(
                "fleet.overlay.keep_ms: expected {min} or more, twice settings.family-info.purge-settles, found {retention}"
            )),
        }
    }
}
