//! Token buckets: of the quotas of tenants, and of the prompt tokens that a warming engine is sent.
//!
//! Decides nothing: the rate and the depth are handed in, as both change while a router runs.

use std::time::Duration;

/// A token bucket as of a point in time; what a token stands for is the owner's.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    pub(super) level: f64,
    pub(super) updated_at: Duration,
}

impl TokenBucket {
    /// The level at `now` if it refills by `rate` tokens a second and holds no more than `depth`.
    pub(super) fn level_at(&self, now: Duration, rate: f64, depth: f64) -> f64 {
        (self.level + rate * now.saturating_sub(self.updated_at).as_secs_f64()).min(depth)
    }
}
