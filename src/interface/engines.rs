//! The endpoint list and the load reports of engines.

use super::{CellId, EngineId, KindId, ZoneId};
use std::time::Duration;

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes the work it has.
    Draining,
    /// It has left the list.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Identifies the engine.
    pub id: EngineId,
    /// Whether it takes new work.
    pub state: EngineState,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When it last started; `None` if long ago or unknown.
    pub started_at: Option<Duration>,
}

/// How to interpret an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It holds changed entries only.
    Changes,
    /// It holds all entries; engines that are absent have left.
    Complete,
    /// It holds all entries from a cache that may be out of date.
    Cached,
    /// The request for it failed; the list stays as it is.
    Failed,
}

/// Load that an engine reports. Figures that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress, waiting ones included.
    pub in_flight: Option<f64>,
    /// Requests that are queued.
    pub queued: Option<f64>,
    /// Share of its slots in use.
    pub slot_share: Option<f64>,
    /// Share of its memory in use.
    pub memory_share: Option<f64>,
    /// Prompt tokens that wait to be prefilled or fetched.
    pub waiting_tokens: Option<f64>,
}
