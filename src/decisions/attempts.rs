//! Attempts: the next step of a request, its send and its timeout.
//!
//! Decides whether a request prefills, decodes, waits or is given up, and how long an attempt may stay silent. May read
//! the whole state. See docs/design.md, "The mechanism" and the exception "own time".

use super::admission::LONGEST;
use super::engines::Means;
use super::probes::ASK_WAIT;
use super::release::HOLD_PART;
use super::requests::{Attempt, CandidateEngines, HeldState, PossibleRun};
use super::router::Router;
use super::timers::Timer;
use super::token_bucket::TokenBucket;
use crate::interface::{Action, EngineId, Idempotency, RequestId, Role};
use std::time::Duration;

const MIN_PATIENCE: Duration = Duration::from_millis(900); // The shortest. Longer than a routine pause.
const PATIENCE_DEVIATIONS: f64 = 4.0; // Mean deviations that an attempt may take, as in TCP's time-out.
pub(super) const FIXED_TOKENS: f64 = 500.0; // Added to prompts where latencies are compared: an attempt's fixed part.

impl Router {
    /// Takes the next step of a request that has no attempt out: writes a held state, else reads.
    pub(super) fn advance(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.requests.get(&id) else { return };
        if job.ended || job.waiting_until.is_some() || job.attempts.iter().any(|a| a.in_flight) {
            return;
        }
        let left = self.settings.limits.max_attempts.saturating_sub(job.attempts.len());
        self.settle(now);
        let Some(job) = self.requests.get(&id) else { return };
        let unsafe_now = job.possible_run.is_some() && self.effect(job) == Idempotency::NotIdempotent;
        // A repeat has to come in time: a new connection may take as long as it is given to come up.
        let least = self.settings.limits.connect_timeout.max(ASK_WAIT);
        let late = self.window_left(now, job).is_some_and(|left| left <= least);
        if left == 0 || unsafe_now || late || now >= job.deadline {
            return self.give_up(id, actions);
        }
        let (held, again) = (job.held.is_some(), !job.attempts.is_empty());
        if job.candidates.as_ref().is_none_or(|c| c.attempt_count != job.attempts.len()) {
            let attempt_count = job.attempts.len();
            let (preferred, spill) = if held { self.writers(now, id) } else { self.readers(now, id, left) };
            let Some(job) = self.requests.get_mut(&id) else { return };
            job.candidates = Some(CandidateEngines {
                attempt_count,
                found_at: now,
                includes_spill: false,
                preferred,
                spill,
            });
            if self.ask(now, id, false, actions) {
                return;
            }
        }
        // Those far can matter only where the near ones bear more than the request itself.
        let Some(job) = self.requests.get(&id) else { return };
        let near = job.candidates.as_ref().and_then(|c| self.least(now, job, &c.preferred));
        if near.is_none_or(|(_, bears)| bears > job.request.prompt_tokens) && self.ask(now, id, true, actions)
        {
            return;
        }
        let target = self.choose(now, id);
        // State that could not be fetched may still wait where the writer could not reach it.
        if !held && again {
            actions.push(Action::Release(id));
        }
        match target {
            Some(engine) => self.send(now, id, engine, actions),
            None if left < 2 && !held => self.give_up(id, actions),
            None => self.park(now, id, actions),
        }
    }

    pub(super) fn send(&mut self, now: Duration, id: RequestId, engine: EngineId, actions: &mut Vec<Action>) {
        let cold = self.engines.get(&engine).filter(|s| self.is_cold(now, s));
        let cold_rate = cold.map(|s| self.cold_rate(now, s));
        // A repeat whose bytes a cut holds up would come after the window: it is given up before that.
        let limit =
            self.requests.get(&id).and_then(|j| Some(self.window_left(now, j)?.saturating_sub(ASK_WAIT)));
        let Some(job) = self.requests.get_mut(&id) else { return };
        let Some(server) = self.engines.get_mut(&engine) else { return };
        self.engine_index.mark_changed(engine);
        let prompt = job.request.prompt_tokens;
        let read = server.role == Role::Prefill;
        let tokens = if read { prompt } else { prompt + job.request.max_output_tokens };
        let (sent, state) = (now, job.held.take());
        job.attempts.push(Attempt {
            engine,
            sent,
            tokens,
            read,
            in_flight: true,
            begun: None,
            done: false,
            state,
        });
        if !read && job.possible_run.is_none() {
            job.possible_run =
                Some(PossibleRun { attempt: job.attempts.len() - 1, at: now, engine: server.entry.clone() });
        }
        let attempt = job.attempts.len() - 1;
        server.tokens_in_flight += tokens;
        (server.in_flight, server.attempts_waiting) = (server.in_flight + 1.0, server.attempts_waiting + 1.0);
        server.tokens_sent_since_report += prompt;
        let (role, own_pace) = (server.role, server.pace);
        match cold_rate {
            Some(rate) => {
                let level = server.slow_start_level(now, rate) - prompt;
                server.slow_start_budget = TokenBucket { level, updated_at: now };
            }
            None => self.note_borne(now, role, prompt),
        }
        actions.push(Action::Send { request: id, engine, timeout: limit.filter(|_| !read) });
        let patience = self.patience(role, own_pace, prompt);
        self.set_timer(Timer::AttemptPatience(id, attempt), patience, actions);
    }

    /// How long an engine may say nothing at all under an attempt of this length. One slower than its role
    /// has its own time: its work would be cancelled just before it ends, again and again.
    pub(super) fn patience(&self, role: Role, own_pace: f64, prompt: f64) -> Duration {
        let Means { pace, deviation, .. } = self.means[role as usize];
        let usual = (pace.max(own_pace) + PATIENCE_DEVIATIONS * deviation) * (prompt + FIXED_TOKENS);
        MIN_PATIENCE.max(Duration::from_secs_f64(usual.min(LONGEST.as_secs_f64())))
    }

    /// Nothing is usable just now: wait a little, a held state never longer than part of its limit.
    pub(super) fn park(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let patience = self.settings.held_state_limit.mul_f64(HOLD_PART);
        let Some(job) = self.requests.get_mut(&id) else { return };
        let waited = match job.held {
            Some(HeldState { since, .. }) => now.saturating_sub(since) + ASK_WAIT >= patience,
            None => now + job.request.client_timeout / 2 > job.deadline,
        };
        if waited || self.engines.is_empty() {
            return self.give_up(id, actions);
        }
        (job.waiting_until, job.candidates) = (Some(now + ASK_WAIT), None);
        self.set_timer(Timer::Wait(id), ASK_WAIT, actions);
    }

    /// An attempt has said nothing for its patience: its engine is lost or stalled, or its answer is. A read
    /// goes elsewhere, and so does a write that may run twice. Harm: a long queue costs the work twice.
    pub(super) fn on_check(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(job) = self.requests.get(&id).filter(|j| !j.ended) else { return };
        let Some(a) = job.attempts.get(attempt).filter(|a| a.in_flight && a.begun.is_none()) else { return };
        let repeatable = a.read || self.effect(job) == Idempotency::Idempotent;
        if repeatable
            && self.settings.limits.max_attempts > job.attempts.len()
            && self.settings.limits.cancellation
        {
            actions.push(Action::Cancel { request: id, attempt });
        }
    }
}
