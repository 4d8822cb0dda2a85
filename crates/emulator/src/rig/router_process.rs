//! A router of the rig: its process, its folders and its addresses.

use super::relay::Relay;
use super::spec::{router_name, router_settings, Spec};
use crate::process::Process;
use crate::standin::{self, ListedServer, EDGE, ORIGIN, PARENT};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Attempts to start a router: another process may take the chosen port before the router binds it.
const MAX_START_ATTEMPTS: usize = 3;
/// The time-out of a query of a router's counters.
const COUNTERS_TIMEOUT: Duration = standin::WAIT_LIMIT;

/// A router of the rig, whether its process runs or not.
pub struct RouterProcess {
    /// The process, if it runs or is suspended.
    process: Option<Process>,
    router: usize,
    /// The folder of the router's files.
    home: PathBuf,
    /// The folder of the router's durable data, which does not exist after a wipe.
    pub data_folder: PathBuf,
    /// The placement rules file, if the rig has one.
    rules: Option<PathBuf>,
    /// The address at which the router listens for peers.
    pub peer_address: SocketAddr,
    /// The relays through which the router reaches the other routers.
    pub peer_relays: BTreeMap<usize, Relay>,
    /// The relay through which clients reach the router.
    pub client_relay: Relay,
    /// The configuration that the next start uses.
    config: Value,
    suspended: bool,
}

/// What a router of the rig is set up with: its relays, its change log and its rules.
pub(super) struct RouterSetup<'a> {
    /// The relays to the other routers.
    pub(super) peer_relays: BTreeMap<usize, Relay>,
    /// The relays to the edge cache, the parent and the origin.
    pub(super) server_relays: Vec<Relay>,
    /// The relay through which clients reach the router.
    pub(super) client_relay: Relay,
    /// The address of the router's change log.
    pub(super) change_log: SocketAddr,
    /// The placement rules file.
    pub(super) rules: Option<PathBuf>,
    /// The specification of the rig.
    pub(super) spec: &'a Spec,
}

/// A loopback address with a port that is free now.
fn unused_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("binding a port for peers: {e}"))?;
    listener.local_addr().map_err(|e| format!("reading a port for peers: {e}"))
}

fn create_folder(path: &Path) -> Result<(), String> {
    std::fs::create_dir_all(path).map_err(|e| format!("creating {}: {e}", path.display()))
}

/// The configuration of a router with these servers.
pub(super) fn router_config(
    spec: &Spec,
    router: usize,
    servers: &[ListedServer],
    change_log: SocketAddr,
) -> Value {
    let mut config = standin::configuration(servers, change_log);
    config["name"] = json!(router_name(router));
    config["settings"]["peers-total"] = json!(spec.locations.len());
    config["settings"]["family-info"]["purge-settles"] = json!(spec.purge_settles_ms as f64);
    config["settings"]["services"][0]["slo"] = json!(spec.latency_objective_ms as f64);
    // Connecting is slow on a busy machine; a shorter timeout would make routers consider a cache down.
    config["settings"]["limits"]["connect-timeout"] = json!(5_000.0);
    config
}

impl RouterProcess {
    /// A router that has never run.
    pub(super) fn new(router: usize, home: PathBuf, setup: RouterSetup<'_>) -> Result<Self, String> {
        let kinds = [(EDGE, "box"), (PARENT, "parent"), (ORIGIN, "origin")];
        let listed = |(relay, (id, kind)): (&Relay, _)| ListedServer { id, address: relay.address, kind };
        let servers: Vec<ListedServer> = setup.server_relays.iter().zip(kinds).map(listed).collect();
        let config = router_config(setup.spec, router, &servers, setup.change_log);
        create_folder(&home)?;
        Ok(Self {
            process: None,
            router,
            data_folder: home.join("lasting"),
            home,
            rules: setup.rules,
            peer_address: unused_address()?,
            peer_relays: setup.peer_relays,
            client_relay: setup.client_relay,
            config,
            suspended: false,
        })
    }

    /// Whether the process exists; it may be suspended.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Whether the process exists and is not suspended.
    pub fn is_active(&self) -> bool {
        self.process.is_some() && !self.suspended
    }

    /// The address of the router itself for clients, behind the relay.
    pub fn client_address(&self) -> Option<SocketAddr> {
        self.process.as_ref().map(|p| p.address)
    }

    /// Whether the process has logged this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.process.as_ref().is_some_and(|p| p.has_logged(text))
    }

    /// Everything that the process has logged.
    pub fn log_text(&self) -> String {
        self.process.as_ref().map(Process::log_text).unwrap_or_default()
    }

    /// Starts the process.
    pub(super) fn start(&mut self, spec: &Spec) -> Result<(), String> {
        if self.process.is_some() {
            return Err(format!("router {} is running already", self.router));
        }
        create_folder(&self.data_folder)?;
        let peers: Vec<(usize, SocketAddr)> =
            self.peer_relays.iter().map(|(peer, relay)| (*peer, relay.address)).collect();
        let mut attempts = 0;
        self.process = loop {
            attempts += 1;
            let settings = router_settings(
                spec,
                self.router,
                self.peer_address,
                &self.data_folder,
                self.rules.as_deref(),
                &peers,
            );
            match Process::start_in_dir(&spec.binary, &self.home, self.router, &self.config, &settings) {
                Ok(process) => break Some(process),
                Err(e) if attempts < MAX_START_ATTEMPTS && e.contains("in use") => {
                    self.peer_address = unused_address()?;
                }
                Err(e) => return Err(format!("router {}: {e}", self.router)),
            }
        };
        self.suspended = false;
        Ok(())
    }

    /// Kills the process.
    pub(super) fn kill(&mut self) {
        self.process = None;
        self.suspended = false;
    }

    /// Requests a graceful shutdown of the process.
    pub(super) fn request_shutdown(&self) {
        self.process.iter().for_each(Process::terminate);
    }

    /// Shuts the process down gracefully; returns its log.
    pub fn shut_down(&mut self) -> String {
        let Some(mut process) = self.process.take() else { return String::new() };
        process.terminate();
        process.wait_for_exit();
        process.log_text()
    }

    /// Prevents the process's files from growing, or allows it again.
    pub(super) fn set_disk_full(&self, full: bool) {
        if let Some(process) = &self.process {
            process.limit_file_size(full.then_some(0));
        }
    }

    /// Deletes the durable data.
    pub(super) fn wipe(&mut self) -> Result<(), String> {
        match std::fs::remove_dir_all(&self.data_folder) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                Err(format!("deleting {}: {e}", self.data_folder.display()))
            }
            _ => Ok(()),
        }
    }

    /// Chooses another address for peers, which the next start uses.
    pub(super) fn change_peer_address(&mut self) -> Result<(), String> {
        self.peer_address = unused_address()?;
        Ok(())
    }

    /// Sends the process a signal, named as for the command `kill`.
    pub(super) fn signal(&mut self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
            self.suspended = name == "STOP" || (self.suspended && name != "CONT");
        }
    }

    /// Makes the process reload its files.
    pub fn reload(&mut self) {
        self.signal("HUP");
    }

    /// Changes the configuration, which the next start uses.
    pub fn configure(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
    }

    /// The process's counters by name; none if it is not active.
    pub(super) fn counters(&self) -> BTreeMap<String, f64> {
        let active = self.process.as_ref().filter(|_| !self.suspended);
        let counters = active.and_then(|process| process.counters(COUNTERS_TIMEOUT));
        counters.unwrap_or_default().into_iter().collect()
    }
}
