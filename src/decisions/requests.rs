//! What a router keeps for each request in progress: its attempts, the state held for it, its candidates.
//!
//! Decides nothing. The deadlines of a request and the rules on repeats are in `retries.rs`.

use super::router::Router;
use crate::interface::{Engine, EngineId, Idempotency, Request};
use std::time::Duration;

#[derive(Default)]
pub(super) struct Job {
    pub(super) request: Request,
    pub(super) deadline: Duration,
    /// The deadline from when its answer has begun, where nothing of it goes out before it is whole.
    pub(super) whole_by: Option<Duration>,
    pub(super) attempts: Vec<Attempt>,
    /// The reader that holds the state, and since when no attempt has wanted it.
    pub(super) held: Option<(EngineId, Duration)>,
    /// The first attempt that may have had an effect: which, when and, as listed then, where.
    pub(super) may_have_run: Option<(usize, Duration, Engine)>,
    pub(super) ended: bool,
    /// Its tenant was over its share when it came.
    pub(super) over_share: bool,
    /// Drawn from 0 to 1: cold engines that let in less than that are none for it.
    pub(super) luck: f64,
    /// Until when it waits: for an engine, or for the answers of those in `choice`.
    pub(super) parked: Option<Duration>,
    pub(super) choice: Option<Choice>,
}

pub(super) struct Attempt {
    pub(super) engine: EngineId,
    pub(super) sent: Duration,
    pub(super) tokens: f64,
    pub(super) read: bool,
    pub(super) out: bool,
    /// Since the send, when the answer began.
    pub(super) begun: Option<Duration>,
    /// It did what was wanted: a read that ended well may be asked for again.
    pub(super) done: bool,
    /// The state that it was to take: whose, and since when it waited.
    pub(super) state: Option<(EngineId, Duration)>,
}

/// The engines between which a request chooses its next step: preferred ones and others.
pub(super) struct Choice {
    pub(super) step: usize,
    pub(super) asked: Duration,
    /// Those far are asked, too.
    pub(super) wide: bool,
    pub(super) near: Vec<EngineId>,
    pub(super) far: Vec<EngineId>,
}

impl Router {
    pub(super) fn effect(&self, job: &Job) -> Idempotency {
        self.settings.classes[job.request.class.0].idempotency
    }
}
