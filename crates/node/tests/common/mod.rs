//! Starts the tested router as a process between the emulator's stand-ins for clients, caches and the change log.
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

/// The path of the router program.
pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_basaltgw"))
}

/// Starts a router and waits until it listens.
pub fn router(config: &Value) -> Process {
    router_from_shell(config, "exec \"$0\" serve")
}

/// Starts a router by a shell command, in which `$0` is the program.
pub fn router_from_shell(config: &Value, command: &str) -> Process {
    Process::start_with_shell_line(binary(), config, command).expect("the router listens")
}

/// An address that refuses connections while the returned socket exists, since no other program gets its port. A router may still listen
/// there.
pub fn refused_address() -> (OwnedFd, SocketAddr) {
    let reserved = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    // A router that listens here sets this too; a port that the system chose is not given to another program in spite of it.
    set_socket_reuseaddr(&reserved, true).expect("the socket takes the option");
    bind(&reserved, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address =
        getsockname(&reserved).expect("a local address").try_into().expect("an address with a port");
    (reserved, address)
}

/// Like `wait_until`, without a pause between checks: for a condition that acts and waits by itself.
pub fn poll_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "condition not met within {WAIT_LIMIT:?}: {description}");
    }
}

/// Runs the program to its end, with a configuration or without.
pub fn run(args: &[&str], config: Option<&str>) -> Output {
    let mut command = Command::new(binary());
    command.args(args).env_remove("GW_CONFIG").env_remove("GW_LISTEN").env_remove("GW_NAME");
    config.into_iter().for_each(|c| {
        command.env("GW_CONFIG", c);
    });
    command.output().expect("the program runs")
}

/// The output of the program as text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
