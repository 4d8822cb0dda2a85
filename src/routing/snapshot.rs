//! The state that a router's next process takes over.
//!
//! A snapshot contains the state that means the same in another process that routes to the same servers: by
//! server its weight penalty, latency ratio, ejection and warm-up, each for the same server process only; by
//! class the mean sending time; and the purges. Concurrency limits, delays, shadow lists, the split and
//! shares of fills depend on the deployment and its clients and start afresh. Times are in milliseconds of
//! the caller's clock.

use super::endpoints::Server;
use super::outlier_ejection::Health;
use super::slow_start::CostEstimate;
use super::{PurgeTarget, Router};
use crate::api::*;
use crate::averages::MovingAverage;

/// What is known of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The server that the snapshot describes.
    pub id: ServerId,
    /// The listed start of the process that the snapshot describes.
    pub listed_start: Option<Ms>,
    /// Logarithm of the share of its listed weight that the server keeps; 0 or below.
    pub weight_penalty_log: f64,
    /// Logarithm of the mean latency ratio; `None` without a response.
    pub latency_ratio_log: Option<f64>,
    /// Whether the server is ejected, or probed after an ejection.
    pub ejected: bool,
    /// When the process started or presumably restarted; `None` if long ago.
    pub warmup_started: Option<Ms>,
}

/// The mean sending time of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct SendingTimeSnapshot {
    /// Name of the class in the settings.
    pub class: String,
    /// Mean sending time in milliseconds.
    pub mean: Ms,
    /// Number of samples in the mean.
    pub samples: u32,
}

/// The latest purge of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct PurgeSnapshot {
    /// What was purged.
    pub target: PurgeTarget,
    /// When it was purged.
    pub purged_at: Ms,
}

/// The state that a router hands to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The listed servers.
    pub servers: Vec<ServerSnapshot>,
    /// The classes with samples.
    pub sending_times: Vec<SendingTimeSnapshot>,
    /// The purges that may still matter.
    pub purges: Vec<PurgeSnapshot>,
}

impl Router {
    /// The state for the next process.
    pub fn snapshot(&self) -> Snapshot {
        let listed = self.endpoints.iter().filter(|s| s.entry.state != EndpointState::Removed);
        let classes = self.settings.classes.iter().zip(self.statistics.classes());
        let sending_time = |class: &Class, mean: &MovingAverage| {
            let (class, samples) = (class.name.clone(), mean.samples());
            mean.get().map(|mean| SendingTimeSnapshot { class, mean, samples })
        };
        let purges = self.purges.iter();
        Snapshot {
            servers: listed.map(server_snapshot).collect(),
            sending_times: classes.filter_map(|(c, stats)| sending_time(c, &stats.sending_time)).collect(),
            purges: purges.map(|(target, purged_at)| PurgeSnapshot { target, purged_at }).collect(),
        }
    }

    /// Takes over a snapshot. Returns how many of its servers are listed here as the same process. No
    /// snapshot makes a warming server warm or a purge undone.
    pub fn restore(&mut self, now: Ms, snapshot: Snapshot) -> usize {
        let restored = snapshot.servers.into_iter().filter(|server| self.restore_server(now, server)).count();
        for SendingTimeSnapshot { class, mean, samples } in snapshot.sending_times {
            let class = self.settings.classes.iter().position(|known| known.name == class);
            if let Some(class) = class {
                let statistics = self.statistics.class_mut(ClassId(class));
                statistics.sending_time = MovingAverage::from_mean(mean, samples);
                statistics.cost = CostEstimate::from_mean(mean, samples);
            }
        }
        for PurgeSnapshot { target, purged_at } in snapshot.purges {
            self.purges.record(target, purged_at);
        }
        [Role::Edge, Role::Parent].into_iter().for_each(|role| self.endpoints.reorder(role));
        restored
    }

    /// Takes over the state of a server, if the list names the same process.
    fn restore_server(&mut self, now: Ms, snapshot: &ServerSnapshot) -> bool {
        let server = self.endpoints.get_mut(&snapshot.id);
        let Some(server) = server.filter(|s| s.entry.started == snapshot.listed_start) else {
            return false;
        };
        server.penalty.restore(snapshot.weight_penalty_log, snapshot.latency_ratio_log);
        if snapshot.ejected {
            server.outlier.health = Health::Ejected { until: now };
        }
        server.warmup.restore(snapshot.warmup_started);
        true
    }
}

fn server_snapshot(server: &Server) -> ServerSnapshot {
    ServerSnapshot {
        id: server.entry.id.clone(),
        listed_start: server.entry.started,
        weight_penalty_log: server.penalty.penalty_log(),
        latency_ratio_log: server.penalty.latency_ratio_log(),
        ejected: server.outlier.health != Health::Healthy,
        warmup_started: server.warmup.started(),
    }
}
