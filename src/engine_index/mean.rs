//! A running mean whose first samples weigh more.

use std::ops::Deref;

/// A running mean of samples. Its initial value counts as one of them, so that a few samples already matter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value: f64,
    samples: f64,
}

impl RunningMean {
    /// A mean that starts from a value.
    pub(crate) fn from(value: f64) -> Self {
        RunningMean { value, samples: 1.0 }
    }

    /// Takes one more sample, which weighs as much as each before it, but never less than `min_weight`.
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
