//! Homes of objects: which rules are about an object, and what they leave together.

use crate::ast::{Bound, Head, Item, Name, Of, Sp};
use crate::body::HomeBody;
use crate::check::Check;
use crate::fault::{found, At};
use crate::smallest::smallest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The most different pins, groups and classes, multiplied: each is a cell of the table.
const MOST_CELLS: usize = 16_384;

/// A list of caches by place in the inventory, and where it is said.
type Said = Option<Sp<Vec<usize>>>;

/// A rule of homes.
#[derive(Debug, Default)]
struct Home {
    at: At,
    classes: Option<BTreeSet<String>>,
    groups: Option<BTreeSet<u64>>,
    pins: Option<BTreeSet<u64>>,
    serve: Said,
    keep: Said,
    fill: Said,
    only: Said,
    prefer: Option<Sp<Vec<Vec<usize>>>>,
    width: Option<Sp<u32>>,
    else_any: Option<At>,
}

/// The compiled homes, with caches by place in `caches`.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    pub caches: Vec<Arc<str>>,
    pub homes: Vec<HomeBody>,
    pub classes: Vec<Arc<str>>,
    pub groups: Vec<u64>,
    pub pins: Vec<u64>,
    pub cells: Vec<u16>,
}

impl Home {
    /// What is more particular comes first.
    fn rank(&self) -> (bool, bool, bool) {
        (self.pins.is_some(), self.groups.is_some(), self.classes.is_some())
    }

    fn about(&self, class: Option<&str>, group: Option<u64>, pin: Option<u64>) -> bool {
        self.classes.as_ref().is_none_or(|s| class.is_some_and(|c| s.contains(c)))
            && self.groups.as_ref().is_none_or(|s| group.is_some_and(|g| s.contains(&g)))
            && self.pins.as_ref().is_none_or(|s| pin.is_some_and(|p| s.contains(&p)))
    }

    fn head(&mut self, head: &Sp<Head>, check: &mut Check<'_>) {
        let twice = match &head.it {
            Head::Class(names) => {
                names.iter().for_each(|n| check.class(n));
                self.classes.replace(names.iter().map(|n| n.it.clone()).collect()).is_some()
            }
            Head::Group(ids) => self.groups.replace(ids.iter().map(|i| i.it).collect()).is_some(),
            Head::Pin(ids) => self.pins.replace(ids.iter().map(|i| i.it).collect()).is_some(),
        };
        if twice {
            check.fault(found(head.at, "this is said twice", "again").help("list them with commas"));
        }
    }

    fn clause(&mut self, clause: &Sp<Bound>, check: &mut Check<'_>) {
        let at = clause.at;
        let mut caches = |names: &[Name], of| Some(Sp { it: check.groups(names, of), at });
        match &clause.it {
            Bound::Serve(names) => self.serve = caches(names, Of::Caches),
            Bound::Keep(names) => self.keep = caches(names, Of::Caches),
            Bound::Fill(names) => self.fill = caches(names, Of::Caches),
            Bound::Only(name) => self.only = caches(std::slice::from_ref(name), Of::Caches),
            Bound::Prefer(names) => {
                let it = names.iter().map(|n| check.group(n, Of::Caches)).collect();
                self.prefer = Some(Sp { it, at });
            }
            Bound::Width(n) => match u32::try_from(*n).ok().filter(|n| *n > 0) {
                Some(it) => self.width = Some(Sp { it, at }),
                None => check.fault(found(
                    at,
                    format!("a width of {n}; expected 1 to {}", u32::MAX),
                    "no such width",
                )),
            },
            Bound::Else => self.else_any = Some(at),
        }
    }
}

fn read(items: &[Item], check: &mut Check<'_>) -> Vec<Home> {
    let mut homes = Vec::new();
    for item in items {
        let Item::Home(at, heads, clauses) = item else { continue };
        let mut home = Home { at: *at, ..Home::default() };
        heads.iter().for_each(|h| home.head(h, check));
        for (i, clause) in clauses.iter().enumerate() {
            let same = |c: &&Sp<Bound>| std::mem::discriminant(&c.it) == std::mem::discriminant(&clause.it);
            if let Some(first) = clauses[..i].iter().find(same) {
                check.fault(found(clause.at, "this is said twice", "again").also(first.at, "first here"));
            }
            home.clause(clause, check);
        }
        if clauses.is_empty() {
            check.fault(found(*at, "this home says nothing", "expected a clause in its braces"));
        }
        homes.push(home);
    }
    homes.sort_by_key(|h| std::cmp::Reverse(h.rank()));
    homes
}

/// What the rules about some objects, the most particular first, leave together.
fn together<'a>(rules: &[&'a Home], check: &mut Check<'_>) -> HomeBody {
    let both = |a: &Home, b: &Home| {
        let pair = |a: Option<At>, b: Option<At>| a.zip(b);
        let at = |s: &Said| s.as_ref().map(|s| s.at);
        pair(at(&a.serve), at(&b.serve))
            .or(pair(at(&a.keep), at(&b.keep)))
            .or(pair(at(&a.fill), at(&b.fill)))
            .or(pair(a.prefer.as_ref().map(|p| p.at), b.prefer.as_ref().map(|p| p.at)))
            .or(pair(a.width.as_ref().map(|w| w.at), b.width.as_ref().map(|w| w.at)))
    };
    for (i, a) in rules.iter().enumerate() {
        for b in rules[..i].iter().filter(|b| b.rank() == a.rank()) {
            if let Some((second, first)) = both(a, b) {
                let fault = found(second, "two rules say this for the same objects", "here");
                check.fault(fault.also(first, "and here").help("neither is the more particular one"));
            }
        }
    }
    let said = |what: fn(&'a Home) -> &'a Said| rules.iter().find_map(|r| what(r).as_ref());
    let only: Vec<&'a Sp<Vec<usize>>> = rules.iter().filter_map(|r| r.only.as_ref()).collect();
    let mut bounded = |what: &str, sets: Vec<&Sp<Vec<usize>>>| -> Option<Vec<usize>> {
        let meet = |used: &[usize]| -> Vec<usize> {
            let mut used = used.iter().map(|u| &sets[*u].it);
            let first = used.next().cloned().unwrap_or_default();
            used.fold(first, |all, set| all.into_iter().filter(|c| set.binary_search(c).is_ok()).collect())
        };
        let all: Vec<usize> = (0..sets.len()).collect();
        let left = meet(&all);
        // An empty set has its own fault.
        if left.is_empty() && sets.iter().all(|s| !s.it.is_empty()) && !sets.is_empty() {
            let fewest = smallest(sets.len(), |used| used.is_empty() || !meet(used).is_empty());
            let mut places = fewest.iter().map(|f| sets[*f].at);
            let mut fault = found(
                places.next().unwrap_or_default(),
                format!("nobody may {what} these objects"),
                "by this",
            );
            fault.labels.extend(places.map(|at| (at, "and this".to_string())));
            check.fault(fault.help("no cache is in all that is marked"));
        }
        (!sets.is_empty()).then_some(left)
    };
    let with_only = |said: Option<&'a Sp<Vec<usize>>>| -> Vec<&'a Sp<Vec<usize>>> {
        said.into_iter().chain(only.iter().copied()).collect()
    };
    let serve = bounded("serve", with_only(said(|h| &h.serve)));
    let keep = bounded("keep", with_only(said(|h| &h.keep)));
    let fill = bounded("fill", said(|h| &h.fill).into_iter().collect());
    let else_any = rules.first().and_then(|r| r.else_any);
    if let (Some(any), Some(only)) = (else_any, only.first()) {
        let fault = found(any, "`else any` would leave where these objects must stay", "any cache");
        check.fault(fault.also(only.at, "only here").help("leave out one of the two"));
    }
    let width = rules.iter().find_map(|r| r.width.as_ref());
    if let (Some(width), Some(keep)) = (width, keep.as_ref().filter(|k| !k.is_empty())) {
        if width.it as usize > keep.len() && else_any.is_none() {
            let what =
                format!("a width of {} can never be had: {} may keep these objects", width.it, keep.len());
            check.fault(found(width.at, what, "too wide"));
        }
    }
    let place = |ids: Vec<usize>| ids.into_iter().map(|i| i as u16).collect();
    let prefer = rules.iter().find_map(|r| r.prefer.as_ref()).map(|p| p.it.clone()).unwrap_or_default();
    HomeBody {
        serve: serve.map(place),
        keep: keep.map(place),
        fill: fill.map(place),
        prefer: prefer.into_iter().map(place).collect(),
        width: width.map(|w| w.it),
        else_any: else_any.is_some(),
        origins: Vec::new(),
    }
}

/// Compiles all homes. Their rules are numbered by `origin`.
pub(crate) fn homes(items: &[Item], check: &mut Check<'_>, mut origin: impl FnMut(At) -> u16) -> Homes {
    let rules = read(items, check);
    let mut out = Homes { cells: vec![0], ..Homes::default() };
    let classes: BTreeSet<&String> = rules.iter().filter_map(|r| r.classes.as_ref()).flatten().collect();
    let groups: BTreeSet<u64> = rules.iter().filter_map(|r| r.groups.as_ref()).flatten().copied().collect();
    let pins: BTreeSet<u64> = rules.iter().filter_map(|r| r.pins.as_ref()).flatten().copied().collect();
    let cells = (classes.len() + 1) * (groups.len() + 1) * (pins.len() + 1);
    if cells > MOST_CELLS {
        let what = format!(
            "homes of {} classes, {} groups and {} pins make {cells} cases; expected at most {MOST_CELLS}",
            classes.len(),
            groups.len(),
            pins.len()
        );
        let at = rules.first().map(|r| r.at).unwrap_or_default();
        check.fault(found(at, what, "the first of them").help("name fewer pins and groups one by one"));
        return out;
    }
    out.cells.clear();
    let with_none = |ids: &BTreeSet<u64>| -> Vec<Option<u64>> {
        std::iter::once(None).chain(ids.iter().copied().map(Some)).collect()
    };
    let some_class: Vec<Option<&str>> =
        std::iter::once(None).chain(classes.iter().map(|c| Some(c.as_str()))).collect();
    let mut known: BTreeMap<Vec<usize>, u16> = BTreeMap::from([(Vec::new(), 0)]);
    for pin in with_none(&pins) {
        for group in with_none(&groups) {
            for class in &some_class {
                let about: Vec<usize> =
                    (0..rules.len()).filter(|r| rules[*r].about(*class, group, pin)).collect();
                let cell = match known.get(&about) {
                    Some(cell) => *cell,
                    None => {
                        let chosen: Vec<&Home> = about.iter().map(|r| &rules[*r]).collect();
                        let mut home = together(&chosen, check);
                        home.origins = chosen.iter().map(|r| origin(r.at)).collect();
                        out.homes.push(home);
                        let cell = out.homes.len() as u16;
                        known.insert(about, cell);
                        cell
                    }
                };
                out.cells.push(cell);
            }
        }
    }
    out.classes = classes.into_iter().map(|c| Arc::from(c.as_str())).collect();
    out.groups = groups.into_iter().collect();
    out.pins = pins.into_iter().collect();
    out.name_caches(check);
    out
}

impl Homes {
    /// From places in the inventory to places among the caches that the table names.
    fn name_caches(&mut self, check: &Check<'_>) {
        fn lists(home: &mut HomeBody) -> impl Iterator<Item = &mut Vec<u16>> {
            home.serve.iter_mut().chain(&mut home.keep).chain(&mut home.fill).chain(&mut home.prefer)
        }
        let used: BTreeSet<u16> =
            self.homes.iter_mut().flat_map(|h| lists(h).flat_map(|l| l.clone())).collect();
        let place: BTreeMap<u16, u16> = used.iter().enumerate().map(|(i, u)| (*u, i as u16)).collect();
        for id in self.homes.iter_mut().flat_map(|h| lists(h).flat_map(|l| l.iter_mut())) {
            *id = place.get(id).copied().unwrap_or_default();
        }
        self.caches = used.iter().map(|u| check.inventory.caches[usize::from(*u)].id.clone()).collect();
    }
}
