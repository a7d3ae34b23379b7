//! Outlier ejection: engines that cannot be connected to get no requests for a while, with exponential
//! backoff.
//!
//! Decides by failed connections only; slow engines get fewer requests by their load instead. Reads the state
//! of one engine. See docs/design.md, the exceptions "panic" and "back means cold".

use super::attempts::FIXED_COST_TOKENS;
use super::engines::MIN_SAMPLE_WEIGHT;
use super::router::Router;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::interface::{Action, EjectionCause, EngineId, LogEvent};
use std::time::Duration;

/// Duration of a first ejection, before jitter of up to a quarter is added.
pub(super) const BASE_EJECTION_TIME: Duration = Duration::from_millis(1_000);
/// Maximum number of doublings of the ejection time, which limits it to eight seconds; no unit.
pub(super) const MAX_EJECTION_DOUBLINGS: u32 = 3;

impl Router {
    /// Records that an engine has answered, or that its ejection is over where probes are not allowed. If it
    /// was ejected, it counts as warming up from now on.
    pub(super) fn record_contact(&mut self, now: Duration, engine: EngineId) {
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.last_contact = now;
        self.engine_index.mark_changed(engine);
        if record.is_ejected() {
            (record.ejected_until, record.reachable_since) = (None, Some(now));
            record.slow_start_budget = TokenBucket { level: 1.0, updated_at: now };
        }
    }

    /// Records that an engine has done its work; the latency is a sample of its pace and of its role's.
    pub(super) fn record_success(
        &mut self, now: Duration, engine: EngineId, sample: Option<(Duration, f64)>,
    ) {
        self.record_contact(now, engine);
        let Some(record) = self.engines.get_mut(&engine) else { return };
        record.ejection_doublings = record.ejection_doublings.saturating_sub(1);
        let Some((latency, prompt)) = sample else { return };
        let pace = latency.as_secs_f64() / (prompt + FIXED_COST_TOKENS);
        record.pace += if record.pace == 0.0 { pace } else { MIN_SAMPLE_WEIGHT * (pace - record.pace) };
        let means = &mut self.means[record.role as usize];
        means.deviation += MIN_SAMPLE_WEIGHT * ((pace - means.pace).abs() - means.deviation);
        means.pace += MIN_SAMPLE_WEIGHT * (pace - means.pace);
    }

    /// Ejects an engine that could not be connected to, with exponential backoff. When the ejection ends, the
    /// engine is probed.
    pub(super) fn eject(
        &mut self, now: Duration, engine: EngineId, cause: EjectionCause, actions: &mut Vec<Action>,
    ) {
        let jitter = 1.0 + 0.25 * self.sample_probability();
        let Some(record) = self.engines.get_mut(&engine) else { return };
        if record.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let duration = (BASE_EJECTION_TIME * (1 << record.ejection_doublings)).mul_f64(jitter);
        record.ejection_doublings = (record.ejection_doublings + 1).min(MAX_EJECTION_DOUBLINGS);
        record.ejected_until = Some(now + duration);
        self.engine_index.mark_changed(engine);
        self.set_timer(Timer::EjectionEnd(engine), duration, actions);
        let event = LogEvent::EngineEjected { engine, duration, cause };
        actions.push(Action::Log(event));
    }
}
