//! Scatter-gather requests in simulated time: routers send sub-requests to sites while one site has a fault, once with the
//! engine ([`GatherEngine`]) and once with each baseline, with the same requests and random draws.
//!
//! Times are in milliseconds. The same setup and seed give the same results to the last bit.

mod load;
mod measurements;
mod sites;
mod world;

use crate::api::GatherStrategy;
use crate::baselines::{Baseline, BaselineKind};
use crate::settings::{InvalidSetting, Settings};
use crate::GatherEngine;
use basaltgw_types::Ms;
use serde::Serialize;
pub use world::run;

/// The fault of one site in the middle half of a run. The names of the variants are printed in results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// No fault.
    Calm,
    /// The site's processing takes ten times as long.
    Slow,
    /// The site does not answer.
    Lost,
    /// The site alternates between silence and answers, every 0.3 to 1.5 s.
    Flapping,
    /// The site is warming up: a tenth of its capacity and three times the processing time, both improving with time.
    Cold,
}

impl Fault {
    /// All faults; the run without one is first.
    pub const ALL: [Self; 5] = [Self::Calm, Self::Slow, Self::Lost, Self::Flapping, Self::Cold];
}

/// The strategy that decides. The names of the variants are printed in results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StrategyKind {
    /// [`GatherEngine`], which weighs waiting against answering.
    Weighed,
    /// [`BaselineKind::AllOrNothing`].
    AllOrNothing,
    /// [`BaselineKind::FixedTimeout`] at the latency objective, the best fixed
    /// timeout for an answer of full value until then.
    FixedTimeout,
    /// [`BaselineKind::FirstOfEachSite`].
    FirstOfEachSite,
}

impl StrategyKind {
    /// All strategies; the engine is first.
    pub const ALL: [Self; 4] = [Self::Weighed, Self::AllOrNothing, Self::FixedTimeout, Self::FirstOfEachSite];

    fn build(self, settings: &Settings, seed: u64) -> Result<Box<dyn GatherStrategy>, InvalidSetting> {
        let baseline = |kind| Ok(Box::new(Baseline::new(settings.clone(), kind)?) as Box<dyn GatherStrategy>);
        match self {
            Self::Weighed => Ok(Box::new(GatherEngine::new(settings.clone(), seed)?)),
            Self::AllOrNothing => baseline(BaselineKind::AllOrNothing),
            Self::FixedTimeout => baseline(BaselineKind::FixedTimeout { objective_share: 1.0 }),
            Self::FirstOfEachSite => baseline(BaselineKind::FirstOfEachSite),
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
    pub requests_per_second: f64,
    /// Duration of the run in milliseconds; the fault is in the middle half.
    pub duration: Ms,
    /// The injected fault.
    pub fault: Fault,
    /// Whether routers publish observations to each other.
    pub gossip: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Setup {
    /// The default run: ten sites, four requests per router and second.
    pub fn new(routers: usize, fault: Fault, seed: u64) -> Self {
        Self {
            settings: Settings { max_sites: 64, ..Settings::default() },
            routers,
            sites: 10,
            requests_per_second: 4.0,
            duration: 16_000.0,
            fault,
            gossip: true,
            seed,
        }
    }

    /// Start and end of the fault, in milliseconds since the start of the run.
    pub fn fault_window(&self) -> (Ms, Ms) {
        (self.duration * 0.25, self.duration * 0.75)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunResult {
    /// Requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Priority weight answered in time over weight requested, 0 to 1.
    #[serde(rename = "worth")]
    pub answered_weight_share: f64,
    /// Priority weight answered in time over weight requested for requests during the fault, 0 to 1.
    #[serde(rename = "worth_amid")]
    pub answered_weight_share_in_fault: f64,
    /// Complete answers.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Partial answers.
    #[serde(rename = "part")]
    pub partial: u64,
    /// Rejected requests.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed requests.
    pub failed: u64,
    /// Mean time to the answer, in milliseconds.
    #[serde(rename = "mean")]
    pub mean_ms: Ms,
    /// 99th percentile of the time to the answer, in milliseconds.
    #[serde(rename = "p99")]
    pub p99_ms: Ms,
    /// Attempts over requested parts.
    #[serde(rename = "load")]
    pub attempts_per_part: f64,
    /// Hedged over first attempts.
    #[serde(rename = "seconds")]
    pub hedge_share: f64,
    /// Probes.
    pub probes: u64,
    /// Arrivals at the faulty site in the second after the fault, over its mean before the fault.
    #[serde(rename = "met")]
    pub recovery_load: f64,
    /// Peak of arrivals at the faulty site in 200 ms within 3 s after the fault, over its mean before the fault.
    #[serde(rename = "met_most")]
    pub recovery_peak_load: f64,
    /// Attempts per router at the faulty site that were cancelled or missed the latency objective, probes excluded.
    #[serde(rename = "waits")]
    pub waits_for_faulty_site: f64,
}

/// One row of the comparison: a strategy's run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ComparisonRow {
    /// Number of routers.
    pub routers: usize,
    /// The injected fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
    /// Seed of the run.
    pub seed: u64,
    /// The strategy.
    #[serde(rename = "way")]
    pub strategy: StrategyKind,
    /// Results of the strategy's run.
    #[serde(rename = "figures")]
    pub result: RunResult,
}

/// Runs the four strategies on the same setup.
///
/// # Errors
/// [`InvalidSetting`] for the first setting that is out of its range.
pub fn compare_strategies(setup: &Setup) -> Result<Vec<ComparisonRow>, InvalidSetting> {
    let row = |strategy| {
        let result = run(setup, strategy)?;
        Ok(ComparisonRow { routers: setup.routers, fault: setup.fault, seed: setup.seed, strategy, result })
    };
    StrategyKind::ALL.into_iter().map(row).collect()
}

/// The CSV header, in the order of [`csv_row`].
pub const CSV_HEADER: &str = "routers,trouble,seed,way,asked,worth,worth_amid,whole,part,refused,failed,mean_ms,p99_ms,load,seconds,probes,met,met_most,waits";

/// A row as CSV.
pub fn csv_row(row: &ComparisonRow) -> String {
    let (result, name) = (&row.result, |text: String| text.to_lowercase());
    format!(
        "{},{},{},{},{},{:.4},{:.4},{},{},{},{},{:.1},{:.1},{:.3},{:.4},{},{:.2},{:.2},{:.2}",
        row.routers,
        name(format!("{:?}", row.fault)),
        row.seed,
        name(format!("{:?}", row.strategy)),
        result.requests,
        result.answered_weight_share,
        result.answered_weight_share_in_fault,
        result.complete,
        result.partial,
        result.rejected,
        result.failed,
        result.mean_ms,
        result.p99_ms,
        result.attempts_per_part,
        result.hedge_share,
        result.probes,
        result.recovery_load,
        result.recovery_peak_load,
        result.waits_for_faulty_site
    )
}

/// Violations of the expected results: the engine answers more weight than each baseline, without a fault at most 0.01
/// less than all-or-nothing; with a fault there are some partial answers.
pub fn find_violations(rows: &[ComparisonRow]) -> Vec<String> {
    let Some(engine) = rows.iter().find(|row| row.strategy == StrategyKind::Weighed) else {
        return vec!["no run of the engine".into()];
    };
    let engine_share = engine.result.answered_weight_share;
    let baselines = rows.iter().filter(|row| row.strategy != StrategyKind::Weighed);
    let is_violation = |row: &&ComparisonRow| {
        let share = row.result.answered_weight_share;
        match (row.fault, row.strategy) {
            (Fault::Calm, StrategyKind::AllOrNothing) => engine_share < share - 0.01,
            (Fault::Calm, _) => false,
            _ => engine_share <= share,
        }
    };
    let describe = |row: &ComparisonRow| {
        let ComparisonRow { routers, fault, seed, strategy, result } = row;
        let share = result.answered_weight_share;
        format!(
            "{fault:?} at {routers} routers, seed {seed}: the engine answers {engine_share:.4} of the weight, \
             {strategy:?} {share:.4}"
        )
    };
    let mut violations: Vec<String> = baselines.filter(is_violation).map(describe).collect();
    // Without partial answers the run does not exercise the decisions.
    if engine.fault != Fault::Calm && engine.result.partial == 0 {
        let ComparisonRow { routers, fault, seed, .. } = engine;
        violations.push(format!("{fault:?} at {routers} routers, seed {seed}: no partial answer"));
    }
    violations
}
