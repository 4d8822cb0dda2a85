//! What a router has learnt that still means the same in another deployment of the same servers, as plain values.
//!
//! Carried over: by server, how much its listed size is cut and how it lags beside its peers, that it was out, and when it
//! started cold, all of the same process only; by class, what an answer takes to send; and every purge. Started afresh: gates
//! (they hold for the routers and links of one deployment), delays and L1 and L2 (other aims, other hubs), the shadow lists and
//! the split (other clients), shares of fills, and what is open.

use crate::api::*;
use crate::routing::Router;
use crate::state::{Health, Server};

/// What was learnt of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// Which.
    pub id: ServerId,
    /// The start of the process of which it was learnt, as listed.
    pub listed_start: Option<Ms>,
    /// By how much its listed size is cut, as a logarithm.
    pub weight_penalty_log: f64,
    /// How slow its answers were, as a logarithm.
    pub latency_ratio_log: Option<f64>,
    /// It was taken out.
    pub ejected: bool,
    /// When it started, or came back as if it had.
    pub warmup_started: Option<Ms>,
}

/// What was learnt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// By server.
    pub servers: Vec<ServerSnapshot>,
    /// By class: its name, what its answers take to send, and of how many that is the mean.
    pub sending_times: Vec<(String, Ms, u32)>,
    /// What was purged, an object or a group, and when.
    pub purges: Vec<(Option<ObjectId>, Option<GroupId>, Ms)>,
}

impl Router {
    /// What this router has learnt.
    pub fn snapshot(&self) -> Snapshot {
        let listed = self.servers.values().filter(|s| s.entry.state != EndpointState::Removed);
        let server = |s: &Server| ServerSnapshot {
            id: s.entry.id.clone(),
            listed_start: s.entry.started,
            weight_penalty_log: s.cut,
            latency_ratio_log: s.lag.get(),
            ejected: s.health != Health::Good,
            warmup_started: s.started,
        };
        let sending = self.set.classes.iter().zip(&self.sending);
        Snapshot {
            servers: listed.map(server).collect(),
            sending_times: sending
                .filter_map(|(c, a)| a.get().map(|mean| (c.name.clone(), mean, a.samples())))
                .collect(),
            purges: self.purged.iter().map(|((object, group), at)| (*object, *group, *at)).collect(),
        }
    }
}
