//! Retries: what the beginning and the end of an attempt mean for its request and its engine.
//!
//! Decides whether held state survives, whether the attempt may have run, and what it teaches of its engine. May read
//! the whole state. See docs/design.md, "The rules" and the exceptions "read again", "no third writer", "rest after an
//! error", "full by class" and "keyed requests to their window's end".

use super::admission::rejection_probability;
use super::ejection::{BASE_EJECTION_TIME, MAX_EJECTION_DOUBLINGS};
use super::engines::{Means, MIN_SAMPLE_WEIGHT};
use super::probes::PROBE_TIMEOUT;
use super::requests::{ActiveRequest, Attempt, HeldState};
use super::router::Router;
use super::slow_start::SEND_RATE_WINDOW;
use crate::interface::{Action, AttemptEnded, EjectionCause, Idempotency, Outcome, RequestId, Role};
use std::time::Duration;

/// How long an engine that rejected an attempt as full is passed over where others are usable.
const REJECTION_PAUSE: Duration = Duration::from_millis(250);
/// The same where the engine reports room: it turns away what this class sends, and goes on doing so.
const THROTTLE_PAUSE: Duration = Duration::from_millis(20_000);

impl Router {
    /// How much longer a keyed request that may have run may come to an engine again.
    pub(super) fn deduplication_window_left(
        &self, now: Duration, active: &ActiveRequest,
    ) -> Option<Duration> {
        let at = active.possible_run.as_ref()?.at;
        let Idempotency::WithKey { window, .. } = self.idempotency(active) else { return None };
        Some(at.saturating_add(window).saturating_sub(now))
    }

    pub(super) fn on_first_token(
        &mut self, now: Duration, which: (RequestId, usize), latency: Duration, actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.requests.get_mut(&which.0) else { return };
        let Some(a) = active.attempts.get_mut(which.1).filter(|a| a.in_flight && a.begun.is_none()) else {
            return;
        };
        self.engine_index.mark_changed(a.engine);
        a.begun = Some(latency);
        // Of a whole answer nothing has gone out yet: if its writer is lost, its class says what may follow.
        (active.ended, active.held) = (active.complete_answer_deadline.is_none(), None);
        active.deadline = active.deadline.max(active.complete_answer_deadline.unwrap_or_default());
        // The first token frees what else is held, but that word can be lost on a cut link.
        actions.push(Action::Release(which.0));
        let (engine, sent, prompt) = (a.engine, a.sent, active.request.prompt_tokens);
        self.stop_waiting(engine, sent, prompt);
        self.record_success(now, engine, Some((latency, prompt)));
    }

    pub(super) fn on_ended(&mut self, now: Duration, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, outcome, latency, .. } = ended;
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(a) = active.attempts.get_mut(ended.attempt).filter(|a| a.in_flight) else { return };
        self.engine_index.mark_changed(a.engine);
        // One that found no state to fetch is not at fault: with the state read again it is as good as any.
        let blameless = outcome == Outcome::Rejected { state_missing: true };
        (a.in_flight, a.done) =
            (false, blameless || a.read && matches!(outcome, Outcome::Prefilled | Outcome::Reset));
        let Attempt { engine, sent, begun, read, tokens, state, .. } = *a;
        let prompt = active.request.prompt_tokens;
        active.ended |= ended.request_finished;
        let left = self.settings.limits.max_attempts.saturating_sub(active.attempts.len());
        let one_more = PROBE_TIMEOUT + self.settings.limits.connect_timeout;
        let rest = BASE_EJECTION_TIME * self.settings.router_count.clamp(1, 1 << MAX_EJECTION_DOUBLINGS);
        if outcome.proves_not_run()
            && active.possible_run.as_ref().is_some_and(|run| run.attempt == ended.attempt)
        {
            active.possible_run = None;
        }
        active.held = match outcome {
            Outcome::Prefilled => Some(HeldState { engine, since: now }),
            Outcome::Completed | Outcome::Rejected { state_missing: true } => None,
            _ if begun.is_some() => None,
            // The state still waits unless it was fetched: asking another writer for it tells. With two
            // attempts left that would leave too few, and the reader has kept the text: it is read again.
            Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled if left == 2 => None,
            // It came to no writer, so its time runs on: kept if one more such write leaves enough.
            Outcome::ConnectFailed | Outcome::NotSent => {
                state.filter(|held| now + one_more <= held.since + self.settings.held_state_limit)
            }
            _ => state.map(|held| HeldState { since: now, ..held }),
        };
        let (over, class, mut role) = (active.ended, active.request.class.0, Role::Prefill);
        let load = self.engines.get(&engine).and_then(|record| self.saturation(now, record));
        let roomy = load.is_some_and(|load| rejection_probability(load, true) < 1.0);
        if let Some(record) = self.engines.get_mut(&engine) {
            record.tokens_in_flight = (record.tokens_in_flight - tokens).max(0.0);
            record.in_flight -= 1.0;
            record.passed_over_until.resize(self.settings.classes.len(), Duration::ZERO);
            match outcome {
                Outcome::Rejected { state_missing: true } => record.last_heard = now,
                // One that errs at once seems idle and draws all, and each of many routers meets it rarely.
                Outcome::Error if begun.is_none() => record.passed_over_until.fill(now + rest),
                Outcome::Rejected { .. } => {
                    record.last_heard = now;
                    // What is turned away is not borne: jammed peers would seem to bear what no cold one can.
                    let means = &mut self.means[record.role as usize];
                    means.send_rate = (means.send_rate - prompt / SEND_RATE_WINDOW.as_secs_f64()).max(0.0);
                    record.passed_over_until[class] =
                        now + if roomy { THROTTLE_PAUSE } else { REJECTION_PAUSE };
                }
                _ => {}
            }
            role = record.role;
        }
        if begun.is_none() {
            self.stop_waiting(engine, sent, prompt);
        }
        self.record_report(now, engine, ended.report);
        match outcome {
            Outcome::Completed | Outcome::Prefilled => {
                let mut tokens = prompt;
                if read {
                    tokens = (prompt - ended.cached_tokens).max(0.0);
                    self.uncached_share +=
                        MIN_SAMPLE_WEIGHT * (tokens / prompt.max(1.0) - self.uncached_share);
                }
                let Means { waiting_time, attempt_duration, .. } = &mut self.means[role as usize];
                *waiting_time += MIN_SAMPLE_WEIGHT * (begun.unwrap_or(latency).as_secs_f64() - *waiting_time);
                *attempt_duration += MIN_SAMPLE_WEIGHT * (latency.as_secs_f64() - *attempt_duration);
                self.record_success(now, engine, (read || begun.is_none()).then_some((latency, tokens)));
            }
            Outcome::ConnectFailed => self.eject(now, engine, EjectionCause::ConnectFailed, actions),
            _ => {}
        }
        match over {
            true => self.finish_request(id, None, actions),
            false => self.advance(now, id, actions),
        }
    }
}
