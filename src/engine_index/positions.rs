//! Arithmetic on positions in a list: what remains without some of them, and two of them at random.

/// The positions below `total` that remain when some are left out.
pub(crate) struct RemainingPositions<'a> {
    total: usize,
    /// The positions left out: two ascending lists that have none in common.
    excluded: [&'a [u32]; 2],
}

impl<'a> RemainingPositions<'a> {
    /// All positions below `total` but those of two ascending lists that have none in common.
    pub(crate) fn new(total: usize, excluded: [&'a [u32]; 2]) -> Self {
        RemainingPositions { total, excluded }
    }

    /// How many remain.
    pub(crate) fn len(&self) -> usize {
        self.total - self.excluded[0].len() - self.excluded[1].len()
    }

    /// The remaining position number `k`, from 0.
    pub(crate) fn nth(&self, k: usize) -> usize {
        let up_to = |at: usize| -> usize {
            self.excluded.iter().map(|list| list.partition_point(|&w| (w as usize) <= at)).sum()
        };
        let (mut low, mut high) = (k, self.total);
        while low < high {
            let mid = usize::midpoint(low, high);
            if mid + 1 - up_to(mid) > k {
                high = mid;
            } else {
                low = mid + 1;
            }
        }
        low
    }
}

/// Splits the second of two ascending lists: its entries that are also in the first, as indices into the first, and the
/// others as they are.
pub(crate) fn split_by_membership(first: &[u32], second: &[u32]) -> (Vec<u32>, Vec<u32>) {
    let (mut both, mut other) = (Vec::new(), Vec::new());
    for &w in second {
        match first.binary_search(&w) {
            Ok(at) => both.push(at as u32),
            Err(_) => other.push(w),
        }
    }
    (both, other)
}

/// Two different numbers below `n` at random, fewer if there are fewer: the last number takes the place of the first
/// drawn. `chance` gives numbers from 0 to 1.
pub(crate) fn two_at_random(n: usize, mut chance: impl FnMut() -> f64) -> Vec<usize> {
    let mut pair = Vec::new();
    for left in [n, n.saturating_sub(1)].into_iter().filter(|&left| left > 0) {
        let at = (chance() * left as f64) as usize;
        pair.push(if pair.first() == Some(&at) { n - 1 } else { at });
    }
    pair
}

#[cfg(test)]
mod tests;
