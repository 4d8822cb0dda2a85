//! basaltgw: the router on sockets, from the command line.
#![forbid(unsafe_code)]

use basaltgw_config::fleet::Fleet;
use basaltgw_config::{own_settings, read, Environment, NodeConfig, OwnSettings};
use basaltgw_hierarchy::{steps, Cold, Plan, Settings, Tier};
use basaltgw_node::log_writer::LogWriter;
use basaltgw_node::shown::{self, Questions};
use basaltgw_node::{serve, Own};
use basaltgw_placement::Table;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const HELP: &str = "\
basaltgw: decides where objects are served, kept and filled from, and carries the requests

Usage: basaltgw COMMAND

Commands:
  serve          run the router until SIGTERM; SIGUSR1 prints its counters
  check-config   read the configuration, compile the fleet's rules, say what is wrong, and end
  plan FILE      check what a settings file plans and show it: the cache tree tier by tier, the
                 fleet's table with each router's shards
      --from OLD     and what leads to it from another file: the tree's steps, the shards that move
      --shard N      and who keeps a shard, and by which rule
      --key CLASS:GROUP:OBJECT  and what rules leave for an object
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
    Plan { file: PathBuf, from: Option<PathBuf>, asked: Questions },
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
            let shard = args.opt_value_from_str("--shard").map_err(say)?;
            let key = args.opt_value_from_str::<_, String>("--key").map_err(say)?;
            let key = key.map(|k| shown::key(&k)).transpose()?;
            let file = args.free_from_str().map_err(|_| "plan: expected a settings file".to_string())?;
            Command::Plan { file, from, asked: Questions { shard, key } }
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

/// What a file plans, checked.
struct Planned {
    tree: Option<Plan>,
    fleet: Option<Fleet>,
}

fn planned(file: &Path) -> Result<Planned, String> {
    let OwnSettings { hierarchy, fleet, .. } =
        own_settings(file, Settings::default().cold).map_err(|e| e.to_string())?;
    let tree = hierarchy.map(|h| Plan::check(h.plan).map_err(|e| format!("{}: {e}", file.display())));
    Ok(Planned { tree: tree.transpose()?, fleet })
}

fn table(set: &Fleet, before: Option<&Table>) -> Result<Table, String> {
    shown::table(set, before)
        .map_err(|faults| format!("fleet {}:\n{}", set.cluster, shown::faults(set, &faults)))
}

/// Shows what a file plans, and the way to it.
fn show(file: &Path, from: Option<&Path>, asked: &Questions) -> Result<(), String> {
    let new = planned(file)?;
    let old = from.map(planned).transpose()?;
    let expected = |file: &Path, what: &str| Err(format!("{}: expected {what}", file.display()));
    if new.tree.is_none() && new.fleet.is_none() {
        return expected(file, "a section hierarchy with a plan, or a section fleet");
    }
    if new.fleet.is_none() && !asked.none() {
        return expected(file, "a section fleet, for --shard and --key");
    }
    if let (Some(from), Some(old)) = (from, &old) {
        let both = new.tree.is_some() && old.tree.is_some() || new.fleet.is_some() && old.fleet.is_some();
        if !both {
            return expected(from, &format!("a section hierarchy or fleet as in {}", file.display()));
        }
    }
    if let Some(tree) = &new.tree {
        show_tree(tree, old.as_ref().and_then(|o| o.tree.as_ref()))?;
    }
    if let Some(set) = &new.fleet {
        let before = old.as_ref().and_then(|o| o.fleet.as_ref()).map(|set| table(set, None)).transpose()?;
        let made = table(set, before.as_ref())?;
        print!("{}", shown::show(set, &made, before.as_ref(), asked));
    }
    Ok(())
}

/// Shows a plan of the tree, and the steps to it.
fn show_tree(plan: &Plan, old: Option<&Plan>) -> Result<(), String> {
    println!("plan {}: {} nodes, no fault found", plan.version(), plan.nodes().len());
    for tier in 0..=8 {
        let of: Vec<_> = plan.nodes().iter().filter(|n| n.tier == Tier(tier)).collect();
        if !of.is_empty() {
            let shown: Vec<&str> = of.iter().take(8).map(|n| &*n.id.0).collect();
            let more = if of.len() > shown.len() { ", …" } else { "" };
            println!("tier {tier}: {} nodes: {}{more}", of.len(), shown.join(", "));
        }
    }
    if let Some(old) = old {
        let steps = steps(old, plan, Settings::default().behind).map_err(|e| e.to_string())?;
        println!("from plan {}: {} steps", old.version(), steps.len());
        let mut before = old;
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

/// Checks the configuration and the project's own file, the rules of a fleet with it.
fn check(with: Option<PathBuf>) -> Result<(), String> {
    let c = configuration()?;
    if let Some(fault) = c.unread.first() {
        return Err(fault.to_string());
    }
    let own = own(with, c.cold())?;
    if let Some(overlay) = own.settings.fleet.as_ref().and_then(|set| set.overlay.as_ref()) {
        overlay.keep(c.settings.purge_convergence_time)?;
    }
    let made = own.settings.fleet.as_ref().map(|set| table(set, None).map(|t| (set, t))).transpose()?;
    println!("{}: {} events known, listens at {}", c.name, c.known.len(), c.listen);
    made.iter().for_each(|(set, table)| println!("{}", shown::title(set, table)));
    Ok(())
}

fn main() -> ExitCode {
    let log = env_logger::Env::new().filter_or("GW_LOG", "info");
    let target = env_logger::Target::Pipe(Box::new(LogWriter));
    env_logger::Builder::from_env(log).format_timestamp_millis().target(target).init();
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
        Command::Plan { file, from, asked } => show(&file, from.as_deref(), &asked),
        Command::CheckConfig(with) => check(with),
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
