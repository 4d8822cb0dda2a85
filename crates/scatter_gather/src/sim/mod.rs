//! Scatter-gather requests in simulated time: routers send sub-requests to sites while one site has a fault, once with the
//! engine ([`Gathers`](crate::Gathers)) and once with each baseline, with the same requests and random draws.
//!
//! Times are in milliseconds. The same setup and seed give the same results to the last bit.

mod load;
mod world;

use crate::api::Decide;
use crate::baselines::{Baseline, When};
use crate::settings::{BadSetting, Settings};
use crate::Gathers;
use basaltgw_types::Ms;
use serde::Serialize;
pub use world::run;

/// The fault of one site in the middle half of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Trouble {
    /// No fault.
    Calm,
    /// Its processing takes ten times as long.
    Slow,
    /// It does not answer.
    Lost,
    /// It alternates between silence and answers, every 0.3 to 1.5 s.
    Flapping,
    /// It is warming up: a tenth of its capacity and three times the processing time, both improving with time.
    Cold,
}

impl Trouble {
    /// All faults; the run without one is first.
    pub const ALL: [Self; 5] = [Self::Calm, Self::Slow, Self::Lost, Self::Flapping, Self::Cold];
}

/// The strategy that decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// [`Gathers`].
    Weighed,
    /// [`When::AllOrNothing`].
    AllOrNothing,
    /// [`When::FixedTimeout`] at the latency objective, the best fixed timeout for an answer of full value until then.
    FixedTimeout,
    /// [`When::FirstOfEachSite`].
    FirstOfEachSite,
}

impl Way {
    /// All strategies; the engine is first.
    pub const ALL: [Self; 4] = [Self::Weighed, Self::AllOrNothing, Self::FixedTimeout, Self::FirstOfEachSite];

    fn make(self, set: &Settings, seed: u64) -> Result<Box<dyn Decide>, BadSetting> {
        let plain = |when| Ok(Box::new(Baseline::new(set.clone(), when)?) as Box<dyn Decide>);
        match self {
            Self::Weighed => Ok(Box::new(Gathers::new(set.clone(), seed)?)),
            Self::AllOrNothing => plain(When::AllOrNothing),
            Self::FixedTimeout => plain(When::FixedTimeout(1.0)),
            Self::FirstOfEachSite => plain(When::FirstOfEachSite),
        }
    }
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Settings of the strategies.
    pub settings: Settings,
    /// Number of routers.
    pub routers: usize,
    /// Number of sites.
    pub sites: usize,
    /// Requests per router and second.
    pub rate: f64,
    /// Length in milliseconds; the fault is in the middle half.
    pub length: Ms,
    /// The injected fault.
    pub trouble: Trouble,
    /// Whether routers publish observations to each other.
    pub gossip: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Setup {
    /// The default run: ten sites, four requests per router and second.
    pub fn new(routers: usize, trouble: Trouble, seed: u64) -> Self {
        let settings = Settings { sites: 64, ..Settings::default() };
        Self { settings, routers, sites: 10, rate: 4.0, length: 16_000.0, trouble, gossip: true, seed }
    }

    /// Start and end of the fault, in milliseconds.
    pub fn span(&self) -> (Ms, Ms) {
        (self.length * 0.25, self.length * 0.75)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests.
    pub asked: u64,
    /// Priority weight answered in time over weight requested, 0 to 1.
    pub worth: f64,
    /// The same for requests during the fault.
    pub worth_amid: f64,
    /// Complete answers.
    pub whole: u64,
    /// Partial answers.
    pub part: u64,
    /// Rejected requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// Mean time to the answer, in milliseconds.
    pub mean: Ms,
    /// Its 99th percentile, in milliseconds.
    pub p99: Ms,
    /// Attempts over requested parts.
    pub load: f64,
    /// Hedged over first attempts.
    pub seconds: f64,
    /// Probes.
    pub probes: u64,
    /// Arrivals at the faulty site in the second after the fault, over its mean before the fault.
    pub met: f64,
    /// Its peak of arrivals in 200 ms within 3 s after the fault, over that mean.
    pub met_most: f64,
    /// Attempts per router at the faulty site that were cancelled or missed the latency objective, probes excluded.
    pub waits: f64,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Routers.
    pub routers: usize,
    /// The injected fault.
    pub trouble: Trouble,
    /// Seed of the run.
    pub seed: u64,
    /// The strategy.
    pub way: Way,
    /// Its results.
    pub figures: Figures,
}

/// Runs the four strategies on the same setup.
///
/// # Errors
/// [`BadSetting`] for the first setting that is out of its range.
pub fn beside(setup: &Setup) -> Result<Vec<Line>, BadSetting> {
    let line = |way| {
        let figures = run(setup, way)?;
        Ok(Line { routers: setup.routers, trouble: setup.trouble, seed: setup.seed, way, figures })
    };
    Way::ALL.into_iter().map(line).collect()
}

/// The CSV header, in the order of [`row`].
pub const HEAD: &str = "routers,trouble,seed,way,asked,worth,worth_amid,whole,part,refused,failed,mean_ms,p99_ms,load,seconds,probes,met,met_most,waits";

/// A row as CSV.
pub fn row(l: &Line) -> String {
    let (f, name) = (&l.figures, |text: String| text.to_lowercase());
    format!(
        "{},{},{},{},{},{:.4},{:.4},{},{},{},{},{:.1},{:.1},{:.3},{:.4},{},{:.2},{:.2},{:.2}",
        l.routers,
        name(format!("{:?}", l.trouble)),
        l.seed,
        name(format!("{:?}", l.way)),
        f.asked,
        f.worth,
        f.worth_amid,
        f.whole,
        f.part,
        f.refused,
        f.failed,
        f.mean,
        f.p99,
        f.load,
        f.seconds,
        f.probes,
        f.met,
        f.met_most,
        f.waits
    )
}

/// Violations of the expected results: the engine answers more weight than each baseline, without a fault at most 0.01
/// less than all-or-nothing; with a fault there are some partial answers.
pub fn faults(lines: &[Line]) -> Vec<String> {
    let Some(ours) = lines.iter().find(|l| l.way == Way::Weighed) else {
        return vec!["no run of ours".into()];
    };
    let others = lines.iter().filter(|l| l.way != Way::Weighed);
    let worse = |l: &&Line| match (l.trouble, l.way) {
        (Trouble::Calm, Way::AllOrNothing) => ours.figures.worth < l.figures.worth - 0.01,
        (Trouble::Calm, _) => false,
        _ => ours.figures.worth <= l.figures.worth,
    };
    let say = |l: &Line| {
        let (us, them) = (ours.figures.worth, l.figures.worth);
        format!(
            "{:?} at {} routers, seed {}: {us:.4} against {:?} {them:.4}",
            l.trouble, l.routers, l.seed, l.way
        )
    };
    let mut faults: Vec<String> = others.filter(worse).map(say).collect();
    // Without partial answers the run does not exercise the decisions.
    if ours.trouble != Trouble::Calm && ours.figures.part == 0 {
        faults.push(format!(
            "{:?} at {} routers, seed {}: no answer in part",
            ours.trouble, ours.routers, ours.seed
        ));
    }
    faults
}
