//! The table: what rules, inventory and the table before became. Look-ups take the same time at any size.

use crate::body::{Body, Ids, Keeper, Origin, MOST_TABLE};
use crate::gather::GatherRule;
use crate::register::Refused;
use basaltgw_types::{
    Domain, Incarnation, Member, QuorumGroup, ReplicaSet, RouterId, Shard, ShardMap, TableHash, TableVersion,
};
use fixedbitset::FixedBitSet;
use std::collections::HashMap;
use std::sync::Arc;

/// Bytes that are no table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadTable {
    /// Too many.
    #[error("a table of {0} bytes; expected at most {MOST_TABLE}")]
    Long(usize),
    /// They can't be read.
    #[error("bytes that are no table: {0}")]
    Unreadable(#[from] postcard::Error),
    /// They can be read, and are not how a table is written.
    #[error("{0} bytes of a table that is written in other bytes")]
    Uncanonical(usize),
    /// They say what can't be.
    #[error("a table without {0}")]
    Content(&'static str),
}

/// A cache that the table names, for [`Allowed::has`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheNo(u16);

/// Caches that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowed(FixedBitSet);

impl Allowed {
    fn new(ids: &Ids) -> Self {
        Self(ids.iter().map(|i| usize::from(*i)).collect())
    }

    /// True if this one may be.
    pub fn has(&self, cache: CacheNo) -> bool {
        self.0.contains(usize::from(cache.0))
    }

    /// All that may be, ascending by id.
    pub fn iter(&self) -> impl Iterator<Item = CacheNo> + '_ {
        self.0.ones().map(|i| CacheNo(i as u16))
    }
}

/// What rules leave to choose from for an object. A cache that the table does not name is in no set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Who may serve it; `None` for any.
    pub serve: Option<Allowed>,
    /// Who may keep it.
    pub keep: Option<Allowed>,
    /// From whom it may be filled.
    pub fill: Option<Allowed>,
    /// Whom to take first, in this order, among those who may.
    pub prefer: Vec<Allowed>,
    /// On how many caches it may be kept at most.
    pub width: Option<u32>,
    /// True if any may be chosen when none that may is there.
    pub else_any: bool,
    origins: Vec<u16>,
}

/// A compiled table; equal ones have equal bytes.
#[derive(Clone, Debug)]
pub struct Table {
    body: Arc<Body>,
    bytes: Arc<[u8]>,
    hash: TableHash,
    routers: Vec<Member>,
    shards: Vec<QuorumGroup>,
    bounds: Vec<Bounds>,
    caches: HashMap<Arc<str>, CacheNo>,
    classes: HashMap<Arc<str>, usize>,
    groups: HashMap<u64, usize>,
    pins: HashMap<u64, usize>,
    gathers: HashMap<Arc<str>, usize>,
}

impl PartialEq for Table {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Table {}

/// Places of things that are looked up, counted from `first`.
fn places<T: Clone + std::hash::Hash + Eq>(all: &[T], first: usize) -> HashMap<T, usize> {
    all.iter().enumerate().map(|(i, t)| (t.clone(), i + first)).collect()
}

fn member(keeper: &Keeper) -> Member {
    let incarnation = Incarnation(u128::from_le_bytes(keeper.incarnation));
    Member { router: RouterId(keeper.name.clone()), incarnation }
}

impl Table {
    /// Checks a body and makes it fit for look-ups.
    pub(crate) fn new(body: Body) -> Result<Self, BadTable> {
        let bytes = postcard::to_stdvec(&body)?;
        if bytes.len() > MOST_TABLE {
            return Err(BadTable::Long(bytes.len()));
        }
        body.check()?;
        let hash = TableHash(*blake3::hash(&bytes).as_bytes());
        let routers: Vec<Member> = body.routers.iter().map(member).collect();
        let who = |places: &[u16]| places.iter().map(|p| routers[usize::from(*p)].clone()).collect();
        let copies = usize::from(body.copies);
        let shards = body.keepers.chunks(copies).map(|k| QuorumGroup::majority(who(k))).collect();
        let allowed = |ids: &Option<Ids>| ids.as_ref().map(Allowed::new);
        let bounds = body.homes.iter().map(|h| Bounds {
            serve: allowed(&h.serve),
            keep: allowed(&h.keep),
            fill: allowed(&h.fill),
            prefer: h.prefer.iter().map(Allowed::new).collect(),
            width: h.width,
            else_any: h.else_any,
            origins: h.origins.clone(),
        });
        let classes: Vec<Arc<str>> = body.gathers.iter().map(|g| g.class.clone()).collect();
        Ok(Self {
            bounds: bounds.collect(),
            caches: body.caches.iter().enumerate().map(|(i, c)| (c.clone(), CacheNo(i as u16))).collect(),
            classes: places(&body.classes, 1),
            groups: places(&body.groups, 1),
            pins: places(&body.pins, 1),
            gathers: places(&classes, 0),
            routers,
            shards,
            hash,
            bytes: bytes.into(),
            body: Arc::new(body),
        })
    }

    /// A table from its bytes.
    ///
    /// # Errors
    /// If they are too many, can't be read, are not written as [`Table::bytes`] writes them, or contradict themselves.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BadTable> {
        if bytes.len() > MOST_TABLE {
            return Err(BadTable::Long(bytes.len()));
        }
        let table = Self::new(postcard::from_bytes(bytes)?)?;
        match *table.bytes == *bytes {
            true => Ok(table),
            false => Err(BadTable::Uncanonical(bytes.len())),
        }
    }

    /// The table of a fleet that has no rules: three copies over machines, the root with three.
    ///
    /// # Errors
    /// If there are fewer than three machines, or the inventory is at fault.
    pub fn founding(inventory: &crate::Inventory) -> Result<Self, Vec<crate::Fault>> {
        crate::compile(&[], inventory, None)
    }

    /// The next table with one member in another's places, in the same domain.
    pub(crate) fn replacing(&self, old: &Member, new: &Member) -> Result<Self, Refused> {
        let Some(place) = self.routers.iter().position(|m| m == old).filter(|_| !self.routers.contains(new))
        else {
            return Err(Refused::Replacement(old.clone(), new.clone()));
        };
        let mut body = (*self.body).clone();
        (body.version, body.before, body.founders) = (body.version + 1, self.hash.0, Vec::new());
        let keeper = &mut body.routers[place];
        (keeper.name, keeper.incarnation) = (new.router.0.clone(), new.incarnation.0.to_le_bytes());
        Ok(Self::new(body.sorted())?)
    }

    pub(crate) fn body(&self) -> &Body {
        &self.body
    }

    /// Its version; 1 for the founding one.
    pub fn version(&self) -> TableVersion {
        TableVersion(self.body.version)
    }

    /// The hash of its bytes.
    pub fn hash(&self) -> TableHash {
        self.hash
    }

    /// The hash of the table that it was made after; zeros for the founding one.
    pub fn before(&self) -> TableHash {
        TableHash(self.body.before)
    }

    /// Its bytes, the same at every router.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.shards.len()
    }

    /// Shards that move in one step.
    pub fn pace(&self) -> usize {
        usize::from(self.body.pace)
    }

    /// Routers that keep something, with where they stand.
    pub fn routers(&self) -> impl Iterator<Item = (&Member, Domain)> + '_ {
        let name = |place: u16| self.body.names[usize::from(place)].clone();
        let domain = move |k: &Keeper| Domain { branch: name(k.branch), machine: name(k.machine) };
        self.routers.iter().zip(self.body.routers.iter().map(domain))
    }

    /// Who keeps a shard, in the order of preference; `None` if there is no such shard.
    pub fn keepers(&self, shard: Shard) -> Option<&QuorumGroup> {
        self.shards.get(usize::from(shard.0))
    }

    /// Who keeps the register of the table.
    pub fn root(&self) -> QuorumGroup {
        QuorumGroup::majority(self.who(&self.body.root))
    }

    fn who(&self, places: &[u16]) -> Vec<Member> {
        places.iter().map(|p| self.routers[usize::from(*p)].clone()).collect()
    }

    /// The keepers of all shards, each by one group.
    pub fn map(&self, epoch: u64) -> ShardMap {
        let one = |group: QuorumGroup| ReplicaSet { groups: vec![group] };
        ShardMap {
            epoch,
            version: self.version(),
            hash: self.hash,
            shards: self.shards.iter().cloned().map(one).collect(),
            root: one(self.root()),
        }
    }

    /// The map of a fleet that is being founded, at epoch 0: the table's register is kept only if every founder has it, so that two halves
    /// can't found two fleets. Of a table that is no founding one it is [`Table::map`]'s.
    pub fn founding_map(&self) -> ShardMap {
        let mut map = self.map(0);
        if !self.body.founders.is_empty() {
            let members = self.who(&self.body.founders);
            map.root = ReplicaSet { groups: vec![QuorumGroup { quorum: members.len(), members }] };
        }
        map
    }

    /// What rules leave to choose from for an object; `None` if no rule is about it.
    pub fn home(&self, class: &str, group: u64, object: u64) -> Option<&Bounds> {
        let class = self.classes.get(class).copied().unwrap_or(0);
        let group = self.groups.get(&group).copied().unwrap_or(0);
        let pin = self.pins.get(&object).copied().unwrap_or(0);
        let (classes, groups) = (self.body.classes.len() + 1, self.body.groups.len() + 1);
        let cell = self.body.cells.get((pin * groups + group) * classes + class)?;
        self.bounds.get(usize::from(*cell).checked_sub(1)?)
    }

    /// The policy of a class's gathers; `None` if no rule is about it.
    pub fn gather(&self, class: &str) -> Option<&GatherRule> {
        self.body.gathers.get(*self.gathers.get(class)?)
    }

    /// A cache as the table names it; `None` if it names none such.
    pub fn cache(&self, id: &str) -> Option<CacheNo> {
        self.caches.get(id).copied()
    }

    /// The id of a cache of this table.
    pub fn cache_id(&self, cache: CacheNo) -> Option<&Arc<str>> {
        self.body.caches.get(usize::from(cache.0))
    }

    pub(crate) fn origins<'a>(&'a self, bounds: &'a Bounds) -> impl Iterator<Item = &'a Origin> + 'a {
        bounds.origins.iter().filter_map(|o| self.origin(Some(*o)))
    }

    pub(crate) fn origin(&self, place: Option<u16>) -> Option<&Origin> {
        self.body.origins.get(usize::from(place?))
    }
}
