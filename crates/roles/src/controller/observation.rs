//! What the controller has observed of each engine, and the planner's view that it builds from that.

use super::RoleController;
use crate::stage_load::StageLoad;
use crate::view::{EngineView, Phase, PlannerView};
use serde_json::Value;
use slipreel::Role;
use slipreel_protocol::engine::Load;
use std::time::Duration;

/// The prompt tokens that an engine is assumed to have in its cache when its memory is full. Engines do not
/// report them.
pub const CACHED_TOKENS_AT_FULL_MEMORY: f64 = 50_000.0;
/// The maximum load that an engine is assumed to have, in fully busy engines. The length of its queue shows
/// that it is overloaded, but not by how much.
const MAX_BUSY: f64 = 1.25;
/// An engine is assumed to have had the role in which it was first seen for this many times the slow start.
const ASSUMED_ROLE_AGE_IN_SLOW_STARTS: u32 = 4;

/// The number of requests that keep an engine fully busy, by its role. Operators configure it, as engines do
/// not report it.
#[derive(Clone, Copy, Debug)]
pub struct FullLoadRequests {
    /// In prefill.
    pub prefill: f64,
    /// In decode.
    pub decode: f64,
}

/// What an engine answers to `GET /role`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReportedRole {
    role: Role,
    epoch: u64,
    /// Whether it takes new work; otherwise it is changing to the other role.
    serving: bool,
}

impl ReportedRole {
    /// Decodes the body of an answer; `None` if it is malformed.
    pub(super) fn decode(body: &[u8]) -> Option<ReportedRole> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let role = match value["role"].as_str()? {
            "read" => Role::Prefill,
            "write" => Role::Decode,
            "both" => Role::Mixed,
            _ => return None,
        };
        let epoch = value["epoch"].as_u64()?;
        let serving = value["serving"].as_bool()?;
        Some(ReportedRole { role, epoch, serving })
    }
}

/// An epoch of an engine's role, and the time since which the engine is assumed to have it.
#[derive(Clone, Copy)]
struct ObservedEpoch {
    epoch: u64,
    since: Duration,
}

/// The state of one engine, as observed.
#[derive(Default)]
pub(super) struct EngineObservation {
    /// Its load, once it has answered in this round of polls.
    pub(super) load: Option<Load>,
    /// Its role, once it has answered in this round of polls.
    pub(super) role: Option<ReportedRole>,
    epoch: Option<ObservedEpoch>,
    first_seen: Option<Duration>,
}

impl EngineObservation {
    /// Drops the answers of the last round of polls.
    pub(super) fn begin_round(&mut self) {
        self.load = None;
        self.role = None;
    }

    /// Records the epoch of the engine's role, and returns when the engine is assumed to have taken it. The
    /// epoch in which an engine is first seen may be old; a later one dates from its first observation.
    fn observe_epoch(&mut self, now: Duration, epoch: u64, slow_start: Duration) -> Duration {
        let first_seen = *self.first_seen.get_or_insert(now);
        let since = match self.epoch {
            Some(known) if known.epoch == epoch => known.since,
            Some(_) => now,
            None => first_seen.saturating_sub(slow_start * ASSUMED_ROLE_AGE_IN_SLOW_STARTS),
        };
        self.epoch = Some(ObservedEpoch { epoch, since });
        since
    }
}

impl RoleController {
    /// The view of the engines that have answered, with the load that they have in progress.
    pub(super) fn view(&mut self, now: Duration) -> PlannerView {
        let mut engines = Vec::new();
        let mut load_in_progress = StageLoad::default();
        let slow_start = self.config.costs.slow_start;
        for (watched, observation) in self.engines.iter().zip(&mut self.observations) {
            let (Some(load), Some(reported)) = (observation.load, observation.role) else { continue };
            let (stage_load, full_load_requests, other_role) = match reported.role {
                Role::Prefill => {
                    (&mut load_in_progress.prefill, self.config.full_load_requests.prefill, Role::Decode)
                }
                _ => (&mut load_in_progress.decode, self.config.full_load_requests.decode, Role::Prefill),
            };
            let requests = load.running.unwrap_or(0.0) + load.waiting.unwrap_or(0.0);
            let busy = (requests / full_load_requests.max(1.0)).min(MAX_BUSY);
            *stage_load += busy;
            let since = observation.observe_epoch(now, reported.epoch, slow_start);
            let phase = match reported.serving {
                false => Phase::Changing(other_role),
                true if now < since + slow_start => Phase::Warming,
                true => Phase::Serving,
            };
            engines.push(EngineView {
                id: watched.id,
                role: reported.role,
                epoch: reported.epoch,
                cell: watched.cell,
                zone: watched.zone,
                phase,
                since,
                busy,
                cached_tokens: load.memory.unwrap_or(0.0) * CACHED_TOKENS_AT_FULL_MEMORY,
            });
        }
        PlannerView { now, engines, load: load_in_progress }
    }
}
