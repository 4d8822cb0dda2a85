//! Quotas: how many shards each router should store, by its capacity and the limits of its failure domain.

/// Shares are counted in 1/65536 of a shard. Whole numbers alone, so that every machine computes the same quotas.
const FRACTION_BITS: u32 = 16;

/// Number of shards of a router: at least `min` and at most `max`, unless failure domains or `never together` prevent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Quota {
    pub min: u32,
    pub max: u32,
}

/// Divides `total` by weight, with a cap on each share. What exceeds a cap goes to the others; what exceeds all caps is left over.
fn divide(total: u128, weights: &[u128], caps: &[u128]) -> Vec<u128> {
    let mut shares: Vec<Option<u128>> = vec![None; weights.len()];
    loop {
        let fixed: u128 = shares.iter().flatten().sum();
        let open = || (0..weights.len()).filter(|i| shares[*i].is_none());
        let open_weight: u128 = open().map(|i| weights[i]).sum();
        if open_weight == 0 {
            break;
        }
        let remaining = total.saturating_sub(fixed);
        let share = |i: usize| remaining * weights[i] / open_weight;
        let capped: Vec<usize> = open().filter(|i| share(*i) > caps[*i]).collect();
        if capped.is_empty() {
            let uncapped: Vec<(usize, u128)> = open().map(|i| (i, share(i))).collect();
            uncapped.into_iter().for_each(|(i, s)| shares[i] = Some(s));
            break;
        }
        capped.into_iter().for_each(|i| shares[i] = Some(caps[i]));
    }
    shares.into_iter().map(Option::unwrap_or_default).collect()
}

/// Quotas of routers for `shards` with `copies` each, of which a domain stores at most `max_per_domain`. A router is given by its weight, above 0, and
/// its domain, below `domains`.
pub(crate) fn quotas(
    routers: &[(u64, usize)],
    domains: usize,
    shards: usize,
    copies: usize,
    max_per_domain: usize,
) -> Vec<Quota> {
    let to_fraction = |slots: usize| (slots as u128) << FRACTION_BITS;
    let mut weights = vec![0u128; domains];
    let mut members: Vec<Vec<usize>> = vec![Vec::new(); domains];
    for (i, (weight, domain)) in routers.iter().enumerate() {
        weights[*domain] += u128::from(*weight);
        members[*domain].push(i);
    }
    let caps: Vec<u128> = members.iter().map(|m| to_fraction(shards * m.len().min(max_per_domain))).collect();
    let by_domain = divide(to_fraction(shards * copies), &weights, &caps);
    let mut quotas = vec![Quota { min: 0, max: 0 }; routers.len()];
    for (domain, members) in members.iter().enumerate() {
        let weights: Vec<u128> = members.iter().map(|i| u128::from(routers[*i].0)).collect();
        let shares = divide(by_domain[domain], &weights, &vec![to_fraction(shards); members.len()]);
        for (i, share) in members.iter().zip(shares) {
            let min = (share >> FRACTION_BITS) as u32;
            let max = ((share + (1 << FRACTION_BITS) - 1) >> FRACTION_BITS) as u32;
            quotas[*i] = Quota { min, max };
        }
    }
    quotas
}

#[cfg(test)]
mod tests;
