//! The lines between routers: delay by distance, loss, bandwidth, and who is cut from whom.

use crate::fleet::Fleet;
use crate::{micros, Micros, No};
use basaltgw_simulator::{draw, rng, Rng};
use basaltgw_transport::limits::{KEEPALIVE_INTERVAL, PEER_TIMEOUT};

/// A lost segment is sent again after this: Linux's least wait.
pub const AGAIN: Micros = 200_000;
/// The user of the seed that draws what the lines do.
const LINES: u64 = 2;

/// How the lines are.
#[derive(Clone, Debug, PartialEq)]
pub struct Net {
    /// The least and the most milliseconds one way on one site, in one region, and between regions; each pair has its own.
    pub site: (f64, f64),
    /// See `site`.
    pub region: (f64, f64),
    /// See `site`.
    pub far: (f64, f64),
    /// Up to this part of it is added at random to each segment.
    pub jitter: f64,
    /// The part of writes that is lost, and comes [`AGAIN`] later.
    pub loss: f64,
    /// Bytes a second that a line carries in one direction; none: as many as come.
    pub bytes_a_second: Option<u64>,
    /// Bytes that the kernel takes ahead on a connection: beyond, frames wait on their lanes.
    pub socket: usize,
    /// Without anything else to write, a sign of life is written on a link each time, ms; as the links of `crates/transport` do.
    pub keepalive_ms: f64,
    /// A link on which nothing came for so long is silent, ms; likewise.
    pub silent_ms: f64,
}

impl Default for Net {
    fn default() -> Self {
        Self {
            site: (0.2, 1.0),
            region: (2.0, 10.0),
            far: (20.0, 150.0),
            jitter: 0.1,
            loss: 0.0,
            bytes_a_second: None,
            socket: 256 << 10,
            keepalive_ms: KEEPALIVE_INTERVAL.as_secs_f64() * 1_000.0,
            silent_ms: PEER_TIMEOUT.as_secs_f64() * 1_000.0,
        }
    }
}

/// Which direction a cut takes away, seen from those inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    /// Nothing passes.
    Both,
    /// Nothing that they say.
    Out,
    /// Nothing that is said to them.
    In,
}

/// Cuts that can be at once.
const MOST_CUTS: usize = 64;

#[derive(Debug)]
pub struct Lines {
    pub set: Net,
    seed: u64,
    rng: Rng,
    /// The cuts that each router is inside of, a bit each.
    inside: Vec<u64>,
    /// The cuts that take away what goes out, and what goes in.
    out: u64,
    into: u64,
}

impl Lines {
    pub fn new(set: Net, routers: usize, seed: u64) -> Self {
        Self { set, seed, rng: rng(seed, LINES), inside: vec![0; routers], out: 0, into: 0 }
    }

    /// Between signs of life.
    pub fn keepalive(&self) -> Micros {
        micros(self.set.keepalive_ms).max(1)
    }

    /// Until a link is silent.
    pub fn silence(&self) -> Micros {
        micros(self.set.silent_ms).max(1)
    }

    pub fn draw(&mut self) -> f64 {
        draw(&mut self.rng)
    }

    /// The delay of a pair, alike both ways, without jitter.
    pub fn delay(&self, fleet: &Fleet, a: No, b: No) -> Micros {
        let (x, y) = (&fleet.seats[a], &fleet.seats[b]);
        let (least, most) = match (x.site == y.site, x.region == y.region) {
            (true, _) => self.set.site,
            (false, true) => self.set.region,
            (false, false) => self.set.far,
        };
        let (low, high) = (a.min(b) as u64, a.max(b) as u64);
        let of = draw(&mut rng(self.seed ^ LINES, low << 32 | high));
        micros(least + (most - least) * of)
    }

    /// What is added to the delay of one write.
    pub fn extra(&mut self, delay: Micros) -> Micros {
        let mut extra = (delay as f64 * self.set.jitter * self.draw()) as Micros;
        while self.set.loss > 0.0 && self.draw() < self.set.loss {
            extra += AGAIN;
        }
        extra
    }

    /// Whether what one says does not reach the other.
    pub fn cut(&self, from: No, to: No) -> bool {
        let (a, b) = (self.inside[from], self.inside[to]);
        (a & !b & self.out) | (b & !a & self.into) != 0
    }

    /// Whether the router is inside of any cut.
    pub fn is_inside(&self, no: No) -> bool {
        self.inside[no] & (self.out | self.into) != 0
    }

    /// Begins a cut; its number, or `None` if there are too many.
    pub fn begin(&mut self, who: &[No], ways: Ways) -> Option<usize> {
        let used = self.out | self.into;
        let no = (0..MOST_CUTS).find(|no| used & (1 << no) == 0)?;
        who.iter().for_each(|r| self.inside[*r] |= 1 << no);
        if ways != Ways::In {
            self.out |= 1 << no;
        }
        if ways != Ways::Out {
            self.into |= 1 << no;
        }
        Some(no)
    }

    pub fn heal(&mut self, no: usize) {
        let keep = !(1 << no);
        self.inside.iter_mut().for_each(|r| *r &= keep);
        self.out &= keep;
        self.into &= keep;
    }
}
