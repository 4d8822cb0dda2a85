//! One site: how its condition is weighed, and how its share of parts shrinks and grows.

use crate::api::Evidence;
use crate::latency::Latency;
use crate::settings::Settings;
use basaltgw_types::{Ms, RouterId};

/// A site that just answered is lost with this probability: it may have gone since.
const FOUND: f64 = 0.005;
/// No evidence makes a site surely lost, so that one answer brings it back.
const SUREST: f64 = 0.995;
/// An answer so late that all before it came sooner is still possible with this probability.
const LATE: f64 = 0.02;
/// How an attempt that failed, and one that could not reach the site, weigh: odds that it is lost, multiplied.
const FAILED: f64 = 4.0;
/// See [`FAILED`].
const UNREACHED: f64 = 20.0;
/// How usual a site's losses are, from about so many attempts.
const USUAL_OVER: f64 = 64.0;
/// Bounds of that.
const USUAL: (f64, f64) = (0.005, 0.6);
/// Other routers whose words on a site are kept; the oldest goes first.
const TELLERS: usize = 8;
/// So many attempts make another router's word a full one.
const FULL_WORD: f64 = 2.0;
/// A full word that a site is lost multiplies the odds by e to this, all words together at most by e to [`ALL_WORDS`].
const ONE_WORD: f64 = 1.5;
/// See [`ONE_WORD`].
const ALL_WORDS: f64 = 6.0;
/// A probe's answer counts as so many: few are made.
const PROBE_WEIGHT: f64 = 4.0;
/// Probes of a site that may be out at once: one that vanished must not hold up the next.
const PROBES_OUT: u32 = 4;
/// Doublings of a site's share without another answer.
const UNPROVEN: f64 = 2.0;
/// Each probe makes the time to the next longer by this, until one is answered.
pub(crate) const BACK_OFF: f64 = 2.0;
/// Travel is reckoned as so many mean deviations longer than on average.
pub(crate) const TRAVEL_ROOM: f64 = 2.0;
/// Weight of a new measurement of travel, as in TCP's smoothed round trip.
const TRAVEL: f64 = 0.125;

/// How an attempt turned out, for its site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sign {
    /// It answered with bytes.
    Answered {
        /// After so long.
        latency: Ms,
        /// By its own count it took this.
        took: Ms,
        /// Within the gather's aim.
        in_time: bool,
    },
    /// Given up on after this time.
    Silent(Ms),
    /// It failed.
    Failed,
    /// It could not be reached.
    Unreached,
    /// It is there and turns requests away for so long.
    Away(Ms),
}

/// What an attempt's end changed for its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing that others need to know.
    None,
    /// Others may want to know.
    News,
    /// It is left out from now on, or no more.
    Turned,
}

/// Whether a site is asked now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admit {
    Yes,
    No,
    /// Not for the answer's sake, but a probe is due.
    Probe,
}

#[derive(Clone, Debug)]
pub(crate) struct Word {
    from: RouterId,
    /// -1 answers, 1 lost.
    lean: f64,
    at: Ms,
}

#[derive(Clone, Debug)]
pub(crate) struct State {
    pub latency: Latency,
    pub lost: f64,
    pub lost_at: Ms,
    pub usual: f64,
    pub seen: Option<Ms>,
    pub away: Ms,
    /// The share of its parts that it gets; 0 while only probes go there.
    pub share: f64,
    pub step_at: Ms,
    pub step_len: Ms,
    pub probe_at: Ms,
    pub probe_gap: Ms,
    pub probes_out: u32,
    pub travel: Ms,
    pub travel_off: Ms,
    pub words: Vec<Word>,
    pub missed: u32,
    pub answered: u32,
    pub told: Option<Ms>,
    pub used: Ms,
}

/// Between two probes by one router, if the fleet's together keep their distance.
pub(crate) fn gap(set: &Settings, routers: usize) -> Ms {
    set.probe_every.max(set.probe_fleet * routers as f64)
}

impl State {
    pub fn new(now: Ms, set: &Settings) -> Self {
        Self {
            latency: Latency::guess(set.usual),
            lost: FOUND,
            lost_at: now,
            usual: 0.02,
            seen: None,
            away: 0.0,
            share: 1.0,
            step_at: now,
            step_len: set.portion_step,
            probe_at: now,
            probe_gap: set.probe_every,
            probes_out: 0,
            travel: 0.0,
            travel_off: 0.0,
            words: Vec::new(),
            missed: 0,
            answered: 0,
            told: None,
            used: now,
        }
    }

    /// Whether it is asked for a part whose answer is to come within `left`.
    pub fn admit(&mut self, now: Ms, left: Ms, draws: (f64, f64), set: &Settings, routers: usize) -> Admit {
        self.doubt(now, set, routers, draws.1);
        let slow = (1.0 - self.lost(now, set)) * self.latency.within(left) < set.least_hope;
        match self.share(now) {
            _ if now < self.away => Admit::No,
            s if s <= 0.0 || slow => match self.due(now) {
                true => Admit::Probe,
                false => Admit::No,
            },
            s if s > draws.0 => Admit::Yes,
            _ => Admit::No,
        }
    }

    /// An attempt has turned out.
    pub fn sign(
        &mut self,
        now: Ms,
        sign: Sign,
        probe: bool,
        draws: (f64, f64),
        set: &Settings,
        routers: usize,
    ) -> Change {
        let before = self.share(now);
        if probe {
            self.probes_out = self.probes_out.saturating_sub(1);
        }
        let weight = if probe { PROBE_WEIGHT } else { 1.0 };
        let mut missed = true;
        match sign {
            Sign::Answered { latency, took, in_time } => {
                self.latency.came(latency, weight);
                let off = (latency - took).clamp(0.0, latency) - self.travel;
                self.travel += TRAVEL * off;
                self.travel_off += TRAVEL * (off.abs() - self.travel_off);
                self.believe(now, FOUND);
                self.usual = (self.usual - self.usual / USUAL_OVER).max(USUAL.0);
                self.seen = Some(now);
                self.answered = self.answered.saturating_add(1);
                missed = !in_time;
                if in_time {
                    self.grow(now, draws.0, probe, set);
                }
            }
            Sign::Silent(after) => {
                let tail = (1.0 - self.latency.within(after)).max(LATE);
                let lost = self.own(now, set);
                let weighed = lost / (lost + (1.0 - lost) * tail);
                self.latency.longer(after, 1.0 - weighed);
                self.believe(now, weighed);
                // Of a silence that was to be expected nobody learns that the site is lost.
                missed = tail < 0.5;
                if missed {
                    self.usual = (self.usual + (weighed - self.usual) / USUAL_OVER).clamp(USUAL.0, USUAL.1);
                }
            }
            Sign::Failed => self.heavier(now, FAILED, set),
            Sign::Unreached => self.heavier(now, UNREACHED, set),
            Sign::Away(time) => {
                self.away = now + time.clamp(0.0, set.come_back_most);
                missed = false;
            }
        }
        if missed {
            self.missed = self.missed.saturating_add(1);
            if !probe && before > 0.0 && before < 1.0 {
                self.set_share(now, before / 2.0, draws.0, set);
                if self.share < set.portion / 2.0 {
                    self.out(now, set, routers, draws.1);
                }
            }
        }
        self.doubt(now, set, routers, draws.1);
        match self.share <= 0.0 {
            out if out != (before <= 0.0) => Change::Turned,
            out if (out && missed) || (before < 1.0 && self.share >= 1.0) => Change::News,
            _ => Change::None,
        }
    }

    /// Another router's word. False if a later one of it is known.
    pub fn hear(&mut self, now: Ms, from: RouterId, word: &Evidence, set: &Settings) -> bool {
        let tried = f64::from(word.missed) + f64::from(word.answered);
        let at = now - word.age;
        if self.words.iter().any(|w| w.from == from && w.at > at) {
            return false;
        }
        self.words.retain(|w| w.from != from && now - w.at < set.hearsay);
        if self.words.len() >= TELLERS {
            let oldest = (0..self.words.len()).min_by(|a, b| self.words[*a].at.total_cmp(&self.words[*b].at));
            oldest.into_iter().for_each(|i| drop(self.words.remove(i)));
        }
        let lean = (f64::from(word.missed) - f64::from(word.answered)) / tried * (tried / FULL_WORD).min(1.0);
        self.words.push(Word { from, lean, at });
        true
    }

    /// The probability that it is lost, by what was seen here.
    fn own(&self, now: Ms, set: &Settings) -> f64 {
        let left = (-(now - self.lost_at).max(0.0) / set.fade).exp();
        self.usual + (self.lost - self.usual) * left
    }

    fn believe(&mut self, now: Ms, lost: f64) {
        (self.lost, self.lost_at) = (lost.clamp(FOUND, SUREST), now);
    }

    fn heavier(&mut self, now: Ms, by: f64, set: &Settings) {
        let lost = self.own(now, set);
        self.believe(now, lost * by / (lost * by + 1.0 - lost));
        self.usual = (self.usual + (self.lost - self.usual) / USUAL_OVER).clamp(USUAL.0, USUAL.1);
    }

    /// The probability that it is lost, by all that is known.
    pub fn lost(&self, now: Ms, set: &Settings) -> f64 {
        let own = self.own(now, set);
        // What was heard before its last answer here is void.
        let lean = |w: &Word| w.lean * (1.0 - (now - w.at) / set.hearsay).max(0.0) * ONE_WORD;
        let newer = self.words.iter().filter(|w| self.seen.is_none_or(|t| t < w.at));
        let words: f64 = newer.map(lean).sum();
        let odds = own / (1.0 - own) * words.clamp(-ALL_WORDS, ALL_WORDS).exp();
        let all = (odds / (1.0 + odds)).clamp(FOUND, SUREST);
        match self.seen.is_some_and(|t| now - t < set.seen) {
            true => all.min(own.max(set.leave_out * 0.9)),
            false => all,
        }
    }

    pub fn due(&self, now: Ms) -> bool {
        now >= self.probe_at && self.probes_out < PROBES_OUT && now >= self.away
    }

    /// Leaves it out if it seems lost.
    fn doubt(&mut self, now: Ms, set: &Settings, routers: usize, jitter: f64) {
        if self.share > 0.0 && self.lost(now, set) > set.leave_out {
            self.out(now, set, routers, jitter);
        }
    }

    fn out(&mut self, now: Ms, set: &Settings, routers: usize, jitter: f64) {
        self.share = 0.0;
        self.probe_gap = set.probe_every;
        self.probe_at = now + gap(set, routers) * (0.5 + jitter);
    }

    /// The share of its parts that it gets: it doubles with time, but only so far without another answer.
    pub fn share(&self, now: Ms) -> f64 {
        let steps = ((now - self.step_at) / self.step_len).clamp(0.0, UNPROVEN);
        (self.share * steps.exp2()).min(1.0)
    }

    /// It answered in time: its share grows on, in a time of each router's own.
    fn grow(&mut self, now: Ms, draw: f64, probe: bool, set: &Settings) {
        self.probe_gap = set.probe_every;
        let share = self.share(now);
        if share > 0.0 {
            self.set_share(now, share, draw, set);
        } else if probe {
            self.set_share(now, set.portion, draw, set);
        }
    }

    fn set_share(&mut self, now: Ms, share: f64, draw: f64, set: &Settings) {
        (self.share, self.step_at) = (share, now);
        self.step_len = set.portion_step * (1.0 + draw);
    }
}
