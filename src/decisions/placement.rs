//! Placement: which of its candidates a request goes to.
//!
//! Decides by the least load, with a spill to further candidates where the preferred ones have much more.
//! Reads load estimates, the router's own tokens in flight and slow start. See docs/design.md, "The
//! mechanism", and the exceptions "spill", "lone readers" and "cold by report".

use super::probes::STALE_AFTER;
use super::requests::ActiveRequest;
use super::router::Router;
use super::saturation::WAITING_THRESHOLD;
use crate::interface::{EngineId, RequestId, Role};
use std::time::Duration;

/// A request spills over where the load of its preferred engine exceeds that of another by more than this
/// factor; no unit.
const SPILL_FACTOR: f64 = 2.0;
/// Load added for an engine that did not answer a probe, tokens: more than the load of any other.
const UNANSWERED_PROBE_TOKENS: f64 = 1e9;

impl Router {
    /// The preferred engine with the least load, unless an engine of the spill has so much less load that it
    /// will answer sooner.
    pub(super) fn choose_engine(&self, now: Duration, id: RequestId) -> Option<EngineId> {
        let active = self.requests.get(&id)?;
        let candidates = active.candidates.as_ref()?;
        let (preferred, spill) = (
            self.least_loaded(now, active, &candidates.preferred),
            self.least_loaded(now, active, &candidates.spill),
        );
        let spills =
            |load| preferred.is_none_or(|(_, own)| own > SPILL_FACTOR * load + active.request.prompt_tokens);
        spill.filter(|&(_, load)| spills(load)).or(preferred).map(|(id, _)| id)
    }

    /// The engine with the least load, and that load in tokens: the load by its report (else the mean of its
    /// stage) plus this router's tokens in flight. An engine that did not answer a probe comes last: it is
    /// busy, unreachable, dead or not connected yet.
    pub(super) fn least_loaded(
        &self, now: Duration, active: &ActiveRequest, engines: &[EngineId],
    ) -> Option<(EngineId, f64)> {
        let found_at = active.candidates.as_ref()?.found_at;
        let load_of = |id: &EngineId| {
            let record = self.engines.get(id).filter(|record| record.is_ready())?;
            let load = |(waiting, memory)| {
                (waiting + memory) * WAITING_THRESHOLD + self.prefill_tokens_in_memory(record)
            };
            let load = self.saturation_parts(now, record).map(load);
            let load = load.unwrap_or_else(|| self.stage_saturation(now, record.role) * WAITING_THRESHOLD);
            // A warming engine with half of its budget queued is full. Its report is the only figure that
            // includes the load from all routers.
            let budget = self.settings.warmup_budget.as_secs_f64() * f64::from(self.settings.router_count);
            if budget > 0.0
                && self.is_warming_up(now, record)
                && load > 0.5 * budget * self.warmup_send_rate(now, record)
            {
                return None;
            }
            let unanswered =
                if record.last_contact + STALE_AFTER < found_at { UNANSWERED_PROBE_TOKENS } else { 0.0 };
            // Exception: if there is no decode engine in its cell, its state has to be moved to another cell,
            // which is slow and charged.
            let lacks_decode_engine =
                record.role == Role::Prefill && !self.engine_index.has_decode_engine(record.entry.cell);
            let transfer =
                if lacks_decode_engine { self.uncached_share * active.request.prompt_tokens } else { 0.0 };
            Some((*id, load + record.tokens_in_flight + unanswered + transfer))
        };
        engines.iter().filter_map(load_of).min_by(|a, b| a.1.total_cmp(&b.1))
    }
}
