//! The key `overlay` of the section `fleet`: a router's position in the overlay, and its bounds and time-outs.

use crate::yaml::{BadFile, Document};
use basaltgw_types::{Domain, Ms};
use serde::Deserialize;
use std::sync::Arc;

/// The least value of `frame_bytes`: an overlay frame of at most 64 KiB with its header.
pub const LEAST_FRAME_BYTES: usize = (64 << 10) + 64;

/// The dissemination overlay.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlay {
    /// The position of this router.
    pub standing: Standing,
    /// The time for which a router collects messages into a batch, in milliseconds.
    pub batch_ms: Ms,
    /// The time for which messages are retained for routers that missed them, in milliseconds; absent: as long as needed, at least
    /// [`KEEP_MS`].
    pub keep_ms: Option<Ms>,
    /// The bandwidth budget in bytes per second, for both directions together.
    pub budget_bytes_per_s: f64,
    /// Which links this router keeps open.
    pub links: Links,
}

/// Which links a router keeps open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Links {
    /// A link to each listed router.
    Mesh,
    /// Links to its neighbours in the overlay and in the ring of names; others while they are in use.
    Standing {
        /// The time after which a link that is not in use is closed, in milliseconds.
        idle_ms: Ms,
    },
}

/// A router's position by failure domains; each name is unique within the domain before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Its region.
    pub region: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its site.
    pub site: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Whether it is a control machine, which belongs to no region's tiers.
    pub control: bool,
}

/// The default of `keep_ms`.
pub const KEEP_MS: Ms = 120_000.0;
const BATCH_MS: Ms = 250.0;
const BUDGET_BYTES_PER_S: f64 = 20_000.0;
const IDLE_MS: Ms = 10_000.0;

/// The key in the file.
#[derive(Deserialize)]
pub(crate) struct OverlayFile {
    #[serde(flatten)]
    standing: StandingFile,
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
    Standing,
}

/// A position in the file.
#[derive(Default, Deserialize)]
pub(crate) struct StandingFile {
    region: Option<String>,
    zone: Option<String>,
    site: Option<String>,
    rack: Option<String>,
    #[serde(default)]
    control: bool,
}

pub(crate) fn overlay(document: &Document, of: OverlayFile, domain: &Domain) -> Result<Overlay, BadFile> {
    let links = match (of.links, of.idle_ms) {
        (Some(LinksFile::Standing), idle) => Links::Standing { idle_ms: idle.unwrap_or(IDLE_MS) },
        (Some(LinksFile::Mesh) | None, None) => Links::Mesh,
        (Some(LinksFile::Mesh) | None, Some(_)) => {
            let what = "expected `links: standing` too: links of a mesh are not closed for being idle";
            return Err(document.fault("/fleet/overlay/idle_ms", what));
        }
    };
    Ok(Overlay {
        standing: standing(document, "/fleet/overlay", of.standing, domain)?,
        batch_ms: of.batch_ms.unwrap_or(BATCH_MS),
        keep_ms: of.keep_ms,
        budget_bytes_per_s: of.budget_bytes_per_s.unwrap_or(BUDGET_BYTES_PER_S),
        links,
    })
}

/// A position; absent names default to the branch and the machine.
pub(crate) fn standing(
    document: &Document,
    at: &str,
    of: StandingFile,
    domain: &Domain,
) -> Result<Standing, BadFile> {
    let name = |key: &str, text: Option<String>, usual: &Arc<str>| match text {
        Some(text) => basaltgw_types::parse_name(&text)
            .map_err(|e| document.fault(&format!("{at}/{key}"), e.to_string())),
        None => Ok(Arc::clone(usual)),
    };
    Ok(Standing {
        region: name("region", of.region, &domain.branch)?,
        zone: name("zone", of.zone, &domain.branch)?,
        site: name("site", of.site, &domain.machine)?,
        rack: name("rack", of.rack, &domain.machine)?,
        control: of.control,
    })
}

/// Checks the overlay against the rest of the section: its frames fit into those between routers, and scatter-gather has the links of a
/// mesh.
pub(crate) fn check(
    document: &Document,
    overlay: &Overlay,
    frame_bytes: usize,
    gather: bool,
) -> Result<(), BadFile> {
    if frame_bytes < LEAST_FRAME_BYTES {
        let what = format!("expected {LEAST_FRAME_BYTES} or more, for fleet.overlay, found {frame_bytes}");
        return Err(document.fault("/fleet/limits/frame_bytes", what));
    }
    if overlay.links != Links::Mesh && gather {
        let what = "expected false with `fleet.overlay.links: standing`: gathers ask routers over the links of a mesh";
        return Err(document.fault("/fleet/gather", what));
    }
    Ok(())
}

impl Overlay {
    /// The retention time of messages in milliseconds, by the time that a purge takes to converge: a router that was away for that long
    /// still gets every purge that has not converged.
    ///
    /// # Errors
    /// If `keep_ms` is less than twice that time.
    pub fn keep(&self, convergence_ms: Ms) -> Result<Ms, String> {
        let least = 2.0 * convergence_ms;
        match self.keep_ms {
            None => Ok(KEEP_MS.max(least)),
            Some(keep) if keep >= least => Ok(keep),
            Some(keep) => Err(format!(
                "fleet.overlay.keep_ms: expected {least} or more, twice what a purge takes to settle, found {keep}"
            )),
        }
    }
}
