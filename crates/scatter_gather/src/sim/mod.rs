//! Gathers in simulated time, from a seed: routers that ask sites for parts while one site is in trouble, decided by [`Gathers`](crate::Gathers) and by the
//! three baselines, each with the same requests and the same luck.
//!
//! Times in milliseconds. The same seed and setup give the same figures to the last bit.

mod load;
mod world;

use crate::api::Decide;
use crate::baselines::{Baseline, When};
use crate::settings::{BadSetting, Settings};
use crate::Gathers;
use basaltgw_types::Ms;
use serde::Serialize;
pub use world::run;

/// What befalls one of the sites in the middle half of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// It takes ten times as long.
    Slow,
    /// It says nothing any more.
    Lost,
    /// It says nothing, and answers again, in turns of 0.3 to 1.5 s.
    Flapping,
    /// It has just started: a tenth of its places and three times the time for each answer, both better with time.
    Cold,
}

impl Trouble {
    /// All of them, the calm day first.
    pub const ALL: [Self; 5] = [Self::Calm, Self::Slow, Self::Lost, Self::Flapping, Self::Cold];
}

/// How gathers are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// By [`Gathers`].
    Weighed,
    /// [`When::AllOrNothing`].
    AllOrNothing,
    /// [`When::FixedTimeout`] at the whole aim: the best that a fixed time can do for what is worth its full worth until then.
    FixedTimeout,
    /// [`When::FirstOfEachSite`].
    FirstOfEachSite,
}

impl Way {
    /// All of them, the decisions first.
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

/// A run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The decisions' settings.
    pub settings: Settings,
    /// Routers.
    pub routers: usize,
    /// Sites.
    pub sites: usize,
    /// Gathers by each router in a second.
    pub rate: f64,
    /// Its length; trouble is in its middle half.
    pub length: Ms,
    /// What happens.
    pub trouble: Trouble,
    /// Words pass between routers.
    pub gossip: bool,
    /// From which all is drawn.
    pub seed: u64,
}

impl Setup {
    /// A run of usual size: ten sites, four gathers a second by each router.
    pub fn new(routers: usize, trouble: Trouble, seed: u64) -> Self {
        let settings = Settings { sites: 64, ..Settings::default() };
        Self { settings, routers, sites: 10, rate: 4.0, length: 16_000.0, trouble, gossip: true, seed }
    }

    /// From when to when the trouble is.
    pub fn span(&self) -> (Ms, Ms) {
        (self.length * 0.25, self.length * 0.75)
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Gathers asked.
    pub asked: u64,
    /// Worth in time over worth asked, 0 to 1.
    pub worth: f64,
    /// The same of gathers that were asked amid the trouble.
    pub worth_amid: f64,
    /// Answered with all parts.
    pub whole: u64,
    /// Answered in part.
    pub part: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Mean time to the answer, in milliseconds.
    pub mean: Ms,
    /// Its 99th percentile, in milliseconds.
    pub p99: Ms,
    /// Attempts over parts asked.
    pub load: f64,
    /// Second copies over first attempts.
    pub seconds: f64,
    /// Probes.
    pub probes: u64,
    /// Asks that the site in trouble had in the second after the trouble's end, over its usual number before the trouble.
    pub met: f64,
    /// The most asks that it had in any 200 ms of the 3 s after it, over that.
    pub met_most: f64,
    /// Routers' own waits for the site in trouble: attempts there that were given up or missed the aim, probes not counted, by router.
    pub waits: f64,
}

/// A line of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Routers.
    pub routers: usize,
    /// What happened.
    pub trouble: Trouble,
    /// From which all was drawn.
    pub seed: u64,
    /// Who decided.
    pub way: Way,
    /// What came of it.
    pub figures: Figures,
}

/// The four ways side by side.
///
/// # Errors
/// If a setting is out of its range.
pub fn beside(setup: &Setup) -> Result<Vec<Line>, BadSetting> {
    let line = |way| {
        let figures = run(setup, way)?;
        Ok(Line { routers: setup.routers, trouble: setup.trouble, seed: setup.seed, way, figures })
    };
    Way::ALL.into_iter().map(line).collect()
}

/// The head of the table, in the order of [`row`].
pub const HEAD: &str = "routers,trouble,seed,way,asked,worth,worth_amid,whole,part,refused,failed,mean_ms,p99_ms,load,seconds,probes,met,met_most,waits";

/// A line as CSV.
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

/// What must hold of the four ways under one trouble, and does not: better than each baseline; on a calm day not below all-or-nothing by more than
/// 0.01; and some answers in part wherever there was trouble.
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
    // A run in which nothing was provoked shows nothing.
    if ours.trouble != Trouble::Calm && ours.figures.part == 0 {
        faults.push(format!(
            "{:?} at {} routers, seed {}: no answer in part",
            ours.trouble, ours.routers, ours.seed
        ));
    }
    faults
}
