//! From one table to the next, by portions: each is kept by both, then by the new keepers alone.

use crate::table::Table;
use basaltgw_types::{Member, QuorumGroup, ReplicaSet, Shard, ShardMap, TableVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A shard that moves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    /// The shard.
    pub shard: Shard,
    /// Who keeps it no more.
    pub left: Vec<Member>,
    /// Who comes to keep it.
    pub joined: Vec<Member>,
}

/// What a new table moves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moves {
    /// The versions.
    pub from: TableVersion,
    /// See [`Moves::from`].
    pub to: TableVersion,
    /// Shards that move, in their order.
    pub shards: Vec<Moved>,
    /// Of how many.
    pub of: usize,
    /// Who leaves the root, and who joins it.
    pub root: (Vec<Member>, Vec<Member>),
    /// Steps that it takes.
    pub steps: usize,
}

/// Who left and who joined from one group to another.
fn change(old: &QuorumGroup, new: &QuorumGroup) -> (Vec<Member>, Vec<Member>) {
    let without = |a: &QuorumGroup, b: &QuorumGroup| {
        a.members.iter().filter(|m| !b.members.contains(m)).cloned().collect()
    };
    (without(old, new), without(new, old))
}

fn pairs<'a>(
    old: &'a Table,
    new: &'a Table,
) -> impl Iterator<Item = (Shard, &'a QuorumGroup, &'a QuorumGroup)> {
    (0..=u16::MAX).map(Shard).map_while(move |s| Some((s, old.keepers(s)?, new.keepers(s)?)))
}

/// True if the same routers keep it, in whatever order.
fn same(old: &QuorumGroup, new: &QuorumGroup) -> bool {
    let set = |g: &QuorumGroup| g.members.iter().cloned().collect::<BTreeSet<_>>();
    set(old) == set(new)
}

/// What moves from one table to another.
pub fn moves(old: &Table, new: &Table) -> Moves {
    let moved = pairs(old, new).filter(|(_, o, n)| !same(o, n)).map(|(shard, old, new)| {
        let (left, joined) = change(old, new);
        Moved { shard, left, joined }
    });
    Moves {
        from: old.version(),
        to: new.version(),
        shards: moved.collect(),
        of: new.shards(),
        root: change(&old.root(), &new.root()),
        steps: portions(old, new).len(),
    }
}

impl Moves {
    /// Places that changed hands, in all shards.
    pub fn copies(&self) -> usize {
        self.shards.iter().map(|m| m.joined.len()).sum()
    }
}

impl fmt::Display for Moves {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |all: &[Member]| match all {
            [] => "nobody".to_string(),
            all => all.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "),
        };
        let (shards, copies) = (self.shards.len(), self.copies());
        writeln!(
            f,
            "version {} to {}: {shards} of {} shards move, {copies} copies, in {} steps",
            self.from.0, self.to.0, self.of, self.steps
        )?;
        let (left, joined) = &self.root;
        if !left.is_empty() || !joined.is_empty() {
            writeln!(f, "root: {} to {}", names(left), names(joined))?;
        }
        // Shards that go the same way stand together.
        let mut ways: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
        for m in &self.shards {
            ways.entry((names(&m.left), names(&m.joined))).or_default().push(m.shard.0.to_string());
        }
        let mut ways = ways.iter();
        ways.try_for_each(|((left, joined), all)| writeln!(f, "{left} to {joined}: shards {}", all.join(" ")))
    }
}

/// Shards by the step in which they move: at most the new table's pace in each, and one step at least, since the tables differ even if no
/// shard moves.
pub(crate) fn portions(old: &Table, new: &Table) -> Vec<Vec<Shard>> {
    let moving: Vec<Shard> = pairs(old, new).filter(|(_, o, n)| !same(o, n)).map(|(s, ..)| s).collect();
    match moving.is_empty() {
        true => vec![Vec::new()],
        false => moving.chunks(new.pace().max(1)).map(<[Shard]>::to_vec).collect(),
    }
}

/// The map while step `k` is under way: shards of earlier steps have their new keepers, those of this one both, the others their old ones. The
/// root has both all the while. Its version is the one that is being left. Of two groups the one that is left comes first, so where the table is taken
/// back (`back`) the new one.
pub(crate) fn step_map(old: &Table, new: &Table, k: usize, back: bool, epoch: u64) -> ShardMap {
    let mut map = old.map(epoch);
    let both = |old: &QuorumGroup, new: &QuorumGroup| match same(old, new) {
        true => ReplicaSet { groups: vec![old.clone()] },
        false if back => ReplicaSet { groups: vec![new.clone(), old.clone()] },
        false => ReplicaSet { groups: vec![old.clone(), new.clone()] },
    };
    for (step, portion) in portions(old, new).iter().enumerate().take(k + 1) {
        for shard in portion {
            let (Some(was), Some(is)) = (old.keepers(*shard), new.keepers(*shard)) else { continue };
            map.shards[usize::from(shard.0)] =
                if step < k { ReplicaSet { groups: vec![is.clone()] } } else { both(was, is) };
        }
    }
    map.root = both(&old.root(), &new.root());
    map
}

/// The maps that a fleet goes through from one table to the next, with epochs from `epoch` on; the last is the new table's own.
pub fn steps(old: &Table, new: &Table, epoch: u64) -> Vec<ShardMap> {
    let n = portions(old, new).len();
    let mut maps: Vec<ShardMap> = (0..n).map(|k| step_map(old, new, k, false, epoch + k as u64)).collect();
    maps.push(new.map(epoch + n as u64));
    maps
}
