//! The compiled table. Lookups take the same time at any size.

use crate::gather_rules::GatherRule;
use crate::register::ProposalError;
use crate::table_body::{CacheIndexes, RuleOrigin, TableBody, TableRouter, MAX_TABLE_BYTES};
use basaltgw_types::{
    Domain, Incarnation, Member, QuorumGroup, ReplicaSet, RouterId, Shard, ShardMap, TableHash, TableVersion,
};
use fixedbitset::FixedBitSet;
use std::collections::HashMap;
use std::sync::Arc;

/// Bytes or values that make no valid table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTable {
    /// More bytes than [`MAX_TABLE_BYTES`].
    #[error("table of {bytes} bytes; expected at most {MAX_TABLE_BYTES}")]
    TooLong {
        /// Size of the encoded table.
        bytes: usize,
    },
    /// The bytes can't be decoded.
    #[error("table can't be decoded: {0}")]
    Undecodable(#[from] postcard::Error),
    /// The bytes can be decoded, but the table is encoded as other bytes.
    #[error("table of {bytes} bytes is not in canonical form")]
    NonCanonical {
        /// Size of the given bytes.
        bytes: usize,
    },
    /// Its parts contradict each other.
    #[error("invalid table: expected {expected}")]
    Inconsistent {
        /// The property that the table lacks.
        expected: &'static str,
    },
}

/// A cache named by a table, for [`CacheSet::contains`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheIndex(u16);

/// A set of caches named by a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSet(FixedBitSet);

impl CacheSet {
    fn new(indexes: &CacheIndexes) -> Self {
        Self(indexes.iter().map(|i| usize::from(*i)).collect())
    }

    /// Whether the set contains a cache.
    pub fn contains(&self, cache: CacheIndex) -> bool {
        self.0.contains(usize::from(cache.0))
    }

    /// The caches, ascending by id.
    pub fn iter(&self) -> impl Iterator<Item = CacheIndex> + '_ {
        self.0.ones().map(|i| CacheIndex(i as u16))
    }
}

/// The constraints of home rules on an object. A cache that the table does not name is in no set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeConstraints {
    /// Caches that may serve the object; `None` for any.
    pub serve: Option<CacheSet>,
    /// Caches that may keep the object; `None` for any.
    pub keep: Option<CacheSet>,
    /// Caches that the object may be filled from; `None` for any.
    pub fill: Option<CacheSet>,
    /// Preferred caches among the permitted ones, most preferred first.
    pub prefer: Vec<CacheSet>,
    /// Largest number of caches that keep the object.
    pub width: Option<u32>,
    /// Whether any cache may be chosen while no permitted one is available.
    pub else_any: bool,
    origins: Vec<u16>,
}

/// A compiled table. Equal tables have equal bytes.
#[derive(Clone, Debug)]
pub struct Table {
    body: Arc<TableBody>,
    bytes: Arc<[u8]>,
    hash: TableHash,
    routers: Vec<Member>,
    shards: Vec<QuorumGroup>,
    homes: Vec<HomeConstraints>,
    caches: HashMap<Arc<str>, CacheIndex>,
    /// Columns of [`TableBody::cells`]; 0 stands for classes without a rule. Likewise for groups and pins.
    classes: HashMap<Arc<str>, usize>,
    groups: HashMap<u64, usize>,
    pins: HashMap<u64, usize>,
    gather_rules: HashMap<Arc<str>, usize>,
}

impl PartialEq for Table {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Table {}

/// The index of each value, counted from `first`.
fn index_from<T: Clone + std::hash::Hash + Eq>(first: usize, values: &[T]) -> HashMap<T, usize> {
    values.iter().enumerate().map(|(i, t)| (t.clone(), i + first)).collect()
}

fn member(router: &TableRouter) -> Member {
    let incarnation = Incarnation(u128::from_le_bytes(router.incarnation));
    Member { router: RouterId(router.name.clone()), incarnation }
}

impl Table {
    /// Encodes and checks a body, and builds the indexes for lookups.
    pub(crate) fn new(body: TableBody) -> Result<Self, InvalidTable> {
        let bytes = postcard::to_stdvec(&body)?;
        if bytes.len() > MAX_TABLE_BYTES {
            return Err(InvalidTable::TooLong { bytes: bytes.len() });
        }
        body.check()?;
        let hash = TableHash(*blake3::hash(&bytes).as_bytes());
        let routers: Vec<Member> = body.routers.iter().map(member).collect();
        let members = |indexes: &[u16]| indexes.iter().map(|i| routers[usize::from(*i)].clone()).collect();
        let copies = usize::from(body.copies);
        let shards = body.replicas.chunks(copies).map(|k| QuorumGroup::majority(members(k))).collect();
        let cache_set = |indexes: &Option<CacheIndexes>| indexes.as_ref().map(CacheSet::new);
        let homes = body.homes.iter().map(|h| HomeConstraints {
            serve: cache_set(&h.serve),
            keep: cache_set(&h.keep),
            fill: cache_set(&h.fill),
            prefer: h.prefer.iter().map(CacheSet::new).collect(),
            width: h.width,
            else_any: h.else_any,
            origins: h.origins.clone(),
        });
        let gather_classes: Vec<Arc<str>> = body.gather_rules.iter().map(|g| g.class.clone()).collect();
        Ok(Self {
            homes: homes.collect(),
            caches: body.caches.iter().enumerate().map(|(i, c)| (c.clone(), CacheIndex(i as u16))).collect(),
            classes: index_from(1, &body.classes),
            groups: index_from(1, &body.groups),
            pins: index_from(1, &body.pins),
            gather_rules: index_from(0, &gather_classes),
            routers,
            shards,
            hash,
            bytes: bytes.into(),
            body: Arc::new(body),
        })
    }

    /// Decodes and checks a table.
    ///
    /// # Errors
    /// If there are too many bytes, they can't be decoded, are not as [`Table::bytes`] encodes them, or the parts contradict each other.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidTable> {
        if bytes.len() > MAX_TABLE_BYTES {
            return Err(InvalidTable::TooLong { bytes: bytes.len() });
        }
        let table = Self::new(postcard::from_bytes(bytes)?)?;
        match *table.bytes == *bytes {
            true => Ok(table),
            false => Err(InvalidTable::NonCanonical { bytes: bytes.len() }),
        }
    }

    /// The first table of a fleet without rules: three copies of each shard and of the root, on different machines.
    ///
    /// # Errors
    /// If there are fewer than three machines, or the inventory is invalid.
    pub fn without_rules(inventory: &crate::Inventory) -> Result<Self, Vec<crate::Diagnostic>> {
        crate::compile(&[], inventory, None)
    }

    /// The next table, in which `new` has all shards of `old` and the same domain.
    pub(crate) fn with_replacement(&self, old: &Member, new: &Member) -> Result<Self, ProposalError> {
        let Some(index) = self.routers.iter().position(|m| m == old).filter(|_| !self.routers.contains(new))
        else {
            return Err(ProposalError::InvalidReplacement { old: old.clone(), new: new.clone() });
        };
        let mut body = (*self.body).clone();
        (body.version, body.predecessor, body.founders) = (body.version + 1, self.hash.0, Vec::new());
        let router = &mut body.routers[index];
        (router.name, router.incarnation) = (new.router.0.clone(), new.incarnation.0.to_le_bytes());
        Ok(Self::new(body.sorted())?)
    }

    pub(crate) fn body(&self) -> &TableBody {
        &self.body
    }

    /// Version, from 1.
    pub fn version(&self) -> TableVersion {
        TableVersion(self.body.version)
    }

    /// Hash of the encoded table.
    pub fn hash(&self) -> TableHash {
        self.hash
    }

    /// Hash of the table that this one succeeds; zeros for the first one.
    pub fn predecessor(&self) -> TableHash {
        TableHash(self.body.predecessor)
    }

    /// The encoded table, the same on every router.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }

    /// Number of shards.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Largest number of shards that move in one step of the adoption of this table.
    pub fn shards_per_step(&self) -> usize {
        usize::from(self.body.shards_per_step)
    }

    /// Routers that store a shard or the table register, and all routers of a first table, with their failure domains.
    pub fn routers(&self) -> impl Iterator<Item = (&Member, Domain)> + '_ {
        let name = |index: u16| self.body.domain_names[usize::from(index)].clone();
        let domain = move |r: &TableRouter| Domain { branch: name(r.branch), machine: name(r.machine) };
        self.routers.iter().zip(self.body.routers.iter().map(domain))
    }

    /// Replicas of a shard, most preferred first; `None` if there is no such shard.
    pub fn replicas(&self, shard: Shard) -> Option<&QuorumGroup> {
        self.shards.get(usize::from(shard.0))
    }

    /// Replicas of the table register.
    pub fn root(&self) -> QuorumGroup {
        QuorumGroup::majority(self.members(&self.body.root))
    }

    fn members(&self, indexes: &[u16]) -> Vec<Member> {
        indexes.iter().map(|i| self.routers[usize::from(*i)].clone()).collect()
    }

    /// The shard map of this table alone, with one group for each shard.
    pub fn map(&self, epoch: u64) -> ShardMap {
        let single = |group: QuorumGroup| ReplicaSet { groups: vec![group] };
        ShardMap {
            epoch,
            version: self.version(),
            hash: self.hash,
            shards: self.shards.iter().cloned().map(single).collect(),
            root: single(self.root()),
        }
    }

    /// The shard map during the bootstrap of a fleet, at epoch 0: a change of the table register needs every founder, so that two halves of the
    /// routers can't bootstrap two fleets. The same as [`Table::map`] for later tables, which have no founders.
    pub fn bootstrap_map(&self) -> ShardMap {
        let mut map = self.map(0);
        if !self.body.founders.is_empty() {
            let members = self.members(&self.body.founders);
            map.root = ReplicaSet { groups: vec![QuorumGroup { quorum: members.len(), members }] };
        }
        map
    }

    /// The constraints on an object; `None` if no home rule applies to it.
    pub fn home(&self, class: &str, group: u64, object: u64) -> Option<&HomeConstraints> {
        let class = self.classes.get(class).copied().unwrap_or(0);
        let group = self.groups.get(&group).copied().unwrap_or(0);
        let pin = self.pins.get(&object).copied().unwrap_or(0);
        let (classes, groups) = (self.body.classes.len() + 1, self.body.groups.len() + 1);
        let cell = self.body.cells.get((pin * groups + group) * classes + class)?;
        self.homes.get(usize::from(*cell).checked_sub(1)?)
    }

    /// The scatter-gather policy of a class; `None` if no rule applies to it.
    pub fn gather_rule(&self, class: &str) -> Option<&GatherRule> {
        self.body.gather_rules.get(*self.gather_rules.get(class)?)
    }

    /// The index of a cache; `None` if the table does not name it.
    pub fn cache_index(&self, id: &str) -> Option<CacheIndex> {
        self.caches.get(id).copied()
    }

    /// The id of a cache of this table.
    pub fn cache_id(&self, cache: CacheIndex) -> Option<&Arc<str>> {
        self.body.caches.get(usize::from(cache.0))
    }

    /// The rules that constrain an object.
    pub(crate) fn origins<'a>(
        &'a self,
        home: &'a HomeConstraints,
    ) -> impl Iterator<Item = &'a RuleOrigin> + 'a {
        home.origins.iter().filter_map(|o| self.origin(Some(*o)))
    }

    pub(crate) fn origin(&self, index: Option<u16>) -> Option<&RuleOrigin> {
        self.body.origins.get(usize::from(index?))
    }
}
