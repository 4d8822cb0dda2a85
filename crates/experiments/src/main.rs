//! basaltgw-experiments: runs experiments on simulated and emulated fleets, and compares their figures with bounds.
#![forbid(unsafe_code)]

mod capacity;
mod command_line;
mod comparison;
mod experiment;
mod fleet;
mod out;
mod partial;
mod runs;
mod soak;

use command_line::{Command, RunCommand, HELP};
use experiment::Experiment;
use std::path::Path;
use std::process::ExitCode;

/// Exit code for bad input, and for runs that could not be completed.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    // An experiment may run thousands of control planes in this process; their log lines would hide the figures.
    env_logger::Builder::from_env(env_logger::Env::new().filter_or("GW_LOG", "info,basaltgw_control=warn"))
        .format_timestamp(None)
        .init();
    let outcome = match command_line::parse() {
        Ok(command) => execute(command),
        Err(e) => Err(format!("{e}\n\n{HELP}")),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("basaltgw-experiments: {e}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

/// Executes a command; returns false if a bound is not met or a page does not agree with its tables.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Help => {
            print!("{HELP}");
            Ok(true)
        }
        Command::List => list().map(|()| true),
        Command::Run(command) => run(&command),
        Command::Report(dir) => write_report(&dir).map(|()| true),
        Command::Page { file, dir } => check_page(&file, &dir),
    }
}

/// Prints the names and purposes of the built-in experiments.
fn list() -> Result<(), String> {
    for (name, _) in experiment::BUILT_IN {
        let (experiment, _) = Experiment::load(name).map_err(|e| e.to_string())?;
        println!("{name}: {}", experiment.about);
    }
    let (partial, _) = partial::load(partial::BUILT_IN.0).map_err(|e| e.to_string())?;
    println!("{}: {}", partial.name, partial.about);
    let (soak, _) = soak::load(soak::BUILT_IN.0).map_err(|e| e.to_string())?;
    println!("{}: {}", soak.name, soak.about);
    let (capacity, _) = capacity::load(capacity::BUILT_IN.0).map_err(|e| e.to_string())?;
    println!("{}: {}", capacity.name, capacity.about);
    for (name, _) in fleet::BUILT_IN {
        match fleet::load(name).map_err(|e| e.to_string())? {
            Some((experiment, _)) => println!("{name}: {}", experiment.about),
            None => return Err(format!("{name}: expected `on: fleet`")),
        }
    }
    Ok(())
}

/// Runs an experiment of any form; returns whether all bounds are met.
fn run(command: &RunCommand) -> Result<bool, String> {
    let RunCommand { name, quick, real, seed, out, soak } = command;
    let (is_capacity, is_soak) = (capacity::is_capacity(name), soak::is_soak(name));
    if *real && !is_capacity {
        return Err(format!("--real: {name} has no real routers; only a capacity experiment has"));
    }
    if soak.any() && !is_soak {
        return Err(format!("--seeds, --jobs, --breaks and --router: {name} is not a soak experiment"));
    }
    if is_capacity {
        let options = capacity::Options { quick: *quick, real: *real, seed: *seed, out: out.as_deref() };
        return capacity::run(name, options);
    }
    if !is_soak {
        return comparison::run(command);
    }
    let options = soak::Options {
        quick: *quick,
        seed: *seed,
        seeds: soak.seeds.clone(),
        jobs: soak.jobs.unwrap_or(1),
        router: soak.router.clone(),
        out: out.as_deref(),
    };
    match soak.breaks {
        true => soak::check_injected_bugs(name, &options),
        false => soak::run(name, &options),
    }
}

/// Writes `index.html` into a directory and prints its path.
fn write_report(dir: &Path) -> Result<(), String> {
    let page = out::html_report(dir)?;
    let file = dir.join("index.html");
    std::fs::write(&file, page).map_err(|e| format!("{}: {e}", file.display()))?;
    println!("{}", file.display());
    Ok(())
}

/// Compares a page's figures with tables and prints the differences; returns whether all agree.
///
/// # Errors
/// If the page has no marked figure: the check would compare nothing.
fn check_page(file: &Path, dir: &Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let check = capacity::page::check(&text, &capacity::page::Tables::read(dir)?);
    if check.figures == 0 {
        return Err(format!("{}: the page has no figure with a mark", file.display()));
    }
    check.mismatches.iter().for_each(|mismatch| println!("{}: {mismatch}", file.display()));
    println!("page: {} of {} figures agree", check.figures - check.mismatches.len(), check.figures);
    Ok(check.mismatches.is_empty())
}
