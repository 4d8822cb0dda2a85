//! The command `basaltgw`, which runs a router or checks its configuration.
#![forbid(unsafe_code)]

mod command_line;
mod plan;

use basaltgw_config::{read_config, read_settings_file, Environment, RouterConfig};
use basaltgw_hierarchy::SlowStart;
use basaltgw_node::log_writer::LogWriter;
use basaltgw_node::{placement_report, serve, SettingsFile};
use command_line::{Command, HELP};
use std::path::PathBuf;
use std::process::ExitCode;

fn router_config() -> Result<RouterConfig, String> {
    read_config(&Environment::from_process()).map_err(|e| e.to_string())
}

/// Reads the settings file; without one, the settings have their defaults.
fn read_settings(file: Option<PathBuf>, slow_start: SlowStart) -> Result<SettingsFile, String> {
    let settings =
        file.as_deref().map(|f| read_settings_file(f, slow_start).map_err(|e| e.to_string())).transpose()?;
    Ok(SettingsFile { file, settings: settings.unwrap_or_default() })
}

/// Checks the configuration and the settings file, and compiles the placement rules.
fn check_config(with: Option<PathBuf>) -> Result<(), String> {
    let config = router_config()?;
    if let Some(fault) = config.undecodable_events.first() {
        return Err(fault.to_string());
    }
    let settings_file = read_settings(with, config.parent_slow_start())?;
    let fleet = settings_file.settings.fleet.as_ref();
    if let Some(overlay) = fleet.and_then(|fleet| fleet.overlay.as_ref()) {
        overlay.retention(config.settings.purge_convergence_time)?;
    }
    let table = fleet.map(|fleet| plan::compile_table(fleet, None)).transpose()?;
    println!("{}: {} events known, listens at {}", config.name, config.known_events.len(), config.listen);
    if let (Some(fleet), Some(table)) = (fleet, &table) {
        println!("{}", placement_report::summary(fleet, table));
    }
    Ok(())
}

fn run_router(with: Option<PathBuf>) -> Result<(), String> {
    let config = router_config()?;
    let settings_file = read_settings(with, config.parent_slow_start())?;
    let counters = serve(config, settings_file).map_err(|e| e.to_string())?;
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
