//! Events of the change log: their types, and their decoding from the configuration file.

use crate::node::address;
use crate::typed::{plain, typed, Whole};
use crate::value::BadInput;
use crate::Names;
use basaltgw::api::{Endpoint, EndpointState, GroupId, Ms, ObjectId, ServerId};
use garde::Validate;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of an event of the change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// The address and start of a server's process; another address or start is another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Its address.
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds; `None` if that is unknown.
    pub started: Option<Ms>,
}

/// A server in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its entry for the decision module.
    pub entry: Endpoint,
    /// Its address.
    pub address: SocketAddr,
}

impl Member {
    /// Its process.
    pub fn place(&self) -> Place {
        Place { address: self.address, started: self.entry.started }
    }
}

/// An event of the change log.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// An endpoint list, complete or a change.
    Servers {
        /// Whether it is complete: servers that it omits are removed.
        whole: bool,
        /// Its entries.
        members: Vec<Member>,
    },
    /// A purge of an object or a group.
    Purge {
        /// The object, if it is a purge of one.
        object: Option<ObjectId>,
        /// The group otherwise.
        group: GroupId,
        /// When it happened, in Unix milliseconds.
        time: Ms,
    },
}

/// An event in the file.
#[derive(Deserialize, Validate)]
#[garde(allow_unvalidated)]
struct EventFile<'a> {
    #[allow(dead_code)] // Required, and not used.
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

/// Decodes an event of the array `known.results`.
///
/// # Errors
/// The field at fault.
pub(crate) fn event(v: &Value, names: &Names) -> Result<News, BadInput> {
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
