//! The times at which information about engines expires.

use crate::interface::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Engines by the time at which the information about them expires; each has at most one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct DueTimes {
    by_time: BTreeSet<(Duration, EngineId)>,
    by_engine: BTreeMap<EngineId, Duration>,
}

impl DueTimes {
    /// Replaces or clears the time of an engine.
    pub(crate) fn set(&mut self, id: EngineId, due: Option<Duration>) {
        if self.by_engine.get(&id).copied() == due {
            return;
        }
        let previous = match due {
            Some(at) => {
                self.by_time.insert((at, id));
                self.by_engine.insert(id, at)
            }
            None => self.by_engine.remove(&id),
        };
        if let Some(previous) = previous {
            self.by_time.remove(&(previous, id));
        }
    }

    /// Removes and returns the engine with the earliest time, if that time has come.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<EngineId> {
        let &(at, id) = self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.by_time.remove(&(at, id));
        self.by_engine.remove(&id);
        Some(id)
    }
}

#[cfg(test)]
mod tests;
