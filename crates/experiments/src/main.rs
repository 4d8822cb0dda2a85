//! basaltgw-experiments: experiments on a fleet of this repository's own.
#![forbid(unsafe_code)]

mod capacity;
mod experiment;
mod fleet;
mod out;
mod partial;
mod runs;
mod soak;

use experiment::{Experiment, Must, Variant, OWN};
use out::{chart, csv, report, Line, Origin};
use runs::{all, held, Done};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
basaltgw-experiments: experiments on an emulated fleet

Usage: basaltgw-experiments COMMAND

Commands:
  list                   the experiments that the program brings along
  run EXPERIMENT         play one, by name or by its file; ends 0 if all that must hold did, 1 if not, 2 for bad input
      --quick            under a minute
      --real             capacity: real routers too, processes on loopback (some minutes more; cargo build --release makes their program)
      --seed N           another seed than the file's
      --seeds A..B       soak: all seeds from A to B
      --jobs N           soak: so many seeds side by side
      --breaks           soak: play a program built with the feature `breaks`; ends 0 if every break is caught
      --router PROGRAM   soak: another router program than the one beside this one
      --out DIR          keep a table (CSV) and charts (SVG) there
  page FILE DIR          hold the marked figures of a page against a folder's tables of `capacity`; ends 0 if all agree, 1 if not
  report DIR             one page (index.html) of the tables and charts in a folder
  demo                   the main job for a newcomer: a fleet, load, a change of the tree, a summary

Options:
  -h, --help             print this
";

enum Command {
    List,
    Run { name: String, quick: bool, real: bool, seed: Option<u64>, out: Option<PathBuf>, soak: SoakOptions },
    Report(PathBuf),
    Page(PathBuf, PathBuf),
    Help,
}

/// Options of the soak experiment alone.
#[derive(Default)]
struct SoakOptions {
    seeds: Option<std::ops::RangeInclusive<u64>>,
    jobs: Option<usize>,
    breaks: bool,
    router: Option<PathBuf>,
}

impl SoakOptions {
    fn given(&self) -> bool {
        self.breaks || self.seeds.is_some() || self.jobs.is_some() || self.router.is_some()
    }
}

/// Reads `A..B`, both included.
fn seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let wrong = || format!("expected A..B with A up to B, found {text:?}");
    let (from, to) = text.split_once("..").ok_or_else(wrong)?;
    let (from, to) = (from.parse::<u64>().map_err(|_| wrong())?, to.parse::<u64>().map_err(|_| wrong())?);
    if from > to {
        return Err(wrong());
    }
    Ok(from..=to)
}

fn command() -> Result<Command, String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let say = |e: pico_args::Error| e.to_string();
    let command = match args.subcommand().map_err(say)?.as_deref() {
        Some("list") => Command::List,
        Some("run") => {
            let (quick, seed) = (args.contains("--quick"), args.opt_value_from_str("--seed").map_err(say)?);
            let (real, out) = (args.contains("--real"), args.opt_value_from_str("--out").map_err(say)?);
            let soak = SoakOptions {
                breaks: args.contains("--breaks"),
                seeds: args.opt_value_from_fn("--seeds", seeds).map_err(say)?,
                jobs: args.opt_value_from_str("--jobs").map_err(say)?,
                router: args.opt_value_from_str("--router").map_err(say)?,
            };
            let name: String = args.free_from_str().map_err(|_| "run: expected an experiment".to_string())?;
            Command::Run { name, quick, real, seed, out, soak }
        }
        Some("report") => {
            Command::Report(args.free_from_str().map_err(|_| "report: expected a folder".to_string())?)
        }
        Some("page") => {
            let mut next =
                || args.free_from_str().map_err(|_| "page: expected a file and a folder".to_string());
            Command::Page(next()?, next()?)
        }
        Some("demo") => {
            let (name, soak) = ("reshape-simulated".into(), SoakOptions::default());
            Command::Run { name, quick: true, real: false, seed: None, out: None, soak }
        }
        Some(other) => return Err(format!("unknown command {other:?}")),
        None => return Err("expected a command".into()),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
    }
}

fn main() -> ExitCode {
    // Control parts run here by the thousand: what each says of the others would bury the figures.
    env_logger::Builder::from_env(env_logger::Env::new().filter_or("GW_LOG", "info,basaltgw_control=warn"))
        .format_timestamp(None)
        .init();
    let bad = |e: String| {
        eprintln!("basaltgw-experiments: {e}");
        ExitCode::from(2)
    };
    match command() {
        Ok(Command::Help) => print!("{HELP}"),
        Ok(Command::List) => {
            for (name, _) in OWN {
                match Experiment::find(name) {
                    Ok((e, _)) => println!("{name}: {}", e.about),
                    Err(e) => return bad(e.to_string()),
                }
            }
            match partial::find(partial::OWN.0) {
                Ok((e, _)) => println!("{}: {}", e.name, e.about),
                Err(e) => return bad(e.to_string()),
            }
            match soak::find(soak::OWN.0) {
                Ok((e, _)) => println!("{}: {}", e.name, e.about),
                Err(e) => return bad(e.to_string()),
            }
            match capacity::find(capacity::OWN.0) {
                Ok((e, _)) => println!("{}: {}", e.name, e.about),
                Err(e) => return bad(e.to_string()),
            }
            for (name, _) in fleet::OWN {
                match fleet::find(name) {
                    Ok(Some((e, _))) => println!("{name}: {}", e.about),
                    Ok(None) => return bad(format!("{name}: expected `on: fleet`")),
                    Err(e) => return bad(e.to_string()),
                }
            }
        }
        Ok(Command::Run { name, real: true, .. }) if !capacity::is(&name) => {
            return bad(format!("--real: {name} has no real routers"));
        }
        Ok(Command::Run { name, soak, .. }) if soak.given() && !soak::is(&name) => {
            return bad(format!("--seeds, --jobs and --router: {name} is no soak"));
        }
        Ok(Command::Run { name, quick, seed, out, soak, .. }) if soak::is(&name) => {
            let SoakOptions { seeds, jobs, breaks, router } = soak;
            let asked =
                soak::Asked { quick, seed, seeds, jobs: jobs.unwrap_or(1), router, out: out.as_deref() };
            let played =
                if breaks { soak::play_breaks(&name, &asked) } else { soak::play(&name, &asked, origin) };
            match played {
                Ok(true) => {}
                Ok(false) => return ExitCode::FAILURE,
                Err(e) => return bad(e),
            }
        }
        Ok(Command::Run { name, quick, real, seed, out, .. }) => {
            match play(&name, (quick, real), seed, out.as_deref()) {
                Ok(true) => {}
                Ok(false) => return ExitCode::FAILURE,
                Err(e) => return bad(e),
            }
        }
        Ok(Command::Report(dir)) => {
            let page = report(&dir).and_then(|page| {
                let file = dir.join("index.html");
                std::fs::write(&file, page).map_err(|e| format!("{}: {e}", file.display())).map(|()| file)
            });
            match page {
                Ok(file) => println!("{}", file.display()),
                Err(e) => return bad(e),
            }
        }
        Ok(Command::Page(file, dir)) => match page(&file, &dir) {
            Ok(true) => {}
            Ok(false) => return ExitCode::FAILURE,
            Err(e) => return bad(e),
        },
        Err(e) => return bad(format!("{e}\n\n{HELP}")),
    }
    ExitCode::SUCCESS
}

/// Holds a page's figures against tables; true if all agree. One without any would hold nothing.
fn page(file: &Path, dir: &Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let held = capacity::page::hold(&text, &capacity::page::Tables::read(dir)?);
    if held.figures == 0 {
        return Err(format!("{}: no figure with a mark", file.display()));
    }
    held.off.iter().for_each(|off| println!("{}: {off}", file.display()));
    println!("page: {} of {} figures agree", held.figures - held.off.len(), held.figures);
    Ok(held.off.is_empty())
}

/// Plays an experiment; true if all that must hold did. Its last line sums it up.
fn play(
    name: &str,
    (quick, real): (bool, bool),
    seed: Option<u64>,
    out: Option<&Path>,
) -> Result<bool, String> {
    if capacity::is(name) {
        return capacity::play(name, capacity::Asked { quick, real, seed, out }, origin);
    }
    let (played, text) = match fleet::find(name).map_err(|e| e.to_string())? {
        Some((experiment, text)) => (of_fleet(&experiment, quick, seed)?, text),
        None if partial::is(name) => partial::played(name, quick, seed)?,
        None => {
            let (experiment, text) = Experiment::find(name).map_err(|e| e.to_string())?;
            (of_model(&experiment, quick, seed)?, text)
        }
    };
    let Played { name, seed, done, must, figures, shown } = played;
    let mut sizes: Vec<usize> = done.iter().map(|d| d.routers).collect();
    sizes.dedup();
    let (mut good, mut count) = (0, 0);
    for routers in &sizes {
        let runs: Vec<&Done> = done.iter().filter(|d| d.routers == *routers).collect();
        for must in &must {
            let (holds, line) = held(must, &runs)?;
            count += 1;
            good += usize::from(holds);
            println!("  {} {line}", if holds { "held  " } else { "FAILED" });
        }
    }
    if let Some(dir) = out {
        keep(dir, &name, shown, &done, &origin(seed, &text))?;
    }
    let last = done.iter().rev().find(|d| d.variant == Variant::Described);
    let figures: Vec<String> =
        figures.iter().filter_map(|n| Some(format!("{n} {}", out::short(*last?.row.get(n)?)))).collect();
    println!("{name}: {good} of {count} held; {}", figures.join(", "));
    Ok(good == count)
}

/// What was played, and what is said and kept of it.
struct Played {
    name: String,
    seed: u64,
    done: Vec<Done>,
    must: Vec<Must>,
    /// Of the last line.
    figures: Vec<String>,
    /// What the chart by second shows.
    shown: (&'static str, &'static str),
}

fn of_fleet(experiment: &fleet::Experiment, quick: bool, seed: Option<u64>) -> Result<Played, String> {
    let seed = seed.unwrap_or(experiment.seed);
    println!("{}: {} Seed {seed}.", experiment.name, experiment.about);
    let told = |d: &Done| {
        let figure = |n: &String| d.row.get(n).copied().unwrap_or(f64::NAN);
        let shown: Vec<String> =
            experiment.shown.iter().map(|n| format!("{n} {}", out::short(figure(n)))).collect();
        println!("  {} routers, {:9}: {}", d.routers, d.variant.name(), shown.join(", "));
        d.words.iter().for_each(|w| println!("      {w}"));
    };
    let done = fleet::all(experiment, quick, seed, told)?;
    Ok(Played {
        name: experiment.name.clone(),
        seed,
        done,
        must: experiment.must.clone(),
        figures: experiment.shown.clone(),
        shown: ("checkouts served", "share of those first presented"),
    })
}

fn of_model(experiment: &Experiment, quick: bool, seed: Option<u64>) -> Result<Played, String> {
    let seed = seed.unwrap_or(experiment.seed);
    println!("{}: {} Seed {seed}.", experiment.name, experiment.about);
    let told = |d: &Done| {
        let figure = |n: &str| d.row.get(n).copied().unwrap_or(f64::NAN);
        println!(
            "  {:5} routers, {:9}: worth {:.4}, loops offered {:.0} carried {:.0}, archive fills {:.0} of which again {:.0}, \
             rules broken {:.0}, {:.1} s",
            d.routers,
            d.variant.name(),
            figure("worth"),
            figure("loops_offered"),
            figure("loops_carried"),
            figure("archive_fills"),
            figure("archive_fetched_again"),
            figure("rules_broken"),
            figure("wall_s"),
        );
        d.words.iter().for_each(|w| println!("      {w}"));
    };
    let done = all(experiment, quick, seed, told)?;
    let figures = ["worth", "loops_offered", "loops_carried", "archive_fetched_again", "rules_broken"];
    Ok(Played {
        name: experiment.name.clone(),
        seed,
        done,
        must: experiment.must.clone(),
        figures: figures.map(str::to_string).to_vec(),
        shown: ("worth in time", "share of the worth asked"),
    })
}

fn keep(
    dir: &Path,
    name: &str,
    (shown, unit): (&str, &str),
    done: &[Done],
    origin: &Origin,
) -> Result<(), String> {
    let say = |e: std::io::Error| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(say)?;
    std::fs::write(dir.join(format!("{name}.csv")), csv(done, origin)).map_err(say)?;
    let most = done.iter().map(|d| d.routers).max().unwrap_or(0);
    let lines: Vec<Line> = done
        .iter()
        .filter(|d| d.routers == most)
        .map(|d| {
            let points = d.seconds.iter().enumerate().map(|(s, v)| (s as f64, *v));
            (d.variant.name().to_string(), points.collect())
        })
        .collect();
    let title = format!("{name}, {most} routers, seed {}: {shown}", origin.seed);
    chart(&dir.join(format!("{name}-worth.svg")), &title, ("second", unit), &lines)?;
    let described: Vec<&Done> = done.iter().filter(|d| d.variant == Variant::Described).collect();
    if described.len() > 1 {
        let points = described.iter().filter_map(|d| Some((d.routers as f64, *d.row.get("decision_us")?)));
        let lines = [("a decision".to_string(), points.collect())];
        let title = format!("{name}: time of a decision");
        chart(&dir.join(format!("{name}-decision.svg")), &title, ("routers", "microseconds"), &lines)?;
    }
    Ok(())
}

/// What a run of an experiment's text was made from.
fn origin(seed: u64, text: &str) -> Origin {
    let file = format!("{:016x}", basaltgw::hash::fnv1a(text));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    Origin { seed, commit: commit(), cores, file }
}

/// The commit that is checked out, if the program runs within its repository.
fn commit() -> String {
    let asked = std::process::Command::new("git").args(["rev-parse", "--short=9", "HEAD"]).output();
    let text = asked.ok().filter(|o| o.status.success()).and_then(|o| String::from_utf8(o.stdout).ok());
    text.map_or_else(|| "unknown".to_string(), |t| t.trim().to_string())
}
