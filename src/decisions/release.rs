//! The end of a request: its final answer, and the release of all that is reserved for it.
//!
//! Decides whether a request that is given up is rejected, so that its client may come again, or failed. May read the
//! request alone. See docs/design.md, "The rules".

use super::requests::Attempt;
use super::router::Router;
use super::timers::Timer;
use crate::interface::{Action, Idempotency, RequestId};
use std::time::Duration;

/// Wait told with a refusal or before the list is asked for again, jittered by half. A full queue's time.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Share of the limit on held state after which state that finds no decode engine is released; no unit.
pub(super) const HELD_STATE_WAIT_SHARE: f64 = 0.5;

impl Router {
    /// No further attempt: the final answer, at once. Who is refused may come again after the window.
    pub(super) fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.get(&id).filter(|j| !j.ended) else { return };
        let harmless = active.possible_run.is_none() || self.idempotency(active) == Idempotency::Idempotent;
        let over_quota = active.over_quota;
        let answer = if harmless {
            let wait = RETRY_AFTER.mul_f64(0.5 + self.sample_probability());
            let retry_after = self.settings.limits.max_retry_after.map(|most| wait.min(most));
            Action::Reject { request: id, retry_after, over_quota }
        } else {
            Action::Fail(id)
        };
        self.finish_request(id, Some(answer), actions);
    }

    /// The one place where a request ends and lets go. A read still out comes through here again.
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

    /// Its time is up, or longer by now; a whole answer that is being written ends by its host's bound.
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
