//! Which members replicate a register. Decided from the shard map and the key's hash alone, so that every router finds the same replicas.

use crate::{Kind, RecordKey};
use basaltgw_structures::hash::mix;
use basaltgw_types::{Member, QuorumGroup, ReplicaSet, Shard, ShardMap};
use serde::{Deserialize, Serialize};

/// The registers that one replica set stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Partition {
    Shard(Shard),
    /// The register of the placement table.
    Root,
}

impl Partition {
    /// The partition of a register; `None` if the map has no shards.
    pub fn of(map: &ShardMap, key: &RecordKey) -> Option<Self> {
        if key.kind == Kind::Table {
            return Some(Self::Root);
        }
        let shards = u64::try_from(map.shards.len()).ok().filter(|n| *n > 0)?;
        let low = mix(key.name as u64, key.kind as u64);
        u16::try_from(mix((key.name >> 64) as u64, low) % shards).ok().map(|s| Self::Shard(Shard(s)))
    }

    /// All partitions of a map with their replicas.
    pub fn all(map: &ShardMap) -> impl Iterator<Item = PartitionReplicas<'_>> {
        let root = PartitionReplicas { partition: Self::Root, replicas: &map.root };
        let shard = |(replicas, s)| PartitionReplicas { partition: Self::Shard(Shard(s)), replicas };
        std::iter::once(root).chain(map.shards.iter().zip(0u16..).map(shard))
    }

    /// The replicas of the partition.
    pub fn replicas(self, map: &ShardMap) -> Option<&ReplicaSet> {
        match self {
            Self::Root => Some(&map.root),
            Self::Shard(Shard(s)) => map.shards.get(usize::from(s)),
        }
    }
}

/// A partition with the members that replicate it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartitionReplicas<'a> {
    pub partition: Partition,
    pub replicas: &'a ReplicaSet,
}

/// The replicas of a register under a map.
pub(crate) fn replicas_of<'a>(map: &'a ShardMap, key: &RecordKey) -> Option<&'a ReplicaSet> {
    Partition::of(map, key)?.replicas(map)
}

/// True if the member is one of the replicas.
pub(crate) fn is_replica(replicas: &ReplicaSet, member: &Member) -> bool {
    replicas.groups.iter().any(|g| g.members.contains(member))
}

/// True if any two quorums of each group intersect, and no member is listed twice.
pub(crate) fn quorums_intersect(replicas: &ReplicaSet) -> bool {
    let intersects = |g: &QuorumGroup| {
        let distinct = (1..g.members.len()).all(|i| !g.members[..i].contains(&g.members[i]));
        distinct && g.quorum <= g.members.len() && 2 * g.quorum > g.members.len()
    };
    !replicas.groups.is_empty() && replicas.groups.iter().all(intersects)
}
