//! The smallest set of rules that can't hold together.

/// Up to so many rules, pairs and triples are tried before rules are left out one by one.
const MOST_TRIPLES: usize = 24;
/// The same for pairs.
const MOST_PAIRS: usize = 64;

/// Of `n` rules that can't all hold, as few as can't: a single one, a pair or three where there are such, else a set of which none may be
/// left out (found by deletion). Empty if they can all hold, or if nothing holds even without them.
pub(crate) fn smallest(n: usize, holds: impl Fn(&[usize]) -> bool) -> Vec<usize> {
    let all: Vec<usize> = (0..n).collect();
    if holds(&all) || !holds(&[]) {
        return Vec::new();
    }
    if let Some(one) = (0..n).find(|a| !holds(&[*a])) {
        return vec![one];
    }
    let pairs = || (0..n).flat_map(|a| (a + 1..n).map(move |b| [a, b]));
    if n <= MOST_PAIRS {
        if let Some(pair) = pairs().find(|p| !holds(p)) {
            return pair.to_vec();
        }
    }
    if n <= MOST_TRIPLES {
        let triples = pairs().flat_map(|[a, b]| (b + 1..n).map(move |c| [a, b, c]));
        if let Some(triple) = triples.into_iter().find(|t| !holds(t)) {
            return triple.to_vec();
        }
    }
    let mut left = all;
    for rule in 0..n {
        let without: Vec<usize> = left.iter().copied().filter(|r| *r != rule).collect();
        if !holds(&without) {
            left = without;
        }
    }
    left
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fewest_rules_that_clash_are_found() {
        // Rule 2 clashes with 5 alone; 0, 1, 3 and 4 clash only all together.
        let clash = |used: &[usize]| {
            let has = |rules: &[usize]| rules.iter().all(|r| used.contains(r));
            !has(&[2, 5]) && !has(&[0, 1, 3, 4])
        };
        assert_eq!(smallest(6, clash), [2, 5]);
        assert_eq!(smallest(5, clash), [0, 1, 3, 4]);
        assert_eq!(smallest(4, clash), [0; 0]);
    }
}
