//! Max-min fair allocation.

/// Allocates `total` by max-min fairness; a surplus is distributed in proportion to the demands.
pub(crate) fn max_min_shares(total: u64, demands: impl Iterator<Item = u64>) -> Vec<u64> {
    let demands: Vec<u64> = demands.collect();
    let sum: u64 = demands.iter().sum();
    if sum == 0 {
        return vec![0; demands.len()];
    }
    if sum <= total {
        return demands
            .iter()
            .map(|demand| scale(*demand, total, sum))
            .collect();
    }
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index]);
    let mut allocated = vec![0; demands.len()];
    let mut remaining = total;
    for (position, index) in order.iter().enumerate() {
        let equal_share = remaining / (demands.len() - position) as u64;
        allocated[*index] = demands[*index].min(equal_share);
        remaining -= allocated[*index];
    }
    allocated
}

fn scale(part: u64, total: u64, sum: u64) -> u64 {
    (u128::from(part) * u128::from(total) / u128::from(sum)) as u64
}
