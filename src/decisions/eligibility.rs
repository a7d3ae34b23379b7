//! Which engines are usable for the next attempt of a request.
//!
//! Decides by ejections, slow start, pauses after rejections and errors, earlier attempts of the same
//! request, and the engines that drop duplicates of a request with an idempotency key. Reads the state of all
//! engines and of the request. See docs/design.md, the exceptions "panic", "cold by draw", "full by class"
//! and "keyed reads in the group".

use super::engines::EngineRecord;
use super::requests::{ActiveRequest, PossibleRun};
use super::router::Router;
use crate::engine_index::{CandidateIndex, Capability};
use crate::interface::{DeduplicationScope, Idempotency, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// Panic threshold: with a smaller share of reachable engines, ejections are ignored; no unit.
const PANIC_SHARE: f64 = 0.5;

impl Router {
    /// The engines for a request's next attempt: those with the capability, and the ascending positions among
    /// them that are not usable. Engines that the request has already tried, and those that recently rejected
    /// its class or failed, are passed over while there are others.
    pub(super) fn eligible_engines(
        &mut self, now: Duration, id: RequestId, capability: Capability,
    ) -> (Arc<CandidateIndex>, Vec<u32>) {
        let candidates = self.engine_index.candidates(capability);
        self.forget_unrestricted(now);
        let Some(active) = self.requests.get(&id) else { return (candidates, Vec::new()) };
        let mut excluded = self.outside_deduplication_scope(active, &candidates);
        let maybe_unusable = self.maybe_unusable_positions(active, &candidates, &excluded);
        let total = candidates.len() - excluded.len();
        let (usable, unusable) = self.split_by_usability(now, active, &candidates, total, maybe_unusable);
        excluded.extend(unusable);
        let class = active.request.class.0;
        let passed_over = |position: &u32| {
            let engine = candidates.id(*position as usize);
            let until = |record: &EngineRecord| record.passed_over_until.get(class).copied();
            active.attempts.iter().any(|attempt| attempt.engine == engine && !attempt.engine_reusable)
                || self.engines.get(&engine).and_then(until).is_some_and(|until| now < until)
        };
        let passed_over: Vec<u32> = usable.into_iter().filter(passed_over).collect();
        if excluded.len() + passed_over.len() < candidates.len() {
            excluded.extend(passed_over);
        }
        excluded.sort_unstable();
        (candidates, excluded)
    }

    /// Removes engines that are no longer restricted from `maybe_restricted` in the index.
    fn forget_unrestricted(&mut self, now: Duration) {
        let mut restricted = std::mem::take(&mut self.engine_index.maybe_restricted);
        let is_restricted = |record: &EngineRecord| {
            record.is_passed_over(now) || record.is_ejected() || self.is_warming_up(now, record)
        };
        restricted.retain(|id| self.engines.get(id).is_some_and(is_restricted));
        self.engine_index.maybe_restricted = restricted;
    }

    /// The positions of engines at which a request with an idempotency key that may have run must not be
    /// repeated.
    fn outside_deduplication_scope(&self, active: &ActiveRequest, candidates: &CandidateIndex) -> Vec<u32> {
        let has_key = matches!(self.idempotency(active), Idempotency::WithKey { .. });
        if !has_key || active.possible_run.is_none() {
            return Vec::new();
        }
        let record = |position: u32| self.engines.get(&candidates.id(position as usize));
        let disallowed =
            |&position: &u32| !record(position).is_some_and(|record| self.may_repeat_at(active, record));
        (0..candidates.len() as u32).filter(disallowed).collect()
    }

    /// The ascending positions of engines that may be unusable: restricted ones and those already tried.
    fn maybe_unusable_positions(
        &self, active: &ActiveRequest, candidates: &CandidateIndex, excluded: &[u32],
    ) -> Vec<u32> {
        let restricted = self.engine_index.maybe_restricted.iter().copied();
        let tried = active.attempts.iter().map(|attempt| attempt.engine);
        let mut maybe_unusable: Vec<u32> =
            restricted.chain(tried).filter_map(|id| candidates.position(id)).collect();
        maybe_unusable.sort_unstable();
        maybe_unusable.dedup();
        maybe_unusable.retain(|position| excluded.binary_search(position).is_err());
        maybe_unusable
    }

    /// Splits the engines that may be unusable, out of `total` engines, into usable and unusable ones.
    /// Ejected engines are unusable, except below the panic threshold, where slow connections are more likely
    /// than dead engines.
    ///
    /// A warming engine takes a sample of the requests that would come to it, as even one prompt from each of
    /// hundreds of routers is too much. The sample is smaller where few engines are available, as each of
    /// them would get more requests.
    fn split_by_usability(
        &self, now: Duration, active: &ActiveRequest, candidates: &CandidateIndex, total: usize,
        maybe_unusable: Vec<u32>,
    ) -> (Vec<u32>, Vec<u32>) {
        let record = |position: u32| self.engines.get(&candidates.id(position as usize));
        let ejected = |position: u32| record(position).is_some_and(EngineRecord::is_ejected);
        let reachable = total - maybe_unusable.iter().filter(|&&position| ejected(position)).count();
        let in_panic = (reachable as f64) < PANIC_SHARE * total as f64;
        let is_sampled = |record: &EngineRecord, factor: f64| {
            active.sampled_probability < self.warmup_share(now, record) * factor
        };
        let unavailable = |position: u32| {
            ejected(position) || record(position).is_some_and(|record| !is_sampled(record, 1.0))
        };
        let available = total - maybe_unusable.iter().filter(|&&position| unavailable(position)).count();
        let available_share = available as f64 / (PANIC_SHARE * total.max(1) as f64);
        let ejected_or_sampled =
            |record: &EngineRecord| record.is_ejected() || is_sampled(record, available_share.min(1.0));
        let has_budget =
            |record: &EngineRecord| record.slow_start_level(now, self.warmup_send_rate(now, record)) > 0.0;
        let admits = |record: &EngineRecord| {
            !self.is_warming_up(now, record) || ejected_or_sampled(record) && has_budget(record)
        };
        let usable =
            |position: &u32| (in_panic || !ejected(*position)) && record(*position).is_some_and(admits);
        maybe_unusable.into_iter().partition(usable)
    }

    /// Whether a request may be sent to this engine. A request with an idempotency key that may have run is
    /// prefilled and decoded again only where duplicates are dropped.
    pub(super) fn may_repeat_at(&self, active: &ActiveRequest, record: &EngineRecord) -> bool {
        let Idempotency::WithKey { scope, .. } = self.idempotency(active) else { return true };
        let Some(PossibleRun { sent_at, engine: first, .. }) = &active.possible_run else { return true };
        record.entry.started_at.is_none_or(|started| started <= *sent_at)
            && match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == record.entry.zone,
                DeduplicationScope::Cell => first.cell == record.entry.cell,
            }
    }
}
