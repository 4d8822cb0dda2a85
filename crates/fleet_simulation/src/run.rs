//! A whole run: a fleet that is founded, asked something, troubled, and judged; its figures.

use crate::check::Findings;
use crate::count::{Counts, Grown, Meter, Second};
use crate::fleet::{Fleet, Shape};
use crate::links::Net;
use crate::mesh::{Mesh, MeshSettings};
use crate::party::{Found, Party};
use crate::sparse::{list, Sparse, SparseSettings};
use crate::trouble::{Many, Trouble};
use crate::world::{Log, World, WorldSettings};
use crate::{micros, Micros};
use basaltgw_config::fleet::FleetLimits;
use basaltgw_transport::Limits;
use std::collections::{BTreeMap, BTreeSet};

/// What runs at each router.
#[derive(Clone, Debug)]
pub enum Kind {
    /// The control part with links to all that are listed.
    Mesh(MeshSettings),
    /// The overlay, with links to a few.
    Sparse(SparseSettings),
}

impl Kind {
    /// Bounds of links.
    fn limits(&self) -> &FleetLimits {
        match self {
            Self::Mesh(mesh) => &mesh.limits,
            Self::Sparse(sparse) => &sparse.limits,
        }
    }
}

/// A run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// How large the fleet is.
    pub shape: Shape,
    /// All chance comes from it.
    pub seed: u64,
    /// Seconds before the first word: founding.
    pub settle: f64,
    /// Seconds that are measured, from then on.
    pub seconds: f64,
    /// Seconds after them in which words may still get round.
    pub rest: f64,
    /// Purges a second.
    pub purges: f64,
    /// Who hears them, and after how many milliseconds.
    pub log: (Log, (f64, f64)),
    /// Troubles of the seconds that are measured, and those of a script.
    pub many: Many,
    /// See `many`.
    pub script: Vec<Trouble>,
    /// What runs.
    pub kind: Kind,
    /// The lines.
    pub net: Net,
    /// The least and the most milliseconds of a commit.
    pub disk: (f64, f64),
    /// Processor time, which is not the same in two runs, is measured.
    pub cpu: bool,
    /// The program's allocator, if it tells.
    pub grown: Option<Grown>,
}

impl Setup {
    /// A quiet mesh of so many routers.
    pub fn mesh(routers: usize, seed: u64) -> Self {
        Self {
            shape: Shape::of(routers),
            seed,
            settle: 10.0,
            seconds: 10.0,
            rest: 7.0,
            purges: 0.0,
            log: (Log::Everyone(0.0), (5.0, 150.0)),
            many: Many::default(),
            script: Vec::new(),
            kind: Kind::Mesh(MeshSettings::default()),
            net: Net::default(),
            disk: (0.3, 3.0),
            cpu: false,
            grown: None,
        }
    }

    /// A quiet fleet of so many routers with an overlay.
    pub fn sparse(routers: usize, seed: u64) -> Self {
        Self { kind: Kind::Sparse(SparseSettings::default()), ..Self::mesh(routers, seed) }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// By name; per router and second of those measured, unless the name says otherwise. Of control machines alone with `control_` before.
    pub flat: BTreeMap<String, f64>,
    /// By name, one for each second of the run: the mean over routers, or the most of any.
    pub series: BTreeMap<String, Vec<f64>>,
}

/// Runs it.
///
/// # Errors
/// If the setup can't be.
pub fn run(setup: &Setup) -> Result<Figures, String> {
    let found: Box<Found> = match &setup.kind {
        Kind::Mesh(mesh) => Box::new(|start, out| {
            let (party, table) = Mesh::start(mesh, start, out)?;
            Ok((Box::new(party) as Box<dyn Party>, table))
        }),
        Kind::Sparse(sparse) => {
            let list = list(&Fleet::new(&setup.shape, setup.seed)?, sparse.shape)?;
            Box::new(move |start, out| {
                let party = Sparse::start(sparse, &list, start, out)?;
                Ok((Box::new(party) as Box<dyn Party>, None))
            })
        }
    };
    run_with(setup, &found).map(|(figures, _)| figures)
}

/// Runs other parties in the same way.
///
/// # Errors
/// If the setup can't be, or a party can't be started.
pub fn run_with(setup: &Setup, found: &Found) -> Result<(Figures, Findings), String> {
    let fleet = Fleet::new(&setup.shape, setup.seed)?;
    let limits = setup.kind.limits();
    let (begin, seconds) = (setup.settle * 1_000.0, setup.seconds * 1_000.0);
    let set = WorldSettings {
        net: setup.net.clone(),
        limits: Limits {
            max_queued_frames: limits.lane_frames,
            max_queued_bytes: limits.lane_bytes,
            max_frame_bytes: limits.frame_bytes,
            ring_entries: limits.ring,
        },
        disk: setup.disk,
        hop: 0.05,
        begin: 1_000.0,
        log: setup.log,
        purges: (setup.purges, (begin, begin + seconds)),
        within: 6_100.0,
    };
    let span = (micros(begin), micros(begin + seconds));
    let mut troubles = setup.many.draw(&fleet, setup.seed, span);
    troubles.extend(setup.script.iter().cloned());
    let meter = Meter { grown: setup.grown, cpu: setup.cpu };
    let mut world = World::new(&fleet, &set, found, troubles, meter, setup.seed);
    let end = micros(begin + seconds + setup.rest * 1_000.0);
    world.run(end)?;
    let findings = world.checker.findings(end);
    Ok((figures(setup, &world, &findings), findings))
}

/// A number that so many of 100 are no greater than.
fn percentile(sorted: &[f64], part: f64) -> f64 {
    let at = (sorted.len() as f64 * part / 100.0).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}

type Column = (&'static str, fn(&Second) -> f64);

const COLUMNS: [Column; 9] = [
    ("frames_out", |s| f64::from(s.frames_out)),
    ("frames_in", |s| f64::from(s.frames_in)),
    ("payload_out", |s| s.payload_out as f64),
    ("wire_bytes", |s| s.wire() as f64),
    ("alive_out", |s| f64::from(s.alive_out)),
    ("commits", |s| f64::from(s.commits)),
    ("events", |s| f64::from(s.events)),
    ("cpu_ms", |s| s.cpu as f64 / 1e6),
    ("wire_out", |s| s.wire_out as f64),
];

fn figures(setup: &Setup, world: &World, findings: &Findings) -> Figures {
    let counts: &Counts = &world.links.counts;
    let mut flat = BTreeMap::new();
    let mut series = BTreeMap::new();
    let routers = counts.seconds.len();
    let (first, last) = (setup.settle as usize, (setup.settle + setup.seconds) as usize);
    let none = Second::default();
    let whole = (setup.settle + setup.seconds + setup.rest) as usize;
    let everyone: Vec<usize> = (0..routers).collect();
    let controls: Vec<usize> = world.controls().collect();
    for (prefix, who) in [("", &everyone), ("control_", &controls)] {
        for (name, of) in COLUMNS {
            let one = |no: usize, second: usize| of(counts.seconds[no].get(second).unwrap_or(&none));
            let mean = |second| who.iter().map(|no| one(*no, second)).sum::<f64>() / who.len().max(1) as f64;
            let most = |second| who.iter().map(|no| one(*no, second)).fold(0.0, f64::max);
            let (means, mosts): (Vec<f64>, Vec<f64>) = (0..whole).map(|s| (mean(s), most(s))).unzip();
            let within = |all: &[f64]| all.get(first..last).unwrap_or_default().to_vec();
            let (inner, peaks) = (within(&means), within(&mosts));
            let founding = mosts.iter().take(first).copied().fold(0.0, f64::max);
            let mut all: Vec<f64> = who.iter().flat_map(|no| (first..last).map(|s| one(*no, s))).collect();
            all.sort_by(f64::total_cmp);
            let row = |no: &usize| (first..last).map(|s| one(*no, s)).sum::<f64>();
            let busiest = who.iter().map(row).fold(0.0, f64::max) / (last - first).max(1) as f64;
            let name = format!("{prefix}{name}");
            flat.insert(format!("{name}_mean"), inner.iter().sum::<f64>() / inner.len().max(1) as f64);
            flat.insert(format!("{name}_p99"), percentile(&all, 99.0));
            flat.insert(format!("{name}_busiest_mean"), busiest);
            flat.insert(format!("{name}_worst_second"), peaks.into_iter().fold(0.0, f64::max));
            flat.insert(format!("{name}_worst_founding"), founding);
            series.insert(format!("{name}_mean"), means);
            series.insert(format!("{name}_most"), mosts);
        }
        let links: Vec<f64> = who.iter().map(|no| world.links.many(*no) as f64).collect();
        let states = who.iter().map(|no| counts.state[*no].1 as f64).fold(0.0, f64::max);
        flat.insert(format!("{prefix}links_mean"), links.iter().sum::<f64>() / links.len().max(1) as f64);
        flat.insert(format!("{prefix}links_most"), links.into_iter().fold(0.0, f64::max));
        flat.insert(format!("{prefix}state_bytes_most"), states);
    }
    let mut put = |name: &str, value: f64| _ = flat.insert(name.to_string(), value);
    let tables: Vec<Micros> = world.tables().flatten().collect();
    put("routers", routers as f64);
    put("founded", tables.len() as f64);
    put("founded_last_ms", tables.iter().max().map_or(-1.0, |at| crate::ms(*at)));
    put("state_bytes_mean", counts.state.iter().map(|(now, _)| *now as f64).sum::<f64>() / routers as f64);
    put("connections_most", counts.most_open.iter().copied().max().unwrap_or(0) as f64);
    put("links_least", (0..routers).map(|no| world.links.many(no)).min().unwrap_or(0) as f64);
    put("waiting_most", counts.most_waiting.iter().copied().max().unwrap_or(0) as f64);
    for (name, many) in counts.links.all() {
        put(&format!("links_{name}"), many as f64);
    }
    put("events_in_all", world.events() as f64);
    put("changes", findings.changes.made as f64);
    put("changes_lost", findings.changes.lost() as f64);
    put("changes_everywhere_median_ms", percentile(&findings.changes.everywhere, 50.0));
    put("changes_everywhere_last_ms", percentile(&findings.changes.everywhere, 100.0));
    put("words", findings.words as f64);
    put("lost", findings.lost.len() as f64);
    let distinct = |all: BTreeSet<usize>| all.len() as f64;
    put("lost_words", distinct(findings.lost.iter().map(|(word, _)| *word).collect()));
    put("lost_routers", distinct(findings.lost.iter().map(|(_, no)| *no).collect()));
    put("settled", findings.settled as f64);
    put("twice", findings.twice as f64);
    put("twice_old", findings.twice_old as f64);
    put("late", findings.late as f64);
    put("late_settled", findings.late_settled as f64);
    put("unknown", findings.unknown as f64);
    put("everywhere", findings.everywhere.len() as f64);
    put("everywhere_median_ms", percentile(&findings.everywhere, 50.0));
    put("everywhere_p99_ms", percentile(&findings.everywhere, 99.0));
    put("everywhere_last_ms", percentile(&findings.everywhere, 100.0));
    for (name, many) in world.party_counts().flatten() {
        *flat.entry(format!("party_{name}_sum")).or_insert(0.0) += many as f64;
    }
    Figures { flat, series }
}
