//! The placement of routers in racks, behind switches, in sites, zones and regions, drawn from a seed.

use crate::RouterIndex;
use basaltgw_simulator::{draw, rng, Rng};
use basaltgw_types::{Domain, RouterId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The most routers: their addresses have the index in 16 bits.
const MAX_ROUTERS: usize = 65_535;
/// The port in the address of each router.
const PEER_PORT: u16 = 7_100;
/// The number of routers of the fleet whose proportions [`Shape::for_routers`] scales, and its sites, zones and regions.
const REFERENCE_ROUTERS: usize = 4_300;
const REFERENCE_SITES: usize = 210;
const REFERENCE_ZONES: usize = 71;
const REFERENCE_REGIONS: usize = 21;
/// The weight of a site, zone or region when routers are spread: a random number from this one to one more.
const MIN_WEIGHT: f64 = 0.5;
/// Random stream of the placement.
const PLACEMENT_STREAM: u64 = 1;

/// The size of a fleet and of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Number of routers, at most 65,535.
    pub routers: usize,
    /// Number of sites.
    pub sites: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Smallest and largest number of routers in a rack.
    pub routers_per_rack: (usize, usize),
    /// Number of racks behind one switch.
    pub racks_per_switch: usize,
    /// Number of control machines, one in each of the first regions; fewer if there are fewer regions.
    pub control_machines: usize,
}

impl Shape {
    /// The shape for this number of routers, in the proportions of a fleet of 4,300 routers at 210 sites, in 71 zones and 21 regions.
    pub fn for_routers(routers: usize) -> Self {
        let scaled = |count: usize| (routers * count).div_ceil(REFERENCE_ROUTERS).clamp(1, count.max(1));
        let (sites, zones, regions) = match routers {
            // A small fleet is spread as far as the replicas of a register require.
            0..=200 => (routers.div_ceil(4).max(3), 3, 3),
            _ => (
                scaled(REFERENCE_SITES).max(9),
                scaled(REFERENCE_ZONES).max(6),
                scaled(REFERENCE_REGIONS).max(3),
            ),
        };
        Self {
            routers,
            sites: sites.min(routers.max(1)),
            zones: zones.min(sites),
            regions,
            routers_per_rack: (20, 40),
            racks_per_switch: 2,
            control_machines: 9,
        }
    }
}

/// A router and its placement.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRouter {
    /// The name; the fleet is sorted by it.
    pub router: RouterId,
    /// The failure domain used for placement; its branch is the site.
    pub domain: Domain,
    /// The address on which the router would listen.
    pub address: SocketAddr,
    /// Number of the rack, counted through the whole fleet.
    pub rack: usize,
    /// Number of the switch, counted through the whole fleet.
    pub switch: usize,
    /// Number of the site, counted through the whole fleet.
    pub site: usize,
    /// Number of the zone, counted through the whole fleet.
    pub zone: usize,
    /// Number of the region, counted through the whole fleet.
    pub region: usize,
    /// Whether the router is a control machine.
    pub control: bool,
}

/// Routers that fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    /// The routers of a rack.
    Rack(usize),
    /// The routers behind a switch.
    Switch(usize),
    /// The routers of a site.
    Site(usize),
    /// The routers of a zone.
    Zone(usize),
    /// The routers of a region.
    Region(usize),
}

/// All routers with their placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Indexed by [`RouterIndex`].
    pub routers: Vec<FleetRouter>,
    index_by_name: BTreeMap<RouterId, RouterIndex>,
}

impl Fleet {
    /// Places the routers of a fleet of this shape.
    ///
    /// # Errors
    /// If the shape is inconsistent.
    pub fn new(shape: &Shape, seed: u64) -> Result<Self, String> {
        let Shape { routers, sites, zones, regions, routers_per_rack: (min, max), racks_per_switch, .. } =
            *shape;
        let fits = routers >= sites && sites >= zones && zones >= regions && regions > 0;
        if !fits || min == 0 || max < min || racks_per_switch == 0 || routers > MAX_ROUTERS {
            return Err(format!(
                "shape: expected at most 65,535 routers >= sites >= zones >= regions > 0, and racks: {shape:?}"
            ));
        }
        let mut rng = rng(seed, PLACEMENT_STREAM);
        let zone_region = spread(zones, regions, &mut rng);
        let site_zone = spread(sites, zones, &mut rng);
        let mut router_site = spread(routers, sites, &mut rng);
        router_site.sort_unstable();
        let mut placed: Vec<FleetRouter> = Vec::with_capacity(routers);
        let (mut rack, mut switch, mut free_in_rack, mut racks_behind_switch) = (0, 0, 0, 0);
        for (index, site) in router_site.into_iter().enumerate() {
            let new_site = placed.last().is_some_and(|s| s.site != site);
            if index == 0 || new_site || free_in_rack == 0 {
                rack += usize::from(index > 0);
                racks_behind_switch += 1;
                if new_site || racks_behind_switch > racks_per_switch {
                    (switch, racks_behind_switch) = (switch + 1, 1);
                }
                free_in_rack = min + (draw(&mut rng) * (max - min + 1) as f64) as usize;
            }
            free_in_rack -= 1;
            let zone = site_zone[site];
            let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
            placed.push(FleetRouter {
                router: RouterId(Arc::from(format!("r{index:05}"))),
                domain: Domain {
                    branch: Arc::from(format!("s{site:03}")),
                    machine: Arc::from(format!("m{index:05}")),
                },
                address: ([10, 0, high, low], PEER_PORT).into(),
                rack,
                switch,
                site,
                zone,
                region: zone_region[zone],
                control: false,
            });
        }
        for region in 0..shape.control_machines.min(regions) {
            let first = placed.iter_mut().find(|s| s.region == region);
            first.into_iter().for_each(|s| s.control = true);
        }
        let index_by_name = placed.iter().enumerate().map(|(index, s)| (s.router.clone(), index)).collect();
        Ok(Self { routers: placed, index_by_name })
    }

    /// The index of the router with this name.
    pub fn index_of(&self, router: &RouterId) -> Option<RouterIndex> {
        self.index_by_name.get(router).copied()
    }

    /// The routers of a failure domain, ascending.
    pub fn routers_in(&self, domain: FailureDomain) -> Vec<RouterIndex> {
        let is_inside = |r: &FleetRouter| match domain {
            FailureDomain::Rack(number) => r.rack == number,
            FailureDomain::Switch(number) => r.switch == number,
            FailureDomain::Site(number) => r.site == number,
            FailureDomain::Zone(number) => r.zone == number,
            FailureDomain::Region(number) => r.region == number,
        };
        self.routers.iter().enumerate().filter(|(_, s)| is_inside(s)).map(|(index, _)| index).collect()
    }
}

/// Assigns items to places: one to each place first, the rest by random weights, since real sites differ in size.
fn spread(items: usize, places: usize, rng: &mut Rng) -> Vec<usize> {
    let weights: Vec<f64> = (0..places).map(|_| MIN_WEIGHT + draw(rng)).collect();
    let total: f64 = weights.iter().sum();
    let pick = |mut remaining: f64| {
        let found = weights.iter().position(|w| {
            remaining -= w;
            remaining < 0.0
        });
        found.unwrap_or(places - 1)
    };
    (0..items).map(|item| if item < places { item } else { pick(draw(rng) * total) }).collect()
}
