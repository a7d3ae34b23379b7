//! Sums over engines that are updated one engine at a time without accumulating rounding errors.

use crate::interface::EngineId;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A sum from which terms can be subtracted exactly. It is in fixed point with 80 fractional bits, so that
/// terms from 2^-27 on are exact, and it differs from a sum of floats only where that one rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ExactSum {
    total: i128,
    /// Number of terms.
    pub(crate) count: usize,
}

/// 1 in fixed point.
const FIXED_POINT_ONE: f64 = (1u128 << 80) as f64;

impl ExactSum {
    /// Adds a term.
    pub(crate) fn add(&mut self, term: f64) {
        self.total += (term * FIXED_POINT_ONE) as i128;
        self.count += 1;
    }

    /// Subtracts a term that was added before.
    pub(crate) fn subtract(&mut self, term: f64) {
        self.total -= (term * FIXED_POINT_ONE) as i128;
        self.count -= 1;
    }

    /// The sum.
    pub(crate) fn value(&self) -> f64 {
        self.total as f64 / FIXED_POINT_ONE
    }
}

/// The sum of max(count x weight, minimum) over many engines, for a weight that differs from query to query.
///
/// For each engine, count x weight is the larger argument from the weight minimum / count on. Engines with
/// similar quotients share a bucket, which keeps the sums of its counts and minimums. A query uses these sums
/// for all buckets but the one that contains the weight, whose engines it evaluates one by one.
#[derive(Clone, Debug, Default)]
pub(crate) struct SumOfMaxima {
    buckets: BTreeMap<u16, QuotientBucket>,
    len: usize,
}

/// The engines whose quotients minimum / count fall into the same bucket.
#[derive(Clone, Debug, Default)]
struct QuotientBucket {
    counts: ExactSum,
    minimums: ExactSum,
    members: Vec<Member>,
}

/// One engine of a bucket.
#[derive(Clone, Copy, Debug)]
struct Member {
    id: EngineId,
    count: f64,
    minimum: f64,
}

/// The bucket of a quotient; there are sixteen for each doubling. The key is the exponent and the four
/// highest bits of the fraction, which sort in the same order as the numbers.
fn bucket_key(quotient: f64) -> u16 {
    (quotient.max(0.0).to_bits() >> 48) as u16
}

impl SumOfMaxima {
    /// Number of engines.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds an engine; `count` has to be greater than 0.
    pub(crate) fn add(&mut self, id: EngineId, count: f64, minimum: f64) {
        let bucket = self.buckets.entry(bucket_key(minimum / count)).or_default();
        bucket.counts.add(count);
        bucket.minimums.add(minimum);
        bucket.members.push(Member { id, count, minimum });
        self.len += 1;
    }

    /// Subtracts an engine that was added with the same `count` and `minimum`.
    pub(crate) fn subtract(&mut self, id: EngineId, count: f64, minimum: f64) {
        let key = bucket_key(minimum / count);
        let Some(bucket) = self.buckets.get_mut(&key) else { return };
        let Some(at) = bucket.members.iter().position(|member| member.id == id) else { return };
        bucket.members.swap_remove(at);
        bucket.counts.subtract(count);
        bucket.minimums.subtract(minimum);
        self.len -= 1;
        if bucket.members.is_empty() {
            self.buckets.remove(&key);
        }
    }

    /// The sum for this weight.
    pub(crate) fn sum(&self, weight: f64) -> f64 {
        let weight_key = bucket_key(weight);
        let term = |(key, bucket): (&u16, &QuotientBucket)| match key.cmp(&weight_key) {
            Ordering::Less => bucket.counts.value() * weight,
            Ordering::Greater => bucket.minimums.value(),
            Ordering::Equal => {
                bucket.members.iter().map(|member| (member.count * weight).max(member.minimum)).sum()
            }
        };
        self.buckets.iter().map(term).sum()
    }
}

#[cfg(test)]
mod tests;
