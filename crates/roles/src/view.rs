//! The planner's input: the engines and the load at one time.

use crate::stage_load::StageLoad;
use slipreel::{CellId, EngineId, Role, ZoneId};
use std::time::Duration;

/// The state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves at full speed.
    Serving,
    /// It serves and is in slow start.
    Warming,
    /// It is changing to this role. The planner counts it for the new role already, as no other engine could
    /// take that role sooner.
    Changing(Role),
    /// It drains and leaves the fleet.
    Leaving,
}

/// One engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Its id.
    pub id: EngineId,
    /// Its role.
    pub role: Role,
    /// The epoch of its role.
    pub epoch: u64,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub phase: Phase,
    /// When it took its role.
    pub since: Duration,
    /// Its utilization by its last report; 1 is fully busy.
    pub busy: f64,
    /// Prompt tokens in its cache, which would have to be processed again after a change.
    pub cached_tokens: f64,
}

/// The planner's input at one time.
#[derive(Clone, Debug)]
pub struct PlannerView {
    /// The time of the view.
    pub now: Duration,
    /// The engines.
    pub engines: Vec<EngineView>,
    /// The load that clients request.
    pub load: StageLoad,
}

impl EngineView {
    /// Whether the endpoint list shows routers that it takes new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Warming)
    }
}
