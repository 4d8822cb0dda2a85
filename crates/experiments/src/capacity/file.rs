//! The experiment's file: the expected fleet, the sizes to measure, budgets and bounds.

use super::{data, fit, overlay};
use crate::experiment::{check_bounds_of_one_run, has_form, read_text, Bound};
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The sizes at which one form of the experiment measures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Sizes {
    pub(super) data: data::Sizes,
    pub(super) control: super::control::Sizes,
    pub(super) overlay: overlay::Sizes,
    /// Bounds of figures at these sizes, in addition to those of both forms.
    #[serde(rename = "must")]
    pub(super) bounds: Vec<Bound>,
}

/// The sizes of the two forms of the experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SizesByForm {
    pub(super) quick: Sizes,
    pub(super) full: Sizes,
}

/// The budget of a figure, which its chart shows as a line.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The axis of the chart.
    pub axis: String,
    /// The figure.
    pub figure: String,
    /// The maximum of the figure.
    pub at_most: f64,
}

/// The file of a capacity experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment.
    pub name: String,
    /// The purpose of the experiment in a sentence.
    pub about: String,
    #[allow(dead_code)] // `has_form` reads this key.
    on: String,
    pub(super) seed: u64,
    pub(super) expected: data::Expected,
    pub(super) sizes: SizesByForm,
    /// The expected position on each axis, at which curves are evaluated.
    #[serde(rename = "at")]
    pub(super) expected_positions: BTreeMap<String, f64>,
    pub(super) budgets: Vec<Budget>,
    /// Bounds of figures in both forms.
    #[serde(rename = "must")]
    pub(super) bounds: Vec<Bound>,
    /// The figures in the last line of output.
    #[serde(rename = "shown")]
    pub(super) summary_figures: Vec<String>,
}

/// The built-in experiment: name and text of the file.
pub const BUILT_IN: (&str, &str) = ("capacity", include_str!("../../experiments/capacity.yaml"));
/// Range of the counts in the section `expected`.
const EXPECTED_COUNTS: std::ops::RangeInclusive<usize> = 1..=100_000;
/// Minimum of the key `requests`, over which the cost of a decision is averaged.
const MIN_REQUESTS: usize = 10;

/// Whether the experiment has this form.
pub fn is_capacity(name: &str) -> bool {
    has_form(BUILT_IN, name, "capacity")
}

/// Loads the experiment by its name or its file, and returns it with the text of the file.
pub fn load(name: &str) -> Result<(Experiment, String), YamlError> {
    let text = read_text(BUILT_IN, name).unwrap_or_default();
    let document = Document::parse(name, &text, &compile_schema("{}"))?;
    let experiment: Experiment = document.deserialize()?;
    check_expected(&document, &experiment.expected)?;
    check_sizes(&document, "quick", &experiment.sizes.quick)?;
    check_sizes(&document, "full", &experiment.sizes.full)?;
    check_bounds_of_one_run(&document, "", &experiment.bounds)?;
    check_bounds_of_one_run(&document, "/sizes/quick", &experiment.sizes.quick.bounds)?;
    check_bounds_of_one_run(&document, "/sizes/full", &experiment.sizes.full.bounds)?;
    Ok((experiment, text))
}

/// Rejects counts and rates of the expected fleet that are out of range.
fn check_expected(document: &Document, expected: &data::Expected) -> Result<(), YamlError> {
    let counts = [
        ("routers", expected.routers),
        ("caches", expected.caches),
        ("zones", expected.zones),
        ("caches_per_parent", expected.caches_per_parent),
        ("objects_asked", expected.requested_objects),
    ];
    for (key, n) in counts {
        if !EXPECTED_COUNTS.contains(&n) {
            let message =
                format!("expected from {} to {}, found {n}", EXPECTED_COUNTS.start(), EXPECTED_COUNTS.end());
            return Err(document.error_at(&format!("/expected/{key}"), message));
        }
    }
    let rates = [("requests_per_s", expected.requests_per_s), ("purges_per_s", expected.purges_per_s)];
    for (key, rate) in rates {
        if !(rate.is_finite() && rate > 0.0) {
            let message = format!("expected a number over 0, found {rate}");
            return Err(document.error_at(&format!("/expected/{key}"), message));
        }
    }
    Ok(())
}

/// Rejects lists of sizes that are too short for a curve, not rising or not above 0, and too few requests for an average.
fn check_sizes(document: &Document, form: &str, sizes: &Sizes) -> Result<(), YamlError> {
    let Sizes { data, control, overlay, .. } = sizes;
    let lists = [
        ("data/caches", &data.caches),
        ("data/servers", &data.servers),
        ("data/open", &data.open_requests),
        ("data/purges", &data.purges),
        ("data/objects", &data.objects),
        ("data/routers", &data.routers),
        ("control/mesh_routers", &control.mesh_routers),
        ("control/mesh_purges", &control.mesh_purges),
        ("control/mesh_restarts", &control.mesh_restarts),
        ("control/mesh_changes", &control.mesh_changes),
        ("overlay/routers", &overlay.routers),
        ("overlay/purges", &overlay.purges),
        ("overlay/places/sites", &overlay.domains.sites),
        ("overlay/places/zones", &overlay.domains.zones),
        ("overlay/places/regions", &overlay.domains.regions),
        ("overlay/losses", &overlay.losses),
    ];
    for (key, list) in lists {
        let rising = list.windows(2).all(|w| w[0] < w[1]);
        if list.len() < fit::MIN_POINTS || !rising || list[0] == 0 {
            let message =
                format!("expected at least {} rising sizes over 0, found {list:?}", fit::MIN_POINTS);
            return Err(document.error_at(&format!("/sizes/{form}/{key}"), message));
        }
    }
    if data.requests < MIN_REQUESTS {
        let message = format!("expected {MIN_REQUESTS} or more, found {}", data.requests);
        return Err(document.error_at(&format!("/sizes/{form}/data/requests"), message));
    }
    Ok(())
}
