//! An experiment's file: fleet, load, script, the runs to compare, and what must hold.

use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_simulator::sim::Setup;
use basaltgw_simulator::spec::{FleetSpec, LoadSpec, PlanShape, ScriptAction, ScriptEvent};
use serde::Deserialize;
use std::path::Path;

/// How a run differs from what the file describes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// As described.
    Described,
    /// The same seed, load and troubles without any change of the tree.
    Still,
    /// Every change at once: no shares, no old homes asked.
    AtOnce,
    /// Nodes do not heed trails.
    Blind,
    /// The same seed, load and faults with routers that have no section `fleet`.
    Alone,
}

impl Variant {
    /// Its name in tables.
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

/// Where it is played.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum On {
    /// In simulated time, in one process.
    #[default]
    Simulated,
    /// On loopback sockets, with real router processes.
    Sockets,
    /// The same, with faults between routers that keep each other's word: see [`crate::fleet`].
    Fleet,
}

/// Something that must hold.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Must {
    /// Of which run; the described one if not said.
    #[serde(default = "described")]
    pub run: Variant,
    /// Which figure.
    pub figure: String,
    /// Exactly this.
    pub is: Option<f64>,
    /// No less than this.
    pub at_least: Option<f64>,
    /// No more than this.
    pub at_most: Option<f64>,
    /// The bounds are multiples of the same figure of this run.
    pub times_of: Option<Variant>,
}

fn described() -> Variant {
    Variant::Described
}

/// The size of a run as a multiple of the file's.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Zones, and districts in proportion.
    pub times: usize,
    /// Only in full runs.
    #[serde(default)]
    pub full: bool,
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// Where it is played.
    #[serde(default)]
    pub on: On,
    /// Seed where none is given.
    pub seed: u64,
    /// How long requests come in.
    pub length_ms: f64,
    /// The fleet.
    pub fleet: FleetSpec,
    /// What is asked.
    pub load: LoadSpec,
    /// Plans; the first is in use at the start.
    #[serde(default)]
    pub plans: Vec<PlanShape>,
    /// What happens.
    #[serde(default)]
    pub script: Vec<ScriptEvent>,
    /// Runs to compare.
    pub runs: Vec<Variant>,
    /// Sizes; the file's own if none is named.
    #[serde(default)]
    pub scales: Vec<Scale>,
    /// What must hold, at each size.
    pub must: Vec<Must>,
}

const SCHEMA: &str = include_str!("../experiments/schema.json");

/// The experiments that the program brings along, by name.
pub const OWN: [(&str, &str); 3] = [
    ("reshape", include_str!("../experiments/reshape.yaml")),
    ("reshape-simulated", include_str!("../experiments/reshape-simulated.yaml")),
    ("reshape-at-scale", include_str!("../experiments/reshape-at-scale.yaml")),
];

/// The text of an experiment that has a form of its own: the program's, by its name, or a file's.
pub fn text_of(own: (&str, &str), name: &str) -> Option<String> {
    if name == own.0 {
        Some(own.1.to_string())
    } else {
        std::fs::read_to_string(name).ok()
    }
}

/// Whether such an experiment is of this form, as its key `on` says.
pub fn is_of_form(own: (&str, &str), name: &str, form: &str) -> bool {
    let document = text_of(own, name).and_then(|t| Document::parse(name, &t, &compile_schema("{}")).ok());
    document.is_some_and(|d| d.value.get("on").and_then(serde_json::Value::as_str) == Some(form))
}

impl Experiment {
    /// Reads one of the program's own by name, or a file by its path.
    pub fn find(name: &str) -> Result<(Self, String), YamlError> {
        let validator = compile_schema(SCHEMA);
        let (document, text) = match OWN.iter().find(|(own, _)| *own == name) {
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
        for (i, m) in experiment.must.iter().enumerate() {
            let runs = [Some(m.run), m.times_of];
            if let Some(missing) = runs.into_iter().flatten().find(|r| !experiment.runs.contains(r)) {
                let what = format!("the run {} is not among the experiment's runs", missing.name());
                return Err(document.error_at(&format!("/must/{i}"), what));
            }
            if [m.is, m.at_least, m.at_most].iter().all(Option::is_none) {
                return Err(
                    document.error_at(&format!("/must/{i}"), "expected `is`, `at_least` or `at_most`")
                );
            }
        }
        for (i, m) in experiment.script.iter().enumerate() {
            if let Some(plan) = m.plan.as_ref().filter(|p| !experiment.plans.iter().any(|s| s.name == **p)) {
                return Err(document.error_at(&format!("/script/{i}/plan"), format!("unknown plan {plan:?}")));
            }
            let known = basaltgw_simulator::fleet::nodes(&experiment.fleet);
            for (key, name) in [("node", &m.node), ("to", &m.to)] {
                if let Some(name) = name.as_ref().filter(|n| !known.iter().any(|k| k.name == **n)) {
                    return Err(
                        document.error_at(&format!("/script/{i}/{key}"), format!("unknown node {name:?}"))
                    );
                }
            }
        }
        Ok((experiment, text))
    }

    /// A run of it.
    pub fn setup(&self, variant: Variant, times: usize, seed: u64) -> Setup {
        let mut fleet = self.fleet.clone();
        fleet.zones *= times;
        let grown = |of: usize, spare: usize| (of - spare) * times + spare;
        let (districts, spares) = (fleet.districts, fleet.spare_districts);
        fleet.districts = grown(districts, spares);
        // Spares come last: their numbers move up with the size.
        let number = |d: usize| if d >= districts - spares { d + fleet.districts - districts } else { d };
        let plans = self.plans.iter().map(|p| PlanShape {
            districts: (0..times)
                .flat_map(|k| {
                    p.districts
                        .iter()
                        .filter(|d| **d < districts - spares)
                        .map(move |d| d + k * (districts - spares))
                })
                .chain(p.districts.iter().filter(|d| **d >= districts - spares).map(|d| number(*d)))
                .collect(),
            ..p.clone()
        });
        let plans = plans.collect();
        let mut script = self.script.clone();
        for m in &mut script {
            for name in [&mut m.node, &mut m.to].into_iter().flatten() {
                if let Some(d) = name.strip_prefix("district-").and_then(|d| d.parse::<usize>().ok()) {
                    *name = format!("district-{}", number(d));
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
            script.retain(|m| !changes.contains(&m.what));
        }
        let usual = basaltgw_hierarchy::Settings {
            successes_per_step: 4,
            idle_step_duration: 2_000.0,
            ..Default::default()
        };
        let tree = match (self.on, variant) {
            // Real routers go by portions; as fast as they can comes nearest to at once.
            (On::Sockets, Variant::AtOnce) => basaltgw_hierarchy::Settings {
                successes_per_step: 1,
                idle_step_duration: 0.0,
                quiet_period: 0.0,
                handover_duration: 0.0,
                ..usual
            },
            (On::Sockets, _) => basaltgw_hierarchy::Settings {
                successes_per_step: 2,
                idle_step_duration: 500.0,
                quiet_period: 500.0,
                ..usual
            },
            (On::Simulated | On::Fleet, _) => usual,
        };
        let cold = basaltgw_hierarchy::SlowStart {
            initial_share: fleet.rules.cold_parent.share,
            ramp_duration: fleet.rules.cold_parent.span_ms,
        };
        Setup {
            fleet,
            load: self.load.clone(),
            script,
            plans,
            tree: basaltgw_hierarchy::Settings { slow_start: cold, ..tree },
            length_ms: self.length_ms,
            staged: variant != Variant::AtOnce,
            loop_detection: variant != Variant::Blind,
            seed,
        }
    }
}

#[cfg(test)]
mod tests;
