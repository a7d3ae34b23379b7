//! Arithmetic on positions in a list: the positions that remain when some are excluded, and random pairs.

/// The positions below `total` that remain when some are excluded.
pub(crate) struct RemainingPositions<'a> {
    total: usize,
    /// The excluded positions: two ascending lists that have none in common.
    excluded: [&'a [u32]; 2],
}

impl<'a> RemainingPositions<'a> {
    /// All positions below `total` except those of two ascending lists that have none in common.
    pub(crate) fn new(total: usize, excluded: [&'a [u32]; 2]) -> Self {
        RemainingPositions { total, excluded }
    }

    /// How many remain.
    pub(crate) fn len(&self) -> usize {
        self.total - self.excluded[0].len() - self.excluded[1].len()
    }

    /// The remaining position number `k`, from 0.
    pub(crate) fn nth(&self, k: usize) -> usize {
        let excluded_up_to = |end: usize| -> usize {
            self.excluded
                .iter()
                .map(|list| list.partition_point(|&position| (position as usize) <= end))
                .sum()
        };
        let (mut low, mut high) = (k, self.total);
        while low < high {
            let mid = usize::midpoint(low, high);
            if mid + 1 - excluded_up_to(mid) > k {
                high = mid;
            } else {
                low = mid + 1;
            }
        }
        low
    }
}

/// Splits the second of two ascending lists into the entries that are also in the first, given as indices
/// into the first, and the other entries, unchanged.
pub(crate) fn split_by_membership(first: &[u32], second: &[u32]) -> (Vec<u32>, Vec<u32>) {
    let (mut shared, mut others) = (Vec::new(), Vec::new());
    for &position in second {
        match first.binary_search(&position) {
            Ok(index) => shared.push(index as u32),
            Err(_) => others.push(position),
        }
    }
    (shared, others)
}

/// Two different random numbers below `n`, or as many as there are. If the second draw repeats the first, it
/// becomes the last number. `probability` returns random numbers from 0 to 1.
pub(crate) fn two_at_random(n: usize, mut probability: impl FnMut() -> f64) -> Vec<usize> {
    let mut pair = Vec::new();
    for left in [n, n.saturating_sub(1)].into_iter().filter(|&left| left > 0) {
        let number = (probability() * left as f64) as usize;
        pair.push(if pair.first() == Some(&number) { n - 1 } else { number });
    }
    pair
}

#[cfg(test)]
mod tests;
