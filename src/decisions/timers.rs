//! Timers: why each one was set, and what to do when it fires.
//!
//! Decides only whether a timer that has fired still matters. Reads the requests and engines that it names.

use super::requests::ActiveRequest;
use super::router::Router;
use crate::interface::{Action, EngineId, RequestId, TimerId};
use std::time::Duration;

/// Why a timer was set, which determines what to do when it fires.
pub(super) enum Timer {
    /// The request must have its final answer.
    Deadline(RequestId),
    /// The attempt of this number has been silent for its whole patience.
    AttemptPatience(RequestId, usize),
    /// The state that the attempt of this number is to fetch has to be released if it may still be held.
    HeldState(RequestId, usize),
    /// The request has waited long enough for an engine or for answers to probes.
    Wait(RequestId),
    /// The ejection of the engine ends.
    EjectionEnd(EngineId),
    /// The endpoint list has to be requested again.
    EndpointList,
}

impl Router {
    pub(super) fn set_timer(&mut self, purpose: Timer, after: Duration, actions: &mut Vec<Action>) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.timers.insert(timer, purpose);
        actions.push(Action::SetTimer { timer, after });
    }

    pub(super) fn on_timer(&mut self, now: Duration, timer: TimerId, actions: &mut Vec<Action>) {
        let is_open = |id: &RequestId| self.requests.get(id).is_some_and(|active| !active.ended);
        match self.timers.remove(&timer) {
            Some(Timer::Deadline(id)) if is_open(&id) => self.on_deadline(now, id, actions),
            Some(Timer::AttemptPatience(id, attempt)) => self.on_patience_exhausted(id, attempt, actions),
            Some(Timer::HeldState(id, attempt)) => self.on_held_state_due(id, attempt, actions),
            Some(Timer::Wait(id)) => {
                let due =
                    |active: &&mut ActiveRequest| active.waiting_until.is_some_and(|until| now >= until);
                if let Some(active) = self.requests.get_mut(&id).filter(due) {
                    active.waiting_until = None;
                    self.advance(now, id, actions);
                }
            }
            Some(Timer::EjectionEnd(engine)) => {
                let due = self
                    .engines
                    .get(&engine)
                    .is_some_and(|record| record.is_ejected() && !record.probe_in_flight);
                match self.settings.limits.probes {
                    true if due => self.probe(engine, actions),
                    false if due => self.record_contact(now, engine),
                    _ => {}
                }
            }
            Some(Timer::EndpointList) => actions.push(Action::WatchEngines(true)),
            Some(Timer::Deadline(_)) | None => {}
        }
    }
}
