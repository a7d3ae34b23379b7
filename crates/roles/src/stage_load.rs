//! The load of each stage, in fully busy engines.

use std::time::Duration;

/// The load of each stage, in fully busy engines: 2.5 takes all the time of two and a half engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Prefill.
    pub prefill: f64,
    /// Decode.
    pub decode: f64,
}

impl StageLoad {
    /// Interpolates linearly between this load, at a weight of 0, and `target`, at 1.
    pub(crate) fn interpolate(self, target: StageLoad, weight: f64) -> StageLoad {
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

/// The weight of a sample that covers `seconds` in an exponential moving mean, where a sample that covers one
/// second weighs `weight_per_s`.
pub(crate) fn sample_weight(weight_per_s: f64, seconds: f64) -> f64 {
    1.0 - (1.0 - weight_per_s).powf(seconds)
}
