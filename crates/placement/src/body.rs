//! A table's bytes: what is in them, and what must be true of it.

use crate::gather::GatherRule;
use crate::table::BadTable;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The largest table in bytes: two of them and what is said of them are to fit a register that is copied whole.
pub const MOST_TABLE: usize = 64 * 1024;

/// The most shards: more would not make moves finer than a router's work, and each costs bytes in every table.
pub const MOST_SHARDS: usize = 1024;

/// The most copies of a shard, and members of the root.
const MOST_COPIES: usize = 5;

/// Where a rule stands, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Its file.
    pub file: Arc<str>,
    /// Its line, from 1.
    pub line: u32,
    /// What it is, in a few words.
    pub what: Arc<str>,
}

/// A router that keeps something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Keeper {
    pub name: Arc<str>,
    pub incarnation: [u8; 16],
    /// Places in [`Body::names`].
    pub branch: u16,
    pub machine: u16,
}

/// Caches that may be chosen, as places in [`Body::caches`], ascending.
pub(crate) type Ids = Vec<u16>;

/// Bounds of a home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HomeBody {
    pub serve: Option<Ids>,
    pub keep: Option<Ids>,
    pub fill: Option<Ids>,
    pub prefer: Vec<Ids>,
    pub width: Option<u32>,
    pub else_any: bool,
    /// The rules that made it, as places in [`Body::origins`].
    pub origins: Vec<u16>,
}

/// A table, as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    pub version: u64,
    /// The hash of the table before; zeros for the founding one.
    pub before: [u8; 32],
    pub origins: Vec<Origin>,
    pub names: Vec<Arc<str>>,
    /// Ascending by name and incarnation.
    pub routers: Vec<Keeper>,
    pub copies: u8,
    /// Shards that move in one step.
    pub pace: u16,
    pub holds: Option<u16>,
    pub root_rule: Option<u16>,
    /// Places in `routers`.
    pub root: Vec<u16>,
    /// Of a founding table, all routers that found the fleet; places in `routers`.
    pub founders: Vec<u16>,
    /// For each shard `copies` places in `routers`, in the order of preference.
    pub keepers: Vec<u16>,
    pub caches: Vec<Arc<str>>,
    pub homes: Vec<HomeBody>,
    pub classes: Vec<Arc<str>>,
    pub groups: Vec<u64>,
    pub pins: Vec<u64>,
    /// For each pin, group and class (with "none of them" first in each) a home, counted from 1; 0 for no bound. The class varies fastest.
    pub cells: Vec<u16>,
    pub gathers: Vec<GatherRule>,
}

fn rising<T: Ord>(all: &[T]) -> bool {
    all.windows(2).all(|w| w[0] < w[1])
}

/// Places within `len`, none twice.
fn distinct(places: &[u16], len: usize) -> bool {
    let unlike = places.iter().enumerate().all(|(i, a)| places[..i].iter().all(|b| a != b));
    unlike && places.iter().all(|p| usize::from(*p) < len)
}

impl Body {
    /// The same with its routers in order, and none that keeps nothing.
    pub fn sorted(mut self) -> Self {
        let used = |place: u16, all: [&[u16]; 3]| all.iter().any(|list| list.contains(&place));
        let lists = [&*self.keepers, &*self.root, &*self.founders];
        let mut order: Vec<u16> = (0..self.routers.len() as u16).filter(|p| used(*p, lists)).collect();
        let key = |r: &Keeper| (r.name.clone(), r.incarnation);
        order.sort_by_key(|p| key(&self.routers[usize::from(*p)]));
        let new = |p: &mut u16| *p = order.iter().position(|o| o == p).unwrap_or_default() as u16;
        self.keepers.iter_mut().chain(&mut self.root).chain(&mut self.founders).for_each(new);
        self.routers = order.iter().map(|p| self.routers[usize::from(*p)].clone()).collect();
        self
    }

    /// Checks what look-ups rely on.
    pub fn check(&self) -> Result<(), BadTable> {
        let need = |ok: bool, what: &'static str| if ok { Ok(()) } else { Err(BadTable::Content(what)) };
        let copies = usize::from(self.copies);
        let origin = |o: &u16| usize::from(*o) < self.origins.len();
        let name = |n: &u16| usize::from(*n) < self.names.len();
        need(self.version > 0, "a version above 0")?;
        need(copies % 2 == 1 && copies <= MOST_COPIES, "1, 3 or 5 copies")?;
        need(self.pace > 0, "a pace above 0")?;
        need(self.holds.iter().chain(&self.root_rule).all(origin), "rules of holds and root by place")?;
        need(self.routers.iter().all(|r| name(&r.branch) && name(&r.machine)), "routers' domains by place")?;
        let order = |r: &Keeper| (r.name.clone(), r.incarnation);
        need(rising(&self.routers.iter().map(order).collect::<Vec<_>>()), "routers in the order of names")?;
        need(
            self.routers.iter().all(|r| basaltgw_types::parse_name(&r.name).is_ok()),
            "routers with plain names",
        )?;
        let root = self.root.len() % 2 == 1 && self.root.len() <= MOST_COPIES;
        need(root && distinct(&self.root, self.routers.len()), "a root of 1, 3 or 5 routers")?;
        let founders = rising(&self.founders)
            && self.founders.last().is_none_or(|f| usize::from(*f) < self.routers.len());
        need(founders && self.founders.is_empty() == (self.version > 1), "founders in the first table only")?;
        let shards = self.keepers.len() / copies.max(1);
        need((1..=MOST_SHARDS).contains(&shards), "1 to 1024 shards")?;
        need(self.keepers.len() == shards * copies, "the same copies of each shard")?;
        let each = self.keepers.chunks(copies).all(|k| distinct(k, self.routers.len()));
        need(each, "different keepers of a shard")?;
        need(rising(&self.caches), "caches in the order of ids")?;
        let ids = |i: &Ids| rising(i) && i.last().is_none_or(|l| usize::from(*l) < self.caches.len());
        let home = |h: &HomeBody| {
            h.serve.iter().chain(&h.keep).chain(&h.fill).chain(&h.prefer).all(ids)
                && h.origins.iter().all(origin)
        };
        need(self.homes.iter().all(home), "bounds by place")?;
        need(rising(&self.classes) && rising(&self.groups) && rising(&self.pins), "heads of homes in order")?;
        let cells = (self.classes.len() + 1) * (self.groups.len() + 1) * (self.pins.len() + 1);
        need(self.cells.len() == cells, "a cell for each head of homes")?;
        need(self.cells.iter().all(|c| usize::from(*c) <= self.homes.len()), "homes by place")?;
        let classes: Vec<_> = self.gathers.iter().map(|g| &g.class).collect();
        need(rising(&classes) && self.gathers.iter().all(GatherRule::sound), "gathers by class")
    }
}
