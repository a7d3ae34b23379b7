//! The end of a request: its final answer, and the release of all state held for it.
//!
//! Decides whether a request that is abandoned is rejected, so that its client may retry, or failed. Reads
//! the request only. See docs/design.md, "The rules".

use super::requests::{Attempt, HeldState};
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, Idempotency, RequestId, Settings};
use std::time::Duration;

/// Retry-After of a rejection, and the wait before the endpoint list is requested again; both with jitter of
/// up to one half. About the time that a full queue takes to drain.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Share of the limit on held state after which state without a usable decode engine is released; no unit.
pub(super) const HELD_STATE_WAIT_SHARE: f64 = 0.5;
/// Share of the limit on held state after which state is released though an attempt is to fetch it; no unit.
/// The rest of the limit is for the release to arrive.
const HELD_STATE_RELEASE_SHARE: f64 = 0.8;

impl Router {
    /// Ends a request without another attempt: with a rejection if a retry by the client is safe, else with a
    /// failure.
    pub(super) fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id).filter(|active| !active.ended) else { return };
        let retry_is_safe =
            active.possible_run.is_none() || self.idempotency(active) == Idempotency::Idempotent;
        let over_quota = active.over_quota;
        let answer = if retry_is_safe {
            let wait = RETRY_AFTER.mul_f64(0.5 + self.sample_probability());
            let retry_after = self.settings.limits.max_retry_after.map(|max| wait.min(max));
            Action::Reject { request: id, retry_after, over_quota }
        } else {
            Action::Fail(id)
        };
        self.finish_request(id, Some(answer), actions);
    }

    /// Ends a request and releases the state held for it; every request ends here. Called again when a
    /// prefill ends that was still in flight.
    pub(super) fn finish_request(
        &mut self, id: RequestId, answer: Option<Action>, actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.ended = true;
        actions.extend(answer);
        if self.settings.limits.cancellation {
            let unanswered = |(_, a): &(usize, &Attempt)| a.in_flight && a.first_token_latency.is_none();
            let unanswered = active.attempts.iter().enumerate().filter(unanswered);
            actions.extend(unanswered.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if !active.attempts.is_empty() {
            actions.push(Action::Release(id));
        }
        active.held = None;
        if active.attempts.iter().all(|a| !a.in_flight) {
            self.requests.remove(&id);
        }
    }

    /// When held state is released unless an answer shows that it was fetched.
    pub(super) fn held_state_release_time(settings: &Settings, held: HeldState) -> Duration {
        held.since + settings.held_state_limit.mul_f64(HELD_STATE_RELEASE_SHARE)
    }

    /// Releases the state that an unanswered attempt was to fetch, and goes on waiting for the attempt. It
    /// may lie unread at an engine that does not run. If it has arrived, the release spares the state that it
    /// waits for.
    pub(super) fn on_held_state_due(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get_mut(&id).filter(|active| !active.ended) else { return };
        let unanswered = |attempt: &&mut Attempt| attempt.in_flight && attempt.first_token_latency.is_none();
        let Some(attempt) = active.attempts.get_mut(attempt).filter(unanswered) else { return };
        attempt.state_released = true;
        actions.push(Action::Release(id));
    }

    /// Handles the timer of the deadline, which may have been extended since. A complete answer that is being
    /// decoded is left to the host, which bounds its time.
    pub(super) fn on_deadline(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id) else { return };
        if now < active.deadline {
            return self.set_timer(Timer::Deadline(id), active.deadline - now, actions);
        }
        if !active.attempts.iter().any(|a| a.in_flight && a.first_token_latency.is_some()) {
            self.finish_request(id, Some(Action::Fail(id)), actions);
        }
    }
}
