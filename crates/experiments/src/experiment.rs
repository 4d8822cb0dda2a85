//! Experiment files for simulated time and for sockets: the fleet, its load, a script of faults and changes, the runs to compare, and the
//! bounds of their figures.

use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_simulator::sim::Setup;
use basaltgw_simulator::spec::{FleetSpec, LoadSpec, PlanShape, ScriptAction, ScriptEvent};
use serde::Deserialize;
use std::path::Path;

/// How a run differs from the experiment file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// The run as the file describes it.
    Described,
    /// The same seed, load and faults without any change of the tree.
    Still,
    /// Every change applied at once: no gradual shift of shares, no requests to the previous parents.
    AtOnce,
    /// Nodes without loop detection.
    Blind,
    /// The same seed, load and faults with routers that have no section `fleet`.
    Alone,
}

impl Variant {
    /// The name of the run in tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Described => "described",
            Self::Still => "still",
            Self::AtOnce => "at_once",
            Self::Blind => "blind",
            Self::Alone => "alone",
        }
    }
}

/// Where an experiment runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Environment {
    /// In simulated time, in one process.
    #[default]
    Simulated,
    /// On loopback sockets, with real router processes.
    Sockets,
    /// On loopback sockets, with the section `fleet` and faults on the links between routers: see [`crate::fleet`].
    Fleet,
}

/// A bound of one figure. The experiment fails if the figure is outside.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The run whose figure is bounded; by default the described one.
    #[serde(default = "described")]
    pub run: Variant,
    /// The name of the figure.
    pub figure: String,
    /// The exact value.
    pub is: Option<f64>,
    /// The minimum.
    pub at_least: Option<f64>,
    /// The maximum.
    pub at_most: Option<f64>,
    /// The run whose value of the same figure multiplies `is`, `at_least` and `at_most`.
    pub times_of: Option<Variant>,
}

fn described() -> Variant {
    Variant::Described
}

/// The size of a run as a multiple of the size in the file.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// The factor for zones and regular districts; spare districts are not multiplied.
    pub times: usize,
    /// Whether this size is measured only by the full form of the experiment.
    #[serde(default)]
    pub full: bool,
}

/// An experiment in simulated time or on sockets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment.
    pub name: String,
    /// The purpose of the experiment in a sentence.
    pub about: String,
    /// Where the experiment runs.
    #[serde(default, rename = "on")]
    pub environment: Environment,
    /// The seed of runs without `--seed`.
    pub seed: u64,
    /// The time during which clients send requests.
    pub length_ms: f64,
    /// The machines, their network and the rules of routing.
    pub fleet: FleetSpec,
    /// The requests of the clients.
    pub load: LoadSpec,
    /// Plans of the tree; the first is in use at the start.
    #[serde(default)]
    pub plans: Vec<PlanShape>,
    /// Faults and changes at given times.
    #[serde(default)]
    pub script: Vec<ScriptEvent>,
    /// The runs to compare.
    pub runs: Vec<Variant>,
    /// The sizes of the fleet; without any, only the size in the file.
    #[serde(default)]
    pub scales: Vec<Scale>,
    /// Bounds of figures, checked at each size.
    #[serde(rename = "must")]
    pub bounds: Vec<Bound>,
}

/// JSON schema of experiment files.
const SCHEMA: &str = include_str!("../experiments/schema.json");

/// The built-in experiments: name and text of the file.
pub const BUILT_IN: [(&str, &str); 3] = [
    ("reshape", include_str!("../experiments/reshape.yaml")),
    ("reshape-simulated", include_str!("../experiments/reshape-simulated.yaml")),
    ("reshape-at-scale", include_str!("../experiments/reshape-at-scale.yaml")),
];

/// Returns the text of the built-in experiment (name and text) if it has this name, otherwise that of the file at this path.
pub fn read_text(built_in: (&str, &str), name: &str) -> Option<String> {
    if name == built_in.0 {
        Some(built_in.1.to_string())
    } else {
        std::fs::read_to_string(name).ok()
    }
}

/// Whether the key `on` of the experiment with this name or file names this form. False if the file is unreadable or not YAML: the loader of
/// [`Experiment`] reports that.
pub fn has_form(built_in: (&str, &str), name: &str, form: &str) -> bool {
    let document =
        read_text(built_in, name).and_then(|t| Document::parse(name, &t, &compile_schema("{}")).ok());
    document.is_some_and(|d| d.value.get("on").and_then(serde_json::Value::as_str) == Some(form))
}

/// Rejects bounds without a limit, and those of a run that the experiment does not have.
pub fn check_bounds(document: &Document, bounds: &[Bound], runs: &[Variant]) -> Result<(), YamlError> {
    for (i, bound) in bounds.iter().enumerate() {
        let named = [Some(bound.run), bound.times_of];
        if let Some(missing) = named.into_iter().flatten().find(|run| !runs.contains(run)) {
            let message = format!("the run {} is not among the experiment's runs", missing.name());
            return Err(document.error_at(&format!("/must/{i}"), message));
        }
        if [bound.is, bound.at_least, bound.at_most].iter().all(Option::is_none) {
            return Err(document.error_at(&format!("/must/{i}"), "expected `is`, `at_least` or `at_most`"));
        }
    }
    Ok(())
}

/// Rejects bounds without a limit, and those of another run than the described one, for experiments that have no other run. `section` is the
/// path of the section with the bounds.
pub fn check_bounds_of_one_run(
    document: &Document,
    section: &str,
    bounds: &[Bound],
) -> Result<(), YamlError> {
    for (i, bound) in bounds.iter().enumerate() {
        let other_run = bound.run != Variant::Described || bound.times_of.is_some();
        if other_run || [bound.is, bound.at_least, bound.at_most] == [None; 3] {
            let message = "expected `is`, `at_least` or `at_most` for the described run";
            return Err(document.error_at(&format!("{section}/must/{i}"), message));
        }
    }
    Ok(())
}

impl Experiment {
    /// Loads a built-in experiment by its name, or a file by its path, and returns it with the text of the file.
    pub fn load(name: &str) -> Result<(Self, String), YamlError> {
        let validator = compile_schema(SCHEMA);
        let (document, text) = match BUILT_IN.iter().find(|(built_in, _)| *built_in == name) {
            Some((_, text)) => {
                (Document::parse(&format!("{name}.yaml"), text, &validator)?, (*text).to_string())
            }
            None => {
                let document = Document::read(Path::new(name), &validator)?;
                let text = std::fs::read_to_string(name).unwrap_or_default();
                (document, text)
            }
        };
        let experiment: Self = document.deserialize()?;
        check_bounds(&document, &experiment.bounds, &experiment.runs)?;
        experiment.check_script(&document)?;
        Ok((experiment, text))
    }

    /// Rejects script events that name an unknown plan or node.
    fn check_script(&self, document: &Document) -> Result<(), YamlError> {
        let nodes = basaltgw_simulator::fleet::nodes(&self.fleet);
        for (i, event) in self.script.iter().enumerate() {
            if let Some(plan) = event.plan.as_ref().filter(|p| !self.plans.iter().any(|s| s.name == **p)) {
                return Err(document.error_at(&format!("/script/{i}/plan"), format!("unknown plan {plan:?}")));
            }
            for (key, name) in [("node", &event.node), ("to", &event.to)] {
                if let Some(name) = name.as_ref().filter(|n| !nodes.iter().any(|node| node.name == **n)) {
                    let message = format!("unknown node {name:?}");
                    return Err(document.error_at(&format!("/script/{i}/{key}"), message));
                }
            }
        }
        Ok(())
    }

    /// Returns the simulator's setup of one run: this variant, at `times` the size of the file, with this seed.
    pub fn setup(&self, variant: Variant, times: usize, seed: u64) -> Setup {
        let districts =
            DistrictScale { count: self.fleet.districts, spare: self.fleet.spare_districts, times };
        let mut fleet = self.fleet.clone();
        fleet.zones *= times;
        fleet.districts = districts.scaled_count();
        let slow_start = basaltgw_hierarchy::SlowStart {
            initial_share: fleet.rules.cold_parent.share,
            ramp_duration: fleet.rules.cold_parent.span_ms,
        };
        Setup {
            fleet,
            load: self.load.clone(),
            script: self.scaled_script(variant, &districts),
            plans: self.plans.iter().map(|plan| districts.scaled_plan(plan)).collect(),
            tree: basaltgw_hierarchy::Settings { slow_start, ..self.tree_settings(variant) },
            length_ms: self.length_ms,
            staged: variant != Variant::AtOnce,
            loop_detection: variant != Variant::Blind,
            seed,
        }
    }

    /// Returns the script with the scaled numbers of districts; a still run has no changes of the tree.
    fn scaled_script(&self, variant: Variant, districts: &DistrictScale) -> Vec<ScriptEvent> {
        let mut script = self.script.clone();
        for event in &mut script {
            for name in [&mut event.node, &mut event.to].into_iter().flatten() {
                if let Some(number) = name.strip_prefix("district-").and_then(|n| n.parse::<usize>().ok()) {
                    *name = format!("district-{}", districts.scaled_number(number));
                }
            }
        }
        if variant == Variant::Still {
            let changes = [
                ScriptAction::Plan,
                ScriptAction::TakeBack,
                ScriptAction::Start,
                ScriptAction::Drain,
                ScriptAction::Stop,
            ];
            script.retain(|event| !changes.contains(&event.what));
        }
        script
    }

    /// Returns the settings of the tree without its slow start. Steps are shorter than with the default settings, and shorter still on sockets.
    fn tree_settings(&self, variant: Variant) -> basaltgw_hierarchy::Settings {
        let defaults = basaltgw_hierarchy::Settings {
            successes_per_step: 4,
            idle_step_duration: 2_000.0,
            ..Default::default()
        };
        match (self.environment, variant) {
            // Router processes always shift traffic in steps, so the fastest steps stand in for a change applied at once.
            (Environment::Sockets, Variant::AtOnce) => basaltgw_hierarchy::Settings {
                successes_per_step: 1,
                idle_step_duration: 0.0,
                quiet_period: 0.0,
                handover_duration: 0.0,
                ..defaults
            },
            (Environment::Sockets, _) => basaltgw_hierarchy::Settings {
                successes_per_step: 2,
                idle_step_duration: 500.0,
                quiet_period: 500.0,
                ..defaults
            },
            (Environment::Simulated | Environment::Fleet, _) => defaults,
        }
    }
}

/// Scales the districts of a fleet. Spare districts have the last numbers and are not multiplied, so their numbers grow with the size.
struct DistrictScale {
    /// Districts in the file, spare ones included.
    count: usize,
    /// Spare districts in the file.
    spare: usize,
    /// The factor for regular districts.
    times: usize,
}

impl DistrictScale {
    /// Returns the count of regular districts in the file.
    fn regular(&self) -> usize {
        self.count - self.spare
    }

    /// Returns the count of all districts in the scaled fleet.
    fn scaled_count(&self) -> usize {
        self.regular() * self.times + self.spare
    }

    /// Returns the number that a district of the file has in the scaled fleet.
    fn scaled_number(&self, district: usize) -> usize {
        if district >= self.regular() {
            district + self.scaled_count() - self.count
        } else {
            district
        }
    }

    /// Returns a plan with all copies of its regular districts, followed by its spare ones.
    fn scaled_plan(&self, plan: &PlanShape) -> PlanShape {
        let regular = plan.districts.iter().filter(|district| **district < self.regular());
        let spare = plan.districts.iter().filter(|district| **district >= self.regular());
        let copies = (0..self.times)
            .flat_map(|copy| regular.clone().map(move |district| district + copy * self.regular()));
        let districts = copies.chain(spare.map(|district| self.scaled_number(*district))).collect();
        PlanShape { districts, ..plan.clone() }
    }
}

#[cfg(test)]
mod tests;
