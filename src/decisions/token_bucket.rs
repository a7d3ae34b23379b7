//! Token buckets for the quotas of tenants and for the prompt tokens that a warming engine may get.
//!
//! Makes no decisions: the caller passes the rate and the depth, as both change while a router runs.

use std::time::Duration;

/// The level of a token bucket at a point in time. Its unit is up to the user of the bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    pub(super) level: f64,
    pub(super) updated_at: Duration,
}

impl TokenBucket {
    /// The level at `now` if the bucket refills at `rate` tokens per second and holds at most `depth`.
    pub(super) fn level_at(&self, now: Duration, rate: f64, depth: f64) -> f64 {
        (self.level + rate * now.saturating_sub(self.updated_at).as_secs_f64()).min(depth)
    }
}
