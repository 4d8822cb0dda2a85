//! Parses the command line.

use basaltgw_node::placement_report::{self, ReportQueries};
use std::path::PathBuf;

pub(crate) const HELP: &str = "\
basaltgw: a router that decides where objects are served, cached and filled from

Usage: basaltgw COMMAND

Commands:
  serve          run the router until SIGTERM; SIGUSR1 prints its counters
  check-config   check the configuration, compile the fleet's placement rules, and report errors
  plan FILE      check the plans of a settings file and show them: the cache tree tier by tier, the
                 fleet's placement table with each router's shards
      --from OLD     also show the changes from another file: the tree's steps, the shards that move
      --shard N      also show the routers that replicate a shard, and the rule that selects them
      --key CLASS:GROUP:OBJECT  also show what the rules permit for an object
  version        print the version

Options:
  --with FILE    the settings file (YAML), for serve and check-config
  -h, --help     print this

Environment:
  GW_CONFIG      the configuration file (JSON)
  GW_NAME        the router's name; overrides the file's
  GW_LISTEN      where clients connect, address:port; overrides the file's
  GW_LOG         the log level: error, warn, info (the default), debug
";

/// A command of the command line.
pub(crate) enum Command {
    /// Run the router, with this settings file.
    Serve(Option<PathBuf>),
    /// Check the configuration and this settings file.
    CheckConfig(Option<PathBuf>),
    /// Show the plans of a settings file, and the steps to them from another file.
    Plan { file: PathBuf, from: Option<PathBuf>, queries: ReportQueries },
    /// Print the version.
    Version,
    /// Print the help text.
    Help,
}

/// Parses the arguments of the process.
pub(crate) fn parse() -> Result<Command, String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let message = |e: pico_args::Error| e.to_string();
    let command = match args.subcommand().map_err(message)?.as_deref() {
        Some("serve") => Command::Serve(args.opt_value_from_str("--with").map_err(message)?),
        Some("check-config") => Command::CheckConfig(args.opt_value_from_str("--with").map_err(message)?),
        Some("plan") => plan(&mut args)?,
        Some("version") => Command::Version,
        Some(other) => return Err(format!("unknown command {other:?}")),
        None => return Err("expected a command".into()),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(extra) => Err(format!("unexpected argument {extra:?}")),
    }
}

fn plan(args: &mut pico_args::Arguments) -> Result<Command, String> {
    let message = |e: pico_args::Error| e.to_string();
    let from = args.opt_value_from_str("--from").map_err(message)?;
    let shard = args.opt_value_from_str("--shard").map_err(message)?;
    let key = args.opt_value_from_str::<_, String>("--key").map_err(message)?;
    let object = key.map(|key| placement_report::parse_key(&key)).transpose()?;
    let file = args.free_from_str().map_err(|_| "plan: expected a settings file".to_string())?;
    Ok(Command::Plan { file, from, queries: ReportQueries { shard, object } })
}
