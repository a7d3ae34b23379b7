//! Placement: which of its candidates a request goes to.
//!
//! Decides by the least load, with a spill to further candidates where a preferred one bears much more. May read load
//! estimates, the router's own tokens in flight and slow start. See docs/design.md, "The mechanism", and the exceptions
//! "spill", "lone readers" and "cold by report".

use super::probes::FRESH;
use super::requests::ActiveRequest;
use super::router::Router;
use super::saturation::WAITING_THRESHOLD;
use crate::interface::{EngineId, RequestId, Role};
use std::time::Duration;

const FAR_FACTOR: f64 = 2.0; // Spill: borne by the preferred engine against what another bears; no unit.
const SILENT_TOKENS: f64 = 1e9; // What an engine that did not answer seems to bear, tokens: more than any.

impl Router {
    /// The preferred engine that bears least, unless another bears so much less that going there is quicker.
    pub(super) fn choose(&self, now: Duration, id: RequestId) -> Option<EngineId> {
        let job = self.requests.get(&id)?;
        let choice = job.candidates.as_ref()?;
        let (near, far) = (self.least(now, job, &choice.preferred), self.least(now, job, &choice.spill));
        let spills = |far| near.is_none_or(|(_, near)| near > FAR_FACTOR * far + job.request.prompt_tokens);
        far.filter(|&(_, far)| spills(far)).or(near).map(|(id, _)| id)
    }

    /// Which engine bears least by its report (else its stage's mean) and our own tokens, and how many. One
    /// that was asked and has not answered comes last: it is busy, cut off, dead or has no connection yet.
    pub(super) fn least(
        &self, now: Duration, job: &ActiveRequest, pool: &[EngineId],
    ) -> Option<(EngineId, f64)> {
        let found_at = job.candidates.as_ref()?.found_at;
        let bears = |id: &EngineId| {
            let server = self.engines.get(id).filter(|s| s.ready())?;
            let load = |(waiting, memory)| (waiting + memory) * WAITING_THRESHOLD + self.reading(server);
            let load = self.parts(now, server).map(load);
            let load = load.unwrap_or_else(|| self.stage(now, server.role) * WAITING_THRESHOLD);
            // A cold engine with half of its budget to do is full: its report is what all routers share.
            let budget = self.settings.warmup_budget.as_secs_f64() * f64::from(self.settings.router_count);
            if budget > 0.0 && self.is_cold(now, server) && load > 0.5 * budget * self.cold_rate(now, server)
            {
                return None;
            }
            let silent = if server.last_heard + FRESH < found_at { SILENT_TOKENS } else { 0.0 };
            // Exception: where no writer stands in its cell, all its states go far, which is slow and priced.
            let lone =
                server.role == Role::Prefill && !self.engine_index.has_decode_engine(server.entry.cell);
            let moves = if lone { self.uncached_share * job.request.prompt_tokens } else { 0.0 };
            Some((*id, load + server.tokens_in_flight + silent + moves))
        };
        pool.iter().filter_map(bears).min_by(|a, b| a.1.total_cmp(&b.1))
    }
}
