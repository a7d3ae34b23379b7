//! Attempts: the next step of a request, and the sending and timeout of its attempts.
//!
//! Decides whether a request is prefilled, decoded, made to wait or abandoned, and how long an attempt may
//! stay silent. Reads the whole state. See docs/design.md, "The mechanism" and the exception "own time".

use super::admission::MAX_WAIT;
use super::engines::Means;
use super::probes::PROBE_TIMEOUT;
use super::release::HELD_STATE_WAIT_SHARE;
use super::requests::{ActiveRequest, Attempt, CandidateEngines, HeldState, PossibleRun};
use super::router::Router;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::interface::{Action, EngineId, Idempotency, RequestId, Role};
use std::time::Duration;

/// The shortest time that an attempt may stay silent. Longer than the routine pauses of an engine.
const MIN_PATIENCE: Duration = Duration::from_millis(900);
/// How many mean deviations beyond the mean an attempt may take; no unit. As in the retransmission timeout of
/// TCP.
const PATIENCE_DEVIATIONS: f64 = 4.0;
/// Fixed cost of an attempt, tokens; added to the prompt length where latencies are related to it.
pub(super) const FIXED_COST_TOKENS: f64 = 500.0;

impl Router {
    /// Takes the next step of a request that has no attempt in flight: a decode if state is held for it, else
    /// a prefill.
    pub(super) fn advance(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id) else { return };
        if active.ended || active.waiting_until.is_some() || active.attempts.iter().any(|a| a.in_flight) {
            return;
        }
        let attempts_left = self.settings.limits.max_attempts.saturating_sub(active.attempts.len());
        self.refresh_index(now);
        let Some(active) = self.requests.get(&id) else { return };
        if attempts_left == 0 || now >= active.deadline || !self.may_send_again(now, active) {
            return self.abandon(id, actions);
        }
        let (held, is_retry) = (active.held.is_some(), !active.attempts.is_empty());
        if self.awaits_probes(now, id, attempts_left, actions) {
            return;
        }
        let target = self.choose_engine(now, id);
        // State that could not be fetched may still be held at a prefill engine that the decode engine could
        // not reach.
        if !held && is_retry {
            actions.push(Action::Release(id));
        }
        match target {
            Some(engine) => self.send(now, id, engine, actions),
            None if attempts_left < 2 && !held => self.abandon(id, actions),
            None => self.wait_for_engine(now, id, actions),
        }
    }

    /// Whether the request has not run, or may run again by its idempotency. Another attempt with an
    /// idempotency key has to arrive within the window, even if a new connection takes the full connection
    /// timeout.
    fn may_send_again(&self, now: Duration, active: &ActiveRequest) -> bool {
        let must_not_run_twice =
            active.possible_run.is_some() && self.idempotency(active) == Idempotency::NotIdempotent;
        let margin = self.settings.limits.connect_timeout.max(PROBE_TIMEOUT);
        let late = self.deduplication_window_left(now, active).is_some_and(|left| left <= margin);
        !must_not_run_twice && !late
    }

    /// Determines the candidates for the next attempt unless they are known, and probes the stale ones.
    /// Returns whether the request has to wait for an answer.
    fn awaits_probes(
        &mut self, now: Duration, id: RequestId, attempts_left: usize, actions: &mut Vec<Action>,
    ) -> bool {
        let Some(active) = self.requests.get(&id) else { return true };
        let attempt_count = active.attempts.len();
        if active.candidates.as_ref().is_none_or(|candidates| candidates.attempt_count != attempt_count) {
            let (preferred, spill) = match active.held {
                Some(_) => self.decode_candidates(now, id),
                None => self.prefill_candidates(now, id, attempts_left),
            };
            let includes_spill = false;
            let candidates =
                CandidateEngines { attempt_count, found_at: now, includes_spill, preferred, spill };
            let Some(active) = self.requests.get_mut(&id) else { return true };
            active.candidates = Some(candidates);
            if self.probe_candidates(now, id, false, actions) {
                return true;
            }
        }
        // The spill can matter only where each preferred engine has a load larger than the prompt.
        let Some(active) = self.requests.get(&id) else { return true };
        let preferred = active.candidates.as_ref().map(|candidates| &candidates.preferred);
        let least_loaded = preferred.and_then(|engines| self.least_loaded(now, active, engines));
        least_loaded.is_none_or(|(_, load)| load > active.request.prompt_tokens)
            && self.probe_candidates(now, id, true, actions)
    }

    /// Sends the next attempt of a request to an engine.
    pub(super) fn send(&mut self, now: Duration, id: RequestId, engine: EngineId, actions: &mut Vec<Action>) {
        let warming_up = self.engines.get(&engine).filter(|record| self.is_warming_up(now, record));
        let warmup_rate = warming_up.map(|record| self.warmup_send_rate(now, record));
        // A retry that a broken link delays must not arrive after the window, so it times out before that.
        let timeout = self.requests.get(&id).and_then(|active| {
            Some(self.deduplication_window_left(now, active)?.saturating_sub(PROBE_TIMEOUT))
        });
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(record) = self.engines.get_mut(&engine) else { return };
        self.engine_index.mark_changed(engine);
        let prompt = active.request.prompt_tokens;
        let is_prefill = record.role == Role::Prefill;
        let work_tokens = if is_prefill { prompt } else { prompt + active.request.max_output_tokens };
        let (sent_at, state_to_fetch) = (now, active.held.take());
        active.attempts.push(Attempt {
            engine,
            sent_at,
            work_tokens,
            is_prefill,
            in_flight: true,
            first_token_latency: None,
            engine_reusable: false,
            state_to_fetch,
            state_released: false,
        });
        if !is_prefill && active.possible_run.is_none() {
            active.possible_run = Some(PossibleRun {
                attempt: active.attempts.len() - 1,
                sent_at: now,
                engine: record.entry.clone(),
            });
        }
        let attempt = active.attempts.len() - 1;
        record.tokens_in_flight += work_tokens;
        (record.in_flight, record.attempts_waiting) = (record.in_flight + 1.0, record.attempts_waiting + 1.0);
        record.tokens_sent_since_report += prompt;
        let (role, own_pace) = (record.role, record.pace);
        match warmup_rate {
            Some(rate) => {
                let level = record.slow_start_level(now, rate) - prompt;
                record.slow_start_budget = TokenBucket { level, updated_at: now };
            }
            None => self.record_sustained_load(now, role, prompt),
        }
        actions.push(Action::Send { request: id, engine, timeout: timeout.filter(|_| !is_prefill) });
        let patience = self.patience(role, own_pace, prompt);
        self.set_timer(Timer::AttemptPatience(id, attempt), patience, actions);
        if let Some(held) = state_to_fetch.filter(|_| self.settings.release_spares_awaited_state) {
            let release_in = Self::held_state_release_time(&self.settings, held).saturating_sub(now);
            self.set_timer(Timer::HeldState(id, attempt), release_in, actions);
        }
    }

    /// How long an engine may stay silent on an attempt with a prompt of this length. For an engine slower
    /// than the mean of its role, its own pace counts: otherwise its attempts would all be cancelled just
    /// before they end.
    pub(super) fn patience(&self, role: Role, own_pace: f64, prompt: f64) -> Duration {
        let Means { pace, deviation, .. } = self.means[role as usize];
        let seconds = (pace.max(own_pace) + PATIENCE_DEVIATIONS * deviation) * (prompt + FIXED_COST_TOKENS);
        MIN_PATIENCE.max(Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())))
    }

    /// Lets the request wait for [`PROBE_TIMEOUT`], as no engine is usable at present. A request with held
    /// state is abandoned after a share of the limit on held state, any other after half of the client's
    /// timeout.
    pub(super) fn wait_for_engine(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let patience = self.settings.held_state_limit.mul_f64(HELD_STATE_WAIT_SHARE);
        let Some(active) = self.requests.get_mut(&id) else { return };
        let waited = match active.held {
            Some(HeldState { since, .. }) => now.saturating_sub(since) + PROBE_TIMEOUT >= patience,
            None => now + active.request.client_timeout / 2 > active.deadline,
        };
        if waited || self.engines.is_empty() {
            return self.abandon(id, actions);
        }
        (active.waiting_until, active.candidates) = (Some(now + PROBE_TIMEOUT), None);
        self.set_timer(Timer::Wait(id), PROBE_TIMEOUT, actions);
    }

    /// Handles an attempt that has been silent for its whole patience: the engine or the answer is lost or
    /// stalled. A prefill is cancelled and attempted elsewhere, and so is a decode that may run twice.
    /// Drawback: when an engine merely has a long queue, its work is done twice.
    pub(super) fn on_patience_exhausted(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id).filter(|active| !active.ended) else { return };
        let Some(silent) =
            active.attempts.get(attempt).filter(|a| a.in_flight && a.first_token_latency.is_none())
        else {
            return;
        };
        let repeatable = silent.is_prefill || self.idempotency(active) == Idempotency::Idempotent;
        if repeatable
            && self.settings.limits.max_attempts > active.attempts.len()
            && self.settings.limits.cancellation
        {
            actions.push(Action::Cancel { request: id, attempt });
        }
    }
}
