//! Saturation and load estimates: how full an engine and a whole stage are.
//!
//! Decides what a load report is worth by its age and contents, and what stands in for one. May read reports,
//! the router's own attempts since them and the means of each role. The two thresholds are those of
//! docs/design.md, "The mechanism".

use super::engines::{EngineRecord, Means};
use super::router::Router;
use crate::interface::{ReportSource, Role};
use std::time::Duration;

/// Prompt tokens waiting at one engine that count as saturation 1. From the design.
pub(super) const WAITING_THRESHOLD: f64 = 60_000.0;
/// Share of memory that counts as saturation 1. From the design: full memory alone rejects one in six.
pub(super) const MEMORY_THRESHOLD: f64 = 4.5;
/// Age from which a load report says nothing any more.
pub(super) const REPORT_LIFETIME: Duration = Duration::from_millis(3_000);
/// Usual attempts that the estimate of waiting ones at an engine starts from; no unit.
const WAITING_PRIOR: f64 = 8.0;

impl Router {
    /// Mean saturation of the ready engines of a stage; one without a recent report takes the mean. Exception
    /// to the post: of the two stages the fuller one counts, as idle engines of the other would hide it.
    pub(super) fn stage_saturation(&self, now: Duration, role: Role) -> f64 {
        let (mut sum, mut count) = (0.0, 0);
        for member in [Role::Prefill, Role::Decode, Role::Mixed] {
            if member == role || member == Role::Mixed || role == Role::Mixed {
                let uncached_share = if member == Role::Prefill { self.uncached_share } else { 1.0 };
                let queued = *self.mean_prompt * uncached_share / WAITING_THRESHOLD;
                let weights = [queued, queued * self.usual_waiting_attempts(member) / WAITING_PRIOR];
                let (fixed, known, varying) = self.engine_index.saturation_sums(member as usize, weights);
                let saturations = varying.iter().filter_map(|id| self.saturation(now, self.engines.get(id)?));
                (sum, count) = (sum + fixed + saturations.sum::<f64>(), count + known + varying.len());
            }
        }
        sum / f64::max(count as f64, 1.0)
    }

    /// Saturation of one engine, if it is known.
    pub(super) fn saturation(&self, now: Duration, record: &EngineRecord) -> Option<f64> {
        self.saturation_parts(now, record).map(|(waiting, memory)| waiting.max(memory))
    }

    /// The two parts of the saturation of an engine: by waiting tokens, and by memory.
    pub(super) fn saturation_parts(&self, now: Duration, record: &EngineRecord) -> Option<(f64, f64)> {
        if self.settings.report_source == ReportSource::None {
            let waiting = record.tokens_sent_since_report * f64::from(self.settings.router_count);
            return Some((waiting / WAITING_THRESHOLD, 0.0));
        }
        let (at, report) = record.report.as_ref()?;
        if now.saturating_sub(*at) > REPORT_LIFETIME {
            return None;
        }
        let uncached_share = if record.role == Role::Prefill { self.uncached_share } else { 1.0 };
        // In-flight counts include running answers: only the share of its time that an attempt waits counts.
        let waiting_share = (record.attempts_waiting.max(0.0) + self.usual_waiting_attempts(record.role))
            / (record.in_flight.max(0.0) + WAITING_PRIOR);
        let counted = || report.queued.or(report.in_flight.map(|count| count * waiting_share));
        let waiting = match report.waiting_tokens {
            Some(tokens) => tokens + record.tokens_sent_since_report,
            None => {
                (counted().unwrap_or(0.0) * *self.mean_prompt + record.tokens_sent_since_report)
                    * uncached_share
            }
        };
        let memory = report.memory_share.unwrap_or(0.0) / MEMORY_THRESHOLD;
        Some((waiting / WAITING_THRESHOLD, memory))
    }

    /// Prompt tokens in progress at a prefill engine that reports only its queue: those in its memory that it
    /// had not cached. A long prompt that is being prefilled is in no queue, and delays all behind it.
    pub(super) fn prefill_tokens_in_memory(&self, record: &EngineRecord) -> f64 {
        let Some((_, report)) = record.report.as_ref().filter(|_| record.role == Role::Prefill) else {
            return 0.0;
        };
        let counted = report.waiting_tokens.or(report.in_flight).is_some();
        let size = self.settings.memory_tokens.get(record.entry.kind.0).filter(|_| !counted);
        report.memory_share.unwrap_or(0.0) * size.copied().unwrap_or(0.0) * self.uncached_share
    }

    /// How many of the usual attempts at an engine, from which the estimate starts, wait.
    pub(super) fn usual_waiting_attempts(&self, role: Role) -> f64 {
        let Means { waiting_time, attempt_duration, .. } = self.means[role as usize];
        WAITING_PRIOR * waiting_time / attempt_duration.max(f64::EPSILON)
    }
}
