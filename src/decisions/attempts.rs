//! Attempts: the next step of a request, its send and its timeout.
//!
//! Decides whether a request prefills, decodes, waits or is given up, and how long an attempt may stay silent. May read
//! the whole state. See docs/design.md, "The mechanism" and the exception "own time".

use super::admission::LONGEST;
use super::engines::Means;
use super::probes::ASK_WAIT;
use super::release::HOLD_PART;
use super::requests::{Attempt, Choice};
use super::router::Router;
use super::timers::Alarm;
use super::Out;
use crate::interface::{Action, EngineId, Idempotency, RequestId, Role};
use std::time::Duration;

const MIN_PATIENCE: Duration = Duration::from_millis(900); // The shortest. Longer than a routine pause.
const PATIENCE_DEVIATIONS: f64 = 4.0; // Mean deviations that an attempt may take, as in TCP's time-out.
pub(super) const FIXED_TOKENS: f64 = 500.0; // Added to prompts where latencies are compared: an attempt's fixed part.

impl Router {
    /// Takes the next step of a request that has no attempt out: writes a held state, else reads.
    pub(super) fn advance(&mut self, now: Duration, id: RequestId, out: Out) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.ended || job.parked.is_some() || job.attempts.iter().any(|a| a.out) {
            return;
        }
        let left = self.settings.limits.max_attempts.saturating_sub(job.attempts.len());
        self.settle(now);
        let Some(job) = self.jobs.get(&id) else { return };
        let unsafe_now = job.may_have_run.is_some() && self.effect(job) == Idempotency::NotIdempotent;
        // A repeat has to come in time: a new connection may take as long as it is given to come up.
        let least = self.settings.limits.connect_timeout.max(ASK_WAIT);
        let late = self.window_left(now, job).is_some_and(|left| left <= least);
        if left == 0 || unsafe_now || late || now >= job.deadline {
            return self.give_up(id, out);
        }
        let (held, again) = (job.held.is_some(), !job.attempts.is_empty());
        if job.choice.as_ref().is_none_or(|c| c.step != job.attempts.len()) {
            let (step, asked, wide) = (job.attempts.len(), now, false);
            let (near, far) = if held { self.writers(now, id) } else { self.readers(now, id, left) };
            let Some(job) = self.jobs.get_mut(&id) else { return };
            job.choice = Some(Choice { step, asked, wide, near, far });
            if self.ask(now, id, false, out) {
                return;
            }
        }
        // Those far can matter only where the near ones bear more than the request itself.
        let Some(job) = self.jobs.get(&id) else { return };
        let near = job.choice.as_ref().and_then(|c| self.least(now, job, &c.near));
        if near.is_none_or(|(_, bears)| bears > job.request.prompt_tokens) && self.ask(now, id, true, out) {
            return;
        }
        let target = self.choose(now, id);
        // State that could not be fetched may still wait where the writer could not reach it.
        if !held && again {
            out.push(Action::Release(id));
        }
        match target {
            Some(engine) => self.send(now, id, engine, out),
            None if left < 2 && !held => self.give_up(id, out),
            None => self.park(now, id, out),
        }
    }

    pub(super) fn send(&mut self, now: Duration, id: RequestId, engine: EngineId, out: Out) {
        let cold = self.servers.get(&engine).filter(|s| self.is_cold(now, s));
        let cold_rate = cold.map(|s| self.cold_rate(now, s));
        // A repeat whose bytes a cut holds up would come after the window: it is given up before that.
        let limit = self.jobs.get(&id).and_then(|j| Some(self.window_left(now, j)?.saturating_sub(ASK_WAIT)));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&engine) else { return };
        self.engine_index.mark_changed(engine);
        let prompt = job.request.prompt_tokens;
        let read = server.role == Role::Prefill;
        let tokens = if read { prompt } else { prompt + job.request.max_output_tokens };
        let (sent, state) = (now, job.held.take());
        job.attempts.push(Attempt { engine, sent, tokens, read, out: true, begun: None, done: false, state });
        if !read && job.may_have_run.is_none() {
            job.may_have_run = Some((job.attempts.len() - 1, now, server.entry.clone()));
        }
        let attempt = job.attempts.len() - 1;
        server.tokens += tokens;
        (server.out, server.waiting) = (server.out + 1.0, server.waiting + 1.0);
        server.since += prompt;
        let (role, own_pace) = (server.role, server.pace);
        match cold_rate {
            Some(rate) => (server.bucket, server.bucket_at) = (server.bucket_level(now, rate) - prompt, now),
            None => self.note_borne(now, role, prompt),
        }
        out.push(Action::Send { request: id, engine, timeout: limit.filter(|_| !read) });
        let patience = self.patience(role, own_pace, prompt);
        self.alarm(Alarm::Check(id, attempt), patience, out);
    }

    /// How long an engine may say nothing at all under an attempt of this length. One slower than its role
    /// has its own time: its work would be cancelled just before it ends, again and again.
    pub(super) fn patience(&self, role: Role, own_pace: f64, prompt: f64) -> Duration {
        let Means { pace, deviation, .. } = self.means[role as usize];
        let usual = (pace.max(own_pace) + PATIENCE_DEVIATIONS * deviation) * (prompt + FIXED_TOKENS);
        MIN_PATIENCE.max(Duration::from_secs_f64(usual.min(LONGEST.as_secs_f64())))
    }

    /// Nothing is usable just now: wait a little, a held state never longer than part of its limit.
    pub(super) fn park(&mut self, now: Duration, id: RequestId, out: Out) {
        let patience = self.settings.held_state_limit.mul_f64(HOLD_PART);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let waited = match job.held {
            Some((_, since)) => now.saturating_sub(since) + ASK_WAIT >= patience,
            None => now + job.request.client_timeout / 2 > job.deadline,
        };
        if waited || self.servers.is_empty() {
            return self.give_up(id, out);
        }
        (job.parked, job.choice) = (Some(now + ASK_WAIT), None);
        self.alarm(Alarm::Parked(id), ASK_WAIT, out);
    }

    /// An attempt has said nothing for its patience: its engine is lost or stalled, or its answer is. A read
    /// goes elsewhere, and so does a write that may run twice. Harm: a long queue costs the work twice.
    pub(super) fn on_check(&mut self, id: RequestId, attempt: usize, out: Out) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.ended) else { return };
        let Some(a) = job.attempts.get(attempt).filter(|a| a.out && a.begun.is_none()) else { return };
        let repeatable = a.read || self.effect(job) == Idempotency::Idempotent;
        if repeatable
            && self.settings.limits.max_attempts > job.attempts.len()
            && self.settings.limits.cancellation
        {
            out.push(Action::Cancel { request: id, attempt });
        }
    }
}
