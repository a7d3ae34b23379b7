//! A set of marked positions that finds the k-th mark in logarithmic time.

/// A set of marked positions; a binary indexed tree finds the k-th mark in logarithmic time.
#[derive(Clone, Debug, Default)]
pub(crate) struct MarkedPositions {
    set: Vec<bool>,
    tree: Vec<u32>,
    count: usize,
}

impl MarkedPositions {
    /// `n` positions without marks.
    pub(crate) fn new(n: usize) -> Self {
        MarkedPositions { set: vec![false; n], tree: vec![0; n + 1], count: 0 }
    }

    /// Sets or clears the mark of a position.
    pub(crate) fn put(&mut self, position: usize, mark: bool) {
        if std::mem::replace(&mut self.set[position], mark) == mark {
            return;
        }
        self.count = if mark { self.count + 1 } else { self.count - 1 };
        let mut node = position + 1;
        while node < self.tree.len() {
            self.tree[node] = if mark { self.tree[node] + 1 } else { self.tree[node] - 1 };
            node += node & node.wrapping_neg();
        }
    }

    /// How many marks are set.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// The position of mark number `k`, from 0, which has to exist.
    pub(crate) fn nth(&self, k: usize) -> usize {
        let (mut position, mut left) = (0, k as u32);
        let mut step = self.tree.len().next_power_of_two();
        while step > 0 {
            if position + step < self.tree.len() && self.tree[position + step] <= left {
                position += step;
                left -= self.tree[position];
            }
            step /= 2;
        }
        position
    }
}

#[cfg(test)]
mod tests;
