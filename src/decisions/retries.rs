//! Retries: what the beginning and the end of an attempt mean for its request and its engine.
//!
//! Decides whether held state survives, whether the attempt may have run, and what it teaches of its engine. May read
//! the whole state. See docs/design.md, "The rules" and the exceptions "read again", "no third writer", "rest after an
//! error", "full by class" and "keyed requests to their window's end".

use super::admission::refusal_chance;
use super::ejection::{EJECT_BASE, EJECT_DOUBLINGS};
use super::engines::{Means, MEAN_WEIGHT};
use super::probes::ASK_WAIT;
use super::requests::{ActiveRequest, Attempt, HeldState};
use super::router::Router;
use super::slow_start::RATE_SPAN;
use crate::interface::{Action, AttemptEnded, Idempotency, Outcome, RequestId, Role};
use std::time::Duration;

const FULL_REST: Duration = Duration::from_millis(250); // Rest after a `full` where others are usable.
/// The same where the engine reports room: it turns away what this class sends, and goes on doing so.
const THROTTLE_REST: Duration = Duration::from_millis(20_000);

impl Router {
    /// How much longer a keyed request that may have run may come to an engine again.
    pub(super) fn window_left(&self, now: Duration, job: &ActiveRequest) -> Option<Duration> {
        let at = job.possible_run.as_ref()?.at;
        let Idempotency::WithKey { window, .. } = self.effect(job) else { return None };
        Some(at.saturating_add(window).saturating_sub(now))
    }

    pub(super) fn on_first(
        &mut self, now: Duration, which: (RequestId, usize), latency: Duration, actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.requests.get_mut(&which.0) else { return };
        let Some(a) = job.attempts.get_mut(which.1).filter(|a| a.in_flight && a.begun.is_none()) else {
            return;
        };
        self.engine_index.mark_changed(a.engine);
        a.begun = Some(latency);
        // Of a whole answer nothing has gone out yet: if its writer is lost, its class says what may follow.
        (job.ended, job.held) = (job.complete_answer_deadline.is_none(), None);
        job.deadline = job.deadline.max(job.complete_answer_deadline.unwrap_or_default());
        // The first token frees what else is held, but that word can be lost on a cut link.
        actions.push(Action::Release(which.0));
        let (engine, sent, prompt) = (a.engine, a.sent, job.request.prompt_tokens);
        self.stop_waiting(engine, sent, prompt);
        self.heard_well(now, engine, Some((latency, prompt)));
    }

    pub(super) fn on_ended(&mut self, now: Duration, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let AttemptEnded { request: id, outcome, latency, .. } = ended;
        let Some(job) = self.requests.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(ended.attempt).filter(|a| a.in_flight) else { return };
        self.engine_index.mark_changed(a.engine);
        // One that found no state to fetch is not at fault: with the state read again it is as good as any.
        let blameless = outcome == Outcome::Rejected { state_missing: true };
        (a.in_flight, a.done) =
            (false, blameless || a.read && matches!(outcome, Outcome::Prefilled | Outcome::Reset));
        let Attempt { engine, sent, begun, read, tokens, state, .. } = *a;
        let prompt = job.request.prompt_tokens;
        job.ended |= ended.request_finished;
        let left = self.settings.limits.max_attempts.saturating_sub(job.attempts.len());
        let one_more = ASK_WAIT + self.settings.limits.connect_timeout;
        let rest = EJECT_BASE * self.settings.router_count.clamp(1, 1 << EJECT_DOUBLINGS);
        if outcome.proves_not_run()
            && job.possible_run.as_ref().is_some_and(|run| run.attempt == ended.attempt)
        {
            job.possible_run = None;
        }
        job.held = match outcome {
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
        let (over, class, mut role) = (job.ended, job.request.class.0, Role::Prefill);
        let load = self.engines.get(&engine).and_then(|s| self.load(now, s));
        let roomy = load.is_some_and(|load| refusal_chance(load, true) < 1.0);
        if let Some(server) = self.engines.get_mut(&engine) {
            server.tokens_in_flight = (server.tokens_in_flight - tokens).max(0.0);
            server.in_flight -= 1.0;
            server.passed_over_until.resize(self.settings.classes.len(), Duration::ZERO);
            match outcome {
                Outcome::Rejected { state_missing: true } => server.last_heard = now,
                // One that errs at once seems idle and draws all, and each of many routers meets it rarely.
                Outcome::Error if begun.is_none() => server.passed_over_until.fill(now + rest),
                Outcome::Rejected { .. } => {
                    server.last_heard = now;
                    // What is turned away is not borne: jammed peers would seem to bear what no cold one can.
                    let means = &mut self.means[server.role as usize];
                    means.send_rate = (means.send_rate - prompt / RATE_SPAN.as_secs_f64()).max(0.0);
                    server.passed_over_until[class] = now + if roomy { THROTTLE_REST } else { FULL_REST };
                }
                _ => {}
            }
            role = server.role;
        }
        if begun.is_none() {
            self.stop_waiting(engine, sent, prompt);
        }
        self.take_report(now, engine, ended.report);
        match outcome {
            Outcome::Completed | Outcome::Prefilled => {
                let mut tokens = prompt;
                if read {
                    tokens = (prompt - ended.cached_tokens).max(0.0);
                    self.uncached_share += MEAN_WEIGHT * (tokens / prompt.max(1.0) - self.uncached_share);
                }
                let Means { waiting_time, attempt_duration, .. } = &mut self.means[role as usize];
                *waiting_time += MEAN_WEIGHT * (begun.unwrap_or(latency).as_secs_f64() - *waiting_time);
                *attempt_duration += MEAN_WEIGHT * (latency.as_secs_f64() - *attempt_duration);
                self.heard_well(now, engine, (read || begun.is_none()).then_some((latency, tokens)));
            }
            Outcome::ConnectFailed => self.eject(now, engine, "no connection", actions),
            _ => {}
        }
        match over {
            true => self.end(id, None, actions),
            false => self.advance(now, id, actions),
        }
    }
}
