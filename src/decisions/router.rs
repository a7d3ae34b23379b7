//! The decisions of one router: its whole state, and the dispatch of events to the files that decide.
//!
//! Decides nothing by itself. An event is handled to its end before the next one is taken, and the same
//! events with the same seed give the same actions.

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

/// The decisions of one router.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) engines: BTreeMap<EngineId, EngineRecord>,
    pub(super) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(super) timers: BTreeMap<TimerId, Timer>,
    pub(super) next_timer: u64,
    /// Of each tenant's quota, in requests; this router's share of it.
    pub(super) quotas: Vec<TokenBucket>,
    pub(super) max_priority_weight: f64,
    /// The latency objective whose classes are droppable; `None` where priority weights differ.
    pub(super) loosest_objective: Option<Duration>,
    pub(super) mean_prompt: RunningMean,
    /// Mean share of a prompt that its prefill engine had not cached.
    pub(super) uncached_share: f64,
    pub(super) means: [Means; 3],
    /// Bookkeeping, so that no decision walks all engines.
    pub(super) engine_index: EngineIndex,
}

impl Router {
    /// A router that knows nothing yet but its settings; `seed` determines its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let worths = || settings.classes.iter().map(|c| c.priority_weight);
        let max_priority_weight = worths().fold(0.0, f64::max);
        let equal = worths().all(|w| w >= max_priority_weight);
        let aims = || settings.classes.iter().map(|c| c.latency_objective);
        let loosest_objective = aims().max().filter(|&loose| equal && aims().any(|a| a < loose));
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

    /// Takes one event at `now` and appends what to do about it to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Engines { listing, engines } => self.on_list(now, listing, engines, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::FirstToken { request, attempt, latency } => {
                self.on_first_token(now, (request, attempt), latency, actions);
            }
            Event::AttemptEnded(ended) => self.on_ended(now, ended, actions),
            Event::ClientDisconnected(id) => self.finish_request(id, None, actions),
            Event::TimerFired(timer) => self.on_timer(now, timer, actions),
            Event::ProbeEnded { engine, outcome, report } => {
                self.on_probed(now, engine, outcome, report, actions);
            }
            Event::ReservationAnswered { .. } | Event::PeerMessage { .. } => {}
        }
    }

    pub(super) fn sample_probability(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
