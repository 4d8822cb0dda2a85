//! The router that is tested, as a process before the emulator's stand-ins.
#![allow(dead_code, unused_imports)]

pub use basaltgw_emulator::process::Process;
pub use basaltgw_emulator::standin::*;
use rustix::fd::OwnedFd;
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{bind, getsockname, socket, AddressFamily, SocketType};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::process::{Command, Output};

/// The program.
pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_basaltgw"))
}

pub fn router(config: &Value) -> Process {
    router_by(config, "exec \"$0\" serve")
}

/// Starts it by a line of shell, in which `$0` is the program.
pub fn router_by(config: &Value, line: &str) -> Process {
    Process::start_with_shell_line(binary(), config, line).expect("a router that listens")
}

/// An address that refuses connections while its socket is kept, unless a router is told to listen there: no other program is given the
/// port.
pub fn refused_address() -> (OwnedFd, SocketAddr) {
    let held = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    // Whoever listens sets this too; ports that the system chooses are not shared all the same.
    set_socket_reuseaddr(&held, true).expect("a socket");
    bind(&held, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = getsockname(&held).expect("an address").try_into().expect("an address with a port");
    (held, address)
}

/// As `wait_until`, with something to do in between.
pub fn until_polling(what: &str, mut holds: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_LIMIT, "never: {what}");
    }
}

/// Runs the program to its end, with a configuration or without.
pub fn run(args: &[&str], config: Option<&str>) -> Output {
    let mut command = Command::new(binary());
    command.args(args).env_remove("GW_CONFIG").env_remove("GW_LISTEN").env_remove("GW_NAME");
    config.into_iter().for_each(|c| {
        command.env("GW_CONFIG", c);
    });
    command.output().expect("the program")
}

/// What it said.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
