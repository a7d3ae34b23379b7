//! The state of each engine and of each role, and updates of the endpoint list.
//!
//! Decides when to discard what was learnt about an engine: when the list shows that it has restarted or has
//! another role. Reads the endpoint list only.

use super::probes::STALE_AFTER;
use super::release::RETRY_AFTER;
use super::router::Router;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::interface::{Action, Engine, EngineId, EngineState, Listing, LoadReport, RequestId, Role};
use std::collections::BTreeSet;
use std::time::Duration;

/// Pace assumed before the first sample, seconds per token: that of a slow prefill engine.
pub(super) const INITIAL_PACE: f64 = 0.000_3;
/// Minimum weight of a sample in a mean; no unit. A mean covers about the last seventeen samples.
pub(super) const MIN_SAMPLE_WEIGHT: f64 = 0.06;

/// What this router knows of one engine.
#[derive(Clone, Default)]
pub(super) struct EngineRecord {
    pub(super) entry: Engine,
    pub(super) role: Role,
    /// The last load report, and when it arrived.
    pub(super) report: Option<(Duration, LoadReport)>,
    /// Prompt tokens that this router has sent since the report and that still wait for an answer.
    pub(super) tokens_sent_since_report: f64,
    /// Tokens of this router's attempts in flight.
    pub(super) tokens_in_flight: f64,
    /// This router's attempts in flight.
    pub(super) in_flight: f64,
    /// Those of the attempts in flight whose answer has not begun.
    pub(super) attempts_waiting: f64,
    /// When it last answered an attempt or a probe, was added to the list, or came back from an ejection.
    pub(super) last_contact: Duration,
    /// Until when it is ejected because no connection could be established; `None` if it is not ejected.
    pub(super) ejected_until: Option<Duration>,
    /// When it last became reachable again after an ejection.
    pub(super) reachable_since: Option<Duration>,
    /// How often the time of its next ejection is doubled.
    pub(super) ejection_doublings: u32,
    /// Its own mean pace, seconds per token; 0 until it is known.
    pub(super) pace: f64,
    /// For each class: until when the engine is passed over because it rejected an attempt or failed.
    pub(super) passed_over_until: Vec<Duration>,
    /// Prompt tokens that may be sent to it while it warms up. Any level above 0 lets one prompt pass.
    pub(super) slow_start_budget: TokenBucket,
    pub(super) probe_in_flight: bool,
    /// The requests that wait for its answer to a probe.
    pub(super) requests_awaiting_probe: Vec<RequestId>,
}

impl EngineRecord {
    /// The record of an engine of which only the entry in the endpoint list is known.
    pub(super) fn new(now: Duration, entry: Engine, role: Role) -> Self {
        let slow_start_budget = TokenBucket { level: 1.0, updated_at: now };
        EngineRecord { entry, role, last_contact: now, slow_start_budget, ..EngineRecord::default() }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Whether its last load report is recent; if it has sent none, whether its last answer is.
    pub(super) fn has_fresh_information(&self, now: Duration) -> bool {
        now.saturating_sub(self.report.as_ref().map_or(self.last_contact, |(at, _)| *at)) < STALE_AFTER
    }

    /// Whether it is passed over for any class.
    pub(super) fn is_passed_over(&self, now: Duration) -> bool {
        self.passed_over_until.iter().any(|&until| now < until)
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// When its warm-up begins: now while it is ejected, else its last start or return, if known.
    pub(super) fn warming_up_since(&self, now: Duration) -> Option<Duration> {
        self.is_ejected().then_some(now).or(self.entry.started_at.max(self.reachable_since))
    }

    /// The level of its slow start budget, which refills at `rate` tokens per second. It is at most 1, which
    /// lets one prompt pass.
    pub(super) fn slow_start_level(&self, now: Duration, rate: f64) -> f64 {
        self.slow_start_budget.level_at(now, rate, 1.0)
    }
}

/// Means over the engines of one role, as this router sees them.
#[derive(Clone, Copy, Default)]
pub(super) struct Means {
    /// Latency by prompt length, seconds per token.
    pub(super) pace: f64,
    /// Mean deviation of the pace, seconds per token.
    pub(super) deviation: f64,
    /// Time until the answer to an attempt begins, seconds.
    pub(super) waiting_time: f64,
    /// Time until an attempt ends, seconds.
    pub(super) attempt_duration: f64,
    /// Prompt tokens per second that this router sends to engines that are not warming up.
    pub(super) send_rate: f64,
    pub(super) send_rate_updated_at: Duration,
    /// Mean send rate per such engine, tokens per second. It is kept through outages.
    pub(super) sustained_load: f64,
}

impl Router {
    /// Applies a complete endpoint list, or changes of it.
    pub(super) fn on_endpoint_list(
        &mut self, now: Duration, listing: Listing, engines: Vec<Engine>, actions: &mut Vec<Action>,
    ) {
        if listing == Listing::Failed {
            if self.settings.requests_engine_list {
                let wait = RETRY_AFTER.mul_f64(0.5 + self.sample_probability());
                self.set_timer(Timer::EndpointList, wait, actions);
            }
            return;
        }
        // A router starts with a cached list and subscribes to updates.
        if listing == Listing::Cached && self.settings.requests_engine_list {
            actions.push(Action::WatchEngines(true));
        }
        if listing != Listing::Changes {
            let listed: BTreeSet<EngineId> = engines.iter().map(|e| e.id).collect();
            let before = self.engines.len();
            self.engines.retain(|id, _| listed.contains(id));
            self.engine_index.note_list_change(self.engines.len() != before);
        }
        for entry in engines {
            self.update_engine(now, entry);
        }
    }

    /// Applies one entry of the endpoint list.
    fn update_engine(&mut self, now: Duration, entry: Engine) {
        if entry.state == EngineState::Gone {
            self.engine_index.note_list_change(self.engines.remove(&entry.id).is_some());
            return;
        }
        let Some(&role) = self.settings.kind_roles.get(entry.kind.0) else { return };
        let new_record = || EngineRecord::new(now, entry.clone(), role);
        let indexed_fields = |record: &EngineRecord| {
            (record.role as usize, record.entry.state, record.entry.zone, record.entry.cell)
        };
        let before = self.engines.get(&entry.id).map(indexed_fields);
        let record = self.engines.entry(entry.id).or_insert_with(new_record);
        if (record.entry.started_at, record.role) != (entry.started_at, role) {
            // After a restart or a change of role, all that was learnt of the engine is discarded, except for
            // the attempts in flight.
            let EngineRecord { tokens_in_flight, in_flight, attempts_waiting, .. } = *record;
            *record = EngineRecord { tokens_in_flight, in_flight, attempts_waiting, ..new_record() };
        }
        self.engine_index.mark_changed(entry.id);
        record.entry = entry;
        self.engine_index.note_list_change(before != Some(indexed_fields(record)));
    }
}
