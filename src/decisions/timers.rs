//! Timers: why each one was set, and what is due when it fires.
//!
//! Decides only whether a timer that fires is still of use. May read the requests and engines that it names.

use super::requests::Job;
use super::router::Router;
use super::Out;
use crate::interface::{Action, EngineId, RequestId, TimerId};
use std::time::Duration;

/// Why a timer was set.
pub(super) enum Alarm {
    Deadline(RequestId),
    Check(RequestId, usize),
    Parked(RequestId),
    Trial(EngineId),
    List,
}

impl Router {
    pub(super) fn alarm(&mut self, alarm: Alarm, after: Duration, out: Out) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.alarms.insert(timer, alarm);
        out.push(Action::SetTimer { timer, after });
    }

    pub(super) fn on_timer(&mut self, now: Duration, timer: TimerId, out: Out) {
        let open = |id: &RequestId| self.jobs.get(id).is_some_and(|j| !j.ended);
        match self.alarms.remove(&timer) {
            Some(Alarm::Deadline(id)) if open(&id) => self.on_deadline(now, id, out),
            Some(Alarm::Check(id, attempt)) => self.on_check(id, attempt, out),
            Some(Alarm::Parked(id)) => {
                let due = |job: &&mut Job| job.parked.is_some_and(|until| now >= until);
                if let Some(job) = self.jobs.get_mut(&id).filter(due) {
                    job.parked = None;
                    self.advance(now, id, out);
                }
            }
            Some(Alarm::Trial(engine)) => {
                let due = self.servers.get(&engine).is_some_and(|s| s.unreachable() && !s.probing);
                match self.settings.limits.probes {
                    true if due => self.probe(engine, out),
                    false if due => self.reached(now, engine),
                    _ => {}
                }
            }
            Some(Alarm::List) => out.push(Action::WatchEngines(true)),
            Some(Alarm::Deadline(_)) | None => {}
        }
    }
}
