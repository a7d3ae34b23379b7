//! The decision module and the events that wait for it.

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

    /// Queues an event behind those that wait.
    pub(crate) fn queue(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Hands the next event to the module and returns what it decides; `None` if no event waits.
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

    /// How much state the module keeps.
    pub(crate) fn state_sizes(&self) -> StateSizes {
        self.module.state_sizes()
    }
}
