//! Compiles the rules `home`: which rules apply to an object, and the constraints that result from them together.

use crate::ast::{EntryKind, HomeClause, HomeSelector, Name, Rule, Spanned};
use crate::conflict::minimal_conflict;
use crate::diagnostic::{DraftDiagnostic, SourceSpan};
use crate::resolver::Resolver;
use crate::table_body::HomeBody;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Largest number of combinations of pins, groups and classes: each takes a cell of the table.
const MAX_HOME_CELLS: usize = 16_384;

/// Caches as ascending indexes in the inventory, with the position of their clause.
type CacheClause = Option<Spanned<Vec<usize>>>;

/// A rule `home`.
#[derive(Debug, Default)]
struct Home {
    span: SourceSpan,
    classes: Option<BTreeSet<String>>,
    groups: Option<BTreeSet<u64>>,
    pins: Option<BTreeSet<u64>>,
    serve: CacheClause,
    keep: CacheClause,
    fill: CacheClause,
    only: CacheClause,
    prefer: Option<Spanned<Vec<Vec<usize>>>>,
    width: Option<Spanned<u32>>,
    else_any: Option<SourceSpan>,
}

/// The compiled rules. The fields are those of [`crate::table_body::TableBody`].
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
    /// The more specific rule has the higher specificity.
    fn specificity(&self) -> (bool, bool, bool) {
        (self.pins.is_some(), self.groups.is_some(), self.classes.is_some())
    }

    fn applies_to(&self, class: Option<&str>, group: Option<u64>, pin: Option<u64>) -> bool {
        self.classes.as_ref().is_none_or(|s| class.is_some_and(|c| s.contains(c)))
            && self.groups.as_ref().is_none_or(|s| group.is_some_and(|g| s.contains(&g)))
            && self.pins.as_ref().is_none_or(|s| pin.is_some_and(|p| s.contains(&p)))
    }

    fn select(&mut self, selector: &Spanned<HomeSelector>, resolver: &mut Resolver<'_>) {
        let is_repeated = match &selector.node {
            HomeSelector::Class(names) => {
                names.iter().for_each(|n| resolver.check_class(n));
                self.classes.replace(names.iter().map(|n| n.node.clone()).collect()).is_some()
            }
            HomeSelector::Group(ids) => self.groups.replace(ids.iter().map(|i| i.node).collect()).is_some(),
            HomeSelector::Pin(ids) => self.pins.replace(ids.iter().map(|i| i.node).collect()).is_some(),
        };
        if is_repeated {
            let draft = DraftDiagnostic::at(selector.span, "this selector is given twice", "again");
            resolver.report(draft.with_help("list its values with commas"));
        }
    }

    fn apply(&mut self, clause: &Spanned<HomeClause>, resolver: &mut Resolver<'_>) {
        let span = clause.span;
        let mut caches =
            |names: &[Name]| Some(Spanned { node: resolver.groups(names, EntryKind::Caches), span });
        match &clause.node {
            HomeClause::Serve(names) => self.serve = caches(names),
            HomeClause::Keep(names) => self.keep = caches(names),
            HomeClause::Fill(names) => self.fill = caches(names),
            HomeClause::Only(name) => self.only = caches(std::slice::from_ref(name)),
            HomeClause::Prefer(names) => {
                let node = names.iter().map(|n| resolver.group(n, EntryKind::Caches)).collect();
                self.prefer = Some(Spanned { node, span });
            }
            HomeClause::Width(n) => match u32::try_from(*n).ok().filter(|n| *n > 0) {
                Some(node) => self.width = Some(Spanned { node, span }),
                None => {
                    let message = format!("a width of {n}; expected 1 to {}", u32::MAX);
                    resolver.report(DraftDiagnostic::at(span, message, "unsupported width"));
                }
            },
            HomeClause::ElseAny => self.else_any = Some(span),
        }
    }

    /// Positions of the first kind of clause that both rules have.
    fn common_clause(&self, other: &Self) -> Option<(SourceSpan, SourceSpan)> {
        let span = |c: &CacheClause| c.as_ref().map(|c| c.span);
        let prefer = |h: &Self| h.prefer.as_ref().map(|p| p.span);
        let width = |h: &Self| h.width.as_ref().map(|w| w.span);
        (span(&self.serve).zip(span(&other.serve)))
            .or(span(&self.keep).zip(span(&other.keep)))
            .or(span(&self.fill).zip(span(&other.fill)))
            .or(prefer(self).zip(prefer(other)))
            .or(width(self).zip(width(other)))
    }
}

/// The rules `home`, the most specific ones first.
fn home_rules(rules: &[Rule], resolver: &mut Resolver<'_>) -> Vec<Home> {
    let mut homes = Vec::new();
    for rule in rules {
        let Rule::Home { span, selectors, clauses } = rule else { continue };
        let mut home = Home { span: *span, ..Home::default() };
        selectors.iter().for_each(|s| home.select(s, resolver));
        for (i, clause) in clauses.iter().enumerate() {
            resolver.report_repeated_clause(clauses, i);
            home.apply(clause, resolver);
        }
        if clauses.is_empty() {
            let message = "this home has no clauses";
            resolver.report(DraftDiagnostic::at(*span, message, "expected a clause in its braces"));
        }
        homes.push(home);
    }
    homes.sort_by_key(|h| Reverse(h.specificity()));
    homes
}

fn report_ambiguous_clauses(homes: &[&Home], resolver: &mut Resolver<'_>) {
    for (i, a) in homes.iter().enumerate() {
        for b in homes[..i].iter().filter(|b| b.specificity() == a.specificity()) {
            if let Some((second, first)) = a.common_clause(b) {
                let message = "two rules have this clause for the same objects";
                let draft = DraftDiagnostic::at(second, message, "here").with_label(first, "and here");
                resolver.report(draft.with_help("neither rule is more specific than the other"));
            }
        }
    }
}

/// The caches that are in all sets; `None` without a set. Reports a minimal group of sets that have no cache in common.
fn intersection(
    verb: &str,
    sets: &[&Spanned<Vec<usize>>],
    resolver: &mut Resolver<'_>,
) -> Option<Vec<usize>> {
    let intersect = |used: &[usize]| -> Vec<usize> {
        let mut used = used.iter().map(|u| &sets[*u].node);
        let first = used.next().cloned().unwrap_or_default();
        used.fold(first, |all, set| all.into_iter().filter(|c| set.binary_search(c).is_ok()).collect())
    };
    if sets.is_empty() {
        return None;
    }
    let all: Vec<usize> = (0..sets.len()).collect();
    let common = intersect(&all);
    // An empty set was reported when its name was resolved.
    if common.is_empty() && sets.iter().all(|s| !s.node.is_empty()) {
        let conflict = minimal_conflict(sets.len(), |used| used.is_empty() || !intersect(used).is_empty());
        let mut spans = conflict.iter().map(|i| sets[*i].span);
        let message = format!("no cache may {verb} these objects");
        let mut draft = DraftDiagnostic::at(spans.next().unwrap_or_default(), message, "by this clause");
        draft.labels.extend(spans.map(|span| (span, "and this one".to_string())));
        resolver.report(draft.with_help("no cache is in all marked sets"));
    }
    Some(common)
}

/// The constraints that result from all rules of some objects, the most specific rules first.
fn combine<'a>(homes: &[&'a Home], resolver: &mut Resolver<'_>) -> HomeBody {
    report_ambiguous_clauses(homes, resolver);
    let most_specific =
        |clause: fn(&'a Home) -> &'a CacheClause| homes.iter().find_map(|h| clause(h).as_ref());
    let only: Vec<&'a Spanned<Vec<usize>>> = homes.iter().filter_map(|h| h.only.as_ref()).collect();
    let with_only = |clause: Option<&'a Spanned<Vec<usize>>>| -> Vec<&'a Spanned<Vec<usize>>> {
        clause.into_iter().chain(only.iter().copied()).collect()
    };
    let serve = intersection("serve", &with_only(most_specific(|h| &h.serve)), resolver);
    let keep = intersection("keep", &with_only(most_specific(|h| &h.keep)), resolver);
    let fill: Vec<_> = most_specific(|h| &h.fill).into_iter().collect();
    let fill = intersection("fill", &fill, resolver);
    let else_any = homes.first().and_then(|h| h.else_any);
    if let (Some(any), Some(only)) = (else_any, only.first()) {
        let message = "`else any` would permit caches that `only in` excludes";
        let draft = DraftDiagnostic::at(any, message, "any cache").with_label(only.span, "only these");
        resolver.report(draft.with_help("leave out one of the two"));
    }
    let width = homes.iter().find_map(|h| h.width.as_ref());
    if let (Some(width), Some(keep)) = (width, keep.as_ref().filter(|k| !k.is_empty())) {
        if width.node as usize > keep.len() && else_any.is_none() {
            let message = format!(
                "a width of {} can't be reached: only {} may keep these objects",
                width.node,
                keep.len()
            );
            resolver.report(DraftDiagnostic::at(width.span, message, "too wide"));
        }
    }
    let to_u16 = |indexes: Vec<usize>| indexes.into_iter().map(|i| i as u16).collect();
    let prefer = homes.iter().find_map(|h| h.prefer.as_ref()).map(|p| p.node.clone()).unwrap_or_default();
    HomeBody {
        serve: serve.map(to_u16),
        keep: keep.map(to_u16),
        fill: fill.map(to_u16),
        prefer: prefer.into_iter().map(to_u16).collect(),
        width: width.map(|w| w.node),
        else_any: else_any.is_some(),
        origins: Vec::new(),
    }
}

/// Compiles all rules `home`. `origin` numbers the rules for [`HomeBody::origins`].
pub(crate) fn homes(
    rules: &[Rule],
    resolver: &mut Resolver<'_>,
    mut origin: impl FnMut(SourceSpan) -> u16,
) -> Homes {
    let rules = home_rules(rules, resolver);
    let classes: BTreeSet<&String> = rules.iter().filter_map(|r| r.classes.as_ref()).flatten().collect();
    let groups: BTreeSet<u64> = rules.iter().filter_map(|r| r.groups.as_ref()).flatten().copied().collect();
    let pins: BTreeSet<u64> = rules.iter().filter_map(|r| r.pins.as_ref()).flatten().copied().collect();
    let cells = (classes.len() + 1) * (groups.len() + 1) * (pins.len() + 1);
    if cells > MAX_HOME_CELLS {
        let message = format!(
            "homes of {} classes, {} groups and {} pins make {cells} combinations; expected at most {MAX_HOME_CELLS}",
            classes.len(),
            groups.len(),
            pins.len()
        );
        let first = rules.first().map(|r| r.span).unwrap_or_default();
        let draft = DraftDiagnostic::at(first, message, "the first home");
        resolver.report(draft.with_help("name fewer pins and groups one by one"));
        return Homes { cells: vec![0], ..Homes::default() };
    }
    let mut out = Homes::default();
    let none_and = |ids: &BTreeSet<u64>| -> Vec<Option<u64>> {
        std::iter::once(None).chain(ids.iter().copied().map(Some)).collect()
    };
    let none_and_classes: Vec<Option<&str>> =
        std::iter::once(None).chain(classes.iter().map(|c| Some(c.as_str()))).collect();
    let mut cell_of_rules: BTreeMap<Vec<usize>, u16> = BTreeMap::from([(Vec::new(), 0)]);
    for pin in none_and(&pins) {
        for group in none_and(&groups) {
            for class in &none_and_classes {
                let applying: Vec<usize> =
                    (0..rules.len()).filter(|r| rules[*r].applies_to(*class, group, pin)).collect();
                let cell = *cell_of_rules.entry(applying).or_insert_with_key(|applying| {
                    let homes: Vec<&Home> = applying.iter().map(|r| &rules[*r]).collect();
                    let mut home = combine(&homes, resolver);
                    home.origins = homes.iter().map(|h| origin(h.span)).collect();
                    out.homes.push(home);
                    out.homes.len() as u16
                });
                out.cells.push(cell);
            }
        }
    }
    out.classes = classes.into_iter().map(|c| Arc::from(c.as_str())).collect();
    out.groups = groups.into_iter().collect();
    out.pins = pins.into_iter().collect();
    out.renumber_caches(resolver);
    out
}

impl Homes {
    /// Replaces indexes in the inventory by indexes among the caches that the table names.
    fn renumber_caches(&mut self, resolver: &Resolver<'_>) {
        fn cache_lists(home: &mut HomeBody) -> impl Iterator<Item = &mut Vec<u16>> {
            home.serve.iter_mut().chain(&mut home.keep).chain(&mut home.fill).chain(&mut home.prefer)
        }
        let used: BTreeSet<u16> =
            self.homes.iter_mut().flat_map(|h| cache_lists(h).flat_map(|l| l.clone())).collect();
        let new_index: BTreeMap<u16, u16> = used.iter().enumerate().map(|(i, u)| (*u, i as u16)).collect();
        for index in self.homes.iter_mut().flat_map(|h| cache_lists(h).flat_map(|l| l.iter_mut())) {
            *index = new_index.get(index).copied().unwrap_or_default();
        }
        self.caches = used.iter().map(|u| resolver.inventory.caches[usize::from(*u)].id.clone()).collect();
    }
}
