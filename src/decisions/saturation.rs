//! Saturation and load estimates: how full an engine and a whole stage are.
//!
//! Decides what a load report is worth by its age and contents, and what stands in for one. May read reports, the
//! router's own attempts since them and the means of each role. The two thresholds are those of docs/design.md,
//! "The mechanism".

use super::engines::{EngineRecord, Means};
use super::router::Router;
use crate::interface::{ReportSource, Role};
use std::time::Duration;

pub(super) const WAITING_THRESHOLD: f64 = 60_000.0; // Prompt tokens waiting at one engine: saturation 1. The design's.
/// Share of memory that counts as saturation 1. From the design: full memory alone refuses one in six.
pub(super) const MEMORY_THRESHOLD: f64 = 4.5;
pub(super) const REPORT_LIFE: Duration = Duration::from_millis(3_000); // Age from which a report says nothing any more.
const WAITING_PRIOR: f64 = 8.0; // Usual attempts that an engine's waiting part starts from; no unit.

impl Router {
    /// Mean saturation of a stage's ready engines; one not heard of lately takes the mean. Exception to the
    /// post: of the two stages the fuller one counts, as idle engines of the other would hide it.
    pub(super) fn stage(&self, now: Duration, role: Role) -> f64 {
        let (mut sum, mut count) = (0.0, 0);
        for does in [Role::Prefill, Role::Decode, Role::Mixed] {
            if does == role || does == Role::Mixed || role == Role::Mixed {
                let to_read = if does == Role::Prefill { self.uncached_share } else { 1.0 };
                let queued = *self.mean_prompt * to_read / WAITING_THRESHOLD;
                let weights = [queued, queued * self.usual(does) / WAITING_PRIOR];
                let (fixed, known, moving) = self.engine_index.saturation_sums(does as usize, weights);
                let loads = moving.iter().filter_map(|id| self.load(now, self.engines.get(id)?));
                (sum, count) = (sum + fixed + loads.sum::<f64>(), count + known + moving.len());
            }
        }
        sum / f64::max(count as f64, 1.0)
    }

    /// Saturation of one engine, if it is known.
    pub(super) fn load(&self, now: Duration, server: &EngineRecord) -> Option<f64> {
        self.parts(now, server).map(|(waiting, memory)| waiting.max(memory))
    }

    /// Its two parts, of waiting tokens and of memory.
    pub(super) fn parts(&self, now: Duration, server: &EngineRecord) -> Option<(f64, f64)> {
        if self.settings.report_source == ReportSource::None {
            let waiting = server.tokens_sent_since_report * f64::from(self.settings.router_count);
            return Some((waiting / WAITING_THRESHOLD, 0.0));
        }
        let (at, report) = server.report.as_ref()?;
        if now.saturating_sub(*at) > REPORT_LIFE {
            return None;
        }
        let to_read = if server.role == Role::Prefill { self.uncached_share } else { 1.0 };
        // In-flight counts hold running answers too: only the part of its time that an attempt waits counts.
        let part = (server.attempts_waiting.max(0.0) + self.usual(server.role))
            / (server.in_flight.max(0.0) + WAITING_PRIOR);
        let counted = || report.queued.or(report.in_flight.map(|n| n * part));
        let waiting = match report.waiting_tokens {
            Some(tokens) => tokens + server.tokens_sent_since_report,
            None => {
                (counted().unwrap_or(0.0) * *self.mean_prompt + server.tokens_sent_since_report) * to_read
            }
        };
        let memory = report.memory_share.unwrap_or(0.0) / MEMORY_THRESHOLD;
        Some((waiting / WAITING_THRESHOLD, memory))
    }

    /// Tokens under way at a reader that tells only its queue: those in its memory that were not kept. One
    /// long prompt that is read stands in no queue, and holds up all behind it.
    pub(super) fn reading(&self, server: &EngineRecord) -> f64 {
        let Some((_, report)) = server.report.as_ref().filter(|_| server.role == Role::Prefill) else {
            return 0.0;
        };
        let counted = report.waiting_tokens.or(report.in_flight).is_some();
        let size = self.settings.memory_tokens.get(server.entry.kind.0).filter(|_| !counted);
        report.memory_share.unwrap_or(0.0) * size.copied().unwrap_or(0.0) * self.uncached_share
    }

    /// How many of the attempts that its estimate starts from wait.
    pub(super) fn usual(&self, role: Role) -> f64 {
        let Means { waiting_time, attempt_duration, .. } = self.means[role as usize];
        WAITING_PRIOR * waiting_time / attempt_duration.max(f64::EPSILON)
    }
}
