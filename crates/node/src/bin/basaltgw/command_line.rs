//! The command line's arguments.

use basaltgw_node::placement_report::{self, ReportQueries};
use std::path::PathBuf;

pub(crate) const HELP: &str = "\
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

/// What the command line asks for.
pub(crate) enum Command {
    /// Run the router, with the project's own settings.
    Serve(Option<PathBuf>),
    /// Check the configuration, with the project's own settings.
    CheckConfig(Option<PathBuf>),
    /// Show what a settings file plans, and the steps from another file.
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
