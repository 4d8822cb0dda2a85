//! A router process: its files, its signals and its log.

use crate::faults::Faults;
use crate::standin::{wait_until, wait_up_to, Client, WAIT_LIMIT};
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The most bytes of a process's log that are retained: a thousand times what a test's process logs.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;
/// The time between two checks of the state of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The text before a router's address in its log.
const LISTENING: &str = "listens at ";
/// The text before the counters that a router logs when it ends.
const ENDED: &str = "ended: ";
/// The start of a counter that every line of counters contains.
const COUNTERS_LINE: &str = "clients_now=";

/// A router process; killed when dropped.
pub struct Process {
    child: Child,
    files: Files,
    log: Arc<Mutex<String>>,
    /// Whether the log is read.
    reads_log: Arc<AtomicBool>,
    /// The address at which it accepts clients.
    pub address: SocketAddr,
}

/// The files that a process is started with.
struct Files {
    configuration: PathBuf,
    settings: PathBuf,
    /// A directory that is removed with the process.
    _dir: Option<TempDir>,
}

impl Files {
    /// The files of router `number` in a directory that outlives the process.
    fn in_dir(dir: &Path, number: usize) -> Self {
        let file = |extension: &str| dir.join(format!("router-{number}.{extension}"));
        Self { configuration: file("json"), settings: file("yaml"), _dir: None }
    }

    /// Files in a directory of their own.
    fn temporary() -> Result<Self, String> {
        let dir = TempDir::new().map_err(|e| e.to_string())?;
        let (configuration, settings) = (dir.path().join("json"), dir.path().join("yaml"));
        Ok(Self { configuration, settings, _dir: Some(dir) })
    }
}

impl Process {
    /// Starts router `number` with its files in `dir` and waits until it listens; `settings` is the text of its settings file, if it
    /// has one.
    pub fn start(
        binary: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        settings: Option<&str>,
    ) -> Result<Self, String> {
        let files = Files::in_dir(dir, number);
        let mut line = "exec \"$0\" serve".to_string();
        if let Some(settings) = settings {
            write(&files.settings, settings)?;
            line = format!("{line} --with '{}'", files.settings.display());
        }
        Self::start_process(binary, files, config, &line, &[])
    }

    /// Starts a router in a temporary directory by a line of shell, in which `$0` is the program.
    pub fn start_with_shell_line(binary: &Path, config: &Value, line: &str) -> Result<Self, String> {
        Self::start_process(binary, Files::temporary()?, config, line, &[])
    }

    /// Starts router `number` with a settings file in a directory that may contain files of an earlier process. It ignores SIGXFSZ, so
    /// that [`Process::limit_file_size`] fails its writes without ending it.
    pub fn start_in_dir(
        binary: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        settings: &str,
    ) -> Result<Self, String> {
        let files = Files::in_dir(dir, number);
        write(&files.settings, settings)?;
        let line = format!("trap '' XFSZ; exec \"$0\" serve --with '{}'", files.settings.display());
        Self::start_process(binary, files, config, &line, &[])
    }

    /// Starts a router in a temporary directory under fault injection.
    pub fn start_with_faults(binary: &Path, config: &Value, faults: &Faults) -> Result<Self, String> {
        let files = Files::temporary()?;
        Self::start_process(binary, files, config, "exec \"$0\" serve", &faults.environment())
    }

    /// Starts router `number` with its files in `dir` and with these environment variables.
    pub fn start_with_environment(
        binary: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        environment: &[(String, PathBuf)],
    ) -> Result<Self, String> {
        let files = Files::in_dir(dir, number);
        Self::start_process(binary, files, config, "exec \"$0\" serve", environment)
    }

    fn start_process(
        binary: &Path,
        files: Files,
        config: &Value,
        line: &str,
        environment: &[(String, PathBuf)],
    ) -> Result<Self, String> {
        write(&files.configuration, &config.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]).arg(binary);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        command.env("GW_CONFIG", &files.configuration).env_remove("GW_LISTEN").env_remove("GW_NAME");
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
        let mut child = child.map_err(|e| format!("{}: {e}", binary.display()))?;
        let log: Arc<Mutex<String>> = Arc::default();
        let reads_log = Arc::new(AtomicBool::new(true));
        if let Some(stderr) = child.stderr.take() {
            let (log, reads_log) = (Arc::clone(&log), Arc::clone(&reads_log));
            std::thread::spawn(move || read_log(stderr, &log, &reads_log));
        }
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Self { child, files, log, reads_log, address: unknown };
        process.wait_until_listening()?;
        Ok(process)
    }

    fn wait_until_listening(&mut self) -> Result<(), String> {
        let start = Instant::now();
        loop {
            let status = self.child.try_wait().ok().flatten();
            if status.is_some() {
                self.wait_for_log_end();
            }
            let text = self.log_text();
            let address = text.lines().find_map(|line| line.split_once(LISTENING)?.1.trim().parse().ok());
            if let Some(address) = address {
                self.address = address;
                return Ok(());
            }
            if start.elapsed() > WAIT_LIMIT || status.is_some() {
                let state = status.map_or_else(
                    || format!("is not listening after {WAIT_LIMIT:?}"),
                    |status| format!("ended before it was listening, {status}"),
                );
                let last_line = text.lines().last().unwrap_or("nothing was logged");
                return Err(format!("the router {state} ({}): {last_line}", self.files.settings.display()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sets whether the log is read from now on. While it isn't, it fills its pipe.
    pub fn set_log_reading(&self, reads: bool) {
        self.reads_log.store(reads, Ordering::SeqCst);
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The complete lines logged so far.
    pub fn log_text(&self) -> String {
        self.log.lock().map(|log| log.clone()).unwrap_or_default()
    }

    /// The most bytes that the process had in physical memory since its start (`VmHWM`); `None` if the system doesn't tell.
    pub fn peak_resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let kilobytes = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = kilobytes.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Whether a line of the log contains `text`.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log_text().lines().any(|line| line.contains(text))
    }

    /// Sends a signal by its name without `SIG`, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "HUP" => Signal::HUP,
            "TERM" => Signal::TERM,
            "USR1" => Signal::USR1,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "CONT" => Signal::CONT,
            other => panic!("signal {other} is not supported"),
        };
        if let Some(e) = self.pid().and_then(|pid| kill_process(pid, signal).err()) {
            log::warn!("SIG{name} was not sent to router process {}: {e}", self.id());
        }
    }

    fn pid(&self) -> Option<Pid> {
        i32::try_from(self.child.id()).ok().and_then(Pid::from_raw)
    }

    /// Limits the size to which the process can extend a file, so that longer writes fail as on a full disk; `None` lifts the limit.
    /// The process has to ignore SIGXFSZ, as one started by [`Process::start_in_dir`] does.
    pub fn limit_file_size(&self, bytes: Option<u64>) {
        let limit = Rlimit { current: bytes, maximum: None };
        if let Some(e) = self.pid().and_then(|pid| prlimit(Some(pid), Resource::Fsize, limit).err()) {
            log::warn!("file size limit of router process {} not set: {e}", self.id());
        }
    }

    /// Limits the number of open descriptors, those already open included; `None` restores the limit of this process.
    pub fn limit_descriptors(&self, max: Option<u64>) {
        let Some(pid) = self.pid() else { return };
        let own = getrlimit(Resource::Nofile);
        let limit = Rlimit { current: max.or(own.current), maximum: own.maximum };
        if let Err(e) = prlimit(Some(pid), Resource::Nofile, limit) {
            log::warn!("descriptor limit of router process {} not set: {e}", self.id());
        }
    }

    /// Replaces the settings file and has the router reload it.
    pub fn reload_settings(&self, text: &str) -> Result<(), String> {
        write(&self.files.settings, text)?;
        self.signal("HUP");
        Ok(())
    }

    /// Replaces the configuration file; the router reads it at the next SIGHUP.
    pub fn write_configuration(&self, text: &str) {
        write(&self.files.configuration, text).expect("write the configuration file");
    }

    /// Requests a graceful shutdown by SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.set_log_reading(true);
        if self.is_running() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    /// Whether the process has not ended; a stopped process has not.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Waits until the process has ended and its log is read; `None` if it hasn't ended within [`WAIT_LIMIT`].
    pub fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.wait_for_log_end();
                return Some(status);
            }
            if start.elapsed() > WAIT_LIMIT {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the process has ended; panics if it doesn't within [`WAIT_LIMIT`].
    pub fn expect_exit(&mut self) -> ExitStatus {
        self.wait_for_exit().expect("the router process ends")
    }

    /// The counters, by name, that an ended process logged at its end.
    pub fn exit_counters(&self) -> HashMap<String, f64> {
        self.wait_for_log_end();
        let text = self.log_text();
        let last = text.lines().rev().find_map(|line| line.split_once(ENDED)).map(|(_, counters)| counters);
        parse_counters(last.unwrap_or_default())
    }

    /// Waits until the log of an ended process is read completely.
    fn wait_for_log_end(&self) {
        // The reading thread owns the second reference to the log until the end of the pipe.
        wait_up_to(WAIT_LIMIT, || Arc::strong_count(&self.log) == 1);
    }

    /// Requests the counters by SIGUSR1 and returns them by name; `None` if they are not logged within `timeout`.
    pub fn counters(&self, timeout: Duration) -> Option<HashMap<String, f64>> {
        let has_counters = |line: &&str| line.contains(COUNTERS_LINE);
        let before = self.log_text().lines().filter(has_counters).count();
        self.signal("USR1");
        if !wait_up_to(timeout, || self.log_text().lines().filter(has_counters).count() > before) {
            return None;
        }
        self.log_text().lines().rfind(has_counters).map(parse_counters)
    }

    /// The current value of a counter; panics if the router doesn't log it.
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.counters(WAIT_LIMIT).expect("the router logs its counters");
        *counters.get(name).unwrap_or_else(|| panic!("the router has no counter {name}")) as u64
    }

    /// Waits until a counter is at least `min`.
    pub fn wait_for_counter(&self, name: &str, min: u64) {
        wait_until(&format!("counter {name} is at least {min}"), || self.counter(name) >= min);
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).expect("connect to the router"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Appends complete lines to the log; past [`MAX_LOG_BYTES`] the older half is dropped.
fn read_log(stderr: impl Read, log: &Mutex<String>, reads: &AtomicBool) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        while !reads.load(Ordering::SeqCst) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let Ok(mut log) = log.lock() else { return };
        log.push_str(&line);
        log.push('\n');
        if log.len() > MAX_LOG_BYTES {
            let half = log.len() / 2;
            let dropped = log[half..].find('\n').map_or(0, |end| half + end + 1);
            log.drain(..dropped);
        }
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// The `name=number` pairs of a line.
fn parse_counters(line: &str) -> HashMap<String, f64> {
    let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
}
