//! A router of the rig: its process, its folder, its addresses.

use super::relay::Relay;
use super::spec::{router_settings, Spec};
use crate::process::Process;
use crate::standin::{self, ListedServer, EDGE, ORIGIN, PARENT};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A port may be taken by another process between its choice and the router's start: so often another one is tried.
const TRIES: usize = 3;
/// A router's counters are waited for so long.
const COUNTERS: Duration = standin::WAIT_LIMIT;

/// A router's seat.
pub struct RouterProcess {
    /// Its process, if it runs (or is stopped).
    process: Option<Process>,
    number: usize,
    home: PathBuf,
    /// What must last: gone when wiped.
    pub data_folder: PathBuf,
    rules: Option<PathBuf>,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// The relays by which it reaches the others.
    pub peer_relays: BTreeMap<usize, Relay>,
    /// The relay by which clients reach it.
    pub client_relay: Relay,
    config: Value,
    stopped: bool,
}

/// A port that is free now.
fn port() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a port for peers: {e}"))?;
    listener.local_addr().map_err(|e| e.to_string())
}

fn folder(path: &Path) -> Result<(), String> {
    std::fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// A router's configuration before these servers.
pub(super) fn router_config(spec: &Spec, number: usize, listed: &[ListedServer], log: SocketAddr) -> Value {
    let mut config = standin::configuration(listed, log);
    config["name"] = json!(super::spec::router_name(number));
    config["settings"]["peers-total"] = json!(spec.locations.len());
    config["settings"]["family-info"]["purge-settles"] = json!(spec.purge_settles_ms as f64);
    config["settings"]["services"][0]["slo"] = json!(spec.latency_objective_ms as f64);
    // On a busy machine a connection takes its time, and no cache of the rig is to be taken for gone.
    config["settings"]["limits"]["connect-timeout"] = json!(5_000.0);
    config
}

impl RouterProcess {
    /// A seat whose router has never run.
    #[allow(clippy::too_many_arguments)] // All are parts of the rig's layout, and there is one caller.
    pub(super) fn new(
        number: usize,
        home: PathBuf,
        rules: Option<PathBuf>,
        peers: BTreeMap<usize, Relay>,
        servers: &[Relay],
        clients: Relay,
        log: SocketAddr,
        spec: &Spec,
    ) -> Result<Self, String> {
        let kinds = [(EDGE, "box"), (PARENT, "parent"), (ORIGIN, "origin")];
        let listed: Vec<ListedServer> = servers
            .iter()
            .zip(kinds)
            .map(|(relay, (id, kind))| ListedServer { id, address: relay.address, kind })
            .collect();
        let config = router_config(spec, number, &listed, log);
        let folder_path = home.join("lasting");
        folder(&home)?;
        let listen = port()?;
        let seat = Self {
            process: None,
            number,
            home,
            data_folder: folder_path,
            rules,
            peer_address: listen,
            peer_relays: peers,
            client_relay: clients,
            config,
            stopped: false,
        };
        Ok(seat)
    }

    /// Whether its process is there.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Whether its process is there and not stopped.
    pub fn is_active(&self) -> bool {
        self.process.is_some() && !self.stopped
    }

    /// Where clients connect behind the relay.
    pub fn client_address(&self) -> Option<SocketAddr> {
        self.process.as_ref().map(|p| p.address)
    }

    /// Whether the process has said this.
    pub fn log_contains(&self, text: &str) -> bool {
        self.process.as_ref().is_some_and(|p| p.has_logged(text))
    }

    /// All that the process has said.
    pub fn log(&self) -> String {
        self.process.as_ref().map(Process::log_text).unwrap_or_default()
    }

    /// Starts its process.
    pub(super) fn start(&mut self, spec: &Spec) -> Result<(), String> {
        if self.process.is_some() {
            return Err(format!("router {} runs already", self.number));
        }
        folder(&self.data_folder)?;
        let peers: Vec<(usize, SocketAddr)> =
            self.peer_relays.iter().map(|(r, relay)| (*r, relay.address)).collect();
        let mut tries = 0;
        self.process = loop {
            tries += 1;
            let text = router_settings(
                spec,
                self.number,
                self.peer_address,
                &self.data_folder,
                self.rules.as_deref(),
                &peers,
            );
            match Process::start_in_dir(&spec.binary, &self.home, self.number, &self.config, &text) {
                Ok(process) => break Some(process),
                Err(e) if tries < TRIES && e.contains("in use") => self.peer_address = port()?,
                Err(e) => return Err(format!("router {}: {e}", self.number)),
            }
        };
        self.stopped = false;
        Ok(())
    }

    /// Kills its process.
    pub(super) fn kill(&mut self) {
        self.process = None;
        self.stopped = false;
    }

    /// Asks its process to end in order.
    pub(super) fn request_shutdown(&self) {
        self.process.iter().for_each(Process::terminate);
    }

    /// Ends its process in order, and waits for that; gives all that it has said.
    pub fn shut_down(&mut self) -> String {
        let Some(mut process) = self.process.take() else { return String::new() };
        process.terminate();
        process.wait_for_exit();
        process.log_text()
    }

    pub(super) fn set_disk_full(&self, full: bool) {
        if let Some(process) = &self.process {
            process.limit_file_size(full.then_some(0));
        }
    }

    pub(super) fn wipe(&mut self) -> Result<(), String> {
        match std::fs::remove_dir_all(&self.data_folder) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                Err(format!("{}: {e}", self.data_folder.display()))
            }
            _ => Ok(()),
        }
    }

    pub(super) fn change_peer_address(&mut self) -> Result<(), String> {
        self.peer_address = port()?;
        Ok(())
    }

    pub(super) fn signal(&mut self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
            self.stopped = name == "STOP" || (self.stopped && name != "CONT");
        }
    }

    /// Has it read its files again.
    pub fn reload(&mut self) {
        self.signal("HUP");
    }

    /// Changes what its next start is router_config by.
    pub fn configure(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
    }

    pub(super) fn counters(&self) -> BTreeMap<String, f64> {
        let told = self.process.as_ref().filter(|_| !self.stopped).and_then(|p| p.counters(COUNTERS));
        told.unwrap_or_default().into_iter().collect()
    }
}
