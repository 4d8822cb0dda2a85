//! The nodes of the fleet: edge caches, parents and the origin.

use super::fills::Fill;
use crate::cold::ColdCount;
use crate::spec::{FleetSpec, Machine};
use crate::store::Store;
use crate::Ms;
use basaltgw_hierarchy::{FillKey, NodeId, OriginShield, SourceSelector};
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A node's place in the fleet. The archive is the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIx(pub usize);

/// The archive.
pub const ARCHIVE: NodeIx = NodeIx(0);

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeInfo {
    /// Its id on the list.
    pub id: NodeId,
    /// Its name for people and scripts.
    pub name: String,
    /// Its tier: 0 the archive, 1 hubs, 2 districts, 3 edge caches.
    pub tier: u8,
    /// Its zone; 0 for all that are no edge caches.
    pub zone: usize,
    /// Not listed at the start.
    pub spare: bool,
    /// Its machine.
    pub machine: Machine,
}

/// The nodes of a fleet: the archive, hubs, districts, edge caches by zone.
pub fn nodes(spec: &FleetSpec) -> Vec<NodeInfo> {
    let mut all = Vec::new();
    let mut add = |name: String, tier: u8, zone: usize, spare: bool, machine: &Machine| {
        let id = NodeId::new(&format!("s-{:08x}", 0x00c0_0000 + all.len()));
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

pub(super) struct Node {
    pub(super) info: NodeInfo,
    pub(super) up: bool,
    pub(super) hung: Ms,
    pub(super) vanished: bool,
    pub(super) slow: (f64, Ms),
    pub(super) refuses: Ms,
    pub(super) loses: (f64, Ms),
    pub(super) wrong: Option<(NodeIx, Ms)>,
    pub(super) store: Store,
    pub(super) side: SourceSelector,
    pub(super) shield: OriginShield,
    pub(super) fills: IndexMap<FillKey, Fill>,
    /// When each slot is free.
    pub(super) free: BinaryHeap<Reverse<u64>>,
    pub(super) cold: Option<ColdCount>,
    /// Purges it has heard of: older copies are not kept.
    pub(super) purged: HashMap<u64, Ms>,
    pub(super) purged_groups: HashMap<u64, Ms>,
}
