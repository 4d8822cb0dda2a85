//! Compiles the rules `holds` and `root`: how many replicas shards and the root have, and on which routers.

use crate::ast::{EntryKind, ReplicaClause, Rule, Spanned, Spread};
use crate::diagnostic::{DraftDiagnostic, SourceSpan};
use crate::resolver::Resolver;
use crate::table_body::MAX_SHARDS;
use crate::RouterEntry;

/// Copies of a shard without a rule: any one machine may be lost.
const DEFAULT_COPIES: usize = 3;
/// Shards per step without a rule: a step is short, and 256 shards move in 16 steps.
const DEFAULT_SHARDS_PER_STEP: u16 = 16;

/// The compiled rule `holds` or `root`, or its defaults.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaPolicy {
    /// Keyword of the rule: "holds" or "root".
    pub keyword: &'static str,
    /// Position of the rule; `None` without one.
    pub span: Option<SourceSpan>,
    pub shards: Option<Spanned<usize>>,
    pub copies: usize,
    pub spread: Spread,
    /// Largest number of copies in one domain.
    pub max_per_domain: usize,
    /// Permitted routers, as ascending indexes in the inventory.
    pub from: Option<Spanned<Vec<usize>>>,
    /// Preferred routers, most preferred first.
    pub prefer: Vec<Vec<usize>>,
    /// Registers per shard that a router needs capacity for.
    pub room: Option<Spanned<u64>>,
    pub shards_per_step: u16,
    pub copies_span: Option<SourceSpan>,
    pub spread_span: Option<SourceSpan>,
}

/// Compiles the rule with this keyword, of which there is at most one.
pub(crate) fn replica_policy(
    keyword: &'static str,
    rules: &[Rule],
    resolver: &mut Resolver<'_>,
) -> ReplicaPolicy {
    let mut policy = ReplicaPolicy::with_defaults(keyword);
    for rule in rules {
        let (span, clauses) = match (rule, keyword) {
            (Rule::Holds { span, clauses }, "holds") | (Rule::Root { span, clauses }, "root") => {
                (*span, clauses)
            }
            _ => continue,
        };
        if let Some(first) = policy.span {
            let draft = DraftDiagnostic::at(span, format!("there are two rules `{keyword}`"), "the second");
            resolver.report(draft.with_label(first, "the first").with_help("write their clauses into one"));
            continue;
        }
        policy.span = Some(span);
        for (i, clause) in clauses.iter().enumerate() {
            resolver.report_repeated_clause(clauses, i);
            policy.apply(clause, resolver);
        }
    }
    policy.check_survives_domain_loss(resolver);
    policy
}

impl ReplicaPolicy {
    fn with_defaults(keyword: &'static str) -> Self {
        Self {
            keyword,
            span: None,
            shards: None,
            copies: DEFAULT_COPIES,
            spread: Spread::Machines,
            max_per_domain: 1,
            from: None,
            prefer: Vec::new(),
            room: None,
            shards_per_step: DEFAULT_SHARDS_PER_STEP,
            copies_span: None,
            spread_span: None,
        }
    }

    fn apply(&mut self, clause: &Spanned<ReplicaClause>, resolver: &mut Resolver<'_>) {
        let span = clause.span;
        let needs_shards =
            matches!(clause.node, ReplicaClause::Shards(_) | ReplicaClause::Room(_) | ReplicaClause::Pace(_));
        if self.keyword == "root" && needs_shards {
            let message = "the root has no shards of its own";
            resolver.report(DraftDiagnostic::at(span, message, "permitted only in `holds`"));
        }
        match &clause.node {
            ReplicaClause::Shards(n) => {
                match usize::try_from(*n).ok().filter(|n| (1..=MAX_SHARDS).contains(n)) {
                    Some(node) => self.shards = Some(Spanned { node, span }),
                    None => {
                        let message = format!("{n} shards; expected 1 to {MAX_SHARDS}");
                        resolver.report(DraftDiagnostic::at(span, message, "unsupported number of shards"));
                    }
                }
            }
            ReplicaClause::Copies(n) => {
                self.copies_span = Some(span);
                match *n {
                    3 | 5 => self.copies = *n as usize,
                    n => {
                        let message = format!("{n} copies; expected 3 or 5");
                        resolver.report(DraftDiagnostic::at(span, message, unsupported_copies(n)));
                    }
                }
            }
            ReplicaClause::Spread { over, at_most } => {
                self.spread = *over;
                self.spread_span = Some(span);
                self.max_per_domain = at_most.map_or(1, |n| usize::try_from(n).unwrap_or(usize::MAX));
                if self.max_per_domain == 0 {
                    let message = "at most 0 copies in each domain";
                    resolver.report(DraftDiagnostic::at(span, message, "expected at least 1"));
                    self.max_per_domain = 1;
                }
            }
            ReplicaClause::From(names) => {
                self.from = Some(Spanned { node: resolver.groups(names, EntryKind::Routers), span });
            }
            ReplicaClause::Prefer(names) => {
                self.prefer = names.iter().map(|n| resolver.group(n, EntryKind::Routers)).collect();
            }
            ReplicaClause::Room(n) => self.room = Some(Spanned { node: *n, span }),
            ReplicaClause::Pace(n) => match u16::try_from(*n).ok().filter(|n| *n > 0) {
                Some(pace) => self.shards_per_step = pace,
                None => {
                    let message = format!("a pace of {n}; expected 1 to 65535");
                    resolver.report(DraftDiagnostic::at(span, message, "unsupported pace"));
                }
            },
        }
    }

    /// Reports a spread by which the loss of one domain loses a majority.
    fn check_survives_domain_loss(&self, resolver: &mut Resolver<'_>) {
        let (Some(span), majority) = (self.spread_span, self.copies / 2 + 1) else { return };
        if self.max_per_domain >= majority {
            let domain = self.spread.singular();
            let message = format!(
                "losing one {domain} could lose {} of {} copies, and so a majority of the replicas of a shard",
                self.max_per_domain.min(self.copies),
                self.copies
            );
            let label = format!("permits {} in one {domain}", self.max_per_domain);
            let help = format!("at most {} each", self.copies - majority);
            resolver.report(DraftDiagnostic::at(span, message, label).with_help(help));
        }
    }
}

/// Why a shard can't have this number of copies.
fn unsupported_copies(copies: u64) -> &'static str {
    match copies {
        0..=2 => "with 1 or 2 copies, losing one machine loses committed registers or the majority",
        4 => "an even number survives no more losses than the odd one below it",
        _ => "more than 5 copies make every commit slower and survive no more losses than rules require",
    }
}

impl Spread {
    pub fn singular(self) -> &'static str {
        match self {
            Spread::Branches => "branch",
            Spread::Machines => "machine",
        }
    }

    pub fn plural(self) -> &'static str {
        match self {
            Spread::Branches => "branches",
            Spread::Machines => "machines",
        }
    }

    /// The domain of a router, as branch and machine. The machine is empty for [`Spread::Branches`].
    pub fn domain(self, router: &RouterEntry) -> (String, String) {
        let machine = match self {
            Spread::Branches => String::new(),
            Spread::Machines => router.domain.machine.to_string(),
        };
        (router.domain.branch.to_string(), machine)
    }
}
