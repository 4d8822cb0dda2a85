//! What a router on sockets is told at its start: the environment and the file that it names.

use crate::typed::{bounded, dashed, plain, typed, Amount, Whole};
use crate::value::BadInput;
use crate::{settings, Names};
use basaltgw::api::{Endpoint, EndpointState, GroupId, Ms, ObjectId, ServerId, Settings};
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// Limits taken where the file names none: the least that a deployment gives.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
/// A connection comes up within a minute or not at all; 0 would give none the time to.
const LEAST_CONNECT_MS: f64 = 1.0;
const MOST_CONNECT_MS: f64 = 60_000.0;
/// Fewer descriptors than this leave no room for clients, servers and the change log together.
const LEAST_SOCKETS: u64 = 32;
/// Meanings of absent transport settings.
const DEFAULT_IDLE_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_MS: f64 = 1_000.0;
const DEFAULT_STREAMS: u64 = 100;
const DEFAULT_OPEN: u64 = 10_000;

/// The number of an event of the change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// Where a server's process is reached; another address or start is another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Its address.
    pub address: SocketAddr,
    /// When it started, if lately.
    pub started: Option<Ms>,
}

/// A server as the change log tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// What the module is told.
    pub entry: Endpoint,
    /// Where it is reached.
    pub address: SocketAddr,
}

impl Member {
    /// Where its process is reached.
    pub fn place(&self) -> Place {
        Place { address: self.address, started: self.entry.started }
    }
}

/// An event of the change log.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The server list, whole or what changed.
    Servers {
        /// It is the whole list.
        whole: bool,
        /// Its entries.
        members: Vec<Member>,
    },
    /// A purge of an object or a group.
    Purge {
        /// The object, if one is named.
        object: Option<ObjectId>,
        /// The group otherwise.
        group: GroupId,
        /// The Unix millisecond at which it happened.
        time: Ms,
    },
}

/// What the machine gives.
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

/// What the settings say of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transport {
    /// Idle connections to servers close after this.
    pub conn_idle: Ms,
    /// A connection has to come up within this.
    pub connect_timeout: Ms,
    /// Attempts that a connection carries at once.
    pub max_streams: usize,
    /// Requests that may be open.
    pub most_open: usize,
}

/// What a running router takes over from a configuration that was read again.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// Where the change log is now.
    pub changelog: SocketAddr,
    /// Keys whose new values only a new start can take.
    pub fixed: Vec<&'static str>,
}

/// All that a router on sockets is told.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the machine gives.
    pub limits: Limits,
    /// Where the change log is.
    pub changelog: SocketAddr,
    /// The last event under `known`.
    pub known_seq: Seq,
    /// The events told so far.
    pub known: Vec<News>,
    /// Those among them that could not be read, by their faults.
    pub unread: Vec<BadInput>,
    /// The module's settings.
    pub settings: Settings,
    /// Names by which messages speak.
    pub names: Names,
    /// What the settings say of connections.
    pub transport: Transport,
}

/// The `GW_` variables, as they stand in the environment.
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

/// Reads the file that the environment names. Variables win over the file.
pub fn read(env: &Environment) -> Result<NodeConfig, BadInput> {
    let path = env.config.as_deref().ok_or_else(|| BadInput::new("GW_CONFIG", "expected a file's path"))?;
    let file = std::fs::read(path).map_err(|e| BadInput::new("GW_CONFIG", format!("{path}: {e}")))?;
    let value = serde_json::from_slice(&file)
        .map_err(|e| BadInput::new("GW_CONFIG", format!("{path} is not JSON: {e}")))?;
    // What a variable says is not the file's fault.
    parse(&value, env).map_err(|e| if e.to_string().starts_with("field GW_") { e } else { e.in_file(path) })
}

/// The file's keys but for the settings and the events, which are read one by one.
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
    #[garde(inner(custom(some_memory)))]
    memory_mb: Option<Whole>,
    #[garde(inner(custom(enough_sockets)))]
    sockets: Option<Whole>,
}

/// Without any, every answer would be one too many.
fn some_memory(n: &Whole, (): &()) -> garde::Result {
    (n.0 > 0).then_some(()).ok_or_else(|| garde::Error::new("expected 1 or more, found 0"))
}

fn connects(n: &Amount, (): &()) -> garde::Result {
    bounded(n.0, LEAST_CONNECT_MS, MOST_CONNECT_MS)
}

fn enough_sockets(n: &Whole, (): &()) -> garde::Result {
    let what = || garde::Error::new(format!("expected {LEAST_SOCKETS} or more, found {}", n.0));
    (n.0 >= LEAST_SOCKETS).then_some(()).ok_or_else(what)
}

#[derive(Deserialize)]
struct KnownFile {
    seq: Option<Whole>,
}

/// What the settings say of connections, as it stands in the file.
#[derive(Default, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
#[garde(allow_unvalidated)]
struct TransportFile {
    #[garde(dive)]
    conn_idle: Option<Amount>,
    #[garde(inner(custom(connects)))]
    connect_timeout: Option<Amount>,
    max_streams: Option<Whole>,
    most_held: Option<Whole>,
}

/// The typed configuration.
pub fn parse(v: &Value, env: &Environment) -> Result<NodeConfig, BadInput> {
    if !v.is_object() {
        return Err(BadInput::new("config", "expected an object"));
    }
    let (names, set) = settings(&v["settings"])?;
    let file: File = typed(v, "", plain)?;
    let listen = match &env.listen {
        Some(listen) => address(listen, "GW_LISTEN")?,
        None => address(file.listen.as_deref().unwrap_or_default(), "listen")?,
    };
    let seed = file.seed.as_deref().unwrap_or("0");
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| BadInput::new("seed", format!("expected up to 16 hex digits, found {seed:?}")))?;
    let limits = file.limits.unwrap_or_default();
    let limits = Limits {
        memory_mb: limits.memory_mb.map_or(DEFAULT_MEMORY_MB, |n| n.0),
        sockets: limits.sockets.map_or(DEFAULT_SOCKETS, |n| n.0),
    };
    let of: Option<TransportFile> = typed(&v["settings"]["limits"], "settings.limits", dashed)?;
    let of = of.unwrap_or_default();
    let transport = Transport {
        conn_idle: of.conn_idle.map_or(DEFAULT_IDLE_MS, |n| n.0),
        connect_timeout: of.connect_timeout.map_or(DEFAULT_CONNECT_MS, |n| n.0),
        max_streams: of.max_streams.map_or(DEFAULT_STREAMS, |n| n.0).max(1) as usize,
        most_open: of.most_held.map_or(DEFAULT_OPEN, |n| n.0).max(1) as usize,
    };
    let results = match &v["known"]["results"] {
        Value::Null => &[][..],
        Value::Array(results) => results,
        Value::Bool(_) | Value::Number(_) | Value::String(_) | Value::Object(_) => {
            return Err(BadInput::new("known.results", "expected an array"))
        }
    };
    let (mut events, mut unread) = (Vec::with_capacity(results.len()), Vec::new());
    for (i, event) in results.iter().enumerate() {
        // One event that can't be read is no reason not to start.
        match news(event, &names) {
            Ok(event) => events.push(event),
            Err(e) => unread.push(e.within(&format!("known.results[{i}]"))),
        }
    }
    Ok(NodeConfig {
        name: env.name.clone().or(file.name).unwrap_or_else(|| "basaltgw".into()),
        listen,
        seed,
        limits,
        changelog: address(file.changelog.as_deref().unwrap_or_default(), "changelog")?,
        known_seq: Seq(file.known.and_then(|k| k.seq).map_or(0, |n| n.0)),
        known: events,
        unread,
        settings: set,
        names,
        transport,
    })
}

impl NodeConfig {
    /// The cold rule's figures for parents, by which a reshape goes.
    pub fn cold(&self) -> basaltgw_hierarchy::Cold {
        let rule = self.settings.parent_slow_start;
        basaltgw_hierarchy::Cold { share: rule.share, span: rule.span }
    }

    /// Reads the configuration again for a router that runs with this one.
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

fn address(text: &str, field: &str) -> Result<SocketAddr, BadInput> {
    text.parse().map_err(|_| BadInput::new(field, format!("expected address:port, found {text:?}")))
}

/// An event as it stands in the file.
#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct EventFile<'a> {
    #[allow(dead_code)] // It has to be there.
    seq: Whole,
    #[serde(borrow)]
    fleet: Option<FleetFile<'a>>,
    invalidate: Option<PurgeFile<'a>>,
}

#[derive(Deserialize)]
struct FleetFile<'a> {
    complete: Option<bool>,
    #[serde(borrow)]
    members: Option<Vec<MemberFile<'a>>>,
}

#[derive(Deserialize)]
struct PurgeFile<'a> {
    time: f64,
    object: Option<&'a str>,
    bucket: Option<Whole>,
}

#[derive(Deserialize)]
struct MemberFile<'a> {
    id: &'a str,
    host_port: &'a str,
    locality: &'a str,
    flavor: &'a str,
    cell: Option<Whole>,
    phase: Phase,
    size: Option<f64>,
    up_since_ms: Option<f64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Phase {
    Serving,
    Draining,
    Deleted,
}

fn news(v: &Value, names: &Names) -> Result<News, BadInput> {
    let event: EventFile<'_> = typed(v, "", plain)?;
    if let Some(fleet) = event.fleet {
        let members = fleet.members.unwrap_or_default().into_iter().enumerate();
        let members =
            members.map(|(i, m)| member(m, names).map_err(|e| e.within(&format!("fleet.members[{i}]"))));
        let whole = fleet.complete.unwrap_or(false);
        return Ok(News::Servers { whole, members: members.collect::<Result<_, _>>()? });
    }
    let Some(PurgeFile { time, object, bucket }) = event.invalidate else {
        return Err(BadInput::new("fleet", "expected `fleet` or `invalidate`"));
    };
    let Some(hex) = object else {
        let absent = || BadInput::new("invalidate.bucket", "expected a whole number, found nothing");
        return Ok(News::Purge { object: None, group: GroupId(bucket.ok_or_else(absent)?.0), time });
    };
    let object = u64::from_str_radix(hex, 16)
        .map_err(|_| BadInput::new("invalidate.object", format!("expected hex digits, found {hex:?}")))?;
    Ok(News::Purge { object: Some(ObjectId(object)), group: GroupId(0), time })
}

fn member(m: MemberFile<'_>, names: &Names) -> Result<Member, BadInput> {
    let unknown = |field: &str, what: &str| BadInput::new(field, format!("unknown {what:?}"));
    let entry = Endpoint {
        id: ServerId(Arc::from(m.id)),
        zone: names.zone(m.locality).ok_or_else(|| unknown("locality", m.locality))?,
        role: names.role(m.flavor).ok_or_else(|| unknown("flavor", m.flavor))?,
        cell: m.cell.map_or(0, |n| n.0),
        state: match m.phase {
            Phase::Serving => EndpointState::Up,
            Phase::Draining => EndpointState::Draining,
            Phase::Deleted => EndpointState::Removed,
        },
        weight: m.size.unwrap_or(1.0),
        started: m.up_since_ms.filter(|t| *t > 0.0),
    };
    Ok(Member { entry, address: address(m.host_port, "host_port")? })
}
