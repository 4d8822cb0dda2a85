//! The encoded form of a table (postcard: the order of fields is the stored form), and its consistency checks.

use crate::gather_rules::GatherRule;
use crate::table::InvalidTable;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest encoded table in bytes: two tables and the state of an adoption are to fit a register, which is always sent whole.
pub const MAX_TABLE_BYTES: usize = 64 * 1024;

/// Largest number of shards: more would not make moves finer than the work of one router, and each shard takes bytes in every table.
pub const MAX_SHARDS: usize = 1024;

/// Largest number of replicas of a shard or of the root.
const MAX_COPIES: usize = 5;

/// Where a rule is written, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleOrigin {
    /// Name of its file.
    pub file: Arc<str>,
    /// Its line, from 1.
    pub line: u32,
    /// The first words of the rule.
    pub summary: Arc<str>,
}

/// A router named by a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableRouter {
    pub name: Arc<str>,
    /// Little-endian.
    pub incarnation: [u8; 16],
    /// Index in [`TableBody::domain_names`].
    pub branch: u16,
    /// Index in [`TableBody::domain_names`].
    pub machine: u16,
}

/// A set of caches as indexes in [`TableBody::caches`], ascending.
pub(crate) type CacheIndexes = Vec<u16>;

/// Encoded form of [`crate::HomeConstraints`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeBody {
    pub serve: Option<CacheIndexes>,
    pub keep: Option<CacheIndexes>,
    pub fill: Option<CacheIndexes>,
    pub prefer: Vec<CacheIndexes>,
    pub width: Option<u32>,
    pub else_any: bool,
    /// The rules behind it, as indexes in [`TableBody::origins`].
    pub origins: Vec<u16>,
}

/// Encoded form of [`crate::Table`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableBody {
    pub version: u64,
    /// Hash of the table that this one succeeds; zeros for the first one.
    pub predecessor: [u8; 32],
    pub origins: Vec<RuleOrigin>,
    /// Names of branches and machines.
    pub domain_names: Vec<Arc<str>>,
    /// Ascending by name and incarnation.
    pub routers: Vec<TableRouter>,
    /// Replicas of each shard.
    pub copies: u8,
    /// Shards that move in one step of an adoption.
    pub shards_per_step: u16,
    /// The rule of shards and the rule of the root, as indexes in `origins`.
    pub holds_rule: Option<u16>,
    pub root_rule: Option<u16>,
    /// Replicas of the root, as indexes in `routers`.
    pub root: Vec<u16>,
    /// All routers that bootstrap the fleet, as indexes in `routers`; only in the first table.
    pub founders: Vec<u16>,
    /// For each shard `copies` indexes in `routers`, most preferred first.
    pub replicas: Vec<u16>,
    pub caches: Vec<Arc<str>>,
    pub homes: Vec<HomeBody>,
    pub classes: Vec<Arc<str>>,
    pub groups: Vec<u64>,
    pub pins: Vec<u64>,
    /// For each pin, group and class a home, counted from 1; 0 if no home rule applies. In each dimension the first entry stands for all values that
    /// are not listed. The class varies fastest.
    pub cells: Vec<u16>,
    pub gather_rules: Vec<GatherRule>,
}

fn is_strictly_ascending<T: Ord>(values: &[T]) -> bool {
    values.windows(2).all(|w| w[0] < w[1])
}

/// Whether all indexes are below `len` and no two are equal.
fn are_distinct_below(len: usize, indexes: &[u16]) -> bool {
    let distinct = indexes.iter().enumerate().all(|(i, a)| indexes[..i].iter().all(|b| a != b));
    distinct && indexes.iter().all(|i| usize::from(*i) < len)
}

fn expect(ok: bool, expected: &'static str) -> Result<(), InvalidTable> {
    match ok {
        true => Ok(()),
        false => Err(InvalidTable::Inconsistent { expected }),
    }
}

impl TableBody {
    /// The same table with its routers in order, without unused routers.
    pub fn sorted(mut self) -> Self {
        let is_used = |index: u16, lists: [&[u16]; 3]| lists.iter().any(|list| list.contains(&index));
        let lists = [&*self.replicas, &*self.root, &*self.founders];
        let mut order: Vec<u16> = (0..self.routers.len() as u16).filter(|i| is_used(*i, lists)).collect();
        let key = |r: &TableRouter| (r.name.clone(), r.incarnation);
        order.sort_by_key(|i| key(&self.routers[usize::from(*i)]));
        let renumber = |i: &mut u16| *i = order.iter().position(|o| o == i).unwrap_or_default() as u16;
        self.replicas.iter_mut().chain(&mut self.root).chain(&mut self.founders).for_each(renumber);
        self.routers = order.iter().map(|i| self.routers[usize::from(*i)].clone()).collect();
        self
    }

    /// Checks what lookups rely on.
    pub fn check(&self) -> Result<(), InvalidTable> {
        let copies = usize::from(self.copies);
        let is_origin = |o: &u16| usize::from(*o) < self.origins.len();
        expect(self.version > 0, "a version above 0")?;
        expect(copies % 2 == 1 && copies <= MAX_COPIES, "1, 3 or 5 copies")?;
        expect(self.shards_per_step > 0, "a pace above 0")?;
        expect(
            self.holds_rule.iter().chain(&self.root_rule).all(is_origin),
            "listed rules of holds and root",
        )?;
        self.check_routers()?;
        let shards = self.replicas.len() / copies.max(1);
        expect((1..=MAX_SHARDS).contains(&shards), "1 to 1024 shards")?;
        expect(self.replicas.len() == shards * copies, "the same number of copies of each shard")?;
        let all_distinct =
            self.replicas.chunks(copies).all(|group| are_distinct_below(self.routers.len(), group));
        expect(all_distinct, "different routers as replicas of a shard")?;
        self.check_homes()?;
        let classes: Vec<_> = self.gather_rules.iter().map(|g| &g.class).collect();
        expect(
            is_strictly_ascending(&classes) && self.gather_rules.iter().all(GatherRule::is_valid),
            "valid gather rules ordered by class",
        )
    }

    fn check_routers(&self) -> Result<(), InvalidTable> {
        let is_name = |n: &u16| usize::from(*n) < self.domain_names.len();
        expect(
            self.routers.iter().all(|r| is_name(&r.branch) && is_name(&r.machine)),
            "listed domains of routers",
        )?;
        let keys: Vec<_> = self.routers.iter().map(|r| (r.name.clone(), r.incarnation)).collect();
        expect(is_strictly_ascending(&keys), "routers ordered by name")?;
        expect(
            self.routers.iter().all(|r| basaltgw_types::parse_name(&r.name).is_ok()),
            "valid names of routers",
        )?;
        let root_size = self.root.len() % 2 == 1 && self.root.len() <= MAX_COPIES;
        expect(
            root_size && are_distinct_below(self.routers.len(), &self.root),
            "a root of 1, 3 or 5 routers",
        )?;
        let founders = is_strictly_ascending(&self.founders)
            && self.founders.last().is_none_or(|f| usize::from(*f) < self.routers.len());
        expect(founders && self.founders.is_empty() == (self.version > 1), "founders in the first table only")
    }

    fn check_homes(&self) -> Result<(), InvalidTable> {
        expect(is_strictly_ascending(&self.caches), "caches ordered by id")?;
        let are_caches = |i: &CacheIndexes| {
            is_strictly_ascending(i) && i.last().is_none_or(|l| usize::from(*l) < self.caches.len())
        };
        let is_home = |h: &HomeBody| {
            h.serve.iter().chain(&h.keep).chain(&h.fill).chain(&h.prefer).all(are_caches)
                && h.origins.iter().all(|o| usize::from(*o) < self.origins.len())
        };
        expect(self.homes.iter().all(is_home), "listed caches and rules of homes")?;
        let ordered = is_strictly_ascending(&self.classes)
            && is_strictly_ascending(&self.groups)
            && is_strictly_ascending(&self.pins);
        expect(ordered, "classes, groups and pins in ascending order")?;
        let cells = (self.classes.len() + 1) * (self.groups.len() + 1) * (self.pins.len() + 1);
        expect(self.cells.len() == cells, "a cell for each class, group and pin")?;
        expect(self.cells.iter().all(|c| usize::from(*c) <= self.homes.len()), "listed homes in all cells")
    }
}
