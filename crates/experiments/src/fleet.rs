//! Experiments on a fleet (`on: fleet`): router processes with the section `fleet`, under faults of processes and of the links between them.

use crate::experiment::{check_bounds, Bound, Variant};
use crate::runs::{answered_share, router_program, RunResult};
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_emulator::rig::faults::{FaultKind, RandomFaults, ScheduledFault};
use basaltgw_emulator::rig::load::Load;
use basaltgw_emulator::rig::scenario::{run_scenario, Scenario};
use basaltgw_emulator::rig::Spec;
use serde::Deserialize;
use serde_json::Value;
use std::path::Path;
use std::time::Instant;

/// The failure domains of a router: routers of one machine, or of one branch, fail together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterLocation {
    branch: String,
    machine: String,
}

/// The time during which clients send requests, for each form of the experiment, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthByForm {
    quick: f64,
    full: f64,
}

/// The file of an experiment on a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment.
    pub name: String,
    /// The purpose of the experiment in a sentence.
    pub about: String,
    #[allow(dead_code)] // `load` has read this key by then, to tell the form of the file.
    on: String,
    /// The seed of runs without `--seed`.
    pub seed: u64,
    length_ms: LengthByForm,
    routers: Vec<RouterLocation>,
    /// Replicas of each register: 3 or 5.
    #[serde(rename = "copies")]
    replicas: usize,
    /// Further keys of each router's section `fleet`.
    #[serde(default)]
    section: Value,
    /// The text of the rules file with which the routers start.
    rules: Option<String>,
    /// The time after which a purge has settled; until then caches may hold older copies.
    settles_ms: u64,
    /// Range of the one-way latency of a link between routers.
    link_ms: [f64; 2],
    load: Load,
    purges_per_s: f64,
    /// Faults at given times.
    #[serde(default)]
    script: Vec<ScheduledFault>,
    /// Faults drawn from the seed.
    #[serde(rename = "draws")]
    random_faults: Option<RandomFaults>,
    runs: Vec<Variant>,
    /// Bounds of figures: guarantees, and faults that must have occurred.
    #[serde(rename = "must")]
    pub bounds: Vec<Bound>,
    /// The figures in the last line of output.
    #[serde(rename = "shown")]
    pub summary_figures: Vec<String>,
}

/// JSON schema of experiment files.
const SCHEMA: &str = include_str!("../experiments/fleet-schema.json");

/// The built-in experiments: name and text of the file.
pub const BUILT_IN: [(&str, &str); 2] = [
    ("holds", include_str!("../experiments/holds.yaml")),
    ("placement", include_str!("../experiments/placement.yaml")),
];

/// Loads a built-in experiment by its name, or a file by its path, and returns it with the text of the file; `None` if the file has another
/// form.
pub fn load(name: &str) -> Result<Option<(Experiment, String)>, YamlError> {
    let (file, text) = match BUILT_IN.iter().find(|(built_in, _)| *built_in == name) {
        Some((_, text)) => (format!("{name}.yaml"), (*text).to_string()),
        None => match std::fs::read_to_string(Path::new(name)) {
            Ok(text) => (name.to_string(), text),
            // The loader of the other forms reports that the file cannot be read.
            Err(_) => return Ok(None),
        },
    };
    let Ok(untyped) = Document::parse(&file, &text, &compile_schema("{}")) else { return Ok(None) };
    if untyped.value.get("on").and_then(Value::as_str) != Some("fleet") {
        return Ok(None);
    }
    let document = Document::parse(&file, &text, &compile_schema(SCHEMA))?;
    let experiment: Experiment = document.deserialize()?;
    experiment.check_script(&document)?;
    check_bounds(&document, &experiment.bounds, &experiment.runs)?;
    Ok(Some((experiment, text)))
}

impl Experiment {
    /// Rejects script events at a router that does not exist, and changes of the rules without the text of the new or the first rules.
    fn check_script(&self, document: &Document) -> Result<(), YamlError> {
        let routers = self.routers.len();
        for (i, event) in self.script.iter().enumerate() {
            for (key, router) in [("router", Some(event.router)), ("other", event.other_router)] {
                if let Some(router) = router.filter(|router| *router >= routers) {
                    let message = format!("expected a router from 0 to {}, found {router}", routers - 1);
                    return Err(document.error_at(&format!("/script/{i}/{key}"), message));
                }
            }
            let changes_rules = [
                FaultKind::ReplaceRules,
                FaultKind::RulesAtOneRouter,
                FaultKind::ConflictingRules,
                FaultKind::RulesWhileSuspended,
                FaultKind::RulesWhilePartitioned,
            ]
            .contains(&event.kind);
            if changes_rules && (event.rules.is_none() || self.rules.is_none()) {
                let message = "expected `rules` here and for the start";
                return Err(document.error_at(&format!("/script/{i}"), message));
            }
            if event.kind == FaultKind::ConflictingRules && event.other_rules.is_none() {
                let message = "expected `rules_other`, those of the other operator";
                return Err(document.error_at(&format!("/script/{i}"), message));
            }
        }
        Ok(())
    }

    /// Returns the scenario of a run.
    fn scenario(&self, variant: Variant, quick: bool, seed: u64) -> Result<Scenario, String> {
        let mut spec = Spec::new(&router_program()?, self.routers.len());
        for (target, location) in spec.locations.iter_mut().zip(&self.routers) {
            (target.branch, target.machine) = (location.branch.clone(), location.machine.clone());
        }
        let fleet = match variant {
            Variant::Described => true,
            Variant::Alone => false,
            Variant::Still | Variant::AtOnce | Variant::Blind => {
                return Err(format!("a run {} is not possible on a fleet", variant.name()))
            }
        };
        let spec = Spec {
            seed,
            fleet,
            replicas: self.replicas,
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
            random_faults: self.random_faults.clone(),
        })
    }
}

/// The maximum number of violations of a run that the output describes.
const MAX_REPORTED_VIOLATIONS: usize = 12;
/// The same for a run without the section `fleet`, where violations are expected.
const MAX_REPORTED_BASELINE_VIOLATIONS: usize = 2;

/// Runs all variants of an experiment; `on_result` is called after each run.
pub fn run_all(
    experiment: &Experiment,
    quick: bool,
    seed: u64,
    mut on_result: impl FnMut(&RunResult),
) -> Result<Vec<RunResult>, String> {
    let mut results = Vec::new();
    for variant in &experiment.runs {
        let started = Instant::now();
        let outcome = run_scenario(&experiment.scenario(*variant, quick, seed)?)?;
        let mut figures = outcome.figures;
        figures.insert("wall_s".into(), started.elapsed().as_secs_f64());
        let violations = outcome.violations.iter().map(|v| format!("{:?}: {}", v.rule, v.description));
        let reported = match variant {
            Variant::Described => MAX_REPORTED_VIOLATIONS,
            _ => MAX_REPORTED_BASELINE_VIOLATIONS,
        };
        let result = RunResult {
            routers: experiment.routers.len(),
            variant: *variant,
            figures,
            seconds: outcome.seconds.iter().map(answered_share).collect(),
            messages: violations.take(reported).chain(outcome.unrecovered).collect(),
        };
        on_result(&result);
        results.push(result);
    }
    Ok(results)
}

#[cfg(test)]
mod tests;
