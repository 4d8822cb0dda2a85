//! basaltgw: the router on sockets, from the command line.
#![forbid(unsafe_code)]

use basaltgw_config::{read, Environment, NodeConfig};
use basaltgw_node::serve;
use std::process::ExitCode;

const HELP: &str = "\
basaltgw: decides where objects are served, kept and filled from, and carries the requests

Usage: basaltgw COMMAND

Commands:
  serve          run the router until SIGTERM; SIGUSR1 prints its counters
  check-config   read the configuration, say what is wrong with it, and end
  version        print the version

Options:
  -h, --help     print this

Environment:
  GW_CONFIG      the configuration file (JSON)
  GW_NAME        the router's name; wins over the file
  GW_LISTEN      where clients connect, address:port; wins over the file
  GW_LOG         what is logged: error, warn, info (the default), debug
";

enum Command {
    Serve,
    CheckConfig,
    Version,
    Help,
}

fn command() -> Result<Command, String> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    let command = match args.subcommand().map_err(|e| e.to_string())?.as_deref() {
        Some("serve") => Command::Serve,
        Some("check-config") => Command::CheckConfig,
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
        Command::CheckConfig => configuration()
            .and_then(|c| match c.unread.first() {
                Some(fault) => Err(fault.to_string()),
                None => Ok(c),
            })
            .map(|c| println!("{}: {} events known, listens at {}", c.name, c.known.len(), c.listen)),
        Command::Serve => configuration()
            .and_then(|c| serve(c).map_err(|e| e.to_string()))
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
