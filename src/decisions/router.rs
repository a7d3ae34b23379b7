//! The state of one router, and the dispatch of events to the files that make the decisions.
//!
//! Makes no decisions itself. Each event is handled completely before the next one, and the same events with
//! the same seed give the same actions.

use super::admission::{INITIAL_PROMPT_TOKENS, QUOTA_DEPTH};
use super::engines::{EngineRecord, Means, INITIAL_PACE};
use super::requests::ActiveRequest;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::engine_index::{EngineIndex, RunningMean};
use crate::interface::{Action, EngineId, Event, RequestId, Settings, TimerId};
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;
use std::time::Duration;

/// A router: it takes events and returns actions, without I/O or a clock of its own.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) engines: BTreeMap<EngineId, EngineRecord>,
    pub(super) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(super) timers: BTreeMap<TimerId, Timer>,
    pub(super) next_timer: u64,
    /// For each tenant, a bucket of requests that refills at this router's share of the quota.
    pub(super) quotas: Vec<TokenBucket>,
    pub(super) max_priority_weight: f64,
    /// The loosest latency objective, whose classes are droppable. `None` if priority weights differ or if
    /// all objectives are equal.
    pub(super) loosest_objective: Option<Duration>,
    pub(super) mean_prompt: RunningMean,
    /// Mean share of a prompt that the prefill engine has not cached.
    pub(super) uncached_share: f64,
    /// Means for each role.
    pub(super) means: [Means; 3],
    /// An index, so that no decision has to scan all engines.
    pub(super) engine_index: EngineIndex,
}

impl Router {
    /// A router without any engines or requests; `seed` determines its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let weights = || settings.classes.iter().map(|class| class.priority_weight);
        let max_priority_weight = weights().fold(0.0, f64::max);
        let equal = weights().all(|weight| weight >= max_priority_weight);
        let objectives = || settings.classes.iter().map(|class| class.latency_objective);
        let loosest_objective =
            objectives().max().filter(|&loosest| equal && objectives().any(|objective| objective < loosest));
        let quotas = settings
            .tenants
            .iter()
            .map(|_| TokenBucket { level: QUOTA_DEPTH, updated_at: Duration::ZERO })
            .collect();
        Router {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            quotas,
            max_priority_weight,
            loosest_objective,
            mean_prompt: RunningMean::from(INITIAL_PROMPT_TOKENS),
            uncached_share: 1.0,
            means: [Means { pace: INITIAL_PACE, deviation: INITIAL_PACE / 2.0, ..Means::default() }; 3],
            engine_index: EngineIndex::default(),
            settings,
        }
    }

    /// Handles one event at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Engines { listing, engines } => self.on_endpoint_list(now, listing, engines, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::FirstToken { request, attempt, latency } => {
                self.on_first_token(now, (request, attempt), latency, actions);
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, actions),
            Event::ClientDisconnected(id) => self.finish_request(id, None, actions),
            Event::TimerFired(timer) => self.on_timer(now, timer, actions),
            Event::ProbeEnded { engine, outcome, report } => {
                self.on_probe_ended(now, engine, outcome, report, actions);
            }
            Event::ReservationAnswered { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// A random number from 0 to 1.
    pub(super) fn sample_probability(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
