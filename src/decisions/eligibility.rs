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
    /// connections are slow, not dead. Given as a shelf and, in order, the places on it that are not usable.
    pub(super) fn pool(
        &mut self, now: Duration, id: RequestId, capability: Capability,
    ) -> (Arc<CandidateIndex>, Vec<u32>) {
        let shelf = self.engine_index.candidates(capability);
        let mut odd = std::mem::take(&mut self.engine_index.maybe_restricted);
        let is_odd = |s: &EngineRecord| s.is_passed_over(now) || s.unreachable() || self.is_cold(now, s);
        odd.retain(|id| self.engines.get(id).is_some_and(is_odd));
        self.engine_index.maybe_restricted = odd;
        let Some(job) = self.requests.get(&id) else { return (shelf, Vec::new()) };
        let server = |at: u32| self.engines.get(&shelf.id(at as usize));
        let barred = |&at: &u32| !server(at).is_some_and(|s| self.may_send(job, s));
        let bound = matches!(self.effect(job), Idempotency::WithKey { .. }) && job.possible_run.is_some();
        let mut gone: Vec<u32> =
            if bound { (0..shelf.len() as u32).filter(barred).collect() } else { vec![] };
        let tried = |id: EngineId| job.attempts.iter().any(|a| a.engine == id && !a.done);
        let unusual =
            self.engine_index.maybe_restricted.iter().copied().chain(job.attempts.iter().map(|a| a.engine));
        let mut unusual: Vec<u32> = unusual.filter_map(|id| shelf.position(id)).collect();
        unusual.sort_unstable();
        unusual.dedup();
        unusual.retain(|at| gone.binary_search(at).is_err());
        let (all, lost) =
            (shelf.len() - gone.len(), |&at: &u32| server(at).is_some_and(EngineRecord::unreachable));
        let reachable = all - unusual.iter().filter(|&at| lost(at)).count();
        let panics = (reachable as f64) < PANIC_SHARE * all as f64;
        // A cold engine takes its part of what would come to it, drawn by request: hundreds of routers with a
        // prompt each are too many. Less where few are left for such a draw, as more would come.
        let shut = |at: &&u32| {
            lost(at) || server(**at).is_some_and(|s| job.sampled_probability >= self.part(now, s))
        };
        let open = (all - unusual.iter().filter(shut).count()) as f64 / (PANIC_SHARE * all.max(1) as f64);
        let drawn =
            |s: &EngineRecord| s.unreachable() || job.sampled_probability < self.part(now, s) * open.min(1.0);
        let fills = |s: &EngineRecord| s.slow_start_level(now, self.cold_rate(now, s)) > 0.0;
        let warm = |s: &EngineRecord| !self.is_cold(now, s) || drawn(s) && fills(s);
        let unusable = |at: &u32| !panics && lost(at) || !server(*at).is_some_and(warm);
        let (unusable, rest): (Vec<u32>, Vec<u32>) = unusual.into_iter().partition(unusable);
        gone.extend(unusable);
        let class = job.request.class.0;
        let rests = |s: &EngineRecord| s.passed_over_until.get(class).is_some_and(|&until| now < until);
        let worn = |at: &u32| tried(shelf.id(*at as usize)) || server(*at).is_some_and(rests);
        let worn: Vec<u32> = rest.into_iter().filter(worn).collect();
        if gone.len() + worn.len() < shelf.len() {
            gone.extend(worn);
        }
        gone.sort_unstable();
        (shelf, gone)
    }

    /// A keyed request that may have run goes, and is read anew, only where its repeats are dropped.
    pub(super) fn may_send(&self, job: &ActiveRequest, server: &EngineRecord) -> bool {
        let Idempotency::WithKey { scope: group, .. } = self.effect(job) else { return true };
        let Some(PossibleRun { at, engine: first, .. }) = &job.possible_run else { return true };
        server.entry.started_at.is_none_or(|started| started <= *at)
            && match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == server.entry.zone,
                DeduplicationScope::Cell => first.cell == server.entry.cell,
            }
    }
}
