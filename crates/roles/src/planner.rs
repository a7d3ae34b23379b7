//! The planner: turns views into role changes whose gain outweighs their cost.
//!
//! A request needs both stages, so the weaker stage limits the share of requests that can be served: one more
//! engine at the other stage serves no further request. Gains and costs are in seconds of full service: 2 is
//! what the whole fleet serves in two seconds when it serves all requests.

mod evaluation;
mod selection;

use crate::capacity::{StageCapacity, MIN_GAIN_PER_COST};
use crate::config::{ChangeCosts, PlannerLimits, PlanningPolicy};
use crate::integer_program;
use crate::load_history::LoadHistory;
use crate::plan::RolePlan;
use crate::stage_load::{ExpectedLoad, StageLoad};
use crate::view::{EngineView, Phase, PlannerView};
use slipreel::Role;
use std::time::Duration;

/// The planner ignores imbalances younger than this, which is the time of a few samples.
const MIN_IMBALANCE_AGE: Duration = Duration::from_secs(3);
/// Under periodic load, a change is compared with the same change postponed by this time.
const POSTPONEMENT: Duration = Duration::from_secs(1);
/// How far the forecast looks ahead: about as long as a change takes.
const FORECAST_HORIZON: Duration = Duration::from_secs(10);

/// Plans changes from views, which it takes in order of time.
#[derive(Clone, Debug)]
pub struct Planner {
    limits: PlannerLimits,
    costs: ChangeCosts,
    policy: PlanningPolicy,
    history: LoadHistory,
}

impl Planner {
    /// A planner without any history.
    pub fn new(limits: PlannerLimits, costs: ChangeCosts, policy: PlanningPolicy) -> Self {
        Planner { limits, costs, policy, history: LoadHistory::default() }
    }

    /// Freezes changes, or allows them again.
    pub fn freeze(&mut self, frozen: bool) {
        self.limits.frozen = frozen;
    }

    /// Adds a view to the history, and plans the changes to begin now.
    pub fn plan(&mut self, view: &PlannerView) -> RolePlan {
        self.history.add_sample(view.now, view.load);
        let capacity = StageCapacity::of(view);
        let load = match self.policy {
            PlanningPolicy::Forecast => self.history.forecast(FORECAST_HORIZON),
            _ => self.history.mean(),
        };
        let short_stage = capacity.short_stage(load);
        self.history.record_short_stage(view.now, short_stage);
        if self.limits.frozen {
            return RolePlan::without_changes("changes are frozen");
        }
        let max_changes = self.max_new_changes(view);
        if let Some(expected) = self.history.periodic_forecast(view.now) {
            return match max_changes {
                0 => RolePlan::without_changes("as many changes are under way as may be"),
                _ => self.plan_for_periodic_load(view, capacity, &expected, max_changes),
            };
        }
        if short_stage.is_none() {
            return RolePlan::without_changes("no change would serve more");
        }
        if self.history.imbalance_age(view.now) < MIN_IMBALANCE_AGE {
            return RolePlan::without_changes("the imbalance is too young");
        }
        if max_changes == 0 {
            return RolePlan::without_changes("as many changes are under way as may be");
        }
        self.plan_for_imbalance(view, capacity, load, max_changes)
    }

    /// The number of changes that may begin now.
    fn max_new_changes(&self, view: &PlannerView) -> usize {
        let in_progress = view.engines.iter().filter(|engine| matches!(engine.phase, Phase::Changing(_)));
        self.limits.max_concurrent_changes.saturating_sub(in_progress.count())
    }

    /// Plans for the present imbalance or, if no change pays within its duration, for the mean over many
    /// swings.
    fn plan_for_imbalance(
        &self, view: &PlannerView, capacity: StageCapacity, load: StageLoad, max_changes: usize,
    ) -> RolePlan {
        let duration = self.history.expected_remaining(view.now);
        let plan = self.plan_for_load(view, capacity, ExpectedLoad { load, duration }, max_changes);
        let Some(long_term) = self.history.long_term().filter(|_| plan.changes.is_empty()) else {
            return plan;
        };
        // A change that does not pay within one swing may pay over many: the capacity then follows their
        // mean.
        let long_term_plan = self.plan_for_load(view, capacity, long_term, max_changes);
        // Changes against the present swing are not made: they would be undone, and then made again.
        let is_against_swing =
            |to: Role| capacity.with_moved(to, 1.0, 1.0).served_share(load) < capacity.served_share(load);
        match long_term_plan.changes.first() {
            Some(change) if !is_against_swing(change.to) => long_term_plan,
            _ => plan,
        }
    }

    /// Plans for a load that is expected to last for a given time.
    fn plan_for_load(
        &self, view: &PlannerView, capacity: StageCapacity, expected: ExpectedLoad, max_changes: usize,
    ) -> RolePlan {
        let ExpectedLoad { load, duration } = expected;
        let Some(to) = capacity.short_stage(load) else {
            return RolePlan::without_changes("no change would serve more");
        };
        let candidates = self.candidates(view, to, load, capacity);
        if candidates.is_empty() {
            return RolePlan::without_changes(
                "no engine may change: limits of cells, zones or time in a role",
            );
        }
        let preferred = match self.policy {
            PlanningPolicy::Program => {
                let costs: Vec<f64> =
                    candidates.iter().map(|engine| self.cost(engine, load, capacity)).collect();
                let change_time = self.costs.drain + self.costs.slow_start_loss();
                let seconds = duration.saturating_sub(change_time).as_secs_f64();
                let positions = integer_program::choose(&costs, capacity, load, to, seconds, max_changes);
                positions.into_iter().map(|position| candidates[position]).collect()
            }
            _ => candidates,
        };
        let chosen = self.within_limits(view, preferred, max_changes);
        self.evaluate(&chosen, capacity, &[expected], to).plan
    }

    /// Plans for a load that swings periodically, so that it can be predicted: the changes with the greatest
    /// net gain until the end of the next swing, begun once postponing them by [`POSTPONEMENT`] would gain
    /// less.
    fn plan_for_periodic_load(
        &self, view: &PlannerView, capacity: StageCapacity, expected: &[ExpectedLoad], max_changes: usize,
    ) -> RolePlan {
        let mut best = RolePlan::without_changes("no change pays before the mix swings back");
        let mut best_net_gain = 0.0;
        let load = expected[0].load;
        for to in [Role::Prefill, Role::Decode] {
            // Changes that help in the present swing are undone before the next one; others are made for the
            // next.
            let helps = capacity.with_moved(to, 1.0, 1.0).served_share(load) > capacity.served_share(load);
            let expected = if helps { &expected[..1] } else { expected };
            let candidates = self.candidates(view, to, load, capacity);
            let chosen = self.within_limits(view, candidates, max_changes);
            let evaluated = self.evaluate(&chosen, capacity, expected, to);
            if evaluated.net_gain <= best_net_gain {
                continue;
            }
            let count = evaluated.plan.changes.len();
            let postponed = self.service_over_time(capacity, expected, to, count as f64, POSTPONEMENT);
            let postponed_cost = postponed.cost + self.total_cost(&chosen[..count], load, capacity);
            if evaluated.net_gain >= postponed.gain - MIN_GAIN_PER_COST * postponed_cost {
                best_net_gain = evaluated.net_gain;
                best = evaluated.plan;
            } else {
                best.reason = "it is too early for the next swing of the mix".into();
            }
        }
        best
    }

    fn total_cost(&self, engines: &[&EngineView], load: StageLoad, capacity: StageCapacity) -> f64 {
        engines.iter().map(|engine| self.cost(engine, load, capacity)).sum()
    }
}
