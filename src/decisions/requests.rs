//! The state of each active request: its attempts, the state held for it at an engine, its candidates.
//!
//! Makes no decisions. The rules on repeats of a request are in `retries.rs`.

use super::router::Router;
use crate::interface::{Engine, EngineId, Idempotency, Request};
use std::time::Duration;

/// A request that waits for its final answer, or that has it and still has an attempt in flight.
#[derive(Default)]
pub(super) struct ActiveRequest {
    pub(super) request: Request,
    /// When it must have its final answer.
    pub(super) deadline: Duration,
    /// Its deadline once its answer has begun, if the answer is sent to the client only when it is complete.
    pub(super) complete_answer_deadline: Option<Duration>,
    pub(super) attempts: Vec<Attempt>,
    /// The state that a prefill engine holds for it and that no attempt in flight is to fetch.
    pub(super) held: Option<HeldState>,
    /// The first attempt that may have had an effect.
    pub(super) possible_run: Option<PossibleRun>,
    /// Its final answer has been given or has begun to stream, or its client has disconnected.
    pub(super) ended: bool,
    /// Its tenant was over its quota when it came in.
    pub(super) over_quota: bool,
    /// Random number from 0 to 1. A warming engine is a candidate only if its share of work is larger.
    pub(super) sampled_probability: f64,
    /// Until when it waits for a usable engine or for its candidates to answer probes.
    pub(super) waiting_until: Option<Duration>,
    pub(super) candidates: Option<CandidateEngines>,
}

/// One attempt of a request at an engine.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: Duration,
    /// Its work in tokens: the prompt and, unless it is a prefill, the maximum length of the answer.
    pub(super) work_tokens: f64,
    pub(super) is_prefill: bool,
    pub(super) in_flight: bool,
    /// Time from its send to the first token; `None` before that.
    pub(super) first_token_latency: Option<Duration>,
    /// Whether its engine stays a regular candidate for the request rather than being passed over. This is so
    /// where the engine prefilled the prompt or is not at fault.
    pub(super) engine_reusable: bool,
    /// The held state that it is to fetch.
    pub(super) state_to_fetch: Option<HeldState>,
    /// Whether that state was released while it was unanswered. If it had arrived by then, the release spared
    /// the state.
    pub(super) state_released: bool,
}

/// The engines that the next attempt of a request may go to: preferred ones and those of the spill.
pub(super) struct CandidateEngines {
    /// Number of attempts when the candidates were determined; they are valid for the next attempt only.
    pub(super) attempt_count: usize,
    pub(super) found_at: Duration,
    /// Whether the spill has been probed, too.
    pub(super) includes_spill: bool,
    pub(super) preferred: Vec<EngineId>,
    pub(super) spill: Vec<EngineId>,
}

/// State that a prefill engine holds until a decode engine fetches it.
#[derive(Clone, Copy)]
pub(super) struct HeldState {
    pub(super) engine: EngineId,
    /// Since when it has been held without an attempt that was to fetch it.
    pub(super) since: Duration,
}

/// An attempt that may have had an effect.
pub(super) struct PossibleRun {
    pub(super) attempt: usize,
    /// When it was sent.
    pub(super) sent_at: Duration,
    /// Its engine, as it was listed at that time.
    pub(super) engine: Engine,
}

impl Router {
    pub(super) fn idempotency(&self, active: &ActiveRequest) -> Idempotency {
        self.settings.classes[active.request.class.0].idempotency
    }
}
