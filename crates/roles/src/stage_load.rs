//! The load of each stage, in engines that it keeps busy.

use std::time::Duration;

/// Load that arrives, in engines kept busy by it: 2.5 means that two and a half engines do nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Prefill.
    pub prefill: f64,
    /// Decode.
    pub decode: f64,
}

impl StageLoad {
    /// The load between this one and `target`: this one at a weight of 0, `target` at 1.
    pub(crate) fn towards(self, target: StageLoad, weight: f64) -> StageLoad {
        StageLoad {
            prefill: self.prefill + weight * (target.prefill - self.prefill),
            decode: self.decode + weight * (target.decode - self.decode),
        }
    }

    /// The logarithm of the ratio of prefill to decode.
    pub(crate) fn log_ratio(self) -> f64 {
        (self.prefill.max(1e-6) / self.decode.max(1e-6)).ln()
    }
}

/// A load that is expected for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedLoad {
    /// The load.
    pub load: StageLoad,
    /// How long it is expected to last.
    pub duration: Duration,
}

/// The weight of a sample that stands for `seconds`, in a moving mean in which a second's sample weighs `weight_per_s`.
pub(crate) fn sample_weight(weight_per_s: f64, seconds: f64) -> f64 {
    1.0 - (1.0 - weight_per_s).powf(seconds)
}
