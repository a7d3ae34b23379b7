//! Selects the engines that may change, and computes the cost of changing each one.

use super::{Planner, MIN_IMBALANCE_AGE};
use crate::capacity::StageCapacity;
use crate::stage_load::StageLoad;
use crate::view::{EngineView, Phase, PlannerView};
use slipreel::Role;

/// The assumed probability that a change has to be undone, as long as imbalances are not known to recur.
const UNDO_PROBABILITY: f64 = 0.5;

impl Planner {
    /// The engines that may take the role, the cheapest first.
    pub(super) fn candidates<'a>(
        &self, view: &'a PlannerView, to: Role, load: StageLoad, capacity: StageCapacity,
    ) -> Vec<&'a EngineView> {
        let from = if to == Role::Prefill { Role::Decode } else { Role::Prefill };
        let may_change = |engine: &&EngineView| {
            engine.role == from
                && engine.phase == Phase::Serving
                && view.now.saturating_sub(engine.since) >= self.limits.min_time_in_role
                && self.may_leave_role(view, engine, &[])
        };
        let mut candidates: Vec<&EngineView> = view.engines.iter().filter(may_change).collect();
        let cost = |engine: &EngineView| self.cost(engine, load, capacity);
        candidates.sort_by(|a, b| {
            cost(a).total_cmp(&cost(b)).then(a.busy.total_cmp(&b.busy)).then(a.id.cmp(&b.id))
        });
        candidates
    }

    /// Selects candidates, in order, that may change together; at most `max_changes`.
    pub(super) fn within_limits<'a>(
        &self, view: &PlannerView, candidates: Vec<&'a EngineView>, max_changes: usize,
    ) -> Vec<&'a EngineView> {
        let mut chosen: Vec<&EngineView> = Vec::new();
        for engine in candidates {
            if chosen.len() == max_changes {
                break;
            }
            if self.may_leave_role(view, engine, &chosen) {
                chosen.push(engine);
            }
        }
        chosen
    }

    /// Whether the engine's cell and zone keep enough engines of its role without it and without those chosen
    /// already.
    fn may_leave_role(&self, view: &PlannerView, engine: &EngineView, chosen: &[&EngineView]) -> bool {
        let is_remaining = |other: &&EngineView| {
            other.id != engine.id
                && other.role == engine.role
                && other.takes_work()
                && !chosen.iter().any(|chosen| chosen.id == other.id)
        };
        let remaining = || view.engines.iter().filter(is_remaining);
        let in_cell = remaining().filter(|other| other.cell == engine.cell).count();
        let in_zone = remaining().filter(|other| other.zone == engine.zone).count();
        let min_in_cell = if engine.role == Role::Prefill {
            self.limits.min_prefill_per_cell
        } else {
            self.limits.min_decode_per_cell
        };
        in_cell >= min_in_cell && in_zone >= self.limits.min_per_zone
    }

    /// The cost of changing an engine in addition to the service lost during the change, in seconds of full
    /// service: its cached tokens have to be processed again, and the change may have to be undone. If it is
    /// undone, the engine is missing at its old stage until it is back at full speed, and the cache is lost
    /// twice. Undoing is certain where imbalances recur; otherwise it has [`UNDO_PROBABILITY`].
    pub(super) fn cost(&self, engine: &EngineView, load: StageLoad, capacity: StageCapacity) -> f64 {
        let cache_loss =
            engine.cached_tokens / self.costs.prefill_tokens_per_s.max(1.0) / load.prefill.max(1.0);
        let will_be_undone = self.history.is_recurring()
            || self.history.periodic_forecast(self.history.last_sample()).is_some();
        let undo_probability = if will_be_undone { 1.0 } else { UNDO_PROBABILITY };
        let missing_time = MIN_IMBALANCE_AGE + self.costs.drain + self.costs.slow_start_loss();
        let stage_engines = if engine.role == Role::Prefill { capacity.prefill } else { capacity.decode };
        cache_loss + undo_probability * (cache_loss + missing_time.as_secs_f64() / stage_engines.max(1.0))
    }
}
