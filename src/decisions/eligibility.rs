//! Which engines are usable for the next attempt of a request.
//!
//! Decides by ejections, slow start, rests after rejections and errors, earlier attempts of the same request, and where
//! repeats of a keyed request are dropped. May read all that is kept of engines and of the request. See docs/design.md,
//! the exceptions "panic", "cold by draw", "full by class" and "keyed reads in the group".

use super::engines::EngineRecord;
use super::requests::{ActiveRequest, PossibleRun};
use super::router::Router;
use crate::engine_index::{CandidateIndex, Capability};
use crate::interface::{DeduplicationScope, EngineId, Idempotency, RequestId};
use std::sync::Arc;
use std::time::Duration;

/// Share of a role's engines under which ejections are set aside (panic threshold); no unit.
const PANIC_SHARE: f64 = 0.5;

impl Router {
    /// The usable engines for this request's next attempt. Those it has tried, and those that just were full,
    /// are passed over while there are others. Under the panic threshold unreachable ones are usable again:
    /// connections are slow, not dead. Given as a candidates and, in order, the places on it that are not usable.
    pub(super) fn eligible_engines(
        &mut self, now: Duration, id: RequestId, capability: Capability,
    ) -> (Arc<CandidateIndex>, Vec<u32>) {
        let candidates = self.engine_index.candidates(capability);
        let mut restricted = std::mem::take(&mut self.engine_index.maybe_restricted);
        let is_restricted = |record: &EngineRecord| {
            record.is_passed_over(now) || record.is_ejected() || self.is_warming_up(now, record)
        };
        restricted.retain(|id| self.engines.get(id).is_some_and(is_restricted));
        self.engine_index.maybe_restricted = restricted;
        let Some(active) = self.requests.get(&id) else { return (candidates, Vec::new()) };
        let record = |at: u32| self.engines.get(&candidates.id(at as usize));
        let barred = |&at: &u32| !record(at).is_some_and(|record| self.may_repeat_at(active, record));
        let bound =
            matches!(self.idempotency(active), Idempotency::WithKey { .. }) && active.possible_run.is_some();
        let mut gone: Vec<u32> =
            if bound { (0..candidates.len() as u32).filter(barred).collect() } else { vec![] };
        let tried = |id: EngineId| active.attempts.iter().any(|a| a.engine == id && !a.done);
        let unusual = self
            .engine_index
            .maybe_restricted
            .iter()
            .copied()
            .chain(active.attempts.iter().map(|a| a.engine));
        let mut unusual: Vec<u32> = unusual.filter_map(|id| candidates.position(id)).collect();
        unusual.sort_unstable();
        unusual.dedup();
        unusual.retain(|at| gone.binary_search(at).is_err());
        let (all, lost) =
            (candidates.len() - gone.len(), |&at: &u32| record(at).is_some_and(EngineRecord::is_ejected));
        let reachable = all - unusual.iter().filter(|&at| lost(at)).count();
        let panics = (reachable as f64) < PANIC_SHARE * all as f64;
        // A cold engine takes its part of what would come to it, drawn by request: hundreds of routers with a
        // prompt each are too many. Less where few are left for such a draw, as more would come.
        let shut = |at: &&u32| {
            lost(at)
                || record(**at)
                    .is_some_and(|record| active.sampled_probability >= self.warmup_share(now, record))
        };
        let open = (all - unusual.iter().filter(shut).count()) as f64 / (PANIC_SHARE * all.max(1) as f64);
        let drawn = |record: &EngineRecord| {
            record.is_ejected() || active.sampled_probability < self.warmup_share(now, record) * open.min(1.0)
        };
        let fills =
            |record: &EngineRecord| record.slow_start_level(now, self.warmup_send_rate(now, record)) > 0.0;
        let warm = |record: &EngineRecord| !self.is_warming_up(now, record) || drawn(record) && fills(record);
        let unusable = |at: &u32| !panics && lost(at) || !record(*at).is_some_and(warm);
        let (unusable, rest): (Vec<u32>, Vec<u32>) = unusual.into_iter().partition(unusable);
        gone.extend(unusable);
        let class = active.request.class.0;
        let rests =
            |record: &EngineRecord| record.passed_over_until.get(class).is_some_and(|&until| now < until);
        let worn = |at: &u32| tried(candidates.id(*at as usize)) || record(*at).is_some_and(rests);
        let worn: Vec<u32> = rest.into_iter().filter(worn).collect();
        if gone.len() + worn.len() < candidates.len() {
            gone.extend(worn);
        }
        gone.sort_unstable();
        (candidates, gone)
    }

    /// A keyed request that may have run goes, and is read anew, only where its repeats are dropped.
    pub(super) fn may_repeat_at(&self, active: &ActiveRequest, record: &EngineRecord) -> bool {
        let Idempotency::WithKey { scope: group, .. } = self.idempotency(active) else { return true };
        let Some(PossibleRun { at, engine: first, .. }) = &active.possible_run else { return true };
        record.entry.started_at.is_none_or(|started| started <= *at)
            && match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == record.entry.zone,
                DeduplicationScope::Cell => first.cell == record.entry.cell,
            }
    }
}
