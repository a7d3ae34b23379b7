//! Which engines are usable for the next attempt of a request.
//!
//! Decides by ejections, slow start, pauses after rejections and errors, earlier attempts of the same
//! request, and where repeats of a request with an idempotency key are dropped. May read all that is kept of
//! engines and of the request. See docs/design.md, the exceptions "panic", "cold by draw", "full by class"
//! and "keyed reads in the group".

use super::engines::EngineRecord;
use super::requests::{ActiveRequest, PossibleRun};
use super::router::Router;
use crate::engine_index::{CandidateIndex, Capability};
use crate::interface::{DeduplicationScope, Idempotency, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// Share of a role's engines under which ejections are set aside (panic threshold); no unit.
const PANIC_SHARE: f64 = 0.5;

impl Router {
    /// The engines for a request's next attempt: those with the capability, and the ascending positions among
    /// them that are not usable. Engines that it has tried, and those that just rejected its class or failed,
    /// are passed over while there are others.
    pub(super) fn eligible_engines(
        &mut self, now: Duration, id: RequestId, capability: Capability,
    ) -> (Arc<CandidateIndex>, Vec<u32>) {
        let candidates = self.engine_index.candidates(capability);
        self.forget_unrestricted(now);
        let Some(active) = self.requests.get(&id) else { return (candidates, Vec::new()) };
        let mut excluded = self.outside_deduplication_scope(active, &candidates);
        let suspects = self.suspect_positions(active, &candidates, &excluded);
        let total = candidates.len() - excluded.len();
        let (usable, unusable) = self.partition_usable(now, active, &candidates, total, suspects);
        excluded.extend(unusable);
        let class = active.request.class.0;
        let passed_over = |at: &u32| {
            let engine = candidates.id(*at as usize);
            let until = |record: &EngineRecord| record.passed_over_until.get(class).copied();
            active.attempts.iter().any(|attempt| attempt.engine == engine && !attempt.done)
                || self.engines.get(&engine).and_then(until).is_some_and(|until| now < until)
        };
        let passed_over: Vec<u32> = usable.into_iter().filter(passed_over).collect();
        if excluded.len() + passed_over.len() < candidates.len() {
            excluded.extend(passed_over);
        }
        excluded.sort_unstable();
        (candidates, excluded)
    }

    /// Removes from the restricted engines of the index those that are not restricted any more.
    fn forget_unrestricted(&mut self, now: Duration) {
        let mut restricted = std::mem::take(&mut self.engine_index.maybe_restricted);
        let is_restricted = |record: &EngineRecord| {
            record.is_passed_over(now) || record.is_ejected() || self.is_warming_up(now, record)
        };
        restricted.retain(|id| self.engines.get(id).is_some_and(is_restricted));
        self.engine_index.maybe_restricted = restricted;
    }

    /// The positions where a request with an idempotency key that may have run must not be repeated.
    fn outside_deduplication_scope(&self, active: &ActiveRequest, candidates: &CandidateIndex) -> Vec<u32> {
        let has_key = matches!(self.idempotency(active), Idempotency::WithKey { .. });
        if !has_key || active.possible_run.is_none() {
            return Vec::new();
        }
        let record = |at: u32| self.engines.get(&candidates.id(at as usize));
        let barred = |&at: &u32| !record(at).is_some_and(|record| self.may_repeat_at(active, record));
        (0..candidates.len() as u32).filter(barred).collect()
    }

    /// The ascending positions that may be unusable: those of restricted engines and of those already tried.
    fn suspect_positions(
        &self, active: &ActiveRequest, candidates: &CandidateIndex, excluded: &[u32],
    ) -> Vec<u32> {
        let restricted = self.engine_index.maybe_restricted.iter().copied();
        let tried = active.attempts.iter().map(|attempt| attempt.engine);
        let mut suspects: Vec<u32> =
            restricted.chain(tried).filter_map(|id| candidates.position(id)).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects.retain(|at| excluded.binary_search(at).is_err());
        suspects
    }

    /// The usable and the unusable ones of the suspects among `total` engines. Ejected engines are unusable,
    /// except under the panic threshold: then connections are slow, and the engines not dead.
    ///
    /// A warming engine takes its share of the requests that would come to it, drawn by request: one prompt
    /// each of hundreds of routers is too much. The share is smaller where few engines are left for that
    /// draw, as each of them would get more.
    fn partition_usable(
        &self, now: Duration, active: &ActiveRequest, candidates: &CandidateIndex, total: usize,
        suspects: Vec<u32>,
    ) -> (Vec<u32>, Vec<u32>) {
        let record = |at: u32| self.engines.get(&candidates.id(at as usize));
        let ejected = |at: u32| record(at).is_some_and(EngineRecord::is_ejected);
        let reachable = total - suspects.iter().filter(|&&at| ejected(at)).count();
        let panics = (reachable as f64) < PANIC_SHARE * total as f64;
        let below = |record: &EngineRecord, factor: f64| {
            active.sampled_probability < self.warmup_share(now, record) * factor
        };
        let closed = |at: u32| ejected(at) || record(at).is_some_and(|record| !below(record, 1.0));
        let open = total - suspects.iter().filter(|&&at| closed(at)).count();
        let open_share = open as f64 / (PANIC_SHARE * total.max(1) as f64);
        let drawn = |record: &EngineRecord| record.is_ejected() || below(record, open_share.min(1.0));
        let has_budget =
            |record: &EngineRecord| record.slow_start_level(now, self.warmup_send_rate(now, record)) > 0.0;
        let admits =
            |record: &EngineRecord| !self.is_warming_up(now, record) || drawn(record) && has_budget(record);
        let usable = |at: &u32| (panics || !ejected(*at)) && record(*at).is_some_and(admits);
        suspects.into_iter().partition(usable)
    }

    /// Whether a request may be sent to this engine. With an idempotency key, once it may have run, it is
    /// prefilled and decoded again only where duplicates are dropped.
    pub(super) fn may_repeat_at(&self, active: &ActiveRequest, record: &EngineRecord) -> bool {
        let Idempotency::WithKey { scope, .. } = self.idempotency(active) else { return true };
        let Some(PossibleRun { at, engine: first, .. }) = &active.possible_run else { return true };
        record.entry.started_at.is_none_or(|started| started <= *at)
            && match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == record.entry.zone,
                DeduplicationScope::Cell => first.cell == record.entry.cell,
            }
    }
}
