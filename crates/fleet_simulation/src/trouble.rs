//! What goes wrong in a run, and when: a script, or drawn from a seed.

use crate::fleet::{Fleet, Part};
use crate::links::Ways;
use crate::{Micros, No};
use basaltgw_simulator::{draw, rng, Rng};

/// The user of the seed that draws troubles.
const TROUBLES: u64 = 3;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A process ends at once, and starts again with its disk so much later.
    Restart(No, Micros),
    /// A machine is gone with its disk, and another has its name so much later.
    Replace(No, Micros),
    /// A machine is gone without a word, and is back with its disk so much later.
    Vanish(No, Micros),
    /// These are cut off from all others for so long.
    Cut(Vec<No>, Ways, Micros),
    /// These hear nothing of the change log for so long.
    Deaf(Vec<No>, Micros),
}

/// A trouble and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// When it begins.
    pub at: Micros,
    /// What it is.
    pub what: What,
}

/// How many of each there are in a run; where and when is drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Many {
    /// Processes that end and start again.
    pub restarts: usize,
    /// Machines that are replaced.
    pub replaced: usize,
    /// Machines that are gone for a while.
    pub vanished: usize,
    /// Racks, switches, zones and regions that are cut off for a while, a part of them one way only.
    pub racks: usize,
    /// See `racks`.
    pub switches: usize,
    /// See `racks`.
    pub zones: usize,
    /// See `racks`.
    pub regions: usize,
    /// Zones that hear nothing of the change log for a while.
    pub deaf: usize,
}

impl Many {
    /// Draws troubles between these times; each lasts 0.3 to 10 s.
    pub fn draw(&self, fleet: &Fleet, seed: u64, (from, to): (Micros, Micros)) -> Vec<Trouble> {
        let mut rng = rng(seed, TROUBLES);
        let mut all = Vec::new();
        let mut add = |rng: &mut Rng, many: usize, make: &dyn Fn(&mut Rng, No, Micros) -> What| {
            for _ in 0..many {
                let at = from + (draw(rng) * to.saturating_sub(from) as f64) as Micros;
                let lasts = 300_000 + (draw(rng) * 9_700_000.0) as Micros;
                let no = (draw(rng) * fleet.seats.len() as f64) as No;
                all.push(Trouble { at, what: make(rng, no, lasts) });
            }
        };
        let ways = |rng: &mut Rng| match (draw(rng) * 4.0) as u32 {
            0 => Ways::Out,
            1 => Ways::In,
            _ => Ways::Both,
        };
        let seat = |no: No| &fleet.seats[no];
        add(&mut rng, self.restarts, &|_, no, lasts| What::Restart(no, lasts));
        add(&mut rng, self.replaced, &|_, no, lasts| What::Replace(no, lasts));
        add(&mut rng, self.vanished, &|_, no, lasts| What::Vanish(no, lasts));
        let cut = |rng: &mut Rng, part, lasts| What::Cut(fleet.within(part), ways(rng), lasts);
        add(&mut rng, self.racks, &|rng, no, lasts| cut(rng, Part::Rack(seat(no).rack), lasts));
        add(&mut rng, self.switches, &|rng, no, lasts| cut(rng, Part::Switch(seat(no).switch), lasts));
        add(&mut rng, self.zones, &|rng, no, lasts| cut(rng, Part::Zone(seat(no).zone), lasts));
        add(&mut rng, self.regions, &|rng, no, lasts| cut(rng, Part::Region(seat(no).region), lasts));
        add(&mut rng, self.deaf, &|_, no, lasts| What::Deaf(fleet.within(Part::Zone(seat(no).zone)), lasts));
        all
    }
}
