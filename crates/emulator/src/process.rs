//! Routers as processes: their files, signals, and what they say.

use crate::faults::Faults;
use crate::standin::{comes, until, Client, PATIENCE};
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

/// Bytes that are kept of what a process says: a thousand times what one says in a test.
const MOST_SAID: usize = 16 * 1024 * 1024;
/// How often a process is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// A router's process; killed when dropped.
pub struct Process {
    child: Child,
    files: Files,
    said: Arc<Mutex<String>>,
    /// Whether what it says is read.
    reads: Arc<AtomicBool>,
    /// Where clients connect.
    pub address: SocketAddr,
}

/// What it was started from.
struct Files {
    config: PathBuf,
    own: PathBuf,
    /// A folder that goes with the process.
    _dir: Option<TempDir>,
}

impl Process {
    /// Starts one and waits until it listens; `own` is the text of its own settings.
    pub fn start(
        binary: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        own: Option<&str>,
    ) -> Result<Self, String> {
        let file = |what: &str| dir.join(format!("router-{number}.{what}"));
        let files = Files { config: file("json"), own: file("yaml"), _dir: None };
        let mut line = "exec \"$0\" serve".to_string();
        if let Some(own) = own {
            write(&files.own, own)?;
            line = format!("{line} --with '{}'", files.own.display());
        }
        Self::begin(binary, files, config, &line)
    }

    /// Starts one with a folder of its own, by a line of shell in which `$0` is the program.
    pub fn start_by(binary: &Path, config: &Value, line: &str) -> Result<Self, String> {
        let dir = TempDir::new().map_err(|e| e.to_string())?;
        let file = |what: &str| dir.path().join(what);
        let (config_file, own) = (file("json"), file("yaml"));
        Self::begin(binary, Files { config: config_file, own, _dir: Some(dir) }, config, line)
    }

    /// Starts one in a folder by a line of shell, with the files that it finds there.
    pub fn start_in(
        binary: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        own: &str,
    ) -> Result<Self, String> {
        let file = |what: &str| dir.join(format!("router-{number}.{what}"));
        let files = Files { config: file("json"), own: file("yaml"), _dir: None };
        write(&files.own, own)?;
        let line = format!("trap '' XFSZ; exec \"$0\" serve --with '{}'", files.own.display());
        Self::begin(binary, files, config, &line)
    }

    /// Starts one with a folder of its own, under fault injection.
    pub fn start_under(binary: &Path, config: &Value, faults: &Faults) -> Result<Self, String> {
        let dir = TempDir::new().map_err(|e| e.to_string())?;
        let (config_file, own) = (dir.path().join("json"), dir.path().join("yaml"));
        let files = Files { config: config_file, own, _dir: Some(dir) };
        Self::begin_with(binary, files, config, "exec \"$0\" serve", &faults.environment())
    }

    /// Starts one with files in a folder and these variables set.
    pub fn start_with(
        binary: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        environment: &[(String, PathBuf)],
    ) -> Result<Self, String> {
        let file = |what: &str| dir.join(format!("router-{number}.{what}"));
        let files = Files { config: file("json"), own: file("yaml"), _dir: None };
        Self::begin_with(binary, files, config, "exec \"$0\" serve", environment)
    }

    fn begin(binary: &Path, files: Files, config: &Value, line: &str) -> Result<Self, String> {
        Self::begin_with(binary, files, config, line, &[])
    }

    /// Starts one, with these variables set.
    fn begin_with(
        binary: &Path,
        files: Files,
        config: &Value,
        line: &str,
        environment: &[(String, PathBuf)],
    ) -> Result<Self, String> {
        write(&files.config, &config.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]).arg(binary);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        command.env("GW_CONFIG", &files.config).env_remove("GW_LISTEN").env_remove("GW_NAME");
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
        let mut child = child.map_err(|e| format!("{}: {e}", binary.display()))?;
        let said: Arc<Mutex<String>> = Arc::default();
        let reads = Arc::new(AtomicBool::new(true));
        if let Some(stderr) = child.stderr.take() {
            let (into, reads) = (Arc::clone(&said), Arc::clone(&reads));
            std::thread::spawn(move || listen(stderr, &into, &reads));
        }
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Self { child, files, said, reads, address: nowhere };
        let begun = Instant::now();
        loop {
            let ended = process.child.try_wait().ok().flatten();
            if ended.is_some() {
                process.has_said_all();
            }
            let text = process.text();
            if let Some(at) = text.lines().find_map(|l| l.split_once("listens at ")?.1.trim().parse().ok()) {
                process.address = at;
                return Ok(process);
            }
            if begun.elapsed() > PATIENCE || ended.is_some() {
                let last = text.lines().last().unwrap_or("it said nothing");
                let how =
                    ended.map_or_else(|| "runs still".to_string(), |status| format!("ended by {status}"));
                let own = process.files.own.display();
                return Err(format!("a router does not listen and {how} ({own}): {last}"));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Whether what it logs is read from now on; what is not read fills its pipe.
    pub fn read_log(&self, reads: bool) {
        self.reads.store(reads, Ordering::SeqCst);
    }

    /// The kernel's number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All whole lines that it has said so far.
    pub fn text(&self) -> String {
        self.said.lock().map(|said| said.clone()).unwrap_or_default()
    }

    /// Whether it has said this.
    pub fn said(&self, text: &str) -> bool {
        self.text().lines().any(|l| l.contains(text))
    }

    /// Sends it a signal by name, as in `HUP`.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "HUP" => Signal::HUP,
            "TERM" => Signal::TERM,
            "USR1" => Signal::USR1,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "CONT" => Signal::CONT,
            other => panic!("no signal {other} is sent to routers"),
        };
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(e) = pid.and_then(|pid| kill_process(pid, signal).err()) {
            log::warn!("a router was not reached by a signal: {e}");
        }
    }

    /// From now on no file of its may grow beyond so many bytes, as on a full disk; `None` lifts that. The program has to be started
    /// with the signal for it ignored, as [`Process::start_in`] does.
    pub fn files_up_to(&self, bytes: Option<u64>) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let limit = Rlimit { current: bytes, maximum: None };
        if let Some(e) = pid.and_then(|pid| prlimit(Some(pid), Resource::Fsize, limit).err()) {
            log::warn!("a router's files were not limited: {e}");
        }
    }

    /// From now on it may hold no more descriptors than so many, with what it holds already; `None` for as many as at first.
    pub fn descriptors_up_to(&self, most: Option<u64>) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let Some(pid) = pid else { return };
        let own = getrlimit(Resource::Nofile);
        let limit = Rlimit { current: most.or(own.current), maximum: own.maximum };
        if let Err(e) = prlimit(Some(pid), Resource::Nofile, limit) {
            log::warn!("a router's descriptors were not limited: {e}");
        }
    }

    /// Replaces its own settings' file and has it read.
    pub fn plan(&self, text: &str) -> Result<(), String> {
        write(&self.files.own, text)?;
        self.signal("HUP");
        Ok(())
    }

    /// Replaces the configuration file; a router hears of it by SIGHUP.
    pub fn rewrite(&self, text: &str) {
        write(&self.files.config, text).expect("a configuration file");
    }

    /// Asks it to end.
    pub fn end(&self) {
        self.signal("TERM");
    }

    /// Ends it without a word.
    pub fn kill(&mut self) {
        self.read_log(true);
        if self.child.try_wait().is_ok_and(|s| s.is_none()) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    /// Whether it still runs (or is stopped).
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_none())
    }

    /// Waits for its end and for all that it said until then; `None` if that never came.
    pub fn over(&mut self) -> Option<ExitStatus> {
        let begun = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.has_said_all();
                return Some(status);
            }
            if begun.elapsed() > PATIENCE {
                return None;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Waits for its end, which has to come.
    pub fn ended(&mut self) -> ExitStatus {
        self.over().expect("the router's end")
    }

    /// The counters that it printed at its end, by name, once all that it said is read; for a process that has ended.
    pub fn last_counters(&self) -> HashMap<String, f64> {
        self.has_said_all();
        let text = self.text();
        let last = text.lines().rev().find_map(|l| l.split_once("ended: ")).map(|(_, c)| c);
        numbers(last.unwrap_or_default())
    }

    /// Waits until all that a process that has ended said is read.
    fn has_said_all(&self) {
        // Who reads it has the other hold on the text until the end of what was said.
        comes(PATIENCE, || Arc::strong_count(&self.said) == 1);
    }

    /// Its counters, printed on request; none if it says nothing in that time.
    pub fn counters(&self, patience: Duration) -> Option<HashMap<String, f64>> {
        let printed = |l: &&str| l.contains("clients_now=");
        let before = self.text().lines().filter(printed).count();
        self.signal("USR1");
        if !comes(patience, || self.text().lines().filter(printed).count() > before) {
            return None;
        }
        self.text().lines().rfind(printed).map(numbers)
    }

    /// A counter, printed on request, which has to come.
    pub fn counter(&self, name: &str) -> u64 {
        let all = self.counters(PATIENCE).expect("counters are printed");
        *all.get(name).unwrap_or_else(|| panic!("no counter {name}")) as u64
    }

    /// Waits until a counter is at least so much.
    pub fn reaches(&self, name: &str, least: u64) {
        until(&format!("{name} is {least}"), || self.counter(name) >= least);
    }

    /// A client connected to it.
    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).expect("a connection"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Keeps whole lines; of very many, the later half.
fn listen(stderr: impl Read, into: &Mutex<String>, reads: &AtomicBool) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        while !reads.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK);
        }
        let Ok(mut said) = into.lock() else { return };
        said.push_str(&line);
        said.push('\n');
        if said.len() > MOST_SAID {
            let later = said[said.len() / 2..].find('\n').map_or(0, |end| said.len() / 2 + end + 1);
            said.drain(..later);
        }
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn numbers(line: &str) -> HashMap<String, f64> {
    let pairs = line.split_whitespace().filter_map(|p| p.split_once('='));
    pairs.filter_map(|(n, v)| Some((n.to_string(), v.parse().ok()?))).collect()
}
