//! Members, records and shard maps of the simulated network.

use basaltgw_registers::{Kind, RecordKey};
use basaltgw_types::{
    Incarnation, Member, QuorumGroup, ReplicaSet, RouterId, ShardMap, TableHash, TableVersion,
};
use std::sync::Arc;

pub fn mix(a: u64, b: u64) -> u64 {
    basaltgw_structures::hash::mix(a, b)
}

pub fn member(router: usize, incarnation: u128) -> Member {
    Member { router: RouterId(Arc::from(format!("r{router}"))), incarnation: Incarnation(incarnation << 96) }
}

/// The router's index, from its name.
pub(super) fn index(member: &Member) -> Option<usize> {
    member.router.0.strip_prefix('r')?.parse().ok()
}

pub fn execution(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

/// A map in which shard `s` has `replicas` replicas: the members from index `s` on.
pub fn map(epoch: u64, shards: usize, replicas: usize, members: &[Member]) -> ShardMap {
    let group = |s: usize| (0..replicas).map(|i| members[(s + i) % members.len()].clone()).collect();
    let replica_set = |s: usize| ReplicaSet { groups: vec![QuorumGroup::majority(group(s))] };
    ShardMap {
        epoch,
        version: TableVersion(epoch),
        hash: TableHash([0; 32]),
        shards: (0..shards).map(replica_set).collect(),
        root: replica_set(0),
    }
}

/// The maps of a reconfiguration: the joint map with the groups of both maps, and the new map alone.
pub fn joint(old: &ShardMap, new: &ShardMap) -> [ShardMap; 2] {
    let joint_set = |a: &ReplicaSet, b: &ReplicaSet| match a == b {
        true => a.clone(),
        false => ReplicaSet { groups: vec![a.groups[0].clone(), b.groups[0].clone()] },
    };
    let shards = old.shards.iter().zip(&new.shards).map(|(a, b)| joint_set(a, b)).collect();
    let root = joint_set(&old.root, &new.root);
    let joint_map = ShardMap { epoch: old.epoch + 1, shards, root, ..old.clone() };
    [joint_map, ShardMap { epoch: old.epoch + 2, ..new.clone() }]
}
