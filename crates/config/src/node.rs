//! The configuration of a router on sockets: the environment, and the file that it names.

use crate::change_log::{event, News, Seq};
use crate::typed::{bounded, dashed, plain, typed, Amount, Whole};
use crate::value::BadInput;
use crate::{settings, Names};
use basaltgw::api::{Ms, Settings};
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The limits without a key in the file: the least that a deployment has.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
/// The bounds of the connect time-out.
const MIN_CONNECT_MS: f64 = 1.0;
const MAX_CONNECT_MS: f64 = 60_000.0;
/// The fewest descriptors that suffice for clients, servers and the change log together.
const MIN_SOCKETS: u64 = 32;
/// Defaults of the transport settings.
const DEFAULT_IDLE_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_MS: f64 = 1_000.0;
const DEFAULT_STREAMS: u64 = 100;
const DEFAULT_MAX_OPEN: u64 = 10_000;

/// The limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: u64,
}

impl Limits {
    /// A share of the memory, in bytes.
    pub fn share_of_memory(&self, share: f64) -> usize {
        (self.memory_mb as f64 * 1e6 * share) as usize
    }
}

/// Settings of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transport {
    /// Connections to servers that are idle for this long are closed, in milliseconds.
    pub conn_idle: Ms,
    /// The connect time-out in milliseconds.
    pub connect_timeout: Ms,
    /// Attempts that a connection carries at once.
    pub max_streams: usize,
    /// Requests that may be open.
    pub most_open: usize,
}

/// What a running router applies of a configuration that was read again.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// The address of the change log.
    pub changelog: SocketAddr,
    /// Changed keys that need a restart.
    pub fixed: Vec<&'static str>,
}

/// The configuration of a router on sockets.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The limits of the machine.
    pub limits: Limits,
    /// The address of the change log.
    pub changelog: SocketAddr,
    /// The last event under `known`.
    pub known_seq: Seq,
    /// The known events.
    pub known: Vec<News>,
    /// The faults of known events that could not be decoded.
    pub unread: Vec<BadInput>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of zones and roles in messages.
    pub names: Names,
    /// Settings of connections.
    pub transport: Transport,
}

/// The `GW_` variables of the environment.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `GW_NAME`.
    pub name: Option<String>,
    /// `GW_LISTEN`.
    pub listen: Option<String>,
    /// `GW_CONFIG`.
    pub config: Option<String>,
}

impl Environment {
    /// Reads the process's environment.
    pub fn take() -> Self {
        let get = |key: &str| std::env::var(key).ok().filter(|v| !v.is_empty());
        Self { name: get("GW_NAME"), listen: get("GW_LISTEN"), config: get("GW_CONFIG") }
    }
}

/// Reads the file that the environment names. Variables override the file.
///
/// # Errors
/// If the file can't be read or is no JSON, or a key or variable is at fault.
pub fn read(env: &Environment) -> Result<NodeConfig, BadInput> {
    let path = env.config.as_deref().ok_or_else(|| BadInput::new("GW_CONFIG", "expected a file's path"))?;
    let file = std::fs::read(path).map_err(|e| BadInput::new("GW_CONFIG", format!("{path}: {e}")))?;
    let value = serde_json::from_slice(&file)
        .map_err(|e| BadInput::new("GW_CONFIG", format!("{path} is not JSON: {e}")))?;
    // A fault of a variable is not reported with the file's name.
    parse(&value, env).map_err(|e| if e.to_string().starts_with("field GW_") { e } else { e.in_file(path) })
}

/// The file's keys except for the settings and the events, which are decoded one by one.
#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<String>,
    #[garde(dive)]
    limits: Option<LimitsFile>,
    changelog: Option<String>,
    known: Option<KnownFile>,
}

#[derive(Default, Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct LimitsFile {
    #[garde(inner(custom(positive_memory)))]
    memory_mb: Option<Whole>,
    #[garde(inner(custom(enough_sockets)))]
    sockets: Option<Whole>,
}

fn positive_memory(n: &Whole, (): &()) -> garde::Result {
    (n.0 > 0).then_some(()).ok_or_else(|| garde::Error::new("expected 1 or more, found 0"))
}

fn connect_timeout_in_range(n: &Amount, (): &()) -> garde::Result {
    bounded(n.0, MIN_CONNECT_MS, MAX_CONNECT_MS)
}

fn enough_sockets(n: &Whole, (): &()) -> garde::Result {
    let what = || garde::Error::new(format!("expected {MIN_SOCKETS} or more, found {}", n.0));
    (n.0 >= MIN_SOCKETS).then_some(()).ok_or_else(what)
}

#[derive(Deserialize)]
struct KnownFile {
    seq: Option<Whole>,
}

/// The settings of connections in the file.
#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct TransportFile {
    #[garde(dive)]
    conn_idle: Option<Amount>,
    #[garde(inner(custom(connect_timeout_in_range)))]
    connect_timeout: Option<Amount>,
    max_streams: Option<Whole>,
    most_held: Option<Whole>,
}

/// Parses the file's JSON.
///
/// # Errors
/// The key or variable at fault.
pub fn parse(v: &Value, env: &Environment) -> Result<NodeConfig, BadInput> {
    if !v.is_object() {
        return Err(BadInput::new("config", "expected an object"));
    }
    let (names, module_settings) = settings(&v["settings"])?;
    let file: File = typed(v, "", plain)?;
    let listen = match &env.listen {
        Some(listen) => address(listen, "GW_LISTEN")?,
        None => address(file.listen.as_deref().unwrap_or_default(), "listen")?,
    };
    let seed = seed(file.seed.as_deref().unwrap_or("0"))?;
    let transport = transport(v)?;
    let (known, unread) = known_events(&v["known"]["results"], &names)?;
    Ok(NodeConfig {
        name: env.name.clone().or(file.name).unwrap_or_else(|| "basaltgw".into()),
        listen,
        seed,
        limits: limits(&file.limits.unwrap_or_default()),
        changelog: address(file.changelog.as_deref().unwrap_or_default(), "changelog")?,
        known_seq: Seq(file.known.and_then(|k| k.seq).map_or(0, |n| n.0)),
        known,
        unread,
        settings: module_settings,
        names,
        transport,
    })
}

fn seed(text: &str) -> Result<u64, BadInput> {
    u64::from_str_radix(text, 16)
        .map_err(|_| BadInput::new("seed", format!("expected up to 16 hex digits, found {text:?}")))
}

fn limits(file: &LimitsFile) -> Limits {
    Limits {
        memory_mb: file.memory_mb.as_ref().map_or(DEFAULT_MEMORY_MB, |n| n.0),
        sockets: file.sockets.as_ref().map_or(DEFAULT_SOCKETS, |n| n.0),
    }
}

fn transport(v: &Value) -> Result<Transport, BadInput> {
    let file: Option<TransportFile> = typed(&v["settings"]["limits"], "settings.limits", dashed)?;
    let file = file.unwrap_or_default();
    Ok(Transport {
        conn_idle: file.conn_idle.map_or(DEFAULT_IDLE_MS, |n| n.0),
        connect_timeout: file.connect_timeout.map_or(DEFAULT_CONNECT_MS, |n| n.0),
        max_streams: file.max_streams.map_or(DEFAULT_STREAMS, |n| n.0).max(1) as usize,
        most_open: file.most_held.map_or(DEFAULT_MAX_OPEN, |n| n.0).max(1) as usize,
    })
}

/// The known events, and the faults of those that can't be decoded, which don't prevent a start.
fn known_events(results: &Value, names: &Names) -> Result<(Vec<News>, Vec<BadInput>), BadInput> {
    let results = match results {
        Value::Null => &[][..],
        Value::Array(results) => results,
        Value::Bool(_) | Value::Number(_) | Value::String(_) | Value::Object(_) => {
            return Err(BadInput::new("known.results", "expected an array"))
        }
    };
    let (mut known, mut unread) = (Vec::with_capacity(results.len()), Vec::new());
    for (i, result) in results.iter().enumerate() {
        match event(result, names) {
            Ok(event) => known.push(event),
            Err(e) => unread.push(e.within(&format!("known.results[{i}]"))),
        }
    }
    Ok((known, unread))
}

impl NodeConfig {
    /// The slow-start settings of parents, which topology changes use.
    pub fn cold(&self) -> basaltgw_hierarchy::SlowStart {
        let rule = self.settings.parent_slow_start;
        basaltgw_hierarchy::SlowStart { initial_share: rule.initial_share, ramp_duration: rule.ramp_duration }
    }

    /// Reads the configuration again for a router that runs with this one.
    ///
    /// # Errors
    /// As [`read`].
    pub fn reload(&self, env: &Environment) -> Result<Reload, BadInput> {
        let new = read(env)?;
        let fixed = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("seed", new.seed != self.seed),
            ("limits", new.limits != self.limits),
            (
                "settings",
                (&new.settings, &new.names, new.transport) != (&self.settings, &self.names, self.transport),
            ),
        ];
        let fixed = fixed.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect();
        Ok(Reload { changelog: new.changelog, fixed })
    }
}

pub(crate) fn address(text: &str, field: &str) -> Result<SocketAddr, BadInput> {
    text.parse().map_err(|_| BadInput::new(field, format!("expected address:port, found {text:?}")))
}
