//! Moving shards from one table to the next, one portion at a time: each shard has its old and new replicas together, then the new ones alone.

use crate::table::Table;
use basaltgw_types::{Member, QuorumGroup, ReplicaSet, Shard, ShardMap, TableVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A shard whose replicas change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedShard {
    /// The shard.
    pub shard: Shard,
    /// Members that were replicas and are not any more.
    pub left: Vec<Member>,
    /// Members that become replicas.
    pub joined: Vec<Member>,
}

/// The difference between two tables, printed for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardMoves {
    /// Version of the older table.
    pub from: TableVersion,
    /// Version of the newer table.
    pub to: TableVersion,
    /// Shards that move, ascending.
    pub shards: Vec<MovedShard>,
    /// Number of shards of the tables.
    pub shard_count: usize,
    /// Members that were replicas of the root and are not any more.
    pub root_left: Vec<Member>,
    /// Members that become replicas of the root.
    pub root_joined: Vec<Member>,
    /// Number of joint steps.
    pub steps: usize,
}

/// Members that left and members that joined from one group to another.
fn left_and_joined(old: &QuorumGroup, new: &QuorumGroup) -> (Vec<Member>, Vec<Member>) {
    let without = |a: &QuorumGroup, b: &QuorumGroup| {
        a.members.iter().filter(|m| !b.members.contains(m)).cloned().collect()
    };
    (without(old, new), without(new, old))
}

/// All shards with their old and new replicas.
fn replica_pairs<'a>(
    old: &'a Table,
    new: &'a Table,
) -> impl Iterator<Item = (Shard, &'a QuorumGroup, &'a QuorumGroup)> {
    (0..=u16::MAX).map(Shard).map_while(move |s| Some((s, old.replicas(s)?, new.replicas(s)?)))
}

/// Whether both groups have the same members, in any order.
fn same_members(old: &QuorumGroup, new: &QuorumGroup) -> bool {
    let set = |g: &QuorumGroup| g.members.iter().cloned().collect::<BTreeSet<_>>();
    set(old) == set(new)
}

/// The shards that move from one table to another.
pub fn shard_moves(old: &Table, new: &Table) -> ShardMoves {
    let moved = replica_pairs(old, new).filter(|(_, o, n)| !same_members(o, n)).map(|(shard, old, new)| {
        let (left, joined) = left_and_joined(old, new);
        MovedShard { shard, left, joined }
    });
    let (root_left, root_joined) = left_and_joined(&old.root(), &new.root());
    ShardMoves {
        from: old.version(),
        to: new.version(),
        shards: moved.collect(),
        shard_count: new.shard_count(),
        root_left,
        root_joined,
        steps: portions(old, new).len(),
    }
}

impl ShardMoves {
    /// Number of replicas that join, over all shards.
    pub fn moved_replicas(&self) -> usize {
        self.shards.iter().map(|m| m.joined.len()).sum()
    }
}

impl fmt::Display for ShardMoves {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |all: &[Member]| match all {
            [] => "nobody".to_string(),
            all => all.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "),
        };
        let (shards, copies) = (self.shards.len(), self.moved_replicas());
        writeln!(
            f,
            "version {} to {}: {shards} of {} shards move, {copies} copies, in {} steps",
            self.from.0, self.to.0, self.shard_count, self.steps
        )?;
        let (left, joined) = (&self.root_left, &self.root_joined);
        if !left.is_empty() || !joined.is_empty() {
            writeln!(f, "root: {} to {}", names(left), names(joined))?;
        }
        // Shards that move between the same members share a line.
        let mut by_members: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
        for m in &self.shards {
            by_members.entry((names(&m.left), names(&m.joined))).or_default().push(m.shard.0.to_string());
        }
        let mut lines = by_members.iter();
        lines
            .try_for_each(|((left, joined), all)| writeln!(f, "{left} to {joined}: shards {}", all.join(" ")))
    }
}

/// Moving shards by the step in which they move: at most [`Table::shards_per_step`] of the new table in each. There is at least one step, since the
/// tables differ even if no shard moves.
pub(crate) fn portions(old: &Table, new: &Table) -> Vec<Vec<Shard>> {
    let moving: Vec<Shard> =
        replica_pairs(old, new).filter(|(_, o, n)| !same_members(o, n)).map(|(s, ..)| s).collect();
    match moving.is_empty() {
        true => vec![Vec::new()],
        false => moving.chunks(new.shards_per_step().max(1)).map(<[Shard]>::to_vec).collect(),
    }
}

/// The map during joint step `current`: shards of earlier steps have their new replicas, shards of this step both sets, later ones their old
/// replicas. The root has both sets in all steps. The version is that of the table being left. Of two groups the one being left comes first;
/// during a withdrawal that is the new one.
pub(crate) fn step_map(old: &Table, new: &Table, current: usize, withdrawing: bool, epoch: u64) -> ShardMap {
    let mut map = old.map(epoch);
    let joint = |old: &QuorumGroup, new: &QuorumGroup| match same_members(old, new) {
        true => ReplicaSet { groups: vec![old.clone()] },
        false if withdrawing => ReplicaSet { groups: vec![new.clone(), old.clone()] },
        false => ReplicaSet { groups: vec![old.clone(), new.clone()] },
    };
    for (step, portion) in portions(old, new).iter().enumerate().take(current + 1) {
        for shard in portion {
            let (Some(from), Some(to)) = (old.replicas(*shard), new.replicas(*shard)) else { continue };
            map.shards[usize::from(shard.0)] =
                if step < current { ReplicaSet { groups: vec![to.clone()] } } else { joint(from, to) };
        }
    }
    map.root = joint(&old.root(), &new.root());
    map
}

/// The maps of an adoption without withdrawal, with epochs from `epoch` on. The last one is the new table's own.
pub fn adoption_maps(old: &Table, new: &Table, epoch: u64) -> Vec<ShardMap> {
    let n = portions(old, new).len();
    let mut maps: Vec<ShardMap> = (0..n).map(|k| step_map(old, new, k, false, epoch + k as u64)).collect();
    maps.push(new.map(epoch + n as u64));
    maps
}
