//! The decision module and the queue of its events.

use slipreel::{Action, EngineId, Event, Router, Settings, StateSizes};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The decision module with its queue of events.
pub(crate) struct Decisions {
    module: Router,
    events: VecDeque<Event>,
}

impl Decisions {
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        Decisions { module: Router::new(settings.clone(), seed), events: VecDeque::new() }
    }

    /// Adds an event to the end of the queue.
    pub(crate) fn queue(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Passes the next event to the module and returns its actions; `None` if the queue is empty.
    pub(crate) fn handle_next(&mut self, now: Duration) -> Option<Vec<Action>> {
        let event = self.events.pop_front()?;
        let mut actions = Vec::new();
        self.module.handle(now, event, &mut actions);
        Some(actions)
    }

    /// Attempts that the module counts as in flight, by engine.
    pub(crate) fn attempts_in_flight(&self) -> BTreeMap<EngineId, usize> {
        self.module.attempts_in_flight().map(|(engine, count)| (engine, count as usize)).collect()
    }

    /// Sizes of the state that the module keeps.
    pub(crate) fn state_sizes(&self) -> StateSizes {
        self.module.state_sizes()
    }
}
