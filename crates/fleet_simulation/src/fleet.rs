//! Where routers stand: racks, switches, sites, zones, regions, all drawn from a seed.

use crate::No;
use basaltgw_simulator::{draw, rng, Rng};
use basaltgw_types::{Domain, RouterId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The user of the seed that places routers.
const PLACES: u64 = 1;

/// How large a fleet is.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Routers.
    pub routers: usize,
    /// Sites, zones and regions among which they are spread.
    pub sites: usize,
    /// See `sites`.
    pub zones: usize,
    /// See `sites`.
    pub regions: usize,
    /// The least and the most routers of a rack.
    pub rack: (usize, usize),
    /// Racks behind one switch.
    pub racks_a_switch: usize,
    /// Control machines, each in a region of its own as far as there are regions.
    pub controls: usize,
}

impl Shape {
    /// A fleet of so many routers, with sites, zones and regions in the proportions of 4,300 routers at 210 sites, 71 zones, 21 regions.
    pub fn of(routers: usize) -> Self {
        let part = |of: usize| (routers * of).div_ceil(4_300).clamp(1, of.max(1));
        let (sites, zones, regions) = match routers {
            // Few routers stand apart, as far as copies have to.
            0..=200 => (routers.div_ceil(4).max(3), 3, 3),
            _ => (part(210).max(9), part(71).max(6), part(21).max(3)),
        };
        Self {
            routers,
            sites: sites.min(routers.max(1)),
            zones: zones.min(sites),
            regions,
            rack: (20, 40),
            racks_a_switch: 2,
            controls: 9,
        }
    }
}

/// One router's place.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// Its name; names are in the order of places.
    pub router: RouterId,
    /// Its domain: the site is the branch.
    pub domain: Domain,
    /// Where it would listen.
    pub address: SocketAddr,
    /// Its rack, switch, site, zone and region, each counted through the whole fleet.
    pub rack: usize,
    /// See `rack`.
    pub switch: usize,
    /// See `rack`.
    pub site: usize,
    /// See `rack`.
    pub zone: usize,
    /// See `rack`.
    pub region: usize,
    /// It is a control machine.
    pub control: bool,
}

/// What fails together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A rack.
    Rack(usize),
    /// All behind a switch.
    Switch(usize),
    /// A site.
    Site(usize),
    /// A zone.
    Zone(usize),
    /// A region.
    Region(usize),
}

/// All routers' places.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// By place.
    pub seats: Vec<Seat>,
    names: BTreeMap<RouterId, No>,
}

impl Fleet {
    /// A fleet of that shape.
    ///
    /// # Errors
    /// If the shape can't be filled.
    pub fn new(shape: &Shape, seed: u64) -> Result<Self, String> {
        let Shape { routers, sites, zones, regions, rack: (least, most), racks_a_switch, .. } = *shape;
        let fits = routers >= sites && sites >= zones && zones >= regions && regions > 0;
        if !fits || least == 0 || most < least || racks_a_switch == 0 || routers > 65_535 {
            return Err(format!(
                "shape: expected at most 65,535 routers >= sites >= zones >= regions > 0, and racks: {shape:?}"
            ));
        }
        let mut rng = rng(seed, PLACES);
        let zone_region = spread(zones, regions, &mut rng);
        let site_zone = spread(sites, zones, &mut rng);
        let mut router_site = spread(routers, sites, &mut rng);
        router_site.sort_unstable();
        let mut seats: Vec<Seat> = Vec::with_capacity(routers);
        let (mut rack, mut switch, mut room, mut racks) = (0, 0, 0, 0);
        for (no, site) in router_site.into_iter().enumerate() {
            let another = seats.last().is_some_and(|s| s.site != site);
            if no == 0 || another || room == 0 {
                rack += usize::from(no > 0);
                racks += 1;
                if another || racks > racks_a_switch {
                    (switch, racks) = (switch + 1, 1);
                }
                room = least + (draw(&mut rng) * (most - least + 1) as f64) as usize;
            }
            room -= 1;
            let zone = site_zone[site];
            let [_, _, high, low] = (no as u32 + 1).to_be_bytes();
            seats.push(Seat {
                router: RouterId(Arc::from(format!("r{no:05}"))),
                domain: Domain {
                    branch: Arc::from(format!("s{site:03}")),
                    machine: Arc::from(format!("m{no:05}")),
                },
                address: ([10, 0, high, low], 7100).into(),
                rack,
                switch,
                site,
                zone,
                region: zone_region[zone],
                control: false,
            });
        }
        for region in 0..shape.controls.min(regions) {
            let first = seats.iter_mut().find(|s| s.region == region);
            first.into_iter().for_each(|s| s.control = true);
        }
        let names = seats.iter().enumerate().map(|(no, s)| (s.router.clone(), no)).collect();
        Ok(Self { seats, names })
    }

    /// The place of a name.
    pub fn no(&self, router: &RouterId) -> Option<No> {
        self.names.get(router).copied()
    }

    /// Who stands there.
    pub fn within(&self, part: Part) -> Vec<No> {
        let is = |s: &Seat| match part {
            Part::Rack(no) => s.rack == no,
            Part::Switch(no) => s.switch == no,
            Part::Site(no) => s.site == no,
            Part::Zone(no) => s.zone == no,
            Part::Region(no) => s.region == no,
        };
        self.seats.iter().enumerate().filter(|(_, s)| is(s)).map(|(no, _)| no).collect()
    }
}

/// To which of so many places each goes: one to each first, the rest unevenly, since sites are.
fn spread(many: usize, places: usize, rng: &mut Rng) -> Vec<usize> {
    let weights: Vec<f64> = (0..places).map(|_| 0.5 + draw(rng)).collect();
    let all: f64 = weights.iter().sum();
    let pick = |mut at: f64| {
        let found = weights.iter().position(|w| {
            at -= w;
            at < 0.0
        });
        found.unwrap_or(places - 1)
    };
    (0..many).map(|no| if no < places { no } else { pick(draw(rng) * all) }).collect()
}
