//! Slow start: how much work an engine gets while it warms up.
//!
//! Decides by the time since its start, or since it became reachable again. Reads the endpoint list and the
//! send rates of this router. See docs/design.md, "A cold engine and the sum of all routers".

use super::engines::{EngineRecord, MIN_SAMPLE_WEIGHT};
use super::router::Router;
use crate::interface::Role;
use std::time::Duration;

/// Time constant over which send rates are averaged.
pub(super) const SEND_RATE_WINDOW: Duration = Duration::from_millis(5_000);
/// Interval at which all routers together may send a warming engine one prompt while no sustained load is
/// known.
const INITIAL_WARMUP_INTERVAL: Duration = Duration::from_millis(1_000);

impl Router {
    /// Whether an engine is warming up: it has recently started by the endpoint list, or has become reachable
    /// again after an ejection. The latter counts because the engine may have restarted long before the list
    /// shows it, and must not be overloaded meanwhile. Drawback: after a mere network fault an engine gets
    /// its full share late.
    pub(super) fn is_warming_up(&self, now: Duration, record: &EngineRecord) -> bool {
        record.warming_up_since(now).is_some_and(|at| now < at.saturating_add(self.settings.warmup_time))
    }

    /// The share of its full capacity that an engine has at present; 1 if it is not warming up.
    pub(super) fn warmup_share(&self, now: Duration, record: &EngineRecord) -> f64 {
        let Some(since) = record.warming_up_since(now).filter(|_| self.is_warming_up(now, record)) else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64() / self.settings.warmup_time.as_secs_f64().max(1e-3);
        self.settings.warmup_initial_share + (1.0 - self.settings.warmup_initial_share) * age.min(1.0)
    }

    /// Prompt tokens per second that this router may send to a warming engine: a share of the sustained load
    /// of the other engines.
    pub(super) fn warmup_send_rate(&self, now: Duration, record: &EngineRecord) -> f64 {
        let min_rate =
            *self.mean_prompt / INITIAL_WARMUP_INTERVAL.as_secs_f64() / f64::from(self.settings.router_count);
        self.warmup_share(now, record) * self.means[record.role as usize].sustained_load.max(min_rate)
    }

    /// Updates the send rate and the sustained load with a prompt that was sent to an engine which is not
    /// warming up.
    pub(super) fn record_sustained_load(&mut self, now: Duration, role: Role, prompt: f64) {
        let is_warming_up = |record: &&EngineRecord| {
            record.role == role && record.is_ready() && self.is_warming_up(now, record)
        };
        let warming_up = self
            .engine_index
            .maybe_restricted
            .iter()
            .filter_map(|id| self.engines.get(id))
            .filter(is_warming_up)
            .count();
        let others = self.engine_index.ready_count(role as usize).saturating_sub(warming_up).max(1) as f64;
        let means = &mut self.means[role as usize];
        let age =
            now.saturating_sub(means.send_rate_updated_at).as_secs_f64() / SEND_RATE_WINDOW.as_secs_f64();
        means.send_rate = means.send_rate * (-age).exp() + prompt / SEND_RATE_WINDOW.as_secs_f64();
        means.send_rate_updated_at = now;
        means.sustained_load += MIN_SAMPLE_WEIGHT * (means.send_rate / others - means.sustained_load);
    }
}
