//! The engines of each stage, and the share of the load that they can serve.

use crate::stage_load::StageLoad;
use crate::view::{Phase, PlannerView};
use slipreel::Role;

/// The share of a stage's engines that load may keep busy before the stage counts as short; no unit. Above it
/// queues grow quickly; a lower limit takes engines from the other stage for spare capacity.
pub(crate) const MAX_UTILIZATION: f64 = 0.9;
/// A change has to gain this many times its cost; no unit. It is more than 1, as the duration of an imbalance
/// is an estimate.
pub(crate) const MIN_GAIN_PER_COST: f64 = 1.5;

/// The number of engines of each stage.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StageCapacity {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl StageCapacity {
    /// Counts the engines that are not leaving, each in its role or the one that it is changing to; a mixed
    /// engine counts half for each stage.
    pub(crate) fn of(view: &PlannerView) -> StageCapacity {
        let mut capacity = StageCapacity::default();
        for engine in view.engines.iter().filter(|engine| engine.phase != Phase::Leaving) {
            let role = if let Phase::Changing(to) = engine.phase { to } else { engine.role };
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

    /// The share of the requests that can be served, limited by the weaker stage; from 0 to 1.
    pub(crate) fn served_share(self, load: StageLoad) -> f64 {
        let stage_share = |engines: f64, load: f64| {
            if load > 0.0 {
                MAX_UTILIZATION * engines.max(0.0) / load
            } else {
                1.0
            }
        };
        stage_share(self.prefill, load.prefill).min(stage_share(self.decode, load.decode)).min(1.0)
    }

    /// The capacity once `departed` engines have left the other role to change to `to`, and `working` of them
    /// work in the new role.
    pub(crate) fn with_moved(self, to: Role, departed: f64, working: f64) -> StageCapacity {
        match to {
            Role::Prefill => {
                StageCapacity { prefill: self.prefill + working, decode: self.decode - departed }
            }
            _ => StageCapacity { prefill: self.prefill - departed, decode: self.decode + working },
        }
    }

    /// The stage at which one more engine, taken from the other stage, would raise the share that can be
    /// served.
    pub(crate) fn short_stage(self, load: StageLoad) -> Option<Role> {
        let served_share = self.served_share(load);
        [Role::Prefill, Role::Decode]
            .into_iter()
            .find(|&to| self.with_moved(to, 1.0, 1.0).served_share(load) > served_share)
    }
}
