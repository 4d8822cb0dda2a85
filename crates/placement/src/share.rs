//! How many shards each router should keep: by capacity, but no domain more than it may.

/// Parts of a slot in which shares are counted: whole numbers alone, so that every machine reckons alike.
const PARTS_BITS: u32 = 16;

/// A router's fair number of shards: it keeps at least `least` and at most `most`, where what must stand apart leaves that free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Quota {
    pub least: u32,
    pub most: u32,
}

/// Shares out `total` parts by weight, none over its cap. What a capped one can't take goes to the others.
/// What nobody can take is left over.
fn fill(total: u128, weights: &[u128], caps: &[u128]) -> Vec<u128> {
    let mut shares: Vec<Option<u128>> = vec![None; weights.len()];
    loop {
        let fixed: u128 = shares.iter().flatten().sum();
        let open = || (0..weights.len()).filter(|i| shares[*i].is_none());
        let weight: u128 = open().map(|i| weights[i]).sum();
        if weight == 0 {
            break;
        }
        let left = total.saturating_sub(fixed);
        let share = |i: usize| left * weights[i] / weight;
        let over: Vec<usize> = open().filter(|i| share(*i) > caps[*i]).collect();
        if over.is_empty() {
            let rest: Vec<(usize, u128)> = open().map(|i| (i, share(i))).collect();
            rest.into_iter().for_each(|(i, s)| shares[i] = Some(s));
            break;
        }
        over.into_iter().for_each(|i| shares[i] = Some(caps[i]));
    }
    shares.into_iter().map(Option::unwrap_or_default).collect()
}

/// Quotas of routers, each of a weight above 0 in a domain (from 0 to `domains`), for `shards` of `copies` each,
/// of which a domain keeps at most `each`.
pub(crate) fn quotas(
    routers: &[(u64, usize)],
    domains: usize,
    shards: usize,
    copies: usize,
    each: usize,
) -> Vec<Quota> {
    let part = |slots: usize| (slots as u128) << PARTS_BITS;
    let mut weights = vec![0u128; domains];
    let mut members: Vec<Vec<usize>> = vec![Vec::new(); domains];
    for (i, (weight, domain)) in routers.iter().enumerate() {
        weights[*domain] += u128::from(*weight);
        members[*domain].push(i);
    }
    let caps: Vec<u128> = members.iter().map(|m| part(shards * m.len().min(each))).collect();
    let by_domain = fill(part(shards * copies), &weights, &caps);
    let mut quotas = vec![Quota { least: 0, most: 0 }; routers.len()];
    for (domain, members) in members.iter().enumerate() {
        let weights: Vec<u128> = members.iter().map(|i| u128::from(routers[*i].0)).collect();
        let shares = fill(by_domain[domain], &weights, &vec![part(shards); members.len()]);
        for (i, share) in members.iter().zip(shares) {
            let least = (share >> PARTS_BITS) as u32;
            let most = ((share + (1 << PARTS_BITS) - 1) >> PARTS_BITS) as u32;
            quotas[*i] = Quota { least, most };
        }
    }
    quotas
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_go_by_weight_and_stop_at_the_cap() {
        assert_eq!(fill(90, &[1, 1, 1], &[100, 100, 100]), [30, 30, 30]);
        assert_eq!(fill(90, &[7, 1, 1], &[40, 100, 100]), [40, 25, 25]);
        assert_eq!(fill(90, &[1, 1], &[40, 40]), [40, 40]);
    }

    #[test]
    fn a_domain_takes_each_shard_only_as_often_as_it_may() {
        let routers = [(10, 0), (10, 0), (1, 1), (1, 2)];
        let quotas = quotas(&routers, 3, 12, 3, 1);
        let most: Vec<u32> = quotas.iter().map(|q| q.most).collect();
        assert_eq!(most, [6, 6, 12, 12]);
    }
}
