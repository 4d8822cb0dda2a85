//! Policies of partial answers, by class.

use crate::ast::{Item, Missing, Share, Sp, Wait};
use crate::check::Check;
use crate::fault::{found, At};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The longest that a gather may wait for parts, in milliseconds: beyond it every caller has left.
pub const MOST_WAIT_MS: u32 = 60_000;
/// The most parts that a policy may name.
pub const MOST_NEEDED: usize = 1024;

/// What may be answered in part, for a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatherRule {
    /// The class.
    pub class: Arc<str>,
    /// Parts without which there is no answer, ascending.
    pub needed: Vec<u32>,
    /// Least share of the parts, in percent.
    pub least_parts: u8,
    /// Least share of their worth, in percent.
    pub least_worth: u8,
    /// The longest that a gather waits for parts once an answer could be given, in milliseconds.
    pub wait_ms: u32,
    /// What a missing part does.
    pub missing: Missing,
    /// Parts may be asked for at a second site while the first is out.
    pub second_copies: bool,
}

impl GatherRule {
    /// True if its numbers may be.
    pub(crate) fn sound(&self) -> bool {
        let shares = self.least_parts <= 100 && self.least_worth <= 100;
        shares && self.wait_ms <= MOST_WAIT_MS && self.needed.windows(2).all(|w| w[0] < w[1])
    }
}

impl fmt::Display for GatherRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let needed: Vec<String> = self.needed.iter().map(u32::to_string).collect();
        let needed = if needed.is_empty() { "none alone".into() } else { needed.join(", ") };
        let missing = match self.missing {
            Missing::Owed => "owed",
            Missing::Dropped => "dropped",
            Missing::Refused => "refused",
        };
        let second = if self.second_copies { "yes" } else { "no" };
        writeln!(f, "gathers of class {}: parts needed: {needed}", self.class)?;
        writeln!(f, "  at least {}% of parts and {}% of worth", self.least_parts, self.least_worth)?;
        writeln!(f, "  wait {} ms, missing {missing}, second copies {second}", self.wait_ms)
    }
}

/// Compiles all rules of gathers; of a class there is one at most.
pub(crate) fn gathers(items: &[Item], check: &mut Check<'_>) -> Vec<GatherRule> {
    let mut rules: BTreeMap<String, (At, GatherRule)> = BTreeMap::new();
    for item in items {
        let Item::Gather(at, classes, clauses) = item else { continue };
        let rule = gather(*at, clauses, check);
        for class in classes {
            check.class(class);
            let rule = GatherRule { class: Arc::from(class.it.as_str()), ..rule.clone() };
            if let Some((first, _)) = rules.insert(class.it.clone(), (class.at, rule)) {
                let what = format!("gathers of class \"{}\" have two rules", class.it);
                check.fault(found(class.at, what, "the second").also(first, "the first"));
            }
        }
    }
    rules.into_values().map(|(_, rule)| rule).collect()
}

fn gather(at: At, clauses: &[Sp<Wait>], check: &mut Check<'_>) -> GatherRule {
    let mut rule = GatherRule {
        class: Arc::from(""),
        needed: Vec::new(),
        least_parts: 100,
        least_worth: 100,
        wait_ms: 0,
        missing: Missing::Refused,
        second_copies: false,
    };
    let (mut shares, mut refused, mut waits) = (None, None, false);
    for (i, clause) in clauses.iter().enumerate() {
        let same = |c: &Sp<Wait>| std::mem::discriminant(&c.it) == std::mem::discriminant(&clause.it);
        if let Some(first) = clauses[..i].iter().find(|c| same(c)) {
            check.fault(found(clause.at, "this is said twice", "again").also(first.at, "first here"));
        }
        match &clause.it {
            Wait::Needs(parts) => {
                for part in parts {
                    match u32::try_from(part.it) {
                        Ok(part) => rule.needed.push(part),
                        Err(_) => {
                            check.fault(found(part.at, "no answer has so many parts", "parts count from 0"))
                        }
                    }
                }
                rule.needed.sort_unstable();
                rule.needed.dedup();
                if rule.needed.len() > MOST_NEEDED {
                    check.fault(found(
                        clause.at,
                        format!("more than {MOST_NEEDED} parts are needed"),
                        "too many",
                    ));
                }
            }
            Wait::Least(all) => {
                shares = Some(clause.at);
                // A share that is not named asks for nothing.
                (rule.least_parts, rule.least_worth) = (0, 0);
                for (percent, of) in all {
                    let Some(share) = u8::try_from(percent.it).ok().filter(|p| *p <= 100) else {
                        check.fault(found(percent.at, "a share of more than 100%", "expected 0 to 100"));
                        continue;
                    };
                    match of.it {
                        Share::Parts => rule.least_parts = share,
                        Share::Worth => rule.least_worth = share,
                    }
                }
            }
            Wait::Longest(ms) => {
                waits = true;
                match u32::try_from(*ms).ok().filter(|ms| *ms <= MOST_WAIT_MS) {
                    Some(ms) => rule.wait_ms = ms,
                    None => {
                        let what = format!("a wait of {ms} ms; expected at most {MOST_WAIT_MS}");
                        check.fault(found(clause.at, what, "too long"));
                    }
                }
            }
            Wait::Missing(missing) => {
                rule.missing = *missing;
                refused = (*missing == Missing::Refused).then_some(clause.at);
            }
            Wait::Second(yes) => rule.second_copies = *yes,
        }
    }
    if let (Some(shares), Some(refused)) = (shares, refused) {
        if rule.least_parts < 100 {
            let fault =
                found(shares, "an answer in part can never be given by this rule", "a share is enough");
            check.fault(
                fault
                    .also(refused, "but a missing part refuses")
                    .help("say `missing owed` or `missing dropped`"),
            );
        }
    }
    if !waits {
        check.fault(found(at, "this gather does not say how long it may wait", "expected `wait N ms`"));
    }
    rule
}
