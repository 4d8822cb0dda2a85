//! The router's configuration: the variables of the environment, and the JSON file that they name.

use crate::change_log::{decode_event, Seq, WatchEvent};
use crate::typed::{deserialize, in_range, kebab_case, unchanged, NonNegative, UnsignedInteger};
use crate::value::FieldError;
use crate::{parse_settings, WireNames};
use basaltgw::api::{Ms, Settings};
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The defaults of [`Limits`]: the resources of the smallest machine of a deployment.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The bounds of the connect timeout.
const MIN_CONNECT_TIMEOUT_MS: f64 = 1.0;
const MAX_CONNECT_TIMEOUT_MS: f64 = 60_000.0;
/// The fewest descriptors that suffice for clients, servers and the change log together.
const MIN_DESCRIPTORS: u64 = 32;
/// The defaults of [`Transport`].
const DEFAULT_CONNECTION_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1_000.0;
const DEFAULT_MAX_STREAMS: u64 = 100;
const DEFAULT_MAX_OPEN_REQUESTS: u64 = 10_000;

/// The resources that the router may use on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

impl Limits {
    /// A share of the memory, in bytes.
    pub fn share_of_memory(&self, share: f64) -> usize {
        (self.memory_mb as f64 * 1e6 * share) as usize
    }
}

/// The settings of connections to servers and of open requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transport {
    /// How long a connection to a server may be idle before it is closed, in milliseconds.
    pub connection_idle_timeout: Ms,
    /// The connect timeout in milliseconds.
    pub connect_timeout: Ms,
    /// The most attempts that a connection carries at the same time.
    pub max_streams: usize,
    /// The most requests that are open at the same time.
    pub max_open_requests: usize,
}

/// The result of a reload: the address that a running router applies, and the changes that it does not apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// The address of the change log.
    pub changelog: SocketAddr,
    /// The changed keys that take effect after a restart only.
    pub restart_required: Vec<&'static str>,
}

/// The configuration of a router process.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The router's name.
    pub name: String,
    /// The address at which the router accepts clients.
    pub listen: SocketAddr,
    /// The seed of the router's random numbers.
    pub seed: u64,
    /// The resources that the router may use on its machine.
    pub limits: Limits,
    /// The address of the change log.
    pub changelog: SocketAddr,
    /// The sequence number of the change log's last event that the file contains.
    pub last_known_seq: Seq,
    /// The events of the change log that the file contains, oldest first.
    pub known_events: Vec<WatchEvent>,
    /// The errors of events in the file that can't be decoded; they don't prevent a start.
    pub undecodable_events: Vec<FieldError>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of zones, classes and server kinds in messages.
    pub names: WireNames,
    /// The settings of connections to servers and of open requests.
    pub transport: Transport,
}

/// The environment's variables that configure the router.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `GW_NAME`: the router's name.
    pub name: Option<String>,
    /// `GW_LISTEN`: the address at which the router accepts clients.
    pub listen: Option<String>,
    /// `GW_CONFIG`: the path of the configuration file.
    pub config: Option<String>,
}

impl Environment {
    /// Reads the environment of this process; an empty variable counts as absent.
    pub fn from_process() -> Self {
        let variable = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
        Self { name: variable("GW_NAME"), listen: variable("GW_LISTEN"), config: variable("GW_CONFIG") }
    }
}

/// Reads the configuration file that `GW_CONFIG` names. The other variables override its keys.
///
/// # Errors
/// If the file can't be read or is not JSON, or a key or variable is invalid.
pub fn read_config(env: &Environment) -> Result<RouterConfig, FieldError> {
    let error = |message: String| FieldError::new("GW_CONFIG", message);
    let path = env.config.as_deref().ok_or_else(|| error("expected a file's path".into()))?;
    let file = std::fs::read(path).map_err(|e| error(format!("{path}: {e}")))?;
    let value = serde_json::from_slice(&file).map_err(|e| error(format!("{path} is not JSON: {e}")))?;
    // An invalid variable is not an error of the file.
    parse_config(&value, env).map_err(|e| if e.field().starts_with("GW_") { e } else { e.in_file(path) })
}

/// The configuration file's keys, except for the settings and the known events, which are decoded separately.
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

/// The key `limits`.
#[derive(Default, Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct LimitsFile {
    #[garde(inner(custom(positive)))]
    memory_mb: Option<UnsignedInteger>,
    #[garde(inner(custom(enough_descriptors)))]
    sockets: Option<UnsignedInteger>,
}

fn positive(n: &UnsignedInteger, (): &()) -> garde::Result {
    (n.0 > 0).then_some(()).ok_or_else(|| garde::Error::new("expected 1 or more, found 0"))
}

fn enough_descriptors(n: &UnsignedInteger, (): &()) -> garde::Result {
    let error = || garde::Error::new(format!("expected {MIN_DESCRIPTORS} or more, found {}", n.0));
    (n.0 >= MIN_DESCRIPTORS).then_some(()).ok_or_else(error)
}

fn connect_timeout_in_range(n: &NonNegative, (): &()) -> garde::Result {
    in_range(n.0, MIN_CONNECT_TIMEOUT_MS, MAX_CONNECT_TIMEOUT_MS)
}

/// The key `known`, without the events.
#[derive(Deserialize)]
struct KnownFile {
    seq: Option<UnsignedInteger>,
}

/// The keys of `settings.limits` that concern the router process; the decision module has the others.
#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct TransportFile {
    #[garde(dive)]
    conn_idle: Option<NonNegative>,
    #[garde(inner(custom(connect_timeout_in_range)))]
    connect_timeout: Option<NonNegative>,
    max_streams: Option<UnsignedInteger>,
    most_held: Option<UnsignedInteger>,
}

/// Parses the JSON of a configuration file. The variables of the environment override its keys.
///
/// # Errors
/// The first invalid key or variable.
pub fn parse_config(v: &Value, env: &Environment) -> Result<RouterConfig, FieldError> {
    if !v.is_object() {
        return Err(FieldError::new("config", "expected an object"));
    }
    let (names, settings) = parse_settings(&v["settings"])?;
    let file: File = deserialize(v, "", unchanged)?;
    let listen = match &env.listen {
        Some(listen) => parse_address(listen, "GW_LISTEN")?,
        None => parse_address(file.listen.as_deref().unwrap_or_default(), "listen")?,
    };
    let seed = parse_seed(file.seed.as_deref().unwrap_or("0"))?;
    let transport = parse_transport(v)?;
    let (known_events, undecodable_events) = decode_known_events(&v["known"]["results"], &names)?;
    Ok(RouterConfig {
        name: env.name.clone().or(file.name).unwrap_or_else(|| "basaltgw".into()),
        listen,
        seed,
        limits: limits(&file.limits.unwrap_or_default()),
        changelog: parse_address(file.changelog.as_deref().unwrap_or_default(), "changelog")?,
        last_known_seq: Seq(file.known.and_then(|k| k.seq).map_or(0, |n| n.0)),
        known_events,
        undecodable_events,
        settings,
        names,
        transport,
    })
}

fn parse_seed(text: &str) -> Result<u64, FieldError> {
    u64::from_str_radix(text, 16)
        .map_err(|_| FieldError::new("seed", format!("expected up to 16 hex digits, found {text:?}")))
}

fn limits(file: &LimitsFile) -> Limits {
    Limits {
        memory_mb: file.memory_mb.as_ref().map_or(DEFAULT_MEMORY_MB, |n| n.0),
        descriptors: file.sockets.as_ref().map_or(DEFAULT_DESCRIPTORS, |n| n.0),
    }
}

fn parse_transport(v: &Value) -> Result<Transport, FieldError> {
    let file: Option<TransportFile> = deserialize(&v["settings"]["limits"], "settings.limits", kebab_case)?;
    let file = file.unwrap_or_default();
    let max_open_requests = file.most_held.map_or(DEFAULT_MAX_OPEN_REQUESTS, |n| n.0);
    Ok(Transport {
        connection_idle_timeout: file.conn_idle.map_or(DEFAULT_CONNECTION_IDLE_TIMEOUT_MS, |n| n.0),
        connect_timeout: file.connect_timeout.map_or(DEFAULT_CONNECT_TIMEOUT_MS, |n| n.0),
        max_streams: file.max_streams.map_or(DEFAULT_MAX_STREAMS, |n| n.0).max(1) as usize,
        max_open_requests: max_open_requests.max(1) as usize,
    })
}

/// Decodes the known events, and returns them with the errors of those that can't be decoded.
fn decode_known_events(
    results: &Value,
    names: &WireNames,
) -> Result<(Vec<WatchEvent>, Vec<FieldError>), FieldError> {
    let results = match results {
        Value::Null => &[][..],
        Value::Array(results) => results,
        Value::Bool(_) | Value::Number(_) | Value::String(_) | Value::Object(_) => {
            return Err(FieldError::new("known.results", "expected an array"))
        }
    };
    let (mut events, mut errors) = (Vec::with_capacity(results.len()), Vec::new());
    for (i, result) in results.iter().enumerate() {
        match decode_event(result, names) {
            Ok(event) => events.push(event),
            Err(e) => errors.push(e.within(&format!("known.results[{i}]"))),
        }
    }
    Ok((events, errors))
}

impl RouterConfig {
    /// The slow-start settings of parent caches, which topology changes use as well.
    pub fn parent_slow_start(&self) -> basaltgw_hierarchy::SlowStart {
        let policy = self.settings.parent_slow_start;
        basaltgw_hierarchy::SlowStart {
            initial_share: policy.initial_share,
            ramp_duration: policy.ramp_duration,
        }
    }

    /// Reads the configuration again while the router runs with this one.
    ///
    /// # Errors
    /// As [`read_config`].
    pub fn reload(&self, env: &Environment) -> Result<Reload, FieldError> {
        let new = read_config(env)?;
        let settings_changed =
            (&new.settings, &new.names, new.transport) != (&self.settings, &self.names, self.transport);
        let keys = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("seed", new.seed != self.seed),
            ("limits", new.limits != self.limits),
            ("settings", settings_changed),
        ];
        let restart_required = keys.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect();
        Ok(Reload { changelog: new.changelog, restart_required })
    }
}

pub(crate) fn parse_address(text: &str, field: &str) -> Result<SocketAddr, FieldError> {
    text.parse().map_err(|_| FieldError::new(field, format!("expected address:port, found {text:?}")))
}
