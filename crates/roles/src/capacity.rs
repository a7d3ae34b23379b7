//! The engines of each stage, and the share of the load that they can serve.

use crate::stage_load::StageLoad;
use crate::view::{Phase, PlannerView};
use slipreel::Role;

/// The share of a stage's engines that load may keep busy before the stage counts as short; no unit. Above it queues grow
/// quickly; a lower one takes engines from the other stage for spare capacity.
pub(crate) const MAX_UTILIZATION: f64 = 0.9;
/// A change has to gain this many times its cost; no unit. More than 1, as the duration of an imbalance is an estimate.
pub(crate) const MIN_GAIN_PER_COST: f64 = 1.5;

/// The number of engines of each stage.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StageCapacity {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl StageCapacity {
    /// The engines that do not leave, each in the role that it has or changes to; a mixed engine counts half for each.
    pub(crate) fn of(view: &PlannerView) -> StageCapacity {
        let mut capacity = StageCapacity::default();
        for e in view.engines.iter().filter(|e| e.phase != Phase::Leaving) {
            let role = if let Phase::Changing(to) = e.phase { to } else { e.role };
            match role {
                Role::Prefill => capacity.prefill += 1.0,
                Role::Decode => capacity.decode += 1.0,
                Role::Mixed => {
                    capacity.prefill += 0.5;
                    capacity.decode += 0.5;
                }
            }
        }
        capacity
    }

    /// The share of the requests that the weaker stage can serve; from 0 to 1.
    pub(crate) fn served_share(self, load: StageLoad) -> f64 {
        let can = |engines: f64, work: f64| {
            if work > 0.0 {
                MAX_UTILIZATION * engines.max(0.0) / work
            } else {
                1.0
            }
        };
        can(self.prefill, load.prefill).min(can(self.decode, load.decode)).min(1.0)
    }

    /// The capacity once `gone` engines have left the other role for `to`, and `there` of them work in it.
    pub(crate) fn with_moved(self, to: Role, gone: f64, there: f64) -> StageCapacity {
        match to {
            Role::Prefill => StageCapacity { prefill: self.prefill + there, decode: self.decode - gone },
            _ => StageCapacity { prefill: self.prefill - gone, decode: self.decode + there },
        }
    }

    /// The stage that an engine from the other one would help, if there is one.
    pub(crate) fn short_stage(self, load: StageLoad) -> Option<Role> {
        let served_share = self.served_share(load);
        [Role::Prefill, Role::Decode]
            .into_iter()
            .find(|&to| self.with_moved(to, 1.0, 1.0).served_share(load) > served_share)
    }
}
