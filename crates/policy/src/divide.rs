//! Max-min fair allocation.

/// Allocates `total` by max-min fairness; a surplus is distributed in proportion to the demands.
pub(crate) fn divide(total: u64, wishes: impl Iterator<Item = u64>) -> Vec<u64> {
    let wishes: Vec<u64> = wishes.collect();
    let sum: u64 = wishes.iter().sum();
    if sum == 0 {
        return vec![0; wishes.len()];
    }
    if sum <= total {
        return wishes.iter().map(|wish| scale(*wish, total, sum)).collect();
    }
    let mut order: Vec<usize> = (0..wishes.len()).collect();
    order.sort_by_key(|index| wishes[*index]);
    let mut divided = vec![0; wishes.len()];
    let mut left = total;
    for (place, index) in order.iter().enumerate() {
        let even = left / (wishes.len() - place) as u64;
        divided[*index] = wishes[*index].min(even);
        left -= divided[*index];
    }
    divided
}

fn scale(part: u64, total: u64, sum: u64) -> u64 {
    (u128::from(part) * u128::from(total) / u128::from(sum)) as u64
}
