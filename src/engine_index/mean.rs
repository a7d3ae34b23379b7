//! A running mean whose first samples have a larger weight.

use std::ops::Deref;

/// A running mean of samples. The initial value counts as one sample, so that a few samples replace it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value: f64,
    samples: f64,
}

impl RunningMean {
    /// A mean with this initial value.
    pub(crate) fn from(value: f64) -> Self {
        RunningMean { value, samples: 1.0 }
    }

    /// Adds a sample with the same weight as each of the samples before it, but at least `min_weight`.
    pub(crate) fn add(&mut self, sample: f64, min_weight: f64) {
        self.samples += 1.0;
        self.value += min_weight.max(1.0 / self.samples) * (sample - self.value);
    }
}

impl Deref for RunningMean {
    type Target = f64;

    fn deref(&self) -> &f64 {
        &self.value
    }
}
