//! Minimal sets of rules that contradict each other, for diagnostics.

/// Up to this number of rules, all triples are tried.
const MAX_RULES_FOR_TRIPLES: usize = 24;
/// Up to this number of rules, all pairs are tried.
const MAX_RULES_FOR_PAIRS: usize = 64;

/// Of `n` rules that can't all be satisfied, a small set that can't be either: a single rule, a pair or a triple if there is one, else a set
/// from which no rule can be left out (found by deletion, one rule at a time). Empty if all rules can be satisfied, or not even none of them.
pub(crate) fn minimal_conflict(n: usize, is_satisfiable: impl Fn(&[usize]) -> bool) -> Vec<usize> {
    let all: Vec<usize> = (0..n).collect();
    if is_satisfiable(&all) || !is_satisfiable(&[]) {
        return Vec::new();
    }
    if let Some(single) = (0..n).find(|a| !is_satisfiable(&[*a])) {
        return vec![single];
    }
    let pairs = || (0..n).flat_map(|a| (a + 1..n).map(move |b| [a, b]));
    if n <= MAX_RULES_FOR_PAIRS {
        if let Some(pair) = pairs().find(|p| !is_satisfiable(p)) {
            return pair.to_vec();
        }
    }
    if n <= MAX_RULES_FOR_TRIPLES {
        let triples = pairs().flat_map(|[a, b]| (b + 1..n).map(move |c| [a, b, c]));
        if let Some(triple) = triples.into_iter().find(|t| !is_satisfiable(t)) {
            return triple.to_vec();
        }
    }
    let mut remaining = all;
    for rule in 0..n {
        let without: Vec<usize> = remaining.iter().copied().filter(|r| *r != rule).collect();
        if !is_satisfiable(&without) {
            remaining = without;
        }
    }
    remaining
}

#[cfg(test)]
mod tests;
