//! The watch events of the change log, and the decoding of the known events in the configuration file.

use crate::router_config::parse_address;
use crate::typed::{deserialize, unchanged, UnsignedInteger};
use crate::value::FieldError;
use crate::WireNames;
use basaltgw::api::{Endpoint, EndpointState, GroupId, Ms, ObjectId, ServerId};
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// The sequence number of an event of the change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// A server's process, identified by its address and start time: a server with another address or start time is another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerProcess {
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds; `None` if that is unknown.
    pub started: Option<Ms>,
}

/// A server of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server's entry in the endpoint list of the decision module.
    pub endpoint: Endpoint,
    /// The address at which the server accepts connections.
    pub address: SocketAddr,
}

impl ListedServer {
    /// The server's current process.
    pub fn process(&self) -> ServerProcess {
        ServerProcess { address: self.address, started: self.endpoint.started }
    }
}

/// An event of the change log.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// An endpoint list, or the changes of one.
    EndpointList {
        /// Whether the list is complete, so that servers that it omits are removed; else it contains the changed servers only.
        complete: bool,
        /// The listed servers.
        servers: Vec<ListedServer>,
    },
    /// A purge of an object or a group.
    Purge {
        /// The purged object; `None` if a group is purged.
        object: Option<ObjectId>,
        /// The purged group if `object` is `None`.
        group: GroupId,
        /// The time of the purge, in Unix milliseconds.
        purged_at: Ms,
    },
}

/// An entry of `known.results`.
#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct EventFile<'a> {
    #[allow(dead_code)] // A required key whose value is not used.
    seq: UnsignedInteger,
    #[serde(borrow)]
    fleet: Option<ListFile<'a>>,
    invalidate: Option<PurgeFile<'a>>,
}

/// The key `fleet` of an event: an endpoint list.
#[derive(Deserialize)]
struct ListFile<'a> {
    complete: Option<bool>,
    #[serde(borrow)]
    members: Option<Vec<ServerFile<'a>>>,
}

/// The key `invalidate` of an event: a purge of an object, or of a group.
#[derive(Deserialize)]
struct PurgeFile<'a> {
    time: f64,
    object: Option<&'a str>,
    bucket: Option<UnsignedInteger>,
}

/// An entry of `fleet.members`: a listed server.
#[derive(Deserialize)]
struct ServerFile<'a> {
    id: &'a str,
    host_port: &'a str,
    locality: &'a str,
    flavor: &'a str,
    cell: Option<UnsignedInteger>,
    phase: Phase,
    size: Option<f64>,
    up_since_ms: Option<f64>,
}

/// The state of a listed server.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Phase {
    Serving,
    Draining,
    Deleted,
}

/// Decodes an entry of the configuration file's array `known.results`.
///
/// # Errors
/// The first invalid field.
pub(crate) fn decode_event(v: &Value, names: &WireNames) -> Result<WatchEvent, FieldError> {
    let event: EventFile<'_> = deserialize(v, "", unchanged)?;
    match (event.fleet, event.invalidate) {
        (Some(list), _) => endpoint_list(list, names),
        (None, Some(purge)) => decode_purge(&purge),
        (None, None) => Err(FieldError::new("fleet", "expected `fleet` or `invalidate`")),
    }
}

fn endpoint_list(list: ListFile<'_>, names: &WireNames) -> Result<WatchEvent, FieldError> {
    let decode = |(i, server): (usize, ServerFile<'_>)| {
        listed_server(server, names).map_err(|e| e.within(&format!("fleet.members[{i}]")))
    };
    let servers = list.members.unwrap_or_default().into_iter().enumerate().map(decode);
    Ok(WatchEvent::EndpointList {
        complete: list.complete.unwrap_or(false),
        servers: servers.collect::<Result<_, _>>()?,
    })
}

fn decode_purge(purge: &PurgeFile<'_>) -> Result<WatchEvent, FieldError> {
    let purged_at = purge.time;
    let Some(hex) = purge.object else {
        let missing = || FieldError::new("invalidate.bucket", "expected a whole number, found nothing");
        let bucket = purge.bucket.ok_or_else(missing)?;
        return Ok(WatchEvent::Purge { object: None, group: GroupId(bucket.0), purged_at });
    };
    let object = u64::from_str_radix(hex, 16)
        .map_err(|_| FieldError::new("invalidate.object", format!("expected hex digits, found {hex:?}")))?;
    Ok(WatchEvent::Purge { object: Some(ObjectId(object)), group: GroupId(0), purged_at })
}

fn listed_server(server: ServerFile<'_>, names: &WireNames) -> Result<ListedServer, FieldError> {
    let unknown = |field: &str, name: &str| FieldError::new(field, format!("unknown {name:?}"));
    let endpoint = Endpoint {
        id: ServerId(Arc::from(server.id)),
        zone: names.zone(server.locality).ok_or_else(|| unknown("locality", server.locality))?,
        role: names.role(server.flavor).ok_or_else(|| unknown("flavor", server.flavor))?,
        cell: server.cell.map_or(0, |n| n.0),
        state: match server.phase {
            Phase::Serving => EndpointState::Up,
            Phase::Draining => EndpointState::Draining,
            Phase::Deleted => EndpointState::Removed,
        },
        weight: server.size.unwrap_or(1.0),
        started: server.up_since_ms.filter(|t| *t > 0.0),
    };
    Ok(ListedServer { endpoint, address: parse_address(server.host_port, "host_port")? })
}
