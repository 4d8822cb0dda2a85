//! Experiments on a fleet: routers that keep each other's word, as processes, with faults between them (`on: fleet`).

use crate::experiment::{Must, Variant};
use crate::runs::{binary, Done, Row};
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_emulator::rig::faults::{FaultKind, RandomFaults, ScheduledFault};
use basaltgw_emulator::rig::load::Load;
use basaltgw_emulator::rig::scenario::{run_scenario, Scenario};
use basaltgw_emulator::rig::Spec;
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::time::Instant;

/// Where routers stand: those of a machine, and of a branch, are lost together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    branch: String,
    machine: String,
}

/// How long requests come in, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    quick: f64,
    full: f64,
}

/// An experiment on a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// Always `fleet`.
    #[allow(dead_code)] // Read before the rest, to tell the form of the file.
    on: String,
    /// Seed where none is given.
    pub seed: u64,
    length_ms: Length,
    routers: Vec<Place>,
    copies: usize,
    /// Further keys of each router's section `fleet`.
    #[serde(default)]
    section: Value,
    /// The rules' file that routers start with.
    rules: Option<String>,
    settles_ms: u64,
    link_ms: [f64; 2],
    load: Load,
    purges_per_s: f64,
    #[serde(default)]
    script: Vec<ScheduledFault>,
    draws: Option<RandomFaults>,
    runs: Vec<Variant>,
    /// What must hold, and what must have been provoked.
    pub must: Vec<Must>,
    /// Figures of the last line.
    pub shown: Vec<String>,
}

const SCHEMA: &str = include_str!("../experiments/fleet-schema.json");

/// The experiments on a fleet that the program brings along, by name.
pub const OWN: [(&str, &str); 2] = [
    ("holds", include_str!("../experiments/holds.yaml")),
    ("placement", include_str!("../experiments/placement.yaml")),
];

/// Reads one of the program's own by name, or a file by its path; `None` if it is not one on a fleet.
pub fn find(name: &str) -> Result<Option<(Experiment, String)>, YamlError> {
    let (file, text) = match OWN.iter().find(|(own, _)| *own == name) {
        Some((_, text)) => (format!("{name}.yaml"), (*text).to_string()),
        None => match std::fs::read_to_string(Path::new(name)) {
            Ok(text) => (name.to_string(), text),
            // Whoever reads it as another form says what is wrong with it.
            Err(_) => return Ok(None),
        },
    };
    let Ok(any) = Document::parse(&file, &text, &compile_schema("{}")) else { return Ok(None) };
    if any.value.get("on").and_then(Value::as_str) != Some("fleet") {
        return Ok(None);
    }
    let document = Document::parse(&file, &text, &compile_schema(SCHEMA))?;
    let experiment: Experiment = document.deserialize()?;
    let routers = experiment.routers.len();
    for (i, m) in experiment.script.iter().enumerate() {
        for (key, at) in [("router", Some(m.router)), ("other", m.other_router)] {
            if let Some(at) = at.filter(|at| *at >= routers) {
                let what = format!("expected a router from 0 to {}, found {at}", routers - 1);
                return Err(document.error_at(&format!("/script/{i}/{key}"), what));
            }
        }
        let rules = [
            FaultKind::ReplaceRules,
            FaultKind::RulesAtOneRouter,
            FaultKind::ConflictingRules,
            FaultKind::RulesWhileSuspended,
            FaultKind::RulesWhilePartitioned,
        ]
        .contains(&m.kind);
        if rules && (m.rules.is_none() || experiment.rules.is_none()) {
            let what = "expected `rules` here and for the start";
            return Err(document.error_at(&format!("/script/{i}"), what));
        }
        if m.kind == FaultKind::ConflictingRules && m.other_rules.is_none() {
            let what = "expected `rules_other`, those of the other operator";
            return Err(document.error_at(&format!("/script/{i}"), what));
        }
    }
    for (i, m) in experiment.must.iter().enumerate() {
        let runs = [Some(m.run), m.times_of];
        if let Some(missing) = runs.into_iter().flatten().find(|r| !experiment.runs.contains(r)) {
            let what = format!("the run {} is not among the experiment's runs", missing.name());
            return Err(document.error_at(&format!("/must/{i}"), what));
        }
        if [m.is, m.at_least, m.at_most].iter().all(Option::is_none) {
            return Err(document.error_at(&format!("/must/{i}"), "expected `is`, `at_least` or `at_most`"));
        }
    }
    Ok(Some((experiment, text)))
}

impl Experiment {
    fn game(&self, variant: Variant, quick: bool, seed: u64) -> Result<Scenario, String> {
        let mut spec = Spec::new(&binary()?, self.routers.len());
        for (place, of) in spec.locations.iter_mut().zip(&self.routers) {
            (place.branch, place.machine) = (of.branch.clone(), of.machine.clone());
        }
        let fleet = match variant {
            Variant::Described => true,
            Variant::Alone => false,
            Variant::Still | Variant::AtOnce | Variant::Blind => {
                return Err(format!("no run {} on a fleet", variant.name()))
            }
        };
        let spec = Spec {
            seed,
            fleet,
            replicas: self.copies,
            rules: self.rules.clone(),
            extra_settings: self.section.clone(),
            purge_settles_ms: self.settles_ms,
            ..spec
        };
        Ok(Scenario {
            spec,
            load: self.load.clone(),
            link_delay_ms: (self.link_ms[0], self.link_ms[1]),
            duration_ms: if quick { self.length_ms.quick } else { self.length_ms.full },
            purges_per_s: self.purges_per_s,
            scripted_faults: self.script.clone(),
            random_faults: self.draws.clone(),
        })
    }
}

/// Most words said of a run.
const WORDS: usize = 12;

/// Plays all runs of an experiment.
pub fn all(
    experiment: &Experiment,
    quick: bool,
    seed: u64,
    mut told: impl FnMut(&Done),
) -> Result<Vec<Done>, String> {
    let mut all = Vec::new();
    for variant in &experiment.runs {
        let begun = Instant::now();
        let played = run_scenario(&experiment.game(*variant, quick, seed)?)?;
        let mut row: Row = played.figures;
        row.insert("wall_s".into(), begun.elapsed().as_secs_f64());
        let broken = played.violations.iter().map(|b| format!("{:?}: {}", b.rule, b.description));
        // What breaks without a fleet is the baseline's figure, and no news.
        let most = if *variant == Variant::Described { WORDS } else { 2 };
        let words = broken.take(most).chain(played.unrecovered).collect();
        let share = |(asked, got): &(f64, f64)| if *asked > 0.0 { got / asked } else { f64::NAN };
        let seconds = played.seconds.iter().map(share).collect();
        let done = Done { routers: experiment.routers.len(), variant: *variant, row, seconds, words };
        told(&done);
        all.push(done);
    }
    Ok(all)
}

#[cfg(test)]
mod tests;
