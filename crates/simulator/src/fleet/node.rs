//! The nodes of the fleet: edge caches, parents and the origin.

use super::fills::Fill;
use crate::cold::ColdLoad;
use crate::spec::{FleetSpec, Machine};
use crate::store::Store;
use crate::Ms;
use basaltgw_hierarchy::{FillKey, NodeId, OriginShield, SourceSelector};
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The index of a node in the fleet; the origin is the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub usize);

/// The origin.
pub const ORIGIN: NodeIndex = NodeIndex(0);

/// The description of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeInfo {
    /// The id in the endpoint list.
    pub id: NodeId,
    /// The name in scripts and messages.
    pub name: String,
    /// The tier: 0 for the origin, 1 for hubs, 2 for districts, 3 for edge caches.
    pub tier: u8,
    /// The zone, from 1; 0 for all nodes but edge caches.
    pub zone: usize,
    /// The node is down and not listed at the start.
    pub spare: bool,
    /// The machine that the node runs on.
    pub machine: Machine,
}

/// The number in the id of the origin; the other nodes have the next ones.
const FIRST_NODE_ID: usize = 0x00c0_0000;

/// The nodes of a fleet in order of their index: the origin, hubs, districts, edge caches by zone.
pub fn nodes(spec: &FleetSpec) -> Vec<NodeInfo> {
    let mut all = Vec::new();
    let mut add = |name: String, tier: u8, zone: usize, spare: bool, machine: &Machine| {
        let id = NodeId::new(&format!("s-{:08x}", FIRST_NODE_ID + all.len()));
        all.push(NodeInfo { id, name, tier, zone, spare, machine: machine.clone() });
    };
    add("archive".into(), 0, 0, false, &spec.archive);
    for i in 0..spec.hubs {
        add(format!("hub-{i}"), 1, 0, i + spec.spare_hubs >= spec.hubs, &spec.hub);
    }
    for i in 0..spec.districts {
        add(format!("district-{i}"), 2, 0, i + spec.spare_districts >= spec.districts, &spec.district);
    }
    for zone in 1..=spec.zones {
        (0..spec.edges_per_zone).for_each(|i| add(format!("edge-{zone}-{i}"), 3, zone, false, &spec.edge));
    }
    all
}

/// The effect of [`NodeFault::Slow`](super::NodeFault::Slow).
pub(super) struct Slowdown {
    pub(super) factor: f64,
    pub(super) until: Ms,
}

/// The effect of [`NodeFault::LoseAnswers`](super::NodeFault::LoseAnswers).
pub(super) struct ResponseLoss {
    pub(super) probability: f64,
    pub(super) until: Ms,
}

/// The state of a node.
pub(super) struct Node {
    pub(super) info: NodeInfo,
    pub(super) up: bool,
    /// The node sends no response before this.
    pub(super) hung_until: Ms,
    /// The machine is unreachable: connections are neither accepted nor closed.
    pub(super) vanished: bool,
    pub(super) slowdown: Slowdown,
    /// The node accepts no new fills before this.
    pub(super) refuses_fills_until: Ms,
    pub(super) response_loss: ResponseLoss,
    /// The wrong source that the node uses, and until when.
    pub(super) wrong_source: Option<(NodeIndex, Ms)>,
    pub(super) store: Store,
    /// The node's part of the plan.
    pub(super) selector: SourceSelector,
    pub(super) shield: OriginShield,
    pub(super) fills: IndexMap<FillKey, Fill>,
    /// When each slot becomes free, in microseconds.
    pub(super) slots_free_at: BinaryHeap<Reverse<u64>>,
    /// The load since the last start; `None` for a node that is up from the start of the run.
    pub(super) cold_load: Option<ColdLoad>,
    /// When the latest purge that the node has received was issued, by object; older copies are not stored.
    pub(super) object_purges: HashMap<u64, Ms>,
    /// Like `object_purges`, by group.
    pub(super) group_purges: HashMap<u64, Ms>,
}
