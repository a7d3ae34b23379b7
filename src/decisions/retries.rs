//! Retries: what the beginning and the end of an attempt mean for its request and its engine.
//!
//! Decides whether held state survives, whether the attempt may have run, and what it teaches of its engine. May read
//! the whole state. See docs/design.md, "The rules" and the exceptions "read again", "no third writer", "rest after an
//! error", "full by class" and "keyed requests to their window's end".

use super::admission::refusal_chance;
use super::ejection::{EJECT_BASE, EJECT_DOUBLINGS};
use super::engines::{Means, MEAN_WEIGHT};
use super::probes::ASK_WAIT;
use super::requests::{Attempt, Job};
use super::router::Router;
use super::slow_start::RATE_SPAN;
use super::Out;
use crate::interface::{Action, AttemptEnded, Idempotency, Outcome, RequestId, Role};
use std::time::Duration;

const FULL_REST: Duration = Duration::from_millis(250); // Rest after a `full` where others are usable.
/// The same where the engine reports room: it turns away what this class sends, and goes on doing so.
const THROTTLE_REST: Duration = Duration::from_millis(20_000);

impl Router {
    /// How much longer a keyed request that may have run may come to an engine again.
    pub(super) fn window_left(&self, now: Duration, job: &Job) -> Option<Duration> {
        let (_, at, _) = job.may_have_run.as_ref()?;
        let Idempotency::WithKey { window, .. } = self.effect(job) else { return None };
        Some(at.saturating_add(window).saturating_sub(now))
    }

    pub(super) fn on_first(&mut self, now: Duration, which: (RequestId, usize), latency: Duration, out: Out) {
        let Some(job) = self.jobs.get_mut(&which.0) else { return };
        let Some(a) = job.attempts.get_mut(which.1).filter(|a| a.out && a.begun.is_none()) else { return };
        self.engine_index.mark_changed(a.engine);
        a.begun = Some(latency);
        // Of a whole answer nothing has gone out yet: if its writer is lost, its class says what may follow.
        (job.ended, job.held) = (job.whole_by.is_none(), None);
        job.deadline = job.deadline.max(job.whole_by.unwrap_or_default());
        // The first token frees what else is held, but that word can be lost on a cut link.
        out.push(Action::Release(which.0));
        let (engine, sent, prompt) = (a.engine, a.sent, job.request.prompt_tokens);
        self.stop_waiting(engine, sent, prompt);
        self.heard_well(now, engine, Some((latency, prompt)));
    }

    pub(super) fn on_ended(&mut self, now: Duration, ended: AttemptEnded, out: Out) {
        let AttemptEnded { request: id, outcome, latency, .. } = ended;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(ended.attempt).filter(|a| a.out) else { return };
        self.engine_index.mark_changed(a.engine);
        // One that found no state to fetch is not at fault: with the state read again it is as good as any.
        let blameless = outcome == Outcome::Rejected { state_missing: true };
        (a.out, a.done) =
            (false, blameless || a.read && matches!(outcome, Outcome::Prefilled | Outcome::Reset));
        let Attempt { engine, sent, begun, read, tokens, state, .. } = *a;
        let prompt = job.request.prompt_tokens;
        job.ended |= ended.request_finished;
        let left = self.settings.limits.max_attempts.saturating_sub(job.attempts.len());
        let one_more = ASK_WAIT + self.settings.limits.connect_timeout;
        let rest = EJECT_BASE * self.settings.router_count.clamp(1, 1 << EJECT_DOUBLINGS);
        if outcome.proves_not_run() && job.may_have_run.as_ref().is_some_and(|r| r.0 == ended.attempt) {
            job.may_have_run = None;
        }
        job.held = match outcome {
            Outcome::Prefilled => Some((engine, now)),
            Outcome::Completed | Outcome::Rejected { state_missing: true } => None,
            _ if begun.is_some() => None,
            // The state still waits unless it was fetched: asking another writer for it tells. With two
            // attempts left that would leave too few, and the reader has kept the text: it is read again.
            Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled if left == 2 => None,
            // It came to no writer, so its time runs on: kept if one more such write leaves enough.
            Outcome::ConnectFailed | Outcome::NotSent => {
                state.filter(|&(_, since)| now + one_more <= since + self.settings.held_state_limit)
            }
            _ => state.map(|(reader, _)| (reader, now)),
        };
        let (over, class, mut role) = (job.ended, job.request.class.0, Role::Prefill);
        let load = self.servers.get(&engine).and_then(|s| self.load(now, s));
        let roomy = load.is_some_and(|load| refusal_chance(load, true) < 1.0);
        if let Some(server) = self.servers.get_mut(&engine) {
            server.tokens = (server.tokens - tokens).max(0.0);
            server.out -= 1.0;
            server.rests.resize(self.settings.classes.len(), Duration::ZERO);
            match outcome {
                Outcome::Rejected { state_missing: true } => server.heard = now,
                // One that errs at once seems idle and draws all, and each of many routers meets it rarely.
                Outcome::Error if begun.is_none() => server.rests.fill(now + rest),
                Outcome::Rejected { .. } => {
                    server.heard = now;
                    // What is turned away is not borne: jammed peers would seem to bear what no cold one can.
                    let means = &mut self.means[server.role as usize];
                    means.rate = (means.rate - prompt / RATE_SPAN.as_secs_f64()).max(0.0);
                    server.rests[class] = now + if roomy { THROTTLE_REST } else { FULL_REST };
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
                    self.unread += MEAN_WEIGHT * (tokens / prompt.max(1.0) - self.unread);
                }
                let Means { waited, whole, .. } = &mut self.means[role as usize];
                *waited += MEAN_WEIGHT * (begun.unwrap_or(latency).as_secs_f64() - *waited);
                *whole += MEAN_WEIGHT * (latency.as_secs_f64() - *whole);
                self.heard_well(now, engine, (read || begun.is_none()).then_some((latency, tokens)));
            }
            Outcome::ConnectFailed => self.eject(now, engine, "no connection", out),
            _ => {}
        }
        match over {
            true => self.end(id, None, out),
            false => self.advance(now, id, out),
        }
    }
}
