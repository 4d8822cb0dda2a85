//! Rules, inventory and the table before to a table.

use crate::ast::Item;
use crate::body::{Body, Keeper, Origin, MOST_TABLE};
use crate::check::Check;
use crate::fault::{found, line_column, At, Fault, Found, INVENTORY};
use crate::gather::gathers;
use crate::homes::homes;
use crate::keep::{aparts, want, Apart, Want};
use crate::parse::parse;
use crate::place::{place, score, Wanted};
use crate::table::Table;
use crate::{Inventory, RouterEntry};
use basaltgw_types::Member;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest that all files together may be, in bytes.
pub const MOST_TEXT: usize = 256 * 1024;
/// The most files.
pub const MOST_FILES: usize = 16;
/// The most rules in all files.
pub const MOST_RULES: usize = 1024;
/// The most routers in an inventory.
pub const MOST_ROUTERS: usize = 4096;
/// The most caches in an inventory: they are counted in 16 bits.
pub const MOST_CACHES: usize = 16_384;
/// The most routers by which a fleet is founded, since each must agree.
pub const MOST_FOUNDERS: usize = 64;
/// The most faults that are shown: more are no help, and each costs a look through its file.
const MOST_FAULTS: usize = 100;
/// Shards of a fleet whose founding rules name no number: a router of 30 keeps about 26, and a move goes by 1 in 256.
const USUAL_SHARDS: usize = 256;

/// A fault of no line.
fn general(message: String) -> Found {
    Found { whole: INVENTORY, message, help: None, labels: Vec::new() }
}

/// The inventory in the order of names, whatever the caller's; faults what has no place in one.
fn ordered(inventory: &Inventory) -> Result<Inventory, Vec<Found>> {
    let mut faults = Vec::new();
    let mut inventory = inventory.clone();
    inventory.routers.sort_by(|a, b| a.member.cmp(&b.member));
    inventory.caches.sort_by(|a, b| a.id.cmp(&b.id));
    for (what, n, most) in
        [("routers", inventory.routers.len(), MOST_ROUTERS), ("caches", inventory.caches.len(), MOST_CACHES)]
    {
        if n > most {
            faults.push(general(format!("{n} {what}; expected at most {most}")));
        }
    }
    for pair in inventory.routers.windows(2).filter(|w| w[0].member.router == w[1].member.router) {
        let name = &pair[0].member.router;
        faults.push(general(format!("router \"{name}\" is there twice; one folder's life alone counts")));
    }
    for pair in inventory.caches.windows(2).filter(|w| w[0].id == w[1].id) {
        faults.push(general(format!("cache \"{}\" is there twice", pair[0].id)));
    }
    for router in &inventory.routers {
        let RouterEntry { member, domain, .. } = router;
        for name in [&member.router.0, &domain.branch, &domain.machine] {
            if let Err(bad) = basaltgw_types::parse_name(name) {
                faults.push(general(format!("router \"{}\": {bad}", member.router)));
            }
        }
    }
    for cache in inventory.caches.iter().filter(|c| !c.weight.is_finite()) {
        faults.push(general(format!(
            "cache \"{}\": a weight of {}; expected a number",
            cache.id, cache.weight
        )));
    }
    if faults.is_empty() {
        Ok(inventory)
    } else {
        Err(faults)
    }
}

/// All rules of all files.
fn read(files: &[(String, String)]) -> Result<Vec<Item>, Vec<Found>> {
    let bytes: usize = files.iter().map(|f| f.1.len()).sum();
    if files.len() > MOST_FILES || bytes > MOST_TEXT {
        let what = format!(
            "rules of {bytes} bytes in {} files; expected at most {MOST_TEXT} in {MOST_FILES}",
            files.len()
        );
        return Err(vec![Found { whole: "rules", ..general(what) }]);
    }
    let (mut items, mut faults) = (Vec::new(), Vec::new());
    for (i, (_, text)) in files.iter().enumerate() {
        let (read, bad) = parse(i, text);
        items.extend(read);
        faults.extend(bad);
    }
    if items.len() > MOST_RULES {
        let what = format!("{} rules; expected at most {MOST_RULES}", items.len());
        faults.push(Found { whole: "rules", ..general(what) });
    }
    if faults.is_empty() {
        Ok(items)
    } else {
        Err(faults)
    }
}

/// Rules that a table names, numbered as they come.
struct Origins<'a> {
    files: &'a [(String, String)],
    all: Vec<(At, Origin)>,
}

impl Origins<'_> {
    fn number(&mut self, at: At) -> u16 {
        if let Some(known) = self.all.iter().position(|(a, _)| *a == at) {
            return known as u16;
        }
        let (file, text) = self.files.get(at.file).map_or(("", ""), |(f, t)| (f, t));
        /// Enough to know a rule by.
        const MOST_WORDS: usize = 60;
        let line = text.get(at.start..).and_then(|t| t.lines().next()).unwrap_or_default();
        let what: String =
            line.split('{').next().unwrap_or_default().trim().chars().take(MOST_WORDS).collect();
        let line = line_column(text, at.start).0 as u32;
        self.all.push((at, Origin { file: Arc::from(file), line, what: Arc::from(what) }));
        (self.all.len() - 1) as u16
    }
}

/// The keepers of `shards` by what is wanted, as places in the inventory and in the order of preference.
fn keepers(
    want: &Want,
    apart: &[Apart],
    shards: usize,
    by_capacity: bool,
    before: &[Vec<Member>],
    check: &mut Check<'_>,
) -> Option<Vec<Vec<usize>>> {
    let (places, mut candidates) = want.candidates(apart, check);
    if !by_capacity {
        candidates.iter_mut().for_each(|c| c.weight = 1);
    }
    let routers = &check.inventory.routers;
    let candidate: BTreeMap<&Member, usize> =
        places.iter().enumerate().map(|(i, p)| (&routers[*p].member, i)).collect();
    let stays = |kept: &Vec<Member>| kept.iter().filter_map(|m| candidate.get(m).copied()).collect();
    let before: Vec<Vec<usize>> = before.iter().map(stays).collect();
    let wanted = Wanted { shards, copies: want.copies, each: want.each };
    let Some(mut placed) = place(&candidates, wanted, &before) else {
        check.fault(general(format!("{}: no placement was found", want.what)));
        return None;
    };
    if let (Some(room), true) = (&want.room, by_capacity) {
        let mut load = vec![0u64; candidates.len()];
        placed.iter().flatten().for_each(|k| load[*k] += 1);
        let over = (0..load.len()).find(|i| {
            (load[*i].saturating_sub(1)).saturating_mul(room.it) >= routers[places[*i]].capacity.max(1)
        });
        if let Some(over) = over {
            let RouterEntry { member, capacity, .. } = &routers[places[over]];
            let what = format!(
                "{}: capacity is short: router \"{}\" would keep {} shards of {} holds with room for {capacity}",
                want.what, member.router, load[over], room.it
            );
            check.fault(found(room.at, what, "holds per shard"));
        }
    }
    let tier = |c: usize| {
        want.prefer.iter().position(|set| set.binary_search(&places[c]).is_ok()).unwrap_or(want.prefer.len())
    };
    for (shard, kept) in placed.iter_mut().enumerate() {
        kept.sort_by_key(|c| (tier(*c), Reverse(score(shard, candidates[*c].hash))));
    }
    Some(placed.into_iter().map(|kept| kept.into_iter().map(|c| places[c]).collect()).collect())
}

/// What the rules, the inventory and the table before come to.
fn build(
    files: &[(String, String)],
    items: &[Item],
    inventory: &Inventory,
    before: Option<&Table>,
) -> Result<Table, Vec<Found>> {
    let mut check = Check::new(inventory);
    let mut origins = Origins { files, all: Vec::new() };
    check.define(items);
    let holds = want("holds", items, &mut check);
    let root = want("root", items, &mut check);
    let apart = aparts(items, &mut check);
    let homes = homes(items, &mut check, |at| origins.number(at));
    let gathers = gathers(items, &mut check);
    let shards = holds.shards.as_ref().map(|s| s.it).or(before.map(Table::shards)).unwrap_or(USUAL_SHARDS);
    if let (Some(asked), Some(have)) = (&holds.shards, before.map(Table::shards)) {
        if asked.it != have {
            let what =
                format!("{} shards; the fleet was founded with {have}, and holds know their shard", asked.it);
            check.fault(found(asked.at, what, "can't be changed any more"));
        }
    }
    if before.is_none() && inventory.routers.len() > MOST_FOUNDERS {
        let what =
            format!("{} routers found a fleet; expected at most {MOST_FOUNDERS}", inventory.routers.len());
        check.fault(general(format!("{what}: the rest may join afterwards")));
    }
    // What can't be chosen from has faults of its own by now.
    if !check.faults.is_empty() {
        return Err(check.faults);
    }
    let possible = [holds.possible(&apart, &mut check), root.possible(&apart, &mut check)];
    if possible[0] {
        let places = holds.candidates(&apart, &check).0;
        holds.roomy(shards, &places, &mut check);
    }
    if !check.faults.is_empty() {
        return Err(check.faults);
    }
    let kept: Vec<Vec<Member>> = before
        .map(|t| t.map(0).shards.into_iter().flat_map(|k| k.groups).map(|g| g.members).collect())
        .unwrap_or_default();
    let old_root: Vec<Vec<Member>> = before.map(|t| t.root().members).into_iter().collect();
    let placed = keepers(&holds, &apart, shards, true, &kept, &mut check);
    let root_placed = keepers(&root, &apart, 1, false, &old_root, &mut check);
    let (Some(placed), Some(root_placed), true) = (placed, root_placed, check.faults.is_empty()) else {
        return Err(check.faults);
    };
    let founders: Vec<usize> = match before {
        None => (0..inventory.routers.len()).collect(),
        Some(_) => Vec::new(),
    };
    let root_placed: Vec<usize> = root_placed.into_iter().flatten().collect();
    let routers = Routers::new(inventory, placed.iter().flatten().chain(&root_placed).chain(&founders));
    let body = Body {
        version: before.map_or(1, |t| t.version().0 + 1),
        before: before.map_or([0; 32], |t| t.hash().0),
        copies: holds.copies as u8,
        pace: holds.pace,
        holds: holds.at.map(|at| origins.number(at)),
        root_rule: root.at.map(|at| origins.number(at)),
        root: routers.places(&root_placed),
        founders: routers.places(&founders),
        keepers: routers.places(&placed.concat()),
        names: routers.names,
        routers: routers.keepers,
        origins: origins.all.into_iter().map(|(_, origin)| origin).collect(),
        caches: homes.caches,
        homes: homes.homes,
        classes: homes.classes,
        groups: homes.groups,
        pins: homes.pins,
        cells: homes.cells,
        gathers,
    };
    Table::new(body).map_err(|bad| {
        let mut fault = Found { whole: "rules", ..general(format!("they come to {bad}")) };
        fault.help = Some(format!("fewer shards or fewer named caches make it fit {MOST_TABLE} bytes"));
        vec![fault]
    })
}

/// Routers that a table names.
struct Routers {
    names: Vec<Arc<str>>,
    keepers: Vec<Keeper>,
    place: BTreeMap<usize, u16>,
}

impl Routers {
    fn new<'a>(inventory: &Inventory, used: impl Iterator<Item = &'a usize>) -> Self {
        let mut used: Vec<usize> = used.copied().collect();
        used.sort_unstable();
        used.dedup();
        let entry = |u: &usize| &inventory.routers[*u];
        let both = |e: &RouterEntry| [e.domain.branch.clone(), e.domain.machine.clone()];
        let mut names: Vec<Arc<str>> = used.iter().map(entry).flat_map(both).collect();
        names.sort();
        names.dedup();
        let name = |n: &Arc<str>| names.binary_search(n).unwrap_or_default() as u16;
        let keeper = |e: &RouterEntry| Keeper {
            name: e.member.router.0.clone(),
            incarnation: e.member.incarnation.0.to_le_bytes(),
            branch: name(&e.domain.branch),
            machine: name(&e.domain.machine),
        };
        let keepers = used.iter().map(entry).map(keeper).collect();
        let place = used.iter().enumerate().map(|(i, u)| (*u, i as u16)).collect();
        Self { names, keepers, place }
    }

    fn places(&self, routers: &[usize]) -> Vec<u16> {
        routers.iter().filter_map(|r| self.place.get(r).copied()).collect()
    }
}

/// Compiles rules (by file name and text) for an inventory, keeping as much of the table before as can stay. The same input gives the same bytes
/// on every machine, in whatever order the inventory is.
///
/// # Errors
/// All faults that were found: first of words and grammar, then of names and clauses, then of what can't hold.
pub fn compile(
    files: &[(String, String)],
    inventory: &Inventory,
    before: Option<&Table>,
) -> Result<Table, Vec<Fault>> {
    let all = || {
        let inventory = ordered(inventory)?;
        let items = read(files)?;
        build(files, &items, &inventory, before)
    };
    all().map_err(|mut faults: Vec<Found>| {
        faults.sort_by_key(|f| f.labels.first().map(|l| l.0));
        let more = faults.len().saturating_sub(MOST_FAULTS);
        faults.truncate(MOST_FAULTS);
        if more > 0 {
            faults.push(Found { whole: "rules", ..general(format!("{more} more faults are not shown")) });
        }
        let mut faults: Vec<Fault> = faults.into_iter().map(|f| f.placed(files)).collect();
        faults.dedup();
        faults
    })
}
