//! Retries: the effect of the first token and of the end of an attempt on its request and its engine.
//!
//! Decides whether state is still held, whether the attempt may have run, and what is learnt from it about
//! the engine. Reads the whole state. See docs/design.md, "The rules" and the exceptions "read again", "no
//! third writer", "rest after an error", "full by class" and "keyed requests to their window's end".

use super::admission::rejection_probability;
use super::ejection::{BASE_EJECTION_TIME, MAX_EJECTION_DOUBLINGS};
use super::engines::MIN_SAMPLE_WEIGHT;
use super::probes::PROBE_TIMEOUT;
use super::requests::{ActiveRequest, Attempt, HeldState, PossibleRun};
use super::router::Router;
use super::slow_start::SEND_RATE_WINDOW;
use crate::interface::{
    Action, AttemptEnded, ClassId, EjectionCause, Idempotency, Outcome, Request, RequestId, Role, Settings,
};
use std::time::Duration;

/// How long an engine that rejected an attempt because it is full is passed over where others are usable.
const REJECTION_PAUSE: Duration = Duration::from_millis(250);
/// The same for an engine that reports spare capacity: it throttles the class and will go on rejecting it.
const THROTTLE_PAUSE: Duration = Duration::from_millis(20_000);

impl Router {
    /// How much longer a request with an idempotency key that may have run may be sent again; `None` for any
    /// other request.
    pub(super) fn deduplication_window_left(
        &self, now: Duration, active: &ActiveRequest,
    ) -> Option<Duration> {
        let sent_at = active.possible_run.as_ref()?.sent_at;
        let Idempotency::WithKey { window, .. } = self.idempotency(active) else { return None };
        Some(sent_at.saturating_add(window).saturating_sub(now))
    }

    /// Handles the first token of an attempt.
    pub(super) fn on_first_token(
        &mut self, now: Duration, which: (RequestId, usize), latency: Duration, actions: &mut Vec<Action>,
    ) {
        let (id, number) = which;
        let waiting = |attempt: &&mut Attempt| attempt.in_flight && attempt.first_token_latency.is_none();
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = active.attempts.get_mut(number).filter(waiting) else { return };
        self.engine_index.mark_changed(attempt.engine);
        attempt.first_token_latency = Some(latency);
        // Nothing of an answer that is sent only when complete has reached the client: if the decode engine
        // is lost, the idempotency of the class determines whether it may be retried.
        active.ended = active.complete_answer_deadline.is_none();
        active.held = None;
        active.deadline = active.deadline.max(active.complete_answer_deadline.unwrap_or_default());
        // The first token makes the engines release the state, but that message may be lost on a broken link.
        actions.push(Action::Release(id));
        let (engine, sent_at, prompt) = (attempt.engine, attempt.sent_at, active.request.prompt_tokens);
        self.stop_waiting(engine, sent_at, prompt);
        self.record_success(now, engine, Some((latency, prompt)));
    }

    /// Handles the end of an attempt: its request takes its next step or is finished.
    pub(super) fn on_attempt_ended(&mut self, now: Duration, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let Some(closed) = self.close_attempt(now, &ended) else { return };
        let Attempt { engine, sent_at, first_token_latency, .. } = closed.attempt;
        let role = self.record_end_at_engine(now, ended.outcome, &closed);
        if first_token_latency.is_none() {
            self.stop_waiting(engine, sent_at, closed.prompt_tokens);
        }
        self.record_report(now, engine, ended.report);
        match ended.outcome {
            Outcome::Completed | Outcome::Prefilled => self.record_work(now, &ended, &closed, role),
            Outcome::ConnectFailed => self.eject(now, engine, EjectionCause::ConnectFailed, actions),
            _ => {}
        }
        if closed.request_ended {
            self.finish_request(ended.request, None, actions);
        } else {
            self.advance(now, ended.request, actions);
        }
    }

    /// Marks an attempt as ended and updates its request. `None` if no such attempt is in flight.
    fn close_attempt(&mut self, now: Duration, ended: &AttemptEnded) -> Option<ClosedAttempt> {
        let outcome = ended.outcome;
        let active = self.requests.get_mut(&ended.request)?;
        let attempt = active.attempts.get_mut(ended.attempt).filter(|attempt| attempt.in_flight)?;
        self.engine_index.mark_changed(attempt.engine);
        attempt.in_flight = false;
        // A decode engine that found no state to fetch is not at fault: after another prefill it may be used
        // like any other.
        attempt.engine_reusable = outcome == Outcome::Rejected { state_missing: true }
            || attempt.is_prefill && matches!(outcome, Outcome::Prefilled | Outcome::Reset);
        let attempt = *attempt;
        active.ended |= ended.request_finished;
        let attempts_left = self.settings.limits.max_attempts.saturating_sub(active.attempts.len());
        let proven = |run: &PossibleRun| outcome.proves_not_run() && run.attempt == ended.attempt;
        if active.possible_run.as_ref().is_some_and(proven) {
            active.possible_run = None;
        }
        active.held = held_state_after(&self.settings, now, outcome, &attempt, attempts_left);
        let Request { prompt_tokens, class, .. } = active.request;
        Some(ClosedAttempt { attempt, prompt_tokens, class, request_ended: active.ended })
    }

    /// Subtracts an ended attempt from the load of its engine, and passes the engine over for a while if it
    /// rejected the attempt or failed. Returns the role of the engine, or prefill if it is no longer listed.
    fn record_end_at_engine(&mut self, now: Duration, outcome: Outcome, closed: &ClosedAttempt) -> Role {
        let engine = closed.attempt.engine;
        let saturation = self.engines.get(&engine).and_then(|record| self.saturation(now, record));
        let has_room = saturation.is_some_and(|load| rejection_probability(load, true) < 1.0);
        let pause_factor = self.settings.router_count.clamp(1, 1 << MAX_EJECTION_DOUBLINGS);
        let Some(record) = self.engines.get_mut(&engine) else { return Role::Prefill };
        record.tokens_in_flight = (record.tokens_in_flight - closed.attempt.work_tokens).max(0.0);
        record.in_flight -= 1.0;
        record.passed_over_until.resize(self.settings.classes.len(), Duration::ZERO);
        match outcome {
            Outcome::Rejected { state_missing: true } => record.last_contact = now,
            // An engine that fails at once seems idle and attracts requests from all routers. The more
            // routers there are, the fewer failures each one sees, so the pause grows with their number.
            Outcome::Error if closed.attempt.first_token_latency.is_none() => {
                record.passed_over_until.fill(now + BASE_EJECTION_TIME * pause_factor);
            }
            Outcome::Rejected { .. } => {
                record.last_contact = now;
                // Rejected prompts do not count as sustained load. Otherwise full engines would seem to serve
                // more than they do, and warming ones would get too large a budget.
                let means = &mut self.means[record.role as usize];
                let rate = closed.prompt_tokens / SEND_RATE_WINDOW.as_secs_f64();
                means.send_rate = (means.send_rate - rate).max(0.0);
                let pause = if has_room { THROTTLE_PAUSE } else { REJECTION_PAUSE };
                record.passed_over_until[closed.class.0] = now + pause;
            }
            _ => {}
        }
        record.role
    }

    /// Updates the means with the times of an attempt that has done its work.
    fn record_work(&mut self, now: Duration, ended: &AttemptEnded, closed: &ClosedAttempt, role: Role) {
        let Attempt { engine, first_token_latency, is_prefill, .. } = closed.attempt;
        let prompt = closed.prompt_tokens;
        let mut tokens = prompt;
        if is_prefill {
            tokens = (prompt - ended.cached_tokens).max(0.0);
            self.uncached_share += MIN_SAMPLE_WEIGHT * (tokens / prompt.max(1.0) - self.uncached_share);
        }
        let waiting_time = first_token_latency.unwrap_or(ended.latency).as_secs_f64();
        let attempt_duration = ended.latency.as_secs_f64();
        let means = &mut self.means[role as usize];
        means.waiting_time += MIN_SAMPLE_WEIGHT * (waiting_time - means.waiting_time);
        means.attempt_duration += MIN_SAMPLE_WEIGHT * (attempt_duration - means.attempt_duration);
        let sample = (is_prefill || first_token_latency.is_none()).then_some((ended.latency, tokens));
        self.record_success(now, engine, sample);
    }
}

/// An attempt that has just ended, and the properties of its request that matter then.
struct ClosedAttempt {
    attempt: Attempt,
    prompt_tokens: f64,
    class: ClassId,
    /// The request needs no further answer.
    request_ended: bool,
}

/// The state that is still held for a request after the end of an attempt, if any.
fn held_state_after(
    settings: &Settings, now: Duration, outcome: Outcome, attempt: &Attempt, attempts_left: usize,
) -> Option<HeldState> {
    match outcome {
        Outcome::Prefilled => Some(HeldState { engine: attempt.engine, since: now }),
        Outcome::Completed | Outcome::Rejected { state_missing: true } => None,
        _ if attempt.first_token_latency.is_some() => None,
        // The state may or may not have been fetched. Another decode attempt would find out, but with two
        // attempts left there would not be enough for a prefill and a decode after it. As the prefill engine
        // has cached the prompt, it prefills again at once.
        Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled if attempts_left == 2 => {
            None
        }
        // No decode engine was reached, so the state has been held all the time: it is kept if its limit
        // allows one more such attempt.
        Outcome::ConnectFailed | Outcome::NotSent => {
            let one_more = PROBE_TIMEOUT + settings.limits.connect_timeout;
            attempt.state_to_fetch.filter(|&held| allows_attempt(settings, now + one_more, held))
        }
        // Nothing shows that the attempt arrived at an engine that runs: the state may have been held without
        // an attempt all the time.
        Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled
            if settings.release_spares_awaited_state && !attempt.state_released =>
        {
            attempt.state_to_fetch.filter(|&held| allows_attempt(settings, now + PROBE_TIMEOUT, held))
        }
        // The attempt had arrived, so the state was not held without one; or it was released.
        _ => attempt.state_to_fetch.map(|held| HeldState { since: now, ..held }),
    }
}

/// Whether an attempt that arrives at this time may still fetch held state.
fn allows_attempt(settings: &Settings, arrival: Duration, held: HeldState) -> bool {
    arrival <= Router::held_state_release_time(settings, held)
}
