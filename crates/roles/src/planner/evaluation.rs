//! Computes the gain and cost of changes over the expected load.

use super::Planner;
use crate::capacity::{StageCapacity, MIN_GAIN_PER_COST};
use crate::plan::{RoleChange, RolePlan};
use crate::stage_load::ExpectedLoad;
use crate::view::EngineView;
use slipreel::Role;
use std::time::Duration;

/// What changes gain and cost, in seconds of full service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Balance {
    pub(super) gain: f64,
    pub(super) cost: f64,
}

impl Balance {
    /// The gain less the cost, which counts [`MIN_GAIN_PER_COST`] times.
    fn net_gain(self) -> f64 {
        self.gain - MIN_GAIN_PER_COST * self.cost
    }
}

/// A plan with its net gain, in seconds of full service.
#[derive(Default)]
pub(super) struct EvaluatedPlan {
    pub(super) plan: RolePlan,
    pub(super) net_gain: f64,
}

/// A phase of changes that are made together.
struct ChangePhase {
    seconds: f64,
    /// Engines that have left their old role.
    departed: f64,
    /// Engines that work in the new role; those in slow start count in part.
    working: f64,
}

/// Changes that are made together.
struct ChangeGroup {
    to: Role,
    balance: Balance,
    served_before: f64,
    served_after: f64,
    /// How long the load that the changes are made for is expected to last.
    expected_duration: Duration,
}

impl ChangeGroup {
    /// The change of each engine, with an equal part of the gain and cost.
    fn changes(&self, engines: &[&EngineView]) -> Vec<RoleChange> {
        let count = engines.len() as f64;
        let change = |engine: &&EngineView| RoleChange {
            engine: engine.id,
            from: engine.role,
            to: self.to,
            replaces: engine.epoch,
            served_before: self.served_before,
            served_after: self.served_after,
            cost: self.balance.cost / count,
            gain: self.balance.gain / count,
            expected_duration: self.expected_duration,
        };
        engines.iter().map(change).collect()
    }
}

impl Planner {
    /// Plans to change the first of the chosen engines, as many as have the greatest net gain together over
    /// the expected loads.
    pub(super) fn evaluate(
        &self, chosen: &[&EngineView], capacity: StageCapacity, expected: &[ExpectedLoad], to: Role,
    ) -> EvaluatedPlan {
        let (Some(first), Some(last)) = (expected.first(), expected.last()) else {
            return EvaluatedPlan::default();
        };
        let balance_of = |count: usize| {
            let service = self.service_over_time(capacity, expected, to, count as f64, Duration::ZERO);
            let cost = service.cost + self.total_cost(&chosen[..count], first.load, capacity);
            Balance { gain: service.gain, cost }
        };
        let mut count = 0;
        let mut net_gain = 0.0;
        for candidate_count in 1..=chosen.len() {
            let candidate_net_gain = balance_of(candidate_count).net_gain();
            if candidate_net_gain > net_gain {
                count = candidate_count;
                net_gain = candidate_net_gain;
            }
        }
        let changed_capacity = capacity.with_moved(to, count as f64, count as f64);
        let group = ChangeGroup {
            to,
            balance: balance_of(count),
            served_before: capacity.served_share(last.load),
            served_after: changed_capacity.served_share(last.load),
            expected_duration: expected.iter().map(|expected| expected.duration).sum(),
        };
        let changes = group.changes(&chosen[..count]);
        let reason = if chosen.is_empty() {
            "no engine may change: limits of cells, zones or time in a role".into()
        } else if count == chosen.len() {
            "as many changes as may be under way".into()
        } else {
            let Balance { gain, cost } = balance_of(count + 1);
            format!("{} changes would gain {gain:.2} and cost {cost:.2} seconds of full service", count + 1)
        };
        EvaluatedPlan { plan: RolePlan { changes, reason }, net_gain }
    }

    /// The service that `count` changes gain and cost over the expected loads if they begin after `delay`:
    /// while the engines drain, while they are in slow start, and once they work at full speed.
    pub(super) fn service_over_time(
        &self, capacity: StageCapacity, expected: &[ExpectedLoad], to: Role, count: f64, delay: Duration,
    ) -> Balance {
        let mut phases = self.change_phases(count, delay).into_iter();
        let mut phase = ChangePhase { seconds: 0.0, departed: 0.0, working: 0.0 };
        let mut balance = Balance::default();
        for ExpectedLoad { load, duration } in expected {
            let served_before = capacity.served_share(*load);
            let mut remaining = duration.as_secs_f64();
            while remaining > 0.0 {
                while phase.seconds <= 0.0 {
                    let changed = ChangePhase { seconds: f64::INFINITY, departed: count, working: count };
                    phase = phases.next().unwrap_or(changed);
                }
                let seconds = remaining.min(phase.seconds);
                remaining -= seconds;
                phase.seconds -= seconds;
                let served = capacity.with_moved(to, phase.departed, phase.working).served_share(*load);
                let difference = (served - served_before) * seconds;
                balance.gain += difference.max(0.0);
                balance.cost += (-difference).max(0.0);
            }
        }
        balance
    }

    /// The phases of `count` changes that begin after `delay`: the delay itself, draining, and slow start.
    fn change_phases(&self, count: f64, delay: Duration) -> [ChangePhase; 3] {
        let mean_slow_start_speed = f64::midpoint(self.costs.slow_start_speed, 1.0);
        let phase = |duration: Duration, departed: f64, working: f64| ChangePhase {
            seconds: duration.as_secs_f64(),
            departed,
            working,
        };
        [
            phase(delay, 0.0, 0.0),
            phase(self.costs.drain, count, 0.0),
            phase(self.costs.slow_start, count, count * mean_slow_start_speed),
        ]
    }
}
