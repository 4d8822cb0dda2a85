//! The agreed list of routers, with all that has to be searched of it indexed once: everybody shares it and nobody scans it at rest.

use crate::OverlayError;
use basaltgw_structures::hash::{address, mix};
use basaltgw_types::RouterId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A router of the list, and what is lost together with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEntry {
    /// Who.
    pub router: RouterId,
    /// Its region: words cross into it a bounded number of times.
    pub region: Arc<str>,
    /// Its zone; names count within the region.
    pub zone: Arc<str>,
    /// Its site, behind one switch; names count within the zone.
    pub site: Arc<str>,
    /// Its rack; names count within the site.
    pub rack: Arc<str>,
    /// Whether it is a control machine: those hold the first copies, and stand in no region's tiers.
    pub control: bool,
}

/// How a region's routers are put in tiers; the same at all, as it comes with the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Routers of a region that take words from outside: its first tier.
    pub relays: usize,
    /// How many times as many each further tier has.
    pub fan_out: usize,
    /// Relays to which each control machine sends words at once; the other relays get them from these.
    pub control_eager: usize,
}

impl Default for Shape {
    /// Three relays stand in three zones. With twice as many in each tier 200 routers take seven tiers, and hardly anybody has to send a
    /// word more than three times, which is what a router's budget has room for at 100 words a second.
    fn default() -> Self {
        Self { relays: 3, fan_out: 2, control_eager: 2 }
    }
}

/// Where a router stands by the rule; the place of a router in the list is its number here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Control,
    /// The region's number, the rank in it, the tier; relays are in tier 0.
    Tier {
        region: usize,
        rank: usize,
        tier: usize,
    },
}

/// The list; versions are given by those who agree on it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterList {
    version: u64,
    shape: Shape,
    /// By name.
    all: Vec<RouterEntry>,
    places: Vec<Place>,
    hashes: Vec<u64>,
    /// By the short form of the name that streams are called by.
    short: BTreeMap<u32, usize>,
    control: Vec<usize>,
    /// Of each region the routers by rank.
    regions: Vec<Vec<usize>>,
    /// All relays in one order, that of the whole fleet; and the place of each in it.
    relays: Vec<usize>,
    relay_rank: BTreeMap<usize, usize>,
}

/// Bits of a name's hash by which a stream calls its router.
const SHORT_BITS: u32 = 30;

/// The short form of a router's name.
pub(crate) fn short(router: &RouterId) -> u32 {
    (mix(address(&router.0), 0x7368) >> (64 - SHORT_BITS)) as u32
}

impl RouterList {
    /// Indexes a list.
    ///
    /// # Errors
    /// If a router is listed twice, or the shape has none of something, or a fan-out below 2.
    pub fn new(version: u64, shape: Shape, mut all: Vec<RouterEntry>) -> Result<Self, OverlayError> {
        if shape.relays == 0 || shape.fan_out < 2 || shape.control_eager == 0 {
            return Err(OverlayError::Setting(
                "shape",
                "1 relay or more, a fan-out of 2 or more, 1 or more at a control machine",
            ));
        }
        all.sort_by(|a, b| a.router.cmp(&b.router));
        if let Some(twice) = all.windows(2).find(|w| w[0].router == w[1].router) {
            return Err(OverlayError::Twice(twice[0].router.clone()));
        }
        let hashes: Vec<u64> = all.iter().map(|l| address(&l.router.0)).collect();
        let control = (0..all.len()).filter(|i| all[*i].control).collect();
        let mut by_region: BTreeMap<Arc<str>, Vec<usize>> = BTreeMap::new();
        for (i, l) in all.iter().enumerate().filter(|(_, l)| !l.control) {
            by_region.entry(l.region.clone()).or_default().push(i);
        }
        let mut places = vec![Place::Control; all.len()];
        let mut regions = Vec::new();
        for (number, (name, mut routers)) in by_region.into_iter().enumerate() {
            let key = address(&name);
            routers.sort_by_key(|i| (std::cmp::Reverse(mix(key, hashes[*i])), *i));
            let ranked = relays_first(&all, routers, shape.relays);
            for (rank, i) in ranked.iter().enumerate() {
                places[*i] = Place::Tier { region: number, rank, tier: shape.tier(rank) };
            }
            regions.push(ranked);
        }
        let mut relays: Vec<usize> =
            regions.iter().flat_map(|r: &Vec<usize>| r.iter().take(shape.relays).copied()).collect();
        relays.sort_by_key(|i| (std::cmp::Reverse(mix(0, hashes[*i])), *i));
        let relay_rank = relays.iter().enumerate().map(|(rank, i)| (*i, rank)).collect();
        let short = all.iter().enumerate().map(|(i, l)| (short(&l.router), i)).collect();
        Ok(Self { version, shape, all, places, hashes, short, control, regions, relays, relay_rank })
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many routers are listed.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// True if nobody is listed.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// What is listed of a router.
    pub fn get(&self, router: &RouterId) -> Option<&RouterEntry> {
        self.number(router).map(|i| &self.all[i])
    }

    /// The routers, by name.
    pub fn all(&self) -> &[RouterEntry] {
        &self.all
    }

    /// True if the router is one of its region's relays.
    pub fn is_relay(&self, router: &RouterId) -> bool {
        self.number(router).is_some_and(|i| self.relay_rank.contains_key(&i))
    }

    pub(crate) fn number(&self, router: &RouterId) -> Option<usize> {
        self.all.binary_search_by(|l| l.router.cmp(router)).ok()
    }

    pub(crate) fn called(&self, short: u32) -> Option<&RouterId> {
        self.short.get(&short).map(|i| &self.all[*i].router)
    }

    pub(crate) fn at(&self, number: usize) -> &RouterEntry {
        &self.all[number]
    }

    pub(crate) fn place(&self, number: usize) -> Place {
        self.places[number]
    }

    pub(crate) fn hash(&self, number: usize) -> u64 {
        self.hashes[number]
    }

    pub(crate) fn control(&self) -> &[usize] {
        &self.control
    }

    /// The relays before a relay in the order of the whole fleet.
    pub(crate) fn relays_before(&self, number: usize) -> &[usize] {
        &self.relays[..self.relay_rank.get(&number).copied().unwrap_or(0)]
    }

    /// Whether control machines send words to a relay at once; the other relays get them from those.
    pub(crate) fn by_control(&self, number: usize) -> bool {
        let most = self.shape.control_eager * self.control.len();
        self.relay_rank.get(&number).is_some_and(|rank| *rank < most)
    }

    pub(crate) fn relays(&self) -> &[usize] {
        &self.relays
    }

    pub(crate) fn one_region(&self) -> bool {
        self.regions.len() < 2
    }

    pub(crate) fn shape(&self) -> Shape {
        self.shape
    }

    /// The routers of a tier of a region.
    pub(crate) fn tier(&self, region: usize, tier: usize) -> &[usize] {
        let ranked = &self.regions[region];
        let start = self.shape.start(tier).min(ranked.len());
        &ranked[start..self.shape.start(tier + 1).min(ranked.len())]
    }
}

impl Shape {
    /// The first rank of a tier.
    fn start(self, tier: usize) -> usize {
        let (mut start, mut size) = (0usize, self.relays);
        for _ in 0..tier {
            start = start.saturating_add(size);
            size = size.saturating_mul(self.fan_out);
        }
        start
    }

    fn tier(self, rank: usize) -> usize {
        (0..).find(|t| rank < self.start(t + 1)).unwrap_or(0)
    }
}

/// Puts first what stands in as many zones as there are; then in as many sites, then racks; all else stays in its order.
fn relays_first(all: &[RouterEntry], routers: Vec<usize>, relays: usize) -> Vec<usize> {
    let mut first: Vec<usize> = Vec::new();
    for depth in (0..=2).rev() {
        let mut seen: BTreeSet<_> = first.iter().map(|i| within(&all[*i], depth)).collect();
        for i in &routers {
            if first.len() < relays && !first.contains(i) && seen.insert(within(&all[*i], depth)) {
                first.push(*i);
            }
        }
    }
    let rest = routers.iter().filter(|i| !first.contains(i)).copied();
    let mut ranked = first.clone();
    ranked.extend(rest);
    ranked
}

/// The zone (2), the site (1) or the rack (0) of a router, with what it is within.
pub(crate) fn within(l: &RouterEntry, depth: usize) -> (&str, &str, &str, &str) {
    match depth {
        2 => (&l.region, &l.zone, "", ""),
        1 => (&l.region, &l.zone, &l.site, ""),
        _ => (&l.region, &l.zone, &l.site, &l.rack),
    }
}
