//! Compiles the rules `gather`: scatter-gather policies by class.

use crate::ast::{GatherClause, MissingParts, Rule, ShareOf, Spanned};
use crate::diagnostic::{DraftDiagnostic, SourceSpan};
use crate::resolver::Resolver;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Longest wait for parts in milliseconds: beyond it every client has left.
pub const MAX_WAIT_MS: u32 = 60_000;
/// Largest number of parts that a rule may name as needed.
pub const MAX_REQUIRED_PARTS: usize = 1024;

/// The scatter-gather policy of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatherRule {
    /// The class.
    pub class: Arc<str>,
    /// Numbers of the parts without which there is no response, ascending.
    pub required_parts: Vec<u32>,
    /// Least share of the number of parts, in percent.
    pub min_part_percent: u8,
    /// Least share of the parts' total weight (`worth` in rules), in percent.
    pub min_weight_percent: u8,
    /// Longest wait for further parts in milliseconds, from when a partial response is possible.
    pub max_wait_ms: u32,
    /// How a partial response handles missing parts.
    pub missing_parts: MissingParts,
    /// Whether a part may be requested from a second site while the first request is pending (`second copies` in rules).
    pub hedging: bool,
}

impl GatherRule {
    fn without_partial_responses() -> Self {
        Self {
            class: Arc::from(""),
            required_parts: Vec::new(),
            min_part_percent: 100,
            min_weight_percent: 100,
            max_wait_ms: 0,
            missing_parts: MissingParts::NotAllowed,
            hedging: false,
        }
    }

    /// Whether all values are within their limits.
    pub(crate) fn is_valid(&self) -> bool {
        let percentages = self.min_part_percent <= 100 && self.min_weight_percent <= 100;
        percentages && self.max_wait_ms <= MAX_WAIT_MS && self.required_parts.windows(2).all(|w| w[0] < w[1])
    }
}

impl fmt::Display for GatherRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let needed: Vec<String> = self.required_parts.iter().map(u32::to_string).collect();
        let needed = if needed.is_empty() { "none".into() } else { needed.join(", ") };
        let missing = match self.missing_parts {
            MissingParts::Continuation => "owed",
            MissingParts::Omitted => "dropped",
            MissingParts::NotAllowed => "refused",
        };
        let second = if self.hedging { "yes" } else { "no" };
        let (parts, weight) = (self.min_part_percent, self.min_weight_percent);
        writeln!(f, "gathers of class {}: parts needed: {needed}", self.class)?;
        writeln!(f, "  at least {parts}% of parts and {weight}% of worth")?;
        writeln!(f, "  wait {} ms, missing {missing}, second copies {second}", self.max_wait_ms)
    }
}

/// Compiles all rules `gather`, of which there is at most one for a class.
pub(crate) fn gather_rules(rules: &[Rule], resolver: &mut Resolver<'_>) -> Vec<GatherRule> {
    let mut compiled: BTreeMap<String, (SourceSpan, GatherRule)> = BTreeMap::new();
    for rule in rules {
        let Rule::Gather { span, classes, clauses } = rule else { continue };
        let gather = gather_rule(*span, clauses, resolver);
        for class in classes {
            resolver.check_class(class);
            let gather = GatherRule { class: Arc::from(class.node.as_str()), ..gather.clone() };
            if let Some((first, _)) = compiled.insert(class.node.clone(), (class.span, gather)) {
                let message = format!("gathers of class \"{}\" have two rules", class.node);
                let draft = DraftDiagnostic::at(class.span, message, "the second");
                resolver.report(draft.with_label(first, "the first"));
            }
        }
    }
    compiled.into_values().map(|(_, rule)| rule).collect()
}

fn gather_rule(
    span: SourceSpan,
    clauses: &[Spanned<GatherClause>],
    resolver: &mut Resolver<'_>,
) -> GatherRule {
    let mut rule = GatherRule::without_partial_responses();
    let (mut shares_span, mut refused_span, mut has_wait) = (None, None, false);
    for (i, clause) in clauses.iter().enumerate() {
        resolver.report_repeated_clause(clauses, i);
        match &clause.node {
            GatherClause::Needs(parts) => rule.set_needed_parts(clause.span, parts, resolver),
            GatherClause::AtLeast(shares) => {
                shares_span = Some(clause.span);
                rule.set_shares(shares, resolver);
            }
            GatherClause::WaitMs(ms) => {
                has_wait = true;
                match u32::try_from(*ms).ok().filter(|ms| *ms <= MAX_WAIT_MS) {
                    Some(ms) => rule.max_wait_ms = ms,
                    None => {
                        let message = format!("a wait of {ms} ms; expected at most {MAX_WAIT_MS} ms");
                        resolver.report(DraftDiagnostic::at(clause.span, message, "too long"));
                    }
                }
            }
            GatherClause::MissingParts(missing) => {
                rule.missing_parts = *missing;
                refused_span = (*missing == MissingParts::NotAllowed).then_some(clause.span);
            }
            GatherClause::Hedging(yes) => rule.hedging = *yes,
        }
    }
    if let (Some(shares), Some(refused)) = (shares_span, refused_span) {
        if rule.min_part_percent < 100 {
            let message = "this rule never permits a partial response";
            let draft = DraftDiagnostic::at(shares, message, "a share of the parts is enough");
            let draft = draft.with_label(refused, "but a missing part refuses the response");
            resolver.report(draft.with_help("write `missing owed` or `missing dropped`"));
        }
    }
    if !has_wait {
        let message = "this gather has no longest wait";
        resolver.report(DraftDiagnostic::at(span, message, "expected `wait N ms`"));
    }
    rule
}

impl GatherRule {
    fn set_needed_parts(&mut self, span: SourceSpan, parts: &[Spanned<u64>], resolver: &mut Resolver<'_>) {
        for part in parts {
            match u32::try_from(part.node) {
                Ok(number) => self.required_parts.push(number),
                Err(_) => {
                    let message = format!("part {}; expected 0 to {}", part.node, u32::MAX);
                    resolver.report(DraftDiagnostic::at(part.span, message, "parts are numbered from 0"));
                }
            }
        }
        self.required_parts.sort_unstable();
        self.required_parts.dedup();
        if self.required_parts.len() > MAX_REQUIRED_PARTS {
            let message = format!("more than {MAX_REQUIRED_PARTS} needed parts");
            resolver.report(DraftDiagnostic::at(span, message, "too many"));
        }
    }

    fn set_shares(&mut self, shares: &[(Spanned<u64>, Spanned<ShareOf>)], resolver: &mut Resolver<'_>) {
        // A share that the clause does not name is not required.
        (self.min_part_percent, self.min_weight_percent) = (0, 0);
        for (percent, of) in shares {
            let Some(share) = u8::try_from(percent.node).ok().filter(|p| *p <= 100) else {
                let message = "a share of more than 100%";
                resolver.report(DraftDiagnostic::at(percent.span, message, "expected 0 to 100"));
                continue;
            };
            match of.node {
                ShareOf::Parts => self.min_part_percent = share,
                ShareOf::Weight => self.min_weight_percent = share,
            }
        }
    }
}
