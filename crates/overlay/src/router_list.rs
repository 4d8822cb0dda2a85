//! Router list: the agreed routers of the fleet and their places in the dissemination tree, indexed once.

use crate::OverlayError;
use basaltgw_structures::hash::{fnv1a, mix};
use basaltgw_types::RouterId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Listed router with its failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEntry {
    /// Name of the router.
    pub router: RouterId,
    /// Region: a bounded number of copies of an update cross into it.
    pub region: Arc<str>,
    /// Zone, unique within the region.
    pub zone: Arc<str>,
    /// Site behind one switch, unique within the zone.
    pub site: Arc<str>,
    /// Rack, unique within the site.
    pub rack: Arc<str>,
    /// Whether it is a control machine. Those receive updates first, and belong to no tier.
    pub control: bool,
}

/// Shape of the dissemination tree; distributed with the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of relays, which form the first tier of each region and receive updates from outside.
    pub relays: usize,
    /// Ratio of the sizes of a tier and the one above it.
    pub fan_out: usize,
    /// Number of relays to which each control machine pushes updates; the other relays receive them from these.
    pub control_eager: usize,
}

impl Default for Shape {
    /// Three relays cover three zones. With a fan-out of 2, 200 routers form seven tiers and few routers send an update more than three times,
    /// which the budget of a router allows at 100 updates per second.
    fn default() -> Self {
        Self { relays: 3, fan_out: 2, control_eager: 2 }
    }
}

/// Place of a router in the dissemination tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// A control machine.
    Control,
    /// A router of a region; tier 0 consists of the relays.
    Tier {
        /// Index of the region.
        region: usize,
        /// Rank within the region.
        rank: usize,
        /// Tier within the region.
        tier: usize,
    },
}

/// Router list. Its version is assigned by the agreement on it. Routers are identified by their index in the order of names.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterList {
    version: u64,
    shape: Shape,
    /// In the order of names.
    all: Vec<RouterEntry>,
    places: Vec<Place>,
    /// Hashes of the names.
    hashes: Vec<u64>,
    /// Indices by the short form of names that streams use.
    by_short_name: BTreeMap<u32, usize>,
    control: Vec<usize>,
    /// Routers of each region by rank.
    regions: Vec<Vec<usize>>,
    /// Relays of all regions in one order.
    relays: Vec<usize>,
    /// Position of each relay in `relays`.
    relay_rank: BTreeMap<usize, usize>,
}

/// Bits of the hash of a name that identify a router in a stream.
pub(crate) const SHORT_NAME_BITS: u32 = 30;

/// Salt of the short names.
const SHORT_NAME_SALT: u64 = 0x7368;

/// Short form of a router's name, used in streams.
pub(crate) fn short_name(router: &RouterId) -> u32 {
    (mix(fnv1a(&router.0), SHORT_NAME_SALT) >> (64 - SHORT_NAME_BITS)) as u32
}

impl RouterList {
    /// Indexes a list.
    ///
    /// # Errors
    /// If a router is listed twice, a number of the shape is 0, or its fan-out is below 2.
    pub fn new(version: u64, shape: Shape, mut all: Vec<RouterEntry>) -> Result<Self, OverlayError> {
        if shape.relays == 0 || shape.fan_out < 2 || shape.control_eager == 0 {
            return Err(OverlayError::Setting {
                setting: "shape",
                expected: "1 relay or more, a fan-out of 2 or more, 1 or more at a control machine",
            });
        }
        all.sort_by(|a, b| a.router.cmp(&b.router));
        if let Some(pair) = all.windows(2).find(|pair| pair[0].router == pair[1].router) {
            return Err(OverlayError::DuplicateRouter(pair[0].router.clone()));
        }
        let hashes: Vec<u64> = all.iter().map(|entry| fnv1a(&entry.router.0)).collect();
        let control = (0..all.len()).filter(|i| all[*i].control).collect();
        let regions = rank_regions(&all, &hashes, shape);
        let mut places = vec![Place::Control; all.len()];
        for (region, ranked) in regions.iter().enumerate() {
            for (rank, i) in ranked.iter().enumerate() {
                places[*i] = Place::Tier { region, rank, tier: shape.tier_of(rank) };
            }
        }
        let relays_of = |ranked: &Vec<usize>| ranked.iter().take(shape.relays).copied().collect::<Vec<_>>();
        let mut relays: Vec<usize> = regions.iter().flat_map(relays_of).collect();
        relays.sort_by_key(|i| (std::cmp::Reverse(mix(0, hashes[*i])), *i));
        let relay_rank = relays.iter().enumerate().map(|(rank, i)| (*i, rank)).collect();
        let by_short_name = all.iter().enumerate().map(|(i, e)| (short_name(&e.router), i)).collect();
        Ok(Self { version, shape, all, places, hashes, by_short_name, control, regions, relays, relay_rank })
    }

    /// Version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of listed routers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no router is listed.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Entry of a router.
    pub fn get(&self, router: &RouterId) -> Option<&RouterEntry> {
        self.index(router).map(|i| &self.all[i])
    }

    /// Entries in the order of names.
    pub fn all(&self) -> &[RouterEntry] {
        &self.all
    }

    /// Whether a router is a relay of its region.
    pub fn is_relay(&self, router: &RouterId) -> bool {
        self.index(router).is_some_and(|i| self.relay_rank.contains_key(&i))
    }

    pub(crate) fn index(&self, router: &RouterId) -> Option<usize> {
        self.all.binary_search_by(|l| l.router.cmp(router)).ok()
    }

    /// The router with a short name.
    pub(crate) fn by_short_name(&self, short_name: u32) -> Option<&RouterId> {
        self.by_short_name.get(&short_name).map(|i| &self.all[*i].router)
    }

    pub(crate) fn at(&self, index: usize) -> &RouterEntry {
        &self.all[index]
    }

    pub(crate) fn place(&self, index: usize) -> Place {
        self.places[index]
    }

    pub(crate) fn hash(&self, index: usize) -> u64 {
        self.hashes[index]
    }

    pub(crate) fn control(&self) -> &[usize] {
        &self.control
    }

    /// The relays before a relay in the order of the whole fleet.
    pub(crate) fn relays_before(&self, index: usize) -> &[usize] {
        &self.relays[..self.relay_rank.get(&index).copied().unwrap_or(0)]
    }

    /// Whether control machines push updates to a relay; the other relays receive them from such relays.
    pub(crate) fn is_pushed_by_control(&self, index: usize) -> bool {
        let pushed = self.shape.control_eager * self.control.len();
        self.relay_rank.get(&index).is_some_and(|rank| *rank < pushed)
    }

    pub(crate) fn relays(&self) -> &[usize] {
        &self.relays
    }

    pub(crate) fn has_one_region(&self) -> bool {
        self.regions.len() < 2
    }

    pub(crate) fn shape(&self) -> Shape {
        self.shape
    }

    /// The routers of a tier of a region.
    pub(crate) fn tier(&self, region: usize, tier: usize) -> &[usize] {
        let ranked = &self.regions[region];
        let start = self.shape.first_rank(tier).min(ranked.len());
        &ranked[start..self.shape.first_rank(tier + 1).min(ranked.len())]
    }
}

impl Shape {
    /// First rank of a tier.
    fn first_rank(self, tier: usize) -> usize {
        let (mut start, mut size) = (0usize, self.relays);
        for _ in 0..tier {
            start = start.saturating_add(size);
            size = size.saturating_mul(self.fan_out);
        }
        start
    }

    fn tier_of(self, rank: usize) -> usize {
        (0..).find(|t| rank < self.first_rank(t + 1)).unwrap_or(0)
    }
}

/// Ranks the routers of each region, relays first.
fn rank_regions(all: &[RouterEntry], hashes: &[u64], shape: Shape) -> Vec<Vec<usize>> {
    let mut by_region: BTreeMap<Arc<str>, Vec<usize>> = BTreeMap::new();
    for (i, entry) in all.iter().enumerate().filter(|(_, entry)| !entry.control) {
        by_region.entry(entry.region.clone()).or_default().push(i);
    }
    let rank = |(name, mut routers): (Arc<str>, Vec<usize>)| {
        let key = fnv1a(&name);
        routers.sort_by_key(|i| (std::cmp::Reverse(mix(key, hashes[*i])), *i));
        relays_first(all, routers, shape.relays)
    };
    by_region.into_iter().map(rank).collect()
}

/// Moves the relays to the front: routers of as many zones as possible, then of as many sites, then racks. The others stay in their order.
fn relays_first(all: &[RouterEntry], routers: Vec<usize>, relays: usize) -> Vec<usize> {
    let mut first: Vec<usize> = Vec::new();
    for depth in (0..=2).rev() {
        let mut seen: BTreeSet<_> = first.iter().map(|i| failure_domain(&all[*i], depth)).collect();
        for i in &routers {
            if first.len() < relays && !first.contains(i) && seen.insert(failure_domain(&all[*i], depth)) {
                first.push(*i);
            }
        }
    }
    let rest = routers.iter().filter(|i| !first.contains(i)).copied();
    let mut ranked = first.clone();
    ranked.extend(rest);
    ranked
}

/// Zone (depth 2), site (depth 1) or rack (depth 0) of a router, with the domains that contain it.
pub(crate) fn failure_domain(entry: &RouterEntry, depth: usize) -> (&str, &str, &str, &str) {
    match depth {
        2 => (&entry.region, &entry.zone, "", ""),
        1 => (&entry.region, &entry.zone, &entry.site, ""),
        _ => (&entry.region, &entry.zone, &entry.site, &entry.rack),
    }
}
