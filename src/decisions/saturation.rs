//! Saturation and load estimates of an engine and of a whole stage.
//!
//! Decides how to interpret a load report by its age and contents, and what to use in place of a missing one.
//! Reads the reports, the router's own attempts since then and the means of each role. The two thresholds are
//! those of docs/design.md, "The mechanism".

use super::engines::{EngineRecord, Means};
use super::router::Router;
use crate::interface::{ReportSource, Role};
use std::time::Duration;

/// Prompt tokens waiting at one engine that correspond to saturation 1. From the design.
pub(super) const WAITING_THRESHOLD: f64 = 60_000.0;
/// Share of memory that corresponds to saturation 1. From the design: full memory alone leads to the
/// rejection of one droppable request in six.
pub(super) const MEMORY_THRESHOLD: f64 = 4.5;
/// Age from which a load report is ignored.
pub(super) const REPORT_LIFETIME: Duration = Duration::from_millis(3_000);
/// Weight of the role's mean when the share of waiting attempts at one engine is estimated, attempts.
const WAITING_PRIOR: f64 = 8.0;

impl Router {
    /// Mean saturation of the ready engines of a stage; an engine without a recent report counts as the mean.
    /// Admission uses the larger of the two stages, unlike the llm-d post, as idle engines of one stage would
    /// hide the saturation of the other.
    pub(super) fn stage_saturation(&self, now: Duration, role: Role) -> f64 {
        let (mut sum, mut count) = (0.0, 0);
        for member_role in [Role::Prefill, Role::Decode, Role::Mixed] {
            if member_role == role || member_role == Role::Mixed || role == Role::Mixed {
                let uncached_share = if member_role == Role::Prefill { self.uncached_share } else { 1.0 };
                let queued = *self.mean_prompt * uncached_share / WAITING_THRESHOLD;
                let weights = [queued, queued * self.prior_waiting_attempts(member_role) / WAITING_PRIOR];
                let (fixed, known, varying) =
                    self.engine_index.saturation_sums(member_role as usize, weights);
                let saturations = varying.iter().filter_map(|id| self.saturation(now, self.engines.get(id)?));
                (sum, count) = (sum + fixed + saturations.sum::<f64>(), count + known + varying.len());
            }
        }
        sum / f64::max(count as f64, 1.0)
    }

    /// Saturation of one engine; `None` if it is unknown.
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
        // A count of requests in flight includes those whose answer has begun, so it is scaled by the share
        // of its time that an attempt waits.
        let waiting_share = (record.attempts_waiting.max(0.0) + self.prior_waiting_attempts(record.role))
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

    /// Prompt tokens in progress at a prefill engine that reports only its queue: the tokens in its memory
    /// that it had not cached. A long prompt that is being prefilled is in no queue, but delays all prompts
    /// behind it.
    pub(super) fn prefill_tokens_in_memory(&self, record: &EngineRecord) -> f64 {
        let Some((_, report)) = record.report.as_ref().filter(|_| record.role == Role::Prefill) else {
            return 0.0;
        };
        let counted = report.waiting_tokens.or(report.in_flight).is_some();
        let size = self.settings.memory_tokens.get(record.entry.kind.0).filter(|_| !counted);
        report.memory_share.unwrap_or(0.0) * size.copied().unwrap_or(0.0) * self.uncached_share
    }

    /// How many of [`WAITING_PRIOR`] attempts wait, by the role's means.
    pub(super) fn prior_waiting_attempts(&self, role: Role) -> f64 {
        let Means { waiting_time, attempt_duration, .. } = self.means[role as usize];
        WAITING_PRIOR * waiting_time / attempt_duration.max(f64::EPSILON)
    }
}
