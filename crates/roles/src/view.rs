//! What the planner sees: the engines and the load at one moment.

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
    /// It changes to this role, and counts for it already: it will have it before another engine could.
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
    /// The share of it that is busy, by its last report; no unit.
    pub busy: f64,
    /// Prompt tokens in its cache, which would have to be processed again after a change.
    pub cached_tokens: f64,
}

/// All that the planner sees at one moment.
#[derive(Clone, Debug)]
pub struct PlannerView {
    /// The moment.
    pub now: Duration,
    /// The engines.
    pub engines: Vec<EngineView>,
    /// The load that arrives.
    pub load: StageLoad,
}

impl EngineView {
    /// Whether the endpoint list shows it to routers as taking new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Warming)
    }
}
