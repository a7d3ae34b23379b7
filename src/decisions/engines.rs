//! What a router keeps for each engine and for each role of engines, and the endpoint list that names the
//! engines.
//!
//! Decides when what was learnt of an engine is void: when the list gives another start or another role. May
//! read the list alone.

use super::probes::RECENT_NEWS_AGE;
use super::release::RETRY_AFTER;
use super::router::Router;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::interface::{Action, Engine, EngineId, EngineState, Listing, LoadReport, RequestId, Role};
use std::collections::BTreeSet;
use std::time::Duration;

/// Pace assumed before any was measured, seconds a token: that of a slow prefill engine.
pub(super) const INITIAL_PACE: f64 = 0.000_3;
/// Least weight of a sample in a mean; no unit. A mean is over about the last seventeen samples.
pub(super) const MIN_SAMPLE_WEIGHT: f64 = 0.06;

#[derive(Clone, Default)]
pub(super) struct EngineRecord {
    pub(super) entry: Engine,
    pub(super) role: Role,
    pub(super) report: Option<(Duration, LoadReport)>,
    /// Own prompt tokens sent since the report and still waiting.
    pub(super) tokens_sent_since_report: f64,
    /// Tokens of this router's attempts in flight.
    pub(super) tokens_in_flight: f64,
    /// This router's attempts in flight.
    pub(super) in_flight: f64,
    /// Those of them whose answer has not begun.
    pub(super) attempts_waiting: f64,
    /// When it last answered an attempt or a probe, was listed, or came back from an ejection.
    pub(super) last_heard: Duration,
    /// Until when it is ejected, as it could not be connected to.
    pub(super) ejected: Option<Duration>,
    /// When it was last reached again after it could not be.
    pub(super) returned: Option<Duration>,
    pub(super) doublings: u32,
    /// Its own mean pace, seconds a token; 0 until it is known.
    pub(super) pace: f64,
    /// For each class: until when the engine is passed over, as it rejected an attempt or failed one.
    pub(super) passed_over_until: Vec<Duration>,
    /// Prompt tokens that may be sent to it while it warms up: any level above 0 lets one prompt through.
    pub(super) slow_start_budget: TokenBucket,
    pub(super) probing: bool,
    /// The requests that wait for its answer to a probe.
    pub(super) requests_awaiting_probe: Vec<RequestId>,
}

impl EngineRecord {
    /// An engine of which nothing is known but its entry in the endpoint list.
    pub(super) fn new(now: Duration, entry: Engine, role: Role) -> Self {
        let slow_start_budget = TokenBucket { level: 1.0, updated_at: now };
        EngineRecord { entry, role, last_heard: now, slow_start_budget, ..EngineRecord::default() }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Whether its last load report is recent or, where it reports none, its last answer.
    pub(super) fn has_recent_news(&self, now: Duration) -> bool {
        now.saturating_sub(self.report.as_ref().map_or(self.last_heard, |(at, _)| *at)) < RECENT_NEWS_AGE
    }

    /// Whether it is passed over for any class.
    pub(super) fn is_passed_over(&self, now: Duration) -> bool {
        self.passed_over_until.iter().any(|&until| now < until)
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    pub(super) fn warming_up_since(&self, now: Duration) -> Option<Duration> {
        self.is_ejected().then_some(now).or(self.entry.started_at.max(self.returned))
    }

    /// The prompt tokens left of its slow start at this rate, at most what lets one prompt through.
    pub(super) fn slow_start_level(&self, now: Duration, rate: f64) -> f64 {
        self.slow_start_budget.level_at(now, rate, 1.0)
    }
}

/// Means over the engines of one role, as this router sees them.
#[derive(Clone, Copy, Default)]
pub(super) struct Means {
    /// Latency by length, and its mean deviation, seconds a token.
    pub(super) pace: f64,
    pub(super) deviation: f64,
    /// Time that attempts wait, and that they take as a whole, seconds.
    pub(super) waiting_time: f64,
    pub(super) attempt_duration: f64,
    /// Prompt tokens a second that this router sends to engines that are not warming up.
    pub(super) send_rate: f64,
    pub(super) send_rate_updated_at: Duration,
    /// Mean of the send rate for each such engine, tokens a second; it outlives outages.
    pub(super) sustained_load: f64,
}

impl Router {
    /// Takes the complete endpoint list, or changes of it.
    pub(super) fn on_list(
        &mut self, now: Duration, listing: Listing, engines: Vec<Engine>, actions: &mut Vec<Action>,
    ) {
        if listing == Listing::Failed {
            if self.settings.requests_engine_list {
                let wait = RETRY_AFTER.mul_f64(0.5 + self.sample_probability());
                self.set_timer(Timer::EndpointList, wait, actions);
            }
            return;
        }
        // A router starts with the list that it cached last.
        if listing == Listing::Cached && self.settings.requests_engine_list {
            actions.push(Action::WatchEngines(true));
        }
        if listing != Listing::Changes {
            let named: BTreeSet<EngineId> = engines.iter().map(|e| e.id).collect();
            let before = self.engines.len();
            self.engines.retain(|id, _| named.contains(id));
            self.engine_index.note_list_change(self.engines.len() != before);
        }
        for entry in engines {
            self.update_engine(now, entry);
        }
    }

    /// Takes one entry of the endpoint list.
    fn update_engine(&mut self, now: Duration, entry: Engine) {
        if entry.state == EngineState::Gone {
            self.engine_index.note_list_change(self.engines.remove(&entry.id).is_some());
            return;
        }
        let Some(&role) = self.settings.kind_roles.get(entry.kind.0) else { return };
        let fresh = || EngineRecord::new(now, entry.clone(), role);
        let place = |record: &EngineRecord| {
            (record.role as usize, record.entry.state, record.entry.zone, record.entry.cell)
        };
        let before = self.engines.get(&entry.id).map(place);
        let record = self.engines.entry(entry.id).or_insert_with(fresh);
        if (record.entry.started_at, record.role) != (entry.started_at, role) {
            // A restart: what was known of the engine is void, and the attempts in flight are not.
            let EngineRecord { tokens_in_flight, in_flight, attempts_waiting, .. } = *record;
            *record = EngineRecord { tokens_in_flight, in_flight, attempts_waiting, ..fresh() };
        }
        self.engine_index.mark_changed(entry.id);
        record.entry = entry;
        self.engine_index.note_list_change(before != Some(place(record)));
    }
}
