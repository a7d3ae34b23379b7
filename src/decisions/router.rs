//! The decisions of one router: its whole state, and the dispatch of events to the files that decide.
//!
//! Decides nothing by itself. An event is handled to its end before the next one is taken, and the same events with
//! the same seed give the same actions.

use super::admission::{FIRST_PROMPT, QUOTA_DEPTH};
use super::engines::{Means, Server, FIRST_PACE};
use super::requests::Job;
use super::timers::Alarm;
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
    pub(super) servers: BTreeMap<EngineId, Server>,
    pub(super) jobs: BTreeMap<RequestId, Job>,
    pub(super) alarms: BTreeMap<TimerId, Alarm>,
    pub(super) next_timer: u64,
    /// Token bucket of each tenant's quota: its level and when.
    pub(super) quotas: Vec<(f64, Duration)>,
    pub(super) top_worth: f64,
    /// The first-token aim above which equal worths are droppable; `None` where worths differ.
    pub(super) loose_aim: Option<Duration>,
    pub(super) mean_prompt: RunningMean,
    /// Mean part of a prompt that its reader had not kept.
    pub(super) unread: f64,
    pub(super) means: [Means; 3],
    /// Bookkeeping, so that no decision walks all engines.
    pub(super) engine_index: EngineIndex,
}

impl Router {
    /// A router that knows nothing yet but its settings; `seed` settles its chances.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let worths = || settings.classes.iter().map(|c| c.priority_weight);
        let top_worth = worths().fold(0.0, f64::max);
        let equal = worths().all(|w| w >= top_worth);
        let aims = || settings.classes.iter().map(|c| c.latency_objective);
        let loose_aim = aims().max().filter(|&loose| equal && aims().any(|a| a < loose));
        let quotas = settings.tenants.iter().map(|_| (QUOTA_DEPTH, Duration::ZERO)).collect();
        Router {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            servers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            alarms: BTreeMap::new(),
            next_timer: 0,
            quotas,
            top_worth,
            loose_aim,
            mean_prompt: RunningMean::from(FIRST_PROMPT),
            unread: 1.0,
            means: [Means { pace: FIRST_PACE, deviation: FIRST_PACE / 2.0, ..Means::default() }; 3],
            engine_index: EngineIndex::default(),
            settings,
        }
    }

    /// Takes one event at `now` and appends what to do about it to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Engines { listing, engines } => self.on_list(now, listing, engines, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstToken { request, attempt, latency } => {
                self.on_first(now, (request, attempt), latency, out);
            }
            Event::AttemptEnded(ended) => self.on_ended(now, ended, out),
            Event::ClientDisconnected(id) => self.end(id, None, out),
            Event::TimerFired(timer) => self.on_timer(now, timer, out),
            Event::ProbeEnded { engine, outcome, report } => {
                self.on_probed(now, engine, outcome, report, out);
            }
            Event::ReservationAnswered { .. } | Event::PeerMessage { .. } => {}
        }
    }

    pub(super) fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
