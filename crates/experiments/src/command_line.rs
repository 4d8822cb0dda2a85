//! The command line: commands and their options.

use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The help text.
pub const HELP: &str = "\
basaltgw-experiments: experiments on simulated and emulated fleets

Usage: basaltgw-experiments COMMAND

Commands:
  list                   list the built-in experiments
  run EXPERIMENT         run an experiment, named or in a file; exit code 0: all bounds met, 1: a bound not met, 2: bad input
      --quick            take less than a minute
      --real             capacity: also measure router processes on loopback (some minutes more; needs cargo build --release)
      --seed N           replace the seed of the file
      --seeds A..B       soak: run all seeds from A to B
      --jobs N           soak: run N seeds at a time
      --breaks           soak: run a program built with the feature `breaks`; exit code 0 if every injected bug is caught
      --router PROGRAM   soak: run another router program than the one beside this one
      --out DIR          write a table (CSV) and charts (SVG) to DIR
  page FILE DIR          compare the marked figures of a page with the tables of `capacity` in DIR; exit code 0: all agree, 1: some do not
  report DIR             write a page (index.html) of the tables and charts in DIR
  demo                   run the quick form of `reshape-simulated`: a fleet under load, a change of its cache tree, a summary

Options:
  -h, --help             print this
";

/// The experiment of the command `demo`.
const DEMO: &str = "reshape-simulated";

/// A command with its arguments.
pub enum Command {
    /// Lists the built-in experiments.
    List,
    /// Runs an experiment.
    Run(RunCommand),
    /// Writes an HTML page of the tables and charts in a directory.
    Report(PathBuf),
    /// Compares a page with the tables in a directory.
    Page {
        /// The page.
        file: PathBuf,
        /// The directory of the tables.
        dir: PathBuf,
    },
    /// Prints the help text.
    Help,
}

/// The arguments of the command `run`.
#[derive(Default)]
pub struct RunCommand {
    /// The name or the file of the experiment.
    pub name: String,
    /// Whether the short form runs.
    pub quick: bool,
    /// Whether router processes are measured as well.
    pub real: bool,
    /// The seed in place of the one in the file.
    pub seed: Option<u64>,
    /// The directory for tables and charts.
    pub out: Option<PathBuf>,
    /// Options of the soak experiment alone.
    pub soak: SoakArguments,
}

/// Options of the soak experiment alone.
#[derive(Default)]
pub struct SoakArguments {
    /// The seeds to run.
    pub seeds: Option<RangeInclusive<u64>>,
    /// Seeds that run at the same time.
    pub jobs: Option<usize>,
    /// Whether to check that injected bugs are caught, in place of an ordinary run.
    pub breaks: bool,
    /// The router program.
    pub router: Option<PathBuf>,
}

impl SoakArguments {
    /// Whether any option of the soak experiment is given.
    pub fn any(&self) -> bool {
        self.breaks || self.seeds.is_some() || self.jobs.is_some() || self.router.is_some()
    }
}

/// Parses a range of seeds, `A..B`; both ends are included.
fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let invalid = || format!("expected A..B with A up to B, found {text:?}");
    let (from, to) = text.split_once("..").ok_or_else(invalid)?;
    let from = from.parse::<u64>().map_err(|_| invalid())?;
    let to = to.parse::<u64>().map_err(|_| invalid())?;
    if from > to {
        return Err(invalid());
    }
    Ok(from..=to)
}

fn message(error: pico_args::Error) -> String {
    error.to_string()
}

/// Parses the command line of the process.
pub fn parse() -> Result<Command, String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let command = match args.subcommand().map_err(message)?.as_deref() {
        Some("list") => Command::List,
        Some("run") => Command::Run(parse_run(&mut args)?),
        Some("report") => {
            Command::Report(args.free_from_str().map_err(|_| "report: expected a directory".to_string())?)
        }
        Some("page") => {
            let mut next =
                || args.free_from_str().map_err(|_| "page: expected a file and a directory".to_string());
            Command::Page { file: next()?, dir: next()? }
        }
        Some("demo") => Command::Run(RunCommand { name: DEMO.into(), quick: true, ..RunCommand::default() }),
        Some(other) => return Err(format!("unknown command {other:?}")),
        None => return Err("expected a command".into()),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
    }
}

fn parse_run(args: &mut pico_args::Arguments) -> Result<RunCommand, String> {
    Ok(RunCommand {
        quick: args.contains("--quick"),
        seed: args.opt_value_from_str("--seed").map_err(message)?,
        real: args.contains("--real"),
        out: args.opt_value_from_str("--out").map_err(message)?,
        soak: SoakArguments {
            breaks: args.contains("--breaks"),
            seeds: args.opt_value_from_fn("--seeds", parse_seeds).map_err(message)?,
            jobs: args.opt_value_from_str("--jobs").map_err(message)?,
            router: args.opt_value_from_str("--router").map_err(message)?,
        },
        // The free argument is what remains after the options.
        name: args.free_from_str().map_err(|_| "run: expected an experiment".to_string())?,
    })
}
