//! basaltgw: the router on sockets, from the command line.
#![forbid(unsafe_code)]

use basaltgw_config::{own_settings, read, Environment, NodeConfig};
use basaltgw_hierarchy::{steps, Cold, Plan, Settings, Tier};
use basaltgw_node::{serve, Own};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
basaltgw: decides where objects are served, kept and filled from, and carries the requests

Usage: basaltgw COMMAND

Commands:
  serve          run the router until SIGTERM; SIGUSR1 prints its counters
  check-config   read the configuration, say what is wrong with it, and end
  plan FILE      check the plan of the cache tree in a settings file and show it, tier by tier
      --from OLD     and the steps that lead to it from the plan in another
  version        print the version

Options:
  --with FILE    the project's own settings (YAML), for serve and check-config
  -h, --help     print this

Environment:
  GW_CONFIG      the configuration file (JSON)
  GW_NAME        the router's name; wins over the file
  GW_LISTEN      where clients connect, address:port; wins over the file
  GW_LOG         what is logged: error, warn, info (the default), debug
";

enum Command {
    Serve(Option<PathBuf>),
    CheckConfig(Option<PathBuf>),
    Plan { file: PathBuf, from: Option<PathBuf> },
    Version,
    Help,
}

fn command() -> Result<Command, String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let say = |e: pico_args::Error| e.to_string();
    let command = match args.subcommand().map_err(say)?.as_deref() {
        Some("serve") => Command::Serve(args.opt_value_from_str("--with").map_err(say)?),
        Some("check-config") => Command::CheckConfig(args.opt_value_from_str("--with").map_err(say)?),
        Some("plan") => {
            let from = args.opt_value_from_str("--from").map_err(say)?;
            let file = args.free_from_str().map_err(|_| "plan: expected a settings file".to_string())?;
            Command::Plan { file, from }
        }
        Some("version") => Command::Version,
        Some(other) => return Err(format!("unknown command {other:?}")),
        None => return Err("expected a command".into()),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
    }
}

fn configuration() -> Result<NodeConfig, String> {
    read(&Environment::take()).map_err(|e| e.to_string())
}

/// The project's own settings; none without a file.
fn own(file: Option<PathBuf>, cold: Cold) -> Result<Own, String> {
    let settings = file.as_deref().map(|f| own_settings(f, cold).map_err(|e| e.to_string())).transpose()?;
    Ok(Own { file, settings: settings.unwrap_or_default() })
}

fn plan_of(file: &Path) -> Result<Plan, String> {
    let own = own_settings(file, Settings::default().cold).map_err(|e| e.to_string())?;
    let hierarchy = own.hierarchy.ok_or_else(|| format!("{}: hierarchy: expected a plan", file.display()))?;
    Plan::check(hierarchy.plan).map_err(|e| format!("{}: {e}", file.display()))
}

/// Shows a plan, and the steps to it.
fn show(file: &Path, from: Option<&Path>) -> Result<(), String> {
    let plan = plan_of(file)?;
    println!("plan {}: {} nodes, no fault found", plan.version(), plan.nodes().len());
    for tier in 0..=8 {
        let of: Vec<_> = plan.nodes().iter().filter(|n| n.tier == Tier(tier)).collect();
        if !of.is_empty() {
            let shown: Vec<&str> = of.iter().take(8).map(|n| &*n.id.0).collect();
            let more = if of.len() > shown.len() { ", …" } else { "" };
            println!("tier {tier}: {} nodes: {}{more}", of.len(), shown.join(", "));
        }
    }
    if let Some(from) = from {
        let old = plan_of(from)?;
        let steps = steps(&old, &plan, Settings::default().behind).map_err(|e| e.to_string())?;
        println!("from plan {}: {} steps", old.version(), steps.len());
        let mut before = &old;
        for (i, step) in steps.iter().enumerate() {
            let changed =
                |n: &&basaltgw_hierarchy::NodeSpec| before.node(&n.id).is_none_or(|o| o.sources != n.sources);
            let names: Vec<&str> = step.nodes().iter().filter(changed).map(|n| &*n.id.0).collect();
            let gone: Vec<&str> =
                before.nodes().iter().filter(|n| step.node(&n.id).is_none()).map(|n| &*n.id.0).collect();
            println!("step {}: new sources for [{}], leaves [{}]", i + 1, names.join(", "), gone.join(", "));
            before = step;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let log = env_logger::Env::new().filter_or("GW_LOG", "info");
    env_logger::Builder::from_env(log).format_timestamp(None).init();
    let command = match command() {
        Ok(command) => command,
        Err(e) => {
            eprintln!("basaltgw: {e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let done = match command {
        Command::Help => {
            print!("{HELP}");
            Ok(())
        }
        Command::Version => {
            println!("basaltgw {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Plan { file, from } => show(&file, from.as_deref()),
        Command::CheckConfig(with) => configuration()
            .and_then(|c| match c.unread.first() {
                Some(fault) => Err(fault.to_string()),
                None => own(with, c.cold()).map(|_| c),
            })
            .map(|c| println!("{}: {} events known, listens at {}", c.name, c.known.len(), c.listen)),
        Command::Serve(with) => configuration()
            .and_then(|c| Ok((own(with, c.cold())?, c)))
            .and_then(|(own, c)| serve(c, own).map_err(|e| e.to_string()))
            .map(|counters| log::info!("ended: {counters}")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("basaltgw: {e}");
            ExitCode::FAILURE
        }
    }
}
