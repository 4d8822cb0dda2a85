//! Where the fleet is going (`on: capacity`): what each part takes as one axis grows, curves through it, and what they come to at
//! the size that is expected.
//!
//! - [`data`]: the data path, measured with the decision module in this process;
//! - [`control`]: the control part of a mesh, and [`overlay`]: that of routers linked to a few, both in simulated time;
//! - [`side_by_side`]: many runs at once;
//! - [`real`]: real routers, processes on loopback, if asked;
//! - [`fit`]: curves; [`table`]: tables and charts; [`page`]: holds a page's figures against the tables.

mod control;
mod data;
#[cfg(test)]
mod file_tests;
mod fit;
#[cfg(test)]
mod fit_tests;
mod meter;
#[cfg(test)]
mod meter_tests;
mod overlay;
#[cfg(test)]
mod overlay_tests;
pub mod page;
mod real;
mod row;
mod side_by_side;
#[cfg(test)]
mod side_by_side_tests;
mod table;
mod troubles;

use crate::experiment::{is_of_form, text_of, Must, Variant};
use crate::out::{short, Origin};
use crate::runs::{binary, held, Done};
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use fit::{fit, Fit};
use row::{Kind, Row};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

/// How much is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sizes {
    data: data::Sizes,
    control: control::Sizes,
    overlay: overlay::Sizes,
    /// What must hold at these sizes, besides what always must.
    must: Vec<Must>,
}

/// See [`Sizes`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BySize {
    quick: Sizes,
    full: Sizes,
}

/// What a figure may come to; a line in its chart.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Along what.
    pub axis: String,
    /// Which figure.
    pub figure: String,
    /// No more than this.
    pub at_most: f64,
}

/// The experiment's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    #[allow(dead_code)] // Read before the rest, to tell the form of the file.
    on: String,
    seed: u64,
    expected: data::Expected,
    sizes: BySize,
    /// Where each axis is expected to be: curves are told there.
    at: BTreeMap<String, f64>,
    budgets: Vec<Budget>,
    must: Vec<Must>,
    shown: Vec<String>,
}

/// How it is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Under a minute.
    pub quick: bool,
    /// Real routers too.
    pub real: bool,
    /// Another seed than the file's.
    pub seed: Option<u64>,
    /// Where tables and charts are kept.
    pub out: Option<&'a Path>,
}

/// A curve through one figure along one axis.
pub struct Curve {
    /// Along what.
    pub axis: &'static str,
    /// Which figure.
    pub figure: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// The points.
    pub points: Vec<(f64, f64)>,
    /// The curve, or why there is none.
    pub fit: Result<Fit, String>,
    /// Where the axis is expected to be.
    pub at: Option<f64>,
    /// What it may come to.
    pub budget: Option<f64>,
}

impl Curve {
    /// Its name where the axis is expected to be.
    fn name(&self, at: f64) -> String {
        format!("{} {}~{at}", self.figure, self.axis)
    }
}

/// The one that the program brings along.
pub const OWN: (&str, &str) = ("capacity", include_str!("../../experiments/capacity.yaml"));

/// Whether it is of this form.
pub fn is(name: &str) -> bool {
    is_of_form(OWN, name, "capacity")
}

/// Reads it, by its name or its file.
pub fn find(name: &str) -> Result<(Experiment, String), YamlError> {
    let text = text_of(OWN, name).unwrap_or_default();
    let document = Document::parse(name, &text, &compile_schema("{}"))?;
    let experiment: Experiment = document.deserialize()?;
    let e = &experiment.expected;
    let sizes = [("routers", e.routers), ("caches", e.caches), ("zones", e.zones)];
    for (key, n) in sizes
        .into_iter()
        .chain([("caches_per_parent", e.caches_per_parent), ("objects_asked", e.objects_asked)])
    {
        if !(1..=100_000).contains(&n) {
            let what = format!("expected from 1 to 100000, found {n}");
            return Err(document.error_at(&format!("/expected/{key}"), what));
        }
    }
    for (key, n) in [("requests_per_s", e.requests_per_s), ("purges_per_s", e.purges_per_s)] {
        if !(n.is_finite() && n > 0.0) {
            return Err(document.error_at(&format!("/expected/{key}"), format!("expected over 0, found {n}")));
        }
    }
    for (size, sizes) in [("quick", &experiment.sizes.quick), ("full", &experiment.sizes.full)] {
        let Sizes { data, control, overlay, .. } = sizes;
        let lists = [
            ("data/caches", &data.caches),
            ("data/servers", &data.servers),
            ("data/open", &data.open),
            ("data/purges", &data.purges),
            ("data/objects", &data.objects),
            ("data/routers", &data.routers),
            ("control/mesh_routers", &control.mesh_routers),
            ("control/mesh_purges", &control.mesh_purges),
            ("control/mesh_restarts", &control.mesh_restarts),
            ("control/mesh_changes", &control.mesh_changes),
            ("overlay/routers", &overlay.routers),
            ("overlay/purges", &overlay.purges),
            ("overlay/places/sites", &overlay.places.sites),
            ("overlay/places/zones", &overlay.places.zones),
            ("overlay/places/regions", &overlay.places.regions),
            ("overlay/losses", &overlay.losses),
        ];
        for (key, list) in lists {
            let rising = list.windows(2).all(|w| w[0] < w[1]);
            if list.len() < fit::LEAST_POINTS || !rising || list[0] == 0 {
                let what = format!("expected {} rising sizes over 0, or more", fit::LEAST_POINTS);
                return Err(document.error_at(&format!("/sizes/{size}/{key}"), what));
            }
        }
        if data.requests < 10 {
            let what = format!("expected 10 or more, found {}", data.requests);
            return Err(document.error_at(&format!("/sizes/{size}/data/requests"), what));
        }
    }
    let by_size =
        [("/sizes/quick", &experiment.sizes.quick.must), ("/sizes/full", &experiment.sizes.full.must)];
    let musts = [("", &experiment.must)].into_iter().chain(by_size);
    for (part, i, m) in musts.flat_map(|(p, all)| all.iter().enumerate().map(move |(i, m)| (p, i, m))) {
        if m.run != Variant::Described || m.times_of.is_some() || [m.is, m.at_least, m.at_most] == [None; 3] {
            let what = "expected `is`, `at_least` or `at_most` of the run described";
            return Err(document.error_at(&format!("{part}/must/{i}"), what));
        }
    }
    Ok((experiment, text))
}

/// Measures everything, tells it, and keeps it; true if all that must hold did.
pub fn play(name: &str, asked: Asked, origin: impl Fn(u64, &str) -> Origin) -> Result<bool, String> {
    let (e, text) = find(name).map_err(|e| e.to_string())?;
    let seed = asked.seed.unwrap_or(e.seed);
    println!("{}: {} Seed {seed}.", e.name, e.about);
    let begun = Instant::now();
    let sizes = if asked.quick { &e.sizes.quick } else { &e.sizes.full };
    let mut rows = data::rows(&e.expected, &sizes.data, seed);
    rows.extend(control::rows(&sizes.control, seed)?);
    rows.extend(overlay::rows(&sizes.overlay, seed)?);
    rows.extend(side_by_side::load());
    if asked.real {
        rows.extend(real::rows(&binary()?, seed)?);
    }
    let curves = curves(&rows, &e);
    told(&rows, &curves);
    let mut figures: BTreeMap<String, f64> = rows.iter().map(|r| (r.name(), r.value)).collect();
    for c in &curves {
        if let (Ok(fit), Some(at)) = (&c.fit, c.at) {
            if fit.sound_at(at) {
                figures.insert(c.name(at), fit.at(at));
            }
        }
    }
    figures.insert("wall_s".into(), begun.elapsed().as_secs_f64());
    let (routers, variant) = (e.expected.routers, Variant::Described);
    let done = Done { routers, variant, row: figures, seconds: Vec::new(), words: Vec::new() };
    let mut good = 0;
    let all = || e.must.iter().chain(&sizes.must);
    for must in all() {
        let (holds, line) = held(must, &[&done])?;
        good += usize::from(holds);
        println!("  {} {line}", if holds { "held  " } else { "FAILED" });
    }
    if let Some(dir) = asked.out {
        table::keep(dir, &e.name, &rows, &curves, &origin(seed, &text))?;
    }
    let shown = e.shown.iter().filter_map(|n| Some(format!("{n} {}", short(*done.row.get(n)?))));
    println!("{}: {good} of {} held; {}", e.name, all().count(), shown.collect::<Vec<_>>().join(", "));
    Ok(good == all().count())
}

/// A curve through each figure that has points along an axis.
fn curves(rows: &[Row], e: &Experiment) -> Vec<Curve> {
    let mut curves: Vec<Curve> = Vec::new();
    for r in rows {
        let same = |c: &&mut Curve| (c.axis, c.figure) == (r.axis, r.figure);
        match curves.iter_mut().find(same) {
            Some(c) => c.points.push((r.x, r.value)),
            None => curves.push(Curve {
                axis: r.axis,
                figure: r.figure,
                unit: r.unit,
                points: vec![(r.x, r.value)],
                fit: Err(String::new()),
                at: e.at.get(r.axis).copied(),
                budget: e
                    .budgets
                    .iter()
                    .find(|b| b.axis == r.axis && b.figure == r.figure)
                    .map(|b| b.at_most),
            }),
        }
    }
    curves.retain(|c| c.points.len() > 1 && c.axis != troubles::TROUBLE);
    for c in &mut curves {
        let reckoned = |r: &Row| (r.axis, r.figure, r.kind) == (c.axis, c.figure, Kind::Reckoned);
        c.fit = match rows.iter().any(reckoned) {
            true => Err("worked out, not measured".into()),
            false => fit(&c.points),
        };
    }
    curves
}

fn told(rows: &[Row], curves: &[Curve]) {
    for r in rows {
        println!(
            "  {:18} {:>10} {:26} {:>14} {:9} {}",
            r.axis,
            short(r.x),
            r.figure,
            short(r.value),
            r.unit,
            r.kind.name()
        );
    }
    for c in curves {
        match (&c.fit, c.at) {
            (Ok(fit), Some(at)) => println!(
                "  {} by {}: {}; at {}: {} {}{}",
                c.figure,
                c.axis,
                fit.words(),
                short(at),
                short(fit.at(at)),
                c.unit,
                if fit.sound_at(at) { "" } else { " (not to reckon with)" }
            ),
            (Ok(fit), None) => println!("  {} by {}: {}", c.figure, c.axis, fit.words()),
            (Err(e), _) => println!("  {} by {}: no curve: {e}", c.figure, c.axis),
        }
    }
}
