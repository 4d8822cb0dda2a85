//! The network between routers: delay by distance, loss, bandwidth and partitions.

use crate::fleet::Fleet;
use crate::{micros, Micros, RouterIndex};
use basaltgw_simulator::{draw, rng, Rng};
use basaltgw_transport::limits::{KEEPALIVE_INTERVAL, PEER_TIMEOUT};

/// Time until a lost segment is sent again, µs: Linux's shortest retransmission timeout.
pub const RETRANSMIT_US: Micros = 200_000;
/// Random stream of the network.
const NETWORK_STREAM: u64 = 2;

/// Delay, loss and bandwidth between routers.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Shortest and longest one-way delay within a site, ms. Each pair of routers has its own fixed delay.
    pub same_site_delay_ms: (f64, f64),
    /// Shortest and longest one-way delay between sites of a region, ms.
    pub same_region_delay_ms: (f64, f64),
    /// Shortest and longest one-way delay between regions, ms.
    pub inter_region_delay_ms: (f64, f64),
    /// Each write takes longer by a random part of up to this share of the delay.
    pub jitter_share: f64,
    /// Share of writes that are lost, and arrive [`RETRANSMIT_US`] later.
    pub loss_share: f64,
    /// Bandwidth of a connection in each direction, bytes/s; unlimited if `None`.
    pub bytes_per_s: Option<u64>,
    /// Bytes that the kernel buffers for a connection. Further frames wait in their lanes.
    pub socket_buffer_bytes: usize,
    /// Time without another write after which a keepalive is sent, ms, as on the links of `crates/transport`.
    pub keepalive_ms: f64,
    /// Time without any arrival after which a link is closed, ms, as on the links of `crates/transport`.
    pub peer_timeout_ms: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_site_delay_ms: (0.2, 1.0),
            same_region_delay_ms: (2.0, 10.0),
            inter_region_delay_ms: (20.0, 150.0),
            jitter_share: 0.1,
            loss_share: 0.0,
            bytes_per_s: None,
            socket_buffer_bytes: 256 << 10,
            keepalive_ms: KEEPALIVE_INTERVAL.as_secs_f64() * 1_000.0,
            peer_timeout_ms: PEER_TIMEOUT.as_secs_f64() * 1_000.0,
        }
    }
}

/// The direction that a partition blocks, seen from the routers inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Nothing passes.
    Both,
    /// Nothing that the routers inside send passes.
    Outbound,
    /// Nothing that is sent to the routers inside passes.
    Inbound,
}

/// The most partitions that can be active at once: each has one bit of a `u64`.
const MAX_CUTS: usize = 64;

/// The network with its active partitions.
#[derive(Debug)]
pub struct NetworkState {
    pub settings: Network,
    seed: u64,
    rng: Rng,
    /// For each router, a bit for each partition that it is inside of.
    inside: Vec<u64>,
    /// A bit for each partition that blocks the outbound direction.
    outbound: u64,
    /// A bit for each partition that blocks the inbound direction.
    inbound: u64,
}

impl NetworkState {
    pub fn new(settings: Network, routers: usize, seed: u64) -> Self {
        Self {
            settings,
            seed,
            rng: rng(seed, NETWORK_STREAM),
            inside: vec![0; routers],
            outbound: 0,
            inbound: 0,
        }
    }

    /// Time between keepalives on an idle link.
    pub fn keepalive(&self) -> Micros {
        micros(self.settings.keepalive_ms).max(1)
    }

    /// Time without any arrival after which a link is closed.
    pub fn peer_timeout(&self) -> Micros {
        micros(self.settings.peer_timeout_ms).max(1)
    }

    pub fn draw(&mut self) -> f64 {
        draw(&mut self.rng)
    }

    /// The one-way delay of a pair of routers, the same in both directions, without jitter.
    pub fn delay(&self, fleet: &Fleet, a: RouterIndex, b: RouterIndex) -> Micros {
        let (x, y) = (&fleet.routers[a], &fleet.routers[b]);
        let (min, max) = match (x.site == y.site, x.region == y.region) {
            (true, _) => self.settings.same_site_delay_ms,
            (false, true) => self.settings.same_region_delay_ms,
            (false, false) => self.settings.inter_region_delay_ms,
        };
        let (low, high) = (a.min(b) as u64, a.max(b) as u64);
        // Each pair of routers has a random stream of its own.
        let share = draw(&mut rng(self.seed ^ NETWORK_STREAM, low << 32 | high));
        micros(min + (max - min) * share)
    }

    /// The jitter and retransmissions that add to the delay of one write.
    pub fn extra_delay(&mut self, delay: Micros) -> Micros {
        let mut extra = (delay as f64 * self.settings.jitter_share * self.draw()) as Micros;
        while self.settings.loss_share > 0.0 && self.draw() < self.settings.loss_share {
            extra += RETRANSMIT_US;
        }
        extra
    }

    /// Whether a partition blocks what `from` sends to `to`.
    pub fn cut(&self, from: RouterIndex, to: RouterIndex) -> bool {
        let (a, b) = (self.inside[from], self.inside[to]);
        (a & !b & self.outbound) | (b & !a & self.inbound) != 0
    }

    /// Whether the router is inside of any partition.
    pub fn is_inside(&self, router: RouterIndex) -> bool {
        self.inside[router] & (self.outbound | self.inbound) != 0
    }

    /// Begins a partition; returns its number, or `None` if too many are active.
    pub fn begin(&mut self, routers: &[RouterIndex], direction: CutDirection) -> Option<usize> {
        let used = self.outbound | self.inbound;
        let cut = (0..MAX_CUTS).find(|cut| used & (1 << cut) == 0)?;
        routers.iter().for_each(|r| self.inside[*r] |= 1 << cut);
        if direction != CutDirection::Inbound {
            self.outbound |= 1 << cut;
        }
        if direction != CutDirection::Outbound {
            self.inbound |= 1 << cut;
        }
        Some(cut)
    }

    /// Ends the partition with this number.
    pub fn heal(&mut self, cut: usize) {
        let others = !(1 << cut);
        self.inside.iter_mut().for_each(|r| *r &= others);
        self.outbound &= others;
        self.inbound &= others;
    }
}
