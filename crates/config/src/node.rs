//! What a router on sockets is told at its start: the environment and the file that it names.

use crate::value::{number, text, whole, BadInput, Keys};
use crate::{settings, Names};
use basaltgw::api::{GroupId, Listed, Ms, ObjectId, ServerEntry, ServerId, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// Limits taken where the file names none: the least that a deployment gives.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
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
    pub entry: ServerEntry,
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

/// The typed configuration.
pub fn parse(v: &Value, env: &Environment) -> Result<NodeConfig, BadInput> {
    if !v.is_object() {
        return Err(BadInput::new("config", "expected an object"));
    }
    let keys = Keys(v, "");
    let (names, set) = settings(&v["settings"])?;
    let name = match &env.name {
        Some(name) => name.clone(),
        None => keys.text("name", "basaltgw")?.to_string(),
    };
    let listen = match &env.listen {
        Some(listen) => address(listen, "GW_LISTEN")?,
        None => address(text(&v["listen"], "listen")?, "listen")?,
    };
    let seed = keys.text("seed", "0")?;
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| BadInput::new("seed", format!("expected up to 16 hex digits, found {seed:?}")))?;
    let limits = Keys(&v["limits"], "limits.");
    let limits = Limits {
        memory_mb: limits.whole("memory_mb", DEFAULT_MEMORY_MB)?,
        sockets: limits.whole("sockets", DEFAULT_SOCKETS)?,
    };
    if limits.sockets < LEAST_SOCKETS {
        return Err(BadInput::new("limits.sockets", format!("expected {LEAST_SOCKETS} or more")));
    }
    let of_limits = Keys(&v["settings"]["limits"], "settings.limits.");
    let transport = Transport {
        conn_idle: of_limits.number("conn-idle", DEFAULT_IDLE_MS)?,
        connect_timeout: of_limits.number("connect-timeout", DEFAULT_CONNECT_MS)?,
        max_streams: of_limits.whole("max-streams", DEFAULT_STREAMS)?.max(1) as usize,
        most_open: of_limits.whole("most-held", DEFAULT_OPEN)?.max(1) as usize,
    };
    let known = Keys(&v["known"], "known.");
    let (mut events, mut unread) = (Vec::new(), Vec::new());
    for (i, event) in known.list("results")?.iter().enumerate() {
        // One event that can't be read is no reason not to start.
        match news(event, &names) {
            Ok(event) => events.push(event),
            Err(e) => unread.push(e.within(&format!("known.results[{i}]"))),
        }
    }
    Ok(NodeConfig {
        name,
        listen,
        seed,
        limits,
        changelog: address(text(&v["changelog"], "changelog")?, "changelog")?,
        known_seq: Seq(known.whole("seq", 0)?),
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
        let rule = self.settings.cold_parent;
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

fn news(v: &Value, names: &Names) -> Result<News, BadInput> {
    whole(&v["seq"], "seq")?;
    if !v["fleet"].is_null() {
        let fleet = Keys(&v["fleet"], "fleet.");
        let members = fleet.list("members")?.iter().enumerate();
        let members =
            members.map(|(i, m)| member(m, names).map_err(|e| e.within(&format!("fleet.members[{i}]"))));
        let whole = fleet.boolean("complete", false)?;
        return Ok(News::Servers { whole, members: members.collect::<Result<_, _>>()? });
    }
    let purge = &v["invalidate"];
    if purge.is_null() {
        return Err(BadInput::new("fleet", "expected `fleet` or `invalidate`"));
    }
    let time = number(&purge["time"], "invalidate.time")?;
    if purge["object"].is_null() {
        let group = GroupId(whole(&purge["bucket"], "invalidate.bucket")?);
        return Ok(News::Purge { object: None, group, time });
    }
    let hex = text(&purge["object"], "invalidate.object")?;
    let object = u64::from_str_radix(hex, 16)
        .map_err(|_| BadInput::new("invalidate.object", format!("expected hex digits, found {hex:?}")))?;
    Ok(News::Purge { object: Some(ObjectId(object)), group: GroupId(0), time })
}

fn member(v: &Value, names: &Names) -> Result<Member, BadInput> {
    let keys = Keys(v, "");
    let (locality, flavor) = (text(&v["locality"], "locality")?, text(&v["flavor"], "flavor")?);
    let unknown = |field: &str, what: &str| BadInput::new(field, format!("unknown {what:?}"));
    let entry = ServerEntry {
        id: ServerId(Arc::from(text(&v["id"], "id")?)),
        zone: names.zone(locality).ok_or_else(|| unknown("locality", locality))?,
        role: names.role(flavor).ok_or_else(|| unknown("flavor", flavor))?,
        cell: keys.whole("cell", 0)?,
        listed: match text(&v["phase"], "phase")? {
            "SERVING" => Listed::Up,
            "DRAINING" => Listed::Draining,
            "DELETED" => Listed::Gone,
            other => return Err(unknown("phase", other)),
        },
        weight: keys.number("size", 1.0)?,
        started: Some(keys.number("up_since_ms", 0.0)?).filter(|t| *t > 0.0),
    };
    Ok(Member { entry, address: address(text(&v["host_port"], "host_port")?, "host_port")? })
}
