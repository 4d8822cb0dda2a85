//! Checks whether the rules permit any choice of replicas, and finds the candidates.

use crate::assignment::{find_replica_group, Candidate, ExcludedOperand};
use crate::ast::{EntryKind, Name, OperandKind, Rule, Spread};
use crate::conflict::minimal_conflict;
use crate::diagnostic::{DraftDiagnostic, SourceSpan};
use crate::replica_rules::ReplicaPolicy;
use crate::resolver::Resolver;
use basaltgw_structures::hash::fnv1a;
use std::collections::{BTreeMap, BTreeSet};

/// Domains listed in a diagnostic, so that it stays readable.
const MAX_LISTED_DOMAINS: usize = 8;

/// A rule `never together`, with the routers of each operand as ascending indexes in the inventory.
#[derive(Clone, Debug)]
pub(crate) struct Exclusion {
    pub span: SourceSpan,
    pub operands: Vec<Vec<usize>>,
}

/// Compiles the rules `never together`.
pub(crate) fn exclusions(rules: &[Rule], resolver: &mut Resolver<'_>) -> Vec<Exclusion> {
    let mut all = Vec::new();
    for rule in rules {
        let Rule::NeverTogether { span, operands } = rule else { continue };
        let operands: Vec<Vec<usize>> =
            operands.iter().map(|(kind, name)| resolver.operand_routers(kind.node, name)).collect();
        if operands.len() < 2 {
            let message = "`never together` with a single operand excludes nothing";
            resolver.report(DraftDiagnostic::at(*span, message, "expected two or more, with commas"));
        }
        let routers = &resolver.inventory.routers;
        let is_in_two = |r: &usize| operands.iter().filter(|o| o.binary_search(r).is_ok()).count() > 1;
        if let Some(router) = (0..routers.len()).find(is_in_two) {
            let message = format!(
                "router \"{}\" is in two of these operands, so it would exclude itself",
                routers[router].member.router
            );
            resolver.report(DraftDiagnostic::at(*span, message, "can't be satisfied"));
        }
        all.push(Exclusion { span: *span, operands });
    }
    all
}

impl Resolver<'_> {
    fn operand_routers(&mut self, kind: OperandKind, name: &Name) -> Vec<usize> {
        let attribute = match kind {
            OperandKind::Set => return self.group(name, EntryKind::Routers),
            OperandKind::Router => "name",
            OperandKind::Machine => "machine",
            OperandKind::Branch => "branch",
        };
        self.routers_with(attribute, name)
    }
}

impl ReplicaPolicy {
    /// Routers that may be replicas: their indexes in the inventory, and as candidates.
    pub fn candidates(
        &self,
        exclusions: &[Exclusion],
        resolver: &Resolver<'_>,
    ) -> (Vec<usize>, Vec<Candidate>) {
        let constraints = Constraints { policy: self, exclusions, resolver };
        let all: Vec<usize> = (0..constraints.count()).collect();
        constraints.candidates(&all)
    }

    /// Whether some choice of routers satisfies all rules. Reports a minimal conflict of rules otherwise.
    pub fn check_satisfiable(&self, exclusions: &[Exclusion], resolver: &mut Resolver<'_>) -> bool {
        let constraints = Constraints { policy: self, exclusions, resolver };
        let all: Vec<usize> = (0..constraints.count()).collect();
        if constraints.are_satisfiable(&all) {
            return true;
        }
        let (indexes, candidates) = constraints.candidates(&[FROM, SPREAD]);
        let names: BTreeSet<&str> = indexes.iter().map(|i| constraints.domain_name(*i)).collect();
        let names: Vec<&str> = names.into_iter().take(MAX_LISTED_DOMAINS).collect();
        let mut draft = DraftDiagnostic::of_inventory(self.unsatisfiable_message(&candidates, &names));
        let main = [self.copies_span, self.span].into_iter().flatten().next();
        draft.labels.extend(main.map(|span| (span, format!("{} copies", self.copies))));
        for rule in minimal_conflict(constraints.count(), |used| constraints.are_satisfiable(used)) {
            draft.labels.extend(constraints.label(rule));
        }
        let help = format!("add routers of other {}, or relax the rules", self.spread.plural());
        resolver.report(draft.with_help(help));
        false
    }

    fn unsatisfiable_message(&self, candidates: &[Candidate], domain_names: &[&str]) -> String {
        let mut per_domain: BTreeMap<usize, usize> = BTreeMap::new();
        candidates.iter().for_each(|c| *per_domain.entry(c.domain).or_default() += 1);
        let slots: usize = per_domain.values().map(|n| (*n).min(self.max_per_domain)).sum();
        if slots >= self.copies {
            return format!(
                "{}: the rules permit no {} routers to store the same shard",
                self.keyword, self.copies
            );
        }
        let limit = match self.max_per_domain {
            0 | 1 => String::new(),
            max => format!(" (at most {max} in each)"),
        };
        format!(
            "{}: {} copies over different {}{limit} are required, but only {} can store them: {}",
            self.keyword,
            self.copies,
            self.spread.plural(),
            per_domain.len(),
            domain_names.join(", "),
        )
    }
}

/// Number of the constraint by `from`.
const FROM: usize = 0;
/// Number of the constraint by `spread`.
const SPREAD: usize = 1;
/// Number of the first exclusion.
const FIRST_EXCLUSION: usize = 2;

/// The rules that constrain a choice of replicas, by number.
struct Constraints<'a, 'b> {
    policy: &'a ReplicaPolicy,
    exclusions: &'a [Exclusion],
    resolver: &'a Resolver<'b>,
}

impl Constraints<'_, '_> {
    fn count(&self) -> usize {
        FIRST_EXCLUSION + self.exclusions.len()
    }

    /// Position of a rule, and what it requires.
    fn label(&self, rule: usize) -> Option<(SourceSpan, String)> {
        let policy = self.policy;
        let (span, label) = match rule {
            FROM => (policy.from.as_ref().map(|f| f.span), "only these routers".to_string()),
            SPREAD => {
                let label = format!("at most {} in one {}", policy.max_per_domain, policy.spread.singular());
                (policy.spread_span, label)
            }
            n => (self.exclusions.get(n - FIRST_EXCLUSION).map(|e| e.span), "never together".to_string()),
        };
        span.map(|span| (span, label))
    }

    fn domain_name(&self, router: usize) -> &str {
        let domain = &self.resolver.inventory.routers[router].domain;
        match self.policy.spread {
            Spread::Branches => &domain.branch,
            Spread::Machines => &domain.machine,
        }
    }

    /// Routers that may be replicas by the rules in `used` alone.
    fn candidates(&self, used: &[usize]) -> (Vec<usize>, Vec<Candidate>) {
        let from = self.policy.from.as_ref().filter(|_| used.contains(&FROM));
        let is_permitted = |i: &usize| from.is_none_or(|f| f.node.binary_search(i).is_ok());
        let routers = &self.resolver.inventory.routers;
        let indexes: Vec<usize> =
            (0..routers.len()).filter(|i| routers[*i].accepts_replicas && is_permitted(i)).collect();
        let mut exclusions: BTreeMap<usize, Vec<ExcludedOperand>> = BTreeMap::new();
        let used_exclusions =
            self.exclusions.iter().enumerate().filter(|(i, _)| used.contains(&(i + FIRST_EXCLUSION)));
        for (rule, exclusion) in used_exclusions {
            for (operand, routers) in exclusion.operands.iter().enumerate() {
                let entry = ExcludedOperand { rule: rule as u16, operand: operand as u16 };
                routers.iter().for_each(|r| exclusions.entry(*r).or_default().push(entry));
            }
        }
        let mut domains = BTreeMap::new();
        let candidates = indexes.iter().map(|i| {
            let router = &routers[*i];
            let key = match used.contains(&SPREAD) {
                true => self.policy.spread.domain(router),
                // Without a spread each router is a domain of its own.
                false => (router.member.router.0.to_string(), "a router of its own".into()),
            };
            let next = domains.len();
            Candidate {
                name_hash: fnv1a(&router.member.router.0),
                weight: router.capacity.max(1),
                domain: *domains.entry(key).or_insert(next),
                exclusions: exclusions.get(i).cloned().unwrap_or_default(),
            }
        });
        let candidates = candidates.collect();
        (indexes, candidates)
    }

    fn are_satisfiable(&self, used: &[usize]) -> bool {
        let (_, candidates) = self.candidates(used);
        let order: Vec<usize> = (0..candidates.len()).collect();
        find_replica_group(&candidates, &order, self.policy.copies, self.policy.max_per_domain).is_some()
    }
}
