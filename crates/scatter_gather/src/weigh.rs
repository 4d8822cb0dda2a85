//! Waiting against answering: what an answer at each later time is likely to be worth.

use crate::api::Site;
use crate::open::{Choice, Open};
use crate::settings::Settings;
use crate::site::State;
use crate::sites::Sites;
use basaltgw_types::Ms;

/// Times that are looked at, as shares of the time to the aim, and to the limit.
const LOOKS: [f64; 7] = [0.03125, 0.0625, 0.125, 0.25, 0.5, 0.75, 1.0];

/// How a missing part may come.
struct Hope<'a> {
    worth: f64,
    needed: bool,
    /// Place of the part.
    part: usize,
    /// Attempts that are out.
    out: Vec<Out<'a>>,
}

/// An attempt that is out, or might be.
struct Out<'a> {
    asked: Ms,
    site: &'a State,
    /// How likely the site is lost.
    lost: f64,
    /// Share of the site's answers that would have come by now.
    before: f64,
}

/// What came of weighing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Weighed {
    /// The worth of answering now, and the most that is to be had later.
    pub now: f64,
    /// See `now`.
    pub later: f64,
    /// When that is.
    pub at: Ms,
}

/// The chances of what is out, as of now.
pub(crate) struct Chances<'a> {
    open: &'a Open,
    sites: &'a Sites,
    now: Ms,
    hopes: Vec<Hope<'a>>,
    /// Worth and count that have come in the versions that further parts will be of.
    growing: Choice,
    has: Choice,
    set: &'a Settings,
}

impl<'a> Chances<'a> {
    pub fn new(open: &'a Open, sites: &'a Sites, set: &'a Settings, now: Ms, has: &Choice) -> Self {
        let growing = open.in_versions(&open.newest());
        let mut chances = Self { open, sites, now, hopes: Vec::new(), growing, has: has.clone(), set };
        let missing = (0..open.parts.len()).filter(|i| chances.growing.of[*i].is_none());
        chances.hopes = missing.map(|i| chances.hope(i)).collect();
        chances
    }

    fn hope(&self, part: usize) -> Hope<'a> {
        let p = &self.open.parts[part];
        let out = self.open.hoped(part).filter_map(|(_, a)| self.out(&a.site, a.asked));
        let again = p.again.and_then(|at| self.out(&p.spec.site, at));
        Hope { worth: p.spec.worth, needed: p.needed, part, out: out.chain(again).collect() }
    }

    fn out(&self, site: &Site, asked: Ms) -> Option<Out<'a>> {
        let site = self.sites.get(site)?;
        let (lost, before) = (site.lost(self.now, self.set), site.latency.within(self.now - asked));
        Some(Out { asked, site, lost, before })
    }

    /// The probability that an attempt answers by `at`, as it has not yet.
    fn by(out: &Out, at: Ms) -> f64 {
        let until = out.site.latency.within(at - out.asked);
        let still = (1.0 - out.lost) * (1.0 - out.before) + out.lost;
        ((1.0 - out.lost) * (until - out.before) / still.max(1e-9)).clamp(0.0, 1.0)
    }

    /// The probability that a part comes by `at`.
    fn comes(hope: &Hope, at: Ms) -> f64 {
        1.0 - hope.out.iter().map(|out| 1.0 - Self::by(out, at)).product::<f64>()
    }

    /// What an answer at `at` is likely to be worth.
    fn worth(&self, at: Ms) -> f64 {
        let p: Vec<f64> = self.hopes.iter().map(|h| Self::comes(h, at)).collect();
        let more: f64 = self.hopes.iter().zip(&p).map(|(h, p)| h.worth * p).sum();
        let value = self.open.value(at, self.set.haste);
        let grown = (self.growing.worth + more) * self.allowed(&p) * value;
        let stands = if self.open.allows(&self.has) { self.has.worth * value } else { 0.0 };
        grown.max(stands)
    }

    /// The probability that the policy then allows an answer: all needed ones, and enough of the others.
    fn allowed(&self, p: &[f64]) -> f64 {
        if self.open.allows(&self.growing) {
            return 1.0;
        }
        let all: f64 = self.hopes.iter().zip(p).filter(|(h, _)| h.needed).map(|(_, p)| p).product();
        let (count, worth) = self.open.short(&self.growing);
        let left = self.hopes.iter().map(|h| h.worth).sum::<f64>() / self.hopes.len().max(1) as f64;
        // Worth is counted in parts of the mean worth of those that are missing.
        let short = count.max((worth / left.max(f64::MIN_POSITIVE) - 1e-9).ceil().max(0.0) as usize);
        // Of the others there must be so many.
        let needed = self.hopes.iter().filter(|h| h.needed).count();
        let others: Vec<f64> = self.hopes.iter().zip(p).filter(|(h, _)| !h.needed).map(|(_, p)| *p).collect();
        all * at_least(short.saturating_sub(needed), &others)
    }

    /// The time at which an answer is worth most, among now and what is looked at.
    pub fn weigh(&self) -> Weighed {
        let open = self.open;
        let now = match open.allows(&self.has) {
            true => self.has.worth * open.value(self.now, self.set.haste),
            // Turned away it has all its time for another try, and the less the longer it waited.
            false => {
                self.set.turn_away
                    * open.worth
                    * ((open.end_at - self.now) / (open.end_at - open.asked).max(1.0))
            }
        };
        let limit = open.limit();
        let aim = open.aim_at.min(limit);
        let mut best = Weighed { now, later: 0.0, at: self.now };
        let ends = if aim < limit { [aim, limit] } else { [limit, limit] };
        for end in ends.into_iter().filter(|e| *e > self.now) {
            for at in LOOKS.iter().map(|share| self.now + share * (end - self.now)) {
                let worth = self.worth(at);
                if worth > best.later {
                    best = Weighed { later: worth, at, ..best };
                }
            }
        }
        best
    }

    /// The part for which a second copy at one of its other sites brings most by `at`: its place and the site's. With it, waiting must be worth more than
    /// answering now is.
    pub fn second(&self, at: Ms, now: f64) -> Option<(usize, usize)> {
        let value = self.open.value(at, self.set.haste);
        let gain = |h: &Hope, site: usize| {
            let site = self.open.parts[h.part].sites().nth(site);
            let comes = site.and_then(|s| self.out(s, self.now)).map_or(0.0, |o| Self::by(&o, at));
            (1.0 - Self::comes(h, at)) * comes * value
        };
        let free = |h: &Hope, site: &usize| {
            let part = &self.open.parts[h.part];
            part.tried[*site] == 0 && !h.out.is_empty() && part.tried.iter().sum::<usize>() < self.set.tries
        };
        let all = self.hopes.iter().flat_map(|h| {
            let sites = (0..self.open.parts[h.part].tried.len()).filter(move |s| free(h, s));
            sites.map(move |s| (h, s))
        });
        let gains = all.map(|(h, s)| (h.part, s, gain(h, s), h.worth));
        let good = gains.filter(|g| g.2 > self.set.second_price);
        let best = good.max_by(|a, b| (a.2 * a.3).total_cmp(&(b.2 * b.3)));
        best.filter(|(_, _, gain, worth)| self.worth(at) + gain * worth > now)
            .map(|(part, site, ..)| (part, site))
    }
}

/// The probability that at least `k` of independent events happen.
fn at_least(k: usize, p: &[f64]) -> f64 {
    if k == 0 {
        return 1.0;
    }
    if k > p.len() {
        return 0.0;
    }
    // By number that happened, `k` standing for all from there on.
    let mut of = vec![0.0; k + 1];
    of[0] = 1.0;
    for p in p {
        of[k] += of[k - 1] * p;
        for i in (1..k).rev() {
            of[i] = of[i] * (1.0 - p) + of[i - 1] * p;
        }
        of[0] *= 1.0 - p;
    }
    of[k]
}

#[cfg(test)]
mod tests;
