//! The end of a request: its final answer, and the release of all that is reserved for it.
//!
//! Decides whether a request that is given up is rejected, so that its client may come again, or failed. May
//! read the request alone. See docs/design.md, "The rules".

use super::requests::Attempt;
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, Idempotency, RequestId};
use std::time::Duration;

/// Retry-After of a rejection, and the wait before the endpoint list is asked for again; jittered by half.
/// About the time of a full queue.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Share of the limit on held state after which state that finds no decode engine is released; no unit.
pub(super) const HELD_STATE_WAIT_SHARE: f64 = 0.5;

impl Router {
    /// Gives the final answer without another attempt: a rejection where a retry by the client is safe, else
    /// a failure.
    pub(super) fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id).filter(|j| !j.ended) else { return };
        let retry_is_safe =
            active.possible_run.is_none() || self.idempotency(active) == Idempotency::Idempotent;
        let over_quota = active.over_quota;
        let answer = if retry_is_safe {
            let wait = RETRY_AFTER.mul_f64(0.5 + self.sample_probability());
            let retry_after = self.settings.limits.max_retry_after.map(|most| wait.min(most));
            Action::Reject { request: id, retry_after, over_quota }
        } else {
            Action::Fail(id)
        };
        self.finish_request(id, Some(answer), actions);
    }

    /// The one place where a request ends and what it holds is released. Called again when a prefill that is
    /// still in flight ends.
    pub(super) fn finish_request(
        &mut self, id: RequestId, answer: Option<Action>, actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.ended = true;
        actions.extend(answer);
        if self.settings.limits.cancellation {
            let open = |(_, a): &(usize, &Attempt)| a.in_flight && a.begun.is_none();
            let open = active.attempts.iter().enumerate().filter(open);
            actions.extend(open.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if !active.attempts.is_empty() {
            actions.push(Action::Release(id));
        }
        active.held = None;
        if active.attempts.iter().all(|a| !a.in_flight) {
            self.requests.remove(&id);
        }
    }

    /// The deadline has come, unless it was extended. A complete answer that is being decoded ends by the
    /// bound of its host.
    pub(super) fn on_deadline(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id) else { return };
        if now < active.deadline {
            return self.set_timer(Timer::Deadline(id), active.deadline - now, actions);
        }
        if !active.attempts.iter().any(|a| a.in_flight && a.begun.is_some()) {
            self.finish_request(id, Some(Action::Fail(id)), actions);
        }
    }
}
