//! What a router keeps for each request in progress: its attempts, the state held for it, its candidates.
//!
//! Decides nothing. The deadlines of a request and the rules on repeats are in `retries.rs`.

use super::router::Router;
use crate::interface::{Engine, EngineId, Idempotency, Request};
use std::time::Duration;

/// A request in progress, or one that has its final answer and an attempt in flight.
#[derive(Default)]
pub(super) struct ActiveRequest {
    pub(super) request: Request,
    pub(super) deadline: Duration,
    /// The deadline from when its answer has begun, where nothing of it is sent on before it is complete.
    pub(super) complete_answer_deadline: Option<Duration>,
    pub(super) attempts: Vec<Attempt>,
    /// The state that a prefill engine holds for it and that no attempt is to take.
    pub(super) held: Option<HeldState>,
    /// The first attempt that may have had an effect.
    pub(super) possible_run: Option<PossibleRun>,
    pub(super) ended: bool,
    /// Its tenant was over its share when it came.
    pub(super) over_quota: bool,
    /// Drawn from 0 to 1: a warming engine that can do no larger share of its work is no candidate.
    pub(super) sampled_probability: f64,
    /// Until when it waits: for a usable engine, or for answers of its candidates to probes.
    pub(super) waiting_until: Option<Duration>,
    pub(super) candidates: Option<CandidateEngines>,
}

/// One attempt of a request at an engine.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent: Duration,
    pub(super) tokens: f64,
    pub(super) read: bool,
    pub(super) in_flight: bool,
    /// Since the send, when the answer began.
    pub(super) begun: Option<Duration>,
    /// It did what was wanted: a read that ended well may be asked for again.
    pub(super) done: bool,
    /// The held state that it was to take.
    pub(super) state: Option<HeldState>,
}

/// The engines between which a request chooses its next step: preferred ones and others.
pub(super) struct CandidateEngines {
    /// Attempts that the request had when these were found: they hold for the next one alone.
    pub(super) attempt_count: usize,
    pub(super) found_at: Duration,
    /// The spill is probed, too.
    pub(super) includes_spill: bool,
    pub(super) preferred: Vec<EngineId>,
    pub(super) spill: Vec<EngineId>,
}

/// State that a prefill engine holds until a decode engine fetches it.
#[derive(Clone, Copy)]
pub(super) struct HeldState {
    pub(super) engine: EngineId,
    /// Since when no attempt has wanted it.
    pub(super) since: Duration,
}

/// An attempt that may have had an effect.
pub(super) struct PossibleRun {
    pub(super) attempt: usize,
    /// When it was sent.
    pub(super) at: Duration,
    /// Its engine, as listed then.
    pub(super) engine: Engine,
}

impl Router {
    pub(super) fn idempotency(&self, active: &ActiveRequest) -> Idempotency {
        self.settings.classes[active.request.class.0].idempotency
    }
}
