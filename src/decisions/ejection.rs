//! Outlier ejection: engines that cannot be connected to are left alone, with exponential backoff.
//!
//! Decides on failed connections alone; slow engines lose by their load instead. May read the state of one engine. See
//! docs/design.md, the exceptions "panic" and "back means cold".

use super::attempts::FIXED_TOKENS;
use super::engines::MEAN_WEIGHT;
use super::router::Router;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::interface::{Action, EngineId};
use std::time::Duration;

pub(super) const EJECT_BASE: Duration = Duration::from_millis(1_000); // Of a first offence, jittered by a quarter.
pub(super) const EJECT_DOUBLINGS: u32 = 3; // Doublings of that at most; no unit. Bounds it at eight seconds.

impl Router {
    /// An engine was heard of. If it could not be reached before, it counts as cold from now.
    pub(super) fn reached(&mut self, now: Duration, engine: EngineId) {
        let Some(server) = self.engines.get_mut(&engine) else { return };
        server.last_heard = now;
        self.engine_index.mark_changed(engine);
        if server.unreachable() {
            (server.ejected, server.returned) = (None, Some(now));
            server.slow_start_budget = TokenBucket { level: 1.0, updated_at: now };
        }
    }

    /// An engine did its work: its latency is one more sample of its role's pace.
    pub(super) fn heard_well(&mut self, now: Duration, engine: EngineId, sample: Option<(Duration, f64)>) {
        self.reached(now, engine);
        let Some(server) = self.engines.get_mut(&engine) else { return };
        server.doublings = server.doublings.saturating_sub(1);
        let Some((latency, prompt)) = sample else { return };
        let pace = latency.as_secs_f64() / (prompt + FIXED_TOKENS);
        server.pace += if server.pace == 0.0 { pace } else { MEAN_WEIGHT * (pace - server.pace) };
        let means = &mut self.means[server.role as usize];
        means.deviation += MEAN_WEIGHT * ((pace - means.pace).abs() - means.deviation);
        means.pace += MEAN_WEIGHT * (pace - means.pace);
    }

    /// Leaves alone an engine that could not be connected to, with backoff; then a probe tries it.
    pub(super) fn eject(&mut self, now: Duration, engine: EngineId, why: &str, actions: &mut Vec<Action>) {
        let jitter = 1.0 + 0.25 * self.chance();
        let Some(server) = self.engines.get_mut(&engine) else { return };
        if server.ejected.is_some_and(|until| now < until) {
            return;
        }
        let length = (EJECT_BASE * (1 << server.doublings)).mul_f64(jitter);
        server.doublings = (server.doublings + 1).min(EJECT_DOUBLINGS);
        server.ejected = Some(now + length);
        self.engine_index.mark_changed(engine);
        self.set_timer(Timer::EjectionEnd(engine), length, actions);
        actions.push(Action::Log(format!(
            "engine {:x} ejected for {} ms: {why}",
            engine.0,
            length.as_millis()
        )));
    }
}
