//! Faults of a run: scripted, or drawn from a seed.

use crate::fleet::{FailureDomain, Fleet};
use crate::links::CutDirection;
use crate::{Micros, RouterIndex};
use basaltgw_simulator::{draw, rng, Rng};

/// Random stream of the faults.
const FAULT_STREAM: u64 = 3;
/// Bounds of the duration of a random fault, µs.
const MIN_DURATION: Micros = 300_000;
const MAX_DURATION: Micros = 10_000_000;

/// What fails, where and for how many microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A process is killed, and starts again with its disk after `duration`.
    Restart {
        /// The router.
        router: RouterIndex,
        /// Time until the process starts again.
        duration: Micros,
    },
    /// A machine is lost with its disk, and a new machine takes its name after `duration`.
    Replace {
        /// The router.
        router: RouterIndex,
        /// Time until the new machine starts.
        duration: Micros,
    },
    /// A machine disappears without closing its connections, and returns with its disk after `duration`.
    Vanish {
        /// The router.
        router: RouterIndex,
        /// Time until the machine returns.
        duration: Micros,
    },
    /// A partition between these routers and all others.
    Cut {
        /// The routers inside the partition.
        routers: Vec<RouterIndex>,
        /// The direction that is lost, seen from inside.
        direction: CutDirection,
        /// Time until the partition heals.
        duration: Micros,
    },
    /// The change log does not reach these routers.
    ChangeLogOutage {
        /// The routers that read nothing.
        routers: Vec<RouterIndex>,
        /// Time until the change log reaches them again.
        duration: Micros,
    },
}

/// A fault with its start time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When the fault begins.
    pub at: Micros,
    /// What fails.
    pub kind: FaultKind,
}

/// How many faults of each kind a run has. Their times and places are random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Processes that are killed and start again.
    pub restarts: usize,
    /// Machines that are replaced.
    pub replaced: usize,
    /// Machines that disappear for a while.
    pub vanished: usize,
    /// Partitions of a rack. Half of all partitions lose one direction only.
    pub racks: usize,
    /// Partitions of the racks behind a switch.
    pub switches: usize,
    /// Partitions of a zone.
    pub zones: usize,
    /// Partitions of a region.
    pub regions: usize,
    /// Zones that the change log does not reach for a while.
    pub change_log_outages: usize,
}

impl FaultCounts {
    /// Draws faults that begin between these times.
    pub fn draw(&self, fleet: &Fleet, seed: u64, (from, until): (Micros, Micros)) -> Vec<Fault> {
        let mut rng = rng(seed, FAULT_STREAM);
        let mut faults = Vec::new();
        let mut add = |rng: &mut Rng,
                       count: usize,
                       make: &dyn Fn(&mut Rng, RouterIndex, Micros) -> FaultKind| {
            for _ in 0..count {
                let at = from + (draw(rng) * until.saturating_sub(from) as f64) as Micros;
                let duration = MIN_DURATION + (draw(rng) * (MAX_DURATION - MIN_DURATION) as f64) as Micros;
                let router = (draw(rng) * fleet.routers.len() as f64) as RouterIndex;
                faults.push(Fault { at, kind: make(rng, router, duration) });
            }
        };
        let direction = |rng: &mut Rng| match (draw(rng) * 4.0) as u32 {
            0 => CutDirection::Outbound,
            1 => CutDirection::Inbound,
            _ => CutDirection::Both,
        };
        let fleet_router = |router: RouterIndex| &fleet.routers[router];
        add(&mut rng, self.restarts, &|_, router, duration| FaultKind::Restart { router, duration });
        add(&mut rng, self.replaced, &|_, router, duration| FaultKind::Replace { router, duration });
        add(&mut rng, self.vanished, &|_, router, duration| FaultKind::Vanish { router, duration });
        let cut = |rng: &mut Rng, domain, duration| FaultKind::Cut {
            routers: fleet.routers_in(domain),
            direction: direction(rng),
            duration,
        };
        add(&mut rng, self.racks, &|rng, router, duration| {
            cut(rng, FailureDomain::Rack(fleet_router(router).rack), duration)
        });
        add(&mut rng, self.switches, &|rng, router, duration| {
            cut(rng, FailureDomain::Switch(fleet_router(router).switch), duration)
        });
        add(&mut rng, self.zones, &|rng, router, duration| {
            cut(rng, FailureDomain::Zone(fleet_router(router).zone), duration)
        });
        add(&mut rng, self.regions, &|rng, router, duration| {
            cut(rng, FailureDomain::Region(fleet_router(router).region), duration)
        });
        add(&mut rng, self.change_log_outages, &|_, router, duration| FaultKind::ChangeLogOutage {
            routers: fleet.routers_in(FailureDomain::Zone(fleet_router(router).zone)),
            duration,
        });
        faults
    }
}
