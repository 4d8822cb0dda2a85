//! basaltgw: the router on sockets, from the command line.
#![forbid(unsafe_code)]

mod command_line;
mod plan;

use basaltgw_config::{own_settings, read, Environment, NodeConfig};
use basaltgw_hierarchy::SlowStart;
use basaltgw_node::log_writer::LogWriter;
use basaltgw_node::{placement_report, serve, Own};
use command_line::{Command, HELP};
use std::path::PathBuf;
use std::process::ExitCode;

fn configuration() -> Result<NodeConfig, String> {
    read(&Environment::take()).map_err(|e| e.to_string())
}

/// The project's own settings; the defaults without a file.
fn own(file: Option<PathBuf>, cold: SlowStart) -> Result<Own, String> {
    let settings = file.as_deref().map(|f| own_settings(f, cold).map_err(|e| e.to_string())).transpose()?;
    Ok(Own { file, settings: settings.unwrap_or_default() })
}

/// Checks the configuration and the project's own file, and compiles its placement rules.
fn check_config(with: Option<PathBuf>) -> Result<(), String> {
    let config = configuration()?;
    if let Some(fault) = config.unread.first() {
        return Err(fault.to_string());
    }
    let own = own(with, config.cold())?;
    let fleet = own.settings.fleet.as_ref();
    if let Some(overlay) = fleet.and_then(|fleet| fleet.overlay.as_ref()) {
        overlay.keep(config.settings.purge_convergence_time)?;
    }
    let table = fleet.map(|fleet| plan::compile_table(fleet, None)).transpose()?;
    println!("{}: {} events known, listens at {}", config.name, config.known.len(), config.listen);
    if let (Some(fleet), Some(table)) = (fleet, &table) {
        println!("{}", placement_report::summary(fleet, table));
    }
    Ok(())
}

fn run_router(with: Option<PathBuf>) -> Result<(), String> {
    let config = configuration()?;
    let own = own(with, config.cold())?;
    let counters = serve(config, own).map_err(|e| e.to_string())?;
    log::info!("ended: {counters}");
    Ok(())
}

fn main() -> ExitCode {
    let log = env_logger::Env::new().filter_or("GW_LOG", "info");
    let target = env_logger::Target::Pipe(Box::new(LogWriter));
    env_logger::Builder::from_env(log).format_timestamp_millis().target(target).init();
    let command = match command_line::parse() {
        Ok(command) => command,
        Err(e) => {
            eprintln!("basaltgw: {e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let result = match command {
        Command::Help => {
            print!("{HELP}");
            Ok(())
        }
        Command::Version => {
            println!("basaltgw {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Plan { file, from, queries } => plan::show(&file, from.as_deref(), &queries),
        Command::CheckConfig(with) => check_config(with),
        Command::Serve(with) => run_router(with),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("basaltgw: {e}");
            ExitCode::FAILURE
        }
    }
}
