//! The key `overlay` of the section `fleet`: where a router stands in the overlay, and its times and bounds.

use crate::yaml::{BadFile, Document};
use basaltgw_types::{Domain, Ms};
use serde::Deserialize;
use std::sync::Arc;

/// The longest frame between routers has to hold a frame of the overlay, of at most 64 KiB, and what says that it is one.
pub const LEAST_FRAME_BYTES: usize = (64 << 10) + 64;

/// How words for all travel: by the overlay.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlay {
    /// Where this router stands.
    pub standing: Standing,
    /// Words wait so long at each router, so that they go in batches.
    pub batch_ms: Ms,
    /// Words are kept so long for those who missed them; absent: as long as is needed, but no less than [`KEEP_MS`].
    pub keep_ms: Option<Ms>,
    /// Bytes a second for words, both ways together.
    pub budget_bytes_per_s: f64,
    /// Which links this router keeps.
    pub links: Links,
}

/// Which links a router keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Links {
    /// One with each listed router.
    Mesh,
    /// Those with its neighbours in the overlay and in the ring of names; others while they are needed, and for so long after.
    Standing {
        /// A link that nobody needs is closed after so long without a word.
        idle_ms: Ms,
    },
}

/// Where a router stands, by what is lost together; names count within what is before them.
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
    /// Whether it is a control machine: above all regions, in none's tiers.
    pub control: bool,
}

/// Words are kept so long if nothing else is said, ms.
pub const KEEP_MS: Ms = 120_000.0;
const BATCH_MS: Ms = 250.0;
const BUDGET_BYTES_PER_S: f64 = 20_000.0;
const IDLE_MS: Ms = 10_000.0;

/// The key as it stands in the file.
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

/// The same of a peer.
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

/// What is not said follows from branch and machine.
pub(crate) fn standing(
    document: &Document,
    at: &str,
    of: StandingFile,
    domain: &Domain,
) -> Result<Standing, BadFile> {
    let name = |key: &str, text: Option<String>, usual: &Arc<str>| match text {
        Some(text) => {
            basaltgw_types::name(&text).map_err(|e| document.fault(&format!("{at}/{key}"), e.to_string()))
        }
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
    /// How long words are kept, with the time that a purge takes to settle: who was away for as long as that may be a while late, and still
    /// finds all that has not settled.
    ///
    /// # Errors
    /// If they are kept for less than twice that time.
    pub fn keep(&self, settles: Ms) -> Result<Ms, String> {
        let least = 2.0 * settles;
        match self.keep_ms {
            None => Ok(KEEP_MS.max(least)),
            Some(keep) if keep >= least => Ok(keep),
            Some(keep) => Err(format!(
                "fleet.overlay.keep_ms: expected {least} or more, twice what a purge takes to settle, found {keep}"
            )),
        }
    }
}
