//! Slow start: how much work an engine gets while it warms up.
//!
//! Decides by the time since its start, or since it was reached again. May read the endpoint list and the rates that
//! this router sends at. See docs/design.md, "A cold engine and the sum of all routers".

use super::engines::{EngineRecord, MIN_SAMPLE_WEIGHT};
use super::router::Router;
use crate::interface::Role;
use std::time::Duration;

/// Time constant over which send rates are averaged.
pub(super) const SEND_RATE_WINDOW: Duration = Duration::from_millis(5_000);
/// Time in which all routers together may send a cold engine one prompt where nothing is known of warm ones.
const INITIAL_WARMUP_INTERVAL: Duration = Duration::from_millis(1_000);

impl Router {
    /// Told to have started, or back from where it could not be reached: it may have restarted long before
    /// the list says so, and what is sent meanwhile counts. Harm: after a mere cut its share comes late.
    pub(super) fn is_warming_up(&self, now: Duration, record: &EngineRecord) -> bool {
        record.warming_up_since(now).is_some_and(|at| now < at.saturating_add(self.settings.warmup_time))
    }

    /// The part of its work that an engine can do by now.
    pub(super) fn warmup_share(&self, now: Duration, record: &EngineRecord) -> f64 {
        let Some(since) = record.warming_up_since(now).filter(|_| self.is_warming_up(now, record)) else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64() / self.settings.warmup_time.as_secs_f64().max(1e-3);
        self.settings.warmup_initial_share + (1.0 - self.settings.warmup_initial_share) * age.min(1.0)
    }

    /// What this router may send a cold engine, tokens a second: its share of what a warm one bears.
    pub(super) fn warmup_send_rate(&self, now: Duration, record: &EngineRecord) -> f64 {
        let least =
            *self.mean_prompt / INITIAL_WARMUP_INTERVAL.as_secs_f64() / f64::from(self.settings.router_count);
        self.warmup_share(now, record) * self.means[record.role as usize].sustained_load.max(least)
    }

    pub(super) fn record_sustained_load(&mut self, now: Duration, role: Role, prompt: f64) {
        let cold = |record: &&EngineRecord| {
            record.role == role && record.is_ready() && self.is_warming_up(now, record)
        };
        let cold = self
            .engine_index
            .maybe_restricted
            .iter()
            .filter_map(|id| self.engines.get(id))
            .filter(cold)
            .count();
        let warm = self.engine_index.ready_count(role as usize).saturating_sub(cold).max(1) as f64;
        let means = &mut self.means[role as usize];
        let age =
            now.saturating_sub(means.send_rate_updated_at).as_secs_f64() / SEND_RATE_WINDOW.as_secs_f64();
        means.send_rate = means.send_rate * (-age).exp() + prompt / SEND_RATE_WINDOW.as_secs_f64();
        means.send_rate_updated_at = now;
        means.sustained_load += MIN_SAMPLE_WEIGHT * (means.send_rate / warm - means.sustained_load);
    }
}
